"""The interface of the table of all client connections for one of them."""

from typing import Protocol, TypeVar

from petrelwood.links.bounded_reader import MessageDecoder
from petrelwood.node.connection_memory import AnswerMemory, RequestMemory
from petrelwood.node.deferred_starts import DeferredStarts
from petrelwood.node.interfaces import Dispatcher
from petrelwood.node.read_turns import ReadTurns

ConnectionT = TypeVar("ConnectionT")


class ConnectionTable(Protocol[ConnectionT]):
    """The interface of the table of all client connections, `node.front.Front`, for one of them."""

    core: Dispatcher
    clients: dict[ConnectionT, bool]
    counts: dict[str, int]
    decoder: MessageDecoder
    deferred_starts: DeferredStarts
    read_turns: ReadTurns
    request_memory: RequestMemory
    answer_memory: AnswerMemory
    reads: int  # the number of reads on all connections

    def is_over_capacity(self) -> bool:
        """Return whether the number of connections exceeds the capacity."""

    def note_fault(self, kind: str, reason: str) -> None:
        """Count and log a client's fault."""

    def connection_idle(self, connection: ConnectionT) -> None:
        """Note that a connection no longer has an open request."""

    def connection_busy(self, connection: ConnectionT) -> None:
        """Note that a connection has an open request or is closed."""
