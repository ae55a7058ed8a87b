"""Every request that was read gets its final answer despite faults of its client, too many clients, unread
answers or an event loop that is blocked repeatedly.

The test forces each race, as in `test_crossings`."""

import asyncio
import base64
import contextlib
import select
import socket
import time
import unittest
from unittest import mock

import msgpack
from node_site import ask
from test_client_departure import ids
from test_crossings import Caller, InProcessSite, ManualWorker

from petrelwood.decide.overload import resource_limits
from petrelwood.node import call_request, client_connection, client_listener, loop_lag
from petrelwood.node import exchange as node_exchange
from petrelwood.node import front as node_front


def invalid_requests(first, count):
    """Return requests with an unknown namespace type as their method."""
    return b"".join(msgpack.packb([0, first + n, "nothing", [{}, b""]]) for n in range(count))


def call(number, fields):
    return msgpack.packb([0, number, "plain", [fields, b"x"]])


class BadNeighboursOnTheSameConnection(unittest.IsolatedAsyncioTestCase):
    async def test_good_requests_open_when_the_faults_are_too_many(self):
        """Guards against closing a connection for its faults while requests are open: one is at its worker,
        one is queued, one arrives with the last fault and one after it."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            client = Caller(site.address)
            one_lane = "lanes:1;load_ms:20"
            client.call(ask(fn=1, facts=one_lane))
            await site.until(worker.runs)
            client.call(ask(fn=1, facts=one_lane))
            await site.until(lambda: site.node.intake.unanswered == 2)
            client.sock.sendall(invalid_requests(100, resource_limits.MAX_FAULTS) + call(3, ask(fn=1)))
            checks = site.node.check_count
            await site.until(lambda: site.node.check_count > checks + 3)
            client.sock.sendall(call(4, ask(fn=1)))
            await site.until(lambda: 4 in client.read() or client.ended)
            for number in (1, 2):
                await site.until(lambda number=number: len(worker.runs()) >= number)
                worker.answer(worker.runs()[number - 1])
            await site.until(lambda: {1, 2, 3, 4} <= set(client.read()) or client.ended)
            words = [client.answers[number][0] for number in (1, 2, 3, 4)]
            self.assertEqual(words, ["completed", "completed", "Throttled", "Throttled"])
            await site.until(lambda: client.read() and client.ended)  # then the connection is closed
            self.assertEqual(client.ended, "end")

    async def test_good_requests_open_when_something_can_not_be_read(self):
        """Guards against closing a connection at once after noise or a request with an open message id."""
        noise = b"\xc1\xc1\xc1" + b"\x00" * 40_000
        for what, data in (("noise", noise), ("an open number", call(1, ask(fn=5)))):
            with self.subTest(what):
                worker = ManualWorker("s-1")
                async with InProcessSite([worker]) as site:
                    client = Caller(site.address)
                    client.call(ask(fn=1))
                    client.call(ask(fn=1), type_="single")
                    await site.until(lambda worker=worker: len(worker.runs()) == 2)
                    client.sock.sendall(data)
                    await site.until(lambda client=client: len(client.read()) == 2 or client.ended)
                    self.assertEqual([client.answers[n][0] for n in (1, 2)], ["Broken", "Broken"])
                    await site.until(lambda client=client: client.read() and client.ended)
                    self.assertEqual(len(client.answers), 2)
                    self.assertFalse(site.node.pending.activations)

    async def test_who_is_owed_nothing_is_closed_at_once(self):
        async with InProcessSite([]) as site:
            client = Caller(site.address)
            client.sock.sendall(b"\xc1\xc1\xc1")
            checks = site.node.check_count
            await site.until(lambda: client.read() is not None and client.ended)
            self.assertLessEqual(site.node.check_count, checks + 1)

    async def test_a_request_that_stays_half_beside_good_ones(self):
        """Guards against closing a connection with a partial request while another request is open."""
        worker = ManualWorker("s-1")
        with mock.patch.object(resource_limits, "REQUEST_TIMEOUT", 100_000_000):
            async with InProcessSite([worker]) as site:
                client = Caller(site.address)
                number = client.call(ask(fn=1))
                await site.until(worker.runs)
                client.call(ask(fn=1), part=slice(None, 40))
                checks = site.node.check_count
                await site.until(lambda: site.node.check_count > checks + 5)
                worker.answer(worker.runs()[0])
                await site.until(lambda: number in client.read() or client.ended)
                self.assertEqual(client.answers[number][0], "completed")
                await site.until(lambda: client.read() and client.ended)

    async def test_a_defect_in_reading_one_request(self):
        """Guards against an internal error in one request that affects the others on its connection."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            client = Caller(site.address)
            first = client.call(ask(fn=1))
            await site.until(worker.runs)
            with mock.patch.object(call_request, "decode_call", side_effect=RuntimeError("a defect")):
                second = client.call(ask(fn=1))
                await site.until(lambda: second in client.read() or client.ended)
            worker.answer(worker.runs()[0])
            await site.until(lambda: first in client.read() or client.ended)
            self.assertEqual((client.answers[first][0], client.answers[second][0]), ("completed", "Broken"))
            client.close()


