"""Races between the dispatcher, its clients and its workers on real sockets, each forced by the test.

The dispatcher runs in the event loop of the test (`InProcessSite`), and its peers are plain sockets that the
test reads and writes itself. Whatever the test does between two awaits has happened, in that order, when the
event loop continues. `block_loop` blocks the event loop, as a stopped process does."""

import asyncio
import contextlib
import copy
import json
import os
import pathlib
import resource
import signal
import socket
import struct
import sys
import time
import unittest
from unittest import mock

import msgpack
from free_ports import free_port
from node_site import ROOT, SETTINGS, Roster, Site, Worker, ask, hit

from petrelwood.decide.overload import resource_limits
from petrelwood.dispatch import event_queue
from petrelwood.links import sockets
from petrelwood.node import configuration
from petrelwood.node import worker as link
from petrelwood.node.service import Node

SLOW = 30  # seconds that anything may take on a busy machine before the test fails


def settings(**changes):
    """Return SETTINGS with changes of its parts, as in permissions={...}; those of a list apply to each
    member."""
    made = copy.deepcopy(SETTINGS)
    for part, values in changes.items():
        for one in made[part] if isinstance(made[part], list) else (made[part],):
            one.update(values)
    return made


class RecordingLog:
    """A logger that keeps its lines in a list."""

    def __init__(self, lines):
        self.lines = lines

    def info(self, event, **fields):
        self.lines.append(f"{event} {fields}")

    warning = error = info


class InProcessSite(Site):
    """A dispatcher with scripted peers, all in the event loop of the test."""

    def __init__(self, workers, **changes):
        super().__init__(workers, **settings(**changes))

    async def start(self):
        self.node = Node(configuration.read(self.environ(self.write())), RecordingLog(self.log))
        self.node.begin()

    async def until(self, what, within=SLOW):
        end = time.monotonic() + within
        while not what():
            if time.monotonic() > end:
                raise AssertionError(f"it did not come; the log: {self.log[-20:]}")
            await asyncio.sleep(0.005)

    async def turns(self, count=20):
        """Run `count` iterations of the event loop, so that all arrived data is read, without waiting for a
        clock."""
        for _ in range(count):
            await asyncio.sleep(0)

    async def second(self, client, number, worker):
        """Answer the second activation at the worker; return the answer that its client gets."""
        await self.until(lambda: len(worker.runs()) == 2)
        worker.answer(worker.runs()[1])
        await self.until(lambda: number in client.read())
        return client.answers[number]

    async def __aexit__(self, *_):
        node = self.node
        node.front.stop()
        node.next_check.cancel()
        node.roster.close()
        for link in node.links.values():
            link.waiting.clear()
            link.give_up("the test is over")
        for worker in self.workers:
            await worker.close()
        self.roster.transport.close()
        self.folder.cleanup()
        await self.turns()


def block_loop(seconds=0.35):
    """Block the event loop, by default longer than a send may follow the departure of its client."""
    time.sleep(seconds)


@contextlib.contextmanager
def no_descriptors():
    """Use up the descriptors of this process, and so those of the dispatcher in it."""
    before, spare = resource.getrlimit(resource.RLIMIT_NOFILE), []
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))), before[1]))
        with contextlib.suppress(OSError):
            while True:
                spare.append(os.dup(0))
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)
        for number in spare:
            os.close(number)


class Caller:
    """A client on a plain socket."""

    def __init__(self, address):
        self.sock, self.last = socket.create_connection(address), 0
        self.unpacker, self.answers, self.ended = msgpack.Unpacker(raw=False), {}, None

    def call(self, fields, body=b"x", type_="plain", part=slice(None)):
        """Send a request, or a part of its bytes; return its message id."""
        if part.start is None:
            self.last += 1
        self.sock.sendall(msgpack.packb([0, self.last, type_, [fields, body]])[part])
        return self.last

    def cancel(self, *numbers):
        self.sock.sendall(msgpack.packb([2, "cancel", list(numbers)]))

    def close(self, how="end"):
        """Close the connection ('end'), reset it ('reset'), or cancel all requests on it ('cancel')."""
        if how == "cancel":
            self.cancel(*range(1, self.last + 1))
            return
        if how == "reset":
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()

    def read(self):
        """Read received data; return all answers so far: message id -> ("completed" or error, body or
        fields)."""
        with contextlib.suppress(BlockingIOError):
            while self.ended is None:
                try:
                    data = self.sock.recv(65536, socket.MSG_DONTWAIT)
                except ConnectionError:
                    self.ended = "reset"
                    break
                if not data:
                    self.ended = "end"
                    break
                self.unpacker.feed(data)
                for _, number, error, result in self.unpacker:
                    if number in self.answers:
                        raise AssertionError(f"a second answer to {number}")
                    self.answers[number] = ("completed", result[0]) if error is None else (error[0], error[1])
        return self.answers


class ManualWorker:
    """A worker on plain sockets that does nothing by itself. `narrow`: its listen queue is full until
    `open_queue`."""

    def __init__(self, name, narrow=False):
        self.name, self.sock, self.fillers, self.lines, self.ended = name, socket.socket(), [], [], 0
        self.sock.bind(("127.0.0.1", 0))
        self.port = self.sock.getsockname()[1]
        self.sock.listen(0 if narrow else 64)
        if narrow:  # the queue holds one connection more than its size
            self.fillers = [socket.create_connection(self.sock.getsockname())]
        self.sock.setblocking(False)
        self.conns = []

    async def open(self):
        pass

    async def close(self):
        for sock in (self.sock, *self.fillers, *(conn for conn, _ in self.conns)):
            sock.close()

    def open_queue(self):
        """Make room in the listen queue; earlier connection attempts succeed when the kernel retries them."""
        self.sock.listen(64)

    def read(self):
        """Accept connections and read received data; return (connection, command) of all commands so far."""
        with contextlib.suppress(BlockingIOError):
            while True:
                conn, sender = self.sock.accept()
                if any(filler.getsockname() == sender for filler in self.fillers):
                    conn.close()
                    continue
                conn.setblocking(False)
                self.conns.append((conn, [b""]))
        for number, (conn, rest) in enumerate(self.conns):
            with contextlib.suppress(BlockingIOError, ConnectionError, OSError):
                while data := conn.recv(65536):
                    *whole, rest[0] = (rest[0] + data).split(b"\n")
                    self.lines += [(number, json.loads(line)) for line in whole]
        return self.lines

    def runs(self):
        """Return (connection, command) of each activation that has arrived completely."""
        return [(number, said) for number, said in self.read() if said["type"] == "FN"]

    def orders(self):
        return [(number, said) for number, said in self.read() if said["type"] == "SPAWN"]

    def write(self, number, data):
        self.conns[number][0].sendall(data if isinstance(data, bytes) else json.dumps(data).encode() + b"\n")

    def answer(self, run, **changes):
        self.write(run[0], {**hit(run[1]), **changes})

    def reset(self, number):
        conn = self.conns[number][0]
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.close()


