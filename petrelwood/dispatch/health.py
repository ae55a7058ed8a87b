"""What this dispatcher says of itself to the speaker beside it, from its own loop: one that hangs falls
silent.

While another process owns what is new (`retired`), it says nothing: the one that owns does.
"""

import asyncio

from petrelwood.bgp.heartbeats import EVERY, HeartbeatSender
from petrelwood.decide.overload.sliding_window import SlidingWindowCounter
from petrelwood.decide.routing.serving import HealthReport

SECOND = 1_000_000_000
LATELY = SECOND // 2, 5  # buckets in which a stall is remembered


class Health:
    def __init__(self, path, core):
        self.sender, self.core, self.task, self.last, self.stalls = (
            HeartbeatSender(path),
            core,
            None,
            core.now(),
            SlidingWindowCounter(*LATELY),
        )

    def open(self):
        self.task = self.core.loop.create_task(self._heartbeats())

    def facts(self):
        core, now = self.core, self.core.now()
        # What it stood still for counts for two seconds: the sum over the window is at least the longest of
        # them.
        stalled = max(0, now - self.last - int(EVERY * SECOND))
        if stalled > EVERY * SECOND:
            self.stalls.add(now, stalled)
        self.last = now
        listed = now - core.membership.heard if core.membership.lost else 0
        usable = sum(1 for worker in core.membership.members if core.membership.usable(worker))
        return HealthReport(
            core.intake.closing,
            listed,
            usable,
            core.goods.sum(now),
            core.bads.sum(now),
            self.stalls.sum(now),
            core.state is None or core.state.stopped is None,
        )

    async def _heartbeats(self):
        while True:
            self.heartbeat()
            await asyncio.sleep(EVERY)

    def heartbeat(self):
        """Now: at the beginning of a drain without waiting for the next."""
        if not self.core.retired:
            self.sender.send(self.facts())

    def close(self):
        if self.task is not None:
            self.task.cancel()
        self.sender.close()
