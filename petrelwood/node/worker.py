"""The link to one worker on the platform's wire: JSON lines over a few connections, which are reused.

The queue, the stages and the ends of calls are those of `links.calls`. Which connection carries a call is
decided in `decide.cluster.connection_pool`. A connection on which a malformed answer came is closed, and what
was in flight on it may have run.
"""

import contextlib
from typing import Protocol

from tornado.iostream import StreamBufferFullError, StreamClosedError

from petrelwood.decide.cluster import connection_pool
from petrelwood.decide.delivery import send_outcome
from petrelwood.decide.delivery.pending import PendingActivation
from petrelwood.decide.overload import resource_limits
from petrelwood.links import sockets
from petrelwood.links.calls import HEALTH_CHECK, LOAD_ORDER, QUEUED, RUN, Call, Calls
from petrelwood.links.connection_end import reason_of_end
from petrelwood.links.interfaces import Address, LinkCore, LoadReport, LoopOwner
from petrelwood.node import worker_protocol
from petrelwood.node.configuration import WorkerTerms
from petrelwood.node.stream import Stream
from petrelwood.node.units import MS
from petrelwood.node.worker_connection import NodeCall, RunContent, WorkerConnection
from petrelwood.ports import CopyNote, EndReason

SECOND = 1000 * MS
READ_SIZE = 16_384  # bytes taken from the socket at a time
READ_BUFFER_FRAMES = 4  # the most that a connection buffers of what it has read, in frames of the largest
# ns that the kernel may take to accept a frame: it states the time left when it was made, so that a worker
# which reads it much later believes that its client waits longer than it does
WRITE_TIMEOUT = 100 * MS


class NodeLinkCore(LinkCore, LoopOwner, Protocol):
    """What a link needs of the dispatcher that runs it."""

    def schedule_checks(self, link: "NodeLink", /) -> object:
        """Have `link.check` called now and then, until that says otherwise."""

    def behind(self) -> bool:
        """Return whether the loop was held up, and what came meanwhile may not have been read yet.

        Nothing is written until then; the core calls `link.pump` afterwards.
        """

    def may_send(self, activation: str, link: "NodeLink", /) -> bool:
        """Return whether an attempt may leave now; if not, the core calls `link.pump` later.

        It may not while the cancellation or the end of its client may not have been read yet.
        """

    def may_open(self) -> bool:
        """Return whether a descriptor is left for a connection, or an idle connection could be closed."""

    def makes_room(self) -> bool:
        """Return the same, and close an idle connection of any link where that is needed."""

    def opened(self) -> object:
        """Note that a connection takes a descriptor."""

    def closed(self) -> object:
        """Note that a connection has released its descriptor."""

    def next_tag(self) -> str:
        """Return an id for a call that is no attempt."""

    def note_loss(self, worker: str, why: str, out: int, /) -> object:
        """Log that a connection is lost with `out` calls in flight, or was not made."""

    def defect(self, where: str, fault: Exception, /) -> object:
        """Log a defect of our own, and abort the activations that it touched."""


