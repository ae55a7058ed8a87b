"""The chain that an activation passes before the module: each stage passes it on, keeps it or ends it.

    customer's room -> retry or replay -> patience -> what can be served -> retry policy -> the module

Every front asks here, so that a case has one decision whichever way it came. A verdict says what the front
should answer; TAKE and JOIN mean that the answer comes later, through `PendingActivations`."""

from typing import NamedTuple

from petrelwood.decide.delivery import ledger as ledger_module
from petrelwood.decide.overload import deadlines
from petrelwood.decide.overload.concurrency_limit import ConcurrencyLimit
from petrelwood.decide.overload.retry_budget import EARLY, FIRST, RetryPolicy
from petrelwood.decide.overload.storm import Storms, SymptomName
from petrelwood.decide.overload.throughput import ThroughputEstimate

TAKE, JOIN, GIVE, REFUSE, CONFLICT, ABORT, SPENT = (
    "take",
    "join",
    "give",
    "refuse",
    "conflict",
    "abort",
    "spent",
)
CROWDED, OVER_PART, LEDGER_FULL, NO_TIME, CLOSING = (
    "crowded",
    "over its part",
    "ledger full",
    "no time",
    "closing",
)
TOO_MANY, TOO_EARLY = "more than can be answered in time", "asked again before the time that it was told"
BEFORE = "signed before this dispatcher began; sign it anew"


class Ask(NamedTuple):
    """What a front has found out about a request whose signature holds."""

    customer: str
    id: str
    stamp: int  # the sender's wall clock, ns
    type: str  # namespace type
    came: int  # ns of our clock, when its first byte was read
    wait: int  # the client's patience, ns; 0: not told
    mark: str = ""  # what workers tell repeats of it by, where it is not the id


class Verdict(NamedTuple):
    what: str
    why: str = ""
    body: bytes = b""
    retry_after: int = 0  # ns
    due: int = 0  # TAKE, JOIN: when the answer must be decided
    gone: int = 0  # TAKE, JOIN: when the client gives up


def wall_after(ledger, ask):
    """How far a request's timestamp lies before the earliest that the ledger takes, ns: its sender's clock
    may be behind."""
    return ledger.earliest_timestamp(ask.type) - ask.stamp


