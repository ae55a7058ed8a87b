"""Handles the end of an attempt, or an overdue one, by a retry, a hedged request or the final answer."""

from petrelwood.decide.scheduling.actions import Actions, forget_attempts
from petrelwood.decide.scheduling.fleet import Fleet
from petrelwood.decide.scheduling.outcomes import Outcomes
from petrelwood.decide.scheduling.outlier_detection import OutlierDetection
from petrelwood.decide.scheduling.queueing import Queueing
from petrelwood.decide.scheduling.records import Activation, Worker
from petrelwood.decide.scheduling.send_rules import SendRules
from petrelwood.ports import AttemptEnd, Effect


class Attempts:
    """Handles attempts in flight that end or are overdue."""

    def __init__(
        self,
        fleet: Fleet,
        activations: dict[str, Activation],
        outliers: OutlierDetection,
        rules: SendRules,
        outcomes: Outcomes,
        actions: Actions,
        queueing: Queueing,
    ) -> None:
        self.fleet = fleet
        self.activations = activations
        self.outliers = outliers
        self.rules = rules
        self.outcomes = outcomes
        self.actions = actions
        self.queueing = queueing

    def handle_end(self, end: AttemptEnd, now: int) -> None:
        """Record the end of an attempt, and retry, give up or forget its activation.

        The end of an attempt that is not in flight, or has already ended, is ignored.
        """
        worker = self.fleet.workers.get(end.worker)
        if worker is None:
            return
        key = (end.activation_id, end.attempt)
        lost = worker.lost.pop(key, None)
        attempt = lost or worker.in_flight.pop(key, None)
        if attempt is None:
            return
        activation = attempt.activation
        function = activation.function
        attempt.is_in_flight = False
        activation.in_flight -= 1
        if lost is None:
            self.outliers.release(attempt)
        self.outcomes.record(attempt, end, lost is not None, now)
        current = self.activations.get(end.activation_id)
        if end.is_final:
            if current is not None:
                self.actions.finish(current)
        elif current is None:
            forget_attempts(activation)
        elif current is activation and not activation.in_flight:
            self._retry_or_give_up(activation, now)
        self.queueing.dispatch(function, now)

    def hedge_overdue(self, worker: Worker, now: int) -> None:
        """Hedge the overdue attempts of the worker."""
        for activation in self.outliers.detect_overdue(worker, now):
            self._hedge(activation, now)

    def _retry_or_give_up(self, activation: Activation, now: int) -> None:
        """Queue an activation for a retry if `SendRules` allows it, else give the final answer."""
        if self.rules.may_send(activation, now):
            self.queueing.enqueue(activation, now, is_retry=True)
        else:
            self.actions.give_up(activation, now)

    def _hedge(self, activation: Activation, now: int) -> None:
        """Queue an activation for a second attempt beside the one in flight, unless it is once-only."""
        if (
            self.activations.get(activation.id) is activation
            and activation.in_flight == 1
            and not activation.is_queued
            and activation.type.effect != Effect.ONCE_ONLY
            and self.rules.may_send(activation, now)
        ):
            self.queueing.enqueue(activation, now, is_retry=True)
