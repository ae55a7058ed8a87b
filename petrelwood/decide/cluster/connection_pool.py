"""Which of a worker's connections carries a call, and when another one is opened.

One call to a connection as long as there is room for connections: where an answer comes damaged its
connection is of no further use, and whatever else is in flight on it may have run. Only where the budget of
descriptors is used up do calls share, the least loaded connection first. A health check shares wherever its
worker has a connection: its caller says that no other may be opened for it.
"""

from collections.abc import Sequence
from typing import Protocol, TypeVar

MOST_REMEMBERED_IDS = 8  # of a connection: an answer to one is not taken for another call of that id
MOST_CONNECTING = 4  # connections of one worker that may be coming up at a time


class Connection(Protocol):
    """The properties of a connection by which it is chosen."""

    up: bool
    open: dict[str, object]  # the calls in flight, by id
    carried: dict[str, bool]  # the last ids that it has carried, oldest first


AnyConnection = TypeVar("AnyConnection", bound=Connection)


def remember(connection: Connection, call_id: str) -> None:
    """Record that a connection carries a call of this id, and forget the oldest of too many."""
    connection.carried[call_id] = True
    if len(connection.carried) > MOST_REMEMBERED_IDS:
        del connection.carried[next(iter(connection.carried))]


def choose(
    connections: Sequence[AnyConnection], call_id: str, most_in_flight: int, may_open: bool
) -> AnyConnection | None:
    """The connection for a call, or None where the call has to wait for one that is free or comes up.

    `connections`: those of its worker, the last used at the end; `most_in_flight`: calls that may share one;
    `may_open`: whether another one may be opened.
    """
    for connection in reversed(connections):
        if not connection.open and connection.up and call_id not in connection.carried:
            return connection
    return None if may_open else _least_loaded(connections, call_id, most_in_flight)


def _least_loaded(
    connections: Sequence[AnyConnection], call_id: str, most_in_flight: int
) -> AnyConnection | None:
    best = None
    for connection in reversed(connections):
        if not connection.up or call_id in connection.carried:
            continue
        if best is None or len(connection.open) < len(best.open):
            best = connection
    return best if best is not None and len(best.open) < most_in_flight else None
