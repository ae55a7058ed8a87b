"""TLS identities in settings files."""

from petrelwood.links.errors import IdentityError
from petrelwood.links.tls import Identity
from petrelwood.settings.decoders import FLAG, TEXT
from petrelwood.settings.node import Node


def decode_identity(parent: Node) -> Identity | None:
    """Return the identity that the `tls` child of a node describes, or None if there is no such child."""
    node = parent.optional_child("tls")
    if node is None:
        return None
    certificate = node.resolve(node.prop("cert", TEXT, ""))
    key = node.resolve(node.prop("key", TEXT, ""))
    trusted = node.resolve(node.prop("trusts", TEXT, ""))
    is_mutual = node.prop("mutual", FLAG, False)
    name = node.prop("name", TEXT, "")
    node.reject_unknown()
    try:
        return Identity(certificate, key, trusted, is_mutual, name)
    except IdentityError as error:
        node.report(str(error))
        return None
