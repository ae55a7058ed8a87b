"""What a speaker's file says: who it is, whose heartbeats it hears, what it announces, and to whom."""

import ipaddress
import pathlib
from typing import NamedTuple

from petrelwood.decide.routing.announce import Service
from petrelwood.decide.routing.serving import Bounds
from petrelwood.settings import decoders, document
from petrelwood.settings.errors import InvalidValueError
from petrelwood.wire import bgp

SECOND = 1_000_000_000
ROLES = {
    "provider": bgp.PROVIDER,
    "route-server": bgp.RS,
    "route-server-client": bgp.RS_CLIENT,
    "customer": bgp.CUSTOMER,
    "peer": bgp.PEER,
}


class PeerTerms(NamedTuple):
    name: str
    address: tuple  # (host, port)
    asn: int
    passive: bool  # it connects to us
    role: object  # ours towards it, or None
    far: bool  # more than one hop away: no check of the TTL (RFC 5082)
    most: int  # routes taken from it


class Speaker(NamedTuple):
    name: str
    asn: int
    id: int
    listen: object  # (host, port), or None
    health: str  # path of the socket on which the dispatcher's heartbeats come
    hold: int  # s
    bounds: Bounds
    peers: tuple
    services: tuple


def _decode_as_number(value, where):
    if not 0 < decoders.COUNT.decode(value, where) < 1 << 32:
        raise InvalidValueError(f"{where} must be an AS number, not {value!r}")
    return value


def _decode_identifier(value, where):
    try:
        found = int(ipaddress.IPv4Address(decoders.TEXT.decode(value, where)))
    except ValueError:
        raise InvalidValueError(f"{where} must look like an IPv4 address, not {value!r}") from None
    if not found:
        raise InvalidValueError(f"{where} can't be 0.0.0.0")
    return found


def _decode_prefix(value, where):
    try:
        return bgp.prefix(decoders.TEXT.decode(value, where))
    except ValueError:
        raise InvalidValueError(
            f'{where} must be an address or a network like "192.0.2.1/32", not {value!r}'
        ) from None


def _decode_hop(value, where):
    try:
        return ipaddress.ip_address(decoders.TEXT.decode(value, where)).packed
    except ValueError:
        raise InvalidValueError(f"{where} must be an address, not {value!r}") from None


def _decode_community(value, where):
    high, _, low = decoders.TEXT.decode(value, where).partition(":")
    if not (high.isdigit() and low.isdigit() and int(high) < 65536 and int(low) < 65536):
        raise InvalidValueError(f'{where} must be two numbers under 65536 like "65000:100", not {value!r}')
    return int(high) << 16 | int(low)


AS_NUMBER = decoders.Decoder("AS number", _decode_as_number, 1)
IDENTIFIER = decoders.Decoder("identifier", _decode_identifier, 1)
PREFIX = decoders.Decoder("network", _decode_prefix, (bgp.IPV4, bytes(4), 32))
HOP = decoders.Decoder("address", _decode_hop, bytes(4))
COMMUNITY = decoders.Decoder("community", _decode_community, 0)


def _peer(node):
    role = node.prop("role", decoders.one_of(*ROLES), None)
    made = PeerTerms(
        node.arg(decoders.TEXT, "a name"),
        node.prop("address", decoders.ADDRESS),
        node.prop("asn", AS_NUMBER),
        node.prop("passive", decoders.FLAG, False),
        ROLES.get(role),
        node.prop("far", decoders.FLAG, False),
        node.prop("most", decoders.COUNT, 10_000),
    )
    node.reject_unknown(1)
    return made


def _service(node):
    found, next_hop = node.arg(PREFIX, "an address"), node.prop("next-hop", HOP)
    if len(next_hop) != len(found[1]):
        node.report("the next hop is of another family than the address")
    med = node.prop("med", decoders.COUNT, None)
    made = Service(
        found,
        next_hop,
        tuple(c.arg(COMMUNITY, "a community") for c in node.every("community")),
        med,
        node.prop("less-med", decoders.COUNT, 1000),
        node.prop("less-prepend", decoders.COUNT, 3),
    )
    for child in node.every("community"):
        child.reject_unknown(1)
    if max(made.less_med, med or 0) >= 1 << 32 or made.less_prepend > 100:
        node.report("a MED has 32 bits, and an AS number is repeated 100 times at most")
    node.reject_unknown(1)
    return made


def read(path, text=None, errors=None):
    """The `Speaker` that a file describes. Raises `SettingsError`, or collects what is wrong in
    `errors`."""
    return described(document.File(path, text, errors))


def described(file):
    node = file.child("speaker")
    bounds = node.optional_child("bounds")
    read_ = bounds.prop if bounds else lambda name, kind, default: default
    made_bounds = Bounds(
        read_("silent", decoders.DURATION, SECOND * 3 // 20),
        read_("fresh", decoders.DURATION, 30 * SECOND),
        read_("stall", decoders.DURATION, SECOND // 2),
        read_("settle", decoders.DURATION, SECOND),
    )
    if bounds:
        bounds.reject_unknown()
    hold = node.value("hold", decoders.DURATION, 9 * SECOND)
    if hold and (hold < 3 * SECOND or hold % SECOND or hold >= 65536 * SECOND):
        node.report("'hold' must be 0, or whole seconds from 3 to 65535")
    peers, services = tuple(map(_peer, node.every("peer"))), tuple(map(_service, node.every("serve")))
    for what, names in (
        ("peer", [p.name for p in peers]),
        ("serve", [bgp.shown(s.prefix) for s in services]),
    ):
        for name in sorted({n for n in names if names.count(n) > 1}):
            node.report(f"{what} '{name}' is given twice")
    if not (peers and services or file.partial):
        node.report("a speaker needs a 'peer' and a 'serve'")
    listen, health = node.value("listen", decoders.ADDRESS, None), node.value("health", decoders.TEXT)
    if any(p.passive for p in peers) and listen is None:
        node.report("a passive peer connects to us: 'listen' says where")
    made = Speaker(
        node.arg(decoders.TEXT, "a name"),
        node.value("asn", AS_NUMBER),
        node.value("id", IDENTIFIER),
        listen,
        str(pathlib.Path(file.file).parent / (health or "")),
        hold // SECOND,
        made_bounds,
        peers,
        services,
    )
    node.reject_unknown(1)
    file.reject_unknown()
    return made
