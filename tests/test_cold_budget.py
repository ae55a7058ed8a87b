"""Rule 4, what a worker that has just started bears from all dispatchers together: see `cold_budget` for the
judge."""

import itertools
import unittest
from unittest import mock

import cold_budget
from cold_budget import MS, SECOND, Book, Case, World, bound, narrow_bound

from petrelwood.decide.scheduling.slow_start import SlowStart

HALF = {"used": 0.9, "restarted": 0.5}
ALL = {"used": 0.7, "restarted": 1}
IN_STEPS = {"used": 0.7, "restarted": 1, "steps": 8, "apart": 1000}
MOST = {"used": 0.7, "restarted": 15 / 16, "workers": 16}
# The usual time is guessed from the target latency, which is far below it here, and each core counts alone.
LONG_WORK = {"target": 200, "stretch": 4.0, "cores": 1, "workers": 16, "fresh": True}
ONE_BY_ONE = {**LONG_WORK, "used": 0.7, "restarted": 1, "steps": 16, "apart": 500}
TWO_TYPES = {**LONG_WORK, "works": (20, 780), **HALF}
CASES = {
    "1, half at once": {"dispatchers": 1, **HALF},
    "1, all in steps": {"dispatchers": 1, **IN_STEPS},
    "1, all started anew, two types": {"dispatchers": 1, **TWO_TYPES},
    "25, half at once": {"dispatchers": 25, **HALF},
    "25, all at once": {"dispatchers": 25, **ALL},
    "25, all in steps": {"dispatchers": 25, **IN_STEPS},
    "25, all started anew, long work, one by one": {"dispatchers": 25, "seed": 2, **ONE_BY_ONE},
    "25, half at once, slower than the others": {"dispatchers": 25, "slow": 0.6, **HALF},
    "25 unequal, all in steps": {"dispatchers": 25, "unequal": 8, **IN_STEPS},
    "25 unequal, most at once": {"dispatchers": 25, "unequal": 8, **MOST},
    "25 unequal, one core each": {"dispatchers": 25, "unequal": 8, "cores": 1, "workers": 16, **HALF},
    "200, half at once": {"dispatchers": 200, **HALF},
    "200 unequal, all at once": {"dispatchers": 200, "unequal": 8, **ALL},
}

DISPATCHERS = (1, 2, 4, 25, 200)
UNEQUAL = {"equal": 1.0, "unequal": 8.0}
LATE_LIST = {"told": (0, 1500), "gone_told": (0, 1500)}  # within the grace of every settings file of ours
RESTARTS = {
    "one restarted": {"used": 0.7, "restarted": 1 / 8},
    "half restarted": HALF,
    "all restarted": ALL,
    "all restarted, lists late": {**ALL, **LATE_LIST},
    "all restarted, one core each, lists late": {**ALL, **LATE_LIST, "cores": 1, "workers": 16},
}
SEEDS = (11, 12)
SHORT = {"cold": 4000, "warm_up": 5000}  # ms: virtual time, but each play costs real time too


class Judged(unittest.TestCase):
    def check(self, **figures):
        """The `World` of a play in which no first fall was answered for by those that had been notified."""
        world = cold_budget.play(**figures)
        self.assertGreater(world.completed, 200)
        self.assertEqual([book.falls[0] for book in world.books if book.broken()], [])
        return world

    def test_the_budget_binds_however_few_the_dispatchers_are(self):
        sent = 0
        for dispatchers in DISPATCHERS:
            for (traffic, unequal), (restarts, figures) in itertools.product(
                UNEQUAL.items(), RESTARTS.items()
            ):
                for seed in SEEDS if dispatchers < 200 else SEEDS[:1]:
                    with self.subTest(f"{dispatchers} {traffic}, {restarts}, seed {seed}"):
                        world = self.check(
                            dispatchers=dispatchers, unequal=unequal, seed=seed, **figures, **SHORT
                        )
                        sent += sum(book.total for book in world.books)
        self.assertGreater(sent, 1000)

    def test_dispatchers_that_are_killed_while_workers_are_cold(self):
        """Each new life draws its part of a window anew."""
        for dispatchers, unequal in itertools.product((1, 4, 25), UNEQUAL.values()):
            for killed in ((750,), (400, 900), tuple(range(500, 4000, 500))):
                with self.subTest(f"{dispatchers} unequal {unequal}, {killed}"):
                    self.check(dispatchers=dispatchers, unequal=unequal, killed=killed, **ALL, **SHORT)

    def test_without_hints_a_new_life_does_not_take_its_guess_for_the_usual_time(self):
        """The target latency is half of the mean work: a quarter of it is no guess of a work's time."""
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
                self.assertEqual([book.narrow_falls[0] for book in world.books if book.narrowly_broken()], [])


