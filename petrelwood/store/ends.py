"""How early loads ended: a log of rows beside the history, for the account that people read.

A full or failing disk stops the log, never the early loads. When it is as large as its bound it begins anew,
and the one before is kept as `early-old.log`; after a fault it begins anew in the same way, with backoff, as
nobody knows what of the failed file is on the disk. What ends meanwhile is not in the account."""

import pathlib
import time

import msgpack

from petrelwood.decide.overload.backoff import Backoff
from petrelwood.store import append_log
from petrelwood.store.append_log import AppendLog
from petrelwood.store.errors import LogFormatError, LogWriteError
from petrelwood.store.files import Files

FIRST_DELAY = 5_000_000_000  # ns after a fault until it begins anew; doubled up to the longest
LONGEST_DELAY = 300_000_000_000
FIELDS = ("asked", "stood", "ended", "function", "hall", "worker", "end", "seconds", "memory")


class Ends:
    """Times are wall-clock ns; `seconds` what it saved less its costs, `memory` the gigabyte-seconds it
    stood."""

    def __init__(self, folder, most=32 << 20, files=None, now=time.monotonic_ns):
        self.now, self.backoff = now, Backoff(FIRST_DELAY, LONGEST_DELAY, lambda: 1.0)
        self.path, self.most, self.files, self.stopped = (
            pathlib.Path(folder) / "early.log",
            most,
            files or Files(),
            None,
        )
        self.log = None
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            self.log = AppendLog(self.path, self.files, most)
            self.log.payloads = []
        except (LogWriteError, LogFormatError, OSError) as fault:
            self._stop(fault)

    def _stop(self, fault):
        self.stopped = str(fault)
        self.backoff.failed(self.now())

    def _begin(self):
        """A new file; the one before, whole or failed, is the old one then."""
        if self.log is not None:
            self.log.abandon()
        try:
            self.files.replace(str(self.path), str(self.path.with_name("early-old.log")))
        except FileNotFoundError:
            pass
        self.log = AppendLog(self.path, self.files, self.most)

    def note(self, *row):
        """A row in the order of `FIELDS`."""
        if self.stopped is not None:
            return
        try:
            if not self.log.append(msgpack.packb(row)):
                self.log.sync()
                self._begin()
                self.log.append(msgpack.packb(row))
        except (LogWriteError, LogFormatError, OSError) as fault:
            self._stop(fault)

    def flush(self):
        """Gives the system what was noted; after a fault, begins anew when that is due."""
        try:
            if self.stopped is None:
                self.log.flush()
            elif self.backoff.may_retry(self.now()):
                self._begin()
                self.stopped = None
                self.backoff.succeeded()
        except (LogWriteError, LogFormatError, OSError) as fault:
            self._stop(fault)

    def close(self):
        if self.log is not None:
            try:
                self.log.close()
            except (LogWriteError, OSError) as fault:
                self.stopped = self.stopped or str(fault)


def read(folder):
    """All rows as dicts, the oldest first."""
    rows = []
    for name in ("early-old.log", "early.log"):
        path = pathlib.Path(folder) / name
        if path.exists():
            for record in append_log.scan(path.read_bytes())[0]:
                row = msgpack.unpackb(record)
                if len(row) == len(FIELDS):
                    rows.append(dict(zip(FIELDS, row, strict=True)))
    return rows
