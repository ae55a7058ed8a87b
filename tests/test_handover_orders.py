"""Guards against two processes that serve at once: each event of a hand-over in each of its phases."""

import asyncio
import inspect
import signal
import socket
import time
import unittest
from unittest.mock import Mock

from rig import answer
from test_handover import DispatcherCase

from petrelwood.decide.cluster import handover
from petrelwood.decide.cluster.completion import CompletionRate
from petrelwood.decide.cluster.handover import (
    PredecessorAction,
    PredecessorPhase,
    SuccessorAction,
    SuccessorPhase,
)
from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.dispatch.errors import HandoverError
from petrelwood.dispatch.handover.channel import Channel
from petrelwood.dispatch.handover.messages import ActivationEnded, Drained
from petrelwood.dispatch.handover.predecessor import PredecessorProcess
from petrelwood.standins.caller import Caller, ConnectionLostError

NOW = 1000 * handover.SECOND
LATE = NOW + 60 * handover.SECOND  # after each deadline
SERVING, OFFERING, HANDING, WATCHING, OVER, CLOSING = PredecessorPhase
CHECKING, WAITING, OWNING, PROVEN, FAILED = SuccessorPhase
RESUME, END = PredecessorAction.RESUME, PredecessorAction.END


def predecessor_in(phase):
    """Return a predecessor in a phase; "proven" is watching a successor that has proven itself."""
    machine = handover.Predecessor()
    if phase == CLOSING:
        machine.on_closing()
        return machine
    steps = {SERVING: 0, OFFERING: 1, HANDING: 2, WATCHING: 3, "proven": 4, OVER: 5}[phase]
    machine_steps = (
        lambda: machine.on_request(NOW),
        lambda: machine.on_ready(NOW),
        lambda: machine.on_accepting(NOW),
        machine.on_proven,
        machine.on_drained,
    )
    for step in machine_steps[:steps]:
        step()
    return machine


PREDECESSOR_EVENTS = {
    "on_ready": lambda machine: machine.on_ready(NOW),
    "on_accepting": lambda machine: machine.on_accepting(NOW),
    "on_heartbeat": lambda machine: machine.on_heartbeat(NOW),
    "on_proven": lambda machine: machine.on_proven(),
    "on_drained": lambda machine: machine.on_drained(),
    "on_successor_lost": lambda machine: machine.on_successor_lost("it died"),
    "on_closing": lambda machine: machine.on_closing(),
    "check": lambda machine: machine.check(LATE),
}
# phase -> event -> (what is returned, the phase afterwards). Only RESUME lets this process admit again.
PREDECESSOR_TABLE = {
    SERVING: {
        "on_ready": (None, SERVING),
        "on_accepting": (None, SERVING),
        "on_heartbeat": (None, SERVING),
        "on_proven": (None, SERVING),
        "on_drained": (None, SERVING),
        "on_successor_lost": (None, SERVING),
        "on_closing": (False, CLOSING),
        "check": (None, SERVING),
    },
    OFFERING: {
        "on_ready": (PredecessorAction.GO, HANDING),
        "on_accepting": (None, OFFERING),
        "on_heartbeat": (None, OFFERING),
        "on_proven": (None, OFFERING),
        "on_drained": (None, OFFERING),
        "on_successor_lost": (None, SERVING),
        "on_closing": (False, CLOSING),
        "check": (None, SERVING),
    },
    HANDING: {
        "on_ready": (None, HANDING),
        "on_accepting": (None, WATCHING),
        "on_heartbeat": (None, HANDING),
        "on_proven": (None, HANDING),
        "on_drained": (None, HANDING),
        "on_successor_lost": (RESUME, SERVING),
        "on_closing": (True, CLOSING),
        "check": (RESUME, SERVING),
    },
    WATCHING: {
        "on_ready": (None, WATCHING),
        "on_accepting": (None, WATCHING),
        "on_heartbeat": (None, WATCHING),
        "on_proven": (None, WATCHING),
        "on_drained": (None, WATCHING),
        "on_successor_lost": (RESUME, SERVING),
        "on_closing": (True, CLOSING),
        "check": (RESUME, SERVING),
    },
    "proven": {
        "on_ready": (None, WATCHING),
        "on_accepting": (None, WATCHING),
        "on_heartbeat": (None, WATCHING),
        "on_proven": (None, WATCHING),
        "on_drained": (END, OVER),
        "on_successor_lost": (None, WATCHING),
        "on_closing": (True, CLOSING),
        "check": (None, WATCHING),
    },
    OVER: {name: (None, OVER) for name in PREDECESSOR_EVENTS} | {"on_closing": (False, CLOSING)},
    CLOSING: {name: (None, CLOSING) for name in PREDECESSOR_EVENTS} | {"on_closing": (False, CLOSING)},
}


