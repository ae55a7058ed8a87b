"""Configuration servers in virtual time, on a network that loses, duplicates, delays and reorders.

Servers crash, lose their disks, and can't write to them for a while. The replicas, their durability and the
proposers are the production code. One seeded generator draws all faults. The state for the checks is kept
apart from the replicas: what each replica ever held as decided in a slot, which slot was reported to each
author, and whether what a server promised or accepted was on its disk.
"""

import errno
import heapq
import os
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from functools import partial
from random import Random
from typing import Any

from petrelwood.decide.cluster.durable_replica import DiskFailedError, DurableReplica
from petrelwood.decide.cluster.log_proposal import MS, Proposal, Proposer
from petrelwood.decide.cluster.log_records import (
    Accept,
    Accepted,
    Learn,
    Message,
    Promise,
    Record,
    RecordKind,
    Reply,
    compress_text,
)
from petrelwood.decide.cluster.replicated_log import Replica, majority

SECOND = 1000 * MS
CHECK_INTERVAL = 20 * MS  # between two checks of a proposal
IN_TIME_SHARE = 0.9  # share of the messages with the usual delay; the others may be delayed LATE_FACTOR times
LATE_FACTOR = 20  # a late message's delay, as a multiple of the usual one
MAX_DOWN = 2  # a crash is injected only while fewer servers than this are down
# The first of these bounds above a draw from [0, 1) selects the fault; none: partitions are healed.
RESTART = 0.3
CRASH = 0.4
START_ALL = 0.6
LOSE_DISK = 0.75
PARTITION = 0.8


class DiskFault(Enum):
    """How a write to a failing disk ends."""

    OLD_VALUE_STANDS = "the write fails"
    NEW_VALUE_STANDS = "the write fails and yet the value is there, as when a folder is not made durable"


@dataclass(frozen=True, slots=True)
class Network:
    """The faults of the network between two servers."""

    loss: float = 0.1  # share of messages
    duplicates: float = 0.1  # share of messages
    most_delay: int = 80 * MS


class Server:
    """One server: the state on its disk, and the state in its memory."""

    durable: DurableReplica
    proposer: Proposer

    def __init__(self, name: str) -> None:
        self.name = name
        self.disk = Replica().durable_state()
        self.disk_fault: DiskFault | None = None
        self.disk_failures = 0
        self.disk_recoveries = 0
        self.up = False
        self.incarnation = 0
        self.replica = Replica()
        self.proposal: Proposal | None = None

    def save(self, value: list[Any]) -> None:
        """Write to the disk; see `DurableReplica`."""
        if self.disk_fault is not DiskFault.OLD_VALUE_STANDS:
            self.disk = value
        if self.disk_fault is not None:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def disk_failed(self, error: OSError, retry_in: int) -> None:
        """Count a disk failure; see `DiskObserver`."""
        self.disk_failures += 1

    def disk_recovered(self, outage: int) -> None:
        """Count a disk recovery; see `DiskObserver`."""
        self.disk_recoveries += 1

    @property
    def lacks_vote(self) -> bool:
        """Whether the server has lost its disk and does not vote yet."""
        return self.replica.votes_from is None or self.replica.lacks_slots()


