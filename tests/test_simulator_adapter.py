"""The adapter to the simulator's protocol: its answers, and its error messages for unusable input."""

import io
import json
import sys
import unittest
from unittest import mock

from petrelwood import simulator_adapter
from petrelwood.decide.scheduling import placement, records, send_limit

OPTIONS = {
    "zone": "north",
    "balancers": 1,
    "classes": [{"name": "plain", "slo": 1_000_000, "effect": "repeatable"}],
    "familyInfo": {"mayOrder": True, "onMiss": "load", "keep": 8_000_000},
    "guarantees": {"cold": 0, "startCapacity": 0.2, "fallMultiple": 2.0, "fall": 0},
    "permissions": {"maxAttempts": 3},
    "tick": 2_000,
}
START = {"t": "newInstance", "options": OPTIONS, "salt": 7}
LIST = {"t": "register", "page": 1, "elements": [{"runner": "w1", "stageState": "U"}]}
CHANGE = {"t": "directoryUpdate", "scope": "total", "page": 1}
CALL = {"t": "workItem", "corr": "a1", "callee": "f1", "priority": "plain", "due": 3_000_000}


def frame(*events, turn=1):
    """Return a line with the events of one dispatcher."""
    return json.dumps(
        {"turn": turn, "simTime": 1000, "dispatchers": [{"dispatcherId": "d1", "in": events}]}
    ).encode()


def run(*lines):
    """Run the adapter on these lines, and return its answers and its exit status."""
    with (
        mock.patch.object(sys, "stdin", mock.Mock(buffer=io.BytesIO(b"\n".join(lines)))),
        mock.patch.object(sys, "stdout", mock.Mock(buffer=io.BytesIO())) as output,
    ):
        end = simulator_adapter.main()
    return [json.loads(line) for line in output.buffer.getvalue().splitlines()], end


class Frames(unittest.TestCase):
    def test_a_call_is_sent_to_a_listed_worker(self):
        answers, end = run(frame(LIST, START, CHANGE), b"", frame(CALL, turn=2))
        self.assertEqual((len(answers), end), (2, 0))
        (group,) = answers[1]["dispatchers"]
        self.assertEqual(group["dispatcherId"], "d1")
        self.assertIn({"t": "callOut", "corr": "a1", "runner": "w1", "allowFor": 0}, group["orders"])

    def test_a_dispatcher_that_gives_no_orders_is_left_out(self):
        answers, end = run(frame(START), frame({"t": "fromPeer"}, turn=2), frame({"t": "halt"}, turn=3))
        self.assertEqual([answer["dispatchers"] for answer in answers[1:]], [[], []])
        self.assertEqual(end, 0)


class Faults(unittest.TestCase):
    def end(self, *lines):
        return run(*lines)[1]

    def test_what_is_not_json(self):
        self.assertRegex(self.end(frame(START), b"{"), r"^petrelwood: line 2 is not JSON: ")

    def test_a_field_that_is_missing(self):
        incomplete = {key: value for key, value in CALL.items() if key != "due"}
        self.assertEqual(
            self.end(frame(START), frame(incomplete)), "petrelwood: line 2: missing or unknown field: 'due'"
        )

    def test_an_unknown_event_and_one_for_a_dispatcher_that_was_not_started(self):
        self.assertEqual(
            self.end(frame({"t": "other"})), "petrelwood: line 1: malformed: unknown event 'other'"
        )
        self.assertEqual(
            self.end(frame(CALL)),
            "petrelwood: line 1: malformed: event 'workItem' for dispatcher 'd1', which was not started",
        )

    def test_a_fault_of_the_scheduler_is_reported_with_its_file_and_line_whichever_module_it_is_in(self):
        cases = (
            (records.Function, "dequeue", "records"),
            (placement.Placement, "find_candidates", "placement"),
            (send_limit.SendLimit, "is_reached", "send_limit"),
        )
        for owner, method, module in cases:
            original = getattr(owner, method)
            code = original.__code__
            broken = compile("\n" * 20 + "def f(*_): raise RuntimeError('broken')", code.co_filename, "exec")
            namespace = {}
            exec(broken, namespace)
            with self.subTest(module), mock.patch.object(owner, method, namespace["f"]):
                self.assertEqual(
                    self.end(frame(LIST, START, CHANGE), frame(CALL)),
                    f"petrelwood: line 2: fault in the module at {module}.py:21: RuntimeError('broken')",
                )


if __name__ == "__main__":
    unittest.main()
