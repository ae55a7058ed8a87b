"""The chain that an activation passes before the module: each stage passes it on, keeps it or ends it.

    customer's room -> retry or replay -> patience -> the module

Every front asks here, so that a case has one decision whichever way it came. A verdict says what the front should
answer; TAKE and JOIN mean that the answer comes later, through `Duty`.
"""
from typing import NamedTuple

from petrelwood.decide import ledger as led
from petrelwood.decide import patience

TAKE, JOIN, GIVE, REFUSE, CONFLICT, ABORT, SPENT = "take", "join", "give", "refuse", "conflict", "abort", "spent"
CROWDED, OVER_PART, LEDGER_FULL, NO_TIME, CLOSING = "crowded", "over its part", "ledger full", "no time", "closing"
BEFORE = "signed before this dispatcher began; sign it anew"


class Ask(NamedTuple):
    """What a front has found out about a request whose signature holds."""
    customer: str
    id: str
    stamp: int             # the sender's wall clock, ns
    type: str              # namespace type
    came: int              # ns of our clock, when its first byte was read
    wait: int              # the client's patience, ns; 0: not told


class Verdict(NamedTuple):
    what: str
    why: str = ""
    body: bytes = b""
    retry_after: int = 0   # ns
    due: int = 0           # TAKE, JOIN: when the answer must be decided
    gone: int = 0          # TAKE, JOIN: when the client gives up


def wall_after(ledger, ask):
    """How far a request's timestamp lies before the ledger's beginning, ns: its sender's clock may be behind."""
    return ledger.began - ask.stamp


class Intake:
    """Times in ns."""

    def __init__(self, limits, timeouts, terms, ledger, chance):
        self.limits, self.timeouts, self.terms, self.ledger, self.chance = limits, timeouts, terms, ledger, chance
        self.held, self.by_customer, self.closing = 0, {}, False
        self.usual = min(timeouts.values()) // 4       # how long an activation stays, by a running mean

    def ask(self, now, wall, ask):
        due, gone = patience.due(ask.came, ask.wait, self.timeouts[ask.type])
        known = self.ledger.entries.get((ask.customer, ask.id))
        joins = known is not None and (known.state != led.REJECTED or ask.stamp <= known.stamp)
        if not joins:                                   # a retry of what is known costs no room
            why = self._room(ask.customer) or (
                NO_TIME if patience.hopeless(now, due, self.timeouts[ask.type]) else None)
            if why:
                return Verdict(REFUSE, why, retry_after=self.come_back())
        verdict, entry = self.ledger.ask(now, wall, (ask.customer, ask.id), ask.stamp, ask.type)
        if verdict == led.RUN:
            if joins:
                why = self._room(ask.customer)
                if why:                                 # it may run, but there is no room: it stays as it was
                    self.ledger.ended((ask.customer, ask.id), led.LEFT)
                    return Verdict(REFUSE, why, retry_after=self.come_back())
            if entry.again_until:                       # workers drop repeats no longer than that
                due = min(due, entry.again_until)
            return Verdict(TAKE, due=due, gone=gone)
        if verdict == led.JOIN:
            return Verdict(JOIN, due=due, gone=gone)
        if verdict == led.AGAIN:
            return Verdict(GIVE, body=entry.body)
        if verdict == led.REPLAY:
            return Verdict(CONFLICT, "this id was already sent with this time or a later one")
        if verdict == led.SPENT:
            return Verdict(SPENT, "it was completed, and its result is no longer kept")
        if verdict == led.UNKNOWN:
            return Verdict(ABORT, "an earlier try may have run and must not run again")
        if verdict == led.BEFORE:
            return Verdict(REFUSE, BEFORE, retry_after=self.come_back(min(wall_after(self.ledger, ask),
                                                                          self.terms.allowed.max_retry_after)))
        return Verdict(REFUSE, LEDGER_FULL, retry_after=self.come_back())

    def _room(self, customer):
        if self.closing:
            return CLOSING
        if self.held >= self.limits.held:
            return CROWDED
        if len(self.terms.quotas) + len(self.by_customer) > 1 and (
                self.by_customer.get(customer, 0) >= self.limits.held * self.limits.per_customer):
            return OVER_PART
        return None

    def took(self, customer):
        self.held += 1
        self.by_customer[customer] = self.by_customer.get(customer, 0) + 1

    def ended(self, customer, stayed):
        """An activation that was taken has its answer, after `stayed` ns."""
        self.held -= 1
        left = self.by_customer[customer] - 1
        if left:
            self.by_customer[customer] = left
        else:
            del self.by_customer[customer]
        self.usual += (stayed - self.usual) // 64

    def come_back(self, least=0):
        """When a client that was turned away should come back: drawn over as long as what is held will take."""
        wait = max(least, self.usual) * (1 + min(3.0, self.held / max(1, self.limits.held) * 4))
        return min(int(wait * (0.5 + self.chance())), self.terms.allowed.max_retry_after)
