"""The graceful shutdown of `serve` answers each request that the kernel had accepted: in the listen queue,
on an open connection, behind another request, while a worker hangs.

Each test failed on commit 668305e, which stopped listening at once and closed connections without reading
them, or its docstring names the broken dispatcher on which it fails."""

import asyncio
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import unittest

from rig import FILE, KEY, Case, Roster, Worker, bind_unused_port, later, never

SIGNALLED_AT_EXIT = """
import atexit, os
atexit.register(os.kill, os.getpid(), {})
from petrelwood.cli.main import cli
cli()
"""


class Client:
    """A plain socket: the data it sends is in the kernel's buffers at once."""

    def __init__(self, address):
        self.sock = socket.create_connection(address)
        self.sock.setblocking(False)
        self.data, self.ended = b"", None

    def send(self, message):
        self.sock.send(message)

    def read(self):
        """Read the available data; return the statuses of the answers so far."""
        try:
            while self.ended is None:
                data = self.sock.recv(65536)
                self.data += data
                if not data:
                    self.ended = "end"
        except BlockingIOError:
            pass
        except ConnectionError:
            self.ended = "reset"
        return [int(part[:3]) for part in self.data.split(b"HTTP/1.1 ")[1:]]


class GracefulShutdown(Case):
    def clients(self, count):
        made = [Client(self.address) for _ in range(count)]
        for client in made:
            self.addCleanup(client.sock.close)
        return made

    async def _all_end(self, *clients):
        await self.until(lambda: all(client.read() is not None and client.ended for client in clients))

    async def test_requests_that_the_machine_has_accepted(self):
        """Requests are in the listen queue, and unread on an open connection, as the last one is answered."""
        await self.begin(Worker("w1", later(0.2)))
        (opened,) = self.clients(1)
        opened.send(self.message())
        await self.until(opened.read)
        (busy,) = self.clients(1)
        busy.send(self.message())
        await self.until(lambda: self.core.pending.activations)
        ending = asyncio.ensure_future(self.core.close())
        await asyncio.sleep(0)
        (queued,) = self.clients(1)
        queued.send(self.message())
        opened.send(self.message())
        time.sleep(0.3)  # the worker's answer arrives meanwhile, too
        await asyncio.wait_for(ending, 30)
        await self._all_end(opened, busy, queued)
        self.assertEqual(opened.read()[0], 200)
        self.assertEqual(busy.read(), [200])
        for client in (opened, queued):
            self.assertEqual((client.read()[-1], client.ended), (503, "end"))
        self.assertEqual(len(opened.read()), 2)

    async def test_requests_behind_one_that_is_out(self):
        """All on one connection: each is answered, and the last answer announces the close."""
        await self.begin(Worker("w1", later(0.3)))
        (client,) = self.clients(1)
        client.send(self.message())
        await self.until(lambda: self.core.pending.activations)
        ending = asyncio.ensure_future(self.core.close())
        await asyncio.sleep(0.02)
        client.send(self.message() + self.message())
        await asyncio.sleep(0.02)
        client.send(self.message())
        await asyncio.wait_for(ending, 30)
        await self._all_end(client)
        self.assertEqual(client.read(), [200, 503, 503, 503])
        self.assertEqual(client.data.count(b"Connection: close"), 1)

    async def test_the_listeners_of_a_successor_are_not_kept_open(self):
        """Guards against connections that the kernel accepts for a process that reads none of them."""
        await self.begin(Worker("w1", later(0.3)))
        (busy,) = self.clients(1)
        busy.send(self.message())
        await self.until(lambda: self.core.pending.activations)
        successors = [socket.socket(fileno=os.dup(each)) for each in self.front.descriptors()]
        self.front.pause()  # as in a hand-over
        ending = asyncio.ensure_future(self.core.close())
        await asyncio.sleep(0)
        for sock in successors:  # the successor also ends
            sock.close()
        with self.assertRaises(ConnectionRefusedError):
            self.clients(1)
        await asyncio.wait_for(ending, 30)
        await self._all_end(busy)
        self.assertEqual(busy.read(), [200])

    async def test_a_worker_that_hangs_while_clients_go_on_sending(self):
        """The shutdown ends within the longest action timeout and 0.7 s, the earliest time of a kill.

        Fails if the shutdown waits for pending activations without a deadline.
        """
        await self.begin(Worker("w1", never))
        (out,) = self.clients(1)
        out.send(self.message("once-1"))
        await self.until(lambda: self.core.pending.activations)
        began = time.monotonic()
        ending = asyncio.ensure_future(self.core.close())
        senders = []
        while not ending.done():
            try:
                (client,) = self.clients(1)
            except ConnectionError:
                break
            client.send(self.message())
            senders.append(client)
            await asyncio.sleep(0.02)
        await asyncio.wait_for(ending, 30)
        self.assertLess(time.monotonic() - began, 2.7)
        await self._all_end(out, *senders[:-1])  # the last request may arrive as the process ends
        self.assertEqual(out.read(), [504])
        self.assertEqual({tuple(client.read()) for client in senders[:-1]}, {(503,)})
        self.assertGreater(len(senders), 20)


class LastSignals(unittest.IsolatedAsyncioTestCase):
    async def test_one_more_signal_as_the_process_ends(self):
        """Guards against a signal after the loop was closed that kills the process by its default action."""
        for last in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            with self.subTest(last):
                roster = Roster()
                sock, port = bind_unused_port()
                roster.add_sockets([sock])
                self.addCleanup(roster.stop)
                with tempfile.TemporaryDirectory() as folder:
                    path = pathlib.Path(folder) / "g.kdl"
                    path.write_text(FILE.format(roster=port, key=KEY, limits='body "20KB"', workers=""))
                    self.assertEqual(await self._exit_code(path, last), 0)

    async def _exit_code(self, path, last):
        """Return the exit code of a dispatcher that gets SIGTERM, and `last` as its interpreter exits."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            SIGNALLED_AT_EXIT.format(last.value),
            "serve",
            str(path),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        self.assertIn(b"ready", await asyncio.wait_for(process.stdout.readline(), 60))
        process.terminate()
        return await asyncio.wait_for(process.wait(), 60)


if __name__ == "__main__":
    unittest.main()
