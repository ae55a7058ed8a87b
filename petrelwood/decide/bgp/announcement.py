"""The routes announced to each peer, and the routes that each peer announces for this speaker's addresses.

A REDUCED address is announced with a higher MED, a longer AS path, and the graceful-shutdown community of RFC
8326, so that routers that evaluate any of these prefer another path. The path remains usable if there is no
other.
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
    reduced_med: int  # the MED at level REDUCED
    reduced_prepend: int  # how often the own AS number is prepended in addition at level REDUCED


class RouteChanges(NamedTuple):
    """The changes that bring a peer up to date."""

    announced: list[tuple[bgp.Attrs, list[Prefix]]]
    withdrawn: list[Prefix]


def attributes(service: Service, level: ServiceLevel, asn: int) -> bgp.Attrs | None:
    """Return the path attributes of an address at a service level, or None at level NONE."""
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
    """Return whether an announcement of any speaker requests that routers prefer other paths."""
    return bgp.GRACEFUL_SHUTDOWN in attrs.communities


class AnnouncedRoutes:
    """The routes that were sent to one peer; `families` are the address families of the session."""

    def __init__(self, asn: int) -> None:
        self.asn = asn
        self.routes: dict[Prefix, bgp.Attrs] = {}
        self.families: tuple[int, ...] = ()

    def reset(self, families: Iterable[tuple[int, int]] = ()) -> None:
        """Forget all routes, as a session starts or ends; `families`: pairs of address family and SAFI."""
        self.routes = {}
        self.families = tuple(afi for afi, safi in families if safi == bgp.UNICAST)

    def forget_family(self, afi: int) -> None:
        """Forget the routes of a family, because the peer requests them again."""
        self.routes = {prefix: attrs for prefix, attrs in self.routes.items() if prefix[0] != afi}

    def changes(self, services: Iterable[Service], level: ServiceLevel) -> RouteChanges:
        """Return the changes that bring the peer up to date, and record them as sent."""
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
    """The routes that one peer announces for this speaker's addresses.

    All other routes are counted but not stored, so that a full table needs no memory. `max_routes` is the
    number of routes accepted from the peer.
    """

    def __init__(self, services: Iterable[Service], max_routes: int) -> None:
        self.next_hops = {service.prefix: service.next_hop for service in services}  # own next hops
        self.max_routes = max_routes
        self.reset()

    def reset(self) -> None:
        """Forget all routes at the start or end of a session."""
        self.routes: dict[Prefix, bgp.Attrs] = {}
        self.count = 0
        self.ignored = 0

    def apply(self, update: bgp.Update) -> bool:
        """Apply an update; return whether the peer is within its limit.

        The count is the number of announcements less the number of withdrawals, for all prefixes.
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
        """Return whether another dispatcher announces this own address, and not as REDUCED."""
        found = self.routes.get(prefix)
        return found is not None and found.next_hop != self.next_hops[prefix] and not is_reduced(found)


def all_seen_elsewhere(services: Sequence[Service], received: Iterable[ReceivedRoutes]) -> bool:
    """Return whether another dispatcher announces each address, according to at least one peer."""
    peers = list(received)
    return bool(services) and all(
        any(routes.has_other(service.prefix) for routes in peers) for service in services
    )
