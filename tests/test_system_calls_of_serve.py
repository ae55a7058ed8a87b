"""Failing system calls of `petrelwood serve`, the speaker and the configuration servers: fronts, links and
listeners. The checks are those of tests/test_system_calls.py."""

import asyncio
import contextlib
import errno
import logging
import tempfile
import time
import traceback
from unittest import mock

import rig
import test_mqtt
import test_speaker
from syscall_faults import (
    ACCEPT_FAILS,
    ACCEPT_LOSES,
    CONNECT_ENDS,
    CONNECT_FAILS,
    READ_BREAKS,
    SOCKET_FAILS,
    WRITE_BREAKS,
    LoopIterations,
    broken_write,
    failed_connections,
    failing,
    interrupted,
    local,
    no_sockets,
    peer,
    short,
)
from tornado.tcpserver import TCPServer

from petrelwood.bgp import heartbeats
from petrelwood.control import messages
from petrelwood.control.connection import Connection
from petrelwood.control.tasks import BackgroundTasks
from petrelwood.dispatch.handover.predecessor import PredecessorProcess
from petrelwood.links.rpc_client import RpcClient, RpcError

OPTION_FAILS = (errno.EINVAL, errno.ENOBUFS, errno.ENOMEM, errno.ENOPROTOOPT, errno.ENOTCONN)
RUN = b"\xa3run"  # in the bytes of a send to a worker
TURNS_A_SECOND = 1000  # far more than needed; a busy loop has tens of thousands
PATIENT = 30  # seconds; far longer than a busy machine needs


