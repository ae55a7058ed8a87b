"""The share of answers that completed: by it a process or a version is compared with the one before."""

from typing import NamedTuple


class CompletionRate(NamedTuple):
    """The share of answers that completed, and the number of answers that it rests on."""

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
        """All answers, completed or not."""
        return self.completed + self.failed

    def record(self, completed: bool) -> None:
        """Counts one answer."""
        if completed:
            self.completed += 1
        else:
            self.failed += 1

    def halve(self) -> None:
        """Gives what was counted so far half of its weight."""
        self.completed //= 2
        self.failed //= 2

    def restart(self, completed: int = 0, failed: int = 0) -> None:
        """Reset the counts to these, and go on counting from there."""
        self.completed = completed
        self.failed = failed

    def rate(self) -> CompletionRate:
        """The share that completed; all, where there was no answer yet."""
        if not self.answers:
            return NO_ANSWERS
        return CompletionRate(self.completed / self.answers, self.answers)
