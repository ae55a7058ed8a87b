"""What clients, workers and the runner saw in one play. Times by the monotonic clock, in s."""

from dataclasses import dataclass, field
from enum import Enum, auto


class ConnectionEnd(Enum):
    """How a client's connection ended."""

    CLOSED = auto()  # by the dispatcher, which had read all that was sent
    RESET = auto()  # by the dispatcher or its machine: something was not read
    REFUSED = auto()  # it was never made
    OWN = auto()  # by the client


@dataclass(slots=True)
class Request:
    """One request of a client."""

    id: str
    effect: str
    time_allowed: float  # s, until which an answer is of use
    sent_at: float
    connection: int
    left_at: float | None = None  # when its client no longer waited
    answers: list[tuple[float, str]] = field(default_factory=list)  # when, and the word
    ended_at: float | None = None  # when its connection ended without an answer
    end: ConnectionEnd | None = None


@dataclass(slots=True)
class Arrival:
    """A request that reached a worker whole."""

    id: str
    worker: str
    at: float
    executed: bool  # the worker began it, rather than answer that it will not


@dataclass(slots=True)
class Descriptors:
    """What the dispatcher held, and how much of it were connections that its peers still had."""

    open: int
    connections: int

    @property
    def own(self) -> int:
        """Descriptors that are no connection of a peer."""
        return self.open - self.connections


@dataclass(slots=True)
class Play:
    """All that was seen."""

    requests: list[Request] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    drains: dict[str, float] = field(default_factory=dict)  # when a worker was told to be draining
    log: list[str] = field(default_factory=list)
    terminated_at: float = 0.0
    catches_sigterm: bool = True  # had it a handler for the first one, or does it end by the default action
    ended_at: float | None = None  # None: it had to be killed
    exit_code: int | None = None
    first_descriptors: Descriptors | None = None
    last_descriptors: Descriptors | None = None
    unexpected_answers: list[str] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)  # of this process's loop: when, and s

    def lag(self, begin: float, end: float) -> float:
        """Return for how long this process's loop stood still at most between two moments, in s."""
        return max((late for at, late in self.lags if at >= begin and at - late <= end), default=0.0)
