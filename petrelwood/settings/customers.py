"""Customers of a gateway, with their keys and guaranteed shares."""

import base64
import binascii
import os
from typing import NamedTuple

from petrelwood.settings.decoders import NUMBER, TEXT, Decoder
from petrelwood.settings.errors import InvalidValueError
from petrelwood.settings.kdl import Value
from petrelwood.settings.node import Node

HMAC_SECRET_SIZES = range(24, 65)  # bytes; the sizes allowed by Standard Webhooks
ED25519_KEY_SIZES = range(32, 33)  # bytes
KEY_SCHEMES = {"whsec": ("v1", HMAC_SECRET_SIZES), "whpk": ("v1a", ED25519_KEY_SIZES)}  # by the key's prefix
OTHERS_MAY_ACCESS = 0o077  # mode bits of a file that group or others can access


class SigningKey(NamedTuple):
    """The HMAC secret or the Ed25519 public key that verifies a customer's webhooks."""

    scheme: str  # "v1": an HMAC secret, "v1a": an Ed25519 public key
    data: bytes


class Customer(NamedTuple):
    """A customer, who may send activations."""

    name: str
    share: float  # activations per second over all dispatchers; 0: no guaranteed share
    keys: tuple[SigningKey, ...]


def _decode_key(value: Value, subject: str) -> SigningKey:
    """Return a key in the format of Standard Webhooks: `whsec_` or `whpk_`, followed by base64."""
    prefix, _, encoded = TEXT.decode(value, subject).partition("_")
    if prefix not in KEY_SCHEMES:
        raise InvalidValueError(f"{subject} must begin with 'whsec_' or 'whpk_'")
    scheme, sizes = KEY_SCHEMES[prefix]
    try:
        data = base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError) as error:
        raise InvalidValueError(f"{subject} is not base64 after '{prefix}_'") from error
    if len(data) not in sizes:
        allowed = f"{sizes[0]} to {sizes[-1]}" if len(sizes) > 1 else f"{sizes[0]}"
        raise InvalidValueError(f"{subject} holds {len(data)} bytes; {prefix} takes {allowed}")
    return SigningKey(scheme, data)


KEY = Decoder("key, `whsec_` or `whpk_`", _decode_key, SigningKey("v1", bytes(32)))


def _decode_key_node(node: Node) -> SigningKey:
    """Return the key of a `key` node.

    The key is given literally, or as a reference: `key env="NAME"`, or `key file="path"`, where the file must
    not be accessible to other users.
    """
    variable = node.prop("env", TEXT, "")
    path = node.prop("file", TEXT, "")
    if not variable and not path:
        key = node.arg(KEY, "a key")
        node.reject_unknown(1)
        return key
    node.reject_unknown()
    text = _environment_key(node, variable) if variable else _file_key(node, path)
    return node.decode(KEY, f"the key in {variable or path}", text) if text else KEY.sample


def _environment_key(node: Node, variable: str) -> str:
    text = os.environ.get(variable, "")
    if not text:
        node.report(f"the environment has no '{variable}'")
    return text


def _file_key(node: Node, path: str) -> str:
    file = node.folder / path
    try:
        if file.stat().st_mode & OTHERS_MAY_ACCESS:
            node.report(f"'{path}' can be read by others; its mode must be 600 or less")
        return file.read_text().strip()
    except OSError as error:
        node.report(f"'{path}' can't be read: {error.strerror or 'it is not text'}")
    except UnicodeDecodeError:
        node.report(f"'{path}' can't be read: it is not text")
    return ""


def _decode_customer(node: Node) -> Customer:
    name = node.arg(TEXT, "a name")
    share = node.prop("share", NUMBER, 0)
    keys = [_decode_key_node(child) for child in node.every("key")]
    if not keys and all(child.name == "key" for child in node.children):
        node.report(f"customer '{name}' has no key")
    node.reject_unknown(1)
    return Customer(name, float(share), tuple(keys))


def decode_customers(file: Node) -> dict[str, Customer]:
    """Return the customers in a gateway's file, by name."""
    customers = [_decode_customer(node) for node in file.labelled("customer", "customer")]
    if not customers and not file.partial:
        file.report("no 'customer' is given")
    return {customer.name: customer for customer in customers}
