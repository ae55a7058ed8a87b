"""While clients send small or invalid requests at full speed, another client is served as before.

The dispatcher has a fifth of a core, `memory_mb` 32 and 1,024 descriptors. A flood comes from a process of
its own over one connection, which it opens anew when it is closed, with a new name or id in every request."""

import asyncio
import sys
import time
import unittest
from collections import Counter

from hostile_clients import private_memory
from node_site import ROOT, Site, Worker
from part_of_core import share_core

MEMORY_MB = 32
DESCRIPTORS = 1_024
BUSY_PROCESSES = 4  # beside the dispatcher, which leaves it a fifth of a core
SECONDS = 3.0  # of each flood
CALL_INTERVAL = 0.02  # s between two calls of the usual client
TARGET_LATENCY = 0.4  # s, of the usual client's class in the settings
FLOOD_PROGRAM = str(ROOT / "tests" / "hostile_clients.py")


async def start_flood(address, shape):
    """Start a process that floods the dispatcher."""
    arguments = (FLOOD_PROGRAM, address[0], str(address[1]), str(SECONDS), shape)
    return await asyncio.create_subprocess_exec(sys.executable, *arguments)


class Flood(unittest.IsolatedAsyncioTestCase):
    async def flood(self, shape, floods):
        """Return the usual client's answers and its slowest call (s) during a flood, and the peak memory."""
        async with Site([Worker(f"s-{n}") for n in range(5)], sockets=DESCRIPTORS, memory=MEMORY_MB) as site:
            with share_core(site.process.pid, BUSY_PROCESSES):
                client = await site.client()
                self.assertEqual((await client.call())[0], "completed")
                processes = [await start_flood(site.address, shape) for _ in range(floods)]
                words, slowest, peak = Counter(), 0.0, 0
                until = time.monotonic() + SECONDS
                while time.monotonic() < until:
                    began = time.monotonic()
                    words[(await client.call(within=30))[0]] += 1
                    slowest = max(slowest, time.monotonic() - began)
                    peak = max(peak, private_memory(site.process.pid))
                    await asyncio.sleep(CALL_INTERVAL)
                for process in processes:
                    if process.returncode is None:
                        process.kill()
                    await process.wait()
            self.assertEqual([line for line in site.log if '"error"' in line], [])
            return words, slowest, peak

    async def assert_served(self, shape, floods=1):
        words, slowest, peak = await self.flood(shape, floods)
        with self.subTest(shape, floods=floods):
            self.assertEqual(set(words), {"completed"}, words)
            self.assertLessEqual(slowest, TARGET_LATENCY)
            self.assertLessEqual(peak / 2**20, MEMORY_MB)

    async def test_small_requests_at_full_speed(self):
        """Guards against an iteration of the event loop that handles all that one client has sent."""
        for shape in ("cancel", "health"):
            await self.assert_served(shape)

    async def test_invalid_requests_under_ever_new_names(self):
        """Guards against invalid requests that cost others time, and against memory for each name."""
        for shape in ("unknown class", "unknown tenant"):
            await self.assert_served(shape)

    async def test_calls_under_ever_new_names(self):
        """Guards against calls that take the places of others, although their client never stops sending."""
        for shape in ("new function", "no time", "new figures"):
            await self.assert_served(shape)

    async def test_several_floods(self):
        """Guards against shares that hold for one connection, and not for one among many."""
        for shape in ("health", "unknown class", "new function"):
            await self.assert_served(shape, floods=6)


if __name__ == "__main__":
    unittest.main()
