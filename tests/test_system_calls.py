"""Failing system calls of `petrelwood.node`: of its listener, its clients, its links to workers and its
roster.

For each failing call the tests check that nothing spins (by counting system calls and loop iterations), that
each listener and link works again after the fault, that activations which never left are not aborted, that
the process continues, and that each activation gets one answer."""

import asyncio
import contextlib
import errno
import unittest

import msgpack
from node_site import ask
from syscall_faults import (
    ACCEPT_FAILS,
    ACCEPT_LOSES,
    CONNECT_ENDS,
    CONNECT_FAILS,
    DATAGRAM_FAILS,
    MOMENTARY,
    READ_BREAKS,
    SOCKET_FAILS,
    WRITE_BREAKS,
    LoopIterations,
    broken_write,
    failed_connections,
    failing,
    interrupted,
    local,
    losing_accepts,
    no_sockets,
    peer,
    short,
)
from test_crossings import Caller, InProcessSite, ManualWorker

from petrelwood.links.accept_errors import CONNECTION_ERRORS_IN_A_ROW

IDLE = 12  # the number of idle connections
ITERATIONS = 300  # the number of loop iterations run without waiting
# The maximum number of loop iterations per check, far more than a dispatcher and its roster need; a spinning
# loop has thousands.
MAX_ITERATIONS_PER_CHECK = 50


class Case(unittest.IsolatedAsyncioTestCase):
    """Dispatchers in the loop of the test, none of which may log an internal error."""

    async def asyncSetUp(self):
        self.unhandled = []
        asyncio.get_running_loop().set_debug(False)
        asyncio.get_running_loop().set_exception_handler(lambda _, context: self.unhandled.append(context))

    def tearDown(self):
        self.assertEqual(self.unhandled, [])

    @contextlib.asynccontextmanager
    async def site(self, *workers, **changes):
        async with InProcessSite(list(workers), **changes) as site:
            yield site
            self.assertEqual(site.node.pending.counts["defects"], 0, site.log)

    async def served(self, site, worker, type_="single"):
        """Complete one more activation, of a client on a new connection."""
        client = Caller(site.address)
        self.addCleanup(client.sock.close)
        fields = ask(fn=1)
        number = client.call(fields, type_=type_)
        await self.answered(site, client, number, worker, fields["call"])

    async def failed(self, site, fault, times=1):
        await site.until(lambda: fault.failed >= times)

    async def has(self, site, client, number):
        """Wait until a client has an answer."""
        await site.until(lambda: number in client.read())

    async def ended(self, site, client):
        """Wait until the connection of a client has ended without an answer."""
        await site.until(lambda: client.read() == {} and client.ended)

    async def answered(self, site, client, number, worker, call, body=b"x"):
        """Wait for an activation at its worker, answer it, and check the answer at the client."""

        def sent():
            return [run for run in worker.runs() if run[1]["req"] == call]

        await site.until(sent)
        worker.answer(sent()[0])
        await self.has(site, client, number)
        self.assertEqual((client.answers[number], len(sent())), (("completed", body), 1))


