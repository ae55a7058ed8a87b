"""Graceful shutdown: a dispatcher takes what still comes, then rejects it, and answers all that it owes.

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

CHECK_INTERVAL = 0.01  # seconds


class ClosableIntake(Protocol):
    """The stage that admits activations."""

    closing: bool  # nothing more is admitted


class ShutdownCore(Protocol):
    """What the shutdown needs of the dispatcher."""

    @property
    def intake(self) -> ClosableIntake:
        """The stage that admits activations."""

    @property
    def pending(self) -> PendingActivations:
        """The activations without a final answer."""

    @property
    def activations(self) -> Activations:
        """What ends activations."""

    @property
    def scheduler(self) -> Scheduler:
        """The decision module."""

    @property
    def front(self) -> Front:
        """The clients."""

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def submit(self, call: Callable[..., object], /, *args: object) -> object:
        """Make a call at once, or after the one that is being made."""


class GracefulShutdown:
    """The shutdown of one dispatcher.

    It listens to the last: a connection that the kernel has accepted may have a request in it, which a closed
    listener would lose. `started_at`: when SIGTERM came at the earliest; `longest`: the longest action
    timeout. Times in ns.
    """

    def __init__(self, core: ShutdownCore, started_at: int, longest: int) -> None:
        self.core = core
        self.times = Shutdown(started_at, longest)

    async def drain(self) -> None:
        """Wait until all is answered and the sockets are quiet, or the time is up."""
        core = self.core
        while not self.times.may_exit(core.now(), len(core.pending.activations), core.front.is_drained()):
            self._check()
            await asyncio.sleep(CHECK_INTERVAL)

    def _check(self) -> None:
        core = self.core
        core.intake.closing = self.times.is_admission_closed(core.now())
        if self.times.is_admission_closed(core.now()) and not core.pending.activations:
            core.front.close_idle()  # those that go on sending keep only themselves
        if self.times.must_answer_all(core.now()):
            for activation_id in sorted(core.pending.activations):
                core.submit(self._answer, activation_id)

    def _answer(self, activation_id: str) -> None:
        """End an activation whose time ends with the process.

        The module decides on its answer by how its attempts end, as it does when it is due.
        """
        if activation_id in self.core.pending.activations:
            self.core.scheduler.process_ending(self.core.now(), activation_id)
            self.core.activations.time_out(activation_id)
