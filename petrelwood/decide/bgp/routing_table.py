"""A routing table: paths by prefix and neighbour, and the best paths (part of RFC 4271, 9.1).

The order is: shorter AS path, lower origin, lower MED among paths of the same neighbouring AS, lower
identifier. Paths that differ only in the identifier share the traffic. A path with the graceful-shutdown
community is used only if there is no other (RFC 8326). Flows are spread by a hash, or resiliently: a bucket
of flows keeps its path until that path is gone.
"""

import hashlib
from typing import Any

from petrelwood.decide.bgp.announcement import Prefix, is_reduced
from petrelwood.errors import PetrelwoodError
from petrelwood.wire import bgp

BUCKETS = 128  # number of flow buckets for resilient spreading
MAX_PATHS = 100_000
NO_MED = 1 << 32  # above every MED, which has 32 bits
Peer = Any
"""The identifier of a neighbour: any sortable and hashable value."""


class RouteLimitError(PetrelwoodError):
    """An update would exceed the maximum number of paths of a routing table."""


def _rank(attrs: bgp.Attrs) -> tuple[bool, int, int]:
    return is_reduced(attrs), bgp.path_length(attrs.path), attrs.origin


def _first_as(attrs: bgp.Attrs) -> int:
    """Return the neighbouring AS of a path, or 0."""
    is_sequence = attrs.path and attrs.path[0][0] == bgp.SEQUENCE
    first: int = attrs.path[0][1][0] if is_sequence else 0
    return first


def _med(attrs: bgp.Attrs) -> int:
    """Return the MED of a path; a missing MED counts as the lowest."""
    return attrs.med or 0


class RoutingTable:
    """The paths of all neighbours; at most `max_paths` are accepted."""

    def __init__(self, max_paths: int = MAX_PATHS) -> None:
        self.max_paths = max_paths
        self.paths: dict[Prefix, dict[Peer, bgp.Attrs]] = {}
        self.path_count = 0
        self.buckets: dict[Prefix, dict[int, Peer]] = {}

    def apply(self, peer: Peer, update: bgp.Update) -> list[Prefix]:
        """Apply an update; return the prefixes whose best paths have changed.

        Raises:
            RouteLimitError: there would be too many paths.
        """
        changed = [prefix for prefix in update.withdrawn if self._withdraw(prefix, peer)]
        attrs = update.attrs
        if attrs is not None:
            changed += [prefix for prefix in update.announced if self._announce(prefix, peer, attrs)]
        return changed

    def remove_peer(self, peer: Peer) -> list[Prefix]:
        """Remove the paths of an ended session; return the prefixes whose best paths have changed."""
        prefixes = [prefix for prefix, paths in self.paths.items() if peer in paths]
        return [prefix for prefix in prefixes if self._withdraw(prefix, peer)]

    def _withdraw(self, prefix: Prefix, peer: Peer) -> bool:
        before = self.best(prefix)
        paths = self.paths.get(prefix, {})
        if paths.pop(peer, None) is not None:
            self.path_count -= 1
        if not paths:
            self.paths.pop(prefix, None)
        return before != self.best(prefix)

    def _announce(self, prefix: Prefix, peer: Peer, attrs: bgp.Attrs) -> bool:
        before = self.best(prefix)
        paths = self.paths.setdefault(prefix, {})
        if peer not in paths:
            if self.path_count >= self.max_paths:
                raise RouteLimitError(f"the routing table can't have over {self.max_paths} paths")
            self.path_count += 1
        paths[peer] = attrs
        return before != self.best(prefix)

    def best(self, prefix: Prefix) -> list[tuple[Peer, bgp.Attrs]]:
        """Return all equally good best paths, that of the lowest peer first."""
        paths = self.paths.get(prefix)
        if not paths:
            return []
        least = min(map(_rank, paths.values()))
        candidates = {peer: attrs for peer, attrs in paths.items() if _rank(attrs) == least}
        meds: dict[int, int] = {}  # the lowest MED by neighbouring AS
        for attrs in candidates.values():
            first = _first_as(attrs)
            meds[first] = min(meds.get(first, NO_MED), _med(attrs))
        return sorted(
            (peer, attrs) for peer, attrs in candidates.items() if _med(attrs) == meds[_first_as(attrs)]
        )

    def pick(self, prefix: Prefix, flow: object, resilient: bool = False) -> Peer | None:
        """Return the peer to which a flow is sent, or None; the flow is identified by its `str`."""
        peers = [peer for peer, _ in self.best(prefix)]
        if not peers:
            return None
        flow_hash = int.from_bytes(hashlib.blake2b(str(flow).encode(), digest_size=4).digest(), "big")
        if not resilient:
            return peers[flow_hash % len(peers)]
        buckets = self.buckets.setdefault(prefix, {})
        number = flow_hash % BUCKETS
        if buckets.get(number) not in peers:
            shares = {peer: sum(1 for each in buckets.values() if each == peer) for peer in peers}
            buckets[number] = min(peers, key=lambda peer: (shares[peer], str(peer)))
        return buckets[number]
