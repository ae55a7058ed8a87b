"""Checks the budgets of `benchmarks/scale/size.py` and the slopes of the capacity page by counting
operations, messages and bytes on hollow fleets. Also checks that each of these checks can fail, what a scale
run refuses, and what it leaves behind."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest
from unittest import mock

from benchmarks.scale import counting, events, parts, real, runner, size
from benchmarks.scale import traffic as flows
from benchmarks.scale.figures import Figure, Sample
from benchmarks.scale.fleet import HollowFleet
from benchmarks.scale.plan import Job
from benchmarks.scale.site import SiteSize
from petrelwood import ports
from petrelwood.decide.overload.backoff import Backoff
from petrelwood.decide.scheduling.fleet import HASH_MASK, HASH_MULTIPLIER
from petrelwood.decide.scheduling.records import Function
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.decide.scheduling.slow_start import SlowStart
from petrelwood.decide.scheduling.worker_order import CACHED_ORDERS, WorkerOrder
from petrelwood.standins.roster import ChangeLog

SECOND = 1_000_000_000
ROOT = pathlib.Path(__file__).parent.parent
FLAT = 0.02  # a constant cost may differ by this share between the sizes
FLEETS = (50, 200, 400)  # workers
CARRIED = (size.LARGE_WORKERS, size.MIDDLE_WORKERS)  # the capacity page lists 94,000 workers as missing
EVENTS_A_SECOND = size.MEMBER_CHANGES_A_DAY * size.ASSUMED_EVENTS_A_RESTART / size.SECONDS_A_DAY


def line(measure, sizes):
    """Return the line fitted to `measure(size)`."""
    return Figure("", "", "", tuple(Sample(x, measure(x), 0) for x in sizes), "").line()


def steady_control(site, restarted=1):
    """Return (messages, bytes) that the roster sends to each dispatcher after the first second, while
    `restarted` workers restart."""
    fleet = HollowFleet(site, 1)
    fleet.at(2, fleet.lose_workers, list(fleet.nodes)[:restarted], 1)
    fleet.run()
    flow = fleet.traffic.flows[flows.LIST_TO_DISPATCHERS]
    messages = flow.messages - flow.messages_by_second[0]
    received = flow.bytes - flow.bytes_by_second[0]
    return messages / site.dispatchers, received / site.dispatchers


class WholeLists(ChangeLog):
    """A roster that sends the whole list at each change."""

    def event(self, kind, entries, number):
        """Send the whole list, whatever has changed."""
        return super().event("list", list(self.entries.values()), number)


class ChecksAllWorkers(Scheduler):
    """A scheduler that checks the health of all workers at each call."""

    def activation_arrived(self, now, *arguments):
        """Send a health check to each worker first."""
        for worker in self.fleet.usable:
            self.actions.outlet.check_health(worker.id)
        super().activation_arrived(now, *arguments)


class IteratesOverAllWorkers(Scheduler):
    """A scheduler that iterates over the whole fleet at each call."""

    def activation_arrived(self, now, *arguments):
        """Iterate over all workers first."""
        self.busiest = max((worker for worker in self.fleet.usable), key=lambda worker: worker.cold_attempts)
        super().activation_arrived(now, *arguments)


class CountsAllWorkers(SlowStart):
    """A slow start that iterates over the whole fleet at each update to count the warm workers."""

    def fleet_changed(self, usable, now):
        """Store the whole list."""
        self.usable = usable
        super().fleet_changed(usable, now)

    def update(self, now, *arguments):
        """Iterate over all workers first."""
        self.warm_workers = sum(self.is_warm(worker, now) for worker in self.usable)
        super().update(now, *arguments)


class SortsAllWorkers(WorkerOrder):
    """A worker order that ranks the whole fleet at each placement."""

    def first_by_hash(self, fn, count):
        """Return all workers, without any caching."""
        self.cached.clear()
        return super().first_by_hash(fn, len(self.fleet.usable))


class Control(unittest.TestCase):
    """The traffic about the fleet that a dispatcher receives, against its budget of bytes."""

    def check_flat(self, sites):
        seen = [steady_control(site) for site in sites]
        for messages, received in seen[1:]:
            self.assertAlmostEqual(messages, seen[0][0], delta=FLAT * seen[0][0])
            self.assertAlmostEqual(received, seen[0][1], delta=FLAT * seen[0][1])

    def test_it_does_not_grow_with_the_dispatchers(self):
        self.check_flat([SiteSize(d, 24, 10, 1.0, 4, 1) for d in (5, 20)])

    def test_it_does_not_grow_with_the_workers(self):
        sites = [SiteSize(5, w, 10, 1.0, 4, 1) for w in (24, 96)]
        self.check_flat(sites)
        with mock.patch("benchmarks.scale.fleet.ChangeLog", WholeLists), self.assertRaises(AssertionError):
            self.check_flat(sites)

    def check_switch_lost(self):
        """Lose all workers of a switch within one second, in a fleet of twice that number."""
        lost = size.ASSUMED_WORKERS_A_RACK * size.ASSUMED_RACKS_A_SWITCH
        fleet = HollowFleet(SiteSize(3, 2 * lost, 10, 1.0, 6, 1), 1)
        fleet.at(3, fleet.lose_workers, list(fleet.nodes)[:lost], 60)
        fleet.run()
        self.assertTrue(fleet.all_know())
        peak = fleet.traffic.peak_bytes_of_one(flows.CONTROL_FLOWS, first=2)
        self.assertGreater(peak, lost * 50)
        self.assertLessEqual(peak, size.CONTROL_BYTES_A_SECOND)

    def test_a_switch_stays_within_the_budget_of_bytes(self):
        self.check_switch_lost()
        with mock.patch("benchmarks.scale.fleet.ChangeLog", WholeLists), self.assertRaises(AssertionError):
            self.check_switch_lost()

    def check_all_started_at_once(self):
        """Start all dispatchers: each requests the list once, receives it once, and applies it."""
        site = SiteSize(20, 24, 10, 1.0, 4, 1)
        fleet = HollowFleet(site, 1)
        fleet.at(2, fleet.lose_dispatchers, list(fleet.day.dispatchers), 0.5)
        fleet.run()
        self.assertTrue(fleet.all_know())
        self.assertEqual(fleet.traffic.flows[flows.LIST_ASKED].messages, 2 * site.dispatchers)

    def test_all_dispatchers_started_at_once_ask_once_each(self):
        self.check_all_started_at_once()

        class SkipsChange(ChangeLog):
            def after(self, resume):
                """Return the list, and a change that is out of sequence."""
                return [*super().after(resume), ("change", [], self.number + 2)]

        with mock.patch("benchmarks.scale.fleet.ChangeLog", SkipsChange), self.assertRaises(AssertionError):
            self.check_all_started_at_once()

    def check_roster_lost(self):
        """The roster is down for 12 s: calls continue, few requests are made, and all get the list again."""
        lost = events.SCRIPTED[-1]
        self.assertIn("roster lost", lost.name)
        fleet, values = events.observe(lost, events.SMALL_SITE, 0)
        self.assertTrue(fleet.all_know())
        self.assertGreaterEqual(values["calls in time, from its begin to the end"], 0.97)
        asked = fleet.traffic.flows[flows.LIST_ASKED].messages
        self.assertLessEqual(asked, 12 * len(fleet.day.dispatchers))
        self.assertGreater(asked, len(fleet.day.dispatchers))

    def test_calls_go_on_without_the_roster_and_it_is_not_besieged(self):
        self.check_roster_lost()
        with (
            mock.patch.object(Backoff, "failed", lambda self, now: now + 50_000_000),
            self.assertRaises(AssertionError),
        ):
            self.check_roster_lost()


def placement_operations(workers, earlier):
    """Return the counted operations of ordering a function's workers, after `earlier` such calls."""
    instance = parts.scheduler(workers)
    fn = Function("new")
    for _ in range(earlier):
        instance.placement.first_eligible_workers(fn, None, SECOND)
    return counting.operations(instance.placement.first_eligible_workers, fn, None, SECOND)


