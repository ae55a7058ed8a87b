"""A webhook client that has hung up has gone: no send of a repeatable activation leaves for its worker,
though the end lies unread behind what lets the send go. What outlives its client leaves all the same.

The first test failed on the text before (f060754), where the link did not look."""

import asyncio
import socket
import struct
import time
import unittest

from rig import Case, Worker
from test_serve_shutdown import Client


class HungUp(Case):
    async def _sent(self, how, function):
        """Whether a worker is sent what a client asks who hangs up while the loop stands still, after its
        request was read and before the link hands it over."""
        await self.begin(worker := Worker("w1"))
        self.assertEqual((await self.post())[0], 200)  # a connection is up
        client = Client(self.address)
        await self.until(lambda: len(self.front.connections) == 2)
        admit = self.core.admit

        def admits(*args):
            admit(*args)
            if how == "reset":
                client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.sock.close()
            time.sleep(0.15)

        self.core.admit = admits
        client.send(self.message(function))
        await self.until(lambda: len(self.front.connections) == 1)
        await asyncio.sleep(0.1)
        return len(worker.runs) == 2

    async def test_a_repeatable_one_never_leaves(self):
        for how in ("end", "reset"):
            with self.subTest(how):
                self.assertFalse(await self._sent(how, "again-1"))
                self.assertFalse(self.core.pending.activations)
                await self.asyncTearDown()

    async def test_one_that_outlives_its_client_leaves(self):
        self.assertTrue(await self._sent("end", "once-1"))


if __name__ == "__main__":
    unittest.main()
