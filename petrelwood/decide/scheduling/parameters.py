"""The fixed parameters of a scheduler: its terms, and the intervals that follow from them."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from petrelwood.ports import Terms

SWEEPS_A_CHECK_INTERVAL = 50  # so that what is queued waits at most a fiftieth of it for a timer


@dataclass(frozen=True, slots=True)
class Parameters:
    """The terms, and what follows from them.

    Attributes:
        terms: as the caller gave them.
        target_latency: the shortest target latency of all namespace types, ns.
        check_interval: the periodic checks (overdue attempts, the endpoint list) run eight times in it, ns.
        sweep_interval: time between two timers while something is queued, ns.
        draw: returns a number in [0, 1) from the one seeded generator. A seeded run repeats only while all
            draws stay in their order.
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
            # The endpoint list must be requested in time, and the target latency may be far longer.
            check_interval = min(target_latency, terms.guarantees.max_list_request_interval)
        sweep_interval = max(terms.tick, check_interval // SWEEPS_A_CHECK_INTERVAL)
        return cls(terms, target_latency, check_interval, sweep_interval, Random(seed).random)
