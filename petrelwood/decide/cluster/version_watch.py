"""What a dispatcher knows of the configuration log, whom it asks for more, and when.

A decided record is a fact, so one server that has it is enough: a dispatcher needs no quorum to read, and
goes on with what it knows when no server answers at all (static stability). Each round it asks two servers:
the first that works in its own order of preference, by rendezvous hashing of its name (Thaler and
Ravishankar,
1998), so that dispatchers spread evenly and a lost server's share spreads too; and one more in turn, so that
a server that is cut off from the others is not the only one heard. Times in ns; `wall` is wall-clock time
without the steps of this machine's clock (`decide.wall_clock`).
"""

import hashlib
from typing import NamedTuple

from petrelwood.decide.cluster.log_records import RecordKind
from petrelwood.decide.overload.backoff import Backoff

SECOND = 1_000_000_000
ROUND = SECOND  # between two rounds of questions
JITTER = (
    0.2  # part of a round by which it is drawn, so that dispatchers started together do not stay together
)
ANSWER_WITHIN = SECOND  # for one answer; a server that takes longer has failed
AGAIN, AGAIN_MOST = SECOND, 30 * SECOND  # waits before a server that failed is asked again


class Version(NamedTuple):
    """A version that this dispatcher has now heard of."""

    number: int
    begun: int  # wall-clock ns at which its roll-out begins, for this dispatcher
    body: bytes  # see `log_records.decompress_text`


class CallOff(NamedTuple):
    number: int
    why: str


def preference(name, servers):
    """`servers` in this dispatcher's own order."""

    def weight(server):
        return hashlib.blake2b(f"{name}/{server}".encode(), digest_size=8).digest()

    return sorted(servers, key=weight)


class VersionWatch:
    """`known`: the last slot of the log that this dispatcher has taken in. `staged`: how long a roll-out
    takes from its beginning to its last stage, ns."""

    def __init__(self, name, servers, known, staged, chance):
        self.order, self.known, self.staged, self.chance = preference(name, servers), known, staged, chance
        self.backoff = {server: Backoff(AGAIN, AGAIN_MOST, chance) for server in self.order}
        self.next, self.turn, self.heard = 0, 0, None
        self.gaps = self.duplicates = 0

    def due(self, now):
        """The servers to ask now; none before the next round."""
        if now < self.next:
            return ()
        self.next = now + int(ROUND * (1 - JITTER * self.chance()))
        working = [server for server in self.order if self.backoff[server].may_retry(now)]
        if len(working) < 2:
            return tuple(working)
        self.turn = self.turn % (len(working) - 1) + 1
        return (working[0], working[self.turn])

    def failed(self, server, now):
        """No answer in time, or none that can be read."""
        self.backoff[server].failed(now)

    def answered(self, server, extract, now, wall):
        """What is new in an answer: `Version` and `CallOff`, in the log's order."""
        self.backoff[server].succeeded()
        self.heard = now
        if extract.since > self.known:
            self.gaps += 1
            return []
        if extract.chosen <= self.known:
            self.duplicates += extract.chosen < self.known
            return []
        fresh = [self._news(slot, record, wall) for slot, record in extract.entries if slot > self.known]
        self.known = extract.chosen
        return [one for one in fresh if one is not None]

    def _news(self, slot, record, wall):
        if record.kind == RecordKind.REVOCATION:
            return CallOff(record.number, record.body.decode("utf-8", "replace"))
        if record.kind == RecordKind.VERSION:
            return Version(slot, self._begins(record.begun, wall), record.body)
        return None  # of a later build: not ours to act on

    def _begins(self, begun, wall):
        """A record may be decided long after it was proposed, or be heard of late. Its stages are over then,
        and all who hear of it would take it together: so they begin when it is heard of. So they do where it
        is dated ahead of this clock: it was proposed before it is heard of, and the clocks differ."""
        return begun if 0 <= wall - begun <= self.staged else wall
