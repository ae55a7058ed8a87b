"""The link to one worker with the platform's protocol: JSON lines over a few reused connections.

`links.calls` manages the queue, the stages and the ends of calls, and `decide.cluster.connection_pool`
chooses the connection of a call. A connection with a malformed answer is closed; the calls in flight on it
may have run.
"""

import contextlib

from tornado.iostream import StreamBufferFullError, StreamClosedError

from petrelwood.decide.cluster import connection_pool
from petrelwood.decide.delivery import send_outcome
from petrelwood.decide.delivery.pending import PendingActivation
from petrelwood.decide.overload import resource_limits
from petrelwood.links import sockets
from petrelwood.links.calls import HEALTH_CHECK, LOAD_ORDER, QUEUED, RUN, Call, Calls
from petrelwood.links.connection_end import reason_of_end
from petrelwood.links.interfaces import Address, LoadReport
from petrelwood.node import worker_protocol
from petrelwood.node.configuration import WorkerTerms
from petrelwood.node.link_core import NodeLinkCore
from petrelwood.node.stream import Stream
from petrelwood.node.units import MS
from petrelwood.node.worker_connection import NodeCall, RunContent, WorkerConnection
from petrelwood.ports import CopyNote, EndReason

SECOND = 1000 * MS
READ_SIZE = 16_384  # the maximum size of one read, in bytes
READ_BUFFER_FRAMES = 4  # the size of the read buffer of a connection, in frames of the maximum size
# The time that the kernel may take to accept a frame (ns). A frame states the time left when it was encoded,
# so a worker that reads it much later would assume that the client waits longer than it does.
WRITE_TIMEOUT = 100 * MS


