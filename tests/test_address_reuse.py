"""A new process at the address of a worker that has gone is not taken for that worker.

The worker ends: its connections are reset, and new ones refused. Another process comes up at its address, as
a worker of another zone, which the roster tells later. Until then nothing is sent to it."""

import asyncio
import unittest

from node_site import Site, Worker

from petrelwood.decide.cluster import connection_pool
from petrelwood.decide.cluster.membership import Endpoint, EndpointState, Membership

S = 1_000_000_000

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

    async def test_a_dispatcher_that_starts_again_uses_no_tag_of_the_one_before_it(self):
        """Guards against orders that a worker takes for those of a process that has ended."""
        tags = []

        class Recorder(Worker):
            async def _line(self, said, writer):
                if said["type"] != "FN":
                    tags.append((len(starts), said["req"]))
                await super()._line(said, writer)

        starts = []
        async with Site([Recorder("s-1")]) as site:
            for _ in range(2):
                client = await site.client()
                for fn in range(4):
                    await client.call(fn=fn + 10 * len(starts))
                await site.until(lambda: any(start == len(starts) for start, _ in tags))
                client.close()
                starts.append(site.process.pid)
                site.process.kill()
                await site.process.wait()
                await site.reading
                site.log.clear()
                await site.start()
        first = {tag for start, tag in tags if start == 0}
        second = {tag for start, tag in tags if start == 1}
        self.assertTrue(first and second)
        self.assertFalse(first & second)


class Confirmed(unittest.TestCase):
    def test_a_worker_is_confirmed_by_a_later_start_or_a_list_that_is_late_enough(self):
        members = Membership(S, S, lambda: 0.5)
        worker = Endpoint("s-1", ("127.0.0.1", 1), "north", 1, 0, EndpointState.USABLE)
        members.apply_list("dns-1", [worker], 10 * S, 1_000 * S)
        self.assertFalse(members.has_confirmed("s-1", 10 * S))
        members.on_complete(11 * S)
        self.assertFalse(members.has_confirmed("s-1", 10 * S))  # it may tell of the end only later
        members.on_complete(11 * S + S // 2)
        self.assertTrue(members.has_confirmed("s-1", 10 * S))
        self.assertFalse(members.has_confirmed("s-2", 10 * S))
        again = worker._replace(booted=1_005 * S)
        members.apply_list("dns-2", [again], 15 * S, 1_005 * S)
        self.assertTrue(members.has_confirmed("s-1", 15 * S - 1))

    def test_without_a_list_it_is_tried_again_in_the_end(self):
        self.assertTrue(connection_pool.may_connect_again(5, None, False))
        self.assertFalse(connection_pool.may_connect_again(3 * S, 2 * S, False))
        self.assertTrue(connection_pool.may_connect_again(3 * S, 2 * S, True))
        self.assertTrue(connection_pool.may_connect_again(13 * S, 2 * S, False))


if __name__ == "__main__":
    unittest.main()
