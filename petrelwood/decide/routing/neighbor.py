"""The state machine of one BGP neighbour (RFC 4271, section 8), free of I/O: two connections may stand for a
while, one is kept.

    idle -> connect -> (open sent -> open confirm) of each connection -> established

Who drives it tells it what happens and, at `due()` or later, calls `check`. It does through `out`:
`connect()`, `write(key, bytes)`, `close(key)`, `up(open)`, `down(why)`, `heard(update)`, `refresh(afi)`.
`key` names a connection: OURS, which we opened, or THEIRS. Times in ns of our own clock.

What oscillates waits longer each time before it is tried again (a `Backoff`), and forgets that once a session
has held."""

import struct

from petrelwood.decide.overload.backoff import Backoff
from petrelwood.wire import bgp

SECOND = 1_000_000_000
OURS, THEIRS = "ours", "theirs"
IDLE, CONNECT, OPEN_SENT, OPEN_CONFIRM, ESTABLISHED = (
    "idle",
    "connect",
    "open sent",
    "open confirm",
    "established",
)
OPENS_WITHIN = 240  # s that an OPEN may take
LASTS = 3  # hold times after which a session counts as good


class Terms:
    """`asn`, `peer_asn` (0: any), `id` (a number), `hold` in s, `families`, `role` or None, `passive`: never
    connects itself; `most`: routes that are taken from the peer; `first`, `longest`: ns between tries to
    connect."""

    def __init__(
        self,
        asn,
        peer_asn,
        id_,
        hold,
        families,
        role=None,
        passive=False,
        most=10_000,
        first=SECOND,
        longest=60 * SECOND,
    ):
        self.asn, self.peer_asn, self.id, self.hold, self.families = asn, peer_asn, id_, hold, families
        self.role, self.passive, self.most, self.first, self.longest = role, passive, most, first, longest


class Connection:
    def __init__(self, key, now):
        self.key, self.state, self.reader, self.open = key, OPEN_SENT, bgp.Reader(), None
        self.four, self.hold, self.hold_until, self.keep_at, self.begun = (
            False,
            0,
            now + OPENS_WITHIN * SECOND,
            0,
            now,
        )


