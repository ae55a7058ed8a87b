"""Bounds on what a MessagePack message may hold, checked before it has arrived.

msgpack itself finds a text or a body that is too long only once all of it is in memory. Here the lengths that
a message announces are read as its bytes come.
"""

from typing import NamedTuple

from petrelwood.links.errors import MalformedRpcError

# Codes of the format, https://github.com/msgpack/msgpack/blob/master/spec.md
FIRST_SHORT_TEXT = 0xA0  # a text whose length is in the code itself
LAST_SHORT_TEXT = 0xBF
SHORT_LENGTH_MASK = 0x1F
FIRST_CODE_AFTER_BIN = 0xC7  # the codes of bodies (bin) are before it, those of texts (str) behind it
EXTENSIONS = frozenset((0xC7, 0xC8, 0xC9, 0xD4, 0xD5, 0xD6, 0xD7, 0xD8))
# How many bytes behind a code tell the length of a body (bin) or a text (str).
LENGTH_SIZES = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}
# How many bytes of a number, or of an array's or a map's size, follow a code.
FOLLOWING_BYTES = {
    0xCA: 4,
    0xCB: 8,
    0xCC: 1,
    0xCD: 2,
    0xCE: 4,
    0xCF: 8,
    0xD0: 1,
    0xD1: 2,
    0xD2: 4,
    0xD3: 8,
    0xDC: 2,
    0xDD: 4,
    0xDE: 2,
    0xDF: 4,
}


class MessageLimits(NamedTuple):
    """The most that one message may hold.

    Attributes:
        body: Bytes of a body (bin).
        text: Bytes of a text (str).
        members: Members of an array or a map.
    """

    body: int
    text: int
    members: int


class AnnouncedLengths:
    """Reads the lengths that one message announces, from its first byte on."""

    def __init__(self, limits: MessageLimits) -> None:
        self.limits = limits
        self._to_skip = 0  # bytes of a value that are still to come
        self._rest = b""  # a code whose length is not all here

    def feed(self, data: bytes) -> None:
        """Check the next bytes of the message.

        Raises:
            MalformedRpcError: A length is over the limits, or there is an extension type.
        """
        data = self._rest + data
        position = 0
        while True:
            step = min(self._to_skip, len(data) - position)
            position += step
            self._to_skip -= step
            if position == len(data):
                self._rest = b""
                return
            head_size = 1 + LENGTH_SIZES.get(data[position], 0)
            if position + head_size > len(data):
                self._rest = data[position:]
                return
            self._to_skip = self._value_size(data[position : position + head_size])
            position += head_size

    def _value_size(self, head: bytes) -> int:
        """Return how many bytes follow a code and its length."""
        code = head[0]
        if code in EXTENSIONS:
            raise MalformedRpcError("an extension type")
        if FIRST_SHORT_TEXT <= code <= LAST_SHORT_TEXT:
            return code & SHORT_LENGTH_MASK
        if code not in LENGTH_SIZES:
            return FOLLOWING_BYTES.get(code, 0)
        size = int.from_bytes(head[1:], "big")
        if size > (self.limits.body if code < FIRST_CODE_AFTER_BIN else self.limits.text):
            raise MalformedRpcError(f"it announces {size} bytes")
        return size
