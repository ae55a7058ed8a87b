"""The table of client connections: tracks idle connections and closes connections.

`node.client_listener` accepts connections, `node.client_connection` reads and answers requests, and
`node.call_request` decodes calls. The limits are set in `decide.overload.resource_limits`.
"""

import itertools
import socket
from collections import OrderedDict

from petrelwood.decide.overload import resource_limits
from petrelwood.decide.overload.resource_limits import ResourceLimits
from petrelwood.dispatch.interfaces import Logger
from petrelwood.links import sockets
from petrelwood.links.bounded_reader import MessageDecoder
from petrelwood.links.interfaces import Address
from petrelwood.node.client_connection import MESSAGE_LIMITS, ClientConnection
from petrelwood.node.client_listener import ClientListener
from petrelwood.node.connection_memory import (
    LONG_READ_SIZE,
    SHORT_READ_SIZE,
    AnswerMemory,
    RequestMemory,
)
from petrelwood.node.deferred_starts import DeferredStarts
from petrelwood.node.interfaces import Dispatcher
from petrelwood.node.read_turns import ReadTurns
from petrelwood.node.stream import Stream

# The number of connections accepted beyond the capacity: rejecting their calls is better than closing them.
CONNECTIONS_OVER_CAPACITY = 8
# The size of the rejections that one read may cause, in addition to the answers to open requests (bytes).
REJECTIONS_SIZE = 16 * LONG_READ_SIZE
# The time for which a client without open requests may leave answers unread (ns).
UNREAD_ANSWER_TIMEOUT = 10_000_000_000
# The time for data that was read and not handled when the process ends (ns); who sends little is the first.
LAST_TURNS_TIME = 5_000_000
# Client faults that are logged: the first FAULTS_LOGGED of each kind, then one in FAULTS_PER_LOG_LINE.
FAULTS_LOGGED = 8
FAULTS_PER_LOG_LINE = 1_024


