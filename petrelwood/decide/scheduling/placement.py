"""Placement: which copy runs an activation, and on which worker a function gets another copy.

A copy is added to the records here; what it needs, an attempt or a load order, is carried out by `queueing`
and `actions`.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import islice

from petrelwood.decide.scheduling.estimates import Estimates
from petrelwood.decide.scheduling.load_order_limit import LoadOrderLimit
from petrelwood.decide.scheduling.outlier_detection import OutlierDetection
from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import Activation, Attempt, Copy, Function, Worker
from petrelwood.decide.scheduling.send_rules import SendRules
from petrelwood.decide.scheduling.worker_order import WorkerOrder
from petrelwood.ports import CopyNote, EndReason

# Loads within this factor count as equal, so that dispatchers agree on workers; beyond it a copy is added.
EQUAL_LOADS = 1.5
# The same while a function has fewer copies than all dispatchers want.
EQUAL_LOADS_WHILE_FEW = 1
# Part of the target latency for which a function gets no copy after no worker for one was found.
PLACEMENT_PAUSE = 1 / 6
CANDIDATES = 2  # the less loaded of two is nearly as good as the least loaded of all
MOST_COLD_ATTEMPTS = 2  # that wait for loads at one worker: loads there get in each other's way
# Most copies of one function, so that it can't take all workers: this part of the usable ones, or so many.
COPY_LIMIT_PART = 0.5
FEWEST_COPIES = 4
PREFETCH_PART = 0.5  # of the rate limit of load orders, that loads ahead of calls may use
REFUSED_LOADS_DIVISOR = 2  # of the target latency: how long a worker with too many loads is given none
# Load times after which a copy that still loads is forgotten, or the time that copies are kept if longer.
LOAD_TIMEOUT = 3
RENEWAL_PART = 3, 4  # of the time that idle copies are kept, after which a load is ordered to keep one
MOST_BACKOFF_DOUBLINGS = 6  # of a copy's backoff, which begins at its service time
# Ends of an attempt that show that its worker has no copy.
COPY_UNLOADED = frozenset((EndReason.MISSING, EndReason.RESET, EndReason.NO_CONNECTION))


class CopyStart(Enum):
    """How a copy begins."""

    LOAD_ORDER = "load order"
    ATTEMPT = "attempt"  # the worker loads by itself, or another dispatcher's copy is there


@dataclass(slots=True, frozen=True)
class Candidates:
    """Where a function may get a copy.

    Attributes:
        workers: one or two workers, in the function's order.
        start: how the copy is to begin.
    """

    workers: list[Worker]
    start: CopyStart


class Placement:
    """Chooses copies and workers, and keeps the records of copies."""

    def __init__(
        self,
        parameters: Parameters,
        functions: dict[str, Function],
        estimates: Estimates,
        outliers: OutlierDetection,
        load_orders: LoadOrderLimit,
        rules: SendRules,
        order: WorkerOrder,
    ) -> None:
        terms = parameters.terms
        self.load_terms = terms.orders
        self.zone = terms.zone
        self.dispatchers = terms.dispatchers
        self.may_retry = terms.allowed.sends > 1
        self.draw = parameters.draw
        self.target_latency = parameters.target_latency
        self.placement_pause = int(parameters.target_latency * PLACEMENT_PAUSE)
        self.functions = functions
        self.estimates = estimates
        self.outliers = outliers
        self.load_orders = load_orders
        self.rules = rules
        self.order = order

    def find_free_copy(self, function: Function, activation: Activation, now: int) -> Copy | None:
        """Return the copy with a free slot on the least loaded worker, or None.

        Forgets copies that were idle for too long, and sets whether the function wants a further copy, as
        even that worker is busier than the mean.
        """
        best: Copy | None = None
        best_load: float = 0
        if not self.outliers.is_send_limit_reached():
            oldest = now - self.load_terms.min_idle_time
            for copy in list(function.copies.values()):
                worker = copy.worker
                if copy.last_seen < oldest and not copy.in_flight and not copy.loading_since:
                    del function.copies[worker.id]  # idle for so long that the worker may have dropped it
                elif self._may_run(copy, activation, now):
                    load = self.estimates.worker_load(worker, now) + (worker.zone != self.zone)
                    if best is None or load < best_load:
                        best = copy
                        best_load = load
        has_few = len(function.copies) < self.order.popularity.wanted_copies(function)
        tolerance = EQUAL_LOADS_WHILE_FEW if has_few else EQUAL_LOADS
        function.wants_copy = best_load > tolerance * self.estimates.mean_worker_load + 1
        return best

    def useful_copies(self, function: Function, now: int) -> list[Copy]:
        """Return the function's copies that will run queued activations, at once or after a while."""
        return self.outliers.useful_copies(function.copies.values(), now)

    def copy_limit(self) -> int:
        """Return how many copies a function may get."""
        return max(FEWEST_COPIES, int(COPY_LIMIT_PART * len(self.order.fleet.usable)))

    def may_add_further_copy(self, now: int) -> bool:
        """Return whether a function that has a copy may get another."""
        return self.load_orders.may_add_further_copy(now, len(self.order.fleet.usable))

    def find_candidates(
        self, function: Function, activation: Activation | None, now: int
    ) -> Candidates | None:
        """Return where the function may get one more copy, or None, which pauses its placement.

        `activation` is what would run there first, if anything is queued.
        """
        start = self._copy_start(function, activation, now)
        if start is CopyStart.ATTEMPT:
            is_allowed = not self.outliers.is_send_limit_reached()
        else:
            is_allowed = self.load_orders.may_order(now)
        workers = self.first_open_workers(function, activation, now) if is_allowed else []
        if not workers:
            function.placement_paused_until = now + self.placement_pause
            return None
        return Candidates(workers, start)

    def add_copy(self, function: Function, candidates: Candidates, now: int) -> Copy:
        """Add a copy on the less loaded of the candidates and return it; it is still to be begun."""
        first = candidates.workers[0]
        last = candidates.workers[-1]
        worker_load = self.estimates.worker_load
        worker = last if EQUAL_LOADS * worker_load(last, now) < worker_load(first, now) else first
        copy = Copy(worker, last_seen=now, renewed_at=now)
        if function.copies:
            self.load_orders.record_further_copy(copy, function, now)
        function.copies[worker.id] = copy
        function.copy_added_at = now
        if candidates.start is CopyStart.LOAD_ORDER or self.load_terms.loads_on_send:
            copy.loading_since = max(1, now)
        return copy

    def prefetch(self, function: Function, now: int) -> Worker | None:
        """Add a loading copy ahead of calls on the less loaded candidate and return its worker, or None."""
        if now < max(function.placement_paused_until, self.load_orders.no_further_copies_until):
            return None
        if not self.load_orders.may_order(now, PREFETCH_PART):
            return None
        workers = self.first_open_workers(function, None, now)
        if not workers:
            return None
        worker = min(workers, key=lambda each: self.estimates.worker_load(each, now))
        copy = Copy(worker, last_seen=now, renewed_at=now, loading_since=max(1, now))
        function.copies[worker.id] = copy
        return worker

    def forget_copies(self, worker: Worker) -> None:
        """Forget all copies on a worker."""
        for function in self.functions.values():
            function.copies.pop(worker.id, None)

    def record_completion(self, attempt: Attempt, now: int) -> None:
        """Record that a copy has answered, so that it is loaded."""
        copy = attempt.copy
        worker = attempt.worker
        if worker.is_usable:
            copy = attempt.activation.function.copies.setdefault(worker.id, copy)
        copy.loading_since = 0
        copy.last_seen = now
        copy.errors = 0

    def record_failure(self, attempt: Attempt, reason: EndReason, note: int, now: int) -> None:
        """Forget the copy of a failed attempt if it is not loaded, and back off from it.

        The backoff doubles with each failure in a row: a copy that fails fast has free slots, and would be
        sent the whole queue.
        """
        copy = attempt.copy
        function = attempt.activation.function
        # A worker that was full while the copy was to load has not begun the load.
        is_unloaded = reason in COPY_UNLOADED or (reason == EndReason.FULL and copy.loading_since != 0)
        if is_unloaded or note == CopyNote.LOAD_FAILED:
            copy.loading_since = 0
            if function.copies.get(attempt.worker.id) is copy:
                del function.copies[attempt.worker.id]
        if note == CopyNote.LOAD_FAILED:
            self.load_orders.load_failed(function, now)
        if reason == EndReason.MISSING:
            function.missed_at = now
            return
        backoff = function.service_time or self.estimates.usual_service_time
        copy.backoff_until = now + (backoff << min(copy.errors, MOST_BACKOFF_DOUBLINGS))
        copy.errors += 1

    def load_order_ended(
        self, function: Function, worker: Worker, reason: EndReason, copies: int, now: int
    ) -> None:
        """Record the end of a load order; `copies` of the function are on the worker now."""
        copy = function.copies.get(worker.id)
        if copies and worker.is_usable:
            if copy is None:
                copy = function.copies[worker.id] = Copy(worker, last_seen=now, renewed_at=now)
            if not function.load_time and copy.loading_since:
                function.load_time = now - copy.loading_since
            copy.loading_since = 0
            copy.last_seen = now
        elif copy and copy.loading_since:
            del function.copies[worker.id]
            copy.loading_since = 0
            if reason in (EndReason.FULL, EndReason.NOT_SENT):  # too many loads there, or it never left
                worker.loads_refused_until = now + self.target_latency // REFUSED_LOADS_DIVISOR
                function.placement_paused_until = now + self.placement_pause
            else:
                self.load_orders.load_failed(function, now)

    def renewals(self, now: int) -> Iterator[tuple[Function, Worker]]:
        """Forget copies and functions that are not used, and yield copies to load once more.

        An idle copy of a function that is still called is renewed by a load order. Each dispatcher draws, so
        that one in all orders it. The caller gives each order before it takes the next.
        """
        keep = self.load_terms.min_idle_time
        for function in list(self.functions.values()):
            for copy in list(function.copies.values()):
                if self._is_unused(copy, function, now):
                    del function.copies[copy.worker.id]
                elif self._needs_renewal(copy, function, now):
                    copy.renewed_at = now
                    if self.draw() * self.dispatchers < 1 and self.outliers.accepts(copy.worker, now):
                        yield function, copy.worker
            is_idle = not function.queued and not function.recent_calls and now - function.called_at > keep
            if is_idle and not function.copies:
                del self.functions[function.key]

    def _may_run(self, copy: Copy, activation: Activation, now: int) -> bool:
        """Return whether the copy has a free slot for the activation."""
        return (
            copy.in_flight < activation.slots
            and now >= copy.backoff_until
            and self.outliers.accepts(copy.worker, now)
            and (not copy.loading_since or self.load_terms.loads_on_send)
            and self.rules.may_run_on(activation, copy.worker)
        )

    def _copy_start(self, function: Function, activation: Activation | None, now: int) -> CopyStart:
        """Return how a further copy of the function begins."""
        loads_on_send = self.load_terms.loads_on_send
        if not function.copies:
            # Another dispatcher's copy may be there; if not, the miss uses up an attempt.
            may_miss = now - function.missed_at > self.load_terms.min_idle_time and self.may_retry
            if loads_on_send or may_miss:
                return CopyStart.ATTEMPT
        if activation is not None and loads_on_send and not self.load_terms.allowed:
            return CopyStart.ATTEMPT  # nothing else brings one
        return CopyStart.LOAD_ORDER

    def first_open_workers(self, function: Function, activation: Activation | None, now: int) -> list[Worker]:
        """Return the first workers in the function's order that may get a copy, two at most."""
        rules = self.rules
        open_workers = (
            worker
            for worker in self.order.workers_for(function)
            if worker.id not in function.copies
            and worker.cold_attempts < MOST_COLD_ATTEMPTS
            and now >= worker.loads_refused_until
            and self.outliers.accepts(worker, now)
            and (
                activation is None
                or (rules.may_run_on(activation, worker) and worker not in activation.full_workers)
            )
        )
        return list(islice(open_workers, CANDIDATES))

    def _is_unused(self, copy: Copy, function: Function, now: int) -> bool:
        """Return whether the copy was idle for longer than it is kept, or than its load can take."""
        longest_load = LOAD_TIMEOUT * function.load_time if copy.loading_since else 0
        idle_since = max(copy.last_seen, copy.loading_since)
        return not copy.in_flight and now - idle_since > max(self.load_terms.min_idle_time, longest_load)

    def _needs_renewal(self, copy: Copy, function: Function, now: int) -> bool:
        """Return whether the copy would soon be dropped while its function is called now and then."""
        keep = self.load_terms.min_idle_time
        part, whole = RENEWAL_PART
        return (
            not copy.in_flight
            and not copy.loading_since
            and now - copy.last_seen > keep * part // whole
            and now - function.called_at < keep < now - copy.renewed_at
        )
