"""The settings of a BGP speaker: its identity, the source of heartbeats, its peers and announced routes."""

import ipaddress
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from petrelwood.decide.bgp.announcement import Service
from petrelwood.decide.bgp.service_health import HealthBounds
from petrelwood.settings.decoders import (
    ADDRESS,
    COUNT,
    DURATION,
    FLAG,
    SECOND,
    TEXT,
    Address,
    Decoder,
    one_of,
)
from petrelwood.settings.document import File
from petrelwood.settings.errors import InvalidValueError, SettingsError
from petrelwood.settings.kdl import Value
from petrelwood.settings.node import Node
from petrelwood.wire import bgp

Prefix = tuple[int, bytes, int]  # family, packed address, length in bits; as in `wire.bgp`

ROLES = {  # RFC 9234
    "provider": bgp.PROVIDER,
    "route-server": bgp.RS,
    "route-server-client": bgp.RS_CLIENT,
    "customer": bgp.CUSTOMER,
    "peer": bgp.PEER,
}
DEFAULT_BOUNDS = HealthBounds(
    silence=SECOND * 3 // 20,
    list_age=30 * SECOND,
    stall=SECOND // 2,
    settling=SECOND,
)
DEFAULT_HOLD = 9 * SECOND
MIN_HOLD = 3 * SECOND  # RFC 4271, 4.2
HOLD_LIMIT = 65536 * SECOND  # the hold time has 16 bits and is in seconds
AS_NUMBER_LIMIT = 1 << 32
MED_LIMIT = 1 << 32
COMMUNITY_PART_LIMIT = 1 << 16
MAX_PREPENDED = 100  # AS numbers; some peers drop longer paths


class PeerTerms(NamedTuple):
    """A peer that routes are announced to."""

    name: str
    address: Address
    asn: int
    passive: bool  # the peer opens the connection
    role: int | None  # the speaker's own role in the session, RFC 9234
    far: bool  # more than one hop away, so the TTL is not checked (RFC 5082)
    max_routes: int  # maximum number of routes accepted from the peer


class Speaker(NamedTuple):
    """All settings of one speaker."""

    name: str
    asn: int
    id: int
    listen: Address | None
    health: str  # path of the socket that receives the dispatcher's heartbeats
    hold: int  # s
    bounds: HealthBounds
    peers: tuple[PeerTerms, ...]
    services: tuple[Service, ...]


def _decode_as_number(value: Value, subject: str) -> int:
    number = COUNT.decode(value, subject)
    if not 0 < number < AS_NUMBER_LIMIT:
        raise InvalidValueError(f"{subject} must be an AS number, not {value!r}")
    return number


def _decode_identifier(value: Value, subject: str) -> int:
    try:
        identifier = int(ipaddress.IPv4Address(TEXT.decode(value, subject)))
    except ValueError as error:
        raise InvalidValueError(f"{subject} must look like an IPv4 address, not {value!r}") from error
    if not identifier:
        raise InvalidValueError(f"{subject} can't be 0.0.0.0")
    return identifier


def _decode_prefix(value: Value, subject: str) -> Prefix:
    text = TEXT.decode(value, subject)
    try:
        prefix: Prefix = bgp.prefix(text)
    except ValueError as error:
        message = f'{subject} must be an address or a network like "192.0.2.1/32", not {value!r}'
        raise InvalidValueError(message) from error
    return prefix


def _decode_next_hop(value: Value, subject: str) -> bytes:
    text = TEXT.decode(value, subject)
    try:
        return ipaddress.ip_address(text).packed
    except ValueError as error:
        raise InvalidValueError(f"{subject} must be an address, not {value!r}") from error


def _decode_community(value: Value, subject: str) -> int:
    high, _, low = TEXT.decode(value, subject).partition(":")
    for part in (high, low):
        if not part.isdigit() or int(part) >= COMMUNITY_PART_LIMIT:
            message = f'{subject} must be two numbers under 65536 like "65000:100", not {value!r}'
            raise InvalidValueError(message)
    return int(high) << 16 | int(low)


AS_NUMBER = Decoder("AS number", _decode_as_number, 1)
IDENTIFIER = Decoder("identifier, as an IPv4 address", _decode_identifier, 1)
PREFIX: Decoder[Prefix] = Decoder("address or network", _decode_prefix, (bgp.IPV4, bytes(4), 32))
NEXT_HOP = Decoder("address", _decode_next_hop, bytes(4))
COMMUNITY = Decoder("community", _decode_community, 0)


