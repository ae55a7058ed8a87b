"""A wall clock that is stepped, forward or back, by seconds or an hour, while the monotonic clock runs on:
spans of real time stay what they are."""

import asyncio
import itertools
import pathlib
import tempfile
import time
import types
import unittest
from unittest import mock

from petrelwood import clocks
from petrelwood.decide.cluster.membership import DEPARTED, GONE, NEWS_DELAY, USABLE, Entry, Membership
from petrelwood.decide.cluster.replicated_log import VERSION, Record
from petrelwood.decide.cluster.rollout import DWELL, STAGES, Announcement, Rollout, stage_delay
from petrelwood.decide.cluster.version_watch import VersionWatch
from petrelwood.decide.wall_clock import FOLLOWED, UnsteppedWallClock
from petrelwood.dispatch.serve import Serving
from petrelwood.store import versions

S, MS = 1_000_000_000, 1_000_000
HOUR, WALL = 3600 * S, 1_700_000_000 * S
STEPS = (HOUR, -HOUR, 5 * S, -5 * S)
LATE = 1000 * S  # on the monotonic clock, when the moment of a test begins


def entry(worker, booted=0, state=USABLE):
    return Entry(worker, ("127.0.0.1", 1), "north", 0, booted, state)


def age(listed, now):
    """What is believed of the age of the one worker that is listed; None: it is warm."""
    (one,) = listed
    return now - one.booted if one.booted else None


class UnsteppedClock(unittest.TestCase):
    def test_a_step_is_not_seen_and_a_slewed_clock_is_followed(self):
        for step in STEPS:
            clock = UnsteppedWallClock()
            self.assertEqual(clock.read(7 * S, WALL), WALL)
            self.assertEqual(clock.read(9 * S, WALL + 2 * S + step), WALL + 2 * S)
        clock, ahead = UnsteppedWallClock(), 0
        for second in range(1000):  # 50 ms in each second
            ahead += FOLLOWED // 2
            found = clock.read(second * S, WALL + second * S + ahead)
            self.assertEqual(found, WALL + second * S + ahead)

    def test_the_real_clock_has_both(self):
        async def main():
            clock, system = clocks.LoopClock(), time.time_ns
            for step in STEPS:
                with mock.patch("time.time_ns", lambda step=step: system() + step):
                    steady = clock.steady_wall()
                self.assertLess(abs(steady - system()), S)
            return clock.wall() - clock.steady_wall()

        self.assertLess(abs(asyncio.run(main())), S)

    def test_a_pause_between_the_two_readings_is_no_offset(self):
        async def main():
            readings, monotonic, wall = itertools.count(), time.monotonic_ns, time.time_ns

            def late(clock, *which):
                """The process stands still for 10 s before these readings of the two clocks, in turn."""
                return lambda: clock() + (10 * S if next(readings) in which else 0)

            with (
                mock.patch("time.time_ns", late(wall, 1)),
                mock.patch("time.monotonic_ns", late(monotonic, 2)),
            ):
                clock = clocks.LoopClock()
            return abs(clock.steady_wall() - time.time_ns())

        self.assertLess(asyncio.run(main()), S)


class WorkerAges(unittest.TestCase):
    """Rule 4: a worker that is cold is not believed warm. `now` is our monotonic clock, the platform's is
    `WALL + now`, and ours is that and its step."""

    def membership(self):
        return Membership(5 * S, 100 * MS, lambda: 0.5)

    def test_a_worker_that_starts_after_a_step_is_as_old_as_it_is(self):
        for step in STEPS:
            m = self.membership()
            m.whole("e-1", [entry("old")], LATE, WALL + LATE)
            now = LATE + 60 * S
            listed, _ = m.change("e-2", [entry("new", WALL + now - 200 * MS)], now, WALL + now + step)
            self.assertEqual(age(listed, now), 200 * MS, step)

    def test_one_that_restarts_after_a_step_is_as_old_as_it_is(self):
        for step in STEPS:
            m = self.membership()
            m.whole("e-1", [entry("one", WALL)], LATE, WALL + LATE)
            now = LATE + 60 * S
            listed, _ = m.whole("e-9", [entry("one", WALL + now - 200 * MS)], now, WALL + now + step)
            self.assertEqual(age(listed, now), 200 * MS, step)

    def test_where_our_clock_was_ahead_from_the_start_a_new_worker_is_no_older_than_the_last_list(self):
        for step in (HOUR, 5 * S):
            m = self.membership()
            m.whole("e-1", [entry("old")], LATE, WALL + LATE + step)
            m.confirmed(LATE + 59 * S)
            now = LATE + 60 * S
            listed, _ = m.change("e-2", [entry("new", WALL + now - 200 * MS)], now, WALL + now + step)
            self.assertLessEqual(age(listed, now), S, step)

    def test_where_our_clock_was_behind_from_the_start_a_new_worker_is_cold(self):
        m, now = self.membership(), LATE + 60 * S
        m.whole("e-1", [entry("old")], LATE, WALL + LATE - HOUR)
        listed, _ = m.change("e-2", [entry("new", WALL + now - 200 * MS)], now, WALL + now - HOUR)
        self.assertEqual(age(listed, now), 0)

    def test_an_old_worker_on_the_first_list_is_as_old_as_told(self):
        for old in (3 * S, 20 * S, 10 * HOUR):  # also older than this machine's monotonic clock
            m = self.membership()
            listed, _ = m.whole("e-1", [entry("one", WALL + LATE - old)], LATE, WALL + LATE)
            self.assertEqual(age(listed, LATE), old)

    def test_one_that_starts_while_the_list_is_silent_is_as_old_as_told(self):
        m = self.membership()
        m.whole("e-1", [entry("old")], LATE, WALL + LATE)
        m.alive(LATE + S)
        now = LATE + 300 * S
        m.silent(now - S)
        m.alive(now)
        listed, _ = m.whole("e-4", [entry("new", WALL + now - 200 * S)], now, WALL + now + HOUR)
        self.assertEqual(age(listed, now), 200 * S)

    def test_news_that_comes_late_is_believed(self):
        m = self.membership()
        m.whole("e-1", [entry("old")], LATE, WALL + LATE)
        m.confirmed(LATE + 60 * S)
        now = LATE + 60 * S + 250 * MS
        listed, _ = m.change("e-2", [entry("new", WALL + now - NEWS_DELAY)], now, WALL + now)
        self.assertEqual(age(listed, now), NEWS_DELAY)

    def test_one_that_leaves_the_list_and_comes_back_is_as_old_as_it_was(self):
        for back in ("e-3", "f-1"):
            m, booted = self.membership(), WALL + LATE - 30 * S
            m.whole("e-1", [entry("one", booted)], LATE, WALL + LATE)
            m.change("e-2", [entry("one", booted, GONE)], LATE + S, WALL + LATE + S)
            now = LATE + 2 * S
            tells = m.change if back == "e-3" else m.whole
            listed, _ = tells(back, [entry("one", booted)], now, WALL + now + HOUR)
            self.assertEqual(age(listed, now), 32 * S)

    def test_what_is_remembered_of_those_that_left_is_bounded(self):
        m = self.membership()
        for number in range(DEPARTED + 100):
            m.whole(f"e-{number}", [entry(f"w{number}", WALL)], LATE + number, WALL + LATE + number)
        self.assertLessEqual(len(m.departed), DEPARTED)


