"""Idle clients that use up the descriptors of a dispatcher while service discovery is down, on real sockets.

The dispatcher is a separate process with a descriptor limit (RLIMIT_NOFILE) that several hundred idle
connections exceed, or that is lowered to the number it already has open. It counts the iterations of its
event loop, its checks, its calls of `accept` and the usable answers of the roster, and prints the counts at
SIGUSR1. The test uses these counts instead of a clock to see that nothing spins."""

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

SLOW = 30  # seconds that anything may take on a busy machine before the test fails
DESCRIPTORS = 96  # RLIMIT_NOFILE of the dispatcher
CLIENTS = 8  # the number of active clients, one after another
IDLE = 300  # the number of idle connections that are kept open
COUNTED_CHECKS = 40  # checks of the dispatcher (two seconds) over which the loop iterations are counted
# The maximum number of loop iterations per check: one for the check itself, one for a timer of the module, up
# to four after a late check on a busy machine, and as many again. A spinning loop has hundreds.
MAX_ITERATIONS_PER_CHECK = 12
# The maximum number of loop iterations per event: a connection that is accepted, read, answered and closed,
# an activation, or a query.
MAX_ITERATIONS_PER_EVENT = 8
# Checks while the configuration can't be read (four seconds): a faulty version gave up after three seconds.
RELOAD_CHECKS = 80
COUNTED = """
import asyncio, json, os, resource, runpy, signal, sys
limit = int(sys.argv[1])
resource.setrlimit(resource.RLIMIT_NOFILE, (limit, resource.getrlimit(resource.RLIMIT_NOFILE)[1]))
counts = {"iterations": 0, "checks": 0, "accepts": 0, "answers": 0}

def counted(owner, name, what):
    inner = getattr(owner, name)
    def outer(*args):
        counts[what] += 1
        return inner(*args)
    setattr(owner, name, outer)

counted(asyncio.base_events.BaseEventLoop, "_run_once", "iterations")
from petrelwood.node import client_listener, roster, service
counted(service.Node, "_check", "checks")
counted(client_listener.ClientListener, "_accept", "accepts")
counted(roster.DnsRoster, "_usable_answer_received", "answers")
signal.signal(signal.SIGUSR1, lambda *_: os.write(2, json.dumps({"counts": counts}).encode() + b"\\n"))
sys.argv = ["petrelwood.node"]
runpy.run_module("petrelwood.node", run_name="__main__", alter_sys=True)
"""


class Counts(NamedTuple):
    """Counts since the start of the process; `iterations`: of the event loop, `answers`: usable ones."""

    iterations: int
    checks: int
    accepts: int
    answers: int


class Limited(Site):
    """A dispatcher with a limit of `DESCRIPTORS` descriptors and a configured limit of `sockets`.

    `lost` counts the clients of `served` whose connection ended without an answer."""

    lost = 0

    async def start(self):
        await super().start((sys.executable, "-c", COUNTED, str(DESCRIPTORS)))

    async def counts(self):
        """Return the current counts of the process."""
        before = sum('"counts"' in line for line in self.log)
        self.process.send_signal(signal.SIGUSR1)
        await self.until(lambda: sum('"counts"' in line for line in self.log) > before, SLOW)
        newest = next(line for line in reversed(self.log) if '"counts"' in line)
        return Counts(**json.loads(newest)["counts"])

    async def wait_for_checks(self, count):
        """Wait for `count` more checks of the dispatcher; return its counts before and after them."""
        before = now = await self.counts()
        while now.checks - before.checks < count:
            await asyncio.sleep(0.1)
            now = await self.counts()
        return before, now

    def exhaust_descriptors(self):
        """Lower the limit so that the dispatcher can't open another descriptor."""
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (3, hard))

    def restore_descriptors(self):
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))

    async def served(self, fn=1):
        """Send requests until one completes, each on a new connection and without waiting for its
        acceptance."""
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


