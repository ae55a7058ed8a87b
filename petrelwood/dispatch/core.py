"""The core of a dispatcher: passes events to the decision module, and carries out its decisions.

The core does no I/O itself: the clock and the links are passed in, so the emulator can run the same code.
Each part has a module of its own: activations from admission to answer, the module's outlet, the links to
workers, the durable state, load forecasts, and the event queue that serializes all calls. A call that raises
an unexpected exception (a "defect") aborts the activations that it touched, and no others.
"""

import traceback
from collections.abc import Callable
from dataclasses import asdict
from random import Random
from typing import TYPE_CHECKING, Any

from petrelwood import ports
from petrelwood.decide.cluster.completion import CompletionRate
from petrelwood.decide.cluster.membership import Membership
from petrelwood.decide.delivery.ledger import ActivationState, Ledger
from petrelwood.decide.delivery.pending import PendingActivation, PendingActivations
from petrelwood.decide.overload.backoff import Budget
from petrelwood.decide.overload.intake import ActivationRequest, Intake
from petrelwood.decide.overload.storm import SymptomName
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.dispatch.activations import COMPLETED, Activations, Exchange
from petrelwood.dispatch.durable_state import DurableState
from petrelwood.dispatch.event_queue import Arguments, Call, EventQueue
from petrelwood.dispatch.handover.hooks import ActivationEndHandler, HandoverHooks
from petrelwood.dispatch.interfaces import Clock, DecisionModule, Logger, MakeModule, Rule
from petrelwood.dispatch.load_forecasts import LoadForecasts
from petrelwood.dispatch.outlet import ModuleOutlet, retry_budget
from petrelwood.dispatch.queued_calls import QueuedCallChecks
from petrelwood.dispatch.recent_answers import RecentAnswers
from petrelwood.dispatch.worker_links import Address, WorkerLink, WorkerLinks
from petrelwood.ports import EndpointEntry

if TYPE_CHECKING:  # the platform's dispatcher uses neither KDL settings nor a state log
    from petrelwood.settings.functions import FunctionRule
    from petrelwood.settings.gateway import Gateway
    from petrelwood.store.state_log import StateLog

STORM_CHECK_INTERVAL = 500_000_000  # ns
RECONNECT_BURST = 32.0  # reconnection attempts over all links that need no waiting
MAX_CACHED_RULES = 100_000

MakeLink = Callable[[str, Address | None, "Core"], WorkerLink]
"""Makes the link to a worker at an address."""


