"""The ledger of ids: whether a request is a first attempt, a retry or a replay, and how a retry is answered.

The customer chooses the id. The ledger remembers the newest timestamp of each id: a request with an older or
equal timestamp is a replay and never runs, a request with a newer timestamp is a retry. A retry that arrives
while the first attempt runs waits for the same answer. A retry of a completed activation gets its result, if
it is still stored. After a rejection the activation may run. After an abort, or after its client departed, it
runs again only if its namespace type allows that: repeatable always, deduplicated if every worker drops
repeats and the window is open, once-only never.

An id is remembered for the time that its namespace type requires, and at least as long as any timestamp that
it was received with would still be accepted. A full ledger rejects new ids; it never forgets an id early. The
results have a separate bound: the oldest are dropped first, and then only the outcome is known.

A ledger that began empty can't recognise a replay of a request that an earlier process answered. It therefore
accepts only requests that were signed since it began; a client that is rejected for this signs again.

Ids are remembered for a span of the monotonic clock, while the tolerance of timestamps is relative to the
wall clock. After the wall clock is stepped back, timestamps of ids that are already forgotten are within the
tolerance again. For this reason an activation that must not run twice is accepted only with a timestamp newer
than those of all forgotten ids. Without a step no sender within the tolerance has such an old timestamp.
"""

import enum
from collections import OrderedDict, deque
from dataclasses import dataclass

from petrelwood import ports

SECOND = 1_000_000_000
PRUNE_BATCH = 64  # expired ids that one request prunes, at most, so that no single request takes long
Key = tuple[str, str]  # customer and id


class LedgerVerdict(enum.StrEnum):
    """The action for a request, according to its id and timestamp."""

    RUN = "run"  # the activation may run
    JOIN = "join"  # an attempt runs here: the request waits for the same answer
    REPEAT_RESULT = "again"  # the activation was completed: the request gets the same result
    REPLAY = "replay"  # the timestamp is not newer than one received before
    MAY_HAVE_RUN = "unknown"  # an earlier attempt may have run, and the activation must not run twice
    RESULT_DROPPED = "spent"  # the activation was completed, and its result is no longer stored
    LEDGER_FULL = "full"
    SIGNED_TOO_EARLY = "before"  # may be a replay of an id that is not remembered
    RUNNING_ELSEWHERE = "elsewhere"  # an earlier process still runs the activation


class ActivationState(enum.StrEnum):
    """The state of an activation; the values are stored in the state log and sent to clients."""

    RUNNING = "running"
    RUNNING_ELSEWHERE = "elsewhere"  # an earlier process still runs it; it must not run here
    COMPLETED = "completed"
    REJECTED = "rejected"
    ABORTED = "aborted"
    CLIENT_LEFT = "left"  # no answer will be known


# Module names, because looking up an enum member takes four times as long.
_RUN = LedgerVerdict.RUN
_RUNNING = ActivationState.RUNNING
_RUNNING_ELSEWHERE = ActivationState.RUNNING_ELSEWHERE
_COMPLETED = ActivationState.COMPLETED
_REJECTED = ActivationState.REJECTED


@dataclass(slots=True, eq=False)
class LedgerEntry:
    """The state of one id. Times in ns of the monotonic clock, except the timestamp."""

    timestamp: int  # the newest received with the id, ns of the sender's wall clock
    type_name: str
    first_at: int  # when the id first arrived, or arrived again after no attempt had run
    remembered_until: int
    state: ActivationState = _RUNNING
    result: bytes | None = None
    activation_id: str | None = None  # of the running attempt
    attempts: int = 1  # accepted requests with the id, the first one included
    may_have_run: bool = False
    retry_until: int = 0  # by when a retry that may run again must be answered; 0 if there is no bound
    recorded_timestamp: int = 0  # the newest that the state log has

    def needs_record(self) -> bool:
        """Return whether the state log lacks the newest timestamp.

        Signed timestamps are whole seconds. Others, which are assigned on arrival and never replayed, need
        one record a second, so that a flood of retries does not flood the log.
        """
        return self.timestamp // SECOND > self.recorded_timestamp // SECOND


