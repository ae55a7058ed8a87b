"""Outlier detection: which workers are sent nothing, and how many attempts may be in flight in the fleet.

A worker whose connections break is ejected for some time. A worker that answers none of its attempts is
unresponsive and gets no new ones. A worker that answers slowly gets fewer concurrent attempts. If most
answers are slow, the fleet is overloaded: the total number of attempts in flight is reduced, and a share of
the arrivals is shed.
"""

from collections.abc import Iterable, Iterator

from petrelwood.decide.scheduling.estimates import MAX_RELATIVE_LATENCY, SLOW_FACTOR, Estimates
from petrelwood.decide.scheduling.fleet import Fleet
from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import Activation, Attempt, Copy, Worker
from petrelwood.decide.scheduling.send_limit import SendLimit
from petrelwood.decide.scheduling.slow_start import SlowStart
from petrelwood.ports import EndReason

SLOW_SHARE_ANSWERS = 16  # length of the running mean of the share of slow answers
OVERLOAD_SLOW_SHARE = 0.5  # the fleet is overloaded above this share of slow answers
# The fleet's send limit is at least this number of attempts per worker in this dispatcher's part of the
# fleet.
MIN_IN_FLIGHT_PER_WORKER = 2
# Load shedding: the probability that an arrival without a free slot is shed is `SHED_SLOPE` times the excess
# of the share of slow answers over `TOLERATED_SLOW_SHARE`, but at most `MAX_SHED_PROBABILITY`: some arrivals
# are always admitted, because their answers show when the overload is over.
TOLERATED_SLOW_SHARE = 0.15
SHED_SLOPE = 4
MAX_SHED_PROBABILITY = 0.9
# An unanswered attempt counts as lost, or its worker as unresponsive, after `OVERDUE_FACTOR` times its
# expected time, plus `OVERDUE_LOAD_FACTOR` times the load time if it waits for a load.
OVERDUE_FACTOR = 6
OVERDUE_LOAD_FACTOR = 3
# An unresponsive worker is ejected for the target latency, doubled for each consecutive unresponsive period
# up to this many times.
MAX_EJECTION_DOUBLINGS = 4
EJECTION_DIVISOR = 4  # a worker is ejected for the target latency divided by this when a connection breaks
FULL_LATENCY_FACTOR = 2  # multiplies the relative latency of a worker that answers that it is full
# Reasons for the end of an attempt, and of a load order, which do not show that the worker is up.
INCONCLUSIVE_ATTEMPT_ENDS = frozenset((EndReason.TIMED_OUT, EndReason.CANCELLED, EndReason.NOT_SENT))
INCONCLUSIVE_LOAD_ORDER_ENDS = frozenset((EndReason.TIMED_OUT, EndReason.RESET, EndReason.NO_CONNECTION))


