"""Carries out decisions: sends, final answers, load orders, health checks, the timer.

It is the only module that calls the outlet, and it updates the records together with each action.
"""

from collections.abc import Sequence

from petrelwood.decide.scheduling.estimates import Estimates
from petrelwood.decide.scheduling.load_order_limit import LoadOrderLimit
from petrelwood.decide.scheduling.outlier_detection import OutlierDetection
from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import (
    NEVER,
    Activation,
    Attempt,
    Copy,
    Function,
    LoadCredit,
    Worker,
)
from petrelwood.decide.scheduling.send_rules import SendRules
from petrelwood.ports import Outlet

# Maximum share of the total utility that health checks may cost. If one health check per activation would
# cost more, a random sample of them is sent.
MAX_HEALTH_CHECK_COST = 0.01
# The load of a worker counts as up to date for the target latency divided by this; until then no further
# health check is sent to it.
LOAD_VALIDITY_DIVISOR = 2
NO_TIMEOUT = 0  # ns; only the deadline of its activation limits an attempt
TIMER_MARK = "sweep"  # returned when the timer fires; there is only one timer


class Actions:
    """Sends activations and ends them, orders loads, checks health and sets the timer.

    Attributes:
        outlet: the interface to the platform, which performs the actions.
        timer_at: when the timer fires, ns; `NEVER` if it is not set.
    """

    def __init__(
        self,
        parameters: Parameters,
        outlet: Outlet,
        activations: dict[str, Activation],
        estimates: Estimates,
        outliers: OutlierDetection,
        load_orders: LoadOrderLimit,
        rules: SendRules,
    ) -> None:
        terms = parameters.terms
        self.allowed = terms.allowed
        self.cost_per_check = terms.health_check_cost
        self.draw = parameters.draw
        self.sweep_interval = parameters.sweep_interval
        self.load_validity = parameters.target_latency // LOAD_VALIDITY_DIVISOR  # ns
        self.outlet = outlet
        self.activations = activations
        self.estimates = estimates
        self.outliers = outliers
        self.load_orders = load_orders
        self.rules = rules
        self.timer_at = NEVER

    def send(self, activation: Activation, copy: Copy, now: int) -> None:
        """Send an activation to a copy."""
        worker = copy.worker
        attempt = Attempt(
            activation,
            number=len(activation.attempts),
            worker=worker,
            copy=copy,
            sent_at=now,
            booted=worker.booted,
            is_cold=copy.loading_since != 0,
            ahead=len(worker.in_flight),
        )
        activation.attempts.append(attempt)
        self.load_orders.credit(activation, now)
        activation.in_flight += 1
        activation.first_attempt = activation.first_attempt or attempt
        copy.in_flight += 1
        copy.last_seen = now
        self.outliers.attempt_sent(attempt)
        self.outlet.send(activation.id, worker.id, NO_TIMEOUT)

    def give_up(self, activation: Activation, now: int) -> None:
        """Give the final answer of an activation that has no attempt in flight.

        Reject the activation if it may run again (`SendRules.may_reject`), else abort it. All rejections by
        the scheduler are made here.
        """
        activation.function.dequeue(activation)
        if activation.in_flight or self.activations.pop(activation.id, None) is None:
            return
        if activation.load_credit is LoadCredit.PENDING:
            activation.load_credit = LoadCredit.NONE  # the delay for the credit was not over
        if self.rules.may_reject(activation):
            self.outlet.reject(activation.id, self._retry_after(activation.function))
        else:
            self.outlet.abort(activation.id)
        self._cancel_attempts(activation)

    def finish(self, activation: Activation) -> None:
        """Remove an activation that has its final answer, or whose client has departed."""
        del self.activations[activation.id]
        activation.function.dequeue(activation)
        self._cancel_attempts(activation)

    def order_load(self, function: Function, worker: Worker, now: int) -> bool:
        """Order a load of the function on the worker, and return whether the rate limit allowed it."""
        if not worker.is_usable or not self.load_orders.may_order(now):
            return False
        self.load_orders.record_order(now)
        self.outlet.order_load(worker.id, function.key, 1)
        return True

    def check_health(self, workers: Sequence[Worker], now: int) -> bool:
        """Send health checks to the workers whose load is not up to date, if health checks are allowed.

        Returns:
            Whether any of the workers has not answered a recent health check.
        """
        cost = self.cost_per_check
        is_too_expensive = cost > MAX_HEALTH_CHECK_COST and self.draw() * cost > MAX_HEALTH_CHECK_COST
        if self.allowed.probe and not is_too_expensive:
            for worker in workers:
                if now - max(worker.health_checked_at, worker.load_updated_at) > self.load_validity:
                    worker.health_checked_at = now
                    self.outlet.check_health(worker.id)
        oldest = now - self.sweep_interval
        return any(worker.load_updated_at < worker.health_checked_at > oldest for worker in workers)

    def set_timer(self, now: int, wait: int) -> None:
        """Set the timer to fire in `wait` ns, unless it is set to fire earlier.

        A timer that is overdue stays set, because its event may still arrive.
        """
        if self.timer_at > now + wait:
            self.timer_at = now + wait
            self.outlet.set_timer(TIMER_MARK, wait)

    def clear_timer(self, now: int) -> bool:
        """Clear the timer if it is due, and return whether it was due."""
        if now < self.timer_at:
            return False
        self.timer_at = NEVER
        return True

    def request_endpoint_list(self) -> None:
        """Request the endpoint list."""
        self.outlet.request_endpoint_list()

    def _retry_after(self, function: Function) -> int:
        """Return the Retry-After of a rejection, ns: the estimated time to empty the queue; 0: none."""
        if not self.allowed.retry_after:
            return 0
        service_time = function.service_time or self.estimates.usual_service_time
        slots = max(1, len(function.copies) * function.slots)
        return min(service_time * (function.queued + 1) // slots, self.allowed.max_retry_after)

    def _cancel_attempts(self, activation: Activation) -> None:
        """Cancel the attempts in flight if the platform allows it, because no client waits for them."""
        if self.allowed.cancel:
            for attempt in activation.attempts:
                if attempt.is_in_flight:
                    self.outlet.cancel(activation.id, attempt.number)
        forget_attempts(activation)


def forget_attempts(activation: Activation) -> None:
    """Break the reference cycle between an ended activation and its attempts.

    Otherwise thousands of them accumulate until the garbage collector runs.
    """
    if not activation.in_flight:
        activation.attempts.clear()
        activation.first_attempt = None
