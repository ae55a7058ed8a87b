"""Decisions outside the decision module: the trace of each scenario is compared with a stored one."""

import gc
import random
import unittest

from kept import compare

from petrelwood import ports
from petrelwood.decide.cluster import link_state, membership
from petrelwood.decide.delivery import ledger, send_outcome
from petrelwood.decide.delivery.ledger import Ledger
from petrelwood.decide.delivery.pending import PendingActivation, PendingActivations
from petrelwood.decide.overload import deadlines, intake
from petrelwood.decide.overload.backoff import Backoff, Budget
from petrelwood.decide.overload.intake import ActivationRequest, Intake
from petrelwood.decide.overload.resource_limits import CapacityIntake, ResourceLimits
from petrelwood.node.call_request import FunctionFigures
from petrelwood.settings.limits import Limits
from petrelwood.settings.workers import WorkerTerms

RULE = FunctionFigures(1, 0, 0)
MS, S = 1_000_000, 1_000_000_000
WALL = 1_700_000_000 * S
TYPES = {
    "again": ports.NamespaceType(S, ports.Effect.REPEATABLE, "all", 0),
    "hall": ports.NamespaceType(S, ports.Effect.DEDUPLICATED, "zone", 2 * S),
    "all": ports.NamespaceType(S, ports.Effect.DEDUPLICATED, "all", 2 * S),
    "once": ports.NamespaceType(S, ports.Effect.ONCE_ONLY, "all", 0),
}
TIMEOUTS = {name: 4 * S for name in TYPES}


def half():
    return 0.5


class TracedIntake:
    """A ledger, an intake and the pending activations on one clock, with a trace of their decisions."""

    def __init__(
        self, trace_name, max_ids=100, held=10, per_customer=0.8, max_result_bytes=1000, started_at=WALL
    ):
        limits = Limits(10, 1000, 1000, S, S, S, 4, held, per_customer, max_ids, max_result_bytes, 8, 10_000)
        allowed = ports.Allowed(3, True, True, True, True, 10 * S)
        terms = ports.Terms("", 1, TYPES, {"x": 10.0, "y": 10.0}, None, None, allowed, False, False, 1)
        self.trace_name, self.now, self.lines = trace_name, 0, []
        self.ledger = Ledger(
            max_ids, max_result_bytes, 300 * S, TYPES, {n: 600 * S for n in TYPES}, started_at
        )
        self.intake = Intake(limits, TIMEOUTS, terms, self.ledger, half)
        self.pending = PendingActivations(self.intake, self.ledger)

    def trace(self, text):
        self.lines.append(f"{self.now / S:6.1f}  {text}")

    def request(self, id_, type_, stamp, customer="x", wait=0, sends=1):
        """Make a request and begin `sends` attempts if it is admitted; `stamp` and `wait` are in seconds."""
        request = ActivationRequest(customer, id_, WALL + stamp * S, type_, self.now, wait * S)
        verdict = self.intake.decide(self.now, WALL + self.now, request)
        key, more = (customer, id_), f" due {verdict.due / S:.2f}" if verdict.due else ""
        if verdict.outcome == intake.ADMIT:
            act = self.pending.admit(request, verdict.due, "f", RULE, b"", f"{id_}@{stamp}")
            for _ in range(sends):
                self.pending.begin_attempt(act.id)
        elif verdict.outcome == intake.JOIN:
            self.pending.join(key, verdict.due, f"{id_}@{stamp}")
        elif verdict.retry_after:
            more = f" back after {verdict.retry_after / S:.2f}"
        self.trace(
            f"{id_}@{stamp} {type_}: {verdict.outcome} {verdict.reason}{verdict.body.decode()}".rstrip()
            + more
        )

    def end(self, id_, outcome, body=None, customer="x"):
        act = self.pending.by_key.get((customer, id_))
        ended = self.pending.end(self.now, act.id, outcome, body) if act else None
        self.trace(f"    {id_} {outcome}, told to {[w for w, _ in ended.waiters] if ended else 'nobody'}")

    def compare(self, test):
        compare(test, self.trace_name, self.lines)


