"""The MessagePack-RPC client when system calls fail: each call ends in time, and the next one succeeds."""

import asyncio
import contextlib
import errno
import gc
import os
import socket
import time
import unittest
from unittest import mock

from tornado.netutil import bind_sockets

from petrelwood.links import rpc, rpc_client, sockets
from petrelwood.links.listener import Listener
from petrelwood.links.rpc_client import RpcClient, RpcError

TIMEOUT = 30  # seconds; far more than a busy machine needs
MAX_SIZE = 1 << 16  # bytes of a message
SOCKET_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM)
CONNECT_ERRORS = (
    errno.ECONNREFUSED,
    errno.ECONNABORTED,
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ETIMEDOUT,
    errno.ENOBUFS,
    errno.EPERM,
    errno.EAGAIN,
)
CONNECTION_ERRORS = (
    errno.ECONNRESET,
    errno.EPIPE,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ENOBUFS,
)


class Echo(Listener):
    """Answers each call with its parameters, except for the method `silence`."""

    def __init__(self):
        super().__init__()
        self.connections, self.silent = 0, 0

    def fall_silent(self):
        """Stop answering on the present connections."""
        self.silent = self.connections

    async def handle_stream(self, stream, address):
        self.connections += 1
        own, reader = self.connections, rpc.Reader(MAX_SIZE)
        while True:
            try:
                data = await stream.read_bytes(MAX_SIZE, partial=True)
            except OSError:
                return
            for _, message_id, method, params in reader.feed(data):
                if method == "garbage":
                    await stream.write(b"\xc1")
                elif method != "silence" and own > self.silent:
                    await stream.write(rpc.response(message_id, None, params))


class Faults(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = Echo()
        listening = bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(listening)
        self.addCleanup(self.server.stop)
        self.client = RpcClient(listening[0].getsockname(), MAX_SIZE)
        self.addCleanup(self.client.close)

    async def ask(self, method="echo", within=TIMEOUT):
        return await self.client.call(method, [1], within)

    async def fails_at_once(self, method="echo"):
        began = time.monotonic()
        with self.assertRaises(RpcError):
            await self.ask(method)
        self.assertLess(time.monotonic() - began, TIMEOUT / 2)

    def fault(self, name, number, when=lambda sock, args: True):
        """Make one call of a method of the client's socket fail; sockets of the server are not affected."""
        inner, done = getattr(socket.socket, name), []
        port = self.client.address[1]

        def outer(sock, *args):
            if not done and _port_of(sock, args) == port and when(sock, args):
                done.append(True)
                if name == "getsockopt":
                    return number
                raise OSError(number, os.strerror(number))
            return inner(sock, *args)

        return mock.patch.object(socket.socket, name, outer)

    async def test_no_socket_to_be_had(self):
        for number in SOCKET_ERRORS:
            with self.subTest(errno.errorcode[number]):
                self.client.close()
                with mock.patch.object(sockets, "new_socket", side_effect=OSError(number, "injected")):
                    await self.fails_at_once()
                self.assertEqual(await self.ask(), [1])

    async def test_no_connection_to_be_had(self):
        for name in ("connect", "getsockopt"):
            for number in CONNECT_ERRORS:
                if (name, number) == ("connect", errno.EAGAIN):
                    continue  # for connect(2) this means that connecting is in progress
                with self.subTest(name, number=errno.errorcode[number]):
                    self.client.close()
                    with self.fault(name, number):
                        await self.fails_at_once()
                    self.assertEqual(await self.ask(), [1])

    async def test_an_option_that_can_not_be_set_costs_no_call(self):
        for number in (errno.ENOBUFS, errno.EINVAL):
            with self.subTest(errno.errorcode[number]):
                self.client.close()
                with self.fault("setsockopt", number):
                    self.assertEqual(await self.ask(), [1])

    async def test_connections_that_fail_leave_no_socket_behind(self):
        before = len(os.listdir("/proc/self/fd"))
        gc.disable()
        self.addCleanup(gc.enable)
        for _ in range(8):
            with self.fault("getsockopt", errno.ECONNREFUSED):
                await self.fails_at_once()
            with mock.patch.object(sockets, "disable_delay", side_effect=OSError(errno.ENOMEM, "injected")):
                await self.fails_at_once()
            await asyncio.sleep(0.01)
        self.assertLess(len(os.listdir("/proc/self/fd")) - before, 8)
        self.assertEqual(await self.ask(), [1])

    async def test_a_connection_that_breaks_ends_all_calls_at_once(self):
        for name in ("recv_into", "send"):
            for number in CONNECTION_ERRORS:
                with self.subTest(name, number=errno.errorcode[number]):
                    self.assertEqual(await self.ask(), [1])
                    waiting = asyncio.create_task(self.fails_at_once("silence"))
                    await asyncio.sleep(0.01)
                    with self.fault(name, number):
                        await self.fails_at_once()
                    await waiting
                    self.assertEqual(await self.ask(), [1])

    async def test_what_is_no_message_ends_the_connection(self):
        await self.fails_at_once("garbage")
        self.assertEqual(await self.ask(), [1])

    async def test_a_connection_that_is_silent_for_a_call_is_not_used_again(self):
        """As with a machine that lost power: there is no sign that the connection is dead."""
        self.assertEqual(await self.ask(), [1])
        self.server.fall_silent()
        with self.assertRaisesRegex(RpcError, "no answer in time"):
            await self.ask(within=0.05)
        self.assertEqual(await self.ask(), [1])
        self.assertEqual(self.server.connections, 2)

    async def test_a_call_without_an_answer_leaves_a_connection_that_others_are_answered_on(self):
        waiting = asyncio.create_task(self.ask("silence", 1))
        while not waiting.done():
            self.assertEqual(await self.ask(), [1])
            await asyncio.sleep(0.01)
        with self.assertRaises(RpcError):
            await waiting
        self.assertEqual(await self.ask(), [1])
        self.assertEqual(self.server.connections, 1)

    async def test_a_cancellation_that_comes_as_the_call_ends_is_not_lost(self):
        ends = []

        async def caller():
            while True:
                with contextlib.suppress(RpcError):
                    await self.ask("silence")
                ends.append("went on")
                await asyncio.sleep(0)

        task = asyncio.create_task(caller())
        await asyncio.sleep(0.05)
        self.client.close()  # its call fails in the same iteration of the event loop in which it is cancelled
        await asyncio.sleep(0)
        task.cancel()
        await asyncio.wait([task], timeout=5)
        self.assertTrue(task.cancelled(), ends)

    async def test_too_many_calls_without_an_answer_fail_at_once(self):
        calls = [asyncio.create_task(self.ask("silence")) for _ in range(rpc_client.MAX_OPEN_CALLS)]
        async with asyncio.timeout(TIMEOUT):
            while self.client.messages < len(calls):
                await asyncio.sleep(0.01)
        await self.fails_at_once()
        self.client.close()
        ends = await asyncio.gather(*calls, return_exceptions=True)
        self.assertEqual({type(end) for end in ends}, {RpcError})


def _port_of(sock, args):
    """Return the port that a socket is connected or connecting to."""
    if args and isinstance(args[0], tuple):
        return args[0][1]
    try:
        return sock.getpeername()[1]
    except OSError:
        return None


if __name__ == "__main__":
    unittest.main()
