"""What a dispatcher does between its fronts and its links: it tells the module what happens and carries out
what it decides. Free of I/O: the clock and the links are handed in, so that the emulator drives this very
code.

    front -> signature -> intake (room, retry or replay, patience) -> pending activations -> module
          -> link -> worker

and back. What happens while the module is being told of something is told after that, in order: the module is
never entered twice. A defect ends the activations it touched with an abort, never the others."""

import traceback

from petrelwood import ports
from petrelwood.brain import Brain
from petrelwood.decide.cluster.membership import Membership
from petrelwood.decide.delivery import recovery
from petrelwood.decide.delivery.ledger import ActivationState, Ledger
from petrelwood.decide.delivery.pending import PendingActivations
from petrelwood.decide.delivery.state_records import ActivationEnded, ActivationTaken, LoadOrdered
from petrelwood.decide.overload import intake as stage
from petrelwood.decide.overload.backoff import Budget
from petrelwood.decide.overload.intake import Intake
from petrelwood.dispatch.event_queue import EventQueue
from petrelwood.dispatch.load_forecasts import LoadForecasts
from petrelwood.dispatch.recent_answers import RecentAnswers
from petrelwood.dispatch.state_recovery import LONGEST_BODY, StateRecovery
from petrelwood.dispatch.worker_links import WorkerLinks

LOOK = 500_000_000  # ns between looks at storms
REPEATS = 0.5  # repeated sends for each first one
RECONNECTS = 32.0  # connections tried again at once, over all links


