"""Roll-out of a version at design scale: 400 dispatchers and five servers in virtual time.

The tests check numbers of messages, bytes and seconds of virtual time against budgets, never wall-clock time.
"""

import math
import unittest

from benchmarks.scale import configuration as scale
from benchmarks.scale import size
from petrelwood.decide.cluster import rollout, version_watch
from petrelwood.decide.cluster.version_watch import SECOND

IN_FORCE_LIMIT = size.CONFIGURATION_IN_FORCE_WITHIN
# Two servers are polled per round, with a request and an answer each; rounds are shorter by up to a fifth.
MAX_MESSAGES = 4 / (1 - version_watch.ROUND_JITTER)


class InForce(unittest.TestCase):
    def test_a_version_is_in_force_everywhere_in_time(self):
        for seed in (1, 2):
            found = scale.one_version(seed=seed)
            self.assertLessEqual(found.in_force, IN_FORCE_LIMIT)
            self.assertLessEqual(found.messages, MAX_MESSAGES)

    def test_the_former_way_is_seen_to_be_too_slow(self):
        """The check can fail: with stages 30 s apart, the roll-out takes seven times as long."""
        found = scale.one_version(dispatchers=100, staged=False)
        self.assertGreater(found.in_force, 6 * IN_FORCE_LIMIT)

    def test_what_a_dispatcher_spends_fits_its_budget_and_does_not_grow_with_the_fleet(self):
        few, many = scale.one_version(dispatchers=50), scale.one_version(dispatchers=400)
        self.assertAlmostEqual(few.messages, many.messages, delta=0.05 * few.messages)
        self.assertAlmostEqual(few.bytes, many.bytes, delta=0.05 * few.bytes)
        # Here there is one version of 13,000 functions in 30 s; on average over a day, one in 117 s.
        idle = scale.idle(dispatchers=50)
        a_version = (many.bytes - idle.bytes) * 30
        a_day = idle.bytes + a_version * size.CONFIGURATION_CHANGES_A_DAY / size.SECONDS_A_DAY
        self.assertLessEqual(a_day, size.CONTROL_BYTES_A_SECOND)

    def test_one_that_polls_far_more_often_is_seen(self):
        """The check of the number of messages can fail."""
        usual = version_watch.ROUND_INTERVAL
        try:
            version_watch.ROUND_INTERVAL = usual // 10
            self.assertGreater(scale.one_version(dispatchers=20).messages, MAX_MESSAGES)
        finally:
            version_watch.ROUND_INTERVAL = usual


class Events(unittest.TestCase):
    def test_a_bad_version_reaches_the_first_stages_only(self):
        for seed in (1, 2, 3):
            found = scale.bad_version(seed=seed)
            self.assertEqual(found.in_force, math.inf)
            self.assertLessEqual(found.reached, rollout.STAGES[1] + 0.03)

    def test_servers_lost_one_by_one_leave_in_force_what_was_and_two_may_go(self):
        rows = scale.servers_lost(dispatchers=100)
        for lost, row in enumerate(rows[:-1]):
            self.assertEqual(row.in_force <= IN_FORCE_LIMIT, lost <= 2, row)
            self.assertEqual(
                row.reached, 1.0, row
            )  # the last decided version is in force everywhere, even without servers
        self.assertLessEqual(rows[-1].in_force, IN_FORCE_LIMIT)

    def test_all_dispatchers_at_once_with_empty_folders_have_it_in_time(self):
        found = scale.all_started()
        self.assertEqual(found.reached, 1.0)
        self.assertLessEqual(found.in_force, IN_FORCE_LIMIT)

    def test_the_region_with_three_servers_goes_on_and_the_other_has_it_soon_after(self):
        found = scale.region_lost(dispatchers=20, seconds=600)
        self.assertLessEqual(found.in_force, IN_FORCE_LIMIT)
        # A failed server is polled again after 30 s at the latest; then the stages follow.
        healed = found.decided
        self.assertLessEqual(healed, version_watch.MAX_BACKOFF / SECOND + IN_FORCE_LIMIT)

    def test_changes_at_random_times_are_in_force_in_time_or_superseded_before(self):
        for seed in (1, 2):
            published, within, _ = scale.hour_of_changes(dispatchers=30, seed=seed, seconds=1200)
            self.assertEqual(within, published)
        # bursts: one change every 30 s
        published, within, _ = scale.hour_of_changes(dispatchers=30, gap=30, seconds=600)
        self.assertEqual(within, published)


if __name__ == "__main__":
    unittest.main()
