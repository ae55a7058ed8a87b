"""Slow start: how many attempts a worker that has just started is sent.

A worker is cold for `Guarantees.warm_up_time` after its start: at first it has only a share of its capacity
(`initial_capacity_share`), and it crashes if it is sent `crash_load_multiple` times its present capacity
within `slow_start_window` ns. Therefore each step of `slow_start_window` ns has a budget of attempts. The
dispatchers do not know each other's sends, so each uses only its own part of the budget.
"""

from collections.abc import Iterable

from petrelwood.decide.scheduling.estimates import Estimates
from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import Attempt, Worker
from petrelwood.decide.scheduling.window_counter import BackdatedCounter

# All dispatchers together plan for the load that crashes a worker, divided by this, because the random
# roundings of their budgets may add up to more than planned.
CRASH_LOAD_DIVISOR = 3
UNLIMITED = 1  # the budget of a warm worker: any positive number, because sends do not reduce it


class SlowStart:
    """Budgets of cold workers, in proportion to what this dispatcher sends to a warm one.

    Attributes:
        warm_workers: usable workers that are warm, as of the last update.
        warming_up: usable workers that are not warm, as of the last update.
        warm_answers: answers of warm workers in the last `warm_up_time` ns.
        warm_worker_time: the sum over warm workers of the time that each was warm in that period, ns.
    """

    def __init__(self, parameters: Parameters, estimates: Estimates) -> None:
        self.guarantees = parameters.terms.guarantees
        self.dispatchers = parameters.terms.dispatchers
        self.draw = parameters.draw
        self.estimates = estimates
        self.warm_workers = 1
        self.warming_up: list[Worker] = []
        self.warm_answers = BackdatedCounter(self.guarantees.warm_up_time)
        self.warm_worker_time = BackdatedCounter(self.guarantees.warm_up_time)

    def is_warm(self, worker: Worker, now: int) -> bool:
        """Return whether the worker has been up long enough for its full capacity."""
        return not worker.booted or max(0, now - worker.booted) >= self.guarantees.warm_up_time

    def budget(self, worker: Worker, now: int) -> int:
        """Return how many attempts may still be sent to the worker in this step; positive if it is warm.

        The first call in each step draws the budget of a cold worker.
        """
        if self.is_warm(worker, now) or not self.guarantees.slow_start_window:
            return UNLIMITED
        step = max(0, now - worker.booted) // self.guarantees.slow_start_window
        if step != worker.slow_start_step:
            worker.slow_start_budget = self._draw_budget(step, now)
            worker.slow_start_step = step
        return worker.slow_start_budget

    def may_leave(self, attempt: Attempt, now: int) -> bool:
        """Return whether an attempt that was queued for its worker may still be written to it.

        An attempt that was decided before the worker restarted is not counted in the present budget.
        """
        worker = attempt.worker
        return attempt.booted == worker.booted or self.budget(worker, now) > 0

    def record_leaving(self, attempt: Attempt) -> None:
        """Count an attempt that is written now in the budget of its worker, unless it is counted already."""
        worker = attempt.worker
        if attempt.booted != worker.booted:
            attempt.booted = worker.booted
            worker.slow_start_budget -= 1

    def record_answer(self, worker: Worker, now: int) -> None:
        """Count an answer, if its worker is warm."""
        self.warm_answers.add(now, int(self.is_warm(worker, now)))

    def fleet_changed(self, usable: Iterable[Worker], now: int) -> None:
        """Record which of the usable workers are cold, after a change of the endpoint list."""
        self.warming_up = [worker for worker in usable if not self.is_warm(worker, now)]

    def update(self, now: int, elapsed: int, fleet_size: int) -> None:
        """Update the number of warm workers, and add the last `elapsed` ns to their warm time."""
        self.warm_worker_time.add(now, self.warm_workers * elapsed)
        self.warming_up = [worker for worker in self.warming_up if not self.is_warm(worker, now)]
        self.warm_workers = fleet_size - len(self.warming_up)

    def _draw_budget(self, step: int, now: int) -> int:
        """Return this dispatcher's part of a cold worker's budget for one step, in attempts.

        It is proportional to the answer rate of a warm worker, or to the dispatcher's part of the rate of one
        core if that is higher. A fraction of an attempt is rounded up or down at random, so that all
        dispatchers together keep the budget on average.
        """
        platform = self.guarantees
        capacity = (
            platform.initial_capacity_share
            + (1 - platform.initial_capacity_share)
            * step
            * platform.slow_start_window
            / platform.warm_up_time
        )
        warm_time = max(
            self.warm_worker_time.lower_bound(now), max(1, self.warm_workers) * platform.warm_up_time
        )
        estimates = self.estimates
        # Without hints the usual service time may still be the initial guess; the answer time is more
        # reliable.
        work = max(estimates.usual_service_time, estimates.mean_arriving_work or estimates.mean_answer_time)
        rate = max(self.warm_answers.lower_bound(now) / warm_time, 1 / work / self.dispatchers)
        return int(
            platform.crash_load_multiple / CRASH_LOAD_DIVISOR * capacity * rate * platform.slow_start_window
            + self.draw()
        )
