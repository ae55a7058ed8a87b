"""Encodes and decodes BGP-4 messages, without I/O.

RFC 4271, 4760 (IPv6), 5492 (capabilities), 6793 (four-octet AS numbers), 1997 (communities), 2918 (route
refresh), 4724 and 8538 (graceful restart, read only), 8654 (extended messages), 9003 (shutdown text), 9234
(roles), and 7606: an update with malformed attributes withdraws its routes instead of ending the session.

A prefix is (afi, network bytes, length). An error that must end the session raises `BgpError`, which holds
the fields of the NOTIFICATION to send.
"""

import ipaddress
import struct
from typing import NamedTuple

OPEN, UPDATE, NOTIFICATION, KEEPALIVE, REFRESH = 1, 2, 3, 4, 5
NAMES = {
    OPEN: "OPEN",
    UPDATE: "UPDATE",
    NOTIFICATION: "NOTIFICATION",
    KEEPALIVE: "KEEPALIVE",
    REFRESH: "ROUTE-REFRESH",
}
MARKER, HEADER_SIZE, MAX_SIZE, MAX_EXTENDED_SIZE = b"\xff" * 16, 19, 4096, 65535  # octets of a whole message
MIN_SIZES = {OPEN: 29, UPDATE: 23, NOTIFICATION: 21, KEEPALIVE: 19, REFRESH: 23}
# error codes of a NOTIFICATION
HEADER_ERROR, OPEN_ERROR, UPDATE_ERROR, HOLD_EXPIRED, FSM_ERROR, CEASE = 1, 2, 3, 4, 5, 6
# subcodes of CEASE
PREFIXES, SHUTDOWN, RESET, REJECTED, COLLISION, RESOURCES, HARD = 1, 2, 4, 5, 7, 8, 9
# capability codes: multiprotocol, route refresh, extended messages, role, graceful restart, four-octet AS
MP, REFRESHES, EXTENDS, ROLE, RESTARTS, FOUR = 1, 2, 6, 9, 64, 65
# path attribute types
(
    ORIGIN,
    AS_PATH,
    NEXT_HOP,
    MED,
    LOCAL_PREF,
    ATOMIC,
    AGGREGATOR,
    COMMUNITIES,
    REACH,
    UNREACH,
    AS4_PATH,
    AS4_AGG,
    OTC,
) = (1, 2, 3, 4, 5, 6, 7, 8, 14, 15, 17, 18, 35)
WELL_KNOWN = {ORIGIN, AS_PATH, NEXT_HOP, LOCAL_PREF, ATOMIC}
IPV4, IPV6, UNICAST, AS_TRANS = 1, 2, 1, 23456
BITS = {IPV4: 32, IPV6: 128}  # bits of an address
SEQUENCE, SET = 2, 1  # types of a path segment
GRACEFUL_SHUTDOWN = 0xFFFF0000  # RFC 8326
PROVIDER, RS, RS_CLIENT, CUSTOMER, PEER = range(5)  # roles, RFC 9234
# pairs of local and remote role that are compatible
AGREE = {(PROVIDER, CUSTOMER), (CUSTOMER, PROVIDER), (RS, RS_CLIENT), (RS_CLIENT, RS), (PEER, PEER)}


class BgpError(Exception):
    """An error that ends the session: `code`, `sub` (subcode) and `data` of the NOTIFICATION to send."""

    def __init__(self, code, sub, text, data=b""):
        super().__init__(text)
        self.code, self.sub, self.data = code, sub, data


class Open(NamedTuple):
    """A decoded OPEN."""

    asn: int  # the four-octet number if the peer sent one
    hold: int  # hold time in seconds
    id: int
    families: tuple  # ((afi, safi), ...)
    four: bool  # whether the peer supports four-octet AS numbers
    extended: bool  # whether it supports messages of over 4096 octets
    refresh: bool  # whether it supports ROUTE-REFRESH
    role: object  # or None
    restart: object  # (flags, seconds) of graceful restart, or None


class Attrs(NamedTuple):
    """The path attributes that announced prefixes share."""

    origin: int
    path: tuple  # ((SEQUENCE or SET, (AS number, ...)), ...)
    next_hop: bytes  # 4 or 16 octets
    med: int | None
    communities: tuple


class Update(NamedTuple):
    """A decoded UPDATE."""

    withdrawn: tuple  # prefixes
    announced: tuple  # prefixes
    attrs: Attrs | None  # None if nothing is announced
    notes: tuple  # descriptions of errors that don't end the session


