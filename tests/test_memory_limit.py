"""A dispatcher of the least memory in use keeps its limit, however hundreds of clients use their connections.

The dispatcher is a process with `memory_mb` 32 and 1,024 descriptors in its settings. Clients hold as many
connections as the protocol allows them, a third of the descriptors, for longer than a request may
take to arrive. Its private memory is sampled throughout, and one usual client goes on with its calls."""

import asyncio
import time
import unittest
from collections import Counter

import hostile_clients
from hostile_clients import Crowd, private_memory
from node_site import Site, Worker, ask, hit

MEMORY_MB = 32
DESCRIPTORS = 1_024
CONNECTIONS = DESCRIPTORS // 3  # the most that clients hold, according to the protocol
SECONDS = 4.0  # of misuse
SAMPLE_INTERVAL = 0.02  # s
DEADLINE = 2.0  # s, of the usual client's class in the settings
ANSWER_SLACK = 0.5  # s after the deadline in which a late answer breaks no rule
LEAST_SERVED = 1 / 2  # the share of the usual client's calls, as the gate of the operators wants it
LARGE_ANSWER_FUNCTION = 7
UNFINISHED_FUNCTION = 8
WAITING_CLIENTS = 30
WAITING_CALLS = 10  # of each of them
MAX_BODY = hostile_clients.MAX_BODY


def large_answer(worker, said, writer):
    """Answer the calls of one function with the largest body."""
    if said["meta"]["asset"] == f"{LARGE_ANSWER_FUNCTION:016x}":
        return hit(said, b"y" * MAX_BODY)
    return None


def unfinished_answer(worker, said, writer):
    """Answer the calls of one function with a line that does not end."""
    if said["meta"]["asset"] == f"{UNFINISHED_FUNCTION:016x}":
        return b'{"type":"HIT","req":"' + b"x" * 32_000
    return None


class MemoryLimit(unittest.IsolatedAsyncioTestCase):
    async def misuse(self, *texts, body=b"x"):
        """Use all connections badly; return the peak of the memory (bytes) and the usual client's answers."""
        workers = [Worker(f"s-{n}", large_answer) for n in range(5)]
        async with Site(workers, sockets=DESCRIPTORS, memory=MEMORY_MB) as site:
            client = await site.client()
            self.assertEqual((await client.call())[0], "completed")
            crowd = Crowd(site.address, CONNECTIONS, texts)
            attack = asyncio.ensure_future(crowd.run(SECONDS))
            peak, words, slowest = 0, Counter(), 0.0
            while not attack.done():
                peak = max(peak, private_memory(site.process.pid))
                began = time.monotonic()
                words[(await client.call(body=body, within=30))[0]] += 1
                slowest = max(slowest, time.monotonic() - began)
                await asyncio.sleep(SAMPLE_INTERVAL)
            await attack
            peak = max(peak, private_memory(site.process.pid))
            crowd.close()
            self.assertEqual([line for line in site.log if '"error"' in line], [])
            return peak, words, slowest

    async def assert_limit_kept(self, *texts):
        peak, words, slowest = await self.misuse(*texts)
        with self.subTest("memory"):
            self.assertLessEqual(peak / 2**20, MEMORY_MB)
        with self.subTest("the usual client"):
            self.assertLessEqual(slowest, DEADLINE + ANSWER_SLACK)
            self.assertGreaterEqual(words["completed"], LEAST_SERVED * words.total(), words)
            self.assertNotIn("lost", words)

    async def test_requests_that_stop_after_their_first_bytes(self):
        """Guards against a decoder of 40 KB for each connection in the middle of a request."""
        await self.assert_limit_kept(hostile_clients.begun)

    async def test_requests_that_stop_before_their_last_bytes(self):
        """Guards against incomplete requests whose sizes are bounded for each connection alone."""
        await self.assert_limit_kept(hostile_clients.large)

    async def test_heads_of_many_short_fields(self):
        """Guards against fields that are kept decoded until the request is complete."""
        for text in (hostile_clients.many_fields, hostile_clients.nested, hostile_clients.wide_texts):
            with self.subTest(text.__name__):
                await self.assert_limit_kept(text)

    async def test_large_answers_that_nobody_reads(self):
        """Guards against unread answers whose sizes are bounded for each connection alone."""
        for size in (100, MAX_BODY):
            with self.subTest(size=size):
                await self.assert_limit_kept(hostile_clients.answers_of(LARGE_ANSWER_FUNCTION, size))

    async def test_all_of_it_at_once(self):
        """Guards against several bounds that each hold, and whose sum does not."""
        await self.assert_limit_kept(
            hostile_clients.begun,
            hostile_clients.large,
            hostile_clients.nested,
            hostile_clients.answers_of(LARGE_ANSWER_FUNCTION, 100),
            hostile_clients.answers_of(LARGE_ANSWER_FUNCTION, MAX_BODY),
        )

    async def test_a_usual_client_with_the_largest_bodies_is_answered_in_its_time(self):
        """Guards against a request of several reads that waits behind all that are incomplete before each."""
        _, words, slowest = await self.misuse(
            hostile_clients.begun,
            hostile_clients.large,
            hostile_clients.nested,
            hostile_clients.wide_texts,
            hostile_clients.answers_of(LARGE_ANSWER_FUNCTION, MAX_BODY),
            body=b"z" * MAX_BODY,
        )
        self.assertNotIn("lost", words)
        self.assertLessEqual(slowest, DEADLINE)

    async def test_answers_of_workers_that_stop_before_their_last_bytes(self):
        """Guards against incomplete answers whose sizes are bounded for each connection alone."""
        workers = [Worker(f"s-{n}", unfinished_answer) for n in range(5)]
        async with Site(workers, sockets=DESCRIPTORS, memory=MEMORY_MB) as site:
            usual = await site.client()
            self.assertEqual((await usual.call())[0], "completed")
            clients = [await site.client() for _ in range(WAITING_CLIENTS)]
            calls, peak, words = [], 0, Counter()
            for _ in range(WAITING_CALLS):
                for client in clients:
                    fields = ask(fn=UNFINISHED_FUNCTION, facts="lanes:64;load_ms:20")
                    calls.append(asyncio.ensure_future(client.call(fields, within=30)))
                words[(await usual.call())[0]] += 1
                peak = max(peak, private_memory(site.process.pid))
            while not all(call.done() for call in calls):
                words[(await usual.call(within=30))[0]] += 1
                peak = max(peak, private_memory(site.process.pid))
                await asyncio.sleep(SAMPLE_INTERVAL)
            answers = Counter(call.result()[0] for call in calls)
        self.assertLessEqual(peak / 2**20, MEMORY_MB)
        self.assertNotIn("lost", answers)
        self.assertNotIn("lost", words)


if __name__ == "__main__":
    unittest.main()