class OutlierDetection:
    """The attempts in flight, and the health of the workers and of the fleet as derived from the answers.

    Attributes:
        in_flight: attempts in flight at all workers, without those that are assumed lost.
        send_limit: limit of `in_flight`.
        slow_share: share of slow answers of loaded copies, a running mean.
        shed_probability: probability that an arrival without a free slot is rejected.
        workers_in_use: workers with attempts in flight, by id.
    """

    def __init__(
        self, parameters: Parameters, fleet: Fleet, estimates: Estimates, slow_start: SlowStart
    ) -> None:
        self.target_latency = parameters.target_latency
        self.dispatchers = parameters.terms.dispatchers
        self.fleet = fleet
        self.estimates = estimates
        self.slow_start = slow_start
        self.in_flight = 0
        self.send_limit = SendLimit()
        self.slow_share = 0.0
        self.shed_probability = 0.0
        self.workers_in_use: dict[str, Worker] = {}

    @property
    def is_overloaded(self) -> bool:
        """Whether most answers are slow."""
        return self.slow_share > OVERLOAD_SLOW_SHARE

    def is_send_limit_reached(self) -> bool:
        """Return whether no further attempt may be in flight at any worker."""
        return self.send_limit.is_reached(self.in_flight)

    def accepts(self, worker: Worker, now: int) -> bool:
        """Return whether the worker may be sent an attempt or a load: usable, healthy and within its limits.

        It may draw the budget of a cold worker at random, so the order of its calls matters to a seeded run.
        """
        return (
            worker.is_usable
            and not worker.is_unresponsive
            and now >= worker.ejected_until
            and not worker.send_limit.is_reached(len(worker.in_flight))
            and self.slow_start.budget(worker, now) > 0
        )

    def is_congested(self, worker: Worker) -> bool:
        """Return whether the worker is slower than the fleet even with one attempt in flight at a time.

        The copies of a congested worker do not count as capacity.
        """
        limit = worker.send_limit.limit
        if limit is None or limit > 1:
            return False
        fleet_latency = max(1.0, self.estimates.mean_relative_latency)
        return worker.relative_latency > SLOW_FACTOR * fleet_latency

    def useful_copies(self, copies: Iterable[Copy], now: int) -> list[Copy]:
        """Return the copies on workers that will run queued activations, now or later."""
        return [
            copy
            for copy in copies
            if not (worker := copy.worker).is_unresponsive
            and now >= worker.ejected_until
            and (worker.send_limit.limit is None or not self.is_congested(worker))
        ]

    def attempt_sent(self, attempt: Attempt) -> None:
        """Count an attempt as in flight."""
        worker = attempt.worker
        self.workers_in_use[worker.id] = worker
        worker.in_flight[attempt.activation.id, attempt.number] = attempt
        self.in_flight += 1
        worker.cold_attempts += attempt.is_cold
        worker.slow_start_budget -= 1

    def release(self, attempt: Attempt) -> None:
        """Count an attempt as no longer in flight, and its slot as free."""
        attempt.copy.in_flight -= 1
        self.in_flight -= 1
        attempt.worker.cold_attempts -= attempt.is_cold

    def record_end(self, worker: Worker, reason: EndReason, now: int) -> None:
        """Record that the worker is up, if the end of an attempt shows it."""
        if reason not in INCONCLUSIVE_ATTEMPT_ENDS:
            worker.answered_at = now
            worker.is_unresponsive = False

    def record_load_order_end(self, worker: Worker, reason: EndReason, now: int) -> None:
        """Record that the worker is up, if the end of a load order shows it."""
        if reason not in INCONCLUSIVE_LOAD_ORDER_ENDS:
            worker.answered_at = now
            worker.is_unresponsive = False

    def record_latency(self, attempt: Attempt, duration: int, now: int) -> None:
        """Update a worker's latency and send limit after an answer of a loaded copy.

        The limit prevents a slow worker from getting more attempts than it can answer.
        """
        worker = attempt.worker
        self.estimates.record_latency(attempt, duration, now)
        is_slow = worker.relative_latency > SLOW_FACTOR
        sent_at = now - self.estimates.usual_service_time
        worker.send_limit.record_answer(is_slow, len(worker.in_flight), now, sent_at)

    def record_slowness(self, is_slow: bool, attempt: Attempt, now: int) -> None:
        """Update the share of slow answers, the fleet's send limit and the shed probability.

        If most answers are slow, the cause is not a single worker. Then fewer attempts are in flight at a
        time, and the other activations remain queued.
        """
        if is_slow and self.is_congested(attempt.worker):
            return  # a worker that is known to be slow says nothing about the fleet
        self.slow_share += (is_slow - self.slow_share) / SLOW_SHARE_ANSWERS
        min_limit = max(1.0, MIN_IN_FLIGHT_PER_WORKER * len(self.fleet.usable) / self.dispatchers)
        self.send_limit.record_answer(self.is_overloaded, self.in_flight, now, attempt.sent_at, min_limit)
        excess = max(0.0, self.slow_share - TOLERATED_SLOW_SHARE)
        self.shed_probability = min(MAX_SHED_PROBABILITY, SHED_SLOPE * excess)

    def record_full(self, worker: Worker, now: int) -> None:
        """Reduce the send limit of a worker and raise its latency, as it rejected an attempt as full."""
        worker.relative_latency = min(MAX_RELATIVE_LATENCY, worker.relative_latency * FULL_LATENCY_FACTOR)
        worker.load_updated_at = now
        worker.send_limit.record_answer(True, len(worker.in_flight) - 1, now, now)

    def is_single_connection(self, attempt: Attempt, now: int) -> bool:
        """Return whether a reset concerns a single connection and not the worker.

        One of several connections may break, or be closed because of the data on it. A worker is up if its
        load was updated after the attempt was sent, or within the usual service time.
        """
        usual_start = now - self.estimates.usual_service_time
        return min(attempt.sent_at, usual_start) < attempt.worker.load_updated_at

    def eject(self, worker: Worker, now: int) -> None:
        """Send nothing to the worker for some time, as its connection broke."""
        worker.ejected_until = now + self.target_latency // EJECTION_DIVISOR

    def detect_overdue(self, worker: Worker, now: int) -> Iterator[Activation]:
        """Yield the overdue activations of a worker, for hedging.

        A worker that has answered nothing for too long is marked as unresponsive, and all its activations are
        overdue. Otherwise those of its lost attempts are overdue. The caller must hedge each activation
        before it takes the next, because the hedged request may use the slot that the lost attempt has freed.
        """
        if not worker.in_flight:
            self._stop_tracking(worker, now)
            return
        oldest = next(iter(worker.in_flight.values()))
        usual = oldest.activation.function.service_time or self.estimates.usual_service_time
        allowance = OVERDUE_FACTOR * usual + self._load_allowance(oldest)
        if now - max(worker.answered_at, oldest.sent_at) > max(allowance, self.target_latency):
            worker.is_unresponsive = True
            for attempt in list(worker.in_flight.values()):
                yield attempt.activation
            return
        yield from self._detect_lost(worker)

    def _stop_tracking(self, worker: Worker, now: int) -> None:
        """Stop tracking a worker without attempts in flight.

        If it is unresponsive, eject it for some time; afterwards it gets one attempt at a time.
        """
        del self.workers_in_use[worker.id]
        if worker.is_unresponsive:
            worker.is_unresponsive = False
            worker.unresponsive_periods = min(worker.unresponsive_periods + 1, MAX_EJECTION_DOUBLINGS)
            worker.send_limit.limit = 1.0
            worker.ejected_until = now + (self.target_latency << worker.unresponsive_periods)

    def _detect_lost(self, worker: Worker) -> Iterator[Activation]:
        """Free the slots of attempts if much newer ones were answered, and yield their activations.

        Their answers are assumed lost; an answer that still arrives is handled.
        """
        newest = worker.newest_answered_sent_at
        for key, attempt in list(worker.in_flight.items()):
            if attempt.sent_at + self.target_latency > newest:
                break
            allowance = OVERDUE_FACTOR * self.estimates.expected_time(attempt.activation)
            if attempt.sent_at + allowance + self._load_allowance(attempt) < newest:
                worker.lost[key] = worker.in_flight.pop(key)
                self.release(attempt)
                yield attempt.activation

    def _load_allowance(self, attempt: Attempt) -> int:
        """Return the extra time that an attempt is allowed for the load that it waits for, ns."""
        load_time = attempt.activation.function.load_time or self.target_latency
        return OVERDUE_LOAD_FACTOR * attempt.is_cold * load_time