class Quietly:
    """Checks that no exception of petrelwood's code reaches the event loop's handler or Tornado's log."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.unhandled = []
        loop = asyncio.get_running_loop()
        loop.set_debug(False)
        loop.set_exception_handler(lambda _, context: self.unhandled.append(context))
        log = logging.getLogger("tornado.application")
        log.addFilter(self._keep)
        self.addCleanup(log.removeFilter, self._keep)

    def _keep(self, record):
        frames = traceback.extract_tb(record.exc_info[2]) if record.exc_info else ()
        if any("/petrelwood/" in frame.filename for frame in frames):
            self.unhandled.append(record.exc_info[1])
        return False

    async def asyncTearDown(self):
        await super().asyncTearDown()
        self.assertEqual(self.unhandled, [])


class Served(Quietly, rig.Case):
    async def begin(self, *workers, **more):
        await super().begin(*workers, **more)
        self.ports = tuple(worker.port for worker in workers)

    def runs_of(self, act):
        return [run for worker in self.workers for run in worker.runs if run[0] == act]

    async def gone(self, most=0):
        """Wait until the connections have ended and are no longer counted for their address."""
        await self.until(lambda: len(self.front.connections) <= most)
        self.assertEqual(self.front.admission.open, len(self.front.connections))

    async def completed(self, function="once-1"):
        """Check that one more request, on a new connection, runs once and is answered."""
        self.caller.close()
        self.caller = rig.Caller(self.address)
        status, reply = await self.post(function)
        self.assertEqual(status, 200, reply.body)
        self.assertEqual(len(self.runs_of(reply.headers[b"activation-id"].decode())), 1)

    async def recovers(self, function="once-1"):
        """Do the same as `completed`, once links may reconnect."""
        ends = time.monotonic() + PATIENT
        while True:
            status, reply = await self.post(function)
            if status == 200:
                return
            self.assertEqual(status, 503, reply.body)
            self.assertLess(time.monotonic(), ends, "no worker is reached")
            await asyncio.sleep(0.05)


class Webhooks(Served):
    async def test_accept_fails_for_a_while(self):
        await self.begin(rig.Worker("w1"))
        for error in ACCEPT_FAILS:
            with self.subTest(errno.errorcode[error]):
                self.caller.close()
                self.caller = rig.Caller(self.address)
                with failing("accept", error, local(self.address[1]), times=3) as fault:
                    self.assertEqual((await self.post("once-1"))[0], 200)
                self.assertEqual(fault.failed, 3)

    async def test_a_new_connection_cannot_be_told_to_send_at_once(self):
        """The connection is served without the option, and counted for its address only while it is open."""
        await self.begin(rig.Worker("w1"))
        for error in OPTION_FAILS:
            with self.subTest(errno.errorcode[error]):
                with failing("setsockopt", error, local(self.address[1])) as fault:
                    await self.completed()
                self.assertEqual(fault.failed, 1)
                await self.gone(1)

    async def test_a_connection_breaks_as_it_is_read(self):
        await self.begin(rig.Worker("w1"))
        for error in READ_BREAKS:
            with self.subTest(errno.errorcode[error]):
                with failing("recv_into", error, local(self.address[1]), times=None) as fault:
                    with self.assertRaises(rig.ConnectionLostError):
                        await self.post("once-1")
                    self.assertEqual(fault.failed, 1)
                await self.gone()
        await self.completed()

    async def test_a_connection_breaks_as_its_answer_is_written(self):
        await self.begin(rig.Worker("w1"))
        for error in WRITE_BREAKS:
            with self.subTest(errno.errorcode[error]):
                with broken_write(error, local(self.address[1]), begins=b"HTTP/1.1 200") as fault:
                    with self.assertRaises(rig.ConnectionLostError):
                        await self.post("once-1")
                self.assertEqual(fault.failed, 1)
                await self.gone()
        await self.completed()

    async def test_short_reads_and_writes(self):
        await self.begin(rig.Worker("w1"))
        ports = local(self.address[1]), peer(*self.ports)
        with short(lambda sock, args: any(each(sock, args) for each in ports)) as calls:
            for function in ("again-1", "hall-1", "once-1"):
                await self.completed(function)
        self.assertGreater(calls.calls, 1000)

    async def test_signals_interrupt_every_wait(self):
        await self.begin(rig.Worker("w1"))
        with interrupted() as came:
            for _ in range(20):
                await self.completed()
        self.assertGreater(len(came), 5)


class Workers(Served):
    async def rejected(self, fault):
        """Activations that can't be sent are rejected with a retry hint, without many system calls."""
        status, reply = await self.post("once-1")
        self.assertEqual((status, self.runs()), (503, 0), reply.body)
        self.assertIn(b"retry-after", reply.headers)
        self.assertLess(fault.calls, 16)
        self.assertEqual(self.core.pending.counts["defects"], 0)
        fault.over()

    async def test_no_socket_for_a_connection(self):
        for error in SOCKET_FAILS:
            with self.subTest(errno.errorcode[error]):
                await self.begin(rig.Worker("w1"), rig.Worker("w2"))
                stream = await self.caller.connect()
                self.caller.idle.append(stream)
                with no_sockets(error, times=None) as fault:
                    await self.rejected(fault)
                    await self.recovers()
                await rig.Case.asyncTearDown(self)

    async def test_a_socket_that_cannot_be_connected(self):
        for error in CONNECT_FAILS:
            with self.subTest(errno.errorcode[error]):
                await self.begin(rig.Worker("w1"), rig.Worker("w2"))
                with failing("connect", error, peer(*self.ports), times=None) as fault:
                    await self.rejected(fault)
                    await self.recovers()
                await rig.Case.asyncTearDown(self)

    async def test_a_connection_that_is_not_made(self):
        for error in CONNECT_ENDS:
            with self.subTest(errno.errorcode[error]):
                await self.begin(rig.Worker("w1"), rig.Worker("w2"))
                with failed_connections(error, self.ports, times=None) as fault:
                    await self.rejected(fault)
                    await self.recovers()
                await rig.Case.asyncTearDown(self)

    async def test_a_connection_without_its_option(self):
        await self.begin(rig.Worker("w1"))
        with failing("setsockopt", errno.ENOBUFS, peer(*self.ports), times=None) as fault:
            await self.completed()
        self.assertTrue(0 < fault.failed < 5)

    async def test_a_write_of_which_no_byte_is_taken(self):
        """An activation that provably never ran is sent to the other worker, and is not aborted."""
        for error in WRITE_BREAKS:
            with self.subTest(errno.errorcode[error]):
                await self.begin(rig.Worker("w1"), rig.Worker("w2"))
                with broken_write(error, peer(*self.ports), begins=RUN) as fault:
                    await self.completed()
                self.assertEqual((fault.failed, self.runs()), (1, 1))
                await rig.Case.asyncTearDown(self)

    async def test_a_write_of_which_some_bytes_are_taken(self):
        """The worker may run it from the bytes sent: an activation that must not run twice is aborted."""
        for error in WRITE_BREAKS:
            with self.subTest(errno.errorcode[error]):
                await self.begin(rig.Worker("w1"), rig.Worker("w2"))
                with broken_write(error, peer(*self.ports), taken=7, begins=RUN) as fault:
                    status, _ = await self.post("once-1")
                self.assertEqual((status, fault.failed, self.runs()), (504, 1, 0))
                await rig.Case.asyncTearDown(self)

    async def test_a_connection_breaks_while_a_send_is_out(self):
        for error in READ_BREAKS:
            with self.subTest(errno.errorcode[error]):
                await self.begin(rig.Worker("w1", rig.later(0.1)))
                waiting = asyncio.ensure_future(self.post("once-1"))
                await self.until(self.runs)
                with failing("recv_into", error, peer(*self.ports)) as fault:
                    self.assertEqual((await waiting)[0], 504)
                self.assertEqual(fault.failed, 1)
                await self.recovers()
                await rig.Case.asyncTearDown(self)


