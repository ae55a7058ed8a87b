"""Rule 4: the load that all dispatchers together send to a worker that has just started. `cold_budget` has
the simulation and the check."""

import itertools
import unittest
from unittest import mock

import cold_budget
from cold_budget import MS, SECOND, Book, Case, World, bound, narrow_bound

from petrelwood.decide.scheduling.slow_start import SlowStart

HALF = {"utilization": 0.9, "restart_share": 0.5}
ALL = {"utilization": 0.7, "restart_share": 1}
IN_STEPS = {"utilization": 0.7, "restart_share": 1, "restart_groups": 8, "group_interval": 1000}
MOST = {"utilization": 0.7, "restart_share": 15 / 16, "workers": 16}
# The initial guess of the usual service time is derived from the target latency, which is far too short here,
# and each worker has a single core.
LONG_WORK = {"target_latency": 200, "stretch": 4.0, "cores": 1, "workers": 16, "restarts_dispatchers": True}
ONE_BY_ONE = {
    **LONG_WORK,
    "utilization": 0.7,
    "restart_share": 1,
    "restart_groups": 16,
    "group_interval": 500,
}
TWO_TYPES = {**LONG_WORK, "works": (20, 780), **HALF}
CASES = {
    "1, half at once": {"dispatchers": 1, **HALF},
    "1, all in steps": {"dispatchers": 1, **IN_STEPS},
    "1, all started anew, two types": {"dispatchers": 1, **TWO_TYPES},
    "25, half at once": {"dispatchers": 25, **HALF},
    "25, all at once": {"dispatchers": 25, **ALL},
    "25, all in steps": {"dispatchers": 25, **IN_STEPS},
    "25, all started anew, long work, one by one": {"dispatchers": 25, "seed": 2, **ONE_BY_ONE},
    "25, half at once, slower than the others": {"dispatchers": 25, "restarted_speed": 0.6, **HALF},
    "25 unequal, all in steps": {"dispatchers": 25, "heavy_factor": 8, **IN_STEPS},
    "25 unequal, most at once": {"dispatchers": 25, "heavy_factor": 8, **MOST},
    "25 unequal, one core each": {"dispatchers": 25, "heavy_factor": 8, "cores": 1, "workers": 16, **HALF},
    "200, half at once": {"dispatchers": 200, **HALF},
    "200 unequal, all at once": {"dispatchers": 200, "heavy_factor": 8, **ALL},
}

DISPATCHERS = (1, 2, 4, 25, 200)
UNEQUAL = {"equal": 1.0, "unequal": 8.0}
# Within the grace of each of the project's settings files.
LATE_LIST = {"start_notice": (0, 1500), "stop_notice": (0, 1500)}
RESTARTS = {
    "one restarted": {"utilization": 0.7, "restart_share": 1 / 8},
    "half restarted": HALF,
    "all restarted": ALL,
    "all restarted, lists late": {**ALL, **LATE_LIST},
    "all restarted, one core each, lists late": {**ALL, **LATE_LIST, "cores": 1, "workers": 16},
}
SEEDS = (11, 12)
# ms of virtual time; a shorter run also takes less real time.
SHORT = {"warm_up_time": 4000, "first_restart_at": 5000}


