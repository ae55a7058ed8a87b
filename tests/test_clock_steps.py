"""The wall clock is stepped forward or back, by seconds or an hour, while the monotonic clock runs on;
measured time spans must not change."""

import asyncio
import itertools
import pathlib
import random
import tempfile
import time
import types
import unittest
from unittest import mock

import node_site
import rig
import test_mqtt

from petrelwood import clocks, ports
from petrelwood.audit import rules
from petrelwood.control.appending import new_identity
from petrelwood.decide.cluster.log_records import Entry as LogEntry
from petrelwood.decide.cluster.log_records import Extract, Record, RecordKind
from petrelwood.decide.cluster.membership import (
    MAX_DEPARTED,
    MAX_EVENT_DELAY,
    Endpoint,
    EndpointState,
    Membership,
)
from petrelwood.decide.cluster.polling import RosterPolling
from petrelwood.decide.cluster.rollout import DWELL, STAGES, Announcement, Rollout, stage_delay
from petrelwood.decide.cluster.version_watch import VersionWatch
from petrelwood.decide.delivery import ledger as ids
from petrelwood.decide.delivery import recovery
from petrelwood.decide.delivery.state_records import (
    ActivationAdmitted,
    IncarnationStarted,
    LoadOrdered,
)
from petrelwood.decide.forecasting.forecast import Forecast
from petrelwood.decide.forecasting.slot_calendar import Calendar
from petrelwood.decide.wall_clock import MAX_SLEW, UnsteppedWallClock
from petrelwood.dispatch.load_forecasts import LoadForecasts
from petrelwood.dispatch.rollout import VersionRollout, VersionSource
from petrelwood.dispatch.settings_update import UpdateResult
from petrelwood.emulate import script
from petrelwood.emulate.disk import Disk
from petrelwood.emulate.platform import Platform
from petrelwood.node import roster
from petrelwood.settings.early_loads import EarlyTerms
from petrelwood.store import versions
from petrelwood.store.state_log import StateLog

S, MS = 1_000_000_000, 1_000_000
HOUR, WALL = 3600 * S, 1_700_000_000 * S
STEPS = (HOUR, -HOUR, 5 * S, -5 * S)
LATE = 1000 * S  # monotonic time at which the tests start
TOLERANCE, REMEMBERED, WINDOW = 300 * S, 600 * S, 20 * S
TYPES = {
    "again": ports.NamespaceType(S, ports.Effect.REPEATABLE, "all", 0),
    "all": ports.NamespaceType(S, ports.Effect.DEDUPLICATED, "all", WINDOW),
    "once": ports.NamespaceType(S, ports.Effect.ONCE_ONLY, "all", 0),
}
REMEMBER = dict.fromkeys(TYPES, REMEMBERED)
ONCE, KEY = "once", ("x", "m1")


def entry(worker, booted=0, state=EndpointState.USABLE):
    return Endpoint(worker, ("127.0.0.1", 1), "north", 0, booted, state)


def assumed_age(listed, now):
    """Return the assumed age of the only listed worker; None: it is warm."""
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
            ahead += MAX_SLEW // 2
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
                """Return `clock` with 10 s added at the readings in `which`, as if the process had been
                suspended before them; the readings of both clocks are counted together."""
                return lambda: clock() + (10 * S if next(readings) in which else 0)

            with (
                mock.patch("time.time_ns", late(wall, 1)),
                mock.patch("time.monotonic_ns", late(monotonic, 2)),
            ):
                clock = clocks.LoopClock()
            return abs(clock.steady_wall() - time.time_ns())

        self.assertLess(asyncio.run(main()), S)