class Lists(Served):
    async def hears(self, added):
        """Check that the dispatcher receives one more worker."""
        self.roster.tell(added.entry())
        await self.until(lambda: added.name in self.core.membership.members)

    async def follows_again(self, call, errors):
        """The stream breaks, and a call fails during the reconnection; then the list is followed again."""
        for error in errors:
            with self.subTest(errno.errorcode[error]):
                await self.begin(rig.Worker("w1"))
                at = peer(self.core.roster.address[1])
                inject = no_sockets(error, times=None) if call == "socket" else None
                with LoopIterations() as turns, inject or failing(call, error, at, times=None) as fault:
                    self.core.roster.drop()
                    await self.failed(fault)
                    before, now = turns.count, time.monotonic()
                    await asyncio.sleep(0.2)
                    self.assertLess(turns.count - before, TURNS_A_SECOND * (time.monotonic() - now))
                added = rig.Worker("w9")
                self.workers = (*self.workers, added)
                self.roster.entries.append(added.entry())
                await self.until(lambda: any(not stream.closed() for stream in self.roster.streams))
                await self.hears(added)
                await rig.Case.asyncTearDown(self)

    async def failed(self, fault):
        await self.until(lambda: fault.failed)

    async def test_no_socket(self):
        await self.follows_again("socket", (errno.EMFILE, errno.ENOBUFS))

    async def test_a_socket_that_cannot_be_connected(self):
        await self.follows_again("connect", (errno.EADDRNOTAVAIL, errno.EAGAIN, errno.EINTR))

    async def test_a_question_that_is_not_written(self):
        await self.follows_again("send", (errno.EPIPE, errno.EHOSTUNREACH, errno.ENOBUFS))

    async def test_an_answer_that_is_not_read(self):
        await self.follows_again("recv_into", (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENOMEM))


class Echo(TCPServer):
    """An RPC server that answers each call with its parameters."""

    def __init__(self):
        super().__init__()
        self.tasks = BackgroundTasks()
        sock, self.port = rig.bind_unused_port()
        self.add_sockets([sock])

    async def handle_stream(self, stream, address):
        try:
            await Connection(stream, self._answer, self.tasks).serve()
        except OSError:
            pass

    async def _answer(self, method, params):
        return params


