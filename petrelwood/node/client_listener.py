"""The listening socket for clients: when connections are accepted, and how many."""

import socket
from typing import Protocol

from petrelwood.links import sockets
from petrelwood.links.accept_errors import CONNECTION_ERRORS_IN_A_ROW, AcceptError, classify
from petrelwood.links.interfaces import Address
from petrelwood.node.interfaces import Dispatcher

# Limits of one iteration of the event loop: the number of connections accepted, and the time for that (ns).
# Answers are delayed meanwhile.
ACCEPTS_PER_ITERATION = 32
ACCEPT_TIME_PER_ITERATION = 3_000_000
# The size of the listen queue. A connection in it may already carry a request, which waits behind all others.
BACKLOG = 128
SHORT_BACKLOG = 8  # while the event loop is repeatedly late


class ConnectionOwner(Protocol):
    """The interface of the object that serves accepted connections, `node.front.Front`."""

    def has_capacity(self) -> bool:
        """Return whether another connection may be accepted."""

    def evict_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""

    def take_connection(self, sock: socket.socket) -> None:
        """Serve an accepted connection."""


class ClientListener:
    """Accepts client connections.

    The listener pauses after an error of the machine, and while there is no capacity. Otherwise the event
    loop would spin, because the socket stays readable. Connections wait in the kernel until it resumes.
    """

    def __init__(self, owner: ConnectionOwner, core: Dispatcher) -> None:
        self.owner = owner
        self.core = core
        self.sock: socket.socket | None = None
        self.paused = False
        self.shedding = False

    def open(self, address: Address) -> None:
        """Listen on an address.

        Raises:
            OSError: the address can't be listened on.
        """
        self.sock = sockets.new_socket(address[0])
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.core.loop.add_reader(self.sock, self._accept)

    def close(self) -> None:
        """Stop accepting connections and close the socket."""
        if self.sock is not None:
            self.core.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def shed(self, late: bool) -> bool:
        """Shorten the backlog while the event loop is repeatedly late; return whether the backlog changed.

        The kernel then refuses connections whose requests could not be answered in time; their clients have
        other ways to get an answer.
        """
        if late == self.shedding or self.sock is None:
            return False
        self.shedding = late
        self.sock.listen(SHORT_BACKLOG if late else BACKLOG)
        return True

    def resume(self) -> None:
        """Accept again after a pause."""
        if self.paused and self.sock is not None:
            self.paused = False
            self.core.loop.add_reader(self.sock, self._accept)

    def _pause(self, listening: socket.socket) -> None:
        self.paused = True
        self.core.loop.remove_reader(listening)

    def _accept(self) -> None:
        listening = self.sock
        if listening is None:
            return
        started_at = self.core.now()
        self.core.answer_due(started_at)  # due answers must not wait for new connections
        connection_errors = 0  # in a row
        has_evicted = False  # an idle connection was closed since the last accepted one
        for _ in range(SHORT_BACKLOG if self.shedding else ACCEPTS_PER_ITERATION):
            if not self.owner.has_capacity():
                if not sockets.readable((listening,)):  # no pending connection to make room for
                    return
                if not self.owner.evict_idle():
                    self._pause(listening)
                    return
            try:
                sock, _ = listening.accept()
            except OSError as error:
                kind = classify(error)
                if kind is AcceptError.NOTHING_PENDING:
                    return
                if kind is AcceptError.CONNECTION:
                    connection_errors += 1
                    if connection_errors < CONNECTION_ERRORS_IN_A_ROW:
                        continue
                # If freeing one descriptor did not help, the whole machine is out of them: free no more.
                elif kind is AcceptError.DESCRIPTORS and not has_evicted and self.owner.evict_idle():
                    has_evicted = True
                    continue
                self._pause(listening)
                return
            connection_errors = 0
            has_evicted = False
            self.owner.take_connection(sock)
            if self.core.now() - started_at > ACCEPT_TIME_PER_ITERATION:
                return