class Intake:
    """Times in ns. `damps`: whether storms are damped here: hints that grow, a budget for early repeats, a
    bound that follows what can be answered in time; else a full house alone turns away."""

    def __init__(self, limits, timeouts, terms, ledger, chance, damps=True):
        self.limits, self.timeouts, self.terms, self.ledger, self.chance = (
            limits,
            timeouts,
            terms,
            ledger,
            chance,
        )
        self.held, self.by_customer, self.closing, self.damps = 0, {}, False, damps
        self.usual = min(timeouts.values()) // 4  # how long an activation stays, by a running mean
        few = max(4, limits.held // 1024)
        self.throughput, self.concurrency_limit = (
            ThroughputEstimate(few),
            ConcurrencyLimit(limits.held, few, min(timeouts.values()) // 2),
        )
        self.retry_policy, self.storms = RetryPolicy(max(64, limits.ledger // 16)), Storms()

    def ask(self, now, wall, ask):
        due, gone = deadlines.deadline(ask.came, ask.wait, self.timeouts[ask.type])
        known = self.ledger.entries.get((ask.customer, ask.id))
        joins = known is not None and (
            known.state != ledger_module.ActivationState.REJECTED or ask.stamp <= known.timestamp
        )
        how = FIRST if joins or not self.damps else self.retry_policy.classify(now, ask.customer, ask.id)
        if self.damps:
            self.storms.record_request(now, joins or how is not FIRST)
        if not joins:  # a retry of what is known costs no room
            why = (
                self._room(ask.customer)
                or (NO_TIME if deadlines.is_hopeless(now, due, self.timeouts[ask.type]) else None)
                or (self.damps and self._more_than_can_be(now, ask, due, how))
            )
            if why:
                return Verdict(
                    REFUSE,
                    why,
                    retry_after=self.come_back(now, ask.customer, ask.id, early=how is EARLY),
                )
        verdict, entry = self.ledger.admit(now, wall, (ask.customer, ask.id), ask.stamp, ask.type)
        if verdict == ledger_module.LedgerVerdict.RUN:
            if joins:
                why = self._room(ask.customer)
                if why:  # it may run, but there is no room: it stays as it was
                    self.ledger.end((ask.customer, ask.id), ledger_module.ActivationState.CLIENT_LEFT)
                    return Verdict(REFUSE, why, retry_after=self.come_back(now, ask.customer, ask.id))
            if entry.retry_until:  # workers drop repeats no longer than that
                due = min(due, entry.retry_until)
            return Verdict(TAKE, due=due, gone=gone)
        if verdict == ledger_module.LedgerVerdict.JOIN:
            return Verdict(JOIN, due=due, gone=gone)
        if verdict == ledger_module.LedgerVerdict.REPEAT_RESULT:
            return Verdict(GIVE, body=entry.result)
        if verdict == ledger_module.LedgerVerdict.RUNNING_ELSEWHERE:
            return Verdict(
                REFUSE,
                "the process before this one still finishes it",
                retry_after=self.come_back(now, ask.customer, ask.id),
            )
        if verdict == ledger_module.LedgerVerdict.REPLAY:
            return Verdict(CONFLICT, "this id was already sent with this time or a later one")
        if verdict == ledger_module.LedgerVerdict.RESULT_DROPPED:
            return Verdict(SPENT, "it was completed, and its result is no longer kept")
        if verdict == ledger_module.LedgerVerdict.MAY_HAVE_RUN:
            return Verdict(ABORT, "an earlier try may have run and must not run again")
        if verdict == ledger_module.LedgerVerdict.SIGNED_TOO_EARLY:
            return Verdict(
                REFUSE,
                BEFORE,
                retry_after=self.come_back(
                    now,
                    ask.customer,
                    ask.id,
                    min(wall_after(self.ledger, ask), self.terms.allowed.max_retry_after),
                ),
            )
        return Verdict(REFUSE, LEDGER_FULL, retry_after=self.come_back(now, ask.customer, ask.id))

    def _more_than_can_be(self, now, ask, due, how):
        """Why one more would do harm, or None. A customer with less than half of an equal part still has room
        over the bound: one that storms does not shut out those that are quiet."""
        quiet = (
            self.by_customer.get(ask.customer, 0) * 2 * max(1, len(self.by_customer))
            < self.concurrency_limit.limit
        )
        if not self.concurrency_limit.has_capacity(self.held) and not (quiet and len(self.by_customer) > 1):
            return TOO_MANY
        if not quiet and self.throughput.is_too_late(now, self.held, due):
            return TOO_MANY
        if (
            how is EARLY
            and self.concurrency_limit.is_reduced
            and (
                self.retry_policy.rejected_for(now, ask.customer, ask.id)
                > self.terms.types[ask.type].target_latency
            )
        ):
            # it can only be late by now; others can still be in time
            return TOO_EARLY
        if (
            how is EARLY
            and (self.storms.has(SymptomName.REPEATS) or self.concurrency_limit.is_reduced)
            and not self.retry_policy.may_retry_early(ask.customer)
        ):
            return TOO_EARLY
        return None

    def _room(self, customer):
        if self.closing:
            return CLOSING
        if self.held >= self.limits.held:
            return CROWDED
        if len(self.terms.quotas) + len(self.by_customer) > 1 and (
            self.by_customer.get(customer, 0) >= self.limits.held * self.limits.per_customer
        ):
            return OVER_PART
        return None

    def took(self, customer, id_):
        self.held += 1
        self.retry_policy.on_admitted(customer, id_)
        self.by_customer[customer] = self.by_customer.get(customer, 0) + 1

    def ended(self, now, customer, type_name, stayed, outcome):
        """An activation that was taken has its answer, or its client is gone, after `stayed` ns."""
        self.held -= 1
        left = self.by_customer[customer] - 1
        if left:
            self.by_customer[customer] = left
        else:
            del self.by_customer[customer]
        self.usual += (stayed - self.usual) // 64
        self.throughput.record_answer(now)
        if outcome != ledger_module.ActivationState.REJECTED:
            patient = max(self.terms.types[type_name].target_latency, self.timeouts[type_name] // 2)
            self.concurrency_limit.record_answer(
                outcome == ledger_module.ActivationState.COMPLETED and stayed <= patient
            )

    def look(self, now):
        """Asked a few times a second: the symptoms that have changed, as `storm.Storms.update` tells them."""
        if not self.damps:
            return []
        self.concurrency_limit.update(now, self.held)
        return self.storms.update(now)

    def figures(self):
        """What is counted, for logs and tests."""
        return {
            "held": self.held,
            "ledger": dict(self.ledger.counts),
            "ids": len(self.ledger.entries),
            "storms": self.storms.figures(),
            "manners": dict(self.retry_policy.counts),
            "bound": int(self.concurrency_limit.limit),
            "cuts": self.concurrency_limit.cuts,
        }

    def come_back(self, now, customer, id_, least=0, early=False):
        """When one that was turned away should come back: drawn over as long as what is held will take;
        longer each time for one that does not wait so long."""
        most, fullness = self.terms.allowed.max_retry_after, self.held / max(1, self.limits.held)
        wait = (
            self.throughput.retry_after(now, self.held, self.concurrency_limit.limit) if self.damps else None
        )
        wait = (
            max(least, self.usual) * (1 + min(3.0, 4 * fullness))
            if wait is None
            else max(least, self.usual, wait)
        )
        if not self.damps:
            return min(int(wait * (0.5 + self.chance())), most)
        return min(
            most,
            max(least, self.retry_policy.retry_after(now, customer, id_, wait, self.chance, most, early)),
        )