class TooManyClients(unittest.IsolatedAsyncioTestCase):
    async def test_a_new_connection_where_all_others_have_open_requests(self):
        """Guards against closing a new connection beyond the limit before its request is rejected."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            site.node.resource_limits.clients = 2
            busy = [Caller(site.address) for _ in range(2)]
            for client in busy:
                client.call(ask(fn=1, ttl=3900))
            await site.until(lambda: len(worker.runs()) == 2)
            more = [Caller(site.address) for _ in range(3 * node_front.CONNECTIONS_OVER_CAPACITY)]
            for client in more:
                client.call(ask(fn=1, ttl=3900))
            for client in more:
                await site.until(lambda client=client: 1 in client.read() or client.ended)
                self.assertEqual(client.answers[1][0], "Throttled")
                client.close()
            self.assertEqual(len(ids(worker)), 2)
            for run in worker.runs():
                worker.answer(run)
            for client in busy:
                await site.until(lambda client=client: 1 in client.read())
                self.assertEqual(client.answers[1][0], "completed")
                client.close()

    async def test_a_newcomer_for_which_a_rejected_client_could_be_closed(self):
        """Guards against admitting a client beyond the limit because another one beyond it was closed."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            busy = await self.fill(site, worker, 2)
            guests = []
            for _ in range(3 * node_front.CONNECTIONS_OVER_CAPACITY):
                guests.append(await self.rejected(site, worker))
            self.assertEqual(len(site.node.front.clients), 2 + node_front.CONNECTIONS_OVER_CAPACITY)
            for client in (*busy, *guests):
                client.close()

    async def test_a_rejected_client_stays_connected_while_closing_it_would_not_help(self):
        """Guards against closing an idle connection although the new client is rejected all the same."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            busy = await self.fill(site, worker, 2)
            guests = []
            for _ in range(node_front.CONNECTIONS_OVER_CAPACITY):
                guests.append(await self.rejected(site, worker))
            self.assertEqual(site.node.front.counts["evicted"], 0)
            for client in guests:
                client.read()
                self.assertIsNone(client.ended)
            for client in (*busy, *guests):
                client.close()

    async def test_several_idle_clients_make_room_together(self):
        """Guards against rejecting a client although enough idle connections could be closed for it."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            busy = await self.fill(site, worker, 2)
            guest = Caller(site.address)
            guest.call(ask(fn=1, ttl=3900))
            await site.until(lambda: 1 in guest.read() or guest.ended)
            for run in worker.runs():
                worker.answer(run)
            for client in busy:
                await site.until(lambda client=client: 1 in client.read())
            await self.all_at_rest(site, 0)
            late = Caller(site.address)
            late.call(ask(fn=1, ttl=3900))
            await site.until(lambda: len(worker.runs()) == 3)
            worker.answer(worker.runs()[2])
            await site.until(lambda: 1 in late.read() or late.ended)
            self.assertEqual(late.answers[1][0], "completed")
            self.assertEqual(len(site.node.front.clients), 2)
            for client in (*busy, guest, late):
                client.close()

    async def fill(self, site, worker, limit):
        """Open as many clients as the limit allows, each with a request at the worker; return them."""
        site.node.resource_limits.clients = limit
        busy = [Caller(site.address) for _ in range(limit)]
        for client in busy:
            client.call(ask(fn=1, ttl=3900))
        await site.until(lambda: len(worker.runs()) == limit)
        return busy

    async def rejected(self, site, worker):
        """Return a client beyond the limit, once its request was rejected and its connection is idle."""
        runs = len(worker.runs())
        client = Caller(site.address)
        client.call(ask(fn=1, ttl=3900))
        await site.until(lambda: client.read() or client.ended or len(worker.runs()) > runs)
        self.assertEqual(len(worker.runs()), runs)
        self.assertEqual(client.answers[1][0], "Throttled")
        await self.all_at_rest(site, runs)
        return client

    async def all_at_rest(self, site, busy):
        """Wait until every connection except the busy ones could be closed without losing data."""
        front = site.node.front
        await site.until(
            lambda: (
                len(front.clients) - len(front.idle) == busy
                and all(each.is_quiescent() for each in front.idle)
            )
        )

    async def test_a_client_beyond_the_limit_is_admitted_once_the_limit_holds_it(self):
        """Guards against counting a connection against itself when capacity becomes free for it."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            leaves, stays = await self.fill(site, worker, 2)
            guest = await self.rejected(site, worker)
            leaves.close()
            await site.until(lambda: len(site.node.front.clients) == 2)
            number = guest.call(ask(fn=1, ttl=3900))
            await site.until(lambda: number in guest.read() or len(worker.runs()) == 3)
            self.assertEqual(len(worker.runs()), 3)
            worker.answer(worker.runs()[2])
            await site.until(lambda: number in guest.read() or guest.ended)
            self.assertEqual(guest.answers[number][0], "completed")
            stays.close(), guest.close()

    async def test_room_is_made_only_for_who_has_come(self):
        """Guards against closing an idle connection before a new client has connected."""
        async with InProcessSite([]) as site:
            site.node.resource_limits.clients = 2
            clients = []
            for number in (1, 2):
                clients.append(Caller(site.address))
                await site.until(lambda number=number: site.node.front.counts["connections"] == number)
                await site.turns()
            self.assertEqual(site.node.front.counts["evicted"], 0)
            for client in clients:
                client.close()

    async def test_more_than_room_and_guests_wait_to_be_accepted(self):
        """Guards against closing, or polling for, a new client while silent ones use the spare
        connections."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            site.node.resource_limits.clients = 1
            busy = Caller(site.address)
            busy.call(ask(fn=1, ttl=3900))
            await site.until(worker.runs)
            with mock.patch.object(client_connection.ClientConnection, "is_quiescent", lambda self: False):
                guests = [Caller(site.address) for _ in range(node_front.CONNECTIONS_OVER_CAPACITY)]
                late = Caller(site.address)
                late.call(ask(fn=1, ttl=3900))
                await site.until(lambda: site.node.front.listener.paused)
                self.assertEqual(late.read(), {})
                self.assertIsNone(late.ended)
            await site.until(lambda: late.read() or late.ended)
            self.assertEqual(late.answers[1][0], "Throttled")
            for client in (busy, late, *guests):
                client.close()


