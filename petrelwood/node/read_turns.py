"""Limits the time that one iteration of the event loop spends on the data of clients.

Data beyond that waits for the next iterations, in which `decide.overload.fair_queue` chooses whose data is
handled. Meanwhile the event loop handles answers of workers, deadlines and the data of other clients.
"""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from petrelwood.decide.overload.fair_queue import FairQueue, Share
from petrelwood.decide.overload.resource_limits import READ_TIME_PER_ITERATION


class _Turn(NamedTuple):
    """Data that waits to be handled."""

    handle: Callable[[], object]
    done: asyncio.Future[None]


class ReadTurns:
    """The turns of all client connections; `now` returns the monotonic time in ns."""

    def __init__(self, loop: asyncio.AbstractEventLoop, now: Callable[[], int]) -> None:
        self.loop = loop
        self.now = now
        self._queue: FairQueue[_Turn] = FairQueue()
        self._used = 0  # ns of this iteration of the event loop
        self._is_scheduled = False  # whether `_next_iteration` will be called

    def new_share(self) -> Share:
        """Return the share of a new connection."""
        return self._queue.new_share()

    async def take(self, share: Share, handle: Callable[[], object]) -> None:
        """Call `handle` at the connection's turn, at once if there is time left in this iteration."""
        if not self._queue and self._used < READ_TIME_PER_ITERATION:
            self._run(share, handle)
            return
        turn = _Turn(handle, self.loop.create_future())
        self._queue.push(share, turn)
        self._schedule()
        await turn.done

    def _run(self, share: Share, handle: Callable[[], object]) -> None:
        started_at = self.now()
        try:
            handle()
        finally:
            cost = self.now() - started_at
            self._used += cost
            self._queue.charge(share, cost)
            self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self.loop.call_soon(self._next_iteration)

    def run_for(self, duration: int) -> None:
        """Call what waits for a turn for `duration` ns, because the process ends."""
        until = self.now() + duration
        while self._queue and self.now() < until:
            self._run_next()

    def _next_iteration(self) -> None:
        self._is_scheduled = False
        self._used = 0
        while self._queue and self._used < READ_TIME_PER_ITERATION:
            self._run_next()

    def _run_next(self) -> None:
        share, turn = self._queue.pop()
        if turn.done.done():  # its connection is no longer served
            return
        try:
            self._run(share, turn.handle)
        except Exception as error:
            turn.done.set_exception(error)
        else:
            turn.done.set_result(None)
