"""Clients write as many requests as a connection may have open, and close it while much of them is unread.

No attempt for them begins more than 0.1 s after the close. When the same once-only requests come again, none
runs twice."""

import asyncio
import socket
import time
import unittest
from collections import Counter, defaultdict
from concurrent.futures import ThreadPoolExecutor

import msgpack
from node_site import Client, Site, Worker, ask

BURSTS = 10  # connections at the same time
REQUESTS = 32  # of each, the most that the protocol allows to be open
MAX_BODY = 16_384  # bytes
DEPARTURE_GRACE = (
    0.1  # s after a client has left in which an attempt for it may begin, a rule of the operators
)
LAG_INTERVAL = 0.005  # s between two measurements of the lag of the test's own event loop
WORK = 0.02  # s that an activation takes
QUIET = 1.0  # s after the bursts in which late attempts are looked for
FUNCTIONS = 8


class Burst:
    """The once-only requests that one client writes at once."""

    def __init__(self, number, body):
        self.calls = [ask(fn=1 + number % FUNCTIONS) for _ in range(REQUESTS)]
        requests = ([0, n, "single", [fields, body]] for n, fields in enumerate(self.calls, 1))
        self.data = b"".join(map(msgpack.packb, requests))
        self.left_at = 0.0

    def write_and_close(self, address, stay):
        """Write all requests, stay for some seconds, and close the connection."""
        with socket.create_connection(address) as sock:
            sock.sendall(self.data)
            time.sleep(stay)
        self.left_at = time.monotonic()


class Bursts(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.began = defaultdict(list)  # call -> when its attempts began at workers
        self.lags = []

    async def work(self, worker, said, writer):
        self.began[said["req"]].append(time.monotonic())
        await asyncio.sleep(WORK)

    async def watch_lag(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(LAG_INTERVAL)
            self.lags.append(time.monotonic() - before - LAG_INTERVAL)

    async def play(self, body, stay, descriptors=1_024, memory=32):
        """Return the bursts after they were written and closed, and the answers when they came again."""
        workers = [Worker(f"s-{n}", self.work) for n in range(5)]
        bursts = [Burst(number, body) for number in range(BURSTS)]
        loop = asyncio.get_running_loop()
        async with Site(workers, sockets=descriptors, memory=memory) as site:
            warm = await site.client()
            for fn in range(1, FUNCTIONS + 1):
                await warm.call(fn=fn)
            self.lags.clear()
            watch = asyncio.ensure_future(self.watch_lag())
            with ThreadPoolExecutor(BURSTS) as pool:
                await asyncio.gather(
                    *(loop.run_in_executor(pool, each.write_and_close, site.address, stay) for each in bursts)
                )
            await asyncio.sleep(QUIET)
            watch.cancel()
            first = {call: list(times) for call, times in self.began.items()}
            words = Counter()
            for burst in bursts:
                words += await self.send_again(site, burst, body)
            warm.close()
        return bursts, first, words

    async def send_again(self, site, burst, body):
        client = await Client(site.address).open()
        answers = await asyncio.gather(*(client.call(fields, body, "single") for fields in burst.calls))
        client.close()
        return Counter(word for word, _ in answers)

    async def assert_rules_kept(self, body, stay):
        bursts, first, words = await self.play(body, stay)
        lag = max(self.lags, default=0.0)
        late, twice = [], []
        for burst in bursts:
            for fields in burst.calls:
                call = fields["call"]
                after = [moment - burst.left_at for moment in first.get(call, ())]
                late += [round(each, 3) for each in after if each > DEPARTURE_GRACE + lag]
                if len(self.began.get(call, ())) > 1:
                    twice.append(call)
        with self.subTest("late", body=len(body), stay=stay):
            self.assertEqual(late, [])
        with self.subTest("twice", body=len(body), stay=stay):
            self.assertEqual(len(twice), 0, f"of {BURSTS * REQUESTS}; {words}")
        self.assertEqual(words.total(), BURSTS * REQUESTS)
        self.assertNotIn("lost", words)

    async def test_nothing_is_sent_for_a_client_whose_close_is_still_unread(self):
        """Guards against taking short reads for all that the client wrote: the rest of it, and its close, may
        still be in its own kernel."""
        await self.assert_rules_kept(b"x" * MAX_BODY, stay=0.0)

    async def test_an_id_that_may_have_run_does_not_run_again(self):
        """Guards against forgetting an id as soon as its client has left."""
        for size in (0, 2_000, MAX_BODY):
            await self.assert_rules_kept(b"x" * size, stay=0.01)


if __name__ == "__main__":
    unittest.main()
