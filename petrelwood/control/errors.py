"""The errors of the configuration servers; `str()` of each is what the caller of a method receives."""

from petrelwood.errors import (
    PetrelwoodError,
    ProtocolError,
    StorageError,
    TransportError,
    UnavailableError,
)


class MalformedMessageError(ProtocolError):
    """Parameters or a result can't be decoded, or a method is unknown."""


class LogStorageError(StorageError):
    """The file of the log can't be read, used or created."""


class PeerError(TransportError):
    """Another server gave no usable answer; whether it executed the call is unknown."""


class NoQuorumError(UnavailableError):
    """No majority accepted a record in time; it may be decided later."""


class QueueFullError(UnavailableError):
    """Too many records are queued to be decided."""


class UnknownVersionError(PetrelwoodError):
    """A record refers to a version that is not in the log."""
