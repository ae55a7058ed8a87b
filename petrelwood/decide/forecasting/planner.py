"""Which copies to load ahead, where and when: what is expected to be saved, against what it costs.

A wish is worth the cold waits it should save (calls that would come before the copy that demand loads stands,
times the load's time, times how sure it is that any comes), less the fetch, the memory it holds idle, and
what it pushes out. Wishes are made in the order of worth for each byte until room, ration and the store's
present pace are used up: greedy, which is within one wish of the best for a knapsack whose items are small
against it, and never exceeds a bound (both are tested).

Only a first copy is wished, where none is known to stand: further ones are demand's, which knows what it
needs. Guessed ones went to workers that nobody asked after, and cost most of the fetches that many
dispatchers spent for nothing.

Hundreds of dispatchers plan alone. Each wants its own part: it draws for each copy with the chance of one in
as many as there are, so that about one of them wishes it; since all name the same workers in a function's
hash order, two that draw the same copy find it standing, which costs an order and no load. The planner only
wishes; the module's guard decides."""

from typing import NamedTuple

from petrelwood.decide.forecasting.forecast import at_least_one


class FreeCapacity(NamedTuple):
    """What may be used now. Bytes, ns, and shares."""

    memory: int  # free for idle copies, over the workers
    orders: float  # of the ration, what early loads may use
    store: float  # of the store's pace that is free, 0 to 1


class Model(NamedTuple):
    size: int  # bytes of a copy
    load: int  # ns of a load
    work: int  # ns of one call
    copies: int  # that are known to stand


class PlannedLoad(NamedTuple):
    function: str
    worth: float  # seconds of cold wait that it should save, net
    until: int  # when it is of no use any more


class Prices(NamedTuple):
    """Seconds of cold wait that each is worth: a fetch, and a gigabyte held idle for a second."""

    fetch: float
    memory: float


def worth(mean, spread, model, slot, keep, prices):
    """Seconds that the first copy saves, net of its costs; what follows saves less."""
    chance = at_least_one(mean, spread)
    pace = mean / slot  # calls a ns
    # those that come while demand's own load is under way wait too
    waiting = 1 + pace * model.load / 2
    saved = chance * waiting * model.load / 1e9
    idle = min(keep, slot) / 1e9 * (1 - min(1.0, mean * model.work / slot))
    return saved - prices.fetch - prices.memory * idle * model.size / 1e9


def plan(now, functions, forecast, room, slot, keep, prices, dispatchers, chance, most=64):
    """The wishes of this turn, best first. `functions`: name -> `Model`; `forecast(name)` -> (mean, spread)
    of calls of
    all dispatchers together in the next slot; `chance` draws in [0, 1)."""
    found = []
    for name in sorted(functions):
        model = functions[name]
        mean, spread = forecast(name)
        if model.copies or mean <= 0:
            continue
        each = worth(mean, spread, model, slot, keep, prices)
        if each > 0 and chance() * dispatchers < 1:
            found.append((each / model.size, each, name, model))
    found.sort(key=lambda f: (-f[0], f[2]))
    wishes, memory, orders, pace = [], room.memory, room.orders, room.store
    for _, value, name, model in found:
        if len(wishes) >= most or orders < 1 or pace <= 0:
            break
        if model.size > memory:
            continue
        memory, orders, pace = memory - model.size, orders - 1, pace - 1 / most
        wishes.append(PlannedLoad(name, value, now + keep))
    return wishes