class Operations(unittest.TestCase):
    """The cost of the scheduler in bytecode instructions."""

    def check_flat(self, counts):
        self.assertLessEqual(max(counts) - min(counts), FLAT * min(counts), counts)

    def test_a_call_of_a_known_copy_does_not_grow_with_the_workers(self):
        self.check_flat([parts.warm_call_operations(workers, 20) for workers in FLEETS])
        with (
            mock.patch("benchmarks.scale.parts.Scheduler", IteratesOverAllWorkers),
            self.assertRaises(AssertionError),
        ):
            self.check_flat([parts.warm_call_operations(workers, 20) for workers in FLEETS])

    def test_a_call_of_a_known_copy_does_not_grow_with_the_functions(self):
        self.check_flat([parts.warm_call_operations(50, functions) for functions in (20, 200, 2_000)])

    def check_control(self, reading):
        """The timers of a dispatcher and a day's worker changes stay within its part of a core."""
        timers = line(parts.idle_operations, FLEETS)
        by_workers = line(lambda workers: parts.change_operations(workers, 20), FLEETS)
        by_functions = line(lambda functions: parts.change_operations(50, functions), (20, 200, 2_000))
        change = by_workers.at(reading.workers) + by_functions.slope * size.FUNCTIONS
        spent = timers.at(reading.workers) + EVENTS_A_SECOND * change
        self.assertLessEqual(spent, size.CONTROL_OPERATIONS_A_SECOND, reading.name)

    def test_control_on_an_ordinary_day_stays_within_its_part_of_a_core(self):
        for reading in size.FLEET_READINGS:
            self.check_control(reading)
        with (
            mock.patch("petrelwood.decide.scheduling.scheduler.SlowStart", CountsAllWorkers),
            self.assertRaises(AssertionError),
        ):
            self.check_control(size.SINGLE_INSTANCE_WORKERS)

    def check_idle(self):
        """The periodic check of an idle fleet of warm workers costs next to nothing per worker."""
        self.assertLess(line(parts.idle_operations, FLEETS).slope, 5)

    def test_timers_do_not_look_at_warm_workers(self):
        self.check_idle()
        with (
            mock.patch("petrelwood.decide.scheduling.scheduler.SlowStart", CountsAllWorkers),
            self.assertRaises(AssertionError),
        ):
            self.check_idle()

    def check_placements(self):
        """The first placement of a function ranks each worker once and sorts few; later ones rank none."""
        first, later = (line(lambda w, n=n: placement_operations(w, n), (400, 1_000, 2_000)) for n in (0, 1))
        self.assertLess(first.slope, 20)
        self.assertLess(later.slope, 0.1)

    def test_a_placement_costs_little_a_worker(self):
        self.check_placements()
        with (
            mock.patch("petrelwood.decide.scheduling.scheduler.WorkerOrder", SortsAllWorkers),
            self.assertRaises(AssertionError),
        ):
            self.check_placements()