class Notification(NamedTuple):
    """A decoded NOTIFICATION."""

    code: int
    sub: int
    data: bytes

    def text(self):
        """Return the peer's shutdown text with unprintable characters replaced, or "" if it sent none."""
        if (
            self.code == CEASE
            and self.sub in (SHUTDOWN, RESET)
            and self.data
            and self.data[0] <= len(self.data) - 1
        ):
            return "".join(
                c if c.isprintable() else "?"
                for c in self.data[1 : 1 + self.data[0]].decode("utf-8", "replace")
            )
        return ""


def parse_prefix(text):
    """Return the prefix of a text such as "192.0.2.0/24"; raise `ValueError` if it is none."""
    net = ipaddress.ip_network(text)
    return IPV4 if net.version == 4 else IPV6, net.network_address.packed, net.prefixlen


def format_prefix(prefix):
    """Return a prefix as text, such as "192.0.2.0/24"."""
    return f"{ipaddress.ip_address(prefix[1])}/{prefix[2]}"


def message(kind, body=b"", max_size=MAX_SIZE):
    """Return a whole message; raise `ValueError` if it exceeds `max_size` octets."""
    size = HEADER_SIZE + len(body)
    if size > max_size:
        raise ValueError(f"a {NAMES[kind]} of {size} octets, where {max_size} are allowed")
    return MARKER + struct.pack("!HB", size, kind) + body


def _capability(code, value=b""):
    return bytes((code, len(value))) + value


def open_message(asn, hold, id_, families, role=None, extended=True):
    """Return an OPEN."""
    caps = b"".join(_capability(MP, struct.pack("!HBB", afi, 0, safi)) for afi, safi in families)
    caps += _capability(REFRESHES) + _capability(FOUR, struct.pack("!I", asn))
    caps += (_capability(EXTENDS) if extended else b"") + (
        _capability(ROLE, bytes((role,))) if role is not None else b""
    )
    options = bytes((2, len(caps))) + caps
    return message(
        OPEN, struct.pack("!BHHIB", 4, asn if asn < 65536 else AS_TRANS, hold, id_, len(options)) + options
    )


def notification(code, sub=0, data=b""):
    """Return a NOTIFICATION; data that doesn't fit is cut."""
    return message(NOTIFICATION, bytes((code, sub)) + data[: MAX_SIZE - HEADER_SIZE - 2])


def shutdown_text(text):
    """Return the data of a shutdown NOTIFICATION, its text cut to 255 octets (RFC 9003)."""
    raw = text.encode()[:255]
    while True:
        try:
            raw.decode()
            return bytes((len(raw),)) + raw
        except UnicodeDecodeError:  # the cut falls inside a character
            raw = raw[:-1]


KEEPALIVE_MESSAGE = message(KEEPALIVE)


class Reader:
    """Splits a byte stream into messages.

    `max_size`: the largest message accepted, in octets; its owner raises it to `MAX_EXTENDED_SIZE` once both
    sides support extended messages.
    """

    def __init__(self):
        self.data, self.max_size = bytearray(), MAX_SIZE

    def feed(self, data):
        """Add data, and yield (kind, body) of each complete message; raise `BgpError` for a bad header."""
        self.data += data
        while len(self.data) >= HEADER_SIZE:
            if self.data[:16] != MARKER:
                raise BgpError(HEADER_ERROR, 1, "the marker is not all ones")
            size, kind = struct.unpack_from("!HB", self.data, 16)
            max_size = MAX_SIZE if kind in (OPEN, KEEPALIVE) else self.max_size
            if kind not in MIN_SIZES:
                raise BgpError(HEADER_ERROR, 3, f"no message is of kind {kind}", bytes((kind,)))
            if not MIN_SIZES[kind] <= size <= max_size or kind == KEEPALIVE and size != HEADER_SIZE:
                raise BgpError(HEADER_ERROR, 2, f"a {NAMES[kind]} of {size} octets", struct.pack("!H", size))
            if len(self.data) < size:
                return
            body = bytes(self.data[HEADER_SIZE:size])
            del self.data[:size]
            yield kind, body


