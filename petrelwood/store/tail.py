"""An append-only log that opens again after a kill at any byte.

A file begins with a mark and its format; each record is its length, a CRC-32 of length and payload, and the
payload. A record that is not whole, or whose sum is off, ends what is believed: the file is cut there when it
is opened, and what was dropped is said. Records go to the disk in groups: `flush` writes what is waiting,
`sync` makes it durable. A failing disk raises `Failed` once; the log then takes nothing more, and its owner
goes on without it."""

import os
import pathlib
import struct
import zlib

MARK = b"ptw-log\x01"
HEAD = struct.Struct("<II")
MOST = 1 << 24  # bytes of one record


class Failed(Exception):
    """The disk did not take it; `str()` tells why."""


class Refused(Exception):
    """The file is of another kind, or of a format that this build does not know."""


class Files:
    """What a log does with files, in one place so that tests can make each of it fail."""

    def open(self, path):
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o600)

    def write(self, handle, data):
        return os.write(handle, data)

    def sync(self, handle):
        os.fsync(handle)

    def cut(self, handle, size):
        os.ftruncate(handle, size)

    def close(self, handle):
        os.close(handle)

    def replace(self, source, target):
        os.replace(source, target)

    def remove(self, path):
        os.remove(path)

    def sync_folder(self, path):
        """Makes the names in a folder durable."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def write_all(self, handle, data):
        """All of it, in as many pieces as the disk takes it in."""
        view = memoryview(data)
        while view:
            done = self.write(handle, view)
            if done <= 0:
                raise OSError(5, "nothing was written")
            view = view[done:]


def frame(payload):
    size = struct.pack("<I", len(payload))
    return HEAD.pack(len(payload), zlib.crc32(size + payload)) + payload


def scan(data):
    """(records, bytes that are whole, why it ends there or None) of a file's bytes."""
    if not data:
        return [], 0, None
    if not data.startswith(MARK):
        if MARK.startswith(data[: len(MARK)]):
            return [], 0, "the mark is not whole"
        raise Refused("this is not a log of petrelwood's, or one of a later format")
    records, at = [], len(MARK)
    while at < len(data):
        if at + HEAD.size > len(data):
            return records, at, "a record's head is not whole"
        size, check = HEAD.unpack_from(data, at)
        if size > MOST:
            return records, at, "a record's length can't be"
        end = at + HEAD.size + size
        if end > len(data):
            return records, at, "a record is not whole"
        if zlib.crc32(data[at : at + 4] + data[at + HEAD.size : end]) != check:
            return records, at, "a record's sum is off"
        records.append(data[at + HEAD.size : end])
        at = end
    return records, at, None


class Log:
    """One file. `records` are those found at the opening; `dropped` is how many bytes were cut, and `why`."""

    def __init__(self, path, files=None, most=1 << 30):
        self.path, self.files, self.most, self.waiting, self.queued, self.failed = (
            pathlib.Path(path),
            files or Files(),
            most,
            [],
            0,
            None,
        )
        data = self.path.read_bytes() if self.path.exists() else b""
        self.records, whole, self.why = scan(data)
        self.dropped = len(data) - whole
        self.handle = None
        try:
            self.handle = self.files.open(str(path))
            if self.dropped:
                self.files.cut(self.handle, whole)
            self.size = whole
            if not whole:
                self._write(MARK)
        except OSError as fault:
            self.abandon()
            self._fail(fault)

    def _fail(self, fault):
        self.failed = fault.strerror or str(fault)
        raise Failed(f"{self.path}: {self.failed}") from None

    def append(self, payload):
        """Notes a record; it is written by the next `flush`. Returns whether there is room for it."""
        size = len(payload) + HEAD.size
        if self.failed or self.size + self.queued + size > self.most:
            return False
        self.waiting.append(frame(payload))
        self.queued += size
        return True

    def flush(self):
        """Writes what waits, in one piece where the disk takes it so."""
        if self.failed or not self.waiting:
            return
        data, self.waiting, self.queued = b"".join(self.waiting), [], 0
        try:
            self._write(data)
        except OSError as fault:
            self._fail(fault)

    def _write(self, data):
        self.files.write_all(self.handle, data)
        self.size += len(data)

    def sync(self):
        """What was appended is on the disk when this returns."""
        self.flush()
        if not self.failed:
            try:
                self.files.sync(self.handle)
            # after a failed fsync nothing is known: never tried again
            except OSError as fault:
                self._fail(fault)

    def close(self):
        try:
            if not self.failed:
                self.sync()
        finally:
            if self.handle is not None:
                handle, self.handle = self.handle, None
                self.files.close(handle)

    def abandon(self):
        """Gives up a file that failed: nothing more is written, whatever closing it says."""
        if self.handle is not None:
            handle, self.handle = self.handle, None
            try:
                self.files.close(handle)
            except OSError:
                pass  # nothing depends on it any more
