"""What a speaker's file says: who it is, whose heartbeats it hears, what it announces, and to whom."""

import ipaddress
import pathlib
from typing import NamedTuple

from petrelwood.decide.bgp.announcement import Service
from petrelwood.decide.bgp.service_health import HealthBounds
from petrelwood.settings import document
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
    bounds: HealthBounds
    peers: tuple
    services: tuple


def as_number(node, where, value):
    if not 0 < document.count(node, where, value) < 1 << 32:
        raise node.bad(f"{where} must be an AS number, not {value!r}")
    return value


def identifier(node, where, value):
    try:
        found = int(ipaddress.IPv4Address(document.text(node, where, value)))
    except ValueError:
        raise node.bad(f"{where} must look like an IPv4 address, not {value!r}") from None
    if not found:
        raise node.bad(f"{where} can't be 0.0.0.0")
    return found


def prefix(node, where, value):
    try:
        return bgp.prefix(document.text(node, where, value))
    except ValueError:
        raise node.bad(
            f'{where} must be an address or a network like "192.0.2.1/32", not {value!r}'
        ) from None


def hop(node, where, value):
    try:
        return ipaddress.ip_address(document.text(node, where, value)).packed
    except ValueError:
        raise node.bad(f"{where} must be an address, not {value!r}") from None


def community(node, where, value):
    high, _, low = document.text(node, where, value).partition(":")
    if not (high.isdigit() and low.isdigit() and int(high) < 65536 and int(low) < 65536):
        raise node.bad(f'{where} must be two numbers under 65536 like "65000:100", not {value!r}')
    return int(high) << 16 | int(low)


as_number.sample, identifier.sample, prefix.sample, hop.sample, community.sample = (
    1,
    1,
    (bgp.IPV4, bytes(4), 32),
    bytes(4),
    0,
)


def _peer(node):
    role = node.prop("role", document.one_of(*ROLES), None)
    made = PeerTerms(
        node.arg(document.text, "a name"),
        node.prop("address", document.address),
        node.prop("asn", as_number),
        node.prop("passive", document.yes, False),
        ROLES.get(role),
        node.prop("far", document.yes, False),
        node.prop("most", document.count, 10_000),
    )
    node.done(1)
    return made


def _service(node):
    found, next_hop = node.arg(prefix, "an address"), node.prop("next-hop", hop)
    if len(next_hop) != len(found[1]):
        node.wrong("the next hop is of another family than the address")
    med = node.prop("med", document.count, None)
    made = Service(
        found,
        next_hop,
        tuple(c.arg(community, "a community") for c in node.every("community")),
        med,
        node.prop("less-med", document.count, 1000),
        node.prop("less-prepend", document.count, 3),
    )
    for child in node.every("community"):
        child.done(1)
    if max(made.less_med, med or 0) >= 1 << 32 or made.less_prepend > 100:
        node.wrong("a MED has 32 bits, and an AS number is repeated 100 times at most")
    node.done(1)
    return made


def read(path, text=None, problems=None):
    """The `Speaker` that a file describes. Raises `document.BadFile`, or collects what is wrong in
    `problems`."""
    return described(document.File(path, text, problems))


def described(file):
    node = file.child("speaker")
    bounds = node.child("bounds", None)
    read_ = bounds.prop if bounds else lambda name, kind, default: default
    made_bounds = HealthBounds(
        read_("silent", document.duration, SECOND * 3 // 20),
        read_("fresh", document.duration, 30 * SECOND),
        read_("stall", document.duration, SECOND // 2),
        read_("settle", document.duration, SECOND),
    )
    if bounds:
        bounds.done()
    hold = node.value("hold", document.duration, 9 * SECOND)
    if hold and (hold < 3 * SECOND or hold % SECOND or hold >= 65536 * SECOND):
        node.wrong("'hold' must be 0, or whole seconds from 3 to 65535")
    peers, services = tuple(map(_peer, node.every("peer"))), tuple(map(_service, node.every("serve")))
    for what, names in (
        ("peer", [p.name for p in peers]),
        ("serve", [bgp.shown(s.prefix) for s in services]),
    ):
        for name in sorted({n for n in names if names.count(n) > 1}):
            node.wrong(f"{what} '{name}' is given twice")
    if not (peers and services or file.partial):
        node.wrong("a speaker needs a 'peer' and a 'serve'")
    listen, health = node.value("listen", document.address, None), node.value("health", document.text)
    if any(p.passive for p in peers) and listen is None:
        node.wrong("a passive peer connects to us: 'listen' says where")
    made = Speaker(
        node.arg(document.text, "a name"),
        node.value("asn", as_number),
        node.value("id", identifier),
        listen,
        str(pathlib.Path(file.file).parent / (health or "")),
        hold // SECOND,
        made_bounds,
        peers,
        services,
    )
    node.done(1)
    file.done()
    return made
