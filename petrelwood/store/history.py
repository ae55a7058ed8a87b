"""The history of executions: which function ran when, cold or warm, and how long it waited.

Rows are buffered in memory and written in groups to a tail, an append-only log. When the tail has enough rows
they are written to Parquet files, one a day, and a new tail is begun. So a kill at any byte loses at
most the rows since the last flush. `store.history_files` defines the layout of the folder.

A full or failing disk stops the history, never the dispatching; `stopped` is the reason. The failed tail is
abandoned, because it is unknown how much of it is on the disk. Its rows stay in memory, and new rows are
added to them, up to twice the rows of a tail in total. After a backoff they are written to Parquet files
under that tail's number, and a new tail is started.
"""

import os
import pathlib
from collections.abc import Callable
from time import monotonic_ns

from petrelwood.decide.overload.backoff import Backoff
from petrelwood.store import append_log, history_files
from petrelwood.store.append_log import AppendLog
from petrelwood.store.errors import LogFormatError, LogWriteError
from petrelwood.store.files import Files
from petrelwood.store.history_files import Row, Sealed, day_of, tail_path

SECOND = 1_000_000_000
FIRST_DELAY = 5 * SECOND  # from a fault to the first retry; doubled after each up to `LONGEST_DELAY`
LONGEST_DELAY = 300 * SECOND
ROWS_PER_TAIL = 50_000
ROWS_PER_GROUP = 256  # rows that are buffered before they are written
MAX_NAMES = 60_000  # names in a tail, where their numbers have two bytes
MAX_BYTES = 1 << 30
MAX_DAYS = 60
LONGEST_US = 0xFFFFFFFF  # the longest time in µs that a row can hold: 71 minutes
MICROSECOND = 1000  # ns


