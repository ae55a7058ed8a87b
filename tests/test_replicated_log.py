"""The replicated log under lost and duplicated messages, crashes and lost disks.

No slot may be decided twice, and no reported record may be lost or duplicated.
"""

import unittest

from petrelwood.decide.cluster.log_proposal import MS
from petrelwood.decide.cluster.log_records import (
    MAX_TEXT_SIZE,
    Accept,
    Accepted,
    Ahead,
    Ballot,
    Behind,
    CorruptVersionError,
    Extract,
    Learn,
    NotVoting,
    Prepare,
    Promise,
    Record,
    RecordKind,
    Rejected,
    compress_text,
    decompress_text,
)
from petrelwood.decide.cluster.replicated_log import RETAINED_RECORDS, RETAINED_TEXTS, Replica
from petrelwood.emulate.configuration_servers import SECOND, Cluster, Network

SEEDS = 24


def version(n, kind=RecordKind.VERSION, number=0):
    return Record(f"r{n}", kind, number, n, f"text {n}".encode())


def replica_with(records):
    replica = Replica()
    for slot, record in enumerate(records, 1):
        replica.learn(Extract(slot - 1, slot, ((slot, record),)))
    return replica


def cluster_after_faults(seed, disks, replica=Replica, steps=100, **more):
    """Return a cluster after many proposals and faults, with all faults healed at the end."""
    cluster = Cluster(seed, replica_type=replica, **more)
    for _ in range(steps):
        for _ in range(2):
            cluster.propose(cluster.random.choice(cluster.names), cluster.new_record())
        if cluster.random.random() < 0.4:
            cluster.inject_fault(disks)
        cluster.run(int(cluster.random.random() * 200 * MS))
    cluster.heal()
    return cluster


class ForgetsPromises(Replica):
    """A deliberately faulty replica that loses its promises at a restart."""

    def durable_state(self):
        value = super().durable_state()
        value[3:] = [[0, ""], [0, ""], None]
        return value


class ForgetsLostDisk(Replica):
    """A deliberately faulty replica that votes immediately after it has lost its disk."""

    @classmethod
    def from_durable_state(cls, value):
        replica = super().from_durable_state(value)
        replica.votes_from = replica.votes_from or 1
        return replica


