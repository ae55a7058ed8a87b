"""A worker is told the time that the client has left when the frame is written, within 0.15 s. A send without
any time left is never written, which proves that it never ran.

Waits are forced by advancing the clock before the connection is established, the unsent data ahead leave, or
the loop continues. Each test fails on the version before (668305e), which encoded the frame of a send when it
was queued, except those that name the broken dispatcher that they fail on."""

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
CLOCK_RESOLUTION = 15  # ms, for the ticks of the kernel and its rounding
LONG_CONNECT_TIMEOUT = {"cancelling": False, "connectTimeout": 20_000_000}


def advance_clock(node, milliseconds):
    """Advance the dispatcher's clock at once."""
    now = node.now
    node.now = lambda: now() + milliseconds * MS


def small_send_buffer(fresh=sockets.new_socket):
    """Return a `sockets.new_socket` whose sockets have small send buffers."""

    def made(host, kind=socket.SOCK_STREAM):
        sock = fresh(host, kind)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        return sock

    return made


class LateConnections:
    """Delays the establishment of connections to workers until the test calls `establish`."""

    def __init__(self):
        self.on_connected = node_worker.NodeLink._on_connected
        self.waiting = []

    def hold(self):
        def wait(*args):
            self.waiting.append(args)

        return mock.patch.object(node_worker.NodeLink, "_on_connected", wait)

    def establish(self):
        for args in self.waiting:
            self.on_connected(*args)


def is_waiting_for_connection(node, name):
    """Whether a send to this worker waits, and only the test delays the connections that were begun."""
    link = node.links.get(name)
    return link and link.runs and link.waiting and len(link.connections) == link.connecting


def patience(worker, fields):
    """Return the patience that a worker got with a request, ms; None if it did not get the request."""
    return next(
        (said["meta"]["patience"] for _, said in worker.runs() if said["req"] == fields["call"]), None
    )


class WaitsForItsConnection(unittest.IsolatedAsyncioTestCase):
    async def test_the_wait_is_taken_off(self):
        worker, late = ManualWorker("s-1"), LateConnections()
        async with InProcessSite([worker], permissions=LONG_CONNECT_TIMEOUT) as site:
            client = Caller(site.address)
            with late.hold():
                client.call(fields := ask(fn=1, ttl=TTL))
                await site.until(lambda: is_waiting_for_connection(site.node, "s-1"))
            link = site.node.links["s-1"]
            self.assertGreater(link.waiting_bytes, 0)
            advance_clock(site.node, 1000)
            late.establish()
            await site.until(worker.runs)
            self.assertLessEqual(patience(worker, fields), TTL - 1000)
            self.assertEqual(link.waiting_bytes, sum(call.size for call in link.waiting))
            client.close()

    async def test_with_none_left_it_never_leaves(self):
        """The client is told at once that the activation never ran, also for once-only activations."""
        for type_ in ("plain", "marked", "single"):
            with self.subTest(type_):
                worker, late = ManualWorker("s-1"), LateConnections()
                async with InProcessSite([worker], permissions=LONG_CONNECT_TIMEOUT) as site:
                    client = Caller(site.address)
                    with late.hold():
                        number = client.call(ask(fn=1, ttl=TTL), type_=type_)
                        await site.until(lambda node=site.node: is_waiting_for_connection(node, "s-1"))
                    advance_clock(site.node, TTL)
                    late.establish()
                    await site.until(client.read, within=1)  # long before its deadline
                    self.assertEqual(client.answers[number][0], "Throttled")
                    await site.turns()
                    self.assertEqual(worker.runs(), [])
                    link = site.node.links["s-1"]
                    self.assertEqual(link.waiting_bytes, sum(call.size for call in link.waiting))
                    self.assertEqual(link.runs, {})
                    client.close()

    async def test_a_second_attempt(self):
        """The first attempt is in flight or was rejected; the second carries the time left as it is sent."""
        for how in ("out", "turned away"):
            with self.subTest(how):
                workers, late = [ManualWorker("s-1"), ManualWorker("s-2")], LateConnections()
                async with InProcessSite(workers, permissions=LONG_CONNECT_TIMEOUT) as site:
                    client, node = Caller(site.address), site.node
                    client.call(fields := ask(fn=1, ttl=TTL))
                    await site.until(lambda node=node: node.links.in_flight)
                    (act, _), name = next(iter(node.links.in_flight.items()))
                    first, second = workers if name == "s-1" else workers[::-1]
                    await site.until(first.runs)
                    with late.hold():
                        node.links[second.name].give_up("the test delays its connections")
                        node.submit(node.outlet.send, act, second.name, 0)
                        if how == "turned away":
                            first.answer(first.runs()[0], type="SHED")
                            await site.until(lambda node=node, act=act: (act, 0) not in node.links.in_flight)
                        await site.until(lambda args=(node, second.name): is_waiting_for_connection(*args))
                    advance_clock(node, 1000)
                    late.establish()
                    await site.until(second.runs)
                    self.assertLessEqual(patience(second, fields), TTL - 1000)
                    client.close()


