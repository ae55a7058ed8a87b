"""What a scheduler believes of the fleet at one time, for logs."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from petrelwood.decide.scheduling.outlier_detection import OutlierDetection
from petrelwood.decide.scheduling.records import Function, Worker


class WorkerSnapshot(NamedTuple):
    """What is believed of one usable worker."""

    worker: str
    in_flight: int  # attempts
    relative_latency: float  # 1.0 is usual
    send_limit: float | None  # attempts in flight at a time; None: no limit
    is_unresponsive: bool
    copies: int  # functions that are believed to have a copy there


class SchedulerSnapshot(NamedTuple):
    """What is believed of the fleet."""

    in_flight: int  # attempts at all workers
    slow_share: float  # of answers
    shed_probability: float
    send_limit: float | None  # attempts in flight at a time; None: no limit
    functions: int  # that are known
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
