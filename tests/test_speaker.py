"""The speaker on real sockets, against the stand-in router: announcements, withdrawals and faults."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import time
import unittest

import rig
from kept import compare
from rig import KEY, RecordingLog

from petrelwood.bgp.heartbeats import HeartbeatSender
from petrelwood.bgp.speaker import Speaker
from petrelwood.decide.bgp.service_health import HealthReport
from petrelwood.settings import speaker
from petrelwood.settings.errors import SettingsError
from petrelwood.standins.router import Router
from petrelwood.wire import bgp

S = 10**9
FINE = HealthReport(False, 0, 9, 100, 0, 0, True)
FOUR, SIX = "192.0.2.1/32", "2001:db8::1/128"
FILE = """speaker "s1" {{ asn 65001; id "10.0.0.{number}"; health "{number}.sock"; hold "{hold}"; {more}
{peers}
serve "192.0.2.1/32" next-hop="127.0.2.{number}" {{ community "65000:100" }}
serve "2001:db8::1/128" next-hop="::{number}"
}}
"""


class Case(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.routers, self.speakers, self.beating = pathlib.Path(folder.name), [], [], []

    async def asyncTearDown(self):
        for task, box in self.beating:
            task.cancel()
            box["sender"].close()
        for one_speaker in self.speakers:
            await one_speaker.close()
        for router in self.routers:
            router.close()
        await asyncio.sleep(0.02)

    def router(self, **more):
        made = Router(**more)
        made.open()
        self.routers.append(made)
        return made

    def speaker(self, *routers, number=1, hold="9s", more='bounds settle="200ms" silent="500ms"', peer=""):
        peers = "\n".join(
            f'peer "r{i}" address="127.0.0.1:{r.address[1]}" asn=65000 {peer}' for i, r in enumerate(routers)
        )
        path = self.folder / f"{number}.kdl"
        path.write_text(FILE.format(number=number, hold=hold, peers=peers, more=more))
        made = Speaker(speaker.read(path), RecordingLog())
        made.open()
        made.path = str(self.folder / f"{number}.sock")
        self.speakers.append(made)
        return made

    def beats(self, one, facts=FINE):
        """Start sending heartbeats to a speaker; the report under "facts" may be replaced, None pauses."""
        box = {"facts": facts, "sender": HeartbeatSender(one.path)}

        async def beat():
            while True:
                if box["facts"] is not None:
                    box["sender"].send(box["facts"])
                await asyncio.sleep(0.02)

        self.beating.append((asyncio.ensure_future(beat()), box))
        return box

    async def until(self, condition, within=30):
        """Wait until a condition holds; fail after `within` seconds."""
        deadline = time.monotonic() + within
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the condition did not hold in time")
            await asyncio.sleep(0.005)

    @staticmethod
    def has(router, text=FOUR):
        """Return the neighbors that a router has as best for a prefix."""
        return [peer for peer, _ in router.table.best(bgp.parse_prefix(text))]


class Announced(Case):
    async def test_announced_late_less_and_taken_back(self):
        router = self.router()
        one = self.speaker(router)
        box = self.beats(one)
        await self.until(lambda: self.has(router) and self.has(router, SIX))
        found = router.table.best(bgp.parse_prefix(FOUR))[0][1]
        self.assertEqual(
            (found.path, found.communities, found.next_hop),
            (((2, (65001,)),), (65000 << 16 | 100,), b"\x7f\0\2\1"),
        )
        # without usable workers, perhaps at all dispatchers, the routes stay, with a lower preference
        box["facts"] = FINE._replace(usable_workers=0)
        await self.until(
            lambda: bgp.GRACEFUL_SHUTDOWN in router.table.best(bgp.parse_prefix(FOUR))[0][1].communities
        )
        await asyncio.sleep(0.3)
        self.assertTrue(self.has(router))
        box["facts"] = FINE
        await self.until(
            lambda: bgp.GRACEFUL_SHUTDOWN not in router.table.best(bgp.parse_prefix(FOUR))[0][1].communities
        )
        box["facts"] = FINE._replace(closing=True)
        await self.until(lambda: not self.has(router) and not self.has(router, SIX))
        self.assertTrue(router.sides)  # the session stays
        box["facts"] = None  # without heartbeats the routes are withdrawn, as in a drain
        await asyncio.sleep(0.1)
        box["facts"] = FINE
        await self.until(lambda: self.has(router))
        box["facts"] = None
        await self.until(lambda: not self.has(router))
        self.assertEqual(one.serving.reason, "it says nothing")

    async def test_a_reset_in_the_middle_of_a_drain_announces_nothing_anew(self):
        router = self.router()
        one = self.speaker(router)
        box = self.beats(one)
        await self.until(lambda: self.has(router))
        box["facts"] = FINE._replace(closing=True)
        router.reset()
        await self.until(lambda: one.peers[0].neighbor.counts["up"] == 2)
        await asyncio.sleep(0.3)
        seen = [what for _, what, _, _ in router.events]
        self.assertNotIn("announced", seen[len(seen) - seen[::-1].index("up") :])
        self.assertFalse(self.has(router))

    async def test_two_routers_that_disagree_and_two_speakers_that_are_ill(self):
        """An unhealthy speaker withdraws while another is healthy; if all are unhealthy, all keep announcing.

        This doesn't depend on which routes the routers prefer.
        """
        left, right = self.router(id_=1), self.router(id_=2)
        speakers = [self.speaker(left, right, number=n) for n in (1, 2)]
        boxes = [self.beats(one) for one in speakers]
        await self.until(lambda: all(len(self.has(r)) == 2 for r in (left, right)))
        boxes[0]["facts"] = FINE._replace(usable_workers=0)
        await self.until(lambda: speakers[0].serving.level == "none")  # the other is healthy
        boxes[1]["facts"] = FINE._replace(usable_workers=0)
        await self.until(lambda: [s.serving.level for s in speakers] == ["less", "less"])
        await asyncio.sleep(0.5)
        self.assertTrue(self.has(left) and self.has(right))
        for box in boxes:
            box["facts"] = FINE
        await self.until(lambda: [s.serving.level for s in speakers] == ["full", "full"])

    async def test_a_router_that_holds_the_session_and_reads_nothing(self):
        router = self.router(hold=3)
        one = self.speaker(router, hold="3s")
        self.beats(one)
        await self.until(lambda: self.has(router))
        router.set_mute(True)
        await self.until(lambda: one.peers[0].neighbor.counts["down"] == 1)
        self.assertIn("hold time", str(one.log.said("peer down")))
        router.set_mute(False)
        await self.until(lambda: one.peers[0].neighbor.counts["up"] == 2)
        await self.until(lambda: self.has(router))

    async def test_hostile_and_odd_messages(self):
        router = self.router()
        one = self.speaker(router)
        self.beats(one)
        ups, peer = 0, one.peers[0]
        # an origin of 3
        bad = b"\0\0\0\x0e" + b"\x40\1\1\3" + b"\x40\2\0" + b"\x40\3\4\x7f\0\0\1" + b"\x20\xc0\0\2\x09"
        for raw, ends in (
            (b"\0" * 19, True),
            (bgp.MARKER + b"\0\x13\x09", True),
            (bgp.MARKER + b"\0\x12\4", True),
            (bgp.message(bgp.UPDATE, bad), False),
            (bgp.message(bgp.REFRESH, b"\0\1\0\1"), False),
            (bgp.message(bgp.UPDATE, b"\xff\xff\0\0"), True),
            (bgp.open_message(65000, 9, 1, ((1, 1),)), True),
            (bgp.notification(6, 4, bgp.shutdown_text("\x1b[2J")), True),
        ):
            ups += 1
            await self.until(lambda ups=ups: peer.neighbor.counts["up"] == ups and self.has(router))
            updates = peer.neighbor.counts["updates"]
            router.raw(raw)
            if ends:
                await self.until(lambda ups=ups: peer.neighbor.counts["down"] == ups)
            else:
                ups -= 1
                await self.until(
                    lambda updates=updates, raw=raw: (
                        peer.neighbor.counts["updates"] > updates or raw[18] == bgp.REFRESH
                    )
                )
        self.assertEqual(peer.neighbor.counts["notes"] > 0, True)
        self.assertNotIn("\x1b", str(one.log.lines))

    async def test_a_full_table_ends_the_session_and_is_not_kept(self):
        router = self.router()
        one = self.speaker(router, peer="most=500")
        self.beats(one)
        await self.until(lambda: self.has(router))
        table = [(bgp.IPV4, i.to_bytes(4, "big"), 32) for i in range(1 << 24, (1 << 24) + 2000)]
        router.raw(
            b"".join(bgp.updates(table, bgp.Attrs(0, ((2, (65000,)),), b"\x7f\0\0\1", None, ()), (), True))
        )
        await self.until(lambda: one.peers[0].neighbor.counts["down"] == 1)
        self.assertIn("over 500 routes", str(one.log.said("peer down")))
        self.assertEqual(len(one.peers[0].inbox.routes), 0)
        await self.until(lambda: self.has(router))  # the speaker reconnects, with a longer delay each time

    async def test_beats_that_are_none(self):
        router = self.router()
        one = self.speaker(router)
        box = self.beats(one)
        await self.until(lambda: self.has(router))
        for raw in (b"", b"\xc1", b"\x93\1\2\3", b"\x98\2" + b"\0" * 7, b"x" * 3000):
            box["sender"].sock.send(raw)
        await self.until(lambda: one.heartbeats.wrong == 5)
        self.assertTrue(self.has(router))


class Files(unittest.TestCase):
    def test_broken_files(self):
        good = FILE.format(number=1, hold="9s", peers='peer "r" address="127.0.0.1:179" asn=65000', more="")
        lines = []
        for old, new in (
            ("asn 65001", ""),
            ("asn 65001", "asn 0"),
            ('"10.0.0.1"', '"10.0.0"'),
            ('"10.0.0.1"', '"0.0.0.0"'),
            ('"9s"', '"2s"'),
            ('"9s"', "9"),
            ('"9s"', '"3500ms"'),
            ("asn=65000", 'asn=65000 role="boss"'),
            ("asn=65000", "asn=65000 passive=#true"),
            ("192.0.2.1/32", "192.0.2.1/24"),
            ("192.0.2.1/32", "here"),
            ('next-hop="::1"', 'next-hop="127.0.0.1"'),
            ('"65000:100"', '"65000"'),
            ("next-hop=", "nexthop="),
            ('peer "r"', 'peer "r" address="127.0.0.1:1" asn=1\npeer "r"'),
            ('peer "r" address="127.0.0.1:179" asn=65000', ""),
            ("speaker", "speeker"),
        ):
            problems = []
            self.assertIn(old, good)
            try:
                speaker.read("s.kdl", good.replace(old, new, 1), problems)
            except SettingsError as fault:
                problems.append(fault)
            lines.append(f"{old} -> {new}".replace("\n", "; "))
            lines += [f"    {p}" for p in problems]
            self.assertTrue(problems)
        compare(self, "broken_speakers", lines)
        self.assertEqual(len(speaker.read("s.kdl", good).services), 2)


class Beside(Case):
    """A dispatcher process with its speaker: the router notices a drain, and a process that hangs."""

    async def test_a_drain_and_a_hang_are_seen_by_the_router(self):
        router, roster = self.router(), rig.Roster()
        sock, port = rig.bind_unused_port()
        roster.add_sockets([sock])
        worker = rig.Worker("w1")
        roster.entries = [worker.entry()]
        one = self.speaker(router, more='bounds settle="200ms" silent="1s"')
        path = self.folder / "d.kdl"
        path.write_text(
            rig.FILE.format(roster=port, key=KEY, limits='body "20KB"', workers="") + f'health "{one.path}"\n'
        )

        async def start():
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "petrelwood.cli",
                "serve",
                str(path),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.DEVNULL,
            )
            await asyncio.wait_for(process.stdout.readline(), 30)
            return process

        process = await start()
        try:
            await self.until(lambda: self.has(router))
            process.send_signal(signal.SIGSTOP)  # hangs the process while its sockets stay open
            await self.until(lambda: not self.has(router))
            self.assertEqual(one.serving.reason, "it says nothing")
            process.send_signal(signal.SIGCONT)
            await self.until(lambda: self.has(router))
            process.send_signal(signal.SIGTERM)
            await self.until(lambda: not self.has(router))
            self.assertEqual(await asyncio.wait_for(process.wait(), 30), 0)
            self.assertIn("it drains", [m["why"] for m in one.log.said("serves")])
            process = await start()
            await self.until(lambda: self.has(router))  # the session has lasted throughout
            self.assertEqual(
                one.peers[0].neighbor.counts, {**one.peers[0].neighbor.counts, "up": 1, "down": 0}
            )
        finally:
            if process.returncode is None:
                os.kill(process.pid, signal.SIGKILL)
                await process.wait()
            roster.stop()
            worker.stop()
            for stream in [*roster.streams, *worker.streams]:
                stream.close()


if __name__ == "__main__":
    unittest.main()
