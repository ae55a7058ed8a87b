"""Estimates of service times and of the loads of workers, from answers and load reports."""

from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import Activation, Attempt, Worker

# The initial estimates, before the first answer: the target latency divided by these is the usual service
# time and the mean work of an activation.
INITIAL_SERVICE_TIME_DIVISOR = 4
INITIAL_WORK_DIVISOR = 8
RECENT_ANSWERS = 64  # length of the running mean of the times of all answers
USUAL_TIME_ANSWERS = 64  # length of the running mean of the usual service time
# An answer has this many times the weight in the service time of its function, which has fewer answers than
# the whole fleet.
FUNCTION_WEIGHT_FACTOR = 8
# The weight of an answer is divided by this while the fleet is overloaded, because its time is not the usual
# one.
OVERLOAD_WEIGHT_DIVISOR = 16
# An answer is slow if it takes longer than this multiple of its expected time; a worker is congested if its
# relative latency is above this multiple of the fleet's.
SLOW_FACTOR = 1.8
# An answer within the target latency divided by this is never slow, however short its expected time is.
SLOW_TARGET_DIVISOR = 3
WORKER_LATENCY_ANSWERS = 8  # length of the running mean of a worker's relative latency
FLEET_LATENCY_ANSWERS = 64  # length of the running mean of the relative latency of all workers
MEAN_LOAD_UPDATES = 16  # length of the running mean of the load of a worker
MAX_RELATIVE_LATENCY = 8  # limits how long a worker counts as slow after one very late answer
# Weight of an answer's own times relative to the usual service time. The usual service time damps the effect
# of imprecise hints of little work.
OWN_TIME_WEIGHT = 4
MEAN_WEIGHT = 15  # weight of the mean reported load so far, relative to a new report with weight 1


class Estimates:
    """Running means of service times, work and loads.

    Attributes:
        usual_service_time: usual response time on a loaded copy, ns.
        mean_arriving_work: mean work hint of the last arrivals, ns; 0 if none of them has one.
        mean_work: mean work hint of the answered activations that had one, ns.
        mean_work_time: mean response time of these activations, ns.
        answers: number of answers so far, at most `RECENT_ANSWERS`.
        mean_answer_time: mean response time of the last answers, ns, including loads.
        mean_worker_load: activations in flight at a worker from all dispatchers, if each has as many in
            flight as this one.
        mean_reported_load: mean of the loads that workers report; None: no worker has reported one.
        mean_relative_latency: mean ratio of the response times to the expected ones.
    """

    def __init__(self, parameters: Parameters) -> None:
        target_latency = parameters.target_latency
        self.dispatchers = parameters.terms.dispatchers
        # ns after which the known load of a worker has no weight any more
        self.load_lifetime = parameters.terms.orders.min_idle_time or 1
        self.usual_service_time = target_latency // INITIAL_SERVICE_TIME_DIVISOR
        self.mean_arriving_work: float = 0
        self.mean_work = target_latency / INITIAL_WORK_DIVISOR
        self.mean_work_time = target_latency / INITIAL_WORK_DIVISOR
        self.answers = 0
        self.mean_answer_time: float = 0
        self.mean_worker_load = 1.0
        self.mean_reported_load: float | None = None
        self.mean_relative_latency = 1.0

    def expected_time(self, activation: Activation) -> int:
        """Return the expected response time of an attempt, ns, from its work hint if there is one."""
        if activation.work:
            return int(activation.work * self.mean_work_time / self.mean_work)
        return activation.function.service_time or self.usual_service_time

    def slow_after(self, activation: Activation) -> float:
        """Return the response time above which an answer of a loaded copy counts as slow, ns."""
        expected = SLOW_FACTOR * self.expected_time(activation)
        return max(expected, activation.target_latency // SLOW_TARGET_DIVISOR)

    def worker_load(self, worker: Worker, now: int) -> float:
        """Return an estimate of the activations that the worker runs or queues for all dispatchers.

        The ratios of its latency and of its load report to the fleet's means scale the mean load; they have
        less weight the older they are. The attempts sent to it since then are added.
        """
        freshness = max(0, 1 - (now - worker.load_updated_at) / self.load_lifetime)
        relative_load = worker.relative_latency / self.mean_relative_latency
        if self.mean_reported_load and worker.reported_load is not None:
            relative_load *= worker.reported_load / self.mean_reported_load
        known_load = self.mean_worker_load * (1 + (relative_load - 1) * freshness)
        return known_load + len(worker.in_flight) - worker.in_flight_at_report * freshness

    def record_arrival(self, work: int, arrivals: int) -> None:
        """Update the mean work hint, which runs over the last `arrivals`, with the hint of one more."""
        self.mean_arriving_work += (work - self.mean_arriving_work) / arrivals

    def record_report(self, worker: Worker, report: dict[str, float] | None, now: int) -> None:
        """Record a load report; an absent field means that the value is unknown, not that it is 0."""
        if not report:
            return
        worker.in_flight_at_report = len(worker.in_flight)
        worker.load_updated_at = now
        if "running" in report or "waiting" in report:
            worker.reported_load = sum(report.get(key, 0) for key in ("running", "waiting", "loads", "cores"))
        elif "cores" in report:
            worker.reported_load = report["cores"]
        load = worker.reported_load
        if load is not None:
            mean = self.mean_reported_load or load
            self.mean_reported_load = (MEAN_WEIGHT * mean + load) / (MEAN_WEIGHT + 1)

    def record_answer_time(self, duration: int) -> None:
        """Update the mean response time of all answers, including those that waited for a load."""
        self.answers = min(self.answers + 1, RECENT_ANSWERS)
        self.mean_answer_time += (duration - self.mean_answer_time) / self.answers

    def record_service_time(self, attempt: Attempt, duration: int, is_overloaded: bool) -> None:
        """Update the usual service times with an answer of a loaded copy.

        The more attempts were ahead of it at its worker, the less weight it has.
        """
        damping = OVERLOAD_WEIGHT_DIVISOR if is_overloaded else 1
        weight = 1 / (USUAL_TIME_ANSWERS * (1 + attempt.ahead) ** 2) / damping
        function = attempt.activation.function
        known = function.service_time
        function.service_time = (
            int(known + (duration - known) * FUNCTION_WEIGHT_FACTOR * weight) if known else duration
        )
        self.usual_service_time = int(self.usual_service_time + (duration - self.usual_service_time) * weight)
        work = attempt.activation.work
        if work:
            self.mean_work += (work - self.mean_work) * weight
            self.mean_work_time += (duration - self.mean_work_time) * weight

    def record_latency(self, attempt: Attempt, duration: int, now: int) -> None:
        """Update the relative latency of the attempt's worker, and the mean of all workers."""
        worker = attempt.worker
        usual = self.usual_service_time
        expected = self.expected_time(attempt.activation)
        relative = (OWN_TIME_WEIGHT * duration + usual) / (OWN_TIME_WEIGHT * expected + usual)
        relative = min(relative, MAX_RELATIVE_LATENCY)
        worker.relative_latency += (relative - worker.relative_latency) / WORKER_LATENCY_ANSWERS
        worker.load_updated_at = now
        self.mean_relative_latency += (relative - self.mean_relative_latency) / FLEET_LATENCY_ANSWERS

    def update_mean_load(self, in_flight: int, fleet_size: int) -> None:
        """Update the mean load of a worker.

        Assumes that each other dispatcher has as many attempts in flight as this one.
        """
        load = in_flight * self.dispatchers / max(1, fleet_size)
        self.mean_worker_load += (load - self.mean_worker_load) / MEAN_LOAD_UPDATES
