"""The state that survives a dispatcher: a log of what it took, how it ended, and which loads it ordered.

Segments follow each other; each is a `store.tail` log, which opens again after a kill at any byte. A segment
begins with the life that wrote it. What is remembered for a time is forgotten with its segment: one is
removed once all in it is older than that, so nothing is ever rewritten, and what a start has to read is
bounded by what one memory's time wrote. The age of a segment is a span of the monotonic clock: one that this
life wrote counts from when it was sealed, one that was found from its age at the start, by the wall clock of
then, so no later step of the wall clock removes anything early.

A file whose write or fsync failed is never trusted again. `reopen` begins a new segment, its owner adds to it
what is still remembered (`decide.delivery.state_rewrite`), and `resume` ends the outage: what this life had
written before is then superseded and removed. A kill on the way leaves the old segments, and of the new one
a beginning that says nothing else.

    folder/state-EPOCH-NUMBER.log      records in msgpack:
      ["life", wall, boot, epoch, format]            the first of a segment
      ["take", wall, customer, id, stamp, type]      before the first send of what must not run twice
      ["end", wall, customer, id, outcome, sent, body or None]
      ["order", wall, worker, function, copies]
      ["close", wall]                                the process ended in order, owing nothing
      ["outage", wall, began, cause, attempts]       the log had failed since `began` and holds all again

Only segments begun after an outage have format 2: builds that know no outages go on reading all others.

Durability says when a record counts as kept: "process" once the system has it (it survives a kill of the
process), "machine" once the disk has it. A failing disk stops the log, and its owner decides what it may
still do (`decide.delivery.recovery`)."""

import pathlib
import threading
import time

import msgpack

from petrelwood.decide.delivery.recovery import CLOSE, END, LIFE, ORDER, OUTAGE, TAKE, least_age
from petrelwood.store import tail

FORMAT, OLDEST = 2, 1
PLAIN_FORMAT = 1  # of a segment that holds no outage
SIZES = {LIFE: 5, TAKE: 6, END: 7, ORDER: 5, CLOSE: 2, OUTAGE: 5}
MOST = 1 << 28  # bytes of one segment


class Refused(Exception):
    """The folder holds what this build can't read; `str()` tells which file and why."""


def segments(folder):
    """[(epoch, number, path)], in the order in which they were written."""
    found = []
    for path in pathlib.Path(folder).glob("state-*-*.log"):
        parts = path.stem.split("-")
        if len(parts) == 3 and parts[1].isdigit() and parts[2].isdigit():
            found.append((int(parts[1]), int(parts[2]), path))
    return sorted(found)


def scan(path):
    """(records, bytes that are whole, why it ends there or None) of one segment. Raises `Refused`."""
    try:
        raw, whole, why = tail.scan(path.read_bytes())
    except tail.Refused as fault:
        raise Refused(f"{path}: {fault}") from None
    except OSError as fault:
        raise Refused(f"{path} can't be read: {fault.strerror or fault}") from fault
    records = []
    for payload in raw:
        try:
            record = msgpack.unpackb(payload, raw=False)
            if not isinstance(record, list) or len(record) != SIZES.get(record[0] if record else None):
                raise ValueError("a record of another kind")
        except (ValueError, TypeError, msgpack.UnpackException) as fault:
            raise Refused(f"{path}: a record that is whole can't be read: {fault}") from None
        records.append(record)
    if records and records[0][0] == LIFE and not OLDEST <= records[0][4] <= FORMAT:
        raise Refused(f"{path}: its format is {records[0][4]}; this build reads {OLDEST} to {FORMAT}")
    return records, whole, why


def read(folder):
    """(records of all segments in order, [(path, bytes dropped, why)]). Raises `Refused`."""
    records, dropped = [], []
    for _, _, path in segments(folder):
        some, whole, why = scan(path)
        records += some
        if why:
            dropped.append((path, path.stat().st_size - whole, why))
    return records, dropped


