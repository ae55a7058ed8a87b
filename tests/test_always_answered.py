"""Every request is answered, and a running dispatcher always serves: with an endpoint list that arrives only
after a silence or never, after SIGKILL, with requests that arrive in pieces, and with a reload directly
followed by a shutdown.

Where the version before (d60e4e0) passes a test, the test names a broken dispatcher on which it fails.
"""

import asyncio
import os
import signal
import socket
import sys
import unittest
from unittest import mock

import msgpack
from node_site import Roster, Site, Worker, ask
from test_crossings import SLOW, Caller, InProcessSite, ManualWorker, settings

from petrelwood.decide.overload import resource_limits
from petrelwood.links import sockets
from petrelwood.node import graceful_shutdown
from petrelwood.node import roster as names

TYPES = ("plain", "marked", "single")
# a deadline so long that no activation expires on a busy machine
LONG_DEADLINE = {"classes": {"deadline": SLOW * 1_000_000}}
ANSWER_WORDS = ("completed", "Throttled", "Broken")


class ManualShutdown:
    """A `shutdown.Shutdown` whose progress the test controls, however long the machine is busy."""

    def __init__(self, now, longest):
        self.is_admitting = True

    def is_admission_closed(self, now):
        return not self.is_admitting

    def must_answer_all(self, now):
        return False

    def may_exit(self, now, owed, quiet):
        return not self.is_admitting and not owed and quiet


class PatientSite(Site):
    """A dispatcher in its own process, with timeouts for a machine where everything may take long."""

    # The 3 s that the platform may allow do not cut the shutdown short, and slow clients are not closed.
    COMMAND = (
        sys.executable,
        "-c",
        "import sys; from petrelwood.node import __main__ as node; "
        "from petrelwood.decide.cluster import shutdown; "
        "from petrelwood.decide.overload import resource_limits as limits; "
        f"shutdown.MAX_TIMEOUT = limits.FIRST_REQUEST_TIMEOUT = {SLOW}_000_000_000; "
        f"limits.REQUEST_TIMEOUT = {SLOW}_000_000_000; sys.exit(node.main())",
    )

    def __init__(self, workers):
        super().__init__(workers, **settings(classes={"deadline": SLOW * 1_000_000}))

    async def start(self):
        await super().start(self.COMMAND)

    async def until(self, what, within=SLOW):
        await super().until(what, within)


def silent(wire):
    """`Roster.rewrite` of a roster that never answers."""
    return None


async def health(site, client):
    """Return the dispatcher's answer to a health request."""
    client.last += 1
    client.sock.sendall(msgpack.packb([0, client.last, "health", [{}]]))
    await site.until(lambda: client.last in client.read())
    return client.answers[client.last]


async def first_word(site, client, number):
    """Return the first word of the answer, or how the connection ended."""
    await site.until(lambda: number in client.read() or client.ended)
    return client.answers.get(number, (client.ended,))[0]


