"""The recovery of a failed state log: when to rewrite it, and which records the new segment needs.

After a failed write or fsync a file is never trusted again, because it is unknown how much of it is on the
disk. Its content is still in memory: the ledger has every id and outcome that must be remembered, and the
load orders of the last period are few. Therefore a new segment is begun, with backoff between attempts, and
this state is written to it as the records that a restart reads. Activations that must not run twice are
admitted again, and load orders are sent again, only when the last of these records is durable: the next
incarnation must count the load orders against its rate limit.
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
    RetryReceived,
)
from petrelwood.decide.overload.backoff import Backoff

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
FIRST_DELAY = 250 * MILLISECOND  # ns before the first attempt to recover the log
MAX_DELAY = 10 * SECOND  # ns between two attempts, at most
STABLE_AFTER = 60 * SECOND  # ns without a failure after which the delays start from the first again


class RecoverySchedule:
    """The schedule of attempts to recover a failed log, and the history of the outage.

    A disk that fails again soon after its recovery gets longer delays, because each attempt rewrites all
    remembered state. Times in ns: `now` is the monotonic clock, `wall` the wall clock.
    """

    def __init__(self, random_fraction: Callable[[], float]) -> None:
        self.backoff = Backoff(FIRST_DELAY, MAX_DELAY, random_fraction)
        self.failed_at: int | None = None
        self.recovered_at: int | None = None
        self.attempts = 0
        self.cause = ""

    @property
    def in_outage(self) -> bool:
        """Return whether the log has failed and has not recovered yet."""
        return self.failed_at is not None

    def failed(self, now: int, cause: str) -> int:
        """Record that the log or an attempt to recover it has failed; return the next delay, ns."""
        if self.failed_at is None:
            self.failed_at = now
            self.attempts = 0
            self.cause = cause
            if self.recovered_at is not None and now - self.recovered_at >= STABLE_AFTER:
                self.backoff.succeeded()
        return self.backoff.failed(now) - now

    def attempt_due(self, now: int) -> bool:
        """Return whether to attempt a recovery now, and count the attempt if so."""
        if self.failed_at is None or now < self.backoff.not_before:
            return False
        self.attempts += 1
        return True

    def outage_record(self, now: int, wall: int) -> Record:
        """Return the record of the outage for the recovered log, with its start computed back from now."""
        assert self.failed_at is not None
        return OutageEnded(wall, wall - (now - self.failed_at), self.cause, self.attempts)

    def recovered(self, now: int) -> int:
        """End the outage; return its duration, ns."""
        assert self.failed_at is not None
        duration = now - self.failed_at
        self.failed_at = None
        self.recovered_at = now
        return duration


class RecentOrders:
    """The load orders of the last `period` ns, which still count against the rate limit."""

    def __init__(self, period: int) -> None:
        self.period = period
        self.orders: deque[tuple[int, str, str, int]] = deque()

    def add(self, now: int, worker: str, function: str, copies: int) -> None:
        """Record an order that is sent."""
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
    key: tuple[str, str],
    entry: LedgerEntry,
    now: int,
    wall: int,
    remember: dict[str, int],
    max_body_size: int,
) -> Iterator[Record]:
    """Yield the records from which `recovery` restores this entry of the ledger.

    Their times are computed from the age of the entry, so that the next incarnation forgets it no earlier
    than this one would. An id without an outcome gets no end; if an earlier attempt of it may have run, an
    abort of that attempt is recorded first. `max_body_size`: the longest answer that is recorded, bytes.
    """
    first = max(0, wall - (now - entry.first_at))
    # No recorded time is ahead of the clock. If the timestamp keeps the id for longer, the record shows that
    # too, because it contains the timestamp.
    last = min(wall, max(first, wall - (now - (entry.remembered_until - remember[entry.type_name]))))
    yield ActivationAdmitted(first, *key, entry.timestamp, entry.type_name)
    if entry.state not in (ActivationState.RUNNING, ActivationState.RUNNING_ELSEWHERE):
        body = entry.result if entry.result is not None and len(entry.result) <= max_body_size else None
        yield ActivationEnded(last, *key, entry.state, entry.may_have_run, body)
        return
    if entry.may_have_run:
        yield ActivationEnded(last, *key, ActivationState.ABORTED, True, None)
        yield ActivationAdmitted(last, *key, entry.timestamp, entry.type_name)
    elif entry.attempts > 1:  # a retry waits for its answer, and has extended how long the id is remembered
        yield retry_record(key, entry, last)


def retry_record(key: tuple[str, str], entry: LedgerEntry, time: int) -> RetryReceived:
    """Return the record of an id's newest timestamp; `time`: the wall-clock time of the record, ns."""
    return RetryReceived(time, *key, entry.timestamp, entry.type_name, entry.state, entry.may_have_run)


def forgotten_record(
    newest_forgotten: int,
    wall: int,
    types: dict[str, ports.NamespaceType],
    remember: dict[str, int],
    tolerance: int,
) -> Record | None:
    """Return the record of the newest timestamp of an id that this ledger has forgotten, or None.

    The new segment supersedes those that had the forgotten ids. The record has an id that no customer uses,
    and is so old that each reader forgets it, and with it all ids that have its timestamp or an older one.
    """
    for name, type_ in types.items():
        if newest_forgotten and type_.effect != ports.Effect.REPEATABLE:
            old = max(0, wall - remember[name] - 4 * tolerance)
            return ActivationAdmitted(old, "", "", newest_forgotten, name)
    return None
