"""Configuration servers in virtual time, on a network that loses, doubles, delays and reorders.

Servers crash, lose their disks, and can't write to them for a while. The replicas, what makes them durable,
and the proposers are those that serve. One seeded generator draws all troubles. The book that judges is kept
apart from the replicas: what each one ever held as decided in a slot, what each author was told, and whether
what a server promised or accepted was on its disk.
"""

import errno
import heapq
import os
from random import Random

from petrelwood.decide.cluster.durable_replica import DiskFailedError, DurableReplica
from petrelwood.decide.cluster.log_proposal import MS, Proposal, Proposer
from petrelwood.decide.cluster.log_records import Accepted, Promise, Record, RecordKind, compress_text
from petrelwood.decide.cluster.replicated_log import Replica, majority

SECOND = 1000 * MS


class Server:
    """One server: what is on its disk, and what only its process knows.

    `fault`: what its disk does at present. None: it writes; "before": it fails and the old value stands;
    "after": it fails, and yet the new value stands, as when the folder is not made durable.
    """

    def __init__(self, name):
        self.name, self.disk, self.up, self.life = name, Replica().durable_state(), False, 0
        self.durable = self.replica = self.proposer = self.append = self.fault = None
        self.failures = self.recoveries = 0

    def save(self, value):
        if self.fault != "before":
            self.disk = value
        if self.fault is not None:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def disk_failed(self, error, retry_in):
        self.failures += 1

    def disk_recovered(self, outage):
        self.recoveries += 1