class LedgerCases(unittest.TestCase):
    def test_retries_of_each_kind_after_each_end(self):
        b = TracedIntake("retries", held=100)
        for type_ in TYPES:
            for outcome in (
                ledger.ActivationState.COMPLETED,
                ledger.ActivationState.REJECTED,
                ledger.ActivationState.ABORTED,
                ledger.ActivationState.CLIENT_LEFT,
            ):
                id_ = f"{type_}-{outcome}"
                b.request(id_, type_, 10)
                b.end(id_, outcome, b"=result" if outcome == ledger.ActivationState.COMPLETED else None)
                b.request(id_, type_, 11)
        b.compare(self)

    def test_a_replay_is_never_an_activation(self):
        b = TracedIntake("replays")
        b.request("m1", "once", 10)
        b.request("m1", "once", 10)
        b.request("m1", "once", 9)
        b.end("m1", ledger.ActivationState.REJECTED)
        b.request("m1", "once", 10)
        b.now = 200 * S
        b.request("m1", "once", 10)
        b.request("m1", "once", 200)
        b.trace("signed before this life began:")
        b.request("m2", "again", -1)
        b.compare(self)

    def test_a_retry_joins_the_try_that_runs(self):
        b = TracedIntake("joins")
        b.request("m1", "once", 10)
        b.now = S
        b.request("m1", "once", 11)
        b.now = 2 * S
        b.end("m1", ledger.ActivationState.COMPLETED, b"=result")
        b.compare(self)

    def test_deduplicated_for_all_repeats_only_inside_its_window(self):
        b = TracedIntake("window")
        b.request("m1", "all", 10)
        b.now = S
        b.end("m1", ledger.ActivationState.ABORTED)
        b.request("m1", "all", 11)
        b.now = int(1.9 * S)
        b.end("m1", ledger.ActivationState.REJECTED)
        b.now = int(2.1 * S)
        b.request("m1", "all", 12)
        b.trace("turned away before any send, it is as new:")
        b.request("m2", "all", 13, sends=0)
        b.end("m2", ledger.ActivationState.REJECTED)
        b.now = 9 * S
        b.request("m2", "all", 14)
        b.compare(self)

    def test_a_full_ledger_refuses_and_forgets_only_what_it_may(self):
        b = TracedIntake("ledger_full", max_ids=2)
        b.request("m1", "again", 0)
        b.end("m1", ledger.ActivationState.COMPLETED, b"=1")
        b.request("m2", "again", 0)
        b.request("m3", "again", 0)
        b.now = 599 * S
        b.request("m3", "again", 599)
        b.now = 601 * S
        b.request("m3", "again", 601)
        b.trace(f"m2 still runs, {len(b.ledger.entries)} ids are known")
        b.compare(self)

    def test_bodies_have_a_bound_of_their_own(self):
        b = TracedIntake("bodies", max_result_bytes=10)
        for id_ in ("m1", "m2"):
            b.request(id_, "again", 10)
            b.end(id_, ledger.ActivationState.COMPLETED, b"=eight..")
        b.request("m1", "again", 11)
        b.request("m2", "again", 11)
        b.compare(self)

    def test_never_more_ids_than_the_bound_and_none_forgotten_early(self):
        chance, b = random.Random(5), TracedIntake("", max_ids=50, held=1000)
        seen, stamp = {}, 0
        for step in range(4000):
            b.now += chance.randrange(2 * S)
            stamp = b.now // S
            id_ = f"m{chance.randrange(400)}"
            known = id_ in seen and b.now - seen[id_] < 590 * S
            verdict = b.intake.decide(
                b.now, WALL + b.now, ActivationRequest("x", id_, WALL + stamp * S, "once", b.now, 0)
            )
            if verdict.outcome == intake.ADMIT:
                self.assertFalse(known, f"step {step}: {id_} ran twice inside its time")
                seen[id_] = b.now
                b.ledger.end(("x", id_), ledger.ActivationState.ABORTED, sent=True)
            self.assertLessEqual(len(b.ledger.entries), 50)


class IntakeCases(unittest.TestCase):
    def test_room_parts_time_and_the_end(self):
        b = TracedIntake("room", held=5)
        for i in range(5):
            b.request(f"x{i}", "again", 10)
        b.request("y0", "again", 10, customer="y")
        b.request("y1", "again", 10, customer="y")
        b.request("x0", "again", 11)
        b.trace("a retry joins without room")
        b.end("x1", ledger.ActivationState.COMPLETED, b"=r")
        b.request("x9", "again", 12)
        b.intake.closing = True
        b.request("y2", "again", 12, customer="y")
        b.request("x1", "again", 13)
        b.compare(self)

    def test_patience_never_lengthens_the_action_timeout(self):
        self.assertEqual(deadlines.deadline(0, 9 * S, 4 * S), deadlines.deadline(0, 0, 4 * S))
        due, gives_up_at = deadlines.deadline(S, 2 * S, 4 * S)
        self.assertTrue(S < due < gives_up_at == 3 * S)
        self.assertTrue(deadlines.has_too_little_time(due, due, 4 * S))