class RollOuts(unittest.IsolatedAsyncioTestCase):
    """A step neither skips a stage of a roll-out nor holds one."""

    async def roll(self, step, step_at, length, rollout, announced):
        """Plays the loop of a dispatcher that serves, on a clock that is stepped at `step_at`; [(second, what
        it takes)]."""
        taken, clock = [], clocks.VirtualClock()
        unstepped = UnsteppedWallClock()
        wall = mock.Mock(wall=lambda: clock.wall() + (step if clock.now() >= step_at else 0), now=clock.now)
        wall.steady_wall = lambda: unstepped.read(clock.now(), wall.wall())

        async def sleep(seconds):
            clock.run(clock.now() + int(seconds * S))
            if clock.now() > length:
                raise asyncio.CancelledError

        serving = Serving.__new__(Serving)
        serving.core = types.SimpleNamespace(loop=asyncio.get_running_loop(), clock=wall, answered=(0, 0))
        serving.own, serving.rollout, serving.rolled, serving.predecessor = None, rollout, (0, 0), None
        serving.log, serving.again = mock.Mock(), None
        serving._take = lambda new, rolls: taken.append(clock.now() // S) or True
        with tempfile.TemporaryDirectory() as folder:
            for one in announced:
                versions.receive(pathlib.Path(folder), one.number, "", one.begun)
            with (
                mock.patch("asyncio.sleep", sleep),
                mock.patch("petrelwood.dispatch.serve.versioned", lambda *parts: None),
                self.assertRaises(asyncio.CancelledError),
            ):
                await serving._roll(folder)
        return taken

    async def test_stages_come_at_their_time(self):
        name = next(f"d{n}" for n in range(100) if stage_delay(f"d{n}", 2) == 2 * DWELL)
        for step in (0, *STEPS):
            taken = await self.roll(
                step, 10 * S, 200 * S, Rollout(name, 0), [Announcement(2, clocks.WALL, False)]
            )
            self.assertEqual(len(taken), 1, step)
            self.assertLessEqual(abs(taken[0] - 2 * DWELL // S), 1, step)

    def test_one_that_was_announced_by_a_clock_ahead_of_ours_begins_when_it_is_seen(self):
        name = next(f"d{n}" for n in range(100) if stage_delay(f"d{n}", 2) == DWELL)
        rollout, told = Rollout(name, 0), [Announcement(2, WALL + HOUR, False)]
        looks = [at for at in range(0, 200) if rollout.decide(WALL + at * S, told)]
        self.assertEqual(looks, [DWELL // S])

    def test_the_process_that_follows_watches_for_as_long(self):
        for step in STEPS:
            first = Rollout("d1", 0)
            told = [Announcement(2, WALL - len(STAGES) * DWELL, False)]
            self.assertEqual(first.decide(WALL, told), ("take", 2))
            second = Rollout.from_state("d1", first.to_state(step))  # begins from the stepped clock
            second.decide(WALL + step + 2 * DWELL - S, told)
            self.assertIsNotNone(second.took_at)
            second.decide(WALL + step + 2 * DWELL, told)
            self.assertIsNone(second.took_at)

    def test_a_record_dated_ahead_of_ours_begins_when_it_is_heard_of(self):
        for ahead in (HOUR, 5 * S):
            watch = VersionWatch("d1", ["c1", "c2"], 0, 90 * S, lambda: 0.5)
            extract = types.SimpleNamespace(
                since=0, chosen=1, entries=[(1, Record("r", VERSION, 0, WALL + ahead, b""))]
            )
            (version,) = watch.on_answer("c1", extract, 0, WALL)
            self.assertEqual(version.begun, WALL)
