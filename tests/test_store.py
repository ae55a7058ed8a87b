"""The append-only log, the history and snapshots: kills at every byte, failing disk calls, flipped bits."""

import errno
import pathlib
import random
import tempfile
import unittest

from petrelwood.store import append_log, files, history, history_files, snapshot
from petrelwood.store.errors import LogFormatError, LogWriteError, SnapshotError

DAY = 86_400 * 10**9
MIDNIGHT = 24 * 60  # minutes
T0 = 1_764_547_200 * 10**9  # a midnight


class Faulty(files.Files):
    """Fails the n-th call that can fail, in the way that `how` names."""

    def __init__(self, at, how):
        self.left, self.how, self.calls = at, how, 0

    def _count_call(self):
        self.calls += 1
        self.left -= 1
        return self.left == 0

    def write(self, handle, data):
        if self._count_call():
            if self.how == "short":
                return super().write(handle, data[: max(1, len(data) // 2)])
            if self.how == "torn":
                super().write(handle, data[: len(data) // 3])
            raise OSError(errno.ENOSPC, "No space left on device")
        return super().write(handle, data)

    def sync(self, handle):
        if self._count_call() and self.how != "short":
            raise OSError(errno.EIO, "Input/output error")
        super().sync(handle)

    def replace(self, source, target):
        if self._count_call() and self.how != "short":
            raise OSError(errno.EIO, "Input/output error")
        super().replace(source, target)


class Case(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name)


class Tail(Case):
    def test_a_kill_at_every_byte_keeps_all_records_that_were_whole(self):
        log, chance = append_log.AppendLog(self.path / "a.log"), random.Random(1)
        payloads = [chance.randbytes(chance.randrange(0, 40)) for _ in range(30)]
        ends = []
        for payload in payloads:
            log.append(payload)
            log.flush()
            ends.append(log.size)
        log.close()
        data = (self.path / "a.log").read_bytes()
        for size in range(len(data) + 1):
            (self.path / "b.log").write_bytes(data[:size])
            again = append_log.AppendLog(self.path / "b.log")
            whole = sum(end <= size for end in ends)
            self.assertEqual(again.payloads, payloads[:whole])
            self.assertTrue(again.append(b"after"))
            again.close()
            self.assertEqual(
                append_log.AppendLog(self.path / "b.log").payloads, payloads[:whole] + [b"after"]
            )

    def test_every_flipped_bit_is_seen(self):
        log = append_log.AppendLog(self.path / "a.log")
        for i in range(5):
            log.append(b"payload %d" % i)
        log.close()
        data, whole = (self.path / "a.log").read_bytes(), [b"payload %d" % i for i in range(5)]
        for bit in range(8 * len(data)):
            flipped = bytearray(data)
            flipped[bit // 8] ^= 1 << bit % 8
            try:
                records, _, why = append_log.scan(bytes(flipped))
            except LogFormatError:
                self.assertLess(bit // 8, len(append_log.MARK))
                continue
            self.assertEqual(records, whole[: len(records)])
            self.assertTrue(why)
            self.assertLess(len(records), 5)

    def test_another_format_is_refused_and_left_alone(self):
        (self.path / "a.log").write_bytes(b"ptw-log\x02 of a later build")
        with self.assertRaises(LogFormatError):
            append_log.AppendLog(self.path / "a.log")
        self.assertEqual((self.path / "a.log").read_bytes(), b"ptw-log\x02 of a later build")

    def test_after_a_failed_sync_nothing_more_is_taken(self):
        log = append_log.AppendLog(self.path / "a.log", Faulty(3, "full"))
        log.append(b"1")
        with self.assertRaises(LogWriteError):
            log.sync()
        self.assertFalse(log.append(b"2"))
        log.sync()  # neither retried nor raised again


class Histories(Case):
    def fill(self, made, count, start=0):
        for i in range(start, start + count):
            made.note(T0 + i * 60 * 10**9, f"f{i % 7}", "x", "n", i % 3, 1000 * i, 2000, 0)

    def ids(self, table=None):
        table = table if table is not None else history_files.read(self.path)
        return [(at - T0) // (60 * 10**9) for at in table["at"].to_pylist()]

    def test_rows_come_back_over_files_days_and_the_tail(self):
        made = history.History(self.path, group=8, roll=700)
        self.fill(made, 3000)
        made.close()
        table = history_files.read(self.path)
        self.assertEqual(self.ids(table), list(range(3000)))
        self.assertEqual(table["function"].to_pylist()[:8], ["f0", "f1", "f2", "f3", "f4", "f5", "f6", "f0"])
        self.assertEqual(len(list(self.path.glob("day=*"))), 2)
        self.assertEqual(history_files.verify(self.path), [])
        self.assertEqual(
            self.ids(history_files.read(self.path, T0 + 600 * 10**9, T0 + 1200 * 10**9)), list(range(10, 20))
        )
        before, after = history.History(self.path).compact()
        self.assertEqual((before > after, after, self.ids()), (True, 2, list(range(3000))))

    def test_a_kill_at_every_write_loses_only_what_was_not_flushed_and_doubles_nothing(self):
        """Opens a copy of the files after each call that changes them, and continues the history there."""
        shots = []

        class Shots(files.Files):
            def _shot(self):
                shots.append(
                    (
                        {p.relative_to(path): p.read_bytes() for p in path.rglob("*") if p.is_file()},
                        made.noted if made else 0,
                    )
                )

            def write(self, handle, data):
                done = super().write(handle, data[: max(1, len(data) // 2)])
                self._shot()
                return done

            def replace(self, source, target):
                super().replace(source, target)
                self._shot()

            def remove(self, target):
                super().remove(target)
                self._shot()

        path, made = self.path / "first", None
        made = history.History(path, group=5, roll=60, files=Shots())
        # one of the files' rows lie on both sides of midnight
        self.fill(made, 200, MIDNIGHT - 100)
        made.close()
        self.assertGreater(len(shots), 80)
        for number, (shot, noted) in enumerate(shots):
            where = self.path / f"again{number}"
            for name, data in shot.items():
                (where / name).parent.mkdir(parents=True, exist_ok=True)
                (where / name).write_bytes(data)
            again = history.History(where, group=5, roll=60)
            self.assertIsNone(again.stopped)
            rows = [(r[0] - T0) // (60 * 10**9) for r in again.rows]
            again.close()
            found = self.ids(history_files.read(where))
            self.assertEqual(
                found, list(range(MIDNIGHT - 100, MIDNIGHT - 100 + len(found))), f"shot {number}"
            )
            self.assertGreaterEqual(len(found), noted - 5 - 5, f"shot {number}: {len(rows)} in the tail")

    def test_a_disk_that_fails_at_any_call_stops_the_history_and_nothing_else(self):
        stopped = 0
        for how in ("full", "torn", "short"):
            for at in range(1, 60):
                where = self.path / f"{how}{at}"
                made = history.History(where, group=4, roll=40, files=Faulty(at, how))
                self.fill(made, 150)
                made.close()
                stopped += made.stopped is not None
                found = self.ids(history_files.read(where))
                self.assertEqual(found, list(range(len(found))), f"{how} at {at}")
                if how == "short":
                    self.assertEqual((made.stopped, len(found)), (None, 150))
                self.assertEqual([w for w in history_files.verify(where) if "tail" not in w], [])
        self.assertGreater(stopped, 60)

    def test_days_and_bytes_are_bounded_oldest_first(self):
        made = history.History(self.path, most_days=3, group=8, roll=200)
        for day in range(8):
            for i in range(200):
                made.note(T0 + day * DAY + i * 10**9, "f", "x", "n", 0, 0, 0, 0)
        made.close()
        days = sorted(p.name for p in self.path.glob("day=*"))
        self.assertEqual((len(days), days[-1]), (3, "day=" + history_files.day_of(T0 + 7 * DAY)))
        small = history.History(self.path, most_days=99, most_bytes=1, group=8, roll=200)
        for i in range(200):
            small.note(T0 + 9 * DAY + i * 10**9, "f", "x", "n", 0, 0, 0, 0)
        self.assertEqual(
            [p.name for p in self.path.glob("day=*")], ["day=" + history_files.day_of(T0 + 9 * DAY)]
        )

    def test_a_damaged_file_is_named(self):
        made = history.History(self.path, group=8, roll=100)
        self.fill(made, 250)
        made.close()
        hit = sorted(self.path.glob("day=*/rows-*"))[0]
        hit.write_bytes(hit.read_bytes()[:-20])
        self.assertIn(str(hit), history_files.verify(self.path)[0])


class FaultyParts(files.Files):
    """Fails the n-th call; `short`: writes one byte per call instead."""

    def __init__(self, at, short=False):
        self.left, self.short, self.calls = at, short, 0

    def _count_call(self):
        self.calls += 1
        self.left -= 1
        if self.left == 0:
            raise OSError(errno.EIO, "Input/output error")

    def write(self, handle, data):
        self._count_call()
        return super().write(handle, data[:1] if self.short else data)

    def sync(self, handle):
        self._count_call()
        super().sync(handle)

    def replace(self, source, target):
        self._count_call()
        super().replace(source, target)

    def sync_folder(self, path):
        self._count_call()
        super().sync_folder(path)


class Snapshots(Case):
    OLD, NEW = {"a": [1, 2.5, None, "x"], "b": {3: b"raw"}}, ["new"] * 50

    def test_a_failure_at_any_call_leaves_the_old_value_or_the_new(self):
        path, kept = self.path / "s.snap", []
        for at in range(1, 6):
            snapshot.write(path, "test", 1, self.OLD)
            files = FaultyParts(at)
            try:
                snapshot.write(path, "test", 2, self.NEW, files)
            except OSError:
                pass
            kept.append(snapshot.read(path, "test", 2)[1] == self.NEW)
        self.assertEqual(kept, [False, False, False, True, True])  # new from the rename on
        snapshot.write(path, "test", 1, self.OLD, FaultyParts(0, short=True))
        self.assertEqual(snapshot.read(path, "test", 1), (1, self.OLD))

    def test_each_flipped_bit_and_each_cut_is_refused(self):
        data = snapshot.pack("test", 1, self.OLD)
        for at in range(len(data)):
            for bit in range(8):
                hit = bytearray(data)
                hit[at] ^= 1 << bit
                with self.assertRaises(SnapshotError):
                    snapshot.unpack(bytes(hit), "test", 1)
            with self.assertRaises(SnapshotError):
                snapshot.unpack(data[:at], "test", 1)

    def test_another_kind_and_a_build_ahead_are_told_apart(self):
        for data, words in (
            (snapshot.pack("other", 1, 0), "holds other, not test"),
            (snapshot.pack("test", 3, 0), "version is 3; this build reads 1 to 2"),
        ):
            with self.assertRaises(SnapshotError) as caught:
                snapshot.unpack(data, "test", 2)
            self.assertIn(words, str(caught.exception))
        self.assertIsNone(snapshot.read(self.path / "none.snap", "test", 1))
