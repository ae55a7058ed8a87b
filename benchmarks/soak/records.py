"""Records of what clients, workers and the runner observed in one play. Times are monotonic, in s."""

from dataclasses import dataclass, field
from enum import Enum, auto


class ConnectionEnd(Enum):
    """How a client's connection ended."""

    CLOSED = auto()  # by the dispatcher, after it had read all data
    RESET = auto()  # by the dispatcher or its kernel, with unread data
    REFUSED = auto()  # it was never established
    OWN = auto()  # by the client


@dataclass(slots=True)
class Request:
    """One request of a client."""

    id: str
    effect: str
    time_allowed: float  # s after which an answer has no utility
    sent_at: float
    connection: int
    left_at: float | None = None  # when its client stopped waiting
    answers: list[tuple[float, str]] = field(default_factory=list)  # (time, outcome)
    ended_at: float | None = None  # when its connection ended without an answer
    end: ConnectionEnd | None = None


@dataclass(slots=True)
class Arrival:
    """A request that a worker received completely."""

    id: str
    worker: str
    at: float
    executed: bool  # whether the worker began it instead of declining it


@dataclass(slots=True)
class Descriptors:
    """Number of the dispatcher's open descriptors, and how many of them were open connections to peers."""

    open: int
    connections: int

    @property
    def own(self) -> int:
        """Number of descriptors that are not connections to peers."""
        return self.open - self.connections


@dataclass(slots=True)
class Play:
    """All records of one play."""

    requests: list[Request] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    drains: dict[str, float] = field(default_factory=dict)  # worker -> when the roster sent that it drains
    log: list[str] = field(default_factory=list)
    terminated_at: float = 0.0
    catches_sigterm: bool = True  # whether it had a handler at the first SIGTERM; if not, SIGTERM kills it
    ended_at: float | None = None  # None if it had to be killed
    exit_code: int | None = None
    first_descriptors: Descriptors | None = None
    last_descriptors: Descriptors | None = None
    peak_memory: int = 0  # bytes of private memory of the dispatcher
    unexpected_answers: list[str] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)  # (time, delay in s) of this process's loop

    def lag(self, begin: float, end: float) -> float:
        """Return the longest delay (s) of this process's event loop between two times."""
        return max((late for at, late in self.lags if at >= begin and at - late <= end), default=0.0)
