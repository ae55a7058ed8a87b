"""Forecasts, plans and accounts of early loads.

The tests cover proper scores, back-tests, gaps and clock steps, the greedy plan against the optimum, and
independent planning by many dispatchers.
"""

import itertools
import math
import random
import unittest

from kept import compare

from petrelwood.decide.forecasting import distribution, forecast, planner
from petrelwood.decide.forecasting.account import Account, LoadEnd
from petrelwood.decide.forecasting.early_loads import EarlyLoads, EarlyLoadTerms
from petrelwood.decide.forecasting.series import Series
from petrelwood.decide.forecasting.slot_calendar import Calendar

S = 10**9
SLOT, DAY = 600 * S, 86_400 * S
CALENDAR = Calendar(SLOT, DAY, 7 * DAY)


def poisson(rng, mean):
    limit, product, count = math.exp(-mean), rng.random(), 0
    while product > limit:
        product, count = product * rng.random(), count + 1
    return count


def usual_calls(at):
    """Return the mean number of calls in the slot at this time, with a peak during the working day."""
    hour = at % DAY / DAY * 24
    return 12 * max(0.05, math.sin(math.pi * (hour - 6) / 14)) if 6 < hour < 20 else 0.4


class Scores(unittest.TestCase):
    def test_the_score_is_proper(self):
        """For counts drawn from a distribution, no forecast scores better than that distribution."""
        rng = random.Random(2)
        counts = [poisson(rng, 6.0) for _ in range(4000)]
        found = {
            mean: sum(distribution.ranked_probability_score(mean, 1.0001, c) for c in counts)
            for mean in (3.0, 5.0, 6.0, 7.0, 10.0)
        }
        self.assertEqual(min(found, key=found.get), 6.0)
        spread = {
            s: sum(distribution.ranked_probability_score(6.0, s, c) for c in counts)
            for s in (1.0001, 2.0, 5.0)
        }
        self.assertEqual(min(spread, key=spread.get), 1.0001)

    def test_the_normals_form_meets_the_sum(self):
        self.assertLess(
            abs(
                distribution.ranked_probability_score(390, 2.0, 380)
                / distribution.ranked_probability_score(410, 2.0, 400)
                - 1
            ),
            0.05,
        )

    def test_probabilities_sum_up(self):
        self.assertLess(abs(distribution.cumulative_probabilities(5.0, 3.0, 200)[-1] - 1), 1e-9)
        self.assertLess(abs(distribution.at_least_one(0.5, 1.0001) - (1 - math.exp(-0.5))), 1e-3)