def read_open(body):
    """Return the `Open` of a message body; raise `BgpError` if it is malformed."""
    version, asn, hold, id_, size = struct.unpack_from("!BHHIB", body)
    if version != 4:
        raise BgpError(OPEN_ERROR, 1, f"version {version}", struct.pack("!H", 4))
    options = body[10:]
    if size == 255 and options[:1] == b"\xff" and len(options) >= 3:  # RFC 9072
        size, options, wide = struct.unpack_from("!H", options, 1)[0], options[3:], True
    else:
        wide = False
    if size != len(options):
        raise BgpError(OPEN_ERROR, 0, "the options' length is off")
    caps, head = {}, 3 if wide else 2
    while options:
        if len(options) < head:
            raise BgpError(OPEN_ERROR, 0, "an option is cut short")
        kind, length = options[0], struct.unpack_from("!H", options, 1)[0] if wide else options[1]
        value, options = options[head : head + length], options[head + length :]
        if len(value) != length:
            raise BgpError(OPEN_ERROR, 0, "an option is cut short")
        if kind != 2:
            raise BgpError(OPEN_ERROR, 4, f"option {kind}", bytes((kind,)))
        while value:
            if len(value) < 2 or len(value) < 2 + value[1]:
                raise BgpError(OPEN_ERROR, 0, "a capability is cut short")
            caps.setdefault(value[0], []).append(value[2 : 2 + value[1]])
            value = value[2 + value[1] :]
    four = next((struct.unpack("!I", v)[0] for v in caps.get(FOUR, ()) if len(v) == 4), None)
    asn = asn if four is None else four
    if not asn or asn == AS_TRANS and four is not None:
        raise BgpError(OPEN_ERROR, 2, f"AS number {asn}")
    if hold in (1, 2):
        raise BgpError(OPEN_ERROR, 6, f"a hold time of {hold} s")
    if not id_:
        raise BgpError(OPEN_ERROR, 3, "an identifier of 0")
    families = tuple(
        sorted(
            {
                (afi, safi)
                for afi, _, safi in (struct.unpack("!HBB", v) for v in caps.get(MP, ()) if len(v) == 4)
            }
        )
    )
    roles = {v[0] for v in caps.get(ROLE, ()) if len(v) == 1}
    if len(roles) > 1:
        raise BgpError(OPEN_ERROR, 11, "two roles at once")
    restart = next((struct.unpack_from("!H", v)[0] for v in caps.get(RESTARTS, ()) if len(v) >= 2), None)
    return Open(
        asn,
        hold,
        id_,
        families or ((IPV4, UNICAST),),
        four is not None,
        EXTENDS in caps,
        REFRESHES in caps,
        next(iter(roles), None),
        None if restart is None else (restart >> 12, restart & 0xFFF),
    )


def read_notification(body):
    """Return the `Notification` of a message body."""
    return Notification(body[0], body[1], body[2:])


