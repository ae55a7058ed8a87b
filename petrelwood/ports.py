"""The interface of the decision module: what it is told at its start, and what it may do.

All times are whole nanoseconds on the caller's clock; ids are opaque and handed back as they came. The events
that the module is told of are the public methods of `decide/scheduling/scheduler.py:Scheduler`.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple, Protocol


class EndReason(StrEnum):
    """How an attempt, a load order or a health check has ended."""

    FULL = "full"  # the worker has no free capacity; nothing began
    NO_CONNECTION = "no connection"  # there was none, and nothing was sent
    MISSING = "missing"  # the worker has no copy of the function and does not load by itself
    NOT_SENT = "not sent"  # it never left the dispatcher
    COMPLETED = "completed"
    ERROR = "error"  # the function or the worker failed; it may have run
    TIMED_OUT = "timed out"  # no answer in time; it may have run
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # the dispatcher took it back; it may have run


NEVER_RAN = frozenset((EndReason.FULL, EndReason.NO_CONNECTION, EndReason.MISSING, EndReason.NOT_SENT))
"""The reasons that prove that the activation never ran."""


class Effect(StrEnum):
    """What running an activation twice would do."""

    REPEATABLE = "repeatable"  # nothing: it may run again freely
    DEDUPLICATED = "deduplicated"  # nothing within the scope and window that drop repeats
    ONCE_ONLY = "once-only"  # harm: it must not run twice


class Scope(StrEnum):
    """The group of workers that drops repeats of a deduplicated activation."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class CopyNote(IntEnum):
    """What a completed answer may tell of the copy that ran the activation."""

    NOTHING = 0
    FOUND_WARM = 1  # the copy was loaded before
    BEGAN_LOAD = 2  # this attempt began its load
    AWAITED_LOAD = 3  # the attempt waited for a load that was under way
    LOAD_FAILED = 4


class NamespaceType(NamedTuple):
    target_latency: int
    effect: str  # an Effect
    scope: str  # DEDUPLICATED: a Scope, the group that drops repeats
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


class Arrival(NamedTuple):
    """An activation that has been admitted and waits for its first attempt."""

    activation_id: str
    function: str
    type_name: str  # a key of `Terms.types`
    customer: str
    due: int  # ns on the caller's clock: its final answer must be there by then
    slots: int  # activations of its function that one copy runs at a time
    work_hint: int  # ns that it is expected to compute; 0: not told
    load_time: int  # ns that loading a copy of its function takes; 0: not told


class AttemptEnd(NamedTuple):
    """How one attempt of an activation has ended."""

    activation_id: str
    attempt: int  # attempts of an activation are counted from 0
    worker: str
    reason: EndReason
    note: int  # a CopyNote
    is_final: bool  # the activation has its final answer, by this attempt or otherwise
    duration: int  # ns from the send to the end
    report: dict[str, float] | None  # the worker's load report, if it sent one


class Outlet(Protocol):
    """What the module may do. Every call takes effect at the clock time of the call being handled."""

    def send(self, act: str, worker: str, limit: int) -> None: ...
    def reject(self, act: str, retry_after: int) -> None: ...
    def abort(self, act: str) -> None: ...
    def cancel(self, act: str, n: int) -> None: ...
    def order_load(self, worker: str, fn: str, copies: int) -> None: ...
    def check_health(self, worker: str) -> None: ...
    def set_timer(self, mark: str, wait: int) -> None: ...
    def request_endpoint_list(self) -> None: ...
