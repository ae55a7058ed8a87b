"""The state that survives a dispatcher: a log of what it took, how it ended, and which loads it ordered.

Segments follow each other; each is a `store.tail` log, which opens again after a kill at any byte. A segment
begins with the life that wrote it. What is remembered for a time is forgotten with its segment: one is
removed once all in it is older than that, so nothing is ever rewritten, and what a start has to read is
bounded by what one memory's time wrote. The age of a segment is a span of the monotonic clock: one that this
life wrote counts from when it was sealed, one that was found from its age at the start, by the wall clock of
then, so no later step of the wall clock removes anything early.

    folder/state-EPOCH-NUMBER.log      records in msgpack:
      ["life", wall, boot, epoch, format]            the first of a segment
      ["take", wall, customer, id, stamp, type]      before the first send of what must not run twice
      ["end", wall, customer, id, outcome, sent, body or None]
      ["order", wall, worker, function, copies]
      ["close", wall]                                the process ended in order, owing nothing

Durability says when a record counts as kept: "process" once the system has it (it survives a kill of the
process), "machine" once the disk has it. A failing disk stops the log, and its owner decides what it may
still do (`decide.delivery.recovery`)."""

import pathlib
import time

import msgpack

from petrelwood.decide.delivery.recovery import CLOSE, END, LIFE, ORDER, TAKE, least_age
from petrelwood.store import tail

FORMAT, OLDEST = 1, 1
SIZES = {LIFE: 5, TAKE: 6, END: 7, ORDER: 5, CLOSE: 2}
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
    machine's start; `now` is the monotonic clock, by which segments age."""

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
        self.now = now
        self.folder, self.files, self.keep, self.durability = (
            pathlib.Path(folder),
            files or tail.Files(),
            keep,
            durability,
        )
        self.boot, self.segment, self.stopped, self.log = boot, segment, None, None
        self.folder.mkdir(parents=True, exist_ok=True)
        # `lasts`: by segment that is written no more, when its last record was, on the monotonic clock
        self.found, self.lasts, self.epoch = [], {}, 0
        for epoch, _, path in segments(self.folder):
            self.epoch, records = epoch, scan(path)[0]
            self.found += records
            self.lasts[path] = self._written(records, wall)
        self.epoch, self.number = self.epoch + 1, 0
        self._begin(wall)

    def _written(self, records, wall):
        """When a segment that was found had its last record, on the monotonic clock, as far as that is known:
        a step of the wall clock since then removes nothing early."""
        return self.now() - least_age(records, wall, self.boot)

    def _stop(self, fault):
        if self.stopped is None:
            self.stopped = str(fault)

    def _begin(self, wall):
        self.number += 1
        path = self.folder / f"state-{self.epoch:06d}-{self.number:08d}.log"
        try:
            self.log = tail.Log(path, self.files, self.segment)
            self.log.append(msgpack.packb([LIFE, wall, self.boot, self.epoch, FORMAT]))
            self.log.flush()
            self.began = self.now()
        except (tail.Failed, tail.Refused, OSError) as fault:
            self._stop(fault)

    def add(self, *record):
        """Notes a record: it is kept once `flush` has returned (durability "process"). Whether it was
        taken."""
        if self.stopped is not None:
            return False
        data = msgpack.packb(record, use_bin_type=True)
        if not self.log.append(data):
            self.roll(record[1])
            if self.stopped is not None or not self.log.append(data):
                self._stop(f"{self.log.path}: a record does not fit")
                return False
        return True

    def flush(self):
        """Gives what waits to the system; whether it has all."""
        if self.stopped is None:
            try:
                self.log.flush()
            except tail.Failed as fault:
                self._stop(fault)
        return self.stopped is None

    def sync(self):
        """What was added is on the disk when this returns; whether it is. May be called from another thread,
        one at a time."""
        if self.stopped is None:
            try:
                self.files.sync(self.log.handle)
            # after a failed fsync nothing is known: never tried again
            except OSError as fault:
                self._stop(f"{self.log.path}: {fault.strerror or fault}")
        return self.stopped is None

    def _seal(self):
        """Nothing more goes into the present segment; whether it is whole."""
        try:
            self.lasts[self.log.path] = self.now()
            self.log.close()
        except (tail.Failed, OSError) as fault:
            self._stop(fault)
            return False
        return True

    def roll(self, wall):
        """A new segment, and those that nobody needs any more are removed."""
        if not self._seal():
            return
        self._begin(wall)
        for path, last in list(self.lasts.items()):
            if last < self.now() - self.keep:
                try:
                    self.files.remove(str(path))
                    del self.lasts[path]
                except OSError as fault:
                    self._stop(fault)
                    return

    def renew(self, wall):
        """A new epoch: this life goes on after another one had taken over. What that one wrote is then in
        `found`."""
        there = segments(self.folder)
        self.found = []
        for epoch, _, path in there:
            if epoch > self.epoch:
                records = scan(path)[0]
                self.found += records
                self.lasts[path] = self._written(records, wall)
        if self._seal():
            self.epoch, self.number = there[-1][0] + 1, 0
            self._begin(wall)

    def tend(self, wall):
        """Asked now and then: rolls a segment that is a quarter of a memory's time old."""
        if self.stopped is None and self.now() - self.began >= self.keep // 4:
            self.roll(wall)

    def close(self, wall):
        """The process ends in order."""
        if self.log is None:
            return
        try:
            self.add(CLOSE, wall)
            self.log.close()
        except (tail.Failed, OSError) as fault:
            self._stop(fault)


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