class StateLog:
    """The writer of one life. `keep`: ns after which a segment's records are of no use; `boot` names the
    machine's start; `now` is the monotonic clock, by which segments age.

    `stopped` is None while the log takes what must be kept, else why it does not. It is set by a failure, and
    stays so until the segment that `reopen` began holds all that is remembered and `resume` was called."""

    def __init__(
        self,
        folder,
        wall,
        boot,
        keep,
        durability="process",
        files=None,
        segment=MOST,
        now=time.monotonic_ns,
    ):
        self.folder = pathlib.Path(folder)
        self.files = files or tail.Files()
        self.keep = keep
        self.durability = durability
        self.boot = boot
        self.segment = segment
        self.now = now
        self.stopped = None
        self.failed = False  # the present segment: nothing goes into it any more
        self.rewriting = False  # between `reopen` and `resume`
        self.log = None
        self.number = 0
        self.own = set()  # the segments that this life wrote
        self.attempt = set()  # those of them that were begun since the last `reopen`
        self.superseded = set()  # those of them of which nothing is needed any more
        self.unread = False  # whether another life took over, and what it wrote could not be read yet
        self.formats = {}  # by segment
        self.lock = threading.Lock()
        self.syncing = []  # the logs that a thread makes durable now
        self.unclosed = []  # those of them that are to be closed after it
        self.found = []
        self.epoch = 0
        # by segment that is written no more, when its last record was, on the monotonic clock
        self.lasts = {}
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            for epoch, _, path in segments(self.folder):
                self.epoch = epoch
                self._find(path, wall)
        except OSError as fault:
            raise Refused(f"{self.folder} can't be read: {fault.strerror or fault}") from fault
        self.epoch += 1
        self._begin(wall)

    def _find(self, path, wall):
        """Reads a segment of another life. Its last record is as old as is known for sure: a step of the wall
        clock since then removes nothing early."""
        records = scan(path)[0]
        self.found += records
        self.lasts[path] = self.now() - least_age(records, wall, self.boot)
        self.formats[path] = records[0][4] if records and records[0][0] == LIFE else PLAIN_FORMAT

    @property
    def format(self):
        """The newest format that stands in the folder: who follows must read it."""
        return max(self.formats.values(), default=PLAIN_FORMAT)

    def _stop(self, fault):
        self.failed = True
        if self.stopped is None or self.rewriting:
            self.stopped = str(fault)

    def _begin(self, wall):
        self.number += 1
        path = self.folder / f"state-{self.epoch:06d}-{self.number:08d}.log"
        form = FORMAT if self.rewriting else PLAIN_FORMAT
        self.own.add(path)
        if self.rewriting:
            self.attempt.add(path)
        self.formats[path] = form
        try:
            self.log = tail.Log(path, self.files, self.segment)
            self.log.append(msgpack.packb([LIFE, wall, self.boot, self.epoch, form]))
            self.log.flush()
            if self.durability == "machine":
                self.files.sync_folder(str(self.folder))
            self.began = self.now()
        except (tail.Failed, tail.Refused, OSError) as fault:
            self.lasts[path] = self.now()
            self._stop(fault)

    def add(self, *record):
        """Notes a record: it is kept once `flush` has returned (durability "process"). Whether it was
        taken."""
        if self.failed:
            return False
        data = msgpack.packb(record, use_bin_type=True)
        if not self.log.append(data):
            self.roll(record[1])
            if self.failed or not self.log.append(data):
                self._stop(f"{self.log.path}: a record does not fit")
                return False
        return True

    def flush(self):
        """Gives what waits to the system; whether all that must be kept is there."""
        if not self.failed:
            try:
                self.log.flush()
            except tail.Failed as fault:
                self._stop(fault)
        return self.stopped is None

    def sync(self):
        """What was added is on the disk when this returns; whether it is."""
        return self.sync_task()() and self.stopped is None

    def sync_task(self):
        """What another thread calls to make durable what is in the file now: it returns whether it has, and
        no failure came between."""
        log = self.log
        if self.failed:
            return lambda: False
        with self.lock:
            self.syncing.append(log)
        return lambda: self._synced(log)

    def _synced(self, log):
        try:
            self.files.sync(log.handle)
            if self.rewriting:
                self.files.sync_folder(str(self.folder))
        # after a failed fsync nothing is known: the file is given up
        except OSError as fault:
            self._stop(f"{log.path}: {fault.strerror or fault}")
        with self.lock:
            self.syncing.remove(log)
            over = [one for one in self.unclosed if one not in self.syncing]
            self.unclosed = [one for one in self.unclosed if one in self.syncing]
        for one in over:
            one.abandon()
        return not self.failed

    def _let_go(self, log):
        """Closes a file that is durable or given up, but not under a thread that syncs it."""
        with self.lock:
            if log in self.syncing:
                self.unclosed.append(log)
                return
        log.abandon()

    def _seal(self):
        """Nothing more goes into the present segment; whether it is whole."""
        if self.failed:
            return False
        self.lasts[self.log.path] = self.now()
        try:
            self.log.sync()
        except tail.Failed as fault:
            self._stop(fault)
            return False
        self._let_go(self.log)
        return True

    def roll(self, wall):
        """A new segment, and those that nobody needs any more are removed."""
        if self._seal():
            self._begin(wall)
            self._remove_old()

    def _remove_old(self):
        """What can't be removed now is tried again with the next segment."""
        for path, last in list(self.lasts.items()):
            if path in self.superseded or last < self.now() - self.keep:
                self._remove(path)

    def _remove(self, path):
        try:
            self.files.remove(str(path))
        except FileNotFoundError:
            pass
        except OSError:
            return
        for known in (self.lasts, self.formats):
            known.pop(path, None)
        self.own.discard(path)
        self.superseded.discard(path)

    def renew(self, wall):
        """A new epoch: this life goes on after another one had taken over. What that one wrote is then in
        `found`. Where it can't be read the log has stopped, and `reopen` reads it first: what the other one
        took is not known until then."""
        self.unread = True
        if self._read_successor(wall) and self._seal():
            self._begin(wall)

    def _read_successor(self, wall):
        self.found = []
        try:
            there = segments(self.folder)
            for epoch, _, path in there:
                if epoch > self.epoch:
                    self._find(path, wall)
        except (Refused, OSError) as fault:
            self._stop(fault)
            return False
        self.unread = False
        self.epoch = max([self.epoch, *(epoch for epoch, _, _ in there)]) + 1
        self.number = 0
        return True

    def tend(self, wall):
        """Asked now and then: rolls a segment that is a quarter of a memory's time old."""
        if self.stopped is None and self.now() - self.began >= self.keep // 4:
            self.roll(wall)

    # After a failure.
    def reopen(self, wall):
        """Gives up the failed segment and begins one in which all that is remembered is to be added again;
        whether it could. It does not as long as a thread still syncs the failed one."""
        if self.syncing:
            return False
        if self.log is not None:
            self.log.abandon()
            self.lasts[self.log.path] = self.now()
        if self.rewriting:
            # what an attempt wrote stands in memory, and in the older segments as well
            self.superseded |= self.attempt
        for path in list(self.superseded):
            self._remove(path)
        self.rewriting = True
        self.attempt = set()
        if self.unread and not self._read_successor(wall):
            return False
        self.failed = False
        self._begin(wall)
        return not self.failed

    def resume(self):
        """All that is remembered stands in the new segment, durable: from now on the log counts again, and
        what it supersedes is removed."""
        self.rewriting = False
        self.stopped = None
        self.superseded |= self.own - self.attempt
        self._remove_old()

    def close(self, wall):
        """The process ends in order."""
        if self.stopped is None:
            self.add(CLOSE, wall)
            self._seal()
        elif self.log is not None and not self.syncing:
            self.log.abandon()


def repair(folder):
    """Cuts each segment where it ends being whole; [(path, bytes cut)]. No dispatcher may be writing."""
    cut = []
    for _, _, path in segments(folder):
        data = path.read_bytes()
        try:
            _, whole, why = tail.scan(data)
        except tail.Refused:
            kept = path.with_suffix(".unreadable")
            path.rename(kept)
            cut.append((kept, len(data)))
            continue
        if why:
            with open(path, "r+b") as file:
                file.truncate(whole)
            cut.append((path, len(data) - whole))
    return cut
