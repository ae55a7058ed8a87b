"""Selection of a worker's connection for a call, and whether another connection is needed.

Each connection carries one call at a time while more connections may be opened: a connection is closed after
a malformed answer, and each other call in flight on it may have run. Calls share connections only when the
budget of file descriptors is used up; the least loaded connection is then used first.
"""

from collections.abc import Sequence
from typing import Protocol, TypeVar

# Recent call ids remembered per connection, so that a late answer is not matched to another call with its id.
MAX_REMEMBERED_IDS = 8
MAX_CONNECTING = 4  # concurrent connection attempts per worker
# A backup connection attempt begins if the first one has taken this long (ns): the Connection Attempt Delay
# that RFC 8305 recommends. The kernel repeats a lost first packet only after a second.
CONNECTION_ATTEMPT_DELAY = 250_000_000

# The time after which a worker is connected to again although the endpoint list could not confirm that it is
# still at its address (ns), so that the loss of the roster does not cost workers that have only restarted.
MAX_UNCONFIRMED = 10_000_000_000


class Connection(Protocol):
    """The state of a connection on which the selection depends."""

    up: bool
    in_flight: dict[str, object]  # the calls in flight, by id
    recent_call_ids: dict[str, bool]  # the ids of the last calls, oldest first


AnyConnection = TypeVar("AnyConnection", bound=Connection)


def record_call_id(connection: Connection, call_id: str) -> None:
    """Record the id of a call on this connection; drop the oldest id beyond `MAX_REMEMBERED_IDS`."""
    connection.recent_call_ids[call_id] = True
    if len(connection.recent_call_ids) > MAX_REMEMBERED_IDS:
        del connection.recent_call_ids[next(iter(connection.recent_call_ids))]


def may_connect_again(now: int, refused_at: int | None, is_confirmed: bool) -> bool:
    """Return whether a connection attempt may begin after one was refused at `refused_at` (ns).

    Nobody listened at the address then: the worker's process has ended, and the next one there may be another
    worker's. `is_confirmed`: whether the endpoint list shows that it is the same.
    """
    return refused_at is None or is_confirmed or now - refused_at > MAX_UNCONFIRMED


def needs_backup(timeout: int) -> bool:
    """Return whether a slow connection attempt gets a backup; `timeout`: of connecting, in ns."""
    return timeout > CONNECTION_ATTEMPT_DELAY


def wants_connection(waiting: int, connecting: int, backups: int) -> bool:
    """Return whether another connection attempt may begin for the queued calls.

    Args:
        waiting: the number of queued calls.
        connecting: the number of connection attempts in progress.
        backups: how many of them are backups, which are not counted for a call.
    """
    return connecting < MAX_CONNECTING and connecting - backups < waiting


def choose_connection(
    connections: Sequence[AnyConnection], call_id: str, most_in_flight: int, may_open: bool
) -> AnyConnection | None:
    """Return the connection for a call, or None if the call must wait for one.

    Args:
        connections: the connections of the worker, the most recently used last.
        call_id: the call's id; a connection that recently carried a call with this id is not chosen.
        most_in_flight: how many calls may share one connection.
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
