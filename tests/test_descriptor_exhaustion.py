"""Idle clients exhaust the file descriptors of a dispatcher while discovery is down, on real sockets.

The dispatcher is a separate process whose descriptor limit (RLIMIT_NOFILE) is exceeded by several hundred
idle connections, or is lowered to the number of descriptors in use. It counts the iterations of its event
loop (`turns`), its periodic checks (`looks`), its calls of `accept` and the usable answers of the roster, and
prints the counts at SIGUSR1. The tests detect a busy loop by these counts and not by a clock."""

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import sys
import unittest
from typing import NamedTuple

import msgpack
from node_site import Roster, Site, Worker, ask

from petrelwood.decide.overload.resource_limits import ResourceLimits

TIMEOUT = 30  # s; the timeout of each step on a busy machine
DESCRIPTORS = 96  # RLIMIT_NOFILE of the dispatcher
CLIENTS = 8  # clients that are served one after another
IDLE = 300  # idle connections that are kept open
LOOKS = 40  # periodic checks (two seconds) over which the iterations of the event loop are counted
# Maximum event loop iterations per periodic check: one for the check itself, one for a timer of the
# scheduler, up to four after a check that is late on a busy machine, doubled as a margin. A busy loop has
# hundreds.
MAX_TURNS_PER_LOOK = 12
# Maximum event loop iterations per event: a connection that is accepted, read, answered and closed; an
# activation; a roster query.
MAX_TURNS_PER_EVENT = 8
# Periodic checks (three seconds) after which an earlier version had given up rereading the configuration.
RELOAD_LOOKS = 80
COUNTING_SCRIPT = """
import asyncio, json, os, resource, runpy, signal, sys
limit = int(sys.argv[1])
resource.setrlimit(resource.RLIMIT_NOFILE, (limit, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
counts = {"turns": 0, "looks": 0, "accepts": 0, "answers": 0}

def counted(owner, name, what):
    inner = getattr(owner, name)
    def outer(*args):
        counts[what] += 1
        return inner(*args)
    setattr(owner, name, outer)

counted(asyncio.base_events.BaseEventLoop, "_run_once", "turns")
from petrelwood.node import client_listener, roster, service
counted(service.Node, "_check", "looks")
counted(client_listener.ClientListener, "_accept", "accepts")
counted(roster.DnsRoster, "_usable_answer_received", "answers")
signal.signal(signal.SIGUSR1, lambda *_: os.write(2, json.dumps({"counts": counts}).encode() + b"\\n"))
sys.argv = ["petrelwood.node"]
runpy.run_module("petrelwood.node", run_name="__main__", alter_sys=True)
"""


class Counts(NamedTuple):
    """Counts since the start of the process; `answers` are the usable answers of the roster."""

    turns: int
    looks: int
    accepts: int
    answers: int


class LimitedSite(Site):
    """A dispatcher limited to `DESCRIPTORS` descriptors, whose configuration says that it has `sockets`.

    `lost` counts the clients of `request_until_served` whose connection was closed without an answer."""

    lost = 0

    async def start(self):
        await super().start((sys.executable, "-c", COUNTING_SCRIPT, str(DESCRIPTORS)))

    async def counts(self):
        """Return the current counts of the process."""
        before = sum('"counts"' in line for line in self.log)
        self.process.send_signal(signal.SIGUSR1)
        await self.until(lambda: sum('"counts"' in line for line in self.log) > before, TIMEOUT)
        newest = next(line for line in reversed(self.log) if '"counts"' in line)
        return Counts(**json.loads(newest)["counts"])

    async def looks(self, count):
        """Wait for `count` more periodic checks, and return the counts before and after them."""
        before = now = await self.counts()
        while now.looks - before.looks < count:
            await asyncio.sleep(0.1)
            now = await self.counts()
        return before, now

    def exhaust_descriptors(self):
        """Lower the descriptor limit so that the process can open no more descriptors."""
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (3, hard))

    def restore_descriptors(self):
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))

    async def request_until_served(self, fn=1):
        """Send a request until it is answered, each time on a new connection and without waiting first."""
        body = os.urandom(8)
        async with asyncio.timeout(TIMEOUT):
            while await self._answer(fn, body) != [1, 1, None, [body, {}]]:
                await asyncio.sleep(0.1)

    async def _answer(self, fn, body):
        unpacker = msgpack.Unpacker(raw=False)
        with socket.create_connection(self.address) as sock:
            with contextlib.suppress(ConnectionError):
                sock.sendall(msgpack.packb([0, 1, "plain", [ask(fn=fn), body]]))
                sock.setblocking(False)
                while data := await asyncio.get_running_loop().sock_recv(sock, 4096):
                    unpacker.feed(data)
                    for message in unpacker:
                        return message
        self.lost += 1
        return None


