"""The segments of the state log: a sequence of files of records.

    folder/state-EPOCH-NUMBER.log

Each is a `store.append_log` with records in the format of `store.state_codec`. The first record of a segment
is `IncarnationStarted`, with the segment's format. Only segments begun after an outage have `OUTAGE_FORMAT`,
and only those with records of retries `RETRY_FORMAT`: older builds, which do not know these records, can
still read all other segments.
"""

import os
import pathlib
from typing import NamedTuple

from petrelwood.decide.delivery.state_records import IncarnationStarted, Record
from petrelwood.store import append_log
from petrelwood.store.errors import LogFormatError, RecordError, StateUnreadableError
from petrelwood.store.state_codec import decode

PLAIN_FORMAT = 1
OUTAGE_FORMAT = 2
RETRY_FORMAT = 3
OLDEST_FORMAT = PLAIN_FORMAT
NEWEST_FORMAT = RETRY_FORMAT

Folder = str | os.PathLike[str]


class Segment(NamedTuple):
    """One file of the log; segments sort in the order in which they were written."""

    epoch: int
    number: int
    path: pathlib.Path


class SegmentScan(NamedTuple):
    """The records of a segment, and the end of its valid part."""

    records: list[Record]
    valid_size: int  # bytes up to the end of the last complete record
    damage: str | None  # why the valid part ends there; None if no bytes follow

    @property
    def format(self) -> int:
        """Return the segment's format."""
        first = self.records[0] if self.records else None
        return first.format if isinstance(first, IncarnationStarted) else PLAIN_FORMAT


class Damage(NamedTuple):
    """The bytes after a segment's last complete record, or all of its bytes if the file is no segment."""

    path: pathlib.Path
    size: int
    reason: str


def segment_path(folder: pathlib.Path, epoch: int, number: int) -> pathlib.Path:
    """Return the path of a segment."""
    return folder / f"state-{epoch:06d}-{number:08d}.log"


def segments(folder: Folder) -> list[Segment]:
    """Return all segments, in the order in which they were written."""
    found = []
    for path in pathlib.Path(folder).glob("state-*-*.log"):
        _, epoch, *rest = path.stem.split("-")
        if len(rest) == 1 and epoch.isdigit() and rest[0].isdigit():
            found.append(Segment(int(epoch), int(rest[0]), path))
    return sorted(found)


def scan(path: pathlib.Path) -> SegmentScan:
    """Return the records of one segment.

    Raises:
        StateUnreadableError: the file can't be read or decoded, or has a format that this build does not
            know.
    """
    try:
        log = append_log.scan(path.read_bytes())
        found = SegmentScan([decode(payload) for payload in log.payloads], log.valid_size, log.damage)
    except (LogFormatError, RecordError) as error:
        raise StateUnreadableError(f"{path}: {error}") from error
    except OSError as error:
        raise StateUnreadableError(f"{path} can't be read: {error.strerror or error}") from error
    if not OLDEST_FORMAT <= found.format <= NEWEST_FORMAT:
        known = f"this build reads {OLDEST_FORMAT} to {NEWEST_FORMAT}"
        raise StateUnreadableError(f"{path}: its format is {found.format}; {known}")
    return found


def read(folder: Folder) -> tuple[list[Record], list[Damage]]:
    """Return the records of all segments in order, and the damaged parts of the segments.

    Raises:
        StateUnreadableError: a segment can't be read or decoded, or has a format that this build does not
            know.
    """
    records: list[Record] = []
    damages = []
    for segment in segments(folder):
        found = scan(segment.path)
        records += found.records
        if found.damage:
            size = segment.path.stat().st_size - found.valid_size
            damages.append(Damage(segment.path, size, found.damage))
    return records, damages


def repair(folder: Folder) -> list[Damage]:
    """Truncate each segment after its last complete record, and rename files that are no segments.

    No dispatcher may be writing. Returns the truncated and the renamed files, these with their new path.
    """
    repaired = []
    for segment in segments(folder):
        data = segment.path.read_bytes()
        try:
            found = append_log.scan(data)
        except LogFormatError as error:
            renamed = segment.path.with_suffix(".unreadable")
            segment.path.rename(renamed)
            repaired.append(Damage(renamed, len(data), str(error)))
            continue
        if found.damage:
            os.truncate(segment.path, found.valid_size)
            repaired.append(Damage(segment.path, len(data) - found.valid_size, found.damage))
    return repaired
