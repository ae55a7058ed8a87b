"""The lag of the event loop: catching up with data that arrived while it was blocked, and late checks.

The dispatcher checks its parts at a fixed interval. A check that runs much later shows that the process had
no processor time, or that one iteration of the loop took long.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from petrelwood.node.units import MS

MAX_CHECK_GAP = 100 * MS  # ns; a longer time between two checks means that the loop was blocked
# The number of successive loop iterations without a read of client data after which all earlier data has been
# read.
QUIET_ITERATIONS = 3
# The minimum time after which all data that was unread at the first iteration has been read (ns). It applies
# if new data arrives in every iteration; at least QUIET_ITERATIONS iterations must have passed too.
CATCH_UP_TIME = 50 * MS
LATE_CHECKS = 3  # the number of late checks from which the loop counts as late
TIMELY_CHECKS = 10  # the number of successive timely checks that resets the count of late ones


class LoopOwner(Protocol):
    """The interface of the dispatcher for its event loop."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop."""

    def now(self) -> int:
        """Return the monotonic time in ns."""


class ReadCounter(Protocol):
    """The interface of the object that reads data from clients."""

    @property
    def reads(self) -> int:
        """The number of reads from all clients."""


class CatchUp:
    """Tracks whether data that arrived while the event loop was blocked may still be unread. Times are in ns.

    Such data may be a client's disconnect or cancel, or a change of the endpoint list. Nothing should be sent
    to a worker before that data was read, because it may withdraw a send that has not left yet.
    `on_caught_up` is called once the data has been read.
    """

    __slots__ = (
        "checked_at",
        "clients",
        "core",
        "blocked_at",
        "on_caught_up",
        "quiet_iterations_remaining",
        "reads",
        "iterations_remaining",
    )

    def __init__(self, core: LoopOwner, clients: ReadCounter, on_caught_up: Callable[[], object]) -> None:
        self.core = core
        self.clients = clients
        self.on_caught_up = on_caught_up
        self.checked_at = core.now()  # when the loop was last known not to be behind
        self.blocked_at = 0  # when it was noticed that the loop had been blocked
        self.iterations_remaining = 0  # iterations until all data may have been read; 0: no data is unread
        self.quiet_iterations_remaining = 0  # iterations without a read until all data has been read
        self.reads = 0  # `clients.reads` at the last iteration

    def is_behind(self) -> bool:
        """Return whether data may be unread."""
        if not self.iterations_remaining and self.core.now() - self.checked_at > MAX_CHECK_GAP:
            self._begin()
        return self.iterations_remaining > 0

    def arrival_time(self, now: int) -> int:
        """Return the earliest possible arrival time of data read at `now`, when its client began to wait."""
        return now if now - self.checked_at <= MAX_CHECK_GAP else self.checked_at

    def note_check(self, now: int) -> None:
        """Note that the dispatcher checked its parts."""
        if not self.is_behind():
            self.checked_at = now

    def _begin(self) -> None:
        self.iterations_remaining = QUIET_ITERATIONS
        self.quiet_iterations_remaining = QUIET_ITERATIONS
        self.reads = self.clients.reads
        self.blocked_at = self.core.now()
        self.core.loop.call_soon(self._on_iteration)

    def _on_iteration(self) -> None:
        """Handle one iteration of the event loop, after which all data may have been read."""
        self.iterations_remaining = max(1, self.iterations_remaining - 1)
        is_quiet = self.reads == self.clients.reads
        self.quiet_iterations_remaining = (
            self.quiet_iterations_remaining - 1 if is_quiet else QUIET_ITERATIONS
        )
        self.reads = self.clients.reads
        if self.quiet_iterations_remaining and not self._is_time_up():
            self.core.loop.call_soon(self._on_iteration)
            return
        self.iterations_remaining = 0
        self.checked_at = self.core.now()
        self.on_caught_up()

    def _is_time_up(self) -> bool:
        return self.iterations_remaining <= 1 and self.core.now() - self.blocked_at >= CATCH_UP_TIME


class LateChecks:
    """Tracks whether the event loop is repeatedly late. Times are in ns."""

    __slots__ = ("checked_at", "late_checks", "timely_checks")

    def __init__(self, now: int) -> None:
        self.checked_at = now
        self.late_checks = 0  # late checks since the last `TIMELY_CHECKS` successive timely ones
        self.timely_checks = 0  # timely checks since the last late one

    def note_check(self, now: int) -> bool:
        """Note a check, and return whether the event loop counts as late."""
        if now - self.checked_at > MAX_CHECK_GAP:
            self.late_checks += 1
            self.timely_checks = 0
        else:
            self.timely_checks += 1
        self.checked_at = now
        if self.timely_checks >= TIMELY_CHECKS:
            self.late_checks = 0
        return self.late_checks >= LATE_CHECKS
