"""Starts an activation only once its client is known to be waiting still.

Behind a request there may be more data of its client, and at its end a cancel or a close. As long as that is
unread, the activation has its place and its deadline, but the scheduler does not know it: its attempt could
not be sent, and would keep others from the worker. A client whose data does not end is told to come back.
"""

from typing import NamedTuple, Protocol

from petrelwood.node.read_progress import ReadProgress

# The time after which an activation whose client has not been read to the end is rejected (ns).
MAX_DEFERRAL = 300_000_000


class ReadableClient(Protocol):
    """The interface of a client connection."""

    progress: ReadProgress

    def may_have_departed(self) -> bool:
        """Return whether a cancel or the end of the connection may be unread."""


class Starter(Protocol):
    """The interface of the dispatcher."""

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def start_activation(self, activation_id: str) -> None:
        """Hand an activation to the scheduler, if it has not ended."""

    def reject_activation(self, activation_id: str) -> None:
        """Reject an activation that the scheduler does not know, if it has not ended."""


class _Deferred(NamedTuple):
    """An activation that has not started."""

    activation_id: str
    reads: int  # of its client when it was admitted
    admitted_at: int  # ns


class DeferredStarts:
    """The activations of one dispatcher that have not started, by their clients. Times in ns."""

    def __init__(self, core: Starter) -> None:
        self.core = core
        self._deferred: dict[ReadableClient, list[_Deferred]] = {}

    def add(self, client: ReadableClient, activation_id: str) -> None:
        """Add an activation of a client that is being read; `check_client` is called after that."""
        entry = _Deferred(activation_id, client.progress.reads, self.core.now())
        self._deferred.setdefault(client, []).append(entry)

    def forget(self, client: ReadableClient) -> None:
        """Forget the activations of a client that has gone."""
        self._deferred.pop(client, None)

    def check_client(self, client: ReadableClient) -> None:
        """Start the activations of a client whose data has been read to the end."""
        deferred = self._deferred.get(client)
        if deferred is None:
            return
        if client.may_have_departed():
            waiting = [each for each in deferred if not client.progress.has_caught_up(each.reads)]
        else:
            waiting = []
        if waiting:
            self._deferred[client] = waiting
        else:
            del self._deferred[client]
        for each in deferred[: len(deferred) - len(waiting)]:
            self.core.start_activation(each.activation_id)

    def check(self) -> None:
        """Check all clients, and reject the activations that have waited for too long."""
        now = self.core.now()
        for client in list(self._deferred):
            self.check_client(client)
            deferred = self._deferred.get(client, [])
            expired = [each for each in deferred if now - each.admitted_at > MAX_DEFERRAL]
            if not expired:
                continue
            self._deferred[client] = deferred[len(expired) :]
            for each in expired:
                self.core.reject_activation(each.activation_id)