class Listener(Case):
    async def test_accept_fails_for_a_while(self):
        """The connection waits during the fault, nothing spins, and it is served after the fault."""
        for error in ACCEPT_FAILS:
            with self.subTest(errno.errorcode[error]):
                worker = ManualWorker("s-1")
                async with self.site(worker) as site:
                    checks, port = site.node.check_count, site.address[1]
                    with failing("accept", error, local(port), times=None) as fault:
                        waiting = Caller(site.address)
                        self.addCleanup(waiting.sock.close)
                        number = waiting.call(fields := ask(fn=1), type_="single")
                        await self.failed(site, fault)
                        await site.turns(ITERATIONS)
                        pauses = 1 + site.node.check_count - checks
                        accepts_per_pause = CONNECTION_ERRORS_IN_A_ROW if error == errno.EPERM else 1
                        self.assertLessEqual(fault.calls, accepts_per_pause * (1 + pauses))
                    await self.answered(site, waiting, number, worker, fields["call"])
                    await self.served(site, worker)

    async def test_accept_fails_for_a_while_with_idle_clients(self):
        """An idle connection is closed for a new one; if that does not help, the others stay open."""
        for error in (errno.ENFILE, errno.EMFILE):
            with self.subTest(errno.errorcode[error]):
                worker = ManualWorker("s-1")
                async with self.site(worker) as site:
                    idle = [Caller(site.address) for _ in range(IDLE)]
                    for client in idle:
                        self.addCleanup(client.sock.close)
                    await site.until(lambda: len(site.node.front.clients) == IDLE)
                    checks = site.node.check_count
                    with failing("accept", error, local(site.address[1]), times=None) as fault:
                        waiting = Caller(site.address)
                        self.addCleanup(waiting.sock.close)
                        await self.failed(site, fault)
                        await site.turns(ITERATIONS)
                        crowded_out = site.node.front.counts["evicted"]
                        self.assertLessEqual(crowded_out, 1 + site.node.check_count - checks)
                    number = waiting.call(fields := ask(fn=1), type_="single")
                    await self.answered(site, waiting, number, worker, fields["call"])

    async def test_accept_loses_a_connection(self):
        """Other pending connections are accepted in the same iteration of the event loop."""
        for error in ACCEPT_LOSES:
            with self.subTest(errno.errorcode[error]):
                worker = ManualWorker("s-1")
                async with self.site(worker) as site:
                    checks = site.node.check_count
                    with losing_accepts(error, local(site.address[1])) as fault:
                        lost, kept = Caller(site.address), Caller(site.address)
                        self.addCleanup(lost.sock.close)
                        self.addCleanup(kept.sock.close)
                        number = kept.call(fields := ask(fn=1), type_="single")
                        await self.failed(site, fault)
                        self.assertEqual(
                            (fault.failed, site.node.front.counts["connections"]), (1, 1), checks
                        )
                    await self.answered(site, kept, number, worker, fields["call"])

    async def test_a_new_connection_cannot_be_set_up(self):
        """The connection is served without the option, or closed; later connections are served."""
        for call, error in (
            ("setsockopt", errno.EINVAL),
            ("setsockopt", errno.ENOTCONN),
            ("setsockopt", errno.ENOBUFS),
            ("setsockopt", errno.ENOMEM),
            ("setblocking", errno.ENOMEM),
        ):
            with self.subTest(call, error=errno.errorcode[error]):
                worker = ManualWorker("s-1")
                async with self.site(worker) as site:
                    client = Caller(site.address)
                    self.addCleanup(client.sock.close)
                    with failing(call, error, local(site.address[1])) as fault:
                        number = client.call(fields := ask(fn=1), type_="single")
                        await self.failed(site, fault)
                        if call == "setsockopt":
                            await self.answered(site, client, number, worker, fields["call"])
                        else:
                            await self.ended(site, client)
                    await self.served(site, worker)
                    self.assertFalse([c for c in site.node.front.clients if c.stream.closed()])


