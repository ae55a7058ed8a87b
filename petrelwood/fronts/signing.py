"""Signatures of the Standard Webhooks specification, version 1: https://www.standardwebhooks.com.

What is signed is `id.timestamp.body`, the body as its raw bytes. A header may carry several signatures,
separated by spaces; one that is valid under one of the keys is enough.
"""

import base64
import binascii
import enum
import hashlib
import hmac
from collections.abc import Iterable

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

MOST_SIGNATURES = 16  # of one request: each costs a check


class SignatureScheme(enum.StrEnum):
    """How a signature is made; the names are those in the header."""

    HMAC_SHA256 = "v1"  # with a shared secret
    ED25519 = "v1a"


# Looked up once: a member of an enum takes longer to find than a name of the module.
HMAC_SHA256 = SignatureScheme.HMAC_SHA256
ED25519 = SignatureScheme.ED25519


def signed_content(id_: str, timestamp: int, body: bytes) -> bytes:
    """Return the bytes that are signed; `timestamp` in seconds since the epoch."""
    return b"%s.%s.%s" % (id_.encode(), str(timestamp).encode(), body)


def sign(scheme: str, key: bytes, id_: str, timestamp: int, body: bytes) -> str:
    """Return one signature as the header has it, `v1,...` or `v1a,...`.

    Args:
        scheme: a `SignatureScheme`.
        key: the bytes of the shared secret, or the 32 bytes of an Ed25519 private key.
        id_: the `webhook-id` header.
        timestamp: the `webhook-timestamp` header, in seconds since the epoch.
        body: the raw body.
    """
    content = signed_content(id_, timestamp, body)
    if scheme == HMAC_SHA256:
        raw = hmac.new(key, content, hashlib.sha256).digest()
    else:
        raw = Ed25519PrivateKey.from_private_bytes(key).sign(content)
    return f"{scheme},{base64.b64encode(raw).decode()}"


class Verifier:
    """The keys of one customer, each with its scheme, prepared once for all requests."""

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

        Each signature of a scheme takes the same time to check, valid or not, so that the time tells nothing
        about the right one.
        """
        content = signed_content(id_, timestamp, body)
        expected: list[bytes] = []  # made once there is a signature to compare with
        is_valid = False
        for signature in header.split()[:MOST_SIGNATURES]:
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
