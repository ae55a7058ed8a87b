"""The early loads of one dispatcher: forecast, plan, order and account.

The dispatcher reports calls, their ends and the ends of load orders; in each slot a plan is made, and its
loads are offered to the scheduler one by one. Calls always come first: the scheduler rejects an early load
while anything waits, and what it rejects is not offered again. Without a forecast, or with a stale or absurd
one, nothing is loaded early and the dispatcher goes on as if there were no forecasts.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from petrelwood.decide.forecasting import planner
from petrelwood.decide.forecasting.account import Account
from petrelwood.decide.forecasting.forecast import CallForecast, Forecast
from petrelwood.decide.forecasting.series import FIRST_SPREAD
from petrelwood.decide.forecasting.slot_calendar import Calendar

MAX_FORECAST_RATIO = 50.0  # a forecast of so many times the busiest slot ever seen is not believed
BUSIEST_DECAY = 0.999  # of the busiest slot, with each slot
STORE_SMOOTHING = 0.1  # how fast the store's health follows the ends of load orders
STORE_SPARE_FACTOR = 2  # half healthy, the store has nothing free for early loads
SUSPENSION_SLOTS = 2  # that early loads are suspended for at first
RUN_TIME_SMOOTHING_DIVISOR = 16  # the mean duration of calls moves by one in so many of a difference,
LOAD_TIME_SMOOTHING_DIVISOR = 8  # and that of loads
LOAD_TO_RUN_TIME_RATIO = 4  # a call is taken to last one in so many of a load where none was seen
UNLIMITED_MEMORY = 1 << 60  # bytes

LoadOrder = Callable[[str, int, int], str | None]
"""Orders an early load of (function, lanes, load time) and returns the worker; None: it was rejected."""


@dataclass(slots=True, eq=False)
class ModelEstimate:
    """What a dispatcher has learnt of a function's model. Times in ns."""

    lanes: int  # calls that one copy runs at a time
    load_time: int  # 0: not known
    type: str  # namespace type
    work: int = 0  # of one call; 0: not known
    copies: dict[str, int] = field(default_factory=dict)  # when each worker was last seen with one


class EarlyLoadTerms(NamedTuple):
    """The settings of a dispatcher's early loads."""

    calendar: Calendar
    prices: planner.Prices
    min_idle_time: int  # ns that an idle copy stays loaded at least
    dispatchers: int  # whose calls are alike; each is taken to see an equal share
    zone: str
    size: int = 0  # bytes of a usual copy; 0: not known
    memory: int = 0  # bytes that the early loads of this dispatcher may take; 0: no limit
    max_loads: int = planner.MAX_LOADS  # early loads of one slot
    incremental: bool = False  # whether the forecast is learnt a few functions at a time


