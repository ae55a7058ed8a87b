"""A TCP server whose listeners outlast every error of `accept`.

Tornado's own listener stays readable while the process has no descriptor left, so that its loop comes back
at once, over and over. Here a listener pauses after an error that is the machine's, and tries again with
backoff. An error that belongs to one new connection (accept(2), "Error handling") costs that one alone.
"""

import asyncio
import random
import socket
from collections.abc import Iterable

from tornado.tcpserver import TCPServer

from petrelwood.decide.overload.backoff import Backoff
from petrelwood.links.accept_errors import CONNECTION_ERRORS_IN_A_ROW, AcceptError, classify

ACCEPTS_PER_TURN = 128  # connections taken before others on the loop have their turn
MILLISECOND = 1_000_000
FIRST_PAUSE = 50 * MILLISECOND
LONGEST_PAUSE = 1_000 * MILLISECOND


class _ListeningSocket:
    """One listening socket on the running loop."""

    def __init__(self, server: "Listener", sock: socket.socket) -> None:
        self.server = server
        self.sock = sock
        self.loop = asyncio.get_running_loop()
        self.backoff = Backoff(FIRST_PAUSE, LONGEST_PAUSE, random.random)
        self.connection_errors = 0
        self.resumption: asyncio.TimerHandle | None = None
        self.listen()

    def listen(self) -> None:
        """Accept connections from now on."""
        self.resumption = None
        self.loop.add_reader(self.sock, self._accept)

    def close(self) -> None:
        """Accept no more connections; the socket stays open."""
        self.loop.remove_reader(self.sock)
        if self.resumption is not None:
            self.resumption.cancel()

    def _accept(self) -> None:
        for _ in range(ACCEPTS_PER_TURN):
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
        """Accept connections on these listening sockets, on the running loop."""
        for sock in sockets:
            listening = _ListeningSocket(self, sock)
            self._sockets[sock.fileno()] = sock
            self._handlers[sock.fileno()] = listening.close

    def take_connection(self, connection: socket.socket, address: object) -> None:
        """Hand an accepted connection to `handle_stream`."""
        self._handle_connection(connection, address)

    def accept_failed(self, error: OSError, pause: int) -> None:
        """Handle an error of accept(2) after which a listening socket pauses for `pause` ns."""
