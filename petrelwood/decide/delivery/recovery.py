"""How a restarted dispatcher uses the state that it finds, and what must be recorded before an effect.

`docs/state.md` derives the rules. The id of an activation that must not run twice must be recorded before its
first send; no other record has to precede an effect. An id without an outcome may have run. Load orders of
the last period count against the rate limit of this incarnation. What a cold worker was sent in the window
before the restart is not known, so it is sent nothing for one window.

Records carry wall-clock times. How exact the spans between them are depends on the incarnation:

- An earlier incarnation on the same boot of the machine: all spans are exact. Each incarnation records the
  boot together with the offset of the wall clock from the monotonic clock (`boot_mark`), and the monotonic
  clock continues from one process to the next.
- An incarnation before a reboot: only the order is known. Its records count as no older than the first
  incarnation after them, and its windows of deduplication count as closed.
- An incarnation of a build that stored no offset: the times are read by the wall clock. If that clock went
  back, or a record is ahead of it, all windows of deduplication count as closed, and ids are remembered for
  their full time from now on.
"""

import operator
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide.delivery.ledger import ActivationState, Key, Ledger, LedgerEntry
from petrelwood.decide.delivery.state_records import (
    ActivationAdmitted,
    ActivationEnded,
    IncarnationEnded,
    IncarnationStarted,
    LoadOrdered,
    Record,
    RetryReceived,
)

SECOND = 1_000_000_000
LONG_AGO = -(1 << 60)  # a time so long ago that every window is closed
CLOCK_TOLERANCE = SECOND  # a wall clock that is further behind the last record has gone back
_OUTCOMES = {state.value: state for state in ActivationState}


class BootMark(NamedTuple):
    """The name of a boot, and how far an incarnation's wall clock was ahead of the monotonic clock."""

    name: str
    clock_offset: int | None  # ns; None if an earlier build wrote the mark


def boot_mark(name: str, clock_offset: int) -> str:
    """Return the mark of the machine's boot for the log.

    `name`: the system's id of the boot, "" if it has none; `clock_offset`: how far the wall clock is ahead of
    the monotonic clock, ns.
    """
    return f"{name} {clock_offset}" if name else ""


def _parse_boot_mark(mark: str) -> BootMark:
    name, _, offset = mark.partition(" ")
    return BootMark(name, int(offset) if offset.lstrip("-").isdigit() else None)


class _Block(NamedTuple):
    """A range of records with times of the same clock, and the conversion of these times.

    `shift` is added to each time. If `assumed_time` is not None, the machine has rebooted since, and all
    records count as made at that time instead.
    """

    begin: int
    end: int
    shift: int
    assumed_time: int | None

    def time_of(self, record: Record) -> int:
        """Return when a record of this block was made, in time of this incarnation's wall clock."""
        return record.time + self.shift if self.assumed_time is None else self.assumed_time


def _blocks(records: Sequence[Record], wall: int, boot: str) -> Iterator[_Block]:
    """Return the blocks of records with times of the same clock, in order."""
    mark = _parse_boot_mark(boot)
    begins = [index for index, record in enumerate(records) if isinstance(record, IncarnationStarted)]
    if not begins or begins[0]:
        begins.insert(0, 0)
    found: list[_Block] = []
    end = len(records)
    next_started_at = wall
    for begin in reversed(begins):
        first = records[begin] if begin < end else None
        block_mark = BootMark(mark.name, None)
        if isinstance(first, IncarnationStarted):
            block_mark = _parse_boot_mark(first.boot)
        if block_mark.name != mark.name:
            found.append(_Block(begin, end, 0, next_started_at))
        else:
            block = _Block(begin, end, _shift(block_mark.clock_offset, mark.clock_offset), None)
            found.append(block)
            if first is not None:
                next_started_at = min(next_started_at, block.time_of(first))
        end = begin
    return reversed(found)


def _shift(block_offset: int | None, own_offset: int | None) -> int:
    """Return the ns to add to times of an earlier incarnation to convert them to this one's wall clock."""
    return 0 if block_offset is None or own_offset is None else own_offset - block_offset


def min_age(records: Sequence[Record], wall: int, boot: str) -> int:
    """Return the minimum time since the newest record of a segment was written, ns."""
    newest = 0
    for block in _blocks(records, wall, boot):
        newest = max(newest, *map(block.time_of, records[block.begin : block.end]), 0)
    return max(0, wall - newest)


