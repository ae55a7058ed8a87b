"""BGP-4 messages, free of I/O: RFC 4271, 4760 (IPv6), 5492 (capabilities), 6793 (four-octet AS numbers), 1997
(communities), 2918 (route refresh), 4724 and 8538 (graceful restart, read only), 8654 (extended messages),
9003 (shutdown text), 9234 (roles), and 7606: an update whose attributes are wrong takes its routes back in
place of ending the session.

A prefix is (afi, network bytes, length). What can't be gone on from raises `BgpError`, which is a NOTIFICATION.
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
MARKER, HEADER_SIZE, MAX_SIZE, MAX_EXTENDED_SIZE = b"\xff" * 16, 19, 4096, 65535
MIN_SIZES = {OPEN: 29, UPDATE: 23, NOTIFICATION: 21, KEEPALIVE: 19, REFRESH: 23}
HEADER_ERROR, OPEN_ERROR, UPDATE_ERROR, HOLD_EXPIRED, FSM_ERROR, CEASE = 1, 2, 3, 4, 5, 6
PREFIXES, SHUTDOWN, RESET, REJECTED, COLLISION, RESOURCES, HARD = 1, 2, 4, 5, 7, 8, 9  # of CEASE
MP, REFRESHES, EXTENDS, ROLE, RESTARTS, FOUR = 1, 2, 6, 9, 64, 65  # capabilities
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
BITS = {IPV4: 32, IPV6: 128}
SEQUENCE, SET = 2, 1
GRACEFUL_SHUTDOWN = 0xFFFF0000  # RFC 8326
PROVIDER, RS, RS_CLIENT, CUSTOMER, PEER = range(5)  # roles, RFC 9234
AGREE = {(PROVIDER, CUSTOMER), (CUSTOMER, PROVIDER), (RS, RS_CLIENT), (RS_CLIENT, RS), (PEER, PEER)}


class BgpError(Exception):
    """What a peer sent ends the session: `code`, `sub` and `data` of the NOTIFICATION that says so."""

    def __init__(self, code, sub, what, data=b""):
        super().__init__(what)
        self.code, self.sub, self.data = code, sub, data


class Open(NamedTuple):
    asn: int  # four octets where the peer can
    hold: int  # s
    id: int
    families: tuple  # (afi, safi)
    four: bool
    extended: bool
    refresh: bool
    role: object  # or None
    restart: object  # (flags, seconds) of graceful restart, or None


class Attrs(NamedTuple):
    origin: int
    path: tuple  # ((SEQUENCE or SET, (AS number, ...)), ...)
    next_hop: bytes  # 4 or 16
    med: int | None
    communities: tuple


class Update(NamedTuple):
    withdrawn: tuple
    announced: tuple
    attrs: Attrs | None  # None where nothing is announced
    notes: tuple  # what was wrong and passed over


class Notification(NamedTuple):
    code: int
    sub: int
    data: bytes

    def text(self):
        """A shutdown's text, where there is one: as the peer wrote it, made harmless to print."""
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
    """A prefix as people write it. Raises `ValueError`."""
    net = ipaddress.ip_network(text)
    return IPV4 if net.version == 4 else IPV6, net.network_address.packed, net.prefixlen


def format_prefix(found):
    return f"{ipaddress.ip_address(found[1])}/{found[2]}"


def message(kind, body=b"", max_size=MAX_SIZE):
    size = HEADER_SIZE + len(body)
    if size > max_size:
        raise ValueError(f"a {NAMES[kind]} of {size} octets, where {max_size} are allowed")
    return MARKER + struct.pack("!HB", size, kind) + body


def _capability(code, value=b""):
    return bytes((code, len(value))) + value


def open_message(asn, hold, id_, families, role=None, extended=True):
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
    return message(NOTIFICATION, bytes((code, sub)) + data[: MAX_SIZE - HEADER_SIZE - 2])


def shutdown_text(text):
    raw = text.encode()[:255]
    while True:
        try:
            raw.decode()
            return bytes((len(raw),)) + raw
        except UnicodeDecodeError:  # cut inside a character
            raw = raw[:-1]


KEEPALIVE_MESSAGE = message(KEEPALIVE)


