"""The scheduler of one dispatcher: sends, load orders, retries and rejections. `ports.py` has its interface.

`Scheduler(now, terms, seed, outlet)` starts an instance. The caller then calls its public methods in the
order of the events. The scheduler acts only through its `ports.Outlet`, during these calls. Times are integer
nanoseconds on the caller's clock.

An activation passes through `admission`, the queue of its function (`queueing`), `placement` and `actions`,
which sends an attempt. The end of the attempt passes through `attempts` and `outcomes`, and may return the
activation to its queue as a retry. The modules, each of which imports only those before it:

- `send_limit`, `window_counter`: a limit of attempts in flight, and a counter; both are independent of the
  records
- `records`: workers, copies, functions, activations, attempts; `parameters`: the fixed parameters
- `fleet`: the workers in the endpoint list; `popularity`, `worker_order`: which of them a function prefers
- `load_order_limit`: the rate limit of load orders; `estimates`: service times and loads
- `slow_start`, `outlier_detection`: which workers may be sent attempts, and how many
- `send_rules`: whether, where and until when an activation may be sent
- `placement`: copies and workers; `admission`: priority and load shedding
- `actions`: sends, load orders, health checks and final answers; the only module that calls the outlet
- `queueing`: the queues of the functions
- `outcomes`: updates the estimates and records at the end of an attempt
- `attempts`: decides on a retry, a hedged request or the final answer
- `snapshot`: the current estimates of the fleet, for logs
"""

from collections.abc import Sequence

from petrelwood.decide.scheduling.actions import Actions
from petrelwood.decide.scheduling.admission import Admission
from petrelwood.decide.scheduling.attempts import Attempts
from petrelwood.decide.scheduling.estimates import Estimates
from petrelwood.decide.scheduling.fleet import HASH_MASK, Fleet
from petrelwood.decide.scheduling.load_order_limit import LoadOrderLimit
from petrelwood.decide.scheduling.outcomes import Outcomes
from petrelwood.decide.scheduling.outlier_detection import OutlierDetection
from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.placement import Placement
from petrelwood.decide.scheduling.popularity import Popularity
from petrelwood.decide.scheduling.queueing import Queueing
from petrelwood.decide.scheduling.records import LONG_TIME, NEVER, Activation, Function
from petrelwood.decide.scheduling.send_rules import SendRules
from petrelwood.decide.scheduling.slow_start import SlowStart
from petrelwood.decide.scheduling.snapshot import SchedulerSnapshot, take_snapshot
from petrelwood.decide.scheduling.worker_order import WorkerOrder
from petrelwood.ports import Arrival, AttemptEnd, EndpointEntry, EndReason, Outlet, Terms

CHECKS_PER_INTERVAL = 8  # periodic checks in each `Parameters.check_interval`
# The endpoint list is requested every `Guarantees.max_list_request_interval` ns divided by this, so that a
# lost request can be repeated in time.
LIST_REQUEST_DIVISOR = 2
CLEANUPS_PER_IDLE_TIME = 16  # cleanups in each `LoadOrders.min_idle_time`


