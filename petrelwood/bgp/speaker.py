"""The speaker on Tornado's sockets: one `Neighbor` a peer, what the dispatcher beside it says, and what goes
out because of it.

Its loop does nothing else, so that KEEPALIVEs leave in time however busy the dispatcher is. It never touches
a kernel's routes."""

import asyncio
import random
import socket
import time

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from petrelwood.bgp.heartbeats import HeartbeatReceiver
from petrelwood.decide.bgp import announcement, neighbor, service_health
from petrelwood.links import sockets
from petrelwood.links.listener import Listener
from petrelwood.wire import bgp

SECOND = 1_000_000_000
WAITING = 1 << 20  # octets that may wait for one peer to read
CONNECT = 5  # seconds
IP_MINTTL, IPV6_MINHOPCOUNT = 21, 73


def guard(sock, far):
    """RFC 5082: we send with the highest TTL, and a neighbour on the link must have done so too."""
    if far:
        return
    try:
        if sock.family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_UNICAST_HOPS, 255)
            sock.setsockopt(socket.IPPROTO_IPV6, IPV6_MINHOPCOUNT, 255)
        else:
            sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, 255)
            sock.setsockopt(socket.IPPROTO_IP, IP_MINTTL, 255)
    except OSError:  # not every system has it
        pass


class Peer:
    """One peer's sockets: the `out` of its `Neighbor`."""

    def __init__(self, speaker, terms):
        self.speaker, self.terms, self.streams, self.task, self.unread = speaker, terms, {}, None, {}
        described = speaker.described
        families = sorted({(s.prefix[0], bgp.UNICAST) for s in described.services})
        self.neighbor = neighbor.Neighbor(
            neighbor.NeighborTerms(
                described.asn,
                terms.asn,
                described.id,
                described.hold,
                families,
                terms.role,
                terms.passive,
                terms.max_routes,
            ),
            self,
            speaker.chance.random,
        )
        self.outbox, self.inbox = (
            announcement.AnnouncedRoutes(described.asn),
            announcement.ReceivedRoutes(described.services, terms.max_routes),
        )
        self.most, self.four = bgp.MOST, True

    # What the neighbour asks for.
    def connect(self):
        self.task = self.speaker.loop.create_task(self._connect())

    async def _connect(self):
        host, port = self.terms.address
        stream = None
        try:
            sock = sockets.new_socket(host)
            guard(sock, self.terms.far)
            stream = IOStream(sock)
            # not `wait_for`, which loses a cancellation that comes as the connection is made
            async with asyncio.timeout(CONNECT):
                await stream.connect((host, port))
        except (TimeoutError, OSError):
            if stream is not None:
                stream.close()
            self.neighbor.connect_failed(self.speaker.now())
            self.speaker.wake()
            return
        await self.serve(stream, neighbor.Opener.US)

    async def serve(self, stream, key):
        sockets.disable_delay(stream.socket)
        if key in self.streams:
            stream.close()
            return
        self.streams[key] = stream
        if not self.neighbor.connection_made(self.speaker.now(), key):
            self.close(key)
            return
        self.speaker.wake()
        try:
            while self.streams.get(key) is stream:
                data = await stream.read_bytes(65_536, partial=True)
                self.neighbor.data_received(self.speaker.now(), key, data)
                self.speaker.wake()
        except OSError:  # errors of the socket come as they are, or as a closed stream
            pass
        if self.streams.get(key) is stream:
            self.neighbor.connection_lost(self.speaker.now(), key)
            self.speaker.wake()

    def write(self, key, data):
        stream = self.streams.get(key)
        if stream is None or stream.closed():
            return
        if self.unread.get(key, 0) > WAITING:  # what it has not read is not waited for
            self.speaker.log.warning("a peer does not read", peer=self.terms.name)
            stream.close()
            return
        self.unread[key] = self.unread.get(key, 0) + len(data)
        stream.write(data).add_done_callback(lambda done: self._written(key, len(data), done))

    def _written(self, key, size, done):
        done.exception()
        if key in self.unread:
            self.unread[key] -= size

    def close(self, key):
        stream = self.streams.pop(key, None)
        self.unread.pop(key, None)
        if stream is not None and not stream.closed():
            if stream.writing():  # its last word goes out, if the peer reads
                self.speaker.loop.call_later(0.2, stream.close)
            else:
                stream.close()

    def session_established(self, found):
        held = self.neighbor.established
        self.four, self.most = found.four, bgp.EXTENDED if found.extended else bgp.MOST
        ours = {(s.prefix[0], bgp.UNICAST) for s in self.speaker.described.services}
        self.inbox.reset()
        self.outbox.reset([f for f in found.families if f in ours])
        self.speaker.log.info("peer up", peer=self.terms.name, asn=found.asn, hold=held.hold, four=found.four)
        self.tell()
        # RFC 4724: all is told, whether or not it asked for restarts
        for afi in self.outbox.families:
            self.write(
                held.key,
                bgp.END_OF_RIB if afi == bgp.IPV4 else bgp.message(bgp.UPDATE, b"\0\0\0\6\x80\x0f\x03\0\2\1"),
            )

    def session_ended(self, why):
        self.inbox.reset()
        self.outbox.reset()
        self.speaker.log.warning("peer down", peer=self.terms.name, why=why)
        self.speaker.look()

    def update_received(self, update):
        for note in update.notes:
            self.speaker.log.info("an update with a fault", peer=self.terms.name, what=note)
        if not self.inbox.apply(update):
            self.neighbor.route_limit_exceeded(self.speaker.now())
        else:
            self.speaker.look()

    def resend_routes(self, afi):
        self.outbox.forget_family(afi)
        self.tell()

    def tell(self):
        """Brings the peer up to date."""
        held = self.neighbor.established
        if held is None:
            return
        groups, gone = self.outbox.changes(self.speaker.described.services, self.speaker.serving.level)
        out = bgp.updates((), None, gone, self.four, self.most)
        for attrs, prefixes in groups:
            out += bgp.updates(prefixes, attrs, (), self.four, self.most)
        if out:
            self.write(held.key, b"".join(out))


