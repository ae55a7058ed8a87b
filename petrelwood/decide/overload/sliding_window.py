"""Counts over time: buckets in a ring, of which the oldest fall out. Times in ns."""


class SlidingWindowCounter:
    def __init__(self, width, count):
        self.width, self.buckets, self.last = width, [0] * count, None

    def _pass(self, now):
        at = now // self.width
        if self.last is None or at - self.last >= len(self.buckets):
            self.buckets = [0] * len(self.buckets)
        else:
            for gone in range(self.last + 1, at + 1):
                self.buckets[gone % len(self.buckets)] = 0
        if self.last is None or at > self.last:
            self.last = at

    def add(self, now, count=1):
        self._pass(now)
        self.buckets[self.last % len(self.buckets)] += count

    def sum(self, now):
        self._pass(now)
        return sum(self.buckets)

    def whole(self, now):
        """The buckets that have ended, oldest first: the one that still fills is left out."""
        self._pass(now)
        size = len(self.buckets)
        return [self.buckets[(self.last + 1 + i) % size] for i in range(size - 1)]
