"""Estimates of service times and of the workers' loads, learnt from answers and load reports."""

from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import Activation, Attempt, Worker

# Before the first answer, the usual service time and the work of an activation are the target latency divided
# by these.
FIRST_SERVICE_TIME_DIVISOR = 4
FIRST_WORK_DIVISOR = 8
RECENT_ANSWERS = 64  # over which the mean time of all answers runs
USUAL_TIME_ANSWERS = 64  # over which the usual service time runs
# A function's own service time moves so many times as fast, as it has fewer answers.
FUNCTION_SPEED = 8
# While the fleet is overloaded, an answer counts for so much less: its time is not the usual one.
OVERLOAD_DAMPING = 16
# An answer counts as slow from so many times its expected time on; a worker as congested from so many times
# the fleet's relative latency.
SLOW_FACTOR = 1.8
# A third of the target latency is never slow, however short the usual time is.
SLOW_TARGET_DIVISOR = 3
WORKER_LATENCY_ANSWERS = 8  # over which a worker's relative latency runs
FLEET_LATENCY_ANSWERS = 64  # over which the mean of all runs
MEAN_LOAD_UPDATES = 16  # over which the mean load of a worker runs
HIGHEST_RELATIVE_LATENCY = 8  # bounds how long one very late answer makes a worker count as slow
# Weight of an answer's own times against the usual service time, which damps rough hints of little work.
OWN_TIME_WEIGHT = 4
REPORT_WEIGHT = 15  # of the mean reported load so far against one more report, which has weight 1


class Estimates:
    """Running means of service times, work and loads.

    Attributes:
        usual_service_time: time for an answer of a loaded copy, ns.
        mean_arriving_work: mean work hint of the last arrivals, ns; 0 where none has one.
        mean_work: mean work hint of the answered activations that had one, ns.
        mean_work_time: mean time for an answer of these, ns.
        answers: answers so far, at most `RECENT_ANSWERS`.
        mean_answer_time: mean time of those, ns, loads included.
        mean_worker_load: activations in flight at a worker from all dispatchers, if each sends as this one.
        mean_reported_load: mean of the loads that workers report; None: no worker has reported one.
        mean_relative_latency: mean of all answers' times in proportion to the expected ones.
    """

    def __init__(self, parameters: Parameters) -> None:
        target_latency = parameters.target_latency
        self.dispatchers = parameters.terms.dispatchers
        # ns in which what is known of a worker's load loses its weight
        self.load_lifetime = parameters.terms.orders.min_idle_time or 1
        self.usual_service_time = target_latency // FIRST_SERVICE_TIME_DIVISOR
        self.mean_arriving_work: float = 0
        self.mean_work = target_latency / FIRST_WORK_DIVISOR
        self.mean_work_time = target_latency / FIRST_WORK_DIVISOR
        self.answers = 0
        self.mean_answer_time: float = 0
        self.mean_worker_load = 1.0
        self.mean_reported_load: float | None = None
        self.mean_relative_latency = 1.0

    def expected_time(self, activation: Activation) -> int:
        """Return the time in which an attempt should be answered, ns: by its work hint if there is one."""
        if activation.work:
            return int(activation.work * self.mean_work_time / self.mean_work)
        return activation.function.service_time or self.usual_service_time

    def slow_after(self, activation: Activation) -> float:
        """Return the time after which an answer of a loaded copy counts as slow, ns."""
        expected = SLOW_FACTOR * self.expected_time(activation)
        return max(expected, activation.target_latency // SLOW_TARGET_DIVISOR)

    def worker_load(self, worker: Worker, now: int) -> float:
        """Return an estimate of the activations that the worker runs or queues for all dispatchers.

        Its latency and its report are compared with the fleet's means, and count for less the older they
        are. To that are added the attempts that were sent to it since.
        """
        freshness = max(0, 1 - (now - worker.load_known_at) / self.load_lifetime)
        relative_load = worker.relative_latency / self.mean_relative_latency
        if self.mean_reported_load and worker.reported_load is not None:
            relative_load *= worker.reported_load / self.mean_reported_load
        known = self.mean_worker_load * (1 + (relative_load - 1) * freshness)
        return known + len(worker.in_flight) - worker.in_flight_at_report * freshness

    def record_arrival(self, work: int, arrivals: int) -> None:
        """Update the mean work hint with that of an activation; it runs over so many arrivals."""
        self.mean_arriving_work += (work - self.mean_arriving_work) / arrivals

    def record_report(self, worker: Worker, report: dict[str, float] | None, now: int) -> None:
        """Record a load report; an absent field means that the load is unknown, not that it is 0."""
        if not report:
            return
        worker.in_flight_at_report = len(worker.in_flight)
        worker.load_known_at = now
        if "running" in report or "waiting" in report:
            worker.reported_load = sum(report.get(key, 0) for key in ("running", "waiting", "loads", "cores"))
        elif "cores" in report:
            worker.reported_load = report["cores"]
        load = worker.reported_load
        if load is not None:
            mean = self.mean_reported_load or load
            self.mean_reported_load = (REPORT_WEIGHT * mean + load) / (REPORT_WEIGHT + 1)

    def record_answer_time(self, duration: int) -> None:
        """Update the mean time of all answers, whether or not their copies had to load."""
        self.answers = min(self.answers + 1, RECENT_ANSWERS)
        self.mean_answer_time += (duration - self.mean_answer_time) / self.answers

    def record_service_time(self, attempt: Attempt, duration: int, is_overloaded: bool) -> None:
        """Update the usual service times with an answer of a loaded copy.

        The more attempts were ahead of it at its worker, the less it counts.
        """
        damping = OVERLOAD_DAMPING if is_overloaded else 1
        part = 1 / (USUAL_TIME_ANSWERS * (1 + attempt.ahead) ** 2) / damping
        function = attempt.activation.function
        known = function.service_time
        function.service_time = int(known + (duration - known) * FUNCTION_SPEED * part) if known else duration
        self.usual_service_time = int(self.usual_service_time + (duration - self.usual_service_time) * part)
        work = attempt.activation.work
        if work:
            self.mean_work += (work - self.mean_work) * part
            self.mean_work_time += (duration - self.mean_work_time) * part

    def record_latency(self, attempt: Attempt, duration: int, now: int) -> None:
        """Update the relative latency of the attempt's worker, and the mean of all workers."""
        worker = attempt.worker
        usual = self.usual_service_time
        expected = self.expected_time(attempt.activation)
        relative = (OWN_TIME_WEIGHT * duration + usual) / (OWN_TIME_WEIGHT * expected + usual)
        relative = min(relative, HIGHEST_RELATIVE_LATENCY)
        worker.relative_latency += (relative - worker.relative_latency) / WORKER_LATENCY_ANSWERS
        worker.load_known_at = now
        self.mean_relative_latency += (relative - self.mean_relative_latency) / FLEET_LATENCY_ANSWERS

    def update_mean_load(self, in_flight: int, fleet_size: int) -> None:
        """Update the mean load of a worker.

        Other dispatchers are taken to have as many attempts in flight as this one.
        """
        load = in_flight * self.dispatchers / max(1, fleet_size)
        self.mean_worker_load += (load - self.mean_worker_load) / MEAN_LOAD_UPDATES