class Discovery(unittest.IsolatedAsyncioTestCase):
    async def test_a_list_that_never_comes(self):
        """No worker is known: requests of every type are rejected in time, and health requests are answered.

        Fails on a dispatcher where neither the module's rejection nor the core's own deadline answers."""
        async with InProcessSite([]) as site:
            site.roster.rewrite = silent
            client, numbers = Caller(site.address), []
            for _ in range(3):
                numbers += [
                    client.call(ask(fn=n, ttl=600), type_=type_name) for n, type_name in enumerate(TYPES)
                ]
                self.assertEqual(await health(site, client), ("completed", True))
            for number in numbers:
                self.assertEqual(await first_word(site, client, number), "Throttled")
            self.assertEqual(site.node.pending.counts["defects"], 0)
            self.assertFalse(site.node.pending.activations)
            client.close()

    async def test_a_list_that_comes_whole_after_a_silence(self):
        """Pending and later requests are then sent to workers.

        Fails on a dispatcher that stops requesting the list when it is lost."""
        worker = Worker("s-1")
        async with InProcessSite([], **LONG_DEADLINE, familyInfo={"keep": 300_000}) as site:
            site.roster.rewrite = silent
            await site.until(lambda: any("endpoint list lost" in line for line in site.log))
            client = Caller(site.address)
            early = client.call(ask(fn=1, ttl=600))
            self.assertEqual(await first_word(site, client, early), "Throttled")
            held = client.call(ask(fn=1, ttl=30_000))
            await site.until(lambda: site.node.intake.unanswered)
            await worker.open()
            site.workers.append(worker)
            site.roster.tell(worker)
            site.roster.rewrite = None
            self.assertEqual(await first_word(site, client, held), "completed")
            later = client.call(ask(fn=1, ttl=30_000))
            self.assertEqual(await first_word(site, client, later), "completed")
            client.close()

    async def test_all_workers_are_others_after_a_silence(self):
        """The initial workers have ended meanwhile, so nothing can be served. Each request is still answered,
        and all are served once the new list arrives. Fails on a dispatcher that accepts one list only."""
        old, new = Worker("s-1"), Worker("s-2")
        async with InProcessSite([old], **LONG_DEADLINE) as site:
            client = Caller(site.address)
            self.assertEqual(await first_word(site, client, client.call(ask(fn=1, ttl=30_000))), "completed")
            site.roster.rewrite = silent
            await old.close()
            for type_name in TYPES:
                self.assertIn(
                    await first_word(site, client, client.call(ask(fn=1, ttl=600), type_=type_name)),
                    ANSWER_WORDS,
                )
            await new.open()
            site.workers.append(new)
            site.roster.tell(old, "Gone")
            site.roster.tell(new)
            site.roster.rewrite = None
            await site.until(lambda: site.node.membership.is_usable("s-2"))
            self.assertEqual(await first_word(site, client, client.call(ask(fn=1, ttl=30_000))), "completed")
            client.close()

    async def test_a_silence_that_lasts_leaves_what_is_known(self):
        """The list is lost for good, but its workers continue to serve. Fails on a dispatcher that forgets
        its workers when the list is lost."""
        async with InProcessSite([Worker("s-1")], **LONG_DEADLINE, familyInfo={"keep": 300_000}) as site:
            site.roster.rewrite = silent
            await site.until(lambda: any("endpoint list lost" in line for line in site.log))
            client = Caller(site.address)
            for _ in range(3):
                self.assertEqual(
                    await first_word(site, client, client.call(ask(fn=1, ttl=30_000))), "completed"
                )
            client.close()

    async def test_a_roster_that_can_not_be_asked_at_the_start(self):
        """Without a route to the roster or a descriptor, the dispatcher serves by the list that it was given,
        and polls the roster once it can. The version before exited: 'can't listen on ...', status 2."""
        fresh, fails = sockets.new_socket, [True]

        def failing(host, kind=socket.SOCK_STREAM):
            if kind == socket.SOCK_DGRAM and fails[0]:
                raise OSError(101, "Network is unreachable")
            return fresh(host, kind)

        with mock.patch.object(names.sockets, "new_socket", failing):
            async with InProcessSite([Worker("s-1")], **LONG_DEADLINE) as site:
                client = Caller(site.address)
                self.assertEqual(
                    await first_word(site, client, client.call(ask(fn=1, ttl=30_000))), "completed"
                )
                self.assertEqual(site.roster.asked, 0)
                fails[0] = False
                await site.until(lambda: site.node.roster.counts["good"])
                client.close()


class Killed(unittest.IsolatedAsyncioTestCase):
    async def test_right_after_an_accept(self):
        """Clients see a close, whatever was accepted; the next process serves on the same port at once.

        Fails on a listener that does not reuse its address."""
        slow = Worker("s-1", lambda *_: b"")
        async with PatientSite([slow]) as site:
            nothing, half, whole, unread, last = (Caller(site.address) for _ in range(5))
            # this client was accepted, and so were those before it
            self.assertEqual(await health(site, last), ("completed", True))
            whole.call(ask(fn=1, ttl=30_000))
            await site.until(lambda: slow.runs)
            half.call(ask(fn=1), part=slice(None, 40))
            site.process.send_signal(signal.SIGSTOP)
            unread.call(ask(fn=1))
            queued = Caller(site.address)  # accepted by the kernel, but never by the process
            queued.call(ask(fn=1))
            site.process.kill()
            await site.process.wait()
            last.answers.clear()
            for client in (nothing, half, whole, unread, last, queued):
                while client.read() is not None and client.ended is None:
                    await asyncio.sleep(0.01)
                self.assertEqual(client.answers, {})
            slow.script = None
            site.log.clear()
            await site.start()
            client = await site.client()
            self.assertEqual((await client.call(ttl=30_000, within=SLOW))[0], "completed")
            client.close()


