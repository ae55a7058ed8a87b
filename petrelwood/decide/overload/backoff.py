"""Backoff and a budget of retries, for links, the roster, addresses and attempts.

Waits double from `first` to `most`, each drawn from its upper half, or with `full` from all of it, so that
those that failed together do not come back together. A `Budget` bounds retries by first attempts.
"""

from collections.abc import Callable

MOST_DOUBLINGS = 16
ROUNDING = 1e-9  # a sum of ratios, such as ten times 0.1, may be less than 1 by this


class Backoff:
    """Exponential backoff with jitter; times in ns, `chance()` is drawn in [0, 1)."""

    __slots__ = ("chance", "failures", "first", "full", "most", "not_before")

    def __init__(self, first: int, most: int, chance: Callable[[], float], full: bool = False) -> None:
        self.first = first
        self.most = most
        self.chance = chance
        self.full = full
        self.failures = 0  # in a row
        self.not_before = 0  # when the next attempt may be made

    def failed(self, now: int) -> int:
        """Note a failure, and return the time before which no retry may be made."""
        wait = min(self.first << min(self.failures, MOST_DOUBLINGS), self.most)
        self.failures += 1
        least = 0 if self.full else wait // 2
        self.not_before = now + least + int(self.chance() * (wait - least))
        return self.not_before

    def succeeded(self) -> None:
        """Note a success: the next failure is followed by the first wait again."""
        self.failures = 0
        self.not_before = 0

    def may_retry(self, now: int) -> bool:
        """Return whether the wait is over."""
        return now >= self.not_before


class Budget:
    """A budget of retries, in proportion to first attempts.

    Each first attempt earns `ratio` of a retry, up to `most` that are saved. With `every` (ns), each such
    time earns a retry too, so that retries go on without first attempts.
    """

    __slots__ = ("every", "left", "most", "ratio", "rejected", "since")

    def __init__(self, ratio: float, most: float, every: int = 0) -> None:
        self.ratio = ratio
        self.most = most
        self.left = most
        self.every = every
        self.since = 0  # until when time has earned
        self.rejected = 0

    def earn(self) -> None:
        """Note a first attempt."""
        self.left = min(self.most, self.left + self.ratio)

    def spend(self, now: int = 0) -> bool:
        """Return whether a retry may be made, and charge it if so."""
        if self.every and now > self.since:
            self.left = min(self.most, self.left + (now - self.since) / self.every)
            self.since = now
        if self.left < 1 - ROUNDING:
            self.rejected += 1
            return False
        self.left -= 1
        return True
