"""The errors of connections: what a peer sent, and what is wrong with a certificate."""

from petrelwood.errors import PetrelwoodError, ProtocolError


class MalformedRpcError(ProtocolError):
    """A peer sent what is not MessagePack-RPC, or a message over the bounds."""


class MalformedEventError(ProtocolError):
    """A peer sent server-sent events that can't be followed."""


class IdentityError(PetrelwoodError):
    """A certificate, its key or the trusted authorities can't be used."""