class Pieces(unittest.IsolatedAsyncioTestCase):
    async def test_requests_that_come_byte_by_byte(self):
        """The requests of three clients in turn, each with another request behind it. Fails on a dispatcher
        that reuses a reader which still has part of a request."""
        async with InProcessSite([Worker("s-1")], **LONG_DEADLINE) as site:
            clients = [Caller(site.address) for _ in range(3)]
            parts = [
                b"".join(
                    msgpack.packb([0, n, "plain", [ask(fn=1, ttl=30_000), bytes([65 + client])]])
                    for n in (1, 2)
                )
                for client in range(3)
            ]
            for at in range(max(map(len, parts))):
                for client, data in zip(clients, parts, strict=True):
                    client.sock.sendall(data[at : at + 1])
                    await site.turns(4)
            for client, body in zip(clients, (b"A", b"B", b"C"), strict=True):
                for number in (1, 2):
                    self.assertEqual(await first_word(site, client, number), "completed")
                    self.assertEqual(client.answers[number][1], body)
                client.close()

    async def test_across_a_drain(self):
        """The rest of a request arrives while requests are still admitted; or after admission has ended while
        an answer is still due; or never. Fails on a dispatcher that closes idle clients as admission ends."""
        worker, shutdown = ManualWorker("s-1"), ManualShutdown(0, 0)
        with (
            mock.patch.object(graceful_shutdown, "Shutdown", lambda *_: shutdown),
            mock.patch.object(resource_limits, "REQUEST_TIMEOUT", SLOW * 1_000_000_000),
        ):
            await self._pieces_across_a_drain(worker, shutdown)

    async def _pieces_across_a_drain(self, worker, shutdown):
        async with InProcessSite([worker], **LONG_DEADLINE) as site:
            busy, soon, late, never = (Caller(site.address) for _ in range(4))
            out = busy.call(ask(fn=1, ttl=30_000), type_="single")
            await site.until(worker.runs)
            requests = {client: ask(fn=1, ttl=30_000) for client in (soon, late, never)}
            for client, fields in requests.items():
                client.call(fields, part=slice(None, 40))
            await site.until(
                lambda: sum(bool(client.partial_since) for client in site.node.front.clients) == 3
            )
            ending = asyncio.ensure_future(site.node.close())
            await site.turns()
            soon.call(requests[soon], part=slice(40, None))
            await site.until(lambda: len(worker.runs()) == 2)
            worker.answer(worker.runs()[1])
            self.assertEqual(await first_word(site, soon, 1), "completed")
            shutdown.is_admitting = False
            await site.until(lambda: site.node.intake.closing)
            late.call(requests[late], part=slice(40, None))
            self.assertEqual(await first_word(site, late, 1), "Throttled")
            self.assertFalse(ending.done())
            worker.answer(worker.runs()[0])
            self.assertEqual(await first_word(site, busy, out), "completed")
            await asyncio.wait_for(ending, SLOW)
            self.assertEqual(await first_word(site, never, 1), "end")


class ReloadAndEnd(unittest.IsolatedAsyncioTestCase):
    async def test_a_reload_followed_at_once_by_a_drain(self):
        """The new file is complete, half written or missing, and the roster that it names never answers.
        Requests in flight and new ones on open and new connections are answered; the exit status is 0. Fails
        on a dispatcher that stops listening at SIGTERM."""
        for file in ("whole", "half written", "gone"):
            with self.subTest(file):
                may_answer = asyncio.Event()

                async def wait_if_single(worker, said, writer, may_answer=may_answer):
                    if said["meta"]["sort"] == "single":
                        await may_answer.wait()

                async with PatientSite([Worker("s-1", wait_if_single)]) as site:
                    mute = Roster()
                    await mute.open()
                    mute.rewrite = silent
                    opened = await site.client()
                    await opened.call(ttl=30_000, within=SLOW)
                    out = opened.begin(ask(fn=1, ttl=30_000), type_="single")
                    await site.until(lambda worker=site.workers[0]: len(worker.runs) == 2)
                    path = site.write(names=f"127.0.0.1:{mute.port}")
                    if file == "half written":
                        path.write_text(path.read_text()[:200])
                    elif file == "gone":
                        path.unlink()
                    os.kill(site.process.pid, signal.SIGHUP)
                    site.process.terminate()
                    while await opened.health():
                        pass
                    fresh = await site.client()
                    for client in (opened, fresh):
                        answer = await client.call(ttl=30_000, within=SLOW)
                        self.assertIn(answer[0], ("completed", "Throttled"))
                    may_answer.set()
                    self.assertEqual((await asyncio.wait_for(out, SLOW))[0], "completed")
                    self.assertEqual(await asyncio.wait_for(site.process.wait(), SLOW), 0)
                    mute.transport.close()
