"""Clocks: `now()` in ns, `wall()` in ns of the epoch, `at(when, call, *args)` with a handle that can be
cancelled."""

import asyncio
import heapq
import time

WALL = 1_700_000_000 * 10**9  # where virtual time begins on the wall


class LoopClock:
    """The real clock, on a running asyncio loop."""

    def __init__(self):
        self.loop = asyncio.get_running_loop()

    now = staticmethod(time.monotonic_ns)
    wall = staticmethod(time.time_ns)

    def at(self, when, call, *args):
        return self.loop.call_later(max(0, when - time.monotonic_ns()) / 1e9, call, *args)


class _Entry:
    __slots__ = ("call", "args")

    def __init__(self, call, args):
        self.call, self.args = call, args

    def cancel(self):
        self.call = None


class VirtualClock:
    """Time that passes as fast as it can. What is due at one time happens in the order in which it was
    asked."""

    def __init__(self, start=0):
        self.time, self.heap, self.asked = start, [], 0

    def now(self):
        return self.time

    def wall(self):
        return WALL + self.time

    def at(self, when, call, *args):
        entry = _Entry(call, args)
        self.asked += 1
        heapq.heappush(self.heap, (max(when, self.time), self.asked, entry))
        return entry

    def run(self, until):
        """Lets time pass up to `until`; how many things happened."""
        happened = 0
        while self.heap and self.heap[0][0] <= until:
            self.time, _, entry = heapq.heappop(self.heap)
            if entry.call is not None:
                happened += 1
                entry.call(*entry.args)
        self.time = max(self.time, until)
        return happened
