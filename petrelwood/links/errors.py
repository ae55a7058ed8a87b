"""Errors of connections: malformed data from a peer, and unusable certificates."""

from petrelwood.errors import PetrelwoodError, ProtocolError


class MalformedRpcError(ProtocolError):
    """A peer sent data that is not MessagePack-RPC, or a message that exceeds the limits."""


class MalformedEventError(ProtocolError):
    """A server-sent event is too large."""


class EndpointListError(ProtocolError):
    """The roster answered with an error or malformed data, or a watch event is missing."""


class IdentityError(PetrelwoodError):
    """A certificate, its key or the trusted authorities are unusable."""
