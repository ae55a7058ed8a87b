"""Early loads and the call history on real sockets, through drains, restarts and disk faults."""

import asyncio
import pathlib
import subprocess
import sys
import tempfile
import unittest

from rig import Case, Worker, later
from test_settings import GOOD

from petrelwood.audit import rules
from petrelwood.emulate import result, script
from petrelwood.emulate.platform import Platform
from petrelwood.settings import gateway
from petrelwood.settings.errors import SettingsError
from petrelwood.store import history, history_files
from petrelwood.store.errors import SnapshotError

EARLY = (
    'early {{ slot "100ms"; season "2s"; weeks #false; fetch-price "1ms"; memory-price 0.0; '
    'copy-size "1MB" }}\n'
)


class Sockets(Case):
    async def begin_early(self, *workers, more="", early=EARLY):
        import rig

        plain = rig.FILE
        rig.FILE = (
            plain.replace('keep "8s"', 'keep "400ms"').replace(" lanes=4\n", ' lanes=4 load-time="300ms"\n')
            + early
            + more
        )
        try:
            await self.begin(*workers)
        finally:
            rig.FILE = plain

    async def call(self, seconds, function="again-1", every=0.02):
        ends = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < ends:
            await self.post(function)
            await asyncio.sleep(every)

    async def test_a_function_that_is_called_is_held_ahead_once_its_copies_have_lapsed(self):
        await self.begin_early(Worker("w1"), Worker("w2"))
        await self.call(1.0)
        early = self.core.forecasts.early
        await self.until(lambda: early.ordered >= 1)
        self.assertTrue([h for w in self.workers for h in w.holds if h[0] == "again-1"])
        self.assertEqual(early.plans > 3, True)

    async def test_no_early_load_goes_to_a_worker_that_drains(self):
        await self.begin_early(w := Worker("w1"))
        await self.call(0.6)
        self.roster.tell(w.entry("draining"))
        await self.until(lambda: not self.core.membership.is_usable("w1"))
        holds_before = len(w.holds)
        early = self.core.forecasts.early
        plans_before = early.plans
        await self.until(lambda: early.plans >= plans_before + 5)
        self.assertEqual(len(w.holds), holds_before)

    async def test_the_history_is_written_and_a_failing_disk_stops_only_it(self):
        with tempfile.TemporaryDirectory() as folder:
            await self.begin_early(
                Worker("w1", later(0)), more=f'history {{{{ folder "{folder}/h" }}}}\n', early=""
            )
            for i in range(30):
                self.assertEqual((await self.post(f"again-{i % 3}"))[0], 200)
            self.core.history.flush(sync=True)
            table = history_files.read(f"{folder}/h")
            self.assertEqual(len(table), 30)
            self.assertEqual(set(table["function"].to_pylist()), {"again-0", "again-1", "again-2"})

            def full(handle, data):
                raise OSError(28, "No space left on device")

            self.core.history.files.write = full
            for _ in range(5):
                self.assertEqual((await self.post("again-1"))[0], 200)
            self.core.history.flush()
            self.assertIn("No space left", self.core.history.stopped)
            self.core.renew_at = 0
            await self.until(lambda: self.log.said("history stopped; dispatching goes on"))
            self.assertEqual((await self.post("again-1"))[0], 200)

    async def test_forecasts_survive_a_restart_and_a_broken_file_is_learnt_anew(self):
        from petrelwood.store import early_load_log, snapshot

        with tempfile.TemporaryDirectory() as folder:
            await self.begin_early(
                Worker("w1"), Worker("w2"), more=f'history {{{{ folder "{folder}/h" }}}}\n'
            )
            await self.call(1.0)
            await self.until(lambda: self.core.forecasts.early.ordered >= 1)
            known = sorted(self.core.forecasts.early.forecast.series)
            await self.core.close()
            self.assertEqual(known, ["again-1"])
            rows = early_load_log.read(f"{folder}/h")
            self.assertEqual({row.function for row in rows} <= {"again-1"}, True)
            again = type(self.core)(self.core.gateway, self.log)
            self.assertEqual(sorted(again.forecasts.early.forecast.series), known)
            self.assertEqual(
                again.forecasts.early.forecast.series["again-1"].dump(),
                self.core.forecasts.early.forecast.series["again-1"].dump(),
            )
            path = pathlib.Path(folder) / "h" / "forecast.snap"
            path.write_bytes(path.read_bytes()[:-3])
            with self.assertRaises(SnapshotError):
                snapshot.read(path, "forecast", 1)
            third = type(self.core)(self.core.gateway, self.log)
            self.assertEqual(third.forecasts.early.forecast.series, {})
            self.assertTrue(self.log.said("forecast snapshot unreadable; learning anew"))
            for made in (again, third):
                made.history.close()
                made.forecast_storage.account.close()

    async def test_a_model_without_history_is_seen_and_a_date_that_does_not_come_loads_nothing(self):
        event = EARLY.replace(
            'copy-size "1MB"',
            'copy-size "1MB"; event "again-9" from="2020-01-01T00:00+00:00" for="900000h" factor=40',
        )
        await self.begin_early(w1 := Worker("w1"), w2 := Worker("w2"), early=event)
        await self.call(0.6, "again-1", 0.1)
        forecast = self.core.forecasts.early.forecast
        self.assertNotIn("again-7", forecast.series)
        await self.call(0.6, "again-7", 0.005)  # a function that was never called before
        await self.until(
            lambda: (
                forecast.series.get("again-7") is not None
                and forecast.predict(self.core.clock.wall(), "again-7")[0]
                > 4 * forecast.predict(self.core.clock.wall(), "again-1")[0]
            )
        )
        plans_before = self.core.forecasts.early.plans
        await self.until(lambda: self.core.forecasts.early.plans >= plans_before + 10)
        self.assertEqual([h for w in (w1, w2) for h in w.holds if h[0].startswith("again-9")], [])


