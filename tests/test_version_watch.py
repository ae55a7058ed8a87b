"""How a dispatcher handles answers of configuration servers: gaps, duplicates, order, failed servers."""

import random
import tempfile
import unittest
from collections import Counter
from unittest.mock import Mock, patch

from petrelwood.clocks import VirtualClock
from petrelwood.decide.cluster.log_records import Extract, Record, RecordKind, compress_text
from petrelwood.decide.cluster.rollout import STAGES, dwell_for
from petrelwood.decide.cluster.version_watch import (
    MAX_BACKOFF,
    ROUND_INTERVAL,
    ROUND_JITTER,
    SECOND,
    Revocation,
    Version,
    VersionWatch,
    preference,
)
from petrelwood.dispatch.configuration import ConfigurationFollower
from petrelwood.settings.storage import ConfigurationTerms
from petrelwood.store import snapshot, versions

SERVERS = [f"c{n}" for n in range(1, 6)]
ROLLOUT_TIME = 9 * SECOND
WALL = 10**18


def watch(name="d1", position=0, seed=1):
    return VersionWatch(name, SERVERS, position, ROLLOUT_TIME, random.Random(seed).random)


def version(slot, rollout_start=WALL):
    return slot, Record(f"r{slot}", RecordKind.VERSION, 0, rollout_start, b"%d" % slot)


def extract(since, *entries):
    return Extract(since, max([since, *(slot for slot, _ in entries)]), entries)


class Answers(unittest.TestCase):
    def test_what_is_new_comes_once_and_in_order(self):
        one = watch()
        off = (3, Record("r3", RecordKind.REVOCATION, 2, WALL, b"d9: it did worse"))
        found = one.on_answer("c1", extract(0, version(2), off), 0, WALL)
        self.assertEqual(found, [Version(2, WALL, b"2"), Revocation(2, "d9: it did worse")])
        self.assertEqual(one.on_answer("c2", extract(0, version(2), off), 0, WALL), [])
        self.assertEqual(one.position, 3)

    def test_an_older_answer_that_comes_later_changes_nothing(self):
        one = watch()
        one.on_answer("c1", extract(0, version(5)), 0, WALL)
        self.assertEqual(one.on_answer("c2", extract(0, version(4)), 1, WALL), [])
        self.assertEqual((one.position, one.duplicates), (5, 1))

    def test_a_gap_changes_nothing_and_is_asked_for_again(self):
        one = watch(position=4)
        self.assertEqual(one.on_answer("c1", extract(6, version(7)), 0, WALL), [])
        self.assertEqual((one.position, one.gaps), (4, 1))
        self.assertEqual([v.number for v in one.on_answer("c1", extract(4, version(7)), 0, WALL)], [7])

    def test_records_of_other_kinds_are_passed_over(self):
        one = watch()
        for kind in (RecordKind.NO_OPERATION, "of a later build"):
            slot = one.position + 1
            self.assertEqual(
                one.on_answer("c1", extract(one.position, (slot, Record("x", kind, 0, 0, b""))), 0, WALL), []
            )
            self.assertEqual(one.position, slot)

    def test_one_that_hears_of_it_within_its_stages_keeps_to_the_common_beginning(self):
        (found,) = watch().on_answer("c1", extract(0, version(1, WALL - ROLLOUT_TIME)), 0, WALL)
        self.assertEqual(found.rollout_start, WALL - ROLLOUT_TIME)

    def test_one_decided_long_after_it_was_proposed_still_goes_stage_by_stage(self):
        """Otherwise all dispatchers would apply it together, also after an hour without contact."""
        (found,) = watch().on_answer("c1", extract(0, version(1, WALL - 3600 * SECOND)), 0, WALL)
        self.assertEqual(found.rollout_start, WALL)


class Questions(unittest.TestCase):
    def test_two_servers_a_round_and_all_of_them_over_a_few(self):
        one, now, polled = watch(), 0, Counter()
        for _ in range(20):
            servers = one.servers_to_poll(now)
            self.assertEqual(len(set(servers)), 2)
            self.assertEqual(one.servers_to_poll(now), ())
            self.assertGreaterEqual(one.next_round_at - now, ROUND_INTERVAL * (1 - ROUND_JITTER))
            polled.update(servers)
            now = one.next_round_at
        self.assertEqual(set(polled), set(SERVERS))
        self.assertEqual(polled[one.servers[0]], 20)

    def test_a_server_that_fails_is_left_out_for_longer_each_time_and_comes_back(self):
        one, now, polled = watch(), 0, []
        first = one.servers[0]
        for _ in range(300):
            for server in one.servers_to_poll(now):
                if server == first:
                    polled.append(now)
                    one.on_failure(server, now)
                else:
                    one.on_answer(server, extract(0), now, WALL)
            now = one.next_round_at
        waits = [b - a for a, b in zip(polled, polled[1:], strict=False)]
        self.assertLess(len(polled), 30)
        self.assertLessEqual(max(waits), MAX_BACKOFF + ROUND_INTERVAL)
        one.on_answer(first, extract(0), now, WALL)
        self.assertIn(first, one.servers_to_poll(one.next_round_at))

    def test_without_any_server_it_goes_on_with_what_it_knows(self):
        one, now = watch(position=7), 0
        for _ in range(100):
            for server in one.servers_to_poll(now):
                one.on_failure(server, now)
            now = one.next_round_at
        self.assertEqual(one.position, 7)
        self.assertLess(max(b.not_before for b in one.backoffs.values()), now + MAX_BACKOFF)

    def test_dispatchers_spread_and_a_lost_servers_share_spreads_too(self):
        names = [f"d{n}" for n in range(400)]
        first = Counter(preference(name, SERVERS)[0] for name in names)
        self.assertLess(
            max(first.values()), 110
        )  # the mean is 80; 110 is three and a half standard deviations above it
        rest = [s for s in SERVERS if s != "c1"]
        moved = {n: preference(n, rest)[0] for n in names if preference(n, SERVERS)[0] == "c1"}
        self.assertEqual(set(moved.values()), set(rest))
        kept = [n for n in names if n not in moved]
        self.assertTrue(all(preference(n, rest)[0] == preference(n, SERVERS)[0] for n in kept))


