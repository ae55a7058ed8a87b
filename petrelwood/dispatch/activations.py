"""Activations from their admission to the one final answer.

    front -> intake (capacity, retry or replay, deadline) -> pending activations -> module -> link -> worker

and back. An activation ends once: with a final answer, or because its client disconnected and its type does
not require it to continue.
"""

from typing import Protocol

from petrelwood import ports
from petrelwood.decide.delivery.ledger import ActivationState, Ledger
from petrelwood.decide.delivery.pending import PendingActivation, PendingActivations
from petrelwood.decide.overload import intake as intake_stage
from petrelwood.decide.overload.intake import ActivationRequest, Intake, Verdict
from petrelwood.dispatch.durable_state import DurableState
from petrelwood.dispatch.event_queue import EventQueue
from petrelwood.dispatch.handover.hooks import HandoverHooks
from petrelwood.dispatch.interfaces import CoreRuntime, DecisionModule, Rule, Timer
from petrelwood.dispatch.load_forecasts import LoadForecasts
from petrelwood.dispatch.recent_answers import RecentAnswers
from petrelwood.dispatch.state_recovery import LONGEST_BODY
from petrelwood.dispatch.worker_links import WorkerLinks

# Module-level aliases, because looking up an enum member is slower than looking up a module global.
ABORTED = ActivationState.ABORTED
CLIENT_LEFT = ActivationState.CLIENT_LEFT
COMPLETED = ActivationState.COMPLETED
REJECTED = ActivationState.REJECTED

Key = tuple[str, str]
"""The customer of an activation, and the id that the customer gave it."""


class Exchange(Protocol):
    """One client request at a front."""

    activation_id: str | None  # the activation whose answer it waits for

    def answer(
        self,
        outcome: str,
        body: bytes = b"",
        retry_after: int = 0,
        detail: str = "",
        activation_id: str | None = None,
    ) -> object:
        """Give the client its final answer. `retry_after`: ns, 0 for no retry hint."""


class ActivationsCore(CoreRuntime, Protocol):
    """The parts of the core that `Activations` uses; those that may be None can change at runtime."""

    @property
    def intake(self) -> Intake:
        """The admission stage: capacity, quotas, and deduplication of retries by id."""

    @property
    def pending(self) -> PendingActivations:
        """The activations without a final answer."""

    @property
    def required_ledger(self) -> Ledger:
        """The ledger; raises `TypeError` if this dispatcher has none."""

    @property
    def events(self) -> EventQueue:
        """The event queue, which records the activations that the current call touches."""

    @property
    def scheduler(self) -> DecisionModule:
        """The decision module."""

    @property
    def links(self) -> WorkerLinks:
        """The links to workers."""

    @property
    def recent_answers(self) -> RecentAnswers:
        """The outcomes of the answers of the last ten seconds."""

    @property
    def handover(self) -> HandoverHooks:
        """The callbacks of a hand-over for answers and ended activations."""

    @property
    def durable_state(self) -> DurableState | None:
        """The durable record of activations, or None if none is kept."""

    @property
    def forecasts(self) -> LoadForecasts | None:
        """The load forecasts, or None if they are disabled."""