@dataclass(slots=True, eq=False)
class RecoveredActivation:
    """One id of an earlier incarnation. Times as in `RecoveredState`, except the timestamp."""

    key: Key
    timestamp: int  # the newest received with the id, ns of the sender's wall clock
    ahead: int  # how far the timestamp was ahead of the wall clock of the admitting incarnation
    type_name: str
    first_at: int
    last_at: int
    outcome: ActivationState = ActivationState.RUNNING  # RUNNING if none was recorded
    may_have_run: bool = False
    result: bytes | None = None


@dataclass(slots=True, eq=False)
class RecoveredState:
    """The state that the records of a log represent.

    Times are in ns of this incarnation's wall clock, except `complete_since`, which is compared with the
    senders' timestamps and is not converted.
    """

    activations: dict[Key, RecoveredActivation] = field(default_factory=dict)
    order_times: list[int] = field(default_factory=list)  # of load orders, oldest first
    complete_since: int = 0  # since when no record can be missing; 0 for the start of this incarnation
    last_record_at: int = 0
    ended_cleanly: bool = True  # the last incarnation ended with nothing in flight
    clock_went_back: bool = False
    same_boot: bool = True
    # the minimum over this incarnation and the earlier ones on this boot; None if it is not known
    min_clock_offset: int | None = None


class _Replay:
    """Builds a `RecoveredState` from the records of a state log, oldest first."""

    def __init__(self) -> None:
        self.state = RecoveredState()
        self.boots: set[str] = set()
        self.clock_offsets: list[int] = []
        self.first_started_at: int | None = None
        self._incarnation: int | None = None
        self._running: set[Key] = set()

    def read(self, block: _Block, records: Sequence[Record]) -> None:
        """Add the records of one block."""
        state = self.state
        for record in records[block.begin : block.end]:
            at = block.time_of(record)
            state.last_record_at = max(state.last_record_at, at)
            if isinstance(record, ActivationAdmitted):
                self._activation_admitted(record, at, block)
            elif isinstance(record, ActivationEnded):
                self._activation_ended(record, at)
            elif isinstance(record, RetryReceived):
                self._retry_received(record, at)
            elif isinstance(record, LoadOrdered):
                state.order_times += [at] * record.copies
            elif isinstance(record, IncarnationStarted):
                self._incarnation_started(record, block)
        if block.end > block.begin:
            state.ended_cleanly = isinstance(records[block.end - 1], IncarnationEnded)

    def _incarnation_started(self, record: IncarnationStarted, block: _Block) -> None:
        mark = _parse_boot_mark(record.boot)
        self.boots.add(mark.name)
        if block.assumed_time is None and mark.clock_offset is not None:
            self.clock_offsets.append(mark.clock_offset)
        if self.first_started_at is None:
            self.first_started_at = record.time
        if record.epoch == self._incarnation:
            return
        # Another incarnation begins, so the activations that the previous one left open may have run.
        self._incarnation = record.epoch
        for key in self._running:
            open_ = self.state.activations[key]
            open_.outcome = ActivationState.ABORTED
            open_.may_have_run = True
        self._running = set()

    def _activation_admitted(self, record: ActivationAdmitted, at: int, block: _Block) -> None:
        key = (record.customer, record.id)
        made = RecoveredActivation(
            key=key,
            timestamp=record.timestamp,
            ahead=record.timestamp - record.time,
            type_name=record.type,
            first_at=at if block.assumed_time is None else LONG_AGO,
            last_at=at,
        )
        old = self.state.activations.get(key)
        if old is not None and old.may_have_run:
            made.first_at = old.first_at
            made.may_have_run = True
        self.state.activations[key] = made
        self._running.add(key)

    def _retry_received(self, record: RetryReceived, at: int) -> None:
        key = (record.customer, record.id)
        ahead = record.timestamp - record.time
        known = self.state.activations.get(key)
        if known is not None:
            known.timestamp = max(known.timestamp, record.timestamp)
            known.ahead = ahead
            known.last_at = at
            return
        # its earlier records have expired, or are those of a process that has read them itself
        state = _OUTCOMES.get(record.state, ActivationState.ABORTED)
        self.state.activations[key] = RecoveredActivation(
            key=key,
            timestamp=record.timestamp,
            ahead=ahead,
            type_name=record.type,
            first_at=LONG_AGO,
            last_at=at,
            outcome=state,
            may_have_run=record.may_have_run or record.state not in _OUTCOMES,
        )
        if state == ActivationState.RUNNING:
            self._running.add(key)

    def _activation_ended(self, record: ActivationEnded, at: int) -> None:
        known = self.state.activations.get((record.customer, record.id))
        if known is None:
            return
        outcome = _OUTCOMES.get(record.outcome)
        # An outcome that only a later build knows proves nothing.
        known.outcome = ActivationState.ABORTED if outcome is None else outcome
        known.may_have_run = known.may_have_run or record.sent or outcome is None
        known.result = record.body
        known.last_at = at
        self._running.discard(known.key)


