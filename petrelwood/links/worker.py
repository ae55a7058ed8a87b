"""The link to one worker by MessagePack-RPC: many calls on one connection, which is opened when needed.

The messages are in `links.worker_messages`. `decide.cluster.link_state` makes the decisions about a link, and
`decide.delivery.send_outcome` decides what the end of a call proves.
"""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Protocol

from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

from petrelwood.decide.cluster.link_state import (
    CONNECT,
    DOWN,
    REJECT,
    UP,
    LinkCheck,
    LinkPhase,
    LinkState,
    LinkTerms,
)
from petrelwood.decide.delivery import send_outcome
from petrelwood.decide.overload.backoff import Budget
from petrelwood.links import rpc, sockets, worker_messages
from petrelwood.links.calls import HEALTH_CHECK, LOAD_ORDER, QUEUED, RUN, Call, Calls
from petrelwood.links.connection_end import reason_of_end
from petrelwood.links.interfaces import Address, LinkCore, Logger, LoopOwner
from petrelwood.links.tls import Identity
from petrelwood.links.worker_messages import LoadOrderContent, RpcCall, RunContent

READ_SIZE = 65_536  # the maximum number of bytes per read from the socket
BATCH_SIZE = 65_536  # bytes after which a batch is written; other calls stay queued and can be withdrawn
RUN_OVERHEAD = 160  # the size of a queued attempt without its idempotency mark and body, in bytes
CALL_SIZE = 64  # the size of any other queued call, in bytes
TAG_MASK = 0xFFFFFFFF  # message ids have 32 bits


class WorkerLinkTerms(LinkTerms, Protocol):
    """The settings of a link to a worker; times in ns, sizes in bytes."""

    @property
    def queue(self) -> int:
        """The maximum size of the queue for a worker that does not read."""

    @property
    def frame(self) -> int:
        """The maximum size of one message."""

    @property
    def order_within(self) -> int:
        """The timeout of a load order or health check."""


class WorkerLinkCore(LinkCore, LoopOwner, Protocol):
    """The dispatcher as a link needs it."""

    @property
    def reconnects(self) -> Budget | None:
        """The budget for reconnecting, shared by all links."""

    def schedule_checks(self, link: "WorkerLink", /) -> object:
        """Call `link.check` periodically until it returns False."""

    def still_wanted(self, activation: str, /) -> bool:
        """Return whether an attempt may still be written: the client of its activation has not hung up."""

    def defect(self, where: str, fault: Exception, /) -> object:
        """Log a defect of this program, and abort the activations that it affected."""


