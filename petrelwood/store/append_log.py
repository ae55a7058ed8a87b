"""An append-only log that can be reopened after a kill at any byte.

A file begins with a mark and its format. Each record is its length, a CRC-32 over length and payload, and the
payload. Reading ends at the first record that is incomplete or whose checksum is wrong: the file is truncated
there when it is opened, and the number of dropped bytes is reported. Records are written in groups: `flush`
hands the buffered records to the operating system, `sync` makes them durable. A file whose write or fsync
failed is not used any further, because it is unknown how much of it is on the disk: the log raises
`LogWriteError` once and accepts no further record.
"""

import contextlib
import os
import pathlib
import struct
import zlib
from typing import NamedTuple

from petrelwood.store.errors import LogFormatError, LogWriteError
from petrelwood.store.files import Files

MARK = b"ptw-log\x01"
HEADER = struct.Struct("<II")  # length of the payload, CRC-32
LENGTH = struct.Struct("<I")
LONGEST_RECORD = 1 << 24  # bytes of payload
LONGEST_LOG = 1 << 30  # bytes


class Scan(NamedTuple):
    """The records in the bytes of a log, and the end of the valid part."""

    payloads: list[bytes]
    valid_size: int  # bytes up to the end of the last complete record
    damage: str | None  # why the valid part ends there; None if no bytes follow


def frame(payload: bytes) -> bytes:
    """Return the stored form of one record: header and payload."""
    length = LENGTH.pack(len(payload))
    return HEADER.pack(len(payload), zlib.crc32(length + payload)) + payload


def scan(data: bytes) -> Scan:
    """Return the records in the bytes of a log.

    Raises:
        LogFormatError: the bytes don't begin with the mark of this format.
    """
    if not data:
        return Scan([], 0, None)
    if not data.startswith(MARK):
        if MARK.startswith(data[: len(MARK)]):
            return Scan([], 0, "the mark is not whole")
        raise LogFormatError("this is not a log of petrelwood's, or one of a later format")
    payloads: list[bytes] = []
    at = len(MARK)
    while at < len(data):
        end, damage = _record_end(data, at)
        if damage:
            return Scan(payloads, at, damage)
        payloads.append(data[at + HEADER.size : end])
        at = end
    return Scan(payloads, at, None)


def _record_end(data: bytes, at: int) -> tuple[int, str | None]:
    """Return where the record that begins at `at` ends, or `at` and why there is no valid record."""
    if at + HEADER.size > len(data):
        return at, "a record's header is not whole"
    size, checksum = HEADER.unpack_from(data, at)
    end = at + HEADER.size + size
    if size > LONGEST_RECORD:
        return at, "a record's length can't be"
    if end > len(data):
        return at, "a record is not whole"
    if zlib.crc32(data[at : at + LENGTH.size] + data[at + HEADER.size : end]) != checksum:
        return at, "a record's checksum is wrong"
    return end, None


class AppendLog:
    """An append-only log in one open file.

    `payloads`: the records found when it was opened; `dropped_size`: how many bytes were truncated then, and
    `damage`: why; `failed`: why no further record is accepted, or None; `longest`: the maximum size in bytes.

    Raises:
        LogFormatError: the file is no log of this format.
        LogWriteError: the file could not be created, truncated or started.
        OSError: the file could not be read.
    """

    def __init__(
        self, path: str | os.PathLike[str], files: Files | None = None, longest: int = LONGEST_LOG
    ) -> None:
        self.path = pathlib.Path(path)
        self.files = files or Files()
        self.longest = longest
        self.failed: str | None = None
        self.handle: int | None = None
        self._unflushed: list[bytes] = []
        self._unflushed_size = 0
        data = self.path.read_bytes() if self.path.exists() else b""
        found = scan(data)
        self.payloads = found.payloads
        self.size = found.valid_size
        self.damage = found.damage
        self.dropped_size = len(data) - found.valid_size
        try:
            self._open()
        except OSError as error:
            self.abandon()
            raise self._failure(error) from error

    def _open(self) -> None:
        self.handle = self.files.open(str(self.path))
        if self.dropped_size:
            self.files.truncate(self.handle, self.size)
        if not self.size:
            self.files.write_all(self.handle, MARK)
            self.size = len(MARK)

    def _failure(self, error: OSError) -> LogWriteError:
        self.failed = error.strerror or str(error)
        return LogWriteError(f"{self.path}: {self.failed}")

    def append(self, payload: bytes) -> bool:
        """Buffer a record for the next `flush`; return False if the log is full or has failed."""
        size = len(payload) + HEADER.size
        if self.failed or self.size + self._unflushed_size + size > self.longest:
            return False
        self._unflushed.append(frame(payload))
        self._unflushed_size += size
        return True

    def flush(self) -> None:
        """Hand the buffered records to the operating system.

        Raises:
            LogWriteError: the write failed.
        """
        if self.failed or self.handle is None or not self._unflushed:
            return
        data = b"".join(self._unflushed)
        self._unflushed = []
        self._unflushed_size = 0
        try:
            self.files.write_all(self.handle, data)
        except OSError as error:
            raise self._failure(error) from error
        self.size += len(data)

    def sync(self) -> None:
        """Make all appended records durable.

        Raises:
            LogWriteError: the write or the fsync failed.
        """
        self.flush()
        if self.failed or self.handle is None:
            return
        try:
            self.files.sync(self.handle)
        except OSError as error:
            raise self._failure(error) from error

    def close(self) -> None:
        """Make all appended records durable, and close the file.

        Raises:
            LogWriteError: the write or the fsync failed; the file is closed nevertheless.
        """
        try:
            self.sync()
        finally:
            self.abandon()

    def abandon(self) -> None:
        """Close the file without a flush or sync; errors of closing it are ignored."""
        if self.handle is None:
            return
        handle = self.handle
        self.handle = None
        with contextlib.suppress(OSError):
            self.files.close(handle)
