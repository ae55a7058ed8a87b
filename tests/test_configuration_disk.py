"""A configuration server whose disk fails reports it, does not vote or promise anything, and rejoins."""

import asyncio
import errno
import os
import pathlib
import socket
import tempfile
import unittest
from random import Random
from unittest import mock

import structlog
from test_configuration_servers import run
from test_replicated_log import cluster_after_faults, version
from tornado.netutil import bind_sockets

from petrelwood.control import catching_up, log_storage, messages, server
from petrelwood.control.appending import new_identity
from petrelwood.control.errors import LogStorageError
from petrelwood.control.log_storage import LogStorage
from petrelwood.decide.cluster import durable_replica
from petrelwood.decide.cluster.durable_replica import DiskFailedError, DurableReplica
from petrelwood.decide.cluster.log_records import (
    Accept,
    Accepted,
    Ballot,
    Extract,
    Learn,
    NotVoting,
    Prepare,
    Promise,
    RecordKind,
)
from petrelwood.decide.cluster.replicated_log import Replica
from petrelwood.emulate.configuration_servers import SECOND, Cluster, DiskFault, Network
from petrelwood.links.rpc_client import RpcClient, RpcError
from petrelwood.store import snapshot
from petrelwood.store.files import Files

SEEDS = 24
CALLS = ("create", "write", "sync", "close", "replace", "sync_folder")
TIMEOUT = 30  # seconds; far above what a busy machine needs


class Killed(BaseException):
    """The process is killed at this point."""


class FaultyFiles(Files):
    """Files on which the call `failing` fails `times` times, or until `failing` is None. Writes are short.

    `kill_after` is the number of bytes after which the process is killed during a write.
    """

    def __init__(self, failing=None, times=None, number=errno.EIO, kill_after=None):
        self.failing, self.times, self.number, self.kill_after = failing, times, number, kill_after
        self.failed = 0
        self.part = 1 << 20

    def _call(self, name):
        if self.failing == name and (self.times is None or self.failed < self.times):
            self.failed += 1
            raise OSError(self.number, os.strerror(self.number))

    def create(self, path, mode=0o600):
        self._call("create")
        return super().create(path, mode)

    def write(self, handle, data):
        if self.kill_after is not None:
            if self.kill_after == 0:
                raise Killed
            data = data[: min(self.kill_after, 7)]
            self.kill_after -= len(data)
        elif self.failing == "write" and len(data) > 8:
            return super().write(handle, data[:8])  # a part of the data is written
        else:
            self._call("write")
        return super().write(handle, data[: self.part])

    def sync(self, handle):
        self._call("sync")
        super().sync(handle)

    def close(self, handle):
        super().close(handle)
        self._call("close")

    def replace(self, source, target):
        self._call("replace")
        super().replace(source, target)

    def sync_folder(self, path):
        self._call("sync_folder")
        super().sync_folder(path)


class Observer:
    """Records the reports about the disk."""

    def __init__(self):
        self.reports = []

    def disk_failed(self, error, retry_in):
        self.reports.append(("failed", error.errno, retry_in))

    def disk_recovered(self, outage):
        self.reports.append(("recovered", outage))


class RepliesBeforeWrite(DurableReplica):
    """A deliberately faulty replica that replies even if the write has failed."""

    def answer(self, message, now):
        reply = self.replica.answer(message)
        self.save_changes(now)
        return reply


