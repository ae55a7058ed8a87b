"""A TCP server whose listeners survive every error of accept(2).

When the process has no free file descriptor, the listening socket of Tornado's own server remains readable,
and the event loop calls its handler again and again without a pause. Here a listener pauses after an error of
the process or the machine, and tries again with backoff. An error of one new connection (accept(2), "Error
handling") affects only that connection.
"""

import asyncio
import random
import socket
from collections.abc import Iterable

from tornado.tcpserver import TCPServer

from petrelwood.decide.overload.backoff import Backoff
from petrelwood.links.accept_errors import CONNECTION_ERRORS_IN_A_ROW, AcceptError, classify

ACCEPTS_PER_ITERATION = 128  # connections accepted before other handlers of the event loop run
MILLISECOND = 1_000_000  # ns
FIRST_PAUSE = 50 * MILLISECOND  # after the first error
LONGEST_PAUSE = 1_000 * MILLISECOND  # the limit of the backoff


class _ListeningSocket:
    """One listening socket on the running event loop."""

    def __init__(self, server: "Listener", sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.loop = asyncio.get_running_loop()
        self.backoff = Backoff(FIRST_PAUSE, LONGEST_PAUSE, random.random)
        self.connection_errors = 0
        self.resumption: asyncio.TimerHandle | None = None
        self.listen()

    def listen(self) -> None:
        """Start to accept connections."""
        self.resumption = None
        self.loop.add_reader(self.sock, self._accept)

    def close(self) -> None:
        """Stop accepting connections; the socket stays open."""
        self.loop.remove_reader(self.sock)
        if self.resumption is not None:
            self.resumption.cancel()

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_ITERATION):
            try:
                connection, address = self.sock.accept()
            except OSError as error:
                kind = classify(error)
                if kind is not AcceptError.NOTHING_PENDING:
                    self._failed(error, kind)
                if kind is not AcceptError.CONNECTION:
                    return
            else:
                self.connection_errors = 0
                self.backoff.succeeded()
                self.server.take_connection(connection, address)
            if self.resumption is not None or self.sock.fileno() < 0:
                return

    def _failed(self, error: OSError, kind: AcceptError) -> None:
        self.connection_errors += 1
        if kind is AcceptError.CONNECTION and self.connection_errors < CONNECTION_ERRORS_IN_A_ROW:
            return
        self.connection_errors = 0
        now = int(self.loop.time() * 1_000 * MILLISECOND)
        pause = self.backoff.failed(now) - now
        self.loop.remove_reader(self.sock)
        self.resumption = self.loop.call_later(pause / (1_000 * MILLISECOND), self.listen)
        self.server.accept_failed(error, pause)


class Listener(TCPServer):
    """A `TCPServer` whose listening sockets pause after errors and resume; see `accept_failed`."""

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept connections on these listening sockets, on the running event loop."""
        for sock in sockets:
            listening = _ListeningSocket(self, sock)
            self._sockets[sock.fileno()] = sock
            self._handlers[sock.fileno()] = listening.close

    def take_connection(self, connection: socket.socket, address: object) -> None:
        """Pass an accepted connection to `handle_stream`."""
        self._handle_connection(connection, address)

    def accept_failed(self, error: OSError, pause: int) -> None:
        """Handle an error of accept(2) after which a listening socket pauses for `pause` ns."""