class Reader:
    """Bytes in, (kind, body) out; `most`: octets of a message, more once both sides can."""

    def __init__(self):
        self.data, self.max_size = bytearray(), MAX_SIZE

    def feed(self, data):
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
            raw[-1] &= 0xFF << 8 - length % 8 & 0xFF  # bits beyond the length mean nothing
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
    return sum(len(asns) if kind == SEQUENCE else kind == SET for kind, asns in path)


def _merged(path, wide):
    """RFC 6793: what a peer of two octets has put before the path of four."""
    more = path_length(path) - path_length(wide)
    if more < 0:
        return path
    front = []
    for kind, asns in path:
        if more <= 0:
            break
        taken = asns[:more] if kind == SEQUENCE else asns
        front.append((kind, taken))
        more -= len(taken) if kind == SEQUENCE else 1
    return (*front, *wide)


def _reach(value):
    """(prefixes, next hop) of MP_REACH_NLRI, or None for a family that is not ours."""
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


def _check(kind, flags, value, four, made):
    """Takes one attribute into `made`; what is wrong with it in the sense of RFC 7606: 'withdraw', 'discard'
    or None."""
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
    made[kind] = value
    return None


def read_update(body, four):
    """An `Update`. `four`: whether AS numbers have four octets on this session."""
    size = struct.unpack_from("!H", body)[0]
    if len(body) < 4 + size:
        raise BgpError(UPDATE_ERROR, 1, "the withdrawn routes' length is off")
    withdrawn = _prefixes(body[2 : 2 + size], IPV4, "withdrawn")
    length = struct.unpack_from("!H", body, 2 + size)[0]
    begin = 4 + size
    if len(body) < begin + length:
        raise BgpError(UPDATE_ERROR, 1, "the attributes' length is off")
    data, plain = body[begin : begin + length], _prefixes(body[begin + length :], IPV4, "announced")
    made, seen, notes, bad, at = {}, set(), [], False, 0
    while at < len(data):
        wide = data[at] & 0x10
        if at + (4 if wide else 3) > len(data):
            bad = True
            notes.append("attributes cut short")
            break
        flags, kind = data[at], data[at + 1]
        size = struct.unpack_from("!H", data, at + 2)[0] if wide else data[at + 2]
        at += 4 if wide else 3
        value, at = data[at : at + size], at + size
        if len(value) != size:
            if kind in (REACH, UNREACH):
                raise BgpError(UPDATE_ERROR, 5, "a multiprotocol attribute is cut short")
            bad = True
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
            continue  # optional, and not ours: nothing is passed on anyway
        how = _check(kind, flags, value, four, made)
        if how:
            bad = bad or how == "withdraw"
            notes.append(f"attribute {kind} is wrong: {how}")
    reached = _reach(made[REACH]) if REACH in made else None
    withdrawn += _unreach(made[UNREACH]) if UNREACH in made else ()
    announced = plain + (reached[0] if reached else ())
    if not announced:
        return Update(withdrawn, (), None, tuple(notes))
    if {ORIGIN, AS_PATH} - made.keys() or plain and NEXT_HOP not in made:
        bad = True
        notes.append("a mandatory attribute is missing")
    if bad:
        return Update(withdrawn + announced, (), None, tuple(notes))
    path = made[AS_PATH] if four or AS4_PATH not in made else _merged(made[AS_PATH], made[AS4_PATH])
    communities = made.get(COMMUNITIES, b"")
    return Update(
        withdrawn,
        announced,
        Attrs(
            made[ORIGIN][0],
            path,
            reached[1] if reached and not plain else made[NEXT_HOP],
            struct.unpack("!I", made[MED])[0] if MED in made else None,
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


def _octets(found):
    return bytes((found[2],)) + found[1][: (found[2] + 7) // 8]


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
    """Octets of prefixes, in pieces of at most `room`."""
    piece = b""
    for one in prefixes:
        octets = _octets(one)
        if len(piece) + len(octets) > room:
            if not piece:
                raise ValueError("the attributes leave no room for a prefix")
            yield piece
            piece = b""
        piece += octets
    if piece:
        yield piece


def updates(announced, attrs, withdrawn, four, max_size=MAX_SIZE):
    """The messages for prefixes that share their attributes, and for those taken back; as few as fit `most`
    octets each."""
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
