"""The errors of the gateway: one base, and one class for each kind of failure.

A package raises a subclass of the class that names what failed, with a message of one line that says what was
tried on what, and chains the cause: `raise SnapshotError(f"{path}: its checksum is wrong") from error`.
"""


class PetrelwoodError(Exception):
    """The base of all errors that the gateway raises itself; `str()` is one line for people."""


class StorageError(PetrelwoodError):
    """Stored data can't be read or written."""


class ProtocolError(PetrelwoodError):
    """A peer violated its protocol; the connection can't be used any more."""


class TransportError(PetrelwoodError):
    """A connection, a datagram or a call over one failed; whether it had an effect is not known."""


class UnavailableError(PetrelwoodError):
    """A request can't be served now and may be retried: no quorum, a full queue, a shutdown."""
