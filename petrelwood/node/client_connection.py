"""One client connection: MessagePack-RPC with a namespace type, `cancel` or `health` as the method.

An invalid request is answered with an error; malformed data ends the connection. A valid call is passed to
the core, which answers it once through `Exchange.answer`.
"""

import asyncio
from functools import partial

from tornado.iostream import StreamBufferFullError, StreamClosedError

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.overload import resource_limits
from petrelwood.links import rpc, sockets
from petrelwood.links.bounded_reader import BoundedReader, MessageLimits
from petrelwood.node import call_request
from petrelwood.node.call_request import InvalidRequestError
from petrelwood.node.connection_memory import SHORT_READ_SIZE
from petrelwood.node.connection_table import ConnectionTable
from petrelwood.node.exchange import Exchange, PumpedLink
from petrelwood.node.read_progress import ReadProgress
from petrelwood.node.stream import Stream
from petrelwood.node.units import MS

MAX_ANSWER_SIZE = resource_limits.MAX_BODY + resource_limits.MAX_TEXT  # bytes
MESSAGE_LIMITS = MessageLimits(
    resource_limits.MAX_BODY, resource_limits.MAX_TEXT, resource_limits.MAX_MEMBERS
)
CALL_PARAMETERS = 2  # the fields and the body
# The time for which the rest of an incomplete message, with all that follows it, may be on the way although
# nothing of it can be read (ns). A kernel whose peer's buffer was full sends on after 200 ms at the latest.
REST_ON_THE_WAY = 250_000_000

# Error names in answers
THROTTLED = "Throttled"
BROKEN = "Broken"
INVALID = "Invalid"


