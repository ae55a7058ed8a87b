"""Updates the records and estimates at the end of an attempt: activation, worker, copy and function."""

from petrelwood.decide.scheduling.estimates import Estimates
from petrelwood.decide.scheduling.load_order_limit import LoadOrderLimit
from petrelwood.decide.scheduling.outlier_detection import OutlierDetection
from petrelwood.decide.scheduling.placement import Placement
from petrelwood.decide.scheduling.records import Attempt
from petrelwood.decide.scheduling.slow_start import SlowStart
from petrelwood.ports import NEVER_RAN, AttemptEnd, CopyNote, EndReason

# Python 3.11 is slow to look a member up on its enum, and these are looked up for each attempt.
COMPLETED = EndReason.COMPLETED
NOTHING = CopyNote.NOTHING
FOUND_WARM = CopyNote.FOUND_WARM
BEGAN_LOAD = CopyNote.BEGAN_LOAD
# Reasons which show that the worker knows the function.
FUNCTION_EXISTS_REASONS = frozenset((EndReason.COMPLETED, EndReason.MISSING))
# The dispatcher ended the attempt itself, which says nothing about the worker.
ENDED_BY_DISPATCHER = frozenset((EndReason.CANCELLED, EndReason.NOT_SENT))
BROKEN_CONNECTION = frozenset((EndReason.RESET, EndReason.NO_CONNECTION))


class Outcomes:
    """Passes the end of an attempt to the estimates, the outlier detection and the placement."""

    def __init__(
        self,
        estimates: Estimates,
        slow_start: SlowStart,
        outliers: OutlierDetection,
        load_orders: LoadOrderLimit,
        placement: Placement,
    ) -> None:
        self.estimates = estimates
        self.slow_start = slow_start
        self.outliers = outliers
        self.load_orders = load_orders
        self.placement = placement

    def record(self, attempt: Attempt, end: AttemptEnd, was_lost: bool, now: int) -> None:
        """Record the end of an attempt; `was_lost`: its answer was assumed lost."""
        activation = attempt.activation
        reason = end.reason
        if reason in NEVER_RAN:  # if no other attempt may have run, a once-only activation may be sent again
            attempt.may_have_run = False
            if not any(each.may_have_run for each in activation.attempts):
                activation.first_attempt = None
        if reason in FUNCTION_EXISTS_REASONS:
            activation.function.exists = True
        self.load_orders.credit(activation, now)
        self.estimates.record_report(attempt.worker, end.report, now)
        self.outliers.record_end(attempt.worker, reason, now)
        if reason == COMPLETED:
            self._record_completion(attempt, end.note, end.duration, now)
        elif reason not in ENDED_BY_DISPATCHER and not (was_lost and reason == EndReason.TIMED_OUT):
            self._record_failure(attempt, reason, end.note, now)

    def _record_completion(self, attempt: Attempt, note: int, duration: int, now: int) -> None:
        worker = attempt.worker
        worker.newest_answered_sent_at = max(worker.newest_answered_sent_at, attempt.sent_at)
        worker.unresponsive_periods = 0
        self.estimates.record_answer_time(duration)
        self.slow_start.record_answer(worker, now)
        self.placement.record_completion(attempt, now)
        has_no_note = note == NOTHING and not attempt.is_cold
        if note == FOUND_WARM or has_no_note:
            self.estimates.record_service_time(attempt, duration, self.outliers.is_overloaded)
            self.outliers.record_latency(attempt, duration, now)
        if not attempt.is_cold and note < BEGAN_LOAD:  # it neither started nor awaited a load
            is_slow = duration > self.estimates.slow_after(attempt.activation)
            self.outliers.record_slowness(is_slow, attempt, now)

    def _record_failure(self, attempt: Attempt, reason: EndReason, note: int, now: int) -> None:
        if reason == EndReason.RESET and self.outliers.is_single_connection(attempt, now):
            reason = EndReason.ERROR
        self.placement.record_failure(attempt, reason, note, now)
        if reason == EndReason.MISSING:
            return
        activation = attempt.activation
        is_full = reason == EndReason.FULL
        if is_full or (not attempt.is_cold and now - attempt.sent_at > self.estimates.slow_after(activation)):
            self.outliers.record_slowness(True, attempt, now)
        if is_full:
            activation.full_workers += (attempt.worker,)
            activation.function.wants_copy = True
            self.outliers.record_full(attempt.worker, now)
        if reason in BROKEN_CONNECTION:
            self.outliers.eject(attempt.worker, now)
            self.placement.forget_copies(attempt.worker)
