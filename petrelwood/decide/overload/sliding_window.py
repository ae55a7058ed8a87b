"""A counter over a sliding window, in a ring of buckets. Times in ns.

`decide.scheduling.window_counter.BackdatedCounter` also counts past events, and bounds its counts.
"""


class SlidingWindowCounter:
    """Counts events in `count` buckets that each cover `width` ns."""

    __slots__ = ("buckets", "last", "width")

    def __init__(self, width: int, count: int) -> None:
        self.width = width
        self.buckets = [0] * count
        self.last: int | None = None  # number of the current bucket

    @property
    def span(self) -> int:
        """The time that all buckets cover, ns."""
        return self.width * len(self.buckets)

    def add(self, now: int, count: int = 1) -> None:
        """Count events that happen now."""
        last = self._advance(now)  # first, because it may replace `self.buckets`
        self.buckets[last % len(self.buckets)] += count

    def sum(self, now: int) -> int:
        """Return the number of events in the window, the current bucket included."""
        self._advance(now)
        return sum(self.buckets)

    def ended_buckets(self, now: int) -> list[int]:
        """Return the counts of the buckets before the current one, oldest first."""
        last = self._advance(now)
        size = len(self.buckets)
        return [self.buckets[(last + 1 + i) % size] for i in range(size - 1)]

    def _advance(self, now: int) -> int:
        """Clear the buckets that have left the window, and return the number of the current one."""
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
