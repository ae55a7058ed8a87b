"""A client that closes its connection or cancels has gone: no send, first or further, begins more than 0.1 s
later.

The crossing is forced as in `test_crossings`: the end lies unread behind what lets the send go, and the loop
is held up. No time is measured: what its client's end precedes never leaves. Each test was shown to fail on
the text before (d60e4e0), which went by the time since its last look, or on the broken dispatcher that it
names."""

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

WAYS = ("end", "reset", "cancel")
ONE_LANE = "lanes:1;load_ms:20"
HOLDS = ((0.03,), (0.06,), (0.09,), (0.09, 0.09))  # s, each within what was once taken for no hold-up


def ids(worker):
    """Of the activations that have reached a worker, in their order."""
    return [said["req"] for _, said in worker.runs()]


async def held_up_twice(first, *more):
    """The loop stands still, and again when it has been told what came but has not read it."""
    block_loop(first)
    await asyncio.sleep(0)
    for seconds in more:
        asyncio.get_running_loop().call_soon(time.sleep, seconds)


async def after_a_look(site):
    """The moment from which the longest is left until the next look."""
    looks = site.node.check_count
    await site.until(lambda: site.node.check_count > looks)


def leaving_first(client, how):
    """`NodeLink._on_connected` that comes as the client of the send that waits for the connection leaves."""
    up, left = link.NodeLink._on_connected, []

    def late(self, line):
        if self.runs and not left:
            left.append(how)
            client.close(how)
            block_loop(0.06)
        up(self, line)

    return late


def sending_again(node, worker):
    """`Node.send_ended` that decides on a further send to `worker`, as the module may."""
    send_ended = node.send_ended

    def again(act, *rest):
        node.outlet.send(act, worker, 0)
        send_ended(act, *rest)

    return again


class EndUnread(unittest.IsolatedAsyncioTestCase):
    async def test_behind_the_answer_that_frees_its_lane(self):
        for how in WAYS:
            for holds in HOLDS:
                with self.subTest(how, holds=holds):
                    worker = ManualWorker("s-1")
                    async with InProcessSite([worker]) as site:
                        first, gone = Caller(site.address), Caller(site.address)
                        first.call(ask(fn=1, facts=ONE_LANE))
                        await site.until(worker.runs)
                        gone.call(left := ask(fn=1, facts=ONE_LANE))
                        await site.until(lambda: site.node.intake.unanswered == 2)
                        await after_a_look(site)
                        worker.answer(worker.runs()[0])
                        gone.close(how)
                        await held_up_twice(*holds)
                        await site.until(lambda: site.node.pending.counts["left"] == 1)
                        await site.turns()
                        self.assertNotIn(left["call"], ids(worker))
                        first.close()

    async def test_behind_the_connection_that_its_first_send_waits_for(self):
        for how in WAYS:
            with self.subTest(how):
                worker = ManualWorker("s-1")
                async with InProcessSite([worker], **NO_CANCEL) as site:
                    gone = Caller(site.address)
                    with mock.patch.object(link.NodeLink, "_on_connected", leaving_first(gone, how)):
                        gone.call(left := ask(fn=1))
                        await site.until(lambda: site.node.pending.counts["left"] == 1)
                    await site.turns()
                    self.assertNotIn(left["call"], ids(worker))

    async def test_behind_its_own_request(self):
        """Both lie unread when the loop goes on, in one reading for a cancel."""
        for how in WAYS:
            with self.subTest(how):
                worker = ManualWorker("s-1")
                async with InProcessSite([worker]) as site:
                    stays, gone = Caller(site.address), Caller(site.address)
                    stays.call(ask(fn=1))
                    await site.until(worker.runs)  # a connection is up, and another one rests
                    worker.answer(worker.runs()[0])
                    await site.until(stays.read)
                    gone.call(left := ask(fn=1))
                    gone.close(how)
                    await held_up_twice(0.06)
                    await site.turns()
                    stays.call(kept := ask(fn=1))
                    await site.until(lambda kept=kept, worker=worker: kept["call"] in ids(worker))
                    self.assertNotIn(left["call"], ids(worker))
                    stays.close()

    async def test_behind_the_answer_that_asks_for_a_further_send(self):
        """The first worker turns it away. Its client leaves, and the send to the second one is decided before
        that is read."""
        for how in WAYS:
            for holds in HOLDS:
                with self.subTest(how, holds=holds):
                    workers = [ManualWorker("s-1"), ManualWorker("s-2")]
                    quiet = {"permissions": {"probes": False}, "loadInfo": {"how": "silent"}}
                    async with InProcessSite(workers, **quiet) as site:
                        client = Caller(site.address)
                        for worker in workers:  # a connection to each is up
                            site.node.submit(site.node.outlet.check_health, worker.name)
                            await site.until(worker.read)
                            worker.write(0, {"type": "PONG", "req": worker.read()[0][1]["req"], "meta": {}})
                        await site.until(
                            lambda: not any(each.has_open_calls() for each in site.node.links.values())
                        )
                        client.call(left := ask(fn=1))
                        await site.until(lambda each=workers: each[0].runs() or each[1].runs())
                        first, second = workers if workers[0].runs() else workers[::-1]
                        await after_a_look(site)
                        again = sending_again(site.node, second.name)
                        with mock.patch.object(site.node, "send_ended", again):
                            first.answer(first.runs()[0], type="SHED")
                            client.close(how)
                            await held_up_twice(*holds)
                            await site.until(lambda: site.node.pending.counts["left"] == 1)
                        await site.turns()
                        self.assertNotIn(left["call"], ids(second))