class Cluster:
    """All servers, the network between them, and the checks.

    `replica_type` and `durable_type`: the classes under test; tests pass broken ones. `disk_faults`: the
    share of the drawn faults that makes a disk fail or repairs it.
    """

    def __init__(
        self,
        seed: int,
        servers: int = 5,
        network: Network | None = None,
        replica_type: type[Replica] = Replica,
        durable_type: type[DurableReplica] = DurableReplica,
        disk_faults: float = 0,
    ) -> None:
        self.random = Random(seed)
        self.network = network or Network()
        self.disk_faults = disk_faults
        self.names = [f"c{number}" for number in range(1, servers + 1)]
        self.servers = {name: Server(name) for name in self.names}
        self.partition: dict[str, int] = {}  # server -> its side; empty: all servers reach each other
        self.now = 0
        self.decided: dict[int, str] = {}  # slot -> the record id that any replica held as decided
        self.reported: dict[str, int] = {}  # record id -> the slot reported to its author
        self.violations: list[str] = []
        self._replica_type = replica_type
        self._durable_type = durable_type
        self._records = 0
        self._events: list[tuple[int, int, Callable[..., object], tuple[Any, ...]]] = []
        self._scheduled = 0
        for name in self.names:
            self.start(name)

    # Time and network
    def schedule(self, wait: int, call: Callable[..., object], *args: Any) -> None:
        """Schedule a call after `wait` ns."""
        self._scheduled += 1
        heapq.heappush(self._events, (self.now + wait, self._scheduled, call, args))

    def run(self, span: int) -> None:
        """Run the events of the next `span` ns."""
        until = self.now + span
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
        self.now = until

    def _passes(self, one: str, other: str) -> bool:
        """Draw whether a message from one server reaches another."""
        together = self.partition.get(one) == self.partition.get(other)
        return together and self.random.random() >= self.network.loss

    def _deliver(self, one: str, other: str, call: Callable[..., object], *args: Any) -> None:
        for _ in range(1 + (self.random.random() < self.network.duplicates)):
            if one == other:
                self.schedule(0, call, *args)
                return
            if self._passes(one, other):
                late = 1 if self.random.random() < IN_TIME_SHARE else LATE_FACTOR
                self.schedule(int(self.random.random() * self.network.most_delay * late), call, *args)

    # Starts and crashes of servers
    def start(self, name: str) -> None:
        """Start or restart a server from the state on its disk."""
        server = self.servers[name]
        server.incarnation += 1
        server.up = True
        server.replica = self._replica_type.from_durable_state(server.disk)
        server.durable = self._durable_type(server.replica, server.save, self.random.random, server)
        server.proposer = Proposer(f"{name}.{server.incarnation}")
        server.proposal = None

    def crash(self, name: str) -> None:
        """Crash a server, which loses the state in its memory."""
        self.servers[name].up = False

    def lose_disk(self, name: str) -> None:
        """Erase a server's disk."""
        self.servers[name].disk = Replica(votes_from=None).durable_state()

    def _save(self, server: Server) -> None:
        """Write the changes to disk, and record the decided slots for the checks."""
        server.durable.save_changes(self.now)
        self._observe(server.replica)

    def _observe(self, replica: Replica) -> None:
        for slot, record in replica.records.items():
            known = self.decided.setdefault(slot, record.id)
            if known != record.id:
                self.violations.append(f"slot {slot} is decided as {known} and as {record.id}")

    def rejoin(self, name: str) -> None:
        """Let a server that does not vote try to rejoin, as it does periodically."""
        server = self.servers[name]
        if not server.up:
            return
        voted_in = {}
        for other in self.names:
            if other != name and self.servers[other].up and self._passes(name, other):
                slot = self.servers[other].replica.voted_in()
                if slot is not None:
                    voted_in[other] = slot
        server.durable.rejoin(voted_in, len(self.names), self.now)
        self._save(server)
        if server.replica.lacks_slots():
            self.propose(name, self.new_record(RecordKind.NO_OPERATION))

    def catch_up(self, name: str, other: str) -> None:
        """Let a server read the decided records that it lacks from another one (anti-entropy)."""
        server = self.servers[name]
        source = self.servers[other]
        if server.up and source.up and self._passes(name, other):
            server.durable.learn(source.replica.extract(server.replica.chosen), self.now)
            self._observe(server.replica)

    # Proposals
    def new_record(self, kind: RecordKind = RecordKind.VERSION) -> Record:
        """Return a record that no server has seen yet."""
        self._records += 1
        return Record(f"r{self._records}", kind, 0, self.now, compress_text(f"text {self._records}"))

    def propose(self, name: str, record: Record) -> None:
        """Let a server propose a record, unless it is down or already has an open proposal."""
        server = self.servers[name]
        if not server.up or server.proposal is not None:
            return
        incarnation = server.incarnation
        started: list[Proposal] = []
        send = partial(self._send, name, incarnation, started)
        proposal = Proposal(
            server.replica, server.proposer, self.names, record, self.now, self.random.random, send
        )
        started.append(proposal)
        server.proposal = proposal
        self._save(server)
        self._check(name, incarnation, proposal)

    def _send(self, name: str, incarnation: int, started: list[Proposal], to: str, message: Message) -> None:
        self._deliver(name, to, self._arrive, name, incarnation, to, message, started)

    def _arrive(
        self, name: str, incarnation: int, to: str, message: Message, started: list[Proposal]
    ) -> None:
        server = self.servers[to]
        if not server.up:
            return
        try:
            reply = server.durable.answer(message, self.now)
        except DiskFailedError:
            return
        self._observe(server.replica)
        self._judge_reply(server, message, reply)
        self._deliver(to, name, self._replied, name, incarnation, to, message, reply, started)

    def _replied(
        self,
        name: str,
        incarnation: int,
        to: str,
        message: Message,
        reply: Reply,
        started: list[Proposal],
    ) -> None:
        server = self.servers[name]
        if server.up and server.incarnation == incarnation and started:
            started[0].handle_reply(to, message, reply, self.now)
            self._save(server)
            self._note_end(server, started[0])

    def _check(self, name: str, incarnation: int, proposal: Proposal) -> None:
        server = self.servers[name]
        if not server.up or server.incarnation != incarnation or server.proposal is not proposal:
            return
        proposal.check(self.now)
        server.durable.retry(self.now)
        self._note_end(server, proposal)
        self.schedule(CHECK_INTERVAL, self._check, name, incarnation, proposal)

    def _note_end(self, server: Server, proposal: Proposal) -> None:
        record_id, slot = proposal.record.id, proposal.decided_slot
        if slot is not None and self.reported.setdefault(record_id, slot) != slot:
            self.violations.append(f"{record_id} was reported in slots {self.reported[record_id]} and {slot}")
        if proposal.ended and server.proposal is proposal:
            server.proposal = None

    # Checks
    def _judge_reply(self, server: Server, message: Message, reply: Reply) -> None:
        """Check that a reply promises only what a restart at this moment would still find on disk."""
        if isinstance(message, Learn) or not isinstance(reply, Promise | Accepted):
            return
        disk = Replica.from_durable_state(server.disk)
        if disk.chosen >= message.slot:
            return
        durable = disk.promised >= message.ballot
        if isinstance(message, Accept):
            durable = durable and (disk.accepted, disk.record) == (message.ballot, message.record)
        if not durable:
            self.violations.append(f"{server.name} replied {reply} and does not have it on its disk")

    def judge(self) -> list[str]:
        """Return all violations so far."""
        slots: dict[str, int] = {}
        for slot, record_id in self.decided.items():
            if record_id in slots:
                self.violations.append(f"{record_id} is decided in slots {slots[record_id]} and {slot}")
            slots[record_id] = slot
        for record_id, slot in self.reported.items():
            if self.decided.get(slot) != record_id:
                held = self.decided.get(slot)
                self.violations.append(f"{record_id} was reported in slot {slot}, which holds {held}")
        return self.violations

    # Faults
    def inject_fault(self, with_disks: bool) -> None:
        """Inject or repair one random fault; at most a minority of disks is lost at a time."""
        name = self.random.choice(self.names)
        draw = self.random.random()
        server = self.servers[name]
        if self.disk_faults and self.random.random() < self.disk_faults:
            server.disk_fault = self.random.choice((*DiskFault, None, None))
        self._inject(name, draw, with_disks)
        if server.up:
            self.catch_up(name, self.random.choice(self.names))
        for other in self.names:
            if self.servers[other].up and self.servers[other].lacks_vote:
                self.rejoin(other)

    def _inject(self, name: str, draw: float, with_disks: bool) -> None:
        down = sum(not server.up for server in self.servers.values())
        minority = len(self.names) - majority(len(self.names))
        if draw < RESTART:
            self.start(name)
        elif draw < CRASH and down < MAX_DOWN:
            self.crash(name)
        elif draw < START_ALL:
            self._start_all()
        elif draw < LOSE_DISK and with_disks and self._without_vote() < minority:
            self.lose_disk(name)
            self.start(name)
        elif draw < PARTITION:
            self.partition = {each: self.random.randrange(2) for each in self.names}
        else:
            self.partition = {}

    def _start_all(self) -> None:
        for name in self.names:
            if not self.servers[name].up:
                self.start(name)

    def _without_vote(self) -> int:
        """Return how many servers have lost their disk and do not vote yet."""
        return sum(server.lacks_vote for server in self.servers.values())

    def heal(self, seconds: int = 20) -> None:
        """Repair all faults, and run the servers until they have settled."""
        self.partition = {}
        self.network = Network(0, self.network.duplicates, self.network.most_delay)
        for server in self.servers.values():
            server.disk_fault = None
        self._start_all()
        for _ in range(seconds):
            for name in self.names:
                self.servers[name].durable.retry(self.now)
                if self.servers[name].lacks_vote:
                    self.rejoin(name)
                self.catch_up(name, self.random.choice(self.names))
            self.run(SECOND)
