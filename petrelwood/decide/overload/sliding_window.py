"""Counts over the last while: buckets in a ring, of which the oldest fall out. Times in ns."""


class SlidingWindowCounter:
    """Counts events in `count` buckets of `width` each."""

    __slots__ = ("buckets", "last", "width")

    def __init__(self, width: int, count: int) -> None:
        self.width = width
        self.buckets = [0] * count
        self.last: int | None = None  # number of the bucket that fills

    @property
    def span(self) -> int:
        """The time that all buckets cover."""
        return self.width * len(self.buckets)

    def add(self, now: int, count: int = 1) -> None:
        """Counts events that happen now."""
        last = self._advance(now)  # which may put other buckets there
        self.buckets[last % len(self.buckets)] += count

    def sum(self, now: int) -> int:
        """The events of the window, with those of the bucket that still fills."""
        self._advance(now)
        return sum(self.buckets)

    def ended_buckets(self, now: int) -> list[int]:
        """The buckets that have ended, oldest first: the one that still fills is left out."""
        last = self._advance(now)
        size = len(self.buckets)
        return [self.buckets[(last + 1 + i) % size] for i in range(size - 1)]

    def _advance(self, now: int) -> int:
        """Empties the buckets that have fallen out; the number of the one that fills."""
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
