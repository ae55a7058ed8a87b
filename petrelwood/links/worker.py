"""The link to one worker: many calls on one connection, and what each one's end proves.

Methods of a worker (MessagePack-RPC):

    run [act, n, function, mark, time left in ns, lanes, body] -> [act, n, note, body, gauge]
                                                         error [word, act, n, note, gauge]
    hold [function, lanes, count] -> [word, copies]      cancel [act, n]  (a notification)
    probe [] -> gauge
    hello [worker, its start time]  (its first notification; ours is hello [dispatcher])

What is decided about a link is in `decide.cluster.link_state`, what an end proves in
`decide.delivery.send_outcome`."""

from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

from petrelwood.decide.cluster.link_state import CONNECT, DOWN, REJECT, UP, LinkCheck, LinkPhase, LinkState
from petrelwood.decide.delivery import send_outcome
from petrelwood.links import rpc, sockets
from petrelwood.links.calls import Call, Calls

BATCH = 65_536  # bytes handed to the socket at a time; the rest waits here and can be taken back
# bytes of a run beside its mark and its body, and of another call, with which they count while they wait
RUN_FIELDS, FIELDS = 160, 64
GAUGES = ("running", "waiting", "cores", "pinned", "loads")


class WorkerLink(Calls):
    """`core` hears of each end: `returned`, `held`, `probed`. Never from within one of our own methods."""

    def __init__(self, worker, address, terms, chance, core, log, tls=None):
        super().__init__(worker, address, core)
        self.terms, self.log, self.tls = terms, log, tls
        self.state = LinkState(worker, terms, chance, core.reconnects)
        self.stream, self.last, self.writing, self.soon = None, 0, False, False

    # What the dispatcher asks.
    def run(self, act, n, fn, mark, left, lanes, body):
        size = RUN_FIELDS + len(mark) + len(body)
        self._call("run", act, n, fn, (mark, lanes, body), size, self.core.now() + left)

    def order_load(self, fn, lanes, copies):
        self._call("hold", None, copies, fn, [fn, lanes, copies], FIELDS)

    def check_health(self):
        self._call("probe", None, 0, None, [], FIELDS)

    def _call(self, kind, act, n, fn, content, size, until=None):
        now = self.core.now()
        self.last = (self.last + 1) & 0xFFFFFFFF
        call = Call(kind, act, n, fn, now, content, size, self.last, until)
        if kind == "run":
            self.runs[act, n] = call
        decision = self.state.on_call(now)
        if decision is REJECT:
            self._tell(call, send_outcome.of_loss(send_outcome.SendStage.QUEUED))
        elif self.waiting_bytes + call.size > self.terms.queue:
            self._tell(call, send_outcome.of_crowding())
        else:
            self._wait(call)
            self.core.active(self)
            if decision is CONNECT:
                self._connect(now)
            self._flush_soon()

    # The way out.
    def _flush_soon(self):
        if not self.soon and not self.writing and self.state.phase is UP:
            self.soon = True
            self.core.loop.call_soon(self._flush)

    def _flush(self):
        self.soon = False
        while self.waiting and not self.writing and self.state.phase is UP:
            size, chunk = 0, []
            written = sockets.bytes_written(self.stream)
            while self.waiting and size < BATCH:
                if self._may_leave(self.waiting[0]):
                    # of a connection with TLS it is not known which bytes the kernel took
                    self.waiting[0].begins = written + size if self.tls is None else None
                    chunk.append(self._hand(self.waiting.popleft()))
                    size += len(chunk[-1])
            if chunk:
                self._write(b"".join(chunk))

    def _may_leave(self, call):
        """As in `Calls`; nor does a send leave whose client has hung up, whether that was read or not."""
        if call.kind == "run" and not self.core.still_wanted(call.act):
            self._end(call, send_outcome.of_recall(call.stage))
            return False
        return super()._may_leave(call)

    def _encode(self, call):
        params = call.content
        if call.kind == "run":
            mark, lanes, body = params
            params = [call.act, call.n, call.fn, mark, call.until - self.core.now(), lanes, body]
        return rpc.request(call.tag, call.kind, params)

    def _write(self, data):
        try:
            done = self.stream.write(data)
        except StreamClosedError:
            return  # the close callback tells of it
        if not done.done():
            self.writing = True
            done.add_done_callback(self._written)

    def _written(self, done):
        self.writing = False
        if not done.cancelled() and done.exception() is None:
            self._flush()

    def _notice_end(self, call):
        self._notice("cancel", [call.act, call.n])

    def _notice(self, method, params):
        if self.state.phase is UP and not self.stream.closed():
            try:
                self.stream.write(rpc.notice(method, params)).add_done_callback(lambda done: done.exception())
            except StreamClosedError:
                pass

    # The connection.
    def _connect(self, now):
        self.state.on_connecting(now)
        host, port = self.address
        self.writing = False
        try:
            self.stream = self._new_stream(host)
        except OSError as fault:  # as a connection that is not made
            self.stream = None
            self._lost(None, str(fault))
            return
        self.core.loop.create_task(self._serve(self.stream, (host, port)))

    def _new_stream(self, host):
        """A stream that is not connected yet. Raises OSError."""
        most = self.terms.frame + BATCH
        if self.tls is None:
            return IOStream(sockets.fresh(host), max_buffer_size=most)
        return SSLIOStream(sockets.fresh(host), ssl_options=self.tls.client(), max_buffer_size=most)

    async def _serve(self, stream, address):
        why = "closed by the peer"
        try:
            await (
                stream.connect(address)
                if self.tls is None
                else stream.connect(address, server_hostname=self.tls.server_name(address[0]))
            )
            sockets.disable_delay(stream.socket)
            self.state.on_connected()
            stream.write(rpc.notice("hello", [self.core.name])).add_done_callback(
                lambda done: done.exception()
            )
            reader = rpc.Reader(self.terms.frame)
            while True:
                data = await stream.read_bytes(BATCH, partial=True)
                self.state.on_bytes(self.core.now())
                for message in reader.feed(data):
                    self._message(message)
        except StreamClosedError as fault:
            why = str(fault.real_error or why)
        except rpc.Garbage as fault:
            why = str(fault)
        except OSError as fault:
            why = str(fault)
        except Exception as fault:
            why = repr(fault)
            self.core.defect("link", fault)
        self._lost(stream, why)

    def _lost(self, stream, why):
        if stream is not None:
            stream.close()
        if self.stream is not stream or self.state.phase is DOWN:
            return
        was_up = self.state.phase is UP
        self.state.on_lost(self.core.now())
        self.counts["lost"] += 1
        self.log.info(
            "link lost",
            worker=self.worker,
            why=why,
            was_up=was_up,
            out=len(self.out),
            waiting=len(self.waiting),
        )
        for call in list(self.out.values()) + list(self.waiting):
            self._lose(call, stream)

    def give_up(self, why):
        if self.stream is not None:
            self._lost(self.stream, why)

    def check(self, now):
        """Asked often while the link is not at rest; whether it still has to be."""
        verdict = self.state.check(now, bool(self.out))
        if verdict == LinkCheck.GIVE_UP:
            self.give_up("nothing was heard in time")
        elif verdict == LinkCheck.PING:
            self.check_health()
        for call in self._overdue_calls(now, self.terms.order_within):
            self._end(call, send_outcome.of_time(call.stage))
        for call in self._expired(now):
            self.late(call.act, call.n)
        return self.owes() or self.state.phase in (
            LinkPhase.CONNECTING,
            LinkPhase.GREETING,
        )

    # The way back.
    def _message(self, message):
        if message[0] == rpc.RESPONSE:
            self._response(message[1], message[2], message[3])
        elif message[0] == rpc.NOTICE and message[1] == "hello" and self.state.phase == LinkPhase.GREETING:
            if len(message[2]) != 2 or not isinstance(message[2][1], int):
                raise rpc.Garbage("a malformed greeting")
            if not self.state.on_greeting(self.core.now(), *message[2]):
                raise rpc.Garbage(f"the peer is {message[2][0]!r}")
            self._flush()
        elif self.state.phase is not UP:
            raise rpc.Garbage("it did not greet first")

    def _response(self, msgid, error, result):
        call = self.out.get(msgid)
        if call is None:  # its wait has ended; or nobody ever asked
            self.counts["strays"] += 1
            return
        self.counts["answered"] += 1
        if call.kind == "run":
            parts = error if error is not None else result
            if not isinstance(parts, list) or len(parts) != 5:
                raise rpc.Garbage("a malformed answer")
            head, parts = (parts[0], parts[1:]) if error is not None else (None, parts)
            if parts[0] != call.act or parts[1] != call.n:
                raise rpc.Garbage("an answer for another activation")
            gauge = _gauge(parts[3 if error is not None else 4])
            body = parts[3] if error is None else b""
            note = parts[2] if isinstance(parts[2], int) else 0
            if not isinstance(body, bytes):
                raise rpc.Garbage("an answer's body must be bytes")
            self._end(
                call, send_outcome.of_error(head) if error is not None else "completed", note, body, gauge
            )
        elif call.kind == "hold":
            good = isinstance(result, list) and len(result) == 2 and isinstance(result[1], int)
            self._end(
                call,
                ("completed" if result[0] == "ok" else send_outcome.of_error(result[0]))
                if good
                else send_outcome.of_error(error),
                result[1] if good else 0,
            )
        else:
            self._end(
                call, "completed" if error is None else send_outcome.of_error(error), gauge=_gauge(result)
            )


def _gauge(raw):
    if not isinstance(raw, dict):
        return None
    return {name: raw[name] for name in GAUGES if isinstance(raw.get(name), (int, float))}
