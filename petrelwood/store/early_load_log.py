"""How early loads ended: a log of records beside the history, for the account that people read.

A full or failing disk stops the log, never the early loads. When it is as large as its bound it begins anew,
and the one before stays as `early-old.log`. After a fault it begins anew in the same way, with backoff, as
nobody knows what of the failed file is on the disk. What ends meanwhile is not in the account.
"""

import contextlib
import os
import pathlib
from collections.abc import Callable
from time import monotonic_ns
from typing import NamedTuple

import msgpack

from petrelwood.decide.overload.backoff import Backoff
from petrelwood.store import append_log
from petrelwood.store.append_log import AppendLog
from petrelwood.store.errors import LogFormatError, LogWriteError
from petrelwood.store.files import Files

SECOND = 1_000_000_000
FIRST_DELAY = 5 * SECOND  # after a fault until it begins anew; doubled up to the longest
LONGEST_DELAY = 300 * SECOND
LARGEST_FILE = 32 << 20
FILE = "early.log"
OLD_FILE = "early-old.log"


class EarlyLoadEnd(NamedTuple):
    """How one early load ended, in the order of its stored form. Times are wall-clock ns."""

    ordered_at: int
    loaded_at: int | None  # when the copy was loaded; None: never
    ended_at: int
    function: str
    hall: str
    worker: str
    end: str  # of `decide.forecasting.account.LoadEnd`
    seconds: float  # what it saved less its costs
    memory: float  # the gigabyte-seconds for which it stood


class EarlyLoadLog:
    """The log in one folder. `stopped`: why nothing is recorded now, or None."""

    def __init__(
        self,
        folder: str | os.PathLike[str],
        largest: int = LARGEST_FILE,
        files: Files | None = None,
        now: Callable[[], int] = monotonic_ns,
    ) -> None:
        self.path = pathlib.Path(folder) / FILE
        self.largest = largest
        self.files = files or Files()
        self.now = now
        self.backoff = Backoff(FIRST_DELAY, LONGEST_DELAY, lambda: 1.0)
        self.stopped: str | None = None
        self.log: AppendLog | None = None
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            self.log = AppendLog(self.path, self.files, largest)
            self.log.payloads = []
        except (LogWriteError, LogFormatError, OSError) as error:
            self._stop(error)

    def _stop(self, error: Exception) -> None:
        self.stopped = str(error)
        self.backoff.failed(self.now())

    def _begin_anew(self) -> AppendLog:
        """A new file; the one before, complete or failed, is the old one then."""
        if self.log is not None:
            self.log.abandon()
        with contextlib.suppress(FileNotFoundError):
            self.files.replace(str(self.path), str(self.path.with_name(OLD_FILE)))
        self.log = AppendLog(self.path, self.files, self.largest)
        return self.log

    def record(self, end: EarlyLoadEnd) -> None:
        """Records the end of an early load."""
        if self.stopped is not None or self.log is None:
            return
        payload = msgpack.packb(tuple(end))
        try:
            if not self.log.append(payload):
                self.log.sync()
                self._begin_anew().append(payload)
        except (LogWriteError, LogFormatError, OSError) as error:
            self._stop(error)

    def flush(self) -> None:
        """Gives the system what was recorded; after a fault, begins anew when that is due."""
        try:
            if self.stopped is None and self.log is not None:
                self.log.flush()
            elif self.backoff.may_retry(self.now()):
                self._begin_anew()
                self.stopped = None
                self.backoff.succeeded()
        except (LogWriteError, LogFormatError, OSError) as error:
            self._stop(error)

    def close(self) -> None:
        """Makes it durable and closes it."""
        if self.log is None:
            return
        try:
            self.log.close()
        except LogWriteError as error:
            self.stopped = self.stopped or str(error)


def read(folder: str | os.PathLike[str]) -> list[EarlyLoadEnd]:
    """All records, the oldest first. Raises `LogFormatError` and `OSError`."""
    ends = []
    for name in (OLD_FILE, FILE):
        path = pathlib.Path(folder) / name
        if path.exists():
            for payload in append_log.scan(path.read_bytes()).payloads:
                fields = msgpack.unpackb(payload)
                if len(fields) == len(EarlyLoadEnd._fields):
                    ends.append(EarlyLoadEnd(*fields))
    return ends
