"""The errors of a running dispatcher."""

from petrelwood.errors import PetrelwoodError


class HandoverError(PetrelwoodError):
    """A hand-over between two processes can't go on."""


class PeerLostError(HandoverError):
    """The other process is gone, or its connection is broken."""


class PeerTimeoutError(HandoverError):
    """The other process did not answer in time."""


class MalformedMessageError(HandoverError):
    """The other process sent what is no message of the protocol."""


class HandoverRejectedError(HandoverError):
    """The other process does not hand over to this one, or takes its hand-over back."""