class Clients(Case):
    async def test_a_connection_breaks_as_it_is_read(self):
        for error in READ_BREAKS:
            with self.subTest(errno.errorcode[error]):
                worker = ManualWorker("s-1")
                async with self.site(worker) as site:
                    broken, stays = Caller(site.address), Caller(site.address)
                    self.addCleanup(broken.sock.close)
                    self.addCleanup(stays.sock.close)
                    first = broken.call(ask(fn=1))
                    await site.until(worker.runs)
                    of_broken = local_to(broken)
                    with failing("recv_into", error, of_broken, times=None) as fault:
                        broken.call(ask(fn=1))
                        await site.until(lambda: site.node.pending.counts["left"] == 1)
                        await site.turns()
                        self.assertLess(fault.calls, 4)
                    self.assertEqual(len(site.node.front.clients), 1)
                    number = stays.call(fields := ask(fn=2), type_="single")
                    await self.answered(site, stays, number, worker, fields["call"])
                    self.assertNotIn(first, broken.read())

    async def test_a_connection_breaks_as_its_answer_is_written(self):
        for error in WRITE_BREAKS:
            for taken in (0, 5):
                with self.subTest(errno.errorcode[error], taken=taken):
                    worker = ManualWorker("s-1")
                    async with self.site(worker) as site:
                        client = Caller(site.address)
                        self.addCleanup(client.sock.close)
                        client.call(ask(fn=1))
                        await site.until(worker.runs)
                        with broken_write(error, local_to(client), taken) as fault:
                            worker.answer(worker.runs()[0])
                            await site.until(lambda: not site.node.front.clients)
                        self.assertEqual(fault.failed, 1)
                        self.assertEqual(site.node.pending.counts["completed"], 1)
                        await self.served(site, worker)

    async def test_a_connection_breaks_as_the_first_of_two_requests_is_answered(self):
        """Both were read together: the second one is not started or is withdrawn, without an internal
        error."""
        for error in WRITE_BREAKS:
            with self.subTest(errno.errorcode[error]):
                worker = ManualWorker("s-1")
                async with self.site(worker) as site:
                    client = Caller(site.address)
                    self.addCleanup(client.sock.close)
                    requests = [[0, 1, "health", [{}]], [0, 2, "plain", [ask(fn=1), b"x"]]]
                    with broken_write(error, local_to(client)) as fault:
                        client.sock.sendall(b"".join(map(msgpack.packb, requests)))
                        await self.failed(site, fault)
                        await site.turns()
                    self.assertEqual((worker.runs(), site.node.front.clients), ([], {}))
                    await self.served(site, worker)

    async def test_short_reads_and_writes(self):
        """Byte by byte, in both directions, for clients and workers."""
        worker = ManualWorker("s-1")
        async with self.site(worker) as site:
            ports = local(site.address[1]), peer(worker.port)
            with short(lambda sock, args: any(each(sock, args) for each in ports)) as calls:
                for type_ in ("plain", "marked", "single"):
                    mark = {"dedupe": "0" * 32} if type_ == "marked" else {}
                    client = Caller(site.address)
                    self.addCleanup(client.sock.close)
                    number = client.call(fields := ask(fn=1, **mark), b"y" * 100, type_)
                    await self.answered(site, client, number, worker, fields["call"], b"y" * 100)
            self.assertGreater(calls.calls, 1000)

    async def test_signals_interrupt_every_wait(self):
        worker = ManualWorker("s-1")
        async with self.site(worker) as site:
            with interrupted() as came:
                for _ in range(20):
                    await self.served(site, worker)
            self.assertGreater(len(came), 5)