class World:
    """`replica` and `durable`: the classes that are judged; tests hand in broken ones. `disk_faults`: the
    part of the troubles that makes a disk fail or mends it."""

    def __init__(
        self,
        seed,
        servers=5,
        loss=0.1,
        twice=0.1,
        most_delay=80 * MS,
        replica=Replica,
        durable=DurableReplica,
        disk_faults=0,
    ):
        self.chance, self.loss, self.twice = Random(seed), loss, twice
        self.most_delay, self.replica, self.durable = most_delay, replica, durable
        self.disk_faults = disk_faults
        self.names = [f"c{n}" for n in range(1, servers + 1)]
        self.servers = {name: Server(name) for name in self.names}
        self.now, self.events, self.count, self.sides = 0, [], 0, {}
        self.decided, self.told, self.faults, self.records = {}, {}, [], 0
        for name in self.names:
            self.start(name)

    # Time and the network.
    def later(self, wait, call, *args):
        self.count += 1
        heapq.heappush(self.events, (self.now + wait, self.count, call, args))

    def run(self, span):
        until = self.now + span
        while self.events and self.events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        self.now = until

    def hears(self, one, other):
        """Whether a message passes: both on one side of the split, and not lost."""
        return self.sides.get(one) == self.sides.get(other) and self.chance.random() >= self.loss

    def pass_on(self, one, other, call, *args):
        for _ in range(1 + (self.chance.random() < self.twice)):
            if one == other:
                self.later(0, call, *args)
                return
            if self.hears(one, other):
                most = self.most_delay * (1 if self.chance.random() < 0.9 else 20)  # some come very late
                self.later(int(self.chance.random() * most), call, *args)

    # The life of a server.
    def start(self, name):
        server = self.servers[name]
        server.life += 1
        server.up, server.replica = True, self.replica.from_durable_state(server.disk)
        server.durable = self.durable(server.replica, server.save, self.chance.random, server)
        server.proposer, server.append = Proposer(f"{name}.{server.life}"), None

    def crash(self, name):
        self.servers[name].up = False

    def lose_disk(self, name):
        self.servers[name].disk = Replica(votes_from=None).durable_state()

    def keep(self, server):
        """What has changed goes to the disk, and into the book."""
        server.durable.save_changes(self.now)
        self.note(server.replica)

    def note(self, replica):
        for slot, record in replica.records.items():
            known = self.decided.setdefault(slot, record.id)
            if known != record.id:
                self.faults.append(f"slot {slot} is decided as {known} and as {record.id}")

    def rejoin(self, name):
        """What a server without a vote does now and then."""
        server, answers = self.servers[name], {}
        if not server.up:
            return
        for other in self.names:
            if other != name and self.servers[other].up and self.hears(name, other):
                voted_in = self.servers[other].replica.voted_in()
                if voted_in is not None:
                    answers[other] = voted_in
        server.durable.rejoin(answers, len(self.names), self.now)
        self.keep(server)
        if server.replica.lacks_slots():
            self.propose(name, self.record(RecordKind.NO_OPERATION))

    def catch_up(self, name, other):
        """Anti-entropy: what the one lacks is read from the other."""
        one, other_one = self.servers[name], self.servers[other]
        if one.up and other_one.up and self.hears(name, other):
            one.durable.learn(other_one.replica.extract(one.replica.chosen), self.now)
            self.note(one.replica)

    # Proposals.
    def record(self, kind=RecordKind.VERSION):
        self.records += 1
        return Record(f"r{self.records}", kind, 0, self.now, compress_text(f"text {self.records}"))

    def propose(self, name, record):
        server = self.servers[name]
        if not server.up or server.append is not None:
            return
        life, box = server.life, []

        def send(to, message):
            self.pass_on(name, to, self.arrive, name, life, to, message, box)

        append = Proposal(
            server.replica, server.proposer, self.names, record, self.now, self.chance.random, send
        )
        box.append(append)
        server.append = append
        self.keep(server)
        self.tick(name, life, append)

    def arrive(self, name, life, to, message, box):
        server = self.servers[to]
        if not server.up:
            return
        try:
            reply = server.durable.answer(message, self.now)
        except DiskFailedError:
            return
        self.note(server.replica)
        self.judge_reply(server, message, reply)
        self.pass_on(to, name, self.replied, name, life, to, message, reply, box)

    def judge_reply(self, server, message, reply):
        """What leaves is what a restart at this moment would remember."""
        if not isinstance(reply, Promise | Accepted):
            return
        disk = Replica.from_durable_state(server.disk)
        kept = disk.chosen >= message.slot or disk.promised >= message.ballot
        if isinstance(reply, Accepted) and disk.chosen < message.slot:
            kept = kept and (disk.accepted, disk.record) == (message.ballot, message.record)
        if not kept:
            self.faults.append(f"{server.name} replied {reply} and does not have it on its disk")

    def replied(self, name, life, to, message, reply, box):
        server = self.servers[name]
        if server.up and server.life == life and box:
            box[0].handle_reply(to, message, reply, self.now)
            self.keep(server)
            self.ended(server, box[0])

    def tick(self, name, life, append):
        server = self.servers[name]
        if not server.up or server.life != life or server.append is not append:
            return
        append.check(self.now)
        server.durable.retry(self.now)
        self.ended(server, append)
        self.later(20 * MS, self.tick, name, life, append)

    def ended(self, server, append):
        if append.decided_slot is not None:
            known = self.told.setdefault(append.record.id, append.decided_slot)
            if known != append.decided_slot:
                self.faults.append(f"{append.record.id} was told {known} and {append.decided_slot}")
        if append.ended and server.append is append:
            server.append = None

    # Judging.
    def judge(self):
        """All that is wrong now."""
        slots = {}
        for slot, record_id in self.decided.items():
            if record_id in slots:
                self.faults.append(f"{record_id} is decided in slots {slots[record_id]} and {slot}")
            slots[record_id] = slot
        for record_id, slot in self.told.items():
            if self.decided.get(slot) != record_id:
                self.faults.append(f"{record_id} was told slot {slot}, which holds {self.decided.get(slot)}")
        return self.faults

    def trouble(self, disks):
        """One thing goes wrong or is mended; never more than a minority of disks is lost at a time."""
        name, what = self.chance.choice(self.names), self.chance.random()
        server = self.servers[name]
        if self.disk_faults and self.chance.random() < self.disk_faults:
            server.fault = self.chance.choice(("before", "after", None, None))
        down = sum(not s.up for s in self.servers.values())
        if what < 0.3:  # restarted at once: what only its memory held is gone
            self.start(name)
        elif what < 0.4 and down < 2:
            self.crash(name)
        elif what < 0.6:
            for other in self.names:
                if not self.servers[other].up:
                    self.start(other)
        elif what < 0.75 and disks and self.blank() < len(self.names) - majority(len(self.names)):
            self.lose_disk(name)
            self.start(name)
        elif what < 0.8:
            self.sides = {n: self.chance.randrange(2) for n in self.names}
        else:
            self.sides = {}
        if server.up:
            self.catch_up(name, self.chance.choice(self.names))
        for other in self.names:
            if self.servers[other].up and (
                self.servers[other].replica.votes_from is None or self.servers[other].replica.lacks_slots()
            ):
                self.rejoin(other)

    def blank(self):
        """How many servers have lost their disk and do not vote yet."""
        return sum(s.replica.votes_from is None or s.replica.lacks_slots() for s in self.servers.values())

    def heal(self, seconds=20):
        """All is up and hears all, for long enough to settle."""
        self.sides, self.loss = {}, 0
        for name in self.names:
            self.servers[name].fault = None
            if not self.servers[name].up:
                self.start(name)
        for _ in range(seconds):
            for name in self.names:
                server = self.servers[name]
                server.durable.retry(self.now)
                if server.replica.votes_from is None or server.replica.lacks_slots():
                    self.rejoin(name)
                self.catch_up(name, self.chance.choice(self.names))
            self.run(SECOND)
