"""The speaker on Tornado's sockets: a `Neighbor` per peer, the dispatcher's heartbeats, and the routes sent.

Its event loop does nothing else, so that KEEPALIVEs leave in time however busy the dispatcher is. It never
changes the kernel's routes.
"""

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
MAX_UNSENT = 1 << 20  # octets that may be queued for one connection of a peer
CONNECT_TIMEOUT = 5  # seconds
IP_MINTTL, IPV6_MINHOPCOUNT = 21, 73  # Linux socket options that the `socket` module lacks


def enable_ttl_security(sock, far):
    """Send with the highest TTL, and accept only packets that arrive with it (RFC 5082).

    A packet from off the link has a lower one. `far`: the peer isn't on the link, so nothing is set.
    """
    if far:
        return
    try:
        if sock.family == socket.AF_INET6:
            sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_UNICAST_HOPS, 255)
            sock.setsockopt(socket.IPPROTO_IPV6, IPV6_MINHOPCOUNT, 255)
        else:
            sock.setsockopt(socket.IPPROTO_IP, socket.IP_TTL, 255)
            sock.setsockopt(socket.IPPROTO_IP, IP_MINTTL, 255)
    except OSError:  # not every system has these options
        pass


class Peer:
    """One peer's connections and routes; receives the calls of its `Neighbor`.

    `streams` and `unsent` (octets queued) have an entry per connection, by who opened it.
    """

    def __init__(self, speaker, terms):
        self.speaker, self.terms, self.streams, self.task, self.unsent = speaker, terms, {}, None, {}
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
            speaker.rng.random,
        )
        self.outbox, self.inbox = (
            announcement.AnnouncedRoutes(described.asn),
            announcement.ReceivedRoutes(described.services, terms.max_routes),
        )
        self.max_size, self.four = bgp.MAX_SIZE, True

    # Called by the neighbor
    def connect(self):
        """Open a connection to the peer."""
        self.task = self.speaker.loop.create_task(self._connect())

    async def _connect(self):
        host, port = self.terms.address
        stream = None
        try:
            sock = sockets.new_socket(host)
            enable_ttl_security(sock, self.terms.far)
            stream = IOStream(sock)
            # not `wait_for`, which loses a cancellation that arrives as the connection is established
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await stream.connect((host, port))
        except (TimeoutError, OSError):
            if stream is not None:
                stream.close()
            self.neighbor.connect_failed(self.speaker.now())
            self.speaker.reschedule()
            return
        await self.serve(stream, neighbor.Opener.US)

    async def serve(self, stream, key):
        """Read one connection until it ends. `key`: which side opened it."""
        sockets.disable_delay(stream.socket)
        if key in self.streams:
            stream.close()
            return
        self.streams[key] = stream
        if not self.neighbor.connection_made(self.speaker.now(), key):
            self.close(key)
            return
        self.speaker.reschedule()
        try:
            while self.streams.get(key) is stream:
                data = await stream.read_bytes(65_536, partial=True)
                self.neighbor.data_received(self.speaker.now(), key, data)
                self.speaker.reschedule()
        except OSError:  # a socket error or Tornado's StreamClosedError
            pass
        if self.streams.get(key) is stream:
            self.neighbor.connection_lost(self.speaker.now(), key)
            self.speaker.reschedule()

    def write(self, key, data):
        """Send data on a connection; close a connection whose queue exceeds `MAX_UNSENT`."""
        stream = self.streams.get(key)
        if stream is None or stream.closed():
            return
        if self.unsent.get(key, 0) > MAX_UNSENT:
            self.speaker.log.warning(
                "closed the connection of a peer that does not read", peer=self.terms.name
            )
            stream.close()
            return
        self.unsent[key] = self.unsent.get(key, 0) + len(data)
        stream.write(data).add_done_callback(lambda done: self._written(key, len(data), done))

    def _written(self, key, size, done):
        done.exception()
        if key in self.unsent:
            self.unsent[key] -= size

    def close(self, key):
        """Close a connection once its last message is written, after 0.2 s at most."""
        stream = self.streams.pop(key, None)
        self.unsent.pop(key, None)
        if stream is not None and not stream.closed():
            if stream.writing():  # leaves time to send a NOTIFICATION
                self.speaker.loop.call_later(0.2, stream.close)
            else:
                stream.close()

    def session_established(self, found):
        """Send all routes on a new session. `found`: the peer's OPEN."""
        held = self.neighbor.established
        self.four, self.max_size = found.four, bgp.MAX_EXTENDED_SIZE if found.extended else bgp.MAX_SIZE
        ours = {(s.prefix[0], bgp.UNICAST) for s in self.speaker.described.services}
        self.inbox.reset()
        self.outbox.reset([f for f in found.families if f in ours])
        self.speaker.log.info("peer up", peer=self.terms.name, asn=found.asn, hold=held.hold, four=found.four)
        self.send_route_changes()
        # End-of-RIB marks the end of the initial routes; RFC 4724 has it sent whether or not the peer
        # announced graceful restart
        for afi in self.outbox.families:
            self.write(
                held.key,
                bgp.END_OF_RIB if afi == bgp.IPV4 else bgp.message(bgp.UPDATE, b"\0\0\0\6\x80\x0f\x03\0\2\1"),
            )

    def session_ended(self, why):
        """Forget the routes of the session that ended."""
        self.inbox.reset()
        self.outbox.reset()
        self.speaker.log.warning("peer down", peer=self.terms.name, why=why)
        self.speaker.update_level()

    def update_received(self, update):
        """Apply the peer's routes; end the session when they exceed its limit."""
        for note in update.notes:
            self.speaker.log.info("received a malformed update", peer=self.terms.name, what=note)
        if not self.inbox.apply(update):
            self.neighbor.route_limit_exceeded(self.speaker.now())
        else:
            self.speaker.update_level()

    def resend_routes(self, afi):
        """Send all routes of an address family again, as the peer's ROUTE-REFRESH asks."""
        self.outbox.forget_family(afi)
        self.send_route_changes()

    def send_route_changes(self):
        """Send the peer what has changed since it was last sent routes."""
        held = self.neighbor.established
        if held is None:
            return
        groups, withdrawn = self.outbox.changes(self.speaker.described.services, self.speaker.serving.level)
        messages = bgp.updates((), None, withdrawn, self.four, self.max_size)
        for attrs, prefixes in groups:
            messages += bgp.updates(prefixes, attrs, (), self.four, self.max_size)
        if messages:
            self.write(held.key, b"".join(messages))


