"""Versions, snapshots, the history and the early-load log in folders that fail and recover."""

import asyncio
import errno
import os
import pathlib
import tempfile
import unittest
from types import SimpleNamespace
from unittest.mock import patch

from test_store_faults import FaultyFiles, Log

from petrelwood.decide.cluster.rollout import Rollout
from petrelwood.dispatch import rollout as rollout_module
from petrelwood.dispatch.rollout import VersionRollout, VersionSource
from petrelwood.dispatch.settings_update import UpdateResult
from petrelwood.settings.errors import SettingsError
from petrelwood.store import early_load_log, history, history_files, snapshot, versions
from petrelwood.store.early_load_log import EarlyLoadEnd, EarlyLoadLog
from petrelwood.store.errors import VersionUnreadableError

SECOND = 10**9
WALL = 1_764_547_200 * SECOND  # a midnight
MINUTE = 60 * SECOND
CODES = (errno.ENOSPC, errno.EIO)


class Case(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.time = 0

    def now(self):
        return self.time


def nth(number, code, last=0):
    """Return a `fails` function that fails the `number`-th call, or all calls from there to the `last`."""
    calls = [0]

    def fails(name):
        calls[0] += 1
        return code if number <= calls[0] <= max(number, last) else None

    return fails


class Versions(Case):
    def receive(self, files, folder):
        """Store what a follower receives in one round: two versions, a revocation, the position."""
        versions.receive(folder, 1, "one", WALL, files)
        versions.receive(folder, 2, "two", WALL + 1, files)
        versions.revoke(folder, 2, "bad", files)
        versions.store_position(folder, 3, files)

    def test_each_call_fails_once_and_what_is_announced_is_whole(self):
        count = FaultyFiles()
        self.receive(count, self.folder / "all")
        self.assertGreater(len(count.calls), 25)
        for code in CODES:
            for number in range(1, len(count.calls) + 1):
                folder = self.folder / f"{code}-{number}"
                with self.assertRaises(OSError):
                    self.receive(FaultyFiles(nth(number, code), torn=True), folder)
                for one in versions.announced(folder):
                    self.assertEqual(
                        versions.path_of(folder, one.number).read_text(), ("one", "two")[one.number - 1]
                    )
                if versions.position(folder):
                    self.assertEqual([one.revoked for one in versions.announced(folder)], [False, True])
                # no temporary file is left, and the next round stores everything
                self.assertEqual([path.name for path in folder.glob(".*")], [])
                self.receive(FaultyFiles(), folder)
                self.assertEqual(versions.position(folder), 3)
                self.assertEqual(
                    [tuple(one)[::2] for one in versions.announced(folder)], [(1, False), (2, True)]
                )

    def test_a_call_off_is_durable_before_the_position(self):
        """Guards against a machine crash that keeps the position but loses the revocation before it."""
        files = FaultyFiles()
        (self.folder / "v").mkdir()
        versions.revoke(self.folder / "v", 1, "bad", files)
        self.assertEqual(files.calls, ["open", "write", "sync", "close", "replace", "sync_folder"])

    def test_a_folder_that_cannot_be_listed_has_no_versions_for_now(self):
        self.receive(FaultyFiles(), self.folder)
        with patch.object(os, "listdir", side_effect=OSError(errno.EIO, "Input/output error")):
            self.assertEqual(versions.announced(self.folder), [])
        self.assertEqual(len(versions.announced(self.folder)), 2)

    def test_old_versions_that_cannot_be_removed_go_later(self):
        files = FaultyFiles(lambda name: errno.EIO if name == "remove" else None)
        for number in range(1, 20):
            versions.receive(self.folder, number, "text", WALL, files)
        self.assertEqual(len(versions.announced(self.folder)), 19)
        versions.receive(self.folder, 20, "text", WALL)
        self.assertEqual([one.number for one in versions.announced(self.folder)], list(range(5, 21)))

    def test_a_version_that_cannot_be_read_is_told_from_a_bad_one(self):
        self.receive(FaultyFiles(), self.folder)
        path = versions.path_of(self.folder, 1)
        self.assertEqual(versions.require_readable(self.folder, 1), path)
        with patch.object(pathlib.Path, "read_bytes", side_effect=OSError(errno.EIO, "Input/output error")):
            with self.assertRaises(VersionUnreadableError) as caught:
                versions.require_readable(self.folder, 1)
        self.assertEqual(str(caught.exception), f"{path} can't be read: Input/output error")


class RolledOut(Case):
    """The roll-out of versions from a folder that fails temporarily."""

    def play(self, seconds, update=lambda new: UpdateResult.APPLIED, read=lambda text: text, during=None):
        """Run a `VersionRollout` for `seconds` polls; return what it applied and revoked, and its log."""
        applied, called_off, log = [], [], Log()
        polls = [0]

        async def main():
            loop = asyncio.get_running_loop()

            class Core:
                answered = (0, 0)
                clock = SimpleNamespace(
                    steady_wall=lambda: WALL + 1000 * SECOND + polls[0] * SECOND, wall=lambda: WALL
                )

            Core.loop = loop

            def apply(new, by_upgrade):
                result = update(new)
                if result is UpdateResult.APPLIED:
                    applied.append(new)
                return result

            async def sleep(seconds_):
                polls[0] += 1
                if polls[0] > seconds:
                    raise asyncio.CancelledError
                if during is not None:
                    during(polls[0])

            updater = SimpleNamespace(update=apply, gateway=SimpleNamespace(name="d"))
            upgrader = SimpleNamespace(available=False, handing_over=False)

            def settings(text):
                return SimpleNamespace(as_of=lambda own: read(text))

            made = VersionRollout(
                Rollout("d", 0),
                VersionSource(str(self.folder), "own", settings),
                Core,
                log,
                updater,
                upgrader,
                lambda number, why: called_off.append(number),
            )
            self.rollout = made.rollout
            with patch.object(rollout_module.asyncio, "sleep", sleep):
                try:
                    await made.run((0, 0))
                except asyncio.CancelledError:
                    pass

        asyncio.run(main())
        return applied, called_off, log

    def test_a_version_that_a_folder_does_not_give_is_not_called_off(self):
        versions.announce(self.folder, "one", WALL)
        failing = [True]
        read_bytes = pathlib.Path.read_bytes

        def sometimes(path):
            if failing[0] and path.suffix == ".kdl":
                raise OSError(errno.EIO, "Input/output error")
            return read_bytes(path)

        with patch.object(pathlib.Path, "read_bytes", sometimes):
            applied, called_off, log = self.play(5)
            self.assertEqual((applied, called_off), ([], []))
            self.assertGreaterEqual(len(log.said("version can't be read; will be retried")), 4)
            self.assertEqual([one.revoked for one in versions.announced(self.folder)], [False])
            failing[0] = False
            self.assertEqual(self.play(5)[:2], (["one"], []))

    def test_it_is_taken_as_soon_as_the_folder_gives_it(self):
        versions.announce(self.folder, "one", WALL)
        failing = [True]
        read_bytes = pathlib.Path.read_bytes

        def sometimes(path):
            if failing[0] and path.suffix == ".kdl":
                raise OSError(errno.EIO, "Input/output error")
            return read_bytes(path)

        def heal(look):
            failing[0] = look < 4

        with patch.object(pathlib.Path, "read_bytes", sometimes):
            applied, called_off, _ = self.play(8, during=heal)
        self.assertEqual((applied, called_off, self.rollout.version), (["one"], [], 1))

    def test_a_call_off_that_the_folder_does_not_take_neither_ends_the_roll_out_nor_is_lost(self):
        versions.announce(self.folder, "bad", WALL)

        def read(text):
            if text == "bad":
                raise SettingsError("7.kdl", 1, "it is wrong")
            return text

        revoke = versions.revoke
        failing = [True]

        def sometimes(*args):
            if failing[0]:
                raise OSError(errno.ENOSPC, "No space left on device")
            revoke(*args)

        def later(look):
            if look == 4:
                versions.announce(self.folder, "good", WALL)
            failing[0] = look < 6

        with patch.object(versions, "revoke", sometimes):
            applied, called_off, log = self.play(8, read=read, during=later)
        self.assertEqual((applied, called_off), (["good"], [1]))
        self.assertGreaterEqual(len(log.said("storing a revocation failed")), 3)
        self.assertEqual([one.revoked for one in versions.announced(self.folder)], [True, False])


class Histories(Case):
    def ids(self, folder):
        return [(at - WALL) // MINUTE for at in history_files.read(folder)["at"].to_pylist()]

    def play(self, fails, folder, rows=250, **more):
        """Record a row per minute over two days, flushing periodically as the dispatcher does."""
        files = FaultyFiles(fails, torn=True)
        made = history.History(folder, group=8, roll=60, files=files, now=self.now, **more)
        for number in range(1300, 1300 + rows):
            made.note(WALL + number * MINUTE, f"f{number % 7}", "x", "n", 0, 1, 2, 3)
            self.time += SECOND
            if number % 5 == 0:
                made.flush()
        return made, files

    def test_each_call_fails_once_and_no_row_is_lost_or_counts_twice(self):
        count = self.play(lambda name: None, self.folder / "all")[1]
        self.assertGreater(len(count.calls), 40)
        stopped = 0
        for number in range(1, len(count.calls) + 1):
            folder = self.folder / f"once{number}"
            made, files = self.play(nth(number, errno.EIO), folder)
            stopped += made.backoff.failures > 0 or made.stopped is not None
            self.time += 400 * SECOND
            made.flush()
            self.assertIsNone(made.stopped)
            made.close()
            self.assertEqual(self.ids(folder), list(range(1300, 1550)), number)
            self.assertEqual(history_files.verify(folder), [], number)
            # another incarnation continues the history
            again = history.History(folder, group=8, roll=60)
            again.note(WALL + 1550 * MINUTE, "f", "x", "n", 0, 1, 2, 3)
            again.close()
            self.assertEqual(self.ids(folder), list(range(1300, 1551)), number)

    def test_a_folder_that_fails_for_a_while_loses_only_what_memory_can_not_hold(self):
        for code in CODES:
            for name in ("write", "open", "replace", "sync", "remove", "close"):
                for begins, lasts, lost in ((0, 50, False), (100, 50, False), (60, 190, True)):
                    folder = self.folder / f"{code}-{name}-{begins}-{lasts}"
                    self.time = 0
                    window = range(begins * SECOND, (begins + lasts) * SECOND)

                    def failing(call, code=code, name=name, window=window):
                        return code if call == name and self.time in window else None

                    made, _ = self.play(failing, folder)
                    self.time += 400 * SECOND
                    made.flush()
                    self.assertIsNone(made.stopped)
                    made.close()
                    found = self.ids(folder)
                    self.assertEqual(len(found), len(set(found)))
                    self.assertEqual(len(found) + made.lost, 250, (name, begins, lasts))
                    self.assertTrue(lost or not made.lost, (name, begins, lasts, made.lost))
                    self.assertEqual(history_files.verify(folder), [])

    def test_a_kill_after_each_call_of_a_recovery_doubles_nothing(self):
        shots = []
        failing, recording = [False], [False]
        case = self

        class Shots(FaultyFiles):
            def _shot(self):
                if recording[0]:
                    shots.append(
                        {
                            path.relative_to(case.folder / "first"): path.read_bytes()
                            for path in (case.folder / "first").rglob("*")
                            if path.is_file()
                        }
                    )

            def write(self, handle, data):
                done = super().write(handle, data[: max(1, len(data) // 2)])
                self._shot()
                return done

            def replace(self, source, target):
                super().replace(source, target)
                self._shot()

            def remove(self, path):
                super().remove(path)
                self._shot()

        files = Shots(lambda name: errno.EIO if failing[0] and name == "write" else None)
        made = history.History(self.folder / "first", group=4, roll=500, files=files, now=self.now)
        for number in range(1400, 1480):  # both sides of midnight
            made.note(WALL + number * MINUTE, "f", "x", "n", 0, 1, 2, 3)
        failing[0] = True
        for number in range(1480, 1490):
            made.note(WALL + number * MINUTE, "f", "x", "n", 0, 1, 2, 3)
        self.assertIsNotNone(made.stopped)
        failing[0], recording[0] = False, True
        self.time += 10 * SECOND
        made.flush()
        self.assertIsNone(made.stopped)
        self.assertGreater(len(shots), 3)
        for number, shot in enumerate(shots):
            where = self.folder / f"again{number}"
            for name, data in shot.items():
                (where / name).parent.mkdir(parents=True, exist_ok=True)
                (where / name).write_bytes(data)
            again = history.History(where, group=4, roll=500)
            again.close()
            found = self.ids(where)
            self.assertEqual(len(found), len(set(found)))
            self.assertTrue(set(range(1400, 1480)) <= set(found), number)

    def test_a_folder_that_fails_from_the_start_is_opened_later(self):
        made, _ = self.play(lambda name: errno.EIO if self.time < 40 * SECOND else None, self.folder, 60)
        self.time += 400 * SECOND
        made.flush()
        made.close()
        self.assertEqual(self.ids(self.folder), list(range(1300, 1360)))


class Ends(Case):
    ROW = ("f1", "n", "w1", "used", 0.25, 1.5)

    def test_after_a_fault_the_account_goes_on_in_a_new_file(self):
        for name in ("write", "open", "sync", "replace"):
            for code in CODES:
                folder = self.folder / f"{name}-{code}"
                failing = [False]

                def fault(call, code=code, name=name, failing=failing):
                    return code if failing[0] and call == name else None

                files = FaultyFiles(fault, torn=True)
                made = EarlyLoadLog(folder, files=files, now=self.now, largest=400)
                for number in range(3):
                    made.record(EarlyLoadEnd(number, 0, 0, *self.ROW))
                made.flush()
                failing[0] = True
                for number in range(3, 20):
                    made.record(EarlyLoadEnd(number, 0, 0, *self.ROW))
                    made.flush()
                self.assertEqual(made.stopped is not None, name != "sync" or made.backoff.failures > 0)
                failing[0] = False
                self.time += 400 * SECOND
                made.flush()
                self.assertIsNone(made.stopped)
                made.record(EarlyLoadEnd(20, 0, 0, *self.ROW))
                made.close()
                asked = [row.ordered_at for row in early_load_log.read(folder)]
                self.assertEqual(asked, sorted(set(asked)))
                self.assertEqual(asked[-1], 20)

    def test_it_backs_off(self):
        files = FaultyFiles(lambda name: errno.EIO)
        made = EarlyLoadLog(self.folder, files=files, now=self.now)
        for _ in range(1000):
            self.time += 5 * SECOND
            made.flush()
        self.assertLess(len(files.calls), 30)


class Snapshots(Case):
    def test_a_folder_that_fails_for_a_while_has_the_old_value_or_the_new(self):
        path = self.folder / "s.snap"
        snapshot.write(path, "test", 1, "old")
        for code in CODES:
            for number in range(1, 7):
                for last in (number, 99):
                    snapshot.write(path, "test", 1, "old")
                    with self.assertRaises(OSError):
                        snapshot.write(
                            path, "test", 1, "new", FaultyFiles(nth(number, code, last), torn=True)
                        )
                    self.assertIn(snapshot.read(path, "test", 1)[1], ("old", "new"))
                    snapshot.write(path, "test", 1, "newer")
                    self.assertEqual(snapshot.read(path, "test", 1), (1, "newer"))


if __name__ == "__main__":
    unittest.main()
