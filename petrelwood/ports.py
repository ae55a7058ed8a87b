"""The interface of the decision module: its terms, the records of its events, and the actions it may take.

All times are whole nanoseconds on the caller's clock; ids are opaque and returned unchanged. The events
are the public methods of `decide.scheduling.scheduler.Scheduler`; those with many values take a record from
this module.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple, Protocol


class EndReason(StrEnum):
    """The reason why an attempt, a load order or a health check ended."""

    FULL = "full"  # the worker has no free capacity; nothing was started
    NO_CONNECTION = "no connection"  # there was no connection, and nothing was sent
    MISSING = "missing"  # the worker has no copy of the function and does not load one by itself
    NOT_SENT = "not sent"  # the request was still queued in the dispatcher
    COMPLETED = "completed"
    ERROR = "error"  # the function or the worker failed; the activation may have run
    TIMED_OUT = "timed out"  # no answer arrived in time; the activation may have run
    RESET = "reset"  # the connection was reset; the activation may have run
    CANCELLED = "cancelled"  # the dispatcher cancelled the request; the activation may have run


NEVER_RAN = frozenset((EndReason.FULL, EndReason.NO_CONNECTION, EndReason.MISSING, EndReason.NOT_SENT))
"""The reasons which prove that the activation did not run."""


class Effect(StrEnum):
    """The effect of running an activation twice."""

    REPEATABLE = "repeatable"  # none: the activation may run any number of times
    DEDUPLICATED = "deduplicated"  # none within the scope and the window in which workers drop repeats
    ONCE_ONLY = "once-only"  # harmful: the activation must not run twice


class Scope(StrEnum):
    """The group of workers that drops repeats of a deduplicated activation."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class CopyNote(IntEnum):
    """The state of the copy that ran an activation, as a completed answer reports it."""

    NOTHING = 0
    FOUND_WARM = 1  # the copy was already loaded
    BEGAN_LOAD = 2  # this attempt started the load of the copy
    AWAITED_LOAD = 3  # the attempt waited for a load in progress
    LOAD_FAILED = 4


class NamespaceType(NamedTuple):
    """The rules for the activations of one namespace type."""

    target_latency: int  # ns from arrival to answer
    effect: Effect
    scope: Scope  # for a deduplicated activation: the workers that drop its repeats
    window: int  # ns for which these workers remember a deduplicated activation
    stretch: float = 0.0  # the share of an activation's work hint that is added to its target latency
    timeout: int = 0  # ns, the action timeout, which limits the extended target latency; 0: not known


class Guarantees(NamedTuple):
    """The guarantees of the platform about workers, and its requirement on endpoint list requests."""

    max_list_request_interval: int  # ns; applies only with `Terms.must_request_list`
    warm_up_time: int  # ns from a worker's start until it is warm
    initial_capacity_share: float  # the share of its capacity that a worker has at its start, 0 to 1
    crash_load_multiple: float  # a cold worker crashes if it is sent this multiple of its capacity
    slow_start_window: int  # ns of the window over which the load of a cold worker is counted


class LoadOrders(NamedTuple):
    """The rules for load orders, and their rate limit."""

    allowed: bool
    loads_on_send: bool  # a worker without a copy loads one by itself when an activation arrives
    min_idle_time: int  # ns for which an idle copy stays loaded, at least
    base_orders: float  # the base rate limit: load orders per period
    orders_per_activation: float  # load orders added to the limit per activation taken in the period
    period: int  # ns; 0: there is no rate limit


class Allowed(NamedTuple):
    """The permissions of the platform for attempts and answers."""

    sends: int  # attempts of one activation, at most
    overlap: bool  # two attempts of one activation may be in flight at the same time
    cancel: bool  # an attempt may be cancelled
    probe: bool  # a worker may be asked for a load report
    retry_after: bool  # a rejection may carry a Retry-After
    max_retry_after: int  # ns, the longest Retry-After


class Terms(NamedTuple):
    """The configuration of the decision module, fixed at its start."""

    zone: str  # the zone of this dispatcher
    dispatchers: int  # the number of dispatchers that share the workers
    types: dict[str, NamespaceType]
    quotas: dict[str, float]  # by customer: activations per second, over all dispatchers together
    guarantees: Guarantees
    orders: LoadOrders
    allowed: Allowed
    must_request_list: bool  # the endpoint list must be requested; it is not pushed
    reports_by_probe: bool  # workers send load reports only on a health check
    tick: int  # ns, the shortest timer delay
    health_check_cost: float = 0.0  # share of the total utility that one health check per activation costs
    over_quota_utility: float = 0.0  # fraction of the usual utility for an activation over its quota


class EndpointEntry(NamedTuple):
    """One worker in the endpoint list."""

    worker: str
    zone: str
    cell: int
    booted: int  # ns, the start time of the worker; 0: long ago
    usable: bool  # False: the worker is draining or gone


class Arrival(NamedTuple):
    """An admitted activation that waits for its first attempt."""

    activation_id: str
    function: str
    type_name: str  # a key of `Terms.types`
    customer: str
    due: int  # ns on the caller's clock, the deadline for its final answer
    slots: int  # activations that one copy of its function runs concurrently
    work_hint: int  # ns, its expected computing time; 0: not known
    load_time: int  # ns, the time to load a copy of its function; 0: not known


class AttemptEnd(NamedTuple):
    """The end of one attempt of an activation."""

    activation_id: str
    attempt: int  # the attempt's number, from 0 for each activation
    worker: str
    reason: EndReason
    note: int  # a `CopyNote`
    is_final: bool  # the activation has its final answer, from this attempt or otherwise
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
