"""One connection to a worker on the platform's wire, and what is in flight on it."""

import asyncio
from typing import Any, NamedTuple

from petrelwood.links.calls import Call
from petrelwood.node.stream import Stream


class RunContent(NamedTuple):
    """What an attempt tells its worker beside its id, its function and the time left."""

    namespace_type: str
    idempotency_key: str  # the client's, "" for none
    body: bytes


NodeCall = Call[RunContent | bytes, "WorkerConnection"]
"""A call of a link. What an attempt is made of when it leaves; of other calls the frame."""


class WorkerConnection:
    """One connection: a `connection_pool.Connection`.

    Attributes:
        stream: The connection itself.
        up: Whether it is made.
        in_flight: The calls in flight on it, by the id that they have on the wire.
        recent_call_ids: The ids of the last calls on it, oldest first.
        last_read_at: When something was last read from it, or it was begun, in ns.
        connect_timer: Gives it up if it is not made in time; None once it is made, or given up.
        last_call: The call that was written last.
        last_write_at: When that was, or when it was begun, in ns.
    """

    __slots__ = (
        "stream",
        "up",
        "in_flight",
        "recent_call_ids",
        "last_read_at",
        "connect_timer",
        "last_call",
        "last_write_at",
    )

    def __init__(self, stream: Stream, now: int) -> None:
        self.stream = stream
        self.up = False
        # of `NodeCall`; `connection_pool.Connection` has a dict of objects, and no other dict is one
        self.in_flight: dict[str, Any] = {}
        self.recent_call_ids: dict[str, bool] = {}
        self.last_read_at = now
        self.connect_timer: asyncio.TimerHandle | None = None
        self.last_call: NodeCall | None = None
        self.last_write_at = now

    def has_unsent(self, call: NodeCall) -> bool:
        """Return whether the kernel has not taken all of a call's frame yet."""
        return self.last_call is call and self.stream.writing()

    def has_stalled(self, now: int, timeout: int) -> bool:
        """Return whether the kernel has not taken all that was written over `timeout` ns ago."""
        return self.stream.writing() and now - self.last_write_at > timeout

    def is_idle(self) -> bool:
        """Return whether it is made, and nothing is in flight on it."""
        return self.up and not self.in_flight

    def has_expired(self, now: int, idle_timeout: int) -> bool:
        """Return whether it has been idle for more than half of the worker's idle timeout (ns; 0: none).

        Then it is closed on this side: an attempt that is written as its worker closes it may have run.
        """
        return self.up and not self.in_flight and 0 < idle_timeout < 2 * (now - self.last_read_at)