class History:
    """The history in one folder, bounded to `most_bytes` bytes and `most_days` days.

    `stopped`: why nothing is written now, or None; `noted`: how many rows were recorded; `lost`: how many
    rows were dropped because the disk had failed for too long; `group`: rows per write; `roll`: rows per
    tail; `now`: the monotonic clock, ns.
    """

    def __init__(
        self,
        folder: str | os.PathLike[str],
        most_bytes: int = MAX_BYTES,
        most_days: int = MAX_DAYS,
        files: Files | None = None,
        group: int = ROWS_PER_GROUP,
        roll: int = ROWS_PER_TAIL,
        now: Callable[[], int] = monotonic_ns,
    ) -> None:
        self.folder = pathlib.Path(folder)
        self.most_bytes = most_bytes
        self.most_days = most_days
        self.files = files or Files()
        self.group = group
        self.roll = roll
        self.now = now
        self.backoff = Backoff(FIRST_DELAY, LONGEST_DELAY, lambda: 1.0)
        self.stopped: str | None = None
        self.noted = 0
        self.lost = 0
        self.log: AppendLog | None = None  # the tail; None until it was first opened
        self.number = 0  # the number of the tail
        self.rows: list[Row] = []  # all rows of the tail
        self._numbers: dict[str, int] = {}  # the numbers of the names in the tail
        self._unflushed = 0  # how many of the last rows are not written yet
        self._unremoved: list[pathlib.Path] = []  # obsolete tails that are still to be removed
        try:
            self._open()
        except (LogWriteError, LogFormatError, OSError) as error:
            self._stop(error)

    def _stop(self, error: Exception) -> None:
        self.stopped = str(error)
        self.backoff.failed(self.now())

    # Opening
    def _open(self) -> None:
        """Open the tail, after finishing the conversion of older tails that a kill interrupted."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for part in self.folder.glob("**/*.part"):
            part.unlink()
        sealed = history_files.sealed(self.folder)
        tails = history_files.tails(self.folder)
        self.number = max([each.number for each in sealed] + [number for number, _ in tails], default=1)
        sealed_numbers = {each.number for each in sealed}
        for number, path in tails:
            if number != self.number or number in sealed_numbers:
                self._finish_seal(number, path, sealed)
                self.number = max(self.number, number + 1)
        log = AppendLog(tail_path(self.folder, self.number), self.files)
        self._numbers, found = history_files.decode(log.payloads)
        self.rows = found + self.rows
        self.log = log

    def _finish_seal(self, number: int, path: pathlib.Path, sealed: set[Sealed]) -> None:
        _, rows = history_files.decode(append_log.scan(path.read_bytes()).payloads)
        self._write_days([row for row in rows if Sealed(number, day_of(row.at)) not in sealed], number)
        self.files.remove(str(path))

    # Recording
    def note(
        self,
        at: int,
        function: str,
        customer: str,
        zone: str,
        how: int,
        waited: int,
        duration: int,
        load: int,
    ) -> None:
        """Record one execution; most calls only append to a list.

        `at`: when it ended, wall-clock ns; `zone`: the dispatcher's zone, in the stored column `hall`; `how`:
        the two low bits of the attempt's `ports.CopyNote`; `waited`: ns from arrival to the send; `duration`:
        ns from the send to the end; `load`: ns of `duration` that count as loading, 0 if the copy was warm.
        """
        if self.stopped is not None and len(self.rows) >= 2 * self.roll:
            self.lost += 1
            return
        row = Row(
            at,
            function,
            customer,
            zone,
            how,
            min(waited // MICROSECOND, LONGEST_US),
            min(duration // MICROSECOND, LONGEST_US),
            min(load // MICROSECOND, LONGEST_US),
        )
        self.rows.append(row)
        self.noted += 1
        self._unflushed += 1
        if self._unflushed >= self.group and self.stopped is None:
            self.flush()

    def flush(self, sync: bool = False) -> None:
        """Write the buffered rows to the tail; convert the tail to Parquet files when it has enough rows.

        After a fault the history is resumed once the backoff is over. With `sync` the rows are durable on
        return.
        """
        if self.stopped is not None:
            self._recover()
        if self.stopped is not None or self.log is None:
            return
        if self._unremoved:
            self._remove_old()
        try:
            self._write_rows(self.log)
            if sync:
                self.log.sync()
            if len(self.rows) >= self.roll or len(self._numbers) > MAX_NAMES:
                self.seal()
        except (LogWriteError, LogFormatError, OSError) as error:
            self._stop(error)

    def _write_rows(self, log: AppendLog) -> None:
        if not self._unflushed:
            return
        rows = self.rows[-self._unflushed :]
        if not log.append(history_files.encode_rows(rows, self._number_of)):
            raise LogWriteError(f"{log.path}: the file has reached its maximum size")
        log.flush()
        self._unflushed = 0

    def _number_of(self, name: str) -> int:
        """Return the number that stands for a name in the tail; a new name is written to the tail first."""
        number = self._numbers.get(name)
        if number is None:
            number = self._numbers[name] = len(self._numbers)
            if self.log is not None:
                self.log.append(history_files.encode_name(number, name))
        return number

    # Conversion of tails to Parquet files
    def seal(self) -> None:
        """Convert the tail's rows to Parquet files, one a day, and begin a new tail."""
        if self.log is not None:
            self.log.sync()
            self._seal_rows(self.log)

    def _seal_rows(self, old: AppendLog) -> None:
        for day in sorted({day_of(row.at) for row in self.rows}):
            history_files.write_day(
                self.folder, [row for row in self.rows if day_of(row.at) == day], self.number, self.files
            )
            # A restart skips the tail's rows of this day, because a file of this day and number exists.
            self.rows = [row for row in self.rows if day_of(row.at) != day]
        self._numbers = {}
        self._unflushed = 0
        self.number += 1
        path = tail_path(self.folder, self.number)
        self._unremoved.append(path)  # in case it can't be opened
        self.log = AppendLog(path, self.files)
        self._unremoved.remove(path)
        old.abandon()
        self._unremoved.append(old.path)
        self._remove_old()

    def _write_days(self, rows: list[Row], number: int) -> None:
        for day in sorted({day_of(row.at) for row in rows}):
            some = [row for row in rows if day_of(row.at) == day]
            history_files.write_day(self.folder, some, number, self.files)

    def _remove_old(self) -> None:
        """Remove obsolete tails and days beyond the limits; failed removals are retried later."""
        try:
            while self._unremoved:
                if self._unremoved[-1].exists():
                    self.files.remove(str(self._unremoved[-1]))
                self._unremoved.pop()
            history_files.retain(self.folder, self.most_days, self.most_bytes)
        except OSError:
            return

    def _recover(self) -> None:
        """Once the backoff after a fault is over, convert the rows in memory and start a new tail."""
        if not self.backoff.may_retry(self.now()):
            return
        try:
            if self.log is None:
                self._open()
            else:
                self.log.abandon()
                self._seal_rows(self.log)
        except (LogWriteError, LogFormatError, OSError) as error:
            self._stop(error)
            return
        self.stopped = None
        self.backoff.succeeded()

    def compact(self) -> tuple[int, int]:
        """Merge each day's Parquet files into one; return how many there were, and how many are left."""
        return history_files.compact(self.folder, self.files)

    def close(self) -> None:
        """Write the buffered rows, make them durable, and close the tail."""
        self.flush(sync=True)
        if self.log is None:
            return
        try:
            if self.stopped is None:
                self.log.close()
        except LogWriteError as error:
            self._stop(error)
        self.log.abandon()
