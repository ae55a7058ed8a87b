"""How the activations ended that were answered lately."""

from petrelwood.decide.cluster.completion import NO_ANSWERS, CompletionRate
from petrelwood.decide.overload.sliding_window import SlidingWindowCounter

BUCKET = 1_000_000_000  # ns
BUCKETS = 11  # ten seconds, and the one that fills


class RecentAnswers:
    """Counts of the last ten seconds. What a client has left is not counted."""

    __slots__ = ("completed", "failed")

    def __init__(self) -> None:
        self.completed = SlidingWindowCounter(BUCKET, BUCKETS)
        self.failed = SlidingWindowCounter(BUCKET, BUCKETS)

    def record(self, now: int, completed: bool) -> None:
        """Count one final answer."""
        counter = self.completed if completed else self.failed
        counter.add(now)

    def rate(self, now: int) -> CompletionRate:
        """Return the share that completed; all, where there was no answer."""
        completed: int = self.completed.sum(now)
        answers = completed + self.failed.sum(now)
        return CompletionRate(completed / answers, answers) if answers else NO_ANSWERS
