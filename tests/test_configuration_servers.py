"""Configuration servers as real processes: publishing, lost servers and disks, and followers."""

import asyncio
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import unittest

import structlog
from free_ports import free_port
from test_handover import DispatcherCase

from petrelwood.clocks import LoopClock
from petrelwood.control import log_storage, messages
from petrelwood.decide.cluster.log_records import MAX_TEXT_SIZE, Record, RecordKind, compress_text
from petrelwood.decide.cluster.replicated_log import Replica
from petrelwood.dispatch.configuration import ConfigurationFollower
from petrelwood.links.rpc_client import RpcClient, RpcError
from petrelwood.settings.storage import ConfigurationTerms
from petrelwood.standins.caller import Broken
from petrelwood.store import snapshot, versions

SECOND = 10**9
TIMEOUT = 60  # seconds; far above what a busy machine needs
PETRELWOOD = [sys.executable, "-m", "petrelwood.cli"]


def run(*words):
    """Run a command to completion."""
    return subprocess.run([*PETRELWOOD, *words], capture_output=True, text=True, timeout=TIMEOUT)


class ServerGroup:
    """Servers on loopback, each in its own process."""

    def __init__(self, folder, count=5):
        self.folder, self.processes, self.addresses = pathlib.Path(folder), {}, {}
        self.names = [f"c{n}" for n in range(1, count + 1)]
        for name in self.names:
            self.addresses[name] = ("127.0.0.1", free_port())

    def address_of(self, name):
        return "{}:{}".format(*self.addresses[name])

    async def start(self, name, *more):
        peers = [w for n in self.names if n != name for w in ("--peer", f"{n}={self.address_of(n)}")]
        words = ["configuration", "serve", "--name", name, "--listen", self.address_of(name), *peers]
        with open(self.folder / f"{name}.log", "a") as output:
            self.processes[name] = process = await asyncio.create_subprocess_exec(
                *PETRELWOOD,
                *words,
                "--folder",
                str(self.folder / name),
                *more,
                stdout=subprocess.PIPE,
                stderr=output,
            )
        line = await asyncio.wait_for(process.stdout.readline(), TIMEOUT)
        assert json.loads(line)["ready"] == self.address_of(name), self.log_text(name)

    async def start_all(self):
        await asyncio.gather(*(self.start(name, "--new-log-after", "0") for name in self.names))

    async def kill(self, name):
        self.processes[name].kill()
        await self.processes.pop(name).wait()

    async def end(self):
        for name in list(self.processes):
            await self.kill(name)

    def log_text(self, name):
        return (self.folder / f"{name}.log").read_text()

    async def append(self, name, record):
        client = RpcClient(self.addresses[name], messages.MAX_MESSAGE_SIZE)
        try:
            (slot,) = await client.call("append", [list(record)], 10)
            return slot
        finally:
            client.close()


def version(n):
    return Record(f"r{n}", RecordKind.VERSION, 0, 0, compress_text(f"text {n}"))


