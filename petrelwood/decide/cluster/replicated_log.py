"""A small replicated log of configuration records on an odd number of servers: the replica of one server.

Each slot of the log is decided by single-decree Paxos (Lamport, "Paxos Made Simple", 2001). There is no
leader and no lease: a few hundred records a day need neither, and a proposer that was paused finds its ballot
rejected instead of acting on a lease that has expired. A replica votes in the first undecided slot only, so
its voting state is always one promise and one accepted record.

A replica that has lost its disk must not vote as if it had never promised anything. It asks a majority of all
servers, itself not counted, for the highest slot that each has voted in, and votes again from the second slot
after the highest of these: see `Replica.rejoin`.

Free of I/O. The owner of a `Replica` makes `durable_state()` survive a crash before it sends any reply that
was given while `changed` was true; see `durable_replica`.
"""

from collections.abc import Mapping, Sequence
from typing import Any

from petrelwood.decide.cluster.log_records import (
    LOWEST,
    Accept,
    Accepted,
    Ahead,
    Ballot,
    Behind,
    Entry,
    Extract,
    Learn,
    Learned,
    Message,
    NotVoting,
    Prepare,
    Promise,
    Record,
    RecordKind,
    Rejected,
    Reply,
)

RETAINED_RECORDS = 128  # decided records that a replica keeps, the newest ones
RETAINED_TEXTS = 4  # the newest versions in force keep their settings, for when the last is revoked


def majority(servers: int) -> int:
    """Return how many of `servers` servers make a quorum."""
    return servers // 2 + 1


class Replica:
    """The log of one server, and its vote in the first undecided slot.

    `votes_from`: the first slot that it votes in; None for one that has lost its disk and has not rejoined.
    `chosen`: the last slot up to which all are decided. `changed`: whether there is more in memory than in
    the last durable state.
    """

    def __init__(self, votes_from: int | None = 1) -> None:
        self.votes_from = votes_from
        self.chosen = 0
        self.records: dict[int, Record] = {}
        self.promised = LOWEST
        self.accepted = LOWEST
        self.record: Record | None = None  # the one that was accepted
        self.changed = False

    # What survives a crash.
    def durable_state(self) -> list[Any]:
        """Return the complete state as plain values, the stored form; see `from_durable_state`."""
        entries = [[slot, *record] for slot, record in self.records.items()]
        record = None if self.record is None else list(self.record)
        return [self.votes_from, self.chosen, entries, list(self.promised), list(self.accepted), record]

    @classmethod
    def from_durable_state(cls, value: Sequence[Any]) -> "Replica":
        """Return the replica of a stored form.

        Raises:
            ValueError: the value has another form.
            TypeError: the value has another form.
        """
        votes_from, chosen, entries, promised, accepted, record = value
        replica = cls(votes_from)
        replica.chosen = int(chosen)
        replica.records = {int(slot): Record(*fields) for slot, *fields in entries}
        replica.promised = Ballot(*promised)
        replica.accepted = Ballot(*accepted)
        replica.record = None if record is None else Record(*record)
        return replica

    # Voting.
    def answer(self, message: Message) -> Reply:
        """Return the reply to a message, and change the state by it."""
        if isinstance(message, Learn):
            self.learn(message.extract)
            return Learned(self.chosen)
        if message.slot <= self.chosen:
            return Ahead(self.extract(message.slot - 1))
        if message.slot > self.chosen + 1:
            return Behind(self.chosen)
        if self.votes_from is None or message.slot < self.votes_from:
            return NotVoting()
        if message.ballot < self.promised:
            return Rejected(self.promised)
        return self._vote(message)

    def _vote(self, message: Prepare | Accept) -> Reply:
        self.promised = message.ballot
        self.changed = True
        if isinstance(message, Prepare):
            return Promise(self.accepted, self.record)
        self.accepted = message.ballot
        self.record = message.record
        return Accepted()

    def voted_in(self) -> int | None:
        """Return the highest slot that this replica may have voted in, or None if that is not known."""
        if self.votes_from is None:
            return None
        return max(self.chosen + (self.promised > LOWEST), self.votes_from - 1)

    def rejoin(self, voted_in: Mapping[str, int], servers: int) -> bool:
        """Rejoin after the loss of the disk; return whether the replica votes again.

        Args:
            voted_in: the results of other servers' `voted_in`, by server.
            servers: how many servers there are, this one included.

        A slot that this replica may have voted in before the loss was proposed by a server that knew the slot
        before it to be decided, so a majority had voted there. Any majority that does not count this replica
        contains at least one of those voters. Hence the second slot after the highest of these is new to it.
        Until then the others decide. `lacks_slots` tells whether a NO_OPERATION should be appended: otherwise
        one replacement of a disk after the other, without a record between them, would leave no quorum that
        votes.
        """
        if self.votes_from is None and len(voted_in) >= majority(servers):
            self.votes_from = max(voted_in.values()) + 2
            self.changed = True
        return self.votes_from is not None

    def lacks_slots(self) -> bool:
        """Return whether slots have to be decided before this replica votes."""
        return self.votes_from is not None and self.chosen + 1 < self.votes_from

    # The log.
    def learn(self, extract: Extract) -> bool:
        """Learn decided slots; return whether any were new. An extract that leaves a gap changes nothing."""
        if extract.since > self.chosen or extract.chosen <= self.chosen:
            return False
        for slot, record in extract.entries:
            if slot > self.chosen:
                self.records[slot] = record
        self.chosen = extract.chosen
        self.promised = LOWEST
        self.accepted = LOWEST
        self.record = None
        self._trim()
        self.changed = True
        return True

    def extract(self, since: int, compact: bool = False) -> Extract:
        """Return the decided records after the slot `since`.

        `compact`: for dispatchers, only the revocations and the newest version in force; else all that are
        retained.
        """
        entries = [Entry(slot, record) for slot, record in self.records.items() if slot > since]
        if compact:
            newest = self._versions_in_force()[-1:]
            entries = [
                entry
                for entry in entries
                if entry.record.kind == RecordKind.REVOCATION or entry.slot in newest
            ]
        return Extract(since, self.chosen, tuple(entries))

    def slot_of(self, record_id: str) -> int | None:
        """Return the slot of a record, or None."""
        return next((slot for slot, record in self.records.items() if record.id == record_id), None)

    def is_revoked(self, number: int) -> bool:
        """Return whether a version was revoked."""
        return any(
            record.kind == RecordKind.REVOCATION and record.number == number
            for record in self.records.values()
        )

    def _versions_in_force(self) -> list[int]:
        """Return the slots of the newest versions that were not revoked, sorted."""
        versions = (slot for slot, record in self.records.items() if record.kind == RecordKind.VERSION)
        return sorted(slot for slot in versions if not self.is_revoked(slot))[-RETAINED_TEXTS:]

    def _trim(self) -> None:
        in_force = self._versions_in_force()
        for slot in sorted(self.records)[:-RETAINED_RECORDS]:
            if slot not in in_force:
                del self.records[slot]
        for slot, record in self.records.items():
            if record.kind == RecordKind.VERSION and slot not in in_force:
                self.records[slot] = record._replace(body=b"")
