"""Listeners survive every error of accept(2) without a busy loop, a permanent pause or lost connections."""

import asyncio
import errno
import socket
import unittest
from unittest import mock

from tornado.netutil import bind_sockets

from petrelwood.links import listener
from petrelwood.links.accept_errors import AcceptError, classify

TIMEOUT = 30  # seconds; far more than a busy machine needs
MACHINE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINVAL, errno.EBADF)
CONNECTION_ERRORS = (errno.ECONNABORTED, errno.EPROTO, errno.EPERM, errno.ENETUNREACH, errno.EHOSTUNREACH)
NO_PENDING_CONNECTION = (errno.EAGAIN, errno.EINTR)
ACCEPT = socket.socket.accept


class Greeter(listener.Listener):
    """Greets each connection and closes it."""

    def __init__(self):
        super().__init__()
        self.pauses = []

    async def handle_stream(self, stream, address):
        await stream.write(b"hello")
        stream.close()

    def accept_failed(self, error, pause):
        self.pauses.append((error.errno, pause))


class Classification(unittest.TestCase):
    def test_whom_an_error_concerns(self):
        descriptors = (errno.EMFILE, errno.ENFILE)
        for kind, numbers in (
            (AcceptError.NOTHING_PENDING, NO_PENDING_CONNECTION),
            (AcceptError.CONNECTION, CONNECTION_ERRORS),
            (AcceptError.DESCRIPTORS, descriptors),
            (AcceptError.OTHER, [each for each in MACHINE_ERRORS if each not in descriptors]),
        ):
            for number in numbers:
                with self.subTest(errno.errorcode[number]):
                    self.assertIs(classify(OSError(number, "injected")), kind)


class Errors(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.enterContext(mock.patch.object(listener, "FIRST_PAUSE", listener.FIRST_PAUSE // 5))
        self.server = Greeter()
        self.sockets = bind_sockets(0, "127.0.0.1")
        self.server.add_sockets(self.sockets)
        self.addCleanup(self.server.stop)
        self.calls = 0

    def failing(self, number, times):
        """Make the next `times` calls of `accept` fail; with None all calls, until the context ends."""
        self.calls = 0

        def accept(sock):
            self.calls += 1
            if times is None or self.calls <= times:
                raise OSError(number, "injected")
            return ACCEPT(sock)

        return mock.patch.object(socket.socket, "accept", accept)

    async def greeted(self):
        """Connect, and return all that the client reads."""
        reader, writer = await asyncio.open_connection(*self.sockets[0].getsockname())
        self.addCleanup(writer.close)
        return await asyncio.wait_for(reader.read(), TIMEOUT)

    async def test_each_error_once_and_for_a_while(self):
        for number in (*MACHINE_ERRORS, *CONNECTION_ERRORS, *NO_PENDING_CONNECTION):
            for times in (1, 3, 40):
                with self.subTest(errno.errorcode[number], times=times):
                    if times == 40 and number in MACHINE_ERRORS:
                        continue  # the backoff would take about 30 s; the next test covers lasting errors
                    with self.failing(number, times):
                        self.assertEqual(await self.greeted(), b"hello")

    async def test_an_error_that_lasts_makes_few_calls_and_the_listener_hears_again(self):
        for number in (*MACHINE_ERRORS, *CONNECTION_ERRORS):
            with self.subTest(errno.errorcode[number]), self.failing(number, None):
                waiting = asyncio.create_task(self.greeted())
                await asyncio.sleep(0.1)
                # At most five pauses fit into 0.1 s, more if the event loop stalls. A busy loop would make
                # hundreds of calls.
                self.assertLess(self.calls, 10 * listener.CONNECTION_ERRORS_IN_A_ROW)
                self.assertGreater(len(self.server.pauses), 1)
            self.assertEqual(await waiting, b"hello")
            self.server.pauses.clear()

    async def test_pauses_grow_up_to_a_bound_and_are_short_again_after_a_connection(self):
        self.server.stop()
        self.server = Greeter()
        self.sockets = bind_sockets(0, "127.0.0.1")
        with mock.patch.object(listener, "LONGEST_PAUSE", 4 * listener.FIRST_PAUSE):
            self.server.add_sockets(self.sockets)
        with self.failing(errno.EMFILE, 5):
            self.assertEqual(await self.greeted(), b"hello")
        pauses = [pause / listener.FIRST_PAUSE for _, pause in self.server.pauses]
        for pause, longest in zip(pauses, (1, 2, 4, 4, 4), strict=True):
            self.assertTrue(longest / 2 <= pause <= longest, pauses)
        with self.failing(errno.EMFILE, 1):
            self.assertEqual(await self.greeted(), b"hello")
        self.assertLessEqual(self.server.pauses[-1][1], listener.FIRST_PAUSE)
        self.server.stop()

    async def test_a_listener_that_pauses_is_stopped_and_stays_so(self):
        with self.failing(errno.EMFILE, 1):
            waiting = asyncio.create_task(self.greeted())
            while not self.server.pauses:
                await asyncio.sleep(0)
            self.server.stop()
            with self.assertRaises(OSError):
                await waiting
        await asyncio.sleep(2 * listener.FIRST_PAUSE / 1e9)
        self.assertEqual(self.calls, 1)


if __name__ == "__main__":
    unittest.main()
