"""The errors of the gateway: one base, and one class for each thing that fails.

A package raises a subclass of the class that names what failed, with a message of one line that says what was
tried on what, and chains the cause: `raise SnapshotError(f"{path}: its checksum is wrong") from error`.
"""


class PetrelwoodError(Exception):
    """Anything that the gateway itself finds to have failed; `str()` is one line for people."""


class StorageError(PetrelwoodError):
    """Stored data can't be read or written."""


class ProtocolError(PetrelwoodError):
    """A peer sent what its protocol does not allow; the connection is of no more use."""


class TransportError(PetrelwoodError):
    """A connection, a datagram or a call over one failed; whether it had an effect is not known."""


class UnavailableError(PetrelwoodError):
    """What is asked for can't be done now and may be tried again: no quorum, a full queue, a shutdown."""
