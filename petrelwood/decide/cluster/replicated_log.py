"""A small replicated log of configuration records on an odd number of servers, by majority quorum.

Each slot of the log is decided by single-decree Paxos (Lamport, "Paxos Made Simple", 2001). There is no
leader and no lease: a few hundred records a day need neither, and a proposer that was paused finds its ballot
refused instead of acting on a lease that has run out. A replica votes in the first undecided slot only, so
that its voting state is one promise and one accepted record, whatever happens.

A replica that has lost its disk must not vote as if it had never promised anything. It asks a majority of all
servers, itself not counted, for the highest slot that each has voted in, and votes again from the second slot
after that one: see `Replica.rejoin`.

A version's settings are kept compressed: what 400 dispatchers ask for at once is then a tenth of it.

Free of I/O. Who drives a `Replica` makes `durable()` outlive a crash before any reply leaves that was given
while `changed` was true. Times in ns of any clock that does not go back."""

import zlib
from typing import NamedTuple

VERSION, CALL_OFF, NO_OPERATION = "version", "call off", "no operation"
MS = 1_000_000
KEPT = 128  # decided records that a replica keeps, the newest ones
TEXTS = 4  # the newest versions that stand are kept with their settings, for when the last is called off
DOCUMENT = 2 << 20  # bytes of one version's text at most; 13,000 functions by name take 831 KB
ATTEMPT = 1_000 * MS  # for each phase of a ballot to find a majority, before a higher one is tried
PATIENCE = 4_000 * MS  # for a record to be decided, before its author is told that there is no quorum
RETRY = 20 * MS  # the first wait after a refused ballot; doubled each time and drawn from all of it
RETRY_MOST = 500 * MS


class Ballot(NamedTuple):
    """Ordered by round, then by the proposer's identity, which no other process ever has."""

    round: int
    proposer: str


LOWEST = Ballot(0, "")


class Record(NamedTuple):
    """What the log holds. `id` is unique, so that a record that is appended again is found again."""

    id: str
    kind: str  # VERSION, CALL_OFF or NO_OPERATION
    number: int  # CALL_OFF: the version that is called off; a version's own number is its slot
    begun: int  # VERSION: wall-clock ns at which its roll-out begins
    body: bytes  # VERSION: the settings, whole, by `packed`; CALL_OFF: who calls it off, and why, in UTF-8


class Extract(NamedTuple):
    """All that was decided in the slots after `since` up to `chosen`, but for what is superseded."""

    since: int
    chosen: int
    entries: tuple  # of (slot, Record), by slot


class Prepare(NamedTuple):
    slot: int
    ballot: Ballot


class Accept(NamedTuple):
    slot: int
    ballot: Ballot
    record: Record


class Learn(NamedTuple):
    extract: Extract


class Promise(NamedTuple):
    accepted: Ballot  # LOWEST where no record was accepted
    record: Record | None


class Accepted(NamedTuple):
    pass


class Refused(NamedTuple):
    """The slot is promised to a higher ballot."""

    promised: Ballot


class Behind(NamedTuple):
    """The replica lacks decided slots before this one."""

    chosen: int


class Ahead(NamedTuple):
    """The slot is decided already."""

    extract: Extract


class NotVoting(NamedTuple):
    """The replica has lost its disk and may have voted in this slot before, or its disk fails at present."""


class Learned(NamedTuple):
    chosen: int


Message = Prepare | Accept | Learn
Reply = Promise | Accepted | Refused | Behind | Ahead | NotVoting | Learned


class Damaged(Exception):
    """A body that is none that `packed` has made."""


def packed(text):
    """The body of a version, of its settings."""
    return zlib.compress(text.encode("utf-8"))


def unpacked(body):
    """The settings that a version's body holds, `DOCUMENT` bytes at most. Raises `Damaged`."""
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(body, DOCUMENT + 1).decode("utf-8")
    except (zlib.error, ValueError) as fault:
        raise Damaged(str(fault)) from None
    if len(text) > DOCUMENT or not unpacker.eof:
        raise Damaged("it is too large, or not whole")
    return text


