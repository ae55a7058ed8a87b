"""A small replicated log of configuration records on an odd number of servers: the replica of one server.

Each slot of the log is decided by single-decree Paxos (Lamport, "Paxos Made Simple", 2001). There is no
leader and no lease. A few hundred records a day need neither, and the ballot of a proposer that was paused is
rejected, whereas with leases it could act on an expired one. A replica votes only in the first undecided
slot, so its voting state is always one promise and one accepted record.

A replica that has lost its disk must not vote as if it had never promised anything. It requests from a
majority of all servers, not counting itself, the highest slot in which each has voted. It votes again from
the second slot after the highest of these; see `Replica.rejoin`.

This module does no I/O. The owner of a `Replica` must make `durable_state()` survive a crash before it sends
a reply that was returned while `changed` was true; see `durable_replica`.
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

RETAINED_RECORDS = 128  # newest decided records that a replica keeps
RETAINED_TEXTS = 4  # newest versions in force that keep their settings, in case the last one is revoked


def majority(servers: int) -> int:
    """Return the quorum size of a cluster with `servers` servers."""
    return servers // 2 + 1


class Replica:
    """The log of one server, and its vote in the first undecided slot.

    `votes_from` is the first slot in which it votes, or None if it has lost its disk and has not rejoined.
    All slots up to `chosen` are decided. `changed` tells whether the state in memory differs from the last
    durable state.
    """

    def __init__(self, votes_from: int | None = 1) -> None:
        self.votes_from = votes_from
        self.chosen = 0
        self.records: dict[int, Record] = {}
        self.promised = LOWEST
        self.accepted = LOWEST
        self.record: Record | None = None  # the accepted record
        self.changed = False

    # Durable state
    def durable_state(self) -> list[Any]:
        """Return the complete state as plain values in its stored form; see `from_durable_state`."""
        entries = [[slot, *record] for slot, record in self.records.items()]
        record = None if self.record is None else list(self.record)
        return [self.votes_from, self.chosen, entries, list(self.promised), list(self.accepted), record]

    @classmethod
    def from_durable_state(cls, value: Sequence[Any]) -> "Replica":
        """Return the replica with this stored state.

        Raises:
            ValueError: the value is not a stored state.
            TypeError: the value is not a stored state.
        """
        votes_from, chosen, entries, promised, accepted, record = value
        replica = cls(votes_from)
        replica.chosen = int(chosen)
        replica.records = {int(slot): Record(*fields) for slot, *fields in entries}
        replica.promised = Ballot(*promised)
        replica.accepted = Ballot(*accepted)
        replica.record = None if record is None else Record(*record)
        return replica

    # Voting
    def answer(self, message: Message) -> Reply:
        """Apply a message to the state, and return the reply."""
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
        """Return the highest slot in which this replica may have voted, or None if that is not known."""
        if self.votes_from is None:
            return None
        return max(self.chosen + (self.promised > LOWEST), self.votes_from - 1)

    def rejoin(self, voted_in: Mapping[str, int], servers: int) -> bool:
        """Rejoin after the loss of the disk; return whether the replica votes again.

        Args:
            voted_in: the results of `voted_in` of other servers, by server.
            servers: the number of servers, including this one.

        Suppose that this replica voted in a slot before the loss. The slot's proposer knew that the preceding
        slot was decided, so a majority had voted in that one. Any majority that excludes this replica
        contains at least one of those voters. Hence this replica has never voted in the second slot after the
        highest one reported. Until that slot, the other servers decide. `lacks_slots` tells whether a
        NO_OPERATION should be appended: without it, several disk replacements in succession, with no record
        between them, would leave no voting quorum.
        """
        if self.votes_from is None and len(voted_in) >= majority(servers):
            self.votes_from = max(voted_in.values()) + 2
            self.changed = True
        return self.votes_from is not None

    def lacks_slots(self) -> bool:
        """Return whether more slots must be decided before this replica votes."""
        return self.votes_from is not None and self.chosen + 1 < self.votes_from

    # The log
    def learn(self, extract: Extract) -> bool:
        """Apply decided slots; return whether any were new. An extract that leaves a gap is ignored."""
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

        With `compact`, as for dispatchers, these are only the revocations and the newest version in force;
        otherwise all retained records.
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
        """Return the slot of a record, or None if it is not retained."""
        return next((slot for slot, record in self.records.items() if record.id == record_id), None)

    def is_revoked(self, number: int) -> bool:
        """Return whether a version is revoked."""
        return any(
            record.kind == RecordKind.REVOCATION and record.number == number
            for record in self.records.values()
        )

    def _versions_in_force(self) -> list[int]:
        """Return the slots of the newest versions that are not revoked, sorted."""
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