class Core:
    """One dispatcher. It is the module's `ports.Outlet`. `clock` as in `clocks`; `chance` a seeded
    `random.Random`; `link(worker, address, core)` makes a link: `run`, `hold`, `probe`, `cancel`, `late`,
    `withdraw`, `recall`, `owes`, `give_up`. It calls `send_ended`, `load_order_ended`, `health_check_ended`
    through `submit`."""

    slices = False  # whether forecasts are learnt a few functions at a time

    def __init__(self, gateway, clock, chance, link, log, brain=Brain, state=None):
        self.gateway = gateway
        self.log = log
        self.name = gateway.name
        self.clock = clock
        self.now, self.limits, self.terms, start = clock.now, gateway.limits, gateway.terms, clock.now()
        self.record_epoch = clock.steady_wall() - start  # what records' times are ahead of `now`
        self.chance = chance
        self.ledger, self.intake, prefix = self._stages()
        self.pending = PendingActivations(self.intake, self.ledger, prefix)
        self.membership = Membership(self.terms.orders.keep, gateway.workers.connect_within, chance.random)
        self.events = EventQueue(clock, self.defect, self._turn_ended)
        self.links = WorkerLinks(lambda worker, address: link(worker, address, self))
        self.sends_in_flight = {}  # (activation, number of the send) -> worker
        self.due_timer, self.due_at, self.rules = None, 0, {}
        self.repeats = Budget(REPEATS, max(16.0, self.limits.held / 64)) if gateway.damps else None
        self.reconnects = Budget(1.0, RECONNECTS, gateway.workers.connect_within) if gateway.damps else None
        self.clock.at(start + LOOK, self._look)
        self.counts = {"sends": 0, "orders": 0, "probes": 0, "refused_by_guard": 0, "over_budget": 0}
        self.brain = brain(start, self.terms, gateway.seed, self)
        self.state, self.returning, self.unkept, self.retired, self.on_activation_end, self.on_answer = (
            None,
            None,
            {},
            False,
            None,
            None,
        )
        # `may_be_superseded(now)`: whether another process may own what comes
        self.may_be_superseded = None
        self.state_recovery = StateRecovery(self)
        self.recent_answers = RecentAnswers()
        if state is not None:
            self.adopt(state)
        self.record_execution = None  # `note` of `store.history.History`, where a history is kept
        self.forecasts = None
        if gateway.early is not None and hasattr(self.brain, "wish"):
            self.forecasts = LoadForecasts(
                gateway.early, self.terms, clock, chance, wish=self._wish, sliced=self.slices
            )
            self._plan_next_slot()

    def _stages(self):
        """What an activation passes before the module: the ledger (or None), the intake, and what ids are
        made from (or None)."""
        gateway, wall = self.gateway, self.clock.wall()
        ledger = Ledger(
            self.limits.ledger,
            self.limits.results,
            gateway.tolerance,
            self.terms.types,
            gateway.remember,
            wall,
        )
        intake = Intake(self.limits, gateway.timeouts, self.terms, ledger, self.chance.random, gateway.damps)
        # Two processes may begin at the same wall-clock time, as that clock may be stepped back, but not at
        # the same monotonic time on one start of the machine.
        return ledger, intake, f"{self.name}-{wall // 1000:x}-{self.now() // 1000:x}-"

    def record_time(self):
        """The wall-clock time as the state log has it: without steps since this process began."""
        return self.now() + self.record_epoch

    # What an earlier life left, and what is kept of this one.
    def adopt(self, state, elsewhere=False):
        """Goes on from what earlier lives left. `state` as `store.state_log.StateLog`: `found`, `add`,
        `flush`,
        `stopped`, `durability`, `boot`. `elsewhere`: the life before still finishes what it took."""
        now, wall, self.state = self.now(), self.record_time(), state
        found = recovery.replay(self.state.found, wall, self.state.boot, self.state.durability == "machine")
        known = recovery.fill(
            self.ledger,
            found,
            now,
            wall,
            self.terms.types,
            self.gateway.remember,
            self.gateway.tolerance,
            elsewhere,
        )
        self.returning = recovery.Recovery(found, now, wall, self.terms.guarantees, self.terms.orders)
        if self.returning.orders and hasattr(self.brain, "resumed"):
            self.brain.resumed(now, self.returning.orders)
        if self.returning.begins_low and self.gateway.damps and not elsewhere:
            self.intake.concurrency_limit.begin(now)
        self.state.found = []
        if found.least_epoch is not None:
            younger = self.membership.correct_clock(found.least_epoch, now)
            if younger:
                self.submit(self._endpoints_changed, younger, [], False)
        if found.last:
            self.log.info(
                "state found",
                ids=known,
                orders=self.returning.orders,
                in_order=found.in_order,
                whole=bool(found.began),
                clock_back=found.clock_back,
            )

    # A hand-over: see `decide.cluster.handover`.
    def recent_completion(self):
        """How the activations that were answered in the last ten seconds ended."""
        return self.recent_answers.rate(self.now())

    @property
    def answered(self):
        """(completed, not completed) since the start."""
        counts = self.pending.counts
        return counts[ActivationState.COMPLETED], counts[ActivationState.ABORTED] + counts[
            ActivationState.REJECTED
        ]

    def stop_admitting(self, on_end):
        """From now on nothing new is admitted or loaded here; `on_end(customer, id, outcome, sent, body)` is
        called for each activation that ends."""
        self.intake.closing, self.retired, self.on_activation_end = True, True, on_end
        if self.state is not None:
            self.state.flush()

    def resume_admitting(self):
        """The successor has failed: what it admitted is read from its log, and this process admits again."""
        if self.state is not None:
            self.state.take_over_again(self.record_time())
            self.adopt(self.state)
        self.intake.closing, self.retired, self.on_activation_end = False, False, None

    def note_predecessor_outcome(self, customer, id_, outcome, sent, body):
        """The predecessor has finished an activation that it had in flight."""
        if self.ledger.end_elsewhere((customer, id_), outcome, sent, body) and self.state is not None:
            self.state.add(ActivationEnded(self.record_time(), customer, id_, outcome, sent, body))

    def predecessor_gone(self):
        """The predecessor has ended: the outcomes that it did not send are not known."""
        self.ledger.abandon_elsewhere()

    def _turn_away(self, act):
        now = self.now()
        wait = self.intake.come_back(now, *act.key, self.state_recovery.rejected_for(now))
        self._finish(act.id, ActivationState.REJECTED, retry_after=wait)

    def _keep(self, act):
        """Notes a new activation; whether it may be told to the module at once. What must not run twice waits
        until its id is kept, and is turned away where it can't be."""
        stamp = self.ledger.entries[act.key].timestamp
        self.state.add(ActivationTaken(self.record_time(), *act.key, stamp, act.type))
        if not recovery.kept_first(self.terms.types[act.type].effect):
            return True
        if self.state.durability == "machine":
            self.unkept[act.id] = act
            self.sync_soon()
            return False
        if self.state.flush():
            return True
        self._turn_away(act)
        return False

    def sync_soon(self):
        """For a dispatcher whose log is on a disk: calls `kept` when what was added is there."""

    def sync_state(self, done):
        """Makes the state log durable, then calls `done(durable)`; a dispatcher on a loop does it in a
        thread."""
        done(self.state.sync_task()())

    def kept(self, acts, good):
        """The ids of these activations are on the disk, or can't be."""
        for act_id in acts:
            act = self.unkept.pop(act_id, None)
            if act is None or act_id not in self.pending.acts:
                continue
            if good:
                self._begin(act)
            else:
                self._turn_away(act)

    def _begin(self, act):
        self.events.touched.add(act.id)
        self.brain.activation(
            self.now(), act.id, act.fn, act.type, act.customer, act.due, act.lanes, act.work, act.load_time
        )

    def _ended(self, act, outcome, body):
        if outcome != ActivationState.CLIENT_LEFT:
            self.recent_answers.record(self.now(), outcome == ActivationState.COMPLETED)
            if self.on_answer is not None:
                self.on_answer(outcome == ActivationState.COMPLETED)
        kept = (
            body
            if outcome == ActivationState.COMPLETED and body is not None and len(body) <= LONGEST_BODY
            else None
        )
        if self.on_activation_end is not None:
            self.on_activation_end(*act.key, outcome, act.sends > 0, kept)
        if self.state is not None:
            self.state.add(ActivationEnded(self.record_time(), *act.key, outcome, act.sends > 0, kept))

    def _wish(self, function, lanes, load_time):
        return self.brain.wish(self.now(), function, lanes, load_time)

    def _plan_next_slot(self):
        self.clock.at(self.now() + self.forecasts.slot, self._slot_ended)

    def _slot_ended(self):
        self.submit(self._plan_loads)
        self._plan_next_slot()

    def _look(self):
        """Storms are looked at; what they change is decided in `decide.overload.intake` and at the fronts."""
        for name, on, value in self.intake.look(self.now()):
            (self.log.warning if on else self.log.info)(
                "a storm begins" if on else "a storm is over",
                symptom=name,
                value=round(value, 2),
                held=self.intake.held,
            )
            self.storm_changed(name, on)
        if self.state is not None:
            self.state.check(self.record_time())
            self.state_recovery.check()
        self.clock.at(self.now() + LOOK, self._look)

    def storm_changed(self, name, on):
        """For a dispatcher that has fronts."""

    def _plan_loads(self):
        if self.intake.storms.on("cold") or self.intake.concurrency_limit.holds_back:
            return  # guesses wait until what is asked for can be served
        self.forecasts.plan_slot()

    def apply(self, gateway):
        """A new version of the settings, of which all can act at once: customers' keys, functions, limits.
        What is on hand keeps its times, and its customer until it has its answer."""
        self.gateway, self.rules, self.limits, self.intake.limits = (
            gateway,
            {},
            gateway.limits,
            gateway.limits,
        )
        self.intake.concurrency_limit.bound(gateway.limits.held)

    def rule(self, function):
        """The rule of a function, looked up once."""
        found = self.rules.get(function, self)
        if found is self:
            found = self.gateway.rule(function)
            if len(self.rules) < 100_000:
                self.rules[function] = found
        return found

    # One thing after the other.
    def submit(self, call, *args):
        """Makes a call at once, or after the one that is being made."""
        self.events.submit(call, args)

    def _turn_ended(self):
        if self.state is not None:
            self.state.flush()

    def endpoint_list_lost(self):
        """Nothing is heard of the list of workers any more; the last one stays in use."""
        self.submit(self._endpoint_list_lost)

    def _endpoint_list_lost(self):
        self.brain.list_lost(self.now())

    def defect(self, where, fault, args=()):
        """Ends what the failed call had touched, and goes on."""
        touched = self.events.touched | {a for a in args if isinstance(a, str) and a in self.pending.acts}
        at = traceback.extract_tb(fault.__traceback__)[-1]
        self.pending.counts["defects"] += 1
        self.log.error(
            "defect", where=where, at=f"{at.filename}:{at.lineno}", fault=repr(fault), aborted=len(touched)
        )
        for act_id in sorted(touched):
            if act_id in self.pending.acts:
                self._finish(act_id, ActivationState.ABORTED, why="a defect in the dispatcher")
                try:
                    self.brain.left(self.now(), act_id)
                except Exception as second:
                    self.log.error("defect", where="left", fault=repr(second), act=act_id)

    # From the fronts.
    def admit(self, ask, function, rule, body, exchange):
        self.submit(self._admit, ask, function, rule, body, exchange)

    def _admit(self, ask, function, rule, body, exchange):
        now, key = self.now(), (ask.customer, ask.id)
        if self.may_be_superseded is not None and self.may_be_superseded(now):
            exchange.answer(stage.REFUSE, retry_after=self.intake.come_back(now, *key), why=stage.CLOSING)
            return
        verdict = self.intake.ask(now, self.clock.wall(), ask)
        if verdict.what == stage.JOIN:
            act = self.pending.by_key.get(key)
            if act is not None and self.pending.join(now, key, verdict.due, exchange):
                exchange.act = act.id
                self._arm()
                return
            exchange.answer(stage.ABORT, why="an earlier try may have run and must not run again")
        elif (
            verdict.what == stage.TAKE
            and self.state is not None
            and not recovery.may_take(self.terms.types[ask.type].effect, self.state.stopped is None)
        ):
            self.ledger.end(key, ActivationState.CLIENT_LEFT)
            wait = self.intake.come_back(now, *key, self.state_recovery.rejected_for(now))
            exchange.answer(stage.REFUSE, retry_after=wait, why="its id can't be kept now")
        elif verdict.what == stage.TAKE:
            act = self.pending.take(
                now, key, ask, verdict.due, function, rule.lanes, body, exchange, rule.load_time, rule.work
            )
            exchange.act = act.id
            self.events.touched.add(act.id)
            self._arm()
            if self.forecasts is not None:
                self.forecasts.activation_admitted(now, function, rule, ask.type)
            if self.state is None or self._keep(act):
                self._begin(act)
        else:
            exchange.answer(verdict.what, verdict.body, verdict.retry_after, verdict.why)

    def client_left(self, act_id, exchange):
        """The client of an exchange hung up."""
        self.submit(self._client_left, act_id, exchange)

    def _client_left(self, act_id, exchange):
        if self.pending.left(self.now(), act_id, exchange) == "end":
            act = self.pending.end(self.now(), act_id, ActivationState.CLIENT_LEFT)
            self._ended(act, ActivationState.CLIENT_LEFT, None)
            self._withdraw(act)
            self.brain.left(self.now(), act_id)

    def _withdraw(self, act):
        """It has ended: a send of it that waits in a link for a connection never leaves. Against sends after
        the end, also where nothing may be cancelled."""
        for n in sorted(act.out):
            link = self.links.get(self.sends_in_flight.get((act.id, n)))
            if link is not None:
                link.withdraw(act.id, n)

    def _finish(self, act_id, outcome, body=None, retry_after=0, why=""):
        act = self.pending.end(self.now(), act_id, outcome, body)
        if act is None:
            self.log.error("a second final answer was held back", act=act_id, outcome=outcome)
            return
        self._ended(act, outcome, body)
        self._withdraw(act)
        for exchange, _ in act.waiting:
            exchange.answer(outcome, body or b"", retry_after, why, act.id)

    # Deadlines.
    def _arm(self):
        due = self.pending.next_due()
        if due is None or self.due_timer is not None and self.due_at <= due:
            return
        if self.due_timer is not None:
            self.due_timer.cancel()
        self.due_at = due
        self.due_timer = self.clock.at(due, self._due)

    def _due(self):
        self.due_timer = None
        for act, late, whole in self.pending.overdue(self.now()):
            if whole:
                self.submit(self._out_of_time, act.id)
            for exchange in late:
                exchange.answer(ActivationState.ABORTED, why="the first try still runs", act=act.id)
        self._arm()

    def _out_of_time(self, act_id):
        """Its sends time out, of which the module makes an answer; if it does not, there is one all the
        same."""
        act = self.pending.acts.get(act_id)
        if act is None:
            return
        for n in sorted(act.out):
            self.links[self.sends_in_flight[act_id, n]].late(act_id, n)
        self.submit(self._overdue, act_id)

    def _overdue(self, act_id):
        if act_id in self.pending.acts:
            self.pending.counts["overdue"] += 1
            self.log.error("overdue", act=act_id, sends=self.pending.acts[act_id].sends)
            self._finish(act_id, ActivationState.ABORTED, why="out of time")
            self.brain.left(self.now(), act_id)

    # From the links.
    def send_ended(self, act_id, n, worker, code, note, body, at, gauge):
        now = self.now()
        self.sends_in_flight.pop((act_id, n), None)
        owed = self.pending.acts.get(act_id)
        owing = self.pending.returned(act_id, n)
        if owing and code == ports.COMPLETED:
            self._finish(act_id, ActivationState.COMPLETED, body)
        if code == ports.COMPLETED and self.intake.damps:
            self.intake.storms.ran(now, note not in (0, ports.FOUND_WARM))
        if owed is not None and (self.forecasts is not None or self.record_execution is not None):
            self._learn(now, owed, worker, code, note, now - at)
        self.events.touched.add(act_id)
        self.brain.answer(
            now, act_id, n, worker, code, note, act_id not in self.pending.acts, now - at, gauge
        )

    def _learn(self, now, owed, worker, code, note, took):
        """What the history and the forecasts learn from a send's end."""
        warm = note in (0, ports.FOUND_WARM)
        if self.forecasts is not None:
            if code == ports.COMPLETED:
                self.forecasts.send_completed(now, owed.fn, worker, warm, took)
            elif code == ports.MISSING:
                self.forecasts.copy_missing(now, owed.fn, worker)
        if self.record_execution is not None and code == ports.COMPLETED:
            self.record_execution(
                self.clock.steady_wall(),
                owed.fn,
                owed.customer,
                self.terms.zone,
                note & 3,
                now - took - owed.came,
                took,
                0 if warm else took,
            )

    def load_order_ended(self, worker, fn, code, copies):
        if self.forecasts is not None:
            self.forecasts.order_ended(self.now(), fn, worker, code == ports.COMPLETED)
        self.brain.stands(self.now(), worker, fn, code, copies)

    def health_check_ended(self, worker, code, gauge):
        self.brain.probed(self.now(), worker, code, gauge)

    def endpoints_changed(self, entries, leaving, whole):
        self.submit(self._endpoints_changed, entries, leaving, whole)

    def _endpoints_changed(self, entries, leaving, whole):
        self.links.drain(leaving)
        self.links.connect(entries, self.membership)
        self.brain.listed(self.now(), entries, whole)
        self.links.release_unused(self.membership.members)

    # The module's outlet.
    def send(self, act, worker, limit):
        self.events.touched.add(act)
        owed = self.pending.acts.get(act)
        n = self.pending.sent(act)
        if n is None:
            self.log.error("a send after the final answer was held back", act=act, worker=worker)
            return
        now, link = self.now(), self.links.get(worker)
        if link is None or not self.membership.is_usable(worker) or not self._warm_enough(worker, now):
            self.counts["refused_by_guard"] += 1
            self.submit(self.send_ended, act, n, worker, ports.NOT_SENT, 0, b"", now, None)
            return
        if self.repeats is not None:
            if not n:
                self.repeats.earn()
            # more are sent again than first: what fails is not helped by more
            elif not self.repeats.spend():
                self.counts["over_budget"] += 1
                self.submit(self.send_ended, act, n, worker, ports.NOT_SENT, 0, b"", now, None)
                return
        self.counts["sends"] += 1
        self.sends_in_flight[act, n] = worker
        self._hand(link, owed, n, owed.due - now)

    def _hand(self, link, owed, n, left):
        link.run(owed.id, n, owed.fn, f"{owed.key[0]}/{owed.key[1]}", left, owed.lanes, owed.body)

    def _warm_enough(self, worker, now):
        if self.returning is None or now >= self.returning.cold_from:
            return True
        booted = self.membership.members[worker].booted
        return self.returning.may_send(now, bool(booted) and now - booted < self.terms.guarantees.cold)

    def reject(self, act, retry_after):
        self.events.touched.add(act)
        owed = self.pending.acts.get(act)
        wait = (
            self.intake.come_back(self.now(), *owed.key, retry_after)
            if retry_after and owed is not None
            else 0
        )
        self._finish(act, ActivationState.REJECTED, retry_after=wait)

    def abort(self, act):
        self.events.touched.add(act)
        self._finish(act, ActivationState.ABORTED)

    def cancel(self, act, n):
        link = self.links.get(self.sends_in_flight.get((act, n)))
        if link is not None:
            link.cancel(act, n)

    def hold(self, worker, fn, copies):
        link, rule = self.links.get(worker), self.rule(fn)
        if link is None or self.retired or not self.membership.is_usable(worker):
            self.counts["refused_by_guard"] += 1
            self.order_not_sent(self.now())
            self.submit(self.load_order_ended, worker, fn, ports.NOT_SENT, 0)
            return
        if not self._order_recorded(worker, fn, copies):
            self.order_not_sent(self.now())
            self.submit(self.load_order_ended, worker, fn, ports.NOT_SENT, 0)
            return
        self.counts["orders"] += 1
        link.hold(fn, rule.lanes, copies)

    def _order_recorded(self, worker, fn, copies):
        """Whether a load order may go out: it counts against the next life's ration, so it is in the log
        before."""
        if self.state is None:
            return True
        self.state.add(LoadOrdered(self.record_time(), worker, fn, copies))
        if not self.state.flush():
            return False
        self.state_recovery.recent_orders.add(self.now(), worker, fn, copies)
        return True

    def may_send_order(self, given):
        """A link: an order that was given at `given` (ns) is about to leave. Whether it may."""
        return not hasattr(self.brain, "leaves") or self.brain.leaves(self.now(), given)

    def order_not_sent(self, given):
        """A link: it never will."""
        if hasattr(self.brain, "stays"):
            self.brain.stays(self.now(), given)

    def probe(self, worker):
        self.counts["probes"] += 1
        if worker in self.links:
            self.links[worker].probe()
        else:
            self.submit(self.health_check_ended, worker, ports.NO_CONNECTION, None)

    def wake(self, mark, wait):
        self.clock.at(self.now() + wait, self.submit, self._ring, mark)

    def _ring(self, mark):
        self.brain.ring(self.now(), mark)

    def subscribe(self):
        """The roster pushes: there is nothing to ask for."""

    def figures(self):
        """What is counted, for logs and tests."""
        return {**self.pending.counts, **self.counts, **self.intake.figures()}
