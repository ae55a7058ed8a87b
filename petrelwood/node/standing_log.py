"""The fields of the log line `standing`: what a dispatcher believes of load and health every few seconds."""

from collections.abc import Mapping, Sized
from typing import Protocol, TypedDict

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.scheduling.snapshot import SchedulerSnapshot, WorkerSnapshot


class ReportedLink(Protocol):
    """A link to a worker, as far as it is reported."""

    ends: dict[str, int]  # answers other than completed, by reason, since the last line

    @property
    def connections(self) -> Sized:
        """The connections."""


class StandingFields(TypedDict):
    """The fields of the line; its names are those that `docs/on-call.md` explains."""

    taken: int  # activations since the start, as the next three
    completed: int
    rejected: int
    aborted: int
    held: int  # activations without an answer
    out: int  # attempts in flight
    slow: float  # the share of answers that were slow
    turned: float  # the probability that an activation is shed
    cap: float | None  # the limit of attempts in flight; None: there is none
    functions: int
    clients: int  # connections
    listed: int  # usable workers
    ends: dict[str, dict[str, int]]  # worker -> reason -> answers other than completed, since the last line
    # worker -> attempts in flight, relative latency, limit of attempts in flight, whether it is unresponsive,
    # connections, copies
    workers: dict[str, list[float | None]]


def standing_fields(
    counts: Mapping[str, int],
    unanswered: int,
    believed: SchedulerSnapshot,
    links: Mapping[str, ReportedLink],
    clients: int,
) -> StandingFields:
    """Return the fields, and begin to count the ends of the links anew.

    Of hundreds of workers only those are reported that have something of ours, or are thought ill.

    Args:
        counts: of activations, by how they ended.
        unanswered: activations without an answer.
        believed: what the scheduler believes of the fleet.
        links: by worker.
        clients: connections of clients.
    """
    return {
        "taken": counts["taken"],
        "completed": counts[ActivationState.COMPLETED],
        "rejected": counts[ActivationState.REJECTED],
        "aborted": counts[ActivationState.ABORTED],
        "held": unanswered,
        "out": believed.in_flight,
        "slow": round(believed.slow_share, 2),
        "turned": round(believed.shed_probability, 2),
        "cap": _rounded(believed.send_limit),
        "functions": believed.functions,
        "clients": clients,
        "listed": len(believed.workers),
        "ends": _take_ends(links),
        "workers": _workers(believed.workers, links),
    }


def _take_ends(links: Mapping[str, ReportedLink]) -> dict[str, dict[str, int]]:
    """Return the ends by worker, and begin to count them anew."""
    ends = {worker: link.ends for worker, link in links.items() if link.ends}
    for worker in ends:
        links[worker].ends = {}
    return ends


def _workers(
    workers: list[WorkerSnapshot], links: Mapping[str, ReportedLink]
) -> dict[str, list[float | None]]:
    reported: dict[str, list[float | None]] = {}
    for each in workers:
        link = links.get(each.worker)
        connection_count = 0 if link is None else len(link.connections)
        if connection_count or each.in_flight or each.is_unresponsive or each.send_limit or each.copies:
            reported[each.worker] = [
                each.in_flight,
                round(each.relative_latency, 2),
                _rounded(each.send_limit),
                int(each.is_unresponsive),
                connection_count,
                each.copies,
            ]
    return reported


def _rounded(limit: float | None) -> float | None:
    return limit and round(limit, 1)