def replay(records: Sequence[Record], wall: int, boot: str, durable: bool) -> RecoveredState:
    """Return the state that the records of a state log represent.

    Args:
        records: all records of the log, oldest first.
        wall: this incarnation's wall clock, ns.
        boot: the mark of the machine's current boot.
        durable: whether each record was durable on the disk before its effect.
    """
    reader = _Replay()
    for block in _blocks(records, wall, boot):
        reader.read(block, records)
    state = reader.state
    mark = _parse_boot_mark(boot)
    state.same_boot = reader.boots <= {mark.name}
    state.min_clock_offset = (
        None if mark.clock_offset is None else min([mark.clock_offset, *reader.clock_offsets])
    )
    state.clock_went_back = bool(state.last_record_at) and wall < state.last_record_at - CLOCK_TOLERANCE
    # After a crash of the machine the last records may be missing, unless each was durable before its effect.
    is_complete = (state.same_boot or durable) and not state.clock_went_back
    if reader.first_started_at is not None and is_complete:
        state.complete_since = reader.first_started_at
    return state


def restore_ledger(
    ledger: Ledger, state: RecoveredState, now: int, wall: int, elsewhere: bool = False
) -> int:
    """Insert the recovered ids into a ledger; return the number of ids in the ledger afterwards.

    An id without an outcome may have run; or, with `elsewhere`, another process still runs it. Ids that run
    in this process are left unchanged.
    """
    rows = list(_remembered(ledger, state, now, wall))
    rows.sort(key=operator.itemgetter(0, 1))
    for _, _, known in rows[: -ledger.max_entries]:
        ledger.note_forgotten(known.timestamp)
    for until, key, known in rows[-ledger.max_entries :]:
        first_at = LONG_AGO if state.clock_went_back else now - (wall - known.first_at)
        entry = LedgerEntry(known.timestamp, known.type_name, first_at, until, known.outcome, known.result)
        entry.may_have_run = known.may_have_run
        if known.outcome == ActivationState.RUNNING:
            entry.state = ActivationState.RUNNING_ELSEWHERE if elsewhere else ActivationState.ABORTED
            entry.may_have_run = True
        ledger.restore(key, entry)
    if state.complete_since:
        complete_since = state.complete_since // SECOND * SECOND
        ledger.complete_since = min(ledger.complete_since, complete_since)
    return len(ledger.entries)


def _remembered(
    ledger: Ledger, state: RecoveredState, now: int, wall: int
) -> Iterator[tuple[int, Key, RecoveredActivation]]:
    """Yield each id that is still to be remembered, with its expiry; record the others as forgotten."""
    for key, known in state.activations.items():
        if known.type_name not in ledger.types:
            continue
        present = ledger.entries.get(key)
        if present is not None and present.state == ActivationState.RUNNING:
            continue
        age = 0 if state.clock_went_back else max(0, wall - known.last_at)
        ahead = min(known.ahead, ledger.tolerance)
        until = now - age + max(ledger.remember[known.type_name], ahead + 2 * ledger.tolerance)
        if until > now:
            yield until, key, known
        elif present is None:
            ledger.note_forgotten(known.timestamp)


class RestartLimits:
    """The limits of an incarnation that follows another one. Times in ns of the monotonic clock."""

    def __init__(
        self,
        state: RecoveredState,
        now: int,
        wall: int,
        guarantees: ports.Guarantees,
        orders: ports.LoadOrders,
    ) -> None:
        follows_another = bool(state.last_record_at)
        period = max(1, orders.period)
        is_long_ago = wall - state.last_record_at > guarantees.slow_start_window and not state.clock_went_back
        self.recent_orders = sum(state.clock_went_back or wall - at < period for at in state.order_times)
        self.cold_workers_from = (
            now + guarantees.slow_start_window if follows_another and not is_long_ago else now
        )
        self.starts_slowly = follows_another and not state.ended_cleanly

    def may_send(self, now: int, is_cold: bool) -> bool:
        """Return whether a worker may be sent activations; a cold one only after the restart's window."""
        return not is_cold or now >= self.cold_workers_from


def may_admit(effect: str, log_records: bool) -> bool:
    """Return whether to admit an activation; while the log does not record, only one that may run twice."""
    return log_records or effect == ports.Effect.REPEATABLE


def is_recorded_first(effect: str) -> bool:
    """Return whether the id of an activation with this effect must be recorded before its first send."""
    return effect != ports.Effect.REPEATABLE
