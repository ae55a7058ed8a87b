"""Restarted dispatchers are ready within ten seconds: nine in ten of them, whatever discovery does.

Ready is who answers `health` with true. A machine that others keep busy adds the time that a process stands
in line for a core; the kernel counts it (/proc/PID/schedstat), and it is taken off. What is left is the
processor time that the start needs and all that it waits for otherwise, on any machine: so little that a
quarter of a core is enough for the ten seconds. Besides, each dispatcher tells how often its loop has waited
before it was ready (never: what it needs is in its configuration), and what a longer list costs is counted in
calls of functions."""

import asyncio
import contextlib
import json
import math
import pathlib
import signal
import socket
import sys
import time
import unittest

import msgpack
from free_ports import free_port
from node_site import ROOT, Roster, Site, Worker, answer
from test_crossings import RecordingLog

from petrelwood.node import configuration
from petrelwood.node.service import Node

SLOW = 120  # s until a dispatcher that is not ready is called lost
WITHIN = 10  # s until a restarted dispatcher has to be ready
SHARE = 0.9  # of those that are restarted
CORE = 0.25  # of a core, which a dispatcher has at least while it starts
TOGETHER = 5  # dispatchers that are restarted at a time
ENDS = (signal.SIGKILL, signal.SIGTERM)  # how each ends, and is started again after the first
LIST = 1024  # workers that a long list holds
BUSY, BUSY_FOR = 6, 25  # loops that keep the machine busy, and s after which each ends by itself
CALLS_A_WORKER = 20  # calls of functions at a start for each worker in the list
LOOP = "import sys, time\nend = time.monotonic() + float(sys.argv[1])\nwhile time.monotonic() < end: pass"
COUNTED = """
import json, os, runpy, selectors, sys
nodes, waits, inner = [], [], selectors.EpollSelector.select

def select(self, timeout=None):
    ready = nodes and nodes[0].is_ready()
    if ready and nodes[1:] == []:
        nodes.append("told")
        os.write(2, json.dumps({"waits": len(waits)}).encode() + b"\\n")
    if not ready and (timeout is None or timeout > 0):
        waits.append(timeout)
    return inner(self, timeout)

selectors.EpollSelector.select = select
from petrelwood.node import service
begin = service.Node.begin

def begins(self):
    nodes.append(self)
    begin(self)

service.Node.begin = begins
sys.argv = ["petrelwood.node"]
runpy.run_module("petrelwood.node", run_name="__main__", alter_sys=True)
"""


class Unchanged(Roster):
    """Says, however long the list is, that nothing has happened since; or nothing."""

    silent = False

    def datagram_received(self, data, sender):
        self.asked += 1
        if not self.silent:
            self.transport.sendto(answer(data, self.serial, {}), sender)


class Start:
    """One start of a dispatcher, on an address of its own."""

    def __init__(self, process, address, began):
        self.process, self.address, self.began = process, address, began
        self.took, self.own, self.waits = math.inf, math.inf, None

    async def ready(self):
        """Asks for health until it is answered with true; notes what it took."""
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(msgpack.packb([0, 1, "health", [{}]]))
                    said = await asyncio.wait_for(reader.read(64), WITHIN)
                finally:
                    writer.close()
                if said == msgpack.packb([1, 1, None, [True, {}]]):
                    self.took = time.monotonic() - self.began
                    self.own = self.took - self._in_line()
                    return
            if self.process.returncode is not None:
                return
            await asyncio.sleep(0.05)

    def _in_line(self):
        """Seconds that it was ready to run and had no core."""
        with contextlib.suppress(OSError):  # a kernel that does not count it
            return int(pathlib.Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[1]) / 1e9
        return 0

    async def log(self):
        """Reads it to the end of the process."""
        async for line in self.process.stderr:
            if b'"waits"' in line:
                self.waits = json.loads(line)["waits"]


