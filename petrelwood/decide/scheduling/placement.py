"""Placement: which copy runs an activation, and on which worker a function gets another copy.

This module adds a copy to the records; `queueing` and `actions` send the attempt or the load order that
starts it.
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

# Worker loads within this factor count as equal, so that all dispatchers choose the same workers. If the
# least loaded worker with a copy exceeds the mean load by more than this factor, a copy is added.
EQUAL_LOAD_FACTOR = 1.5
# The factor above the mean load while the function has fewer copies than the dispatchers want.
EQUAL_LOAD_FACTOR_WHILE_FEW = 1
# Share of the target latency for which a function gets no copy after no worker was found for one.
PLACEMENT_PAUSE_SHARE = 1 / 6
MAX_CANDIDATES = 2  # the less loaded of two workers is nearly as good as the least loaded of all
# Attempts that may wait for loads at one worker at the same time, because concurrent loads slow each other
# down.
MAX_COLD_ATTEMPTS = 2
# Maximum number of copies of one function: this share of the usable workers, so that the function cannot take
# all of them, but at least `MIN_COPY_LIMIT`.
COPY_LIMIT_SHARE = 0.5
MIN_COPY_LIMIT = 4
PREFETCH_SHARE = 0.5  # share of the rate limit of load orders that loads ahead of calls may use
# A worker that rejected a load order for having too many loads gets none for the target latency divided by
# this.
REFUSED_LOADS_DIVISOR = 2
# A copy that is still loading is forgotten after this multiple of its load time, or after
# `LoadOrders.min_idle_time` if that is longer.
LOAD_TIMEOUT_FACTOR = 3
# Numerator and denominator of the fraction of `LoadOrders.min_idle_time` after which a load is ordered to
# keep an idle copy.
RENEWAL_FRACTION = 3, 4
MAX_BACKOFF_DOUBLINGS = 6  # doublings of a copy's backoff, which begins at its service time
# Reasons for the end of an attempt which show that its worker has no copy.
NO_COPY_REASONS = frozenset((EndReason.MISSING, EndReason.RESET, EndReason.NO_CONNECTION))


class CopyStart(Enum):
    """How a copy is started."""

    LOAD_ORDER = "load order"
    ATTEMPT = "attempt"  # the worker loads the copy by itself, or already has one for another dispatcher


@dataclass(slots=True, frozen=True)
class Candidates:
    """The workers on which a function may get a copy.

    Attributes:
        workers: one or two workers, in the function's order.
        start: how the copy is to be started.
    """

    workers: list[Worker]
    start: CopyStart


class Placement:
    """Chooses copies and workers, and maintains the records of copies."""

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
        self.placement_pause = int(parameters.target_latency * PLACEMENT_PAUSE_SHARE)
        self.functions = functions
        self.estimates = estimates
        self.outliers = outliers
        self.load_orders = load_orders
        self.rules = rules
        self.order = order

    def find_free_copy(self, function: Function, activation: Activation, now: int) -> Copy | None:
        """Return the copy with a free slot on the least loaded worker, or None.

        Forgets copies that were idle for too long. Sets whether the function wants a further copy, which is
        the case if even that worker is busier than the mean.
        """
        best: Copy | None = None
        best_load: float = 0
        if not self.outliers.is_send_limit_reached():
            oldest = now - self.load_terms.min_idle_time
            for copy in list(function.copies.values()):
                worker = copy.worker
                if copy.last_seen < oldest and not copy.in_flight and not copy.loading_since:
                    del function.copies[worker.id]  # the worker may have unloaded the idle copy
                elif self._may_run(copy, activation, now):
                    load = self.estimates.worker_load(worker, now) + (worker.zone != self.zone)
                    if best is None or load < best_load:
                        best = copy
                        best_load = load
        has_few = len(function.copies) < self.order.popularity.wanted_copies(function)
        tolerance = EQUAL_LOAD_FACTOR_WHILE_FEW if has_few else EQUAL_LOAD_FACTOR
        function.wants_copy = best_load > tolerance * self.estimates.mean_worker_load + 1
        return best

    def useful_copies(self, function: Function, now: int) -> list[Copy]:
        """Return the function's copies that will run queued activations, now or later."""
        return self.outliers.useful_copies(function.copies.values(), now)

    def copy_limit(self) -> int:
        """Return the maximum number of copies of a function."""
        return max(MIN_COPY_LIMIT, int(COPY_LIMIT_SHARE * len(self.order.fleet.usable)))

    def may_add_further_copy(self, now: int) -> bool:
        """Return whether a function that has a copy may get another."""
        return self.load_orders.may_add_further_copy(now, len(self.order.fleet.usable))

    def find_candidates(
        self, function: Function, activation: Activation | None, now: int
    ) -> Candidates | None:
        """Return where the function may get one more copy, or pause its placement and return None.

        `activation` is the queued activation that would run there first, if there is one.
        """
        start = self._copy_start(function, activation, now)
        if start is CopyStart.ATTEMPT:
            is_allowed = not self.outliers.is_send_limit_reached()
        else:
            is_allowed = self.load_orders.may_order(now)
        workers = self.first_eligible_workers(function, activation, now) if is_allowed else []
        if not workers:
            function.placement_paused_until = now + self.placement_pause
            return None
        return Candidates(workers, start)

    def add_copy(self, function: Function, candidates: Candidates, now: int) -> Copy:
        """Add a copy on the less loaded of the candidates and return it; the caller starts it."""
        first = candidates.workers[0]
        last = candidates.workers[-1]
        worker_load = self.estimates.worker_load
        worker = last if EQUAL_LOAD_FACTOR * worker_load(last, now) < worker_load(first, now) else first
        copy = Copy(worker, last_seen=now, renewed_at=now)
        if function.copies:
            self.load_orders.record_further_copy(copy, function, now)
        function.copies[worker.id] = copy
        function.copy_added_at = now
        if candidates.start is CopyStart.LOAD_ORDER or self.load_terms.loads_on_send:
            copy.loading_since = max(1, now)
        return copy

    def prefetch(self, function: Function, now: int) -> Worker | None:
        """Add a copy that loads ahead of calls on the less loaded candidate; return its worker, or None."""
        if now < max(function.placement_paused_until, self.load_orders.no_further_copies_until):
            return None
        if not self.load_orders.may_order(now, PREFETCH_SHARE):
            return None
        workers = self.first_eligible_workers(function, None, now)
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
        """Record that a copy has answered and is therefore loaded."""
        copy = attempt.copy
        worker = attempt.worker
        if worker.is_usable:
            copy = attempt.activation.function.copies.setdefault(worker.id, copy)
        copy.loading_since = 0
        copy.last_seen = now
        copy.errors = 0

    def record_failure(self, attempt: Attempt, reason: EndReason, note: int, now: int) -> None:
        """Forget the copy of a failed attempt if it is not loaded, else back off from the copy.

        The backoff doubles with each consecutive failure, because a copy that fails fast always has free
        slots and would be sent the whole queue.
        """
        copy = attempt.copy
        function = attempt.activation.function
        # A worker that rejected the attempt as full has not started to load the copy.
        is_unloaded = reason in NO_COPY_REASONS or (reason == EndReason.FULL and copy.loading_since != 0)
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
        copy.backoff_until = now + (backoff << min(copy.errors, MAX_BACKOFF_DOUBLINGS))
        copy.errors += 1

    def load_order_ended(
        self, function: Function, worker: Worker, reason: EndReason, copies: int, now: int
    ) -> None:
        """Record the end of a load order; the worker has `copies` copies of the function now."""
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
            # Too many loads on the worker, or the order was never sent.
            if reason in (EndReason.FULL, EndReason.NOT_SENT):
                worker.loads_refused_until = now + self.target_latency // REFUSED_LOADS_DIVISOR
                function.placement_paused_until = now + self.placement_pause
            else:
                self.load_orders.load_failed(function, now)

    def renewals(self, now: int) -> Iterator[tuple[Function, Worker]]:
        """Forget unused copies and functions, and yield the copies that are to be loaded once more.

        An idle copy of a function that is still called is renewed by a load order. Each dispatcher decides at
        random, so that on average one of all dispatchers sends it. The caller must send each load order
        before it takes the next item.
        """
        idle_limit = self.load_terms.min_idle_time
        for function in list(self.functions.values()):
            for copy in list(function.copies.values()):
                if self._is_unused(copy, function, now):
                    del function.copies[copy.worker.id]
                elif self._needs_renewal(copy, function, now):
                    copy.renewed_at = now
                    if self.draw() * self.dispatchers < 1 and self.outliers.accepts(copy.worker, now):
                        yield function, copy.worker
            is_idle = (
                not function.queued and not function.recent_calls and now - function.called_at > idle_limit
            )
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
        """Return how a further copy of the function is started."""
        loads_on_send = self.load_terms.loads_on_send
        if not function.copies:
            # The worker may have a copy for another dispatcher. If it has none, the attempt is lost to the
            # miss.
            may_miss = now - function.missed_at > self.load_terms.min_idle_time and self.may_retry
            if loads_on_send or may_miss:
                return CopyStart.ATTEMPT
        if activation is not None and loads_on_send and not self.load_terms.allowed:
            return CopyStart.ATTEMPT  # load orders are not allowed, so only an attempt can start the copy
        return CopyStart.LOAD_ORDER

    def first_eligible_workers(
        self, function: Function, activation: Activation | None, now: int
    ) -> list[Worker]:
        """Return the first workers in the function's order that may get a copy, at most `MAX_CANDIDATES`."""
        rules = self.rules
        eligible_workers = (
            worker
            for worker in self.order.workers_for(function)
            if worker.id not in function.copies
            and worker.cold_attempts < MAX_COLD_ATTEMPTS
            and now >= worker.loads_refused_until
            and self.outliers.accepts(worker, now)
            and (
                activation is None
                or (rules.may_run_on(activation, worker) and worker not in activation.full_workers)
            )
        )
        return list(islice(eligible_workers, MAX_CANDIDATES))

    def _is_unused(self, copy: Copy, function: Function, now: int) -> bool:
        """Return whether the copy was idle, or loading, for longer than its timeout."""
        longest_load = LOAD_TIMEOUT_FACTOR * function.load_time if copy.loading_since else 0
        idle_since = max(copy.last_seen, copy.loading_since)
        return not copy.in_flight and now - idle_since > max(self.load_terms.min_idle_time, longest_load)

    def _needs_renewal(self, copy: Copy, function: Function, now: int) -> bool:
        """Return whether the idle copy would soon be unloaded although its function is still called."""
        idle_limit = self.load_terms.min_idle_time
        numerator, denominator = RENEWAL_FRACTION
        return (
            not copy.in_flight
            and not copy.loading_since
            and now - copy.last_seen > idle_limit * numerator // denominator
            and now - function.called_at < idle_limit < now - copy.renewed_at
        )