class Judged(unittest.TestCase):
    def check(self, **figures):
        """Run a case, check that notified dispatchers did not cause a first crash, and return its `World`."""
        world = cold_budget.play(**figures)
        self.assertGreater(world.completed, 200)
        self.assertEqual([book.crashes[0] for book in world.books if book.is_broken()], [])
        return world

    def test_the_budget_binds_however_few_the_dispatchers_are(self):
        sent = 0
        for dispatchers in DISPATCHERS:
            for (traffic, heavy_factor), (restarts, figures) in itertools.product(
                UNEQUAL.items(), RESTARTS.items()
            ):
                for seed in SEEDS if dispatchers < 200 else SEEDS[:1]:
                    with self.subTest(f"{dispatchers} {traffic}, {restarts}, seed {seed}"):
                        world = self.check(
                            dispatchers=dispatchers, heavy_factor=heavy_factor, seed=seed, **figures, **SHORT
                        )
                        sent += sum(book.total for book in world.books)
        self.assertGreater(sent, 1000)

    def test_dispatchers_that_are_killed_while_workers_are_cold(self):
        """Each new incarnation draws its part of a window's budget again."""
        for dispatchers, heavy_factor in itertools.product((1, 4, 25), UNEQUAL.values()):
            for killed in ((750,), (400, 900), tuple(range(500, 4000, 500))):
                with self.subTest(f"{dispatchers} unequal {heavy_factor}, {killed}"):
                    self.check(
                        dispatchers=dispatchers,
                        heavy_factor=heavy_factor,
                        dispatcher_kills=killed,
                        **ALL,
                        **SHORT,
                    )

    def test_without_hints_a_new_life_does_not_take_its_guess_for_the_usual_time(self):
        """The target latency is half of the mean work, so the initial guess, a quarter of it, is wrong."""
        for dispatchers, seed, figures in (
            (1, 2, TWO_TYPES),
            (2, 5, TWO_TYPES),
            (4, 3, TWO_TYPES),
            (1, 5, {**TWO_TYPES, **ALL}),
            (2, 2, {**TWO_TYPES, **ALL}),
            (4, 1, {**TWO_TYPES, **ALL}),
        ):
            with self.subTest(f"{dispatchers}, seed {seed}"):
                self.check(dispatchers=dispatchers, seed=seed, hints=False, **figures)

    def test_no_cold_worker_falls_under_what_all_dispatchers_send_together(self):
        for name, figures in CASES.items():
            with self.subTest(name):
                world = self.check(**figures)
                self.assertGreater(world.completed, 300)
                self.assertGreater(sum(book.total for book in world.books), len(world.books))
                self.assertEqual(
                    [book.narrow_crashes[0] for book in world.books if book.is_narrowly_broken()], []
                )


class Broken(unittest.TestCase):
    """The check detects a scheduler that is broken on purpose."""

    def check_crashes(self, broken_budget, *cases, is_broken=Book.is_broken):
        """Check that with this budget a worker crashes in each case, caused by notified dispatchers."""
        for name in cases:
            with self.subTest(name), mock.patch.object(SlowStart, "budget", broken_budget):
                world = cold_budget.play(**CASES[name])
                self.assertTrue(any(is_broken(book) for book in world.books))

    def test_no_budget(self):
        self.check_crashes(lambda slow_start, worker, now: 1, "25, all at once", "25 unequal, all in steps")

    def test_each_dispatcher_takes_all_dispatchers_part(self):
        original = SlowStart.budget

        def broken_budget(slow_start, worker, now):
            with mock.patch.object(slow_start, "dispatchers", 1):
                return original(slow_start, worker, now)

        self.check_crashes(broken_budget, "25, all started anew, long work, one by one")

    def test_a_part_under_one_send_is_counted_as_one(self):
        """Without the random rounding each dispatcher sends one attempt per window, whatever their number."""
        original = SlowStart.budget

        def broken_budget(slow_start, worker, now):
            with mock.patch.object(slow_start, "draw", lambda: 1.0):
                return original(slow_start, worker, now)

        self.check_crashes(
            broken_budget, "200 unequal, all at once", "25, all started anew, long work, one by one"
        )

    def test_answers_are_divided_by_the_workers_that_are_warm_now(self):
        """A former fault: the answers of the whole window are attributed to the few workers still warm."""

        def broken_budget(slow_start, worker, now):
            platform, age = slow_start.guarantees, max(0, now - worker.booted)
            if not worker.booted or age >= platform.warm_up_time:
                return 1
            step = age // platform.slow_start_window
            if step != worker.slow_start_step:
                share = (
                    platform.initial_capacity_share
                    + (1 - platform.initial_capacity_share)
                    * step
                    * platform.slow_start_window
                    / platform.warm_up_time
                )
                rate = max(
                    slow_start.warm_answers.lower_bound(now)
                    / max(1, slow_start.warm_workers)
                    / platform.warm_up_time,
                    1 / slow_start.estimates.usual_service_time / slow_start.dispatchers,
                )
                worker.slow_start_budget = int(
                    platform.crash_load_multiple / 3 * share * rate * platform.slow_start_window
                    + slow_start.draw()
                )
                worker.slow_start_step = step
            return worker.slow_start_budget

        self.check_crashes(
            broken_budget, "25, all in steps", "25 unequal, most at once", is_broken=Book.is_narrowly_broken
        )

    def test_the_hints_of_what_comes_are_passed_over(self):
        """A former fault: the initial guess of the usual service time, a quarter of the target latency."""
        original = SlowStart.budget

        def broken_budget(slow_start, worker, now):
            with mock.patch.object(slow_start.estimates, "mean_arriving_work", 0):
                return original(slow_start, worker, now)

        name = "25, all started anew, long work, one by one"
        self.check_crashes(broken_budget, name, is_broken=Book.is_narrowly_broken)


