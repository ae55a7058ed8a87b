"""Carries out what the decision module decides; see `petrelwood.ports.Outlet`.

It enforces these rules independently of the module: nothing is sent after the final answer, to a worker that
drains, or to a cold worker too soon after a restart.
"""

from dataclasses import dataclass
from typing import Protocol

from petrelwood import ports
from petrelwood.decide.cluster.membership import Membership
from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.delivery.pending import PendingActivation, PendingActivations
from petrelwood.decide.overload.backoff import Budget
from petrelwood.decide.overload.intake import Intake
from petrelwood.dispatch.activations import Activations
from petrelwood.dispatch.durable_state import DurableState
from petrelwood.dispatch.event_queue import EventQueue
from petrelwood.dispatch.handover.hooks import HandoverHooks
from petrelwood.dispatch.interfaces import CoreRuntime, Rule
from petrelwood.dispatch.worker_links import WorkerLink, WorkerLinks

RETRIES_PER_SEND = 0.5  # retries that each first attempt adds to the budget
MIN_SAVED_RETRIES = 16.0  # lower bound of the budget's capacity
HELD_PER_SAVED_RETRY = 64  # the capacity is the maximum of held activations divided by this


class OutletCore(CoreRuntime, Protocol):
    """The parts of the core that `ModuleOutlet` uses."""

    @property
    def activations(self) -> Activations:
        """The activations, for their final answers."""

    @property
    def pending(self) -> PendingActivations:
        """The activations without a final answer."""

    @property
    def events(self) -> EventQueue:
        """The event queue, which records the activations that the current call touches."""

    @property
    def intake(self) -> Intake:
        """The admission stage, which tells when a rejected client may retry."""

    @property
    def links(self) -> WorkerLinks:
        """The links to workers."""

    @property
    def membership(self) -> Membership:
        """The workers by the endpoint list."""

    @property
    def handover(self) -> HandoverHooks:
        """The hand-over state: whether another process owns new activations."""

    @property
    def durable_state(self) -> DurableState | None:
        """The durable record of load orders, or None if none is kept."""

    def rule(self, function: str, /) -> Rule | None:
        """Return the rule of a function, or None if it may not be called."""

    def transmit(self, link: WorkerLink, act: PendingActivation, attempt: int, remaining: int, /) -> object:
        """Send an attempt over a link; `remaining`: ns until its deadline."""

    def order_not_sent(self, given_at: int, /) -> object:
        """Withdraw a load order that was issued at `given_at` and will never be sent."""

    def send_ended(
        self,
        activation_id: str,
        attempt: int,
        worker: str,
        reason: ports.EndReason,
        note: int,
        body: bytes,
        sent_at: int,
        report: dict[str, float] | None,
        /,
    ) -> object:
        """Handle the end of an attempt."""

    def load_order_ended(self, worker: str, function: str, reason: ports.EndReason, copies: int, /) -> object:
        """Handle the end of a load order."""

    def health_check_ended(
        self, worker: str, reason: ports.EndReason, report: dict[str, float] | None, /
    ) -> object:
        """Handle the end of a health check."""

    def timer_fired(self, mark: str, /) -> object:
        """Handle a timer of the decision module."""


def retry_budget(max_held: int) -> Budget:
    """Return the retry budget of a dispatcher with at most `max_held` activations queued or in flight."""
    saved_retries = max(MIN_SAVED_RETRIES, max_held / HELD_PER_SAVED_RETRY)
    return Budget(RETRIES_PER_SEND, saved_retries)


@dataclass(slots=True)
class OutletCounts:
    """Counts of the decisions that were carried out or refused, for logs and tests."""

    sends: int = 0
    orders: int = 0
    probes: int = 0
    refused_by_guard: int = 0
    over_budget: int = 0


