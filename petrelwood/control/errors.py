"""The errors of the configuration servers; each `str()` is the line that the caller of a method gets."""

from petrelwood.errors import (
    PetrelwoodError,
    ProtocolError,
    StorageError,
    TransportError,
    UnavailableError,
)


class MalformedMessageError(ProtocolError):
    """Parameters or a result that can't be read, or a method that is not known."""


class LogStorageError(StorageError):
    """The log can't be opened or begun."""


class PeerError(TransportError):
    """Another server gave no answer of use; whether it did what it was asked is not known."""


class NoQuorumError(UnavailableError):
    """A record found no majority in time; it may be decided later."""


class QueueFullError(UnavailableError):
    """Too many records wait to be decided."""


class UnknownVersionError(PetrelwoodError):
    """A record names a version that the log does not hold."""