def majority(servers):
    """How many of `servers` (a number) make a quorum."""
    return servers // 2 + 1


class Replica:
    """The log of one server, and its vote in the first undecided slot. `votes_from`: the first slot that it
    votes in; None for one that has lost its disk and has not rejoined yet."""

    def __init__(self, votes_from=1):
        self.votes_from = votes_from
        self.chosen, self.records = 0, {}
        self.promised, self.accepted, self.record = LOWEST, LOWEST, None
        self.changed = False

    # What survives a crash.
    def durable(self):
        """All of it as plain values; see `restored`."""
        entries = [[slot, *record] for slot, record in self.records.items()]
        record = None if self.record is None else list(self.record)
        return [self.votes_from, self.chosen, entries, list(self.promised), list(self.accepted), record]

    @classmethod
    def restored(cls, value):
        """Raises ValueError or TypeError for what `durable` can't have said."""
        votes_from, chosen, entries, promised, accepted, record = value
        replica = cls(votes_from)
        replica.chosen = int(chosen)
        replica.records = {int(slot): Record(*fields) for slot, *fields in entries}
        replica.promised, replica.accepted = Ballot(*promised), Ballot(*accepted)
        replica.record = None if record is None else Record(*record)
        return replica

    # Voting.
    def answer(self, message):
        """The reply to a `Prepare`, `Accept` or `Learn`."""
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
            return Refused(self.promised)
        self.promised, self.changed = message.ballot, True
        if isinstance(message, Prepare):
            return Promise(self.accepted, self.record)
        self.accepted, self.record = message.ballot, message.record
        return Accepted()

    def voted_in(self):
        """The highest slot that this replica may have voted in, for one that rejoins; None: not known."""
        if self.votes_from is None:
            return None
        return max(self.chosen + (self.promised > LOWEST), self.votes_from - 1)

    def rejoin(self, voted_in, servers):
        """After the loss of the disk. `voted_in`: what other servers know, by name. Whether it votes again.

        A slot that it may have voted in before was proposed by a server that knew the slot before it to be
        decided, so that a majority had voted there; of any majority that does not count this replica, one
        at least was among them. Hence the second slot after the highest of these is new to it. Until then
        the others decide; `lacks_slots` tells whether a NO_OPERATION should, as otherwise one replacement
        after the other without a record between them would leave no quorum that votes.
        """
        if self.votes_from is None and len(voted_in) >= majority(servers):
            self.votes_from, self.changed = max(voted_in.values()) + 2, True
        return self.votes_from is not None

    def lacks_slots(self):
        """Whether slots have to be decided before it votes."""
        return self.votes_from is not None and self.chosen + 1 < self.votes_from

    # The log.
    def learn(self, extract):
        """Takes in decided slots; whether there were new ones. A gap changes nothing: it is asked again."""
        if extract.since > self.chosen or extract.chosen <= self.chosen:
            return False
        for slot, record in extract.entries:
            if slot > self.chosen:
                self.records[slot] = record
        self.chosen = extract.chosen
        self.promised, self.accepted, self.record = LOWEST, LOWEST, None
        self._trim()
        self.changed = True
        return True

    def extract(self, since, compact=False):
        """What was decided after a slot. `compact`: for who follows, only the call-offs and the newest
        version that stands; else all that is kept."""
        entries = [(slot, record) for slot, record in self.records.items() if slot > since]
        if compact:
            newest = self._standing()[-1:]
            entries = [(s, r) for s, r in entries if r.kind == CALL_OFF or s in newest]
        return Extract(since, self.chosen, tuple(entries))

    def slot_of(self, record_id):
        """The slot of a record, or None."""
        return next((slot for slot, record in self.records.items() if record.id == record_id), None)

    def is_off(self, number):
        """Whether a version was called off."""
        return any(r.kind == CALL_OFF and r.number == number for r in self.records.values())

    def _standing(self):
        """The slots of the newest versions that were not called off."""
        versions = (slot for slot, record in self.records.items() if record.kind == VERSION)
        return sorted(slot for slot in versions if not self.is_off(slot))[-TEXTS:]

    def _trim(self):
        standing = self._standing()
        for slot in sorted(self.records)[:-KEPT]:
            if slot not in standing:
                del self.records[slot]
        for slot, record in self.records.items():
            if record.kind == VERSION and slot not in standing:
                self.records[slot] = record._replace(body=b"")


