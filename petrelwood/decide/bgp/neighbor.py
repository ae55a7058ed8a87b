"""The state machine of one BGP neighbour (RFC 4271, section 8), without I/O.

    idle -> connect -> (open sent -> open confirm) of each connection -> established

Two connections may be open for a short time, one opened by each side; one of them is closed. The owner
reports events, and calls `check_timers` at `next_timer()` or later. Times in ns of the local clock.
Connection attempts are delayed by a `Backoff`, which is reset after a session has lasted long enough.
"""

import struct
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Protocol

from petrelwood.decide.overload.backoff import Backoff
from petrelwood.wire import bgp

SECOND = 1_000_000_000
OPEN_TIMEOUT = 240 * SECOND  # for the peer's OPEN
STABLE_HOLD_TIMES = 3  # hold times that a session must last before the backoff is reset
KEEPALIVES_PER_HOLD = 3  # KEEPALIVEs sent per hold time
KEEPALIVE_JITTER = 0.25  # share of the interval by which it is shortened at random, against synchronization
MAX_ROUTES = 10_000  # default limit of routes accepted from a peer
MAX_BACKOFF = 60 * SECOND
REFRESH_SIZE = 4  # octets of a ROUTE-REFRESH
BAD_MESSAGE_LENGTH = 2  # subcode of a message header error (RFC 4271, 6.1)


class State(StrEnum):
    """The states of a session in their order; the strings are written to the status file."""

    IDLE = "idle"
    CONNECT = "connect"
    OPEN_SENT = "open sent"
    OPEN_CONFIRM = "open confirm"
    ESTABLISHED = "established"


STATES = tuple(State)


class Opener(StrEnum):
    """The side that opened a connection; it identifies the connection, as each side has at most one."""

    US = "ours"
    PEER = "theirs"


class NeighborTerms(NamedTuple):
    """The settings of the sessions with a neighbour."""

    asn: int
    peer_asn: int  # 0: any
    id: int  # our BGP identifier
    hold: int  # seconds
    families: Sequence[tuple[int, int]]  # pairs of address family and SAFI
    role: int | None = None  # RFC 9234
    passive: bool = False  # whether this side never connects
    max_routes: int = MAX_ROUTES  # routes accepted from the peer
    first_backoff: int = SECOND
    max_backoff: int = MAX_BACKOFF


class SessionOwner(Protocol):
    """The actions that a neighbour requests from its owner, and the events that it reports to it."""

    def connect(self) -> object:
        """Open a connection; the owner reports the result by `connection_made` or `connect_failed`."""

    def write(self, key: Opener, data: bytes, /) -> object:
        """Write to a connection."""

    def close(self, key: Opener, /) -> object:
        """Close a connection."""

    def session_established(self, found: bgp.Open, /) -> object:
        """Handle an established session; `found` is the peer's OPEN."""

    def session_ended(self, why: str, /) -> object:
        """Handle the end of the established session."""

    def update_received(self, update: bgp.Update, /) -> object:
        """Handle routes that the peer announces or withdraws."""

    def resend_routes(self, afi: int, /) -> object:
        """Send the routes of an address family again, at the peer's request."""


@dataclass(slots=True, eq=False)
class Connection:
    """One connection to the peer."""

    key: Opener
    opened_at: int  # later the time when its session was established
    hold_expires: int  # 0: never
    state: State = State.OPEN_SENT
    reader: bgp.Reader = field(default_factory=bgp.Reader)
    open: bgp.Open | None = None  # the peer's OPEN
    hold: int = 0  # seconds, as negotiated
    keepalive_due: int = 0  # 0: never

    def has_lasted(self, now: int) -> bool:
        """Return whether the session has lasted long enough to count as stable."""
        return self.hold > 0 and now - self.opened_at > STABLE_HOLD_TIMES * self.hold * SECOND