class NodeLink(Calls[RunContent | bytes, WorkerConnection]):
    """The link of a dispatcher to one worker.

    It reports the end of each call to the core through `submit`. The `activation` of a call is its id on the
    wire.
    """

    MIN_TIME_LEFT = MS

    core: "NodeLinkCore[NodeLink]"

    def __init__(
        self, worker: str, address: Address | None, terms: WorkerTerms, core: "NodeLinkCore[NodeLink]"
    ) -> None:
        super().__init__(worker, address, core)
        self.terms = terms
        self.ends: dict[str, int] = {}  # answers other than completed, by reason, since they were last logged
        self.connections: list[WorkerConnection] = []  # established or connecting, the last used at the end
        self.connecting = 0  # the number of them that are connecting
        self.connecting_backups = 0  # the number of these that are backups
        self.refused_at: int | None = (
            None  # when a connection was refused, until the worker is confirmed (ns)
        )
        self.pumping = False  # whether `pump` is running

    # For the dispatcher
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
        """Order the worker to have `copies` copies of a function; `lanes` is not part of this protocol."""
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
        """Withdraw an attempt as in `Calls`; close its connection if it was partly written."""
        super().withdraw(activation, attempt)
        self._drop_unsent(activation, attempt, "the activation ended before its command was fully written")

    def time_out(self, activation: str, attempt: int) -> None:
        """End an attempt as in `Calls`; close its connection if unresponsive or the frame is partly sent."""
        self._drop_unsent(activation, attempt, "the deadline passed before its command was fully written")
        call = self.runs.get((activation, attempt))
        super().time_out(activation, attempt)
        if call is not None:
            self._close_if_unresponsive(call)

    def _drop_unsent(self, activation: str, attempt: int, why: str) -> None:
        """Close the connection of an attempt whose frame is partly unsent, whatever else is in flight on it.

        The rest of the frame must not be sent, because a worker that reads it later would run an ended
        attempt.
        """
        call = self.runs.get((activation, attempt))
        if call is not None and call.connection is not None and call.connection.has_unsent(call):
            self._lost(call.connection, why)

    # Writing
    def pump(self) -> None:
        """Write queued calls to established connections, and open connections for the others."""
        # a connection that is established or lost meanwhile calls this again
        if self.pumping or self.core.is_behind():
            return
        self.pumping = True
        deferred = 0  # the number of attempts that may not be sent yet, at the end of the queue
        try:
            while len(self.waiting) > deferred:
                call = self.waiting[0]
                # a call behind a partly unsent frame could start at any later time, when the worker reads
                ready = [connection for connection in self.connections if not connection.stream.writing()]
                connection = connection_pool.choose_connection(
                    ready, call.activation, self.terms.streams, self.core.may_open_connection()
                )
                if connection is not None:
                    if connection.stream.closed() or connection.has_expired(self.core.now(), self.terms.idle):
                        self._lost(connection, "closed or idle")  # nothing of the call was written yet
                    elif call.kind == RUN and not self.core.may_send(call.activation, self):
                        self.waiting.rotate(-1)
                        deferred += 1
                    elif self._may_leave(call):
                        self._write(connection, self.waiting.popleft())
                elif not self._may_connect():
                    if self.connections:
                        break
                    self._end(call, send_outcome.of_loss(QUEUED))
                elif self._wants_connection() and self.core.make_room():
                    self._connect()
                elif not self.connections:  # no descriptor is left, and no connection could carry it later
                    self._end(call, send_outcome.of_full_queue())
                else:
                    break
        finally:
            self.pumping = False

    def _may_connect(self) -> bool:
        """Return whether the process at the worker's address is known to be the worker's."""
        if self.refused_at is None:
            return True
        is_confirmed = self.core.is_address_confirmed(self.worker, self.refused_at)
        if not connection_pool.may_connect_again(self.core.now(), self.refused_at, is_confirmed):
            return False
        self.refused_at = None
        return True

    def _wants_connection(self) -> bool:
        """Return whether another connection may be opened for the queued calls."""
        return connection_pool.wants_connection(len(self.waiting), self.connecting, self.connecting_backups)

    def _encode(self, call: NodeCall) -> bytes:
        content = call.content
        if isinstance(content, bytes):
            return content
        if content is None or call.deadline is None:
            raise TypeError(f"can't encode call {call.activation}: it has left, or has no deadline")
        patience = max(1, (call.deadline - self.core.now()) // MS)
        namespace_type, key, body = content
        return worker_protocol.encode_run(call.activation, namespace_type, call.function, patience, key, body)

    def _write(self, connection: WorkerConnection, call: NodeCall) -> None:
        frame = self._take_frame(call)
        if call.kind == RUN:
            self.core.attempt_written(call.activation)
        call.bytes_before = sockets.bytes_written(connection.stream)
        call.connection = connection
        connection.in_flight[call.activation] = call
        connection_pool.record_call_id(connection, call.activation)
        connection.last_call = call
        connection.last_write_at = self.core.now()
        self.connections.remove(connection)  # keep the last used one at the end
        self.connections.append(connection)
        try:
            written = connection.stream.write(frame)
        except (StreamClosedError, StreamBufferFullError):
            self.core.loop.call_soon(self._lost, connection, "closed while a call was written")
            return
        if connection.stream.writing():
            written.add_done_callback(lambda _: self.pump())

    def _send_cancel(self, call: NodeCall) -> None:
        connection = call.connection
        if call.kind != RUN or not self.terms.cancels or connection is None or connection.stream.closed():
            return
        with contextlib.suppress(StreamClosedError, StreamBufferFullError):
            connection.stream.write(worker_protocol.encode_cancel(call.activation))

    # Connections
    def _connect(self, is_backup: bool = False) -> None:
        """Begin a connection attempt; the failure of a backup ends no call."""
        if self.address is None:
            raise TypeError(f"can't connect to {self.worker}: its address is unknown")
        buffer_size = resource_limits.FRAME * READ_BUFFER_FRAMES
        try:
            stream = Stream(
                sockets.new_socket(self.address[0]), max_buffer_size=buffer_size, read_chunk_size=READ_SIZE
            )
        except OSError:  # no descriptor is left after all; nothing was sent
            if not is_backup:
                self._end(self.waiting[0], send_outcome.of_full_queue())
            return
        connection = WorkerConnection(stream, self.core.now(), is_backup)
        self.connections.append(connection)
        self.connecting += 1
        self.connecting_backups += is_backup
        self.core.connection_opened()
        self._start_connect_timers(connection)
        self.core.loop.create_task(self._serve(connection, self.address))

    def _start_connect_timers(self, connection: WorkerConnection) -> None:
        timeout = self.terms.connect_within
        connection.connect_timer = self.core.loop.call_later(
            timeout / SECOND, self._lost, connection, "not made in time"
        )
        if not connection.is_backup and connection_pool.needs_backup(timeout):
            delay = connection_pool.CONNECTION_ATTEMPT_DELAY
            connection.backup_timer = self.core.loop.call_later(delay / SECOND, self._connect_backup)

    def _connect_backup(self) -> None:
        """Begin a backup of a connection attempt that is slow, if calls still wait."""
        may_connect = self.connecting < connection_pool.MAX_CONNECTING
        is_timely = may_connect and not self.core.is_behind() and self._may_connect()
        if self.waiting and is_timely and self.core.make_room():
            self._connect(is_backup=True)

    async def _serve(self, connection: WorkerConnection, address: Address) -> None:
        reason = await reason_of_end(self._read(connection, address), self.core.defect)
        if not connection.up and isinstance(connection.stream.error, ConnectionRefusedError):
            self.refused_at = self.core.now()
        self._lost(connection, reason)

    async def _read(self, connection: WorkerConnection, address: Address) -> None:
        """Connect, and handle the answers of the worker until an error ends the connection."""
        await connection.stream.connect(address)
        if connection.connect_timer is None:  # the connection was given up meanwhile
            return
        self._on_connected(connection)
        reader = worker_protocol.AnswerReader(resource_limits.FRAME)
        while True:
            data = await connection.stream.read_bytes(READ_SIZE, partial=True)
            connection.last_read_at = self.core.now()
            for answer in reader.feed(data):
                self._on_answer(connection, answer)
            self.core.partial_answer_read(self, connection, len(reader.partial_line))

    def _on_connected(self, connection: WorkerConnection) -> None:
        self._stop_connect_timers(connection)
        connection.up = True
        connection.stream.set_nodelay(True)
        self.pump()

    def _stop_connect_timers(self, connection: WorkerConnection) -> None:
        """Note that a connection is no longer connecting."""
        if connection.backup_timer is not None:
            connection.backup_timer.cancel()
            connection.backup_timer = None
        if connection.connect_timer is not None:
            connection.connect_timer.cancel()
            connection.connect_timer = None
            self.connecting -= 1
            self.connecting_backups -= connection.is_backup

    def _lost(self, connection: WorkerConnection, why: str) -> None:
        """Close a connection and end the calls in flight on it; has no effect on a closed one."""
        if connection not in self.connections:
            return
        self.connections.remove(connection)
        connection.stream.close()
        self.core.partial_answer_read(self, connection, 0)
        self.core.connection_closed()
        if not connection.up:
            self._stop_connect_timers(connection)
            # one call ends for each connection that was not established, besides backups
            if self.waiting and not connection.is_backup:
                self._end(self.waiting[0], send_outcome.of_loss(QUEUED))
        if connection.in_flight or not connection.up:
            self.counts.lost += 1
            self.core.note_loss(self.worker, why, len(connection.in_flight))
        for call in list(connection.in_flight.values()):
            self._end_lost(call, connection.stream)
        connection.in_flight.clear()
        self.pump()

    def give_up_connection(self, connection: WorkerConnection, why: str) -> None:
        """Close one connection and end the calls in flight on it."""
        self._lost(connection, why)

    def give_up(self, why: str) -> None:
        """Close all connections and end the calls in flight on them."""
        for connection in list(self.connections):
            self._lost(connection, why)

    def check(self, now: int) -> bool:
        """End calls that are overdue at `now` (ns); return whether this must be called again."""
        self._end_outdated()
        for connection in [each for each in self.connections if each.has_stalled(now, WRITE_TIMEOUT)]:
            if not self.core.is_behind():  # otherwise this side may not have written
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
            self._lost(connection, "no answer in time")

    def close_expired(self, now: int) -> None:
        """Close the connections that have been idle for too long at `now` (ns)."""
        for connection in [each for each in self.connections if each.has_expired(now, self.terms.idle)]:
            self._lost(connection, "idle")

    def longest_idle_connection(self) -> WorkerConnection | None:
        """Return the connection that has been idle longest, or None."""
        return next((connection for connection in self.connections if connection.is_idle()), None)

    def close_idle(self) -> bool:
        """Close the connection that has been idle longest; return whether there was one."""
        connection = self.longest_idle_connection()
        if connection is not None:
            self._lost(connection, "closed to free its descriptor")
        return connection is not None

    # Reading
    def _on_answer(self, connection: WorkerConnection, answer: worker_protocol.Answer) -> None:
        call: NodeCall | None = connection.in_flight.get(answer.tag)
        if call is None:  # the call has ended, or was never made
            self.counts.unexpected_answers += 1
            return
        self.counts.answered += 1
        is_completed = answer.code == EndReason.COMPLETED
        if not is_completed:
            reason = str(answer.code.value)  # the log accepts only plain strings as keys
            self.ends[reason] = self.ends.get(reason, 0) + 1
        note: int = answer.note
        if call.kind == LOAD_ORDER:
            note = answer.copies
        elif is_completed and note == CopyNote.LOAD_FAILED:  # a completed attempt had a loaded copy
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
        """End a call as in `Calls`; then write queued calls, which may use its connection."""
        connection = call.connection
        if connection is not None and connection.in_flight.get(call.activation) is call:
            del connection.in_flight[call.activation]
        super()._end(call, reason, note, body, load_report)
        if connection is not None and self.waiting:
            self.pump()
