"""A stand-in router: accepts BGP sessions, keeps a routing table, steers flows by it; misbehaves on order.

It uses the same codec and state machine as the speaker, from the other side; all that it knows of a session
it has received on the connection.
"""

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
    """The router's side of a neighbor's session; receives the calls of its `Neighbor`.

    `id`: the neighbor's BGP identifier; `open`: its OPEN; `sent`: prefix -> the attributes last sent to it.
    """

    def __init__(self, router, stream):
        self.router, self.stream, self.id, self.mute, self.open, self.sent = (
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
            router.rng.random,
        )

    def connect(self):
        """Do nothing: the router only accepts connections."""

    def write(self, key, data):
        """Send data, unless the connection is closed."""
        if not self.stream.closed():
            self.stream.write(data).add_done_callback(lambda done: done.exception())

    def close(self, key):
        """Close the connection; what is being written has 0.1 s to leave."""
        if self.stream.writing():
            self.router.loop.call_later(0.1, self.stream.close)
        else:
            self.stream.close()

    def resend_routes(self, afi):
        """Ignore a ROUTE-REFRESH."""
        pass

    def session_established(self, found):
        """Send all routes; an earlier session of the same neighbor is closed."""
        self.open, self.id = found, found.id
        old, self.router.sides[found.id] = self.router.sides.get(found.id), self
        if old is not None and old is not self:
            old.stream.close()
        self.router.record("up", self, asn=found.asn)
        self.router.advertise(self)

    def session_ended(self, why):
        """Remove the neighbor's routes."""
        if self.router.sides.get(self.id) is self:
            del self.router.sides[self.id]
            self.router.changed(self, self.router.table.remove_peer(self.id))
        self.router.record("down", self, why=why)

    def update_received(self, update):
        """Apply the neighbor's routes; end the session when they exceed the limit."""
        try:
            changed = self.router.table.apply(self.id, update)
        except RouteLimitError:
            self.neighbor.route_limit_exceeded(self.router.now())
            return
        for prefix in update.withdrawn:
            self.router.record("withdrawn", self, prefix=bgp.format_prefix(prefix))
        for prefix in update.announced:
            self.router.record(
                "announced",
                self,
                prefix=bgp.format_prefix(prefix),
                med=update.attrs.med,
                less=bgp.GRACEFUL_SHUTDOWN in update.attrs.communities,
                next_hop=update.attrs.next_hop.hex(),
            )
        self.router.changed(self, changed)


