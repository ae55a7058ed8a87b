"""Clocks with monotonic time, wall-clock time and timers: a real clock and a virtual one.

Each clock has `now()`, in ns, which never goes back; `wall()`, in ns of the epoch, which may be stepped;
`steady_wall()`, the wall-clock time without steps, for durations; and `at(when, call, *args)`, which starts a
timer that can be cancelled.
"""

import asyncio
import heapq
import time
from collections.abc import Callable
from typing import Any, Protocol

from petrelwood.decide.wall_clock import UnsteppedWallClock

READINGS = 3  # pairs of readings; the fastest pair is used, as the process may be suspended within a pair
WALL = 1_700_000_000 * 10**9  # ns of the epoch at which virtual time begins


class Timer(Protocol):
    """A call that is scheduled for a later time."""

    def cancel(self) -> None:
        """Cancel the call; has no effect after the call was made."""


def _both_clocks() -> tuple[int, int, int]:
    """Read both clocks; return the duration of the reading and the times: (ns, monotonic, wall)."""
    before = time.monotonic_ns()
    wall = time.time_ns()
    return time.monotonic_ns() - before, before, wall


class LoopClock:
    """The real clock, with timers on the running asyncio loop."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.unstepped = UnsteppedWallClock()
        self.unstepped.read(*min(_both_clocks() for _ in range(READINGS))[1:])

    now = staticmethod(time.monotonic_ns)
    wall = staticmethod(time.time_ns)

    def steady_wall(self) -> int:
        """Return the first wall-clock reading advanced by the monotonic clock, ns of the epoch."""
        return self.unstepped.read(time.monotonic_ns(), time.time_ns())

    def at(self, when: int, call: Callable[..., object], *args: Any) -> Timer:
        """Schedule `call(*args)` at the time `when` (ns of `now()`), or immediately if that is past."""
        return self.loop.call_later(max(0, when - time.monotonic_ns()) / 1e9, call, *args)


class _Entry:
    __slots__ = ("args", "call")

    def __init__(self, call: Callable[..., object], args: tuple[Any, ...]) -> None:
        self.call: Callable[..., object] | None = call
        self.args = args

    def cancel(self) -> None:
        """Cancel the call."""
        self.call = None


class VirtualClock:
    """A clock whose time advances only in `run`, from one timer to the next.

    Calls that are due at the same time are made in the order in which they were scheduled. `start`: its first
    `now()`, ns.
    """

    def __init__(self, start: int = 0) -> None:
        self.time = start
        self.heap: list[tuple[int, int, _Entry]] = []
        self.scheduled = 0  # number of calls scheduled so far; orders calls that are due at the same time

    def now(self) -> int:
        """Return the virtual time in ns."""
        return self.time

    def wall(self) -> int:
        """Return the virtual wall-clock time in ns of the epoch."""
        return WALL + self.time

    def steady_wall(self) -> int:
        """Return the same as `wall`: virtual time has no steps."""
        return WALL + self.time

    def at(self, when: int, call: Callable[..., object], *args: Any) -> Timer:
        """Schedule `call(*args)` at the time `when` (ns of `now()`), or now if that is past."""
        entry = _Entry(call, args)
        self.scheduled += 1
        heapq.heappush(self.heap, (max(when, self.time), self.scheduled, entry))
        return entry

    def run(self, until: int) -> int:
        """Advance the time to `until` (ns), making the calls that are due; return how many were made."""
        happened = 0
        while self.heap and self.heap[0][0] <= until:
            self.time, _, entry = heapq.heappop(self.heap)
            if entry.call is not None:
                happened += 1
                entry.call(*entry.args)
        self.time = max(self.time, until)
        return happened