class WaitsInTheListenQueue(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_lay_there_unread_has_as_much_less_time(self):
        """Guards against not counting a wait in the kernel because the loop itself is in time."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            site.node.loop.remove_reader(site.node.front.listener.sock)
            client = Caller(site.address)
            number = client.call(fields := ask(fn=1, ttl=TTL))
            sent_at = site.node.now()
            await site.until(lambda: site.node.now() - sent_at > 400 * MS)
            checks = site.node.check_count
            await site.until(lambda: site.node.check_count > checks + 1)  # the loop counts as in time
            waited = (site.node.now() - sent_at) // MS
            site.node.loop.add_reader(site.node.front.listener.sock, site.node.front.listener._accept)
            await site.until(worker.runs)
            self.assertLessEqual(patience(worker, fields), TTL - waited + CLOCK_RESOLUTION)
            worker.answer(worker.runs()[0])
            await site.until(lambda: number in client.read())
            client.close()

    async def test_one_whose_time_was_up_there_is_answered_at_once(self):
        """Guards against an answer after the client's deadline because its time is counted from the read."""
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
        """Guards against losing a request if the kernel does not report the wait."""
        with socket.socket(socket.AF_UNIX) as sock:
            self.assertEqual(sockets.time_since_last_data(sock), 0)


class WaitsBehindAnother(unittest.IsolatedAsyncioTestCase):
    async def _begin_two(self, site, worker):
        """Begin a send that is partly unsent, and one queued behind it on the only connection."""
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
            mock.patch.object(node_worker.sockets, "new_socket", small_send_buffer()),
            mock.patch.object(node_worker, "WRITE_TIMEOUT", SLOW * 1000 * MS),
        ):
            async with InProcessSite([worker], **NO_CANCEL) as site:
                clients, _, second = await self._begin_two(site, worker)
                advance_clock(site.node, 1000)
                await site.until(lambda: second["call"] in ids(worker))
                self.assertLessEqual(patience(worker, second), TTL - 1000)
                for client in clients:
                    client.close()

    async def test_a_rest_that_stays_unsent_never_follows(self):
        """The worker reads again later: it does not get the rest of the frame, and the send queued behind it
        leaves with the time left. The client of the first send gets an answer."""
        worker = ManualWorker("s-1")
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with mock.patch.object(node_worker.sockets, "new_socket", small_send_buffer()):
            async with InProcessSite([worker], **NO_CANCEL) as site:
                clients, _, second = await self._begin_two(site, worker)
                began = site.node.now()
                link = site.node.links["s-1"]
                blocked = next(line for line in link.connections if line.stream.writing())
                await site.until(lambda: blocked not in link.connections)
                await site.until(lambda: second["call"] in ids(worker))
                self.assertLess(patience(worker, second), TTL)
                await site.until(lambda: 1 in clients[0].read())  # and not only at its deadline
                self.assertLess(site.node.now() - began, TTL * MS // 2)
                for client in clients:
                    client.close()

    async def test_a_client_that_leaves_while_its_rest_is_unsent_behind_anothers_open_one(self):
        """Both sends share a connection: it is closed nevertheless, and the other client gets an answer."""
        worker = ManualWorker("s-1")
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        with (
            mock.patch.object(node_worker.sockets, "new_socket", small_send_buffer()),
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
        """The client's time runs from the arrival of the last byte, not from the read of the dispatcher."""
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
    """The parts of a dispatcher that a link needs."""

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

    def may_attempt_leave(self, act, n, worker):
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
            path_delay=lambda *_: 1,
        )
        node = types.SimpleNamespace(
            name="w", zone="a", machine=object(), silent=False, booted=1, incarnation=1, links=[]
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
