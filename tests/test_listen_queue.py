"""The time that a connection waits in the listen queue counts against the deadline of its first request."""

import asyncio
import time
import unittest

from rig import Case, Worker
from test_serve_shutdown import Client

WAIT = 0.4  # seconds in the listen queue
CLOCK_RESOLUTION = 0.015  # seconds; the resolution of the kernel's ticks and its rounding


class FirstRequests(Case):
    async def _ask_late(self, **headers):
        """Return a client whose connection was accepted after WAIT, and how long it waited, in seconds."""
        loop = asyncio.get_running_loop()
        listeners = [stop.__self__ for stop in self.front._handlers.values()]
        for listening in listeners:
            loop.remove_reader(listening.sock)
        client = Client(self.address)
        self.addCleanup(client.sock.close)
        client.send(self.message(**headers))
        sent_at = time.monotonic()
        await asyncio.sleep(WAIT)
        waited = time.monotonic() - sent_at
        for listening in listeners:
            listening.listen()
        return client, waited

    async def test_a_worker_is_told_what_is_left(self):
        """Guards against ignoring the wait in the kernel."""
        await self.begin(worker := Worker("w1"))
        client, waited = await self._ask_late(Prefer="wait=1")
        await self.until(client.read)
        self.assertEqual(client.read(), [200])
        remaining = worker.runs[0][4] / 1e9
        self.assertLessEqual(remaining, 1 - waited + CLOCK_RESOLUTION)

    async def test_a_second_request_on_the_connection_has_its_own_time(self):
        """Guards against counting the wait again for later requests."""
        await self.begin(worker := Worker("w1"))
        client, _ = await self._ask_late(Prefer="wait=1")
        await self.until(client.read)
        client.send(self.message(Prefer="wait=2"))
        await self.until(lambda: len(client.read()) == 2)
        self.assertGreater(worker.runs[1][4] / 1e9, 1)


if __name__ == "__main__":
    unittest.main()
