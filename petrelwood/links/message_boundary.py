"""Finds the end of a MessagePack message, and checks its limits, while its bytes arrive.

A decoder keeps what it has decoded of an incomplete message, which takes many times the size of its bytes.
This module reads only the lengths that a message announces, so that its bytes can be kept as they are until
the message is complete.
"""

from typing import NamedTuple

from petrelwood.links.errors import MalformedRpcError

# Type codes of the format, see https://github.com/msgpack/msgpack/blob/master/spec.md
FIRST_SHORT_MAP = 0x80  # fixmap, fixarray and fixstr: the code itself contains the length
FIRST_SHORT_ARRAY = 0x90
FIRST_SHORT_TEXT = 0xA0
LAST_SHORT_TEXT = 0xBF
SHORT_COUNT_MASK = 0x0F  # the bits of a fixmap or fixarray code that are the number of members
SHORT_LENGTH_MASK = 0x1F  # the bits of a fixstr code that are the length
FIRST_CODE_AFTER_BIN = 0xC7  # codes below are binary (bin), codes above are strings (str)
INVALID_CODE = 0xC1
EXTENSIONS = frozenset((0xC7, 0xC8, 0xC9, 0xD4, 0xD5, 0xD6, 0xD7, 0xD8))
# The size in bytes of the length field that follows the code of a binary (bin) or a string (str).
LENGTH_SIZES = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}
# The size in bytes of the count field that follows the code of an array or a map.
COUNT_SIZES = {0xDC: 2, 0xDD: 4, 0xDE: 2, 0xDF: 4}
FIRST_MAP_CODE = 0xDE  # codes of COUNT_SIZES below are arrays
# The number of bytes that follow the code of a number.
NUMBER_SIZES = {0xCA: 4, 0xCB: 8, 0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8, 0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}
HEAD_SIZES = {code: 1 + size for code, size in (LENGTH_SIZES | COUNT_SIZES).items()}


class MessageLimits(NamedTuple):
    """The limits on the contents of one message.

    Attributes:
        body: The maximum size of a binary value (bin), in bytes.
        text: The maximum size of a string (str), in bytes.
        members: The maximum number of members of an array or a map.
        depth: The maximum number of arrays and maps around one value.
        values: The maximum number of values, keys and containers included.
    """

    body: int
    text: int
    members: int
    depth: int = 8
    values: int = 1_024


class MessageBoundary:
    """Follows one message from its first byte to its last.

    Attributes:
        limits: The limits on the contents of the message.
        missing: The number of bytes of the current string or binary value that have not arrived yet.
    """

    __slots__ = ("_open", "_rest", "_values", "limits", "missing")

    def __init__(self, limits: MessageLimits) -> None:
        self.limits = limits
        self.missing = 0
        self._open = [1]  # the number of values still to come, in each open container; first of the message
        self._values = 0  # the number of values that have begun
        self._rest = b""  # a code whose length or count field is incomplete

    def feed(self, data: bytes) -> int | None:
        """Read the next bytes; return how many of them belong to the message, or None if it is incomplete.

        Raises:
            MalformedRpcError: The bytes exceed a limit, or are not MessagePack, or an extension type.
        """
        earlier = len(self._rest)
        data = self._rest + data
        self._rest = b""
        position = 0
        while True:
            step = min(self.missing, len(data) - position)
            position += step
            self.missing -= step
            if not self.missing and self._is_complete():
                return position - earlier
            if position == len(data):
                return None
            head_size = HEAD_SIZES.get(data[position], 1)
            if position + head_size > len(data):
                self._rest = data[position:]
                return None
            self._begin_value(data[position : position + head_size])
            position += head_size

    def _is_complete(self) -> bool:
        """Close the containers whose members have all arrived; return whether the message is complete."""
        while self._open and not self._open[-1]:
            self._open.pop()
        return not self._open

    def _begin_value(self, head: bytes) -> None:
        """Handle the code of a value, with its length or count field."""
        self._open[-1] -= 1
        self._values += 1
        if self._values > self.limits.values:
            raise MalformedRpcError("it has too many values")
        code = head[0]
        if code in COUNT_SIZES:
            self._begin_container(code >= FIRST_MAP_CODE, int.from_bytes(head[1:], "big"))
        elif FIRST_SHORT_MAP <= code < FIRST_SHORT_TEXT:
            self._begin_container(code < FIRST_SHORT_ARRAY, code & SHORT_COUNT_MASK)
        else:
            self.missing = self._value_size(code, head)

    def _begin_container(self, is_map: bool, members: int) -> None:
        if members > self.limits.members:
            raise MalformedRpcError(f"it announces {members} members")
        if len(self._open) > self.limits.depth:
            raise MalformedRpcError("it is nested too deeply")
        self._open.append(2 * members if is_map else members)

    def _value_size(self, code: int, head: bytes) -> int:
        """Return the number of bytes that follow a code and its length field."""
        if code in EXTENSIONS or code == INVALID_CODE:
            raise MalformedRpcError("an extension type or an unknown code")
        if FIRST_SHORT_TEXT <= code <= LAST_SHORT_TEXT:
            return code & SHORT_LENGTH_MASK
        if code not in LENGTH_SIZES:
            return NUMBER_SIZES.get(code, 0)
        size = int.from_bytes(head[1:], "big")
        if size > (self.limits.body if code < FIRST_CODE_AFTER_BIN else self.limits.text):
            raise MalformedRpcError(f"it announces {size} bytes")
        return size