class Waits(unittest.IsolatedAsyncioTestCase):
    async def test_behind_another_send_whose_worker_does_not_read(self):
        """All descriptors are used up, so sends share a connection. One that waits for room in the machine's
        hands would begin whenever the worker reads again."""
        worker, fresh = ManualWorker("s-1"), sockets.new_socket
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

        def narrow(host, kind=socket.SOCK_STREAM):
            sock = fresh(host, kind)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return sock

        with (
            mock.patch.object(link.sockets, "new_socket", narrow),
            # on a busy machine it waits longer
            mock.patch.object(link, "WRITE_TIMEOUT", SLOW * 1_000_000_000),
        ):
            async with InProcessSite([worker], **NO_CANCEL) as site:
                site.node.resource_limits.workers = 1
                stays, gone = Caller(site.address), Caller(site.address)
                stays.call(first := ask(fn=1), b"z" * resource_limits.MAX_BODY)
                await site.until(
                    lambda: (
                        site.node.links
                        and any(line.stream.writing() for line in site.node.links["s-1"].connections)
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
        """Nothing of it is read any more, so neither is its cancel."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            first, bad = Caller(site.address), Caller(site.address)
            first.call(ask(fn=1, facts=ONE_LANE))
            await site.until(worker.runs)
            bad.call(left := ask(fn=1, facts=ONE_LANE))
            await site.until(lambda: site.node.intake.unanswered == 2)
            with mock.patch.object(
                site.node.front, "check"
            ):  # it ends its connection, if it reads, at a look
                wrongs = [
                    msgpack.packb([0, 2 + n, "nothing", [{}, b""]]) for n in range(resource_limits.MAX_FAULTS)
                ]
                bad.sock.sendall(b"".join(wrongs) + msgpack.packb([2, "cancel", [1]]))
                await site.until(lambda: any(client.draining for client in site.node.front.clients))
                worker.answer(worker.runs()[0])
                await site.until(lambda: site.node.pending.counts["completed"] == 1)
                await site.turns()
                self.assertEqual(len(ids(worker)), 1)
            await site.until(lambda: bad.read() is not None and bad.ended)
            self.assertNotIn(left["call"], ids(worker))
            first.close()

    async def test_who_never_stops_sending_is_served(self):
        """Something of it lies unread at each look. What it had sent at the first one is read at the second
        reading, so its sends leave. Fails on a dispatcher that waits until nothing lies unread."""
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
