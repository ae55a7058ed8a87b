"""The share of answers that completed, by which a process or a version is compared with the one before it."""

from typing import NamedTuple


class CompletionRate(NamedTuple):
    """The share of answers that completed, 0 to 1, and the number of answers that it was measured on."""

    share: float
    answers: int


NO_ANSWERS = CompletionRate(1.0, 0)


class CompletionCounter:
    """Counts answers by whether they completed their activation."""

    __slots__ = ("completed", "failed")

    def __init__(self) -> None:
        self.completed = 0
        self.failed = 0

    @property
    def answers(self) -> int:
        """Return the number of all answers, completed or not."""
        return self.completed + self.failed

    def record(self, completed: bool) -> None:
        """Count one answer; `completed`: whether it completed its activation."""
        if completed:
            self.completed += 1
        else:
            self.failed += 1

    def halve(self) -> None:
        """Halve both counts, so that later answers weigh more."""
        self.completed //= 2
        self.failed //= 2

    def restart(self, completed: int = 0, failed: int = 0) -> None:
        """Replace both counts, by default with 0."""
        self.completed = completed
        self.failed = failed

    def rate(self) -> CompletionRate:
        """Return the share of answers that completed; 1.0 if there were none."""
        if not self.answers:
            return NO_ANSWERS
        return CompletionRate(self.completed / self.answers, self.answers)
