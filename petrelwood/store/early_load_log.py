"""A log of how early loads ended, from which `petrelwood forecast account` makes its tables.

A full or failing disk stops the log, never the early loads. When the file reaches its maximum size, it is
renamed to `early-old.log` and a new file is started. After a fault a new file is started in the same way,
with backoff, because it is unknown how much of the failed one is on the disk. Early loads that end meanwhile
are not recorded.
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

SECOND = 1_000_000_000  # ns
FIRST_DELAY = 5 * SECOND  # from a fault to the first retry; doubled after each up to `LONGEST_DELAY`
LONGEST_DELAY = 300 * SECOND
LARGEST_FILE = 32 << 20  # bytes
FILE = "early.log"
OLD_FILE = "early-old.log"


class EarlyLoadEnd(NamedTuple):
    """How one early load ended, with the fields in the order of the stored form. Times are wall-clock ns."""

    ordered_at: int
    loaded_at: int | None  # when the copy was loaded; None: never
    ended_at: int
    function: str
    hall: str
    worker: str
    end: str  # a value of `decide.forecasting.account.LoadEnd`
    seconds: float  # the time it saved less its costs
    memory: float  # the gigabyte-seconds that its copy occupied


class EarlyLoadLog:
    """The log in one folder.

    `stopped`: why nothing is recorded now, or None. `largest`: the maximum size of one file, bytes. `now`:
    the monotonic clock, ns.
    """

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
        """Rename the current file to `OLD_FILE`, start a new file, and return its log."""
        if self.log is not None:
            self.log.abandon()
        with contextlib.suppress(FileNotFoundError):
            self.files.replace(str(self.path), str(self.path.with_name(OLD_FILE)))
        self.log = AppendLog(self.path, self.files, self.largest)
        return self.log

    def record(self, end: EarlyLoadEnd) -> None:
        """Record the end of an early load; a fault stops the log."""
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
        """Hand the recorded ends to the operating system; after a fault and its backoff, start a new file."""
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
        """Make the recorded ends durable, and close the file."""
        if self.log is None:
            return
        try:
            self.log.close()
        except LogWriteError as error:
            self.stopped = self.stopped or str(error)


def read(folder: str | os.PathLike[str]) -> list[EarlyLoadEnd]:
    """Return all recorded ends, oldest first.

    Raises:
        LogFormatError: a file is no log of this format.
        OSError: a file could not be read.
    """
    ends = []
    for name in (OLD_FILE, FILE):
        path = pathlib.Path(folder) / name
        if path.exists():
            for payload in append_log.scan(path.read_bytes()).payloads:
                fields = msgpack.unpackb(payload)
                if len(fields) == len(EarlyLoadEnd._fields):
                    ends.append(EarlyLoadEnd(*fields))
    return ends