def successor_in(phase):
    """Return a successor that has come to a phase."""
    machine = handover.Successor(NOW)
    if phase in (WAITING, OWNING, PROVEN):
        machine.on_ready_to_serve(NOW)
    if phase in (OWNING, PROVEN):
        machine.on_go(NOW, CompletionRate(1.0, 0))
    if phase == PROVEN:
        machine.check(LATE)
    if phase == FAILED:
        machine.fail("it failed")
    return machine


SUCCESSOR_EVENTS = {
    "on_go": lambda machine: machine.on_go(NOW, CompletionRate(1.0, 0)),
    "record_answer": lambda machine: machine.record_answer(True),
    "on_predecessor_lost": lambda machine: machine.on_predecessor_lost(),
    "on_closing": lambda machine: machine.on_closing(),
    "fail": lambda machine: machine.fail("it failed"),
    "check": lambda machine: machine.check(LATE),
}
SUCCESSOR_TABLE = {
    phase: {name: (None, phase) for name in SUCCESSOR_EVENTS} | {"fail": (None, FAILED)}
    for phase in SuccessorPhase
}
for early in (CHECKING, WAITING):
    SUCCESSOR_TABLE[early]["on_predecessor_lost"] = (SuccessorAction.GIVE_UP, FAILED)
    SUCCESSOR_TABLE[early]["check"] = (SuccessorAction.GIVE_UP, FAILED)
SUCCESSOR_TABLE[WAITING]["on_go"] = (SuccessorAction.ACCEPT, OWNING)
SUCCESSOR_TABLE[OWNING]["on_predecessor_lost"] = (None, PROVEN)
SUCCESSOR_TABLE[OWNING]["on_closing"] = (SuccessorAction.HAND_BACK, FAILED)
SUCCESSOR_TABLE[OWNING]["check"] = (SuccessorAction.PROVEN, PROVEN)


class Tables(unittest.TestCase):
    def check_table(self, make, events, table, begins):
        """Assert each entry, and that there is one for each phase and each public method but `begins`."""
        machine_class = type(make(next(iter(table))))
        methods = {
            name for name, _ in inspect.getmembers(machine_class, inspect.isfunction) if name[0] != "_"
        }
        self.assertEqual(set(events) | begins, methods)
        for phase, entries in table.items():
            self.assertEqual(set(entries), set(events), phase)
            for event, expected in entries.items():
                with self.subTest(phase=phase, event=event):
                    machine = make(phase)
                    self.assertEqual((events[event](machine), machine.phase), expected)

    def test_the_predecessor(self):
        self.assertEqual(set(PREDECESSOR_TABLE), {*PredecessorPhase, "proven"})
        self.check_table(predecessor_in, PREDECESSOR_EVENTS, PREDECESSOR_TABLE, {"is_busy", "on_request"})

    def test_the_successor(self):
        self.assertEqual(set(SUCCESSOR_TABLE), set(SuccessorPhase))
        self.check_table(successor_in, SUCCESSOR_EVENTS, SUCCESSOR_TABLE, {"on_ready_to_serve"})

    def test_no_event_after_closing_lets_it_serve_again(self):
        """Rule 2: two events in a row after SIGTERM, in any order, from any phase."""
        for phase in PREDECESSOR_TABLE:
            for first in PREDECESSOR_EVENTS:
                for second in PREDECESSOR_EVENTS:
                    machine = predecessor_in(phase)
                    machine.on_closing()
                    found = [PREDECESSOR_EVENTS[event](machine) for event in (first, second)]
                    self.assertNotIn(RESUME, found, (phase, first, second))
                    self.assertTrue(machine.is_busy())  # no other upgrade begins either