NO_CANCEL = {"permissions": {"cancelling": False}}


class ClientGone(unittest.IsolatedAsyncioTestCase):
    """Activations whose client has left are not sent, wherever they wait: rule 1 forbids sends after the
    end."""

    async def test_while_its_send_waits_for_a_connection(self):
        """Withdrawing an unsent attempt needs no permission to cancel; these settings give none."""
        for how in ("end", "reset", "cancel"):
            with self.subTest(how):
                worker = ManualWorker("s-1", narrow=True)
                async with InProcessSite(
                    [worker], permissions={"cancelling": False, "connectTimeout": 20_000_000}
                ) as site:
                    gone, stays = Caller(site.address), Caller(site.address)
                    left, kept = ask(fn=1, ttl=3900), ask(fn=2, ttl=3900)
                    gone.call(left)
                    await site.until(lambda: site.node.links and site.node.links["s-1"].waiting)
                    stays.call(kept)
                    await site.until(lambda: len(site.node.links["s-1"].runs) == 2)
                    gone.close(how)
                    await site.until(lambda: site.node.pending.counts["left"] == 1)
                    worker.open_queue()
                    await site.until(worker.runs)
                    await site.turns()
                    self.assertEqual([said["req"] for _, said in worker.runs()], [kept["call"]])
                    stays.close()

    async def test_while_it_is_held(self):
        for how in ("end", "reset", "cancel"):
            with self.subTest(how):
                worker = ManualWorker("s-1")
                async with InProcessSite([worker], **NO_CANCEL) as site:
                    first, gone, stays = (Caller(site.address) for _ in range(3))
                    facts = "lanes:1;load_ms:20"
                    first.call(ask(fn=1, facts=facts))
                    await site.until(worker.runs)
                    gone.call(ask(fn=1, facts=facts))
                    await site.until(lambda: site.node.intake.unanswered == 2)
                    kept = ask(fn=1, facts=facts)
                    stays.call(kept)
                    await site.until(lambda: site.node.intake.unanswered == 3)
                    gone.close(how)
                    await site.until(lambda: site.node.pending.counts["left"] == 1)
                    worker.answer(worker.runs()[0])
                    await site.until(lambda: len(worker.runs()) == 2)
                    self.assertEqual(worker.runs()[1][1]["req"], kept["call"])
                    first.close(), stays.close()

    async def test_unread_while_the_loop_was_held_up(self):
        """An answer frees the lane while the disconnect of the client waiting for it is still unread."""
        for how in ("end", "reset", "cancel"):
            for code in ("HIT", "SHED"):
                with self.subTest(how, code=code):
                    worker = ManualWorker("s-1")
                    async with InProcessSite([worker]) as site:
                        first, gone, stays = (Caller(site.address) for _ in range(3))
                        facts = "lanes:1;load_ms:20"
                        first.call(ask(fn=1, facts=facts))
                        await site.until(worker.runs)
                        left = ask(fn=1, facts=facts)
                        gone.call(left)
                        await site.until(lambda: site.node.intake.unanswered == 2)
                        worker.answer(worker.runs()[0], type=code)
                        gone.close(how)
                        block_loop()
                        await site.until(lambda: site.node.pending.counts["left"] == 1)
                        await site.turns()
                        stays.call(ask(fn=1, facts=facts))
                        await site.until(lambda: len(worker.runs()) > 1)
                        self.assertNotIn(left["call"], [said["req"] for _, said in worker.runs()])
                        first.close(), stays.close()

    async def test_behind_other_requests_of_its_own(self):
        """The cancel follows more data than one read takes, and a worker's answer arrives with it."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            first, gone = Caller(site.address), Caller(site.address)
            facts = "lanes:1;load_ms:20"
            first.call(ask(fn=1, facts=facts))
            await site.until(worker.runs)
            left = ask(fn=1, facts=facts)
            gone.call(left)
            await site.until(lambda: site.node.intake.unanswered == 2)
            worker.answer(worker.runs()[0])
            for _ in range(20):
                gone.call(ask(fn=1, facts=facts), body=b"y" * 12_000)
            gone.close("cancel")
            block_loop()
            await site.until(lambda: site.node.pending.counts["left"] == 21)
            await site.turns()
            self.assertEqual(len(worker.runs()), 1)
            first.close(), gone.sock.close()

    async def test_in_repeat(self):
        """The first attempt provably never ran; the client has left when the second one would be sent."""
        first, second = ManualWorker("s-1"), ManualWorker("s-2")
        async with InProcessSite([first, second]) as site:
            client = Caller(site.address)
            left = ask(fn=1)
            client.call(left)
            await site.until(lambda: first.runs() or second.runs())
            worker = first if first.runs() else second
            client.close()
            await site.until(lambda: site.node.pending.counts["left"] == 1)
            worker.answer(worker.runs()[0], type="SHED")
            await site.until(lambda: not site.node.links[worker.name].has_open_calls())
            await site.turns()
            self.assertEqual(len(first.runs()) + len(second.runs()), 1)
            client = Caller(site.address)
            client.call(left := ask(fn=1))
            await site.until(lambda: len(first.runs()) + len(second.runs()) == 2)
            worker = next(
                w for w in (first, second) if any(said["req"] == left["call"] for _, said in w.runs())
            )
            worker.answer(worker.runs()[-1], type="SHED")
            client.close()
            block_loop()
            await site.until(lambda: site.node.pending.counts["left"] == 2)
            await site.turns()
            self.assertEqual(len(first.runs()) + len(second.runs()), 2)

    async def test_between_its_reading_and_its_turn(self):
        """The call is deferred to the next iteration of the event loop, and its client leaves in between."""
        for how in ("end", "reset", "cancel"):
            with self.subTest(how):
                worker = ManualWorker("s-1")
                async with InProcessSite([worker]) as site:
                    gone, stays = Caller(site.address), Caller(site.address)
                    with mock.patch.object(event_queue, "MOST_CALLS_IN_A_TURN", 0):
                        gone.call(ask(fn=1))
                        await site.until(lambda: site.node.events.waiting)
                        gone.close(how)
                        await site.until(lambda: not any(c.open_requests for c in site.node.front.clients))
                    kept = ask(fn=1)
                    stays.call(kept)
                    await site.until(worker.runs)
                    await site.turns()
                    self.assertEqual([said["req"] for _, said in worker.runs()], [kept["call"]])
                    stays.close()

    async def test_while_the_rest_of_its_send_waits_for_a_worker_that_does_not_read(self):
        """The worker has half of the command; the other half must never follow."""
        worker, fresh = ManualWorker("s-1"), sockets.new_socket
        worker.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

        def narrow(host, kind=socket.SOCK_STREAM):
            sock = fresh(host, kind)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return sock

        with mock.patch.object(link.sockets, "new_socket", narrow):
            async with InProcessSite([worker], **NO_CANCEL) as site:
                gone = Caller(site.address)
                gone.call(ask(fn=1), b"z" * resource_limits.MAX_BODY)
                await site.until(
                    lambda: (
                        any(
                            line.in_flight and line.stream.writing()
                            for line in site.node.links["s-1"].connections
                            if site.node.links.in_flight
                        )
                        if site.node.links
                        else False
                    )
                )
                gone.close()
                await site.until(lambda: site.node.pending.counts["left"] == 1)
                await site.turns()
                block_loop(0.02)
                stays = Caller(site.address)
                stays.call(kept := ask(fn=1))
                await site.until(worker.runs)
                await site.turns()
                self.assertEqual([said["req"] for _, said in worker.runs()], [kept["call"]])
                stays.close()

    async def test_a_second_send_that_waits_when_the_first_is_answered(self):
        """Rule 1: the final answer was sent, and the other attempt must not leave any more."""
        slow, narrow = ManualWorker("s-1"), ManualWorker("s-2", narrow=True)
        async with InProcessSite(
            [slow, narrow], permissions={"cancelling": False, "connectTimeout": 20_000_000}
        ) as site:
            node, client = site.node, Caller(site.address)
            number = client.call(fields := ask(fn=1, ttl=3900))
            await site.until(lambda: node.links.in_flight)
            (act, n), worker = next(iter(node.links.in_flight.items()))
            # if the first send went to the narrow worker, the second goes to the other one
            if worker == "s-2":
                node.submit(node.outlet.send, act, "s-1", 0)
            else:
                node.submit(node.outlet.send, act, "s-2", 0)
            await site.until(slow.runs)
            self.assertTrue(node.links["s-2"].waiting)
            slow.answer(slow.runs()[0])
            await site.until(client.read)
            self.assertEqual(client.answers[number], ("completed", b"x"))
            client.call(ask(fn=2, ttl=3900))
            client.call(ask(fn=3, ttl=3900))
            narrow.open_queue()
            await site.turns()
            node.submit(node.outlet.order_load, "s-2", f"{4:016x}", 1)
            await site.until(narrow.orders)  # connections to the worker are possible now
            self.assertNotIn(fields["call"], [said["req"] for _, said in narrow.runs()])
            client.close()


class Clients(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_comes_as_its_connection_is_closed_for_rest(self):
        """The check of idle connections and the request fall into the same iteration of the event loop."""
        async with InProcessSite([Worker("s-1")]) as site:
            with mock.patch.object(resource_limits, "IDLE_TIMEOUT", 200_000_000):
                for _ in range(3):
                    client = Caller(site.address)
                    number = client.call(ask(fn=1))
                    await site.until(client.read)
                    block_loop(0.25)
                    second = client.call(ask(fn=1))
                    await site.until(lambda: second in client.read() or client.ended)
                    self.assertEqual(
                        (client.answers[number][0], client.answers.get(second, client.ended)),
                        ("completed", ("completed", b"x")),
                    )
                    # an idle connection is still closed
                    await site.until(lambda: client.read() and client.ended)
                    self.assertEqual(client.ended, "end")

    async def test_a_first_request_that_comes_as_its_silence_ends(self):
        async with InProcessSite([Worker("s-1")]) as site:
            with (
                mock.patch.object(resource_limits, "FIRST_REQUEST_TIMEOUT", 200_000_000),
                mock.patch.object(resource_limits, "REQUEST_TIMEOUT", 200_000_000),
            ):
                for cut in (0, 40):  # the complete request arrives then, or the rest of it
                    client, fields = Caller(site.address), ask(fn=1)
                    await site.until(lambda: site.node.front.clients)
                    if cut:
                        client.call(fields, part=slice(None, cut))
                        await site.turns()
                    else:
                        client.last = 1
                    block_loop(0.25)
                    client.call(fields, part=slice(cut, None))
                    await site.until(lambda: client.read() or client.ended)
                    self.assertEqual(client.answers.get(1, client.ended), ("completed", b"x"))
                    client.close()
                    await site.until(lambda: not site.node.front.clients)
                silent = Caller(site.address)
                await site.until(lambda: silent.read() or silent.ended)
                self.assertEqual(silent.ended, "end")

    async def test_room_is_not_made_of_a_connection_whose_request_has_come(self):
        async with InProcessSite([Worker("s-1")]) as site:
            client = Caller(site.address)
            client.call(ask(fn=1))
            await site.until(client.read)
            site.node.resource_limits.clients = 1
            more = Caller(site.address)  # the event loop handles the listener first
            second = client.call(ask(fn=1))
            await site.until(lambda: second in client.read() or client.ended)
            self.assertEqual(client.answers.get(second, client.ended), ("completed", b"x"))
            await site.until(lambda: more.read() or more.ended)
            more = Caller(site.address)  # an idle connection is closed for a new one
            number = more.call(ask(fn=1))
            await site.until(lambda: more.read() or more.ended)
            self.assertEqual(more.answers.get(number, more.ended), ("completed", b"x"))
            more.close()

    async def test_no_descriptor_is_left_and_nobody_rests(self):
        """The listener stays readable, so the event loop would spin if it were not paused."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            busy = Caller(site.address)
            number = busy.call(ask(fn=1))
            await site.until(worker.runs)
            calls, accept = [], site.node.front.listener._accept
            site.node.loop.remove_reader(site.node.front.listener.sock)
            site.node.loop.add_reader(site.node.front.listener.sock, lambda: (calls.append(1), accept()))
            late = Caller(site.address)
            with no_descriptors():
                await site.turns(200)
                tried = len(calls)
            self.assertEqual(tried, 1)
            worker.answer(worker.runs()[0])
            second = late.call(ask(fn=1))
            await site.until(lambda: len(worker.runs()) == 2)
            worker.answer(worker.runs()[1])
            await site.until(lambda: late.read() and busy.read())
            self.assertEqual((busy.answers[number][0], late.answers[second][0]), ("completed", "completed"))
            busy.close(), late.close()

    async def test_a_number_that_is_used_again_at_once(self):
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            client = Caller(site.address)
            client.call(ask(fn=1), b"one")
            await site.until(worker.runs)
            client.cancel(1)  # sent together with the next request under the same message id
            client.cancel(1)
            client.last = 0
            client.call(again := ask(fn=1), b"two")
            await site.until(lambda: len(worker.runs()) == 2)
            worker.answer(worker.runs()[0])  # this answer crossed the cancel
            await site.turns()
            self.assertEqual(client.read(), {})
            worker.answer(next(run for run in worker.runs() if run[1]["req"] == again["call"]))
            await site.until(client.read)
            self.assertEqual(client.answers, {1: ("completed", b"two")})
            client.cancel(2)  # a cancel before its request has no effect
            client.last = 1
            client.call(ask(fn=1), b"three")
            await site.until(lambda: len(worker.runs()) == 3)
            worker.answer(worker.runs()[2])
            await site.until(lambda: len(client.read()) == 2)
            self.assertEqual(client.answers[2], ("completed", b"three"))
            client.close()

    async def test_a_client_that_reads_nothing_until_all_its_answers_are_there(self):
        """A client with the maximum number of requests of the maximum size pauses reading for a moment."""
        async with InProcessSite([Worker("s-1")]) as site:
            client = Caller(site.address)
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await site.until(lambda: site.node.front.clients)
            next(iter(site.node.front.clients)).stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, 4096
            )
            other = Caller(site.address)
            first = other.call(ask(fn=1))
            await site.until(other.read)
            client.sock.setblocking(False)
            bodies = [
                bytes([65 + n]) * resource_limits.MAX_BODY for n in range(resource_limits.MAX_OPEN_REQUESTS)
            ]
            for body in bodies:
                client.last += 1
                data = msgpack.packb([0, client.last, "plain", [ask(fn=1), body]])
                while data:  # write as fast as the dispatcher reads
                    with contextlib.suppress(BlockingIOError):
                        data = data[client.sock.send(data) :]
                    await asyncio.sleep(0)
            await site.until(lambda: site.node.pending.counts["completed"] == len(bodies) + 1)
            checks = site.node.check_count
            # the client has no open request, but its answers have not been sent yet
            with mock.patch.object(resource_limits, "IDLE_TIMEOUT", 1):
                await site.until(lambda: site.node.check_count > checks + 2)
            client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
            for there in site.node.front.clients:
                there.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 20)
            await site.until(lambda: len(client.read()) == len(bodies) or client.ended)
            self.assertEqual(
                [client.answers.get(n + 1) for n in range(len(bodies))],
                [("completed", body) for body in bodies],
            )
            self.assertEqual(other.answers[first][0], "completed")
            client.sock.close(), other.close()

    async def test_who_is_being_ended_and_reads_nothing_is_ended(self):
        """A client that does not read the answers to its invalid requests is closed, which frees its
        descriptor."""
        async with InProcessSite([Worker("s-1")]) as site:
            bad = Caller(site.address)
            bad.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            await site.until(lambda: site.node.front.clients)
            there = next(iter(site.node.front.clients))
            there.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            # repeat until unread answers fill both buffers: on a busy machine some are short rejections
            for _ in range(100):
                bad.call(ask(fn=1), b"z" * resource_limits.MAX_BODY)
                await site.until(lambda: not there.open_requests and there.requested)
                await asyncio.sleep(0.05)
                if there.stream.writing():
                    break
            for _ in range(resource_limits.MAX_FAULTS):
                bad.call(ask(fn=1), type_="nothing")
            await site.until(lambda: there.draining)
            self.assertTrue(there.stream.writing())
            await site.until(lambda: not site.node.front.clients)
            bad.sock.close()


