"""The history of use: what was called, when, cold or warm, how long it waited. Columns, by day, compressed.

Rows are noted in memory and written to a tail (`store.append_log`) in groups; when a group of `ROLL` rows or
a new day is full, a Parquet file of it is written beside, renamed, and only then the tail begins anew. So a
kill at any byte loses no more than what was noted since the last flush, and what was dropped is said. A file
that is renamed while its tail still stands is known by the tail's number, so no row counts twice.

A full or failing disk stops the history, never the dispatching: `stopped` tells why. The failed tail is given
up, as nobody can tell what of it is on the disk; its rows stand in memory, and what is noted meanwhile beside
them, up to `ROLL` rows. With backoff they become files of that tail's number and a new tail begins."""

import datetime
import pathlib
import struct
import time

import pyarrow
import pyarrow.parquet

from petrelwood.decide.overload.backoff import Backoff
from petrelwood.store import append_log
from petrelwood.store.append_log import AppendLog
from petrelwood.store.errors import LogFormatError, LogWriteError
from petrelwood.store.files import Files

FIRST_DELAY = (
    5_000_000_000  # ns after a fault until the history is attempted again; doubled up to the longest
)
LONGEST_DELAY = 300_000_000_000
ROLL = 50_000  # rows of one file
GROUP = 256  # rows noted before they are written
ROW = struct.Struct("<qHHHBIII")
COLUMNS = (
    ("at", pyarrow.int64()),
    ("function", pyarrow.string()),
    ("customer", pyarrow.string()),
    ("hall", pyarrow.string()),
    ("how", pyarrow.uint8()),
    ("waited_us", pyarrow.uint32()),
    ("took_us", pyarrow.uint32()),
    ("load_us", pyarrow.uint32()),
)
WARM, COLD, JOINED, NEVER = range(4)  # how: found a copy, began a load, waited for one, was not completed


def day_of(at):
    return datetime.datetime.fromtimestamp(at / 1e9, datetime.UTC).strftime("%Y-%m-%d")