class Activations:
    """Admits the activations of one dispatcher and gives each its final answer."""

    def __init__(self, core: ActivationsCore) -> None:
        self.core = core
        self.now = core.now
        self.intake = core.intake
        self.pending = core.pending
        self.deadline_timer: Timer | None = None
        self.next_deadline = 0

    def admit(
        self, request: ActivationRequest, function: str, rule: Rule, body: bytes, exchange: Exchange
    ) -> None:
        """Admit a request, or answer it at once."""
        core = self.core
        now = self.now()
        key = (request.customer, request.id)
        if core.handover.is_fenced(now):
            retry_after = self.intake.retry_after(now, *key)
            exchange.answer(
                intake_stage.REJECT,
                retry_after=retry_after,
                detail=intake_stage.RejectionReason.SHUTTING_DOWN,
            )
            return
        verdict = self.intake.decide(now, core.clock.wall(), request)
        state = core.durable_state
        if state is not None and verdict.outcome != intake_stage.ADMIT:
            state.record_retry(key)
        if verdict.outcome == intake_stage.ADMIT:
            if state is not None and not state.can_admit(request.type):
                self._reject_for_outage(now, key, state, exchange)
            else:
                self._begin_or_wait(now, key, request, verdict, function, rule, body, exchange)
        elif verdict.outcome == intake_stage.JOIN:
            self._join(now, key, verdict, exchange)
        else:
            exchange.answer(verdict.outcome, verdict.body, verdict.retry_after, verdict.reason)

    def _join(self, now: int, key: Key, verdict: Verdict, exchange: Exchange) -> None:
        """Let a retried request wait for the answer of the activation that is already in flight."""
        act = self.pending.by_key.get(key)
        if act is not None and self.pending.join(key, verdict.due, exchange):
            exchange.activation_id = act.id
            self._set_deadline_timer()
            return
        exchange.answer(intake_stage.ABORT, detail="an earlier try may have run and must not run again")

    def _reject_for_outage(self, now: int, key: Key, state: DurableState, exchange: Exchange) -> None:
        """Reject an activation that must not run twice, because its id can't be stored durably now."""
        core = self.core
        core.required_ledger.end(key, CLIENT_LEFT)
        retry_after = self.intake.retry_after(now, *key, state.reject(now))
        exchange.answer(intake_stage.REJECT, retry_after=retry_after, detail="its id can't be kept now")

    def _begin_or_wait(
        self,
        now: int,
        key: Key,
        request: ActivationRequest,
        verdict: Verdict,
        function: str,
        rule: Rule,
        body: bytes,
        exchange: Exchange,
    ) -> None:
        """Begin a new activation, now or once its durable record allows it."""
        core = self.core
        act = self.pending.admit(request, verdict.due, function, rule, body, exchange)
        exchange.activation_id = act.id
        core.events.touched.add(act.id)
        self._set_deadline_timer()
        if core.forecasts is not None:
            core.forecasts.activation_admitted(now, function, rule, request.type)
        if core.durable_state is None or core.durable_state.record_admitted(act):
            self.begin(act)

    def begin(self, act: PendingActivation) -> None:
        """Hand an activation to the decision module."""
        self.core.events.touched.add(act.id)
        arrival = ports.Arrival(
            activation_id=act.id,
            function=act.function,
            type_name=act.type,
            customer=act.customer,
            due=act.due,
            slots=act.lanes,
            work_hint=act.work,
            load_time=act.load_time,
        )
        self.core.scheduler.activation_arrived(self.now(), arrival)

    def reject(self, act: PendingActivation, least_wait: int = 0) -> None:
        """Reject an activation that the decision module has not received.

        The client may retry after `least_wait` ns.
        """
        customer, id_ = act.key
        retry_after = self.intake.retry_after(self.now(), customer, id_, least_wait)
        self.finish(act.id, REJECTED, retry_after=retry_after)

    def detach_client(self, activation_id: str, exchange: Exchange) -> None:
        """End an activation whose client disconnected, unless other clients wait or it must continue."""
        if self.pending.client_departed(activation_id, exchange):
            act = self.pending.end(self.now(), activation_id, CLIENT_LEFT)
            if act is None:
                return
            self._record_end(act, CLIENT_LEFT, None)
            if act.in_flight:
                self.core.links.withdraw(act.id, act.in_flight)
            self.core.scheduler.client_departed(self.now(), activation_id)

    def finish(
        self,
        activation_id: str,
        outcome: ActivationState,
        body: bytes | None = None,
        retry_after: int = 0,
        detail: str = "",
    ) -> None:
        """End an activation, and give its final answer to all clients that wait for it."""
        act = self.pending.end(self.now(), activation_id, outcome, body)
        if act is None:
            self.core.log.error("second final answer suppressed", act=activation_id, outcome=outcome)
            return
        self._record_end(act, outcome, body)
        if act.in_flight:
            self.core.links.withdraw(act.id, act.in_flight)
        for exchange, _ in act.waiters:
            exchange.answer(outcome, body or b"", retry_after, detail, act.id)

    def _record_end(self, act: PendingActivation, outcome: ActivationState, body: bytes | None) -> None:
        core = self.core
        hooks = core.handover
        if outcome != CLIENT_LEFT:
            core.recent_answers.record(self.now(), outcome == COMPLETED)
            if hooks.on_answer is not None:
                hooks.on_answer(outcome == COMPLETED)
        if hooks.on_activation_end is None and core.durable_state is None:
            return
        cached = body if outcome == COMPLETED and body is not None and len(body) <= LONGEST_BODY else None
        if hooks.on_activation_end is not None:
            customer, id_ = act.key
            hooks.on_activation_end(customer, id_, outcome, act.attempts > 0, cached)
        if core.durable_state is not None:
            core.durable_state.record_ended(act.key, outcome, act.attempts > 0, cached)

    # Deadlines.
    def _set_deadline_timer(self) -> None:
        due = self.pending.next_deadline()
        if due is None or self.deadline_timer is not None and self.next_deadline <= due:
            return
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        self.next_deadline = due
        self.deadline_timer = self.core.clock.at(due, self._answer_overdue)

    def answer_due(self, now: int) -> None:
        """Answer overdue activations now if the timer is due, instead of waiting for it to fire."""
        if self.deadline_timer is not None and self.next_deadline <= now:
            self.deadline_timer.cancel()
            self._answer_overdue()

    def _answer_overdue(self) -> None:
        self.deadline_timer = None
        for act, late, is_over in self.pending.overdue(self.now()):
            if is_over:
                self.core.submit(self.time_out, act.id)
            for exchange in late:
                exchange.answer(ABORTED, detail="the first try still runs", activation_id=act.id)
        self._set_deadline_timer()

    def time_out(self, activation_id: str) -> None:
        """Time out the attempts of an activation, so that the decision module gives the final answer.

        If the module does not, `_abort_overdue` does.
        """
        act = self.pending.activations.get(activation_id)
        if act is not None:
            self.core.links.time_out(activation_id, act.in_flight)
            self.core.submit(self._abort_overdue, activation_id)

    def _abort_overdue(self, activation_id: str) -> None:
        """Abort an overdue activation that the decision module has not answered."""
        act = self.pending.activations.get(activation_id)
        if act is not None:
            self.pending.counts["overdue"] += 1
            self.core.log.error("overdue", act=activation_id, sends=act.attempts)
            self.finish(activation_id, ABORTED, detail="out of time")
            self.core.scheduler.client_departed(self.now(), activation_id)

    def abort_defective(self, activation_id: str) -> None:
        """Abort an activation after a bug raised an unexpected exception in a call that touched it."""
        core = self.core
        if activation_id not in self.pending.activations:
            return
        self.finish(activation_id, ABORTED, detail="a defect in the dispatcher")
        try:
            core.scheduler.client_departed(self.now(), activation_id)
        except Exception as fault:
            core.log.error("defect", where="left", fault=repr(fault), act=activation_id)
