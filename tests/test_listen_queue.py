"""The time of a webhook's request runs on while its connection lies in the listen queue of a loop in time."""

import asyncio
import time
import unittest

from rig import Case, Worker
from test_serve_shutdown import Client

WAIT = 0.4  # s in the listen queue
CLOCK_RESOLUTION = 0.015  # s, of the kernel's ticks and of what it rounds


class FirstRequests(Case):
    async def _ask_late(self, **headers):
        """A client whose connection is accepted after WAIT, and how long it had waited, in s."""
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
        """Guards against a wait in the kernel that is not counted."""
        await self.begin(worker := Worker("w1"))
        client, waited = await self._ask_late(Prefer="wait=1")
        await self.until(client.read)
        self.assertEqual(client.read(), [200])
        remaining = worker.runs[0][4] / 1e9
        self.assertLessEqual(remaining, 1 - waited + CLOCK_RESOLUTION)

    async def test_a_second_request_on_the_connection_has_its_own_time(self):
        """Guards against a wait that is counted again for what came later."""
        await self.begin(worker := Worker("w1"))
        client, _ = await self._ask_late(Prefer="wait=1")
        await self.until(client.read)
        client.send(self.message(Prefer="wait=2"))
        await self.until(lambda: len(client.read()) == 2)
        self.assertGreater(worker.runs[1][4] / 1e9, 1)


if __name__ == "__main__":
    unittest.main()
