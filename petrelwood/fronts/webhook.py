"""The webhook front: Standard Webhooks on HTTP/1.1, `POST /hooks/CUSTOMER/FUNCTION`.

A connection reads ahead a few requests (pipelining); each begins at once, answers leave in the order of the
requests. Wrong requests end here with a problem document; rightly signed ones go to the core, whose answer
comes back through `Exchange.answer`, once. `Prefer: wait=N` (RFC 7240) tells the client's patience in
seconds."""

import socket
import ssl
import time
from collections import deque

import httptools
from tornado.concurrent import Future
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from petrelwood.decide.overload import intake
from petrelwood.decide.overload.admission import Admission, AdmissionVerdict
from petrelwood.fronts import problem
from petrelwood.fronts.signing import Verifier
from petrelwood.links import sockets as link_sockets
from petrelwood.links.listener import Listener
from petrelwood.links.sockets import disable_delay

SECOND = 1_000_000_000
READ = 65_536
TAKEN_TYPES = (b"application/json", b"application/octet-stream", b"text/plain")
STATUS = {intake.REPEAT_RESULT: 200, intake.CONFLICT: 409, intake.ABORT: 504, intake.RESULT_DROPPED: 409}
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
BUSY = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: %d\r\nConnection: close\r\n\r\n"
)


