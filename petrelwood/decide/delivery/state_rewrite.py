"""When a failed state log is begun anew, and what must be written to it before it counts.

A file whose write or fsync failed is never trusted again: nobody can tell how much of it is on the disk. What
it should contain is still in memory: the ledger has every id and its outcome for as long as either is
remembered, and the load orders of the last period are few. So a new segment is begun, with backoff, and all
of this is written to it as the records that a start reads. Only when the last of it is durable is anything
admitted again that must not run twice, and only then may load orders go out again: the next incarnation must
count them against its rate limit.
"""

from collections import deque
from collections.abc import Callable, Iterator

from petrelwood import ports
from petrelwood.decide.delivery.ledger import ActivationState, LedgerEntry
from petrelwood.decide.delivery.state_records import (
    ActivationAdmitted,
    ActivationEnded,
    LoadOrdered,
    OutageEnded,
    Record,
)
from petrelwood.decide.overload.backoff import Backoff

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
FIRST_DELAY = 250 * MILLISECOND
LONGEST_DELAY = 10 * SECOND
STABLE_AFTER = 60 * SECOND  # the log must hold so long before the delays begin at the first again


class RecoverySchedule:
    """When a failed log is tried again, and the history of its outage.

    A disk that fails again soon after it recovered gets longer delays: each attempt rewrites all that is
    remembered. Times in ns: `now` is the monotonic clock, `wall` the wall clock.
    """

    def __init__(self, random_fraction: Callable[[], float]) -> None:
        self.backoff = Backoff(FIRST_DELAY, LONGEST_DELAY, random_fraction)
        self.failed_at: int | None = None
        self.recovered_at: int | None = None
        self.attempts = 0
        self.cause = ""

    @property
    def in_outage(self) -> bool:
        """Return whether the log has failed and has not recovered yet."""
        return self.failed_at is not None

    def failed(self, now: int, cause: str) -> int:
        """Record that the log, or an attempt to begin it anew, has failed; return the next delay, ns."""
        if self.failed_at is None:
            self.failed_at = now
            self.attempts = 0
            self.cause = cause
            if self.recovered_at is not None and now - self.recovered_at >= STABLE_AFTER:
                self.backoff.succeeded()
        return self.backoff.failed(now) - now

    def attempt_due(self, now: int) -> bool:
        """Return whether the log may be begun anew now, and count the attempt if so."""
        if self.failed_at is None or now < self.backoff.not_before:
            return False
        self.attempts += 1
        return True

    def outage_record(self, now: int, wall: int) -> Record:
        """Return the record of the outage for the recovered log; its start is computed back from now."""
        assert self.failed_at is not None
        return OutageEnded(wall, wall - (now - self.failed_at), self.cause, self.attempts)

    def recovered(self, now: int) -> int:
        """End the outage; return how long it lasted, ns."""
        assert self.failed_at is not None
        lasted = now - self.failed_at
        self.failed_at = None
        self.recovered_at = now
        return lasted


class RecentOrders:
    """The load orders of the last `period` ns, which still count against the rate limit."""

    def __init__(self, period: int) -> None:
        self.period = period
        self.orders: deque[tuple[int, str, str, int]] = deque()

    def add(self, now: int, worker: str, function: str, copies: int) -> None:
        """Record an order that goes out."""
        self._prune(now)
        if self.period:
            self.orders.append((now, worker, function, copies))

    def records(self, now: int, wall: int) -> Iterator[Record]:
        """Yield the orders as records of the state log."""
        self._prune(now)
        for at, worker, function, copies in self.orders:
            yield LoadOrdered(wall - (now - at), worker, function, copies)

    def _prune(self, now: int) -> None:
        while self.orders and now - self.orders[0][0] >= self.period:
            self.orders.popleft()


def entry_records(
    key: tuple[str, str], entry: LedgerEntry, now: int, wall: int, remember: dict[str, int], longest_body: int
) -> Iterator[Record]:
    """Yield the records from which `recovery` restores this entry of the ledger.

    They carry times computed from the entry's age, so that it is forgotten no earlier than it would be here.
    An id without an outcome gets none; if an earlier attempt of it may have run, that is recorded first.
    `longest_body`: the longest answer that is recorded, bytes.
    """
    first = max(0, wall - (now - entry.first_at))
    # nothing from ahead of the clock; where the stamp keeps an id for longer, it is in the record too
    last = min(wall, max(first, wall - (now - (entry.remembered_until - remember[entry.type_name]))))
    yield ActivationAdmitted(first, *key, entry.timestamp, entry.type_name)
    if entry.state not in (ActivationState.RUNNING, ActivationState.RUNNING_ELSEWHERE):
        body = entry.result if entry.result is not None and len(entry.result) <= longest_body else None
        yield ActivationEnded(last, *key, entry.state, entry.may_have_run, body)
    elif entry.may_have_run:
        yield ActivationEnded(last, *key, ActivationState.ABORTED, True, None)
        yield ActivationAdmitted(last, *key, entry.timestamp, entry.type_name)


def forgotten_record(
    newest_forgotten: int,
    wall: int,
    types: dict[str, ports.NamespaceType],
    remember: dict[str, int],
    tolerance: int,
) -> Record | None:
    """Return the record of the newest timestamp of an id that this ledger has forgotten, or None.

    The segments that had those ids are superseded. The record is of an id that no customer has, so old that
    every reader forgets it, and with it all that have its timestamp or an older one.
    """
    for name, type_ in types.items():
        if newest_forgotten and type_.effect != ports.Effect.REPEATABLE:
            old = max(0, wall - remember[name] - 4 * tolerance)
            return ActivationAdmitted(old, "", "", newest_forgotten, name)
    return None
