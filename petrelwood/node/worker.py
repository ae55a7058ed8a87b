"""The link to one worker in JSON lines, over a few connections that are kept.

Queue, stages and ends are those of `links.calls`; which connection carries a call is decided in
`decide.cluster.connection_pool`. A connection that has once carried what can't be read is closed: what was
handed to it may have run."""

from tornado.iostream import StreamBufferFullError, StreamClosedError

from petrelwood import ports
from petrelwood.decide.cluster import connection_pool
from petrelwood.decide.delivery import send_outcome
from petrelwood.decide.overload import resource_limits
from petrelwood.links import sockets
from petrelwood.links.calls import Call, Calls
from petrelwood.node import worker_protocol
from petrelwood.node.stream import Stream
from petrelwood.node.units import MS

READ = 16_384
# ns that a frame may take to leave: what a worker reads later is told more time than its client has left
UNSENT = 100_000_000


class Line:
    """One connection: `open` are its calls by the id that they go under, `carried` the last ids that it has
    carried; `last` is the call that was written last, at `written` (ns)."""

    __slots__ = ("stream", "up", "open", "carried", "heard", "timer", "last", "written")

    def __init__(self, stream, now):
        self.stream, self.up, self.open, self.carried = stream, False, {}, {}
        self.heard, self.timer = now, None
        self.last = None
        self.written = now

    def unsent(self, call):
        """Whether a part of this call's frame is still here."""
        return self.last is call and self.stream.writing()