class Front:
    """The client connections of one dispatcher. Times are in ns."""

    def __init__(self, core: Dispatcher, limits: ResourceLimits, log: Logger) -> None:
        self.core = core
        self.limits = limits
        self.log = log
        self.listener = ClientListener(self, core)
        self.clients: dict[ClientConnection, bool] = {}
        # connections without an open request, idle longest first
        self.idle: OrderedDict[ClientConnection, bool] = OrderedDict()
        self.decoder = MessageDecoder(MESSAGE_LIMITS)
        self.deferred_starts = DeferredStarts(core)
        self.read_turns = ReadTurns(core.loop, core.now)
        self.request_memory = RequestMemory(limits.request_bytes, self._note_partial_request_dropped)
        self.answer_memory = AnswerMemory(limits.answer_bytes, self._note_unread_answers_dropped)
        self.reads = 0  # the number of reads on all connections
        self.counts = {
            "connections": 0,
            "evicted": 0,
            "unreadable": 0,
            "invalid": 0,
            "over request limit": 0,
            "timed out": 0,
            "over memory": 0,
        }

    def note_fault(self, kind: str, reason: str) -> None:
        """Count a client's fault; log the first ones of each kind, then one in `FAULTS_PER_LOG_LINE`."""
        self.counts[kind] += 1
        count = self.counts[kind]
        if count <= FAULTS_LOGGED or not count % FAULTS_PER_LOG_LINE:
            self.log.info("client fault", kind=kind, reason=reason, count=count)

    def _note_partial_request_dropped(self) -> None:
        held = self.request_memory.pool.used
        self.note_fault("over memory", f"incomplete requests take {held} bytes")

    def _note_unread_answers_dropped(self) -> None:
        self.note_fault("over memory", f"unread answers take {self.answer_memory.pool.used} bytes and more")

    def open(self, address: Address) -> None:
        """Listen for clients.

        Raises:
            OSError: the address can't be listened on.
        """
        self.listener.open(address)

    def stop(self) -> None:
        """Stop accepting connections and close all of them."""
        self.listener.close()
        self.read_turns.run_for(LAST_TURNS_TIME)
        # Closing hundreds takes a while, and a request that comes before a close is lost: clients that are
        # served well are the first.
        for client in sorted(self.clients, key=lambda each: (each.is_misused(), each.stream.writing())):
            client.close()

    def shed_connections(self, late: bool) -> None:
        """Let the kernel refuse connections while the event loop is repeatedly late."""
        if self.listener.shed(late):
            self.log.info("connections are shed" if late else "connections are no longer shed")

    # New connections
    def is_over_capacity(self) -> bool:
        """Return whether the number of connections exceeds the capacity."""
        return len(self.clients) > self.limits.clients

    def has_capacity(self) -> bool:
        """Return whether another connection may be accepted, be it only to reject its calls."""
        return len(self.clients) < self.limits.clients + CONNECTIONS_OVER_CAPACITY

    def evict_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one.

        A connection with an open request, an unsent answer or unread input is never closed.
        """
        return self._evict_idle_connections(1)

    def _make_capacity(self) -> bool:
        """Close idle connections if that makes room for one more; return whether there is room."""
        return self._evict_idle_connections(len(self.clients) + 1 - self.limits.clients)

    def _evict_idle_connections(self, count: int) -> bool:
        """Close the `count` connections that have been idle longest, or none if there are fewer."""
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
        except OSError:  # the connection can't be set up; nothing of it was read
            sock.close()

    def _serve(self, sock: socket.socket, over_capacity: bool) -> None:
        sock.setblocking(False)
        sockets.disable_delay(sock)
        stream = Stream(
            sock,
            max_buffer_size=2 * LONG_READ_SIZE + resource_limits.FRAME,
            read_chunk_size=SHORT_READ_SIZE,
            max_write_buffer_size=resource_limits.MAX_UNREAD + REJECTIONS_SIZE,
        )
        client = ClientConnection(self, stream, self.core.now(), over_capacity)
        self.clients[client] = True
        self.idle[client] = True
        self.core.loop.create_task(client.serve())

    # Idle connections
    def connection_idle(self, connection: ClientConnection) -> None:
        """Note that a connection no longer has an open request."""
        self.idle[connection] = True
        self.idle.move_to_end(connection)

    def connection_busy(self, connection: ClientConnection) -> None:
        """Note that a connection has an open request or is closed."""
        self.idle.pop(connection, None)

    def check(self, now: int) -> None:
        """Resume a paused listener, and close connections that exceed a timeout."""
        self.listener.resume()
        self.deferred_starts.check()
        self.request_memory.relieve()
        self.answer_memory.relieve()
        for client in list(self.clients):
            if not client.open_requests:  # open requests are answered first, by their deadlines
                self._check_timeouts(client, now)
        for client in list(self.idle):
            idle = now - client.state_since
            if idle <= resource_limits.IDLE_TIMEOUT:
                break
            if client.is_quiescent() or (client.stream.writing() and idle > UNREAD_ANSWER_TIMEOUT):
                client.close()

    def _check_timeouts(self, client: ClientConnection, now: int) -> None:
        """Close a connection that has drained, or whose request takes too long to arrive."""
        if client.draining:
            if client.is_quiescent() or now - client.state_since > resource_limits.REQUEST_TIMEOUT:
                client.close()
            return
        partial_request_too_old = (
            client.partial_since and now - client.partial_since > resource_limits.REQUEST_TIMEOUT
        )
        no_request_in_time = (
            not client.requested and now - client.state_since > resource_limits.FIRST_REQUEST_TIMEOUT
        )
        if (partial_request_too_old or no_request_in_time) and not client.has_unread_input():
            self.counts["timed out"] += 1
            client.close()

    def close_idle(self) -> None:
        """Close the idle connections without unsent or unread data."""
        for client in list(self.idle):
            if client.is_quiescent():
                client.close()

    def stop_reading(self) -> None:
        """Read nothing more from any client; what was read is still handled."""
        for client in self.clients:
            if not client.stream.closed():
                self.core.loop.remove_reader(client.stream.socket)

    def has_unread_requests(self) -> bool:
        """Return whether a client has sent something that was not read, besides the rest of a request."""
        return any(not client.is_misused() and client.has_unread_input() for client in self.clients)

    def is_drained(self) -> bool:
        """Return whether all written data has been sent, and all incoming data was read.

        Incoming data includes requests, disconnects and connections in the listen queue.
        """
        for client in self.clients:
            if client.stream.writing() or client.pending_read is None or client.pending_read.done():
                return False
        listening = self.listener.sock
        if listening is None:
            return True
        connected = [each.stream.socket for each in self.clients if not each.stream.closed()]
        return not sockets.readable([listening, *connected])