class Broken(unittest.TestCase):
    """The judge sees a module that is broken on purpose."""

    def falls(self, cold_room, *cases, broken=Book.broken):
        """Under this budget a worker falls in each case, and those that were told answer for it."""
        for name in cases:
            with self.subTest(name), mock.patch.object(SlowStart, "budget", cold_room):
                world = cold_budget.play(**CASES[name])
                self.assertTrue(any(broken(book) for book in world.books))

    def test_no_budget(self):
        self.falls(lambda slow_start, worker, now: 1, "25, all at once", "25 unequal, all in steps")

    def test_each_dispatcher_takes_all_dispatchers_part(self):
        honest = SlowStart.budget

        def cold_room(slow_start, worker, now):
            with mock.patch.object(slow_start, "dispatchers", 1):
                return honest(slow_start, worker, now)

        self.falls(cold_room, "25, all started anew, long work, one by one")

    def test_a_part_under_one_send_is_counted_as_one(self):
        """Nothing is drawn: each dispatcher sends one in each `fall`, however many dispatchers there are."""
        honest = SlowStart.budget

        def cold_room(slow_start, worker, now):
            with mock.patch.object(slow_start, "draw", lambda: 1.0):
                return honest(slow_start, worker, now)

        self.falls(cold_room, "200 unequal, all at once", "25, all started anew, long work, one by one")

    def test_answers_are_divided_by_the_workers_that_are_warm_now(self):
        """As it was: all answers of a while ago count for the few that are still warm."""

        def cold_room(slow_start, worker, now):
            g, age = slow_start.guarantees, max(0, now - worker.booted)
            if not worker.booted or age >= g.warm_up_time:
                return 1
            slot = age // g.slow_start_window
            if slot != worker.slow_start_step:
                part = (
                    g.initial_capacity_share
                    + (1 - g.initial_capacity_share) * slot * g.slow_start_window / g.warm_up_time
                )
                rate = max(
                    slow_start.warm_answers.lower_bound(now)
                    / max(1, slow_start.warm_workers)
                    / g.warm_up_time,
                    1 / slow_start.estimates.usual_service_time / slow_start.dispatchers,
                )
                worker.slow_start_budget = int(
                    g.crash_load_multiple / 3 * part * rate * g.slow_start_window + slow_start.draw()
                )
                worker.slow_start_step = slot
            return worker.slow_start_budget

        self.falls(cold_room, "25, all in steps", "25 unequal, most at once", broken=Book.narrowly_broken)

    def test_the_hints_of_what_comes_are_passed_over(self):
        """As it was: a new life's guess of the usual time, a quarter of the target latency."""
        honest = SlowStart.budget

        def cold_room(slow_start, worker, now):
            with mock.patch.object(slow_start.estimates, "mean_arriving_work", 0):
                return honest(slow_start, worker, now)

        name = "25, all started anew, long work, one by one"
        self.falls(cold_room, name, broken=Book.narrowly_broken)