class Neighbor:
    """The sessions with one peer; `random_fraction()` returns a random number in [0, 1)."""

    def __init__(
        self, terms: NeighborTerms, owner: SessionOwner, random_fraction: Callable[[], float]
    ) -> None:
        self.terms = terms
        self.owner = owner
        self.random_fraction = random_fraction
        self.connections: dict[Opener, Connection] = {}
        self.running = False
        self.connecting = False
        self.retry_at = 0
        self.backoff = Backoff(terms.first_backoff, terms.max_backoff, random_fraction)
        self.counts = {"up": 0, "down": 0, "updates": 0, "notes": 0, "collisions": 0, "refused": 0}
        self.down_reason = ""  # why there is no session; empty while there is one

    @property
    def state(self) -> State:
        """The state of the most advanced connection."""
        states = [connection.state for connection in self.connections.values()]
        none = State.CONNECT if self.running and self.connecting else State.IDLE
        return max(states, key=STATES.index, default=none)

    @property
    def established(self) -> Connection | None:
        """The connection of the established session, or None."""
        for connection in self.connections.values():
            if connection.state is State.ESTABLISHED:
                return connection
        return None

    # Events reported by the owner
    def start(self, now: int) -> None:
        """Start to connect to the peer, and to accept its connections."""
        self.running = True
        self.retry_at = now
        self.check_timers(now)

    def stop(self, now: int, subcode: int = bgp.SHUTDOWN, text: str = "") -> None:
        """End all connections with a CEASE; make no further attempts until `start`."""
        self.running = False
        self.connecting = False
        for connection in list(self.connections.values()):
            data = bgp.shutdown_text(text) if text else b""
            self._end(now, connection, bgp.Wrong(bgp.CEASE, subcode, text or "stopped on this side", data))

    def connection_made(self, now: int, key: Opener) -> bool:
        """Handle an opened connection; return whether it is used, otherwise the owner must close it."""
        if key is Opener.US:
            self.connecting = False
        if not self.running or key in self.connections or self.established is not None:
            self.counts["refused"] += 1
            return False
        self.connections[key] = Connection(key, now, now + OPEN_TIMEOUT)
        terms = self.terms
        message = bgp.open_message(terms.asn, terms.hold, terms.id, terms.families, terms.role)
        self.owner.write(key, message)
        return True

    def connect_failed(self, now: int) -> None:
        """Handle a failed connection attempt of this side."""
        self.connecting = False
        self.retry_at = self.backoff.failed(now)

    def connection_lost(self, now: int, key: Opener, why: str = "the connection broke") -> None:
        """Handle a connection that was closed or lost."""
        connection = self.connections.get(key)
        if connection is not None:
            self._close(now, connection, why)

    def data_received(self, now: int, key: Opener, data: bytes) -> None:
        """Handle bytes that were read from a connection."""
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
        except struct.error:  # shorter than its message type requires, with no specific error code
            self._end(
                now,
                connection,
                bgp.Wrong(bgp.HEADER_ERROR, BAD_MESSAGE_LENGTH, "a message is too short"),
            )

    def route_limit_exceeded(self, now: int) -> None:
        """End the session, because the peer has announced more routes than are accepted."""
        connection = self.established
        if connection is not None:
            self._end(
                now, connection, bgp.Wrong(bgp.CEASE, bgp.PREFIXES, f"over {self.terms.max_routes} routes")
            )

    # Timers
    def check_timers(self, now: int) -> None:
        """Perform the actions that are due: expire hold times, send KEEPALIVEs, connect."""
        for connection in list(self.connections.values()):
            if connection.hold_expires and now >= connection.hold_expires:
                fault = bgp.Wrong(bgp.HOLD_EXPIRED, 0, "nothing was received for the hold time")
                self._end(now, connection, fault)
            elif connection.keepalive_due and now >= connection.keepalive_due:
                self._send_keepalive(now, connection)
        session = self.established
        if session is not None and self.backoff.failures and session.has_lasted(now):
            self.backoff.succeeded()
        if self._wants_connection() and now >= self.retry_at:
            self.connecting = True
            self.owner.connect()

    def next_timer(self) -> int | None:
        """Return when the next action of `check_timers` is due, or None."""
        times = []
        for connection in self.connections.values():
            times += [time for time in (connection.hold_expires, connection.keepalive_due) if time]
        if self._wants_connection():
            times.append(self.retry_at)
        return min(times, default=None)

    def _wants_connection(self) -> bool:
        return self.running and not self.connections and not self.connecting and not self.terms.passive

    def _send_keepalive(self, now: int, connection: Connection) -> None:
        self.owner.write(connection.key, bgp.KEEPALIVE_MESSAGE)
        connection.keepalive_due = 0
        if connection.hold:
            interval = connection.hold * SECOND / KEEPALIVES_PER_HOLD
            connection.keepalive_due = now + int(interval * (1 - KEEPALIVE_JITTER * self.random_fraction()))

    # Messages
    def _message(self, now: int, connection: Connection, kind: int, body: bytes) -> None:
        if kind == bgp.NOTIFICATION:
            found = bgp.read_notification(body)
            why = f"the peer closed the session: {found.code}/{found.sub} {found.text()}".strip()
            self._close(now, connection, why)
        elif connection.state is State.OPEN_SENT:
            if kind != bgp.OPEN:
                raise bgp.Wrong(bgp.FSM_ERROR, 1, f"a {bgp.NAMES[kind]} came before the OPEN")
            self._on_open(now, connection, bgp.read_open(body))
        elif connection.state is State.OPEN_CONFIRM:
            if kind != bgp.KEEPALIVE:
                raise bgp.Wrong(bgp.FSM_ERROR, 2, f"a {bgp.NAMES[kind]} came before the first KEEPALIVE")
            self._establish(now, connection)
        else:
            self._session_message(now, connection, kind, body)

    def _session_message(self, now: int, connection: Connection, kind: int, body: bytes) -> None:
        if connection.hold:
            connection.hold_expires = now + connection.hold * SECOND
        if kind == bgp.UPDATE:
            has_four_octets = connection.open is not None and connection.open.four
            update = bgp.read_update(body, has_four_octets)
            self.counts["updates"] += 1
            self.counts["notes"] += len(update.notes)
            self.owner.update_received(update)
        elif kind == bgp.REFRESH:
            if len(body) == REFRESH_SIZE:
                afi, _, _ = struct.unpack("!HBB", body)
                self.owner.resend_routes(afi)
        elif kind == bgp.OPEN:
            raise bgp.Wrong(bgp.FSM_ERROR, 3, "an OPEN was received in an established session")

    def _on_open(self, now: int, connection: Connection, found: bgp.Open) -> None:
        self._check_open(found)
        connection.open = found
        connection.hold = min(self.terms.hold, found.hold)
        if self._loses_collision(now, connection, found):
            return
        if found.extended:
            connection.reader.most = bgp.EXTENDED
        connection.state = State.OPEN_CONFIRM
        connection.hold_expires = now + (connection.hold * SECOND or OPEN_TIMEOUT)
        self._send_keepalive(now, connection)

    def _check_open(self, found: bgp.Open) -> None:
        """Raise `bgp.Wrong` if the peer's OPEN does not match the terms."""
        terms = self.terms
        if terms.peer_asn and found.asn != terms.peer_asn:
            raise bgp.Wrong(
                bgp.OPEN_ERROR, 2, f"the peer has AS {found.asn}, but {terms.peer_asn} was expected"
            )
        if found.id == terms.id and found.asn == terms.asn:
            raise bgp.Wrong(bgp.OPEN_ERROR, 3, "the peer has this speaker's own identifier")
        if terms.role is not None and found.role is not None and (terms.role, found.role) not in bgp.AGREE:
            raise bgp.Wrong(bgp.OPEN_ERROR, 11, f"roles {terms.role} and {found.role} are incompatible")

    def _loses_collision(self, now: int, connection: Connection, found: bgp.Open) -> bool:
        """End one of two connections, if there are two; return whether it is this one.

        The connection opened by the side with the higher identifier is kept (RFC 4271, 6.8; RFC 6286 for
        equal identifiers), unless a session is already established.
        """
        others = (each for each in self.connections.values() if each is not connection)
        other = next((each for each in others if each.state is not State.OPEN_SENT), None)
        if other is None:
            return False
        self.counts["collisions"] += 1
        is_higher = (self.terms.id, self.terms.asn) > (found.id, found.asn)
        winner = Opener.US if is_higher else Opener.PEER
        loses = other.state is State.ESTABLISHED or other.key is winner
        self._end_duplicate(now, connection if loses else other)
        return loses

    def _establish(self, now: int, connection: Connection) -> None:
        connection.state = State.ESTABLISHED
        connection.opened_at = now
        connection.hold_expires = now + connection.hold * SECOND if connection.hold else 0
        for other in [each for each in self.connections.values() if each is not connection]:
            self._end_duplicate(now, other)
        self.counts["up"] += 1
        self.down_reason = ""
        if connection.open is not None:
            self.owner.session_established(connection.open)

    # Closing
    def _end_duplicate(self, now: int, connection: Connection) -> None:
        fault = bgp.Wrong(bgp.CEASE, bgp.COLLISION, "another connection is kept")
        self._end(now, connection, fault, is_failure=False)

    def _end(self, now: int, connection: Connection, fault: bgp.Wrong, is_failure: bool = True) -> None:
        """End a connection with a NOTIFICATION."""
        self.owner.write(connection.key, bgp.notification(fault.code, fault.sub, fault.data))
        self._close(now, connection, str(fault), is_failure)

    def _close(self, now: int, connection: Connection, why: str, is_failure: bool = True) -> None:
        self.connections.pop(connection.key, None)
        self.owner.close(connection.key)
        if is_failure and not self.connections:
            self.retry_at = self.backoff.failed(now)
            self.down_reason = why
        if connection.state is State.ESTABLISHED:
            self.counts["down"] += 1
            self.owner.session_ended(why)