class Crowd:
    """`IDLE` idle connections to the dispatcher; each is reopened half a second after it is closed.

    A third of them send nothing, a third a health request, and a third one activation; then they stay idle.
    `opened` counts all connections."""

    def __init__(self, site):
        self.site, self.opened = site, 0
        first_messages = (lambda: b"", self._health, self._activation)
        self.tasks = [
            asyncio.ensure_future(self._keep(first_messages[number % len(first_messages)]))
            for number in range(IDLE)
        ]

    @staticmethod
    def _health():
        return msgpack.packb([0, 1, "health", [{}]])

    @staticmethod
    def _activation():
        return msgpack.packb([0, 1, "plain", [ask(fn=1), b"x"]])

    async def _keep(self, first_message):
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.site.address)
                self.opened += 1
                try:
                    writer.write(first_message())
                    while await reader.read(4096):
                        pass
                finally:
                    writer.close()
            if first_message == self._activation:  # one activation only, so that the load stays low
                first_message = self._health
            await asyncio.sleep(0.5)

    async def leave(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class WhileDiscoveryIsDown(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)  # the crowd runs in this loop
        self.old, self.new, self.second = Worker("s-1"), Worker("s-2"), Roster()
        await self.new.open()
        await self.second.open()
        self.addCleanup(self.second.transport.close)
        self.addAsyncCleanup(self.new.close)

    def site(self, sockets=256):
        """Return a dispatcher with a silent roster; by default `sockets` exceeds the real limit."""
        site = LimitedSite([self.old], sockets=sockets)
        site.roster.rewrite = lambda wire: None
        return site

    async def crowd(self, site):
        """Return a crowd that has used up the clients' descriptors; it stays until the test ends."""
        crowd = Crowd(site)
        self.addAsyncCleanup(crowd.leave)
        room = ResourceLimits(DESCRIPTORS, 64)
        await site.until(lambda: crowd.opened >= IDLE and site.figures()[1] >= room.clients, TIMEOUT)
        return crowd

    async def check_serving(self, site, roster, crowd):
        """Check that the roster is queried, clients are served by workers, and no loop is busy."""
        asked, opened = roster.asked, crowd.opened
        before = await site.counts()
        for number in range(CLIENTS):
            await site.request_until_served(fn=number)
            await asyncio.sleep(0.3)  # meanwhile some idle connections are closed and others are opened
        self.assertLessEqual(site.lost, CLIENTS // 2)  # there is room for each client, whoever holds the rest
        _, now = await site.looks(LOOKS)
        looks, turns = now.looks - before.looks, now.turns - before.turns
        events = crowd.opened - opened + roster.asked - asked + CLIENTS + site.lost
        self.assertLess(turns, MAX_TURNS_PER_LOOK * looks + MAX_TURNS_PER_EVENT * events)
        self.assertLess(now.accepts - before.accepts, looks + events + IDLE)
        # A periodic check sends the next query if the last one is unanswered after 80 ms.
        self.assertGreater(roster.asked - asked, looks // 4)
        clients = site.figures()[1] - len(self.old.streams)
        self.assertLessEqual(clients, DESCRIPTORS - ResourceLimits(DESCRIPTORS, 64).workers)

    async def check_discovery_recovers(self, site, roster):
        """Check that the dispatcher uses a new worker when discovery recovers and replaces the known one."""
        self.assertFalse(self.new.probes or self.new.orders or self.new.runs)
        roster.serial, roster.entries = site.roster.serial + 1, {}
        roster.tell(self.new)
        roster.rewrite = None
        async with asyncio.timeout(TIMEOUT):
            while not self.new.runs:
                await site.request_until_served()
        self.assertEqual([line for line in site.log if "Traceback" in line or "defect" in line], [])

    async def test_silent_from_before_the_start(self):
        async with self.site() as site:
            await self.check_serving(site, site.roster, await self.crowd(site))
            await self.check_discovery_recovers(site, site.roster)

    async def test_silent_later(self):
        site = self.site()
        silent, site.roster.rewrite = site.roster.rewrite, None
        async with site:
            asked = site.roster.asked
            await site.until(lambda: site.roster.asked > asked + 2, TIMEOUT)
            site.roster.rewrite = silent
            await self.check_serving(site, site.roster, await self.crowd(site))
            await self.check_discovery_recovers(site, site.roster)

    async def test_moved_under_a_crowd(self):
        """After SIGHUP the roster has a new address, and is silent there too at first."""
        self.second.rewrite = lambda wire: None
        async with self.site() as site:
            crowd = await self.crowd(site)
            site.write(names=f"127.0.0.1:{self.second.port}")
            site.process.send_signal(signal.SIGHUP)
            await site.until(lambda: self.second.asked, TIMEOUT)
            await self.check_serving(site, self.second, crowd)
            await self.check_discovery_recovers(site, self.second)

    async def test_told_of_the_true_limit(self):
        async with self.site(DESCRIPTORS) as site:
            await self.check_serving(site, site.roster, await self.crowd(site))
            await self.check_discovery_recovers(site, site.roster)

    async def test_the_first_answer_comes_with_no_descriptor_left(self):
        """Reading the answer opens no descriptor, not even to import a library module."""
        async with self.site() as site:
            site.exhaust_descriptors()
            site.roster.rewrite = None
            async with asyncio.timeout(TIMEOUT):
                while not (await site.counts()).answers:
                    await asyncio.sleep(0.1)
            site.restore_descriptors()
            await self.check_discovery_recovers(site, site.roster)

    async def test_the_first_client_comes_with_one_descriptor_left(self):
        """The connection uses the descriptor; serving it opens no other."""
        async with self.site() as site:
            held = site.figures()[1]
            _, hard = resource.prlimit(site.process.pid, resource.RLIMIT_NOFILE)
            resource.prlimit(site.process.pid, resource.RLIMIT_NOFILE, (held + 1, hard))
            client = await site.client()
            self.assertTrue(await client.health())
            client.close()
            site.restore_descriptors()
            await site.request_until_served()

    async def test_moved_with_no_descriptor_left(self):
        """After SIGHUP the configuration can't be opened, for longer than an invalid one is reread."""
        async with self.site() as site:
            site.exhaust_descriptors()
            site.write(names=f"127.0.0.1:{self.second.port}")
            site.process.send_signal(signal.SIGHUP)
            with socket.create_connection(
                site.address
            ):  # it can't be accepted, so the listener stays readable
                before, now = await site.looks(RELOAD_LOOKS)
            self.assertLess(now.turns - before.turns, MAX_TURNS_PER_LOOK * (now.looks - before.looks))
            self.assertLess(now.accepts - before.accepts, 2 * (now.looks - before.looks))
            self.assertLess(sum("configuration" in line for line in site.log), 3)
            self.assertEqual(self.second.asked, 0)
            site.restore_descriptors()
            await site.until(lambda: self.second.asked, TIMEOUT)
            await self.check_discovery_recovers(site, self.second)

    async def test_a_roster_that_cannot_be_reached_from_the_start(self):
        """The roster is unreachable at the start: the dispatcher serves with the workers that it knows, and
        queries the roster once SIGHUP brings a reachable address."""
        site = self.site()
        write = site.write
        site.write = lambda **changes: write(**{"names": "255.255.255.255:53", **changes})
        async with site:
            await site.request_until_served()
            _, now = await site.looks(LOOKS)
            self.assertLess(sum("can't be asked" in line for line in site.log), 3)
            site.write(names=f"127.0.0.1:{self.second.port}")
            site.process.send_signal(signal.SIGHUP)
            await site.until(lambda: self.second.asked, TIMEOUT)
            await self.check_discovery_recovers(site, self.second)


if __name__ == "__main__":
    unittest.main()
