"""What a dispatcher knows of the configuration log, and which servers it polls for more and when.

A decided record is a fact, so one server that has it is enough: a dispatcher needs no quorum to read, and
goes on with what it knows when no server answers at all (static stability). Each round it polls two servers:
the first that works in its own order of preference, by rendezvous hashing of its name (Thaler and
Ravishankar, 1998), so that dispatchers spread evenly and a lost server's share spreads too; and one more in
turn, so that a server that is partitioned from the others is not the only one polled. Times in ns; `wall` is
wall-clock time without the steps of this machine's clock (`decide.wall_clock`).
"""

import hashlib
from collections.abc import Callable, Iterable
from typing import NamedTuple

from petrelwood.decide.cluster.log_records import Extract, Record, RecordKind
from petrelwood.decide.overload.backoff import Backoff

SECOND = 1_000_000_000
ROUND_INTERVAL = SECOND  # between two rounds of polls
ROUND_JITTER = 0.2  # part of a round that is drawn: dispatchers started together do not stay together
POLLED_EACH_ROUND = 2  # servers
ANSWER_TIMEOUT = SECOND  # a server that takes longer has failed
FIRST_BACKOFF = SECOND  # before a server that failed is polled again
MAX_BACKOFF = 30 * SECOND


class Version(NamedTuple):
    """A new version that this dispatcher has read from the log."""

    number: int
    rollout_start: int  # wall-clock ns at which its roll-out begins, for this dispatcher
    body: bytes  # see `log_records.decompress_text`


class Revocation(NamedTuple):
    """The revocation of a version by some dispatcher, read from the log."""

    number: int
    reason: str


def preference(name: str, servers: Iterable[str]) -> list[str]:
    """Return the servers in the order in which the dispatcher `name` prefers them."""
    return sorted(
        servers, key=lambda server: hashlib.blake2b(f"{name}/{server}".encode(), digest_size=8).digest()
    )


class VersionWatch:
    """Follows the log for one dispatcher.

    `position`: the last slot of the log that it has read; `rollout_time`: ns that a roll-out takes from its
    start to its last stage; `random_fraction()` is drawn in [0, 1).
    """

    __slots__ = (
        "backoffs",
        "random_fraction",
        "duplicates",
        "gaps",
        "last_answer_at",
        "next_round_at",
        "position",
        "rollout_time",
        "second_server",
        "servers",
    )

    def __init__(
        self,
        name: str,
        servers: Iterable[str],
        position: int,
        rollout_time: int,
        random_fraction: Callable[[], float],
    ) -> None:
        self.servers = preference(name, servers)
        self.position = position
        self.rollout_time = rollout_time
        self.random_fraction = random_fraction
        self.backoffs = {
            server: Backoff(FIRST_BACKOFF, MAX_BACKOFF, random_fraction) for server in self.servers
        }
        self.next_round_at = 0
        self.second_server = 0  # its place among those that work; the first is always polled
        self.last_answer_at: int | None = None
        self.gaps = 0  # answers that began after our position
        self.duplicates = 0  # answers that ended before our position

    def servers_to_poll(self, now: int) -> tuple[str, ...]:
        """Return the servers to poll now; none before the next round."""
        if now < self.next_round_at:
            return ()
        self.next_round_at = now + int(ROUND_INTERVAL * (1 - ROUND_JITTER * self.random_fraction()))
        working = [server for server in self.servers if self.backoffs[server].may_retry(now)]
        if len(working) < POLLED_EACH_ROUND:
            return tuple(working)
        self.second_server = self.second_server % (len(working) - 1) + 1
        return (working[0], working[self.second_server])

    def on_failure(self, server: str, now: int) -> None:
        """Handle a server without an answer in time, or with one that can't be read."""
        self.backoffs[server].failed(now)

    def on_answer(self, server: str, extract: Extract, now: int, wall: int) -> list[Version | Revocation]:
        """Return the new events in an answer, in the log's order."""
        self.backoffs[server].succeeded()
        self.last_answer_at = now
        if extract.since > self.position:
            self.gaps += 1
            return []
        if extract.chosen <= self.position:
            self.duplicates += extract.chosen < self.position
            return []
        fresh = [self._event(slot, record, wall) for slot, record in extract.entries if slot > self.position]
        self.position = extract.chosen
        return [event for event in fresh if event is not None]

    def _event(self, slot: int, record: Record, wall: int) -> Version | Revocation | None:
        if record.kind == RecordKind.REVOCATION:
            return Revocation(record.number, record.body.decode("utf-8", "replace"))
        if record.kind == RecordKind.VERSION:
            return Version(slot, self._rollout_start(record.rollout_start, wall), record.body)
        return None  # of a later build: not ours to act on

    def _rollout_start(self, proposed_start: int, wall: int) -> int:
        """Return when the stages of a version begin for this dispatcher, wall-clock ns.

        A record may be decided long after it was proposed, or be read late. The stages from its proposed
        start are over then, and all dispatchers that read it would apply it together: so they begin when it
        is read. They also do so for a start ahead of this clock: the record was proposed before it is read,
        so the clocks differ.
        """
        return proposed_start if 0 <= wall - proposed_start <= self.rollout_time else wall