class HashOrder(unittest.TestCase):
    """The cached first workers of a function, compared with the whole fleet ranked and sorted."""

    def expected(self, instance, fn):
        def rank(worker):
            return (worker.hash ^ fn.hash) * HASH_MULTIPLIER & HASH_MASK

        def preference(worker):
            return worker.zone != instance.terms.zone, (
                worker.hash ^ instance.fleet.salt
            ) * HASH_MULTIPLIER & HASH_MASK

        ranked = sorted(instance.fleet.usable, key=rank)
        wanted = instance.popularity.wanted_copies(fn)
        if wanted <= 1:
            return ranked
        return sorted(ranked[:wanted], key=preference) + ranked[wanted:]

    def test_it_is_that_of_all_ranks(self):
        for workers in (1, 2, 5, 60, 500):
            instance = parts.scheduler(workers)
            for number in range(8):
                fn = Function(f"f-{number}")
                for fn.recent_calls in (0, 1, 3, 40):
                    self.assertEqual(list(instance.order.workers_for(fn)), self.expected(instance, fn))

    def test_a_change_of_the_list_changes_it(self):
        instance, fn = parts.scheduler(60), Function("f-1")
        before = list(instance.order.workers_for(fn))
        gone = ports.EndpointEntry(before[0].id, before[0].zone, 0, 0, False)
        instance.endpoints_changed(SECOND, [gone], False)
        self.assertEqual(list(instance.order.workers_for(fn)), before[1:])

    def test_it_is_kept_for_so_many_functions(self):
        instance = parts.scheduler(60)
        for number in range(3 * CACHED_ORDERS):
            next(instance.order.workers_for(Function(f"f-{number}")))
        self.assertEqual(len(instance.order.cached), CACHED_ORDERS)


