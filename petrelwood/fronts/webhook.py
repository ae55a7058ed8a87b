"""The webhook front: Standard Webhooks on HTTP/1.1, `POST /hooks/CUSTOMER/FUNCTION`.

Connections are admitted here (`http_connection`), their bytes parsed into requests (`http_parsing`,
`http_request`). A wrong request ends here with a problem document (`webhook_call`); one with a valid
signature goes to the core, which calls `HttpRequest.answer` once (`webhook_answer`, `http_response`).
`Prefer: wait=N` (RFC 7240) is how many seconds the client will wait.
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

UNAUTHORIZED = HttpStatus.UNAUTHORIZED  # a member of an enum takes longer to find than a name of the module


def _verifiers(customers: Mapping[str, Customer]) -> dict[str, Verifier]:
    return {name: Verifier(customer.keys) for name, customer in customers.items()}


class Webhooks(Listener):
    """The listening sockets, their connections, and the way of each request to `core`."""

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
        self._paused: list[socket.socket] = []  # listening sockets of a paused front

    def _make_decoder(self, gateway: WebhookSettings) -> WebhookDecoder:
        return WebhookDecoder(_verifiers(gateway.customers), gateway.tolerance, self.core.rule)

    def apply(self, gateway: WebhookSettings) -> None:
        """Take new settings: keys for the requests that come, limits for the connections that open."""
        self.limits = gateway.limits
        self._decoder = self._make_decoder(gateway)

    # The listening sockets.
    def open(self, address: Address) -> Address:
        """Listen on an address, and return the one that it became.

        Raises:
            OSError: It can't be bound.
        """
        host, port = address
        return self.listen_on(bind_sockets(port, host, family=socket.AF_UNSPEC, reuse_port=False))

    def listen_on(self, sockets: Sequence[socket.socket]) -> Address:
        """Listen on sockets that are bound, here or in another process; return the address of the first."""
        for sock in sockets:
            sock.setblocking(False)
        self.add_sockets(sockets)
        host, port = sockets[0].getsockname()[:2]
        return host, port

    def descriptors(self) -> list[int]:
        """Return the descriptors of the listening sockets, for a successor."""
        return [sock.fileno() for sock in self._sockets.values()]

    def pause(self) -> None:
        """Accept nothing more; the sockets stay open.

        Connections stay open too: a request that is on its way is answered, with `Connection: close`; those
        that send nothing are closed with the process.
        """
        self._paused = list(self._sockets.values())
        for descriptor in list(self._sockets):
            stop_accepting = self._handlers.pop(descriptor)
            stop_accepting()
        self._sockets.clear()
        self._drain_connections()

    def resume(self) -> None:
        """Accept again after a pause."""
        self.add_sockets(self._paused)
        self._paused = []
        for connection in self.connections:
            connection.is_draining = False

    # Connections.
    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve a connection that was accepted, or reject it unread."""
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
        if self._is_tls:  # an answer would cost the handshake
            stream.close()
            return
        written = stream.write(rejected_connection(self.admission.retry_after_seconds(peer, now)))
        written.add_done_callback(lambda _: stream.close())

    def connection_closed(self, connection: HttpConnection) -> None:
        """Forget a connection that has ended."""
        self.connections.discard(connection)

    def count(self, event: str) -> None:
        """Count an event, for tests."""
        self.counts[event] = self.counts.get(event, 0) + 1

    # Requests.
    def handle(self, request: HttpRequest) -> None:
        """Hand a complete request to the core, or answer why it is rejected."""
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
        """Handle the departure of the client of a request that the core has not answered."""
        if request.activation_id is not None:
            self.core.detach_client(request.activation_id, request)

    # From the dispatcher.
    def storm_changed(self, name: str, on: bool) -> None:
        """Admit connections more slowly during a storm of reconnects."""
        if name == SymptomName.RECONNECTS:
            self.admission.is_storm = on

    def check(self, now: int) -> None:
        """Close the connections whose peers are too slow; called some twenty times a second, `now` in ns."""
        for connection in list(self.connections):
            connection.check_deadlines(now)

    def drain(self) -> None:
        """Make each further answer the last of its connection, as the process ends.

        The front listens until `close_idle`: a connection that the machine has accepted may have a request
        in it, which is rejected. Sockets that another process listens on since a pause are closed at once:
        the machine would go on accepting for as long as any process has them open.
        """
        self._drain_connections()
        for sock in self._paused:
            sock.close()
        self._paused = []

    def _drain_connections(self) -> None:
        for connection in self.connections:
            connection.is_draining = True

    def is_drained(self) -> bool:
        """Return whether all answers have left, and no connection, request or end is unread."""
        streams = [each.stream for each in self.connections if not each.stream.closed()]
        if any(stream.writing() for stream in streams):
            return False
        return not link_sockets.readable([*self._sockets.values(), *(stream.socket for stream in streams)])

    def close_idle(self) -> None:
        """Listen no more, and close the connections on which no answer is due."""
        self.stop()
        for connection in list(self.connections):
            if not connection.unanswered:
                connection.stream.close()
