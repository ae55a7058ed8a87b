"""The errors of connections: what a peer sent, and what is wrong with a certificate."""

from petrelwood.errors import PetrelwoodError, ProtocolError


class MalformedRpcError(ProtocolError):
    """A peer sent what is not MessagePack-RPC, or a message over the bounds."""


class MalformedEventError(ProtocolError):
    """A server-sent event is too large."""


class EndpointListError(ProtocolError):
    """A roster answered with an error, or a watch event is missing."""


class IdentityError(PetrelwoodError):
    """A certificate, its key or the trusted authorities can't be used."""