class Proposer:
    """Makes the ballots of one process. `identity`: unique to it, so that no ballot is used twice for two
    records, also not after a restart or the loss of a disk."""

    def __init__(self, identity):
        self.identity, self.round = identity, 0

    def ballot(self, above):
        """A new ballot whose round is over `above` and over all before it."""
        self.round = max(self.round, above) + 1
        return Ballot(self.round, self.identity)


class Append:
    """Has one record decided, in whichever slot is free: the proposer's side.

    `send(server, message)` is called for each message that goes out, this server's own among them; its reply
    comes back through `reply`, late or never. `done`: the record's slot once it is decided; `failed`: there
    was no quorum in time, and the record may still be decided later: appended again under its id it is found.
    """

    def __init__(self, replica, proposer, servers, record, now, chance, send):
        self.replica, self.proposer, self.servers, self.own = replica, proposer, tuple(servers), record
        self.chance, self.send, self.until = chance, send, now + PATIENCE
        self.done, self.failed, self.refusals = None, False, 0
        self._attempt(now)

    def _attempt(self, now):
        """A new ballot in the first undecided slot."""
        self.done = self.replica.slot_of(self.own.id)
        if self.done is not None:
            return
        self.slot, self.ballot = self.replica.chosen + 1, self.proposer.ballot(self.replica.promised.round)
        self.record, self.promises, self.accepts, self.again = None, {}, set(), now + ATTEMPT
        self._broadcast(Prepare(self.slot, self.ballot))

    def _broadcast(self, message):
        for server in self.servers:
            self.send(server, message)

    def check(self, now):
        """Asked often: a ballot that finds no majority is followed by a higher one."""
        if self.done is not None or self.failed:
            return
        if now >= self.until:
            self.failed = True
        elif now >= self.again:
            self._attempt(now)

    def reply(self, server, message, reply, now):
        """`message` is the one that was answered."""
        if self.done is not None or self.failed or not isinstance(message, (Prepare, Accept)):
            return
        if isinstance(reply, Behind):
            self.send(server, Learn(self.replica.extract(reply.chosen)))
            self.send(server, message)
        if message.ballot != self.ballot or message.slot != self.slot:
            return
        if isinstance(reply, Ahead):
            self.replica.learn(reply.extract)
            self._attempt(now)
        elif isinstance(reply, Refused):
            self._refused(reply.promised, now)
        elif isinstance(reply, Promise):
            self._promised(server, reply, now)
        elif isinstance(reply, Accepted):
            self._accepted(server, now)

    def _refused(self, promised, now):
        """Another proposer is ahead: a wait that is drawn anew each time lets one of them finish."""
        if promised <= self.ballot:
            return
        self.proposer.round = max(self.proposer.round, promised.round)
        wait = min(RETRY << min(self.refusals, 8), RETRY_MOST)
        self.refusals += 1
        self.again = now + 1 + int(self.chance() * wait)

    def _promised(self, server, promise, now):
        self.promises[server] = promise
        if self.record is not None or len(self.promises) < majority(len(self.servers)):
            return
        best = max(self.promises.values(), key=lambda one: one.accepted)
        self.record = self.own if best.record is None else best.record
        self.again = now + ATTEMPT
        self._broadcast(Accept(self.slot, self.ballot, self.record))

    def _accepted(self, server, now):
        self.accepts.add(server)
        if len(self.accepts) < majority(len(self.servers)):
            return
        decided = Extract(self.slot - 1, self.slot, ((self.slot, self.record),))
        self.replica.learn(decided)
        self._broadcast(Learn(decided))
        self._attempt(now)
