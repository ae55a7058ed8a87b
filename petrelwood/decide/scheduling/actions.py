"""Carries out what was decided: sends, final answers, load orders, health checks, the timer.

The only module that calls the outlet. It updates the records of what it does in the same step.
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

# Part of all utility that one health check for each activation may cost; if it costs more, fewer are made.
HEALTH_CHECK_FEE = 0.01
# A worker whose load was learnt within the target latency, divided by this, is not checked again.
LOAD_KNOWN_DIVISOR = 2
NO_LIMIT = 0  # ns; the time of an attempt is limited by its activation's deadline alone
TIMER_MARK = "sweep"  # handed back when the timer fires; there is only one timer


class Actions:
    """Sends activations and ends them, orders loads, checks health and sets the timer.

    Attributes:
        outlet: what carries it out.
        timer_at: when the next timer fires, ns; `NEVER` if none is set.
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
        self.health_check_fee = terms.health_check_cost
        self.draw = parameters.draw
        self.sweep_interval = parameters.sweep_interval
        self.load_known_time = parameters.target_latency // LOAD_KNOWN_DIVISOR  # ns
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
        self.outlet.send(activation.id, worker.id, NO_LIMIT)

    def give_up(self, activation: Activation, now: int) -> None:
        """Give the final answer, unless an attempt is in flight: all rejections by the scheduler are here.

        It is a rejection if the activation may run again (`SendRules.may_reject`), else an abort.
        """
        activation.function.dequeue(activation)
        if activation.in_flight or self.activations.pop(activation.id, None) is None:
            return
        if activation.load_credit is LoadCredit.PENDING:
            activation.load_credit = LoadCredit.NONE  # its client did not stay long enough for the credit
        if self.rules.may_reject(activation):
            self.outlet.reject(activation.id, self._retry_after(activation.function))
        else:
            self.outlet.abort(activation.id)
        self._cancel_attempts(activation)

    def finish(self, activation: Activation) -> None:
        """Forget an activation that has its final answer, or whose client has departed."""
        del self.activations[activation.id]
        activation.function.dequeue(activation)
        self._cancel_attempts(activation)

    def order_load(self, function: Function, worker: Worker, now: int) -> bool:
        """Order a load of the function on the worker, and return whether the rate limit allows it."""
        if not worker.is_usable or not self.load_orders.may_order(now):
            return False
        self.load_orders.record_order(now)
        self.outlet.order_load(worker.id, function.key, 1)
        return True

    def check_health(self, workers: Sequence[Worker], now: int) -> bool:
        """Check workers whose load was not learnt lately, where that is allowed.

        Returns:
            Whether any of them has not answered a recent check.
        """
        fee = self.health_check_fee
        is_too_dear = fee > HEALTH_CHECK_FEE and self.draw() * fee > HEALTH_CHECK_FEE
        if self.allowed.probe and not is_too_dear:
            for worker in workers:
                if now - max(worker.health_checked_at, worker.load_known_at) > self.load_known_time:
                    worker.health_checked_at = now
                    self.outlet.check_health(worker.id)
        oldest = now - self.sweep_interval
        return any(worker.load_known_at < worker.health_checked_at > oldest for worker in workers)

    def set_timer(self, now: int, wait: int) -> None:
        """Set the timer to fire in `wait` ns, unless one is set that fires before.

        One that should have fired stays set, as its event may still come.
        """
        if self.timer_at > now + wait:
            self.timer_at = now + wait
            self.outlet.set_timer(TIMER_MARK, wait)

    def clear_timer(self, now: int) -> bool:
        """Clear the timer if it is due, and return whether it was."""
        if now < self.timer_at:
            return False
        self.timer_at = NEVER
        return True

    def request_endpoint_list(self) -> None:
        """Request the endpoint list."""
        self.outlet.request_endpoint_list()

    def _retry_after(self, function: Function) -> int:
        """Return the Retry-After of a rejection, ns: until what is queued should be answered; 0: none."""
        if not self.allowed.retry_after:
            return 0
        service_time = function.service_time or self.estimates.usual_service_time
        slots = max(1, len(function.copies) * function.slots)
        return min(service_time * (function.queued + 1) // slots, self.allowed.max_retry_after)

    def _cancel_attempts(self, activation: Activation) -> None:
        """Cancel the attempts in flight, where the platform allows it, as no client waits for them."""
        if self.allowed.cancel:
            for attempt in activation.attempts:
                if attempt.is_in_flight:
                    self.outlet.cancel(activation.id, attempt.number)
        forget_attempts(activation)


def forget_attempts(activation: Activation) -> None:
    """Break the cycle of an ended activation and its attempts, which name each other.

    Left to the garbage collector, thousands of them pile up.
    """
    if not activation.in_flight:
        activation.attempts.clear()
        activation.first_attempt = None