class Workers(Case):
    async def rejected(self, site, fault, type_="single"):
        """Check that an activation that can't be sent is rejected after few attempts."""
        client = Caller(site.address)
        self.addCleanup(client.sock.close)
        number = client.call(ask(fn=1, ttl=600), type_=type_)
        await self.has(site, client, number)
        self.assertEqual(client.answers[number][0], "Throttled")
        self.assertLess(fault.calls, 16)

    async def test_no_socket_for_a_connection(self):
        for error in SOCKET_FAILS:
            with self.subTest(errno.errorcode[error]):
                first, second = ManualWorker("s-1"), ManualWorker("s-2")
                async with self.site(first, second) as site:
                    with no_sockets(error, times=None) as fault:
                        await self.rejected(site, fault)
                        fault.over()
                        await self.either(site, first, second)

    async def test_a_socket_that_cannot_be_connected(self):
        for error in CONNECT_FAILS:
            with self.subTest(errno.errorcode[error]):
                first, second = ManualWorker("s-1"), ManualWorker("s-2")
                async with self.site(first, second) as site:
                    chosen = peer(first.port, second.port)
                    with failing("connect", error, chosen, times=None) as fault:
                        await self.rejected(site, fault)
                        fault.over()
                        await self.confirmed(site, error)
                        await self.either(site, first, second)

    async def test_a_connection_that_is_not_made(self):
        for error in CONNECT_ENDS:
            with self.subTest(errno.errorcode[error]):
                first, second = ManualWorker("s-1"), ManualWorker("s-2")
                async with self.site(first, second) as site:
                    with failed_connections(error, (first.port, second.port), times=None) as fault:
                        await self.rejected(site, fault)
                        fault.over()
                        await self.confirmed(site, error)
                        await self.either(site, first, second)

    async def test_one_connection_that_is_not_made(self):
        """The next attempt succeeds, at the same or another worker."""
        for error in CONNECT_FAILS:
            with self.subTest(errno.errorcode[error]):
                first, second = ManualWorker("s-1"), ManualWorker("s-2")
                async with self.site(first, second) as site:
                    with failing("connect", error, peer(first.port, second.port)) as fault:
                        await self.either(site, first, second)
                    self.assertEqual(fault.failed, 1)

    async def confirmed(self, site, error):
        """After refused connections, wait until the list shows that the workers are still at their addresses.

        Until then other processes may be there, and nothing may be sent to them.
        """
        refused = [link for link in site.node.links.values() if link.refused_at is not None]
        self.assertEqual(bool(refused), error == errno.ECONNREFUSED)
        for link in refused:
            await site.until(lambda link=link: site.node.is_address_confirmed(link.worker, link.refused_at))

    async def either(self, site, first, second):
        """Check that one of the two workers completes an activation that must not run twice."""
        client = Caller(site.address)
        self.addCleanup(client.sock.close)
        number = client.call(fields := ask(fn=1), type_="single")

        def runs():
            return [(w, run) for w in (first, second) for run in w.runs() if run[1]["req"] == fields["call"]]

        await site.until(lambda: runs() or number in client.read())
        self.assertEqual(len(runs()), 1, client.answers)
        worker, run = runs()[0]
        worker.answer(run)
        await self.has(site, client, number)
        self.assertEqual(client.answers[number], ("completed", b"x"))
        self.assertEqual(len(runs()), 1)

    async def test_a_connection_without_its_option(self):
        """A connection on which TCP_NODELAY can't be set still works."""
        for error in (errno.EINVAL, errno.ENOBUFS, errno.ENOMEM, errno.ENOPROTOOPT, errno.ENOTCONN):
            with self.subTest(errno.errorcode[error]):
                worker = ManualWorker("s-1")
                async with self.site(worker) as site:
                    with failing("setsockopt", error, peer(worker.port), times=None) as fault:
                        await self.served(site, worker)
                    self.assertTrue(0 < fault.failed < 5)

    async def test_a_write_of_which_no_byte_is_taken(self):
        """The attempt provably never ran, so the activation continues and is not aborted."""
        for error in WRITE_BREAKS:
            with self.subTest(errno.errorcode[error]):
                first, second = ManualWorker("s-1"), ManualWorker("s-2")
                async with self.site(first, second) as site:
                    with broken_write(error, peer(first.port, second.port), begins=b'"FN"') as fault:
                        await self.either(site, first, second)
                    self.assertEqual(fault.failed, 1)

    async def test_a_write_that_blocks_before_its_first_byte_and_then_fails(self):
        """As above, one iteration of the event loop later."""
        first, second = ManualWorker("s-1"), ManualWorker("s-2")
        async with self.site(first, second) as site:
            chosen = peer(first.port, second.port)
            with (
                broken_write(errno.ETIMEDOUT, chosen, begins=b'"FN"') as fault,
                failing("send", errno.EAGAIN, chosen),
            ):
                await self.either(site, first, second)
            self.assertEqual(fault.failed, 1)

    async def test_a_write_of_which_some_bytes_are_taken(self):
        """The worker may have run the attempt, so an activation that must not run twice is aborted; others
        continue."""
        for error in WRITE_BREAKS:
            with self.subTest(errno.errorcode[error]):
                first, second = ManualWorker("s-1"), ManualWorker("s-2")
                async with self.site(first, second) as site:
                    chosen = peer(first.port, second.port)
                    with broken_write(error, chosen, taken=7, begins=b'"FN"') as fault:
                        client = Caller(site.address)
                        self.addCleanup(client.sock.close)
                        number = client.call(ask(fn=1), type_="single")
                        await self.has(site, client, number)
                        self.assertEqual((client.answers[number][0], fault.failed), ("Broken", 1))
                    self.assertEqual(first.runs() + second.runs(), [])

    async def test_a_connection_breaks_while_a_send_is_out(self):
        for error in READ_BREAKS:
            with self.subTest(errno.errorcode[error]):
                worker = ManualWorker("s-1")
                async with self.site(worker) as site:
                    client = Caller(site.address)
                    self.addCleanup(client.sock.close)
                    number = client.call(ask(fn=1), type_="single")
                    await site.until(worker.runs)
                    with failing("recv_into", error, peer(worker.port)) as fault:
                        worker.answer(worker.runs()[0])
                        await self.has(site, client, number)
                    self.assertEqual((client.answers[number][0], fault.failed), ("Broken", 1))
                    await self.served(site, worker)