class AnswersThatNobodyReads(unittest.IsolatedAsyncioTestCase):
    async def test_a_client_that_asks_on_and_reads_nothing(self):
        """Guards against closing a client with open requests because it reads its answers late."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            client = Caller(site.address)
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            await site.until(lambda: site.node.front.clients)
            there = next(iter(site.node.front.clients))
            there.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
            client.sock.setblocking(False)
            body, answered, whole, data = b"y" * resource_limits.MAX_BODY, 0, 0, b""
            large = base64.b64encode(body).decode()

            def work():
                nonlocal answered
                for run in worker.runs()[answered:]:
                    worker.answer(run, data=large)
                    answered += 1

            for _ in range(3):
                end = time.monotonic() + 0.5
                asked = 0
                while time.monotonic() < end:
                    if not data and asked < resource_limits.MAX_OPEN_REQUESTS:
                        asked += 1
                        client.last += 1
                        data = msgpack.packb([0, client.last, "plain", [ask(fn=1, ttl=3900), body]])
                    with contextlib.suppress(BlockingIOError):
                        data = data[client.sock.send(data) :]
                    await asyncio.sleep(0)
                    work()
            whole = client.last - 1 if data else client.last
            self.assertGreater(site.node.pending.counts["completed"], resource_limits.MAX_OPEN_REQUESTS // 2)
            self.assertFalse(there.draining)
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            there.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)

            def all_read():
                work()
                return len(client.read()) >= whole or client.ended

            await site.until(all_read)
            self.assertEqual(set(range(1, whole + 1)) - set(client.answers), set())
            self.assertGreater(whole, resource_limits.MAX_OPEN_REQUESTS)
            client.close()


class HeldUpAgainAndAgain(unittest.IsolatedAsyncioTestCase):
    """Each iteration of the event loop takes long, as on a machine that lacks processor time."""

    def strain(self, site, seconds):
        """Make each iteration of the event loop last `seconds`, until the returned function is called."""
        going = True

        def hold():
            if going:
                time.sleep(seconds)
                site.node.loop.call_soon(hold)

        hold()

        def stop():
            nonlocal going
            going = False

        return stop

    async def test_requests_still_leave_for_their_workers(self):
        """Guards against sends that wait as long as data is read in every iteration of the event loop."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            client, chatty = Caller(site.address), Caller(site.address)
            client.call(ask(fn=1))
            await site.until(worker.runs)
            worker.answer(worker.runs()[0])
            await site.until(client.read)
            going = True

            def talk():
                if going:
                    chatty.sock.send(msgpack.packb([2, "cancel", [999]]))
                    site.node.loop.call_soon(talk)

            talk()
            stop = self.strain(site, 0.12)
            began = time.monotonic()
            number = client.call(ask(fn=1, ttl=3900))
            while time.monotonic() - began < 3.9 and len(worker.runs()) < 2:
                await asyncio.sleep(0)
            took = time.monotonic() - began
            stop()
            going = False
            self.assertEqual(len(worker.runs()), 2)
            self.assertLess(took, 3.0)
            worker.answer(worker.runs()[1])
            await site.until(lambda: number in client.read())
            client.close(), chatty.close()

    async def test_what_is_due_is_answered_before_anything_new_is_taken(self):
        """Guards against a due answer that waits until all unread requests were read."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            waits = Caller(site.address)
            number = waits.call(ask(fn=1, ttl=300))
            await site.until(worker.runs)
            opened = [Caller(site.address) for _ in range(10)]
            await site.until(lambda: len(site.node.front.clients) == 11)
            order, take, answer = [], site.node.admit, node_exchange.Exchange.answer

            def admits(*args):
                order.append("taken")
                time.sleep(0.06)
                take(*args)

            def answers(exchange, *args, **more):
                order.append("answered")
                answer(exchange, *args, **more)

            with (
                mock.patch.object(site.node, "admit", admits),
                mock.patch.object(node_exchange.Exchange, "answer", answers),
            ):
                for client in opened:
                    client.call(ask(fn=2, ttl=3900))
                await site.until(lambda: order.count("taken") == len(opened))
                await site.until(lambda: number in waits.read())
            self.assertLessEqual(order.index("answered"), 7)
            for client in (waits, *opened):
                client.close()

    async def test_connections_that_would_wait_too_long_are_not_accepted(self):
        """Guards against a long listen queue while the loop is repeatedly late, and a short one later."""

        def connected(socks):
            poll = select.poll()
            for sock in socks:
                poll.register(sock, select.POLLOUT)
            return len(poll.poll(100))

        def connect(site):
            socks = [socket.socket() for _ in range(100)]
            for sock in socks:
                self.addCleanup(sock.close)
                sock.setblocking(False)
                sock.connect_ex(site.address)
            return socks

        async with InProcessSite([]) as site:
            stop = self.strain(site, 0.15)
            checks = site.node.check_count
            await site.until(lambda: site.node.check_count > checks + 2 * loop_lag.LATE_CHECKS)
            self.assertLessEqual(connected(connect(site)), 4 * client_listener.SHORT_BACKLOG)
            stop()
            await site.until(lambda: not site.node.front.listener.shedding)
            await site.turns()
            self.assertEqual(connected(connect(site)), 100)

    async def test_accepting_does_not_keep_answers_waiting(self):
        """Guards against answers delayed by connections that take long to accept."""
        async with InProcessSite([]) as site:
            made, most, turn = node_front.Stream, 0, []

            def slowly(*args, **more):
                time.sleep(0.004)
                turn.append(1)
                return made(*args, **more)

            accept = site.node.front.listener._accept
            site.node.loop.remove_reader(site.node.front.listener.sock)

            def accepts():
                nonlocal most
                turn.clear()
                accept()
                most = max(most, len(turn))

            site.node.loop.add_reader(site.node.front.listener.sock, accepts)
            with mock.patch.object(node_front, "Stream", slowly):
                clients = [Caller(site.address) for _ in range(20)]
                await site.until(lambda: len(site.node.front.clients) == 20)
            self.assertLessEqual(most, 2)
            for client in clients:
                client.close()


if __name__ == "__main__":
    unittest.main()