class Speaker:
    """The speaker of one process. `described`: its settings, a `settings.speaker.Speaker`."""

    def __init__(self, described, log, seed=None):
        self.described, self.log, self.loop = described, log, asyncio.get_running_loop()
        self.rng = random.Random(described.id if seed is None else seed)
        self.serving = service_health.ServiceHealth(described.bounds, self.now())
        self.peers = [Peer(self, terms) for terms in described.peers]
        self.timer, self.server, self.heartbeats = None, None, None

    now = staticmethod(time.monotonic_ns)

    def open(self):
        """Start listening and connecting; return the address listened on, or None."""
        described, address = self.described, None
        self.heartbeats = HeartbeatReceiver(described.health, self.loop, self._heartbeat)
        if described.listen is not None:
            self.server = _Listener(self)
            listening = bind_sockets(described.listen[1], described.listen[0], family=socket.AF_UNSPEC)
            for sock in listening:
                enable_ttl_security(sock, all(p.terms.far for p in self.peers))
            self.server.add_sockets(listening)
            address = listening[0].getsockname()[:2]
        for peer in self.peers:
            peer.neighbor.start(self.now())
        self.reschedule()
        return address

    def _heartbeat(self, report):
        self.serving.heartbeat(self.now(), report)
        self.update_level()

    def update_level(self):
        """Reassess the dispatcher's health; if the level changed, send the new routes at once.

        Each peer is sent withdrawals first, because they take traffic away from an unhealthy dispatcher.
        """
        before = self.serving.level
        changed = self.serving.update(
            self.now(),
            announcement.all_seen_elsewhere(self.described.services, [p.inbox for p in self.peers]),
        )
        if self.serving.level != before:
            for peer in self.peers:
                peer.send_route_changes()
        if changed:
            self.log.info("serves", level=self.serving.level, why=self.serving.reason, before=before)
        self.reschedule()

    def reschedule(self):
        """Set the timer to the earliest deadline of the peers and of the health, in one second at most."""
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
        self.update_level()

    def figures(self):
        """Return the figures of the status file and of the `closed` log line."""
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
        """Withdraw all routes, end the sessions with `text` as the reason, and close all sockets."""
        if self.timer is not None:
            self.timer.cancel()
        for peer in self.peers:
            peer.neighbor.stop(self.now(), bgp.SHUTDOWN, text)
        if self.server is not None:
            self.server.stop()
        self.heartbeats.close()
        await asyncio.sleep(0.05)  # leaves time to send the NOTIFICATIONs
        for peer in self.peers:
            if peer.task is not None:
                peer.task.cancel()


class _Listener(Listener):
    """Accepts connections of configured peers, recognised by their address; closes others."""

    def __init__(self, speaker):
        super().__init__()
        self.speaker = speaker

    async def handle_stream(self, stream, address):
        for peer in self.speaker.peers:
            if peer.terms.address[0] == address[0] and neighbor.Opener.PEER not in peer.streams:
                await peer.serve(stream, neighbor.Opener.PEER)
                return
        stream.close()
