"""A perfect forecast of a day, for comparison only: early loads that know each call of the next slot.

No real dispatcher can know this. Arrivals are drawn independently of all answers, so a day played without
early loads has the same calls as one with them."""

import collections

from petrelwood.decide.forecasting.early_loads import ModelEstimate

CERTAIN = 1.0  # the spread of a forecast whose only error is chance


class PerfectForecast:
    """The calls of a day by function and slot of the wall clock, from a first play without early loads."""

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
        """Return (mean, spread) of the calls of all dispatchers together in the next slot."""
        return float(self.calls[function][wall // self.slot + 1]), CERTAIN

    def install_in(self, core):
        """Make a dispatcher's early loads use this forecast, with a model estimate for every function."""
        if core.forecasts is None:
            return
        early = core.forecasts.early
        early.expected_calls = self.forecast_next_slot
        for function, kind in self.types.items():
            rule = core.rule(function)
            early.models[function] = ModelEstimate(rule.lanes, rule.load_time, kind)