class Books(unittest.TestCase):
    """N is 16 at the start and 80 when warm; the narrower bound tolerates 26 at the start."""

    def setUp(self):
        self.terms = World(
            Case(
                warm_up_time=8000, initial_capacity_share=0.2, crash_load_multiple=2.0, slow_start_window=1000
            )
        ).terms
        self.book = Book(self.terms, 40, 5 * SECOND)
        self.book.notified["a"] = 5 * SECOND

    def arrive(self, count, at, dispatcher="a", weight=1.0):
        for _ in range(count):
            self.book.record_arrival(5 * SECOND + at * MS, dispatcher, weight)

    def test_what_is_put_down_to_chance_and_one_more(self):
        self.assertAlmostEqual(self.book.budget(0), 16)
        self.assertAlmostEqual(self.book.budget(4 * SECOND), 48)
        self.arrive(26, 0)
        self.assertFalse(self.book.is_narrowly_broken())
        self.assertAlmostEqual(self.book.max_bound_ratio, 26 / 31)
        self.arrive(1, 0)
        self.assertTrue(self.book.is_narrowly_broken())

    def test_a_window_slides(self):
        self.arrive(10, 0)
        self.arrive(16, 600)
        self.assertFalse(self.book.is_narrowly_broken())
        self.arrive(10, 1001)
        self.assertFalse(self.book.is_narrowly_broken())
        self.arrive(14, 1500)  # N is 28 now: 40 are tolerated, and the first 10 have left the window
        self.assertFalse(self.book.is_narrowly_broken())
        self.arrive(1, 1500)
        self.assertTrue(self.book.is_narrowly_broken())

    def test_the_first_fall_is_what_counts_and_two_thirds_of_it(self):
        self.arrive(10, 0, "not told")
        self.arrive(17, 0)
        self.assertTrue(self.book.narrow_crashes)
        self.assertFalse(self.book.is_narrowly_broken())
        self.arrive(20, 0)
        self.assertFalse(self.book.is_narrowly_broken())

    def test_who_is_told_later_answers_for_what_it_sends_then(self):
        self.book.notified["b"] = 5 * SECOND + 500 * MS
        self.arrive(10, 499, "b")
        self.arrive(21, 500, "b")
        self.assertAlmostEqual(self.book.narrow_crashes[0].notified_share, 21 / 31)
        self.assertTrue(self.book.is_narrowly_broken())

    def test_an_arrival_weighs_as_its_type(self):
        self.arrive(13, 0, weight=2.0)
        self.assertFalse(self.book.is_narrowly_broken())
        self.arrive(1, 0, weight=0.5)
        self.assertTrue(self.book.is_narrowly_broken())

    def test_a_warm_worker_bears_whatever_comes(self):
        self.arrive(200, 8000)
        self.assertFalse(self.book.is_narrowly_broken())


class SmallBudgets(unittest.TestCase):
    """The bound of the rule: N + 2 x root of N + 2, for N under 30 N + 3 x root of N + 3; N as in `Books`."""

    setUp, arrive = Books.setUp, Books.arrive

    def test_the_bound_is_the_page_s(self):
        self.assertAlmostEqual(bound(16), 31)
        self.assertAlmostEqual(bound(25), 43)
        self.assertAlmostEqual(bound(30), 30 + 2 * 30**0.5 + 2)
        self.assertAlmostEqual(bound(100), 122)
        self.assertAlmostEqual(narrow_bound(16), 26)

    def test_what_is_put_down_to_chance_and_one_more(self):
        self.arrive(31, 0)
        self.assertEqual(self.book.crashes, [])
        self.assertAlmostEqual(self.book.max_bound_ratio, 1)
        self.arrive(1, 0)
        self.assertTrue(self.book.is_broken())

    def test_from_a_budget_of_thirty_on_it_is_the_narrower(self):
        self.arrive(42, 1750)  # N is 30
        self.assertEqual(self.book.narrow_crashes, [])
        self.arrive(1, 1750)
        self.assertTrue(self.book.is_broken())

    def test_the_first_fall_is_what_counts_and_two_thirds_of_it(self):
        self.arrive(11, 0, "not told")
        self.arrive(21, 0)
        self.assertEqual(len(self.book.crashes), 1)
        self.assertFalse(self.book.is_broken())
        self.arrive(20, 0)
        self.assertFalse(self.book.is_broken())


if __name__ == "__main__":
    unittest.main()
