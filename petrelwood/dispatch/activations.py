"""Activations from their admission to the one final answer.

    front -> intake (capacity, retry or replay, deadline) -> pending activations -> module -> link -> worker

and back. An activation ends once: with an answer, or because its client left and it need not go on.
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

# Looked up once: a member of an enum takes longer to find than a name of the module.
ABORTED = ActivationState.ABORTED
CLIENT_LEFT = ActivationState.CLIENT_LEFT
COMPLETED = ActivationState.COMPLETED
REJECTED = ActivationState.REJECTED

Key = tuple[str, str]
"""The customer of an activation, and the id that the customer gave it."""


class Exchange(Protocol):
    """One request of a client, at a front."""

    activation_id: str | None  # the id of the activation that it waits for

    def answer(
        self,
        outcome: str,
        body: bytes = b"",
        retry_after: int = 0,
        detail: str = "",
        activation_id: str | None = None,
    ) -> object:
        """Give the client its final answer. `retry_after`: ns, 0 where it is not told."""


class ActivationsCore(CoreRuntime, Protocol):
    """What the activations need of the core. Parts that may be None are set and unset while it runs."""

    @property
    def intake(self) -> Intake:
        """The admission: capacity, quotas, retries by id."""

    @property
    def pending(self) -> PendingActivations:
        """The activations without a final answer."""

    @property
    def required_ledger(self) -> Ledger:
        """The ledger, of a dispatcher that has one."""

    @property
    def events(self) -> EventQueue:
        """The queue, which has to know which activations the present call touches."""

    @property
    def scheduler(self) -> DecisionModule:
        """The decision module."""

    @property
    def links(self) -> WorkerLinks:
        """The links to workers."""

    @property
    def recent_answers(self) -> RecentAnswers:
        """How many of the last answers were good."""

    @property
    def handover(self) -> HandoverHooks:
        """What a hand-over wants to know of answers and ends."""

    @property
    def durable_state(self) -> DurableState | None:
        """The record of activations, where one is made."""

    @property
    def forecasts(self) -> LoadForecasts | None:
        """The forecasts of load, where they are made."""


class Activations:
    """The activations of one dispatcher."""

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
        hooks = core.handover
        if hooks.may_be_superseded is not None and hooks.may_be_superseded(now):
            retry_after = self.intake.retry_after(now, *key)
            exchange.answer(
                intake_stage.REJECT,
                retry_after=retry_after,
                detail=intake_stage.RejectionReason.SHUTTING_DOWN,
            )
            return
        verdict = self.intake.decide(now, core.clock.wall(), request)
        if verdict.outcome == intake_stage.ADMIT:
            state = core.durable_state
            if state is not None and not state.can_admit(request.type):
                self._reject_for_outage(now, key, state, exchange)
            else:
                self._take(now, key, request, verdict, function, rule, body, exchange)
        elif verdict.outcome == intake_stage.JOIN:
            self._join(now, key, verdict, exchange)
        else:
            exchange.answer(verdict.outcome, verdict.body, verdict.retry_after, verdict.reason)

    def _join(self, now: int, key: Key, verdict: Verdict, exchange: Exchange) -> None:
        """Have a retry wait for the answer of the attempt that is in flight."""
        act = self.pending.by_key.get(key)
        if act is not None and self.pending.join(key, verdict.due, exchange):
            exchange.activation_id = act.id
            self._set_deadline_timer()
            return
        exchange.answer(intake_stage.ABORT, detail="an earlier try may have run and must not run again")

    def _reject_for_outage(self, now: int, key: Key, state: DurableState, exchange: Exchange) -> None:
        """Reject an activation that must not run twice while its id can't be made durable."""
        core = self.core
        core.required_ledger.end(key, CLIENT_LEFT)
        retry_after = self.intake.retry_after(now, *key, state.reject(now))
        exchange.answer(intake_stage.REJECT, retry_after=retry_after, detail="its id can't be kept now")

    def _take(
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
        """Hand an activation to the module."""
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
        """Reject an activation that the module has not heard of; it may come back after `least_wait` ns."""
        customer, id_ = act.key
        retry_after = self.intake.retry_after(self.now(), customer, id_, least_wait)
        self.finish(act.id, REJECTED, retry_after=retry_after)

    def detach_client(self, activation_id: str, exchange: Exchange) -> None:
        """End an activation whose client disconnected, unless others wait for it or it must continue."""
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
        why: str = "",
    ) -> None:
        """Give an activation its final answer."""
        act = self.pending.end(self.now(), activation_id, outcome, body)
        if act is None:
            self.core.log.error("second final answer suppressed", act=activation_id, outcome=outcome)
            return
        self._record_end(act, outcome, body)
        if act.in_flight:
            self.core.links.withdraw(act.id, act.in_flight)
        for exchange, _ in act.waiters:
            exchange.answer(outcome, body or b"", retry_after, why, act.id)

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
        """Answer what is overdue without waiting for the timer."""
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
        """Let the attempts of an activation time out, of which the module makes a final answer.

        If it does not, there is one all the same.
        """
        act = self.pending.activations.get(activation_id)
        if act is not None:
            self.core.links.time_out(activation_id, act.in_flight)
            self.core.submit(self._abort_overdue, activation_id)

    def _abort_overdue(self, activation_id: str) -> None:
        act = self.pending.activations.get(activation_id)
        if act is not None:
            self.pending.counts["overdue"] += 1
            self.core.log.error("overdue", act=activation_id, sends=act.attempts)
            self.finish(activation_id, ABORTED, why="out of time")
            self.core.scheduler.client_departed(self.now(), activation_id)

    def abort_defective(self, activation_id: str) -> None:
        """Abort an activation that a defect of this program has touched."""
        core = self.core
        if activation_id not in self.pending.activations:
            return
        self.finish(activation_id, ABORTED, why="a defect in the dispatcher")
        try:
            core.scheduler.client_departed(self.now(), activation_id)
        except Exception as fault:
            core.log.error("defect", where="left", fault=repr(fault), act=activation_id)
