"""Whether, where and until when an activation may be sent, by the rules of its namespace type."""

from petrelwood.decide.scheduling.estimates import Estimates
from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import Activation, Worker
from petrelwood.ports import Effect, Scope

# Python 3.11 is slow to look a member up on its enum, and these are looked up for each activation.
REPEATABLE = Effect.REPEATABLE
DEDUPLICATED = Effect.DEDUPLICATED
# An attempt must have half of its expected time left, and so many sweeps: what leaves later is answered late.
LEAST_SWEEPS_LEFT = 2


class SendRules:
    """The rules on retries and hedged requests, and the times at which a queued activation is given up."""

    def __init__(self, parameters: Parameters, estimates: Estimates) -> None:
        self.allowed = parameters.terms.allowed
        self.sweep_interval = parameters.sweep_interval
        self.shortest_attempt = LEAST_SWEEPS_LEFT * parameters.sweep_interval  # ns
        self.estimates = estimates

    def may_send(self, activation: Activation, now: int) -> bool:
        """Return whether the activation may be sent once more, to whatever worker."""
        if len(activation.attempts) >= self.allowed.sends:
            return False
        if activation.in_flight and not self.allowed.overlap:
            return False
        if activation.due - now <= self._time_needed(activation):
            return False
        first = activation.first_attempt
        if first is None or activation.type.effect == REPEATABLE:
            return True
        if activation.type.effect != DEDUPLICATED:
            return False
        return now < first.sent_at + activation.type.window

    def may_run_on(self, activation: Activation, worker: Worker) -> bool:
        """Return whether the worker is new to the activation, and in the group that drops its repeats."""
        for attempt in activation.attempts:
            if attempt.worker is worker and attempt.may_have_run:
                return False
        first = activation.first_attempt
        type_ = activation.type
        if first is None or type_.effect == REPEATABLE or type_.scope == Scope.ALL:
            return True
        return worker.is_in_group_of(first.worker, type_.scope)

    def may_reject(self, activation: Activation) -> bool:
        """Return whether a client that is told to come back does no harm by that."""
        type_ = activation.type
        if not activation.first_attempt or type_.effect == REPEATABLE:
            return True
        return type_.effect == DEDUPLICATED and type_.scope == Scope.ALL

    def expiry(self, activation: Activation) -> int:
        """Return when to give up the activation unless it is sent before, ns, by what is known now."""
        expiry = activation.due - self._time_needed(activation)
        if activation.first_attempt and activation.type.effect == DEDUPLICATED:
            expiry = min(expiry, activation.first_attempt.sent_at + activation.type.window)
        if activation.in_flight:
            return expiry
        return min(expiry, self.queueing_limit(activation) + 1)

    def queueing_limit(self, activation: Activation) -> int:
        """Return how long the activation may be queued with no attempt in flight, as a time in ns.

        It is answered by half of its time then, so that its client can come back in the other half.
        """
        half = (activation.due - activation.arrived_at) // 2
        return activation.arrived_at + max(0, half - self.sweep_interval)

    def _time_needed(self, activation: Activation) -> int:
        return max(self.estimates.expected_time(activation) // 2, self.shortest_attempt)
