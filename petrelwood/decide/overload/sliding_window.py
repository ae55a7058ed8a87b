"""A counter over a sliding window, in a ring of buckets. Times in ns.

`decide.scheduling.window_counter.BackdatedCounter` also takes past events, and bounds its counts.
"""


class SlidingWindowCounter:
    """Counts events in `count` buckets of `width` each."""

    __slots__ = ("buckets", "last", "width")

    def __init__(self, width: int, count: int) -> None:
        self.width = width
        self.buckets = [0] * count
        self.last: int | None = None  # number of the bucket that is filling

    @property
    def span(self) -> int:
        """The time that all buckets cover."""
        return self.width * len(self.buckets)

    def add(self, now: int, count: int = 1) -> None:
        """Count events that happen now."""
        last = self._advance(now)  # before the line below looks up `self.buckets`, which it may replace
        self.buckets[last % len(self.buckets)] += count

    def sum(self, now: int) -> int:
        """Return the events of the window, with those of the bucket that is filling."""
        self._advance(now)
        return sum(self.buckets)

    def ended_buckets(self, now: int) -> list[int]:
        """Return the counts of the buckets that are full, oldest first, without the one that is filling."""
        last = self._advance(now)
        size = len(self.buckets)
        return [self.buckets[(last + 1 + i) % size] for i in range(size - 1)]

    def _advance(self, now: int) -> int:
        """Empty the buckets that have left the window, and return the number of the one that is filling."""
        current = now // self.width
        last = self.last
        if last is None or current - last >= len(self.buckets):
            self.buckets = [0] * len(self.buckets)
        else:
            for emptied in range(last + 1, current + 1):
                self.buckets[emptied % len(self.buckets)] = 0
        if last is None or current > last:
            last = current
        self.last = last
        return last
