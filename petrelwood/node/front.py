"""Clients: MessagePack-RPC over TCP; the namespace type is the method, beside `cancel` and `health`.

What is wrong with a request ends here, with an error; what can't be read ends its connection. Rightly asked
ones go to the core, whose answer comes back through `Exchange.answer`, once. How much fits is decided in
`decide.overload.resource_limits`."""

import errno
import functools
import math
import socket
from collections import OrderedDict
from typing import NamedTuple

from tornado.iostream import StreamBufferFullError, StreamClosedError

from petrelwood.decide.delivery import ledger
from petrelwood.decide.overload import intake, resource_limits
from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.links import rpc, sockets
from petrelwood.node.stream import Stream
from petrelwood.node.told import MS

READ = 16_384
READERS = 8  # kept for whoever sends next
# connections taken in one turn of the loop, and ns that this may last: it keeps answers waiting
ACCEPTS, ACCEPTING = 32, 3_000_000
# connections that the machine accepts ahead of us, each perhaps with a request in it, which waits behind all
# others: so many, and while the loop is late over and over
QUEUE, SHORT_QUEUE = 128, 8
GUESTS = 8  # connections beyond the room for clients: who asks on one is turned away, not closed
REFUSALS = 16 * READ  # bytes of answers to what one reading may hold beyond a client's open requests
UNTAKEN = 10_000_000_000  # ns that a client may leave answers unread, with no request open
ANSWER = resource_limits.BODY + resource_limits.TEXT
REJECTED, ABORTED, WRONG = "Throttled", "Broken", "Invalid"
HEX, TEXT = frozenset("0123456789abcdef"), frozenset((str,))
# ns after a client's end or cancel in which a send for it may begin, as the operators' rules have it; a look
# at what has come of it counts for half of that
DEPARTURE = 100_000_000
LOOKED = DEPARTURE // 2
FACTS = 512  # texts of further figures whose reading is kept
PARTS = rpc.MessageLimits(resource_limits.BODY, resource_limits.TEXT, resource_limits.MEMBERS)


class Figures(NamedTuple):
    """What a request tells of its function and its work, as `settings.functions.FunctionRule` has it."""

    lanes: int
    load_time: int  # ns; 0: not told
    work: int  # ns; 0: not told


class Wrong(Exception):
    """A request that can be read and not be taken."""


def _number(text, least, most, what):
    try:
        value = float(text)
    except (TypeError, ValueError):
        raise Wrong(f"{what} is no number") from None
    if not math.isfinite(value) or not least <= value <= most:
        raise Wrong(f"{what} is out of range")
    return value


def _id(text, digits, what):
    if not isinstance(text, str) or len(text) != digits or not HEX.issuperset(text):
        raise Wrong(f"{what} must be {digits} hex digits")
    return text


@functools.lru_cache(maxsize=FACTS)
def _facts(text, most):
    """(lanes, load time in ns) of a request's further figures: the same text with each request for a
    function."""
    facts = {}
    for part in filter(None, text.split(";")):
        name, _, value = part.partition(":")
        facts[name] = _number(value, 0, 1e9, name)
    lanes, load = int(facts.get("lanes", 1)), facts.get("load_ms", 0.0)
    if not 1 <= lanes <= 1024 or load > most:
        raise Wrong("lanes or load_ms is out of range")
    return lanes, int(load * MS)


def asked(type_, fields, body, came, customers, timeouts):
    """(ask, function, figures) of a `call`'s parameters; `customers`: their names, none where the platform
    has none. Raises `Wrong`."""
    if not isinstance(fields, dict) or not isinstance(body, bytes):
        raise Wrong("a call has a map and a body")
    if not (TEXT.issuperset(map(type, fields)) and TEXT.issuperset(map(type, fields.values()))):
        raise Wrong("fields are strings")
    customer = fields.get("org", "")
    if customers and customer not in customers:
        raise Wrong("no such tenant")
    timeout = timeouts[type_]
    mark = fields.get("dedupe", "")
    if mark:
        _id(mark, 32, "dedupe")
    wait = _number(fields.get("ttl"), 1, 2 * timeout / MS, "ttl")
    most = 1000 * timeout / MS
    work = _number(fields["work"], 0, most, "work") if "work" in fields else 0.0
    lanes, load_time = _facts(fields.get("facts", ""), most)
    return (
        ActivationRequest(
            customer, _id(fields.get("call"), 16, "call"), 0, type_, came, int(wait * MS), mark
        ),
        _id(fields.get("row"), 16, "row"),
        Figures(lanes, load_time, int(work * MS)),
    )


