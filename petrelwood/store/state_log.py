"""The state that survives a dispatcher: the activations it admitted, how they ended, and its load orders.

Records are never rewritten while the disk works: they expire with their segment, which is removed once all of
its records are older than the retention. So a start reads the records of about one retention at most.
The age of a segment is measured by the monotonic clock: for a segment that this incarnation wrote, since it
was sealed; for a segment that it found, starting with the least age that is certain at the start. So no step
of the wall clock removes a segment early.

Durability says when a record counts as written: "process" once the operating system has it (it survives a
kill of the process), "machine" once the disk has it. A failing disk stops the log, and its owner decides what
it may still admit (`decide.delivery.recovery`). A file whose write or fsync failed is never trusted again:
`reopen` begins a new segment, the owner adds all records that are still needed to it
(`decide.delivery.state_rewrite`), and `resume` ends the outage. The segments that this incarnation had
written before are then superseded and removed. A kill between `reopen` and `resume` leaves the old segments,
and an incomplete copy of the same records in the new one.
"""

import contextlib
import os
import pathlib
import threading
from collections.abc import Callable
from time import monotonic_ns

from petrelwood.decide.delivery.recovery import min_age
from petrelwood.decide.delivery.state_records import (
    IncarnationEnded,
    IncarnationStarted,
    Record,
    RetryReceived,
)
from petrelwood.store.append_log import AppendLog
from petrelwood.store.errors import LogFormatError, LogWriteError, StateUnreadableError
from petrelwood.store.files import Files
from petrelwood.store.state_codec import encode
from petrelwood.store.state_segments import (
    OUTAGE_FORMAT,
    PLAIN_FORMAT,
    RETRY_FORMAT,
    scan,
    segment_path,
    segments,
)

LARGEST_SEGMENT = 1 << 28  # bytes
SEGMENTS_PER_RETENTION = 4  # segments that are begun within one retention
MACHINE = "machine"  # the durability that survives a crash of the machine