class TwoCustomers(unittest.IsolatedAsyncioTestCase):
    TENANTS = [
        {"name": "acme", "quotaRps": 10_000.0, "share": 0.5},
        {"name": "bolt", "quotaRps": 10_000.0, "share": 0.5},
    ]

    def inside(self, workers, **changes):
        site = InProcessSite(workers, **changes)
        site.settings["tenants"] = self.TENANTS
        return site

    async def test_an_id_whose_send_is_still_out_is_not_another_customers(self):
        """The answer to the customer that left would be taken for that to the other one."""
        worker = ManualWorker("s-1")
        async with self.inside([worker], **NO_CANCEL) as site:
            one, two = Caller(site.address), Caller(site.address)
            fields = ask(fn=1)
            one.call(fields, b"of acme")
            await site.until(worker.runs)
            one.close()
            await site.until(lambda: site.node.pending.counts["left"] == 1)
            number = two.call({**fields, "org": "bolt"}, b"of bolt")
            await site.turns()
            worker.answer(worker.runs()[0])
            await site.until(two.read)
            self.assertNotEqual(two.answers[number][0], "completed")
            await site.until(lambda: not site.node.links.in_flight)
            number = two.call({**fields, "org": "bolt"}, b"of bolt")
            self.assertEqual(await site.second(two, number, worker), ("completed", b"of bolt"))
            two.close()

    async def test_equal_functions_marks_and_messages(self):
        """Requests of two customers and several namespace types have their own lanes, patience, body and
        answer."""
        worker, mark = ManualWorker("s-1"), "ab" * 16
        async with self.inside([worker]) as site:
            kinds = [
                ("acme", "plain", 1, 1900, b"a"),
                ("bolt", "plain", 3, 1500, b"b"),
                ("acme", "marked", 3, 1700, b"c"),
                ("bolt", "single", 3, 1300, b"d"),
            ]
            callers = [Caller(site.address) for _ in kinds]
            sent = {}

            def call(which):
                org, type_, lanes, ttl, body = kinds[which]
                fields = ask(fn=1, ttl=ttl, org=org, dedupe=mark, facts=f"lanes:{lanes};load_ms:20")
                sent[fields["call"]] = which
                callers[which].call(fields, body, type_)

            call(1)
            await site.until(worker.runs)
            for which in (0, 2, 3):  # the first of them has one lane, which is in use
                call(which)
                await site.until(lambda: site.node.intake.unanswered == len(sent))
            await site.until(lambda: len(worker.runs()) == 3)
            await site.turns()
            here = [sent[said["req"]] for _, said in worker.runs()]
            self.assertEqual(here, [1, 2, 3])
            for run in worker.runs():
                org, type_, _, ttl, body = kinds[sent[run[1]["req"]]]
                meta = run[1]["meta"]
                self.assertEqual(
                    (meta["sort"], meta["op"], run[1]["data"]), (type_, mark, hit(run[1], body)["data"])
                )
                self.assertLessEqual(meta["patience"], ttl)
                self.assertGreater(meta["patience"], ttl - 1000)
            for run in list(worker.runs()):
                worker.answer(run)
            await site.until(lambda: len(worker.runs()) == 4)
            worker.answer(worker.runs()[3])
            await site.until(lambda: all(caller.read() for caller in callers))
            self.assertEqual(
                [caller.answers for caller in callers], [{1: ("completed", kind[4])} for kind in kinds]
            )
            for caller in callers:
                caller.close()


