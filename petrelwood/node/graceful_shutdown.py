"""Graceful shutdown: accept late requests for a while, then reject them, and answer all open ones.

The times are decided in `decide.cluster.shutdown`.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from petrelwood.decide.cluster.shutdown import Shutdown
from petrelwood.decide.delivery.pending import PendingActivations
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.dispatch.activations import Activations
from petrelwood.node.front import Front

CHECK_INTERVAL = 0.01  # seconds between two checks of whether the shutdown is complete
# Iterations of the event loop within which data that was read is handed to its connection, and handled.
ITERATIONS_TO_HANDLE = 2


class ClosableIntake(Protocol):
    """The stage that admits activations."""

    closing: bool  # whether new requests are rejected


class ShutdownCore(Protocol):
    """The interface of the dispatcher for its shutdown."""

    @property
    def intake(self) -> ClosableIntake:
        """The stage that admits activations."""

    @property
    def pending(self) -> PendingActivations:
        """The activations without a final answer."""

    @property
    def activations(self) -> Activations:
        """The stage that ends activations."""

    @property
    def scheduler(self) -> Scheduler:
        """The decision module."""

    @property
    def front(self) -> Front:
        """The client connections."""

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def submit(self, call: Callable[..., object], /, *args: object) -> object:
        """Make a call at once, or after the call in progress."""


class GracefulShutdown:
    """The shutdown of one dispatcher.

    It listens until the end, because connections in the listen queue may carry requests, which a closed
    listener would lose. `started_at`: the earliest time at which SIGTERM can have arrived; `max_timeout`: the
    longest action timeout. Times are in ns.
    """

    def __init__(self, core: ShutdownCore, started_at: int, max_timeout: int) -> None:
        self.core = core
        self.times = Shutdown(started_at, max_timeout)

    async def drain(self) -> None:
        """Wait until all requests are answered and the sockets are quiescent, or the time is up."""
        core = self.core
        while not self.times.may_exit(core.now(), len(core.pending.activations), core.front.is_drained()):
            self._check()
            await asyncio.sleep(CHECK_INTERVAL)
        await self._read_last_requests()

    async def _read_last_requests(self) -> None:
        """Reject the requests that came last, whatever clients that misuse their connections send."""
        core = self.core
        while core.front.has_unread_requests() and self.times.may_read_on(core.now()):
            await asyncio.sleep(0)
        core.front.stop_reading()
        for _ in range(ITERATIONS_TO_HANDLE):
            await asyncio.sleep(0)

    def _check(self) -> None:
        core = self.core
        core.intake.closing = self.times.is_admission_closed(core.now())
        if self.times.is_admission_closed(core.now()) and not core.pending.activations:
            core.front.close_idle()  # a client that keeps sending must not keep the others connected
        if self.times.must_answer_all(core.now()):
            for activation_id in sorted(core.pending.activations):
                core.submit(self._answer, activation_id)

    def _answer(self, activation_id: str) -> None:
        """End an activation that can't complete before the process ends.

        The decision module chooses the answer by the ends of the attempts, as it does at the deadline.
        """
        if activation_id in self.core.pending.activations:
            self.core.scheduler.process_ending(self.core.now(), activation_id)
            self.core.activations.time_out(activation_id)
