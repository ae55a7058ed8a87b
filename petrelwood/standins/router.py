"""A stand-in router: accepts BGP sessions, keeps a table, steers flows by it, and misbehaves where it is told
to.

It speaks with the same codec and state machine as the speaker, from the other side; what it knows of a
session it has from the wire alone."""

import asyncio
import json
import random
import signal
import socket
import sys
import time

from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from petrelwood.decide.bgp import neighbor
from petrelwood.decide.bgp.routing_table import RouteLimitError, RoutingTable
from petrelwood.wire import bgp

FAMILIES = ((bgp.IPV4, bgp.UNICAST), (bgp.IPV6, bgp.UNICAST))


class Side:
    """One neighbour's session, as the router has it: the `out` of its `Neighbor`."""

    def __init__(self, router, stream):
        self.router, self.stream, self.id, self.mute, self.open, self.told = (
            router,
            stream,
            None,
            False,
            None,
            {},
        )
        self.neighbor = neighbor.Neighbor(
            neighbor.NeighborTerms(
                router.asn,
                0,
                router.id,
                router.hold,
                FAMILIES,
                router.role,
                passive=True,
                max_routes=router.most,
            ),
            self,
            router.chance.random,
        )

    def connect(self):
        """It never does."""

    def write(self, key, data):
        if not self.stream.closed():
            self.stream.write(data).add_done_callback(lambda done: done.exception())

    def close(self, key):
        if self.stream.writing():
            self.router.loop.call_later(0.1, self.stream.close)
        else:
            self.stream.close()

    def resend_routes(self, afi):
        pass

    def session_established(self, found):
        self.open, self.id = found, found.id
        old, self.router.sides[found.id] = self.router.sides.get(found.id), self
        if old is not None and old is not self:
            old.stream.close()
        self.router.saw("up", self, asn=found.asn)
        self.router.tell(self)

    def session_ended(self, why):
        if self.router.sides.get(self.id) is self:
            del self.router.sides[self.id]
            self.router.changed(self, self.router.table.remove_peer(self.id))
        self.router.saw("down", self, why=why)

    def update_received(self, update):
        try:
            changed = self.router.table.apply(self.id, update)
        except RouteLimitError:
            self.neighbor.route_limit_exceeded(self.router.now())
            return
        for prefix in update.withdrawn:
            self.router.saw("withdrawn", self, prefix=bgp.format_prefix(prefix))
        for prefix in update.announced:
            self.router.saw(
                "announced",
                self,
                prefix=bgp.format_prefix(prefix),
                med=update.attrs.med,
                less=bgp.GRACEFUL_SHUTDOWN in update.attrs.communities,
                next_hop=update.attrs.next_hop.hex(),
            )
        self.router.changed(self, changed)


class Router(TCPServer):
    """`events`: what it saw, [(ns, what, identifier of the neighbour, facts)]; `on`: called with each too."""

    def __init__(self, asn=65000, id_=1, hold=9, role=None, most=100_000, on=None, seed=1):
        super().__init__()
        self.asn, self.id, self.hold, self.role, self.most, self.on = asn, id_, hold, role, most, on
        self.loop, self.chance, self.table, self.sides, self.all = (
            asyncio.get_running_loop(),
            random.Random(seed),
            RoutingTable(most),
            {},
            set(),
        )
        self.events, self.accepts, self.resilient = [], True, False
        self.checks = self.loop.create_task(self._check())

    now = staticmethod(time.monotonic_ns)

    def open(self, address=("127.0.0.1", 0)):
        sockets = bind_sockets(address[1], address[0], family=socket.AF_UNSPEC)
        for sock in sockets:  # RFC 5082: the answer to a SYN counts too
            for option in (
                (socket.IPPROTO_IP, socket.IP_TTL),
                (socket.IPPROTO_IPV6, socket.IPV6_UNICAST_HOPS),
            ):
                try:
                    sock.setsockopt(*option, 255)
                except OSError:
                    pass
        self.add_sockets(sockets)
        self.address = sockets[0].getsockname()[:2]
        return self.address

    async def _check(self):
        while True:
            await asyncio.sleep(0.05)
            for side in list(self.all):
                if not side.mute:
                    side.neighbor.check_timers(self.now())

    async def handle_stream(self, stream, address):
        if not self.accepts:
            stream.close()
            return
        side = Side(self, stream)
        self.all.add(side)
        side.neighbor.start(self.now())
        side.neighbor.connection_made(self.now(), neighbor.Opener.PEER)
        try:
            while True:
                data = await stream.read_bytes(65_536, partial=True)
                while side.mute:
                    await asyncio.sleep(0.02)
                side.neighbor.data_received(self.now(), neighbor.Opener.PEER, data)
        except StreamClosedError:
            side.neighbor.connection_lost(self.now(), neighbor.Opener.PEER)
        self.all.discard(side)

    def saw(self, what, side, **facts):
        record = (self.now(), what, side.id, facts)
        self.events.append(record)
        if self.on is not None:
            self.on(*record)

    # The table, and what others are told of it.
    def changed(self, side, prefixes):
        for prefix in prefixes:
            self.saw(
                "best",
                side,
                prefix=bgp.format_prefix(prefix),
                peers=[peer for peer, _ in self.table.best(prefix)],
            )
            for one in list(self.sides.values()):
                self.tell(one, [prefix])

    def tell(self, side, prefixes=None):
        """Each neighbour hears the best path, where it is another's."""
        if side.mute or side.neighbor.established is None:
            return
        for prefix in list(self.table.paths) if prefixes is None else prefixes:
            best = next(((peer, attrs) for peer, attrs in self.table.best(prefix) if peer != side.id), None)
            before = side.told.get(prefix)
            if best is None or prefix[0] == bgp.IPV6 and len(best[1].next_hop) != 16:
                if before is not None:
                    del side.told[prefix]
                    self._send(side, bgp.updates((), None, [prefix], side.open.four))
            elif best[1] != before:
                side.told[prefix] = best[1]
                attrs = best[1]._replace(path=((bgp.SEQUENCE, (self.asn,)), *best[1].path))
                self._send(side, bgp.updates([prefix], attrs, (), side.open.four))

    def _send(self, side, messages):
        for one in messages:
            side.write(None, one)

    def pick(self, prefix, flow):
        """The identifier of the neighbour that a flow goes to, or None."""
        return self.table.pick(prefix, flow, self.resilient)

    # What it is told to do.
    def reset(self, id_=None):
        """Drops sessions without a word."""
        for side in list(self.sides.values()):
            if id_ in (None, side.id):
                side.stream.close()

    def set_mute(self, on, id_=None):
        """Holds sessions, reads and says nothing."""
        for side in list(self.sides.values()):
            if id_ in (None, side.id):
                side.mute = on

    def raw(self, data, id_=None):
        for side in list(self.sides.values()):
            if id_ in (None, side.id):
                side.stream.write(data).add_done_callback(lambda done: done.exception())

    def close(self):
        self.stop()
        self.checks.cancel()
        for side in list(self.all):
            side.stream.close()


