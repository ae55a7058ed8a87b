"""Messages of a hand-over: their bytes as earlier builds wrote them, and ignored or malformed messages."""

import asyncio
import socket
import unittest

import msgpack

from petrelwood.decide.cluster.handover import TakeoverRequest
from petrelwood.dispatch.errors import MalformedMessageError
from petrelwood.dispatch.handover import messages
from petrelwood.dispatch.handover.channel import Channel

# As commit 668305e sent them, with the length prefix: processes of different builds hand over to each other.
WIRE = {
    messages.Hello(
        TakeoverRequest("d", 1, (1, 2), 7)
    ): "2700000092a568656c6c6f84a46e616d65a164a370696407a870726f746f636f6c01a57265616473920102",
    messages.Rejection("an upgrade is under way"): "1c00000092a26e6fb7616e207570677261646520697320756e646572"
    "20776179",
    messages.Offer(5_000_000_000): "1000000092a56f66666572cf000000012a05f200",
    messages.Ready(): "0700000091a57265616479",
    messages.Go(0.975, 200): "0f00000093a2676fcb3fef333333333333ccc8",
    messages.Owns(): "0600000091a46f776e73",
    messages.Alive(): "0700000091a5616c697665",
    messages.Proven(): "0800000091a670726f76656e",
    messages.GiveBack("only 60 of 100 completed"): "1f00000092a46261636bb86f6e6c79203630206f662031303020636f"
    "6d706c65746564",
    messages.ActivationEnded(
        "x", "m1", "completed", True, b"ok"
    ): "1900000096a3656e64a178a26d31a9636f6d706c65746564c3c4026f6b",
    messages.ActivationEnded("x", "m2", "aborted", False, None): "1400000096a3656e64a178a26d32a761626f7274656"
    "4c2c0",
    messages.Drained(): "0900000091a7647261696e6564",
    messages.TakenBack(): "0700000091a574616b656e",
}


class WireForms(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_are_those_of_the_builds_before(self):
        loop, pair = asyncio.get_running_loop(), socket.socketpair(socket.AF_UNIX)
        ours, theirs = (Channel(sock, loop) for sock in pair)
        self.addCleanup(ours.close)
        self.addCleanup(theirs.close)
        self.assertEqual({type(message) for message in WIRE}, {messages.Hello, *messages.KINDS.values()})
        for message, wire in WIRE.items():
            await ours.send(message)
            self.assertEqual((await loop.sock_recv(pair[1], 4096)).hex(), wire, message)
            await loop.sock_sendall(pair[1], bytes.fromhex(wire))
            self.assertEqual(await asyncio.wait_for(ours.receive(), 30), message)

    def test_what_a_later_build_adds_is_passed_over(self):
        for sent, read in (
            (["next", 1], messages.Unknown("next")),
            (["ready", 1, 2], messages.Ready()),
            (["back", "why", {}], messages.GiveBack("why")),
            (["hello", {"name": "d", "more": 1}], messages.Hello(TakeoverRequest("d", None, (0, -1), None))),
            (["hello", "d"], messages.Unknown("hello")),
        ):
            self.assertEqual(messages.decode(msgpack.packb(sent)), read)

    def test_what_is_no_message_is_an_error_with_its_cause(self):
        for data in (
            b"",
            b"\xc1",
            msgpack.packb([]),
            msgpack.packb("ready"),
            msgpack.packb([1]),
            msgpack.packb(["go", "much", 2]),
            msgpack.packb(["go", 0.5]),
            msgpack.packb(["back"]),
            msgpack.packb(["end", "x", "m", "completed", True]),
            msgpack.packb(["end", "x", "m", "lost", True, None]),
            msgpack.packb(["hello", {"reads": 1}]),
            msgpack.packb(["hello", {"reads": ["a", "b"]}]),
        ):
            with self.assertRaises(MalformedMessageError, msg=data):
                messages.decode(data)


if __name__ == "__main__":
    unittest.main()
