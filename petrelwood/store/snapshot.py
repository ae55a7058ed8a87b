"""One value in one file that is whole or not there: a kill at any byte leaves the value before or the value
after.

The file is a mark, a kind, a version, a length, a CRC-32 over all of it, and the value in msgpack. It is
written beside, made durable, and renamed over the old one; then the folder is made durable, so that the
rename is not lost either. What can't be read is refused with a reason and left where it is, for people to
look at."""

import os
import pathlib
import struct
import zlib

import msgpack

from petrelwood.store import tail

MARK = b"ptw-snap"
HEAD = struct.Struct("<8sHHQI")  # mark, length of the kind, version, length of the value, sum
MOST = 1 << 30


class Unreadable(Exception):
    """It is not whole, of another kind, or of a version that this build does not know; `str()` tells
    which."""


class Files(tail.Files):
    """What a snapshot does with files beyond what a log does; tests make each of it fail."""

    def open(self, path):
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)

    def create(self, path):
        """A new file that others may read."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o666)


def pack(kind, version, value):
    name, body = kind.encode("ascii"), msgpack.packb(value, use_bin_type=True)
    return (
        HEAD.pack(
            MARK,
            len(name),
            version,
            len(body),
            zlib.crc32(struct.pack("<HHQ", len(name), version, len(body)) + name + body),
        )
        + name
        + body
    )


def unpack(data, kind, newest, oldest=1):
    """(version, value). Raises `Unreadable`."""
    if len(data) < HEAD.size or data[:8] != MARK:
        raise Unreadable("this is no snapshot of petrelwood's")
    _, named, version, size, check = HEAD.unpack_from(data)
    rest = data[HEAD.size :]
    if size > MOST or len(rest) != named + size:
        raise Unreadable("it is not whole")
    if zlib.crc32(struct.pack("<HHQ", named, version, size) + rest) != check:
        raise Unreadable("its sum is off")
    if rest[:named] != kind.encode("ascii"):
        raise Unreadable(f"it holds {rest[:named].decode('ascii', 'replace')}, not {kind}")
    if not oldest <= version <= newest:
        raise Unreadable(f"its version is {version}; this build reads {oldest} to {newest}")
    try:
        return version, msgpack.unpackb(rest[named:], raw=False, strict_map_key=False)
    except ValueError as fault:
        raise Unreadable(f"its value can't be read: {fault}") from None


def write(path, kind, version, value, files=None):
    """Puts the value in place of what stood there. Raises `OSError`; then either the old one or the new one
    stands, whole, and which of them after a fall of the machine is not known."""
    files, path = files or Files(), pathlib.Path(path)
    part = path.with_name(path.name + ".part")
    handle = files.open(str(part))
    try:
        files.write_all(handle, pack(kind, version, value))
        files.sync(handle)
    finally:
        files.close(handle)
    files.replace(str(part), str(path))
    files.sync_folder(str(path.parent))


def put(path, data, mode=None, durable=False, files=None):
    """Bytes in place of what stood there, whole or not at all: written beside and renamed. They outlive the
    process, and with `durable` the machine; what has to be checked when it is read goes by `write`. Raises
    `OSError`; what was written beside is then removed where that is possible."""
    files, path = files or Files(), pathlib.Path(path)
    part = path.with_name(f".{path.name}.{os.getpid()}.part")
    try:
        handle = files.create(str(part))
        try:
            files.write_all(handle, data)
            if durable:
                files.sync(handle)
        finally:
            files.close(handle)
        if mode is not None:
            part.chmod(mode)
        files.replace(str(part), str(path))
    except OSError:
        part.unlink(missing_ok=True)
        raise
    if durable:
        files.sync_folder(str(path.parent))


def read(path, kind, newest, oldest=1):
    """(version, value), or None where there is none. Raises `Unreadable` or `OSError`."""
    path = pathlib.Path(path)
    if not path.exists():
        return None
    return unpack(path.read_bytes(), kind, newest, oldest)
