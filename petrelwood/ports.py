"""The interface of the decision module: its terms, the records of its events, and the actions it may take.

All times are whole nanoseconds on the caller's clock; ids are opaque and returned as they came. The events
are the public methods of `decide.scheduling.scheduler.Scheduler`; the larger ones carry a record from here.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple, Protocol


class EndReason(StrEnum):
    """The reason why an attempt, a load order or a health check has ended."""

    FULL = "full"  # the worker has no free capacity; nothing began
    NO_CONNECTION = "no connection"  # there was none, and nothing was sent
    MISSING = "missing"  # the worker has no copy of the function and does not load by itself
    NOT_SENT = "not sent"  # it was still queued in the dispatcher
    COMPLETED = "completed"
    ERROR = "error"  # the function or the worker failed; it may have run
    TIMED_OUT = "timed out"  # no answer in time; it may have run
    RESET = "reset"  # the connection broke; it may have run
    CANCELLED = "cancelled"  # the dispatcher cancelled it; it may have run


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
    """What a completed answer says of the copy that ran the activation."""

    NOTHING = 0
    FOUND_WARM = 1  # the copy was loaded before
    BEGAN_LOAD = 2  # this attempt began its load
    AWAITED_LOAD = 3  # the attempt waited for a load that was under way
    LOAD_FAILED = 4


class NamespaceType(NamedTuple):
    """The rules for the activations of one namespace type."""

    target_latency: int  # ns from arrival to answer
    effect: Effect
    scope: Scope  # of a deduplicated one: the group that drops repeats
    window: int  # ns that the group remembers a deduplicated one
    stretch: float = 0.0  # the part of an activation's work hint that is added to its target latency
    timeout: int = 0  # ns, the action timeout, up to which it grows; 0: not known


class Guarantees(NamedTuple):
    """What the platform guarantees of workers, and requires for the endpoint list."""

    max_list_request_interval: int  # ns between two requests of the endpoint list; see `must_request_list`
    warm_up_time: int  # ns after its start from which a worker is warmed up
    initial_capacity_share: float  # the part of its capacity that a worker has at its start, 0 to 1
    crash_load_multiple: float  # a cold worker crashes when it is sent so many times its capacity
    slow_start_window: int  # ns of the window in which this is counted


class LoadOrders(NamedTuple):
    """The rules for load orders, and their rate limit."""

    allowed: bool
    loads_on_send: bool  # a worker without a copy loads it by itself when an activation comes
    min_idle_time: int  # ns that an idle copy stays loaded at least
    base_orders: float  # the rate limit: load orders in each period,
    orders_per_activation: float  # and further ones for each activation taken in it
    period: int  # ns; 0: there is no rate limit


class Allowed(NamedTuple):
    """What the platform allows for attempts and answers."""

    sends: int  # attempts of one activation, at most
    overlap: bool  # two attempts of one activation may be in flight at a time
    cancel: bool  # an attempt may be cancelled
    probe: bool  # a worker may be asked for a load report
    retry_after: bool  # a rejection may carry a Retry-After
    max_retry_after: int  # ns, the longest Retry-After


class Terms(NamedTuple):
    """The configuration that the module is given at its start."""

    zone: str  # the dispatcher's own
    dispatchers: int  # how many share the workers
    types: dict[str, NamespaceType]
    quotas: dict[str, float]  # by customer: activations a second, at all dispatchers together
    guarantees: Guarantees
    orders: LoadOrders
    allowed: Allowed
    must_request_list: bool  # the endpoint list must be requested
    reports_by_probe: bool  # workers send load reports only on a health check
    tick: int  # ns, the shortest wait of a timer
    health_check_cost: float = 0.0  # utility that one health check an activation costs, as a part of all
    over_quota_utility: float = (
        0.0  # utility of an activation over its customer's quota, as a share of the usual
    )


class EndpointEntry(NamedTuple):
    """One worker in the endpoint list."""

    worker: str
    zone: str
    cell: int
    booted: int  # ns when it started; 0: long ago
    usable: bool  # False: it drains or is gone


class Arrival(NamedTuple):
    """An activation that was admitted and waits for its first attempt."""

    activation_id: str
    function: str
    type_name: str  # a key of `Terms.types`
    customer: str
    due: int  # ns on the caller's clock, the deadline of its final answer
    slots: int  # activations of its function that one copy runs at a time
    work_hint: int  # ns that it is expected to compute; 0: not known
    load_time: int  # ns that loading a copy of its function takes; 0: not known


class AttemptEnd(NamedTuple):
    """The end of one attempt of an activation."""

    activation_id: str
    attempt: int  # the attempt's number, from 0 for each activation
    worker: str
    reason: EndReason
    note: int  # a `CopyNote`
    is_final: bool  # the activation has its final answer, by this attempt or otherwise
    duration: int  # ns from the send to the end
    report: dict[str, float] | None  # the worker's load report, if it sent one


class Outlet(Protocol):
    """The actions of the module. Each takes effect at the clock time of the event that is being handled."""

    def send(self, activation_id: str, worker: str, limit: int, /) -> None:
        """Send an activation to a worker; `limit`: the attempt's timeout in ns, 0 for none."""

    def reject(self, activation_id: str, retry_after: int, /) -> None:
        """Reject an activation, which did not run; `retry_after`: the Retry-After in ns, 0 for none."""

    def abort(self, activation_id: str, /) -> None:
        """Abort an activation: its final answer is that it failed and may have run."""

    def cancel(self, activation_id: str, attempt: int, /) -> None:
        """Cancel an attempt that is in flight."""

    def order_load(self, worker: str, function: str, copies: int, /) -> None:
        """Order a worker to load `copies` copies of a function."""

    def check_health(self, worker: str, /) -> None:
        """Request a load report from a worker."""

    def set_timer(self, mark: str, wait: int, /) -> None:
        """Start a timer that fires in `wait` ns and returns `mark`."""

    def request_endpoint_list(self) -> None:
        """Request the endpoint list and its changes."""
