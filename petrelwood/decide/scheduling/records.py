"""What the scheduler knows of workers, copies of functions, activations and attempts.

Times are whole nanoseconds on the caller's clock. Which worker has a copy of which function, and in what
state, is belief: it is learnt from answers, and other dispatchers change it too.
"""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from zlib import crc32

from petrelwood import ports
from petrelwood.decide.scheduling.send_limit import SendLimit

LONG_TIME = 1 << 50  # ns, some 13 days: longer than any span that is compared with it
NEVER = LONG_TIME << 12  # ns: a time that does not come

AttemptKey = tuple[str, int]
"""An activation's id and the number of its attempt."""


class LoadCredit(Enum):
    """Whether an activation counts for the rate limit of load orders, which is a part of the activations."""

    NONE = "none"  # it does not, or no longer
    PENDING = "pending"  # it will unless its client departs soon
    COUNTED = "counted"


@dataclass(slots=True, eq=False)
class Worker:
    """A worker, and what is believed of its load and health.

    Attributes:
        id: its name in the endpoint list.
        zone: its zone in the endpoint list.
        cell: its cell in the endpoint list.
        booted: when it started, ns; 0: long ago.
        is_usable: the endpoint list has it and it does not drain.
        first_seen: when this dispatcher heard of it, ns.
        hash: a hash of the id: its place in each function's order of workers.
        preference: sorts the workers where any of several may begin: those of the own zone first.
        in_flight: attempts that it has not answered, oldest first.
        lost: attempts whose answers are believed lost, as far newer ones were answered before them.
        send_limit: limit of attempts in flight here, against crowding.
        answered_at: when it last answered anything, ns.
        newest_answered_sent_at: when the newest attempt left that it has answered, ns.
        is_unresponsive: it has attempts in flight and answers none: nothing is sent to it.
        unresponsive_periods: how often in a row it was unresponsive (at most 4).
        ejected_until: nothing is sent to it before this time, ns.
        cold_attempts: attempts in flight that wait for a load here.
        loads_refused_until: it rejected a load order as it has too many; it gets none before this time, ns.
        relative_latency: how long it takes for an answer in proportion to the usual; 1.0 is usual.
        reported_load: its load by its last report, in activations or cores; None: it has reported none.
        in_flight_at_report: how many attempts were in flight when its load was last learnt.
        load_known_at: when its load was last learnt, ns.
        health_checked_at: when the last health check was sent to it, ns.
        slow_start_step: number of the step of its slow start for which the budget was computed.
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
    load_known_at: int = field(init=False)
    health_checked_at: int = field(init=False)
    slow_start_step: int = -1
    slow_start_budget: int = 0

    def __post_init__(self) -> None:
        self.hash = crc32(self.id.encode())
        self.answered_at = self.first_seen
        self.load_known_at = self.first_seen - LONG_TIME
        self.health_checked_at = self.first_seen - LONG_TIME

    def reset(self) -> None:
        """Forget what was believed of the process there, as it has restarted."""
        self.send_limit = SendLimit()
        self.ejected_until = 0
        self.is_unresponsive = False
        self.relative_latency = 1.0

    def is_in_group_of(self, other: "Worker", scope: ports.Scope) -> bool:
        """Return whether both are in one zone, or in one cell: a group that drops repeats together."""
        if scope == ports.Scope.ZONE:
            return self.zone == other.zone
        return self.cell == other.cell


@dataclass(slots=True, eq=False)
class Copy:
    """What is believed of a function's copy on one worker.

    Attributes:
        worker: where it is.
        last_seen: when it was last used or known to be there, ns.
        renewed_at: when a load was last ordered only to keep it, ns.
        in_flight: attempts of its function in flight there.
        loading_since: when its load began, ns; 0: it is loaded.
        errors: failed attempts since the last that completed.
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

    An activation that leaves its queue is only marked (`Activation.is_queued`), and skipped when its turn
    comes, so that no event walks over a whole queue.

    Attributes:
        key: its name.
        slots: activations that one copy runs at a time.
        load_time: time that loading a copy takes, ns; 0: not known yet.
        called_at: when it was last called, ns.
        recent_calls: how many of the dispatcher's last activations were its own.
        queue: queued activations, oldest first.
        low_priority_queue: those of them that are late, or beyond their customer's share.
        queued: how many of both are queued still.
        expiries: a heap of (time in ns, activation): when to check whether to give up a queued activation.
        copies: its copies by the worker's id.
        service_time: its usual time for an answer, ns; 0: not known yet.
        placement_paused_until: no copy is added before this time, ns.
        copy_added_at: when a copy was last added, ns.
        missed_at: when a worker last answered that it has no copy, ns.
        wants_copy: even the least loaded worker with a copy is busier than others.
        exists: a worker has answered that it knows the function.
        hash: a hash of the key: it decides on the order of workers.
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
        """Return the activation that is queued longest; there must be one."""
        for queue in (self.low_priority_queue, self.queue):
            while queue and not queue[0].is_queued:
                queue.popleft()
        return self.low_priority_queue[0] if self.low_priority_queue else self.queue[0]

    def newest_queued(self) -> "Activation":
        """Return the activation that was queued last; there must be one."""
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
        id: as the caller gave it.
        function: what it calls.
        type: the rules that hold for it.
        due: by when it must have its final answer, ns.
        arrived_at: when the scheduler was given it, ns.
        work: its work hint, the time that it is expected to compute, ns; 0: not known.
        slots: activations of its function that one copy runs at a time.
        target_latency: the time from its arrival in which it should be answered, ns.
        attempts: all its attempts, in their order.
        in_flight: how many of them have not ended.
        first_attempt: the first of them; None before it, and again once all are proved never to have run.
        full_workers: workers that have answered that they are full.
        is_queued: it waits for a free slot.
        is_over_quota: its customer has more activations here than its share.
        load_credit: whether it counts for the rate limit of load orders.
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
        """Order activations that expire at the same time: any order will do."""
        return False


@dataclass(slots=True, eq=False)
class Attempt:
    """One send of an activation to a worker.

    Attributes:
        activation: what was sent.
        number: which of the activation's attempts it is, from 0.
        worker: where it went.
        copy: the copy that it is to run on.
        sent_at: when it left, ns.
        is_cold: the copy was not loaded when it left.
        ahead: attempts of ours that were in flight at the worker when it left.
        is_in_flight: it has not ended.
        may_have_run: nothing proves that it did not run.
    """

    activation: Activation
    number: int
    worker: Worker
    copy: Copy
    sent_at: int
    is_cold: bool
    ahead: int
    is_in_flight: bool = True
    may_have_run: bool = True
