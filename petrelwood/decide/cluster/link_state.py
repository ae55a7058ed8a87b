"""The state of one link to a worker: when to connect, when it is up, and when to abandon the connection.

    down -> connecting -> greeting -> up -> down

A link is up only after the worker has sent a greeting with its id and start time. If a peer accepts the
connection but sends nothing, the link was never up, so the calls that are queued for it provably never ran. A
greeting with a different worker id comes from the wrong peer. A greeting with a new start time comes from a
new incarnation of the worker, which has no knowledge of calls to the previous one.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Protocol

from petrelwood.decide.overload.backoff import Backoff, Budget

MAX_UNANSWERED_PINGS = 3  # pings without an answer before a link with calls in flight is abandoned
MAX_BACKOFF_FACTOR = 16  # the longest backoff, as a multiple of the connect timeout


class LinkPhase(StrEnum):
    """The phase of a link's connection."""

    DOWN = "down"
    CONNECTING = "connecting"
    GREETING = "greeting"
    UP = "up"


class CallDecision(StrEnum):
    """What to do with a new call."""

    QUEUE = "wait"
    CONNECT = "connect"  # start connecting, and queue the call
    REJECT = "refuse"


# Aliases for the path of every call, because looking up an enum member is slow in Python 3.11.
DOWN = LinkPhase.DOWN
UP = LinkPhase.UP
QUEUE = CallDecision.QUEUE
REJECT = CallDecision.REJECT
CONNECT = CallDecision.CONNECT


class LinkCheck(StrEnum):
    """What to do with a link after a periodic check."""

    GIVE_UP = "give up"
    PING = "ping"


class LinkTerms(Protocol):
    """The settings of a link; times in ns."""

    @property
    def connect_within(self) -> int:
        """Return the timeout from the start of a connection attempt to the worker's greeting."""

    @property
    def quiet(self) -> int:
        """Return how long a link with calls in flight may receive nothing."""


class LinkState:
    """The state of one link to a worker; times in ns.

    `random_fraction()` returns a random number in [0, 1). `reconnect_budget` is shared by all links and
    limits reconnection attempts after failures; None: no limit.
    """

    __slots__ = (
        "backoff",
        "connecting_since",
        "last_received_at",
        "incarnations",
        "phase",
        "pings",
        "reconnect_budget",
        "terms",
        "worker",
        "worker_started",
    )

    def __init__(
        self,
        worker: str,
        terms: LinkTerms,
        random_fraction: Callable[[], float],
        reconnect_budget: Budget | None = None,
    ) -> None:
        self.worker = worker
        self.terms = terms
        self.phase = LinkPhase.DOWN
        self.reconnect_budget = reconnect_budget
        self.backoff = Backoff(
            terms.connect_within, MAX_BACKOFF_FACTOR * terms.connect_within, random_fraction
        )
        self.connecting_since = 0
        self.last_received_at = 0
        self.pings = 0  # pings sent since bytes were last received
        self.worker_started: int | None = None
        self.incarnations = 0  # number of worker incarnations that have sent a greeting on this link

    def on_call(self, now: int) -> CallDecision:
        """Return what to do with a new call."""
        if self.phase is not DOWN:
            return QUEUE
        if not self.backoff.may_retry(now):
            return REJECT
        if self.backoff.failures and not self._may_reconnect(now):
            return REJECT
        return CONNECT

    def _may_reconnect(self, now: int) -> bool:
        """Return whether the shared budget permits another connection attempt after a failure."""
        return self.reconnect_budget is None or self.reconnect_budget.spend(now)

    def on_connecting(self, now: int) -> None:
        """Handle the start of a connection attempt."""
        self.phase = LinkPhase.CONNECTING
        self.connecting_since = now

    def on_connected(self) -> None:
        """Handle that the peer has accepted the connection."""
        if self.phase == LinkPhase.CONNECTING:
            self.phase = LinkPhase.GREETING

    def on_greeting(self, now: int, worker: object, started: int) -> bool:
        """Handle a greeting; return whether the peer is the expected worker.

        `worker` and `started` are the worker id and the start time in the greeting.
        """
        if self.phase != LinkPhase.GREETING or worker != self.worker:
            return False
        if started != self.worker_started:
            self.worker_started = started
            self.incarnations += 1
        self.phase = LinkPhase.UP
        self.on_bytes(now)
        self.backoff.succeeded()
        if self.reconnect_budget is not None:
            self.reconnect_budget.earn()
        return True

    def on_bytes(self, now: int) -> None:
        """Handle that bytes were received from the peer."""
        self.last_received_at = now
        self.pings = 0

    def on_lost(self, now: int) -> int:
        """Handle a lost or failed connection; return the time from which the next attempt is allowed.

        The backoff is short after a connection that was up, and grows with each failed attempt.
        """
        self.phase = LinkPhase.DOWN
        return self.backoff.failed(now)

    def check(self, now: int, has_calls_in_flight: bool) -> LinkCheck | None:
        """Return the action that the link needs, or None; call it periodically while the link is not down."""
        if self.phase in (LinkPhase.CONNECTING, LinkPhase.GREETING):
            is_late = now - self.connecting_since >= self.terms.connect_within
            return LinkCheck.GIVE_UP if is_late else None
        if self.phase is UP and has_calls_in_flight:
            silence = now - self.last_received_at
            if silence >= self.terms.quiet:
                return LinkCheck.GIVE_UP
            if silence >= self.terms.quiet * (self.pings + 1) // (MAX_UNANSWERED_PINGS + 1):
                self.pings += 1
                return LinkCheck.PING
        return None
