"""After a client closes its connection or cancels, no attempt for it begins more than 0.1 s later.

The crossing is forced as in `test_crossings`: while the event loop is blocked, the departure is still unread
behind the event that triggers the send. No time is measured: a send that the client's departure precedes must
never leave. Each test fails on the version before (d60e4e0), which relied on the time since its last check,
or on the broken dispatcher that it names."""

import asyncio
import contextlib
import socket
import time
import unittest
from unittest import mock

import msgpack
from node_site import ask
from test_crossings import NO_CANCEL, SLOW, Caller, InProcessSite, ManualWorker, block_loop

from petrelwood.decide.overload import resource_limits
from petrelwood.links import sockets
from petrelwood.node import worker as link

DEPARTURES = ("end", "reset", "cancel")
ONE_LANE = "lanes:1;load_ms:20"
# Durations in s for which the loop is blocked; the version before did not recognise any of them as blocked.
BLOCKINGS = ((0.03,), (0.06,), (0.09,), (0.09, 0.09))


def ids(worker):
    """Return the ids of the activations that have reached a worker, in order."""
    return [said["req"] for _, said in worker.runs()]


async def block_repeatedly(first, *more):
    """Block the event loop, and again after it was notified of incoming data but before it reads them."""
    block_loop(first)
    await asyncio.sleep(0)
    for seconds in more:
        asyncio.get_running_loop().call_soon(time.sleep, seconds)


async def after_next_check(site):
    """Wait for the next periodic check, so that the time until the following one is longest."""
    checks = site.node.check_count
    await site.until(lambda: site.node.check_count > checks)


def depart_before_connected(client, how):
    """Return a `NodeLink._on_connected` before which the client of the send that waits for it departs."""
    on_connected, departed = link.NodeLink._on_connected, []

    def after_departure(self, line):
        if self.runs and not departed:
            departed.append(how)
            client.close(how)
            block_loop(0.06)
        on_connected(self, line)

    return after_departure


def send_again_to(node, worker):
    """Return a `Node.send_ended` that also sends to `worker`, as the decision module may decide."""
    send_ended = node.send_ended

    def again(act, *rest):
        node.outlet.send(act, worker, 0)
        send_ended(act, *rest)

    return again


class EndUnread(unittest.IsolatedAsyncioTestCase):
    async def test_behind_the_answer_that_frees_its_lane(self):
        for how in DEPARTURES:
            for durations in BLOCKINGS:
                with self.subTest(how, durations=durations):
                    worker = ManualWorker("s-1")
                    async with InProcessSite([worker]) as site:
                        first, gone = Caller(site.address), Caller(site.address)
                        first.call(ask(fn=1, facts=ONE_LANE))
                        await site.until(worker.runs)
                        gone.call(left := ask(fn=1, facts=ONE_LANE))
                        await site.until(lambda: site.node.intake.unanswered == 2)
                        await after_next_check(site)
                        worker.answer(worker.runs()[0])
                        gone.close(how)
                        await block_repeatedly(*durations)
                        await site.until(lambda: site.node.pending.counts["left"] == 1)
                        await site.turns()
                        self.assertNotIn(left["call"], ids(worker))
                        first.close()

    async def test_behind_the_connection_that_its_first_send_waits_for(self):
        for how in DEPARTURES:
            with self.subTest(how):
                worker = ManualWorker("s-1")
                async with InProcessSite([worker], **NO_CANCEL) as site:
                    gone = Caller(site.address)
                    with mock.patch.object(
                        link.NodeLink, "_on_connected", depart_before_connected(gone, how)
                    ):
                        gone.call(left := ask(fn=1))
                        await site.until(lambda: site.node.pending.counts["left"] == 1)
                    await site.turns()
                    self.assertNotIn(left["call"], ids(worker))

    async def test_behind_its_own_request(self):
        """Request and departure are both unread when the loop continues; a cancel comes in the same read."""
        for how in DEPARTURES:
            with self.subTest(how):
                worker = ManualWorker("s-1")
                async with InProcessSite([worker]) as site:
                    stays, gone = Caller(site.address), Caller(site.address)
                    stays.call(ask(fn=1))
                    await site.until(worker.runs)  # a connection is established, and another one is idle
                    worker.answer(worker.runs()[0])
                    await site.until(stays.read)
                    gone.call(left := ask(fn=1))
                    gone.close(how)
                    await block_repeatedly(0.06)
                    await site.turns()
                    stays.call(kept := ask(fn=1))
                    await site.until(lambda kept=kept, worker=worker: kept["call"] in ids(worker))
                    self.assertNotIn(left["call"], ids(worker))
                    stays.close()

    async def test_behind_the_answer_that_asks_for_a_further_send(self):
        """The first worker rejects the send. The client departs, and the send to the second worker is decided
        before the departure is read."""
        for how in DEPARTURES:
            for durations in BLOCKINGS:
                with self.subTest(how, durations=durations):
                    workers = [ManualWorker("s-1"), ManualWorker("s-2")]
                    quiet = {"permissions": {"probes": False}, "loadInfo": {"how": "silent"}}
                    async with InProcessSite(workers, **quiet) as site:
                        client = Caller(site.address)
                        for worker in workers:  # establish a connection to each
                            site.node.submit(site.node.outlet.check_health, worker.name)
                            await site.until(worker.read)
                            worker.write(0, {"type": "PONG", "req": worker.read()[0][1]["req"], "meta": {}})
                        await site.until(
                            lambda: not any(each.has_open_calls() for each in site.node.links.values())
                        )
                        client.call(left := ask(fn=1))
                        await site.until(lambda each=workers: each[0].runs() or each[1].runs())
                        first, second = workers if workers[0].runs() else workers[::-1]
                        await after_next_check(site)
                        again = send_again_to(site.node, second.name)
                        with mock.patch.object(site.node, "send_ended", again):
                            first.answer(first.runs()[0], type="SHED")
                            client.close(how)
                            await block_repeatedly(*durations)
                            await site.until(lambda: site.node.pending.counts["left"] == 1)
                        await site.turns()
                        self.assertNotIn(left["call"], ids(second))


