"""The time that a worker is told is what the client has left as the frame is written, within 0.15 s; a send
that has none left never leaves, which proves that it never ran.

Waits are forced by a clock that jumps: the connection comes up, the rest ahead leaves, the loop goes on when
that much has passed. Each test failed on the text before (668305e), where a send's frame was made as it was
queued, but those that name the broken dispatcher that they fail on."""

import socket
import types
import unittest
from unittest import mock

from node_site import ask
from test_client_departure import ids
from test_crossings import NO_CANCEL, SLOW, Caller, InProcessSite, ManualWorker, block_loop

from petrelwood import ports
from petrelwood.decide.overload import resource_limits
from petrelwood.emulate import link as emulate_link
from petrelwood.links import rpc, sockets
from petrelwood.links import worker as links_worker
from petrelwood.node import worker as node_worker

MS = 1_000_000
SLACK = 150  # ms
TTL = 3900  # ms
CLOCK_RESOLUTION = 15  # ms, of the kernel's ticks and of what it rounds
CONNECTS = {"cancelling": False, "connectTimeout": 20_000_000}


def jump(node, milliseconds):
    """The dispatcher's clock goes on by so much at once."""
    now = node.now
    node.now = lambda: now() + milliseconds * MS


def narrow(fresh=sockets.new_socket):
    """`sockets.new_socket` whose sockets take little at a time."""

    def made(host, kind=socket.SOCK_STREAM):
        sock = fresh(host, kind)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    return made


class LateConnections:
    """Connections to workers come up when the test says so."""

    def __init__(self):
        self.up = node_worker.NodeLink._on_connected
        self.waiting = []

    def hold(self):
        def wait(*args):
            self.waiting.append(args)

        return mock.patch.object(node_worker.NodeLink, "_on_connected", wait)

    def come_up(self):
        for args in self.waiting:
            self.up(*args)


def waits_for_a_connection(node, name):
    """Whether a send to this worker waits, and all connections that were begun have come up but for our
    word."""
    link = node.links.get(name)
    return link and link.runs and link.waiting and len(link.connections) == link.connecting


def patience(worker, fields):
    """What a worker was told with a request, ms; None where it was not told of it."""
    return next(
        (said["meta"]["patience"] for _, said in worker.runs() if said["req"] == fields["call"]), None
    )


class WaitsForItsConnection(unittest.IsolatedAsyncioTestCase):
    async def test_the_wait_is_taken_off(self):
        worker, late = ManualWorker("s-1"), LateConnections()
        async with InProcessSite([worker], permissions=CONNECTS) as site:
            client = Caller(site.address)
            with late.hold():
                client.call(fields := ask(fn=1, ttl=TTL))
                await site.until(lambda: waits_for_a_connection(site.node, "s-1"))
            link = site.node.links["s-1"]
            self.assertGreater(link.waiting_bytes, 0)
            jump(site.node, 1000)
            late.come_up()
            await site.until(worker.runs)
            self.assertLessEqual(patience(worker, fields), TTL - 1000)
            self.assertEqual(link.waiting_bytes, sum(call.size for call in link.waiting))
            client.close()

    async def test_with_none_left_it_never_leaves(self):
        """Its client is told at once that it never ran, of once-only work too."""
        for type_ in ("plain", "marked", "single"):
            with self.subTest(type_):
                worker, late = ManualWorker("s-1"), LateConnections()
                async with InProcessSite([worker], permissions=CONNECTS) as site:
                    client = Caller(site.address)
                    with late.hold():
                        number = client.call(ask(fn=1, ttl=TTL), type_=type_)
                        await site.until(lambda node=site.node: waits_for_a_connection(node, "s-1"))
                    jump(site.node, TTL)
                    late.come_up()
                    await site.until(client.read, within=1)  # long before its time is up
                    self.assertEqual(client.answers[number][0], "Throttled")
                    await site.turns()
                    self.assertEqual(worker.runs(), [])
                    link = site.node.links["s-1"]
                    self.assertEqual(link.waiting_bytes, sum(call.size for call in link.waiting))
                    self.assertEqual(link.runs, {})
                    client.close()

    async def test_a_second_attempt(self):
        """The other one is out, or was turned away: its worker is told what is left as it goes."""
        for how in ("out", "turned away"):
            with self.subTest(how):
                workers, late = [ManualWorker("s-1"), ManualWorker("s-2")], LateConnections()
                async with InProcessSite(workers, permissions=CONNECTS) as site:
                    client, node = Caller(site.address), site.node
                    client.call(fields := ask(fn=1, ttl=TTL))
                    await site.until(lambda node=node: node.links.in_flight)
                    (act, _), name = next(iter(node.links.in_flight.items()))
                    first, second = workers if name == "s-1" else workers[::-1]
                    await site.until(first.runs)
                    with late.hold():
                        node.links[second.name].give_up("the test has its connections come up late")
                        node.submit(node.outlet.send, act, second.name, 0)
                        if how == "turned away":
                            first.answer(first.runs()[0], type="SHED")
                            await site.until(lambda node=node, act=act: (act, 0) not in node.links.in_flight)
                        await site.until(lambda args=(node, second.name): waits_for_a_connection(*args))
                    jump(node, 1000)
                    late.come_up()
                    await site.until(second.runs)
                    self.assertLessEqual(patience(second, fields), TTL - 1000)
                    client.close()


