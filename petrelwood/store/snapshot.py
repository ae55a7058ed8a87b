"""One value in one file, written atomically: after a kill at any byte the file holds the old or new value.

The file is a mark, a kind, a version, a length, a CRC-32 over all of these, and the value in msgpack. It is
written to a temporary file, made durable, and renamed over the old one; then the folder is made durable, so
that the rename is not lost either. A file that can't be read raises an error with the reason and is left in
place for inspection.
"""

import os
import pathlib
import struct
import zlib
from typing import Any

import msgpack

from petrelwood.store.errors import SnapshotError
from petrelwood.store.files import SHARED, Files

MARK = b"ptw-snap"
HEADER = struct.Struct("<8sHHQI")  # mark, length of the kind, version, length of the value, CRC-32
CHECKED = struct.Struct("<HHQ")  # the part of the header that the checksum covers
LARGEST_VALUE = 1 << 30

Path = str | os.PathLike[str]


def pack(kind: str, version: int, value: object) -> bytes:
    """Return the bytes of a snapshot."""
    name = kind.encode("ascii")
    body: bytes = msgpack.packb(value, use_bin_type=True)
    checksum = zlib.crc32(CHECKED.pack(len(name), version, len(body)) + name + body)
    return HEADER.pack(MARK, len(name), version, len(body), checksum) + name + body


def unpack(data: bytes, kind: str, newest: int, oldest: int = 1) -> tuple[int, Any]:
    """Return the version and the value of a snapshot's bytes.

    Raises:
        SnapshotError: the bytes are damaged, of another kind, or of a version outside `oldest` to `newest`.
    """
    if len(data) < HEADER.size or data[: len(MARK)] != MARK:
        raise SnapshotError("this is no snapshot of petrelwood's")
    _, name_size, version, size, checksum = HEADER.unpack_from(data)
    rest = data[HEADER.size :]
    if size > LARGEST_VALUE or len(rest) != name_size + size:
        raise SnapshotError("it is not whole")
    if zlib.crc32(CHECKED.pack(name_size, version, size) + rest) != checksum:
        raise SnapshotError("its checksum is wrong")
    name = rest[:name_size].decode("ascii", "replace")
    if name != kind:
        raise SnapshotError(f"it holds {name}, not {kind}")
    if not oldest <= version <= newest:
        raise SnapshotError(f"its version is {version}; this build reads {oldest} to {newest}")
    try:
        return version, msgpack.unpackb(rest[name_size:], raw=False, strict_map_key=False)
    except ValueError as error:
        raise SnapshotError(f"its value can't be read: {error}") from error


def write(path: Path, kind: str, version: int, value: object, files: Files | None = None) -> None:
    """Write a snapshot, replacing the one that exists.

    Raises:
        OSError: a call failed. The file holds either the old or the new value, complete; after a crash of the
            machine it may be either.
    """
    files = files or Files()
    path = pathlib.Path(path)
    part = path.with_name(path.name + ".part")
    handle = files.create(str(part))
    try:
        files.write_all(handle, pack(kind, version, value))
        files.sync(handle)
    finally:
        files.close(handle)
    files.replace(str(part), str(path))
    files.sync_folder(str(path.parent))


def put(
    path: Path, data: bytes, mode: int | None = None, durable: bool = False, files: Files | None = None
) -> None:
    """Write bytes to a file atomically: to a temporary file, then renamed over the old one.

    The bytes survive the process, and with `durable` also a crash of the machine. `write` adds a checksum for
    data that must be verified when it is read. `mode`: the permissions of the file; None for those that the
    umask gives.

    Raises:
        OSError: a call failed; the temporary file is removed if that is possible.
    """
    files = files or Files()
    path = pathlib.Path(path)
    part = path.with_name(f".{path.name}.{os.getpid()}.part")
    try:
        _write_beside(part, data, durable, files)
        if mode is not None:
            part.chmod(mode)
        files.replace(str(part), str(path))
    except OSError:
        part.unlink(missing_ok=True)
        raise
    if durable:
        files.sync_folder(str(path.parent))


def _write_beside(part: pathlib.Path, data: bytes, durable: bool, files: Files) -> None:
    handle = files.create(str(part), SHARED)
    try:
        files.write_all(handle, data)
        if durable:
            files.sync(handle)
    finally:
        files.close(handle)


def read(path: Path, kind: str, newest: int, oldest: int = 1) -> tuple[int, Any] | None:
    """Return the version and the value of a snapshot, or None if there is no file.

    Raises:
        SnapshotError: the file is damaged, of another kind, or of a version outside `oldest` to `newest`.
        OSError: the file could not be read.
    """
    path = pathlib.Path(path)
    if not path.exists():
        return None
    return unpack(path.read_bytes(), kind, newest, oldest)
