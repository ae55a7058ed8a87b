"""A new process at the address of a worker that has gone is not taken for that worker.

The worker ends: its connections are reset, and new ones refused. Another process comes up at its address, as
a worker of another zone, which the roster tells later. Until then nothing is sent to it."""

import asyncio
import unittest

from node_site import Site, Worker

DOWN = 0.3  # s during which nobody listens at the address
TOLD_AFTER = 1.4  # s after the worker has ended; an event is told within 1.5 s of its happening
CALL_INTERVAL = 0.01  # s
TYPES = ("plain", "marked", "single")


class AddressReuse(unittest.IsolatedAsyncioTestCase):
    async def call_repeatedly(self, client, words):
        number = 0
        while True:
            number += 1
            word, _ = await client.call(fn=number % 24, type_=TYPES[number % 3])
            words.append(word)
            await asyncio.sleep(CALL_INTERVAL)

    async def test_nothing_is_sent_to_it_until_the_roster_has_told_of_it(self):
        old, others = Worker("s-old"), [Worker(f"s-{n}") for n in range(3)]
        async with Site([old, *others]) as site:
            words = []
            clients = [await site.client() for _ in range(4)]
            calls = [asyncio.ensure_future(self.call_repeatedly(client, words)) for client in clients]
            await site.until(lambda: len(old.runs) > 5)
            await old.close()
            await asyncio.sleep(DOWN)
            new = Worker("s-new")
            await new.open(old.port)
            site.workers.append(new)
            await asyncio.sleep(TOLD_AFTER - DOWN)
            early = (len(new.streams), len(new.orders), len(new.runs))
            site.roster.tell(old, "Gone")
            site.roster.tell(new, zone="south")
            await site.until(lambda: new.runs or new.orders or new.probes)  # it is used from now on
            for call in calls:
                call.cancel()
            for client in clients:
                client.close()
        self.assertEqual(early, (0, 0, 0), "connections, load orders and activations at the new process")
        self.assertGreater(words.count("completed"), len(words) / 2)


if __name__ == "__main__":
    unittest.main()
