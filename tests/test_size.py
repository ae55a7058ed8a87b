"""Larger fleets: a thousand workers known at the start, the longest list that fits into a DNS answer, and a
release that replaces hundreds of workers within seconds."""

import asyncio
import json
import time
import unittest

import dns.message
import dns.rdata
import dns.rdatatype
import ration
from node_site import Site, Worker, answer

from petrelwood.node import roster_protocol

SERVERS, NAMES, MAX_ANSWER_SIZE = 16, 1024, 8_000


class SharedAddressWorker:
    """A listed worker that shares the address of a server with others."""

    def __init__(self, name, server):
        self.name, self.port = name, server.port


class Lists(unittest.TestCase):
    def test_the_longest_answer_is_read_whole_and_a_cut_one_is_not(self):
        asked, entries, found = b"\x12\x34" + roster_protocol.encode_query(), {}, 0
        while True:
            entries[f"s-{len(entries):08x}"] = (5050, "Ready", "east", 1_700_000_000_123)
            try:
                wire = answer(asked, 41, entries)
            except Exception:  # raised by dnspython for one worker too many
                break
            found = len(entries)
        self.assertGreater(found, 60)
        del entries[f"s-{found:08x}"]
        wire = answer(asked, 41, entries)
        self.assertGreater(len(wire), MAX_ANSWER_SIZE - 200)
        serial, listed = roster_protocol.decode_answer(wire)
        self.assertEqual((serial, [e.worker for e in listed]), (41, list(entries)))
        for cut in range(100, len(wire), 97):
            with self.assertRaises(roster_protocol.UnusableAnswerError):
                roster_protocol.decode_answer(wire[:cut])

    def test_texts_that_share_a_string_and_names_that_point_into_others(self):
        """Another server may write more strings than needed, in any order and without compression."""
        asked = b"\x12\x34" + roster_protocol.encode_query()
        message = dns.message.from_wire(answer(asked, 7, {"s-1": (5050, "Ready", "east", 9)}))
        for record in message.additional:
            if record.rdtype == dns.rdatatype.TXT:
                record.clear()
                record.add(dns.rdata.from_text("IN", "TXT", '"started=9" "note=a=b" "cell=1" "" "kind=std"'))
        plain = message.to_wire(max_size=65_535)
        self.assertEqual(
            roster_protocol.decode_answer(plain)[1][0],
            roster_protocol.decode_answer(answer(asked, 7, {"s-1": (5050, "Ready", "east", 9)}))[1][0],
        )


class Released(unittest.TestCase):
    def test_six_in_ten_of_hundreds_are_replaced_and_no_order_or_send_comes_late(self):
        """Rules 3 and 5 at 400 workers, replaced in steps within five seconds."""
        case = ration.Case(
            3, workers=400, replacements=0, rate=60, off_peak_factor=0.5, floods=0, seconds=14, functions=100
        )
        world = ration.World(case)
        world.replace_in_steps(12, 4, 9)
        ration.run_world(world)
        self.assertGreater(len(world.orders), 20)
        self.assertGreater(world.ends["completed"], 50)
        self.assertEqual(world.after_grace, [])
        self.assertLessEqual(world.worst[0], 1e-6, world.worst)

    def test_news_of_a_thousand_workers_do_not_hold_up_the_loop(self):
        """Guards against a list of 1,024 new workers, with 300 known functions, that blocks the loop for
        long. Measured in CPU time of this process."""
        case = ration.Case(
            4, workers=1024, replacements=0, rate=100, off_peak_factor=1, floods=0, seconds=4, functions=150
        )
        world, took = ration.World(case), []

        def news():
            begun = time.process_time()
            world.replace()
            took.append(time.process_time() - begun)
            begun = time.process_time()
            json.dumps(world.node.standing())
            took.append(time.process_time() - begun)

        world.scheduled_call = (3, news)
        ration.run_world(world)
        self.assertLess(max(took), 0.5)  # about 0.05 s on an idle machine


class Started(unittest.IsolatedAsyncioTestCase):
    async def test_a_thousand_workers_known_at_start(self):
        servers = [Worker(f"w{n}") for n in range(SERVERS)]
        async with Site(servers, sockets=256, memory=64) as site:
            self.assertEqual(await site.stop(), 0)
            for n in range(SERVERS, NAMES):
                site.roster.tell(SharedAddressWorker(f"w{n}", servers[n % SERVERS]))
            # a DNS answer can't hold that many workers, so only the configured list is available
            site.roster.datagram_received = lambda *_: None
            site.log.clear()
            began = time.monotonic()
            await site.start()
            self.assertLess(time.monotonic() - began, 20)
            client = await site.client()
            self.assertIs(await client.health(), True, site.log)
            ends = await asyncio.gather(*(client.call(fn=fn) for fn in range(20)))
            self.assertGreater(sum(end == ("completed", b"x") for end in ends), 10, ends)
            memory, files = site.figures()
            self.assertLess(memory, 64 << 20)
            self.assertLess(files, 256)
            client.close()
            self.assertEqual(await site.stop(), 0)


if __name__ == "__main__":
    unittest.main()
