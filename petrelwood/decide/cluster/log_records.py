"""What the replicated log holds, and the messages and replies of its servers.

A version's settings are kept compressed: what 400 dispatchers ask for at once is then a tenth of it.
"""

import enum
import zlib
from typing import NamedTuple

from petrelwood.errors import StorageError

MAX_TEXT_SIZE = 2 << 20  # bytes of one version's text; 13,000 functions by name take 831 KB


class CorruptVersionError(StorageError):
    """The body of a version is none that `compress_text` has made."""


class RecordKind(enum.StrEnum):
    """The kinds of records that this build knows; others are stored and passed on as they came."""

    VERSION = "version"
    REVOCATION = "call off"
    NO_OPERATION = "no operation"


class Ballot(NamedTuple):
    """Ordered by round, then by the proposer's identity, which no other process ever has."""

    round: int
    proposer: str


LOWEST = Ballot(0, "")


class Record(NamedTuple):
    """What a slot of the log holds. Its field order is that of the stored form and of the wire form."""

    id: str  # unique, so that a record that is appended again is found again
    kind: str  # a `RecordKind`
    number: int  # REVOCATION: the version that is revoked; a version's own number is its slot
    rollout_start: int  # VERSION: wall-clock ns at which its roll-out begins
    body: bytes  # VERSION: the settings by `compress_text`; REVOCATION: who revokes it, and why, in UTF-8


class Entry(NamedTuple):
    """A decided slot of the log."""

    slot: int
    record: Record


class Extract(NamedTuple):
    """All that was decided in the slots after `since` up to `chosen`, but for what is superseded."""

    since: int
    chosen: int
    entries: tuple[Entry, ...]  # by slot


class Prepare(NamedTuple):
    """Asks for a promise to accept nothing of a lower ballot in this slot."""

    slot: int
    ballot: Ballot


class Accept(NamedTuple):
    """Asks to accept a record in this slot."""

    slot: int
    ballot: Ballot
    record: Record


class Learn(NamedTuple):
    """Tells what was decided."""

    extract: Extract


class Promise(NamedTuple):
    """The replica accepts nothing of a lower ballot; what it has accepted before."""

    accepted: Ballot  # LOWEST where no record was accepted
    record: Record | None


class Accepted(NamedTuple):
    """The replica has accepted the record."""


class Rejected(NamedTuple):
    """The slot is promised to a higher ballot."""

    promised: Ballot


class Behind(NamedTuple):
    """The replica lacks decided slots before this one."""

    chosen: int


class Ahead(NamedTuple):
    """The slot is decided already."""

    extract: Extract


class NotVoting(NamedTuple):
    """The replica has lost its disk and may have voted in this slot before, or its disk fails at present."""


class Learned(NamedTuple):
    """The replica has taken in what was decided, up to this slot."""

    chosen: int


Message = Prepare | Accept | Learn
Reply = Promise | Accepted | Rejected | Behind | Ahead | NotVoting | Learned


def compress_text(text: str) -> bytes:
    """The body of a version, of its settings."""
    return zlib.compress(text.encode("utf-8"))


def decompress_text(body: bytes) -> str:
    """The settings that a version's body holds. Raises `CorruptVersionError`."""
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body, MAX_TEXT_SIZE + 1).decode("utf-8")
    except (zlib.error, ValueError) as error:
        raise CorruptVersionError(f"a version's settings can't be decompressed: {error}") from error
    if len(text) > MAX_TEXT_SIZE or not decompressor.eof:
        raise CorruptVersionError("a version's settings are too large, or not complete")
    return text
