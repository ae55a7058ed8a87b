"""The book of what is owed: each activation taken gets exactly one final answer, in time.

It knows the sends of each activation that are still out, who waits for the answer, and when it is due. The
dispatcher tells it what happened; it says what follows. What it closes can't be closed again, whoever asks: a
second answer for the same activation is counted as a fault and goes nowhere."""

import heapq

from petrelwood.decide.delivery.ledger import ActivationState


class PendingActivation:
    """One activation. `waiting` are the fronts' exchanges: each one gets the answer. `lanes`, `load_time`,
    `work` (ns): as its rule or its client tells them; `mark`: what a worker tells repeats by, where it is not
    the id."""

    __slots__ = (
        "id",
        "key",
        "customer",
        "type",
        "came",
        "due",
        "sends",
        "out",
        "waiting",
        "body",
        "fn",
        "lanes",
        "load_time",
        "work",
        "mark",
        "number",
    )

    def __init__(self, id_, key, ask, due, fn, lanes, body, number, load_time, work):
        self.id, self.key, self.due, self.number = id_, key, due, number
        self.customer, self.type, self.came, self.mark = ask.customer, ask.type, ask.came, ask.mark
        self.fn, self.body, self.lanes, self.load_time, self.work = fn, body, lanes, load_time, work
        self.sends, self.out, self.waiting = 0, set(), []

    def __lt__(self, other):
        return self.number < other.number


class PendingActivations:
    """Times in ns. `ledger` may be None: nothing is known of earlier tries. `prefix` None: an activation goes
    under the id that it came with, which no other that is open may have."""

    def __init__(self, intake, ledger, prefix=""):
        self.intake, self.ledger, self.prefix, self.acts, self.by_key = intake, ledger, prefix, {}, {}
        self.ends, self.last = [], 0
        self.counts = {
            "taken": 0,
            ActivationState.COMPLETED.value: 0,
            ActivationState.REJECTED.value: 0,
            ActivationState.ABORTED.value: 0,
            ActivationState.CLIENT_LEFT.value: 0,
            "overdue": 0,
            "twice": 0,
            "joined": 0,
            "defects": 0,
        }

    def take(self, now, key, ask, due, fn, lanes, body, waiter, load_time=0, work=0):
        """A new activation, from an `intake.Ask` whose verdict was TAKE."""
        self.last += 1
        id_ = ask.id if self.prefix is None else f"{self.prefix}{self.last}"
        act = PendingActivation(id_, key, ask, due, fn, lanes, body, self.last, load_time, work)
        act.waiting.append((waiter, due))
        self.acts[act.id] = self.by_key[key] = act
        if self.ledger is not None:
            self.ledger.entries[key].activation_id = act.id
        heapq.heappush(self.ends, (due, act.number, act))
        self.intake.took(*key)
        self.counts["taken"] += 1
        return act

    def join(self, now, key, due, waiter):
        """A retry waits for the answer of the try that runs; False where there is none to wait for."""
        act = self.by_key.get(key)
        if act is None:
            return False
        act.waiting.append((waiter, due))
        heapq.heappush(self.ends, (due, act.number, act))
        self.counts["joined"] += 1
        return True

    def sent(self, act_id):
        """The number of the send that goes out now; None where the activation has ended: nothing may
        follow."""
        act = self.acts.get(act_id)
        if act is None:
            return None
        n, act.sends = act.sends, act.sends + 1
        act.out.add(n)
        return n

    def returned(self, act_id, n):
        """A send has ended. Whether it was out and its activation still owes an answer."""
        act = self.acts.get(act_id)
        if act is None or n not in act.out:
            return False
        act.out.remove(n)
        return True

    def left(self, now, act_id, waiter):
        """A client went. 'end' where nobody waits any more and the activation need not go on."""
        act = self.acts.get(act_id)
        if act is None:
            return None
        act.waiting = [pair for pair in act.waiting if pair[0] is not waiter]
        if act.waiting or self.ledger is not None and self.ledger.outlives_client(act.type):
            return None
        return "end"

    def end(self, now, act_id, outcome, body=None):
        """Closes an activation; its waiters, or None where it was closed before."""
        act = self.acts.pop(act_id, None)
        if act is None:
            self.counts["twice"] += 1
            return None
        if self.by_key.get(act.key) is act:
            del self.by_key[act.key]
        # the heap of due times still has it, for as long as its client would wait
        act.body = None
        self.counts[outcome] += 1
        self.intake.ended(now, act.customer, act.type, now - act.came, outcome)
        if self.ledger is not None:
            self.ledger.end(act.key, outcome, body, act.sends > 0)
        return act

    def _open(self, act):  # not another one that goes under the id of one that has ended
        return self.acts.get(act.id) is act

    def next_due(self):
        while self.ends and not self._open(self.ends[0][2]):
            heapq.heappop(self.ends)
        return self.ends[0][0] if self.ends else None

    def overdue(self, now):
        """What is out of time: (activation, waiters to be answered apart, whether the activation itself
        is)."""
        found = []
        while self.ends and self.ends[0][0] <= now:
            act = heapq.heappop(self.ends)[2]
            if not self._open(act):
                continue
            if now >= act.due:
                found.append((act, [], True))
                continue
            late = [waiter for waiter, due in act.waiting if due <= now]
            act.waiting = [pair for pair in act.waiting if pair[1] > now]
            found.append((act, late, False))
        return found
