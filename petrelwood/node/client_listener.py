"""The listening socket for clients: how many connections are accepted, and when."""

import socket
from typing import Protocol

from petrelwood.links import sockets
from petrelwood.links.accept_errors import CONNECTION_ERRORS_IN_A_ROW, AcceptError, classify
from petrelwood.links.interfaces import Address
from petrelwood.node.interfaces import Dispatcher

# Connections accepted in one turn of the event loop, and ns that this may take: answers wait meanwhile.
ACCEPTS_PER_TURN = 32
ACCEPT_TIME_PER_TURN = 3_000_000
# Connections that the kernel accepts ahead of us, each perhaps with a request that waits behind all others:
# usually, and while the event loop is late over and over.
BACKLOG = 128
SHORT_BACKLOG = 8


class ConnectionOwner(Protocol):
    """Whoever serves the accepted connections: `node.front.Front`."""

    def has_capacity(self) -> bool:
        """Return whether one more connection may be accepted."""

    def evict_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""

    def take_connection(self, sock: socket.socket) -> None:
        """Serve an accepted connection."""


class ClientListener:
    """Accepts the connections of clients.

    It pauses after an error that is the machine's, and where there is no capacity: the socket stays readable,
    so that the event loop would come back at once, over and over. Connections wait in the kernel until it
    resumes.
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
            OSError: that is not possible.
        """
        self.sock = sockets.new_socket(address[0])
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.sock.listen(BACKLOG)
        self.core.loop.add_reader(self.sock, self._accept)

    def close(self) -> None:
        """Accept nothing more, and close the socket."""
        if self.sock is not None:
            self.core.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    def shed(self, late: bool) -> bool:
        """Shorten the backlog while the event loop is late over and over; return whether that has changed.

        The kernel then turns away what could not be answered in time, and such a client has its other ways.
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
        self.core.answer_due(started_at)  # what is due must not wait for new connections
        connection_errors = 0  # in a row
        evicted = False  # for a connection that could not be accepted yet
        for _ in range(SHORT_BACKLOG if self.shedding else ACCEPTS_PER_TURN):
            if not self.owner.has_capacity():
                if not sockets.readable((listening,)):  # nobody has come for whom to close another
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
                # Where one descriptor more did not help, another would not: the machine is out of them.
                elif kind is AcceptError.DESCRIPTORS and not evicted and self.owner.evict_idle():
                    evicted = True
                    continue
                self._pause(listening)
                return
            connection_errors = 0
            evicted = False
            self.owner.take_connection(sock)
            if self.core.now() - started_at > ACCEPT_TIME_PER_TURN:
                return