class Folder(unittest.TestCase):
    def test_versions_and_the_position_outlive_the_process_and_are_bounded(self):
        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(versions.position(folder), 0)
            for number in range(1, 3 * versions.MOST_VERSIONS):
                versions.receive(folder, number, f"text {number}", WALL + number)
            versions.note_position(folder, 200)
            known = versions.announced(folder)
            self.assertEqual(len(known), versions.MOST_VERSIONS)
            self.assertEqual(max(a.number for a in known), 3 * versions.MOST_VERSIONS - 1)
            self.assertEqual(versions.position(folder), 200)
            (path := versions.path_of(folder, 0).with_name(versions.POSITION)).write_text("no number")
            self.assertEqual(versions.position(path.parent), 0)

    def test_a_beginning_that_is_no_number_leaves_its_version_out(self):
        """One damaged file must not keep a dispatcher from reading all versions."""
        with tempfile.TemporaryDirectory() as folder:
            for number in (1, 2):
                versions.receive(folder, number, f"text {number}", WALL)
            for stored in ("1e999", "-1e999", "NaN", "null", "[]", '"soon"', "{}"):
                with self.subTest(stored):
                    path = versions.path_of(folder, 1).with_suffix(versions.BEGINNING)
                    path.write_text(f'{{"begun": {stored}}}')
                    self.assertEqual([each.number for each in versions.announced(folder)], [2])


class HalfApplied(unittest.IsolatedAsyncioTestCase):
    """A version of which some files are missing is ignored, and the whole answer is applied again."""

    async def test_what_a_full_disk_or_a_kill_cuts_off_is_taken_again_as_a_whole(self):
        with tempfile.TemporaryDirectory() as folder:
            terms = ConfigurationTerms((("127.0.0.1", 1),), 13 * SECOND)
            follower = ConfigurationFollower("d1", terms, folder, VirtualClock(), random.random, Mock())
            body = compress_text("settings")
            off = (2, Record("r2", RecordKind.REVOCATION, 1, WALL, b"d9: it did worse"))
            answer = extract(0, (1, Record("r1", RecordKind.VERSION, 0, WALL, body)), off)
            for fails_at in range(4):  # number of files that can be written before the failure
                calls = [0]

                def put(path, data, mode=None, durable=False, files=None, calls=calls, fails_at=fails_at):
                    calls[0] += 1
                    if calls[0] > fails_at:
                        raise OSError("no space left")
                    snapshot.put(path, data, mode, durable, files)

                with patch.object(versions, "put", put):
                    follower._apply("127.0.0.1:1", answer)
                self.assertEqual((follower.watch.position, versions.position(folder)), (0, 0), fails_at)
                self.assertEqual(len(versions.announced(folder)), int(fails_at >= 2))
            follower._apply("127.0.0.1:1", answer)
            self.assertEqual((follower.watch.position, versions.position(folder)), (2, 2))
            self.assertEqual([(a.number, a.revoked) for a in versions.announced(folder)], [(1, True)])
            self.assertEqual(versions.path_of(folder, 1).read_text(), "settings")

    async def test_a_version_that_is_damaged_is_passed_over_and_not_called_off(self):
        with tempfile.TemporaryDirectory() as folder:
            terms = ConfigurationTerms((("127.0.0.1", 1),), 13 * SECOND)
            follower = ConfigurationFollower("d1", terms, folder, VirtualClock(), random.random, Mock())
            good = Record("r2", RecordKind.VERSION, 0, WALL, compress_text("settings"))
            answer = extract(0, (1, Record("r1", RecordKind.VERSION, 0, WALL, b"damaged")), (2, good))
            follower._apply("127.0.0.1:1", answer)
            self.assertEqual((follower.watch.position, versions.position(folder)), (2, 2))
            self.assertEqual([a.number for a in versions.announced(folder)], [2])
            self.assertEqual(follower.unsent_call_offs, {})


class Stages(unittest.TestCase):
    def test_the_last_stage_and_the_reserve_fit_into_the_time(self):
        for within in (7, 13, 30, 94):
            last = dwell_for(within * SECOND) * (len(STAGES) - 1)
            self.assertLessEqual(last + 4 * SECOND, within * SECOND)
        self.assertEqual(dwell_for(13 * SECOND), 3 * SECOND)


if __name__ == "__main__":
    unittest.main()
