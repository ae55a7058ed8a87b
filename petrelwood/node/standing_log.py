"""The fields of the log line `standing`: the load and health estimates of a dispatcher, every few seconds."""

from collections.abc import Mapping, Sized
from typing import Protocol, TypedDict

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.scheduling.snapshot import SchedulerSnapshot, WorkerSnapshot


class ReportedLink(Protocol):
    """The interface of a link to a worker for the log line."""

    ends: dict[str, int]  # answers other than completed, by reason, since the last line

    @property
    def connections(self) -> Sized:
        """The connections."""


class StandingFields(TypedDict):
    """The fields of the line; `docs/on-call.md` explains their names."""

    taken: int  # activations since the start, like the next three
    completed: int
    rejected: int
    aborted: int
    held: int  # activations without an answer
    out: int  # attempts in flight
    slow: float  # the share of answers that were slow
    turned: float  # the probability of shedding an activation
    cap: float | None  # the limit of attempts in flight; None: no limit
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
    snapshot: SchedulerSnapshot,
    links: Mapping[str, ReportedLink],
    clients: int,
) -> StandingFields:
    """Return the fields, and reset the counts of ends in the links.

    To keep the line short with hundreds of workers, only workers are included that have connections, attempts
    or copies of this dispatcher, a send limit, or are unresponsive.

    Args:
        counts: the numbers of activations, by final state.
        unanswered: activations without an answer.
        snapshot: the scheduler's estimates of the fleet.
        links: the links, by worker.
        clients: the number of client connections.
    """
    return {
        "taken": counts["taken"],
        "completed": counts[ActivationState.COMPLETED],
        "rejected": counts[ActivationState.REJECTED],
        "aborted": counts[ActivationState.ABORTED],
        "held": unanswered,
        "out": snapshot.in_flight,
        "slow": round(snapshot.slow_share, 2),
        "turned": round(snapshot.shed_probability, 2),
        "cap": _rounded(snapshot.send_limit),
        "functions": snapshot.functions,
        "clients": clients,
        "listed": len(snapshot.workers),
        "ends": _take_ends(links),
        "workers": _workers(snapshot.workers, links),
    }


def _take_ends(links: Mapping[str, ReportedLink]) -> dict[str, dict[str, int]]:
    """Return the counts of ends by worker, and reset them."""
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
