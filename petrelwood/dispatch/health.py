"""Heartbeats of this dispatcher to the BGP speaker beside it.

They are sent from the dispatcher's own event loop, so a dispatcher that hangs sends none. While another
process owns new activations (`retired`, during a hand-over), that process sends the heartbeats instead.
"""

import asyncio
from typing import Protocol

from petrelwood.bgp.heartbeats import HEARTBEAT_SECONDS, HeartbeatSender
from petrelwood.decide.bgp.service_health import HealthReport
from petrelwood.decide.cluster.membership import Membership
from petrelwood.decide.overload.intake import Intake
from petrelwood.decide.overload.sliding_window import SlidingWindowCounter
from petrelwood.dispatch.durable_state import DurableState
from petrelwood.dispatch.handover.hooks import HandoverHooks
from petrelwood.dispatch.recent_answers import RecentAnswers

SECOND = 1_000_000_000
HEARTBEAT_INTERVAL = int(HEARTBEAT_SECONDS * SECOND)  # ns
STALL_BUCKET = SECOND // 2  # ns
STALL_BUCKETS = 5  # so a stall is reported for at least two seconds


class HealthCore(Protocol):
    """The parts of the core that a health report uses."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop that the dispatcher runs on."""

    @property
    def intake(self) -> Intake:
        """The admission stage, which is closed during a graceful shutdown."""

    @property
    def membership(self) -> Membership:
        """The workers by the endpoint list."""

    @property
    def recent_answers(self) -> RecentAnswers:
        """The outcomes of the answers of the last ten seconds."""

    @property
    def durable_state(self) -> DurableState | None:
        """The durable record of activations, or None if none is kept."""

    @property
    def handover(self) -> HandoverHooks:
        """The hand-over state: whether another process owns new activations."""

    def now(self) -> int:
        """Return the monotonic time in ns."""


class HeartbeatReporter:
    """Reports the health of a dispatcher at a fixed interval. `path`: the speaker's datagram socket."""

    def __init__(self, path: str, core: HealthCore) -> None:
        self.core = core
        self.sender = HeartbeatSender(path)
        self.task: asyncio.Task[None] | None = None
        self.last_report = core.now()
        self.stalls = SlidingWindowCounter(STALL_BUCKET, STALL_BUCKETS)

    def open(self) -> None:
        """Begin to send heartbeats."""
        self.task = self.core.loop.create_task(self._send_heartbeats())

    def report(self) -> HealthReport:
        """Return the health of the dispatcher at this moment."""
        core = self.core
        now = core.now()
        self._note_stall(now)
        membership = core.membership
        return HealthReport(
            closing=core.intake.closing,
            list_age=now - membership.last_contact_at if membership.is_lost else 0,
            usable_workers=sum(1 for worker in membership.members if membership.is_usable(worker)),
            completed=core.recent_answers.completed.sum(now),
            failed=core.recent_answers.failed.sum(now),
            stalled=self.stalls.sum(now),
            is_durable=core.durable_state is None or core.durable_state.log.stopped is None,
        )

    def _note_stall(self, now: int) -> None:
        """Add the time by which this report is late.

        The sum over the window is at least the longest stall in it.
        """
        stalled = max(0, now - self.last_report - HEARTBEAT_INTERVAL)
        if stalled > HEARTBEAT_INTERVAL:
            self.stalls.add(now, stalled)
        self.last_report = now

    async def _send_heartbeats(self) -> None:
        while True:
            self.send_now()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def send_now(self) -> None:
        """Send a heartbeat immediately, as at the beginning of a graceful shutdown."""
        if not self.core.handover.retired:
            self.sender.send(self.report())

    def close(self) -> None:
        """Stop sending heartbeats."""
        if self.task is not None:
            self.task.cancel()
        self.sender.close()
