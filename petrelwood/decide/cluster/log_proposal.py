"""The proposer of single-decree Paxos, which gets one record decided in the replicated log.

This module does no I/O. Times in ns of any monotonic clock.
"""

from collections.abc import Callable, Sequence

from petrelwood.decide.cluster.log_records import (
    Accept,
    Accepted,
    Ahead,
    Ballot,
    Behind,
    Entry,
    Extract,
    Learn,
    Message,
    Prepare,
    Promise,
    Record,
    Rejected,
    Reply,
)
from petrelwood.decide.cluster.replicated_log import Replica, majority

MS = 1_000_000
PHASE_TIMEOUT = 1_000 * MS  # for each phase of a ballot to reach a majority, before a higher ballot is tried
QUORUM_TIMEOUT = 4_000 * MS  # for a record to be decided, before the proposal fails without a quorum
# After a rejected ballot the delay is drawn uniformly below a bound, which doubles with each rejection.
FIRST_RETRY_DELAY = 20 * MS  # the first bound
MAX_RETRY_DELAY = 500 * MS  # the highest bound
MAX_DOUBLINGS = 8


class Proposer:
    """Creates the ballots of one process.

    `identity` is unique to the process, so that no ballot is used for two records, even after a restart or
    the loss of a disk.
    """

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.round = 0

    def ballot(self, above: int) -> Ballot:
        """Return a new ballot with a round above `above` and above all earlier rounds of this proposer."""
        self.round = max(self.round, above) + 1
        return Ballot(self.round, self.identity)


class Proposal:
    """The proposal of one record for the first free slot.

    `send(server, message)` is called for each outgoing message, including those to this server itself. The
    owner passes each reply to `handle_reply`; a reply may arrive late or never. `decided_slot` is the
    record's slot after it was decided, else None. `failed` tells that there was no quorum in time; the record
    may still be decided later, and a new proposal with the same id then finds its slot.
    """

    def __init__(
        self,
        replica: Replica,
        proposer: Proposer,
        servers: Sequence[str],
        record: Record,
        now: int,
        random_fraction: Callable[[], float],
        send: Callable[[str, Message], None],
    ) -> None:
        self.record = record
        self.decided_slot: int | None = None
        self.failed = False
        self._replica = replica
        self._proposer = proposer
        self._servers = tuple(servers)
        self._random_fraction = random_fraction
        self._send = send
        self._deadline = now + QUORUM_TIMEOUT
        self._rejections = 0
        self._start_ballot(now)

    def _start_ballot(self, now: int) -> None:
        """Start a new ballot in the first undecided slot, unless the record is decided already."""
        self.decided_slot = self._replica.slot_of(self.record.id)
        if self.decided_slot is not None:
            return
        self._slot = self._replica.chosen + 1
        self._ballot = self._proposer.ballot(self._replica.promised.round)
        self._value: Record | None = None  # the record that this ballot proposes, once known
        self._promises: dict[str, Promise] = {}
        self._acceptors: set[str] = set()
        self._retry_at = now + PHASE_TIMEOUT
        self._broadcast(Prepare(self._slot, self._ballot))

    def _broadcast(self, message: Message) -> None:
        for server in self._servers:
            self._send(server, message)

    @property
    def ended(self) -> bool:
        """Return whether the record is decided or there was no quorum in time."""
        return self.decided_slot is not None or self.failed

    def check(self, now: int) -> None:
        """Start a higher ballot if the current one reached no majority in time; call it often."""
        if self.ended:
            return
        if now >= self._deadline:
            self.failed = True
        elif now >= self._retry_at:
            self._start_ballot(now)

    def handle_reply(self, server: str, message: Message, reply: Reply, now: int) -> None:
        """Process a server's reply to `message`.

        A server that lacks decided records is sent them. Any other reply to an old ballot or slot is ignored.
        """
        if self.ended or isinstance(message, Learn):
            return
        if isinstance(reply, Behind):
            self._send(server, Learn(self._replica.extract(reply.chosen)))
            self._send(server, message)
        if message.ballot != self._ballot or message.slot != self._slot:
            return
        if isinstance(reply, Ahead):
            self._replica.learn(reply.extract)
            self._start_ballot(now)
        elif isinstance(reply, Rejected):
            self._handle_rejection(reply.promised, now)
        elif isinstance(reply, Promise):
            self._handle_promise(server, reply, now)
        elif isinstance(reply, Accepted):
            self._handle_acceptance(server, now)

    def _handle_rejection(self, promised: Ballot, now: int) -> None:
        """Back off for a random time, so that another proposer with a higher ballot can finish."""
        if promised <= self._ballot:
            return
        self._proposer.round = max(self._proposer.round, promised.round)
        wait = min(FIRST_RETRY_DELAY << min(self._rejections, MAX_DOUBLINGS), MAX_RETRY_DELAY)
        self._rejections += 1
        self._retry_at = now + 1 + int(self._random_fraction() * wait)

    def _handle_promise(self, server: str, promise: Promise, now: int) -> None:
        self._promises[server] = promise
        if self._value is not None or len(self._promises) < majority(len(self._servers)):
            return
        highest = max(self._promises.values(), key=lambda one: one.accepted)
        self._value = self.record if highest.record is None else highest.record
        self._retry_at = now + PHASE_TIMEOUT
        self._broadcast(Accept(self._slot, self._ballot, self._value))

    def _handle_acceptance(self, server: str, now: int) -> None:
        self._acceptors.add(server)
        if self._value is None or len(self._acceptors) < majority(len(self._servers)):
            return
        decided = Extract(self._slot - 1, self._slot, (Entry(self._slot, self._value),))
        self._replica.learn(decided)
        self._broadcast(Learn(decided))
        self._start_ballot(now)