class Memory(unittest.TestCase):
    """The memory that a dispatcher uses for workers and functions, against its budget."""

    def known(self, reading):
        workers = line(parts.memory_with_workers, (50, 200))
        functions = line(parts.memory_with_functions, (100, 300))
        return workers.at(reading.workers) + functions.at(size.FUNCTIONS)

    def test_workers_and_functions_fit(self):
        for reading in CARRIED:
            self.assertLessEqual(self.known(reading), size.CONTROL_MEMORY, reading.name)
        kept = []

        def heavy(worker, address, core):
            kept.append(bytearray(64_000))
            return parts.SilentLink(worker, address, core)

        with mock.patch.object(parts, "idle_link", heavy), self.assertRaises(AssertionError):
            self.assertLessEqual(self.known(size.MIDDLE_WORKERS), size.CONTROL_MEMORY)


class Calls(unittest.TestCase):
    """The messages that a dispatcher sends for a call."""

    def messages(self, workers, policy=Scheduler):
        """Return the messages to workers per call, without greetings."""
        with mock.patch.object(HollowFleet, "module", policy):
            fleet = HollowFleet(SiteSize(4, workers, 30, 40.0, 6, 2), 1)
            fleet.run()
        sent = (flows.CALLS_TO_WORKERS, flows.ORDERS_TO_WORKERS, flows.PROBES)
        return fleet.traffic.messages(sent) / len(fleet.clients.wishes)

    def check_flat(self, policy):
        few, many = self.messages(24, policy), self.messages(96, policy)
        self.assertLessEqual(many, 1.5 * few + 0.5)

    def test_messages_of_a_call_do_not_grow_with_the_workers(self):
        self.check_flat(Scheduler)
        with self.assertRaises(AssertionError):
            self.check_flat(ChecksAllWorkers)


class Real(unittest.TestCase):
    """A dispatcher process on loopback sends the same as a hollow dispatcher."""

    def check(self, hollow, found):
        counted = [one for one in real.compared(hollow, found, 0) if one.unit in ("messages", "bytes")]
        self.assertEqual(len(counted), 4)
        for one in counted:
            self.assertTrue(one.within, one)

    def test_it_sends_as_many_messages_and_bytes(self):
        found = real.measure_real(real.SMALL)
        self.check(real.measure_hollow(real.SMALL, 0), found)
        longer = mock.patch("benchmarks.scale.fleet.BODY", bytes(200))
        with longer, self.assertRaises(AssertionError):
            self.check(real.measure_hollow(real.SMALL, 0), found)


class Fits(unittest.TestCase):
    def test_a_line_is_found_again(self):
        samples = tuple(Sample(x, 3.0 * x + 7.0, run) for run in (0, 1, 2) for x in (10, 20, 40))
        found = Figure("", "", "", samples, "").line()
        self.assertAlmostEqual(found.slope, 3.0)
        self.assertAlmostEqual(found.constant, 7.0)
        self.assertAlmostEqual(found.spread, 0.0)
        self.assertAlmostEqual(found.at(400), 1207.0)
        self.assertEqual((found.low, found.high, found.extrapolation(400)), (10, 40, 10))

    def test_counted_operations_are_the_same_twice(self):
        first, second = (parts.placement_operations(20) for _ in range(2))
        self.assertEqual(first, second)
        self.assertGreater(counting.operations(sum, (n for n in range(200))), 200)


