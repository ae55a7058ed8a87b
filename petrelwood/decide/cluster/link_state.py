"""The state of one link to a worker: when to connect, when a connection counts, when it is given up.

    down -> connecting -> greeting -> up -> down

A connection counts only once the worker has greeted with its id and start time: a peer that accepts and stays
silent was never up, so what waited for it provably never ran. A greeting with another id is a wrong peer; one
with another start time than before is a new life of the worker, which knows nothing of calls made to the old
one."""

from petrelwood.decide.overload.backoff import Backoff

DOWN, CONNECTING, GREETING, UP = "down", "connecting", "greeting", "up"
PINGS = 3  # a link that owes something is asked so often before it is given up


class LinkState:
    """Times in ns. `terms` is a `WorkerTerms`; `budget` a `backoff.Budget` that all links share for
    connecting again."""

    def __init__(self, worker, terms, chance, budget=None):
        self.worker, self.terms, self.state, self.budget = worker, terms, DOWN, budget
        self.backoff = Backoff(terms.connect_within, 16 * terms.connect_within, chance)
        self.since, self.heard, self.asked, self.booted, self.lives = 0, 0, 0, None, 0

    def wants(self, now):
        """For a call that has just come: 'wait' (queue it), 'connect' (begin, and queue it) or 'refuse'."""
        if self.state != DOWN:
            return "wait"
        if not self.backoff.may(now) or (
            self.backoff.failures and self.budget is not None and not self.budget.spend(now)
        ):
            # it failed before, and so do many others: not all at once
            return "refuse"
        return "connect"

    def connecting(self, now):
        self.state, self.since = CONNECTING, now

    def connected(self, now):
        if self.state == CONNECTING:
            self.state = GREETING

    def greeted(self, now, worker, booted):
        """Whether the peer is the worker that was meant."""
        if self.state != GREETING or worker != self.worker:
            return False
        if booted != self.booted:
            self.booted, self.lives = booted, self.lives + 1
        self.state, self.heard, self.asked = UP, now, 0
        self.backoff.succeeded()
        if self.budget is not None:
            self.budget.first()
        return True

    def hears(self, now):
        self.heard, self.asked = now, 0

    def lost(self, now):
        """Notes the loss; a connection that was up costs one short wait, each failure to connect a longer
        one."""
        self.state = DOWN
        return self.backoff.failed(now)

    def check(self, now, owing):
        """'give up', 'ping' or None, asked now and then while the link is not down."""
        if self.state in (CONNECTING, GREETING):
            return "give up" if now - self.since >= self.terms.connect_within else None
        if self.state == UP and owing:
            quiet = now - self.heard
            if quiet >= self.terms.quiet:
                return "give up"
            if quiet >= self.terms.quiet * (self.asked + 1) // (PINGS + 1):
                self.asked += 1
                return "ping"
        return None