class NodeLink(Calls):
    """`terms` as `configuration.WorkerTerms`; `core` hears of each end through `submit`."""

    MIN_TIME_LEFT = MS

    def __init__(self, worker, address, terms, core, log):
        super().__init__(worker, address, core)
        # answers other than completed, by code, since they were last told
        self.ends = {}
        self.terms, self.log, self.lines, self.connecting, self.pumping = terms, log, [], 0, False

    # What the dispatcher asks.
    def run(self, owed, n, left):
        now = self.core.now()
        content = (owed.type, owed.idempotency_mark, owed.body)
        tag = (owed.id, n)
        call = Call(
            "run",
            owed.id,
            n,
            owed.function,
            now,
            content,
            worker_protocol.run_size(owed.body),
            tag,
            now + left,
        )
        self.runs[tag] = call
        self._call(call)

    def order_load(self, fn, lanes, copies):
        tag = self.core.next_tag()
        frame = worker_protocol.encode_load_order(tag, fn, copies)
        self._call(Call("hold", tag, copies, fn, self.core.now(), frame, len(frame), tag))

    def check_health(self):
        tag = self.core.next_tag()
        frame = worker_protocol.encode_health_check(tag)
        self._call(Call("probe", tag, 0, None, self.core.now(), frame, len(frame), tag))

    def _call(self, call):
        self._enqueue(call)
        self.core.active(self)
        self.pump()

    def withdraw(self, act, n):
        super().withdraw(act, n)
        self._drop_unsent(act, n, "its activation ended before all of it had left")

    def _drop_unsent(self, act, n, why):
        """A worker that reads on would begin what is over: the rest must not follow, whatever else is open on
        that connection."""
        call = self.runs.get((act, n))
        if call is not None and call.connection is not None and call.connection.unsent(call):
            self._lost(call.connection, why)

    # The way out. A call's `act` is the id that it goes under.
    def pump(self):
        """Hands over what waits, as far as connections are up for it."""
        # a connection that makes room, or is lost, comes back here
        if self.pumping or self.core.behind():
            return
        self.pumping, deferred = True, 0  # the deferred ones stand at the end
        try:
            while len(self.waiting) > deferred:
                # a send behind the unsent rest of another would begin whenever its worker reads again
                ready = [line for line in self.lines if not line.stream.writing()]
                line = connection_pool.choose(
                    ready, self.waiting[0].activation, self.terms.streams, self.core.may_open()
                )
                if line is not None:
                    if line.stream.closed() or self._rested(line, self.core.now()):
                        self._lost(line, "closed or idle")  # known before anything of the send has left
                    elif self.waiting[0].kind == "run" and not self.core.may_send(
                        self.waiting[0].activation, self
                    ):
                        self.waiting.rotate(-1)  # the core pumps again
                        deferred += 1
                    elif self._may_leave(self.waiting[0]):
                        self._put(line, self.waiting.popleft())
                elif (
                    self.connecting < min(len(self.waiting), connection_pool.MOST_CONNECTING)
                    and self.core.makes_room()
                ):
                    self._connect()
                # no descriptor is left, and nothing that could carry it
                elif not self.lines:
                    self._end(self.waiting[0], send_outcome.of_crowding())
                else:
                    break
        finally:
            self.pumping = False

    def _encode(self, call):
        if call.kind != "run":
            return call.content
        type_, mark, body = call.content
        left = (call.deadline - self.core.now()) // MS
        return worker_protocol.encode_run(call.activation, type_, call.function, max(1, left), mark, body)

    def _put(self, line, call):
        frame = self._take_frame(call)
        call.bytes_before = sockets.bytes_written(line.stream)
        call.connection, line.open[call.activation] = line, call
        connection_pool.remember(line, call.activation)
        line.last = call
        line.written = self.core.now()
        self.lines.remove(line)  # the last used stands at the end
        self.lines.append(line)
        try:
            written = line.stream.write(frame)
        except (StreamClosedError, StreamBufferFullError):
            self.core.loop.call_soon(self._lost, line, "closed under a call")
            return
        if line.stream.writing():
            written.add_done_callback(lambda _: self.pump())

    def _send_cancel(self, call):
        line = call.connection
        if call.kind == "run" and self.terms.cancels and line is not None and not line.stream.closed():
            try:
                line.stream.write(worker_protocol.encode_cancel(call.activation))
            except (StreamClosedError, StreamBufferFullError):
                pass

    # The connections.
    def _connect(self):
        host, port = self.address
        try:
            stream = Stream(
                sockets.fresh(host), max_buffer_size=resource_limits.FRAME * 4, read_chunk_size=READ
            )
        except OSError:  # no descriptor after all: nothing was sent
            self._end(self.waiting[0], send_outcome.of_crowding())
            return
        line = Line(stream, self.core.now())
        self.lines.append(line)
        self.connecting += 1
        self.core.opened()
        line.timer = self.core.loop.call_later(
            self.terms.connect_within / 1e9, self._lost, line, "not made in time"
        )
        self.core.loop.create_task(self._serve(line, (host, port)))

    async def _serve(self, line, address):
        why = "closed by the peer"
        try:
            await line.stream.connect(address)
            if line.timer is None:  # given up meanwhile
                return
            self._up(line)
            reader = worker_protocol.AnswerReader(resource_limits.FRAME)
            while True:
                data = await line.stream.read_bytes(READ, partial=True)
                line.heard = self.core.now()
                for answer in reader.feed(data):
                    self._answer(line, answer)
        except StreamClosedError as fault:
            why = str(fault.real_error or why)
        except (worker_protocol.MalformedAnswerError, OSError) as fault:
            why = str(fault)
        except Exception as fault:
            why = repr(fault)
            self.core.defect("link", fault)
        self._lost(line, why)

    def _up(self, line):
        line.timer.cancel()
        line.timer, line.up = None, True
        self.connecting -= 1
        line.stream.set_nodelay(True)
        self.pump()

    def _lost(self, line, why):
        if line not in self.lines:
            return
        self.lines.remove(line)
        line.stream.close()
        self.core.closed()
        if not line.up:
            line.timer.cancel()
            line.timer = None
            self.connecting -= 1
            if self.waiting:  # one call for one connection that was not made
                self._end(self.waiting[0], send_outcome.of_loss(send_outcome.SendStage.QUEUED))
        if line.open or not line.up:
            self.counts.lost += 1
            self.core.note_loss(self.worker, why, len(line.open))
        for call in list(line.open.values()):
            self._end_lost(call, line.stream)
        line.open.clear()
        self.pump()

    def give_up(self, why):
        for line in list(self.lines):
            self._lost(line, why)

    def check(self, now):
        """Asked often while something is owed; whether it still has to be."""
        for line in [each for each in self.lines if each.stream.writing() and now - each.written > UNSENT]:
            if not self.core.behind():  # else it may be us who did not write
                self._lost(line, "it does not read")
        for call in self._expired_attempts(now):
            self.late(call.activation, call.number)
        for call in self._overdue_calls(now, self.terms.connect_within):
            if call.kind == "probe" or now - call.made_at > self.terms.order_within:
                self._end(call, send_outcome.of_time(call.stage))
                self._doubt(call)
        return self.has_open_calls()

    def late(self, act, n):
        self._drop_unsent(act, n, "its time was up before all of it had left")
        call = self.runs.get((act, n))
        super().late(act, n)
        if call is not None:
            self._doubt(call)

    def _doubt(self, call):
        """Its connection has said nothing since the call went out: nothing more goes there."""
        line = call.connection
        if line is not None and line.heard <= call.made_at and not line.open:
            self._lost(line, "nothing was heard in time")

    def tidy(self, now):
        """Lets connections go that have rested too long."""
        for line in [each for each in self.lines if self._rested(each, now)]:
            self._lost(line, "idle")

    def _rested(self, line, now):
        """Whether it has been idle for half of what the settings give it, and so is ours to close: against a
        send into one that its worker closes at that moment, which then may have run."""
        return line.up and not line.open and 0 < self.terms.idle < 2 * (now - line.heard)

    def rests(self):
        """The connection that has been idle longest, or None."""
        return next((line for line in self.lines if line.up and not line.open), None)

    def spare(self):
        """Lets that one go; whether there was one."""
        line = self.rests()
        if line is not None:
            self._lost(line, "its descriptor is needed")
        return line is not None

    # The way back.
    def _answer(self, line, answer):
        call = line.open.get(answer.tag)
        if call is None:  # its wait has ended, or nobody ever asked
            self.counts.unexpected_answers += 1
            return
        self.counts.answered += 1
        if answer.code != ports.EndReason.COMPLETED:
            word = str(answer.code.value)  # the log takes only plain strings as names
            self.ends[word] = self.ends.get(word, 0) + 1
        note = answer.copies if call.kind == "hold" else answer.note
        if answer.code == ports.EndReason.COMPLETED:
            note = note if call.kind == "hold" or note != ports.CopyNote.LOAD_FAILED else 0
        self._end(call, answer.code, note, answer.body, answer.report)

    def _end(self, call, code, note=0, body=b"", gauge=None):
        line = call.connection
        if line is not None and line.open.get(call.activation) is call:
            del line.open[call.activation]
        super()._end(call, code, note, body, gauge)
        if line is not None and self.waiting:
            self.pump()