class Speaker:
    """One process's life. `described`: `settings.speaker.Speaker`."""

    def __init__(self, described, log, seed=None):
        self.described, self.log, self.loop = described, log, asyncio.get_running_loop()
        self.chance = random.Random(described.id if seed is None else seed)
        self.serving = service_health.ServiceHealth(described.bounds, self.now())
        self.peers = [Peer(self, terms) for terms in described.peers]
        self.timer, self.server, self.heartbeats = None, None, None

    now = staticmethod(time.monotonic_ns)

    def open(self):
        """The address listened on, or None."""
        described, found = self.described, None
        self.heartbeats = HeartbeatReceiver(described.health, self.loop, self._heartbeat)
        if described.listen is not None:
            self.server = _Listener(self)
            listening = bind_sockets(described.listen[1], described.listen[0], family=socket.AF_UNSPEC)
            for sock in listening:
                guard(sock, all(p.terms.far for p in self.peers))
            self.server.add_sockets(listening)
            found = listening[0].getsockname()[:2]
        for peer in self.peers:
            peer.neighbor.start(self.now())
        self.wake()
        return found

    def _heartbeat(self, facts):
        self.serving.heartbeat(self.now(), facts)
        self.look()

    def look(self):
        """Judges anew; peers hear at once what has changed, and before anything else what takes traffic
        away."""
        before = self.serving.level
        changed = self.serving.update(
            self.now(),
            announcement.all_seen_elsewhere(self.described.services, [p.inbox for p in self.peers]),
        )
        if self.serving.level != before:
            for peer in self.peers:
                peer.tell()
        if changed:
            self.log.info("serves", level=self.serving.level, why=self.serving.reason, before=before)
        self.wake()

    def wake(self):
        """Sets the one timer to what is due first."""
        if self.timer is not None:
            self.timer.cancel()
        due = [
            t
            for t in (self.serving.next_change(self.now()), *(p.neighbor.next_timer() for p in self.peers))
            if t is not None
        ]
        wait = max(0.0, (min(due) - self.now()) / 1e9) if due else 1.0
        self.timer = self.loop.call_later(min(wait, 1.0), self._due)

    def _due(self):
        now = self.now()
        for peer in self.peers:
            peer.neighbor.check_timers(now)
        self.look()

    def figures(self):
        return {
            "level": self.serving.level,
            "why": self.serving.reason,
            "flaps": self.serving.withdrawals,
            "beats_wrong": self.heartbeats.wrong,
            "peers": {
                p.terms.name: {
                    "state": p.neighbor.state,
                    "why": p.neighbor.down_reason,
                    "routes": p.inbox.count,
                    "told": len(p.outbox.routes),
                    **p.neighbor.counts,
                }
                for p in self.peers
            },
        }

    async def close(self, text="the speaker ends"):
        """Takes everything back, says why, and goes."""
        if self.timer is not None:
            self.timer.cancel()
        for peer in self.peers:
            peer.neighbor.stop(self.now(), bgp.SHUTDOWN, text)
        if self.server is not None:
            self.server.stop()
        self.heartbeats.close()
        await asyncio.sleep(0.05)  # the last words go out
        for peer in self.peers:
            if peer.task is not None:
                peer.task.cancel()


class _Listener(Listener):
    """Takes connections of peers by their address."""

    def __init__(self, speaker):
        super().__init__()
        self.speaker = speaker

    async def handle_stream(self, stream, address):
        for peer in self.speaker.peers:
            if peer.terms.address[0] == address[0] and neighbor.Opener.PEER not in peer.streams:
                await peer.serve(stream, neighbor.Opener.PEER)
                return
        stream.close()