class History:
    """`most`: bytes on disk; `keep`: days. Times are wall-clock ns."""

    def __init__(
        self,
        folder,
        most=1 << 30,
        keep=60,
        files=None,
        group=GROUP,
        roll=ROLL,
        now=time.monotonic_ns,
    ):
        self.now, self.backoff = now, Backoff(FIRST_DELAY, LONGEST_DELAY, lambda: 1.0)
        self.folder, self.most, self.keep, self.files = (
            pathlib.Path(folder),
            most,
            keep,
            files or Files(),
        )
        self.group, self.roll, self.stopped, self.names, self.rows = group, roll, None, {}, []
        self.dropped, self.lost, self.noted, self.log, self.since = 0, 0, 0, None, 0
        self.number, self.opened, self.unremoved = 0, False, []
        try:
            self._open()
        except (LogWriteError, LogFormatError, OSError) as fault:
            self._stop(fault)

    def _stop(self, fault):
        self.stopped = str(fault)
        self.backoff.failed(self.now())

    def _recover(self):
        """After a fault, once that is due: the rows of the tail that failed become files, and a new one
        begins."""
        if not self.backoff.may_retry(self.now()):
            return
        try:
            if not self.opened:
                noted, self.rows, self.names = self.rows, [], {}
                try:
                    self._open()
                finally:
                    self.rows += noted
            else:
                self.log.abandon()
                self._seal_rows()
        except (LogWriteError, LogFormatError, OSError) as fault:
            self._stop(fault)
            return
        self.stopped = None
        self.backoff.succeeded()

    def _tails(self):
        return sorted(self.folder.glob("tail-*.log"))

    def _open(self):
        """Finds the tail; rows that a file already has are not taken again."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for part in self.folder.glob("**/*.part"):
            part.unlink()
        done = sealed(self.folder)
        self.number = max(
            [n for n, _ in done] + [int(p.stem.split("-")[1]) for p in self._tails()], default=1
        )
        for path in self._tails():
            number = int(path.stem.split("-")[1])
            if number == self.number and number not in {n for n, _ in done}:
                continue  # the one that goes on
            # a seal that a kill has cut short: it is finished
            _, rows = replayed(append_log.scan(path.read_bytes())[0])
            self._write_days([r for r in rows if (number, day_of(r[0])) not in done], number)
            self.files.remove(str(path))
            self.number = max(self.number, number + 1)
        self.log = AppendLog(self.folder / f"tail-{self.number:08d}.log", self.files)
        self.dropped = self.log.dropped_size
        self.names, self.rows = replayed(self.log.payloads)
        self.opened = True

    def _name(self, text):
        number = self.names.get(text)
        if number is None:
            number = self.names[text] = len(self.names)
            self.log.append(b"n" + struct.pack("<H", number) + text.encode("utf-8"))
        return number

    def note(self, at, function, customer, hall, how, waited, took, load):
        """One activation's end; ns, as large as 71 minutes are kept. Cheap: most calls only append to a
        list."""
        if self.stopped is not None and len(self.rows) >= 2 * self.roll:
            self.lost += 1
            return
        row = (
            at,
            function,
            customer,
            hall,
            how,
            min(waited // 1000, 0xFFFFFFFF),
            min(took // 1000, 0xFFFFFFFF),
            min(load // 1000, 0xFFFFFFFF),
        )
        self.rows.append(row)
        self.noted += 1
        self.since += 1
        if self.since >= self.group and self.stopped is None:
            self.flush()

    def flush(self, sync=False):
        """Writes what was noted; when enough stands, a file of columns is made of it. After a fault the
        history is begun again when that is due."""
        if self.stopped is not None:
            self._recover()
        if self.stopped is not None:
            return
        if self.unremoved:
            self._remove_old()
        try:
            if self.since:
                packed = b"".join(
                    ROW.pack(row[0], self._name(row[1]), self._name(row[2]), self._name(row[3]), *row[4:])
                    for row in self.rows[-self.since :]
                )
                if not self.log.append(b"r" + packed):
                    raise LogWriteError("the tail is full")
                self.log.flush()
                self.since = 0
            if sync:
                self.log.sync()
            if len(self.rows) >= self.roll or len(self.names) > 60_000:
                self.seal()
        except (LogWriteError, OSError) as fault:
            self._stop(fault)

    def seal(self):
        """The rows become files, one a day; the tail begins anew."""
        self.log.sync()
        self._seal_rows()

    def _seal_rows(self):
        old = self.log
        for day in sorted({day_of(row[0]) for row in self.rows}):
            self._write_days([row for row in self.rows if day_of(row[0]) == day], self.number)
            # a file of this day and number is enough for a start to pass over the tail's rows of it
            self.rows = [row for row in self.rows if day_of(row[0]) != day]
        self.names, self.since = {}, 0
        self.number += 1
        path = self.folder / f"tail-{self.number:08d}.log"
        self.unremoved.append(path)  # unless it can be begun
        self.log = AppendLog(path, self.files)
        self.unremoved.remove(path)
        old.abandon()
        self.unremoved.append(old.path)
        self._remove_old()

    def _remove_old(self):
        """What can't be removed now only takes room; it is tried again."""
        try:
            while self.unremoved:
                if self.unremoved[-1].exists():
                    self.files.remove(str(self.unremoved[-1]))
                self.unremoved.pop()
            self.retain()
        except OSError:
            pass

    def _write_days(self, rows, number):
        for day in sorted({day_of(row[0]) for row in rows}):
            some = sorted(row for row in rows if day_of(row[0]) == day)
            target = self.folder / f"day={day}" / f"rows-{some[0][0]:020d}-{number}.parquet"
            target.parent.mkdir(exist_ok=True)
            self._write(some, target)

    def _write(self, rows, target):
        part = target.with_suffix(".part")
        columns = {
            name: pyarrow.array([row[i] for row in rows], type_) for i, (name, type_) in enumerate(COLUMNS)
        }
        pyarrow.parquet.write_table(pyarrow.table(columns), part, compression="zstd")
        self.files.replace(str(part), str(target))

    def retain(self):
        """Forgets the oldest days: those over `keep`, then whatever is over the bound on disk."""
        days = sorted(self.folder.glob("day=*"))
        sizes = {day: sum(p.stat().st_size for p in day.iterdir()) for day in days}
        while days and (len(days) > self.keep or sum(sizes[d] for d in days) > self.most):
            if len(days) == 1:
                break
            oldest = days.pop(0)
            for path in oldest.iterdir():
                path.unlink()
            oldest.rmdir()

    def compact(self):
        """One file for each day; (files before, files after). Parts are written beside and renamed."""
        before = after = 0
        for day in sorted(self.folder.glob("day=*")):
            paths = sorted(day.glob("rows-*.parquet"))
            before += len(paths)
            after += min(1, len(paths))
            if len(paths) < 2:
                continue
            table = pyarrow.concat_tables([pyarrow.parquet.read_table(p) for p in paths]).sort_by("at")
            highest = max(int(p.stem.split("-")[2]) for p in paths)
            part = day / "whole.part"
            pyarrow.parquet.write_table(table, part, compression="zstd")
            target = day / f"rows-{table['at'][0].as_py():020d}-{highest}.parquet"
            self.files.replace(str(part), str(target))
            for path in paths:
                if path != target:
                    self.files.remove(str(path))
        return before, after

    def close(self):
        self.flush(sync=True)
        try:
            if self.log is not None and self.stopped is None:
                self.log.close()
            elif self.log is not None:
                self.log.abandon()
        except (LogWriteError, OSError) as fault:
            self._stop(fault)


