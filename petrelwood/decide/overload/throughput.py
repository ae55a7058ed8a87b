"""What can be served: how long what is held will take, and when those turned away should come back.

By Little's law what is held, over the pace at which answers leave, is the time that one more will stay. It is
believed only where enough is held for it to mean a queue and not a lull."""

from petrelwood.decide.overload.sliding_window import SlidingWindowCounter

SECOND = 1_000_000_000
WINDOW, BUCKETS = SECOND // 4, 17  # four seconds and the one that fills


class ThroughputEstimate:
    """`enough`: activations held from which a queue is believed. Times in ns."""

    def __init__(self, enough):
        self.enough, self.left = max(2, enough), SlidingWindowCounter(WINDOW, BUCKETS)

    def ended(self, now):
        """One that was held has its answer, whatever it is."""
        self.left.add(now)

    def stay(self, now, held):
        """How long one more would stay, ns; None where nothing is known or there is no queue."""
        if held < self.enough:
            return None
        ended = sum(self.left.whole(now))
        return held * WINDOW * (BUCKETS - 1) // ended if ended else None

    def too_late(self, now, held, due):
        """Whether one more could not be answered in time any more."""
        stay = self.stay(now, held)
        return stay is not None and now + stay > due

    def come_back(self, now, held, limit):
        """How long until there should be room again, ns: until what is over three quarters of the bound has
        left; None where nothing is known."""
        stay = self.stay(now, held)
        return None if stay is None else int(stay * max(0.25, 1 - 0.75 * min(limit, held) / held))
