"""The fixed parameters of a scheduler: its terms, and the intervals derived from them."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from petrelwood.ports import Terms

# A queued activation waits for the timer for at most the check interval divided by this.
SWEEPS_PER_CHECK_INTERVAL = 50


@dataclass(frozen=True, slots=True)
class Parameters:
    """The terms, and the values derived from them.

    Attributes:
        terms: the configuration given by the caller.
        target_latency: the shortest target latency of all namespace types, ns.
        check_interval: the period in which the periodic checks (overdue attempts, the endpoint list) run
            eight times, ns.
        sweep_interval: time between two timers while any activation is queued, ns.
        draw: returns a random number in [0, 1) from the only seeded generator. A run with the same seed is
            reproducible only if all draws keep their order.
    """

    terms: Terms
    target_latency: int
    check_interval: int
    sweep_interval: int
    draw: Callable[[], float]

    @classmethod
    def of(cls, terms: Terms, seed: int) -> "Parameters":
        """Return the parameters of a scheduler with these terms and this seed."""
        target_latency = min(type_.target_latency for type_ in terms.types.values())
        check_interval = target_latency
        if terms.must_request_list:
            # The endpoint list must be requested in time, also where the target latency is much longer.
            check_interval = min(target_latency, terms.guarantees.max_list_request_interval)
        sweep_interval = max(terms.tick, check_interval // SWEEPS_PER_CHECK_INTERVAL)
        return cls(terms, target_latency, check_interval, sweep_interval, Random(seed).random)