class Exchange:
    """One request and the room for its one answer."""

    __slots__ = ("client", "msgid", "act", "looked")

    def __init__(self, client, msgid):
        # `looked`: since when a send waits for its client to be read (ns), and its readings until then
        self.client, self.msgid, self.act, self.looked = client, msgid, None, None

    def waits(self):
        """Whether its client still wants the answer."""
        return self.client.open.get(self.msgid) is self

    def may_send(self, link):
        """Whether its client is known to want it still. If not, `link` is pumped once the client was read.
        What it had sent at the first look has been read after two readings that left nothing, however much it
        sends."""
        client, now = self.client, self.client.front.core.now()
        if client.unread():
            at, readings = self.looked or (0, 0)
            if now - at > LOOKED:
                at, readings = self.looked = now, client.readings
            if client.readings - readings < 2:
                client.deferred[link] = True
                return False
        self.looked = None
        return True

    def answer(self, what, body=b"", retry_after=0, why="", act=None):
        """The final answer, from the core: 'completed', 'rejected', 'aborted' or a verdict of the intake."""
        # taken back, its number used again perhaps; or its client is gone
        if not self.waits():
            return
        del self.client.open[self.msgid]
        if what == "completed":
            self.client.write(rpc.response(self.msgid, None, [body, {}]))
        elif what in ("rejected", intake.REJECT):
            self.client.refuse(self.msgid, retry_after)
        else:
            self.client.write(rpc.response(self.msgid, [ABORTED, {}], None))
        self.client.rests()


