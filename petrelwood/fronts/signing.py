"""Signatures as the Standard Webhooks specification has them: https://www.standardwebhooks.com, version 1.

What is signed is `id.timestamp.body`, the body as its raw bytes. `v1` is HMAC-SHA256 with a shared secret,
`v1a` Ed25519. A header may carry several signatures, apart by spaces; one that holds under one of the keys is
enough."""

import base64
import binascii
import hashlib
import hmac

from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey, Ed25519PublicKey

MOST_SIGNATURES = 16  # of one request: each costs a check


def content(id_, stamp, body):
    return b"%s.%s.%s" % (id_.encode(), str(stamp).encode(), body)


def sign(scheme, key, id_, stamp, body):
    """One signature, `v1,...` or `v1a,...`. `key`: the secret's bytes, or an Ed25519 private key's 32
    bytes."""
    what = content(id_, stamp, body)
    raw = (
        hmac.new(key, what, hashlib.sha256).digest()
        if scheme == "v1"
        else Ed25519PrivateKey.from_private_bytes(key).sign(what)
    )
    return f"{scheme},{base64.b64encode(raw).decode()}"


class Verifier:
    """The keys of one customer, made ready once."""

    def __init__(self, keys):
        self.secrets = [raw for scheme, raw in keys if scheme == "v1"]
        self.public = [Ed25519PublicKey.from_public_bytes(raw) for scheme, raw in keys if scheme == "v1a"]

    def holds(self, header, id_, stamp, body):
        """Whether one of the header's signatures holds under one of the keys. Every candidate of a scheme
        costs the same, whether it is near or far from right."""
        what, made, held = content(id_, stamp, body), None, False
        for signature in header.split()[:MOST_SIGNATURES]:
            scheme, _, text = signature.partition(",")
            try:
                raw = base64.b64decode(text, validate=True)
            except (binascii.Error, ValueError):
                continue
            if scheme == "v1":
                made = made or [hmac.new(secret, what, hashlib.sha256).digest() for secret in self.secrets]
                for one in made:
                    held = hmac.compare_digest(one, raw) or held
            elif scheme == "v1a":
                for key in self.public:
                    try:
                        key.verify(raw, what)
                        held = True
                    except InvalidSignature:
                        pass
        return held
