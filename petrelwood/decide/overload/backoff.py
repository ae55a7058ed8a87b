"""Exponential backoff with jitter, and a retry budget, for links, the roster, addresses and attempts.

Waits double from `first` up to `most`. Each wait is drawn from the upper half of its range, or with `full`
from the whole range, so that callers that failed together do not retry together. A `Budget` limits retries in
proportion to first attempts.
"""

from collections.abc import Callable

MAX_DOUBLINGS = 16  # of the first wait
ROUNDING = 1e-9  # by which a sum of ratios, such as ten times 0.1, may fall short of 1


class Backoff:
    """Exponential backoff with jitter. Times in ns; `chance()` returns a random number in [0, 1)."""

    __slots__ = ("chance", "failures", "first", "full", "most", "not_before")

    def __init__(self, first: int, most: int, chance: Callable[[], float], full: bool = False) -> None:
        self.first = first
        self.most = most
        self.chance = chance
        self.full = full
        self.failures = 0  # consecutive
        self.not_before = 0  # the time from which the next attempt may be made

    def failed(self, now: int) -> int:
        """Record a failure; return the time before which no retry may be made."""
        wait = min(self.first << min(self.failures, MAX_DOUBLINGS), self.most)
        self.failures += 1
        least = 0 if self.full else wait // 2
        self.not_before = now + least + int(self.chance() * (wait - least))
        return self.not_before

    def succeeded(self) -> None:
        """Record a success: the wait after the next failure is the first one again."""
        self.failures = 0
        self.not_before = 0

    def may_retry(self, now: int) -> bool:
        """Return whether the wait is over."""
        return now >= self.not_before


class Budget:
    """A budget of retries, in proportion to first attempts.

    Each first attempt earns `ratio` of a retry; at most `most` retries are saved up. With `every` (ns), each
    period of that length earns one retry too, so that retries continue without first attempts.
    """

    __slots__ = ("available", "credited_until", "every", "most", "ratio", "rejected")

    def __init__(self, ratio: float, most: float, every: int = 0) -> None:
        self.ratio = ratio
        self.most = most
        self.available = most
        self.every = every
        self.credited_until = 0  # the time up to which elapsed time has been credited
        self.rejected = 0

    def earn(self) -> None:
        """Record a first attempt."""
        self.available = min(self.most, self.available + self.ratio)

    def spend(self, now: int = 0) -> bool:
        """Charge a retry to the budget; return False if the budget does not allow one."""
        if self.every and now > self.credited_until:
            self.available = min(self.most, self.available + (now - self.credited_until) / self.every)
            self.credited_until = now
        if self.available < 1 - ROUNDING:
            self.rejected += 1
            return False
        self.available -= 1
        return True
