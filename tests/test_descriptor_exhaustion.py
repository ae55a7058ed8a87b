"""Idle clients that fill the descriptors of a dispatcher while discovery is down, on real sockets.

The dispatcher is a process of its own under a limit of descriptors (RLIMIT_NOFILE) that several hundred idle
connections exceed, or that is lowered to what it already holds. It counts the turns of its loop, its looks,
its calls of `accept` and the answers of the roster that it could use, and tells them at SIGUSR1: that nothing
spins is judged by these counts and not by a clock."""

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

SLOW = 30  # s that anything may take on a busy machine before it is called lost
DESCRIPTORS = 96  # RLIMIT_NOFILE of the dispatcher
CLIENTS = 8  # real ones, one after another
IDLE = 300  # idle connections that are kept up against it
LOOKS = 40  # looks of the dispatcher (two seconds) over which its turns are counted
# A turn for the look itself, one for a timer of the module, up to four after a look that came late, on a busy
# machine, and as many again. A loop that spins has hundreds.
TURNS_A_LOOK = 12
TURNS_AN_EVENT = 8  # a connection that comes, is read, answered and ended; an activation; a question
TRIED = 80  # looks after which a reading of the configuration had once been given up (three seconds)
COUNTED = """
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
    """Since the start of the process; `answers`: those of the roster that were good."""

    turns: int
    looks: int
    accepts: int
    answers: int


class Limited(Site):
    """A dispatcher that may hold `DESCRIPTORS` descriptors and is told that it may hold `sockets`.

    `lost` counts the clients of `served` whose connection ended with no answer."""

    lost = 0

    async def start(self):
        await super().start((sys.executable, "-c", COUNTED, str(DESCRIPTORS)))

    async def counts(self):
        """What the process tells of its turns now."""
        before = sum('"counts"' in line for line in self.log)
        self.process.send_signal(signal.SIGUSR1)
        await self.until(lambda: sum('"counts"' in line for line in self.log) > before, SLOW)
        newest = next(line for line in reversed(self.log) if '"counts"' in line)
        return Counts(**json.loads(newest)["counts"])

    async def looks(self, count):
        """Waits until the dispatcher has looked so many times more; its counts before and after."""
        before = now = await self.counts()
        while now.looks - before.looks < count:
            await asyncio.sleep(0.1)
            now = await self.counts()
        return before, now

    def leaves_none(self):
        """From now on it gets no descriptor beyond those that it holds."""
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (3, hard))

    def leaves_some(self):
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))

    async def served(self, fn=1):
        """A client asks until it is served, each time on a new connection and without waiting on it first."""
        body = os.urandom(8)
        async with asyncio.timeout(SLOW):
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
    """`IDLE` connections to the dispatcher that rest; each is opened again half a second after it was closed.

    Each third of them says nothing, asks for health, or asks for one activation, and then keeps its
    connection. `opened` counts all connections."""

    def __init__(self, site):
        self.site, self.opened = site, 0
        firsts = (lambda: b"", self._health, self._activation)
        self.tasks = [asyncio.ensure_future(self._keep(firsts[n % len(firsts)])) for n in range(IDLE)]

    @staticmethod
    def _health():
        return msgpack.packb([0, 1, "health", [{}]])

    @staticmethod
    def _activation():
        return msgpack.packb([0, 1, "plain", [ask(fn=1), b"x"]])

    async def _keep(self, first):
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self.site.address)
                self.opened += 1
                try:
                    writer.write(first())
                    while await reader.read(4096):
                        pass
                finally:
                    writer.close()
            if first == self._activation:  # once: it is no crowd of activations
                first = self._health
            await asyncio.sleep(0.5)

    async def leave(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class WhileDiscoveryIsDown(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)  # the crowd is in this loop
        self.old, self.new, self.second = Worker("s-1"), Worker("s-2"), Roster()
        await self.new.open()
        await self.second.open()
        self.addCleanup(self.second.transport.close)
        self.addAsyncCleanup(self.new.close)

    def site(self, sockets=256):
        """Whose roster is silent; with more descriptors told than there are, or with the true number."""
        site = Limited([self.old], sockets=sockets)
        site.roster.rewrite = lambda wire: None
        return site

    async def crowd(self, site):
        """Its crowd, which has filled all that clients may hold and is kept up until the test ends."""
        crowd = Crowd(site)
        self.addAsyncCleanup(crowd.leave)
        room = ResourceLimits(DESCRIPTORS, 64)
        await site.until(lambda: crowd.opened >= IDLE and site.figures()[1] >= room.clients, SLOW)
        return crowd

    async def check_that_it_serves(self, site, roster, crowd):
        """The roster is asked, workers are reached, clients are served, and nothing spins."""
        asked, opened = roster.asked, crowd.opened
        before = await site.counts()
        for n in range(CLIENTS):
            await site.served(fn=n)
            await asyncio.sleep(0.3)  # some of the crowd are closed for their silence, others come meanwhile
        self.assertLessEqual(site.lost, CLIENTS // 2)  # each has its room as it comes, whoever holds the rest
        _, now = await site.looks(LOOKS)
        looks, turns = now.looks - before.looks, now.turns - before.turns
        events = crowd.opened - opened + roster.asked - asked + CLIENTS + site.lost
        self.assertLess(turns, TURNS_A_LOOK * looks + TURNS_AN_EVENT * events)
        self.assertLess(now.accepts - before.accepts, looks + events + IDLE)
        # a look that finds a question without an answer 80 ms old puts the next one
        self.assertGreater(roster.asked - asked, looks // 4)
        clients = site.figures()[1] - len(self.old.streams)
        self.assertLessEqual(clients, DESCRIPTORS - ResourceLimits(DESCRIPTORS, 64).workers)

    async def check_that_it_hears(self, site, roster):
        """Discovery comes back, and tells of another worker in the place of the one that is known."""
        self.assertFalse(self.new.probes or self.new.orders or self.new.runs)
        roster.serial, roster.entries = site.roster.serial + 1, {}
        roster.tell(self.new)
        roster.rewrite = None
        async with asyncio.timeout(SLOW):
            while not self.new.runs:
                await site.served()
        self.assertEqual([line for line in site.log if "Traceback" in line or "defect" in line], [])

    async def test_silent_from_before_the_start(self):
        async with self.site() as site:
            await self.check_that_it_serves(site, site.roster, await self.crowd(site))
            await self.check_that_it_hears(site, site.roster)

    async def test_silent_later(self):
        site = self.site()
        silent, site.roster.rewrite = site.roster.rewrite, None
        async with site:
            asked = site.roster.asked
            await site.until(lambda: site.roster.asked > asked + 2, SLOW)
            site.roster.rewrite = silent
            await self.check_that_it_serves(site, site.roster, await self.crowd(site))
            await self.check_that_it_hears(site, site.roster)

    async def test_moved_under_a_crowd(self):
        """SIGHUP; the roster at its new address is silent as well at first."""
        self.second.rewrite = lambda wire: None
        async with self.site() as site:
            crowd = await self.crowd(site)
            site.write(names=f"127.0.0.1:{self.second.port}")
            site.process.send_signal(signal.SIGHUP)
            await site.until(lambda: self.second.asked, SLOW)
            await self.check_that_it_serves(site, self.second, crowd)
            await self.check_that_it_hears(site, self.second)

    async def test_told_of_the_true_limit(self):
        async with self.site(DESCRIPTORS) as site:
            await self.check_that_it_serves(site, site.roster, await self.crowd(site))
            await self.check_that_it_hears(site, site.roster)

    async def test_the_first_answer_comes_with_no_descriptor_left(self):
        """Nothing has to be opened to read it, a module of a library neither."""
        async with self.site() as site:
            site.leaves_none()
            site.roster.rewrite = None
            async with asyncio.timeout(SLOW):
                while not (await site.counts()).answers:
                    await asyncio.sleep(0.1)
            site.leaves_some()
            await self.check_that_it_hears(site, site.roster)

    async def test_the_first_client_comes_with_one_descriptor_left(self):
        """That of its connection: nothing else has to be opened to serve it."""
        async with self.site() as site:
            held = site.figures()[1]
            _, hard = resource.prlimit(site.process.pid, resource.RLIMIT_NOFILE)
            resource.prlimit(site.process.pid, resource.RLIMIT_NOFILE, (held + 1, hard))
            client = await site.client()
            self.assertTrue(await client.health())
            client.close()
            site.leaves_some()
            await site.served()

    async def test_moved_with_no_descriptor_left(self):
        """SIGHUP while the configuration can't be opened, for longer than a spoilt one is read again."""
        async with self.site() as site:
            site.leaves_none()
            site.write(names=f"127.0.0.1:{self.second.port}")
            site.process.send_signal(signal.SIGHUP)
            with socket.create_connection(site.address):  # nobody can take it: the listener stays readable
                before, now = await site.looks(TRIED)
            self.assertLess(now.turns - before.turns, TURNS_A_LOOK * (now.looks - before.looks))
            self.assertLess(now.accepts - before.accepts, 2 * (now.looks - before.looks))
            self.assertLess(sum("configuration" in line for line in site.log), 3)
            self.assertEqual(self.second.asked, 0)
            site.leaves_some()
            await site.until(lambda: self.second.asked, SLOW)
            await self.check_that_it_hears(site, self.second)

    async def test_a_roster_that_cannot_be_reached_from_the_start(self):
        """No way leads there when it starts: it serves by what it knows, and asks once SIGHUP tells a better
        one."""
        site = self.site()
        write = site.write
        site.write = lambda **changes: write(**{"names": "255.255.255.255:53", **changes})
        async with site:
            await site.served()
            _, now = await site.looks(LOOKS)
            self.assertLess(sum("can't query the roster" in line for line in site.log), 3)
            site.write(names=f"127.0.0.1:{self.second.port}")
            site.process.send_signal(signal.SIGHUP)
            await site.until(lambda: self.second.asked, SLOW)
            await self.check_that_it_hears(site, self.second)


if __name__ == "__main__":
    unittest.main()
