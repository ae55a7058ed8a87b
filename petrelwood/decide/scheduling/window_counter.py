"""A counter over a sliding window, to which past events can still be added, or taken off again.

`decide.overload.sliding_window.SlidingWindowCounter` counts events as they happen. Here an event may be
counted late, at the time when it happened (an activation earns its credit only some time after its arrival),
and an event may be taken back. Since a bucket leaves the window at once as a whole, there are two answers: a
rate limit must not be passed, so what is used is rounded up and what is earned is rounded down.
"""

BUCKETS = 12  # that cover the span: counts are exact to a twelfth of it


class BackdatedCounter:
    """Counts over the last `span` ns, in buckets that are used in turn.

    Attributes:
        width: time that one bucket covers, ns.
        counts: the buckets; one more than cover the span, as the span begins within the oldest.
        newest: number of the newest bucket since time 0; it stands at `newest % len(counts)`.
    """

    __slots__ = ("counts", "newest", "width")

    def __init__(self, span: int) -> None:
        self.width = max(1, -(-span // BUCKETS))
        self.counts = [0] * (BUCKETS + 1)
        self.newest = 0

    def add(self, at: int, count: int = 1) -> None:
        """Count events of time `at`, which may be past; those that have left the window are ignored."""
        self._advance(at)
        bucket = at // self.width
        if bucket + BUCKETS >= self.newest:
            self.counts[bucket % (BUCKETS + 1)] += count

    def upper_bound(self, now: int) -> int:
        """Return a count that is no less than the events of the last span."""
        self._advance(now)
        return sum(self.counts)

    def lower_bound(self, now: int) -> int:
        """Return a count that is no more than the events of the last span."""
        return self.upper_bound(now) - self.counts[(self.newest + 1) % (BUCKETS + 1)]

    def _advance(self, now: int) -> None:
        """Empty the buckets that have left the window."""
        bucket = now // self.width
        for emptied in range(max(self.newest + 1, bucket - BUCKETS), bucket + 1):
            self.counts[emptied % (BUCKETS + 1)] = 0
        self.newest = max(self.newest, bucket)
