"""Outlier detection: which workers are sent nothing, and how much the whole fleet is sent.

A worker whose connections break is ejected for a while; one that answers none of its attempts is unresponsive
and gets no new one; one that answers slowly gets fewer attempts at a time. If most answers are slow, the
fleet is overloaded: then fewer attempts are in flight in all, and a part of the arrivals is shed.
"""

from collections.abc import Iterable, Iterator

from petrelwood.decide.scheduling.estimates import HIGHEST_RELATIVE_LATENCY, SLOW_FACTOR, Estimates
from petrelwood.decide.scheduling.fleet import Fleet
from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import Activation, Attempt, Copy, Worker
from petrelwood.decide.scheduling.send_limit import SendLimit
from petrelwood.decide.scheduling.slow_start import SlowStart
from petrelwood.ports import EndReason

SLOW_SHARE_ANSWERS = 16  # over which the share of slow answers runs
OVERLOAD_SHARE = 0.5  # of slow answers, beyond which the fleet is overloaded
# Attempts in flight at an overloaded fleet, at least, for each worker of this dispatcher's part of it.
LEAST_A_WORKER = 2
# Load shedding: of the arrivals that find no free slot, `SHED_SLOPE` times the excess of the share of slow
# answers over `BEARABLE_SLOW_SHARE` is shed. Some are always admitted: their answers show when it is over.
BEARABLE_SLOW_SHARE = 0.15
SHED_SLOPE = 4
HIGHEST_SHED_PROBABILITY = 0.9
# An attempt without an answer counts as lost, or its worker as unresponsive, after so many expected times,
# and so many load times more if it waits for a load.
OVERDUE_TIMES = 6
OVERDUE_LOADS = 3
# An unresponsive worker is ejected for 2 to the power of the times in a row (up to this) target latencies.
MOST_DOUBLINGS = 4
EJECTION_DIVISOR = 4  # of the target latency: how long a worker is ejected for a broken connection
FULL_FACTOR = 2  # by which a worker's relative latency is multiplied when it answers that it is full
# Ends that do not show that the worker is up: of an attempt, and of a load order.
UP_NOT_SHOWN = frozenset((EndReason.TIMED_OUT, EndReason.CANCELLED, EndReason.NOT_SENT))
UP_NOT_SHOWN_BY_LOAD = frozenset((EndReason.TIMED_OUT, EndReason.RESET, EndReason.NO_CONNECTION))