class Servers(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.group = ServerGroup(self.folder)
        self.addAsyncCleanup(self.group.end)
        await self.group.start_all()
        self.tasks = []

    async def until(self, holds):
        for _ in range(20 * TIMEOUT):
            if holds():
                return
            await asyncio.sleep(0.05)
        self.fail("; ".join(self.group.log_text(name)[-400:] for name in self.group.names))

    def follow(self, folder):
        """Return a follower with this folder, which runs on the event loop of the test."""
        terms = ConfigurationTerms(tuple(self.group.addresses.values()), 13 * SECOND)
        follower = ConfigurationFollower(
            "d1", terms, str(folder), LoopClock(), random.Random(1).random, structlog.get_logger()
        )
        task = asyncio.get_running_loop().create_task(follower.run())
        self.addCleanup(task.cancel)
        return follower

    async def test_what_is_published_reaches_who_follows_while_servers_are_lost_one_by_one(self):
        folder = self.folder / "versions"
        follower = self.follow(folder)
        for lost, number in ((None, 1), ("c5", 2), ("c4", 3)):
            if lost is not None:
                await self.group.kill(lost)
            self.assertEqual(await self.group.append("c1", version(number)), number)
            await self.until(lambda number=number: follower.watch.position == number)
            self.assertEqual(versions.path_of(folder, number).read_text(), f"text {number}")
        await self.group.kill("c3")
        with self.assertRaisesRegex(RpcError, "no quorum"):
            await self.group.append("c1", version(4))
        late = self.follow(self.folder / "late")  # decided records are still served
        await self.until(lambda: late.watch.position == 3)
        self.assertEqual([a.number for a in versions.announced(self.folder / "late")], [3])
        await self.group.end()
        again = self.follow(folder)  # a follower keeps what it has read
        self.assertEqual((again.watch.position, len(versions.announced(folder))), (3, 3))
        # With a quorum again, the record that lacked one is decided once.
        for name in ("c1", "c2", "c3"):
            await self.group.start(name)
        self.assertEqual(await self.group.append("c2", version(4)), 4)
        self.assertEqual(await self.group.append("c3", version(4)), 4)
        await self.until(lambda: again.watch.position == 4)

    async def test_a_server_that_lost_its_disk_learns_and_votes_again(self):
        for n in (1, 2, 3):
            await self.group.append("c1", version(n))
        await self.group.kill("c5")
        (self.folder / "c5" / log_storage.FILE).unlink()
        await self.group.start("c5")
        await self.until(lambda: "rejoined" in self.group.log_text("c5"))
        # It votes from the second slot on; the slot before is decided while the others still have a quorum.
        await self.until(lambda: "record decided" in self.group.log_text("c5"))
        await self.group.kill("c3")
        await self.group.kill("c4")

        async def decided(n):  # c5 completes the quorum, so this fails until it votes again
            for _ in range(TIMEOUT):
                try:
                    return await self.group.append("c1", version(n))
                except RpcError:
                    await asyncio.sleep(0.1)
            self.fail(self.group.log_text("c5"))

        slot = await decided(4)
        self.assertGreaterEqual(slot, 4)
        for name in ("c1", "c2", "c5"):  # all agree on every slot
            client = RpcClient(self.group.addresses[name], messages.MAX_MESSAGE_SIZE)
            for _ in range(20 * TIMEOUT):
                found = messages.decode_extract(await client.call("catch-up", [0], 10))
                if found.chosen >= slot:
                    break
                await asyncio.sleep(0.05)
            client.close()
            self.assertEqual(dict(found.entries)[slot].id, "r4")
            self.assertEqual([dict(found.entries)[n].id for n in (1, 2, 3)], ["r1", "r2", "r3"])

    async def test_a_version_called_off_by_one_that_follows_is_called_off_for_all(self):
        one, other = self.follow(self.folder / "one"), self.follow(self.folder / "other")
        await self.group.append("c2", version(1))
        await self.until(lambda: one.watch.position == other.watch.position == 1)
        one.call_off(1, "it did worse")
        await self.until(lambda: other.watch.position == 2)
        self.assertTrue(versions.announced(self.folder / "other")[0].revoked)
        self.assertEqual((self.folder / "other" / "1.off").read_text(), "d1: it did worse")
        await self.until(lambda: not one.unsent_call_offs)
        with self.assertRaisesRegex(RpcError, "no version 9"):
            await self.group.append("c1", Record("x", RecordKind.REVOCATION, 9, 0, b"?"))

    async def test_what_can_not_be_read_is_an_error_and_the_server_goes_on(self):
        client = RpcClient(self.group.addresses["c1"], messages.MAX_MESSAGE_SIZE)
        self.addCleanup(client.close)
        for method, params in (
            ("nonsense", []),
            ("read", ["x"]),
            ("read", []),
            ("catch-up", [None]),
            ("append", [["id", "version", 0, 0]]),
            ("append", [["", "version", 0, 0, b""]]),
            ("append", [["id", "version", -1, 0, b""]]),
            ("append", [["id", "version", 0, 0, b"x" * (MAX_TEXT_SIZE + 1)]]),
            ("prepare", [1, 1 << 63, "c1"]),
            ("accept", [1, 1, "c1", None]),
            ("learn", [0, 1, [[1]]]),
        ):
            with self.assertRaises(RpcError, msg=(method, params)):
                await client.call(method, params, 10)
        raw = RpcClient(self.group.addresses["c1"], messages.MAX_MESSAGE_SIZE)
        self.addCleanup(raw.close)
        await raw.call("read", [0], 10)
        await raw._stream.write(b"\xc1 this is no message")
        self.assertEqual(await self.group.append("c1", version(1)), 1)


class Commands(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def serve(self, *more):
        return run(
            "configuration",
            "serve",
            "--name",
            "c1",
            "--listen",
            "127.0.0.1:0",
            "--folder",
            str(self.folder),
            *more,
        )

    def test_a_log_that_can_not_be_used_ends_the_start_with_one_line_and_status_2(self):
        snapshot.write(
            self.folder / log_storage.FILE,
            log_storage.KIND,
            log_storage.VERSION,
            Replica().durable_state(),
        )
        held = self.serve("--new-log-after", "0")
        (self.folder / log_storage.FILE).write_bytes(b"half of a")
        broken = self.serve()
        for ended, words in ((held, "holds a log"), (broken, "can't be used")):
            self.assertEqual((ended.returncode, ended.stderr.count("\n")), (2, 1), ended.stderr)
            self.assertIn(words, ended.stderr)
        for peers in (("c2=127.0.0.1:1",), ("c1=127.0.0.1:1", "c2=127.0.0.1:2"), ("c2", "c3=127.0.0.1:2")):
            ended = self.serve(*(w for peer in peers for w in ("--peer", peer)))
            self.assertEqual(ended.returncode, 2, ended.stderr)

    def test_publishing_without_a_server_says_so_and_a_wrong_file_is_never_published(self):
        port = free_port()
        (self.folder / "bad.kdl").write_text("this is { no")
        ended = run("configuration", "publish", str(self.folder / "bad.kdl"), "--server", f"127.0.0.1:{port}")
        self.assertEqual(ended.returncode, 2, ended.stderr)
        ended = run("configuration", "revoke", "3", "--server", f"127.0.0.1:{port}")
        self.assertEqual(
            (ended.returncode, "not decided as 'off-3'" in ended.stderr), (1, True), ended.stderr
        )


class Dispatcher(DispatcherCase):
    """A real dispatcher applies a published version, keeps it without any server, and rolls it back."""

    async def test_a_published_version_is_taken_kept_without_servers_and_left(self):
        group = ServerGroup(self.folder, 3)
        self.addAsyncCleanup(group.end)
        await group.start_all()
        own, servers = self.path.read_text(), [f'    server "{group.address_of(n)}"' for n in group.names]
        self.path.write_text(
            "\n".join([own, 'versions "versions"', "configuration {", *servers, '    within "7s"', "}\n"])
        )
        new = self.folder / "new.kdl"
        new.write_text(self.path.read_text() + 'function "new-*" type="again" lanes=4\n')
        process = await self.start()
        server_options = [w for n in group.names for w in ("--server", group.address_of(n))]
        loop = asyncio.get_running_loop()
        ended = await loop.run_in_executor(
            None, lambda: run("configuration", "publish", str(new), *server_options)
        )
        self.assertEqual(ended.stdout, "version 1 is published\n", ended.stderr)
        await self.serves("new-1", 200)
        await group.end()
        process.kill()
        await process.wait()
        await self.start()  # without servers it reads its folder
        await self.serves("new-1", 200)
        for name in group.names:
            await group.start(name)
        ended = await loop.run_in_executor(None, lambda: run("configuration", "revoke", "1", *server_options))
        self.assertEqual(ended.stdout, "version 1 is called off\n", ended.stderr)
        await self.serves("new-1", 404)

    async def serves(self, function, status):
        """Send activations of a function until one ends with this status."""
        for _ in range(10 * TIMEOUT):
            self.stamp += 1
            try:
                message = self.message(function, stamp=int(time.time()) + self.stamp)
                if (await self.caller.call(message, 30)).status == status:
                    return
            except Broken:  # the connected process was killed
                pass
            await asyncio.sleep(0.1)
        self.fail(self.said())


if __name__ == "__main__":
    unittest.main()
