"""Whether, where and until when an activation may be sent, by the rules of its namespace type.

`SendRules.may_send` is the only place that allows a second attempt, for a retry or a hedged request. It uses
`Activation.first_attempt` to detect that an earlier attempt may have run; `outcomes` clears that field.
An attempt may be queued after that decision: `SendRules.may_leave` is asked again when it is written.
"""

from petrelwood.decide.scheduling.estimates import Estimates
from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import Activation, Worker
from petrelwood.ports import Effect, Scope

# Python 3.11 is slow to look a member up on its enum, and these are looked up for each activation.
REPEATABLE = Effect.REPEATABLE
DEDUPLICATED = Effect.DEDUPLICATED
# An attempt needs half of its expected time before the deadline, and at least this many sweep intervals; with
# less time left, its answer would be late.
MIN_SWEEPS_LEFT = 2


class SendRules:
    """The rules for retries and hedged requests, and the times at which a queued activation is given up."""

    def __init__(self, parameters: Parameters, estimates: Estimates) -> None:
        self.allowed = parameters.terms.allowed
        self.sweep_interval = parameters.sweep_interval
        self.shortest_attempt = MIN_SWEEPS_LEFT * parameters.sweep_interval  # ns
        self.estimates = estimates

    def may_send(self, activation: Activation, now: int) -> bool:
        """Return whether the activation may be sent to any worker, for the first time or again."""
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
            return False  # it is once-only, and an attempt may have run
        return now < first.sent_at + activation.type.window

    def may_run_on(self, activation: Activation, worker: Worker) -> bool:
        """Return whether the worker may run the activation, considering the previous attempts.

        A worker on which an attempt may have run is excluded, and a repeat of a deduplicated activation must
        stay in the group of the first attempt's worker.
        """
        for attempt in activation.attempts:
            if attempt.worker is worker and attempt.may_have_run:
                return False
        first = activation.first_attempt
        type_ = activation.type
        if first is None or type_.effect == REPEATABLE or type_.scope == Scope.ALL:
            return True
        return worker.is_in_group_of(first.worker, type_.scope)

    def may_leave(self, activation: Activation, attempt: int, worker: Worker, now: int) -> bool:
        """Return whether an attempt that was queued since it was decided may be written to its worker now.

        It may not if another attempt may have run, and the activation is once-only, or the window of that
        attempt is over, or its worker is in another group. The first attempt counts as long as any attempt
        may have run, as in `may_send`.
        """
        type_ = activation.type
        if type_.effect == REPEATABLE:
            return True
        for other in activation.attempts:
            counts = other.may_have_run or other is activation.first_attempt
            if other.number == attempt or not counts:
                continue
            if type_.effect != DEDUPLICATED or now >= other.sent_at + type_.window:
                return False
            if type_.scope != Scope.ALL and not worker.is_in_group_of(other.worker, type_.scope):
                return False
        return True

    def may_reject(self, activation: Activation) -> bool:
        """Return whether the activation may be rejected: its client may retry it, and it may run again.

        Otherwise its final answer is an abort, which states that the activation may have run.
        """
        type_ = activation.type
        if not activation.first_attempt or type_.effect == REPEATABLE:
            return True
        return type_.effect == DEDUPLICATED and type_.scope == Scope.ALL

    def expiry(self, activation: Activation) -> int:
        """Return the estimated time at which to give up the activation if it is still queued, ns."""
        expiry = activation.due - self._time_needed(activation)
        if activation.first_attempt and activation.type.effect == DEDUPLICATED:
            expiry = min(expiry, activation.first_attempt.sent_at + activation.type.window)
        if activation.in_flight:
            return expiry
        return min(expiry, self.queueing_limit(activation) + 1)

    def queueing_limit(self, activation: Activation) -> int:
        """Return the time until which the activation may be queued with no attempt in flight, ns.

        That is one sweep interval before the middle of its time, so that a rejected client can retry in the
        second half.
        """
        half = (activation.due - activation.arrived_at) // 2
        return activation.arrived_at + max(0, half - self.sweep_interval)

    def _time_needed(self, activation: Activation) -> int:
        """Return the minimum time before the deadline that an attempt needs, ns."""
        return max(self.estimates.expected_time(activation) // 2, self.shortest_attempt)
