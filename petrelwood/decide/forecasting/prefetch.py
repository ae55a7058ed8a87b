"""Early loads of one dispatcher: forecast, plan, wish, account, in the order in which things happen. Free of
I/O.

The core tells it of calls, ends and answered orders; each slot it makes a plan and hands wishes to the module
one by one. Real activations always go first: the module refuses a wish while anything waits, and what it
refuses is not asked again. Without forecasts, or with stale or absurd ones, nothing is wished and the
dispatcher goes on as if there were none."""

from petrelwood.decide.forecasting import planner
from petrelwood.decide.forecasting.account import Account
from petrelwood.decide.forecasting.forecast import Forecast

ABSURD = 50.0  # a forecast so many times the busiest slot ever seen is not believed
STORE_LEARNS = 0.1


class ModelEstimate:
    """What this dispatcher has learnt of a function's model."""

    __slots__ = ("lanes", "load", "work", "size", "copies", "type")

    def __init__(self, lanes, load, type_):
        self.lanes, self.load, self.work, self.size, self.type, self.copies = lanes, load, 0, 0, type_, {}


class EarlyLoads:
    """`wish(function, lanes, load_time)` is the module's, and returns the worker or None. `share`: this
    dispatcher's part of all calls, 1 / dispatchers where nothing better is known."""

    def __init__(
        self, calendar, prices, keep, dispatchers, chance, wish, hall, size=0, memory=0, most=64, sliced=False
    ):
        self.forecast, self.keep, self.dispatchers, self.chance = (
            Forecast(calendar, self._kin, sliced=sliced),
            keep,
            dispatchers,
            chance,
        )
        self.account, self.prices = Account(prices, 2 * calendar.slot, chance), prices
        self.wish, self.hall, self.size, self.memory, self.most = wish, hall, size, memory, most
        self.known, self.store, self.busiest, self.now_counts = {}, 1.0, 1.0, 0
        self.made, self.refused, self.plans, self.expected = 0, 0, 0, self._expected

    def _kin(self, function):
        known = self.known.get(function)
        return known.type if known else ""

    # What the core tells.
    def called(self, now, wall, function, lanes, load, type_):
        known = self.known.get(function)
        if known is None:
            known = self.known[function] = ModelEstimate(lanes, load, type_)
        self.now_counts += 1
        if self.forecast.called(wall, function):
            self.busiest, self.now_counts = max(self.busiest * 0.999, self.now_counts), 0

    def ran(self, now, function, worker, warm, took, load_took):
        """A call was completed there; `warm`: it found a copy."""
        known = self.known.get(function)
        if known is None:
            return
        known.copies[worker] = now
        if warm:
            known.work = took if not known.work else known.work + (took - known.work) // 16
        elif known.load:
            known.load += (load_took - known.load) // 8
        self.account.called(now, function, worker, warm)

    def missed(self, now, function, worker):
        if function in self.known:
            self.known[function].copies.pop(worker, None)
        self.account.pushed_out(now, function)

    def stands(self, now, function, worker, good):
        """An order was answered: good ones tell that the store keeps up."""
        self.store += STORE_LEARNS * ((1.0 if good else 0.0) - self.store)
        self.account.stands(now, function, worker, good)
        if good and function in self.known:
            self.known[function].copies[worker] = now

    # Each slot.
    def turn(self, now, wall, orders):
        """Plans for the next slot; how many wishes became orders. `orders`: of the ration, what may be
        used."""
        self.forecast.passes(wall)
        self.account.sweep(now)
        if self.forecast.stale(wall) or not self.account.whole.may(now):
            return 0
        models, slot = {}, self.forecast.calendar.slot
        for function, known in self.known.items():
            for worker in [w for w, seen in known.copies.items() if now - seen > self.keep]:
                del known.copies[worker]
            if known.load and self.account.may(now, function, self.hall):
                models[function] = planner.Model(
                    self.size or 1, known.load, known.work or known.load // 4, len(known.copies)
                )
        room = planner.FreeCapacity(self.memory or 1 << 60, orders, max(0.0, 2 * self.store - 1))
        wishes = planner.plan(
            now,
            models,
            lambda name: self.expected(wall, name),
            room,
            slot,
            self.keep,
            self.prices,
            self.dispatchers,
            self.chance,
            most=self.most,
        )
        self.plans += 1
        ordered = 0
        for one in wishes:
            known = self.known[one.function]
            worker = self.wish(one.function, known.lanes, known.load)
            if worker is None:
                self.refused += 1
                self.account.stopped(now, one.function, self.hall)
                continue
            ordered += 1
            self.account.ordered(now, one.function, self.hall, worker, one.until, self.size or 1, known.load)
        self.made += ordered
        return ordered

    def _expected(self, wall, function):
        """Calls of all dispatchers in the next slot: ours times their number, as each sees an equal part."""
        mean, spread = self.forecast.ahead(
            wall + self.forecast.calendar.slot, function, times=self.dispatchers
        )
        if mean > ABSURD * self.busiest * self.dispatchers:
            return 0.0, 2.0
        return mean, spread
