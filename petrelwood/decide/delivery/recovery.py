"""What a dispatcher that comes back may do with what it finds, and what must be kept before an effect goes
out.

Derived rule by rule (`docs/state.md`): before the first send of an activation that must not run twice its id
must be kept; nothing else has to be. An id without an outcome may have run. Orders of the last window count
against the ration of this life. What a cold worker was sent in the window that the restart fell into is not
known, so it gets nothing for one window.

Wall clocks are doubted: a clock that went back, or records from ahead of it, close every window of
deduplication and keep ids for their whole time from now on."""

import operator
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide.delivery.ledger import ABORTED, ELSEWHERE, RUNNING

SECOND = 1_000_000_000
TAKE, END, ORDER, LIFE, CLOSE = "take", "end", "order", "life", "close"  # the kinds of `store.state`
OUTAGE = "outage"  # the log had failed and was begun anew; it changes nothing of what was taken
NEVER = -(1 << 60)  # so long ago that no window is open any more
BACK = SECOND  # a wall clock this much behind the last record has gone back


class PastActivation:
    """One id that an earlier life had. Times are wall-clock ns; `outcome` of `ledger`, or RUNNING: none was
    kept."""

    __slots__ = ("key", "stamp", "type", "first", "last", "outcome", "sent", "body")

    def __init__(self, key, stamp, type_, first, last, sent):
        self.key, self.stamp, self.type, self.first, self.last = key, stamp, type_, first, last
        self.outcome, self.sent, self.body = RUNNING, sent, None


class RecoveredState(NamedTuple):
    """What the records come to."""

    ids: dict  # key -> PastActivation
    orders: list  # wall-clock ns, the newest last
    began: int  # from when on nothing can be missing; 0: this life's own start
    last: int  # the newest record's time
    in_order: bool  # the last life ended owing nothing
    clock_back: bool
    same_machine_start: bool


def replay(records, wall, boot, durable):
    """`records` as `store.state` has them, `boot` the machine's present start, `durable` whether each was on
    the disk before its effect went out."""
    ids, orders, began, last, closed, boots = {}, [], None, 0, True, set()
    epoch, running = None, set()
    for record in records:
        kind, at = record[0], record[1]
        last, closed = max(last, at), kind == CLOSE
        if kind == LIFE:
            boots.add(record[2])
            # another life: what the one before left open stays open
            if record[3] != epoch:
                epoch = record[3]
                for key in running:
                    ids[key].outcome, ids[key].sent = ABORTED, True
                running = set()
            began = at if began is None else began
        elif kind == TAKE:
            _, _, customer, id_, stamp, type_ = record
            key = (customer, id_)
            old = ids.get(key)
            ids[key] = PastActivation(
                key, stamp, type_, old.first if old and old.sent else at, at, old.sent if old else False
            )
            running.add(key)
        elif kind == END:
            _, _, customer, id_, outcome, sent, body = record
            old = ids.get((customer, id_))
            if old is not None:
                old.outcome, old.sent, old.body, old.last = outcome, old.sent or sent, body, at
                running.discard(old.key)
        elif kind == ORDER:
            orders += [at] * record[4]
    same = boots <= {boot}
    back = bool(last) and wall < last - BACK
    # After the machine itself fell, the last records may be gone unless each was on the disk first.
    whole = began is not None and (same or durable) and not back
    return RecoveredState(ids, orders, began if whole else 0, last, closed, back, same)


def fill(ledger, found, now, wall, types, remember, tolerance, elsewhere=False):
    """Puts what was found into a ledger; how many ids it holds then. What had no outcome counts as sent:
    nobody can tell; or, with `elsewhere`, another process still finishes it. What runs here stays as it
    is."""
    rows = []
    for key, known in found.ids.items():
        if known.type not in types:
            continue
        age = 0 if found.clock_back else max(0, wall - known.last)
        until = now - age + max(remember[known.type], known.stamp - known.last + 2 * tolerance)
        here = ledger.entries.get(key)
        if until > now and (here is None or here.state != RUNNING):
            rows.append((until, key, known))
    rows.sort(key=operator.itemgetter(0, 1))
    for until, key, known in rows[-ledger.most :]:
        running = known.outcome == RUNNING
        first = NEVER if found.clock_back else now - (wall - known.first)
        state = (ELSEWHERE if elsewhere else ABORTED) if running else known.outcome
        ledger.restore(key, known.stamp, known.type, state, first, until, running or known.sent, known.body)
    if found.began:
        ledger.began = min(ledger.began, found.began // SECOND * SECOND)
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
