"""What is announced to each peer, and what each peer announces of our addresses.

A REDUCED address carries a higher MED, our own AS number more often, and the graceful-shutdown community of
RFC 8326, so that routers that follow any of them prefer another path; a router that follows none still has it
while there is nothing else.
"""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from petrelwood.decide.bgp.service_health import ServiceLevel
from petrelwood.wire import bgp

Prefix = tuple[int, bytes, int]
"""The address family, the network's bytes and the length, as in `wire.bgp`."""


class Service(NamedTuple):
    """A service address that is announced."""

    prefix: Prefix
    next_hop: bytes
    communities: tuple[int, ...]
    med: int | None
    reduced_med: int  # the MED where it is REDUCED
    reduced_prepend: int  # how many times more our AS number stands in the path then


class RouteChanges(NamedTuple):
    """What brings a peer up to date."""

    announced: list[tuple[bgp.Attrs, list[Prefix]]]
    withdrawn: list[Prefix]


def attributes(service: Service, level: ServiceLevel, asn: int) -> bgp.Attrs | None:
    """Return the path attributes of an address at a level; None at NONE."""
    if level == ServiceLevel.NONE:
        return None
    is_reduced = level == ServiceLevel.REDUCED
    path = (asn,) * (1 + (service.reduced_prepend if is_reduced else 0))
    communities = service.communities
    if is_reduced:
        communities = (*communities, bgp.GRACEFUL_SHUTDOWN)
    return bgp.Attrs(
        0,
        ((bgp.SEQUENCE, path),),
        service.next_hop,
        service.reduced_med if is_reduced else service.med,
        communities,
    )


def is_reduced(attrs: bgp.Attrs) -> bool:
    """Return whether an announcement, ours or another's, asks routers to prefer others."""
    return bgp.GRACEFUL_SHUTDOWN in attrs.communities


class AnnouncedRoutes:
    """What one peer has been sent. `families`: those that the session carries."""

    def __init__(self, asn: int) -> None:
        self.asn = asn
        self.routes: dict[Prefix, bgp.Attrs] = {}
        self.families: tuple[int, ...] = ()

    def reset(self, families: Iterable[tuple[int, int]] = ()) -> None:
        """Forget all: the session is new, or gone. `families` are pairs of address family and SAFI."""
        self.routes = {}
        self.families = tuple(afi for afi, safi in families if safi == bgp.UNICAST)

    def forget_family(self, afi: int) -> None:
        """Forget the routes of a family, which the peer wants to be sent again."""
        self.routes = {prefix: attrs for prefix, attrs in self.routes.items() if prefix[0] != afi}

    def changes(self, services: Iterable[Service], level: ServiceLevel) -> RouteChanges:
        """Return what brings the peer up to date; it counts as sent."""
        wanted = {}
        for service in services:
            attrs = attributes(service, level, self.asn)
            if attrs is not None and service.prefix[0] in self.families:
                wanted[service.prefix] = attrs
        withdrawn = [prefix for prefix in self.routes if prefix not in wanted]
        groups: dict[bgp.Attrs, list[Prefix]] = {}
        for prefix, attrs in wanted.items():
            if self.routes.get(prefix) != attrs:
                groups.setdefault(attrs, []).append(prefix)
        self.routes = wanted
        return RouteChanges(list(groups.items()), withdrawn)


class ReceivedRoutes:
    """The routes that one peer announces for our own addresses.

    All others are counted and not stored, so that a full table costs no memory. `max_routes`: routes that are
    accepted from the peer.
    """

    def __init__(self, services: Iterable[Service], max_routes: int) -> None:
        self.next_hops = {service.prefix: service.next_hop for service in services}  # ours
        self.max_routes = max_routes
        self.reset()

    def reset(self) -> None:
        """Forget all: the session is new, or gone."""
        self.routes: dict[Prefix, bgp.Attrs] = {}
        self.count = 0
        self.ignored = 0

    def apply(self, update: bgp.Update) -> bool:
        """Take in an update; returns whether the peer stays within its limit.

        Announcements less withdrawals are counted, of any prefix.
        """
        for prefix in update.withdrawn:
            self.count = max(0, self.count - 1)
            self.routes.pop(prefix, None)
        if update.attrs is not None:
            for prefix in update.announced:
                self._announce(prefix, update.attrs)
        return self.count <= self.max_routes

    def _announce(self, prefix: Prefix, attrs: bgp.Attrs) -> None:
        self.count += 1
        if prefix in self.next_hops:
            self.count -= prefix in self.routes
            self.routes[prefix] = attrs
        else:
            self.ignored += 1

    def has_other(self, prefix: Prefix) -> bool:
        """Return whether another dispatcher announces one of our addresses, and not REDUCED."""
        found = self.routes.get(prefix)
        return found is not None and found.next_hop != self.next_hops[prefix] and not is_reduced(found)


def all_seen_elsewhere(services: Sequence[Service], received: Iterable[ReceivedRoutes]) -> bool:
    """Return whether each of the addresses is announced by another, as one peer at least shows."""
    peers = list(received)
    return bool(services) and all(
        any(routes.has_other(service.prefix) for routes in peers) for service in services
    )