class NodeLink(Calls[RunContent | bytes, WorkerConnection]):
    """The link of a dispatcher to one worker.

    It reports each end to the core through `submit`. The `activation` of a call is its id on the wire.
    """

    MIN_TIME_LEFT = MS

    core: NodeLinkCore

    def __init__(self, worker: str, address: Address | None, terms: WorkerTerms, core: NodeLinkCore) -> None:
        super().__init__(worker, address, core)
        self.terms = terms
        self.ends: dict[str, int] = {}  # answers other than completed, by reason, since they were last logged
        self.connections: list[WorkerConnection] = []  # made or coming up, the last used at the end
        self.connecting = 0  # how many of them are coming up
        self.pumping = False  # whether `pump` is running

    # What the dispatcher calls.
    def run(self, act: PendingActivation, attempt: int, remaining: int) -> None:
        """Send an attempt of an activation; `remaining`: ns until its deadline."""
        now = self.core.now()
        content = RunContent(act.type, act.idempotency_mark, act.body)
        size = worker_protocol.run_size(act.body)
        tag = (act.id, attempt)
        call: NodeCall = Call(RUN, act.id, attempt, act.function, now, content, size, tag, now + remaining)
        self.runs[tag] = call
        self._submit(call)

    def order_load(self, function: str, lanes: int, copies: int) -> None:
        """Order the worker to have so many copies of a function; `lanes` has no place on this wire."""
        tag = self.core.next_tag()
        frame = worker_protocol.encode_load_order(tag, function, copies)
        self._submit(Call(LOAD_ORDER, tag, copies, function, self.core.now(), frame, len(frame), tag))

    def check_health(self) -> None:
        """Send a health check."""
        tag = self.core.next_tag()
        frame = worker_protocol.encode_health_check(tag)
        self._submit(Call(HEALTH_CHECK, tag, 0, "", self.core.now(), frame, len(frame), tag))

    def _submit(self, call: NodeCall) -> None:
        self._enqueue(call)
        self.core.schedule_checks(self)
        self.pump()

    def withdraw(self, activation: str, attempt: int) -> None:
        """As in `Calls`; a connection on which the attempt has left in part is closed."""
        super().withdraw(activation, attempt)
        self._drop_unsent(activation, attempt, "its activation ended before all of it had left")

    def time_out(self, activation: str, attempt: int) -> None:
        """As in `Calls`; closes a connection that is unresponsive, or where the attempt has left in part."""
        self._drop_unsent(activation, attempt, "its time was up before all of it had left")
        call = self.runs.get((activation, attempt))
        super().time_out(activation, attempt)
        if call is not None:
            self._close_if_unresponsive(call)

    def _drop_unsent(self, activation: str, attempt: int, why: str) -> None:
        """Close the connection of an attempt whose frame has not left completely, whatever else is in flight.

        The rest must not follow: a worker that reads again would begin what has ended.
        """
        call = self.runs.get((activation, attempt))
        if call is not None and call.connection is not None and call.connection.has_unsent(call):
            self._lost(call.connection, why)

    # Writing.
    def pump(self) -> None:
        """Write what is queued, as far as connections are made, or open connections for it."""
        # a connection that is made or lost meanwhile comes back here
        if self.pumping or self.core.behind():
            return
        self.pumping = True
        deferred = 0  # attempts that may not leave yet; they are at the end of the queue
        try:
            while len(self.waiting) > deferred:
                call = self.waiting[0]
                # a call behind the unsent rest of another would begin whenever its worker reads again
                ready = [connection for connection in self.connections if not connection.stream.writing()]
                connection = connection_pool.choose_connection(
                    ready, call.activation, self.terms.streams, self.core.may_open()
                )
                if connection is not None:
                    if connection.stream.closed() or connection.has_expired(self.core.now(), self.terms.idle):
                        self._lost(connection, "closed or idle")  # before anything of the call has left
                    elif call.kind == RUN and not self.core.may_send(call.activation, self):
                        self.waiting.rotate(-1)
                        deferred += 1
                    elif self._may_leave(call):
                        self._write(connection, self.waiting.popleft())
                elif self._wants_connection() and self.core.makes_room():
                    self._connect()
                elif (
                    not self.connections
                ):  # no descriptor is left, and no connection that could carry it later
                    self._end(call, send_outcome.of_full_queue())
                else:
                    break
        finally:
            self.pumping = False

    def _wants_connection(self) -> bool:
        """Return whether more calls are queued than connections are coming up, and another one may."""
        return self.connecting < min(len(self.waiting), connection_pool.MAX_CONNECTING)

    def _encode(self, call: NodeCall) -> bytes:
        content = call.content
        if isinstance(content, bytes):
            return content
        if content is None or call.deadline is None:
            raise TypeError(f"call {call.activation} has left, or has no deadline")
        patience = max(1, (call.deadline - self.core.now()) // MS)
        namespace_type, key, body = content
        return worker_protocol.encode_run(call.activation, namespace_type, call.function, patience, key, body)

    def _write(self, connection: WorkerConnection, call: NodeCall) -> None:
        frame = self._take_frame(call)
        call.bytes_before = sockets.bytes_written(connection.stream)
        call.connection = connection
        connection.in_flight[call.activation] = call
        connection_pool.record_call_id(connection, call.activation)
        connection.last_call = call
        connection.last_write_at = self.core.now()
        self.connections.remove(connection)  # the last used is at the end
        self.connections.append(connection)
        try:
            written = connection.stream.write(frame)
        except (StreamClosedError, StreamBufferFullError):
            self.core.loop.call_soon(self._lost, connection, "closed under a call")
            return
        if connection.stream.writing():
            written.add_done_callback(lambda _: self.pump())

    def _send_cancel(self, call: NodeCall) -> None:
        connection = call.connection
        if call.kind != RUN or not self.terms.cancels or connection is None or connection.stream.closed():
            return
        with contextlib.suppress(StreamClosedError, StreamBufferFullError):
            connection.stream.write(worker_protocol.encode_cancel(call.activation))

    # The connections.
    def _connect(self) -> None:
        if self.address is None:
            raise TypeError(f"the address of {self.worker} is not known")
        buffer_size = resource_limits.FRAME * READ_BUFFER_FRAMES
        try:
            stream = Stream(
                sockets.new_socket(self.address[0]), max_buffer_size=buffer_size, read_chunk_size=READ_SIZE
            )
        except OSError:  # no descriptor after all: nothing was sent
            self._end(self.waiting[0], send_outcome.of_full_queue())
            return
        connection = WorkerConnection(stream, self.core.now())
        self.connections.append(connection)
        self.connecting += 1
        self.core.opened()
        connection.connect_timer = self.core.loop.call_later(
            self.terms.connect_within / SECOND, self._lost, connection, "not made in time"
        )
        self.core.loop.create_task(self._serve(connection, self.address))

    async def _serve(self, connection: WorkerConnection, address: Address) -> None:
        reason = await reason_of_end(self._read(connection, address), self.core.defect)
        self._lost(connection, reason)

    async def _read(self, connection: WorkerConnection, address: Address) -> None:
        """Connect, and handle what the worker answers until an error ends that."""
        await connection.stream.connect(address)
        if connection.connect_timer is None:  # it was given up meanwhile
            return
        self._on_connected(connection)
        reader = worker_protocol.AnswerReader(resource_limits.FRAME)
        while True:
            data = await connection.stream.read_bytes(READ_SIZE, partial=True)
            connection.last_read_at = self.core.now()
            for answer in reader.feed(data):
                self._on_answer(connection, answer)

    def _on_connected(self, connection: WorkerConnection) -> None:
        self._stop_connect_timer(connection)
        connection.up = True
        connection.stream.set_nodelay(True)
        self.pump()

    def _stop_connect_timer(self, connection: WorkerConnection) -> None:
        """Note that a connection is no longer coming up."""
        if connection.connect_timer is not None:
            connection.connect_timer.cancel()
            connection.connect_timer = None
            self.connecting -= 1

    def _lost(self, connection: WorkerConnection, why: str) -> None:
        """Close a connection, and end what is in flight on it; without effect if that was done before."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        connection.stream.close()
        self.core.closed()
        if not connection.up:
            self._stop_connect_timer(connection)
            if self.waiting:  # one call ends for one connection that was not made
                self._end(self.waiting[0], send_outcome.of_loss(QUEUED))
        if connection.in_flight or not connection.up:
            self.counts.lost += 1
            self.core.note_loss(self.worker, why, len(connection.in_flight))
        for call in list(connection.in_flight.values()):
            self._end_lost(call, connection.stream)
        connection.in_flight.clear()
        self.pump()

    def give_up(self, why: str) -> None:
        """Close all connections; what is in flight on them ends."""
        for connection in list(self.connections):
            self._lost(connection, why)

    def check(self, now: int) -> bool:
        """Look for what is overdue at `now` (ns); return whether this has to be called again."""
        for connection in [each for each in self.connections if each.has_stalled(now, WRITE_TIMEOUT)]:
            if not self.core.behind():  # else it may be this side that did not write
                self._lost(connection, "it does not read")
        for call in self._expired_attempts(now):
            self.time_out(call.activation, call.number)
        for call in self._overdue_calls(now, self.terms.connect_within):
            if call.kind == HEALTH_CHECK or now - call.made_at > self.terms.order_within:
                self._end(call, send_outcome.of_timeout(call.stage))
                self._close_if_unresponsive(call)
        return self.has_open_calls()

    def _close_if_unresponsive(self, call: NodeCall) -> None:
        """Close the connection of a call that timed out, if it is idle and nothing was read since."""
        connection = call.connection
        if connection is not None and connection.last_read_at <= call.made_at and not connection.in_flight:
            self._lost(connection, "nothing was heard in time")

    def close_expired(self, now: int) -> None:
        """Close the connections that have been idle for too long at `now` (ns)."""
        for connection in [each for each in self.connections if each.has_expired(now, self.terms.idle)]:
            self._lost(connection, "idle")

    def idle_connection(self) -> WorkerConnection | None:
        """Return the connection that has been idle longest, or None."""
        return next((connection for connection in self.connections if connection.is_idle()), None)

    def close_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        connection = self.idle_connection()
        if connection is not None:
            self._lost(connection, "its descriptor is needed")
        return connection is not None

    # Reading.
    def _on_answer(self, connection: WorkerConnection, answer: worker_protocol.Answer) -> None:
        call: NodeCall | None = connection.in_flight.get(answer.tag)
        if call is None:  # its wait has ended, or it was never made
            self.counts.unexpected_answers += 1
            return
        self.counts.answered += 1
        is_completed = answer.code == EndReason.COMPLETED
        if not is_completed:
            reason = str(answer.code.value)  # the log takes only plain strings as names
            self.ends[reason] = self.ends.get(reason, 0) + 1
        note: int = answer.note
        if call.kind == LOAD_ORDER:
            note = answer.copies
        elif is_completed and note == CopyNote.LOAD_FAILED:  # what has run was loaded
            note = CopyNote.NOTHING
        self._end(call, answer.code, note, answer.body, answer.report)

    def _end(
        self,
        call: NodeCall,
        reason: EndReason,
        note: int = 0,
        body: bytes = b"",
        load_report: LoadReport | None = None,
    ) -> None:
        """As in `Calls`; what is queued may follow on the connection."""
        connection = call.connection
        if connection is not None and connection.in_flight.get(call.activation) is call:
            del connection.in_flight[call.activation]
        super()._end(call, reason, note, body, load_report)
        if connection is not None and self.waiting:
            self.pump()
