"""The ledger of ids: first try, retry or replay, and what a retry is told.

An id is a customer's own. Its newest timestamp is kept: an older or equal one is a replay and never an
activation, a newer one is a retry. A retry while the first try runs joins it; a known completed answer is
given again; after a rejection it may run; after an abort, or a client that left, it runs again only where its
namespace type allows that: repeatable always, deduplicated where every worker drops repeats and the window is
open, once-only never.

An id is remembered as long as any timestamp that it came with would still be taken, and as long as its
namespace type says. A full ledger refuses new ids; it never forgets one early. Bodies of answers have a bound
of their own: the oldest are dropped first, and then only the fact is known.

A ledger that began empty can't tell a replay of what an earlier life answered. It takes only what was signed
since it began: a client that is told to come back signs anew.

How long an id is remembered is a span of our own clock. The tolerance of timestamps is one of the wall clock,
so one that is stepped back lets in timestamps of ids that are forgotten by then. What must not run twice is
therefore taken only with a timestamp newer than all that were forgotten; no sender within the tolerance of a
clock that is not stepped comes near them."""

from collections import OrderedDict, deque

from petrelwood import ports

RUN, JOIN, AGAIN, REPLAY, UNKNOWN, SPENT, FULL = "run", "join", "again", "replay", "unknown", "spent", "full"
# signed before this ledger began: it may be a replay of what an earlier life answered
BEFORE = "before"
SECOND = 1_000_000_000
RUNNING, LEFT = "running", "left"
ELSEWHERE = "elsewhere"  # an earlier process still finishes it: nothing may be done with it here
COMPLETED, REJECTED, ABORTED = "completed", "rejected", "aborted"


class Entry:
    __slots__ = ("stamp", "state", "body", "type", "first", "until", "act", "tries", "sent", "again_until")

    def __init__(self, stamp, type_, now, until):
        self.stamp, self.state, self.body, self.type = stamp, RUNNING, None, type_
        self.first, self.until, self.act, self.tries = now, until, None, 1
        self.sent = False  # whether an earlier try may have run
        # a try that repeats it must have its answer by then; 0: no bound
        self.again_until = 0


