"""Limits on the contents of a MessagePack message, checked before the message is complete.

msgpack itself rejects a string or binary value that is too long only when all of it is in memory. This module
reads the lengths that a message announces while its bytes arrive.
"""

from typing import NamedTuple

from petrelwood.links.errors import MalformedRpcError

# Type codes of the format, see https://github.com/msgpack/msgpack/blob/master/spec.md
FIRST_SHORT_TEXT = 0xA0  # fixstr: the code itself contains the length of the string
LAST_SHORT_TEXT = 0xBF
SHORT_LENGTH_MASK = 0x1F  # the bits of a fixstr code that are the length
FIRST_CODE_AFTER_BIN = 0xC7  # codes below are binary (bin), codes above are strings (str)
EXTENSIONS = frozenset((0xC7, 0xC8, 0xC9, 0xD4, 0xD5, 0xD6, 0xD7, 0xD8))
# The size in bytes of the length field that follows the code of a binary (bin) or a string (str).
LENGTH_SIZES = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}
# The number of bytes that follow a code: the value of a number, or the size field of an array or a map.
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
    """The limits on the contents of one message.

    Attributes:
        body: The maximum size of a binary value (bin), in bytes.
        text: The maximum size of a string (str), in bytes.
        members: The maximum number of members of an array or a map.
    """

    body: int
    text: int
    members: int


class AnnouncedLengths:
    """Checks the lengths that one message announces, beginning with its first byte."""

    def __init__(self, limits: MessageLimits) -> None:
        self.limits = limits
        self._to_skip = 0  # bytes of the current value that have not arrived yet
        self._rest = b""  # a code whose length field is incomplete

    def feed(self, data: bytes) -> None:
        """Check the next bytes of the message.

        Raises:
            MalformedRpcError: A length exceeds its limit, or the message contains an extension type.
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
        """Return the number of bytes that follow a code and its length field."""
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
