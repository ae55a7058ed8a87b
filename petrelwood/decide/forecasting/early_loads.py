"""The early loads of one dispatcher: forecast, plan, order and account.

The dispatcher reports calls, their ends, and the ends of load orders. In each slot a plan is made, and its
loads are offered to the scheduler one at a time. Calls have priority: the scheduler rejects an early load
while any call is queued, and a rejected load is not offered again. Without a forecast, or with a stale or
implausible one, nothing is loaded early, and the dispatcher works as it would without forecasts.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from petrelwood.decide.forecasting import planner
from petrelwood.decide.forecasting.account import Account
from petrelwood.decide.forecasting.forecast import CallForecast, Forecast
from petrelwood.decide.forecasting.series import FIRST_SPREAD
from petrelwood.decide.forecasting.slot_calendar import Calendar

MAX_FORECAST_RATIO = 50.0  # a forecast above this multiple of the busiest slot is implausible, and ignored
BUSIEST_DECAY = 0.999  # factor per slot by which the record of the busiest slot decays
STORE_SMOOTHING = 0.1  # weight of one ended load order in the moving average of the store's health
STORE_SPARE_FACTOR = 2  # with 2, a store with a health of 1/2 has no free capacity for early loads
SUSPENSION_SLOTS = 2  # slots for which the first suspension lasts
RUN_TIME_SMOOTHING_DIVISOR = 16  # the mean run time moves by the difference to a new value divided by this
LOAD_TIME_SMOOTHING_DIVISOR = 8  # the mean load time moves by the difference to a new value divided by this
LOAD_TO_RUN_TIME_RATIO = 4  # assumed ratio of load time to run time before a call was seen
UNLIMITED_MEMORY = 1 << 60  # bytes

LoadOrder = Callable[[str, int, int], str | None]
"""Orders an early load of (function, lanes, load time); returns its worker, or None if it was rejected."""


@dataclass(slots=True, eq=False)
class ModelEstimate:
    """What a dispatcher has learnt about a function's model. Times in ns."""

    lanes: int  # calls that one copy runs concurrently
    load_time: int  # 0: not known
    type: str  # namespace type
    run_time: int = 0  # duration of one call; 0: not known
    copies: dict[str, int] = field(default_factory=dict)  # worker -> when it was last known to have a copy


class EarlyLoadTerms(NamedTuple):
    """The settings of a dispatcher's early loads."""

    calendar: Calendar
    prices: planner.Prices
    min_idle_time: int  # ns for which an idle copy stays loaded at least
    dispatchers: int  # number of dispatchers with the same calls; each is assumed to receive an equal share
    zone: str
    size: int = 0  # bytes of a typical copy; 0: not known
    memory: int = 0  # bytes that the early loads of this dispatcher may use; 0: no limit
    max_loads: int = planner.MAX_LOADS  # early loads per slot
    incremental: bool = False  # whether the caller learns the forecast a few functions at a time


class EarlyLoads:
    """The early loads of one dispatcher. Times in ns.

    `random_fraction()` returns a random number in [0, 1).
    """

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
        self.store_health = 1.0  # moving average of the share of load orders that complete, 0 to 1
        self.busiest_slot = 1.0  # calls in the busiest slot so far; decays slowly
        self.calls_in_slot = 0
        self.ordered = 0
        self.rejected = 0
        self.plans = 0
        # (wall clock, function) -> mean and spread of the calls in the next slot, at all dispatchers together
        self.expected_calls: Callable[[int, str], tuple[float, float]] = self._expected_calls

    def _kind_of(self, function: str) -> str:
        model = self.models.get(function)
        return model.type if model else ""

    # Reports from the dispatcher
    def call_arrived(self, wall: int, function: str, lanes: int, load_time: int, type_: str) -> None:
        """Record the arrival of a call; `wall` is the wall clock, ns."""
        if function not in self.models:
            self.models[function] = ModelEstimate(lanes, load_time, type_)
        self.calls_in_slot += 1
        if self.forecast.record_call(wall, function):
            self.busiest_slot = max(self.busiest_slot * BUSIEST_DECAY, self.calls_in_slot)
            self.calls_in_slot = 0

    def call_completed(
        self, now: int, function: str, worker: str, warm: bool, duration: int, load_time: int
    ) -> None:
        """Record a completed call; `warm`: it found a copy, else it waited `load_time` ns for one."""
        model = self.models.get(function)
        if model is None:
            return
        model.copies[worker] = now
        if warm:
            model.run_time = (
                model.run_time + (duration - model.run_time) // RUN_TIME_SMOOTHING_DIVISOR
                if model.run_time
                else duration
            )
        elif model.load_time:
            model.load_time += (load_time - model.load_time) // LOAD_TIME_SMOOTHING_DIVISOR
        self.account.call_completed(now, function, worker, warm)

    def copy_missing(self, now: int, function: str, worker: str) -> None:
        """Record that a worker had no copy for a call."""
        if function in self.models:
            self.models[function].copies.pop(worker, None)
        self.account.copy_missing(now, function)

    def load_ended(self, now: int, function: str, worker: str, completed: bool) -> None:
        """Record the end of a load order; a completed one shows that the store has capacity."""
        self.store_health += STORE_SMOOTHING * ((1.0 if completed else 0.0) - self.store_health)
        self.account.load_ended(now, function, worker, completed)
        if completed and function in self.models:
            self.models[function].copies[worker] = now

    # Planning
    def plan_slot(self, now: int, wall: int, orders: float) -> int:
        """Order early loads for the next slot; return their number.

        `orders` is the number that the rate limit of load orders allows; `wall` is the wall clock, ns.
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
        """Return the models of functions that may be loaded early; forget copies not seen for a long time."""
        found = {}
        for function, model in self.models.items():
            for worker in [
                name for name, seen in model.copies.items() if now - seen > self.terms.min_idle_time
            ]:
                del model.copies[worker]
            if model.load_time and self.account.may_load(now, function, self.terms.zone):
                run_time = model.run_time or model.load_time // LOAD_TO_RUN_TIME_RATIO
                found[function] = planner.Model(
                    self.terms.size or 1, model.load_time, run_time, len(model.copies)
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
        """Return this dispatcher's forecast times the number of dispatchers, as each sees an equal share."""
        scale = self.terms.dispatchers
        found = self.forecast.predict(wall + self.terms.calendar.slot, function, scale=scale)
        if found.mean > MAX_FORECAST_RATIO * self.busiest_slot * scale:
            return CallForecast(0.0, FIRST_SPREAD)
        return found
