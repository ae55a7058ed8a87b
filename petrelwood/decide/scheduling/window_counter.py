"""A counter over a sliding window that can add and remove past events.

`decide.overload.sliding_window.SlidingWindowCounter` counts events when they happen. This counter can count
an event later, at the time when it happened (an activation is credited some time after its arrival), and can
remove it again. A bucket leaves the window as a whole, so the exact count is known only within bounds. A rate
limit must not be exceeded, so its usage is taken from the upper bound and its credit from the lower bound.
"""

BUCKETS = 12  # buckets per span; the window is exact to one bucket, a twelfth of the span


class BackdatedCounter:
    """Counts the events of the last `span` ns in a ring of buckets.

    Attributes:
        width: time that one bucket covers, ns.
        counts: the buckets; one more than `BUCKETS`, because the span begins within the oldest one.
        newest: number of the newest bucket since time 0; its index is `newest % len(counts)`.
    """

    __slots__ = ("counts", "newest", "width")

    def __init__(self, span: int) -> None:
        self.width = max(1, -(-span // BUCKETS))
        self.counts = [0] * (BUCKETS + 1)
        self.newest = 0

    def add(self, at: int, count: int = 1) -> None:
        """Count events at time `at`, which may be past; those that have left the window are ignored."""
        self._advance(at)
        bucket = at // self.width
        if bucket + BUCKETS >= self.newest:
            self.counts[bucket % (BUCKETS + 1)] += count

    def upper_bound(self, now: int) -> int:
        """Return an upper bound of the number of events in the last span."""
        self._advance(now)
        return sum(self.counts)

    def lower_bound(self, now: int) -> int:
        """Return a lower bound of the number of events in the last span."""
        return self.upper_bound(now) - self.counts[(self.newest + 1) % (BUCKETS + 1)]

    def _advance(self, now: int) -> None:
        """Clear the buckets that have left the window."""
        bucket = now // self.width
        for emptied in range(max(self.newest + 1, bucket - BUCKETS), bucket + 1):
            self.counts[emptied % (BUCKETS + 1)] = 0
        self.newest = max(self.newest, bucket)