class Scheduler:
    """The decisions of one dispatcher.

    Attributes:
        functions: known functions by key.
        activations: activations without a final answer, by id.
    """

    def __init__(self, now: int, terms: Terms, seed: int, outlet: Outlet) -> None:
        parameters = Parameters.of(terms, seed)
        self.terms = terms
        self.parameters = parameters
        self.functions: dict[str, Function] = {}
        self.activations: dict[str, Activation] = {}
        functions = self.functions
        activations = self.activations
        fleet = Fleet(terms.zone, salt=int(parameters.draw() * HASH_MASK))
        popularity = Popularity(fleet, terms.dispatchers)
        order = WorkerOrder(fleet, popularity)
        estimates = Estimates(parameters)
        load_orders = LoadOrderLimit(now, parameters, activations)
        slow_start = SlowStart(parameters, estimates)
        outliers = OutlierDetection(parameters, fleet, estimates, slow_start)
        rules = SendRules(parameters, estimates)
        placement = Placement(parameters, functions, estimates, outliers, load_orders, rules, order)
        admission = Admission(now, parameters, estimates, outliers)
        actions = Actions(parameters, outlet, activations, estimates, outliers, load_orders, rules)
        queueing = Queueing(parameters, functions, activations, rules, admission, placement, actions)
        outcomes = Outcomes(estimates, slow_start, outliers, load_orders, placement)
        self.fleet = fleet
        self.popularity = popularity
        self.order = order
        self.estimates = estimates
        self.load_orders = load_orders
        self.send_rules = rules
        self.slow_start = slow_start
        self.outliers = outliers
        self.placement = placement
        self.admission = admission
        self.actions = actions
        self.queueing = queueing
        self.attempts = Attempts(fleet, activations, outliers, rules, outcomes, actions, queueing)
        self.time_between_checks = parameters.check_interval // CHECKS_PER_INTERVAL  # ns
        self.next_check = now
        self.next_cleanup = now
        self.list_requested_at = now - LONG_TIME
        actions.set_timer(now, parameters.sweep_interval)

    def endpoints_changed(self, now: int, entries: Sequence[EndpointEntry], is_whole: bool) -> None:
        """Apply a change of the endpoint list, or a complete list, and dispatch the queued activations."""
        for worker in self.fleet.apply(now, entries, is_whole):
            self.placement.forget_copies(worker)
        self.slow_start.fleet_changed(self.fleet.usable, now)
        self.order.fleet_changed()
        self.queueing.dispatch_all(now)

    def endpoint_list_lost(self, now: int) -> None:
        """Schedule a request for the endpoint list, as its changes no longer arrive.

        The delay is random, so that the dispatchers do not all request it at the same time.
        """
        delay = int(self.parameters.draw() * self.parameters.check_interval)
        self.list_requested_at = now - self._list_request_time() + delay

    def activation_arrived(self, now: int, arrival: Arrival) -> None:
        """Send, queue or reject a new activation."""
        function = self._function(arrival.function, arrival.slots, arrival.load_time)
        function.called_at = now
        self.popularity.record_call(function)
        activation = self.admission.admit(arrival, function, now)
        self.activations[activation.id] = activation
        self.estimates.record_arrival(arrival.work_hint, len(self.popularity.recent))
        self.queueing.enqueue(activation, now)
        if self.admission.should_shed(activation):
            self.actions.give_up(activation, now)
        if self.terms.reports_by_probe:
            self._check_least_known_worker(function, now)

    def attempt_ended(self, now: int, end: AttemptEnd) -> None:
        """Record the end of an attempt, and retry or end its activation."""
        self.attempts.handle_end(end, now)

    def is_attempt_outdated(self, now: int, activation_id: str, attempt: int, worker_id: str) -> bool:
        """Return whether an attempt that is queued for its worker may no longer be written.

        What its decision rested on may have changed since: the time, the other attempts of its activation,
        and the worker, which may drain, have left its group, or have restarted.
        """
        activation = self.activations.get(activation_id)
        worker = self.fleet.workers.get(worker_id)
        if activation is None or worker is None or not worker.is_usable:
            return True  # the final answer was given, or the worker drains or is gone
        if not self.send_rules.may_leave(activation, attempt, worker, now):
            return True
        queued = worker.in_flight.get((activation_id, attempt))
        return queued is not None and not self.slow_start.may_leave(queued, now)

    def may_attempt_leave(self, now: int, activation_id: str, attempt: int, worker_id: str) -> bool:
        """Return whether an attempt may be written now; if so, it is counted in its worker's slow start.

        The caller asks this before it writes an attempt, and ends an attempt that may not leave.
        """
        if self.is_attempt_outdated(now, activation_id, attempt, worker_id):
            return False
        queued = self.fleet.workers[worker_id].in_flight.get((activation_id, attempt))
        if queued is not None:
            self.slow_start.record_leaving(queued)
        return True

    def stream_started(self, now: int, activation_id: str, attempt: int, worker_id: str) -> None:
        """Remove the deadline of an activation, as its streamed answer has begun."""
        activation = self.activations.get(activation_id)
        if activation is not None:
            activation.due = NEVER
            self.fleet.workers[worker_id].answered_at = now

    def client_departed(self, now: int, activation_id: str) -> None:
        """Remove an activation that its client has cancelled; it no longer raises the load order limit."""
        activation = self.activations.get(activation_id)
        if activation is not None:
            self.load_orders.revoke(activation)
            self.actions.finish(activation)

    def process_ending(self, now: int, activation_id: str) -> None:
        """Give up an activation, as this dispatcher ends; the caller stops its attempts in flight."""
        activation = self.activations.get(activation_id)
        if activation is not None:
            activation.due = now
            self.actions.give_up(activation, now)

    def load_order_ended(self, now: int, worker_id: str, key: str, reason: EndReason, copies: int) -> None:
        """Handle the end of a load order; `copies` of the function are on the worker now."""
        worker = self.fleet.workers.get(worker_id)
        function = self.functions.get(key)
        if worker is None or function is None:
            return
        self.outliers.record_load_order_end(worker, reason, now)
        self.placement.load_order_ended(function, worker, reason, copies, now)
        self.queueing.dispatch(function, now)

    def may_load_order_leave(self, now: int, given_at: int) -> bool:
        """Return whether a delayed load order that was decided at `given_at` may be sent now.

        If so, it is counted against the rate limit at `now`.
        """
        return self.load_orders.may_leave(now, given_at)

    def load_order_withdrawn(self, now: int, given_at: int) -> None:
        """Uncount a load order that was decided at `given_at` and was never sent."""
        self.load_orders.withdraw(given_at)

    def load_orders_restored(self, now: int, orders: int) -> None:
        """Count the load orders that an earlier incarnation sent in the last period."""
        self.load_orders.restore(now, orders)

    def prefetch(self, now: int, key: str, slots: int, load_time: int) -> str | None:
        """Order one copy ahead of calls, if the dispatcher has spare capacity.

        No copy is ordered while any activation is queued, while most answers are slow or shortly after a load
        failed. Prefetches may use only a share of the rate limit.

        Returns:
            The worker that is to load the copy, or None.
        """
        function = self._function(key, slots, load_time)
        if self.queueing.waiting or self.outliers.is_overloaded:
            return None
        worker = self.placement.prefetch(function, now)
        if worker is None:
            return None
        self.actions.order_load(function, worker, now)
        return worker.id

    def health_check_ended(
        self, now: int, worker_id: str, reason: EndReason, report: dict[str, float] | None
    ) -> None:
        """Record the load report that a health check has returned, and dispatch the queued activations."""
        worker = self.fleet.workers.get(worker_id)
        if worker is not None and reason == EndReason.COMPLETED:
            self.estimates.record_report(worker, report, now)
        self.queueing.dispatch_all(now)

    def timer_fired(self, now: int, mark: str) -> None:
        """Run the periodic checks if they are due, and dispatch the queued activations.

        `mark` is ignored, because there is only one timer.
        """
        if not self.actions.clear_timer(now):
            return  # it was replaced by an earlier timer
        try:
            if now >= self.next_check:
                self._run_periodic_checks(now)
            self.queueing.dispatch_all(now)
        finally:  # keep sweeping, whatever fails
            if self.queueing.waiting:
                wait = self.queueing.time_to_sweep(now)
            else:
                wait = max(self.parameters.sweep_interval, self.next_check - now)
            self.actions.set_timer(now, wait)

    def snapshot(self) -> SchedulerSnapshot:
        """Return the current estimates of the fleet, for logs."""
        return take_snapshot(self.fleet.usable, self.functions.values(), self.outliers)

    def _function(self, key: str, slots: int, load_time: int) -> Function:
        """Return the function, created if it is new, with its slots and load time updated."""
        function = self.functions.get(key)
        if function is None:
            function = self.functions[key] = Function(key)
        function.slots = slots
        function.load_time = load_time or function.load_time
        return function

    def _check_least_known_worker(self, function: Function, now: int) -> None:
        """Check the health of the worker with a copy whose load or health was checked longest ago."""
        workers = [copy.worker for copy in function.copies.values() if copy.worker.is_usable]
        workers.sort(key=lambda worker: max(worker.health_checked_at, worker.load_updated_at))
        self.actions.check_health(workers[:1], now)

    def _list_request_time(self) -> int:
        return self.terms.guarantees.max_list_request_interval // LIST_REQUEST_DIVISOR

    def _run_periodic_checks(self, now: int) -> None:
        """Update the slow start and the mean load, hedge overdue attempts, request the endpoint list.

        Only workers in use are visited, so that the cost stays low on a large fleet.
        """
        fleet_size = len(self.fleet.usable)
        self.slow_start.update(now, now - self.next_check + self.time_between_checks, fleet_size)
        self.next_check = now + self.time_between_checks
        self.estimates.update_mean_load(self.outliers.in_flight, fleet_size)
        for worker in list(self.outliers.workers_in_use.values()):
            self.attempts.hedge_overdue(worker, now)
        if self.terms.must_request_list and now - self.list_requested_at > self._list_request_time():
            self.list_requested_at = now
            self.actions.request_endpoint_list()
        if now >= self.next_cleanup:
            self.next_cleanup = now + self.terms.orders.min_idle_time // CLEANUPS_PER_IDLE_TIME
            self._clean_up(now)

    def _clean_up(self, now: int) -> None:
        """Renew idle copies that are still needed, and forget unused copies, functions and workers."""
        for function, worker in self.placement.renewals(now):
            self.actions.order_load(function, worker, now)
        self.fleet.forget_unused()
