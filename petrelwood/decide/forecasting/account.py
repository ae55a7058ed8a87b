"""The account of early loads: how each one ended, what it cost and saved, and when to suspend them.

There is a balance per function, per zone and in total. Each is the seconds of cold wait saved less the costs,
and decays slowly. When a balance falls below `-BALANCE_CREDIT`, early loads are suspended, and tried again
after a backoff.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum

from petrelwood.decide.forecasting.planner import Prices
from petrelwood.decide.overload.backoff import Backoff

SECOND = 1_000_000_000
GIGABYTE = 1_000_000_000
BALANCE_DECAY = 0.02  # share of a balance that is lost with each ended early load
BALANCE_CREDIT = 2.0  # seconds by which a balance may be negative before early loads are suspended
MAX_SUSPENSION_FACTOR = 64  # the longest suspension, as a multiple of the first one
MAX_OPEN_LOADS = 10_000  # early loads tracked at a time; also the most balances of functions, and of zones
LISTED_FUNCTIONS = 10  # number of functions in the table for operators


class LoadEnd(StrEnum):
    """How an early load ended; the strings are written to the log of early loads."""

    USED_IN_TIME = "in time"
    USED_LATE = "late"  # called while the copy was still loading
    NEVER_USED = "never used"
    EVICTED_ANOTHER = "pushed another out"  # it evicted a copy that was then missing for a call
    FAILED = "failed"
    STOPPED = "stopped"  # prevented by a rule before it was ordered


@dataclass(slots=True, eq=False)
class EarlyLoad:
    """One early load that is still loading, or that no call has used yet. Times in ns."""

    function: str
    zone: str
    worker: str
    ordered_at: int
    expires_at: int
    size: int  # bytes
    load_time: int
    loaded_at: int | None = None
    evicted: str | None = None  # the function whose copy it replaced


class Balance:
    """The balance of one function, of one zone, or in total.

    `random_fraction()` returns a random number in [0, 1).
    """

    __slots__ = ("backoff", "end_counts", "gigabyte_seconds", "is_suspended", "saved_seconds", "seconds")

    def __init__(self, first_suspension: int, random_fraction: Callable[[], float]) -> None:
        self.seconds = 0.0  # the balance: cold wait saved, less the costs; it decays
        self.end_counts: Counter[LoadEnd] = Counter()
        self.backoff = Backoff(first_suspension, MAX_SUSPENSION_FACTOR * first_suspension, random_fraction)
        self.is_suspended = False
        self.gigabyte_seconds = 0.0  # memory held by copies before their first use, in total
        self.saved_seconds = 0.0  # the sum of positive results

    def record(self, now: int, end: LoadEnd, seconds: float, gigabyte_seconds: float) -> None:
        """Record the end of an early load; `seconds` is the cold wait that it saved, less its costs."""
        self.end_counts[end] += 1
        self.seconds = self.seconds * (1 - BALANCE_DECAY) + seconds
        self.gigabyte_seconds += gigabyte_seconds
        self.saved_seconds += max(0.0, seconds)
        if self.seconds < -BALANCE_CREDIT and not self.is_suspended:
            self.is_suspended = True
            self.backoff.failed(now)
        elif self.seconds >= 0:
            self.is_suspended = False
            self.backoff.succeeded()

    def may_load(self, now: int) -> bool:
        """Return whether early loads may be ordered; after the backoff, lift a suspension on trial."""
        if self.is_suspended and self.backoff.may_retry(now):
            self.is_suspended = False
            self.seconds = -BALANCE_CREDIT / 2  # the trial starts with half of the credit
        return not self.is_suspended


EndObserver = Callable[[int, EarlyLoad, LoadEnd, float, float], object]
"""Called for each end: now, the load, how it ended, seconds saved less costs, gigabyte-seconds unused."""


class Account:
    """The early loads of one dispatcher. Times in ns.

    `random_fraction()` returns a random number in [0, 1).
    """

    def __init__(
        self,
        prices: Prices,
        first_suspension: int,
        random_fraction: Callable[[], float],
        max_open_loads: int = MAX_OPEN_LOADS,
    ) -> None:
        self.prices = prices
        self.first_suspension = first_suspension
        self.random_fraction = random_fraction
        self.max_open_loads = max_open_loads
        self.open_loads: dict[tuple[str, str], EarlyLoad] = {}  # by function and worker
        self.total = Balance(first_suspension, random_fraction)
        self.functions: dict[str, Balance] = {}
        self.zones: dict[str, Balance] = {}
        self.untracked = 0  # number of orders not tracked because too many were open
        self.on_end: EndObserver | None = None

    def may_load(self, now: int, function: str, zone: str) -> bool:
        """Return whether a function may be loaded early in a zone."""
        for balance in (self.functions.get(function), self.zones.get(zone)):
            if balance is not None and not balance.may_load(now):
                return False
        return self.total.may_load(now)

    def record_order(
        self, now: int, function: str, zone: str, worker: str, expires_at: int, size: int, load_time: int
    ) -> None:
        """Track an early load that was ordered; `size` in bytes."""
        if len(self.open_loads) >= self.max_open_loads:
            self.untracked += 1
            return
        load = EarlyLoad(function, zone, worker, now, expires_at, size, load_time)
        self.open_loads[function, worker] = load

    def load_ended(
        self, now: int, function: str, worker: str, completed: bool, evicted: str | None = None
    ) -> None:
        """Record the end of a load order; `evicted` is the function whose copy it replaced."""
        load = self.open_loads.get((function, worker))
        if load is None:
            return
        if not completed:
            self._end(now, load, LoadEnd.FAILED, 0.0)
        elif load.loaded_at is None:
            load.loaded_at = now
            load.evicted = evicted

    def call_completed(self, now: int, function: str, worker: str, warm: bool) -> LoadEnd | None:
        """Record a completed call; return how the early load that it used ended, or None.

        `warm` tells whether the call found a loaded copy.
        """
        load = self.open_loads.get((function, worker))
        if load is None:
            return None
        if load.loaded_at is None:  # still loading; the call waited less than without the early load
            saved = min(load.load_time, now - load.ordered_at)
            return self._end(now, load, LoadEnd.USED_LATE, saved / SECOND)
        if warm:
            return self._end(now, load, LoadEnd.USED_IN_TIME, load.load_time / SECOND)
        return None

    def record_stopped(self, function: str, zone: str) -> None:
        """Count an early load that a rule or the calls' need of capacity prevented; it costs nothing."""
        for balance in self._balances(function, zone):
            balance.end_counts[LoadEnd.STOPPED] += 1

    def copy_missing(self, now: int, function: str) -> None:
        """End the early loads that evicted a copy of a function, after a call missed that copy."""
        for load in list(self.open_loads.values()):
            if load.evicted == function:
                self._end(now, load, LoadEnd.EVICTED_ANOTHER, -load.load_time / SECOND)

    def expire(self, now: int) -> None:
        """End the early loads that have expired without a call."""
        for load in [each for each in self.open_loads.values() if now >= each.expires_at]:
            self._end(now, load, LoadEnd.NEVER_USED, 0.0)

    def lines(self) -> Iterator[str]:
        """Yield the lines of a table for operators: total, zones, the functions with the lowest balances."""
        worst = sorted(self.functions.items(), key=lambda item: item[1].seconds)[:LISTED_FUNCTIONS]
        for name, balance in [("all", self.total), *sorted(self.zones.items()), *worst]:
            end_counts = ", ".join(
                f"{end} {balance.end_counts[end]}" for end in LoadEnd if balance.end_counts[end]
            )
            state = "held back" if balance.is_suspended else "goes on"
            yield f"{name}: {balance.seconds:+.1f} s, {state}; {end_counts or 'nothing yet'}"

    def _balances(self, function: str, zone: str) -> Iterator[Balance]:
        for table, key in ((self.functions, function), (self.zones, zone)):
            if key not in table:
                if len(table) >= self.max_open_loads:
                    table.pop(next(iter(table)))
                table[key] = Balance(self.first_suspension, self.random_fraction)
            yield table[key]
        yield self.total

    def _end(self, now: int, load: EarlyLoad, end: LoadEnd, saved: float) -> LoadEnd:
        del self.open_loads[load.function, load.worker]
        unused = (now - (load.loaded_at or now)) / SECOND * load.size / GIGABYTE
        seconds = saved - self.prices.fetch - self.prices.memory * unused
        for balance in self._balances(load.function, load.zone):
            balance.record(now, end, seconds, unused)
        if self.on_end is not None:
            self.on_end(now, load, end, seconds, unused)
        return end
