"""What can be served: how long what is held will take, and when those that were rejected should retry.

By Little's law what is held, over the pace at which answers leave, is the time that one more will stay. It is
believed only where enough is held for it to mean a queue and not a lull.
"""

from petrelwood.decide.overload.sliding_window import SlidingWindowCounter

SECOND = 1_000_000_000
BUCKET = SECOND // 4
BUCKETS = 17  # four seconds and the one that fills
LEAST_QUEUE = 2
FREE_PART = 0.25  # of the bound, that has to be free before a retry finds capacity


class ThroughputEstimate:
    """`enough`: activations held from which a queue is believed. Times in ns."""

    __slots__ = ("answers", "enough")

    def __init__(self, enough: int) -> None:
        self.enough = max(LEAST_QUEUE, enough)
        self.answers = SlidingWindowCounter(BUCKET, BUCKETS)

    def record_answer(self, now: int) -> None:
        """One that was held has its answer, whatever it is."""
        self.answers.add(now)

    def expected_stay(self, now: int, held: int) -> int | None:
        """How long one more would stay; None where nothing is known or there is no queue."""
        if held < self.enough:
            return None
        answered = sum(self.answers.ended_buckets(now))
        return held * BUCKET * (BUCKETS - 1) // answered if answered else None

    def is_too_late(self, now: int, held: int, due: int) -> bool:
        """Whether one more could not be answered in time any more."""
        stay = self.expected_stay(now, held)
        return stay is not None and now + stay > due

    def retry_after(self, now: int, held: int, limit: float) -> int | None:
        """How long until there should be capacity again; None where nothing is known.

        That is until what is over three quarters of the bound has left.
        """
        stay = self.expected_stay(now, held)
        if stay is None:
            return None
        return int(stay * max(FREE_PART, 1 - (1 - FREE_PART) * min(limit, held) / held))