class Stopped(unittest.IsolatedAsyncioTestCase):
    """The predecessor's process after SIGTERM, with a successor at the other end of the channel."""

    def process_in(self, phase):
        """Return a process in a phase, and the successor's end of the channel."""
        loop, (ours, theirs) = asyncio.get_running_loop(), socket.socketpair(socket.AF_UNIX)
        core = Mock(loop=loop, now=time.monotonic_ns, fronts=[], pending=Mock(activations={}))
        hooks = {name: Mock() for name in ("on_handover", "on_resume", "on_finished")}
        process = PredecessorProcess("path", core, Mock(), Mock(), **hooks)
        process.server, process.accepting = Mock(), Mock()
        process.channel, process.machine = Channel(ours, loop), predecessor_in(phase)
        self.addCleanup(process.close)
        return process, Channel(theirs, loop)

    async def test_an_answer_after_the_end_of_the_successor_does_not_make_it_serve_again(self):
        """The review's case 2: a send on a closed channel was taken for the death of the successor."""
        for phase in PREDECESSOR_TABLE:
            with self.subTest(phase):
                process, theirs = self.process_in(phase)
                process.stop()
                theirs.close()
                for _ in range(2):
                    process._activation_ended("x", "m1", ActivationState.COMPLETED, True, b"done")
                    await asyncio.sleep(0.01)
                process.close()
                process._activation_ended("x", "m1", ActivationState.COMPLETED, True, b"done")
                await asyncio.sleep(0.01)
                process.core.resume_admitting.assert_not_called()
                process.webhooks.resume.assert_not_called()

    async def test_a_successor_that_owns_new_activations_hears_of_the_others_to_the_end(self):
        """Otherwise a retry of what the old process completes would be told that it may have run."""
        for phase in (HANDING, WATCHING, "proven"):
            with self.subTest(phase):
                process, theirs = self.process_in(phase)
                process.stop()
                process._activation_ended("x", "m1", ActivationState.COMPLETED, True, b"done")
                ended = ActivationEnded("x", "m1", ActivationState.COMPLETED, True, b"done")
                async with asyncio.timeout(10):
                    self.assertEqual(await theirs.receive(), ended)
                    process._start(process._watch())
                    self.assertEqual(await theirs.receive(), Drained())
                theirs.close()

    async def test_one_that_waits_to_take_over_finds_the_channel_closed(self):
        for phase in (OFFERING, OVER):
            with self.subTest(phase):
                process, theirs = self.process_in(phase)
                process.stop()
                with self.assertRaises(HandoverError):
                    async with asyncio.timeout(10):
                        await theirs.receive()
                theirs.close()

    async def test_heartbeats_that_came_while_it_stood_still_count(self):
        """A process that was stopped for longer than the heartbeats' time must not take back at once."""
        process, theirs = self.process_in(WATCHING)
        clock = [NOW]
        process.core.now = lambda: clock[0]
        process._start(process._watch())
        await asyncio.sleep(0)  # it has looked at the clock
        clock[0] += 3 * handover.SECOND  # it stood still; a heartbeat lies unread
        asyncio.get_running_loop().call_later(0.1, process.machine.on_heartbeat, clock[0])
        await asyncio.sleep(0.5)
        process.core.resume_admitting.assert_not_called()
        clock[0] += 3 * handover.SECOND  # and now there is none
        async with asyncio.timeout(10):
            while not process.core.resume_admitting.called:
                await asyncio.sleep(0.01)
        theirs.close()


