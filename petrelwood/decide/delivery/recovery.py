"""What a restarted dispatcher may do with the state that it finds, and what is recorded before an effect.

Derived rule by rule in `docs/state.md`. Before the first send of an activation that must not run twice its id
must be recorded; nothing else has to be. An id without an outcome may have run. Load orders of the last
period count against the rate limit of this incarnation. What a cold worker was sent in the window before the
restart is not known, so it gets nothing for one window.

Records carry wall-clock times, which span real time only as far as the clock is known:

- Of an earlier incarnation on the same start of the machine all spans are exact: each names the machine's
  start together with its offset from the monotonic clock (`boot_mark`), which runs on from one process to the
  next.
- Of one before the machine restarted only the order is known: its records count as no older than the first
  incarnation after them, and its windows of deduplication as closed.
- Logs of builds that stored no offset are read by the wall clock. One that went back, or records from ahead
  of it, close every window of deduplication, and ids are remembered for their full time from now on.
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
)

SECOND = 1_000_000_000
LONG_AGO = -(1 << 60)  # so long ago that no window is open any more
CLOCK_TOLERANCE = SECOND  # a wall clock this much behind the last record has gone back
_OUTCOMES = {state.value: state for state in ActivationState}


class BootMark(NamedTuple):
    """The name of a start of the machine, and how far the wall clock was ahead of the monotonic one then."""

    name: str
    epoch: int | None  # ns; None: a build before this one wrote the mark


def boot_mark(name: str, epoch: int) -> str:
    """Return the mark of the machine's start for the log.

    `name`: the system's name for the start, "" if it has none; `epoch`: how far the wall clock is ahead of
    the monotonic one, ns.
    """
    return f"{name} {epoch}" if name else ""


def _parse_boot_mark(mark: str) -> BootMark:
    name, _, epoch = mark.partition(" ")
    return BootMark(name, int(epoch) if epoch.lstrip("-").isdigit() else None)


class _Block(NamedTuple):
    """A range of records that one clock stamped, and how their times are read.

    `shift` is added to each time. If `youngest` is not None all records count as of that time instead, as the
    machine has restarted since.
    """

    begin: int
    end: int
    shift: int
    youngest: int | None

    def time_of(self, record: Record) -> int:
        """Return when a record of this block was made, on this incarnation's wall clock."""
        return record.time + self.shift if self.youngest is None else self.youngest


def _blocks(records: Sequence[Record], wall: int, boot: str) -> Iterator[_Block]:
    """Return the records split by the clocks that stamped them, in order."""
    mark = _parse_boot_mark(boot)
    begins = [index for index, record in enumerate(records) if isinstance(record, IncarnationStarted)]
    if not begins or begins[0]:
        begins.insert(0, 0)
    found: list[_Block] = []
    end = len(records)
    next_started_at = wall
    for begin in reversed(begins):
        first = records[begin] if begin < end else None
        its_mark = BootMark(mark.name, None)
        if isinstance(first, IncarnationStarted):
            its_mark = _parse_boot_mark(first.boot)
        if its_mark.name != mark.name:
            found.append(_Block(begin, end, 0, next_started_at))
        else:
            block = _Block(begin, end, _shift(its_mark.epoch, mark.epoch), None)
            found.append(block)
            if first is not None:
                next_started_at = min(next_started_at, block.time_of(first))
        end = begin
    return reversed(found)


def _shift(its_epoch: int | None, own_epoch: int | None) -> int:
    """Return what converts the times of an earlier incarnation to this one's wall clock, ns to add."""
    return 0 if its_epoch is None or own_epoch is None else own_epoch - its_epoch


def min_age(records: Sequence[Record], wall: int, boot: str) -> int:
    """Return the least time since the newest of a segment's records was written, ns."""
    newest = 0
    for block in _blocks(records, wall, boot):
        newest = max(newest, *map(block.time_of, records[block.begin : block.end]), 0)
    return max(0, wall - newest)


@dataclass(slots=True, eq=False)
class RecoveredActivation:
    """One id of an earlier incarnation. Times are those of `RecoveredState`, but for the timestamp."""

    key: Key
    timestamp: int  # the newest that it came with, wall-clock ns of its sender
    ahead: int  # how far that was ahead of the clock that took it
    type_name: str
    first_at: int
    last_at: int
    outcome: ActivationState = ActivationState.RUNNING  # RUNNING: none was recorded
    may_have_run: bool = False
    result: bytes | None = None


