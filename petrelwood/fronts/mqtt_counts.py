"""What is counted of the sessions at the broker."""

from dataclasses import dataclass


@dataclass(slots=True)
class MqttCounts:
    """Counts since the start, of one session or of all."""

    messages: int = 0
    redelivered: int = 0  # of them, with the DUP flag
    rejected: int = 0  # of them, as no activation
    answers: int = 0
    connections_lost: int = 0
    moved: int = 0  # messages that another dispatcher has
    aborts_due: int = 0  # aborts of messages that may run elsewhere

    def add(self, other: "MqttCounts") -> None:
        """Add the counts of another session."""
        self.messages += other.messages
        self.redelivered += other.redelivered
        self.rejected += other.rejected
        self.answers += other.answers
        self.connections_lost += other.connections_lost
        self.moved += other.moved
        self.aborts_due += other.aborts_due
