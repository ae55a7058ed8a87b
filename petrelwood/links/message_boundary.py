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
FIRST_CODE_AFTER_SHORT_TEXT = 0xC0
FIRST_CODE_AFTER_BIN = 0xC7  # codes below are binary (bin), codes above are strings (str)
FIRST_ARRAY_CODE = 0xDC  # codes from here on have a count field
FIRST_MAP_CODE = 0xDE
CODES = 256
UNUSABLE_CODES = frozenset((0xC1, 0xC7, 0xC8, 0xC9, 0xD4, 0xD5, 0xD6, 0xD7, 0xD8))  # unknown, extensions
# The size in bytes of the length field that follows the code of a binary (bin) or a string (str), and of the
# count field that follows the code of an array or a map.
FIELD_SIZES = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4, 0xDC: 2, 0xDD: 4, 0xDE: 2, 0xDF: 4}
# The number of bytes that follow the code of a number.
NUMBER_SIZES = {0xCA: 4, 0xCB: 8, 0xCC: 1, 0xCD: 2, 0xCE: 4, 0xCF: 8, 0xD0: 1, 0xD1: 2, 0xD2: 4, 0xD3: 8}


def _size_of(code: int) -> int:
    """Return how many bytes follow a code without a field: of a number or a short string."""
    if FIRST_SHORT_TEXT <= code < FIRST_CODE_AFTER_SHORT_TEXT:
        return code - FIRST_SHORT_TEXT
    return NUMBER_SIZES.get(code, 0)


def _members_of(code: int) -> int:
    """Return how many values follow a code without a field: of a short array or map."""
    if FIRST_SHORT_MAP <= code < FIRST_SHORT_ARRAY:
        return 2 * (code - FIRST_SHORT_MAP)
    if FIRST_SHORT_ARRAY <= code < FIRST_SHORT_TEXT:
        return code - FIRST_SHORT_ARRAY
    return 0


# By code, because every value of an untrusted message is looked up here.
SIZES = tuple(map(_size_of, range(CODES)))
MEMBERS = tuple(map(_members_of, range(CODES)))
HAS_FIELD = tuple(code in FIELD_SIZES or code in UNUSABLE_CODES for code in range(CODES))


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
    values: int = 256


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
            if not self.missing and not self._open[-1] and self._is_complete():
                return position - earlier
            if position == len(data):
                return None
            code = data[position]
            if HAS_FIELD[code]:
                size = 1 + FIELD_SIZES.get(code, 0)
                if position + size > len(data):
                    self._rest = data[position:]
                    return None
                self._begin_with_field(code, int.from_bytes(data[position + 1 : position + size], "big"))
                position += size
            else:
                self._begin(MEMBERS[code], SIZES[code])
                position += 1

    def _is_complete(self) -> bool:
        """Close the containers whose members have all arrived; return whether the message is complete."""
        while self._open and not self._open[-1]:
            self._open.pop()
        return not self._open

    def _begin(self, members: int, size: int) -> None:
        """Begin a value that is followed by `members` values or `size` bytes of its own."""
        self._open[-1] -= 1
        self._values += 1
        if self._values > self.limits.values:
            raise MalformedRpcError("it has too many values")
        self.missing = size
        if members:
            if len(self._open) > self.limits.depth:
                raise MalformedRpcError("it is nested too deeply")
            self._open.append(members)

    def _begin_with_field(self, code: int, field: int) -> None:
        """Begin a value whose code is followed by a length or a count field."""
        if code in UNUSABLE_CODES:
            raise MalformedRpcError("an extension type or an unknown code")
        if code >= FIRST_ARRAY_CODE:
            if field > self.limits.members:
                raise MalformedRpcError(f"it announces {field} members")
            self._begin(2 * field if code >= FIRST_MAP_CODE else field, 0)
            return
        if field > (self.limits.body if code < FIRST_CODE_AFTER_BIN else self.limits.text):
            raise MalformedRpcError(f"it announces {field} bytes")
        self._begin(0, field)
