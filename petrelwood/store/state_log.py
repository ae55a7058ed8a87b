"""The state that survives a dispatcher: a log of what it took, how it ended, and which loads it ordered.

What is remembered for a time is forgotten with its segment: one is removed once all in it is older than that,
so nothing is rewritten while the disk is well, and what a start has to read is bounded by what one memory's
time wrote. The age of a segment is a span of the monotonic clock: one that this incarnation wrote counts from
when it was sealed, one that was found from its least age at the start, so no step of the wall clock removes
anything early.

Durability says when a record counts: "process" once the system has it (it survives a kill of the process),
"machine" once the disk has it. A failing disk stops the log, and its owner decides what it may still do
(`decide.delivery.recovery`). A file whose write or fsync failed is never trusted again: `reopen` begins a new
segment, the owner adds to it what is still remembered (`decide.delivery.state_rewrite`), and `resume` ends
the outage. What this incarnation had written before is then superseded and removed. A kill on the way leaves
the old segments, and of the new one a beginning that says nothing else.
"""

import contextlib
import os
import pathlib
import threading
from collections.abc import Callable
from time import monotonic_ns

from petrelwood.decide.delivery.recovery import least_age
from petrelwood.decide.delivery.state_records import IncarnationEnded, IncarnationStarted, Record
from petrelwood.store.append_log import AppendLog
from petrelwood.store.errors import LogFormatError, LogWriteError, StateUnreadableError
from petrelwood.store.files import Files
from petrelwood.store.state_codec import encode
from petrelwood.store.state_segments import (
    OUTAGE_FORMAT,
    PLAIN_FORMAT,
    scan,
    segment_path,
    segments,
)

LARGEST_SEGMENT = 1 << 28  # bytes
SEGMENTS_IN_RETENTION = 4  # so many are begun while a record is kept
MACHINE = "machine"  # the durability that outlives the machine


