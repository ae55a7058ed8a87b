"""Staged roll-outs over many dispatchers that do not communicate, with simulated time."""

import random
import unittest

from kept import compare

from petrelwood.decide.cluster.rollout import DWELL, STAGES, Announcement, Rollout, stage_delay

S = 10**9


class Fleet:
    """The roll-outs of many dispatchers that answer activations.

    Under a bad version fewer activations complete. A revocation by one dispatcher is read by all a second
    later.
    """

    def __init__(self, count, bad=(), seed=1, share=0.97):
        self.rng, self.bad, self.share, self.revoked_at = random.Random(seed), set(bad), share, {}
        self.rollouts, self.announced, self.lines, self.most_bad = (
            [Rollout(f"d{i}", 1) for i in range(count)],
            [],
            [],
            0,
        )

    def play(self, begin, end, step=S, answers_per_step=5, is_reachable=lambda node, at: True):
        for at in range(begin, end, step):
            announcements = [
                a._replace(revoked=self.revoked_at.get(a.number, 1 << 62) <= at)
                for a in self.announced
                if a.rollout_start <= at
            ]
            for node in self.rollouts:
                for _ in range(answers_per_step):
                    node.record_answer(self.rng.random() < (0.5 if node.version in self.bad else self.share))
                if not is_reachable(node, at):
                    continue
                if node.decide(at, announcements) and node.faulty_version is not None:
                    self.revoked_at.setdefault(node.faulty_version, at + S)
            have = sum(n.version != 1 for n in self.rollouts)
            self.most_bad = max(self.most_bad, sum(n.version in self.bad for n in self.rollouts))
            if at % (10 * S) == 0:
                self.lines.append(
                    f"{at // S:4d} s  {have:3d} of {len(self.rollouts)} have a newer one; "
                    f"called off: {sorted(self.revoked_at)}"
                )


class Rollouts(unittest.TestCase):
    def test_a_good_version_goes_over_all_in_its_stages(self):
        fleet = Fleet(100)
        fleet.announced = [Announcement(2, 20 * S, False)]
        fleet.play(0, 200 * S)
        compare(self, "rollout_good", fleet.lines)

    def test_a_bad_one_reaches_the_first_stages_only_and_goes_back_by_itself(self):
        for seed in range(5):
            fleet = Fleet(100, bad=[2], seed=seed)
            fleet.announced = [Announcement(2, 20 * S, False)]
            fleet.play(0, 300 * S)
            self.assertEqual({n.version for n in fleet.rollouts}, {1})
            self.assertLessEqual(fleet.most_bad, 15)
            self.assertEqual(set(fleet.revoked_at), {2})

    def test_a_process_that_an_upgrade_began_goes_on_watching(self):
        """A handover to a new process during a roll-out does not change its result.

        A bad version is rolled back, a good one is kept.
        """
        for share, ends in ((0.5, 0), (0.97, 2)):
            rng, node, revoked = random.Random(3), Rollout("d1", 0), False
            for at in range(0, 400 * S, S):
                for _ in range(5):
                    node.record_answer(rng.random() < (share if node.version == 2 else 0.97))
                was = node.version
                node.decide(at, [Announcement(2, 20 * S, revoked)])
                revoked = revoked or node.faulty_version == 2
                if node.version != was or at == 40 * S:
                    node = Rollout.from_state("d1", node.to_state())
            self.assertEqual((node.version, revoked), (ends, ends == 0))

    def test_what_could_not_be_done_is_refused_and_a_newer_one_is_not(self):
        node = Rollout("d1", 0)
        self.assertEqual(node.decide(900 * S, [Announcement(2, 0, False)]), ("take", 2))
        self.assertEqual(node.on_apply_failed(), 0)
        self.assertIsNone(node.decide(901 * S, [Announcement(2, 0, False)]))
        self.assertEqual(
            node.decide(902 * S, [Announcement(2, 0, True), Announcement(3, 0, False)]), ("take", 3)
        )
        for wrong in (7, [], [1, 2, 3, 4, 5], ["x", None, [1, 2], None, []], [1, None, [1.0, 5], None, 7]):
            with self.assertRaises(ValueError):
                Rollout.from_state("d1", wrong)

    def test_one_that_is_called_off_long_after_it_was_watched_is_left_all_the_same(self):
        for dwell in (S, DWELL):
            node, at = Rollout("d1", 0, dwell=dwell), 1000 * S
            self.assertEqual(node.decide(at, [Announcement(2, 0, False)]), ("take", 2))
            for _ in range(100):
                at += dwell
                self.assertIsNone(node.decide(at, [Announcement(2, 0, False)]))
            self.assertEqual(node.decide(at, [Announcement(2, 0, True)]), ("back", 0))
            self.assertIsNone(node.decide(at + S, [Announcement(2, 0, True)]))

    def test_two_at_once_and_one_that_was_away_settle_on_the_newest(self):
        for seed in range(5):
            fleet = Fleet(60, seed=seed)
            fleet.announced = [Announcement(3, 25 * S, False), Announcement(2, 20 * S, False)]
            fleet.play(0, 400 * S, is_reachable=lambda node, at: node.name != "d7" or at > 300 * S)
            self.assertEqual({n.version for n in fleet.rollouts}, {3})

    def test_a_good_one_after_a_bad_one_is_taken(self):
        fleet = Fleet(60, bad=[2])
        fleet.announced = [Announcement(2, 20 * S, False), Announcement(3, 200 * S, False)]
        fleet.play(0, 500 * S)
        self.assertEqual({n.version for n in fleet.rollouts}, {3})

    def test_noise_does_not_call_a_version_off(self):
        for seed in range(10):
            fleet = Fleet(50, seed=seed, share=0.9)
            fleet.announced = [Announcement(2, 20 * S, False)]
            fleet.play(0, 200 * S)
            self.assertEqual((fleet.revoked_at, {n.version for n in fleet.rollouts}), ({}, {2}), seed)

    def test_the_order_is_another_for_each_version_and_the_parts_are_kept(self):
        names = [f"d{i}" for i in range(1000)]
        for version in (2, 3, 4):
            turns = [stage_delay(name, version) for name in names]
            for number, part in enumerate(STAGES):
                self.assertAlmostEqual(sum(t <= number * DWELL for t in turns) / 1000, part, delta=0.04)
        first = [{name for name in names if stage_delay(name, version) == 0} for version in (2, 3, 4)]
        self.assertFalse(first[0] & first[1] & first[2])


if __name__ == "__main__":
    unittest.main()