class Agreement(unittest.TestCase):
    def test_no_slot_is_decided_twice_and_nothing_told_is_lost(self):
        decided = 0
        for seed in range(SEEDS):
            cluster = cluster_after_faults(seed, disks=False)
            self.assertEqual(cluster.judge(), [], seed)
            decided += len(cluster.reported)
        self.assertGreater(decided, 10 * SEEDS)  # the runs had enough activity

    def test_also_while_disks_are_lost_one_after_the_other(self):
        for seed in range(SEEDS):
            cluster = cluster_after_faults(seed, disks=True)
            self.assertEqual(cluster.judge(), [], seed)

    def test_after_all_of_it_a_record_is_decided_and_all_servers_have_it(self):
        for seed in range(SEEDS // 3):
            cluster = cluster_after_faults(seed, disks=True)
            record = cluster.new_record()
            cluster.propose("c1", record)
            cluster.heal(5)
            slots = {s.replica.slot_of(record.id) for s in cluster.servers.values()}
            self.assertEqual(len(slots), 1, seed)
            self.assertNotIn(None, slots, seed)

    def run_competing_proposals(self, replica, disk_lost):
        """Run two proposals for one slot and return the cluster.

        Three of five servers accept a record. The third restarts before it learns that the record is decided.
        Then another record is proposed for the same slot, to the third server and the two that know nothing.
        """
        cluster = Cluster(1, network=Network(0, 0, 10 * MS), replica_type=replica)
        cluster.crash("c4")
        cluster.crash("c5")
        cluster.propose("c1", cluster.new_record())
        third = cluster.servers["c3"]
        for _ in range(1000):
            cluster.run(MS // 10)
            if third.replica.record is not None:
                break
        self.assertEqual(third.replica.chosen, 0)
        cluster.partition = {"c1": 1, "c2": 1}  # its own acceptance is in transit; nothing else is delivered
        if disk_lost:
            cluster.lose_disk("c3")
        cluster.start("c3")
        cluster.run(SECOND)  # messages in transit to the two servers arrive while they are down
        self.assertEqual(cluster.reported, {"r1": 1})
        cluster.start("c4")
        cluster.start("c5")
        cluster.propose("c5", cluster.new_record())
        cluster.run(6 * SECOND)
        cluster.heal(10)
        return cluster

    def test_what_was_accepted_is_proposed_again_after_a_restart(self):
        cluster = self.run_competing_proposals(Replica, disk_lost=False)
        self.assertEqual(cluster.judge(), [])
        self.assertEqual(cluster.reported, {"r1": 1, "r2": 2})
        self.assertNotEqual(
            self.run_competing_proposals(ForgetsPromises, disk_lost=False).judge(), []
        )  # the check can fail

    def test_a_server_that_lost_its_disk_does_not_vote_where_it_may_have(self):
        cluster = self.run_competing_proposals(Replica, disk_lost=True)
        self.assertEqual(cluster.judge(), [])
        self.assertNotEqual(
            self.run_competing_proposals(ForgetsLostDisk, disk_lost=True).judge(), []
        )  # the check can fail


class Quorum(unittest.TestCase):
    def append(self, cluster, name):
        record = cluster.new_record()
        cluster.propose(name, record)
        cluster.run(6 * SECOND)
        return record

    def test_a_minority_decides_nothing_and_says_so_and_the_majority_goes_on(self):
        cluster = Cluster(3, network=Network(loss=0))
        cluster.partition = {"c1": 1, "c2": 1}
        lost, found = self.append(cluster, "c1"), self.append(cluster, "c3")
        self.assertNotIn(lost.id, cluster.reported)
        self.assertEqual(cluster.reported[found.id], 1)
        cluster.heal(3)
        self.assertEqual(cluster.servers["c1"].replica.slot_of(found.id), 1)
        self.assertIsNone(cluster.servers["c1"].proposal)

    def test_with_servers_lost_one_by_one_two_of_five_may_go(self):
        cluster = Cluster(4, network=Network(loss=0))
        for gone, decides in (("c5", True), ("c4", True), ("c3", False), ("c2", False)):
            cluster.crash(gone)
            self.assertEqual(self.append(cluster, "c1").id in cluster.reported, decides, gone)
        self.assertEqual(cluster.servers["c1"].replica.chosen, 2)  # decided records can still be read

    def test_a_record_of_a_minority_that_is_found_later_is_decided_once(self):
        """The record is appended again with its id after its append was reported as failed."""
        cluster = Cluster(5, network=Network(loss=0))
        cluster.partition = {"c1": 1, "c2": 1}
        record = self.append(cluster, "c1")
        cluster.heal(1)
        cluster.propose("c3", record)
        cluster.propose("c1", record)
        cluster.heal(3)
        self.assertEqual(len([r for r in cluster.decided.values() if r == record.id]), 1)
        self.assertEqual(cluster.judge(), [])

    def test_two_proposers_at_once_both_come_through(self):
        for seed in range(10):
            cluster = Cluster(seed, network=Network(loss=0, most_delay=50 * MS))
            records = [cluster.new_record() for _ in cluster.names]
            for name, record in zip(cluster.names, records, strict=True):
                cluster.propose(name, record)
            cluster.run(6 * SECOND)
            self.assertEqual(sorted(cluster.reported.values()), [1, 2, 3, 4, 5], seed)


class Votes(unittest.TestCase):
    def test_a_paused_proposer_finds_its_ballot_refused(self):
        replica, old, new = Replica(), Ballot(1, "a"), Ballot(2, "b")
        self.assertIsInstance(replica.answer(Prepare(1, old)), Promise)
        self.assertIsInstance(replica.answer(Prepare(1, new)), Promise)
        self.assertEqual(replica.answer(Accept(1, old, version(1))), Rejected(new))
        self.assertEqual(replica.answer(Accept(1, new, version(2))), Accepted())
        self.assertEqual(replica.answer(Prepare(1, Ballot(3, "c"))), Promise(new, version(2)))

    def test_slots_before_and_after_the_first_undecided_one(self):
        replica = replica_with([version(1), version(2)])
        self.assertEqual(replica.answer(Prepare(4, Ballot(1, "a"))), Behind(2))
        ahead = replica.answer(Prepare(2, Ballot(1, "a")))
        self.assertEqual(ahead, Ahead(Extract(1, 2, ((2, version(2)),))))

    def test_a_replaced_server_votes_two_slots_after_what_a_majority_of_others_voted_in(self):
        replica = Replica(votes_from=None)
        self.assertFalse(replica.rejoin({"b": 7, "c": 6}, 5))
        self.assertEqual(replica.answer(Prepare(1, Ballot(1, "a"))), NotVoting())
        self.assertTrue(replica.rejoin({"b": 7, "c": 6, "d": 7}, 5))
        self.assertEqual(replica.votes_from, 9)
        self.assertTrue(replica.lacks_slots())
        replica.learn(Extract(0, 8, ((8, version(8)),)))
        self.assertIsInstance(replica.answer(Prepare(9, Ballot(1, "a"))), Promise)

    def test_what_is_kept_over_a_restart_is_all_of_it(self):
        replica = replica_with([version(1), version(2, RecordKind.REVOCATION, 1)])
        replica.answer(Accept(3, Ballot(4, "a"), version(3)))
        again = Replica.from_durable_state(replica.durable_state())
        self.assertEqual(again.durable_state(), replica.durable_state())
        self.assertEqual(again.answer(Prepare(3, Ballot(3, "z"))), Rejected(Ballot(4, "a")))


class Log(unittest.TestCase):
    def test_a_gap_changes_nothing_and_a_duplicate_neither(self):
        replica = replica_with([version(1)])
        for extract in (Extract(3, 4, ((4, version(4)),)), Extract(0, 1, ((1, version(9)),))):
            self.assertFalse(replica.learn(extract))
            self.assertEqual((replica.chosen, replica.records), (1, {1: version(1)}))
        replica.answer(Learn(Extract(0, 2, ((1, version(1)), (2, version(2))))))
        self.assertEqual(replica.chosen, 2)

    def test_who_follows_gets_the_newest_version_that_stands_and_all_that_was_called_off(self):
        replica = replica_with([version(1), version(2), version(3), version(4, RecordKind.REVOCATION, 3)])
        self.assertEqual([slot for slot, _ in replica.extract(0, compact=True).entries], [2, 4])
        self.assertEqual([slot for slot, _ in replica.extract(2, compact=True).entries], [4])
        self.assertEqual(replica.extract(0, compact=True).chosen, 4)

    def test_what_is_kept_is_bounded_and_the_version_that_stands_is_never_dropped(self):
        replica = replica_with(
            [version(1)] + [version(n, RecordKind.REVOCATION, 999) for n in range(2, 3 * RETAINED_RECORDS)]
        )
        self.assertEqual(len(replica.records), RETAINED_RECORDS + 1)
        self.assertEqual(replica.records[1].body, b"text 1")
        replica = replica_with([version(n) for n in range(1, 3 * RETAINED_RECORDS)])
        self.assertEqual(len(replica.records), RETAINED_RECORDS)
        self.assertEqual(len([r for r in replica.records.values() if r.body]), RETAINED_TEXTS)

    def test_the_version_before_many_that_were_called_off_still_has_its_text(self):
        records = [version(1)]
        for n in range(2, 2 * RETAINED_RECORDS, 2):
            records += [version(n), version(n + 1, RecordKind.REVOCATION, n)]
        replica = replica_with(records)
        self.assertEqual(replica.extract(0, compact=True).entries[0], (1, version(1)))

    def test_the_settings_of_a_version_come_out_as_they_went_in_and_never_larger_than_they_may_be(self):
        for text in ("", "a", 'function "f-*" type="t"\n' * 13_000):
            self.assertEqual(decompress_text(compress_text(text)), text)
        for body in (b"", b"no", compress_text("a" * (MAX_TEXT_SIZE + 1)), compress_text("a" * 99)[:-5]):
            with self.assertRaises(CorruptVersionError):
                decompress_text(body)


if __name__ == "__main__":
    unittest.main()
