"""Loads functions ahead of forecast calls, and updates the forecasts from the calls that arrived."""

from random import Random
from typing import TYPE_CHECKING

from petrelwood import ports
from petrelwood.decide.forecasting.early_loads import EarlyLoads, EarlyLoadTerms, LoadOrder
from petrelwood.decide.forecasting.planner import Prices
from petrelwood.decide.forecasting.slot_calendar import Calendar
from petrelwood.dispatch.interfaces import Clock, Rule

if TYPE_CHECKING:
    from petrelwood.settings.early_loads import EarlyTerms

UNLIMITED_ORDERS = 1e9  # load orders per slot if they are not rationed


class LoadForecasts:
    """The forecasts of one dispatcher.

    `sliced`: whether they are updated incrementally by `learn`, a few functions per call.
    """

    def __init__(
        self,
        forecast_terms: "EarlyTerms",
        terms: ports.Terms,
        clock: Clock,
        chance: Random,
        *,
        prefetch: LoadOrder,
        sliced: bool,
    ) -> None:
        self.slot = forecast_terms.slot
        self.clock = clock
        orders = terms.orders
        self.orders_per_slot = orders.base_orders if orders.period else UNLIMITED_ORDERS
        early_terms = EarlyLoadTerms(
            Calendar(forecast_terms.slot, forecast_terms.season, forecast_terms.week, forecast_terms.events),
            Prices(forecast_terms.fetch, forecast_terms.memory_price),
            orders.min_idle_time,
            terms.dispatchers,
            terms.zone,
            forecast_terms.size,
            forecast_terms.memory,
            incremental=sliced,
        )
        self.early = EarlyLoads(early_terms, chance.random, prefetch)

    def plan_slot(self) -> None:
        """Order the loads that pay off in the next slot."""
        self.early.plan_slot(self.clock.now(), self.clock.steady_wall(), self.orders_per_slot)

    def activation_admitted(self, now: int, function: str, rule: Rule, type_: str) -> None:
        """Record the arrival of a call."""
        self.early.call_arrived(self.clock.steady_wall(), function, rule.lanes, rule.load_time, type_)

    def send_completed(self, now: int, function: str, worker: str, warm: bool, duration: int) -> None:
        """Record an attempt that completed after `duration` ns; `warm`: whether it found a loaded copy."""
        self.early.call_completed(now, function, worker, warm, duration, 0 if warm else duration)

    def copy_missing(self, now: int, function: str, worker: str) -> None:
        """Record that an attempt was not run because the worker had no copy of the function."""
        self.early.copy_missing(now, function, worker)

    def order_ended(self, now: int, function: str, worker: str, completed: bool) -> None:
        """Record the end of a load order."""
        self.early.load_ended(now, function, worker, completed)

    def learn(self, functions: int) -> bool:
        """Update the forecasts of at most `functions` functions; return whether some are left."""
        return self.early.forecast.learn(functions)
