"""The webhook front: Standard Webhooks on HTTP/1.1, `POST /hooks/CUSTOMER/FUNCTION`.

This module admits connections (`http_connection`), whose data is parsed into requests (`http_parsing`,
`http_request`). An invalid request is answered with a problem document (`webhook_call`). A request with a
valid signature is passed to the core, which calls `HttpRequest.answer` once (`webhook_answer`,
`http_response`). `Prefer: wait=N` (RFC 7240) is the number of seconds that the client waits.
"""

import socket
from collections.abc import Callable, Mapping, Sequence

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from petrelwood.decide.overload.admission import AdmissionVerdict, ConnectionAdmission
from petrelwood.decide.overload.storm import SymptomName
from petrelwood.fronts.http_connection import READ_SIZE, HttpConnection
from petrelwood.fronts.http_request import HttpRequest
from petrelwood.fronts.http_response import rejected_connection
from petrelwood.fronts.http_status import HttpStatus
from petrelwood.fronts.interfaces import Customer, WebhookCore, WebhookSettings
from petrelwood.fronts.signing import Verifier
from petrelwood.fronts.webhook_call import WebhookDecoder, WebhookRejectedError
from petrelwood.links import sockets as link_sockets
from petrelwood.links.interfaces import Address
from petrelwood.links.listener import Listener

UNAUTHORIZED = HttpStatus.UNAUTHORIZED  # a module name: Python 3.11 is slow to look up a member on its enum


def _verifiers(customers: Mapping[str, Customer]) -> dict[str, Verifier]:
    return {name: Verifier(customer.keys) for name, customer in customers.items()}


class Webhooks(Listener):
    """Listens, serves connections, and passes valid requests to `core`."""

    def __init__(self, gateway: WebhookSettings, core: WebhookCore) -> None:
        is_tls = gateway.tls is not None
        super().__init__(
            max_buffer_size=2 * READ_SIZE, ssl_options=gateway.tls.server() if gateway.tls else None
        )
        self.core = core
        self.now: Callable[[], int] = core.now
        self.limits = gateway.limits
        self.admission = ConnectionAdmission(
            gateway.limits.connections,
            gateway.limits.handshakes if is_tls else 0,
            gateway.limits.bytes,
            core.chance.random,
        )
        self.connections: set[HttpConnection] = set()
        self.counts: dict[str, int] = {}
        self._is_tls = is_tls
        self._decoder = self._make_decoder(gateway)
        self._paused: list[socket.socket] = []  # the listening sockets while the front is paused

    def _make_decoder(self, gateway: WebhookSettings) -> WebhookDecoder:
        return WebhookDecoder(_verifiers(gateway.customers), gateway.tolerance, self.core.rule)

    def apply(self, gateway: WebhookSettings) -> None:
        """Apply new settings: keys to requests handled from now on, limits to new connections."""
        self.limits = gateway.limits
        self._decoder = self._make_decoder(gateway)

    # Listening sockets
    def open(self, address: Address) -> Address:
        """Listen on an address, and return the address that was bound.

        Raises:
            OSError: The address can't be bound.
        """
        host, port = address
        return self.listen_on(bind_sockets(port, host, family=socket.AF_UNSPEC, reuse_port=False))

    def listen_on(self, sockets: Sequence[socket.socket]) -> Address:
        """Listen on sockets that this or another process has bound; return the address of the first."""
        for sock in sockets:
            sock.setblocking(False)
        self.add_sockets(sockets)
        host, port = sockets[0].getsockname()[:2]
        return host, port

    def descriptors(self) -> list[int]:
        """Return the descriptors of the listening sockets, for a successor process."""
        return [sock.fileno() for sock in self._sockets.values()]

    def pause(self) -> None:
        """Stop accepting connections; the listening sockets stay open.

        Connections stay open too: a request in transit is answered with `Connection: close`. Idle connections
        are closed with the process.
        """
        self._paused = list(self._sockets.values())
        for descriptor in list(self._sockets):
            stop_accepting = self._handlers.pop(descriptor)
            stop_accepting()
        self._sockets.clear()
        self._drain_connections()

    def resume(self) -> None:
        """Accept connections again after a pause."""
        self.add_sockets(self._paused)
        self._paused = []
        for connection in self.connections:
            connection.is_draining = False

    # Connections
    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve an accepted connection, or reject it without reading."""
        peer = address[0]
        now = self.now()
        self.core.intake.storms.record_connection(now)
        verdict = self.admission.admit_connection(now, peer)
        if verdict is not AdmissionVerdict.ADMIT:
            self.count(f"connections refused: {verdict}")
            self._reject(stream, peer, now)
            return
        link_sockets.disable_delay(stream.socket)
        connection = HttpConnection(self, stream, peer, self._is_tls)
        connection.is_draining = self.core.intake.closing
        self.connections.add(connection)
        await connection.serve()

    def _reject(self, stream: IOStream, peer: str, now: int) -> None:
        if self._is_tls:  # an answer would require a handshake
            stream.close()
            return
        written = stream.write(rejected_connection(self.admission.retry_after_seconds(peer, now)))
        written.add_done_callback(lambda _: stream.close())

    def connection_closed(self, connection: HttpConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)

    def count(self, event: str) -> None:
        """Count an event; the counts are for tests."""
        self.counts[event] = self.counts.get(event, 0) + 1

    # Requests
    def handle(self, request: HttpRequest) -> None:
        """Pass a valid request to the core, or answer why it is rejected."""
        body = b"".join(request.body)
        try:
            call = self._decoder.decode(request, body)
        except WebhookRejectedError as error:
            if error.status is UNAUTHORIZED:
                self._record_signature(request, is_valid=False)
            self.count(str(error.status.code))
            request.fail(error.status, str(error))
            return
        self._record_signature(request, is_valid=True)
        self.core.admit(call.request, call.function, call.rule, body, request)

    def _record_signature(self, request: HttpRequest, is_valid: bool) -> None:
        self.admission.record_signature(self.now(), request.connection.peer, is_valid)

    def client_departed(self, request: HttpRequest) -> None:
        """Handle a client that disconnected before the core answered its request."""
        if request.activation_id is not None:
            self.core.detach_client(request.activation_id, request)

    # Calls from the dispatcher
    def storm_changed(self, name: str, on: bool) -> None:
        """Admit connections more slowly during a storm of reconnects."""
        if name == SymptomName.RECONNECTS:
            self.admission.is_storm = on

    def check(self, now: int) -> None:
        """Close connections with slow peers; called about twenty times per second, `now` in ns."""
        for connection in list(self.connections):
            connection.check_deadlines(now)

    def drain(self) -> None:
        """Close each connection after its pending answers, because the process shuts down.

        The front listens until `close_idle`, because a connection in the listen queue of the kernel may
        contain a request, which is then rejected. Sockets on which another process has listened since a pause
        are closed at once: the kernel queues connections for them as long as any process has them open.
        """
        self._drain_connections()
        for sock in self._paused:
            sock.close()
        self._paused = []

    def _drain_connections(self) -> None:
        for connection in self.connections:
            connection.is_draining = True

    def is_drained(self) -> bool:
        """Return whether all answers are written, and no connection, request or close is unread."""
        streams = [each.stream for each in self.connections if not each.stream.closed()]
        if any(stream.writing() for stream in streams):
            return False
        return not link_sockets.readable([*self._sockets.values(), *(stream.socket for stream in streams)])

    def close_idle(self) -> None:
        """Stop listening, and close the connections without unanswered requests."""
        self.stop()
        for connection in list(self.connections):
            if not connection.unanswered:
                connection.stream.close()
