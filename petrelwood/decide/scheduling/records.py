"""The scheduler's records of workers, copies of functions, activations and attempts.

Times are integer nanoseconds on the caller's clock. Which worker has a copy of which function, and in what
state, is an assumption: it is derived from answers, and other dispatchers change it as well.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from zlib import crc32

from petrelwood import ports
from petrelwood.decide.scheduling.send_limit import SendLimit

LONG_TIME = 1 << 50  # ns, about 13 days: longer than any duration that is compared with it
NEVER = LONG_TIME << 12  # ns: a time that is never reached

AttemptKey = tuple[str, int]
"""The id of an activation and the number of one of its attempts."""


class LoadCredit(Enum):
    """Whether an activation raises the rate limit of load orders, which grows with the activations."""

    NONE = "none"  # it does not count, or no longer counts
    PENDING = "pending"  # it will count unless its client departs within a delay
    COUNTED = "counted"


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, and the estimates of its load and health.

    Attributes:
        id: its name in the endpoint list.
        zone: its zone in the endpoint list.
        cell: its cell in the endpoint list.
        booted: when it started, ns; 0: long ago.
        is_usable: it is in the endpoint list and is not draining.
        first_seen: when this dispatcher first saw it in the endpoint list, ns.
        hash: a hash of the id, which determines its position in each function's order of workers.
        preference: sort key of the first workers in a function's order: those of the dispatcher's zone come
            first, the others follow in an order that is this dispatcher's own.
        in_flight: attempts that it has not answered, in the order of their sends.
        lost: attempts whose answers are assumed lost, because much newer attempts were answered first.
        send_limit: limit of the attempts in flight at it, against overload.
        answered_at: time of its last answer of any kind, ns.
        newest_answered_sent_at: send time of the newest attempt that it has answered, ns.
        is_unresponsive: it has attempts in flight and answers none of them; nothing is sent to it.
        unresponsive_periods: consecutive periods in which it was unresponsive (at most 4).
        ejected_until: nothing is sent to it before this time, ns.
        cold_attempts: attempts in flight that wait for a copy to load on it.
        loads_refused_until: it gets no load order before this time, ns, as it rejected one for having too
            many loads.
        relative_latency: ratio of its response times to the expected ones; 1.0 is usual.
        reported_load: the load in its last report, in activations or cores; None: it has reported none.
        in_flight_at_report: attempts in flight at it at its last load report.
        load_updated_at: when its load was last updated, by an answer or a load report, ns.
        health_checked_at: when the last health check was sent to it, ns.
        slow_start_step: index of the slow start step for which the budget was computed.
        slow_start_budget: attempts that may still be sent to it in that step.
    """

    id: str
    zone: str
    cell: int
    booted: int
    is_usable: bool
    first_seen: int
    hash: int = field(init=False)
    preference: tuple[bool, int] = (False, 0)
    in_flight: dict[AttemptKey, "Attempt"] = field(default_factory=dict)
    lost: dict[AttemptKey, "Attempt"] = field(default_factory=dict)
    send_limit: SendLimit = field(default_factory=SendLimit)
    answered_at: int = field(init=False)
    newest_answered_sent_at: int = 0
    is_unresponsive: bool = False
    unresponsive_periods: int = 0
    ejected_until: int = 0
    cold_attempts: int = 0
    loads_refused_until: int = 0
    relative_latency: float = 1.0
    reported_load: float | None = None
    in_flight_at_report: int = 0
    load_updated_at: int = field(init=False)
    health_checked_at: int = field(init=False)
    slow_start_step: int = -1
    slow_start_budget: int = 0

    def __post_init__(self) -> None:
        self.hash = crc32(self.id.encode())
        self.answered_at = self.first_seen
        self.load_updated_at = self.first_seen - LONG_TIME
        self.health_checked_at = self.first_seen - LONG_TIME

    def reset(self) -> None:
        """Reset what was learnt about the previous process, as the worker has restarted."""
        self.send_limit = SendLimit()
        self.ejected_until = 0
        self.is_unresponsive = False
        self.relative_latency = 1.0

    def is_in_group_of(self, other: "Worker", scope: ports.Scope) -> bool:
        """Return whether both are in the same group for dropping repeats: the same zone, or the same cell."""
        if scope == ports.Scope.ZONE:
            return self.zone == other.zone
        return self.cell == other.cell


@dataclass(slots=True, eq=False)
class Copy:
    """The assumed state of a function's copy on one worker.

    Attributes:
        worker: the worker that has it.
        last_seen: when it was last used or known to exist, ns.
        renewed_at: when a load was last ordered only to keep it from being unloaded, ns.
        in_flight: attempts in flight that are to run on it.
        loading_since: when its load began, ns; 0: it is loaded.
        errors: failed attempts since the last completed one.
        backoff_until: nothing is sent to it before this time, ns.
    """

    worker: Worker
    last_seen: int
    renewed_at: int
    in_flight: int = 0
    loading_since: int = 0
    errors: int = 0
    backoff_until: int = 0