def _prefixes(data, afi, what):
    found, at = [], 0
    while at < len(data):
        length, at = data[at], at + 1
        octets = (length + 7) // 8
        if length > BITS[afi] or at + octets > len(data):
            raise BgpError(UPDATE_ERROR, 10, f"{what}: a prefix that can't be")
        raw = bytearray(data[at : at + octets])
        if length % 8:
            # Clears the bits beyond the length, which have no meaning.
            raw[-1] &= 0xFF << 8 - length % 8 & 0xFF
        found.append((afi, bytes(raw) + bytes(BITS[afi] // 8 - octets), length))
        at += octets
    return tuple(found)


def _path(data, four):
    found, at, size = [], 0, 4 if four else 2
    while at < len(data):
        if at + 2 > len(data):
            raise ValueError("a segment is cut short")
        kind, count = data[at], data[at + 1]
        end = at + 2 + count * size
        if kind not in (1, 2, 3, 4) or not count or end > len(data):
            raise ValueError("a segment that can't be")
        found.append((kind, struct.unpack_from(f"!{count}{'I' if four else 'H'}", data, at + 2)))
        at = end
    return tuple(found)


def path_length(path):
    """Return the length of an AS path: a set counts as one AS, a confederation segment as none."""
    return sum(len(asns) if kind == SEQUENCE else kind == SET for kind, asns in path)


def _merge_paths(path, as4_path):
    """Return the path to use where a peer with two-octet AS numbers sent AS_PATH and AS4_PATH (RFC 6793).

    It is AS4_PATH preceded by the AS numbers that AS_PATH has in excess of it: those that speakers without
    four-octet numbers have prepended. AS_PATH alone counts if it is the shorter one.
    """
    excess = path_length(path) - path_length(as4_path)
    if excess < 0:
        return path
    front = []
    for kind, asns in path:
        if excess <= 0:
            break
        taken = asns[:excess] if kind == SEQUENCE else asns
        front.append((kind, taken))
        excess -= len(taken) if kind == SEQUENCE else 1
    return (*front, *as4_path)


def _reach(value):
    """Return (prefixes, next hop) of MP_REACH_NLRI, or None for an unsupported address family."""
    if len(value) < 5:
        raise BgpError(UPDATE_ERROR, 9, "MP_REACH_NLRI is cut short")
    afi, safi, size = struct.unpack_from("!HBB", value)
    if (afi, safi) not in ((IPV4, UNICAST), (IPV6, UNICAST)):
        return None
    if size not in ((4,) if afi == IPV4 else (16, 32)) or len(value) < 5 + size:
        raise BgpError(UPDATE_ERROR, 9, "a next hop of MP_REACH_NLRI that can't be")
    return _prefixes(value[5 + size :], afi, "MP_REACH_NLRI"), value[4 : 4 + min(size, 16)]


def _unreach(value):
    if len(value) < 3:
        raise BgpError(UPDATE_ERROR, 9, "MP_UNREACH_NLRI is cut short")
    afi, safi = struct.unpack_from("!HB", value)
    return _prefixes(value[3:], afi, "MP_UNREACH_NLRI") if safi == UNICAST and afi in BITS else ()


def _check(kind, flags, value, four, values):
    """Check one attribute and store its value in `values` if it is well-formed.

    Return None, or else how RFC 7606 treats the error: 'withdraw' the update's routes, or 'discard' the
    attribute.
    """
    sizes = {
        ORIGIN: 1,
        NEXT_HOP: 4,
        MED: 4,
        LOCAL_PREF: 4,
        ATOMIC: 0,
        AGGREGATOR: 8 if four else 6,
        AS4_AGG: 8,
        OTC: 4,
    }
    optional, transitive = bool(flags & 0x80), bool(flags & 0x40)
    if kind in WELL_KNOWN and (optional or not transitive):
        return "withdraw"
    if (
        kind in (MED, REACH, UNREACH)
        and (not optional or transitive)
        or kind in (COMMUNITIES, AGGREGATOR, AS4_PATH)
        and not (optional and transitive)
    ):
        return "withdraw" if kind != AGGREGATOR else "discard"
    if kind in sizes and len(value) != sizes[kind]:
        return "discard" if kind in (ATOMIC, AGGREGATOR, AS4_AGG) else "withdraw"
    if kind == ORIGIN and value[0] > 2:
        return "withdraw"
    if kind == COMMUNITIES and (len(value) % 4 or not value):
        return "withdraw"
    if kind in (AS_PATH, AS4_PATH):
        try:
            value = _path(value, four or kind == AS4_PATH)
        except ValueError:
            return "withdraw" if kind == AS_PATH else "discard"
    values[kind] = value
    return None


def read_update(body, four):
    """Return the `Update` of a message body; raise `BgpError` if the session must end.

    `four`: whether AS numbers have four octets on this session.
    """
    size = struct.unpack_from("!H", body)[0]
    if len(body) < 4 + size:
        raise BgpError(UPDATE_ERROR, 1, "the withdrawn routes' length is off")
    withdrawn = _prefixes(body[2 : 2 + size], IPV4, "withdrawn")
    length = struct.unpack_from("!H", body, 2 + size)[0]
    begin = 4 + size
    if len(body) < begin + length:
        raise BgpError(UPDATE_ERROR, 1, "the attributes' length is off")
    data, plain = body[begin : begin + length], _prefixes(body[begin + length :], IPV4, "announced")
    values, seen, notes, malformed, at = {}, set(), [], False, 0
    while at < len(data):
        wide = data[at] & 0x10
        if at + (4 if wide else 3) > len(data):
            malformed = True
            notes.append("attributes cut short")
            break
        flags, kind = data[at], data[at + 1]
        size = struct.unpack_from("!H", data, at + 2)[0] if wide else data[at + 2]
        at += 4 if wide else 3
        value, at = data[at : at + size], at + size
        if len(value) != size:
            if kind in (REACH, UNREACH):
                raise BgpError(UPDATE_ERROR, 5, "a multiprotocol attribute is cut short")
            malformed = True
            notes.append(f"attribute {kind} is cut short")
            break
        if kind in seen:
            if kind in (REACH, UNREACH):
                raise BgpError(UPDATE_ERROR, 1, f"attribute {kind} comes twice")
            notes.append(f"attribute {kind} comes twice")
            continue
        seen.add(kind)
        if kind not in WELL_KNOWN and not flags & 0x80:
            raise BgpError(
                UPDATE_ERROR,
                2,
                f"well-known attribute {kind} is not known",
                bytes((flags, kind, min(size, 255))) + value[:255],
            )
        if kind not in (*WELL_KNOWN, MED, AGGREGATOR, COMMUNITIES, REACH, UNREACH, AS4_PATH, AS4_AGG, OTC):
            continue  # an unknown optional attribute; the speaker propagates no routes, so it is dropped
        treatment = _check(kind, flags, value, four, values)
        if treatment:
            malformed = malformed or treatment == "withdraw"
            notes.append(f"attribute {kind} is wrong: {treatment}")
    reached = _reach(values[REACH]) if REACH in values else None
    withdrawn += _unreach(values[UNREACH]) if UNREACH in values else ()
    announced = plain + (reached[0] if reached else ())
    if not announced:
        return Update(withdrawn, (), None, tuple(notes))
    if {ORIGIN, AS_PATH} - values.keys() or plain and NEXT_HOP not in values:
        malformed = True
        notes.append("a mandatory attribute is missing")
    if malformed:
        return Update(withdrawn + announced, (), None, tuple(notes))
    path = (
        values[AS_PATH] if four or AS4_PATH not in values else _merge_paths(values[AS_PATH], values[AS4_PATH])
    )
    communities = values.get(COMMUNITIES, b"")
    return Update(
        withdrawn,
        announced,
        Attrs(
            values[ORIGIN][0],
            path,
            reached[1] if reached and not plain else values[NEXT_HOP],
            struct.unpack("!I", values[MED])[0] if MED in values else None,
            struct.unpack(f"!{len(communities) // 4}I", communities),
        ),
        tuple(notes),
    )


def _attribute(flags, kind, value):
    return (
        struct.pack("!BBH", flags | 0x10, kind, len(value)) + value
        if len(value) > 255
        else bytes((flags, kind, len(value))) + value
    )


def _octets(prefix):
    return bytes((prefix[2],)) + prefix[1][: (prefix[2] + 7) // 8]


def _attributes(attrs, four):
    def path(wide):
        return b"".join(
            bytes((kind, len(asns)))
            + struct.pack(
                f"!{len(asns)}{'I' if wide else 'H'}", *(a if wide or a < 65536 else AS_TRANS for a in asns)
            )
            for kind, asns in attrs.path
        )

    out = _attribute(0x40, ORIGIN, bytes((attrs.origin,))) + _attribute(0x40, AS_PATH, path(four))
    if len(attrs.next_hop) == 4:
        out += _attribute(0x40, NEXT_HOP, attrs.next_hop)
    if attrs.med is not None:
        out += _attribute(0x80, MED, struct.pack("!I", attrs.med))
    if attrs.communities:
        out += _attribute(0xC0, COMMUNITIES, struct.pack(f"!{len(attrs.communities)}I", *attrs.communities))
    if not four and any(a > 65535 for _, asns in attrs.path for a in asns):
        out += _attribute(0xC0, AS4_PATH, path(True))
    return out


def _packed(prefixes, room):
    """Yield the encoded prefixes in pieces of at most `room` octets."""
    piece = b""
    for prefix in prefixes:
        octets = _octets(prefix)
        if len(piece) + len(octets) > room:
            if not piece:
                raise ValueError("the attributes leave no room for a prefix")
            yield piece
            piece = b""
        piece += octets
    if piece:
        yield piece


def updates(announced, attrs, withdrawn, four, max_size=MAX_SIZE):
    """Return the UPDATEs that withdraw prefixes, then announce others that share the attributes `attrs`.

    They are as few as possible with at most `max_size` octets each.
    """
    out, room = [], max_size - HEADER_SIZE - 4
    old, new = ([p for p in withdrawn if p[0] == afi] for afi in (IPV4, IPV6))
    for piece in _packed(old, room):
        out.append(message(UPDATE, struct.pack("!H", len(piece)) + piece + b"\0\0", max_size))
    for piece in _packed(new, room - 7):
        value = _attribute(0x80, UNREACH, struct.pack("!HB", IPV6, UNICAST) + piece)
        out.append(message(UPDATE, b"\0\0" + struct.pack("!H", len(value)) + value, max_size))
    if attrs is not None:
        common = _attributes(attrs, four)
        old, new = ([p for p in announced if p[0] == afi] for afi in (IPV4, IPV6))
        for piece in _packed(old, room - len(common)):
            out.append(message(UPDATE, b"\0\0" + struct.pack("!H", len(common)) + common + piece, max_size))
        for piece in _packed(new, room - len(common) - 9 - len(attrs.next_hop)):
            value = common + _attribute(
                0x80,
                REACH,
                struct.pack("!HBB", IPV6, UNICAST, len(attrs.next_hop)) + attrs.next_hop + b"\0" + piece,
            )
            out.append(message(UPDATE, b"\0\0" + struct.pack("!H", len(value)) + value, max_size))
    return out


END_OF_RIB = message(UPDATE, b"\0\0\0\0")