class StateLog:
    """The log that one incarnation writes.

    `retention`: ns after which a record is of no use; `boot`: the mark of the machine's start; `now`: the
    monotonic clock, by which segments age. `time` in the methods is a record's time.

    `found`: the records of other incarnations. `stopped` is None while the log takes what must be recorded,
    else why it does not: it is set by a failure, and stays so until the segment that `reopen` began holds all
    that is remembered and `resume` was called. Raises `StateUnreadableError` where the folder can't be read.
    """

    def __init__(
        self,
        folder: str | os.PathLike[str],
        time: int,
        boot: str,
        retention: int,
        durability: str = "process",
        files: Files | None = None,
        now: Callable[[], int] = monotonic_ns,
    ) -> None:
        self.folder = pathlib.Path(folder)
        self.boot = boot
        self.retention = retention
        self.durability = durability
        self.files = files or Files()
        self.segment_size = LARGEST_SEGMENT
        self.now = now
        self.found: list[Record] = []
        self.stopped: str | None = None
        self.failed = False  # the present segment: nothing goes into it any more
        self.rewriting = False  # between `reopen` and `resume`
        self.log: AppendLog | None = None
        self.epoch = 0
        self.number = 0
        self._segment_start = 0
        self._own: set[pathlib.Path] = set()  # the segments that this incarnation wrote
        self._attempt: set[pathlib.Path] = set()  # those of them that were begun since the last `reopen`
        self._superseded: set[pathlib.Path] = set()  # those of them of which nothing is needed any more
        self._successor_unread = False  # another incarnation took over, and its log could not be read yet
        self._formats: dict[pathlib.Path, int] = {}
        self._sealed_at: dict[pathlib.Path, int] = {}  # when a segment that is complete had its last record
        self._lock = threading.Lock()
        self._syncing: list[AppendLog] = []  # that a thread makes durable now
        self._to_close: list[AppendLog] = []  # those of them that are closed after it
        self._read_folder(time)
        self._begin_segment(time)

    # What is found.
    def _read_folder(self, time: int) -> None:
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            for segment in segments(self.folder):
                self.epoch = segment.epoch
                self._read_segment(segment.path, time)
        except OSError as error:
            raise StateUnreadableError(f"{self.folder} can't be read: {error.strerror or error}") from error
        self.epoch += 1

    def _read_segment(self, path: pathlib.Path, time: int) -> None:
        """Reads a segment of another incarnation. It is as old as is known for sure."""
        found = scan(path)
        self.found += found.records
        self._sealed_at[path] = self.now() - least_age(found.records, time, self.boot)
        self._formats[path] = found.format

    @property
    def format(self) -> int:
        """The newest format that stands in the folder: a successor must be able to read it."""
        return max(self._formats.values(), default=PLAIN_FORMAT)

    @property
    def syncing(self) -> bool:
        """Whether a thread makes a segment durable now."""
        return bool(self._syncing)

    # Writing.
    def add(self, record: Record) -> bool:
        """Adds a record, which counts once `flush` has returned; whether it was added."""
        if self.failed or self.log is None:
            return False
        payload = encode(record)
        if self.log.append(payload):
            return True
        self.begin_next_segment(record.time)
        if self.failed or not self.log.append(payload):
            self._fail(f"{self.log.path}: a record does not fit")
            return False
        return True

    def flush(self) -> bool:
        """Gives the system what waits; whether all that must be recorded is there."""
        if not self.failed and self.log is not None:
            try:
                self.log.flush()
            except LogWriteError as error:
                self._fail(str(error))
        return self.stopped is None

    def sync(self) -> bool:
        """Makes durable what was flushed; whether all that must be recorded is on the disk."""
        return self.sync_task()() and self.stopped is None

    def sync_task(self) -> Callable[[], bool]:
        """What another thread calls to make durable what is flushed now.

        It returns whether it is, and no failure came between.
        """
        log = self.log
        if self.failed or log is None:
            return lambda: False
        with self._lock:
            self._syncing.append(log)
        return lambda: self._sync(log)

    def _sync(self, log: AppendLog) -> bool:
        try:
            if log.handle is not None:
                self.files.sync(log.handle)
            if self.rewriting:
                self.files.sync_folder(str(self.folder))
        except OSError as error:
            self._fail(f"{log.path}: {error.strerror or error}")
        with self._lock:
            self._syncing.remove(log)
            done = [each for each in self._to_close if each not in self._syncing]
            self._to_close = [each for each in self._to_close if each in self._syncing]
        for each in done:
            each.abandon()
        return not self.failed

    def close(self, time: int) -> None:
        """The process ends in order."""
        if self.stopped is None:
            self.add(IncarnationEnded(time))
            self._seal()
        elif self.log is not None and not self._syncing:
            self.log.abandon()

    def _fail(self, reason: str) -> None:
        self.failed = True
        if self.stopped is None or self.rewriting:
            self.stopped = reason

    # Segments.
    def check(self, time: int) -> None:
        """Called now and then: begins the next segment in time for each to be removed when it is too old."""
        if (
            self.stopped is None
            and self.now() - self._segment_start >= self.retention // SEGMENTS_IN_RETENTION
        ):
            self.begin_next_segment(time)

    def begin_next_segment(self, time: int) -> None:
        """Begins the next segment, and removes those of which nothing is needed any more."""
        if self._seal():
            self._begin_segment(time)
            self._remove_old()

    def _begin_segment(self, time: int) -> None:
        self.number += 1
        path = segment_path(self.folder, self.epoch, self.number)
        segment_format = OUTAGE_FORMAT if self.rewriting else PLAIN_FORMAT
        self._own.add(path)
        if self.rewriting:
            self._attempt.add(path)
        self._formats[path] = segment_format
        try:
            self.log = AppendLog(path, self.files, self.segment_size)
            self.log.append(encode(IncarnationStarted(time, self.boot, self.epoch, segment_format)))
            self.log.flush()
            if self.durability == MACHINE:
                self.files.sync_folder(str(self.folder))
            self._segment_start = self.now()
        except (LogWriteError, LogFormatError, OSError) as error:
            self._sealed_at[path] = self.now()
            self._fail(str(error))

    def _seal(self) -> bool:
        """Nothing more goes into the present segment; whether it is durable."""
        if self.failed or self.log is None:
            return False
        self._sealed_at[self.log.path] = self.now()
        try:
            self.log.sync()
        except LogWriteError as error:
            self._fail(str(error))
            return False
        self._close(self.log)
        return True

    def _close(self, log: AppendLog) -> None:
        """Closes a segment, but not under a thread that syncs it: its handle could be another file's then."""
        with self._lock:
            if log in self._syncing:
                self._to_close.append(log)
                return
        log.abandon()

    def _remove_old(self) -> None:
        """What can't be removed now is attempted again with the next segment."""
        for path, sealed_at in list(self._sealed_at.items()):
            if path in self._superseded or sealed_at < self.now() - self.retention:
                self._remove(path)

    def _remove(self, path: pathlib.Path) -> None:
        try:
            with contextlib.suppress(FileNotFoundError):  # it never came to be
                self.files.remove(str(path))
        except OSError:
            return
        self._sealed_at.pop(path, None)
        self._formats.pop(path, None)
        self._own.discard(path)
        self._superseded.discard(path)

    # After another incarnation had taken over.
    def take_over_again(self, time: int) -> None:
        """This incarnation goes on after a successor had taken over; `found` is what that one wrote.

        Where it can't be read the log has stopped, and `reopen` reads it first: what the successor took is
        not known until then.
        """
        self._successor_unread = True
        if self._read_successor(time) and self._seal():
            self._begin_segment(time)

    def _read_successor(self, time: int) -> bool:
        self.found = []
        try:
            there = segments(self.folder)
            for segment in there:
                if segment.epoch > self.epoch:
                    self._read_segment(segment.path, time)
        except (StateUnreadableError, OSError) as error:
            self._fail(str(error))
            return False
        self._successor_unread = False
        self.epoch = max([self.epoch, *(segment.epoch for segment in there)]) + 1
        self.number = 0
        return True

    # After a failure.
    def reopen(self, time: int) -> bool:
        """Gives up the failed segment and begins one to which all that is remembered is to be added again.

        Whether it could; it does not as long as a thread still syncs the failed one.
        """
        if self._syncing:
            return False
        if self.log is not None:
            self.log.abandon()
            self._sealed_at[self.log.path] = self.now()
        if self.rewriting:
            # what an attempt wrote stands in memory, and in the older segments as well
            self._superseded |= self._attempt
        for path in list(self._superseded):
            self._remove(path)
        self.rewriting = True
        self._attempt = set()
        if self._successor_unread and not self._read_successor(time):
            return False
        self.failed = False
        self._begin_segment(time)
        return not self.failed

    def resume(self) -> None:
        """All that is remembered stands in the new segment, durable: the log counts again.

        What that segment supersedes is removed.
        """
        self.rewriting = False
        self.stopped = None
        self._superseded |= self._own - self._attempt
        self._remove_old()
