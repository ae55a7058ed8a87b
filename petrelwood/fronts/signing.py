"""Signatures of the Standard Webhooks specification, version 1: https://www.standardwebhooks.com.

The signed content is `id.timestamp.body` with the raw bytes of the body. A header may contain several
signatures, separated by spaces. A request is valid if one signature is valid under one of the keys.
"""

import base64
import binascii
import enum
import hashlib
import hmac
from collections.abc import Iterable

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

MAX_SIGNATURES = 16  # checked per request; limits the cost of a request


class SignatureScheme(enum.StrEnum):
    """The signature scheme; the values are the prefixes in the header."""

    HMAC_SHA256 = "v1"  # keyed with a shared secret
    ED25519 = "v1a"


# Module names, because Python 3.11 is slow to look up a member on its enum.
HMAC_SHA256 = SignatureScheme.HMAC_SHA256
ED25519 = SignatureScheme.ED25519


def signed_content(id_: str, timestamp: int, body: bytes) -> bytes:
    """Return the bytes to sign; `timestamp` in seconds since the epoch."""
    return b"%s.%s.%s" % (id_.encode(), str(timestamp).encode(), body)


def sign(scheme: str, key: bytes, id_: str, timestamp: int, body: bytes) -> str:
    """Return one signature in the format of the header, `v1,...` or `v1a,...`.

    Args:
        scheme: A `SignatureScheme`.
        key: The bytes of the shared secret, or the 32 bytes of an Ed25519 private key.
        id_: The `webhook-id` header.
        timestamp: The `webhook-timestamp` header, in seconds since the epoch.
        body: The raw body.
    """
    content = signed_content(id_, timestamp, body)
    if scheme == HMAC_SHA256:
        raw = hmac.new(key, content, hashlib.sha256).digest()
    else:
        raw = Ed25519PrivateKey.from_private_bytes(key).sign(content)
    return f"{scheme},{base64.b64encode(raw).decode()}"


class Verifier:
    """Verifies signatures with the keys of one customer, which are parsed once for all requests."""

    def __init__(self, keys: Iterable[tuple[str, bytes]]) -> None:
        self._secrets: list[bytes] = []
        self._public_keys: list[Ed25519PublicKey] = []
        for scheme, raw in keys:
            if scheme == HMAC_SHA256:
                self._secrets.append(raw)
            elif scheme == ED25519:
                self._public_keys.append(Ed25519PublicKey.from_public_bytes(raw))

    def is_valid(self, header: str, id_: str, timestamp: int, body: bytes) -> bool:
        """Return whether one of the signatures in the header is valid under one of the keys.

        The check takes the same time for valid and invalid signatures of a scheme, so that its duration
        reveals nothing about the valid signature.
        """
        content = signed_content(id_, timestamp, body)
        expected: list[bytes] = []  # computed only if there is a signature to compare with
        is_valid = False
        for signature in header.split()[:MAX_SIGNATURES]:
            scheme, _, text = signature.partition(",")
            try:
                raw = base64.b64decode(text, validate=True)
            except (binascii.Error, ValueError):
                continue
            if scheme == HMAC_SHA256:
                expected = expected or self._expected_hmacs(content)
                for each in expected:
                    is_valid = hmac.compare_digest(each, raw) or is_valid
            elif scheme == ED25519:
                for key in self._public_keys:
                    is_valid = _is_signed_by(key, raw, content) or is_valid
        return is_valid

    def _expected_hmacs(self, content: bytes) -> list[bytes]:
        return [hmac.new(secret, content, hashlib.sha256).digest() for secret in self._secrets]


def _is_signed_by(key: Ed25519PublicKey, signature: bytes, content: bytes) -> bool:
    try:
        key.verify(signature, content)
    except InvalidSignature:
        return False
    return True