class ClientConnection:
    """One client connection.

    A draining connection accepts no further requests and is closed once all its requests are answered. Times
    are in ns.
    """

    __slots__ = (
        "deferred_links",
        "draining",
        "front",
        "invalid_requests",
        "is_paused",
        "last_write",
        "open_requests",
        "over_capacity",
        "partial_since",
        "pending_read",
        "progress",
        "reader",
        "requested",
        "share",
        "state_since",
        "stream",
        "unreadable",
    )

    def __init__(
        self,
        front: "ConnectionTable[ClientConnection]",
        stream: Stream,
        now: int,
        over_capacity: bool = False,
    ) -> None:
        self.front = front
        self.stream = stream
        self.over_capacity = over_capacity  # accepted beyond the capacity: its calls are rejected
        self.open_requests: dict[int, Exchange] = {}  # unanswered requests, by message id
        self.state_since = now  # when it was accepted, became idle or began to drain
        self.requested = False  # whether a complete, valid request was received
        self.invalid_requests = 0
        self.draining = False
        self.is_paused = False  # nothing is read until the client has read answers
        self.unreadable = False  # malformed data was received: further data is dropped
        self.share = front.read_turns.new_share()
        self.reader = BoundedReader(front.decoder, resource_limits.FRAME)
        self.partial_since = 0  # when the partial message began to arrive; 0: there is none
        self.pending_read: asyncio.Future[bytes] | None = None  # resolved with the next data
        self.progress = ReadProgress()
        self.deferred_links: dict[PumpedLink, bool] = {}  # links with sends that wait for a read
        self.last_write: asyncio.Future[None] | None = None  # resolved once the kernel has all data

    def now(self) -> int:
        """Return the monotonic time in ns."""
        return self.front.core.now()

    async def serve(self) -> None:
        """Serve the connection until it ends."""
        front = self.front
        core = front.core
        try:
            while True:
                # Read no further requests while the client does not read its answers.
                while self._is_write_buffer_full() and self.last_write is not None:
                    self.is_paused = True
                    await self.last_write
                self.is_paused = False
                await front.request_memory.wait_to_read(self)
                size = front.request_memory.reserve_read(self, self.reader.missing)
                self.stream.read_chunk_size = size
                self.pending_read = self.stream.read_bytes(size, partial=True)
                front.deferred_starts.check_client(self)
                self._pump_deferred_links()
                data = await self.pending_read
                self.stream.read_chunk_size = SHORT_READ_SIZE  # of what it reads while it is not asked to
                front.reads += 1
                await front.read_turns.take(self.share, partial(self._on_data, data, core.now()))
                self.progress.note_read(is_backlog=len(data) == size or bool(self.partial_since))
        except StreamClosedError:
            pass
        except Exception as error:  # an internal error closes this connection only
            core.defect("front", error)
        self.close()

    # Incoming data
    def _on_data(self, data: bytes, read_at: int) -> None:
        """Handle data that was read at `read_at`; drop it if the connection was closed since."""
        front = self.front
        front.core.answer_due(front.core.now())
        if not self.unreadable and self in front.clients:
            self._receive(data, read_at)
        front.request_memory.update(self)

    def _receive(self, data: bytes, now: int) -> None:
        """Handle the messages that `data` completes."""
        reader = self.reader
        try:
            messages = reader.feed(data)
            if reader.is_between_messages():
                self.partial_since = 0
            elif messages or not self.partial_since:
                self.partial_since = now
            for message in messages:
                self._handle(message, now)
        except rpc.MalformedRpcError as error:
            self.front.note_fault("unreadable", str(error))
            self._fail_unreadable(now)

    def _handle(self, message: rpc.Message, now: int) -> None:
        """Handle one message; an internal error affects that message alone."""
        try:
            self._handle_message(message, now)
        except rpc.MalformedRpcError:
            raise
        except Exception as error:  # keeps the error from affecting other messages
            self.front.core.defect("front", error)
            if not isinstance(message, rpc.Request):
                return
            exchange = self.open_requests.get(message.message_id)
            if exchange is not None:
                exchange.answer(ActivationState.ABORTED)
            else:
                self.send_failure(message.message_id)

    def _handle_message(self, message: rpc.Message, now: int) -> None:
        if isinstance(message, rpc.Request):
            self._handle_request(message, now)
        elif isinstance(message, rpc.Notification) and message.method == "cancel":
            for msgid in message.params:
                exchange = self.open_requests.pop(msgid, None) if isinstance(msgid, int) else None
                if exchange is not None and exchange.activation_id is not None:
                    self.front.core.detach_client(exchange.activation_id, exchange)
            self.request_ended()
        else:
            raise rpc.MalformedRpcError("the message is neither a request nor a cancel")

    def _handle_request(self, request: rpc.Request, now: int) -> None:
        core = self.front.core
        msgid = request.message_id
        method = request.method
        if msgid in self.open_requests:  # an answer could not be matched to one of the two requests
            raise rpc.MalformedRpcError("the message id is already in use")
        if self.draining:
            self.send_rejection(msgid, core.intake.typical_duration)
        elif method in core.terms.types:
            self._handle_call(msgid, method, request.params, now)
        elif method == "health":
            self.requested = True
            self._write(rpc.response(msgid, None, [core.is_ready(), {}]))
            self.request_ended()
        else:
            self._send_invalid(msgid, "no such class")

    def _handle_call(self, msgid: int, namespace_type: str, params: list[object], now: int) -> None:
        core = self.front.core
        gateway = core.gateway
        try:
            if len(params) != CALL_PARAMETERS:
                raise InvalidRequestError("a call has a map and a body")
            call = call_request.decode_call(
                namespace_type,
                params[0],
                params[1],
                self._arrival_time(now),
                gateway.customers,
                gateway.timeouts,
            )
            if core.is_open(call.activation.id):
                raise InvalidRequestError("an id that is open")
        except InvalidRequestError as error:
            self._send_invalid(msgid, str(error))
            return
        self.requested = True
        if not self._has_capacity():
            self.send_rejection(msgid, core.intake.typical_duration)
            return
        exchange = self.open_requests[msgid] = Exchange(self, msgid)
        self.front.connection_busy(self)
        core.admit(call.activation, call.function, call.figures, call.body, exchange)

    def _arrival_time(self, now: int) -> int:
        """Return the earliest possible arrival time of data read at `now`.

        A first request may have waited in the listen queue, which the lag of the event loop does not show.
        """
        arrival = self.front.core.earliest_arrival(now)
        if self.requested or self.stream.closed():
            return arrival
        return min(arrival, now - sockets.time_since_last_data(self.stream.socket))

    def _has_capacity(self) -> bool:
        """Return whether this connection may have one more open call."""
        if self.over_capacity:
            self.over_capacity = self.front.is_over_capacity()
            if self.over_capacity:
                return False
        calls = len(self.open_requests)
        if (
            calls >= resource_limits.MAX_OPEN_REQUESTS
            or self.stream.unsent_bytes() + (calls + 1) * MAX_ANSWER_SIZE > resource_limits.MAX_UNREAD
        ):
            self.front.counts["over request limit"] += 1
            return False
        return True

    def _fail_unreadable(self, now: int) -> None:
        """Answer each open request as failed after malformed data, and drain the connection.

        Later messages can't be told apart, so further data is read and dropped: closing a connection with
        unread data would reset it, and the reset would overtake the answers.
        """
        self.reader.clear()
        self.partial_since = 0
        if not self.open_requests and not self.stream.writing():
            self.close()
            return
        self._drain(now)
        self.unreadable = True
        for msgid, exchange in list(self.open_requests.items()):
            del self.open_requests[msgid]
            if exchange.activation_id is not None:
                self.front.core.detach_client(exchange.activation_id, exchange)
            self.send_failure(msgid)

    def abandon_partial_request(self) -> None:
        """Drop the incomplete request, and everything that follows it; end once the others are answered."""
        self.reader.clear()
        self.partial_since = 0
        self.unreadable = True
        self._drain(self.front.core.now())
        if not self.open_requests and not self.stream.writing():
            self.close()

    def _drain(self, now: int) -> None:
        """Accept no further requests; `Front.check` closes the connection later."""
        if not self.draining:
            self.draining = True
            self.state_since = now

    def _pump_deferred_links(self) -> None:
        if self.deferred_links:
            links = self.deferred_links
            self.deferred_links = {}
            for link in links:
                self.front.core.submit(link.pump)

    def partial_size(self) -> int:
        """Return the size of its incomplete request, in bytes."""
        return self.reader.size

    def may_complete_request(self) -> bool:
        """Return whether data has arrived that may complete its request, and will be read."""
        return not self.is_paused and self.has_unread_input()

    # Outgoing data
    def unsent_size(self) -> int:
        """Return the size of the answers that the kernel has not taken yet, in bytes."""
        return self.stream.unsent_bytes()

    def _is_write_buffer_full(self) -> bool:
        """Return whether unsent answers and those to open requests may exceed their memory limit."""
        return (
            self.stream.unsent_bytes() + len(self.open_requests) * MAX_ANSWER_SIZE
            > resource_limits.MAX_UNREAD
        )

    def _write(self, frame: bytes) -> None:
        try:
            self.last_write = self.stream.write(frame)
            self.front.answer_memory.update(self)
        except (StreamClosedError, StreamBufferFullError):
            self.front.core.loop.call_soon(self.close)

    def send_result(self, msgid: int, body: bytes) -> None:
        """Answer a request with its result."""
        self._write(rpc.response(msgid, None, [body, {}]))

    def send_rejection(self, msgid: int, retry_after: int) -> None:
        """Answer a request as rejected; `retry_after` in ns, 0 to leave it out."""
        fields = {"pushback": str(-(-retry_after // MS))} if retry_after else {}
        self._write(rpc.response(msgid, [THROTTLED, fields], None))

    def send_failure(self, msgid: int) -> None:
        """Answer a request as failed."""
        self._write(rpc.response(msgid, [BROKEN, {}], None))

    def _send_invalid(self, msgid: int, reason: str) -> None:
        """Answer an invalid request with an error; drain the connection after `MAX_FAULTS` of them."""
        self.front.note_fault("invalid", reason)
        self.invalid_requests += 1
        self._write(rpc.response(msgid, [INVALID, {"why": reason}], None))
        if self.invalid_requests >= resource_limits.MAX_FAULTS:
            self._drain(self.front.core.now())

    # State
    def request_ended(self) -> None:
        """Note that a request is no longer open; the connection is idle if it was the last one."""
        if not self.open_requests and not self.draining:
            self.state_since = self.front.core.now()
            self.front.connection_idle(self)

    def has_unread_input(self) -> bool:
        """Return whether data has arrived that was not handled yet, in the process or in the kernel.

        Closing the connection would then lose a request, and cause a reset that overtakes written answers.
        """
        return (
            self.pending_read is None
            or self.pending_read.done()
            or (not self.stream.closed() and bool(sockets.readable((self.stream.socket,))))
        )

    def defer_start(self, activation_id: str) -> None:
        """Have an activation started once all data of the client has been read."""
        self.front.deferred_starts.add(self, activation_id)

    def may_have_departed(self) -> bool:
        """Return whether a cancel or the end of the connection may be unread, here or at the client."""
        is_rest_on_the_way = self.partial_since and self.now() - self.partial_since < REST_ON_THE_WAY
        return bool(is_rest_on_the_way) or self.has_unread_input()

    def is_misused(self) -> bool:
        """Return whether its client has stopped within a request, or has sent what can't be read."""
        return self.unreadable or bool(self.partial_since)

    def is_quiescent(self) -> bool:
        """Return whether all written data has been sent and all received data was handled."""
        return not self.stream.writing() and not self.has_unread_input()

    def close(self) -> None:
        """Close the connection and cancel its open requests."""
        self.draining = True
        if self.front.clients.pop(self, None) is None:
            return
        self.front.connection_busy(self)
        self.reader.clear()
        self.stream.close()
        self.front.deferred_starts.forget(self)
        self.front.request_memory.update(self)
        self.front.answer_memory.update(self)
        for exchange in list(self.open_requests.values()):
            if exchange.activation_id is not None:
                self.front.core.detach_client(exchange.activation_id, exchange)
        self.open_requests.clear()