def replayed(records):
    """(names with their numbers, rows) of a tail's records."""
    names, by, rows = {}, {}, []
    for record in records:
        kind, body = record[:1], record[1:]
        if kind == b"n":
            name, number = body[2:].decode("utf-8"), struct.unpack("<H", body[:2])[0]
            names[name], by[number] = number, name
        elif kind == b"r":
            for when, fn, customer, hall, how, waited, took, load in ROW.iter_unpack(body):
                rows.append((when, by[fn], by[customer], by[hall], how, waited, took, load))
    return names, rows


def sealed(folder):
    """{(tail's number, day)} whose rows stand in a file of their own. Compacted files carry their highest
    number."""
    return {
        (int(p.stem.split("-")[2]), p.parent.name[4:])
        for p in pathlib.Path(folder).glob("day=*/rows-*-*.parquet")
    }


def read(folder, since=0, until=1 << 62):
    """All rows of a folder with `since <= at < until`, as a table sorted by time, the tail's among them."""
    folder = pathlib.Path(folder)
    tables = [
        pyarrow.parquet.read_table(p, filters=[("at", ">=", since), ("at", "<", until)])
        for p in sorted(folder.glob("day=*/rows-*.parquet"))
    ]
    done = sealed(folder)
    for path in sorted(folder.glob("tail-*.log")):
        number = int(path.stem.split("-")[1])
        _, rows = replayed(append_log.scan(path.read_bytes())[0])
        rows = [r for r in rows if since <= r[0] < until and (number, day_of(r[0])) not in done]
        tables.append(
            pyarrow.table(
                {name: pyarrow.array([r[i] for r in rows], type_) for i, (name, type_) in enumerate(COLUMNS)}
            )
        )
    if not tables:
        return pyarrow.table({name: pyarrow.array([], type_) for name, type_ in COLUMNS})
    return pyarrow.concat_tables(tables).sort_by("at")


def verify(folder):
    """What is wrong with a folder, a line each; empty if nothing is."""
    wrong = []
    for path in sorted(pathlib.Path(folder).glob("day=*/rows-*.parquet")):
        try:
            table = pyarrow.parquet.read_table(path)
        except (OSError, pyarrow.ArrowException) as fault:
            wrong.append(f"{path}: {str(fault).splitlines()[0]}")
            continue
        days = (
            {day_of(at) for at in (table["at"][0].as_py(), table["at"][-1].as_py())} if len(table) else set()
        )
        if days - {path.parent.name[4:]}:
            wrong.append(f"{path}: holds rows of {', '.join(sorted(days))}")
    for path in sorted(pathlib.Path(folder).glob("tail-*.log")):
        try:
            _, whole, why = append_log.scan(path.read_bytes())
        except LogFormatError as fault:
            wrong.append(f"{path}: {fault}")
            continue
        if why:
            wrong.append(f"{path}: {why}, {path.stat().st_size - whole} bytes after it")
    return wrong