class Exchange:
    """One request and the room for its one answer."""

    __slots__ = (
        "line",
        "url",
        "headers",
        "body",
        "head_size",
        "came",
        "reply",
        "last",
        "act",
        "method",
        "refused",
        "held",
    )

    def __init__(self, line, came):
        self.line, self.url, self.headers, self.body, self.head_size, self.held = line, b"", {}, [], 0, 0
        self.came, self.reply, self.last, self.act, self.method, self.refused = (
            came,
            None,
            False,
            None,
            b"",
            None,
        )

    def look_for_end(self):
        """Asked before a send leaves: whether the client has hung up. That may lie unread, or not be
        told yet."""
        stream = self.line.stream
        if stream.closed() or link_sockets.hung_up(stream.socket):
            self.line.gone()
            stream.close()

    def answer(self, what, body=b"", retry_after=0, why="", act=None):
        """The final answer, from the core: 'completed', 'rejected', 'aborted' or a verdict of the intake."""
        if what in ("completed", intake.REPEAT_RESULT):
            self.respond(200, body, b"application/json", act=act)
        elif what in ("rejected", intake.REJECT):
            status = 429 if why == intake.RejectionReason.OVER_QUOTA else 503
            self.fail(status, why or "turned away; trying again does no harm", act, retry_after)
        elif what == "aborted":
            self.fail(504, why or "no answer in time, or none that proves anything", act)
        else:
            self.fail(STATUS[what], why, act)

    def fail(self, status, detail, act=None, retry_after=0, last=False):
        self.respond(
            status, problem.document(status, detail, act), b"application/problem+json", act, retry_after, last
        )

    def respond(self, status, body, kind, act=None, retry_after=0, last=False):
        if self.reply is not None:
            return
        self.last = self.last or last
        head = [
            b"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n"
            % (status, problem.TITLES[status].encode(), kind, len(body))
        ]
        if act:
            head.append(b"Activation-Id: %s\r\n" % act.encode())
        if retry_after:
            head.append(b"Retry-After: %d\r\n" % -(-retry_after // SECOND))
        self.reply = (b"".join(head), body)
        self.line.flush()

    def encoded(self):
        """The bytes of its answer."""
        head, body = self.reply
        return head + (b"Connection: close\r\n\r\n" if self.last else b"\r\n") + body


class Line:
    """One connection. It is also what httptools calls back."""

    def __init__(self, front, stream, peer):
        self.front, self.stream, self.peer = front, stream, peer[0]
        self.limits, self.waiting, self.now = front.limits, deque(), None
        self.parser, self.closing, self.reading, self.over = (
            httptools.HttpRequestParser(self),
            False,
            True,
            False,
        )
        # sizes of answers that the peer has not taken yet, and until when it may
        self.unread, self.unread_by = deque(), 0
        # the process gives way: each answer is the line's last
        self.leaving = False
        self.feeding = False  # what has come is being read: answers wait until all of it was
        self.deadline, self.shaking = time.monotonic_ns() + self.limits.head_within, front.tls
        stream.set_close_callback(self.gone)

    async def serve(self):
        try:
            while not self.closing:
                data = await self.stream.read_bytes(READ, partial=True)
                self._shaken()
                self.feeding = True
                try:
                    self.parser.feed_data(data)
                except httptools.HttpParserUpgrade:
                    self._wrong(400, "no other protocol is spoken here")
                except httptools.HttpParserError as fault:
                    self._wrong(400, f"not HTTP/1.1: {fault}")
                finally:
                    self.feeding = False
                if self.waiting:
                    self.flush()
                if len(self.waiting) > self.limits.pipeline or self.unread:
                    # who does not read what was asked for asks for nothing more
                    self.reading = False
                while not self.reading and not self.closing:
                    await self.front.room(self)
        except OSError as fault:  # errors of the socket come as they are, or as the cause of a closed stream
            cause = fault.real_error if isinstance(fault, StreamClosedError) else fault
            if isinstance(cause, ssl.SSLError):
                self.front._count("handshakes refused")

    def _shaken(self):
        """The first bytes are here, or it is gone: no handshake is in hand any more."""
        if self.shaking:
            self.shaking = False
            self.front.admission.on_handshake_done(self.peer)

    def _wrong(self, status, detail):
        """The rest of the connection can't be understood: one answer, then it ends."""
        self.closing = True
        if self.now is None:
            self.now = Exchange(self, time.monotonic_ns())
            self.waiting.append(self.now)
        self.now.fail(status, detail, last=True)

    # What httptools calls, in the order of the bytes.
    def on_message_begin(self):
        now = time.monotonic_ns()
        self.now = Exchange(self, now)
        self.waiting.append(self.now)
        self.deadline = now + self.limits.head_within

    def on_url(self, url):
        self.now.url += url
        self._grew(len(url))

    def on_header(self, name, value):
        self._grew(len(name) + len(value) + 4)
        name = name.lower()
        if name in self.now.headers:
            value = self.now.headers[name] + (b" " if name == b"webhook-signature" else b", ") + value
        self.now.headers[name] = value

    def _grew(self, size):
        self.now.head_size += size
        self._holds(size)
        if self.now.head_size > self.limits.header and self.now.refused is None:
            self.now.refused = (431, "the head is too large")

    def _holds(self, size):
        """Bytes of a request that is not whole yet: where all together hold too many, this one goes."""
        now = self.now
        if now.reply is not None or now.refused is not None:
            return
        if self.front.admission.reserve_bytes(self.front.core.now(), self.peer, size):
            now.held += size
        else:
            now.refused = (503, "too much is being sent at a time")

    def _refuse(self):
        """Answers what `refused` says; where trying later may help, with when."""
        status, detail = self.now.refused
        wait = (
            self.front.admission.retry_after_seconds(self.peer, self.front.core.now())
            if status in (429, 503)
            else 0
        )
        self.now.fail(status, detail, retry_after=wait * SECOND, last=True)

    def _let_go(self, exchange):
        if exchange.held:
            self.front.admission.release_bytes(self.peer, exchange.held)
            exchange.held = 0

    def on_headers_complete(self):
        now, headers = self.now, self.now.headers
        now.method = self.parser.get_method()
        self.deadline = time.monotonic_ns() + self.limits.body_within
        length = headers.get(b"content-length", b"0")
        if now.refused is None and length.isdigit() and int(length) > self.limits.body:
            now.refused = (413, f"the body may hold {self.limits.body} bytes")
        if now.refused is None and not self.front.admission.may_check_signature(
            self.front.core.now(), self.peer
        ):
            now.refused = (429, "too many signatures from this address did not hold")
        if now.refused is not None:
            self._refuse()
        elif headers.get(b"expect", b"").lower() == b"100-continue" and len(self.waiting) == 1:
            self.stream.write(CONTINUE)

    def on_body(self, data):
        now = self.now
        now.head_size = 0 if not now.body else now.head_size
        if now.reply is not None:
            return
        now.body.append(data)
        now.head_size += len(data)
        self._holds(len(data))
        if now.refused is not None:
            self._refuse()
        if now.head_size > self.limits.body and now.reply is None:
            now.fail(413, f"the body may hold {self.limits.body} bytes", last=True)

    def on_message_complete(self):
        exchange, self.now = self.now, None
        self.deadline = 0
        self._let_go(exchange)
        # one that leaves is told so with the last answer, behind which nothing waits
        exchange.last = exchange.last or not self.parser.should_keep_alive()
        if exchange.reply is None:
            self.front.handle(exchange)

    def flush(self):
        """Writes the answers that are ready, in the order of the requests. Where the process gives way, the
        one behind which nothing has come is told to be the last."""
        out = []
        while not self.feeding and self.waiting and self.waiting[0].reply is not None:
            exchange = self.waiting.popleft()
            exchange.last = exchange.last or self.leaving and self.now is None and not self.waiting
            out.append(exchange.encoded())
            if exchange.last:  # what was sent after it is not answered
                self.closing = True
                self._drop()
        if out and not self.stream.closed():
            data = b"".join(out)
            done = self.stream.write(data)
            if self.stream.writing():
                self._owes(len(data))
                done.add_done_callback(self._read)
            done.add_done_callback(self._written)
        if not self.waiting and not self.closing and self.now is None:
            self.deadline = time.monotonic_ns() + self.limits.idle
        self._go_on()

    def _go_on(self):
        if (
            not self.reading
            and len(self.waiting) <= self.limits.pipeline // 2
            and not self.unread
            or self.closing
        ):
            self.reading = True
            self.front.wake(self)

    def _owes(self, size):
        """Bytes of answers that the peer does not read count as those of requests that it does not finish."""
        if not self.unread:
            self.unread_by = time.monotonic_ns() + self.limits.body_within
        self.unread.append(size)
        if not self.front.admission.reserve_bytes(self.front.core.now(), self.peer, size):
            self.unread[-1] = 0
            self._unread_too_long("too much is not read")

    def _read(self, done):
        """The peer has taken the oldest of them."""
        done.exception()
        if self.unread:
            self.front.admission.release_bytes(self.peer, self.unread.popleft())
            self.unread_by = time.monotonic_ns() + self.limits.body_within
            self._go_on()

    def _unread_too_long(self, why):
        self.front._count(f"answers not read: {why}")
        self.closing = True
        self.stream.close()

    def _written(self, done):
        if done.exception() is None and self.closing and not self.waiting:
            self.stream.close()

    def slow(self, now):
        """Asked now and then: one that sends or reads too slowly, or is idle too long, is closed."""
        if self.unread and now >= self.unread_by:
            self._unread_too_long("too slowly")
            return
        if not self.deadline or now < self.deadline:
            return
        if self.now is not None:
            self._wrong(408, "the request came too slowly")
        elif not self.waiting:
            self.stream.close()

    def gone(self):
        if self.over:
            return
        self.over = self.closing = True
        self.front.lines.discard(self)
        self._shaken()
        if self.now is not None:
            self._let_go(self.now)
        while self.unread:
            self.front.admission.release_bytes(self.peer, self.unread.popleft())
        self.front.admission.on_closed(self.peer)
        self.front.wake(self)
        self._drop()

    def _drop(self):
        """Nobody waits on this connection any more."""
        dropped, self.waiting = self.waiting, deque()
        for exchange in dropped:
            if exchange.act is not None and exchange.reply is None:
                self.front.core.client_left(exchange.act, exchange)


class Webhooks(Listener):
    """The listener. `core` takes what is signed rightly: `dispatch.core.Core`."""

    def __init__(self, gateway, core, log):
        super().__init__(max_buffer_size=2 * READ, ssl_options=gateway.tls.server() if gateway.tls else None)
        self.gateway, self.core, self.limits, self.log = gateway, core, gateway.limits, log
        self.tls, limits = gateway.tls is not None, gateway.limits
        self.admission = Admission(
            limits.connections, limits.handshakes if self.tls else 0, limits.bytes, core.chance.random
        )
        self.verifiers = {name: Verifier(c.keys) for name, c in gateway.customers.items()}
        self.lines, self.rooms = set(), {}
        self.counts = {}

    def open(self, address):
        sockets = bind_sockets(address[1], address[0], family=socket.AF_UNSPEC, reuse_port=False)
        self.add_sockets(sockets)
        return sockets[0].getsockname()[:2]

    def apply(self, gateway):
        """New settings: keys for what comes, limits for lines that open."""
        self.gateway, self.limits = gateway, gateway.limits
        self.verifiers = {name: Verifier(c.keys) for name, c in gateway.customers.items()}

    # A hand-over of the listeners.
    def descriptors(self):
        return [sock.fileno() for sock in self._sockets.values()]

    def follow(self, sockets):
        """Listens on sockets that another process opened."""
        for sock in sockets:
            sock.setblocking(False)
        self.add_sockets(sockets)
        return sockets[0].getsockname()[:2]

    def pause(self):
        """Accepts nothing more; the sockets stay open. Lines stay too: a request that is on its way is
        answered, and told that it was the line's last; those that send nothing are closed with the
        process."""
        self.paused = list(self._sockets.values())
        for fd in list(self._sockets):
            self._handlers.pop(fd)()
        self._sockets.clear()
        for line in list(self.lines):
            line.leaving = True

    def resume(self):
        self.add_sockets(self.paused)
        for line in self.lines:
            line.leaving = False

    def _count(self, what):
        self.counts[what] = self.counts.get(what, 0) + 1

    async def handle_stream(self, stream: IOStream, address):
        now = self.core.now()
        self.core.intake.storms.record_connection(now)
        verdict = self.admission.admit_connection(now, address[0])
        if verdict is not AdmissionVerdict.ADMIT:
            self._count(f"connections refused: {verdict}")
            if self.tls:  # a word would cost the handshake
                stream.close()
            else:
                stream.write(BUSY % self.admission.retry_after_seconds(address[0], now)).add_done_callback(
                    lambda done: stream.close()
                )
            return
        disable_delay(stream.socket)
        line = Line(self, stream, address)
        line.leaving = self.core.intake.closing
        self.lines.add(line)
        await line.serve()

    def room(self, line):
        self.rooms[line] = future = Future()
        return future

    def wake(self, line):
        future = self.rooms.pop(line, None)
        if future is not None and not future.done():
            future.set_result(None)

    def storm_changed(self, name, on):
        if name == "reconnects":
            self.admission.is_storm = on

    def check(self, now):
        for line in list(self.lines):
            line.slow(now)

    def drain(self):
        """The process ends: what still comes is turned away, and told that it was its line's last. It listens
        to the last, as a connection that the machine has accepted may have a request in it."""
        for line in self.lines:
            line.leaving = True

    def quiet(self):
        """Whether all answers have gone out, and all that has come was read: connections, requests, ends."""
        streams = [line.stream for line in self.lines if not line.stream.closed()]
        if any(stream.writing() for stream in streams):
            return False
        return not link_sockets.readable([*self._sockets.values(), *(stream.socket for stream in streams)])

    def close_idle(self):
        """At the end: nobody listens any more, and lines on which nothing is owed are closed."""
        self.stop()
        for line in list(self.lines):
            if not line.waiting:
                line.stream.close()

    def handle(self, exchange):
        """A whole request: who, what, and whether the signature holds; then the core."""
        body = b"".join(exchange.body)
        status, detail, ask, rule, function = self._read(exchange, body)
        if status in (0, 401):
            self.admission.record_signature(self.core.now(), exchange.line.peer, status == 0)
        if status:
            self._count(str(status))
            exchange.fail(status, detail)
            return
        self.core.admit(ask, function, rule, body, exchange)

    def _read(self, x, body):
        headers = x.headers
        parts = x.url.split(b"?", 1)[0].split(b"/")
        if len(parts) != 4 or parts[1] != b"hooks":
            return 404, "activations are posted to /hooks/CUSTOMER/FUNCTION", None, None, None
        if x.method != b"POST":
            return 405, "activations are posted", None, None, None
        try:
            customer, function = parts[2].decode("ascii"), parts[3].decode("ascii")
        except UnicodeDecodeError:
            return 404, "customer and function are plain ASCII", None, None, None
        verifier = self.verifiers.get(customer)
        kind = headers.get(b"content-type", b"application/octet-stream").split(b";")[0].strip().lower()
        if kind not in TAKEN_TYPES:
            return 415, f"a body may be {', '.join(t.decode() for t in TAKEN_TYPES)}", None, None, None
        id_, stamp = headers.get(b"webhook-id"), headers.get(b"webhook-timestamp")
        signature = headers.get(b"webhook-signature")
        if not id_ or not stamp or not signature:
            return 400, "webhook-id, webhook-timestamp and webhook-signature are needed", None, None, None
        if len(id_) > 256 or not stamp.isdigit() or len(stamp) > 12 or not id_.isascii():
            return 400, "webhook-id or webhook-timestamp is malformed", None, None, None
        wall, seconds = time.time_ns(), int(stamp)
        if abs(wall - seconds * SECOND) > self.gateway.tolerance:
            return 400, "webhook-timestamp is too far from this clock", None, None, None
        text = id_.decode("ascii")
        if verifier is None or not verifier.holds(signature.decode("latin-1"), text, seconds, body):
            return 401, "no signature holds", None, None, None
        rule = self.core.rule(function)
        if rule is None:
            return 404, f"there is no function '{function[:80]}'", None, None, None
        wait = patience_of(headers.get(b"prefer", b""))
        if wait is None:
            return 400, "Prefer: wait=N takes whole seconds, 1 or more", None, None, None
        return (
            0,
            "",
            intake.ActivationRequest(customer, text, seconds * SECOND, rule.type, x.came, wait * SECOND),
            rule,
            function,
        )


def patience_of(header):
    """Seconds of `wait` in a Prefer header (RFC 7240); 0 if it has none, None if it is malformed."""
    for part in header.replace(b";", b",").split(b","):
        name, equals, value = part.strip().partition(b"=")
        if name.strip().lower() == b"wait":
            value = value.strip().strip(b'"')
            return int(value) if equals and value.isdigit() and 0 < int(value) < 1 << 31 else None
    return 0