@dataclass(slots=True, eq=False)
class Function:
    """A function, its copies and its queued activations.

    An activation that leaves its queue is only marked (`Activation.is_queued`) and is skipped when it reaches
    an end of the queue, so that no event scans a whole queue.

    Attributes:
        key: its name.
        slots: activations that one copy runs concurrently.
        load_time: time that loading a copy takes, ns; 0: not known yet.
        called_at: when it was last called, ns.
        recent_calls: number of its calls among the last calls of the dispatcher (`Popularity.recent`).
        queue: queued activations, oldest first.
        low_priority_queue: queued activations that are late or over their customer's quota.
        queued: number of activations in both queues that are still queued.
        expiries: a heap of (time in ns, activation): the times at which the scheduler checks whether to give
            up an activation that is still queued.
        copies: its copies by worker id.
        service_time: its usual response time on a loaded copy, ns; 0: not known yet.
        placement_paused_until: no copy is added before this time, ns.
        copy_added_at: when a copy was last added, ns.
        missed_at: when a worker last answered that it has no copy, ns.
        wants_copy: another copy is wanted, because a worker was full or all workers with a copy are busier
            than the mean.
        exists: an answer of a worker has shown that the function exists.
        hash: a hash of the key, which determines its order of workers.
    """

    key: str
    slots: int = 1
    load_time: int = 0
    called_at: int = 0
    recent_calls: int = 0
    queue: deque["Activation"] = field(default_factory=deque)
    low_priority_queue: deque["Activation"] = field(default_factory=deque)
    queued: int = 0
    expiries: list[tuple[int, "Activation"]] = field(default_factory=list)
    copies: dict[str, Copy] = field(default_factory=dict)
    service_time: int = 0
    placement_paused_until: int = 0
    copy_added_at: int = -LONG_TIME
    missed_at: int = -LONG_TIME
    wants_copy: bool = False
    exists: bool = False
    hash: int = field(init=False)

    def __post_init__(self) -> None:
        self.hash = crc32(f"{self.key}".encode())

    def oldest_queued(self) -> "Activation":
        """Return the activation that has been queued longest; one must be queued."""
        for queue in (self.low_priority_queue, self.queue):
            while queue and not queue[0].is_queued:
                queue.popleft()
        return self.low_priority_queue[0] if self.low_priority_queue else self.queue[0]

    def newest_queued(self) -> "Activation":
        """Return the activation that was queued last; one must be queued."""
        for queue in (self.queue, self.low_priority_queue):
            while queue and not queue[-1].is_queued:
                queue.pop()
        return self.queue[-1] if self.queue else self.low_priority_queue[-1]

    def dequeue(self, activation: "Activation") -> None:
        """Mark the activation as not queued, if it is."""
        self.queued -= activation.is_queued
        activation.is_queued = False


@dataclass(slots=True, eq=False)
class Activation:
    """An activation without a final answer.

    Attributes:
        id: the id that the caller gave it.
        function: the function that it calls.
        type: the rules of its namespace type.
        due: the deadline for its final answer, ns.
        arrived_at: when it arrived at the scheduler, ns.
        work: its work hint, the expected computing time, ns; 0: not known.
        slots: activations of its function that one copy runs concurrently.
        target_latency: time from its arrival within which it should be answered, ns.
        attempts: all its attempts, in order.
        in_flight: number of attempts that have not ended.
        first_attempt: its first attempt; None before it, and again once it is proved that no attempt has run.
        full_workers: workers that rejected it because they were full.
        is_queued: it waits for a free slot.
        is_over_quota: its customer was over its quota at this dispatcher when it arrived.
        load_credit: whether it raises the rate limit of load orders.
    """

    id: str
    function: Function
    type: ports.NamespaceType
    due: int
    arrived_at: int
    work: int
    slots: int
    target_latency: int
    attempts: list["Attempt"] = field(default_factory=list)
    in_flight: int = 0
    first_attempt: "Attempt | None" = None
    full_workers: tuple[Worker, ...] = ()
    is_queued: bool = False
    is_over_quota: bool = False
    load_credit: LoadCredit = LoadCredit.NONE

    def __lt__(self, other: "Activation") -> bool:
        """Break the tie of activations that expire at the same time; their order does not matter."""
        return False


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of an activation to a worker.

    Attributes:
        activation: the activation that was sent.
        number: its index among the activation's attempts, from 0.
        worker: the worker that it was sent to.
        copy: the copy that it is to run on.
        sent_at: when it was sent, ns.
        booted: when the process of the worker started for which it was decided, ns; 0: long ago.
        is_cold: the copy was not loaded when it was sent.
        ahead: this dispatcher's attempts that were in flight at the worker when it was sent.
        is_in_flight: it has not ended.
        may_have_run: nothing has proved that it did not run.
    """

    activation: Activation
    number: int
    worker: Worker
    copy: Copy
    sent_at: int
    booted: int
    is_cold: bool
    ahead: int
    is_in_flight: bool = True
    may_have_run: bool = True