class WorkerLink(Calls[RunContent | LoadOrderContent, None]):
    """The link of a dispatcher to one worker.

    It reports the end of each call to the core through `submit`, never within a method that the core called.
    """

    core: WorkerLinkCore

    def __init__(
        self,
        worker: str,
        address: Address | None,
        terms: WorkerLinkTerms,
        chance: Callable[[], float],
        core: WorkerLinkCore,
        log: Logger,
        tls: Identity | None = None,
    ) -> None:
        super().__init__(worker, address, core)
        self.terms = terms
        self.log = log
        self.tls = tls
        self.state = LinkState(worker, terms, chance, core.reconnects)
        self.stream: IOStream | None = None
        self.last_tag = 0
        self.writing = False  # whether the last batch is not completely written yet
        self.flush_planned = False

    # Interface for the dispatcher
    def run(
        self,
        activation: str,
        attempt: int,
        function: str,
        idempotency_mark: str,
        remaining: int,
        lanes: int,
        body: bytes,
    ) -> None:
        """Send an attempt of an activation.

        Args:
            activation: The id of the activation.
            attempt: The number of the attempt.
            function: The function to run.
            idempotency_mark: The key by which the worker recognizes repeated attempts.
            remaining: The time from now to the deadline, in ns.
            lanes: The maximum number of activations that one copy of the function runs concurrently.
            body: The input of the function.
        """
        now = self.core.now()
        size = RUN_OVERHEAD + len(idempotency_mark) + len(body)
        content = RunContent(idempotency_mark, lanes, body)
        tag = self._next_tag()
        call: RpcCall = Call(RUN, activation, attempt, function, now, content, size, tag, now + remaining)
        self.runs[activation, attempt] = call
        self._submit(call, now)

    def order_load(self, function: str, lanes: int, copies: int) -> None:
        """Order the worker to keep this number of copies of a function loaded."""
        now = self.core.now()
        tag = self._next_tag()
        call: RpcCall = Call(LOAD_ORDER, "", copies, function, now, LoadOrderContent(lanes), CALL_SIZE, tag)
        self._submit(call, now)

    def check_health(self) -> None:
        """Send a health check."""
        now = self.core.now()
        call: RpcCall = Call(HEALTH_CHECK, "", 0, "", now, None, CALL_SIZE, self._next_tag())
        self._submit(call, now)

    def _next_tag(self) -> int:
        self.last_tag = (self.last_tag + 1) & TAG_MASK
        return self.last_tag

    def _submit(self, call: RpcCall, now: int) -> None:
        decision = self.state.on_call(now)
        if decision is REJECT:
            self._report(call, send_outcome.of_loss(QUEUED))
        elif self.waiting_bytes + call.size > self.terms.queue:
            self._report(call, send_outcome.of_full_queue())
        else:
            self._enqueue(call)
            self.core.schedule_checks(self)
            if decision is CONNECT:
                self._connect(now)
            self._flush_soon()

    # Writing
    def _flush_soon(self) -> None:
        if not self.flush_planned and not self.writing and self.state.phase is UP:
            self.flush_planned = True
            self.core.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_planned = False
        while self.waiting and not self.writing and self.state.phase is UP and self.stream is not None:
            batch = self._next_batch(self.stream)
            if batch:
                self._write(batch)

    def _next_batch(self, stream: IOStream) -> bytes:
        """Remove the next calls from the queue, up to the size of a batch, and return their frames."""
        frames = []
        size = 0
        written = sockets.bytes_written(stream)
        while self.waiting and size < BATCH_SIZE:
            call = self.waiting[0]
            if self._may_leave(call):
                if self.tls is None:  # with TLS it is unknown which bytes the kernel has accepted
                    call.bytes_before = written + size
                frame = self._take_frame(self.waiting.popleft())
                frames.append(frame)
                size += len(frame)
        return b"".join(frames)

    def _may_leave(self, call: RpcCall) -> bool:
        """Apply the rules of `Calls`, and end an attempt whose client has hung up, even if that is unread."""
        if call.kind == RUN and not self.core.still_wanted(call.activation):
            reason = send_outcome.of_recall(call.stage)
            if reason is not None:
                self._end(call, reason)
            return False
        return super()._may_leave(call)

    def _encode(self, call: RpcCall) -> bytes:
        return worker_messages.encode_call(call, self.core.now())

    def _write(self, data: bytes) -> None:
        if self.stream is None:
            return
        try:
            done = self.stream.write(data)
        except StreamClosedError:
            return  # the reading task reports the lost connection
        if not done.done():
            self.writing = True
            done.add_done_callback(self._written)

    def _written(self, done: "asyncio.Future[None]") -> None:
        self.writing = False
        if not done.cancelled() and done.exception() is None:
            self._flush()

    def _send_cancel(self, call: RpcCall) -> None:
        stream = self.stream
        if self.state.phase is UP and stream is not None and not stream.closed():
            with contextlib.suppress(StreamClosedError):
                _write_unattended(stream, worker_messages.encode_cancel(call))

    # Connection
    def _connect(self, now: int) -> None:
        self.state.on_connecting(now)
        if self.address is None:
            raise TypeError(f"the address of {self.worker} is unknown")
        self.writing = False
        try:
            self.stream = self._new_stream(self.address[0])
        except OSError as error:  # handled like a connection that fails to open
            self.stream = None
            self._lost(None, str(error))
            return
        self.core.loop.create_task(self._serve(self.stream, self.address))

    def _new_stream(self, host: str) -> IOStream:
        """Return a stream that is not connected yet. Raises OSError."""
        buffer_size = self.terms.frame + READ_SIZE
        if self.tls is None:
            return IOStream(sockets.new_socket(host), max_buffer_size=buffer_size)
        return SSLIOStream(
            sockets.new_socket(host), ssl_options=self.tls.client(), max_buffer_size=buffer_size
        )

    async def _serve(self, stream: IOStream, address: Address) -> None:
        reason = await reason_of_end(self._read(stream, address), self.core.defect)
        self._lost(stream, reason)

    async def _read(self, stream: IOStream, address: Address) -> None:
        """Connect, send the greeting, and handle messages of the worker until an error occurs."""
        server_name = None if self.tls is None else self.tls.server_name(address[0])
        await stream.connect(address, server_hostname=server_name)
        sockets.disable_delay(stream.socket)
        self.state.on_connected()
        _write_unattended(stream, worker_messages.encode_hello(self.core.name))
        reader = rpc.Reader(self.terms.frame)
        while True:
            data = await stream.read_bytes(READ_SIZE, partial=True)
            self.state.on_bytes(self.core.now())
            for message in reader.feed(data):
                self._handle(message)

    def _lost(self, stream: IOStream | None, reason: str) -> None:
        """Handle a connection that was lost or failed to open; end all calls unless another one is in use."""
        if stream is not None:
            stream.close()
        if self.stream is not stream or self.state.phase is DOWN:
            return
        was_up = self.state.phase is UP
        self.state.on_lost(self.core.now())
        self.counts.lost += 1
        self.log.info(
            "worker connection lost",
            worker=self.worker,
            reason=reason,
            was_up=was_up,
            in_flight=len(self.in_flight),
            queued=len(self.waiting),
        )
        for call in (*self.in_flight.values(), *self.waiting):
            self._end_lost(call, stream)

    def give_up(self, reason: str) -> None:
        """Close the connection; all calls end."""
        if self.stream is not None:
            self._lost(self.stream, reason)

    def check(self, now: int) -> bool:
        """End what is overdue at `now` (ns); return whether further checks are needed."""
        verdict = self.state.check(now, bool(self.in_flight))
        if verdict == LinkCheck.GIVE_UP:
            self.give_up("nothing was received from the worker in time")
        elif verdict == LinkCheck.PING:
            self.check_health()
        self._end_outdated()
        for call in self._overdue_calls(now, self.terms.order_within):
            self._end(call, send_outcome.of_timeout(call.stage))
        for call in self._expired_attempts(now):
            self.time_out(call.activation, call.number)
        return self.has_open_calls() or self.state.phase in (LinkPhase.CONNECTING, LinkPhase.GREETING)

    # Reading
    def _handle(self, message: rpc.Message) -> None:
        if isinstance(message, rpc.Response):
            self._response(message.message_id, message.error, message.result)
        elif self.state.phase is UP:
            return  # requests and notifications of a worker that is up are ignored
        elif isinstance(message, rpc.Notification) and message.method == worker_messages.HELLO:
            self._greeted(message.params)
        else:
            raise rpc.MalformedRpcError("the first message of the worker is not a greeting")

    def _greeted(self, params: list[object]) -> None:
        greeting = worker_messages.decode_greeting(params)
        if not self.state.on_greeting(self.core.now(), greeting.worker, greeting.started):
            raise rpc.MalformedRpcError(f"unexpected greeting from {greeting.worker!r}")
        self._flush()

    def _response(self, message_id: int, error: object, result: object) -> None:
        call = self.in_flight.get(message_id)
        if call is None:  # the call has ended, or never existed
            self.counts.unexpected_answers += 1
            return
        self.counts.answered += 1
        answer = worker_messages.decode_answer(call, error, result)
        self._end(call, answer.reason, answer.note, answer.body, answer.load_report)


def _write_unattended(stream: IOStream, data: bytes) -> None:
    """Write data without waiting; the reading task reports a lost connection."""
    stream.write(data).add_done_callback(lambda done: done.exception())
