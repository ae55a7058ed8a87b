"""Tests of the shutdown soak: the judge detects broken dispatchers, and some seeds keep all rules."""

import asyncio
import dataclasses
import signal
import sys
import unittest

from benchmarks.soak.judge import judge
from benchmarks.soak.plan import Front, PlannedSignal, WorkerTrouble, draw
from benchmarks.soak.play import play
from benchmarks.soak.records import Play

# Seeds whose plans include workers that close connections or hang, crowds of connections, drains, and SIGTERM
# before readiness; those of `petrelwood serve` include upgrades.
SEEDS = {Front.NODE: (1, 2, 5, 7, 19), Front.SERVE: (11, 31, 48)}
# Seeds with the least memory and 333 to 338 misused connections; the kill comes 3.7 or 1.2 s after SIGTERM.
MISUSED_SEEDS = (24, 27, 48, 52)
CONCURRENT_PLAYS = 4  # of broken dispatchers
PRELUDE = """
import runpy, sys
sys.path.insert(0, "")
{}
sys.argv = ["petrelwood.node"]
runpy.run_module("petrelwood.node", run_name="__main__", alter_sys=True)
"""
# Name of the defect -> (patch that breaks one rule, words that must be in a finding of the judge).
BROKEN = {
    "ends as soon as it is told to": (
        """
from petrelwood.decide.cluster.shutdown import Shutdown
Shutdown.may_exit = lambda *_: True
""",
        "no answer, connection",
    ),
    "does not end": (
        """
from petrelwood.decide.cluster.shutdown import Shutdown
Shutdown.may_exit = lambda *_: False
""",
        "and was killed",
    ),
    "ends with an error": (
        """
from petrelwood.node import program
inner = program.run
program.run = lambda signals: inner(signals) or 3
""",
        "it ended with 3",
    ),
    "ends by the second signal": (
        """
import os, signal
from petrelwood.node import program
inner = program.SignalHandler.handle
def handle(handler, number):
    if number == signal.SIGTERM and handler.end.is_set():
        os._exit(1)
    inner(handler, number)
program.SignalHandler.handle = handle
""",
        "it ended with 1",
    ),
    "logs an error": (
        """
from petrelwood.node import service
service.Node.reload = lambda node, gateway: node.log.error("a defect")
""",
        "its log",
    ),
    "answers twice": (
        """
from petrelwood.node.client_connection import ClientConnection
inner = ClientConnection._write
def write(connection, frame):
    inner(connection, frame)
    inner(connection, frame)
ClientConnection._write = write
""",
        "2 answers",
    ),
    "answers late": (
        """
from petrelwood.node.client_connection import ClientConnection
inner = ClientConnection.send_result
def send_result(connection, message_id, body):
    connection.front.core.loop.call_later(1.6, inner, connection, message_id, body)
ClientConnection.send_result = send_result
""",
        "completed after",
    ),
    "runs twice": (
        """
from petrelwood.node.worker import NodeLink
inner = NodeLink._take_frame
NodeLink._take_frame = lambda link, call: inner(link, call) * 2
""",
        "ran 2 times",
    ),
    "sends on for a client that has left": (
        """
from petrelwood.node.service import Node
from petrelwood.node.worker import NodeLink
inner = NodeLink.run
def run(link, act, attempt, remaining):
    link.core.loop.call_later(0.4, inner, link, act, attempt, remaining)
NodeLink.run = run
Node.detach_client = lambda *_: None
Node.may_attempt_leave = lambda *_: True
NodeLink.withdraw = lambda *_: None
""",
        "after its end",
    ),
    "goes on with a worker that drains": (
        """
from petrelwood.node import roster_protocol
from petrelwood.decide.cluster.membership import EndpointState
roster_protocol.STATE_OF_PRIORITY[1] = EndpointState.USABLE
""",
        "after it was told to be draining",
    ),
    "keeps the descriptors of clients that have gone": (
        """
import os
from petrelwood.node.client_connection import ClientConnection
inner = ClientConnection.close
def close(connection):
    os.dup(0)
    inner(connection)
ClientConnection.close = close
""",
        "descriptors beside its connections",
    ),
}


