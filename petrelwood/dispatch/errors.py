"""The errors of a running dispatcher."""

from petrelwood.errors import PetrelwoodError


class HandoverError(PetrelwoodError):
    """A hand-over between two processes failed."""


class PeerLostError(HandoverError):
    """The other process has ended, or the connection to it is broken."""


class PeerTimeoutError(HandoverError):
    """The other process did not answer in time."""


class MalformedMessageError(HandoverError):
    """The other process sent data that is not a valid message of the protocol."""


class HandoverRejectedError(HandoverError):
    """The other process refused the hand-over, or gave it back."""
