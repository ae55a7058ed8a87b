"""A routing table: paths by prefix and neighbour, the best of them, and those that are equally good (RFC
4271, 9.1, in parts).

Shorter AS path, lower origin, lower MED among paths of the same neighbouring AS, then the lower identifier;
paths that differ in the last only share the traffic. The graceful-shutdown community makes a path the last
choice (RFC 8326). Flows are spread by hash, or resiliently: a bucket keeps its path until that path goes."""

import hashlib

from petrelwood.wire import bgp

BUCKETS = 128


def _rank(attrs):
    return (bgp.GRACEFUL_SHUTDOWN in attrs.communities, bgp._length(attrs.path), attrs.origin)


def _first_as(attrs):
    return attrs.path[0][1][0] if attrs.path and attrs.path[0][0] == bgp.SEQUENCE else 0


class RoutingTable:
    """`peers` are named by anything that sorts; `most`: paths held at all."""

    def __init__(self, most=100_000):
        self.paths, self.most, self.count, self.buckets = {}, most, 0, {}

    def heard(self, peer, update):
        """Takes an update in: the prefixes whose best paths have changed. Raises `ValueError` over the
        bound."""
        changed = []
        for prefix in update.withdrawn:
            changed += [prefix] if self._take(prefix, peer, None) else []
        for prefix in update.announced:
            changed += [prefix] if self._take(prefix, peer, update.attrs) else []
        return changed

    def gone(self, peer):
        """A session ended: its paths are gone."""
        return [
            prefix
            for prefix in [p for p, paths in self.paths.items() if peer in paths]
            if self._take(prefix, peer, None)
        ]

    def _take(self, prefix, peer, attrs):
        before = self.best(prefix)
        paths = self.paths.setdefault(prefix, {})
        if attrs is None:
            self.count -= paths.pop(peer, None) is not None
        else:
            if peer not in paths and self.count >= self.most:
                raise ValueError(f"over {self.most} paths")
            self.count += peer not in paths
            paths[peer] = attrs
        if not paths:
            del self.paths[prefix]
        return before != self.best(prefix)

    def best(self, prefix):
        """[(peer, Attrs)]: all that are equally good, the one of the lowest peer first."""
        paths = self.paths.get(prefix)
        if not paths:
            return []
        least = min(map(_rank, paths.values()))
        left = {peer: attrs for peer, attrs in paths.items() if _rank(attrs) == least}
        meds = {}
        for attrs in left.values():  # no MED counts as the lowest
            meds[_first_as(attrs)] = min(meds.get(_first_as(attrs), 1 << 32), attrs.med or 0)
        return sorted(
            (peer, attrs) for peer, attrs in left.items() if (attrs.med or 0) == meds[_first_as(attrs)]
        )

    def pick(self, prefix, flow, resilient=False):
        """The peer that a flow (any text) goes to, or None."""
        peers = [peer for peer, _ in self.best(prefix)]
        if not peers:
            return None
        mark = int.from_bytes(hashlib.blake2b(str(flow).encode(), digest_size=4).digest(), "big")
        if not resilient:
            return peers[mark % len(peers)]
        held, number = self.buckets.setdefault(prefix, {}), mark % BUCKETS
        if held.get(number) not in peers:
            shares = {peer: sum(1 for p in held.values() if p == peer) for peer in peers}
            held[number] = min(peers, key=lambda p: (shares[p], str(p)))
        return held[number]
