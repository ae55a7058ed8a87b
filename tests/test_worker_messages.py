"""The messages between a dispatcher and a worker, and the reason for the end of a connection."""

import asyncio
import unittest

import msgpack
from tornado.iostream import StreamClosedError

from petrelwood.errors import ProtocolError
from petrelwood.links import rpc, worker_messages
from petrelwood.links.calls import HEALTH_CHECK, LOAD_ORDER, RUN, Call
from petrelwood.links.connection_end import reason_of_end
from petrelwood.links.worker_messages import Answer, LoadOrderContent, RunContent
from petrelwood.ports import EndReason

SECOND = 1_000_000_000
RAW_REPORT = {"running": 1, "cores": 0.5, "other": 2, "waiting": "x"}
LOAD_REPORT = {"running": 1, "cores": 0.5}


def attempt():
    return Call(RUN, "a-1", 2, "f", 0, RunContent("x/m", 4, b"body"), 100, 7, 3 * SECOND)


def load_order():
    return Call(LOAD_ORDER, "", 3, "f", 0, LoadOrderContent(4), 100, 8)


def health_check():
    return Call(HEALTH_CHECK, "", 0, "", 0, None, 100, 9)


class Encoding(unittest.TestCase):
    def test_the_bytes_of_each_call(self):
        for call, expected in (
            (attempt(), [0, 7, "run", ["a-1", 2, "f", "x/m", 2 * SECOND, 4, b"body"]]),
            (load_order(), [0, 8, "hold", ["f", 4, 3]]),
            (health_check(), [0, 9, "probe", []]),
        ):
            self.assertEqual(worker_messages.encode_call(call, SECOND), msgpack.packb(expected))

    def test_the_bytes_of_notifications(self):
        self.assertEqual(worker_messages.encode_cancel(attempt()), msgpack.packb([2, "cancel", ["a-1", 2]]))
        self.assertEqual(worker_messages.encode_hello("d"), msgpack.packb([2, "hello", ["d"]]))


class Decoding(unittest.TestCase):
    def test_answers_to_an_attempt(self):
        for error, result, expected in (
            (None, ["a-1", 2, 1, b"ok", RAW_REPORT], Answer(EndReason.COMPLETED, 1, b"ok", LOAD_REPORT)),
            (None, ["a-1", 2, None, b"", None], Answer(EndReason.COMPLETED)),
            (["full", "a-1", 2, 0, RAW_REPORT], None, Answer(EndReason.FULL, load_report=LOAD_REPORT)),
            (["missing", "a-1", 2, 0, None], None, Answer(EndReason.MISSING)),
            (["no such word", "a-1", 2, 0, None], None, Answer(EndReason.ERROR)),
            ([7, "a-1", 2, 0, None], None, Answer(EndReason.ERROR)),
        ):
            self.assertEqual(worker_messages.decode_answer(attempt(), error, result), expected)

    def test_what_is_no_answer_to_an_attempt(self):
        for error, result in (
            (None, None),
            (None, ["a-1", 2, 1, b"ok"]),
            (None, ["a-2", 2, 1, b"ok", None]),
            (None, ["a-1", 3, 1, b"ok", None]),
            (None, ["a-1", 2, 1, "text", None]),
            ("full", None),
            (["full", "a-2", 2, 0, None], None),
        ):
            with self.assertRaises(rpc.MalformedRpcError):
                worker_messages.decode_answer(attempt(), error, result)

    def test_answers_to_a_load_order(self):
        for error, result, expected in (
            (None, ["ok", 3], Answer(EndReason.COMPLETED, 3)),
            (None, ["full", 1], Answer(EndReason.FULL, 1)),
            ("draining", None, Answer(EndReason.FULL)),
            (None, ["ok", "many"], Answer(EndReason.ERROR)),
            (None, ["ok"], Answer(EndReason.ERROR)),
        ):
            self.assertEqual(worker_messages.decode_answer(load_order(), error, result), expected)

    def test_answers_to_a_health_check(self):
        for error, result, expected in (
            (None, RAW_REPORT, Answer(EndReason.COMPLETED, load_report=LOAD_REPORT)),
            (None, 5, Answer(EndReason.COMPLETED)),
            ("draining", None, Answer(EndReason.FULL)),
        ):
            self.assertEqual(worker_messages.decode_answer(health_check(), error, result), expected)

    def test_greetings(self):
        self.assertEqual(worker_messages.decode_greeting(["w", 5]), ("w", 5))
        for params in ([], ["w"], ["w", "5"], ["w", 5, 6]):
            with self.assertRaises(rpc.MalformedRpcError):
                worker_messages.decode_greeting(params)


class ReasonOfEnd(unittest.TestCase):
    def reason(self, error):
        """Return the reason for the end of a connection after this error, and the reported defects."""

        async def serve():
            if error is not None:
                raise error

        defects = []
        reason = asyncio.run(reason_of_end(serve(), lambda *defect: defects.append(defect)))
        return reason, defects

    def test_each_end_has_a_reason(self):
        for error, reason in (
            (None, "closed by the peer"),
            (StreamClosedError(), "closed by the peer"),
            (StreamClosedError(OSError(104, "reset")), "[Errno 104] reset"),
            (OSError(111, "refused"), "[Errno 111] refused"),
            (ProtocolError("garbage"), "garbage"),
        ):
            self.assertEqual(self.reason(error), (reason, []))

    def test_an_error_of_our_own_is_a_defect(self):
        error = KeyError("x")
        self.assertEqual(self.reason(error), ("KeyError('x')", [("link", error)]))


if __name__ == "__main__":
    unittest.main()