class Router(TCPServer):
    """Accepts sessions and keeps the routing table.

    `events`: what happened, [(ns, event, identifier of the neighbor, facts)]; `on` is called with each too.
    `sides`: identifier -> `Side` of each established session; `all`: every `Side` with a connection.
    """

    def __init__(self, asn=65000, id_=1, hold=9, role=None, most=100_000, on=None, seed=1):
        super().__init__()
        self.asn, self.id, self.hold, self.role, self.most, self.on = asn, id_, hold, role, most, on
        self.loop, self.rng, self.table, self.sides, self.all = (
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
        """Start listening, and return the address."""
        sockets = bind_sockets(address[1], address[0], family=socket.AF_UNSPEC)
        # RFC 5082: all packets need the highest TTL, including the SYN-ACK, which the listening socket sends
        for sock in sockets:
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
        """Run one session until its connection ends."""
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

    def record(self, what, side, **facts):
        """Add an event to `events`, and pass it to `on`."""
        event = (self.now(), what, side.id, facts)
        self.events.append(event)
        if self.on is not None:
            self.on(*event)

    # The routing table, and the routes sent to neighbors
    def changed(self, side, prefixes):
        """Record the new best paths of prefixes that a neighbor has changed, and advertise them."""
        for prefix in prefixes:
            self.record(
                "best",
                side,
                prefix=bgp.format_prefix(prefix),
                peers=[peer for peer, _ in self.table.best(prefix)],
            )
            for one in list(self.sides.values()):
                self.advertise(one, [prefix])

    def advertise(self, side, prefixes=None):
        """Send a neighbor the best paths through others, where they changed. `prefixes`: None for all."""
        if side.mute or side.neighbor.established is None:
            return
        for prefix in list(self.table.paths) if prefixes is None else prefixes:
            best = next(((peer, attrs) for peer, attrs in self.table.best(prefix) if peer != side.id), None)
            before = side.sent.get(prefix)
            if best is None or prefix[0] == bgp.IPV6 and len(best[1].next_hop) != 16:
                if before is not None:
                    del side.sent[prefix]
                    self._send(side, bgp.updates((), None, [prefix], side.open.four))
            elif best[1] != before:
                side.sent[prefix] = best[1]
                attrs = best[1]._replace(path=((bgp.SEQUENCE, (self.asn,)), *best[1].path))
                self._send(side, bgp.updates([prefix], attrs, (), side.open.four))

    def _send(self, side, messages):
        for one in messages:
            side.write(None, one)

    def pick(self, prefix, flow):
        """Return the identifier of the neighbor that a flow goes to, or None."""
        return self.table.pick(prefix, flow, self.resilient)

    # Orders; `id_`: the neighbor's identifier, or None for all
    def reset(self, id_=None):
        """Close connections without a NOTIFICATION."""
        for side in list(self.sides.values()):
            if id_ in (None, side.id):
                side.stream.close()

    def set_mute(self, on, id_=None):
        """Keep sessions open, but neither handle incoming data nor send anything on them, as long as `on`."""
        for side in list(self.sides.values()):
            if id_ in (None, side.id):
                side.mute = on

    def raw(self, data, id_=None):
        """Send bytes as they are."""
        for side in list(self.sides.values()):
            if id_ in (None, side.id):
                side.stream.write(data).add_done_callback(lambda done: done.exception())

    def close(self):
        """Stop listening and close all connections."""
        self.stop()
        self.checks.cancel()
        for side in list(self.all):
            side.stream.close()


class Watch(TCPServer):
    """Publishes which neighbors each prefix goes to.

    Each client gets the whole table, then every change, as one JSON object per line.
    """

    def __init__(self, router):
        super().__init__()
        self.router, self.streams = router, set()

    def line(self, prefix):
        """Return the line of a prefix."""
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
        """Send the whole table to a new client."""
        stream.set_nodelay(True)
        self.streams.add(stream)
        stream.set_close_callback(lambda: self.streams.discard(stream))
        for prefix in list(self.router.table.paths):
            stream.write(self.line(prefix)).add_done_callback(lambda done: done.exception())

    def publish(self, prefix):
        """Send a changed prefix to all clients."""
        for stream in list(self.streams):
            if not stream.closed():
                stream.write(self.line(prefix)).add_done_callback(lambda done: done.exception())


async def serve(listen, asn, id_, hold, watch=None, records=""):
    """Run the router until SIGTERM or SIGINT.

    `watch`: the address where clients may follow the routing table, or None; `records`: a folder to write
    events to, or "" to print them.
    """
    from petrelwood.standins.records import Records

    event_records = Records(records, "router") if records else None
    watching = None

    def on_event(at, what, peer, facts):
        if what == "best" and watching is not None:
            watching.publish(bgp.parse_prefix(facts["prefix"]))
        if event_records is not None:
            event_records.put("route", saw=what, peer=peer, **facts)
        else:
            print(json.dumps({"at": at, "what": what, "peer": peer, **facts}), flush=True)

    router = Router(asn, id_, hold, on=on_event)
    host, port = router.open(listen)
    ready = {"ready": f"{host}:{port}"}
    if watch is not None:
        watching = Watch(router)
        sockets = bind_sockets(watch[1], watch[0])
        watching.add_sockets(sockets)
        watch_host, watch_port = sockets[0].getsockname()[:2]
        ready["watch"] = f"{watch_host}:{watch_port}"
    print(json.dumps(ready), flush=True)
    loop, stopped = asyncio.get_running_loop(), asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopped.set)
    if not sys.stdin.isatty():
        loop.add_reader(sys.stdin.fileno(), _read_order, router)
    await stopped.wait()
    router.close()
    if event_records is not None:
        event_records.close()


def _read_order(router):
    """Carry out one order from standard input, a JSON object per line.

    It is {"do": "reset" | "mute" | "speak" | "raw", "peer": N, "data": HEX}.
    """
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
    except (ValueError, KeyError, TypeError) as error:
        print(json.dumps({"what": "not understood", "why": str(error)}), flush=True)
