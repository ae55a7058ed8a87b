"""Counters of the sessions at the broker."""

from dataclasses import dataclass


@dataclass(slots=True)
class MqttCounts:
    """Counters since the start of the process, for one session or for all."""

    messages: int = 0
    redelivered: int = 0  # messages with the DUP flag
    rejected: int = 0  # messages that are not valid activations
    answers: int = 0
    connections_lost: int = 0
    moved: int = 0  # messages that another dispatcher received instead
    aborts_due: int = 0  # aborted messages that may run on another dispatcher

    def add(self, other: "MqttCounts") -> None:
        """Add the counters of another session."""
        self.messages += other.messages
        self.redelivered += other.redelivered
        self.rejected += other.rejected
        self.answers += other.answers
        self.connections_lost += other.connections_lost
        self.moved += other.moved
        self.aborts_due += other.aborts_due