class Books(unittest.TestCase):
    """N is 16 at the start and 80 when warm; by the narrower bound 26 are borne at the start."""

    def setUp(self):
        self.terms = World(Case(cold=8000, cold_part=0.2, multiple=2.0, fall=1000)).terms
        self.book = Book(self.terms, 40, 5 * SECOND)
        self.book.told["a"] = 5 * SECOND

    def arrive(self, count, at, dispatcher="a", weight=1.0):
        for _ in range(count):
            self.book.arrives(5 * SECOND + at * MS, dispatcher, weight)

    def test_what_is_put_down_to_chance_and_one_more(self):
        self.assertAlmostEqual(self.book.budget(0), 16)
        self.assertAlmostEqual(self.book.budget(4 * SECOND), 48)
        self.arrive(26, 0)
        self.assertFalse(self.book.narrowly_broken())
        self.assertAlmostEqual(self.book.largest, 26 / 31)
        self.arrive(1, 0)
        self.assertTrue(self.book.narrowly_broken())

    def test_a_window_slides(self):
        self.arrive(10, 0)
        self.arrive(16, 600)
        self.assertFalse(self.book.narrowly_broken())
        self.arrive(10, 1001)
        self.assertFalse(self.book.narrowly_broken())
        self.arrive(14, 1500)  # N is 28 then: 40 are borne, and the first 10 are out of the window
        self.assertFalse(self.book.narrowly_broken())
        self.arrive(1, 1500)
        self.assertTrue(self.book.narrowly_broken())

    def test_the_first_fall_is_what_counts_and_two_thirds_of_it(self):
        self.arrive(10, 0, "not told")
        self.arrive(17, 0)
        self.assertTrue(self.book.narrow_falls)
        self.assertFalse(self.book.narrowly_broken())
        self.arrive(20, 0)
        self.assertFalse(self.book.narrowly_broken())

    def test_who_is_told_later_answers_for_what_it_sends_then(self):
        self.book.told["b"] = 5 * SECOND + 500 * MS
        self.arrive(10, 499, "b")
        self.arrive(21, 500, "b")
        self.assertAlmostEqual(self.book.narrow_falls[0].told, 21 / 31)
        self.assertTrue(self.book.narrowly_broken())

    def test_an_arrival_weighs_as_its_type(self):
        self.arrive(13, 0, weight=2.0)
        self.assertFalse(self.book.narrowly_broken())
        self.arrive(1, 0, weight=0.5)
        self.assertTrue(self.book.narrowly_broken())

    def test_a_warm_worker_bears_whatever_comes(self):
        self.arrive(200, 8000)
        self.assertFalse(self.book.narrowly_broken())


class SmallBudgets(unittest.TestCase):
    """The page's bound: N + 2 x root of N + 2, for N under 30 N + 3 x root of N + 3. N as in `Books`."""

    setUp, arrive = Books.setUp, Books.arrive

    def test_the_bound_is_the_page_s(self):
        self.assertAlmostEqual(bound(16), 31)
        self.assertAlmostEqual(bound(25), 43)
        self.assertAlmostEqual(bound(30), 30 + 2 * 30**0.5 + 2)
        self.assertAlmostEqual(bound(100), 122)
        self.assertAlmostEqual(narrow_bound(16), 26)

    def test_what_is_put_down_to_chance_and_one_more(self):
        self.arrive(31, 0)
        self.assertEqual(self.book.falls, [])
        self.assertAlmostEqual(self.book.largest, 1)
        self.arrive(1, 0)
        self.assertTrue(self.book.broken())

    def test_from_a_budget_of_thirty_on_it_is_the_narrower(self):
        self.arrive(42, 1750)  # N is 30
        self.assertEqual(self.book.narrow_falls, [])
        self.arrive(1, 1750)
        self.assertTrue(self.book.broken())

    def test_the_first_fall_is_what_counts_and_two_thirds_of_it(self):
        self.arrive(11, 0, "not told")
        self.arrive(21, 0)
        self.assertEqual(len(self.book.falls), 1)
        self.assertFalse(self.book.broken())
        self.arrive(20, 0)
        self.assertFalse(self.book.broken())


if __name__ == "__main__":
    unittest.main()