class Lists(Case):
    async def test_a_question_that_is_not_sent(self):
        """The failure is temporary, or permanent for this socket, as when its local address is gone; the
        roster is queried again in both cases."""
        for error in DATAGRAM_FAILS:
            with self.subTest(errno.errorcode[error]):
                worker = ManualWorker("s-1")
                async with self.site(worker) as site:
                    await site.until(lambda: site.node.roster.counts["good"])
                    roster, first = site.node.roster, site.node.roster.sock
                    with failing("send", error, same(first), times=None) as fault:
                        before = roster.counts["asked"]
                        if error in MOMENTARY:
                            await self.failed(site, fault, 2)
                            fault.over()
                        await self.wait_for_list_change(site)
                        self.assertLessEqual(fault.calls, 2 * (roster.counts["asked"] - before))

    async def test_a_refusal_of_the_question_before(self):
        """The next send reports the refusal of the previous query and sends nothing, so it is repeated."""
        worker = ManualWorker("s-1")
        async with self.site(worker) as site:
            roster = site.node.roster
            await site.until(lambda: roster.counts["good"])
            asked, good = roster.counts["asked"], roster.counts["good"]
            with failing("send", errno.ECONNREFUSED, same(roster.sock)) as fault:
                await site.until(lambda: roster.counts["good"] > good)
            self.assertEqual((roster.counts["asked"], fault.failed), (asked + 1, 1))

    async def test_an_answer_that_is_not_received(self):
        """A socket that stays readable but can't be read is closed."""
        for error in set(DATAGRAM_FAILS) - {errno.EAGAIN, errno.EINTR}:
            with self.subTest(errno.errorcode[error]):
                worker = ManualWorker("s-1")
                async with self.site(worker) as site:
                    await site.until(lambda: site.node.roster.counts["good"])
                    first = site.node.roster.sock
                    with (
                        failing("recv", error, same(first), times=None) as fault,
                        LoopIterations() as turns,
                    ):
                        await self.failed(site, fault)
                        checks, before = site.node.check_count, turns.count
                        await asyncio.sleep(0.3)
                        self.assertLess(
                            turns.count - before,
                            MAX_ITERATIONS_PER_CHECK * (site.node.check_count - checks + 2),
                        )
                        fault.over()
                        await self.wait_for_list_change(site)

    async def test_no_socket_to_ask_with(self):
        for error in SOCKET_FAILS:
            with self.subTest(errno.errorcode[error]):
                worker = ManualWorker("s-1")
                async with self.site(worker) as site:
                    with no_sockets(error, times=None) as fault:
                        site.node.roster.set_address(site.node.roster.address)
                        await asyncio.sleep(0.2)
                        self.assertLess(fault.calls, 8)
                        fault.over()
                        await self.wait_for_list_change(site)

    async def wait_for_list_change(self, site):
        """Wait until the dispatcher has received a change of the list."""
        added = ManualWorker("s-9")
        self.addAsyncCleanup(added.close)
        site.roster.tell(added)
        await site.until(lambda: "s-9" in site.node.membership.members)


def same(sock):
    """Return a filter that selects one socket."""
    return lambda each, _args: each is sock


def local_to(client):
    """Return a filter that selects the dispatcher's end of a client connection."""
    own = client.sock.getsockname()[1]
    return peer(own)


if __name__ == "__main__":
    unittest.main()
