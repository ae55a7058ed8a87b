"""Estimates of the time until one more activation is answered, and of the Retry-After of rejected ones.

By Little's law the expected time is the number of unanswered activations divided by the rate of answers. The
estimate is used only if enough activations are unanswered to indicate a queue; with fewer, a low rate just
means little traffic.
"""

from petrelwood.decide.overload.sliding_window import SlidingWindowCounter

SECOND = 1_000_000_000  # ns
BUCKET = SECOND // 4  # ns
BUCKETS = 17  # four seconds and the current bucket
MIN_QUEUE = 2  # lower bound of the number of unanswered activations that indicates a queue
FREE_SHARE = 0.25  # share of the limit that must be free before a retry is expected to be admitted


class ThroughputEstimate:
    """The rate of answers. At least `min_queue` unanswered activations indicate a queue. Times in ns."""

    __slots__ = ("answers", "min_queue")

    def __init__(self, min_queue: int) -> None:
        self.min_queue = max(MIN_QUEUE, min_queue)
        self.answers = SlidingWindowCounter(BUCKET, BUCKETS)

    def record_answer(self, now: int) -> None:
        """Count a final answer of any outcome."""
        self.answers.add(now)

    def expected_wait(self, now: int, unanswered: int) -> int | None:
        """Return how long one more activation would wait for its answer; None if there is no estimate."""
        if unanswered < self.min_queue:
            return None
        answered = sum(self.answers.ended_buckets(now))
        return unanswered * BUCKET * (BUCKETS - 1) // answered if answered else None

    def is_too_late(self, now: int, unanswered: int, due: int) -> bool:
        """Return whether one more activation would not be answered by `due`."""
        wait = self.expected_wait(now, unanswered)
        return wait is not None and now + wait > due

    def retry_after(self, now: int, unanswered: int, limit: float) -> int | None:
        """Return how long until there should be capacity again; None if it can't be estimated.

        There is capacity when the number of unanswered activations has fallen to three quarters of the limit.
        """
        wait = self.expected_wait(now, unanswered)
        if wait is None:
            return None
        return int(wait * max(FREE_SHARE, 1 - (1 - FREE_SHARE) * min(limit, unanswered) / unanswered))