class Processes(DispatcherCase):
    """Real processes, one of which is told to end while the new one is on probation."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        # an activation that the test holds back must not time out on a busy machine
        self.path.write_text(self.path.read_text().replace('action-timeout "2s"', 'action-timeout "120s"'))
        self.held = {}  # mark -> the call that is not answered yet
        self.worker.on_run = self.hold

    def hold(self, worker, stream, message_id, params):
        """Answer all activations but "short" and "long", which the test answers."""
        call = (worker, stream, message_id, params)
        if params[3] in ("x/short", "x/long"):
            self.held[params[3]] = call
        else:
            answer(*call)

    async def post(self, caller, id_, later=0):
        """Return the status of a request that is signed `later` s ahead; None if its connection has ended."""
        message = self.message("once-1", id_=id_, stamp=int(time.time()) + later)
        try:
            return (await caller.call(message, 30)).status
        except ConnectionLostError:
            return None

    async def play(self, *signals, to):
        """Upgrade, send signals to the "old" or the "new" process, and retry on each connection.

        Return the statuses of the retries.
        """
        old = await self.start()
        lines = {name: Caller(self.address) for name in ("kept", "short", "long", "fresh")}
        self.addCleanup(lambda: [line.close() for line in lines.values()])
        self.assertEqual(await self.post(lines["kept"], "first"), 200)
        slow = [asyncio.ensure_future(self.post(lines[id_], id_)) for id_ in ("short", "long")]
        async with asyncio.timeout(30):
            while len(self.held) < 2:
                await asyncio.sleep(0.01)
        new = await self.start("upgrade")
        self.assertEqual(await self.post(lines["fresh"], "booked"), 200)
        ended = {"old": old, "new": new}[to]
        for number in signals:
            ended.send_signal(number)
        await asyncio.sleep(0.2)
        answer(*self.held["x/short"])  # the old process answers it, and goes on with the other
        self.assertEqual(await slow[0], 200)
        found = []
        for name in ("kept", "short", "fresh"):
            found.append(await self.post(lines[name], "booked", later=len(found) + 1))
        answer(*self.held["x/long"])
        self.assertEqual(await slow[1], 200)
        marks = sorted(run[3] for run in self.worker.runs)
        self.assertEqual(marks, ["x/booked", "x/first", "x/long", "x/short"], self.said())
        self.assertEqual(await asyncio.wait_for(ended.wait(), 30), 0, self.said())
        return found

    async def check_old(self, *signals):
        found = await self.play(*signals, to="old")
        self.assertEqual(set(found) - {200, 503, None}, set())
        self.assertNotIn("serves again", self.said())
        for id_ in ("booked", "short", "long"):  # the new process has heard of all of them
            self.assertEqual(await self.post(self.caller, id_, later=9), 200)
        self.assertEqual(len(self.worker.runs), 4)

    async def test_the_old_one_gets_sigterm(self):
        await self.check_old(signal.SIGTERM)

    async def test_the_old_one_gets_sigint(self):
        await self.check_old(signal.SIGINT)

    async def test_the_old_one_gets_sighup_and_sigterm(self):
        await self.check_old(signal.SIGHUP, signal.SIGTERM)

    async def test_the_new_one_gets_sigterm(self):
        """It gives back at once, and must not prove itself while it drains."""
        found = await self.play(signal.SIGTERM, to="new")
        self.assertEqual(set(found) - {200, 503, None}, set())
        self.assertIn("serves again", self.said())
        self.assertEqual(await self.post(self.caller, "booked", later=9), 200)
        self.assertEqual((len(self.worker.runs), self.processes[0].returncode), (4, None))


if __name__ == "__main__":
    unittest.main()