class Machine(unittest.TestCase):
    """A run that does not fit is refused, and an interrupted run leaves no process behind."""

    def command(self, folder, *more):
        return [sys.executable, "-m", "benchmarks.scale", "--out", folder, *more]

    def refused(self, *more):
        with tempfile.TemporaryDirectory() as folder:
            out = os.path.join(folder, "results")
            ended = subprocess.run(
                self.command(out, *more), cwd=ROOT, capture_output=True, text=True, check=False
            )
            self.assertFalse(os.path.exists(out))
        self.assertEqual(ended.returncode, 2)
        self.assertEqual(ended.stdout, "")
        self.assertEqual(len(ended.stderr.splitlines()), 1, ended.stderr)
        self.assertIn("does not fit", ended.stderr)

    def test_too_much_memory_or_too_many_processes_are_refused_in_one_line(self):
        self.refused("--dispatchers", "4000", "--workers", "94000")
        self.refused("--jobs", "150")

    def test_the_bounds_are_half_of_the_memory_and_a_hundred_processes(self):
        jobs = [Job(str(n), "", "", {}, 300) for n in range(120)]
        runner.check_fits(jobs, 2, 1_200)
        runner.check_fits(jobs, 99, 1 << 40)
        for at_once, memory in ((3, 1_200), (100, 1 << 40)):
            with self.assertRaises(runner.TooLarge):
                runner.check_fits(jobs, at_once, memory)

    def test_it_stops_by_itself_when_its_time_is_up(self):
        with tempfile.TemporaryDirectory() as folder:
            ended = subprocess.run(
                self.command(folder, "--small", "--only", "events", "--runs", "40", "--seconds", "1"),
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
            )
            found = json.loads(pathlib.Path(folder, "scale.json").read_bytes())
        self.assertEqual(ended.returncode, 3)
        self.assertIn("PARTIAL: out of time", ended.stderr)
        self.assertEqual((found["complete"], found["stopped"]), (False, "out of time"))

    def test_an_interrupted_run_leaves_no_process_and_a_partial_result(self):
        for number in (signal.SIGINT, signal.SIGTERM):
            with self.subTest(number.name), tempfile.TemporaryDirectory() as folder:
                self.interrupt(folder, number)

    def interrupt(self, folder, number):
        run = subprocess.Popen(
            self.command(folder, "--small", "--only", "events", "--runs", "20", "--jobs", "1"),
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            text=True,
        )
        try:
            self.assertIn("[1/20]", run.stderr.readline())
            started = children(run.pid)
            while not started:
                started = children(run.pid)
                time.sleep(0.01)
            run.send_signal(number)
            self.assertIn("PARTIAL", run.stderr.read())
            self.assertEqual(run.wait(120), 3)
        finally:
            if run.poll() is None:
                run.kill()
            run.wait()
            run.stderr.close()
        # Python's own helper process ends when it notices that its parent has ended.
        until = time.monotonic() + 60
        while any(alive(pid) for pid in started) and time.monotonic() < until:
            time.sleep(0.05)
        self.assertEqual([pid for pid in started if alive(pid)], [])
        with open(os.path.join(folder, "scale.json"), "rb") as file:
            found = json.load(file)
        self.assertFalse(found["complete"])
        self.assertIn(number.name, found["stopped"])
        self.assertTrue(found["not run"])
        self.assertIn("PARTIAL", pathlib.Path(folder, "scale.md").read_text())


def status(pid):
    """Return (state, parent) of a process, or None if there is no such process."""
    try:
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return None
    state, parent, *_ = text.rpartition(")")[2].split()
    return state, int(parent)


def alive(pid):
    """Return whether the process is still running."""
    seen = status(pid)
    return seen is not None and seen[0] != "Z"


def children(parent):
    """Return the running processes that this process has started."""
    pids = [int(path.name) for path in pathlib.Path("/proc").glob("[0-9]*")]
    return [pid for pid in pids if (status(pid) or ("", 0))[1] == parent and alive(pid)]