class OutlierDetection:
    """What is in flight, and what the answers tell of the workers' health.

    Attributes:
        in_flight: attempts in flight in all, without those that are believed lost.
        send_limit: limit of these.
        slow_share: share of slow answers of loaded copies, a running mean.
        shed_probability: share of the arrivals that is rejected if it finds no free slot.
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
        return self.slow_share > OVERLOAD_SHARE

    def is_send_limit_reached(self) -> bool:
        """Return whether no further attempt may be in flight, wherever."""
        return self.send_limit.is_reached(self.in_flight)

    def accepts(self, worker: Worker, now: int) -> bool:
        """Return whether the worker may be sent an attempt or a load: usable, healthy and within its limits.

        May draw the budget of a cold worker: calls and their order are part of a seeded run.
        """
        return (
            worker.is_usable
            and not worker.is_unresponsive
            and now >= worker.ejected_until
            and not worker.send_limit.is_reached(len(worker.in_flight))
            and self.slow_start.budget(worker, now) > 0
        )

    def is_congested(self, worker: Worker) -> bool:
        """Return whether the worker answers slowly even with one attempt in flight, unlike the fleet.

        Its copies do not count as capacity then.
        """
        limit = worker.send_limit.limit
        if limit is None or limit > 1:
            return False
        fleet_latency = max(1.0, self.estimates.mean_relative_latency)
        return worker.relative_latency > SLOW_FACTOR * fleet_latency

    def useful_copies(self, copies: Iterable[Copy], now: int) -> list[Copy]:
        """Return the copies on workers that will run queued activations, at once or after a while."""
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
        """Count an attempt as in flight no longer, and its slot as free."""
        attempt.copy.in_flight -= 1
        self.in_flight -= 1
        attempt.worker.cold_attempts -= attempt.is_cold

    def record_end(self, worker: Worker, reason: EndReason, now: int) -> None:
        """Record that the worker is up, if the end of an attempt shows it."""
        if reason not in UP_NOT_SHOWN:
            worker.answered_at = now
            worker.is_unresponsive = False

    def record_load_order_end(self, worker: Worker, reason: EndReason, now: int) -> None:
        """Record that the worker is up, if the end of a load order shows it."""
        if reason not in UP_NOT_SHOWN_BY_LOAD:
            worker.answered_at = now
            worker.is_unresponsive = False

    def record_latency(self, attempt: Attempt, duration: int, now: int) -> None:
        """Update a worker's latency and send limit after an answer of a loaded copy.

        The limit keeps a slow worker from being sent more than it can answer.
        """
        worker = attempt.worker
        self.estimates.record_latency(attempt, duration, now)
        is_slow = worker.relative_latency > SLOW_FACTOR
        sent_at = now - self.estimates.usual_service_time
        worker.send_limit.record_answer(is_slow, len(worker.in_flight), now, sent_at)

    def record_slowness(self, is_slow: bool, attempt: Attempt, now: int) -> None:
        """Update the share of slow answers, the fleet's send limit and the shed probability.

        If most answers are slow it is not single workers: fewer attempts are in flight at once, and the rest
        is queued.
        """
        if is_slow and self.is_congested(attempt.worker):
            return  # a worker that is known to be slow says nothing about the fleet
        self.slow_share += (is_slow - self.slow_share) / SLOW_SHARE_ANSWERS
        least = max(1.0, LEAST_A_WORKER * len(self.fleet.usable) / self.dispatchers)
        self.send_limit.record_answer(self.is_overloaded, self.in_flight, now, attempt.sent_at, least)
        excess = max(0.0, self.slow_share - BEARABLE_SLOW_SHARE)
        self.shed_probability = min(HIGHEST_SHED_PROBABILITY, SHED_SLOPE * excess)

    def record_full(self, worker: Worker, now: int) -> None:
        """Reduce what a worker is sent, as it has rejected an attempt because it is full."""
        worker.relative_latency = min(HIGHEST_RELATIVE_LATENCY, worker.relative_latency * FULL_FACTOR)
        worker.load_known_at = now
        worker.send_limit.record_answer(True, len(worker.in_flight) - 1, now, now)

    def is_single_connection(self, attempt: Attempt, now: int) -> bool:
        """Return whether a reset concerns one connection, and not the worker.

        One of several may break, or be closed for what came on it. A worker whose load was learnt after the
        attempt was sent, or within a usual service time, is up.
        """
        usual_start = now - self.estimates.usual_service_time
        return min(attempt.sent_at, usual_start) < attempt.worker.load_known_at

    def eject(self, worker: Worker, now: int) -> None:
        """Send nothing to the worker for a while, as its connection broke."""
        worker.ejected_until = now + self.target_latency // EJECTION_DIVISOR

    def detect_overdue(self, worker: Worker, now: int) -> Iterator[Activation]:
        """Yield the activations of a worker that should have been answered, to be hedged.

        A worker that has answered nothing for too long is marked as unresponsive; all its activations are
        overdue then, else those of its lost attempts. The caller hedges each before it takes the next, which
        may use the slot that a lost attempt has freed.
        """
        if not worker.in_flight:
            self._end_watch(worker, now)
            return
        oldest = next(iter(worker.in_flight.values()))
        usual = oldest.activation.function.service_time or self.estimates.usual_service_time
        allowance = OVERDUE_TIMES * usual + self._load_allowance(oldest)
        if now - max(worker.answered_at, oldest.sent_at) > max(allowance, self.target_latency):
            worker.is_unresponsive = True
            for attempt in list(worker.in_flight.values()):
                yield attempt.activation
            return
        yield from self._detect_lost(worker)

    def _end_watch(self, worker: Worker, now: int) -> None:
        """Watch a worker without attempts no longer; an unresponsive one is ejected, then gets one."""
        del self.workers_in_use[worker.id]
        if worker.is_unresponsive:
            worker.is_unresponsive = False
            worker.unresponsive_periods = min(worker.unresponsive_periods + 1, MOST_DOUBLINGS)
            worker.send_limit.limit = 1.0
            worker.ejected_until = now + (self.target_latency << worker.unresponsive_periods)

    def _detect_lost(self, worker: Worker) -> Iterator[Activation]:
        """Free the slots of attempts that far newer ones have overtaken, and yield their activations.

        Their answers are believed lost; one that comes all the same is handled.
        """
        newest = worker.newest_answered_sent_at
        for key, attempt in list(worker.in_flight.items()):
            if attempt.sent_at + self.target_latency > newest:
                break
            allowance = OVERDUE_TIMES * self.estimates.expected_time(attempt.activation)
            if attempt.sent_at + allowance + self._load_allowance(attempt) < newest:
                worker.lost[key] = worker.in_flight.pop(key)
                self.release(attempt)
                yield attempt.activation

    def _load_allowance(self, attempt: Attempt) -> int:
        """Return the time that an attempt is given for the load that it waits for, ns."""
        load_time = attempt.activation.function.load_time or self.target_latency
        return OVERDUE_LOADS * attempt.is_cold * load_time