class Neighbor:
    """`chance()` draws in [0, 1)."""

    def __init__(self, terms, out, chance):
        self.terms, self.out, self.chance = terms, out, chance
        self.connections, self.running, self.connecting, self.retry_at, self.routes = {}, False, False, 0, 0
        self.backoff = Backoff(terms.first, terms.longest, chance)
        self.counts = {"up": 0, "down": 0, "updates": 0, "notes": 0, "collisions": 0, "refused": 0}
        self.why = ""

    @property
    def state(self):
        order = (IDLE, CONNECT, OPEN_SENT, OPEN_CONFIRM, ESTABLISHED)
        found = [c.state for c in self.connections.values()]
        return max(found, key=order.index, default=CONNECT if self.running and self.connecting else IDLE)

    @property
    def established(self):
        return next((c for c in self.connections.values() if c.state == ESTABLISHED), None)

    # What its owner tells.
    def start(self, now):
        self.running, self.retry_at = True, now
        self.check(now)

    def stop(self, now, sub=bgp.SHUTDOWN, text=""):
        """Ends every connection with a CEASE; nothing is tried again until `start`."""
        self.running, self.connecting = False, False
        for connection in list(self.connections.values()):
            self._end(
                now,
                connection,
                bgp.Wrong(bgp.CEASE, sub, text or "stopped here", bgp.shutdown_text(text) if text else b""),
            )

    def connected(self, now, key):
        """A connection stands, by us or by the peer. False where it may not: it is to be closed."""
        if key == OURS:
            self.connecting = False
        if not self.running or key in self.connections or self.established is not None:
            self.counts["refused"] += 1
            return False
        self.connections[key] = Connection(key, now)
        terms = self.terms
        self.out.write(key, bgp.open_message(terms.asn, terms.hold, terms.id, terms.families, terms.role))
        return True

    def failed(self, now):
        """Our try to connect came to nothing."""
        self.connecting = False
        self.retry_at = self.backoff.failed(now)

    def lost(self, now, key, why="the connection broke"):
        connection = self.connections.get(key)
        if connection is not None:
            self._gone(now, connection, why)

    def data(self, now, key, data):
        """Bytes from a connection."""
        connection = self.connections.get(key)
        if connection is None:
            return
        try:
            for kind, body in connection.reader.feed(data):
                self._message(now, connection, kind, body)
                if self.connections.get(key) is not connection:
                    return
        except bgp.Wrong as fault:
            self._end(now, connection, fault)
        # shorter than its kind has to be, in a way no rule names
        except struct.error:
            self._end(now, connection, bgp.Wrong(bgp.HEADER_ERROR, 2, "a message that is cut short"))

    def check(self, now):
        for connection in list(self.connections.values()):
            if connection.hold_until and now >= connection.hold_until:
                self._end(
                    now, connection, bgp.Wrong(bgp.HOLD_EXPIRED, 0, "nothing was heard for the hold time")
                )
            elif connection.keep_at and now >= connection.keep_at:
                self.out.write(connection.key, bgp.KEEPALIVE_MESSAGE)
                self._keeps(now, connection)
        held = self.established
        if (
            held is not None
            and self.backoff.failures
            and held.hold
            and now - held.begun > LASTS * held.hold * SECOND
        ):
            self.backoff.succeeded()
        if (
            self.running
            and not self.connections
            and not self.connecting
            and not self.terms.passive
            and now >= self.retry_at
        ):
            self.connecting = True
            self.out.connect()

    def due(self):
        """When `check` has something to do, or None."""
        found = [t for c in self.connections.values() for t in (c.hold_until, c.keep_at) if t]
        if self.running and not self.connections and not self.connecting and not self.terms.passive:
            found.append(self.retry_at)
        return min(found, default=None)

    # Messages.
    def _message(self, now, connection, kind, body):
        if kind == bgp.NOTIFICATION:
            told = bgp.read_notification(body)
            self._gone(now, connection, f"the peer ended it: {told.code}/{told.sub} {told.text()}".strip())
            return
        if connection.state == OPEN_SENT:
            if kind != bgp.OPEN:
                raise bgp.Wrong(bgp.FSM_ERROR, 1, f"a {bgp.NAMES[kind]} before the OPEN")
            self._opened(now, connection, bgp.read_open(body))
            return
        if connection.state == OPEN_CONFIRM:
            if kind != bgp.KEEPALIVE:
                raise bgp.Wrong(bgp.FSM_ERROR, 2, f"a {bgp.NAMES[kind]} before the first KEEPALIVE")
            self._established(now, connection)
            return
        if connection.hold:
            connection.hold_until = now + connection.hold * SECOND
        if kind == bgp.UPDATE:
            update = bgp.read_update(body, connection.four)
            self.counts["updates"] += 1
            self.counts["notes"] += len(update.notes)
            self.out.heard(update)
        elif kind == bgp.REFRESH:
            if len(body) == 4:
                self.out.refresh(struct.unpack("!HBB", body)[0])
        elif kind == bgp.OPEN:
            raise bgp.Wrong(bgp.FSM_ERROR, 3, "an OPEN in an established session")

    def too_many(self, now):
        """The peer has sent more routes than are taken from it."""
        held = self.established
        if held is not None:
            self._end(now, held, bgp.Wrong(bgp.CEASE, bgp.PREFIXES, f"over {self.terms.most} routes"))

    def _opened(self, now, connection, found):
        terms = self.terms
        if terms.peer_asn and found.asn != terms.peer_asn:
            raise bgp.Wrong(bgp.OPEN_ERROR, 2, f"AS {found.asn}, and {terms.peer_asn} was expected")
        if found.id == terms.id and found.asn == terms.asn:
            raise bgp.Wrong(bgp.OPEN_ERROR, 3, "the peer has our own identifier")
        if terms.role is not None and found.role is not None and (terms.role, found.role) not in bgp.AGREE:
            raise bgp.Wrong(bgp.OPEN_ERROR, 11, f"roles {terms.role} and {found.role} do not go together")
        connection.open, connection.four = found, found.four
        connection.hold = min(terms.hold, found.hold)
        if self._loses(now, connection, found):
            return
        if found.extended:
            connection.reader.most = bgp.EXTENDED
        connection.state = OPEN_CONFIRM
        connection.hold_until = now + (connection.hold or OPENS_WITHIN) * SECOND
        self.out.write(connection.key, bgp.KEEPALIVE_MESSAGE)
        self._keeps(now, connection)

    def _loses(self, now, connection, found):
        """Of two connections the one stays that was opened by the higher identifier (RFC 4271, 6.8; RFC 6286
        where they are equal)."""
        other = next(
            (c for c in self.connections.values() if c is not connection and c.state != OPEN_SENT), None
        )
        if other is None:
            return False
        self.counts["collisions"] += 1
        mine = (self.terms.id, self.terms.asn) > (found.id, found.asn)
        stays = (
            other
            if other.state == ESTABLISHED
            else next(c for c in (connection, other) if c.key == (OURS if mine else THEIRS))
        )
        goes = connection if stays is other else other
        self._end(now, goes, bgp.Wrong(bgp.CEASE, bgp.COLLISION, "another connection is kept"), quiet=True)
        return goes is connection

    def _established(self, now, connection):
        connection.state, connection.begun, self.routes = ESTABLISHED, now, 0
        connection.hold_until = now + connection.hold * SECOND if connection.hold else 0
        for other in [c for c in self.connections.values() if c is not connection]:
            self._end(
                now, other, bgp.Wrong(bgp.CEASE, bgp.COLLISION, "another connection is kept"), quiet=True
            )
        self.counts["up"] += 1
        self.why = ""
        self.out.up(connection.open)

    def _keeps(self, now, connection):
        """KEEPALIVEs go at a third of the hold time, drawn down by up to a quarter so that those of many do
        not fall together."""
        connection.keep_at = (
            now + int(connection.hold * SECOND / 3 * (1 - 0.25 * self.chance())) if connection.hold else 0
        )

    # Ends.
    def _end(self, now, connection, fault, quiet=False):
        self.out.write(connection.key, bgp.notification(fault.code, fault.sub, fault.data))
        self._gone(now, connection, str(fault), quiet)

    def _gone(self, now, connection, why, quiet=False):
        self.connections.pop(connection.key, None)
        self.out.close(connection.key)
        if not quiet and not self.connections:
            self.retry_at, self.why = self.backoff.failed(now), why
        if connection.state == ESTABLISHED:
            self.counts["down"] += 1
            self.out.down(why)
