"""The completion rate, used to compare a process or a version with the one before it."""

from typing import NamedTuple


class CompletionRate(NamedTuple):
    """The share of answers that completed (0 to 1), and the number of answers that it is based on."""

    share: float
    answers: int


NO_ANSWERS = CompletionRate(1.0, 0)


class CompletionCounter:
    """Counts answers that completed their activation, and answers that did not."""

    __slots__ = ("completed", "failed")

    def __init__(self) -> None:
        self.completed = 0
        self.failed = 0

    @property
    def answers(self) -> int:
        """Return the total number of answers."""
        return self.completed + self.failed

    def record(self, completed: bool) -> None:
        """Count one answer; `completed` tells whether it completed its activation."""
        if completed:
            self.completed += 1
        else:
            self.failed += 1

    def halve(self) -> None:
        """Halve both counts, so that later answers have more weight."""
        self.completed //= 2
        self.failed //= 2

    def restart(self, completed: int = 0, failed: int = 0) -> None:
        """Set both counts, by default to 0."""
        self.completed = completed
        self.failed = failed

    def rate(self) -> CompletionRate:
        """Return the completion rate; its share is 1.0 if there were no answers."""
        if not self.answers:
            return NO_ANSWERS
        return CompletionRate(self.completed / self.answers, self.answers)
