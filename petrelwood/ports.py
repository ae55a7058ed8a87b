"""The interface of the decision module: what it is told at start, and what it may do.

All times are whole nanoseconds on the caller's clock; ids are opaque and handed back as they came. What the
module is asked, call by call, is listed at the head of `brain.py`."""

from typing import NamedTuple, Protocol

# How a send or an order may end. The first group proves that the activation never ran.
FULL, NO_CONNECTION, MISSING, NOT_SENT = "full", "no connection", "missing", "not sent"
COMPLETED, ERROR, TIMED_OUT, RESET, CANCELLED = "completed", "error", "timed out", "reset", "cancelled"
NEVER_RAN = frozenset((FULL, NO_CONNECTION, MISSING, NOT_SENT))

REPEATABLE, DEDUPLICATED, ONCE_ONLY = "repeatable", "deduplicated", "once-only"

# What a completed answer may say of the copy that ran it (0: nothing is told).
FOUND_WARM, BEGAN_LOAD, AWAITED_LOAD, LOAD_FAILED = 1, 2, 3, 4


class NamespaceType(NamedTuple):
    target_latency: int
    effect: str  # REPEATABLE, DEDUPLICATED or ONCE_ONLY
    scope: str  # DEDUPLICATED: "all", "zone" or "cell", the group that drops repeats
    window: int  # DEDUPLICATED: how long it remembers them
    stretch: float = 0.0  # the target latency grows by so many times the activation's own work,
    timeout: int = 0  # up to the action timeout; 0: not told


class Guarantees(NamedTuple):
    ask_within: int
    cold: int  # a worker is warm this long after its start
    cold_from: float  # the part of its capacity that it starts with
    fall_multiple: float
    fall: int


class LoadOrders(NamedTuple):
    allowed: bool
    loads_on_send: bool  # a worker without a copy loads it by itself when an activation comes
    keep: int  # an idle copy stays at least this long
    free: float  # the ration: so many, and `part` of the activations taken, in each `period`
    part: float
    period: int  # 0: no ration


class Allowed(NamedTuple):
    sends: int  # at most, for one activation
    overlap: bool  # two sends of one activation may be out at a time
    cancel: bool
    probe: bool
    retry_after: bool
    max_retry_after: int


class Terms(NamedTuple):
    """All that the module is told at start."""

    zone: str
    dispatchers: int
    types: dict  # name -> NamespaceType
    quotas: dict  # customer -> activations a second, at all dispatchers together
    guarantees: Guarantees
    orders: LoadOrders
    allowed: Allowed
    asks: bool  # the list of workers must be asked for
    reports_by_probe: bool
    tick: int
    probe_fee: float = 0.0  # utility that one probe an activation costs, as a part of all
    beyond: float = 0.0  # utility of an activation beyond its customer's share, as a part of the usual


class Listed(NamedTuple):
    """A worker as the list has it."""

    worker: str
    zone: str
    cell: int
    booted: int  # 0: long ago
    usable: bool  # False: it drains or is gone


class Outlet(Protocol):
    """What the module may do. Every call takes effect at the clock time of the call being handled."""

    def send(self, act: str, worker: str, limit: int) -> None: ...
    def reject(self, act: str, retry_after: int) -> None: ...
    def abort(self, act: str) -> None: ...
    def cancel(self, act: str, n: int) -> None: ...
    def hold(self, worker: str, fn: str, copies: int) -> None: ...
    def probe(self, worker: str) -> None: ...
    def wake(self, mark: str, wait: int) -> None: ...
    def subscribe(self) -> None: ...
