"""Slow start: how much a worker that has just started is sent.

A worker is cold for `Guarantees.warm_up_time` after its start: at first it has only a share of its capacity
(`initial_capacity_share`), and it crashes if it is sent `crash_load_multiple` times that within
`slow_start_window` ns. Therefore each step of `slow_start_window` ns has a budget of attempts. The
dispatchers do not know of each other's sends, so each takes its own part of the budget.
"""

from collections.abc import Iterable

from petrelwood.decide.scheduling.estimates import Estimates
from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import Worker
from petrelwood.decide.scheduling.window_counter import BackdatedCounter

# All dispatchers together plan for what makes a worker fall over, divided by this: draws may add up to more.
BUDGET_PART_DIVISOR = 3
UNLIMITED = 1  # the budget of a warm worker: any number over 0, as sends are not taken off it


class SlowStart:
    """Budgets of cold workers, in proportion to what this dispatcher sends to a warm one.

    Attributes:
        warm_workers: usable workers that are warm, as of the last update.
        warming_up: those that are not.
        warm_answers: answers of warm workers in the last `warm_up_time` ns.
        warm_worker_time: the sum over warm workers of the time that each was warm then, ns.
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
        """Return whether the worker has been up long enough for its full load."""
        return not worker.booted or max(0, now - worker.booted) >= self.guarantees.warm_up_time

    def budget(self, worker: Worker, now: int) -> int:
        """Return how many attempts may still be sent to the worker in this step; over 0 if it is warm.

        Draws the budget of a cold worker at the first call in each step.
        """
        if self.is_warm(worker, now) or not self.guarantees.slow_start_window:
            return UNLIMITED
        step = max(0, now - worker.booted) // self.guarantees.slow_start_window
        if step != worker.slow_start_step:
            worker.slow_start_budget = self._draw_budget(step, now)
            worker.slow_start_step = step
        return worker.slow_start_budget

    def record_answer(self, worker: Worker, now: int) -> None:
        """Count an answer, if its worker is warm."""
        self.warm_answers.add(now, int(self.is_warm(worker, now)))

    def fleet_changed(self, usable: Iterable[Worker], now: int) -> None:
        """Note which of the usable workers are cold, after a change of the endpoint list."""
        self.warming_up = [worker for worker in usable if not self.is_warm(worker, now)]

    def update(self, now: int, elapsed: int, fleet_size: int) -> None:
        """Count the warm workers, and the time that they were warm in the last `elapsed` ns."""
        self.warm_worker_time.add(now, self.warm_workers * elapsed)
        self.warming_up = [worker for worker in self.warming_up if not self.is_warm(worker, now)]
        self.warm_workers = fleet_size - len(self.warming_up)

    def _draw_budget(self, step: int, now: int) -> int:
        """Return this dispatcher's part of a cold worker's budget for one step, in attempts.

        It follows the rate of answers of a warm worker, or the dispatcher's part of what one core can do if
        that is more. A fraction of an attempt is rounded by a draw, so that all dispatchers together keep
        the budget.
        """
        terms = self.guarantees
        capacity = (
            terms.initial_capacity_share
            + (1 - terms.initial_capacity_share) * step * terms.slow_start_window / terms.warm_up_time
        )
        warm_time = max(
            self.warm_worker_time.lower_bound(now), max(1, self.warm_workers) * terms.warm_up_time
        )
        estimates = self.estimates
        # Without hints the usual service time may still be a guess, and answers tell more.
        work = max(estimates.usual_service_time, estimates.mean_arriving_work or estimates.mean_answer_time)
        rate = max(self.warm_answers.lower_bound(now) / warm_time, 1 / work / self.dispatchers)
        return int(
            terms.crash_load_multiple / BUDGET_PART_DIVISOR * capacity * rate * terms.slow_start_window
            + self.draw()
        )