class Core(QueuedCallChecks):
    """One dispatcher.

    `chance`: its only source of random numbers. `state`: the state log to continue, if one is open already.
    """

    learns_in_slices = False  # whether forecasts are learnt a few functions at a time

    def __init__(
        self,
        gateway: "Gateway",
        clock: Clock,
        chance: Random,
        link: MakeLink,
        log: Logger,
        scheduler: MakeModule = Scheduler,
        state: "StateLog | None" = None,
    ) -> None:
        self.gateway = gateway
        self.name = gateway.name
        self.limits = gateway.limits
        self.terms = gateway.terms
        self.log = log
        self.clock = clock
        self.now = clock.now
        self.chance = chance
        self.record_epoch = clock.steady_wall() - clock.now()  # ns by which `record_time` is ahead of `now`
        self.ledger, self.intake, id_prefix = self._make_stages()
        self.pending = PendingActivations(self.intake, self.ledger, id_prefix)
        self._make_connections(link)
        self.events = EventQueue(clock, self.defect)
        self.rules: dict[str, FunctionRule | None] = {}
        self.recent_answers = RecentAnswers()
        self.handover = HandoverHooks()
        # `note` of `store.history.History` if a history is kept, else None
        self.record_execution: Callable[..., object] | None = None
        self.durable_state: DurableState | None = None
        self.forecasts: LoadForecasts | None = None
        self.activations = self._make_activations()
        self.outlet = ModuleOutlet(self, retry_budget(self.limits.held) if gateway.damps else None)
        clock.at(clock.now() + STORM_CHECK_INTERVAL, self._check_storms)
        self.scheduler: DecisionModule = scheduler(clock.now(), self.terms, gateway.seed, self.outlet)
        if state is not None:
            self.adopt(state)
        self._begin_forecasts()

    def _make_activations(self) -> Activations:
        return Activations(self)

    def _make_connections(self, link: MakeLink) -> None:
        """Create the membership, the links and the reconnection budget."""
        gateway = self.gateway
        connect_timeout = gateway.workers.connect_within
        self.membership = Membership(self.terms.orders.min_idle_time, connect_timeout, self.chance.random)
        self.links = WorkerLinks(lambda worker, address: link(worker, address, self))
        self.reconnects: Budget | None = None
        if gateway.damps:
            self.reconnects = Budget(1.0, RECONNECT_BURST, connect_timeout)

    def _make_stages(self) -> tuple[Ledger | None, Intake, str | None]:
        """Return the ledger, the intake, and the prefix of activation ids."""
        gateway = self.gateway
        wall = self.clock.wall()
        ledger = Ledger(
            self.limits.ledger,
            self.limits.results,
            gateway.tolerance,
            self.terms.types,
            gateway.remember,
            wall,
        )
        intake = Intake(self.limits, gateway.timeouts, self.terms, ledger, self.chance.random, gateway.damps)
        # Ids must differ between processes. Two processes may start at the same wall-clock time, because the
        # wall clock can be stepped back, but within one boot not at the same monotonic time as well.
        return ledger, intake, f"{self.name}-{wall // 1000:x}-{self.now() // 1000:x}-"

    # The event queue
    def submit(self, call: Call, *args: Any) -> None:
        """Make a call at once, or after the calls that are already queued if one is in progress."""
        events = self.events
        events.waiting.append((call, args))
        if not events.running:
            events.run()

    def defect(self, where: str, fault: Exception, args: Arguments = ()) -> None:
        """Log a call that raised an unexpected exception, and abort the activations that it touched."""
        acts = self.pending.activations
        touched = self.events.touched | {arg for arg in args if isinstance(arg, str) and arg in acts}
        place = traceback.extract_tb(fault.__traceback__)[-1]
        self.pending.counts["defects"] += 1
        self.log.error(
            "defect",
            where=where,
            at=f"{place.filename}:{place.lineno}",
            fault=repr(fault),
            aborted=len(touched),
        )
        for activation_id in sorted(touched):
            self.activations.abort_defective(activation_id)

    # Durable state
    @property
    def required_ledger(self) -> Ledger:
        """The ledger; raises `TypeError` if this dispatcher has none."""
        if self.ledger is None:
            raise TypeError("this dispatcher knows nothing of earlier activations")
        return self.ledger

    def record_time(self) -> int:
        """Return the wall-clock time (ns) for records, without the steps since this process started."""
        return self.now() + self.record_epoch

    def adopt(self, log: "StateLog", predecessor_runs: bool = False) -> None:
        """Restore the state that earlier incarnations recorded in a log, and continue the log.

        `predecessor_runs`: the previous process still finishes its activations in flight.
        """
        if self.durable_state is None:
            self.durable_state = DurableState(self, self.activations, self.required_ledger, log)
            self.events.after_run = self.durable_state.flush
        self.durable_state.adopt(log, predecessor_runs)

    def sync_state(self, done: Callable[[bool], object]) -> None:
        """Sync the state log, then call `done(durable)`; `Dispatcher` overrides this to sync in a thread."""
        if self.durable_state is not None:
            done(self.durable_state.log.sync_task()())

    def clock_offset_found(self, min_clock_offset: int) -> None:
        """Correct the ages of workers: an earlier process saw a clock offset by which they may be younger."""
        younger = self.membership.correct_clock(min_clock_offset, self.now())
        if younger:
            self.submit(self._endpoints_changed, younger, [], False)

    # Hand-over; see `decide.cluster.handover`
    def recent_completion(self) -> CompletionRate:
        """Return the completion rate of the activations answered in the last ten seconds."""
        return self.recent_answers.rate(self.now())

    @property
    def answered(self) -> tuple[int, int]:
        """How many activations completed, and how many were aborted or rejected, since the start."""
        counts = self.pending.counts
        failed = counts[ActivationState.ABORTED] + counts[ActivationState.REJECTED]
        return counts[ActivationState.COMPLETED], failed

    def stop_admitting(self, on_end: ActivationEndHandler) -> None:
        """Admit no further request and order no further load; call `on_end` for each activation that ends."""
        self.intake.closing = True
        self.handover.retired = True
        self.handover.on_activation_end = on_end
        if self.durable_state is not None:
            self.durable_state.log.flush()

    def resume_admitting(self) -> None:
        """Admit again after the successor failed; the activations it admitted are read from its log."""
        if self.durable_state is not None:
            self.durable_state.take_over_again()
        self.intake.closing = False
        self.handover.retired = False
        self.handover.on_activation_end = None

    def note_predecessor_outcome(
        self, customer: str, id_: str, outcome: ActivationState, sent: bool, body: bytes | None
    ) -> None:
        """Record how an activation ended that the predecessor had in flight."""
        key = (customer, id_)
        if self.required_ledger.end_elsewhere(key, outcome, sent, body) and self.durable_state is not None:
            self.durable_state.record_ended(key, outcome, sent, body)

    def predecessor_ended(self) -> None:
        """Handle the end of the predecessor: outcomes that it did not send stay unknown."""
        self.required_ledger.abandon_elsewhere()

    # Storms, forecasts and settings
    def _check_storms(self) -> None:
        """Detect storms that began or ended and notify the fronts; also check the durable state."""
        for name, on, value in self.intake.update(self.now()):
            report = self.log.warning if on else self.log.info
            event = "storm started" if on else "storm ended"
            report(event, symptom=name, value=round(value, 2), held=self.intake.unanswered)
            self.storm_changed(name, on)
        if self.durable_state is not None:
            self.durable_state.check()
        self.clock.at(self.now() + STORM_CHECK_INTERVAL, self._check_storms)

    def storm_changed(self, name: str, on: bool) -> None:
        """Handle the begin or end of a storm symptom; `Dispatcher` overrides this to notify its fronts."""

    def _begin_forecasts(self) -> None:
        terms = self.gateway.early
        if terms is None:
            return
        self.forecasts = LoadForecasts(
            terms, self.terms, self.clock, self.chance, prefetch=self._prefetch, sliced=self.learns_in_slices
        )
        self._plan_next_slot()

    def _prefetch(self, function: str, lanes: int, load_time: int) -> str | None:
        return self.scheduler.prefetch(self.now(), function, lanes, load_time)

    def _plan_next_slot(self) -> None:
        if self.forecasts is not None:
            self.clock.at(self.now() + self.forecasts.slot, self._slot_ended)

    def _slot_ended(self) -> None:
        self.submit(self._plan_loads)
        self._plan_next_slot()

    def _plan_loads(self) -> None:
        if self.intake.storms.has(SymptomName.COLD) or self.intake.concurrency_limit.is_reduced:
            return  # speculative loads wait while the actual requests can't all be served
        if self.forecasts is not None:
            self.forecasts.plan_slot()

    def apply(self, gateway: "Gateway") -> None:
        """Apply new settings that take effect at once: customers' keys, functions, limits.

        Activations in flight keep their deadline, and their customer until they are answered.
        """
        self.gateway = gateway
        self.rules = {}
        self.limits = gateway.limits
        self.intake.limits = gateway.limits
        self.intake.concurrency_limit.set_most(gateway.limits.held)

    def rule(self, function: str) -> "FunctionRule | None":
        """Return the cached rule of a function, or None if it may not be called."""
        try:
            return self.rules[function]
        except KeyError:
            rule: FunctionRule | None = self.gateway.rule(function)
            if len(self.rules) < MAX_CACHED_RULES:
                self.rules[function] = rule
            return rule

    # Calls from the fronts
    def admit(
        self, request: ActivationRequest, function: str, rule: Rule, body: bytes, exchange: Exchange
    ) -> None:
        """Admit the request of an authenticated client, or answer it at once."""
        self.submit(self.activations.admit, request, function, rule, body, exchange)

    def detach_client(self, activation_id: str, exchange: Exchange) -> None:
        """Detach the client of an exchange, which has disconnected."""
        self.submit(self.activations.detach_client, activation_id, exchange)

    # Calls from the links
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
    ) -> None:
        """Handle the end of an attempt; `report`: the worker's load report, if it sent one."""
        now = self.now()
        self.links.in_flight.pop((activation_id, attempt), None)
        act = self.pending.activations.get(activation_id)
        is_unanswered = self.pending.end_attempt(activation_id, attempt)
        if is_unanswered and reason == ports.EndReason.COMPLETED:
            self.activations.finish(activation_id, COMPLETED, body)
        if reason == ports.EndReason.COMPLETED and self.intake.damps:
            self.intake.storms.record_attempt(now, note not in (0, ports.CopyNote.FOUND_WARM))
        if act is not None and (self.forecasts is not None or self.record_execution is not None):
            self._learn(now, act, worker, reason, note, now - sent_at)
        self.events.touched.add(activation_id)
        has_ended = activation_id not in self.pending.activations
        end = ports.AttemptEnd(activation_id, attempt, worker, reason, note, has_ended, now - sent_at, report)
        self.scheduler.attempt_ended(now, end)

    def _learn(
        self, now: int, act: PendingActivation, worker: str, reason: ports.EndReason, note: int, duration: int
    ) -> None:
        """Record the end of an attempt in the history and the forecasts."""
        warm = note in (0, ports.CopyNote.FOUND_WARM)
        if self.forecasts is not None:
            if reason == ports.EndReason.COMPLETED:
                self.forecasts.send_completed(now, act.function, worker, warm, duration)
            elif reason == ports.EndReason.MISSING:
                self.forecasts.copy_missing(now, act.function, worker)
        if self.record_execution is not None and reason == ports.EndReason.COMPLETED:
            self.record_execution(
                self.clock.steady_wall(),
                act.function,
                act.customer,
                self.terms.zone,
                note & 3,
                now - duration - act.arrived_at,
                duration,
                0 if warm else duration,
            )

    def transmit(self, link: WorkerLink, act: PendingActivation, attempt: int, remaining: int) -> None:
        """Send an attempt over a link; `remaining`: ns until its deadline."""
        mark = f"{act.key[0]}/{act.key[1]}"
        link.run(act.id, attempt, act.function, mark, remaining, act.lanes, act.body or b"")

    def load_order_ended(self, worker: str, function: str, reason: ports.EndReason, copies: int) -> None:
        """Handle the end of a load order; `copies`: the copies of the function that the worker has now."""
        if self.forecasts is not None:
            self.forecasts.order_ended(self.now(), function, worker, reason == ports.EndReason.COMPLETED)
        self.scheduler.load_order_ended(self.now(), worker, function, reason, copies)

    def health_check_ended(
        self, worker: str, reason: ports.EndReason, report: dict[str, float] | None
    ) -> None:
        """Handle the end of a health check; `report`: the worker's load report, if it sent one."""
        self.scheduler.health_check_ended(self.now(), worker, reason, report)

    def timer_fired(self, mark: str) -> None:
        """Pass a timer of the decision module to it."""
        self.scheduler.timer_fired(self.now(), mark)

    # Calls from the endpoint list
    def endpoints_changed(self, entries: list[EndpointEntry], draining: list[str], is_whole: bool) -> None:
        """Handle a change of the endpoint list, or the whole list.

        `draining`: the workers that drain or are gone.
        """
        self.submit(self._endpoints_changed, entries, draining, is_whole)

    def _endpoints_changed(self, entries: list[EndpointEntry], draining: list[str], is_whole: bool) -> None:
        self.links.drain(draining)
        self.links.connect(entries, self.membership)
        self.scheduler.endpoints_changed(self.now(), entries, is_whole)
        self.links.release_unused(self.membership.members)

    def endpoint_list_lost(self) -> None:
        """Handle the loss of the endpoint list: no further changes come, the last list stays in use."""
        self.submit(self._endpoint_list_lost)

    def _endpoint_list_lost(self) -> None:
        self.scheduler.endpoint_list_lost(self.now())

    def figures(self) -> dict[str, Any]:
        """Return all counts, for logs and tests."""
        return {**self.pending.counts, **asdict(self.outlet.counts), **self.intake.figures()}
