"""The interface of the dispatcher for its links to workers."""

from typing import Protocol, TypeVar

from petrelwood.links.interfaces import LinkCore, LoopOwner
from petrelwood.node.worker_connection import WorkerConnection

LinkT_contra = TypeVar("LinkT_contra", contravariant=True)


class NodeLinkCore(LinkCore, LoopOwner, Protocol[LinkT_contra]):
    """The interface of the dispatcher for its links."""

    def schedule_checks(self, link: LinkT_contra, /) -> object:
        """Have `link.check` called regularly until it returns false."""

    def is_behind(self) -> bool:
        """Return whether the loop was blocked, and data that arrived meanwhile may still be unread.

        Nothing is written until that data was read; the core calls `link.pump` afterwards.
        """

    def may_send(self, activation: str, link: LinkT_contra, /) -> bool:
        """Return whether an attempt may be sent now; if not, the core calls `link.pump` later.

        It may not be sent while a cancellation or disconnect of its client may be unread.
        """

    def is_address_confirmed(self, worker: str, since: int, /) -> bool:
        """Return whether a worker is at its address again, where nobody listened at `since` (ns)."""

    def partial_answer_read(self, link: LinkT_contra, connection: WorkerConnection, size: int, /) -> object:
        """Note how much of an incomplete answer a connection holds (bytes); it may close connections."""

    def attempt_written(self, activation: str, /) -> object:
        """Note that the attempt of an activation is being written, so that it may run from now on."""

    def may_open_connection(self) -> bool:
        """Return whether a descriptor is left for a connection, or an idle connection could be closed."""

    def make_room(self) -> bool:
        """Close an idle connection of any link if no descriptor is left; return whether one is available."""

    def connection_opened(self) -> object:
        """Note that a connection takes a descriptor."""

    def connection_closed(self) -> object:
        """Note that a connection has released its descriptor."""

    def next_tag(self) -> str:
        """Return the id of a call other than an attempt."""

    def note_loss(self, worker: str, why: str, out: int, /) -> object:
        """Log that a connection was lost with `out` calls in flight, or was not established."""

    def defect(self, where: str, fault: Exception, /) -> object:
        """Log an internal error and abort the affected activations."""