class Ends(unittest.IsolatedAsyncioTestCase):
    """SIGTERM with activations in flight, checked at the clients and workers."""

    async def test_requests_that_came_before_the_last_look_get_their_answer(self):
        """Requests in the listen queue, on an open connection and larger than one read are unread when the
        time for accepting requests ends."""
        for waits in ("in the listen queue", "on an open connection", "larger than one reading"):
            with self.subTest(waits):
                async with InProcessSite([Worker("s-1")]) as site:
                    client = Caller(site.address)
                    number = client.call(ask(fn=1))
                    await site.until(client.read)
                    ending = asyncio.ensure_future(site.node.close())
                    await site.turns(3)
                    if waits == "in the listen queue":
                        client = Caller(site.address)
                    number = client.call(
                        ask(fn=1), body=b"z" * (16_384 if waits == "larger than one reading" else 1)
                    )
                    block_loop(0.75)  # the time for accepting requests is over afterwards
                    await asyncio.wait_for(ending, SLOW)
                    await site.until(lambda: client.read() is not None and client.ended)
                    self.assertIn(client.answers.get(number, (client.ended,))[0], ("completed", "Throttled"))

    async def test_all_that_it_took_is_answered_before_it_is_killed(self):
        """With an action timeout of one second the platform kills 1.7 s after SIGTERM, by the clock of the
        client."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker], classes={"deadline": 1_000_000}) as site:
            client = Caller(site.address)
            out = client.call(ask(fn=1, ttl=1900), type_="single")
            await site.until(worker.runs)
            number = client.call(ask(fn=1, ttl=1900), type_="plain")
            began = time.monotonic()
            ending = asyncio.ensure_future(site.node.close())
            await site.until(lambda: len(client.read()) == 2)
            took = time.monotonic() - began
            self.assertEqual(client.answers[out][0], "Broken")  # once-only: it may have run
            self.assertLess(took, 1.7)
            await asyncio.wait_for(ending, SLOW)
            self.assertIn(number, client.answers)

    async def test_what_is_cut_and_never_left_is_rejected(self):
        worker = ManualWorker("s-1", narrow=True)
        async with InProcessSite(
            [worker], permissions={"connectTimeout": 20_000_000}, classes={"deadline": 4_000_000}
        ) as site:
            client = Caller(site.address)
            number = client.call(ask(fn=1, ttl=7900), type_="single")
            await site.until(lambda: site.node.links and site.node.links["s-1"].waiting)
            ending = asyncio.ensure_future(site.node.close())
            await site.until(client.read)
            self.assertEqual(client.answers[number][0], "Throttled")
            worker.open_queue()
            await asyncio.wait_for(ending, SLOW)
            self.assertEqual(worker.runs(), [])
            client.close()

    async def test_an_answer_that_comes_while_it_ends_reaches_its_client(self):
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            client = Caller(site.address)
            number = client.call(ask(fn=1), type_="single")
            await site.until(worker.runs)
            ending = asyncio.ensure_future(site.node.close())
            await site.turns()
            block_loop(0.8)
            await site.until(lambda: site.node.intake.closing or ending.done())  # rejects new requests
            await asyncio.sleep(0.05)
            self.assertFalse(ending.done())
            worker.answer(worker.runs()[0])
            await asyncio.wait_for(ending, SLOW)
            await site.until(lambda: client.read() is not None and client.ended)
            self.assertEqual((client.answers, client.ended), ({number: ("completed", b"x")}, "end"))

    async def test_health_tells_of_start_and_end(self):
        async with InProcessSite([Worker("s-1")]) as site:
            client = Caller(site.address)

            async def health():
                client.last += 1
                client.sock.sendall(msgpack.packb([0, client.last, "health", [{}]]))
                await site.until(lambda: client.last in client.read())
                return client.answers[client.last]

            self.assertEqual(await health(), ("completed", True))
            ending = asyncio.ensure_future(site.node.close())
            await site.turns()
            self.assertEqual(await health(), ("completed", False))
            await asyncio.wait_for(ending, SLOW)

    async def test_signals_at_every_moment_of_its_life(self):
        """Signals before the dispatcher is ready, twice, and until the process has ended: it must shut down
        by itself with status 0."""
        site = Site([Worker("s-1")])
        await site.roster.open()
        await site.workers[0].open()
        site.roster.tell(site.workers[0])
        site.address = ("127.0.0.1", free_port())
        self.addCleanup(site.folder.cleanup)
        path = site.write()
        for before in (True, False):
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "petrelwood.node",
                cwd=ROOT,
                env=site.environ(path),
                stderr=asyncio.subprocess.PIPE,
            )
            lines = asyncio.ensure_future(process.stderr.read()) if before else None
            status = pathlib.Path(f"/proc/{process.pid}/status")
            if before:
                await self.wait(
                    lambda: self.catches(status, signal.SIGTERM) and self.catches(status, signal.SIGHUP)
                )
                process.send_signal(signal.SIGHUP)
                process.terminate()
            else:
                while b'"listening"' not in await process.stderr.readline():
                    pass
                lines = asyncio.ensure_future(process.stderr.read())
                process.terminate()
                process.terminate()
            while process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    os.kill(process.pid, signal.SIGHUP)
                await asyncio.sleep(0.001)
            self.assertEqual(process.returncode, 0)
            self.assertIn(b'"closed"', await lines)
        await site.workers[0].close()
        site.roster.transport.close()

    @staticmethod
    def catches(status, number):
        caught = next(line for line in status.read_text().splitlines() if line.startswith("SigCgt"))
        return int(caught.split()[1], 16) >> (number - 1) & 1

    @staticmethod
    async def wait(what):
        end = time.monotonic() + SLOW
        while not what():
            if time.monotonic() > end:
                raise AssertionError("it did not come")
            await asyncio.sleep(0.001)


class Links(unittest.IsolatedAsyncioTestCase):
    async def test_a_send_that_nobody_ends_gives_its_connection_and_its_link_back(self):
        """The activation has ended and may not be cancelled, and the connection stays open without an
        answer."""
        silent, loud = ManualWorker("s-1"), Worker("s-2")
        async with InProcessSite([silent], **NO_CANCEL) as site:
            client = Caller(site.address)
            client.call(ask(fn=1, ttl=300))
            await site.until(silent.runs)
            client.close()
            await site.until(lambda: site.node.pending.counts["left"] == 1)
            link = site.node.links["s-1"]
            self.assertTrue(link.has_open_calls())
            await loud.open()
            site.workers.append(loud)
            site.roster.tell(loud)
            site.roster.tell(silent, "Gone")
            await site.until(lambda: "s-1" not in site.node.links)
            self.assertFalse(link.has_open_calls() or link.connections or site.node.links.in_flight)
            # cancels are not allowed
            self.assertEqual([said["type"] for _, said in silent.read() if said["type"] == "KILL"], [])
            client = Caller(site.address)
            number = client.call(ask(fn=1))
            await site.until(client.read)
            self.assertEqual(client.answers[number][0], "completed")
            client.close()

    async def test_what_waits_when_its_worker_moves_goes_to_the_new_address(self):
        old, new = ManualWorker("s-1", narrow=True), Worker("s-1")
        async with InProcessSite([old], permissions={"connectTimeout": 20_000_000}) as site:
            client = Caller(site.address)
            numbers = [
                client.call(ask(fn=fn, ttl=3900)) for fn in range(8)
            ]  # more than may connect at a time
            await site.until(lambda: site.node.links and len(site.node.links["s-1"].waiting) >= 8)
            await new.open()
            site.workers.append(new)
            site.roster.entries.clear()
            site.roster.tell(new)
            await site.until(lambda: len(client.read()) == 8)
            self.assertEqual({client.answers[number][0] for number in numbers}, {"completed"})
            old.open_queue()
            # arrives after all earlier connection attempts
            probe = socket.create_connection(("127.0.0.1", old.port))
            await site.until(
                lambda: (
                    old.read() is not None
                    and any(conn.getpeername() == probe.getsockname() for conn, _ in old.conns)
                )
            )
            self.assertEqual(len(old.conns), 1)
            probe.close(), client.close()

    async def test_a_worker_that_drains_while_a_send_waits_for_its_connection(self):
        old, new = ManualWorker("s-1", narrow=True), Worker("s-2")
        async with InProcessSite([old], permissions={"connectTimeout": 20_000_000}) as site:
            client = Caller(site.address)
            number = client.call(ask(fn=1, ttl=3900), type_="single")
            await site.until(lambda: site.node.links and site.node.links["s-1"].waiting)
            await new.open()
            site.workers.append(new)
            site.roster.tell(new)
            site.roster.tell(old, "Terminating")
            await site.until(client.read)
            old.open_queue()
            probe = socket.create_connection(("127.0.0.1", old.port))
            await site.until(
                lambda: (
                    old.read() is not None
                    and any(conn.getpeername() == probe.getsockname() for conn, _ in old.conns)
                )
            )
            await site.turns()
            self.assertEqual((client.answers[number][0], old.runs(), old.orders()), ("completed", [], []))
            probe.close(), client.close()

    async def test_a_drain_that_lay_unread_while_the_loop_was_held_up(self):
        """Rule 3: the list with the draining worker and an answer that frees a lane arrive while the loop is
        blocked."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker], guarantees={"drainGrace": 200_000}) as site:
            client, facts = Caller(site.address), "lanes:1;load_ms:20"
            client.call(ask(fn=1, facts=facts))
            await site.until(worker.runs)
            client.call(ask(fn=1, facts=facts))
            await site.until(lambda: site.node.intake.unanswered == 2)
            told_ = []
            # keep the answers, to send one later
            site.roster.rewrite = lambda wire: told_.append(wire)
            await site.until(lambda: told_)
            site.roster.tell(worker, "Terminating")
            await site.until(lambda: len(told_) > 2)
            worker.answer(worker.runs()[0])
            site.roster.transport.sendto(told_[-1], site.node.roster.sock.getsockname())
            block_loop()
            await site.until(lambda: not site.node.membership.is_usable("s-1"))
            await site.turns()
            self.assertEqual(len(worker.runs()), 1)
            client.close()

    async def test_a_loop_that_was_held_up_blames_no_worker(self):
        """The answer arrived in time but is unread when the deadlines are checked: the worker must not count
        as unresponsive, nothing is sent again, and nothing is loaded elsewhere."""
        workers = [ManualWorker("s-1"), ManualWorker("s-2")]
        async with InProcessSite(workers) as site:
            client = Caller(site.address)
            number = client.call(ask(fn=1))
            await site.until(lambda: workers[0].runs() or workers[1].runs())
            worker, other = workers if workers[0].runs() else workers[::-1]
            asked = len(other.read())
            worker.answer(worker.runs()[0])
            block_loop(1.2)
            await site.until(client.read)
            checks = site.node.check_count
            await site.until(lambda: site.node.check_count > checks + 4)
            self.assertEqual(
                (client.answers[number][0], len(worker.runs()), other.read()[asked:], worker.orders()),
                ("completed", 1, [], []),
            )
            client.close()

    async def test_an_answer_and_the_end_of_its_connection_come_together(self):
        for ends, what in (
            ("reset", "whole"),
            ("end", "whole"),
            ("end", "half"),
            ("reset", "half"),
            ("end", "twice"),
        ):
            with self.subTest(f"{what}, {ends}"):
                worker = ManualWorker("s-1")
                async with InProcessSite([worker]) as site:
                    client = Caller(site.address)
                    number = client.call(ask(fn=1), type_="single")
                    await site.until(worker.runs)
                    line, run = json.dumps(hit(worker.runs()[0][1])).encode() + b"\n", worker.runs()[0]
                    worker.write(run[0], {"whole": line, "half": line[:-9], "twice": line + line}[what])
                    if ends == "reset":
                        worker.reset(run[0])
                    else:
                        worker.conns[run[0]][0].close()
                    block_loop(0.02)
                    await site.until(client.read)
                    # A reset may overtake the data written before it; then the activation may have run.
                    good = {
                        "whole": {("completed", b"x")}
                        if ends == "end"
                        else {("completed", b"x"), ("Broken", None)},
                        "twice": {("completed", b"x")},
                        "half": {("Broken", None)},
                    }[what]
                    word, body = client.answers[number]
                    self.assertIn((word, body if word == "completed" else None), good)
                    self.assertEqual(len(worker.runs()), 1)
                    client.close()

    async def test_a_second_answer_after_its_connection_carries_another(self):
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            client = Caller(site.address)
            first = client.call(ask(fn=1), b"one")
            await site.until(worker.runs)
            worker.answer(worker.runs()[0])
            await site.until(client.read)
            second = client.call(ask(fn=1), b"two")
            await site.until(lambda: len(worker.runs()) == 2)
            self.assertEqual(worker.runs()[0][0], worker.runs()[1][0])
            worker.answer(worker.runs()[0])
            await site.turns()
            worker.answer(worker.runs()[1])
            await site.until(lambda: len(client.read()) == 2)
            self.assertEqual(client.answers, {first: ("completed", b"one"), second: ("completed", b"two")})
            client.close()

    async def test_a_connection_that_its_worker_may_close_for_rest_carries_nothing(self):
        """The worker may close connections after 400 ms; the dispatcher uses them for half of that."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker], permissions={"connIdle": 400_000}) as site:
            client = Caller(site.address)
            client.call(ask(fn=1), type_="single")
            await site.until(worker.runs)
            worker.answer(worker.runs()[0])
            await site.until(client.read)
            await site.turns()
            block_loop(0.45)
            number = client.call(ask(fn=1), type_="single")
            for conn, _ in worker.conns:
                conn.close()  # the close is still unread when the next attempt is sent
            self.assertEqual(await site.second(client, number, worker), ("completed", b"x"))
            client.close()

    async def test_a_connection_that_ends_as_a_send_is_given_to_it(self):
        """No byte of the attempt has left, so it never ran, and the activation is sent again."""
        for ends in ("end", "reset"):
            with self.subTest(ends):
                worker = ManualWorker("s-1")
                async with InProcessSite([worker]) as site:
                    client = Caller(site.address)
                    client.call(ask(fn=1), type_="single")
                    await site.until(worker.runs)
                    worker.answer(worker.runs()[0])
                    await site.until(client.read)
                    # no event is pending, so events are handled in their order of arrival
                    await site.turns()
                    number = client.call(ask(fn=1), type_="single")
                    for line in range(len(worker.conns)):
                        if ends == "reset":
                            worker.reset(line)
                        else:
                            worker.conns[line][0].close()
                    block_loop(0.02)
                    await site.until(lambda: len(worker.runs()) == 2 or client.read().get(number))
                    self.assertEqual(client.read().get(number), None)
                    worker.answer(worker.runs()[1])
                    await site.until(lambda: number in client.read())
                    self.assertEqual(client.answers[number], ("completed", b"x"))
                    client.close()

    async def test_no_descriptor_is_left_for_a_connection(self):
        """The activation was never sent: it is rejected rather than aborted, without an internal error."""
        worker = ManualWorker("s-1")
        async with InProcessSite([worker]) as site:
            client = Caller(site.address)
            await site.until(lambda: site.node.front.clients)
            with no_descriptors():
                number = client.call(ask(fn=1, ttl=600), type_="single")
                await site.until(client.read)
            self.assertEqual(
                (client.answers[number][0], site.node.pending.counts["defects"]), ("Throttled", 0)
            )
            client.close()


class Lists(unittest.IsolatedAsyncioTestCase):
    async def test_no_descriptor_is_left_when_the_roster_moves(self):
        async with InProcessSite([Worker("s-1")]) as site:
            second = Roster()
            await second.open()
            second.serial, second.entries = site.roster.serial, dict(site.roster.entries)
            with no_descriptors():
                site.node.roster.close()  # its descriptor is reused at once
                with contextlib.suppress(OSError):
                    taken = os.dup(0)
                site.node.reload(site.node.gateway._replace(names=("127.0.0.1", second.port)))
                self.assertIsNone(site.node.roster.sock)
            os.close(taken)
            await site.until(lambda: second.asked)
            second.transport.close()

    async def test_answers_that_come_late_are_still_taken(self):
        """Each answer arrives two seconds after its query. Guards against forgetting queries too early: a
        faulty version remembered fewer than are open by then."""
        old, new = Worker("s-1"), Worker("s-2")
        async with InProcessSite([old]) as site:
            await new.open()
            site.workers.append(new)
            roster = site.roster

            def late(wire):
                asyncio.get_running_loop().call_later(
                    2, roster.transport.sendto, wire, site.node.roster.sock.getsockname()
                )

            roster.rewrite = late
            asked = roster.asked
            await site.until(lambda: roster.asked > asked)
            roster.tell(new)
            roster.tell(old, "Terminating")
            await site.until(
                lambda: site.node.membership.is_usable("s-2") and not site.node.membership.is_usable("s-1"),
                12,
            )

    async def test_a_silence_under_which_workers_change(self):
        """After the silence an old list arrives first, then the new one: the removed worker must get nothing
        from then on."""
        old, new = Worker("s-1"), Worker("s-2")
        async with InProcessSite([old]) as site:
            await new.open()
            site.workers.append(new)
            client, kept = Caller(site.address), []
            site.roster.rewrite = lambda wire: kept.append(wire)
            await site.until(lambda: len(kept) > 2)
            site.roster.tell(new)
            site.roster.tell(old, "Gone")
            number = client.call(ask(fn=1))
            await site.until(lambda: number in client.read())
            self.assertEqual(client.answers[number][0], "completed")  # with the known list
            kept.clear()
            await site.until(lambda: kept)
            newest = kept[-1]
            site.roster.rewrite = None
            serial, site.roster.serial = site.roster.serial, 1
            entries, site.roster.entries = site.roster.entries, {}
            before = site.node.roster.counts["old"]
            await site.until(lambda: site.node.roster.counts["old"] > before)
            self.assertTrue(site.node.membership.is_usable("s-1"))
            site.roster.serial, site.roster.entries = serial, entries
            await site.until(lambda: site.node.membership.is_usable("s-2"))
            self.assertFalse(site.node.membership.is_usable("s-1"))
            ran, number = len(old.runs), client.call(ask(fn=1))
            await site.until(lambda: number in client.read())
            self.assertEqual((client.answers[number][0], len(old.runs)), ("completed", ran))
            self.assertTrue(newest)
            client.close()

    async def test_a_list_under_a_serial_that_stands_still(self):
        """The serial is the number of the last event, so a different list with the same serial changes
        nothing."""
        workers = [Worker("s-1"), Worker("s-2")]
        async with InProcessSite(workers) as site:
            good, entries = site.node.roster.counts["good"], site.roster.entries
            site.roster.entries = {"s-2": entries["s-2"]}
            await site.until(lambda: site.node.roster.counts["good"] > good + 1)
            self.assertTrue(site.node.membership.is_usable("s-1"))
            site.roster.serial += 1
            await site.until(lambda: not site.node.membership.is_usable("s-1"))

    async def test_a_configuration_that_is_half_written_when_its_signal_comes(self):
        async with Site([Worker("s-1")]) as site:
            second = Roster()
            await second.open()
            second.serial, second.entries = site.roster.serial + 1, dict(site.roster.entries)
            whole = site.write(names=f"127.0.0.1:{second.port}").read_text()
            path = site.write()
            path.write_text(whole[: len(whole) // 2])
            site.process.send_signal(signal.SIGHUP)
            await site.until(lambda: any("nothing changes" in line for line in site.log))
            path.write_text(whole)  # without a second signal
            await site.until(lambda: second.asked)
            second.transport.close()
            self.assertEqual(await site.stop(), 0)


class NewVersions(unittest.IsolatedAsyncioTestCase):
    async def test_all_copies_of_most_functions_go_void_at_once_on_a_quiet_day(self):
        """Copies disappear without a change of the list: each activation misses, and completes after one
        load."""
        workers = [Worker(f"s-{n}") for n in range(4)]
        async with InProcessSite(workers) as site:
            clients, functions, sent = [Caller(site.address) for _ in range(4)], range(1, 13), {}

            def ask_all(round_):
                for fn in functions:
                    client = clients[fn % 4]
                    fields = ask(fn=fn)
                    sent[fields["call"]] = (
                        client,
                        client.call(fields, b"%d of %d" % (round_, fn)),
                        b"%d of %d" % (round_, fn),
                    )

            async def answered():
                await site.until(lambda: all(number in client.read() for client, number, _ in sent.values()))

            for round_ in range(3):
                ask_all(round_)
                await answered()
            for worker in workers:  # all copies of eight of the twelve functions
                worker.copies -= {f"{fn:016x}" for fn in functions[:8]}
            orders, runs = sum(len(w.orders) for w in workers), sum(len(w.runs) for w in workers)
            ask_all(3)
            await answered()
            ask_all(4)
            await answered()
            for client, number, body in sent.values():
                self.assertEqual(client.answers[number], ("completed", body))
            self.assertEqual(sum(len(w.runs) for w in workers) - runs, 2 * len(functions))
            loads = sum(len(w.orders) for w in workers) - orders
            self.assertGreaterEqual(loads, 8)  # one per function, and few more
            self.assertLessEqual(loads, 12)
            for client in clients:
                client.close()
