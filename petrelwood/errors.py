"""The errors of the gateway: one base, and one class for each kind of failure.

A package raises a subclass of the class for its kind of failure, with a one-line message that names the
operation and its object, and chains the cause:
`raise SnapshotError(f"{path}: its checksum is wrong") from error`.
"""


class PetrelwoodError(Exception):
    """The base of all errors that the gateway raises itself; `str()` is a readable line."""


class StorageError(PetrelwoodError):
    """Stored data can't be read or written."""


class ProtocolError(PetrelwoodError):
    """A peer violated its protocol; the connection is no longer usable."""


class TransportError(PetrelwoodError):
    """A connection, a datagram or a call over either failed; it is not known whether it had an effect."""


class UnavailableError(PetrelwoodError):
    """A request can't be served now and may be retried: no quorum, a full queue, a shutdown."""