class Restarts(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)

    async def site(self, workers, silent):
        """A configuration with so many workers, of which one is there."""
        site = Site([Worker("s-1")])
        site.roster = Unchanged()
        site.roster.silent = silent
        await site.roster.open()
        await site.workers[0].open()
        site.roster.tell(site.workers[0])
        for number in range(1, workers):
            site.roster.entries[f"s-{number:08x}"] = (number, "Ready", "north", 0)
        self.addCleanup(site.folder.cleanup)
        self.addCleanup(site.roster.transport.close)
        self.addAsyncCleanup(site.workers[0].close)
        return site

    @staticmethod
    def addresses():
        """Free ones."""
        return [("127.0.0.1", free_port()) for _ in range(TOGETHER)]

    async def start(self, site, address):
        began = time.monotonic()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            COUNTED,
            cwd=ROOT,
            env={**site.environ(self.path), "PROXY_LISTEN": f"{address[0]}:{address[1]}"},
            stderr=asyncio.subprocess.PIPE,
        )
        self.addCleanup(self.end, process)
        start = Start(process, address, began)
        start.reading = asyncio.ensure_future(start.log())
        return start

    @staticmethod
    def end(process):
        with contextlib.suppress(ProcessLookupError):
            process.kill()

    async def restarts(self, workers, silent):
        """`TOGETHER` dispatchers, each started, killed and started again; their clients stay connected."""
        site, addresses, starts = await self.site(workers, silent), self.addresses(), []
        site.address = addresses[0]
        self.path = site.write()
        for number in ENDS:
            batch = [await self.start(site, address) for address in addresses]
            clients = await asyncio.wait_for(self.all_ready(batch), SLOW)
            for start in batch:
                start.process.send_signal(number)
            for start in batch:
                await asyncio.wait_for(start.process.wait(), SLOW)
                await start.reading
            for client in clients:  # they outlive their dispatcher
                client.close()
            starts += batch
        return site, starts

    @staticmethod
    async def all_ready(batch):
        """Waits until they are; connections to them that stay open."""
        await asyncio.gather(*(start.ready() for start in batch))
        return [socket.create_connection(s.address) for s in batch if s.process.returncode is None]

    async def check(self, workers, silent):
        site, starts = await self.restarts(workers, silent)
        told = [(round(s.took, 2), round(s.own, 2)) for s in starts]
        in_time = sum(start.own <= CORE * WITHIN for start in starts)
        self.assertGreaterEqual(in_time, SHARE * len(starts), told)
        self.assertEqual([start.waits for start in starts], [0] * len(starts))
        self.assertTrue(site.roster.asked)

    async def test_with_discovery_that_answers(self):
        await self.check(4, silent=False)

    async def test_with_a_long_list_and_discovery_silent(self):
        await self.check(LIST, silent=True)

    async def test_on_a_loaded_machine_with_a_long_list_and_discovery_silent(self):
        loops = [
            await asyncio.create_subprocess_exec(sys.executable, "-c", LOOP, str(BUSY_FOR))
            for _ in range(BUSY)
        ]
        try:
            await self.check(LIST, silent=True)
        finally:
            for loop in loops:
                self.end(loop)
                await loop.wait()


class LongLists(unittest.IsolatedAsyncioTestCase):
    async def calls(self, workers):
        """Calls of functions from the reading of the configuration until it is ready."""
        site, count = Site([]), 0
        site.roster.port = 9
        site.address = ("127.0.0.1", 0)
        for number in range(workers):
            site.roster.entries[f"s-{number:08x}"] = (number, "Ready", "north", 0)
        environ = site.environ(site.write())

        def called(frame, event, argument):
            nonlocal count
            count += event == "call"

        sys.setprofile(called)
        try:
            node = Node(configuration.read(environ), RecordingLog([]))
            node.begin()
        finally:
            sys.setprofile(None)
        node.front.stop()
        node.next_check.cancel()
        node.roster.close()
        site.folder.cleanup()
        return count

    async def test_each_worker_in_the_list_costs_the_same(self):
        """A start of twice as many workers costs twice as much at most, which holds on any machine."""
        few, some, many = [await self.calls(n) for n in (LIST // 4, LIST // 2, LIST)]
        self.assertLessEqual(many - some, 2.2 * (some - few))
        self.assertLessEqual((many - few) / (LIST - LIST // 4), CALLS_A_WORKER)


if __name__ == "__main__":
    unittest.main()