class Waits(unittest.IsolatedAsyncioTestCase):
    async def test_behind_another_send_whose_worker_does_not_read(self):
        """All descriptors are used up, so sends share a connection. A send that waits for room in the send
        buffer of the kernel would begin whenever the worker reads again."""
        worker, fresh = ManualWorker("s-1"), sockets.new_socket
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

        def small_send_buffer(host, kind=socket.SOCK_STREAM):
            sock = fresh(host, kind)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return sock

        with (
            mock.patch.object(link.sockets, "new_socket", small_send_buffer),
            # a long timeout, so that a busy machine does not trigger it
            mock.patch.object(link, "WRITE_TIMEOUT", SLOW * 1_000_000_000),
        ):
            async with InProcessSite([worker], **NO_CANCEL) as site:
                site.node.resource_limits.workers = 1
                stays, gone = Caller(site.address), Caller(site.address)
                stays.call(first := ask(fn=1), b"z" * resource_limits.MAX_BODY)
                await site.until(
                    lambda: (
                        site.node.links
                        and any(
                            connection.stream.writing() for connection in site.node.links["s-1"].connections
                        )
                    )
                )
                gone.call(ask(fn=2))
                await site.until(lambda: len(site.node.links["s-1"].runs) == 2)
                stays.call(third := ask(fn=3))
                await site.until(lambda: len(site.node.links["s-1"].runs) == 3)
                gone.close()
                await site.until(lambda: site.node.pending.counts["left"] == 1)
                await site.until(lambda: third["call"] in ids(worker))
                await site.turns()
                self.assertEqual(ids(worker), [first["call"], third["call"]])
                stays.close()

    async def test_who_is_closed_for_its_faults_has_gone(self):
        """Nothing more is read from the client, and so neither is its cancel."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            first, bad = Caller(site.address), Caller(site.address)
            first.call(ask(fn=1, facts=ONE_LANE))
            await site.until(worker.runs)
            bad.call(left := ask(fn=1, facts=ONE_LANE))
            await site.until(lambda: site.node.intake.unanswered == 2)
            # without the check that would end the connection of a client that reads
            with mock.patch.object(site.node.front, "check"):
                malformed = [
                    msgpack.packb([0, 2 + n, "nothing", [{}, b""]]) for n in range(resource_limits.MAX_FAULTS)
                ]
                bad.sock.sendall(b"".join(malformed) + msgpack.packb([2, "cancel", [1]]))
                await site.until(lambda: any(client.draining for client in site.node.front.clients))
                worker.answer(worker.runs()[0])
                await site.until(lambda: site.node.pending.counts["completed"] == 1)
                await site.turns()
                self.assertEqual(len(ids(worker)), 1)
            await site.until(lambda: bad.read() is not None and bad.ended)
            self.assertNotIn(left["call"], ids(worker))
            first.close()

    async def test_who_never_stops_sending_is_served(self):
        """Data of the client are unread at each check. The data sent before the first check are read at the
        second read, so the client's sends leave. Fails on a dispatcher that waits until nothing is unread."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            chatty, talks = Caller(site.address), True
            nothing = msgpack.packb([2, "cancel", [999]])

            def talk():
                with contextlib.suppress(OSError):
                    chatty.sock.send(nothing, socket.MSG_DONTWAIT)
                if talks:
                    site.node.loop.call_soon(talk)

            talk()
            for number in range(1, 4):
                chatty.last = number - 1
                chatty.call(ask(fn=1, ttl=3900))
                await site.until(lambda number=number: len(worker.runs()) == number)
                worker.answer(worker.runs()[-1])
                await site.until(lambda number=number: number in chatty.read())
                self.assertEqual(chatty.answers[number], ("completed", b"x"))
            talks = False
            chatty.close()