class Days(unittest.TestCase):
    def test_a_release_a_restart_of_all_and_drains_with_early_loads_and_without(self):
        day, seen = script.read(script.find("seasons-rough")), {}
        half = tuple(t._replace(at=t.at * 4 // 10, span=min(t.span, 8 * 10**9)) for t in day.troubles)
        for early in (False, True):
            platform = Platform(day._replace(length=140 * 10**9, troubles=half, early=early), 3)
            if early:
                draining = next(t for t in half if t.kind == "drain").at
                platform.clock.at(
                    draining,
                    lambda cores=platform.cores: seen.setdefault(
                        "made", sum(c.forecasts.early.ordered for c in cores.values())
                    ),
                )
            platform.run()
            self.assertEqual([f.broken for f in rules.judge(platform.case()) if f.broken], [])
            seen[early] = result.row(platform)
        self.assertGreater(seen[True]["early loads"], 100)
        self.assertGreater(seen[True]["early loads"], seen["made"])  # early loads continued during the drains
        self.assertLess(seen[True]["cold starts"], seen[False]["cold starts"])
        self.assertGreater(seen[True]["service"], seen[False]["service"] - 0.01)
        self.assertLessEqual(
            seen[True]["fetched in the busiest 5 s"], seen[False]["fetched in the busiest 5 s"] * 1.1
        )


class Commands(Case):
    async def test_the_commands_on_a_history(self):
        with tempfile.TemporaryDirectory() as folder:
            made = history.History(f"{folder}/h", group=16, roll=500)
            for i in range(1500):
                made.note(1_764_547_200 * 10**9 + i * 60 * 10**9, f"f{i % 3}", "x", "n", i % 3, 0, 10**8, 0)
            made.close()

            def run(*args):
                ended = subprocess.run(
                    [sys.executable, "-m", "petrelwood.cli", *args], capture_output=True, text=True
                )
                return ended.returncode, ended.stdout + ended.stderr

            self.assertIn("1500 rows", run("history", "show", f"{folder}/h")[1])
            self.assertEqual(run("history", "export", f"{folder}/h", "--to", f"{folder}/x.parquet")[0], 0)
            self.assertIn(
                "1500 rows taken", run("history", "import", f"{folder}/again", f"{folder}/x.parquet")[1]
            )
            self.assertEqual(run("history", "verify", f"{folder}/again"), (0, "all is whole\n"))
            self.assertIn("became 1", run("history", "compact", f"{folder}/h")[1])
            code, said = run("forecast", "backtest", f"{folder}/h", "--season", "7200", "--slot", "600")
            self.assertEqual((code, "believed" in said), (0, True), said)
            code, said = run(
                "forecast", "explain", f"{folder}/h", "f1", "--slot", "600", "--chart", f"{folder}/f.png"
            )
            self.assertEqual((code, pathlib.Path(f"{folder}/f.png").stat().st_size > 5000), (0, True), said)
            self.assertEqual(run("forecast", "explain", f"{folder}/h", "none")[0], 1)
            hit = next(pathlib.Path(f"{folder}/h").glob("day=*/rows-*"))
            hit.write_bytes(b"PAR1 and no more")
            code, said = run("history", "verify", f"{folder}/h")
            self.assertEqual((code, str(hit) in said), (1, True))

    def test_settings_of_early_loads(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "g.kdl"
            path.write_text(GOOD + 'early { event "f-" from="2026-12-31T08:00+01:00" for="6h" factor=4 }\n')
            begin, end, factor, prefix = gateway.read(path).early.events[0]
            self.assertEqual(
                (begin, end - begin, factor, prefix), (1_798_700_400 * 10**9, 21_600 * 10**9, 4.0, "f-")
            )
            for text, words in (
                ('early { slot "2h"; season "1h" }', "no longer than 'season'"),
                ('early { event "f-" from="2026-12-31T08:00" for="6h" factor=4 }', "needs its offset"),
                ('early { event "f-" from="soon" for="6h" factor=4 }', "must be a time like"),
            ):
                path.write_text(GOOD + text + "\n")
                with self.assertRaises(SettingsError) as caught:
                    gateway.read(path)
                self.assertIn(words, str(caught.exception))