class WorkerAges(unittest.TestCase):
    """Rule 4: a cold worker is never treated as warm.

    `now` is the dispatcher's monotonic clock, `WALL + now` the wall clock of the platform, and that plus the
    step the wall clock of the dispatcher."""

    def membership(self):
        return Membership(5 * S, 100 * MS, lambda: 0.5)

    def test_a_worker_that_starts_after_a_step_is_as_old_as_it_is(self):
        for step in STEPS:
            m = self.membership()
            m.apply_list("e-1", [entry("old")], LATE, WALL + LATE)
            now = LATE + 60 * S
            listed, _ = m.apply_change("e-2", [entry("new", WALL + now - 200 * MS)], now, WALL + now + step)
            self.assertEqual(assumed_age(listed, now), 200 * MS, step)

    def test_one_that_restarts_after_a_step_is_as_old_as_it_is(self):
        for step in STEPS:
            m = self.membership()
            m.apply_list("e-1", [entry("one", WALL)], LATE, WALL + LATE)
            now = LATE + 60 * S
            listed, _ = m.apply_list("e-9", [entry("one", WALL + now - 200 * MS)], now, WALL + now + step)
            self.assertEqual(assumed_age(listed, now), 200 * MS, step)

    def test_where_our_clock_was_ahead_from_the_start_a_new_worker_is_no_older_than_the_last_list(self):
        for step in (HOUR, 5 * S):
            m = self.membership()
            m.apply_list("e-1", [entry("old")], LATE, WALL + LATE + step)
            m.on_complete(LATE + 59 * S)
            now = LATE + 60 * S
            listed, _ = m.apply_change("e-2", [entry("new", WALL + now - 200 * MS)], now, WALL + now + step)
            self.assertLessEqual(assumed_age(listed, now), S, step)

    def test_where_our_clock_was_behind_from_the_start_a_new_worker_is_cold(self):
        m, now = self.membership(), LATE + 60 * S
        m.apply_list("e-1", [entry("old")], LATE, WALL + LATE - HOUR)
        listed, _ = m.apply_change("e-2", [entry("new", WALL + now - 200 * MS)], now, WALL + now - HOUR)
        self.assertEqual(assumed_age(listed, now), 0)

    def test_an_old_worker_on_the_first_list_is_as_old_as_told(self):
        for old in (3 * S, 20 * S, 10 * HOUR):  # the last one is older than the machine's monotonic clock
            m = self.membership()
            listed, _ = m.apply_list("e-1", [entry("one", WALL + LATE - old)], LATE, WALL + LATE)
            self.assertEqual(assumed_age(listed, LATE), old)

    def test_one_that_starts_while_the_list_is_silent_is_as_old_as_told(self):
        m = self.membership()
        m.apply_list("e-1", [entry("old")], LATE, WALL + LATE)
        m.on_contact(LATE + S)
        now = LATE + 300 * S
        m.is_newly_lost(now - S)
        m.on_contact(now)
        listed, _ = m.apply_list("e-4", [entry("new", WALL + now - 200 * S)], now, WALL + now + HOUR)
        self.assertEqual(assumed_age(listed, now), 200 * S)

    def test_news_that_comes_late_is_believed(self):
        m = self.membership()
        m.apply_list("e-1", [entry("old")], LATE, WALL + LATE)
        m.on_complete(LATE + 60 * S)
        now = LATE + 60 * S + 250 * MS
        listed, _ = m.apply_change("e-2", [entry("new", WALL + now - MAX_EVENT_DELAY)], now, WALL + now)
        self.assertEqual(assumed_age(listed, now), MAX_EVENT_DELAY)

    def test_one_that_leaves_the_list_and_comes_back_is_as_old_as_it_was(self):
        for back in ("e-3", "f-1"):
            m, booted = self.membership(), WALL + LATE - 30 * S
            m.apply_list("e-1", [entry("one", booted)], LATE, WALL + LATE)
            m.apply_change("e-2", [entry("one", booted, EndpointState.GONE)], LATE + S, WALL + LATE + S)
            now = LATE + 2 * S
            tells = m.apply_change if back == "e-3" else m.apply_list
            listed, _ = tells(back, [entry("one", booted)], now, WALL + now + HOUR)
            self.assertEqual(assumed_age(listed, now), 32 * S)

    def test_what_is_remembered_of_those_that_left_is_bounded(self):
        m = self.membership()
        for number in range(MAX_DEPARTED + 100):
            m.apply_list(f"e-{number}", [entry(f"w{number}", WALL)], LATE + number, WALL + LATE + number)
        self.assertLessEqual(len(m.departed), MAX_DEPARTED)


