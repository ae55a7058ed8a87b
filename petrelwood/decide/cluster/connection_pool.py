"""The choice of a worker's connection for a call, and whether another connection is needed.

One call to a connection as long as more connections may be opened: if an answer arrives damaged, its
connection is of no further use, and every other call in flight on it may have run. Calls share connections
only where the budget of file descriptors is used up, the least loaded connection first.
"""

from collections.abc import Sequence
from typing import Protocol, TypeVar

MAX_REMEMBERED_IDS = 8  # of a connection: an answer to one is not taken for another call of that id
MAX_CONNECTING = 4  # connections of one worker that may be coming up at a time


class Connection(Protocol):
    """The state of a connection on which the choice depends."""

    up: bool
    in_flight: dict[str, object]  # the calls in flight, by id
    recent_call_ids: dict[str, bool]  # the last ids that it has carried, oldest first


AnyConnection = TypeVar("AnyConnection", bound=Connection)


def record_call_id(connection: Connection, call_id: str) -> None:
    """Record that a connection carries a call of this id, and forget the oldest of too many."""
    connection.recent_call_ids[call_id] = True
    if len(connection.recent_call_ids) > MAX_REMEMBERED_IDS:
        del connection.recent_call_ids[next(iter(connection.recent_call_ids))]


def choose_connection(
    connections: Sequence[AnyConnection], call_id: str, most_in_flight: int, may_open: bool
) -> AnyConnection | None:
    """Return the connection for a call, or None if the call has to wait for one.

    Args:
        connections: those of the worker, the last used at the end.
        call_id: the call's id; a connection that carried a call of the same id recently is not chosen.
        most_in_flight: calls that may share one connection.
        may_open: whether another connection may be opened.
    """
    for connection in reversed(connections):
        if not connection.in_flight and connection.up and call_id not in connection.recent_call_ids:
            return connection
    return None if may_open else _least_loaded(connections, call_id, most_in_flight)


def _least_loaded(
    connections: Sequence[AnyConnection], call_id: str, most_in_flight: int
) -> AnyConnection | None:
    best = None
    for connection in reversed(connections):
        if not connection.up or call_id in connection.recent_call_ids:
            continue
        if best is None or len(connection.in_flight) < len(best.in_flight):
            best = connection
    return best if best is not None and len(best.in_flight) < most_in_flight else None
