"""No repeatable activation is sent to a worker after its webhook client has disconnected, even if the
end of the connection is still unread behind the event that triggers the send. An activation that outlives its
client is sent nevertheless.

The first test failed on commit f060754, where the link did not check the client's connection."""

import asyncio
import socket
import struct
import time
import unittest

from rig import Case, Worker
from test_serve_shutdown import Client


class HungUp(Case):
    async def _sent(self, how, function):
        """Return whether a worker is sent an activation whose client disconnects while the loop is blocked.

        The client disconnects after its request was read and before the link sends it.
        """
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