class ModuleOutlet:
    """The outlet of one dispatcher's module. `retries`: the budget for retries; None: they are unlimited."""

    def __init__(self, core: OutletCore, retries: Budget | None) -> None:
        self.core = core
        self.now = core.now
        self.links = core.links
        self.pending = core.pending
        self.counts = OutletCounts()
        self.retries = retries

    def send(self, act: str, worker: str, limit: int) -> None:
        """Send an activation to a worker; `limit` is not used, because links send the deadline."""
        core = self.core
        core.events.touched.add(act)
        activation = self.pending.activations.get(act)
        attempt = self.pending.begin_attempt(act)
        if activation is None or attempt is None:
            core.log.error("send after the final answer suppressed", act=act, worker=worker)
            return
        now = self.now()
        link = self.links.get(worker)
        state = core.durable_state
        if (
            link is None
            or not core.membership.is_usable(worker)
            or (state is not None and not state.is_warm_enough(worker, now))
        ):
            self.counts.refused_by_guard += 1
            self._not_sent(act, attempt, worker, now)
            return
        if self.retries is not None:
            if not attempt:
                self.retries.earn()
            # A used-up budget means widespread failures, which more retries would not cure.
            elif not self.retries.spend():
                self.counts.over_budget += 1
                self._not_sent(act, attempt, worker, now)
                return
        self.counts.sends += 1
        self.links.in_flight[act, attempt] = worker
        core.transmit(link, activation, attempt, activation.due - now)

    def _not_sent(self, act: str, attempt: int, worker: str, now: int) -> None:
        core = self.core
        core.submit(core.send_ended, act, attempt, worker, ports.EndReason.NOT_SENT, 0, b"", now, None)

    def reject(self, act: str, retry_after: int) -> None:
        """Reject an activation; `retry_after` (ns): 0 if the client gets no retry hint."""
        core = self.core
        core.events.touched.add(act)
        activation = self.pending.activations.get(act)
        wait = 0
        if retry_after and activation is not None:
            customer, id_ = activation.key
            wait = core.intake.retry_after(self.now(), customer, id_, retry_after)
        core.activations.finish(act, ActivationState.REJECTED, retry_after=wait)

    def abort(self, act: str) -> None:
        """Abort an activation, which may have run."""
        self.core.events.touched.add(act)
        self.core.activations.finish(act, ActivationState.ABORTED)

    def cancel(self, act: str, n: int) -> None:
        """Ask the worker to cancel the attempt `n` of an activation."""
        self.links.cancel(act, n)

    def order_load(self, worker: str, fn: str, copies: int) -> None:
        """Order a worker to have `copies` copies of a function."""
        core = self.core
        link = self.links.get(worker)
        rule = core.rule(fn)
        if link is None or rule is None or core.handover.retired or not core.membership.is_usable(worker):
            self.counts.refused_by_guard += 1
            self._order_not_sent(worker, fn)
            return
        # The order counts against the ration of the next incarnation, so it is made durable first.
        if core.durable_state is not None and not core.durable_state.record_order(worker, fn, copies):
            self._order_not_sent(worker, fn)
            return
        self.counts.orders += 1
        link.order_load(fn, rule.lanes, copies)

    def _order_not_sent(self, worker: str, fn: str) -> None:
        core = self.core
        core.order_not_sent(self.now())
        core.submit(core.load_order_ended, worker, fn, ports.EndReason.NOT_SENT, 0)

    def check_health(self, worker: str) -> None:
        """Send a worker a health check."""
        self.counts.probes += 1
        link = self.links.get(worker)
        if link is not None:
            link.check_health()
        else:
            core = self.core
            core.submit(core.health_check_ended, worker, ports.EndReason.NO_CONNECTION, None)

    def set_timer(self, mark: str, wait: int) -> None:
        """Call the module again in `wait` ns."""
        core = self.core
        core.clock.at(self.now() + wait, core.submit, core.timer_fired, mark)

    def request_endpoint_list(self) -> None:
        """Do nothing: the endpoint list is pushed to this dispatcher, which never polls."""
