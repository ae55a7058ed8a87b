"""Which copies to load early, and until when they are of use: expected savings against costs.

An early load saves the cold waits of the calls that would come before demand's own load is over. It costs
the fetch, and the memory that the copy takes while it is idle. Loads are planned in the order of savings for
each byte until memory, load orders or the store's free capacity are used up: greedy, which is within one load
of the best for a knapsack whose items are small against it, and never exceeds a limit (both are tested).

Only a first copy is planned, where none is known. Further ones are demand's, which knows what it needs:
guessed ones went to workers that no call was sent to, and were most of the useless fetches of many
dispatchers.

Hundreds of dispatchers plan alone. For each copy each one draws with the chance of one in as many as there
are, so that about one of them plans it. All choose workers in a function's hash order, so two that draw the
same copy find it loaded, which costs an order and no load. The planner proposes; the scheduler decides.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from petrelwood.decide.forecasting.distribution import at_least_one

SECOND = 1_000_000_000
GIGABYTE = 1_000_000_000
MAX_LOADS = 64  # of one plan


class FreeCapacity(NamedTuple):
    """What early loads may use now."""

    memory: int  # bytes, over the workers
    orders: float  # load orders, of their rate limit
    store: float  # the share of the store's pace that is free, 0 to 1


class Model(NamedTuple):
    """The model of a function, as far as it is known."""

    size: int  # bytes of a copy
    load_time: int  # ns
    work: int  # ns of one call
    copies: int  # that are known to be loaded


class PlannedLoad(NamedTuple):
    """A first copy of a function that should be loaded early."""

    function: str
    savings: float  # seconds of cold wait that it should save, less its costs
    expires_at: int  # ns; from then on it is of no use


class Prices(NamedTuple):
    """What is spent, in seconds of cold wait."""

    fetch: float  # a fetch from the store
    memory: float  # a gigabyte that is idle for a second


class PlanTerms(NamedTuple):
    """What all plans of a dispatcher have in common."""

    slot: int  # ns that a plan looks ahead
    min_idle_time: int  # ns that an idle copy stays loaded at least
    prices: Prices
    dispatchers: int  # that plan side by side
    max_loads: int = MAX_LOADS  # early loads of one plan


def expected_savings(mean: float, spread: float, model: Model, terms: PlanTerms) -> float:
    """Return the seconds of cold wait that a first copy should save, less its costs.

    `mean` and `spread` are those of the calls in the next slot.
    """
    chance = at_least_one(mean, spread)
    pace = mean / terms.slot  # calls a ns
    # the calls that come while demand's own load is under way wait too
    waiting = 1 + pace * model.load_time / 2
    saved = chance * waiting * model.load_time / SECOND
    idle = min(terms.min_idle_time, terms.slot) / SECOND * (1 - min(1.0, mean * model.work / terms.slot))
    return saved - terms.prices.fetch - terms.prices.memory * idle * model.size / GIGABYTE


def plan(
    now: int,
    models: Mapping[str, Model],
    forecast: Callable[[str], tuple[float, float]],
    capacity: FreeCapacity,
    terms: PlanTerms,
    chance: Callable[[], float],
) -> list[PlannedLoad]:
    """Return the early loads of the next slot, best first.

    `models` has the functions by name; `forecast` returns the mean and the spread of the calls of one in the
    next slot, at all dispatchers together; `chance` is drawn in [0, 1).
    """
    candidates = []
    for name in sorted(models):
        model = models[name]
        mean, spread = forecast(name)
        if model.copies or mean <= 0:
            continue
        savings = expected_savings(mean, spread, model, terms)
        if savings > 0 and chance() * terms.dispatchers < 1:
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
