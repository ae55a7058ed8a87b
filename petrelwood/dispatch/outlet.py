"""Carries out what the decision module decides; see `petrelwood.ports.Outlet`.

It guards the rules once more, whatever the module says: nothing is sent after the final answer, to a worker
that drains, or to a cold one too soon after a restart.
"""

from dataclasses import dataclass
from typing import TYPE_CHECKING

from petrelwood import ports
from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.overload.backoff import Budget

if TYPE_CHECKING:
    from petrelwood.dispatch.core import Core

RETRIES_PER_SEND = 0.5
LEAST_SAVED_RETRIES = 16.0
HELD_PER_SAVED_RETRY = 64  # activations that a dispatcher may hold, for one more retry that is saved


@dataclass(slots=True)
class OutletCounts:
    """What was carried out, for logs and tests."""

    sends: int = 0
    orders: int = 0
    probes: int = 0
    refused_by_guard: int = 0
    over_budget: int = 0


class ModuleOutlet:
    """The outlet of one dispatcher's module."""

    def __init__(self, core: "Core") -> None:
        self.core = core
        self.now = core.now
        self.links = core.links
        self.pending = core.pending
        self.counts = OutletCounts()
        self.retries: Budget | None = None
        if core.gateway.damps:
            saved_retries = max(LEAST_SAVED_RETRIES, core.limits.held / HELD_PER_SAVED_RETRY)
            self.retries = Budget(RETRIES_PER_SEND, saved_retries)

    def send(self, act: str, worker: str, limit: int) -> None:
        """Sends an activation to a worker. `limit` is not used: links pass the deadline."""
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
            # more retries than first attempts: what fails is not helped by more
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
        """Rejects an activation; `retry_after` (ns): 0 where the client is not told when to come back."""
        core = self.core
        core.events.touched.add(act)
        activation = self.pending.activations.get(act)
        wait = 0
        if retry_after and activation is not None:
            customer, id_ = activation.key
            wait = core.intake.retry_after(self.now(), customer, id_, retry_after)
        core.activations.finish(act, ActivationState.REJECTED, retry_after=wait)

    def abort(self, act: str) -> None:
        """Aborts an activation, which may have run."""
        self.core.events.touched.add(act)
        self.core.activations.finish(act, ActivationState.ABORTED)

    def cancel(self, act: str, n: int) -> None:
        """Asks the worker to end the send number `n` of an activation."""
        self.links.cancel(act, n)

    def order_load(self, worker: str, fn: str, copies: int) -> None:
        """Orders a worker to have so many copies of a function."""
        core = self.core
        link = self.links.get(worker)
        rule = core.rule(fn)
        if link is None or rule is None or core.handover.retired or not core.membership.is_usable(worker):
            self.counts.refused_by_guard += 1
            self._order_not_sent(worker, fn)
            return
        # it counts against the ration of the next incarnation, so it is durable before it goes out
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
        """Sends a worker a health check."""
        self.counts.probes += 1
        link = self.links.get(worker)
        if link is not None:
            link.check_health()
        else:
            core = self.core
            core.submit(core.health_check_ended, worker, ports.EndReason.NO_CONNECTION, None)

    def set_timer(self, mark: str, wait: int) -> None:
        """Calls the module again in `wait` ns."""
        core = self.core
        core.clock.at(self.now() + wait, core.submit, core.timer_fired, mark)

    def request_endpoint_list(self) -> None:
        """Do nothing: this dispatcher gets its endpoint list pushed, and never polls."""
