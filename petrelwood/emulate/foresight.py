"""The future of a day, for comparison only: early loads that know each call of the next slot, which nobody
can.

Arrivals are drawn apart from all answers, so a day played without early loads has the same calls as one with
them."""

import collections

from petrelwood.decide.forecasting.early_loads import ModelEstimate

CERTAIN = 1.0  # the spread of a forecast that can't be wrong beyond chance


class PerfectForecast:
    """What will be called, by function and slot of the wall clock."""

    def __init__(self, day, seed, policy, make):
        first = make(day._replace(early=False), seed, policy, keep=False).run()
        self.slot, self.calls, self.types = (
            first.gateway_early.slot,
            collections.defaultdict(collections.Counter),
            {},
        )
        origin = first.clock.wall() - first.clock.now()
        for request in first.clients.requests:
            self.calls[request.fn][(origin + request.begun) // self.slot] += 1
            self.types[request.fn] = request.kind.type

    def forecast_next_slot(self, wall, function):
        """(mean, spread) of the calls of all dispatchers together in the slot after this one."""
        return float(self.calls[function][wall // self.slot + 1]), CERTAIN

    def install_in(self, core):
        """A dispatcher's early loads ask here, and know every function that will be called."""
        if core.forecasts is None:
            return
        early = core.forecasts.early
        early.expected_calls = self.forecast_next_slot
        for function, kind in self.types.items():
            rule = core.rule(function)
            early.models[function] = ModelEstimate(rule.lanes, rule.load_time, kind)
