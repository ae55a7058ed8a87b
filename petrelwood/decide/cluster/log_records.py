"""The records of the replicated log, and the messages and replies of its servers.

The settings of a version are stored compressed, to about a tenth of their size, because 400 dispatchers may
request them at once.
"""

import enum
import zlib
from typing import NamedTuple

from petrelwood.errors import StorageError

MAX_TEXT_SIZE = 2 << 20  # bytes of one version's settings; 13,000 functions by name take 831 KB


class CorruptVersionError(StorageError):
    """The body of a version can't be decompressed, or is larger than `MAX_TEXT_SIZE`."""


class RecordKind(enum.StrEnum):
    """The kinds of records that this build knows; others are stored and forwarded unchanged."""

    VERSION = "version"
    REVOCATION = "call off"
    NO_OPERATION = "no operation"


class Ballot(NamedTuple):
    """A Paxos ballot, ordered by round, then by the proposer's identity, which is unique to its process."""

    round: int
    proposer: str


LOWEST = Ballot(0, "")


class Record(NamedTuple):
    """The content of a slot; the order of its fields is that of the stored form and of the wire form."""

    id: str  # unique, so that a repeated append of the same record is recognized
    kind: str  # a `RecordKind`, or a kind of another build
    number: int  # REVOCATION: the version that is revoked; a version's own number is its slot
    rollout_start: int  # VERSION: the start of its roll-out, wall-clock ns
    body: bytes  # VERSION: the settings by `compress_text`; REVOCATION: who revoked it and why, in UTF-8


class Entry(NamedTuple):
    """A decided slot of the log."""

    slot: int
    record: Record


class Extract(NamedTuple):
    """The decided records in the slots after `since` up to `chosen`, without superseded ones."""

    since: int
    chosen: int
    entries: tuple[Entry, ...]  # by slot


class Prepare(NamedTuple):
    """A request for a promise to accept no lower ballot in this slot."""

    slot: int
    ballot: Ballot


class Accept(NamedTuple):
    """A request to accept a record in this slot."""

    slot: int
    ballot: Ballot
    record: Record


class Learn(NamedTuple):
    """A notification of decided records."""

    extract: Extract


class Promise(NamedTuple):
    """The reply that no lower ballot will be accepted, with the record accepted earlier, if any."""

    accepted: Ballot  # LOWEST where no record was accepted
    record: Record | None


class Accepted(NamedTuple):
    """The reply that the record was accepted."""


class Rejected(NamedTuple):
    """The reply that a higher ballot was promised for the slot."""

    promised: Ballot


class Behind(NamedTuple):
    """The reply that the replica lacks decided slots before this one; it knows those up to `chosen`."""

    chosen: int


class Ahead(NamedTuple):
    """The reply that the slot is decided already."""

    extract: Extract


class NotVoting(NamedTuple):
    """The reply of a replica that may not vote in this slot: it lost its disk or can't write to it."""


class Learned(NamedTuple):
    """The reply to `Learn`: the replica knows all decided records up to slot `chosen`."""

    chosen: int


Message = Prepare | Accept | Learn
Reply = Promise | Accepted | Rejected | Behind | Ahead | NotVoting | Learned


def compress_text(text: str) -> bytes:
    """Return the record body for a version with these settings."""
    return zlib.compress(text.encode("utf-8"))


def decompress_text(body: bytes) -> str:
    """Return the settings in a version's body.

    Raises:
        CorruptVersionError: the body can't be decompressed, or the settings are too large.
    """
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(body, MAX_TEXT_SIZE + 1).decode("utf-8")
    except (zlib.error, ValueError) as error:
        raise CorruptVersionError(f"a version's settings can't be decompressed: {error}") from error
    if len(text) > MAX_TEXT_SIZE or not decompressor.eof:
        raise CorruptVersionError("a version's settings are too large or incomplete")
    return text