def _decode_peer(node: Node) -> PeerTerms:
    role = node.prop("role", one_of(*ROLES), None)
    peer = PeerTerms(
        name=node.arg(TEXT, "a name"),
        address=node.prop("address", ADDRESS),
        asn=node.prop("asn", AS_NUMBER),
        passive=node.prop("passive", FLAG, False),
        role=None if role is None else ROLES[role],
        far=node.prop("far", FLAG, False),
        max_routes=node.prop("most", COUNT, 10_000),
    )
    node.reject_unknown(1)
    return peer


def _decode_service(node: Node) -> Service:
    prefix = node.arg(PREFIX, "an address")
    next_hop = node.prop("next-hop", NEXT_HOP)
    _, address, _ = prefix
    if len(next_hop) != len(address):
        node.report("the next hop is of another family than the address")
    med = node.prop("med", COUNT, None)
    service = Service(
        prefix=prefix,
        next_hop=next_hop,
        communities=tuple(child.arg(COMMUNITY, "a community") for child in node.every("community")),
        med=med,
        reduced_med=node.prop("less-med", COUNT, 1000),
        reduced_prepend=node.prop("less-prepend", COUNT, 3),
    )
    for child in node.every("community"):
        child.reject_unknown(1)
    if max(service.reduced_med, med or 0) >= MED_LIMIT or service.reduced_prepend > MAX_PREPENDED:
        node.report("a MED has 32 bits, and an AS number is repeated 100 times at most")
    node.reject_unknown(1)
    return service


def _decode_bounds(node: Node | None) -> HealthBounds:
    if node is None:
        return DEFAULT_BOUNDS
    bounds = HealthBounds(
        silence=node.prop("silent", DURATION, DEFAULT_BOUNDS.silence),
        list_age=node.prop("fresh", DURATION, DEFAULT_BOUNDS.list_age),
        stall=node.prop("stall", DURATION, DEFAULT_BOUNDS.stall),
        settling=node.prop("settle", DURATION, DEFAULT_BOUNDS.settling),
    )
    node.reject_unknown()
    return bounds


def _decode_hold(node: Node) -> int:
    """Return the hold time in seconds; 0: connections don't time out."""
    hold = node.value("hold", DURATION, DEFAULT_HOLD)
    if hold and (hold < MIN_HOLD or hold % SECOND or hold >= HOLD_LIMIT):
        node.report("'hold' must be 0, or whole seconds from 3 to 65535")
    return hold // SECOND


def _report_duplicates(node: Node, kind: str, names: list[str]) -> None:
    for name, count in sorted(Counter(names).items()):
        if count > 1:
            node.report(f"{kind} '{name}' is given twice")


def decode(file: Node) -> Speaker:
    """Return the speaker that a file describes.

    Raises:
        SettingsError: The first error, if the file does not collect errors.
    """
    node = file.child("speaker")
    bounds = _decode_bounds(node.optional_child("bounds"))
    hold = _decode_hold(node)
    peers = tuple(_decode_peer(peer) for peer in node.every("peer"))
    services = tuple(_decode_service(service) for service in node.every("serve"))
    _report_duplicates(node, "peer", [peer.name for peer in peers])
    _report_duplicates(node, "serve", [bgp.shown(service.prefix) for service in services])
    if not (peers and services or file.partial):
        node.report("a speaker needs a 'peer' and a 'serve'")
    listen = node.value("listen", ADDRESS, None)
    health = node.value("health", TEXT)
    if any(peer.passive for peer in peers) and listen is None:
        node.report("a passive peer connects to us: 'listen' says where")
    speaker = Speaker(
        name=node.arg(TEXT, "a name"),
        asn=node.value("asn", AS_NUMBER),
        id=node.value("id", IDENTIFIER),
        listen=listen,
        health=str(file.folder / health),
        hold=hold,
        bounds=bounds,
        peers=peers,
        services=services,
    )
    node.reject_unknown(1)
    file.reject_unknown()
    return speaker


def read(path: str | Path, text: str | None = None, errors: list[SettingsError] | None = None) -> Speaker:
    """Return the speaker that a file, or a text given instead, describes.

    Args:
        path: The file.
        text: The text to parse; None: the text is read from the file.
        errors: Receives all errors; None: the first error is raised.

    Raises:
        SettingsError: The first error, if `errors` is None.
    """
    return decode(File(path, text, errors))
