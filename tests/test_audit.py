"""The audit: a correct dispatcher passes a short day, and one that breaks a rule is caught by that rule."""

import asyncio
import pathlib
import sys
import tempfile
import unittest

from tornado.testing import bind_unused_port

from petrelwood import ports
from petrelwood.audit import rules
from petrelwood.emulate import script
from petrelwood.lab import day as lab
from petrelwood.standins.roster import Roster

HERE = pathlib.Path(__file__).parent


FLAWS = ("nothing", "forgets", "chases", "repeats", "ignores drains", "floods", "orders")  # of `broken.py`


SEEDS = range(1, 5)


def has_run_twice(case):
    """Return whether a once-only activation was sent again after it may have run, by the workers' records."""
    once_only = {name for name, type_ in case.terms.types.items() if type_.effect == ports.Effect.ONCE_ONLY}
    for runs in case.runs.values():
        earlier = sorted(runs, key=lambda run: run["at"])[:-1]
        if runs[0]["type"] in once_only and any(map(case.may_have_run, earlier)):
            return True
    return False


async def play_all():
    """Play a short day with each flaw, three days at a time; return {flaw: (findings by rule, outcomes)}.

    The day of the dispatcher that "repeats" is played with several seeds, until a once-only activation was
    sent again: that takes a connection that is lost during a once-only send, which a single day may lack.
    """
    described, slots, played = script.read(HERE / "days" / "small.kdl"), asyncio.Semaphore(3), {}

    async def play(flaw):
        for seed in SEEDS:
            with tempfile.TemporaryDirectory() as folder:
                async with slots:
                    command = [sys.executable, str(HERE / "broken.py"), flaw]
                    run = lab.Run(described, seed, folder, dispatcher=command)
                    await run.play()
                case = run.case()
                played[flaw] = {f.rule: f for f in rules.judge(case)}, rules.outcomes(case)
            if flaw != "repeats" or has_run_twice(case):
                return

    await asyncio.gather(*map(play, FLAWS))
    return played


class Proof(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.played = asyncio.run(play_all())

    def caught(self, flaw, rule):
        """Check that the dispatcher with a flaw breaks a rule, and return its findings."""
        found, _ = self.played[flaw]
        self.assertTrue(
            found[rule].broken,
            f"a dispatcher that {flaw} was not caught; cases looked at: {found[rule].looked}",
        )
        return found

    def test_a_sound_dispatcher_breaks_none(self):
        found, ends = self.played["nothing"]
        self.assertEqual({f.rule: f.broken for f in found.values() if f.broken}, {})
        self.assertTrue(all(f.looked for f in found.values()), {r: f.looked for r, f in found.items()})
        self.assertGreater(ends["score"]["completed"] + ends["book"]["completed"], 200)

    def test_rule_1_an_activation_that_is_forgotten(self):
        self.assertIn("no answer", str(self.caught("forgets", 1)[1].broken))

    def test_rule_1_a_send_after_the_answer(self):
        self.assertIn("after its answer", str(self.caught("chases", 1)[1].broken))

    def test_rule_2_a_once_only_that_is_sent_again(self):
        self.caught("repeats", 2)

    def test_rule_3_a_drain_that_is_ignored(self):
        self.caught("ignores drains", 3)

    def test_rule_4_a_cold_worker_that_is_flooded(self):
        self.caught("floods", 4)

    def test_rule_5_orders_beyond_the_ration(self):
        self.caught("orders", 5)


class Told(unittest.IsolatedAsyncioTestCase):
    async def test_news_after_the_roster_was_lost_does_not_count_as_told(self):
        """The roster must not record a `told` for a connection that it has just closed.

        In a soak, the news of a worker's end was recorded as if the dispatcher had received it.
        """
        kinds = []

        class Records:
            def put(self, what, **facts):
                kinds.append(facts["kind"])

        described = script.read(HERE / "days" / "small.kdl")
        roster = Roster(described, Records())
        sock, port = bind_unused_port()
        roster.add_sockets([sock])
        entry = {
            "worker": "w1",
            "address": "127.0.0.1:1",
            "zone": "a",
            "cell": 1,
            "state": "usable",
            "booted": 0,
        }
        roster.change(entry)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /workers HTTP/1.1\r\nUser-Agent: d1\r\n\r\n")
        await asyncio.wait_for(reader.readuntil(b"event: list"), 30)
        while not roster.streams:
            await asyncio.sleep(0.005)
        roster.change(entry)
        self.assertEqual(kinds, ["list", "change"])
        roster.lose(None)
        roster.change({**entry, "state": "gone"})
        self.assertEqual(kinds, ["list", "change"])
        roster.stop()
        writer.close()


if __name__ == "__main__":
    unittest.main()