class Client:
    """One connection. `open`: exchanges by message id; `coming`: what its next bytes resolve; `readings`:
    those that left nothing unread; `deferred`: links with sends that wait until it was read; `written`: what
    the last write resolves. `guest`: there was no room for it. `ending`: nothing more is taken from it, and
    it is closed once all is answered; `garbled`: nothing that follows can be read either."""

    __slots__ = (
        "front",
        "stream",
        "open",
        "reader",
        "coming",
        "since",
        "asked",
        "part",
        "faults",
        "ending",
        "readings",
        "deferred",
        "written",
        "guest",
        "garbled",
    )

    def __init__(self, front, stream, now, guest=False):
        self.front, self.stream, self.open, self.reader, self.coming = front, stream, {}, None, None
        self.since, self.asked, self.part, self.faults, self.ending = now, False, 0, 0, False
        self.readings, self.deferred = 0, {}
        self.written = None
        self.guest = guest
        self.garbled = False

    async def serve(self):
        front = self.front
        try:
            while True:
                while self._crowded():  # who does not read its answers asks for nothing more
                    await self.written
                self.coming = self.stream.read_bytes(READ, partial=True)
                self._pump_deferred()
                data = await self.coming
                now = front.core.now()
                front.core.answer_due(now)
                front.reads += 1
                if not self.garbled:
                    self._take(data, now)
                if len(data) < READ:
                    self.readings += 1
        except StreamClosedError:
            pass
        except Exception as fault:
            front.core.defect("front", fault)
        self.close()

    def _take(self, data, now):
        """What has come. What can't be read ends the connection, once what is owed on it is answered."""
        front = self.front
        if self.reader is None:
            self.reader = (
                front.readers.pop() if front.readers else rpc.Reader(resource_limits.FRAME + READ, PARTS)
            )
        try:
            messages = self.reader.feed(data)
            # a reader has some 40 KB: only who is in a message has one
            if self.reader.is_between_messages():
                if len(front.readers) < READERS:
                    front.readers.append(self.reader)
                self.reader, self.part = None, 0
            elif messages or not self.part:
                self.part = now
            for message in messages:
                self._handle(message, now)
        except rpc.MalformedRpcError as fault:
            front.note("unreadable", str(fault))
            self._garbled(now)

    def _handle(self, message, now):
        """A defect costs the one message that met it."""
        try:
            self._message(message, now)
        except rpc.MalformedRpcError:
            raise
        except Exception as fault:
            self.front.core.defect("front", fault)
            exchange = self.open.get(message[1]) if message[0] == rpc.REQUEST else None
            if exchange is not None:
                exchange.answer(ledger.ActivationState.ABORTED)
            elif message[0] == rpc.REQUEST:
                self.write(rpc.response(message[1], [ABORTED, {}], None))

    def _garbled(self, now):
        """Whose the next answers would be can't be told: each open request is answered now, as failed. What
        still comes is thrown away, as a close over unread bytes would overtake the answers."""
        self.reader, self.part = None, 0
        if not self.open and not self.stream.writing():
            self.close()
            return
        self._end(now)
        self.garbled = True
        for msgid, exchange in list(self.open.items()):
            del self.open[msgid]
            if exchange.act is not None:
                self.front.core.client_left(exchange.act, exchange)
            self.write(rpc.response(msgid, [ABORTED, {}], None))

    def _end(self, now):
        """Nothing more is taken from it; see `Front.check`."""
        if not self.ending:
            self.ending, self.since = True, now

    def _crowded(self):
        """Whether the answers that it has not read and those that it is owed need all the room for them."""
        return self.stream.unsent() + len(self.open) * ANSWER > resource_limits.UNREAD

    def _pump_deferred(self):
        if self.deferred:
            links, self.deferred = self.deferred, {}
            for link in links:
                self.front.core.submit(link.pump)

    def unread(self):
        """Whether anything of it has come that it was not served for yet, here or in the machine's hands:
        whoever closes over that loses a request, and the reset that follows overtakes what was written."""
        return (
            self.coming is None
            or self.coming.done()
            or not self.stream.closed()
            and bool(sockets.readable((self.stream.socket,)))
        )

    def at_rest(self):
        """Whether it may be closed for having nothing open: its answers have gone out, and nothing has
        come."""
        return not self.stream.writing() and not self.unread()

    def close(self):
        """Ends the connection; what it had open is taken back."""
        self.ending = True
        if self.front.clients.pop(self, None) is None:
            return
        self.front.idle.pop(self, None)
        self.reader = None
        self.stream.close()
        for exchange in list(self.open.values()):
            if exchange.act is not None:
                self.front.core.client_left(exchange.act, exchange)
        self.open.clear()

    def rests(self):
        """It has no open request any more."""
        if not self.open and not self.ending:
            self.since = self.front.core.now()
            self.front.idle[self] = True
            self.front.idle.move_to_end(self)

    def write(self, frame):
        try:
            self.written = self.stream.write(frame)
        except (StreamClosedError, StreamBufferFullError):
            self.front.core.loop.call_soon(self.close)

    def refuse(self, msgid, retry_after):
        self.write(
            rpc.response(
                msgid, [REJECTED, {"pushback": str(-(-retry_after // MS))} if retry_after else {}], None
            )
        )

    def wrong(self, msgid, why):
        self.front.note("wrong", why)
        self.faults += 1
        self.write(rpc.response(msgid, [WRONG, {"why": why}], None))
        if self.faults >= resource_limits.FAULTS:
            self._end(self.front.core.now())

    def _message(self, message, now):
        kind = message[0]
        if kind == rpc.REQUEST:
            _, msgid, method, params = message
            # whose answer the next one under it would be can't be told
            if msgid in self.open:
                raise rpc.MalformedRpcError("a number that is open")
            if self.ending:
                self.refuse(msgid, self.front.core.intake.usual)
            elif method in self.front.core.terms.types:
                self._call(msgid, method, params, now)
            elif method == "health":
                self.asked = True
                self.write(rpc.response(msgid, None, [self.front.core.serves(), {}]))
                self.rests()
            else:
                self.wrong(msgid, "no such class")
        elif kind == rpc.NOTICE and message[1] == "cancel":
            for msgid in message[2]:
                exchange = self.open.pop(msgid, None) if isinstance(msgid, int) else None
                if exchange is not None and exchange.act is not None:
                    self.front.core.client_left(exchange.act, exchange)
            self.rests()
        else:
            raise rpc.MalformedRpcError("neither a request nor a cancel")

    def _call(self, msgid, type_, params, now):
        core = self.front.core
        try:
            if len(params) != 2:
                raise Wrong("a call has a map and a body")
            came = core.arrived(now)
            ask, function, figures = asked(
                type_, *params, came, core.gateway.customers, core.gateway.timeouts
            )
            if core.is_open(ask.id):
                raise Wrong("an id that is open")
        except Wrong as fault:
            self.wrong(msgid, str(fault))
            return
        self.asked = True
        self.guest = self.guest and self.front.full()
        if self.guest:
            self.refuse(msgid, core.intake.usual)
            return
        if len(self.open) >= resource_limits.OPEN or (
            self.stream.unsent() + (len(self.open) + 1) * ANSWER > resource_limits.UNREAD
        ):
            self.front.counts["over its part"] += 1
            self.refuse(msgid, core.intake.usual)
            return
        exchange = self.open[msgid] = Exchange(self, msgid)
        self.front.idle.pop(self, None)
        core.admit(ask, function, figures, params[1], exchange)


class Front:
    """The listener and its connections; `core` as `service.Node`."""

    def __init__(self, core, room, log):
        self.core, self.room, self.log, self.sock = core, room, log, None
        self.readers, self.reads, self.deaf = [], 0, False  # `deaf`: the listener rests until the next look
        self.shedding = False
        # all, and those without an open request, longest first
        self.clients, self.idle = {}, OrderedDict()
        self.counts = {
            "connections": 0,
            "crowded out": 0,
            "unreadable": 0,
            "wrong": 0,
            "over its part": 0,
            "too slow": 0,
        }

    def note(self, what, why):
        """Counts a bad client; the first few are told in the log, then one in many."""
        self.counts[what] += 1
        if self.counts[what] <= 8 or not self.counts[what] % 1024:
            self.log.info("a bad client", what=what, why=why, so_far=self.counts[what])

    def open(self, address):
        """Raises OSError."""
        self.sock = sockets.fresh(address[0])
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind(address)
        self.sock.listen(QUEUE)
        self.core.loop.add_reader(self.sock, self._accept)

    def stop(self):
        """Takes no new connections and ends all."""
        if self.sock is not None:
            self.core.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None
        for client in list(self.clients):
            client.close()

    def shed_connections(self, late):
        """While the loop is late over and over, the machine turns away what could not be answered in time:
        what it has not accepted has its other ways yet."""
        if late != self.shedding and self.sock is not None:
            self.shedding = late
            self.sock.listen(SHORT_QUEUE if late else QUEUE)
            self.log.info("connections are shed" if late else "connections are no longer shed")

    def full(self):
        """Whether there are as many clients as there is room for."""
        return len(self.clients) >= self.room.clients

    def _rest_listener(self):
        """What comes waits in the machine's hands until the next look. The listener stays readable: the loop
        would come back here at once, and again."""
        self.deaf = True
        self.core.loop.remove_reader(self.sock)

    def _accept(self):
        began = self.core.now()
        self.core.answer_due(began)
        connection_faults = 0
        made_room = False
        for _ in range(SHORT_QUEUE if self.shedding else ACCEPTS):
            if len(self.clients) >= self.room.clients + GUESTS and not self._make_room():
                self._rest_listener()
                return
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError as fault:
                if fault.errno in sockets.CONNECTION_FAULTS:
                    connection_faults += 1
                    if connection_faults < sockets.CONNECTION_FAULTS_IN_A_ROW:
                        continue
                # Where one descriptor more did not help, another would not: the machine is out of them.
                elif fault.errno in (errno.EMFILE, errno.ENFILE) and not made_room and self._make_room():
                    made_room = True
                    continue
                self._rest_listener()
                return
            connection_faults = 0
            made_room = False
            self.counts["connections"] += 1
            guest = self.full() and not self._make_room()
            try:
                self._serve(sock, guest)
            except OSError:  # it can't be set up: nothing of it was read
                sock.close()
            if self.core.now() - began > ACCEPTING:
                return

    def _serve(self, sock, guest):
        """Serves a new connection. Raises OSError."""
        sock.setblocking(False)
        sockets.disable_delay(sock)
        client = Client(
            self,
            Stream(
                sock,
                max_buffer_size=2 * READ + resource_limits.FRAME,
                read_chunk_size=READ,
                max_write_buffer_size=resource_limits.UNREAD + REFUSALS,
            ),
            self.core.now(),
            guest,
        )
        self.clients[client] = self.idle[client] = True
        self.core.loop.create_task(client.serve())

    def _make_room(self):
        """Descriptors run short: the connection that has been idle longest goes, never one with an open
        request."""
        client = next((c for c in self.idle if c.at_rest()), None)
        if client is None:
            return False
        self.counts["crowded out"] += 1
        client.close()
        return True

    def check(self, now):
        if self.deaf and self.sock is not None:
            self.deaf = False
            self.core.loop.add_reader(self.sock, self._accept)
        for client in list(self.clients):
            if client.open:  # each gets its answer first, and none waits longer than its time
                continue
            if client.ending:
                if client.at_rest() or now - client.since > resource_limits.PART:
                    client.close()
            elif (
                client.part
                and now - client.part > resource_limits.PART
                or not client.asked
                and now - client.since > resource_limits.SILENT
            ) and not client.unread():
                self.counts["too slow"] += 1
                client.close()
        for client in list(self.idle):
            if now - client.since <= resource_limits.IDLE:
                break
            if client.at_rest() or client.stream.writing() and now - client.since > UNTAKEN:
                client.close()

    def close_resting(self):
        """Closes the connections on which nothing is owed and nothing has come."""
        for client in list(self.idle):
            if client.at_rest():
                client.close()

    def quiet(self):
        """Whether all that was written has gone out, and all that has come was read: connections, requests,
        ends."""
        if any(c.stream.writing() for c in self.clients) or any(
            c.coming is None or c.coming.done() for c in self.clients
        ):
            return False
        return self.sock is None or not sockets.readable(
            [self.sock, *(c.stream.socket for c in self.clients if not c.stream.closed())]
        )