class Ledger:
    """Times in ns: `now` is our own clock, `stamp` the sender's wall clock, `wall` ours."""

    def __init__(self, most, bytes_, tolerance, types, remember, began=0):
        self.most, self.bytes, self.tolerance, self.types, self.remember = (
            most,
            bytes_,
            tolerance,
            types,
            remember,
        )
        self.began = began // SECOND * SECOND  # wall clock; timestamps are whole seconds
        self.newest_forgotten = 0  # the newest timestamp of an id that is not remembered any more
        self.entries, self.kept, self.held = {}, OrderedDict(), 0
        self.ends = deque()  # (until, key), in the order of coming: pruned from the front
        self.counts = {
            name: 0 for name in (RUN, JOIN, AGAIN, REPLAY, UNKNOWN, SPENT, FULL, BEFORE, ELSEWHERE)
        }

    def restore(self, key, stamp, type_name, state, first, until, sent, body=None):
        """An id that an earlier life knew; `first` and `until` on this life's clock."""
        entry = self.entries[key] = Entry(stamp, type_name, first, until)
        entry.state, entry.sent = state, sent
        if body is not None and state == COMPLETED and self.held + len(body) <= self.bytes:
            entry.body, self.kept[key] = body, entry
            self.held += len(body)
        self.ends.append((until, key))

    def heard(self, key, outcome, sent, body=None):
        """How an activation ended that another process had; whether it was one of those."""
        entry = self.entries.get(key)
        if entry is None or entry.state != ELSEWHERE:
            return False
        entry.state = RUNNING
        self.ended(key, outcome, body, sent)
        return True

    def nobody_elsewhere(self):
        """The other process is gone: what it had not told of may have run."""
        for entry in self.entries.values():
            if entry.state == ELSEWHERE:
                entry.state, entry.sent = ABORTED, True

    def _until(self, now, wall, stamp, type_name):
        # the check of the tolerance has let it in, so what is ahead by more is a step since then
        ahead = min(stamp - wall, self.tolerance)
        return now + max(self.remember[type_name], ahead + 2 * self.tolerance)

    def forgets(self, stamp):
        """An id with this timestamp is not remembered here."""
        if stamp > self.newest_forgotten:
            self.newest_forgotten = stamp

    def earliest(self, type_name):
        """The earliest timestamp that an id which is not known may have."""
        if self.types[type_name].effect == ports.REPEATABLE:
            return self.began
        return max(self.began, self.newest_forgotten + 1)

    def next_stamp(self, key, type_name, wall):
        """The timestamp of what comes from a sender that signs none: newer than all that it is compared
        with."""
        entry = self.entries.get(key)
        return max(wall, self.earliest(type_name) if entry is None else entry.stamp + 1)

    def prune(self, now, at_most=64):
        """Forgets what may be forgotten: a few at each call, so that no one call is long."""
        for _ in range(at_most):
            if not self.ends or self.ends[0][0] > now:
                return
            until, key = self.ends.popleft()
            entry = self.entries.get(key)
            if entry is None:
                continue
            if entry.until > now or entry.state in (RUNNING, ELSEWHERE):
                self.ends.append((max(entry.until, until + self.tolerance), key))
                continue
            self._drop_body(key, entry)
            del self.entries[key]
            self.forgets(entry.stamp)

    def ask(self, now, wall, key, stamp, type_name):
        """(verdict, entry) for a request that is signed rightly and inside the tolerance."""
        self.prune(now)
        verdict, entry = self._ask(now, wall, key, stamp, type_name)
        self.counts[verdict] += 1
        return verdict, entry

    def _ask(self, now, wall, key, stamp, type_name):
        entry = self.entries.get(key)
        if entry is None:
            if stamp < self.began or stamp <= self.newest_forgotten and stamp < self.earliest(type_name):
                return BEFORE, None
            if len(self.entries) >= self.most:
                return FULL, None
            entry = self.entries[key] = Entry(stamp, type_name, now, self._until(now, wall, stamp, type_name))
            self.ends.append((entry.until, key))
            return RUN, entry
        if stamp <= entry.stamp:
            return REPLAY, entry
        if entry.state == ELSEWHERE:
            return ELSEWHERE, entry
        entry.stamp, entry.tries = stamp, entry.tries + 1
        entry.until = max(entry.until, self._until(now, wall, stamp, type_name))
        if entry.state == RUNNING:
            return JOIN, entry
        if entry.state == COMPLETED:
            return (SPENT if entry.body is None else AGAIN), entry
        if not entry.sent:  # nothing ran yet: as if it came for the first time
            entry.first = now
        elif not self._may_repeat(entry, now):
            return UNKNOWN, entry
        entry.state, entry.act = RUNNING, None
        return RUN, entry

    def _may_repeat(self, entry, now):
        type_ = self.types[entry.type]
        if type_.effect == ports.DEDUPLICATED and type_.scope == "all":
            entry.again_until = entry.first + type_.window
            return now < entry.again_until
        return type_.effect == ports.REPEATABLE

    def outlives_client(self, type_name):
        """Whether an activation goes on when its client has left: where a retry could not run it again."""
        return self.types[type_name].effect != ports.REPEATABLE

    def unused(self, key):
        """The request was turned away before it became an activation: it may come again as new."""
        entry = self.entries.get(key)
        if entry is not None and entry.state == RUNNING and entry.act is None:
            entry.state = REJECTED

    def ended(self, key, outcome, body=None, sent=False):
        """The one final answer, or LEFT where the client has gone and nothing will be known.

        `sent`: whether the try may have run. A rejection of what may not run twice proves that it did not."""
        entry = self.entries.get(key)
        if entry is None or entry.state != RUNNING:
            return
        entry.state, entry.act = outcome, None
        type_ = self.types[entry.type]
        proves = outcome == REJECTED and not (type_.effect == ports.DEDUPLICATED and type_.scope == "all")
        entry.sent = entry.sent or sent and not proves
        if outcome == COMPLETED and body is not None and len(body) <= self.bytes:
            entry.body, self.kept[key] = body, entry
            self.held += len(body)
            while self.held > self.bytes:
                oldest, dropped = next(iter(self.kept.items()))
                self._drop_body(oldest, dropped)

    def _drop_body(self, key, entry):
        if self.kept.pop(key, None) is not None:
            self.held -= len(entry.body)
            entry.body = None