class Calls(Quietly, rig.unittest.IsolatedAsyncioTestCase):
    """Calls between configuration servers, and calls of their clients."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = Echo()
        self.client = RpcClient(("127.0.0.1", self.server.port), messages.MAX_MESSAGE_SIZE)
        self.addCleanup(self.client.close)
        self.addCleanup(self.server.stop)

    async def works(self):
        self.assertEqual(await self.client.call("echo", [1], PATIENT), [1])

    async def fails_and_works(self, inject):
        with inject:
            began = time.monotonic()
            with self.assertRaises(RpcError):
                await self.client.call("echo", [1], PATIENT)
            self.assertLess(time.monotonic() - began, PATIENT / 2)
        await self.works()

    async def test_each_call_fails_at_once_and_the_next_one_works(self):
        at = peer(self.server.port)
        for error in SOCKET_FAILS:
            with self.subTest("socket", error=errno.errorcode[error]):
                self.client.close()
                await self.fails_and_works(no_sockets(error))
        for error in CONNECT_FAILS:
            with self.subTest("connect", error=errno.errorcode[error]):
                self.client.close()
                await self.fails_and_works(failing("connect", error, at))
        for error in WRITE_BREAKS:
            with self.subTest("send", error=errno.errorcode[error]):
                await self.fails_and_works(failing("send", error, at))
        for error in READ_BREAKS:
            with self.subTest("recv", error=errno.errorcode[error]):
                await self.fails_and_works(failing("recv_into", error, at))

    async def test_a_connection_without_its_option(self):
        """The fault occurs at either end of the connection."""
        for chosen in (peer(self.server.port), local(self.server.port)):
            for error in OPTION_FAILS:
                with self.subTest(errno.errorcode[error]):
                    self.client.close()
                    with failing("setsockopt", error, chosen, times=None) as fault:
                        await self.works()
                    self.assertEqual(fault.failed, 1)

    async def test_short_reads_and_writes(self):
        ports = local(self.server.port), peer(self.server.port)
        with short(lambda sock, args: any(each(sock, args) for each in ports)):
            await self.works()


class Upgrades(Quietly, rig.unittest.IsolatedAsyncioTestCase):
    async def test_accept_fails_for_a_while(self):
        """The control socket accepts the next upgrade once the fault is over, without a busy loop."""
        core = mock.Mock(
            loop=asyncio.get_running_loop(), now=time.monotonic_ns, pending=mock.Mock(activations={})
        )
        with tempfile.TemporaryDirectory() as folder:
            path = f"{folder}/control"
            calls = {name: mock.Mock() for name in ("on_handover", "on_resume", "on_finished")}
            process = PredecessorProcess(path, core, mock.Mock(), rig.RecordingLog(), **calls)
            for error in (*ACCEPT_FAILS, *ACCEPT_LOSES):
                with self.subTest(errno.errorcode[error]), LoopIterations() as turns:
                    process.open()
                    with failing("accept", error, same(process.server.sock), times=3) as fault:
                        _, writer = await asyncio.open_unix_connection(path)
                        async with asyncio.timeout(PATIENT):
                            while not len(process.tasks) > 2:  # besides the two permanent tasks
                                await asyncio.sleep(0.005)
                    self.assertEqual(fault.failed, 3)
                    self.assertLess(turns.count, TURNS_A_SECOND)
                    writer.close()
                    process.close()
                    await asyncio.sleep(0)
                    process.tasks.clear()


class Broker(Quietly, test_mqtt.MqttCase):
    async def asked(self, correlation):
        self.client.ask("once-1", correlation)
        self.assertEqual(await self.answered(correlation), ["completed"])

    async def test_the_connection_breaks_and_is_made_again(self):
        """Handled like any connection error; each of the first reconnection attempts fails as well."""
        await self.begin(rig.Worker("w1"))
        (session,) = self.cores[0].fronts[-1].sessions
        at = peer(self.port)
        number = 0
        for call, errors in (("recv_into", READ_BREAKS), ("send", WRITE_BREAKS)):
            for error, again in zip(errors, CONNECT_FAILS, strict=False):
                with self.subTest(call, error=errno.errorcode[error], again=errno.errorcode[again]):
                    number += 1
                    lost = session.counts.connections_lost
                    of_session = same(session.connection.stream.socket)
                    with failing(call, error, of_session) as fault, failing("connect", again, at) as second:
                        session.connection.write(test_mqtt.mqtt.Packet(test_mqtt.mqtt.PINGREQ))
                        await self.until(lambda: fault.failed and second.failed)
                        await self.until(lambda: session.connection.is_up)
                    self.assertEqual(session.counts.connections_lost, lost + 1)
                    await self.asked(b"%d" % number)

    async def test_a_connection_without_its_option(self):
        await self.begin(rig.Worker("w1"))
        (session,) = self.cores[0].fronts[-1].sessions
        with failing("setsockopt", errno.ENOBUFS, peer(self.port), times=None) as fault:
            session.connection.stream.close()
            await self.until(lambda: fault.failed and session.connection.is_up)
        await self.asked(b"after")


class Speaker(Quietly, test_speaker.Case):
    async def established(self, one):
        (at,) = one.peers
        await self.until(lambda: at.neighbor.established is not None)
        return at

    @staticmethod
    def says_something(router):
        for side in router.all:
            side.stream.write(test_speaker.bgp.KEEPALIVE_MESSAGE)

    async def test_no_socket_for_a_connection(self):
        """The next attempt follows after the backoff, as after any other failure."""
        with contextlib.ExitStack() as faults:
            failures = [faults.enter_context(no_sockets(error)) for error in SOCKET_FAILS]
            speakers = [self.speaker(self.router(), number=n) for n in range(1, 1 + len(SOCKET_FAILS))]
            await self.until(lambda: all(fault.failed for fault in failures))
            for one in speakers:
                await self.established(one)

    async def test_no_way_to_a_peer(self):
        with contextlib.ExitStack() as faults:
            failures, speakers = [], []
            for number, error in enumerate(CONNECT_FAILS, 1):
                router = self.router()
                failures.append(faults.enter_context(failing("connect", error, peer(router.address[1]))))
                speakers.append(self.speaker(router, number=number))
            await self.until(lambda: all(fault.failed for fault in failures))
            for one in speakers:
                await self.established(one)

    async def test_a_session_breaks(self):
        """The peer is down at once, not after the hold time of 90 s, and up again after the backoff."""
        breaks = [("recv_into", error) for error in READ_BREAKS]
        breaks += [("send", error) for error in WRITE_BREAKS]
        sides = []
        for number, (call, error) in enumerate(breaks, 1):
            router = self.router()
            at = await self.established(self.speaker(router, number=number, hold="90s"))
            sides.append((call, error, router, at))
        with contextlib.ExitStack() as faults:
            for call, error, router, at in sides:
                (stream,) = at.streams.values()
                faults.enter_context(failing(call, error, same(stream.socket)))
                if call == "send":
                    at.write(at.neighbor.established.key, test_speaker.bgp.KEEPALIVE_MESSAGE)
                else:
                    self.says_something(router)
            await self.until(lambda: all(at.neighbor.counts["down"] == 1 for *_, at in sides))
        await self.until(lambda: all(at.neighbor.established for *_, at in sides))

    async def test_a_connection_without_its_option(self):
        for error in OPTION_FAILS:
            with self.subTest(errno.errorcode[error]):
                router = self.router()
                with failing("setsockopt", error, peer(router.address[1]), times=None) as fault:
                    one = self.speaker(router)
                    self.beats(one)
                    await self.established(one)
                self.assertTrue(fault.failed)

    async def test_heartbeats_that_are_not_received(self):
        """Failing reads of a readable socket cause no busy loop; later messages are received."""
        router = self.router()
        one = self.speaker(router)
        self.beats(one)
        await self.until(lambda: self.has(router))
        for error in (errno.ENOBUFS, errno.ENOMEM):
            with (
                self.subTest(errno.errorcode[error]),
                failing("recv", error, same(one.heartbeats.sock), times=None) as fault,
            ):
                await self.until(lambda: fault.failed)
                before = fault.failed
                await asyncio.sleep(0.3)
                self.assertLess(fault.failed - before, 2 * 0.3 / heartbeats.HEARTBEAT_SECONDS)
                await self.until(lambda: not self.has(router))
                fault.over()
                await self.until(lambda: self.has(router))


def same(sock):
    """Return a predicate that selects one socket."""
    return lambda each, _args: each is sock


if __name__ == "__main__":
    rig.unittest.main()