class PlatformList(unittest.TestCase):
    """The endpoint list by DNS, whose answers may arrive long after their queries."""

    def assumed_ages(self, asked, comes, started, step):
        """Return the assumed ages of a worker that started at `started` (s).

        The worker is first named in the answer that arrives at `comes` to the query of `asked`; earlier
        answers arrived every second."""
        now, m = [0], Membership(5 * S, 100 * MS, lambda: 0.5)
        stepped = types.SimpleNamespace(wall=lambda: WALL + now[0] + step)
        core = types.SimpleNamespace(now=lambda: now[0], clock=stepped, endpoints_changed=mock.Mock())
        asking = RosterPolling(iter(n / 65536 for n in range(100)).__next__)
        link = roster.DnsRoster(("127.0.0.1", 1), m, asking, core, mock.Mock())
        old = {"w1": (5050, "Ready", "east", 0)}

        def deliver_answer(id_, serial, entries):
            question = id_.to_bytes(2, "big") + link.query_without_id
            link.handle_datagram(node_site.answer(question, serial, entries))

        for second in range(LATE // S, asked):
            now[0] = second * S
            deliver_answer(asking.begin_query(now[0]), 1, old)
        now[0] = asked * S
        id_ = asking.begin_query(now[0])
        now[0] = int(comes * S)
        told = (WALL + int(started * S)) // MS
        deliver_answer(id_, 2, {**old, "w2": (5051, "Ready", "east", told)})
        listed = core.endpoints_changed.call_args.args[0]
        return [now[0] - one.booted for one in listed if one.worker == "w2"]

    def test_an_answer_that_comes_late_brings_a_worker_that_is_as_old_as_told(self):
        for step in (0, *STEPS):  # the clock was off from the start
            expected = [4 * S] if step == 0 else [0] if step < 0 else [6 * S]
            self.assertEqual(self.assumed_ages(1010, 1015, 1011, step), expected, step)

    def test_an_answer_that_comes_at_once_brings_a_worker_no_older_than_the_one_before(self):
        for step in (HOUR, 5 * S):
            (found,) = self.assumed_ages(1010, 1010.05, 1009.9, step)
            self.assertLessEqual(found, 1050 * MS)


class RollOuts(unittest.IsolatedAsyncioTestCase):
    """A step neither skips nor delays a stage of a roll-out."""

    async def roll(self, step, step_at, length, rollout, announced):
        """Run the roll-out loop of a dispatcher on a clock that is stepped at `step_at`.

        Returns the seconds at which it applied versions."""
        taken, clock = [], clocks.VirtualClock()
        unstepped = UnsteppedWallClock()
        wall = mock.Mock(wall=lambda: clock.wall() + (step if clock.now() >= step_at else 0), now=clock.now)
        wall.steady_wall = lambda: unstepped.read(clock.now(), wall.wall())

        async def sleep(seconds):
            clock.run(clock.now() + int(seconds * S))
            if clock.now() > length:
                raise asyncio.CancelledError

        loop, log = asyncio.get_running_loop(), mock.Mock()
        core = types.SimpleNamespace(loop=loop, clock=wall, answered=(0, 0))
        updater, upgrader = mock.Mock(), types.SimpleNamespace(handing_over=False, available=False)
        updater.update = lambda *settings: taken.append(clock.now() // S) or UpdateResult.APPLIED
        with tempfile.TemporaryDirectory() as folder:
            for one in announced:
                versions.receive(pathlib.Path(folder), one.number, "", one.rollout_start)
            source = VersionSource(folder, None, mock.Mock())
            rolls = VersionRollout(rollout, source, core, log, updater, upgrader, mock.Mock())
            with mock.patch("asyncio.sleep", sleep), self.assertRaises(asyncio.CancelledError):
                await rolls.run((0, 0))
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
            second = Rollout.from_state("d1", first.to_state(step))  # starts on the stepped clock
            second.decide(WALL + step + 2 * DWELL - S, told)
            self.assertIsNotNone(second.applied_at)
            second.decide(WALL + step + 2 * DWELL, told)
            self.assertIsNone(second.applied_at)

    def test_a_record_dated_ahead_of_ours_begins_when_it_is_heard_of(self):
        for ahead in (HOUR, 5 * S):
            watch = VersionWatch("d1", ["c1", "c2"], 0, 90 * S, lambda: 0.5)
            record = Record("r", RecordKind.VERSION, 0, WALL + ahead, b"")
            extract = Extract(0, 1, (LogEntry(1, record),))
            (version,) = watch.on_answer("c1", extract, 0, WALL)
            self.assertEqual(version.rollout_start, WALL)


class Ids(unittest.TestCase):
    """Rule 2: the time for which an id is remembered is measured by the dispatcher's own clock."""

    def ledger(self):
        return ids.Ledger(10_000, 10_000, TOLERANCE, TYPES, REMEMBER)

    def test_a_step_after_the_check_of_a_timestamp_lengthens_nothing(self):
        ledger = self.ledger()
        _, entry = ledger.admit(LATE, WALL - HOUR, KEY, WALL, ONCE)
        self.assertEqual(entry.remembered_until, LATE + 3 * TOLERANCE)
        _, entry = ledger.admit(LATE, WALL + HOUR, ("x", "m2"), WALL, ONCE)
        self.assertEqual(entry.remembered_until, LATE + REMEMBERED)

    def test_what_is_played_back_after_a_step_to_before_it_was_forgotten(self):
        for type_, verdict in (
            (ONCE, ids.LedgerVerdict.SIGNED_TOO_EARLY),
            ("all", ids.LedgerVerdict.SIGNED_TOO_EARLY),
            ("again", ids.LedgerVerdict.RUN),
        ):
            ledger = self.ledger()
            ledger.admit(LATE, WALL, KEY, WALL, type_)
            ledger.end(KEY, ids.ActivationState.COMPLETED, b"{}", True)
            now = LATE + HOUR
            ledger.prune(now)
            self.assertEqual(ledger.entries, {})
            # The clock is back at the time of the first request, whose timestamp is within the tolerance.
            self.assertEqual(ledger.admit(now, WALL, KEY, WALL, type_)[0], verdict)
            self.assertEqual(ledger.admit(now, WALL, ("x", "m2"), WALL + 1, type_)[0], ids.LedgerVerdict.RUN)

    def test_no_honest_sender_is_turned_away_where_no_clock_is_stepped(self):
        ledger, chance, now = self.ledger(), random.Random(5), LATE
        for number in range(5000):
            now += int(chance.expovariate(2) * S)
            wall = WALL + now
            stamp = wall + chance.randint(-TOLERANCE, TOLERANCE)
            verdict, _ = ledger.admit(now, wall, ("x", f"m{number}"), stamp, chance.choice(list(TYPES)))
            self.assertEqual(verdict, ids.LedgerVerdict.RUN)
            ledger.end(("x", f"m{number}"), ids.ActivationState.COMPLETED, b"", True)
        self.assertGreater(ledger.newest_forgotten, 0)

    def test_what_nobody_signs_is_newer_than_all_that_is_known(self):
        ledger = self.ledger()
        ledger.admit(LATE, WALL, KEY, WALL, ONCE)
        self.assertEqual(ledger.next_timestamp(KEY, ONCE, WALL - HOUR), WALL + 1)
        ledger.end(KEY, ids.ActivationState.COMPLETED, b"{}", True)
        ledger.prune(LATE + HOUR)
        self.assertEqual(ledger.next_timestamp(KEY, ONCE, WALL - HOUR), WALL + 1)
        self.assertEqual(ledger.next_timestamp(KEY, ONCE, WALL + HOUR), WALL + HOUR)


class Restarts(unittest.TestCase):
    """State that a process wrote is read by the next process, which starts after a step."""

    GUARANTEES = ports.Guarantees(S, 8 * S, 0.25, 2.5, S)
    ORDERS = ports.LoadOrders(True, True, 8 * S, 6, 0.4, 5 * S)

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.now = pathlib.Path(folder.name), LATE

    def log(self, step, machine="b1", marked=True):
        """Return the log of a process that starts now, on a wall clock stepped by `step`."""
        self.epoch = WALL + step
        mark = recovery.boot_mark(machine, self.epoch) if marked else machine
        wall, keep = self.now + self.epoch, REMEMBERED + 2 * TOLERANCE
        return StateLog(self.folder, wall, mark, keep, now=lambda: self.now)

    def run_first_process(self):
        """Write one id of each type that may have run, and four load orders one second apart."""
        log = self.log(0)
        for type_ in TYPES:
            log.add(ActivationAdmitted(self.now + WALL, "x", type_, self.now + WALL, type_))
        for second in range(4):
            self.now = LATE + second * S
            log.add(LoadOrdered(self.now + WALL, "w1", "f", 1))
        log.flush()

    def start_second_process(self, after, step, **how):
        """Start a process `after` the end of the first.

        Returns the state that it found, its ledger and its limits after the restart."""
        self.now += after
        log = self.log(step, **how)
        wall = self.now + self.epoch
        found = recovery.replay(log.found, wall, log.boot, False)
        ledger = ids.Ledger(10_000, 10_000, TOLERANCE, TYPES, REMEMBER, wall)
        recovery.restore_ledger(ledger, found, self.now, wall)
        return found, ledger, recovery.RestartLimits(found, self.now, wall, self.GUARANTEES, self.ORDERS)

    def verdict(self, ledger, type_):
        return ledger.admit(self.now, self.now + self.epoch, ("x", type_), WALL + 10 * HOUR, type_)[0]

    def test_on_the_same_start_of_the_machine_all_spans_are_exact(self):
        for step in (0, *STEPS):
            for after, orders, waits, window in (
                (S // 2, 4, S, ids.LedgerVerdict.RUN),
                (2 * S + S // 2, 3, 0, ids.LedgerVerdict.RUN),
                (WINDOW - 4 * S, 0, 0, ids.LedgerVerdict.RUN),
                (WINDOW - 2 * S, 0, 0, ids.LedgerVerdict.MAY_HAVE_RUN),
            ):
                with self.subTest(step=step, after=after):
                    self.setUp()
                    self.run_first_process()
                    found, ledger, back = self.start_second_process(after, step)
                    self.assertFalse(found.clock_went_back)
                    self.assertEqual((back.recent_orders, back.cold_workers_from - self.now), (orders, waits))
                    self.assertEqual(self.verdict(ledger, "all"), window)
                    self.assertEqual(self.verdict(ledger, ONCE), ids.LedgerVerdict.MAY_HAVE_RUN)
                    self.assertEqual(self.verdict(ledger, "again"), ids.LedgerVerdict.RUN)

    def test_an_id_is_remembered_for_its_time_over_a_step_and_a_restart(self):
        for step in STEPS:
            for after, remembered in ((REMEMBERED - 4 * S, True), (REMEMBERED - 2 * S, False)):
                self.setUp()
                self.run_first_process()
                _, ledger, _ = self.start_second_process(after, step)
                self.assertEqual(("x", ONCE) in ledger.entries, remembered, (step, after))
                self.assertEqual(ledger.newest_forgotten, 0 if remembered else LATE + WALL)

    def test_segments_that_are_found_are_kept_for_their_time(self):
        for step, machine in itertools.product(STEPS, ("b1", "b2")):
            self.setUp()
            self.run_first_process()
            self.now += S
            second = self.log(step, machine)
            self.now += S
            second.begin_next_segment(self.now + self.epoch)
            _, ledger, _ = self.start_second_process(S, step, machine=machine)
            self.assertIn(("x", ONCE), ledger.entries, (step, machine))

    def test_after_a_new_start_of_the_machine_nothing_is_older_than_that(self):
        for step in (0, *STEPS):
            self.setUp()
            self.run_first_process()
            _, ledger, back = self.start_second_process(S, step, machine="b2")
            self.assertEqual((back.recent_orders, back.cold_workers_from - self.now), (4, S), step)
            self.assertEqual(self.verdict(ledger, "all"), ids.LedgerVerdict.MAY_HAVE_RUN)
            self.assertEqual(self.verdict(ledger, ONCE), ids.LedgerVerdict.MAY_HAVE_RUN)
            self.assertGreaterEqual(ledger.entries["x", ONCE].remembered_until, self.now + REMEMBERED)

    def test_a_life_before_a_new_start_of_the_machine_is_older_than_the_one_after_it(self):
        self.run_first_process()
        self.now += S
        self.log(HOUR, machine="b2")
        began = self.now
        found, ledger, back = self.start_second_process(9 * S, -HOUR, machine="b2")
        self.assertEqual((back.recent_orders, back.cold_workers_from), (0, self.now))
        self.assertEqual(ledger.entries["x", ONCE].remembered_until, began + REMEMBERED)
        self.assertFalse(found.same_boot)

    def test_a_log_of_a_build_that_kept_no_offset_is_read_by_the_wall_clock(self):
        self.folder.mkdir(exist_ok=True)
        log = StateLog(self.folder, WALL + self.now, "b1", HOUR)
        log.add(ActivationAdmitted(WALL + self.now, "x", ONCE, WALL + self.now, ONCE))
        log.flush()
        for after, remembered in ((REMEMBERED - S, True), (2 * S, False)):
            found, ledger, _ = self.start_second_process(after, 0)
            self.assertEqual(("x", ONCE) in ledger.entries, remembered)
            self.assertTrue(found.same_boot and found.complete_since)

    def test_workers_are_as_old_as_the_lesser_of_two_clocks_says(self):
        for step in (HOUR, 5 * S):
            for listed_first in (False, True):
                m, now = Membership(5 * S, 100 * MS, lambda: 0.5), LATE
                told = [entry("new", WALL + now - S), entry("old")]
                if listed_first:
                    m.apply_list("e-1", told, now, WALL + now + step)
                    (changed,) = m.correct_clock(WALL, now)
                    self.assertEqual(now - changed.booted, S)
                else:
                    self.assertEqual(m.correct_clock(WALL, now), [])
                    listed, _ = m.apply_list("e-1", told, now, WALL + now + step)
                    self.assertEqual([assumed_age([one], now) for one in listed], [S, None])
                self.assertEqual(m.correct_clock(WALL + HOUR, now), [])  # this clock was ahead

    def test_a_dispatcher_that_finds_the_lesser_clock_after_its_list_tells_the_module_of_younger_workers(
        self,
    ):
        platform, clock = Platform(stepped_day(), 1), clocks.VirtualClock(LATE)
        ahead = types.SimpleNamespace(now=clock.now, wall=lambda: WALL + clock.now() + HOUR, at=clock.at)
        ahead.steady_wall = ahead.wall
        core = platform.make_core(platform.cores["d1"].gateway, ahead, random.Random(1), None)
        with mock.patch.object(core, "links"):
            told = [entry("new", WALL + LATE - S), entry("old")]
            core.endpoints_changed(*core.membership.apply_list("e-1", told, LATE, ahead.wall()), True)
            lives = [IncarnationStarted(WALL + LATE - S, recovery.boot_mark("b1", WALL), 1, 1)]
            with mock.patch.object(core, "scheduler") as scheduler:
                core.adopt(Disk(lives, ahead.wall(), recovery.boot_mark("b1", WALL + HOUR), 2))
        now, (listed,), whole = scheduler.endpoints_changed.call_args.args
        self.assertEqual((now, listed.worker, now - listed.booted, whole), (LATE, "new", S, False))


class Names(unittest.TestCase):
    """Names derived from the wall clock stay unique when the clock goes back to the same time."""

    def test_activations_of_two_processes(self):
        prefixes, day = set(), stepped_day()
        for start in (LATE, LATE + S):
            platform = Platform(day, 1)
            clock = clocks.VirtualClock(start)
            back = types.SimpleNamespace(now=clock.now, wall=lambda: WALL, at=clock.at)
            back.steady_wall = back.wall
            core = platform.make_core(platform.cores["d1"].gateway, back, random.Random(1), None)
            prefixes.add(core.pending.prefix)
        self.assertEqual(len(prefixes), 2)

    def test_proposers_of_two_processes(self):
        with mock.patch("time.time_ns", lambda: WALL), mock.patch("time.monotonic_ns", lambda: LATE):
            self.assertNotEqual(new_identity("c1"), new_identity("c1"))


class Messages(test_mqtt.MqttCase):
    async def test_a_message_that_is_sent_again_after_a_step_back_is_answered_like_before(self):
        """The session has no state, as after a restart, but the id is known."""
        await self.begin(rig.Worker("w1"))
        self.client.ask("once-1", b"a", 1)
        self.assertEqual(await self.answered(b"a"), ["completed"])
        system = time.time_ns
        with mock.patch("time.time_ns", lambda: system() - HOUR):
            self.client.answers.clear()
            for session in self.cores[0].fronts[0].sessions:
                session.decoder.last_timestamp = 0
            self.client.ask("once-1", b"a", 1)
            self.assertEqual(await self.answered(b"a"), ["completed"])
        self.assertEqual(self.runs(), 1)


class Forecasts(unittest.TestCase):
    def test_a_step_ends_no_slot(self):
        """The forecasts run on the unstepped clock, as the core runs them."""
        for step in STEPS:
            forecast, unstepped = (
                Forecast(Calendar(10 * S, 86_400 * S, 7 * 86_400 * S, ()), str),
                UnsteppedWallClock(),
            )
            ended = 0
            for second in range(100):
                wall = WALL + second * S + (step if second >= 45 else 0)
                ended += forecast.record_call(unstepped.read(second * S, wall), "f")
            self.assertEqual((ended, forecast.discarded_slots), (9, 0), step)

    def test_the_core_asks_them_so(self):
        platform = Platform(stepped_day()._replace(early=True), 1)
        core = platform.cores["d1"]
        core.clock.step = HOUR
        slots = EarlyTerms(10 * S, 86_400 * S, 7 * 86_400 * S, (), 0.0, 0.0, 0, 0)
        core.forecasts = LoadForecasts(
            slots, core.terms, core.clock, random.Random(1), prefetch=mock.Mock(), sliced=False
        )
        with mock.patch.object(core.forecasts, "early") as early:
            core._plan_loads()
            self.assertEqual(early.plan_slot.call_args.args[1], clocks.WALL)


def stepped_day(step=0, share="one", moment="under load"):
    """Return a day of four dispatchers, each in its own region, whose wall clocks are stepped at 2 s."""
    path = pathlib.Path(__file__).parent / "days" / "stepped.kdl"
    day = script.read(path)
    some = day.dispatchers[: {"one": 1, "half": 2, "all": 4}[share]]
    starts = {
        "before a worker starts": 3 * S,
        "before a restart": 3 * S,
        "after a worker started": 17 * S // 10,
    }
    restarts = {"before a restart": 22 * S // 10, "after a worker started": 21 * S // 10}
    troubles = [script.Trouble("clock-step", 2 * S, 0, {"dispatcher": d, "by": step}) for d in some]
    if moment in starts:
        for worker in ("w1", "w2", "w3"):
            troubles.append(script.Trouble("restart", starts[moment], 0, {"worker": worker, "down": S // 5}))
    if moment in restarts:
        for number, name in enumerate(some):
            at = restarts[moment] + number * S // 20
            troubles.append(script.Trouble("kill", at, 0, {"dispatcher": name, "down": S // 10}))
    return day._replace(
        state=True,
        troubles=tuple(sorted(troubles, key=lambda trouble: (trouble.at, trouble.kind))),
        clients=tuple(client._replace(insists=True, retries=4) for client in day.clients),
    )


class Days(unittest.TestCase):
    """A day in the emulator, checked against the five rules, with dispatchers whose clocks are stepped."""

    MOMENTS = ("under load", "before a worker starts", "before a restart", "after a worker started")
    SHARES = ("one", "half", "all")

    @classmethod
    def setUpClass(cls):
        cls.unstepped = {}  # outcomes of the requests without a step, by share and moment

    def play(self, step, share, moment, platform=Platform):
        """Play a day and return the violations of rules and the outcomes of the requests."""
        day = platform(stepped_day(step, share, moment), 1).run()
        broken = [line for found in rules.judge(day.case()) for line in found.broken]
        return broken, [wish.ended for wish in day.clients.wishes]

    def unstepped_outcomes(self, share, moment):
        """Return the outcomes of the requests on the same day without a step, which is played once."""
        if (share, moment) not in self.unstepped:
            broken, ended = self.play(0, share, moment)
            self.assertEqual(broken, [])
            self.assertGreater(ended.count("completed"), 1000)
            self.unstepped[share, moment] = ended
        return self.unstepped[share, moment]

    def test_the_rules_hold(self):
        for share, moment, step in itertools.product(self.SHARES, self.MOMENTS, STEPS):
            with self.subTest(share=share, moment=moment, step=step // S):
                broken, ended = self.play(step, share, moment)
                self.assertEqual(broken, [])
                done = ended.count("completed")
                self.assertGreaterEqual(
                    done, 0.99 * self.unstepped_outcomes(share, moment).count("completed")
                )
