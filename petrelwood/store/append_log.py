"""An append-only log that opens again after a kill at any byte.

A file begins with a mark and its format; each record is its length, a CRC-32 of length and payload, and the
payload. A record that is not whole, or whose checksum is wrong, ends what is believed: the file is cut there
when it is opened, and what was dropped is known. Records are written in groups: `flush` gives the system what
waits, `sync` makes it durable. A file whose write or fsync failed is of no more use: nobody can tell what of
it is on the disk. It raises `LogWriteError` once and takes nothing more.
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
LONGEST_RECORD = 1 << 24
LONGEST_LOG = 1 << 30


class Scan(NamedTuple):
    """What the bytes of a log hold."""

    payloads: list[bytes]
    valid_size: int  # bytes up to the end of the last whole record
    damage: str | None  # why it ends there, where bytes follow


def frame(payload: bytes) -> bytes:
    """The stored form of one record."""
    length = LENGTH.pack(len(payload))
    return HEADER.pack(len(payload), zlib.crc32(length + payload)) + payload


def scan(data: bytes) -> Scan:
    """Reads the bytes of a log. Raises `LogFormatError`."""
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
    """Where the record that begins at `at` ends, or why it is none."""
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
    """One open file.

    `payloads`: the records found when it was opened; `dropped_size`: how many bytes were cut then, and
    `damage` why. `failed`: why it takes nothing more, or None. Raises `LogFormatError`, `LogWriteError` and
    `OSError` where it can't be opened.
    """

    def __init__(
        self, path: str | os.PathLike[str], files: Files | None = None, longest: int = LONGEST_LOG
    ) -> None:
        self.path = pathlib.Path(path)
        self.files = files or Files()
        self.longest = longest
        self.failed: str | None = None
        self.handle: int | None = None
        self._waiting: list[bytes] = []
        self._waiting_size = 0
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
        """Adds a record, which the next `flush` writes; whether there is room for it."""
        size = len(payload) + HEADER.size
        if self.failed or self.size + self._waiting_size + size > self.longest:
            return False
        self._waiting.append(frame(payload))
        self._waiting_size += size
        return True

    def flush(self) -> None:
        """Gives the system what waits. Raises `LogWriteError`."""
        if self.failed or self.handle is None or not self._waiting:
            return
        data = b"".join(self._waiting)
        self._waiting = []
        self._waiting_size = 0
        try:
            self.files.write_all(self.handle, data)
        except OSError as error:
            raise self._failure(error) from error
        self.size += len(data)

    def sync(self) -> None:
        """Makes durable what was appended. Raises `LogWriteError`."""
        self.flush()
        if self.failed or self.handle is None:
            return
        try:
            self.files.sync(self.handle)
        except OSError as error:
            raise self._failure(error) from error

    def close(self) -> None:
        """Makes it durable and closes it. Raises `LogWriteError`."""
        try:
            self.sync()
        finally:
            self.abandon()

    def abandon(self) -> None:
        """Closes it as it is: it is durable already, or has failed. What closing it says matters no more."""
        if self.handle is None:
            return
        handle = self.handle
        self.handle = None
        with contextlib.suppress(OSError):
            self.files.close(handle)