class BackTest(unittest.TestCase):
    def play(self, calls_at, days, rng):
        """Return the mean scores in the last third (selected method, seasonal method), and the series."""
        series, mine, plain = Series(), [], []
        for slot in range(days * 144):
            at = slot * SLOT
            keys, count = CALENDAR.keys(at), poisson(rng, calls_at(at))
            if slot > days * 96:
                mean, spread, _ = series.predict(keys)
                mine.append(distribution.ranked_probability_score(mean, spread, count))
                plain.append(
                    distribution.ranked_probability_score(
                        series.means(keys)["seasonal"], series.spreads["seasonal"], count
                    )
                )
            series.learn(keys, count)
        return sum(mine) / len(mine), sum(plain) / len(plain), series

    def test_the_plain_method_stays_where_nothing_pays(self):
        mine, plain, series = self.play(usual_calls, 21, random.Random(1))
        self.assertEqual(series.selected, "seasonal")
        self.assertLess(abs(mine / plain - 1), 1e-9)

    def test_another_is_believed_where_it_pays(self):
        def doubling(at):
            return usual_calls(at) * 1.12 ** (at // DAY)

        mine, plain, series = self.play(doubling, 21, random.Random(1))
        self.assertNotEqual(series.selected, "seasonal")
        self.assertLess(mine, 0.9 * plain)

    def test_seasons_beat_the_recent_pace_at_the_edges_of_the_day(self):
        _, _, series = self.play(usual_calls, 14, random.Random(3))
        self.assertLess(series.scores["seasonal"], series.scores["recent"])


class Whole(unittest.TestCase):
    def learned(self, days=8, functions=5, **more):
        rng, found = random.Random(4), forecast.Forecast(more.get("calendar", CALENDAR), lambda f: f[:2])
        for slot in range(days * 144):
            for number in range(functions):
                for _ in range(poisson(rng, usual_calls(slot * SLOT) / (number + 1))):
                    found.record_call(slot * SLOT + 1, f"ab{number}")
            found.advance((slot + 1) * SLOT)
        return found

    def test_what_has_no_history_borrows_from_its_kind(self):
        found, noon = self.learned(), 8 * DAY + 13 * 3600 * S
        mean, spread = found.predict(noon, "ab99")
        self.assertTrue(1 < mean < 12, mean)
        self.assertEqual(found.predict(noon, "zz1"), (0.0, 2.0))

    def test_a_function_that_turns_hot_is_seen_within_a_slot(self):
        found, at = self.learned(), 8 * DAY
        for _ in range(300):
            found.record_call(at + 1, "ab4")
        found.advance(at + SLOT)
        self.assertGreater(found.predict(at + SLOT, "ab4")[0], 200)
        for slot in range(1, 8):
            found.advance(at + (slot + 1) * SLOT)
        self.assertLess(found.predict(at + 9 * SLOT, "ab4")[0], 5)

    def test_a_known_date_counts_and_one_that_does_not_come_is_forgotten(self):
        noon = 8 * DAY + 13 * 3600 * S
        calendar = Calendar(SLOT, DAY, 7 * DAY, [(noon, noon + SLOT, 5.0, "ab")])
        found, plain = self.learned(calendar=calendar), self.learned()
        self.assertAlmostEqual(found.predict(noon, "ab0")[0] / plain.predict(noon, "ab0")[0], 5.0)
        self.assertEqual(found.predict(noon + SLOT, "ab0")[0], plain.predict(noon + SLOT, "ab0")[0])

    def test_gaps_steps_and_a_doubled_day(self):
        found, at = self.learned(), 8 * DAY
        before = found.predict(9 * DAY + 13 * 3600 * S, "ab0")
        found.record_call(at, "ab0")
        found.advance(at - 3 * DAY)  # the clock steps back, so the open slot is discarded
        self.assertEqual((found.discarded_slots, found.predict(9 * DAY + 13 * 3600 * S, "ab0")), (1, before))
        found.advance(at + 30 * DAY)  # a gap of a month
        self.assertEqual(found.discarded_slots, 2)
        self.assertFalse(found.is_stale(at + 30 * DAY))
        self.assertTrue(found.is_stale(at + 31 * DAY))

    def test_daylight_saving_costs_two_edges_and_no_more(self):
        """The calls shift by an hour of wall-clock time; the forecast follows within two days."""
        rng, series, errors = random.Random(6), Series(), []
        for slot in range(21 * 144):
            at = slot * SLOT
            keys, mean = CALENDAR.keys(at), usual_calls(at + (3600 * S if slot >= 14 * 144 else 0))
            if slot >= 14 * 144:
                errors.append(abs((series.predict(keys)[0] or 0) - mean))
            series.learn(keys, poisson(rng, mean))
        days = [sum(errors[i * 144 : (i + 1) * 144]) / 144 for i in range(7)]
        self.assertLess(days[5], days[0])

    def test_learning_in_slices_comes_to_the_same(self):
        whole_forecast, incremental_forecast = (
            self.learned(days=2),
            forecast.Forecast(CALENDAR, lambda f: f[:2], incremental=True),
        )
        rng = random.Random(4)
        for slot in range(2 * 144):
            for number in range(5):
                for _ in range(poisson(rng, usual_calls(slot * SLOT) / (number + 1))):
                    incremental_forecast.record_call(slot * SLOT + 1, f"ab{number}")
            incremental_forecast.advance((slot + 1) * SLOT)
            while incremental_forecast.learn(2):
                pass
        for number in range(5):
            self.assertEqual(
                whole_forecast.predict(2 * DAY, f"ab{number}"),
                incremental_forecast.predict(2 * DAY, f"ab{number}"),
            )
        # Without learning, the queue of ended slots stays bounded, and discarded slots are counted.
        for slot in range(288, 300):
            incremental_forecast.record_call(slot * SLOT, "ab0")
        self.assertEqual(
            (len(incremental_forecast.ended_slots), incremental_forecast.discarded_slots > 0),
            (forecast.MAX_ENDED_SLOTS, True),
        )

    def test_thousands_of_functions_are_bounded(self):
        found = forecast.Forecast(CALENDAR, lambda f: "", max_functions=50)
        for slot in range(40):
            for number in range(200):
                found.record_call(slot * SLOT, f"f{slot}-{number}")
        found.advance(41 * SLOT)
        self.assertLessEqual(len(found.series), 50)


PRICES = planner.Prices(0.2, 0.002)


def model(size=10**9, load=S, copies=0, work=S // 5):
    return planner.Model(size, load, work, copies)


class Plans(unittest.TestCase):
    def plan(self, functions, means, dispatchers=1, rng=None, memory=1 << 60, orders=99, store=1.0):
        return planner.plan(
            0,
            functions,
            lambda n: (means[n], 1.2),
            planner.FreeCapacity(memory, orders, store),
            planner.PlanTerms(60 * S, 60 * S, PRICES, dispatchers),
            rng or (lambda: 0.0),
        )

    def test_what_is_called_is_wished_and_what_is_not_or_stands_is_not(self):
        functions = {
            "often": model(),
            "never": model(),
            "stands": model(copies=9),
            "once": model(load=S // 100),
        }
        found = self.plan(functions, {"often": 30, "never": 0.0, "stands": 30, "once": 0.3})
        self.assertEqual({w.function for w in found}, {"often"})
        self.assertTrue(all(w.savings > 0 for w in found))

    def test_room_ration_and_store_bound_it(self):
        functions = {f"f{i}": model() for i in range(20)}
        means = {name: 5.0 for name in functions}
        self.assertEqual(len(self.plan(functions, means, memory=3 * 10**9)), 3)
        self.assertEqual(len(self.plan(functions, means, orders=4.5)), 4)
        self.assertEqual(self.plan(functions, means, store=0.0), [])

    def test_greedy_is_within_one_wish_of_the_best(self):
        rng = random.Random(8)
        for _ in range(60):
            functions = {
                f"f{i}": model(size=rng.randrange(1, 9) * 10**8, load=rng.randrange(1, 9) * S // 4)
                for i in range(9)
            }
            means = {name: rng.uniform(0.2, 3) for name in functions}
            memory = rng.randrange(8, 25) * 10**8
            found = self.plan(functions, means, memory=memory)
            self.assertLessEqual(sum(functions[w.function].size for w in found), memory)
            terms = planner.PlanTerms(60 * S, 60 * S, PRICES, 1)
            worths = {n: planner.expected_savings(means[n], 1.2, m, terms) for n, m in functions.items()}
            once = {w.function: w.savings for w in found}
            best = max(
                (
                    sum(max(0, worths[n]) for n in some)
                    for size in range(10)
                    for some in itertools.combinations(functions, size)
                    if sum(functions[n].size for n in some) <= memory
                ),
                default=0,
            )
            self.assertGreaterEqual(sum(once.values()) + max(worths.values()) + 1e-9, best)

    def test_many_dispatchers_take_turns_without_talk(self):
        """With the same history, 1, 4, 100 or 300 dispatchers together plan about what one alone would."""
        functions = {f"f{i}": model(size=10**8) for i in range(60)}
        means = {name: 4.0 for name in functions}
        alone = len(self.plan(functions, means))
        for count in (1, 4, 100, 300):
            planned, turns = 0, 6
            for turn in range(turns):
                for number in range(count):
                    rng = random.Random(f"{turn}/{number}").random
                    planned += len(self.plan(functions, means, count, rng))
            self.assertLess(abs(planned / turns / alone - 1), 0.25, (count, planned / turns, alone))


class Accounts(unittest.TestCase):
    def test_each_early_load_ends_in_one_way(self):
        account, lines = Account(PRICES, 60 * S, lambda: 0.5), []

        def say(text, end=None):
            lines.append(
                f"{text}: {end or '-'}; {account.total.seconds:+.2f} s, open {len(account.open_loads)}"
            )

        for name in "abcdef":
            account.record_order(0, name, "n", "w1", 60 * S, 10**9, 2 * S)
        account.load_ended(S, "a", "w1", True)
        say("a called warm at 5 s", account.call_completed(5 * S, "a", "w1", True))
        say("b called while it loads", account.call_completed(S, "b", "w1", False))
        account.load_ended(S, "c", "w1", False)
        say("c failed")
        account.load_ended(S, "d", "w1", True, evicted="z")
        account.copy_missing(9 * S, "z")
        say("z missed what d pushed out")
        account.load_ended(S, "e", "w1", True)
        account.expire(60 * S)
        say("e and f lapse")
        account.record_stopped("g", "n")
        say("g was stopped")
        compare(self, "account", lines + list(account.lines()))

    def test_a_negative_balance_holds_back_and_is_tried_again_later_each_time(self):
        account, tried = Account(planner.Prices(1.0, 0.0), 60 * S, lambda: 0.99), []
        for minute in range(600):
            now = minute * 60 * S
            if account.may_load(now, "f", "n"):
                tried.append(minute)
                account.record_order(now, "f", "n", "w", now + 30 * S, 1, S)
                account.expire(now + 31 * S)
        gaps = [b - a for a, b in itertools.pairwise(tried)]
        self.assertLess(len(tried), 40)
        self.assertGreater(max(gaps), 4 * min(gaps))

    def test_what_pays_goes_on(self):
        account = Account(PRICES, 60 * S, lambda: 0.5)
        for turn in range(100):
            now = turn * 60 * S
            self.assertTrue(account.may_load(now, "f", "n"))
            account.record_order(now, "f", "n", "w", now + 60 * S, 1, 2 * S)
            account.load_ended(now + S, "f", "w", True)
            self.assertEqual(account.call_completed(now + 5 * S, "f", "w", True), LoadEnd.USED_IN_TIME)


class Early(unittest.TestCase):
    def make_early_loads(self, order_load, dispatchers=1):
        terms = EarlyLoadTerms(Calendar(10 * S, 3600 * S, 0), PRICES, 60 * S, dispatchers, "n")
        return EarlyLoads(terms, random.Random(1).random, order_load)

    def play(self, early, slots, functions=("a", "b")):
        for slot in range(slots):
            now = slot * 10 * S
            for name in functions:
                for _ in range(3):
                    early.call_arrived(now + S, name, 1, S, "t")
                early.call_completed(now + 2 * S, name, "w0", True, S // 5, 0)
            yield now + 9 * S

    def test_it_wishes_what_is_called_and_takes_a_refusal(self):
        requested = []
        early = self.make_early_loads(
            lambda fn, lanes, load: (
                requested.append(fn) or (f"w{len(requested)}" if len(requested) % 2 else None)
            )
        )
        for now in self.play(early, 30):
            early.models["a"].copies.clear()
            early.plan_slot(now, now, 10)
        self.assertEqual(set(requested), {"a"})
        self.assertEqual(early.ordered + early.rejected, len(requested))

    def test_stale_absurd_or_missing_forecasts_wish_nothing(self):
        requested = []
        early = self.make_early_loads(lambda fn, lanes, load: requested.append(fn))
        self.assertEqual(early.plan_slot(S, S, 10), 0)
        now = list(self.play(early, 30))[-1]
        early.models["a"].copies.clear()
        self.assertEqual(early.plan_slot(now + 3600 * S, now + 3600 * S, 10), 0)
        early.forecast.calendar.events = [(0, 1 << 62, 10_000.0, "")]
        early.forecast.slot = (now + 3600 * S) // (10 * S)
        early.plan_slot(now + 3600 * S, now + 3600 * S, 10)
        self.assertEqual(requested, [])

    def test_a_store_that_fails_stops_early_loads_before_it_is_pushed_over(self):
        requested = []
        early = self.make_early_loads(lambda fn, lanes, load: requested.append(fn) or f"w{len(requested)}")
        for now in self.play(early, 40):
            early.models["a"].copies.clear()
            early.plan_slot(now, now, 10)
            if now > 150 * S:
                for _ in range(5):
                    early.load_ended(now, "b", "w9", False)
        late = len(requested)
        self.assertLess(early.store_health, 0.5)
        self.assertEqual(early.plan_slot(now + 10 * S, now + 10 * S, 10), 0)
        self.assertLess(late, 30)