class DutyCases(unittest.TestCase):
    def test_one_final_answer_whoever_asks(self):
        b = TracedIntake("pending")
        b.request("m1", "again", 10)
        act = b.pending.by_key["x", "m1"]
        b.end("m1", ledger.ActivationState.COMPLETED, b"=1")
        b.trace(
            f"again: {b.pending.end(b.now, act.id, ledger.ActivationState.ABORTED)}, "
            f"sent after it: {b.pending.begin_attempt(act.id)}"
        )
        b.request("m2", "again", 10)
        b.request("m3", "once", 10)
        for id_ in ("m2", "m3"):
            act = b.pending.by_key["x", id_]
            may_end = b.pending.client_departed(act.id, act.waiters[0].exchange)
            b.trace(f"the client of {id_} goes: {'end' if may_end else None}")
        b.now = 5 * S
        for act, late, is_final in b.pending.overdue(b.now):
            b.trace(f"overdue {act.key[1]}, whole {is_final}, waiters apart {late}")
        b.trace(f"counted twice: {b.pending.counts['twice']}")
        b.compare(self)

    def test_an_id_that_comes_again_has_its_own_time(self):
        """Guards against the deadline of an ended request ending a later request with the same id.

        Found in the scenario join+mass on sockets.
        """
        pending = PendingActivations(CapacityIntake(ResourceLimits(256, 64 << 20), S), None, None)
        for arrived in (0, 1):
            request = ActivationRequest("x", "m1", 0, "again", arrived * S, 2 * S, "")
            pending.admit(request, (2 + arrived) * S, "f", RULE, b"", None)
            if not arrived:
                pending.end(S // 2, "m1", ledger.ActivationState.COMPLETED)
        self.assertEqual(pending.overdue(2 * S), [])
        self.assertEqual(pending.next_deadline(), 3 * S)
        self.assertEqual([is_final for _, _, is_final in pending.overdue(3 * S)], [True])

    def test_ended_activations_are_not_kept_until_their_deadlines(self):
        """Guards against memory that grows with the rate of requests that are rejected at once."""
        pending = PendingActivations(CapacityIntake(ResourceLimits(256, 64 << 20), S), None, None)
        stays = pending.admit(ActivationRequest("x", "stays", 0, "t", 0, S, ""), 3 * S, "f", RULE, b"", None)
        for number in range(5_000):
            request = ActivationRequest("x", f"m{number}", 0, "again", 0, 4 * S, "")
            pending.admit(request, 4 * S, "f", RULE, b"", None)
            pending.end(0, f"m{number}", ledger.ActivationState.REJECTED)
        kept = [each for each in gc.get_objects() if isinstance(each, PendingActivation)]
        self.assertLess(len(kept), 1_000)
        self.assertEqual(pending.next_deadline(), 3 * S)
        self.assertEqual([each.activation for each in pending.overdue(3 * S)], [stays])

    def test_a_joined_retry_with_less_patience_is_answered_apart(self):
        b = TracedIntake("apart")
        b.request("m1", "once", 10)
        b.now = S // 2
        b.request("m1", "once", 11, wait=1)
        for b.now in (S, 2 * S, 4 * S):
            for act, late, is_final in b.pending.overdue(b.now):
                b.trace(f"overdue {act.key[1]}, whole {is_final}, waiters apart {late}")
        b.compare(self)


class LinkCases(unittest.TestCase):
    TERMS = WorkerTerms(250 * MS, 1000, 1000, 8 * S, 250 * MS, 10 * S)

    def test_a_connection_counts_once_the_worker_has_greeted(self):
        lines, link = [], link_state.LinkState("w1", self.TERMS, half)

        def say(what):
            lines.append(f"{what}: {link.phase}, lives {link.incarnations}")

        say(f"call {link.on_call(0)}")
        link.on_connecting(0)
        link.on_connected()
        say(f"call {link.on_call(1)}")
        say(f"silent accept, at 250 ms {link.check(250 * MS, False)}")
        link.on_lost(250 * MS)
        say(f"call at once {link.on_call(260 * MS)}, later {link.on_call(600 * MS)}")
        link.on_connecting(S)
        link.on_connected()
        say(f"greets as another: {link.on_greeting(S, 'w2', 7)}")
        say(f"greets: {link.on_greeting(S, 'w1', 7)}")
        for at in (2, 3, 5, 7, 9, 10):
            say(f"quiet until {at} s and owing: {link.check(at * S, True)}")
        link.on_lost(10 * S)
        link.on_connecting(11 * S)
        link.on_connected()
        link.on_greeting(11 * S, "w1", 8)
        say("back with another start time")
        compare(self, "link", lines)

    def test_what_an_end_proves(self):
        lines = []
        for name, reason_of in (
            ("loss", send_outcome.of_loss),
            ("time", send_outcome.of_timeout),
            ("cancel", send_outcome.of_cancel),
            ("recall", send_outcome.of_recall),
        ):
            for stage_, word in (
                (send_outcome.SendStage.QUEUED, "in our queue"),
                (send_outcome.SendStage.WRITTEN, "handed over"),
            ):
                code = reason_of(stage_)
                lines.append(f"{name}, {word}: {code}, never ran {code in ports.NEVER_RAN}")
        for word in ("full", "missing", "draining", "error", "cancelled", "late", "nonsense"):
            code = send_outcome.of_error(word)
            lines.append(f"the worker says {word}: {code}, never ran {code in ports.NEVER_RAN}")
        compare(self, "send_outcome", lines)

    def test_waits_double_and_are_drawn(self):
        chance = random.Random(1).random
        backoff = Backoff(100, 1000, chance)
        drawn = [backoff.failed(0) for _ in range(8)]
        for n, wait in enumerate(drawn):
            longest = min(100 << n, 1000)
            self.assertTrue(longest // 2 <= wait <= longest, (n, wait))
        backoff.succeeded()
        self.assertTrue(backoff.may_retry(0))
        full = [Backoff(1000, 1000, chance, full=True).failed(0) for _ in range(400)]
        self.assertTrue(min(full) < 100 and max(full) > 900)

    def test_a_budget_bounds_repeats_by_firsts(self):
        budget = Budget(0.25, 3)
        self.assertEqual([budget.spend() for _ in range(5)], [True, True, True, False, False])
        for _ in range(8):
            budget.earn()
        self.assertEqual([budget.spend() for _ in range(3)], [True, True, False])


def entry(worker, state="usable", booted=0):
    return membership.decode_endpoint(
        {"worker": worker, "address": "127.0.0.1:1", "zone": "n", "state": state, "booted": booted}
    )


class MembershipCases(unittest.TestCase):
    def test_lists_changes_gaps_and_lives(self):
        m, lines = membership.Membership(5 * S, 100 * MS, half), []

        def say(what, pair=((), ())):
            listed = [f"{e.worker} {'up' if e.usable else 'down'} since {e.booted / S:g}" for e in pair[0]]
            lines.append(f"{what}: {', '.join(listed) or '-'}; leaving {pair[1]}; resume {m.resume_after}")

        say("nothing yet")
        say("list", m.apply_list("e-4", [entry("a"), entry("b"), entry("c", booted=WALL - S)], 9 * S, WALL))
        for id_ in ("e-5", "e-4", "e-7", "f-5", "e-x"):
            say(f"{id_} is {m.order_of(id_)}")
        say("a drains", m.apply_change("e-5", [entry("a", "draining")], 10 * S, WALL + S))
        say("told again", m.apply_change("e-6", [entry("a", "draining")], 11 * S, WALL + 2 * S))
        say(
            "clock stepped, c is told again",
            m.apply_change("e-7", [entry("c", booted=WALL - S)], 12 * S, WALL + 900 * S),
        )
        say("c restarted", m.apply_change("e-8", [entry("c", booted=WALL + 2 * S)], 13 * S, WALL + 4 * S))
        say("a is gone", m.apply_change("e-9", [entry("a", "gone")], 14 * S, WALL))
        say("a list without b", m.apply_list("f-1", [entry("c", booted=WALL + 2 * S)], 15 * S, WALL))
        m.forget_position()
        say(f"after a gap f-2 is {m.order_of('f-2')}")
        m.on_contact(15 * S)
        lines.append(
            f"lost after 4 s {m.is_newly_lost(19 * S)}, 5 s {m.is_newly_lost(20 * S)}, "
            f"said again {m.is_newly_lost(21 * S)}, heard again {m.on_contact(22 * S)}"
        )
        compare(self, "membership", lines)

    def test_what_a_roster_garbles_is_one_clear_error(self):
        for raw in (
            None,
            {},
            {"worker": "a", "address": "nowhere", "state": "usable"},
            {"worker": "a", "address": "h:1", "state": "asleep"},
            {"worker": 3, "address": "h:1", "state": "gone"},
            {"worker": "a", "address": 7, "state": "gone"},
        ):
            with self.assertRaises(membership.MalformedEndpointError):
                membership.decode_endpoint(raw)