class Folder(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def durable(self, files, new_after=None):
        """Return a durable replica on the log in the folder."""
        storage = LogStorage(self.folder, files)
        replica = storage.open(new_after)
        return DurableReplica(replica, storage.save, Random(1).random, Observer())

    def accepted_log(self):
        """Store a log in which a record is accepted in slot 1, and return its replica."""
        durable = self.durable(Files(), 0)
        self.assertEqual(
            durable.answer(Accept(1, Ballot(1, "a"), version(1)), 0),
            Accepted(),
        )
        return durable

    def on_disk(self):
        """Return the state that a restart reads."""
        return LogStorage(self.folder).open(None).durable_state()


class Failures(Folder):
    def test_each_call_once_for_a_while_and_for_good(self):
        for call in CALLS:
            for times in (1, 3, None):
                with self.subTest(call, times=times), tempfile.TemporaryDirectory() as folder:
                    self.folder = pathlib.Path(folder)
                    self.check_outage(call, times)

    def check_outage(self, call, times):
        self.accepted_log()
        files = FaultyFiles(call, times, errno.ENOSPC)
        durable, now = self.durable(files), 0
        high = Ballot(9, "b")
        self.assertEqual(durable.answer(Prepare(1, high), now), NotVoting())
        failed = durable.replica.durable_state()
        # There is no further promise, and no further write before the backoff has elapsed.
        self.assertEqual(durable.answer(Prepare(1, Ballot(10, "c")), now), NotVoting())
        self.assertEqual(durable.answer(Accept(1, high, version(2)), now), NotVoting())
        self.assertEqual((durable.replica.durable_state(), files.failed), (failed, 1))
        with self.assertRaisesRegex(DiskFailedError, os.strerror(errno.ENOSPC)):
            durable.require_disk()
        # A restart during the outage reads the state before it, or a later promise.
        found = LogStorage(self.folder).open(None)
        self.assertGreaterEqual(found.promised, Ballot(1, "a"))
        self.assertEqual(found.accepted, Ballot(1, "a"))
        for _ in range(400):  # twenty seconds
            now += durable_replica.FIRST_RETRY_DELAY // 2
            durable.retry(now)
        if times is None:
            self.assertLess(files.failed, 20)
            self.assertEqual(durable.answer(Prepare(1, high), now), NotVoting())
            files.failing = None
            now += durable_replica.MAX_RETRY_DELAY
            durable.retry(now)
        self.assertFalse(durable.failed)
        self.assertEqual([word for word, *_ in durable._observer.reports].count("recovered"), 1)
        self.assertEqual(
            durable.answer(Prepare(1, high), now),
            Promise(Ballot(1, "a"), version(1)),
        )
        self.assertEqual(self.on_disk(), durable.replica.durable_state())

    def test_what_was_decided_is_learned_while_the_disk_fails_and_is_there_after_it(self):
        self.accepted_log()
        files = FaultyFiles("sync")
        durable = self.durable(files)
        extract = Extract(0, 1, ((1, version(1)),))
        with self.assertRaises(DiskFailedError):
            durable.answer(Learn(extract), 0)
        durable.learn(Extract(1, 2, ((2, version(2)),)), 0)
        self.assertEqual(durable.replica.chosen, 2)
        files.failing = None
        durable.retry(SECOND)
        self.assertEqual(LogStorage(self.folder).open(None).chosen, 2)

    def test_a_server_that_rejoins_on_a_disk_that_fails_votes_only_once_that_is_durable(self):
        files = FaultyFiles("replace")
        durable = self.durable(files)
        self.assertFalse(durable.rejoin({"b": 0, "c": 0}, 3, 0))
        durable.learn(Extract(0, 1, ((1, version(1)),)), 0)
        prepare = Prepare(2, Ballot(1, "a"))
        self.assertEqual(durable.answer(prepare, 0), NotVoting())
        self.assertIsNone(LogStorage(self.folder).open(None).votes_from)
        files.failing = None
        durable.retry(SECOND)
        self.assertIsInstance(durable.answer(prepare, SECOND), Promise)
        self.assertEqual(LogStorage(self.folder).open(None).votes_from, 2)

    def test_a_kill_at_each_byte_of_a_write_leaves_the_log_before_it(self):
        self.accepted_log()
        before = self.on_disk()
        size = len(snapshot.pack(log_storage.KIND, log_storage.VERSION, before))
        for after in range(size):
            durable = self.durable(FaultyFiles(kill_after=after))
            with self.assertRaises(Killed):
                durable.answer(Prepare(1, Ballot(2, "b")), 0)
            self.assertEqual(self.on_disk(), before, after)
        self.assertIsInstance(
            self.durable(None).answer(Prepare(1, Ballot(2, "b")), 0),
            Promise,
        )

    def test_a_kill_at_each_byte_of_the_write_after_a_failure_leaves_the_log_before_it(self):
        self.accepted_log()
        before = self.on_disk()
        size = len(snapshot.pack(log_storage.KIND, log_storage.VERSION, before))
        for after in range(0, size, 3):
            files = FaultyFiles("sync", 1)
            durable = self.durable(files)
            self.assertEqual(durable.answer(Prepare(1, Ballot(2, "b")), 0), NotVoting())
            files.kill_after = after
            with self.assertRaises(Killed):
                durable.retry(SECOND)
            self.assertEqual(self.on_disk(), before, after)

    def test_a_kill_at_each_call_of_a_write_leaves_the_log_before_it_or_the_one_after(self):
        for call in CALLS:
            with self.subTest(call), tempfile.TemporaryDirectory() as folder:
                self.folder = pathlib.Path(folder)
                self.accepted_log()
                before = self.on_disk()
                durable = self.durable(snapshot.Files())
                with mock.patch.object(snapshot.Files, call, side_effect=Killed):
                    with self.assertRaises(Killed):
                        durable.answer(Prepare(1, Ballot(2, "b")), 0)
                is_renamed = call == "sync_folder"
                self.assertEqual(self.on_disk(), durable.replica.durable_state() if is_renamed else before)

    def test_writes_of_one_byte_at_a_time_make_the_whole_log(self):
        self.accepted_log()
        files = FaultyFiles()
        files.part = 1
        durable = self.durable(files)
        self.assertIsInstance(durable.answer(Prepare(1, Ballot(2, "b")), 0), Promise)
        self.assertEqual(self.on_disk(), durable.replica.durable_state())

    def test_a_file_that_failed_is_not_written_to_again(self):
        self.accepted_log()
        files = FaultyFiles("sync", 1)
        self.durable(files).answer(Prepare(1, Ballot(2, "b")), 0)
        self.assertEqual([path.name for path in self.folder.iterdir()], [log_storage.FILE])

    def test_a_disk_that_can_not_be_read_does_not_pass_for_a_lost_one(self):
        self.accepted_log()
        fault = OSError(errno.EIO, os.strerror(errno.EIO))
        for new_after in (None, 0):
            with mock.patch.object(pathlib.Path, "stat", side_effect=fault):
                with self.assertRaisesRegex(LogStorageError, "can't be read"):
                    LogStorage(self.folder).open(new_after)

    def test_a_new_log_that_can_not_be_written_ends_the_start_with_one_line(self):
        (self.folder / (log_storage.FILE + ".part")).mkdir()
        words = ("--name", "c1", "--listen", "127.0.0.1:0", "--folder", str(self.folder))
        ended = run("configuration", "serve", *words, "--new-log-after", "0")
        self.assertEqual((ended.returncode, ended.stderr.count("\n")), (2, 2), ended.stderr)
        self.assertIn("log write failed", ended.stderr)
        self.assertRegex(ended.stderr, r"petrelwood: .*can't be written: Is a directory\n$")


class InVirtualTime(unittest.TestCase):
    """Five servers whose disks fail in turn, some at the same time."""

    def test_no_slot_is_decided_twice_and_no_promise_leaves_before_it_is_durable(self):
        failures = recoveries = decided = 0
        for seed in range(SEEDS):
            cluster = cluster_after_faults(seed, disks=seed % 2 == 1, disk_faults=0.5)
            self.assertEqual(cluster.judge(), [], seed)
            failures += sum(one.disk_failures for one in cluster.servers.values())
            recoveries += sum(one.disk_recoveries for one in cluster.servers.values())
            decided += len(cluster.reported)
        self.assertGreater(min(failures, recoveries, decided), SEEDS)

    def test_afterwards_all_of_them_vote_again(self):
        for seed in range(SEEDS // 3):
            cluster = cluster_after_faults(seed, disks=False, disk_faults=0.5)
            self.assertFalse(any(one.durable.failed for one in cluster.servers.values()))
            record = cluster.new_record()
            cluster.propose("c1", record)
            cluster.heal(5)
            self.assertNotIn(None, {one.replica.slot_of(record.id) for one in cluster.servers.values()}, seed)

    def test_the_judge_finds_one_that_replies_before_it_is_durable(self):
        cluster = cluster_after_faults(1, disks=False, disk_faults=0.5, durable_type=RepliesBeforeWrite)
        self.assertTrue(any("not have it on its disk" in fault for fault in cluster.judge()))

    def test_with_two_of_five_disks_failing_records_are_decided_and_with_three_none(self):
        for failing, slot in ((2, 1), (3, None)):
            cluster = Cluster(1, network=Network(0, 0))
            for name in cluster.names[5 - failing :]:
                cluster.servers[name].disk_fault = DiskFault.OLD_VALUE_STANDS
            record = cluster.new_record()
            cluster.propose("c1", record)
            cluster.run(6 * SECOND)
            self.assertEqual(cluster.reported.get(record.id), slot)
            self.assertEqual(cluster.judge(), [])


class Process(unittest.IsolatedAsyncioTestCase):
    """Three real servers on one event loop; the disk of one of them fails."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.files = FaultyFiles()
        self.enterContext(mock.patch.object(catching_up, "INTERVAL", 0.05))
        self.enterContext(mock.patch.object(durable_replica, "MAX_RETRY_DELAY", SECOND // 4))
        addresses, self.servers, sockets = {}, {}, {}
        for name in ("c1", "c2", "c3"):
            sockets[name] = bind_sockets(0, "127.0.0.1")
            addresses[name] = sockets[name][0].getsockname()
        self.log = structlog.testing.CapturingLogger()
        logger = structlog.wrap_logger(
            self.log, processors=[lambda _, __, event: ((event.pop("event"),), event)]
        )
        for name in addresses:
            storage = LogStorage(pathlib.Path(folder.name) / name, self.files if name == "c1" else None)
            peers = {other: address for other, address in addresses.items() if other != name}
            self.servers[name] = server.ConfigurationServer(
                name, peers, storage.open(0), storage.save, logger if name == "c1" else structlog.get_logger()
            )
            self.servers[name].add_sockets(sockets[name])
            self.addCleanup(self.servers[name].close)
        self.tasks = {name: one.start_background() for name, one in self.servers.items()}
        self.clients = {
            name: RpcClient(address, messages.MAX_MESSAGE_SIZE) for name, address in addresses.items()
        }
        for client in self.clients.values():
            self.addCleanup(client.close)

    async def call(self, name, method, params):
        return await self.clients[name].call(method, params, TIMEOUT)

    async def append(self, name, n):
        (slot,) = await self.call(name, "append", [list(version(n))])
        return slot

    async def test_it_says_so_does_not_vote_and_rejoins(self):
        self.assertEqual(await self.append("c1", 1), 1)
        self.files.failing, self.files.number = "write", errno.ENOSPC
        # c2 has a quorum without c1; c1 fails at its first message, and learns the decided record.
        self.assertEqual(await self.append("c2", 2), 2)
        self.assertEqual(await self.call("c1", "prepare", [3, 9, "x"]), ["not voting"])
        with self.assertRaisesRegex(RpcError, "No space left on device"):
            await self.append("c1", 3)
        async with asyncio.timeout(TIMEOUT):
            while self.servers["c1"].replica.chosen < 2:
                await asyncio.sleep(0.01)
        self.assertEqual((await self.call("c1", "read", [0]))[1], 2)
        self.assertIn("log write failed; not voting", [call.args[0] for call in self.log.calls])
        self.servers["c3"].close()  # without c3 there is no quorum until c1 votes again
        self.files.failing = None
        async with asyncio.timeout(TIMEOUT):
            while self.servers["c1"].durable.failed:
                await asyncio.sleep(0.01)
        self.assertIn("log written again", [call.args[0] for call in self.log.calls])
        self.assertEqual(await self.append("c1", 3), 3)
        self.assertEqual([task for task in self.tasks["c1"] if task.done()], [])


class Descriptors(unittest.IsolatedAsyncioTestCase):
    async def test_idle_connections_make_room_where_descriptors_run_out(self):
        one = server.ConfigurationServer("c1", {}, Replica(), lambda value: None, structlog.get_logger())
        self.addCleanup(one.close)
        sockets = bind_sockets(0, "127.0.0.1")
        one.add_sockets(sockets)
        clients = [RpcClient(sockets[0].getsockname(), messages.MAX_MESSAGE_SIZE) for _ in range(4)]
        for client in clients:
            self.addCleanup(client.close)
        accept, left = socket.socket.accept, 3

        def limited(sock):
            if len(one._connections) >= left:
                raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))
            return accept(sock)

        with mock.patch.object(socket.socket, "accept", limited):
            for client in (*clients[:3], clients[0], clients[3]):
                self.assertEqual(await client.call("read", [0], TIMEOUT), [0, 0, []])
            self.assertEqual([client._stream.closed() for client in clients], [False, True, False, False])


class Identities(unittest.TestCase):
    def test_a_wall_clock_stepped_back_to_an_earlier_start_makes_no_ballot_twice(self):
        with mock.patch("time.time_ns", return_value=1):
            self.assertEqual(len({new_identity("c1") for _ in range(100)}), 100)

    def test_whatever_the_name_is_peers_accept_the_identity_and_ids_made_of_it(self):
        for name in ("c1", "a" * 200, "\u20ac" * 64):
            identity = new_identity(name)
            messages.decode_call("prepare", [1, 1, identity])
            messages.decode_record([f"{identity}.{1 << 62}", RecordKind.NO_OPERATION, 0, 0, b""])


if __name__ == "__main__":
    unittest.main()
