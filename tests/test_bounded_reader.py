"""A reader of untrusted data keeps at most the bytes of one message, and finds its end without decoding."""

import random
import unittest

import msgpack

from petrelwood.links import rpc
from petrelwood.links.bounded_reader import BoundedReader, MessageDecoder, MessageLimits
from petrelwood.links.errors import MalformedRpcError
from petrelwood.links.message_boundary import MessageBoundary

LIMITS = MessageLimits(body=16_384, text=1_024, members=64)
MAX_SIZE = 32_768


def a_value(chance, depth):
    """Return a random value within the limits."""
    if depth and chance.random() < 0.4:
        members = [a_value(chance, depth - 1) for _ in range(chance.choice((0, 1, 3, 15, 16, 20)))]
        return members if chance.random() < 0.5 else {str(n): each for n, each in enumerate(members)}
    texts = ("", "a", "\u00e9" * 20, "x" * 200, "y" * 1_024)
    numbers = (0, 127, 128, 1 << 15, 1 << 31, 1 << 63, -1, -33, -129, -40_000, -(1 << 40), 0.25)
    return chance.choice((*texts, *numbers, None, True, False, b"", b"z" * 300, b"z" * 16_384))


class Boundary(unittest.TestCase):
    def test_the_end_is_where_msgpack_ends_however_the_bytes_are_cut(self):
        """Guards against an end that is found too early or too late."""
        chance = random.Random(60)
        for _ in range(300):
            value = [a_value(chance, 2) for _ in range(4)]
            data = msgpack.packb(value) + msgpack.packb([1, "next"])
            end = len(msgpack.packb(value))
            boundary = MessageBoundary(LIMITS._replace(values=1 << 20))
            fed = 0
            while True:
                step = chance.randint(1, 1 + len(data) // 3)
                found = boundary.feed(data[fed : fed + step])
                if found is not None:
                    break
                fed += step
            self.assertEqual(fed + found, end)

    def test_what_exceeds_a_limit_is_refused_before_it_is_complete(self):
        for name, data in {
            "depth": b"\x91" * 9,
            "values": b"\xdc\x00\x40" + (b"\xdc\x00\x40" + b"\x00" * 64) * 16,
            "members of a list": b"\xdc\x00\x41",
            "members of a map": b"\xde\x00\x41",
            "unknown code": b"\x92\xc1",
        }.items():
            with self.subTest(name), self.assertRaises(MalformedRpcError):
                self.assertIsNone(MessageBoundary(LIMITS).feed(data))


class Reader(unittest.TestCase):
    def test_it_keeps_no_more_than_the_bytes_of_one_message(self):
        """Guards against a message that never ends and never exceeds one of the limits on its values."""
        reader = BoundedReader(MessageDecoder(LIMITS), MAX_SIZE)
        text = msgpack.packb("x" * 1_000)
        fed = 0
        with self.assertRaises(MalformedRpcError):
            reader.feed(b"\xdc\x00\x40")
            while fed < 4 * MAX_SIZE:
                reader.feed(text)
                fed += len(text)
                self.assertLessEqual(reader.size, MAX_SIZE)
        self.assertLessEqual(fed, MAX_SIZE)

    def test_a_decoder_is_shared_by_connections_in_the_middle_of_messages(self):
        decoder = MessageDecoder(LIMITS)
        readers = [BoundedReader(decoder, MAX_SIZE) for _ in range(5)]
        frames = [rpc.request(n, "plain", [{"call": "a" * n}, b"x" * 100 * n]) for n in range(5)]
        for reader, frame in zip(readers, frames, strict=True):
            self.assertEqual(reader.feed(frame[:9]), [])
        for n, (reader, frame) in enumerate(zip(readers, frames, strict=True)):
            found = reader.feed(frame[9:] + frames[0][:5])
            self.assertEqual([each.message_id for each in found], [n])
            self.assertFalse(reader.is_between_messages())

    def test_a_message_of_a_trusted_peer_has_a_size_too(self):
        """Guards against a bound on unread bytes alone, which an endless list never reaches."""
        reader = rpc.Reader(MAX_SIZE)
        with self.assertRaises(MalformedRpcError):
            reader.feed(b"\xdd\x7f\xff\xff\xff")
            for _ in range(8):
                reader.feed(b"\x00" * 8_192)


if __name__ == "__main__":
    unittest.main()
