"""Clocks: the time, the time of day, and calls at a time to come.

Each has `now()` in ns, which never goes back, `wall()` in ns of the epoch, which may be stepped,
`steady_wall()`, the same without its steps, for spans of time, and `at(when, call, *args)`, whose result can
be cancelled.
"""

import asyncio
import heapq
import time
from collections.abc import Callable
from typing import Any, Protocol

from petrelwood.decide.wall_clock import UnsteppedWallClock

READINGS = 3  # of both clocks, of which the closest pair counts: a process may be held up between two
WALL = 1_700_000_000 * 10**9  # where virtual time begins on the wall


class Timer(Protocol):
    """A call at a time to come."""

    def cancel(self) -> None:
        """The call is not made; without effect once it was."""


def _both_clocks() -> tuple[int, int, int]:
    """How far apart the two were read, and what they said: (ns, monotonic, wall)."""
    before = time.monotonic_ns()
    wall = time.time_ns()
    return time.monotonic_ns() - before, before, wall


class LoopClock:
    """The real clock, on a running asyncio loop."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.unstepped = UnsteppedWallClock()
        self.unstepped.read(*min(_both_clocks() for _ in range(READINGS))[1:])

    now = staticmethod(time.monotonic_ns)
    wall = staticmethod(time.time_ns)

    def steady_wall(self) -> int:
        """The wall clock as it was when this clock was made, carried on by the monotonic one."""
        return self.unstepped.read(time.monotonic_ns(), time.time_ns())

    def at(self, when: int, call: Callable[..., object], *args: Any) -> Timer:
        """Calls `call(*args)` at the time `when`, or soon if that is past."""
        return self.loop.call_later(max(0, when - time.monotonic_ns()) / 1e9, call, *args)


class _Entry:
    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.call: Callable[..., object] | None = call
        self.args = args

    def cancel(self) -> None:
        """The call is not made."""
        self.call = None


class VirtualClock:
    """Time that passes as fast as it can.

    What is due at one time happens in the order in which it was asked.
    """

    def __init__(self, start: int = 0) -> None:
        self.time = start
        self.heap: list[tuple[int, int, _Entry]] = []
        self.asked = 0

    def now(self) -> int:
        """The virtual time in ns."""
        return self.time

    def wall(self) -> int:
        """The virtual time of day in ns of the epoch."""
        return WALL + self.time

    def steady_wall(self) -> int:
        """The same: virtual time has no steps."""
        return WALL + self.time

    def at(self, when: int, call: Callable[..., object], *args: Any) -> Timer:
        """Calls `call(*args)` at the time `when`, or now if that is past."""
        entry = _Entry(call, args)
        self.asked += 1
        heapq.heappush(self.heap, (max(when, self.time), self.asked, entry))
        return entry

    def run(self, until: int) -> int:
        """Lets time pass up to `until`; how many things happened."""
        happened = 0
        while self.heap and self.heap[0][0] <= until:
            self.time, _, entry = heapq.heappop(self.heap)
            if entry.call is not None:
                happened += 1
                entry.call(*entry.args)
        self.time = max(self.time, until)
        return happened