def small_plan():
    """Return a plan of three seconds in which each rule is tested."""
    signals = (
        PlannedSignal(-0.05, signal.SIGHUP),
        PlannedSignal(0.0, signal.SIGTERM),
        PlannedSignal(0.1, signal.SIGTERM),
    )
    return dataclasses.replace(
        draw(1),
        deadlines=(0.5, 0.5, 0.5),
        descriptors=128,
        workers=2,
        clients=5,
        request_interval=0.03,
        service_time=0.02,
        serving=2.8,
        early=False,
        signals=signals,
        trouble=WorkerTrouble.NONE,
        drains=True,
        crowd=20,
    )


class TheJudge(unittest.IsolatedAsyncioTestCase):
    async def _find(self, name):
        patch, words = BROKEN[name]
        plan = small_plan()
        found = judge(plan, await play(plan, (sys.executable, "-c", PRELUDE.format(patch))))
        return words, found

    async def test_each_broken_dispatcher_is_found(self):
        """Guards against a judge that accepts a dispatcher which breaks a rule."""
        names = list(BROKEN)
        for group in (names[n : n + CONCURRENT_PLAYS] for n in range(0, len(names), CONCURRENT_PLAYS)):
            results = await asyncio.gather(*map(self._find, group))
            for name, (words, found) in zip(group, results, strict=True):
                with self.subTest(name):
                    self.assertTrue([line for line in found if words in line], found[:5])

    async def test_memory_over_the_limit_is_found(self):
        """Guards against a judge that does not see the memory of a misused dispatcher."""
        seen = Play(peak_memory=33 << 20, ended_at=1.0, exit_code=0)
        plan = dataclasses.replace(small_plan(), memory_mb=32)
        self.assertEqual(judge(plan, seen), ["33.0 MB of memory, 32 allowed"])

    async def test_the_dispatcher_as_it_is_keeps_the_rules(self):
        """Guards against a judge that reports allowed behaviour."""
        plan = small_plan()
        seen = await play(plan)
        self.assertEqual(judge(plan, seen), [])
        self.assertGreater(sum(len(request.answers) for request in seen.requests), 100)
        self.assertIsNotNone(seen.last_descriptors)


class Plans(unittest.TestCase):
    def test_a_seed_has_one_plan(self):
        """Guards against a failing seed that can't be reproduced."""
        self.assertEqual([draw(seed) for seed in range(200)], [draw(seed) for seed in range(200)])

    def test_the_plans_have_all_that_is_to_be_played(self):
        """Guards against a draw that never yields some kind of shutdown."""
        plans = [draw(seed) for seed in range(1, 201)]
        self.assertTrue(35 <= sum(plan.crowd > 0 for plan in plans) <= 65)
        self.assertTrue(35 <= sum(plan.trouble is not WorkerTrouble.NONE for plan in plans) <= 65)
        self.assertTrue(any(plan.early for plan in plans))
        self.assertTrue(any(plan.drains for plan in plans))
        self.assertGreater(sum(plan.misused > 300 for plan in plans), 20)
        for plan in plans:
            self.assertIn(PlannedSignal(0.0, signal.SIGTERM), plan.signals)
            self.assertLessEqual(plan.kill_after, 3.7)


class Seeds(unittest.TestCase):
    def test_some_seeds_keep_all_rules(self):
        """Guards against a shutdown that loses, repeats or delays accepted requests."""
        for front, seeds in SEEDS.items():
            for seed in seeds:
                plan = draw(seed, front)
                with self.subTest(seed, front=front, plan=plan.describe()):
                    self.assertEqual(judge(plan, asyncio.run(play(plan))), [])

    def test_misused_connections_cost_no_request_and_no_memory_until_the_kill(self):
        """Guards against hundreds of connections whose closing takes the time left before the kill."""
        for seed in MISUSED_SEEDS:
            plan = draw(seed)
            with self.subTest(seed, plan=plan.describe()):
                self.assertEqual(judge(plan, asyncio.run(play(plan))), [])

    def test_serve_ends_before_the_kill_with_an_action_timeout_over_three_seconds(self):
        """Guards against a shutdown that waits for a hung worker beyond the earliest kill."""
        plan = dataclasses.replace(
            small_plan(),
            front=Front.SERVE,
            deadlines=(4.0, 4.0, 4.0),
            trouble=WorkerTrouble.HANG,
            drains=False,
            crowd=0,
        )
        self.assertEqual(judge(plan, asyncio.run(play(plan))), [])


if __name__ == "__main__":
    unittest.main()
