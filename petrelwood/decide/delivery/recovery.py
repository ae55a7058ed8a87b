"""What a dispatcher that comes back may do with what it finds, and what must be kept before an effect goes
out.

Derived rule by rule (`docs/state.md`): before the first send of an activation that must not run twice its id
must be kept; nothing else has to be. An id without an outcome may have run. Orders of the last window count
against the ration of this life. What a cold worker was sent in the window that the restart fell into is not
known, so it gets nothing for one window.

Records carry wall-clock times, which span real time only as far as the clock is known:

- Of an earlier life on the same start of the machine all spans are exact: each life names the machine's start
  together with its offset from the monotonic clock (`boot_mark`), which runs on from one process to the next.
- Of a life before the machine started anew only the order is known: its records count as no older than the
  first life after them, and its windows of deduplication as closed.
- Logs of builds that kept no offset are read by the wall clock. One that went back, or records from ahead of
  it, close every window of deduplication and keep ids for their whole time from now on."""

import operator
from collections.abc import Sequence
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide.delivery.ledger import ActivationState, LedgerEntry
from petrelwood.decide.delivery.state_records import (
    ActivationEnded,
    ActivationTaken,
    IncarnationEnded,
    IncarnationStarted,
    LoadOrdered,
    Record,
)

SECOND = 1_000_000_000
NEVER = -(1 << 60)  # so long ago that no window is open any more
BACK = SECOND  # a wall clock this much behind the last record has gone back


def boot_mark(name, epoch):
    """What names the machine's start in the log: the system's name for it, and what our wall clock is ahead
    of the monotonic one."""
    return f"{name} {epoch}" if name else ""


def _parsed(mark):
    """(name, epoch) of a `boot_mark`; epoch None where a build before this one wrote it."""
    name, _, epoch = mark.partition(" ")
    return name, int(epoch) if epoch.lstrip("-").isdigit() else None


class PastActivation:
    """One id that an earlier life had. Times are those of `RecoveredState`; `ahead`: how far its newest
    timestamp was ahead of the clock that took it; `outcome`: ActivationState.RUNNING where none was kept."""

    __slots__ = ("key", "stamp", "ahead", "type", "first", "last", "outcome", "sent", "body")

    def __init__(self, key, stamp, ahead, type_, first, last, sent):
        self.key, self.stamp, self.ahead = key, stamp, ahead
        self.type, self.first, self.last = type_, first, last
        self.outcome, self.sent, self.body = ActivationState.RUNNING, sent, None


class RecoveredState(NamedTuple):
    """What the records come to. Times are ns of this life's wall clock, but `began`: that is compared with
    the senders' timestamps, and stays as it was written."""

    ids: dict  # key -> PastActivation
    orders: list  # when they went out, the newest last
    began: int  # from when on nothing can be missing; 0: this life's own start
    last: int  # the newest record's time
    in_order: bool  # the last life ended owing nothing
    clock_back: bool
    same_machine_start: bool
    least_epoch: int | None  # of the lives on this start of the machine and of this one; None: not known


class _Block(NamedTuple):
    """Records that one clock stamped, by their places, and how their times are read: `shift` is added; or
    all count as of `youngest`, where that is not None: the machine has started anew since."""

    begin: int
    end: int
    shift: int
    youngest: int | None


def _blocks(records, wall, boot):
    """The records by the clocks that stamped them."""
    name, epoch = _parsed(boot)
    begins = [index for index, record in enumerate(records) if isinstance(record, IncarnationStarted)]
    if not begins or begins[0]:
        begins.insert(0, 0)
    found, end, bound = [], len(records), wall
    for begin in reversed(begins):
        its_name, its_epoch = name, None
        if begin < end and isinstance(records[begin], IncarnationStarted):
            its_name, its_epoch = _parsed(records[begin].boot)
        if its_name != name:
            found.append(_Block(begin, end, 0, bound))
        else:
            shift = epoch - its_epoch if epoch is not None and its_epoch is not None else 0
            found.append(_Block(begin, end, shift, None))
            if begin < end:
                bound = min(bound, records[begin].time + shift)
        end = begin
    return reversed(found)


def least_age(records: Sequence[Record], wall: int, boot: str) -> int:
    """How long ago the newest of a segment's records was written, at the least."""
    newest = 0
    for block in _blocks(records, wall, boot):
        for record in records[block.begin : block.end]:
            newest = max(newest, record.time + block.shift if block.youngest is None else block.youngest)
    return max(0, wall - newest)