class WaitsInTheListenQueue(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_lay_there_unread_has_as_much_less_time(self):
        """Guards against a wait in the kernel that is not counted, as the loop itself is in time."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            site.node.loop.remove_reader(site.node.front.listener.sock)
            client = Caller(site.address)
            number = client.call(fields := ask(fn=1, ttl=TTL))
            sent_at = site.node.now()
            await site.until(lambda: site.node.now() - sent_at > 400 * MS)
            looks = site.node.check_count
            await site.until(lambda: site.node.check_count > looks + 1)  # the loop counts as in time
            waited = (site.node.now() - sent_at) // MS
            site.node.loop.add_reader(site.node.front.listener.sock, site.node.front.listener._accept)
            await site.until(worker.runs)
            self.assertLessEqual(patience(worker, fields), TTL - waited + CLOCK_RESOLUTION)
            worker.answer(worker.runs()[0])
            await site.until(lambda: number in client.read())
            client.close()

    async def test_one_whose_time_was_up_there_is_answered_at_once(self):
        """Guards against a client that is answered only after its time, counted anew from the reading."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            site.node.loop.remove_reader(site.node.front.listener.sock)
            client = Caller(site.address)
            client.call(ask(fn=1, ttl=150))
            sent_at = site.node.now()
            await site.until(lambda: site.node.now() - sent_at > 400 * MS)
            site.node.loop.add_reader(site.node.front.listener.sock, site.node.front.listener._accept)
            await site.until(lambda: client.read() or client.ended)
            self.assertEqual(client.answers[1][0], "Throttled")
            self.assertEqual(worker.runs(), [])
            client.close()

    async def test_a_kernel_that_does_not_tell(self):
        """Guards against a request that is lost where the wait can't be asked for."""
        with socket.socket(socket.AF_UNIX) as sock:
            self.assertEqual(sockets.time_since_last_data(sock), 0)


class WaitsBehindAnother(unittest.IsolatedAsyncioTestCase):
    async def _two(self, site, worker):
        """A send whose rest has not left, and one behind it on the only connection."""
        site.node.resource_limits.workers = 1
        clients = [Caller(site.address) for _ in range(2)]
        clients[0].call(first := ask(fn=1, ttl=TTL), b"z" * resource_limits.MAX_BODY)
        await site.until(
            lambda: (
                site.node.links and any(line.stream.writing() for line in site.node.links["s-1"].connections)
            )
        )
        clients[1].call(second := ask(fn=2, ttl=TTL))
        await site.until(lambda: len(site.node.links["s-1"].runs) == 2)
        return clients, first, second

    async def test_the_wait_behind_an_unsent_rest_is_taken_off(self):
        worker = ManualWorker("s-1")
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with (
            mock.patch.object(node_worker.sockets, "new_socket", narrow()),
            mock.patch.object(node_worker, "WRITE_TIMEOUT", SLOW * 1000 * MS),
        ):
            async with InProcessSite([worker], **NO_CANCEL) as site:
                clients, _, second = await self._two(site, worker)
                jump(site.node, 1000)
                await site.until(lambda: second["call"] in ids(worker))
                self.assertLessEqual(patience(worker, second), TTL - 1000)
                for client in clients:
                    client.close()

    async def test_a_rest_that_stays_unsent_never_follows(self):
        """Its worker reads again later: it has not got the whole of it, and what waited behind it is told
        what is left. Its client has an answer."""
        worker = ManualWorker("s-1")
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with mock.patch.object(node_worker.sockets, "new_socket", narrow()):
            async with InProcessSite([worker], **NO_CANCEL) as site:
                clients, _, second = await self._two(site, worker)
                began = site.node.now()
                link = site.node.links["s-1"]
                blocked = next(line for line in link.connections if line.stream.writing())
                await site.until(lambda: blocked not in link.connections)
                await site.until(lambda: second["call"] in ids(worker))
                self.assertLess(patience(worker, second), TTL)
                await site.until(lambda: 1 in clients[0].read())  # and not only when its time is up
                self.assertLess(site.node.now() - began, TTL * MS // 2)
                for client in clients:
                    client.close()

    async def test_a_client_that_leaves_while_its_rest_is_unsent_behind_anothers_open_one(self):
        """Both are on one connection: it is closed all the same, and the other's client gets an answer."""
        worker = ManualWorker("s-1")
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with (
            mock.patch.object(node_worker.sockets, "new_socket", narrow()),
            mock.patch.object(node_worker, "WRITE_TIMEOUT", SLOW * 1000 * MS),
        ):
            async with InProcessSite([worker], **NO_CANCEL, familyInfo={"mayOrder": False}) as site:
                site.node.resource_limits.workers = 1
                stays, gone = Caller(site.address), Caller(site.address)
                number = stays.call(first := ask(fn=1, ttl=TTL), type_="single")
                await site.until(worker.runs)
                gone.call(left := ask(fn=2, ttl=TTL), b"z" * resource_limits.MAX_BODY)
                link = site.node.links["s-1"]
                await site.until(lambda: any(line.stream.writing() for line in link.connections))
                gone.close()
                await site.until(lambda: site.node.pending.counts["left"] == 1)
                for _ in range(50):
                    worker.read()
                    await site.turns()
                self.assertEqual(ids(worker), [first["call"]])
                self.assertNotIn(left["call"], ids(worker))
                await site.until(lambda: number in stays.read())
                self.assertEqual(stays.answers[number][0], "Broken")
                stays.close()


class HeldUp(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_lay_unread_while_the_loop_was_held_up(self):
        """Its client's time runs from its last byte, not from our reading. Failed on the text before."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            client = Caller(site.address)
            client.call(ask(fn=1, ttl=TTL))
            await site.until(worker.runs)
            worker.answer(worker.runs()[0])
            await site.until(client.read)
            client.call(fields := ask(fn=1, ttl=TTL))
            block_loop(0.6)
            await site.until(lambda: len(worker.runs()) == 2)
            self.assertLessEqual(patience(worker, fields), TTL - 600 + SLACK)
            client.close()


class Core:
    """As much of a dispatcher as a link needs."""

    def __init__(self):
        self.time, self.ends, self.reconnects, self.name = 0, [], None, "d"
        self.loop = types.SimpleNamespace(call_soon=lambda *_: None)

    def now(self):
        return self.time

    def submit(self, call, *args):
        call(*args)

    def send_ended(self, act, n, worker, code, *rest):
        self.ends.append((act, code))

    def schedule_checks(self, link):
        pass

    def still_wanted(self, act):
        return True


class OtherLinks(unittest.TestCase):
    TERMS = types.SimpleNamespace(
        connect_within=100, quiet=10**9, queue=1 << 20, frame=1 << 16, order_within=10**9
    )

    def test_the_link_of_the_webhook_dispatcher(self):
        core, written = Core(), []
        link = links_worker.WorkerLink("w", ("h", 1), self.TERMS, lambda: 0.5, core, None)
        link._connect = link.state.on_connecting
        link.run("long", 0, "f", "m", 90, 1, b"x")
        link.run("short", 0, "f", "m", 50, 1, b"x")
        self.assertGreater(link.waiting_bytes, 0)
        core.time = 60
        link.state.on_connected()
        link.state.on_greeting(60, "w", 1)
        link.stream = types.SimpleNamespace(_total_write_index=0)
        link._write = written.append
        link._flush()
        self.assertEqual(core.ends, [("short", ports.EndReason.NOT_SENT)])
        sent = rpc.Reader(1 << 16).feed(b"".join(written))
        self.assertEqual([message[3][:5] for message in sent], [["long", 0, "f", "m", 30]])
        self.assertEqual(link.waiting_bytes, 0)

    def test_a_turn_of_the_loop_between_the_call_and_its_flush(self):
        core, written = Core(), []
        link = links_worker.WorkerLink("w", ("h", 1), self.TERMS, lambda: 0.5, core, None)
        link.state.on_connecting(0)
        link.state.on_connected()
        link.state.on_greeting(0, "w", 1)
        link.stream = types.SimpleNamespace(_total_write_index=0)
        link._write = written.append
        link.run("one", 0, "f", "m", 90, 1, b"x")
        core.time = 40
        link._flush()
        self.assertEqual(rpc.Reader(1 << 16).feed(written[0])[0][3][4], 50)

    def test_the_emulators_link(self):
        core, after = Core(), []
        platform = types.SimpleNamespace(
            after=lambda wait, call, *args: after.append((call, args)),
            is_cut=lambda *_: False,
            way=lambda *_: 1,
        )
        node = types.SimpleNamespace(
            name="w", hall="a", machine=object(), silent=False, booted=1, life=1, links=[]
        )
        link = emulate_link.Link(platform, node, core, "a", self.TERMS, lambda: 0.5)
        link.run("long", 0, "f", "m", 90, 1, b"x")
        link.run("short", 0, "f", "m", 50, 1, b"x")
        core.time = 60
        link._connected(link.attempt)
        self.assertEqual(core.ends, [("short", ports.EndReason.NOT_SENT)])
        self.assertEqual([call.args[1] for call in link.out.values()], [30])


if __name__ == "__main__":
    unittest.main()
