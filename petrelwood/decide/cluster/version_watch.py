"""A dispatcher's position in the configuration log, and which servers it polls for new records and when.

A decided record is final, so a dispatcher needs no quorum to read; one server that has the record suffices.
If no server answers, the dispatcher continues with the records that it has (static stability). In each round
it polls two servers. The first is the first working one in its own order of preference, which is by
rendezvous hashing of its name (Thaler and Ravishankar, 1998); thus the load is spread evenly, and so is the
share of a lost server. The second one rotates over the other working servers, so that a server that is
partitioned from the rest is not the only one polled. Times in ns; `wall` is wall-clock time without the steps
of this machine's clock (`decide.wall_clock`).
"""

import hashlib
from collections.abc import Callable, Iterable
from typing import NamedTuple

from petrelwood.decide.cluster.log_records import Extract, Record, RecordKind
from petrelwood.decide.overload.backoff import Backoff

SECOND = 1_000_000_000
ROUND_INTERVAL = SECOND  # longest time between two rounds of polls
# Share of the interval by which it is shortened at random, so that dispatchers do not poll in lockstep.
ROUND_JITTER = 0.2
POLLED_EACH_ROUND = 2  # number of servers polled in a round
ANSWER_TIMEOUT = SECOND  # after which a poll counts as failed
FIRST_BACKOFF = SECOND  # before a server that failed is polled again
MAX_BACKOFF = 30 * SECOND


class Version(NamedTuple):
    """A new version read from the log."""

    number: int
    rollout_start: int  # the start of its roll-out for this dispatcher, wall-clock ns
    body: bytes  # see `log_records.decompress_text`


class Revocation(NamedTuple):
    """The revocation of a version by a dispatcher, read from the log."""

    number: int
    reason: str


def preference(name: str, servers: Iterable[str]) -> list[str]:
    """Return the servers in the order in which the dispatcher `name` prefers them."""
    return sorted(
        servers, key=lambda server: hashlib.blake2b(f"{name}/{server}".encode(), digest_size=8).digest()
    )


class VersionWatch:
    """Follows the log for one dispatcher.

    `position` is the last slot of the log that was read; `rollout_time` is the time from the start of a
    roll-out to its last stage, ns; `random_fraction()` returns a random number in [0, 1).
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
        self.second_server = 0  # index of the rotating server among the working ones; 0 is always polled
        self.last_answer_at: int | None = None
        self.gaps = 0  # number of answers that began after the position
        self.duplicates = 0  # number of answers that ended before the position

    def servers_to_poll(self, now: int) -> tuple[str, ...]:
        """Return the servers to poll now, or none before the next round is due."""
        if now < self.next_round_at:
            return ()
        self.next_round_at = now + int(ROUND_INTERVAL * (1 - ROUND_JITTER * self.random_fraction()))
        working = [server for server in self.servers if self.backoffs[server].may_retry(now)]
        if len(working) < POLLED_EACH_ROUND:
            return tuple(working)
        self.second_server = self.second_server % (len(working) - 1) + 1
        return (working[0], working[self.second_server])

    def on_failure(self, server: str, now: int) -> None:
        """Handle that a server did not answer in time, or that its answer can't be read."""
        self.backoffs[server].failed(now)

    def on_answer(self, server: str, extract: Extract, now: int, wall: int) -> list[Version | Revocation]:
        """Return the new events in an answer, in the order of the log."""
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
        return None  # a record kind of a later build

    def _rollout_start(self, proposed_start: int, wall: int) -> int:
        """Return when the stages of a version begin for this dispatcher, wall-clock ns.

        A record may be decided long after it was proposed, or be read late. If all stages from its proposed
        start are over by then, all dispatchers that read it would apply it at the same time; the stages begin
        when it is read instead. They also do so for a start ahead of this clock: a record is proposed before
        it is read, so such a start shows that the clocks differ.
        """
        return proposed_start if 0 <= wall - proposed_start <= self.rollout_time else wall
