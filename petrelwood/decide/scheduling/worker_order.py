"""The order of workers in which a function's copies are placed.

Each function has its own order of all workers, by a hash of both names (rendezvous hashing). All dispatchers
compute the same order, so that they use the same copies without communicating.
"""

from collections.abc import Iterator
from itertools import islice
from operator import attrgetter

from petrelwood.decide.scheduling.fleet import HASH_MASK, HASH_MULTIPLIER, Fleet
from petrelwood.decide.scheduling.popularity import Popularity
from petrelwood.decide.scheduling.records import Function, Worker

CACHED_ORDERS = 64  # functions whose first workers are cached, because popular functions are placed often
SPARE_WORKERS = 32  # additional workers below the rank limit, because ranks are only roughly evenly spread
FURTHER_CACHED = 4  # workers that are cached in addition to the wanted ones, because some may be full
POSITION_BITS = 20  # bits for a worker's index in the fleet beside its rank: up to a million workers


class WorkerOrder:
    """The workers in each function's order.

    Attributes:
        hashes: the hashes of the usable workers, in the order of `Fleet.usable`.
        cached: the first workers of a function, by its key; the oldest entry is evicted first.
    """

    def __init__(self, fleet: Fleet, popularity: Popularity) -> None:
        self.fleet = fleet
        self.popularity = popularity
        self.hashes: list[int] = []
        self.cached: dict[str, list[Worker]] = {}

    def fleet_changed(self) -> None:
        """Clear the cached orders, as the endpoint list has changed."""
        self.hashes = [worker.hash for worker in self.fleet.usable]
        self.cached.clear()

    def workers_for(self, function: Function) -> Iterator[Worker]:
        """Yield all usable workers in the function's order.

        A function that other dispatchers also call needs several workers. That number of its first workers
        is yielded in this dispatcher's own order, the workers of its zone first. Otherwise all dispatchers
        would send their few calls to the same worker.
        """
        wanted = max(0, self.popularity.wanted_copies(function))
        size = len(self.fleet.usable)
        first: list[Worker] = self.cached.get(function.key, [])
        if len(first) < min(wanted + FURTHER_CACHED, size):
            if len(self.cached) >= CACHED_ORDERS:
                del self.cached[next(iter(self.cached))]
            first = self.cached[function.key] = self.first_by_hash(function, wanted + FURTHER_CACHED)
        in_own_order = wanted if wanted > 1 else 0
        if in_own_order:
            yield from sorted(islice(first, in_own_order), key=attrgetter("preference"))
        yield from islice(first, in_own_order, None)
        if len(first) < size:
            yield from islice(self.first_by_hash(function, size), len(first), None)

    def first_by_hash(self, function: Function, count: int) -> list[Worker]:
        """Return the first workers of the fleet by rank, at least `count` of them.

        Ranks are spread evenly, so only those below a limit are sorted; the limit is chosen such that a few
        more than `count` are below it. A large fleet thus costs one multiplication per worker.
        """
        function_hash = function.hash
        mask = HASH_MASK
        multiplier = HASH_MULTIPLIER
        usable = self.fleet.usable
        size = len(usable)
        limit = (count + count // 4 + SPARE_WORKERS) * (HASH_MASK + 1) // max(1, size)
        ranks = [
            rank << POSITION_BITS | position
            for position, worker_hash in enumerate(self.hashes)
            if (rank := (worker_hash ^ function_hash) * multiplier & mask) < limit
        ]
        if len(ranks) < min(count, size):
            ranks = [
                ((worker_hash ^ function_hash) * multiplier & mask) << POSITION_BITS | position
                for position, worker_hash in enumerate(self.hashes)
            ]
        ranks.sort()
        position_mask = (1 << POSITION_BITS) - 1
        return [usable[rank & position_mask] for rank in ranks]
