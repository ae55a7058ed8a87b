"""Compatibility of the stored form and the wire form of the configuration log with an earlier version.

This version reads what the earlier one stored and sent, and writes the same bytes. The files under stored/
were written by the code before the log was split into modules.
"""

import json
import pathlib
import shutil
import tempfile
import unittest

import msgpack

from petrelwood.control import log_storage, messages
from petrelwood.control.log_storage import LogStorage
from petrelwood.decide.cluster.log_records import (
    LOWEST,
    Accept,
    Accepted,
    Ahead,
    Ballot,
    Behind,
    Learn,
    Learned,
    NotVoting,
    Prepare,
    Promise,
    Record,
    RecordKind,
    Rejected,
    decompress_text,
)

STORED = pathlib.Path(__file__).parent / "stored"
LOG = STORED / "configuration_log_1.snapshot"
WIRE = json.loads((STORED / "configuration_wire_1.json").read_text())
BALLOT = Ballot(7, "c3.19")
REVOCATION = Record("off-2", RecordKind.REVOCATION, 2, 1_700_000_000_000_000_009, b"d1: it did worse")


class StoredLog(unittest.TestCase):
    """A folder with the log that an earlier version stored."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.storage = LogStorage(folder.name)
        shutil.copy(LOG, self.storage.path)
        self.replica = self.storage.open(None)


class Stored(StoredLog):
    def test_the_log_is_read_whole(self):
        replica = self.replica
        self.assertEqual((replica.votes_from, replica.chosen), (1, 4))
        self.assertEqual([replica.slot_of(id_) for id_ in ("r1", "r2", "off-2", "c1.5.3")], [1, 2, 3, 4])
        self.assertEqual(decompress_text(replica.records[1].body), 'function "a" type="t"\n')
        self.assertEqual((replica.records[2].body, replica.records[3]), (b"", REVOCATION))
        self.assertEqual(replica.records[4].kind, RecordKind.NO_OPERATION)
        self.assertEqual((replica.promised, replica.accepted), (BALLOT, Ballot(4, "c2.18")))
        self.assertEqual((replica.record.id, replica.slot_of("r5")), ("r5", None))

    def test_it_is_written_again_byte_for_byte(self):
        self.storage.save(self.replica.durable_state())
        self.assertEqual(self.storage.path.read_bytes(), LOG.read_bytes())
        self.assertEqual((log_storage.FILE, log_storage.VERSION), ("log.snapshot", 1))


class Wire(StoredLog):
    """Parameters and results have the bytes that an earlier version sent."""

    def assert_sent(self, value, sent):
        self.assertEqual(msgpack.packb(value, use_bin_type=True).hex(), sent)

    def test_calls(self):
        extract = self.replica.extract(2)
        calls = (Prepare(5, BALLOT), Accept(5, BALLOT, REVOCATION), Learn(extract))
        for call, sent in zip(calls, WIRE["calls"], strict=True):
            self.assert_sent(list(messages.encode_call(call)), sent)
            method, params = msgpack.unpackb(bytes.fromhex(sent))
            self.assertEqual(messages.decode_call(method, params), call)

    def test_replies(self):
        extract = self.replica.extract(2)
        replies = (
            Promise(LOWEST, None),
            Promise(BALLOT, REVOCATION),
            Accepted(),
            Rejected(BALLOT),
            Behind(4),
            Ahead(extract),
            NotVoting(),
            Learned(4),
        )
        for reply, sent in zip(replies, WIRE["replies"], strict=True):
            self.assert_sent(messages.encode_reply(reply), sent)
            self.assertEqual(messages.decode_reply(msgpack.unpackb(bytes.fromhex(sent))), reply)

    def test_what_followers_read(self):
        extract = self.replica.extract(0, compact=True)
        self.assert_sent(messages.encode_extract(extract), WIRE["read"])
        self.assertEqual(messages.decode_extract(msgpack.unpackb(bytes.fromhex(WIRE["read"]))), extract)
        self.assertEqual(decompress_text(bytes.fromhex(WIRE["body"])), 'function "a" type="t"\n')


if __name__ == "__main__":
    unittest.main()
