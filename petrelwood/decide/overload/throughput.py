"""How long one more activation would take to be answered, and when rejected ones should be sent again.

By Little's law the expected time is the number of activations without an answer, divided by the rate of
answers. It is trusted only from a number on that means a queue; below it a low rate means little traffic.
"""

from petrelwood.decide.overload.sliding_window import SlidingWindowCounter

SECOND = 1_000_000_000  # ns
BUCKET = SECOND // 4  # ns
BUCKETS = 17  # four seconds, and the bucket that is filling
LEAST_QUEUE = 2  # activations without an answer that are never too few to mean a queue
FREE_PART = 0.25  # of the limit, that has to be free before a retry is expected to be admitted


class ThroughputEstimate:
    """The rate of answers; `enough`: unanswered activations from which on they mean a queue. Times in ns."""

    __slots__ = ("answers", "enough")

    def __init__(self, enough: int) -> None:
        self.enough = max(LEAST_QUEUE, enough)
        self.answers = SlidingWindowCounter(BUCKET, BUCKETS)

    def record_answer(self, now: int) -> None:
        """Count a final answer, whatever it is."""
        self.answers.add(now)

    def expected_wait(self, now: int, unanswered: int) -> int | None:
        """Return how long one more would wait for its answer; None if there is no queue or no answer yet."""
        if unanswered < self.enough:
            return None
        answered = sum(self.answers.ended_buckets(now))
        return unanswered * BUCKET * (BUCKETS - 1) // answered if answered else None

    def is_too_late(self, now: int, unanswered: int, due: int) -> bool:
        """Return whether one more would not be answered by `due`."""
        stay = self.expected_wait(now, unanswered)
        return stay is not None and now + stay > due

    def retry_after(self, now: int, unanswered: int, limit: float) -> int | None:
        """Return how long until there should be capacity again; None where nothing is known.

        That is until the number without an answer has fallen to three quarters of the limit.
        """
        stay = self.expected_wait(now, unanswered)
        if stay is None:
            return None
        return int(stay * max(FREE_PART, 1 - (1 - FREE_PART) * min(limit, unanswered) / unanswered))
