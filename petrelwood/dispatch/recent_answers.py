"""The outcomes of recently answered activations."""

from petrelwood.decide.cluster.completion import NO_ANSWERS, CompletionRate
from petrelwood.decide.overload.sliding_window import SlidingWindowCounter

BUCKET = 1_000_000_000  # ns
BUCKETS = 11  # ten seconds, and the bucket that is being filled


class RecentAnswers:
    """Counts of the last ten seconds. Activations whose client disconnected are not counted."""

    __slots__ = ("completed", "failed")

    def __init__(self) -> None:
        self.completed = SlidingWindowCounter(BUCKET, BUCKETS)
        self.failed = SlidingWindowCounter(BUCKET, BUCKETS)

    def record(self, now: int, completed: bool) -> None:
        """Count one final answer."""
        counter = self.completed if completed else self.failed
        counter.add(now)

    def rate(self, now: int) -> CompletionRate:
        """Return the share of answers that completed; `NO_ANSWERS` if there were none."""
        completed: int = self.completed.sum(now)
        answers = completed + self.failed.sum(now)
        return CompletionRate(completed / answers, answers) if answers else NO_ANSWERS
