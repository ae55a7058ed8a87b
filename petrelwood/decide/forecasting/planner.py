"""Planning of early loads: which copies to load, and until when, by expected savings and costs.

An early load saves the cold waits of calls that would arrive before a load triggered by the first call is
complete. It costs the fetch, and the memory that the copy uses while it is idle. Loads are planned in the
order of savings per byte until memory, load orders or the store's free capacity are used up. This greedy
order is within one load of the optimum for a knapsack whose items are small compared with it, and never
exceeds a limit (both are tested).

Only a first copy is planned, for functions without a known copy. Further copies are loaded on demand, because
calls show what is needed: planned ones were loaded on workers to which no call was sent, and made up most of
the useless fetches with many dispatchers.

Hundreds of dispatchers plan independently. Each of n dispatchers plans a copy with probability 1/n, so that
about one of them plans it. All choose workers in the hash order of the function, so if two plan the same
copy, the second order finds it loaded and causes no second load. The planner proposes; the scheduler decides.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from petrelwood.decide.forecasting.distribution import at_least_one

SECOND = 1_000_000_000
GIGABYTE = 1_000_000_000
MAX_LOADS = 64  # early loads per plan


class FreeCapacity(NamedTuple):
    """The resources that early loads may currently use."""

    memory: int  # bytes over all workers
    orders: float  # load orders permitted by their rate limit
    store: float  # the free share of the store's throughput, 0 to 1


class Model(NamedTuple):
    """The model of a function, as far as it is known."""

    size: int  # bytes of a copy
    load_time: int  # ns
    run_time: int  # duration of one call, ns
    copies: int  # number of copies known to be loaded


class PlannedLoad(NamedTuple):
    """A planned early load of the first copy of a function."""

    function: str
    savings: float  # expected savings: seconds of cold wait, less the costs
    expires_at: int  # ns; the load is useless from then on


class Prices(NamedTuple):
    """The costs of early loads, in seconds of cold wait."""

    fetch: float  # of one fetch from the store
    memory: float  # of one gigabyte that is idle for one second


class PlanTerms(NamedTuple):
    """The terms that are common to all plans of a dispatcher."""

    slot: int  # ns for which a plan looks ahead
    min_idle_time: int  # ns for which an idle copy stays loaded at least
    prices: Prices
    dispatchers: int  # number of dispatchers that plan independently
    max_loads: int = MAX_LOADS  # early loads per plan


def expected_savings(mean: float, spread: float, model: Model, terms: PlanTerms) -> float:
    """Return the expected savings of a first copy: seconds of cold wait, less the costs.

    `mean` and `spread` describe the number of calls in the next slot.
    """
    probability = at_least_one(mean, spread)
    call_rate = mean / terms.slot  # calls per ns
    # Calls that arrive during the load triggered by the first call wait too, half of it on average.
    waiting_calls = 1 + call_rate * model.load_time / 2
    saved = probability * waiting_calls * model.load_time / SECOND
    idle_seconds = (
        min(terms.min_idle_time, terms.slot) / SECOND * (1 - min(1.0, mean * model.run_time / terms.slot))
    )
    return saved - terms.prices.fetch - terms.prices.memory * idle_seconds * model.size / GIGABYTE


def plan(
    now: int,
    models: Mapping[str, Model],
    forecast: Callable[[str], tuple[float, float]],
    capacity: FreeCapacity,
    terms: PlanTerms,
    random_fraction: Callable[[], float],
) -> list[PlannedLoad]:
    """Return the early loads of the next slot, best first.

    `models` maps function names to models. `forecast` returns the mean and the spread of a function's calls
    in the next slot at all dispatchers together. `random_fraction()` returns a random number in [0, 1).
    """
    candidates = []
    for name in sorted(models):
        model = models[name]
        mean, spread = forecast(name)
        if model.copies or mean <= 0:
            continue
        savings = expected_savings(mean, spread, model, terms)
        if savings > 0 and random_fraction() * terms.dispatchers < 1:
            candidates.append((savings / model.size, savings, name))
    candidates.sort(key=lambda candidate: (-candidate[0], candidate[2]))
    loads: list[PlannedLoad] = []
    memory, orders = capacity.memory, capacity.orders
    store = capacity.store
    for _, savings, name in candidates:
        if len(loads) >= terms.max_loads or orders < 1 or store <= 0:
            break
        size = models[name].size
        if size > memory:
            continue
        memory -= size
        orders -= 1
        store -= 1 / terms.max_loads
        loads.append(PlannedLoad(name, savings, now + terms.min_idle_time))
    return loads
