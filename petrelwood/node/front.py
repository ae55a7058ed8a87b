"""Clients: their connections, which of them are idle, and which are closed.

`node.client_listener` accepts connections, `node.client_connection` reads and answers requests,
`node.call_request` decodes them. The limits are set in `decide.overload.resource_limits`.
"""

import itertools
import socket
from collections import OrderedDict

from petrelwood.decide.overload import resource_limits
from petrelwood.decide.overload.resource_limits import ResourceLimits
from petrelwood.dispatch.interfaces import Logger
from petrelwood.links import rpc, sockets
from petrelwood.links.interfaces import Address
from petrelwood.node.client_connection import READ_SIZE, ClientConnection
from petrelwood.node.client_listener import ClientListener
from petrelwood.node.interfaces import Dispatcher
from petrelwood.node.stream import Stream

# Connections beyond the clients' capacity: a call on one is rejected, which is better than to close it.
CONNECTIONS_OVER_CAPACITY = 8
# bytes of rejections that one read may cause, beyond the answers to a client's open requests
REJECTIONS_SIZE = 16 * READ_SIZE
# ns that a client may leave answers unread while it has no open request
UNREAD_ANSWER_TIMEOUT = 10_000_000_000
FAULTS_LOGGED = 8  # of each kind; then one in so many
FAULTS_A_LINE = 1_024


class Front:
    """The clients of one dispatcher. Times in ns."""

    def __init__(self, core: Dispatcher, limits: ResourceLimits, log: Logger) -> None:
        self.core = core
        self.limits = limits
        self.log = log
        self.listener = ClientListener(self, core)
        self.clients: dict[ClientConnection, bool] = {}
        # those without an open request, idle longest first
        self.idle: OrderedDict[ClientConnection, bool] = OrderedDict()
        self.reader_pool: list[rpc.Reader] = []
        self.reads = 0  # of all connections
        self.counts = {
            "connections": 0,
            "evicted": 0,
            "unreadable": 0,
            "invalid": 0,
            "over request limit": 0,
            "timed out": 0,
        }

    def note_fault(self, kind: str, reason: str) -> None:
        """Count a client's fault; log the first few of its kind, then one in many."""
        self.counts[kind] += 1
        count = self.counts[kind]
        if count <= FAULTS_LOGGED or not count % FAULTS_A_LINE:
            self.log.info("client fault", kind=kind, reason=reason, count=count)

    def open(self, address: Address) -> None:
        """Listen for clients.

        Raises:
            OSError: that is not possible.
        """
        self.listener.open(address)

    def stop(self) -> None:
        """Accept nothing more, and close all connections."""
        self.listener.close()
        for client in list(self.clients):
            client.close()

    def shed_connections(self, late: bool) -> None:
        """Let the kernel turn connections away while the event loop is late over and over."""
        if self.listener.shed(late):
            self.log.info("connections are shed" if late else "connections are no longer shed")

    # New connections.
    def is_over_capacity(self) -> bool:
        """Return whether there are more connections than there is capacity for."""
        return len(self.clients) > self.limits.clients

    def has_capacity(self) -> bool:
        """Return whether one more may be accepted, if only to reject what it asks."""
        return len(self.clients) < self.limits.clients + CONNECTIONS_OVER_CAPACITY

    def evict_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one.

        None is closed that has an open request, an unsent answer or unread input.
        """
        return self._evict_idle_connections(1)

    def _make_capacity(self) -> bool:
        """Close idle connections if one more is then within the capacity; return whether it is."""
        return self._evict_idle_connections(len(self.clients) + 1 - self.limits.clients)

    def _evict_idle_connections(self, count: int) -> bool:
        """Close the `count` connections that have been idle longest; none if there are fewer."""
        quiescent = (each for each in self.idle if each.is_quiescent())
        evicted = list(itertools.islice(quiescent, max(0, count)))
        if len(evicted) < count:
            return False
        for client in evicted:
            self.counts["evicted"] += 1
            client.close()
        return True

    def take_connection(self, sock: socket.socket) -> None:
        """Serve an accepted connection."""
        self.counts["connections"] += 1
        over_capacity = not self._make_capacity()
        try:
            self._serve(sock, over_capacity)
        except OSError:  # it can't be set up: nothing of it was read
            sock.close()

    def _serve(self, sock: socket.socket, over_capacity: bool) -> None:
        sock.setblocking(False)
        sockets.disable_delay(sock)
        stream = Stream(
            sock,
            max_buffer_size=2 * READ_SIZE + resource_limits.FRAME,
            read_chunk_size=READ_SIZE,
            max_write_buffer_size=resource_limits.MAX_UNREAD + REJECTIONS_SIZE,
        )
        client = ClientConnection(self, stream, self.core.now(), over_capacity)
        self.clients[client] = True
        self.idle[client] = True
        self.core.loop.create_task(client.serve())

    # Idle connections.
    def connection_idle(self, connection: ClientConnection) -> None:
        """Note that a connection has no open request since now."""
        self.idle[connection] = True
        self.idle.move_to_end(connection)

    def connection_busy(self, connection: ClientConnection) -> None:
        """Note that a connection has an open request or is closed."""
        self.idle.pop(connection, None)

    def check(self, now: int) -> None:
        """Accept again after a pause, and close connections whose time is up."""
        self.listener.resume()
        for client in list(self.clients):
            if not client.open:  # each open request is answered first, and none later than its deadline
                self._check_timeouts(client, now)
        for client in list(self.idle):
            idle = now - client.since
            if idle <= resource_limits.IDLE_TIMEOUT:
                break
            if client.is_quiescent() or (client.stream.writing() and idle > UNREAD_ANSWER_TIMEOUT):
                client.close()

    def _check_timeouts(self, client: ClientConnection, now: int) -> None:
        """Close a connection that has drained, or whose request takes too long to come."""
        if client.draining:
            if client.is_quiescent() or now - client.since > resource_limits.REQUEST_TIMEOUT:
                client.close()
            return
        partial_request_too_old = (
            client.partial_since and now - client.partial_since > resource_limits.REQUEST_TIMEOUT
        )
        no_request_in_time = (
            not client.requested and now - client.since > resource_limits.FIRST_REQUEST_TIMEOUT
        )
        if (partial_request_too_old or no_request_in_time) and not client.has_unread_input():
            self.counts["timed out"] += 1
            client.close()

    def close_idle(self) -> None:
        """Close the idle connections on which nothing is unsent or unread."""
        for client in list(self.idle):
            if client.is_quiescent():
                client.close()

    def is_drained(self) -> bool:
        """Return whether all that was written has been sent, and all that has come was read.

        That is requests, ends, and connections that the kernel has accepted.
        """
        for client in self.clients:
            if client.stream.writing() or client.pending_read is None or client.pending_read.done():
                return False
        listening = self.listener.sock
        if listening is None:
            return True
        connected = [each.stream.socket for each in self.clients if not each.stream.closed()]
        return not sockets.readable([listening, *connected])