def replay(records, wall, boot, durable):
    """`records` of the state log, `boot` the mark of the machine's present start, `durable` whether
    each was on the disk before its effect went out."""
    ids, orders, began, last, closed, boots = {}, [], None, 0, True, set()
    epoch, running, epochs = None, set(), []
    for block in _blocks(records, wall, boot):
        for record in records[block.begin : block.end]:
            written = record.time
            at = written + block.shift if block.youngest is None else block.youngest
            last, closed = max(last, at), isinstance(record, IncarnationEnded)
            if isinstance(record, IncarnationStarted):
                name, its_epoch = _parsed(record.boot)
                boots.add(name)
                if block.youngest is None and its_epoch is not None:
                    epochs.append(its_epoch)
                # another life: what the one before left open stays open
                if record.epoch != epoch:
                    epoch = record.epoch
                    for key in running:
                        ids[key].outcome, ids[key].sent = ActivationState.ABORTED, True
                    running = set()
                began = written if began is None else began
            elif isinstance(record, ActivationTaken):
                key = (record.customer, record.id)
                old = ids.get(key)
                first = at if block.youngest is None else NEVER
                if old and old.sent:
                    first = old.first
                ids[key] = PastActivation(
                    key,
                    record.timestamp,
                    record.timestamp - written,
                    record.type,
                    first,
                    at,
                    old.sent if old else False,
                )
                running.add(key)
            elif isinstance(record, ActivationEnded):
                old = ids.get((record.customer, record.id))
                if old is not None:
                    old.outcome, old.sent = record.outcome, old.sent or record.sent
                    old.body, old.last = record.body, at
                    running.discard(old.key)
            elif isinstance(record, LoadOrdered):
                orders += [at] * record.copies
    name, its_epoch = _parsed(boot)
    same = boots <= {name}
    least = None if its_epoch is None else min([its_epoch, *epochs])
    back = bool(last) and wall < last - BACK
    # After the machine itself fell, the last records may be gone unless each was on the disk first.
    whole = began is not None and (same or durable) and not back
    return RecoveredState(ids, orders, began if whole else 0, last, closed, back, same, least)


def fill(ledger, found, now, wall, types, remember, tolerance, elsewhere=False):
    """Puts what was found into a ledger; how many ids it holds then. What had no outcome counts as sent:
    nobody can tell; or, with `elsewhere`, another process still finishes it. What runs here stays as it
    is."""
    rows = []
    for key, known in found.ids.items():
        if known.type not in types:
            continue
        age = 0 if found.clock_back else max(0, wall - known.last)
        until = now - age + max(remember[known.type], min(known.ahead, tolerance) + 2 * tolerance)
        here = ledger.entries.get(key)
        if here is not None and here.state == ActivationState.RUNNING:
            continue
        if until > now:
            rows.append((until, key, known))
        elif here is None:
            ledger.note_forgotten(known.stamp)
    rows.sort(key=operator.itemgetter(0, 1))
    for _, _, known in rows[: -ledger.max_entries]:
        ledger.note_forgotten(known.stamp)
    for until, key, known in rows[-ledger.max_entries :]:
        running = known.outcome == ActivationState.RUNNING
        first = NEVER if found.clock_back else now - (wall - known.first)
        state = (
            (ActivationState.RUNNING_ELSEWHERE if elsewhere else ActivationState.ABORTED)
            if running
            else known.outcome
        )
        entry = LedgerEntry(known.stamp, known.type, first, until, state, known.body)
        entry.may_have_run = running or known.sent
        ledger.restore(key, entry)
    if found.began:
        ledger.complete_since = min(ledger.complete_since, found.began // SECOND * SECOND)
    return len(ledger.entries)


class Recovery:
    """The first moments of a life that follows another. Times in ns of our own clock."""

    def __init__(self, found, now, wall, guarantees, orders):
        self.orders = sum(1 for at in found.orders if found.clock_back or wall - at < max(1, orders.period))
        after_another = bool(found.last)
        self.cold_from = (
            now + guarantees.fall
            if after_another
            and not (found.last and wall - found.last > guarantees.fall and not found.clock_back)
            else now
        )
        self.begins_low = after_another and not found.in_order

    def may_send(self, now, cold):
        """Whether a worker that is still cold may be sent anything: the window of its budget that we fell
        into is over."""
        return not cold or now >= self.cold_from


def may_take(effect, keeps):
    """Whether an activation may be taken while the log keeps records, or has failed: then only what may run
    twice."""
    return keeps or effect == ports.REPEATABLE


def kept_first(effect):
    """Whether its id must be kept before its first send goes out."""
    return effect != ports.REPEATABLE
