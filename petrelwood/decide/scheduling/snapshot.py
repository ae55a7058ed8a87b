"""A snapshot of a scheduler's estimates of the fleet, for logs."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from petrelwood.decide.scheduling.outlier_detection import OutlierDetection
from petrelwood.decide.scheduling.records import Function, Worker


class WorkerSnapshot(NamedTuple):
    """The estimates of one usable worker."""

    worker: str
    in_flight: int  # attempts in flight
    relative_latency: float  # 1.0 is usual
    send_limit: float | None  # limit of the attempts in flight; None: no limit
    is_unresponsive: bool
    copies: int  # functions that are assumed to have a copy on it


class SchedulerSnapshot(NamedTuple):
    """The estimates of the fleet."""

    in_flight: int  # attempts in flight at all workers
    slow_share: float  # share of slow answers
    shed_probability: float
    send_limit: float | None  # limit of the attempts in flight; None: no limit
    functions: int  # number of known functions
    workers: list[WorkerSnapshot]  # the usable ones


def take_snapshot(
    usable: Iterable[Worker], functions: Iterable[Function], outliers: OutlierDetection
) -> SchedulerSnapshot:
    """Return a snapshot of these workers and functions."""
    known = list(functions)
    copies = Counter(worker for function in known for worker in function.copies)
    workers = [
        WorkerSnapshot(
            worker.id,
            len(worker.in_flight),
            worker.relative_latency,
            worker.send_limit.limit,
            worker.is_unresponsive,
            copies[worker.id],
        )
        for worker in usable
    ]
    return SchedulerSnapshot(
        outliers.in_flight,
        outliers.slow_share,
        outliers.shed_probability,
        outliers.send_limit.limit,
        len(known),
        workers,
    )
