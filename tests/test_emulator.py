"""The emulator: consistency of its counts, agreement with closed forms, determinism, production code."""

import hashlib
import heapq
import json
import math
import pathlib
import random
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from petrelwood import ports
from petrelwood.audit import rules
from petrelwood.clocks import VirtualClock
from petrelwood.decide.delivery import ledger
from petrelwood.decide.scheduling.actions import Actions
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.dispatch.interfaces import DecisionModule
from petrelwood.emulate import policies, result, script
from petrelwood.emulate.machine import Build, Machine, Model
from petrelwood.emulate.platform import Platform
from petrelwood.emulate.store import Store
from petrelwood.lab import experiment, report, search
from petrelwood.settings.errors import SettingsError

HERE, S = pathlib.Path(__file__).parent, 1_000_000_000
BUILD = Build(4, 1.0, 10**9, 2, 10**6, 60 * S, 0, 0.0, 0.0, 0, 0.0, False, True, 0.5)


def small(**more):
    return script.read(HERE / "days" / "small.kdl")._replace(**more)


class ClosedForm(unittest.TestCase):
    def machine(self, lanes, **more):
        clock, build = VirtualClock(), BUILD._replace(**more)
        machine = Machine(clock, build, lambda size, done: done(True), random.Random(1).random)
        model = Model("f", lanes, 1000, 0)
        machine.preload([model])
        return clock, machine, model

    def test_waits_of_m_m_c(self):
        """Four lanes on four cores with exponential work, compared in two steps.

        On the same draws the mean wait equals that of Kiefer and Wolfowitz's recursion within 0.1%; the
        recursion itself, over two million draws, equals Erlang's C within 3%.
        """
        rate, mean = 30.0, 0.1

        def recursion(seed, count):
            chance, free, now, total = random.Random(seed), [0.0] * 4, 0.0, 0.0
            for _ in range(count):
                now += chance.expovariate(rate)
                begins = max(heapq.heappop(free), now)
                total += begins - now
                heapq.heappush(free, begins + chance.expovariate(1 / mean))
            return total / count

        clock, machine, model = self.machine(4)
        chance, waits, now = random.Random(7), [], 0.0
        for _ in range(40_000):
            now += chance.expovariate(rate)
            work = chance.expovariate(1 / mean)
            clock.at(
                int(now * S),
                lambda begun, work: machine.run(
                    model,
                    int(work * S),
                    10**18,
                    lambda word, note: waits.append((clock.now() - begun) / S - work),
                ),
                int(now * S),
                work,
            )
        clock.run(10**15)
        self.assertEqual(len(waits), 40_000)
        self.assertLess(abs(sum(waits) / len(waits) / recursion(7, 40_000) - 1), 0.001)
        a, c = rate * mean, 4
        top = a**c / math.factorial(c) * c / (c - a)
        wait = top / (sum(a**k / math.factorial(k) for k in range(c)) + top) * mean / (c - a)
        self.assertLess(abs(recursion(1, 2_000_000) / wait - 1), 0.03)

    def test_littles_law_while_cores_are_shared(self):
        """Sixteen lanes on four cores: the mean number in the system is rate times mean stay, within 1%."""
        clock, machine, model = self.machine(16, thrash=0.0)
        chance, now, stays, area = random.Random(3), 0.0, [], [0.0]
        for _ in range(20_000):
            now += chance.expovariate(35.0)
            clock.at(
                int(now * S),
                lambda begun: machine.run(
                    model,
                    int(chance.expovariate(10) * S),
                    10**18,
                    lambda word, note: stays.append(clock.now() - begun),
                ),
                int(now * S),
            )
        step = S // 200

        def look():
            area[0] += (len(machine.at_work) + machine.waiting) * step
            if clock.now() < now * S:
                clock.at(clock.now() + step, look)

        look()
        clock.run(10**15)
        self.assertLess(abs(area[0] / sum(stays) - 1), 0.01)

    def test_a_loads_time_is_its_fetch_and_its_start(self):
        clock = VirtualClock()
        store = Store(clock, 100_000_000, takes=8, thrash=0.0)
        machine = Machine(clock, BUILD._replace(start_share=0.5), store.fetch, random.Random(1).random)
        ends = []
        machine.hold(
            Model("f", 1, 50_000_000, S), 1, lambda word, copies: ends.append((word, copies, clock.now()))
        )
        clock.run(10 * S)
        self.assertEqual(ends[0][:2], ("ok", 1))
        self.assertLess(abs(ends[0][2] - S), S // 1000)  # half a second each for the fetch and the start

    def test_the_store_shares_its_pace_and_turns_away(self):
        clock = VirtualClock()
        store, ends = Store(clock, 1000, takes=2, thrash=0.0), []
        for i in range(6):
            store.fetch(1000, lambda ok, i=i: ends.append((i, ok, round(clock.now() / S, 2))))
        clock.run(60 * S)
        self.assertEqual(
            ends,
            [
                (4, False, 0.0),
                (5, False, 0.0),
                (0, True, 4.0),
                (1, True, 4.0),
                (2, True, 4.0),
                (3, True, 4.0),
            ],
        )
        store.stop(2 * S)
        store.fetch(1000, lambda ok: ends.append(ok))
        self.assertEqual(ends[-1], False)

    def test_a_cold_worker_climbs_and_falls_over_when_it_is_sent_too_much(self):
        clock = VirtualClock()
        clock.run(S)
        build = BUILD._replace(cold=10 * S, cold_from=0.2, fall_multiple=2.0, fall=S)
        machine = Machine(clock, build, lambda size, done: done(True), random.Random(1).random, booted=S)
        shown = [round(machine.capacity(), 2)]
        for at in (6, 11, 12):
            clock.run(at * S)
            shown.append(round(machine.capacity(), 2))
        self.assertEqual(shown, [0.8, 2.4, 4.0, 4.0])
        again = Machine(clock, build, lambda size, done: done(True), random.Random(1).random, booted=12 * S)
        model = Model("f", 100, 1000, 0)
        again.preload([model])
        for i in range(60):
            clock.run(12 * S + i * S // 20)
            again.run(model, S // 5, 10**18, lambda word, note: None)
        self.assertTrue(again.fallen)


class Adds(unittest.TestCase):
    def test_everything_adds_up_at_every_step_of_a_bad_day(self):
        platform = Platform(script.read(script.find("bad")), 5)
        for step in range(1, 31 * 50):
            platform.clock.run(step * S // 50)
            self.assertEqual(result.conserved(platform), [], f"at {step / 50} s")
        fates = [w.ended for w in platform.clients.requests]
        platform.clock.run(40 * S)
        self.assertNotIn(None, [w.ended for w in platform.clients.requests])
        self.assertGreater(len(fates), 2000)

    def test_every_trouble_plays_and_keeps_the_rules(self):
        base = search.base_text(script.find("bad"))
        lines = {
            "hot": 'for="6s" part=0.2 functions=2',
            "scan": 'for="6s" part=0.1',
            "heavy": 'for="6s" part=0.02 times=12',
            "hurry": 'for="6s" part=0.5 patience=0.5',
            "shift": "part=0.6",
            "ageing": 'part=0.2 for="8s" times=8 down="2s"',
            "pauses": 'part=0.3 for="6s" length="300ms" every="1s"',
            "cut": 'dispatcher="d1" hall="halle-b" for="5s"',
            "lying": 'worker="w2" for="8s"',
            "wrong-answers": 'worker="w2" for="3s"',
            "leak": 'worker="w2" for="6s" size="900MB"',
            "clock-step": 'dispatcher="d1" by="90s"',
            "roster-stale": 'part=0.5 for="5s"',
            "withdrawn": 'part=0.5 for="5s"',
            "crash": 'part=0.5 down="2s"',
            "roll": 'part=1.0 for="8s" down="1s"',
            "slow": 'part=0.2 for="6s" times=4',
            "hang": 'part=0.2 for="5s"',
            "burst": 'for="4s" times=2',
            "restart": 'part=0.3 down="1s"',
            "drain": 'part=0.3 for="5s"',
            "stop": 'dispatcher="d2" down="1s"',
            "store-stop": 'for="3s"',
            "roster-lost": 'for="4s"',
            "release": "part=0.8",
        }
        missing = set(script.EMULATED) - set(lines)
        self.assertEqual(missing, set())
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "t.kdl"
            for kind, rest in lines.items():
                with self.subTest(kind):
                    path.write_text(f'{base}trouble "{kind}" at="3s" {rest}\n')
                    platform = Platform(script.read(path)._replace(length=12 * S), 2).run()
                    self.assertEqual(
                        [f"{f.rule}: {f.broken[0]}" for f in rules.judge(platform.case()) if f.broken], []
                    )
                    self.assertEqual((result.conserved(platform), platform.log.counts["defect"]), ([], 0))
                    self.assertGreater(result.row(platform)["service"], 0.2)

    def test_a_roster_that_must_be_asked_is_late_and_turns_askers_away(self):
        day = script.read(script.find("bad"))._replace(length=12 * S, ask_every=S, roster_lines=400.0)
        platform = Platform(day, 3).run()
        self.assertEqual([f.rule for f in rules.judge(platform.case()) if f.broken], [])
        self.assertGreater(platform.counts["asked"], 40)
        self.assertEqual(platform.counts["turned away"], 0)
        slow = Platform(day._replace(roster_lines=20.0), 3).run()
        self.assertGreater(slow.counts["turned away"], 10)
        self.assertEqual([f.rule for f in rules.judge(slow.case()) if f.broken], [])


class SameCode(unittest.TestCase):
    def test_a_bug_in_what_serves_shows_in_the_emulator(self):
        day = script.read(script.find("bad"))
        sound = Platform(day, 1).run()
        with mock.patch.object(Actions, "give_up", lambda self, act, now: None):
            broken = Platform(day, 1).run()
        self.assertEqual(result.row(sound)["overdue"], 0)
        self.assertGreater(result.row(broken)["overdue"], 0)

    def test_an_effect_that_happens_twice_is_caught_by_the_same_audit(self):
        may, ledger.Ledger._may_repeat = ledger.Ledger._may_repeat, lambda self, entry, now: True

        class Careless(Scheduler):
            def attempt_ended(self, now, end):
                is_reset = end.reason == ports.EndReason.RESET
                reason = ports.EndReason.NO_CONNECTION if is_reset else end.reason
                super().attempt_ended(now, end._replace(reason=reason))

        try:
            platform = Platform(script.read(script.find("bad")), 1, Careless).run()
        finally:
            ledger.Ledger._may_repeat = may
        self.assertTrue({f.rule: f for f in rules.judge(platform.case())}[2].broken)


class Same(unittest.TestCase):
    def test_the_same_seed_gives_the_same_bytes_whatever_the_hash_seed(self):
        code = (
            "import sys, json, hashlib; from petrelwood.emulate import script; "
            "from petrelwood.emulate.platform import Platform; "
            "p = Platform(script.read(sys.argv[1]), 3).run(); "
            "print(hashlib.sha256(json.dumps(p.records).encode()).hexdigest())"
        )
        found = {
            subprocess.run(
                [sys.executable, "-c", code, str(HERE / "days" / "small.kdl")],
                capture_output=True,
                text=True,
                check=True,
                env={"PYTHONHASHSEED": seed, "PATH": "/usr/bin"},
            ).stdout
            for seed in ("0", "1", "77")
        }
        self.assertEqual(len(found), 1)

    def test_a_policy_does_not_change_the_traffic(self):
        asked = []
        for policy in (Scheduler, policies.RandomOfTwo, policies.Oracle):
            platform = Platform(small(), 4, policy).run()
            asked.append(
                hashlib.sha256(
                    json.dumps([(w.id, w.fn, w.work, w.begun) for w in platform.clients.requests]).encode()
                ).hexdigest()
            )
        self.assertEqual(len(set(asked)), 1)


class Baselines(unittest.TestCase):
    def test_each_policy_has_every_event_of_the_module(self):
        events = [name for name in vars(DecisionModule) if not name.startswith("_")]
        self.assertGreater(len(events), 10)
        for name, policy in policies.named().items():
            self.assertEqual([each for each in events if not callable(getattr(policy, each, None))], [], name)

    def test_no_baseline_loads_ahead(self):
        day = script.read(script.find("seasons-rough"))
        for name, policy in policies.named().items():
            platform = Platform(day, 1, policy)
            self.assertIsNotNone(platform.gateway_early, name)
            self.assertEqual(platform.gateway.early is None, name != "petrelwood", name)


class Experiments(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name)
        (self.path / "e.kdl").write_text(f'''experiment "e" {{
    day "{HERE / "days" / "small.kdl"}"
    policy "petrelwood"; policy "round-robin"
    seeds from=1 count=3
    factor "rate" 30 60
    within "60s"
}}
''')

    def test_a_second_start_does_only_what_is_missing(self):
        described, out, told = experiment.read(self.path / "e.kdl"), self.path / "out", []
        wanted = experiment.runs(described)
        self.assertEqual((len(wanted), len({r.id for r in wanted})), (12, 12))
        self.assertEqual(experiment.run(described, out, 4, told.append), (12, 0))
        kept = {p.name: p.read_bytes() for p in (out / "runs").iterdir()}
        (out / "runs" / f"{wanted[5].id}.json").unlink()
        (out / "runs" / f"{wanted[5].id}.part123").write_text("half a fi")
        told.clear()
        self.assertEqual((experiment.run(described, out, 4, told.append), len(told)), ((12, 0), 1))
        again = {p.name: p.read_bytes() for p in (out / "runs").iterdir()}
        self.assertEqual(sorted(kept), sorted(again))
        same = f"{wanted[5].id}.json"
        a, b = json.loads(kept[same]), json.loads(again[same])
        self.assertEqual(
            {k: v for k, v in a.items() if k != "cpu s"}, {k: v for k, v in b.items() if k != "cpu s"}
        )
        rows, made = experiment.rows_of(out)
        self.assertEqual((len(rows), made["experiment"]), (12, described.text))
        lines = list(experiment.table_lines(out, "service"))
        self.assertEqual(sum("round-robin" in line for line in lines), 2)

    def test_its_report_and_charts_are_written(self):
        """Guards against a traceback while a report or a chart is written."""
        described, out = experiment.read(self.path / "e.kdl"), self.path / "out"
        self.assertEqual(experiment.run(described, out, 4, lambda text: None), (12, 0))
        report.write(out, self.path / "report.html", ["service"], "rate")
        self.assertIn("12 runs of the emulator", (self.path / "report.html").read_text())
        for kind in ("bars", "curves", "course", "heat"):
            with self.subTest(kind):
                chart = self.path / f"{kind}.svg"
                report.chart(out, str(chart), kind, "service", factor="rate")
                self.assertGreater(chart.stat().st_size, 1000)
        for more, words in (({"policy": "none"}, "no run of that policy"), ({}, "curves need a factor")):
            with self.assertRaisesRegex(SettingsError, words):
                report.chart(out, str(self.path / "none.svg"), "curves", "service", **more)

    def test_a_run_that_fails_and_one_that_never_ends_are_kept_as_such(self):
        described = experiment.read(self.path / "e.kdl")._replace(seeds=(1,), factors=(), within=1.0)
        play = experiment.play

        def bad(run):
            if run.policy == "petrelwood":
                raise RuntimeError("a defect")
            while True:
                pass

        experiment.play = bad
        try:
            self.assertEqual(experiment.run(described, self.path / "bad", 2, lambda text: None), (2, 2))
        finally:
            experiment.play = play
        found = {json.loads(p.read_text())["status"] for p in (self.path / "bad" / "runs").iterdir()}
        self.assertEqual(found, {"failed", "never ended"})

    def test_paired_differences_and_their_intervals(self):
        mean, low, high = experiment.interval([1.0, 2.0, 3.0, 4.0, 5.0, 6.0])
        self.assertTrue(low < mean == 3.5 < high)
        rows = [
            {
                "status": "ended",
                "day": "d",
                "policy": p,
                "seed": s,
                "f": s + (0.5 if p == "b" else 0) + 0.01 * (s % 3) * (p == "b"),
            }
            for s in range(10)
            for p in ("a", "b")
        ]
        made = experiment.Experiment(
            "x", 'experiment "x" { policy "a" }', (), ("a", "b"), tuple(range(10)), (), 1.0
        )
        experiment.write_parquet(made, rows, self.path / "results.parquet")
        ((where, policy, pairs, base, gap, low, high, p),) = experiment.differences(self.path, "f")
        self.assertEqual((where, policy, pairs, base), ("d", "b", 10, 4.5))
        self.assertTrue(low <= gap <= high and abs(gap - 0.51) < 0.01 and p < 0.01)