class Watch(TCPServer):
    """Tells who connects which neighbours each prefix goes to: a JSON object a line, all there is first."""

    def __init__(self, router):
        super().__init__()
        self.router, self.streams = router, set()

    def line(self, prefix):
        return (
            json.dumps(
                {
                    "prefix": bgp.format_prefix(prefix),
                    "peers": [peer for peer, _ in self.router.table.best(prefix)],
                }
            ).encode()
            + b"\n"
        )

    async def handle_stream(self, stream, address):
        stream.set_nodelay(True)
        self.streams.add(stream)
        stream.set_close_callback(lambda: self.streams.discard(stream))
        for prefix in list(self.router.table.paths):
            stream.write(self.line(prefix)).add_done_callback(lambda done: done.exception())

    def tell(self, prefix):
        for stream in list(self.streams):
            if not stream.closed():
                stream.write(self.line(prefix)).add_done_callback(lambda done: done.exception())


async def serve(listen, asn, id_, hold, watch=None, records=""):
    """Until SIGTERM. `watch`: where whoever steers by the table listens to it; `records`: a folder for what
    it saw."""
    from petrelwood.standins.records import Records

    kept = Records(records, "router") if records else None
    watching = None

    def tell(at, what, peer, facts):
        if what == "best" and watching is not None:
            watching.tell(bgp.parse_prefix(facts["prefix"]))
        if kept is not None:
            kept.put("route", saw=what, peer=peer, **facts)
        else:
            print(json.dumps({"at": at, "what": what, "peer": peer, **facts}), flush=True)

    router = Router(asn, id_, hold, on=tell)
    host, port = router.open(listen)
    ready = {"ready": f"{host}:{port}"}
    if watch is not None:
        watching = Watch(router)
        sockets = bind_sockets(watch[1], watch[0])
        watching.add_sockets(sockets)
        watch_host, watch_port = sockets[0].getsockname()[:2]
        ready["watch"] = f"{watch_host}:{watch_port}"
    print(json.dumps(ready), flush=True)
    loop, ends = asyncio.get_running_loop(), asyncio.Event()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, ends.set)
    if not sys.stdin.isatty():
        loop.add_reader(sys.stdin.fileno(), _line, router)
    await ends.wait()
    router.close()
    if kept is not None:
        kept.close()


def _line(router):
    """Orders on standard input, a JSON object a line: {"do": "reset" | "mute" | "speak" | "raw", "peer": N,
    "data": HEX}."""
    line = sys.stdin.readline()
    if not line:
        asyncio.get_running_loop().remove_reader(sys.stdin.fileno())
        return
    try:
        order = json.loads(line)
        what, peer = order["do"], order.get("peer")
        if what == "raw":
            router.raw(bytes.fromhex(order["data"]), peer)
        elif what in ("mute", "speak"):
            router.set_mute(what == "mute", peer)
        elif what == "reset":
            router.reset(peer)
        else:
            raise ValueError(f"nothing is called '{what}'")
    except (ValueError, KeyError, TypeError) as fault:
        print(json.dumps({"what": "not understood", "why": str(fault)}), flush=True)