@dataclass(slots=True, eq=False)
class RecoveredState:
    """The state that the records of a log add up to.

    Times are ns of this incarnation's wall clock, but for `complete_since`: that is compared with the
    senders' timestamps, and stays as it was written.
    """

    activations: dict[Key, RecoveredActivation] = field(default_factory=dict)
    order_times: list[int] = field(default_factory=list)  # of load orders, the newest last
    complete_since: int = 0  # from when on nothing can be missing; 0: this incarnation's own start
    last_record_at: int = 0
    ended_cleanly: bool = True  # the last incarnation ended with nothing in flight
    clock_went_back: bool = False
    same_boot: bool = True
    # of the incarnations on this start of the machine, and of this one; None: not known
    min_clock_offset: int | None = None


class _Replay:
    """Builds a `RecoveredState` from the records of a state log, oldest first."""

    def __init__(self) -> None:
        self.state = RecoveredState()
        self.machine_starts: set[str] = set()
        self.epochs: list[int] = []
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
            elif isinstance(record, LoadOrdered):
                state.order_times += [at] * record.copies
            elif isinstance(record, IncarnationStarted):
                self._incarnation_started(record, block)
        if block.end > block.begin:
            state.ended_cleanly = isinstance(records[block.end - 1], IncarnationEnded)

    def _incarnation_started(self, record: IncarnationStarted, block: _Block) -> None:
        mark = _parse_boot_mark(record.boot)
        self.machine_starts.add(mark.name)
        if block.youngest is None and mark.epoch is not None:
            self.epochs.append(mark.epoch)
        if self.first_started_at is None:
            self.first_started_at = record.time
        if record.epoch == self._incarnation:
            return
        # another incarnation: what the one before left open stays open
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
            first_at=at if block.youngest is None else LONG_AGO,
            last_at=at,
        )
        old = self.state.activations.get(key)
        if old is not None and old.may_have_run:
            made.first_at = old.first_at
            made.may_have_run = True
        self.state.activations[key] = made
        self._running.add(key)

    def _activation_ended(self, record: ActivationEnded, at: int) -> None:
        known = self.state.activations.get((record.customer, record.id))
        if known is None:
            return
        outcome = _OUTCOMES.get(record.outcome)
        # what a later build may have called it proves nothing to this one
        known.outcome = ActivationState.ABORTED if outcome is None else outcome
        known.may_have_run = known.may_have_run or record.sent or outcome is None
        known.result = record.body
        known.last_at = at
        self._running.discard(known.key)


def replay(records: Sequence[Record], wall: int, boot: str, durable: bool) -> RecoveredState:
    """Return the state that the records of a state log add up to.

    Args:
        records: all of them, oldest first.
        wall: this incarnation's wall clock, ns.
        boot: the mark of the machine's present start.
        durable: whether each record was on the disk before its effect went out.
    """
    reader = _Replay()
    for block in _blocks(records, wall, boot):
        reader.read(block, records)
    state = reader.state
    mark = _parse_boot_mark(boot)
    state.same_boot = reader.machine_starts <= {mark.name}
    state.min_clock_offset = None if mark.epoch is None else min([mark.epoch, *reader.epochs])
    state.clock_went_back = bool(state.last_record_at) and wall < state.last_record_at - CLOCK_TOLERANCE
    # After the machine itself fell, the last records may be gone unless each was on the disk first.
    is_complete = (state.same_boot or durable) and not state.clock_went_back
    if reader.first_started_at is not None and is_complete:
        state.complete_since = reader.first_started_at
    return state


def restore_ledger(
    ledger: Ledger, state: RecoveredState, now: int, wall: int, elsewhere: bool = False
) -> int:
    """Insert the recovered ids into a ledger; return how many ids it has then.

    An id without an outcome may have run, as nobody can tell; or, with `elsewhere`, another process still
    runs it. An id that runs here stays as it is.
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
    """Yield each id that is still remembered, with its expiry; note the others as forgotten."""
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
    """What an incarnation that follows another must not do yet. Times in ns of our own clock."""

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
        """Return whether a worker may be sent activations: a cold one only after the restart's window."""
        return not is_cold or now >= self.cold_workers_from


def may_admit(effect: str, log_records: bool) -> bool:
    """Return whether an activation may be admitted; after the log has failed, only what may run twice."""
    return log_records or effect == ports.Effect.REPEATABLE


def is_recorded_first(effect: str) -> bool:
    """Return whether the id of an activation with this effect must be recorded before its first send."""
    return effect != ports.Effect.REPEATABLE