class IdleClients:
    """`IDLE` idle connections to the dispatcher, each of which is reopened half a second after it was closed.

    A third of them send nothing, a third request health, and a third request one activation; then they stay
    open. `opened` counts all connections."""

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
            if first == self._activation:  # each requests only one activation
                first = self._health
            await asyncio.sleep(0.5)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class WhileDiscoveryIsDown(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)  # the idle clients run in this loop
        self.old, self.new, self.second = Worker("s-1"), Worker("s-2"), Roster()
        await self.new.open()
        await self.second.open()
        self.addCleanup(self.second.transport.close)
        self.addAsyncCleanup(self.new.close)

    def site(self, sockets=256):
        """Return a site whose roster is silent, with `sockets` as the configured limit of descriptors."""
        site = Limited([self.old], sockets=sockets)
        site.roster.rewrite = lambda wire: None
        return site

    async def crowd(self, site):
        """Open idle connections until they use the whole capacity for clients; keep them open until the test
        ends."""
        crowd = IdleClients(site)
        self.addAsyncCleanup(crowd.stop)
        room = ResourceLimits(DESCRIPTORS, 64)
        await site.until(lambda: crowd.opened >= IDLE and site.figures()[1] >= room.clients, SLOW)
        return crowd

    async def check_that_it_serves(self, site, roster, crowd):
        """Check that the roster is queried, workers are reached, clients are served, and nothing spins."""
        asked, opened = roster.asked, crowd.opened
        before = await site.counts()
        for n in range(CLIENTS):
            await site.served(fn=n)
            await asyncio.sleep(0.3)  # silent connections are closed and others opened meanwhile
        self.assertLessEqual(site.lost, CLIENTS // 2)  # a new client is served despite the idle ones
        _, now = await site.wait_for_checks(COUNTED_CHECKS)
        checks, iterations = now.checks - before.checks, now.iterations - before.iterations
        events = crowd.opened - opened + roster.asked - asked + CLIENTS + site.lost
        self.assertLess(iterations, MAX_ITERATIONS_PER_CHECK * checks + MAX_ITERATIONS_PER_EVENT * events)
        self.assertLess(now.accepts - before.accepts, checks + events + IDLE)
        # a check sends the next query if the last one is 80 ms old and unanswered
        self.assertGreater(roster.asked - asked, checks // 4)
        clients = site.figures()[1] - len(self.old.streams)
        self.assertLessEqual(clients, DESCRIPTORS - ResourceLimits(DESCRIPTORS, 64).workers)

    async def check_new_list_is_used(self, site, roster):
        """Check that the dispatcher uses a new worker, which replaces the known one, once discovery is
        back."""
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
            await self.check_new_list_is_used(site, site.roster)

    async def test_silent_later(self):
        site = self.site()
        silent, site.roster.rewrite = site.roster.rewrite, None
        async with site:
            asked = site.roster.asked
            await site.until(lambda: site.roster.asked > asked + 2, SLOW)
            site.roster.rewrite = silent
            await self.check_that_it_serves(site, site.roster, await self.crowd(site))
            await self.check_new_list_is_used(site, site.roster)

    async def test_moved_under_a_crowd(self):
        """The roster is moved by SIGHUP; at its new address it is silent at first too."""
        self.second.rewrite = lambda wire: None
        async with self.site() as site:
            crowd = await self.crowd(site)
            site.write(names=f"127.0.0.1:{self.second.port}")
            site.process.send_signal(signal.SIGHUP)
            await site.until(lambda: self.second.asked, SLOW)
            await self.check_that_it_serves(site, self.second, crowd)
            await self.check_new_list_is_used(site, self.second)

    async def test_told_of_the_true_limit(self):
        async with self.site(DESCRIPTORS) as site:
            await self.check_that_it_serves(site, site.roster, await self.crowd(site))
            await self.check_new_list_is_used(site, site.roster)

    async def test_the_first_answer_comes_with_no_descriptor_left(self):
        """Reading the answer must open nothing, not even the file of a library module."""
        async with self.site() as site:
            site.exhaust_descriptors()
            site.roster.rewrite = None
            async with asyncio.timeout(SLOW):
                while not (await site.counts()).answers:
                    await asyncio.sleep(0.1)
            site.restore_descriptors()
            await self.check_new_list_is_used(site, site.roster)

    async def test_the_first_client_comes_with_one_descriptor_left(self):
        """The connection needs the last descriptor; serving it must open nothing else."""
        async with self.site() as site:
            held = site.figures()[1]
            _, hard = resource.prlimit(site.process.pid, resource.RLIMIT_NOFILE)
            resource.prlimit(site.process.pid, resource.RLIMIT_NOFILE, (held + 1, hard))
            client = await site.client()
            self.assertTrue(await client.health())
            client.close()
            site.restore_descriptors()
            await site.served()

    async def test_moved_with_no_descriptor_left(self):
        """SIGHUP while the configuration can't be opened, for longer than a malformed file is retried."""
        async with self.site() as site:
            site.exhaust_descriptors()
            site.write(names=f"127.0.0.1:{self.second.port}")
            site.process.send_signal(signal.SIGHUP)
            with socket.create_connection(site.address):  # not accepted: the listener stays readable
                before, now = await site.wait_for_checks(RELOAD_CHECKS)
            self.assertLess(
                now.iterations - before.iterations, MAX_ITERATIONS_PER_CHECK * (now.checks - before.checks)
            )
            self.assertLess(now.accepts - before.accepts, 2 * (now.checks - before.checks))
            self.assertLess(sum("configuration" in line for line in site.log), 3)
            self.assertEqual(self.second.asked, 0)
            site.restore_descriptors()
            await site.until(lambda: self.second.asked, SLOW)
            await self.check_new_list_is_used(site, self.second)

    async def test_a_roster_that_cannot_be_reached_from_the_start(self):
        """The address of the roster is unreachable at the start: the dispatcher serves with the configured
        list, and queries the roster once SIGHUP gives another address."""
        site = self.site()
        write = site.write
        site.write = lambda **changes: write(**{"names": "255.255.255.255:53", **changes})
        async with site:
            await site.served()
            _, now = await site.wait_for_checks(COUNTED_CHECKS)
            self.assertLess(sum("can't query the roster" in line for line in site.log), 3)
            site.write(names=f"127.0.0.1:{self.second.port}")
            site.process.send_signal(signal.SIGHUP)
            await site.until(lambda: self.second.asked, SLOW)
            await self.check_new_list_is_used(site, self.second)


if __name__ == "__main__":
    unittest.main()