class EarlyLoads:
    """The early loads of one dispatcher. Times in ns; `random_fraction()` is drawn in [0, 1)."""

    def __init__(
        self, terms: EarlyLoadTerms, random_fraction: Callable[[], float], order_load: LoadOrder
    ) -> None:
        calendar = terms.calendar
        self.terms = terms
        self.random_fraction = random_fraction
        self.order_load = order_load
        self.plan_terms = planner.PlanTerms(
            calendar.slot, terms.min_idle_time, terms.prices, terms.dispatchers, terms.max_loads
        )
        self.forecast = Forecast(calendar, self._kind_of, incremental=terms.incremental)
        self.account = Account(terms.prices, SUSPENSION_SLOTS * calendar.slot, random_fraction)
        self.models: dict[str, ModelEstimate] = {}
        self.store_health = 1.0  # the share of load orders that complete, 0 to 1
        self.busiest_slot = 1.0  # calls of the busiest slot, slowly forgotten
        self.calls_in_slot = 0
        self.ordered = 0
        self.rejected = 0
        self.plans = 0
        # calls of all dispatchers together in the slot after (wall clock) of (function)
        self.expected_calls: Callable[[int, str], tuple[float, float]] = self._expected_calls

    def _kind_of(self, function: str) -> str:
        model = self.models.get(function)
        return model.type if model else ""

    # What the dispatcher reports.
    def call_arrived(self, wall: int, function: str, lanes: int, load_time: int, type_: str) -> None:
        """Note a call that has arrived; `wall` is the wall clock, ns."""
        if function not in self.models:
            self.models[function] = ModelEstimate(lanes, load_time, type_)
        self.calls_in_slot += 1
        if self.forecast.record_call(wall, function):
            self.busiest_slot = max(self.busiest_slot * BUSIEST_DECAY, self.calls_in_slot)
            self.calls_in_slot = 0

    def call_completed(
        self, now: int, function: str, worker: str, warm: bool, duration: int, load_time: int
    ) -> None:
        """Note a call that was completed; `warm`: it found a copy, else it waited `load_time` ns for one."""
        model = self.models.get(function)
        if model is None:
            return
        model.copies[worker] = now
        if warm:
            model.work = (
                model.work + (duration - model.work) // RUN_TIME_SMOOTHING_DIVISOR if model.work else duration
            )
        elif model.load_time:
            model.load_time += (load_time - model.load_time) // LOAD_TIME_SMOOTHING_DIVISOR
        self.account.call_completed(now, function, worker, warm)

    def copy_missing(self, now: int, function: str, worker: str) -> None:
        """Note that a worker had no copy for a call."""
        if function in self.models:
            self.models[function].copies.pop(worker, None)
        self.account.copy_missing(now, function)

    def load_ended(self, now: int, function: str, worker: str, completed: bool) -> None:
        """Note the end of a load order; those that complete show that the store has capacity."""
        self.store_health += STORE_SMOOTHING * ((1.0 if completed else 0.0) - self.store_health)
        self.account.load_ended(now, function, worker, completed)
        if completed and function in self.models:
            self.models[function].copies[worker] = now

    # Each slot.
    def plan_slot(self, now: int, wall: int, orders: float) -> int:
        """Order early loads for the next slot; returns how many.

        `orders` is how many the rate limit of load orders allows; `wall` is the wall clock.
        """
        self.forecast.advance(wall)
        self.account.expire(now)
        if self.forecast.is_stale(wall) or not self.account.total.may_load(now):
            return 0
        store = max(0.0, STORE_SPARE_FACTOR * self.store_health - 1)
        capacity = planner.FreeCapacity(self.terms.memory or UNLIMITED_MEMORY, orders, store)
        loads = planner.plan(
            now,
            self._loadable_models(now),
            lambda function: self.expected_calls(wall, function),
            capacity,
            self.plan_terms,
            self.random_fraction,
        )
        self.plans += 1
        ordered = sum(self._order(now, load) for load in loads)
        self.ordered += ordered
        return ordered

    def _loadable_models(self, now: int) -> dict[str, planner.Model]:
        """Return the models of functions that may be loaded early; forget copies not seen for long."""
        found = {}
        for function, model in self.models.items():
            for worker in [
                name for name, seen in model.copies.items() if now - seen > self.terms.min_idle_time
            ]:
                del model.copies[worker]
            if model.load_time and self.account.may_load(now, function, self.terms.zone):
                work = model.work or model.load_time // LOAD_TO_RUN_TIME_RATIO
                found[function] = planner.Model(
                    self.terms.size or 1, model.load_time, work, len(model.copies)
                )
        return found

    def _order(self, now: int, load: planner.PlannedLoad) -> bool:
        model = self.models[load.function]
        worker = self.order_load(load.function, model.lanes, model.load_time)
        if worker is None:
            self.rejected += 1
            self.account.record_stopped(load.function, self.terms.zone)
            return False
        self.account.record_order(
            now,
            load.function,
            self.terms.zone,
            worker,
            load.expires_at,
            self.terms.size or 1,
            model.load_time,
        )
        return True

    def _expected_calls(self, wall: int, function: str) -> CallForecast:
        """Return ours times the number of dispatchers, as each sees an equal share."""
        times = self.terms.dispatchers
        found = self.forecast.predict(wall + self.terms.calendar.slot, function, times=times)
        if found.mean > MAX_FORECAST_RATIO * self.busiest_slot * times:
            return CallForecast(0.0, FIRST_SPREAD)
        return found