class Ledger:
    """The ids of one dispatcher.

    Times in ns: `now` is the monotonic clock, `wall` this machine's wall clock and `timestamp` the sender's.
    `tolerance`: how far a timestamp may differ from this machine's wall clock; `remember`: how long ids are
    remembered, by namespace type; `started_at`: the wall-clock time since which the ledger is complete.
    """

    def __init__(
        self,
        max_entries: int,
        max_result_bytes: int,
        tolerance: int,
        types: dict[str, ports.NamespaceType],
        remember: dict[str, int],
        started_at: int = 0,
    ) -> None:
        self.max_entries = max_entries
        self.max_result_bytes = max_result_bytes
        self.tolerance = tolerance
        self.types = types
        self.remember = remember  # by namespace type
        self.complete_since = started_at // SECOND * SECOND  # wall clock; timestamps are whole seconds
        self.newest_forgotten = 0  # the newest timestamp of all forgotten ids
        self.entries: dict[Key, LedgerEntry] = {}
        self.counts: dict[str, int] = {verdict.value: 0 for verdict in LedgerVerdict}
        self._results: OrderedDict[Key, LedgerEntry] = OrderedDict()  # entries with a result, oldest first
        self._result_bytes = 0
        # (when to check for expiry, key), in order of arrival
        self._expiries: deque[tuple[int, Key]] = deque()

    # Accepted timestamps
    def earliest_timestamp(self, type_name: str) -> int:
        """Return the earliest timestamp that is accepted with an unknown id."""
        if self.types[type_name].effect == ports.Effect.REPEATABLE:
            return self.complete_since
        return max(self.complete_since, self.newest_forgotten + 1)

    def next_timestamp(self, key: Key, type_name: str, wall: int) -> int:
        """Return an acceptable timestamp for a request that has no signed timestamp."""
        entry = self.entries.get(key)
        return max(wall, self.earliest_timestamp(type_name) if entry is None else entry.timestamp + 1)

    def note_forgotten(self, timestamp: int) -> None:
        """Record that an id with this timestamp is not remembered here."""
        self.newest_forgotten = max(self.newest_forgotten, timestamp)

    # Requests
    def admit(
        self, now: int, wall: int, key: Key, timestamp: int, type_name: str
    ) -> tuple[LedgerVerdict, LedgerEntry | None]:
        """Return the verdict on a request, and the entry of its id if there is one.

        The caller must have checked the signature and the tolerance of the timestamp. After RUN the id counts
        as running.
        """
        if self._expiries and self._expiries[0][0] <= now:
            self.prune(now)
        entry = self.entries.get(key)
        if entry is None:
            verdict, entry = self._admit_new(now, wall, key, timestamp, type_name)
        else:
            verdict = self._admit_known(now, wall, entry, timestamp, type_name)
        self.counts[verdict] += 1
        return verdict, entry

    def _admit_new(
        self, now: int, wall: int, key: Key, timestamp: int, type_name: str
    ) -> tuple[LedgerVerdict, LedgerEntry | None]:
        if timestamp < self.complete_since or (
            timestamp <= self.newest_forgotten and timestamp < self.earliest_timestamp(type_name)
        ):
            return LedgerVerdict.SIGNED_TOO_EARLY, None
        if len(self.entries) >= self.max_entries:
            return LedgerVerdict.LEDGER_FULL, None
        until = self._remembered_until(now, wall, timestamp, type_name)
        entry = self.entries[key] = LedgerEntry(timestamp, type_name, now, until)
        self._expiries.append((until, key))
        return _RUN, entry

    def _admit_known(
        self, now: int, wall: int, entry: LedgerEntry, timestamp: int, type_name: str
    ) -> LedgerVerdict:
        if timestamp <= entry.timestamp:
            return LedgerVerdict.REPLAY
        if entry.state == _RUNNING_ELSEWHERE:
            return LedgerVerdict.RUNNING_ELSEWHERE
        entry.timestamp = timestamp
        entry.attempts += 1
        until = self._remembered_until(now, wall, timestamp, type_name)
        entry.remembered_until = max(entry.remembered_until, until)
        if entry.state == _RUNNING:
            return LedgerVerdict.JOIN
        if entry.state == _COMPLETED:
            return LedgerVerdict.RESULT_DROPPED if entry.result is None else LedgerVerdict.REPEAT_RESULT
        if not entry.may_have_run:  # treated like a new id
            entry.first_at = now
        elif not self._may_repeat(entry, now):
            return LedgerVerdict.MAY_HAVE_RUN
        entry.state = _RUNNING
        entry.activation_id = None
        return _RUN

    def _remembered_until(self, now: int, wall: int, timestamp: int, type_name: str) -> int:
        # The caller has checked the tolerance, so a larger difference is due to a clock step since then.
        ahead = min(timestamp - wall, self.tolerance)
        return now + max(self.remember[type_name], ahead + 2 * self.tolerance)

    def _may_repeat(self, entry: LedgerEntry, now: int) -> bool:
        type_ = self.types[entry.type_name]
        if _is_deduplicated_everywhere(type_):
            entry.retry_until = entry.first_at + type_.window
            return now < entry.retry_until
        return type_.effect == ports.Effect.REPEATABLE

    def outlives_client(self, type_name: str) -> bool:
        """Return whether an activation continues without its client, because a retry might not run again."""
        return self.types[type_name].effect != ports.Effect.REPEATABLE

    # Answers
    def end(
        self, key: Key, outcome: ActivationState, result: bytes | None = None, sent: bool = False
    ) -> None:
        """Record the final outcome of an activation; CLIENT_LEFT if no answer will be known.

        Args:
            key: the customer and the id.
            outcome: how the activation ended.
            result: the answer's body, if the activation completed.
            sent: whether an attempt was sent and may have run. A rejection counts as proof that it did not
                run, unless repeats of the activation are dropped across all workers.
        """
        entry = self.entries.get(key)
        if entry is None or entry.state != _RUNNING:
            return
        entry.state = outcome
        entry.activation_id = None
        if sent and not (outcome == _REJECTED and self._rejection_proves(entry)):
            entry.may_have_run = True
        if outcome == _COMPLETED and result is not None:
            self._keep_result(key, entry, result)
            while self._result_bytes > self.max_result_bytes:
                oldest, dropped = next(iter(self._results.items()))
                self._drop_result(oldest, dropped)

    def _rejection_proves(self, entry: LedgerEntry) -> bool:
        """Return whether a rejection proves that the activation did not run."""
        return not _is_deduplicated_everywhere(self.types[entry.type_name])

    def _keep_result(self, key: Key, entry: LedgerEntry, result: bytes) -> None:
        if len(result) > self.max_result_bytes:
            return
        entry.result = result
        self._results[key] = entry
        self._result_bytes += len(result)

    def _drop_result(self, key: Key, entry: LedgerEntry) -> None:
        if self._results.pop(key, None) is not None and entry.result is not None:
            self._result_bytes -= len(entry.result)
            entry.result = None

    # Earlier processes
    def restore(self, key: Key, entry: LedgerEntry) -> None:
        """Insert an id of another process, with its times converted to this process's clock.

        What this process knows of the id already is kept: its newest timestamp, that it may have run, its
        result, and how long it is remembered.
        """
        present = self.entries.get(key)
        if present is not None:
            _merge(entry, present)
            self._drop_result(key, present)
        entry.recorded_timestamp = entry.timestamp
        self.entries[key] = entry
        result, entry.result = entry.result, None
        fits = result is not None and self._result_bytes + len(result) <= self.max_result_bytes
        if entry.state == _COMPLETED and result is not None and fits:
            self._keep_result(key, entry, result)
        self._expiries.append((entry.remembered_until, key))

    def end_elsewhere(
        self, key: Key, outcome: ActivationState, sent: bool, result: bytes | None = None
    ) -> bool:
        """End an activation that another process was running; return False if the id does not name one."""
        entry = self.entries.get(key)
        if entry is None or entry.state != _RUNNING_ELSEWHERE:
            return False
        entry.state = _RUNNING
        self.end(key, outcome, result, sent)
        return True

    def abandon_elsewhere(self) -> None:
        """Mark the activations of an ended process that have no outcome as aborted; they may have run."""
        for entry in self.entries.values():
            if entry.state == _RUNNING_ELSEWHERE:
                entry.state = ActivationState.ABORTED
                entry.may_have_run = True

    # Expiry
    def prune(self, now: int, at_most: int = PRUNE_BATCH) -> None:
        """Forget expired ids, a few in each call, so that no single call takes long."""
        for _ in range(at_most):
            if not self._expiries or self._expiries[0][0] > now:
                return
            until, key = self._expiries.popleft()
            entry = self.entries.get(key)
            if entry is not None:
                self._forget_or_postpone(key, entry, until, now)

    def _forget_or_postpone(self, key: Key, entry: LedgerEntry, until: int, now: int) -> None:
        runs = entry.state in (_RUNNING, _RUNNING_ELSEWHERE)
        if runs or entry.remembered_until > now:
            self._expiries.append((max(entry.remembered_until, until + self.tolerance), key))
            return
        self._drop_result(key, entry)
        del self.entries[key]
        self.note_forgotten(entry.timestamp)


def _merge(entry: LedgerEntry, earlier: LedgerEntry) -> None:
    """Add to an entry what an earlier entry of the same id has."""
    entry.timestamp = max(entry.timestamp, earlier.timestamp)
    entry.remembered_until = max(entry.remembered_until, earlier.remembered_until)
    if earlier.may_have_run:
        entry.first_at = earlier.first_at
        entry.may_have_run = True
    if entry.result is None:
        entry.result = earlier.result


def _is_deduplicated_everywhere(type_: ports.NamespaceType) -> bool:
    """Return whether repeats of such activations are dropped across all workers."""
    return type_.effect == ports.Effect.DEDUPLICATED and type_.scope == ports.Scope.ALL
