"""The lag of the event loop: catching up with what came while it was held up, and checks that come late.

The dispatcher checks its parts at a steady interval. A check that comes much later shows that the process had
no processor time, or that one turn of the loop took long.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from petrelwood.node.units import MS

LONGEST_CHECK_GAP = 100 * MS  # ns between two checks; after a longer one the loop was held up
# Turns of the loop in which nothing of a client is read, after which everything that came has been read.
QUIET_TURNS = 3
# Where something always comes, everything that lay unread at the first turn has been read after as many turns
# and so many ns.
CATCH_UP_TIME = 50 * MS
LATE_CHECKS = 3  # after which the loop counts as late,
TIMELY_CHECKS = 10  # until so many in a row are in time


class LoopOwner(Protocol):
    """The dispatcher, as far as its event loop goes."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop."""

    def now(self) -> int:
        """Return the monotonic time in ns."""


class ReadCounter(Protocol):
    """Whoever reads what clients send."""

    @property
    def reads(self) -> int:
        """How many reads there were, of all clients."""


class CatchUp:
    """Whether what came while the event loop was held up may still lie unread. Times in ns.

    That may be a client's end or cancel, or a change of the endpoint list. Nothing should be sent to a worker
    before it was read: what it takes back is then still here. `on_caught_up` is called once it has been.
    """

    __slots__ = (
        "checked_at",
        "clients",
        "core",
        "held_up_at",
        "on_caught_up",
        "quiet_turns_remaining",
        "reads",
        "turns_remaining",
    )

    def __init__(self, core: LoopOwner, clients: ReadCounter, on_caught_up: Callable[[], object]) -> None:
        self.core = core
        self.clients = clients
        self.on_caught_up = on_caught_up
        self.checked_at = core.now()  # when the loop was last known not to lag
        self.held_up_at = 0  # when it was seen that the loop was held up
        self.turns_remaining = 0  # turns until all may have been read; 0: nothing lies unread
        self.quiet_turns_remaining = 0  # turns without a read, until all has been read
        self.reads = 0  # `clients.reads` at the last turn

    def is_behind(self) -> bool:
        """Return whether something may lie unread."""
        if not self.turns_remaining and self.core.now() - self.checked_at > LONGEST_CHECK_GAP:
            self._begin()
        return self.turns_remaining > 0

    def arrival_time(self, now: int) -> int:
        """Return when what is read at `now` came, at the earliest: a client's patience runs from then."""
        return now if now - self.checked_at <= LONGEST_CHECK_GAP else self.checked_at

    def note_check(self, now: int) -> None:
        """Note a check of the dispatcher's parts."""
        if not self.is_behind():
            self.checked_at = now

    def _begin(self) -> None:
        self.turns_remaining = QUIET_TURNS
        self.quiet_turns_remaining = QUIET_TURNS
        self.reads = self.clients.reads
        self.held_up_at = self.core.now()
        self.core.loop.call_soon(self._turn)

    def _turn(self) -> None:
        """Handle one turn of the event loop: all may have been read now."""
        self.turns_remaining = max(1, self.turns_remaining - 1)
        is_quiet = self.reads == self.clients.reads
        self.quiet_turns_remaining = self.quiet_turns_remaining - 1 if is_quiet else QUIET_TURNS
        self.reads = self.clients.reads
        if self.quiet_turns_remaining and not self._is_time_up():
            self.core.loop.call_soon(self._turn)
            return
        self.turns_remaining = 0
        self.checked_at = self.core.now()
        self.on_caught_up()

    def _is_time_up(self) -> bool:
        return self.turns_remaining <= 1 and self.core.now() - self.held_up_at >= CATCH_UP_TIME


class LateChecks:
    """Whether the event loop is late over and over. Times in ns."""

    __slots__ = ("checked_at", "late", "timely")

    def __init__(self, now: int) -> None:
        self.checked_at = now
        self.late = 0  # late checks since `TIMELY_CHECKS` in a row were in time
        self.timely = 0  # checks in time since the last late one

    def note_check(self, now: int) -> bool:
        """Note a check; return whether the event loop counts as late."""
        if now - self.checked_at > LONGEST_CHECK_GAP:
            self.late += 1
            self.timely = 0
        else:
            self.timely += 1
        self.checked_at = now
        if self.timely >= TIMELY_CHECKS:
            self.late = 0
        return self.late >= LATE_CHECKS
