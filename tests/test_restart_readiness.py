"""Nine in ten restarted dispatchers are ready within ten seconds, whatever service discovery does.

A dispatcher is ready when it answers `health` with true. On a busy machine a process also waits for a core;
the kernel counts that time (/proc/PID/schedstat), and the test subtracts it. The rest is processor time and
other waits of the start, and must be so short on any machine that a quarter of a core suffices for the ten
seconds. Each dispatcher also reports how often its event loop waited before it was ready (never, because its
configuration has all it needs). The cost of a longer list is counted in function calls."""

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

SLOW = 120  # seconds until a dispatcher that is not ready, or has not ended, fails the test
MAX_START_TIME = 10  # seconds in which a restarted dispatcher must be ready
MIN_READY_SHARE = 0.9  # the minimum share of dispatchers that are ready in time
MIN_CORE_SHARE = 0.25  # the minimum share of a core that a dispatcher has while it starts
PARALLEL_STARTS = 5  # the number of dispatchers that are restarted at a time
END_SIGNALS = (signal.SIGKILL, signal.SIGTERM)  # the signal that ends each start, in order
LONG_LIST = 1024  # the number of workers in a long list
BUSY, BUSY_FOR = 6, 25  # the number of loops that keep the machine busy, and the seconds until each ends
MAX_CALLS_PER_WORKER = 20  # the maximum number of function calls at a start per worker in the list
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


class UnchangedRoster(Roster):
    """A roster that reports no change whatever the length of the list, or is silent."""

    silent = False

    def datagram_received(self, data, sender):
        self.asked += 1
        if not self.silent:
            self.transport.sendto(answer(data, self.serial, {}), sender)


class Start:
    """One start of a dispatcher on its own address."""

    def __init__(self, process, address, began):
        self.process, self.address, self.began = process, address, began
        self.took, self.own_time, self.waits = math.inf, math.inf, None

    async def ready(self):
        """Poll `health` until the answer is true, and record the time that the start took."""
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection(*self.address)
                try:
                    writer.write(msgpack.packb([0, 1, "health", [{}]]))
                    said = await asyncio.wait_for(reader.read(64), MAX_START_TIME)
                finally:
                    writer.close()
                if said == msgpack.packb([1, 1, None, [True, {}]]):
                    self.took = time.monotonic() - self.began
                    self.own_time = self.took - self._run_queue_wait()
                    return
            if self.process.returncode is not None:
                return
            await asyncio.sleep(0.05)

    def _run_queue_wait(self):
        """Return the seconds for which the process was runnable without a core."""
        with contextlib.suppress(OSError):  # the kernel does not count it
            return int(pathlib.Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[1]) / 1e9
        return 0

    async def log(self):
        """Read the log until the process ends."""
        async for line in self.process.stderr:
            if b'"waits"' in line:
                self.waits = json.loads(line)["waits"]


class Restarts(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)

    async def site(self, workers, silent):
        """Return a site with `workers` configured workers, one of which exists."""
        site = Site([Worker("s-1")])
        site.roster = UnchangedRoster()
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
        """Return `PARALLEL_STARTS` free addresses."""
        return [("127.0.0.1", free_port()) for _ in range(PARALLEL_STARTS)]

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
        """Start the dispatchers, end them, and start them again while their clients stay connected."""
        site, addresses, starts = await self.site(workers, silent), self.addresses(), []
        site.address = addresses[0]
        self.path = site.write()
        for number in END_SIGNALS:
            batch = [await self.start(site, address) for address in addresses]
            clients = await asyncio.wait_for(self.all_ready(batch), SLOW)
            for start in batch:
                start.process.send_signal(number)
            for start in batch:
                await asyncio.wait_for(start.process.wait(), SLOW)
                await start.reading
            for client in clients:  # they stay open until after their dispatcher has ended
                client.close()
            starts += batch
        return site, starts

    @staticmethod
    async def all_ready(batch):
        """Wait until all dispatchers are ready; return open connections to them."""
        await asyncio.gather(*(start.ready() for start in batch))
        return [socket.create_connection(s.address) for s in batch if s.process.returncode is None]

    async def check(self, workers, silent):
        site, starts = await self.restarts(workers, silent)
        told = [(round(s.took, 2), round(s.own_time, 2)) for s in starts]
        in_time = sum(start.own_time <= MIN_CORE_SHARE * MAX_START_TIME for start in starts)
        self.assertGreaterEqual(in_time, MIN_READY_SHARE * len(starts), told)
        self.assertEqual([start.waits for start in starts], [0] * len(starts))
        self.assertTrue(site.roster.asked)

    async def test_with_discovery_that_answers(self):
        await self.check(4, silent=False)

    async def test_with_a_long_list_and_discovery_silent(self):
        await self.check(LONG_LIST, silent=True)

    async def test_on_a_loaded_machine_with_a_long_list_and_discovery_silent(self):
        loops = [
            await asyncio.create_subprocess_exec(sys.executable, "-c", LOOP, str(BUSY_FOR))
            for _ in range(BUSY)
        ]
        try:
            await self.check(LONG_LIST, silent=True)
        finally:
            for loop in loops:
                self.end(loop)
                await loop.wait()


class LongLists(unittest.IsolatedAsyncioTestCase):
    async def calls(self, workers):
        """Return the number of function calls from reading the configuration until it is ready."""
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
        """Twice the workers cost at most twice as much, in function calls, so that it holds on any
        machine."""
        few, some, many = [await self.calls(n) for n in (LONG_LIST // 4, LONG_LIST // 2, LONG_LIST)]
        self.assertLessEqual(many - some, 2.2 * (some - few))
        self.assertLessEqual((many - few) / (LONG_LIST - LONG_LIST // 4), MAX_CALLS_PER_WORKER)


if __name__ == "__main__":
    unittest.main()
