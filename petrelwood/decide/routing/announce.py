"""What is announced to each peer: from how a dispatcher serves and each peer's policy to attributes; what
changes goes out.

An address that serves less carries a higher MED, our own AS number more often, and the graceful-shutdown
community of RFC 8326, so that routers that follow any of them prefer another; a router that follows none
still has it while there is nothing else."""

from typing import NamedTuple

from petrelwood.decide.routing.serving import LESS, NONE
from petrelwood.wire import bgp


class Service(NamedTuple):
    """An address that is announced. `prefix` as in `wire.bgp`; `next_hop`: packed."""

    prefix: tuple
    next_hop: bytes
    communities: tuple
    med: object  # or None
    less_med: int
    less_prepend: int


def attributes(service, level, asn):
    """The `Attrs` of an address at a level; None at NONE."""
    if level == NONE:
        return None
    less = level == LESS
    return bgp.Attrs(
        0,
        ((bgp.SEQUENCE, (asn,) * (1 + (service.less_prepend if less else 0))),),
        service.next_hop,
        service.less_med if less else service.med,
        service.communities + ((bgp.GRACEFUL_SHUTDOWN,) if less else ()),
    )


def is_less(attrs):
    """Whether an announcement, ours or another's, is one that gives way."""
    return bgp.GRACEFUL_SHUTDOWN in attrs.communities


class Outbox:
    """What one peer was told. `families`: those that the session carries."""

    def __init__(self, asn):
        self.asn, self.told, self.families = asn, {}, ()

    def reset(self, families=()):
        """The session is new, or gone: the peer knows nothing."""
        self.told, self.families = {}, tuple(afi for afi, safi in families if safi == bgp.UNICAST)

    def forget(self, afi):
        """The peer asks for all of a family again."""
        self.told = {prefix: attrs for prefix, attrs in self.told.items() if prefix[0] != afi}

    def changes(self, services, level):
        """([(attributes, [prefixes])], [prefixes taken back]) to bring the peer up to date; they count as
        told."""
        wanted = {}
        for service in services:
            attrs = attributes(service, level, self.asn)
            if attrs is not None and service.prefix[0] in self.families:
                wanted[service.prefix] = attrs
        gone = [prefix for prefix in self.told if prefix not in wanted]
        groups = {}
        for prefix, attrs in wanted.items():
            if self.told.get(prefix) != attrs:
                groups.setdefault(attrs, []).append(prefix)
        self.told = wanted
        return list(groups.items()), gone


class Inbox:
    """Routes heard from one peer, for our own addresses only: the rest is counted and let go, so that a full
    table costs nothing. `ours`: (prefix, our next hop)."""

    def __init__(self, services, most):
        self.ours, self.most = {s.prefix: s.next_hop for s in services}, most
        self.reset()

    def reset(self):
        self.seen, self.count, self.ignored = {}, 0, 0

    def heard(self, update):
        """Whether the peer keeps to its bound: announcements less withdrawals, whatever they are of."""
        for prefix in update.withdrawn:
            self.count = max(0, self.count - 1)
            self.seen.pop(prefix, None)
        for prefix in update.announced:
            self.count += 1
            if prefix in self.ours:
                self.count -= prefix in self.seen
                self.seen[prefix] = update.attrs
            else:
                self.ignored += 1
        return self.count <= self.most

    def others(self, prefix):
        """Whether someone else announces this address, and not as one that gives way."""
        found = self.seen.get(prefix)
        return found is not None and found.next_hop != self.ours[prefix] and not is_less(found)


def others_for_all(services, inboxes):
    """Whether each of the addresses is seen from another, by one peer at least."""
    return bool(services) and all(any(inbox.others(s.prefix) for inbox in inboxes) for s in services)
