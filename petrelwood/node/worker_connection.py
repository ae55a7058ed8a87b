"""One connection to a worker with the platform's protocol, and the calls in flight on it."""

import asyncio
from typing import Any, NamedTuple

from petrelwood.links.calls import Call
from petrelwood.node.stream import Stream


class RunContent(NamedTuple):
    """The content of an attempt besides its id, its function and the time left."""

    namespace_type: str
    idempotency_key: str  # the key of the client, or ""
    body: bytes


NodeCall = Call[RunContent | bytes, "WorkerConnection"]
"""A call of a link. Its content is a `RunContent` for an attempt, and the encoded frame for other calls."""


class WorkerConnection:
    """One connection: a `connection_pool.Connection`.

    Attributes:
        stream: The connection itself.
        up: Whether the connection is established.
        in_flight: The calls in flight, by their ids on the wire.
        recent_call_ids: The ids of the last calls, oldest first.
        last_read_at: When data was last read, initially when connecting began (ns).
        is_backup: Whether it was begun because an earlier connection attempt was slow.
        connect_timer: Gives up connecting after a timeout; None once that has succeeded or failed.
        backup_timer: Begins a backup connection attempt while this one is in progress, or None.
        last_call: The call that was written last.
        last_write_at: When it was written, initially when connecting began (ns).
    """

    __slots__ = (
        "stream",
        "up",
        "in_flight",
        "recent_call_ids",
        "last_read_at",
        "is_backup",
        "connect_timer",
        "backup_timer",
        "last_call",
        "last_write_at",
    )

    def __init__(self, stream: Stream, now: int, is_backup: bool) -> None:
        self.stream = stream
        self.is_backup = is_backup
        self.up = False
        # values are `NodeCall`s; `connection_pool.Connection` has values of type object, and dict is
        # invariant
        self.in_flight: dict[str, Any] = {}
        self.recent_call_ids: dict[str, bool] = {}
        self.last_read_at = now
        self.connect_timer: asyncio.TimerHandle | None = None
        self.backup_timer: asyncio.TimerHandle | None = None
        self.last_call: NodeCall | None = None
        self.last_write_at = now

    def has_unsent(self, call: NodeCall) -> bool:
        """Return whether a part of the call's frame has not been taken by the kernel yet."""
        return self.last_call is call and self.stream.writing()

    def has_stalled(self, now: int, timeout: int) -> bool:
        """Return whether data that was written over `timeout` ns ago has not been taken by the kernel yet."""
        return self.stream.writing() and now - self.last_write_at > timeout

    def is_idle(self) -> bool:
        """Return whether the connection is established and no call is in flight on it."""
        return self.up and not self.in_flight

    def has_expired(self, now: int, idle_timeout: int) -> bool:
        """Return whether it has been idle for over half of the worker's idle timeout (ns; 0: none).

        This side then closes it, because an attempt that is written while the worker closes it may have run.
        """
        return self.up and not self.in_flight and 0 < idle_timeout < 2 * (now - self.last_read_at)