class StateLog:
    """The log that one incarnation of a dispatcher writes.

    `retention`: ns after which a record is not needed any more; `boot`: the mark of the machine's boot (see
    `recovery.boot_mark`); `now`: the monotonic clock, by which segments age. The `time` of a method is the
    wall-clock time of the record, ns.

    `found`: the records of other incarnations. `stopped`: None while the log accepts what must be recorded,
    else the reason why it does not. A failure sets it, and it stays set until the segment that `reopen` began
    holds all records that are still needed and `resume` was called.

    Raises:
        StateUnreadableError: the folder or a segment in it can't be read.
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
        self.failed = False  # whether the current segment has failed and accepts no further record
        self.rewriting = False  # between `reopen` and `resume`
        self.log: AppendLog | None = None
        self.epoch = 0
        self.number = 0
        self._segment_start = 0
        self._own: set[pathlib.Path] = set()  # the segments written by this incarnation
        self._attempt: set[pathlib.Path] = set()  # own segments begun since the last `reopen`
        self._superseded: set[pathlib.Path] = set()  # own segments that are not needed any more
        # the epoch in which this incarnation handed over, while its successor's segments are not read yet
        self._unread_after: int | None = None
        self._has_retries = False  # whether this incarnation has recorded a retry
        self._formats: dict[pathlib.Path, int] = {}
        self._sealed_at: dict[pathlib.Path, int] = {}  # monotonic ns, by sealed segment
        self._lock = threading.Lock()
        self._syncing: list[AppendLog] = []  # segments that a thread is syncing
        self._to_close: list[AppendLog] = []  # segments to close once they are synced
        self._read_folder(time)
        self._begin_segment(time)

    # Reading
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
        """Read a segment of another incarnation; its age counts as the least that is certain."""
        found = scan(path)
        self.found += found.records
        self._sealed_at[path] = self.now() - min_age(found.records, time, self.boot)
        self._formats[path] = found.format

    @property
    def format(self) -> int:
        """Return the newest format in the folder, which a successor must be able to read."""
        return max(self._formats.values(), default=PLAIN_FORMAT)

    @property
    def syncing(self) -> bool:
        """Return whether a thread is making a segment durable now."""
        return bool(self._syncing)

    # Writing
    def add(self, record: Record) -> bool:
        """Buffer a record for the next `flush`; return whether it was accepted."""
        if self.failed or self.log is None:
            return False
        if isinstance(record, RetryReceived) and not self._begin_retry_format(record.time):
            return False
        payload = encode(record)
        if self.log.append(payload):
            return True
        self.begin_next_segment(record.time)
        if self.failed or not self.log.append(payload):
            self._fail(f"{self.log.path}: a record does not fit")
            return False
        return True

    def _begin_retry_format(self, time: int) -> bool:
        """Begin a segment that may have records of retries, if this one may not; return whether one may."""
        self._has_retries = True
        if self.log is not None and self._formats[self.log.path] < RETRY_FORMAT:
            self.begin_next_segment(time)
        return not self.failed

    def flush(self) -> bool:
        """Hand the buffered records to the operating system; return whether it has all records needed."""
        if not self.failed and self.log is not None:
            try:
                self.log.flush()
            except LogWriteError as error:
                self._fail(str(error))
        return self.stopped is None

    def sync(self) -> bool:
        """Make the flushed records durable; return whether the disk has all records needed."""
        return self.sync_task()() and self.stopped is None

    def sync_task(self) -> Callable[[], bool]:
        """Return a function for another thread that makes the records flushed by now durable.

        It returns True if that succeeded and the log has not failed meanwhile.
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
        """Close the log at an orderly end of the process."""
        if self.stopped is None:
            self.add(IncarnationEnded(time))
            self._seal()
        elif self.log is not None and not self._syncing:
            self.log.abandon()

    def _fail(self, reason: str) -> None:
        self.failed = True
        if self.stopped is None or self.rewriting:
            self.stopped = reason

    # Segments
    def check(self, time: int) -> None:
        """Begin the next segment when the current one is old enough; to be called periodically."""
        if (
            self.stopped is None
            and self.now() - self._segment_start >= self.retention // SEGMENTS_PER_RETENTION
        ):
            self.begin_next_segment(time)

    def begin_next_segment(self, time: int) -> None:
        """Begin the next segment, and remove those that are no longer needed."""
        if self._seal():
            self._begin_segment(time)
            self._remove_old()

    def _begin_segment(self, time: int) -> None:
        self.number += 1
        path = segment_path(self.folder, self.epoch, self.number)
        self._next_epoch_path = str(segment_path(self.folder, self.epoch + 1, 1))
        segment_format = OUTAGE_FORMAT if self.rewriting else PLAIN_FORMAT
        if self._has_retries:
            segment_format = RETRY_FORMAT
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
        """Make the current segment durable and close it; return whether that succeeded."""
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
        """Close a segment's file, or if a thread is syncing it, have it closed after that.

        Otherwise its descriptor could be reused, and the thread would sync another file.
        """
        with self._lock:
            if log in self._syncing:
                self._to_close.append(log)
                return
        log.abandon()

    def _remove_old(self) -> None:
        """Remove superseded and expired segments; failed removals are retried with the next segment."""
        for path, sealed_at in list(self._sealed_at.items()):
            if path in self._superseded or sealed_at < self.now() - self.retention:
                self._remove(path)

    def _remove(self, path: pathlib.Path) -> None:
        try:
            with contextlib.suppress(FileNotFoundError):  # it was never created
                self.files.remove(str(path))
        except OSError:
            return
        self._sealed_at.pop(path, None)
        self._formats.pop(path, None)
        self._own.discard(path)
        self._superseded.discard(path)

    # Processes that follow each other
    def is_superseded(self) -> bool:
        """Return whether another process has begun to write after this one.

        A process that stood still may not know this yet. Whoever takes over begins its first segment before
        it reads the others, so a record that is flushed before this returns False is read by all followers.
        """
        return os.path.exists(self._next_epoch_path)

    def take_over_again(self, time: int) -> None:
        """Resume as the writing incarnation after a successor; `found` becomes the successor's records.

        If they can't be read the log stops, and `reopen` reads them first: until then it is unknown which
        activations the successor admitted.
        """
        self._unread_after = self.epoch
        if self._seal() and self._begin_epoch():
            self._begin_segment(time)  # before the reading: it tells the successor that it is superseded
            self._read_successor(time)

    def _begin_epoch(self) -> bool:
        """Begin an epoch after those of all other processes; return whether the folder could be read."""
        try:
            self.epoch = max([self.epoch, *(segment.epoch for segment in segments(self.folder))]) + 1
        except OSError as error:
            self._fail(str(error))
            return False
        self.number = 0
        return True

    def _read_successor(self, time: int) -> bool:
        """Read the segments that other processes wrote after this one had handed over."""
        self.found = []
        try:
            for segment in segments(self.folder):
                if self._unread_after is not None and self._unread_after < segment.epoch < self.epoch:
                    self._read_segment(segment.path, time)
        except (StateUnreadableError, OSError) as error:
            self._fail(str(error))
            return False
        self._unread_after = None
        return True

    # Recovery after a failure
    def reopen(self, time: int) -> bool:
        """Abandon the failed segment, and begin one to which all records still needed must be added.

        Return False if that failed, or while a thread is still syncing the failed segment.
        """
        if self._syncing:
            return False
        if self.log is not None:
            self.log.abandon()
            self._sealed_at[self.log.path] = self.now()
        if self.rewriting:
            # the records of the failed attempt are also in memory and in the older segments
            self._superseded |= self._attempt
        for path in list(self._superseded):
            self._remove(path)
        self.rewriting = True
        self._attempt = set()
        if self._unread_after == self.epoch and not self._begin_epoch():
            return False
        self.failed = False
        self._begin_segment(time)
        if self._unread_after is not None and not self._read_successor(time):
            return False
        return not self.failed

    def resume(self) -> None:
        """End the outage: all records still needed are in the new segment and durable.

        The own segments that it supersedes are removed.
        """
        self.rewriting = False
        self.stopped = None
        self._superseded |= self._own - self._attempt
        self._remove_old()
