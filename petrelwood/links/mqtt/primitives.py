"""The data types that packets are made of: integers, text, binary data (section 1.5)."""

import struct

from petrelwood.links.mqtt.codes import ReasonCode
from petrelwood.links.mqtt.errors import MqttError

BYTE = struct.Struct(">B")
TWO_BYTES = struct.Struct(">H")
FOUR_BYTES = struct.Struct(">I")
MAX_TEXT_SIZE = 65_535  # bytes: its length has two bytes
# A variable byte integer: seven bits in each byte, the lowest first; the highest says that one follows.
VARINT_BITS = 7
VARINT_MASK = 0x7F
VARINT_MORE = 0x80
VARINT_SHIFTS = (7, 14, 21)  # of the bytes after the first, three at most


def encode_varint(value: int) -> bytes:
    """Return a variable byte integer."""
    if value <= VARINT_MASK:
        return bytes((value,))
    encoded = bytearray()
    while True:
        byte = value & VARINT_MASK
        value >>= VARINT_BITS
        encoded.append(byte | (VARINT_MORE if value else 0))
        if not value:
            return bytes(encoded)


def encode_text(value: str | bytes) -> bytes:
    """Return a UTF-8 string or binary data with its length before it. Raises ValueError if it is too long."""
    raw = value if isinstance(value, bytes) else value.encode("utf-8")
    if len(raw) > MAX_TEXT_SIZE:
        raise ValueError("over 65,535 bytes")
    return TWO_BYTES.pack(len(raw)) + raw


class BodyReader:
    """Takes one value after the other from a packet's body. All methods raise MqttError."""

    __slots__ = ("data", "position")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    @property
    def is_at_end(self) -> bool:
        """Whether all of it has been taken."""
        return self.position == len(self.data)

    def take(self, size: int) -> bytes:
        """Return the next bytes."""
        start = self.position
        end = start + size
        if end > len(self.data):
            raise MqttError(ReasonCode.MALFORMED, "a packet ends too early")
        self.position = end
        return self.data[start:end]

    def rest(self) -> bytes:
        """Return what has not been taken yet."""
        return self.take(len(self.data) - self.position)

    def byte(self) -> int:
        """Return an integer of one byte."""
        position = self.position
        if position >= len(self.data):
            raise MqttError(ReasonCode.MALFORMED, "a packet ends too early")
        self.position = position + 1
        return self.data[position]

    def two_bytes(self) -> int:
        """Return an integer of two bytes."""
        return int.from_bytes(self.take(2), "big")

    def four_bytes(self) -> int:
        """Return an integer of four bytes."""
        return int.from_bytes(self.take(4), "big")

    def varint(self) -> int:
        """Return a variable byte integer."""
        value = self.byte()
        if not value & VARINT_MORE:
            return value
        value &= VARINT_MASK
        for shift in VARINT_SHIFTS:
            byte = self.byte()
            value |= (byte & VARINT_MASK) << shift
            if not byte & VARINT_MORE:
                return value
        raise MqttError(ReasonCode.MALFORMED, "a number of over four bytes")

    def binary(self) -> bytes:
        """Return binary data with its length before it."""
        return self.take(self.two_bytes())

    def text(self) -> str:
        """Return a UTF-8 string with its length before it."""
        raw = self.binary()
        try:
            value = raw.decode("utf-8")
        except UnicodeDecodeError as error:
            raise MqttError(ReasonCode.MALFORMED, "text that is not UTF-8") from error
        if "\0" in value:
            raise MqttError(ReasonCode.MALFORMED, "text with a NUL")
        return value

    def identifier(self) -> int:
        """Return a packet identifier, which is never 0."""
        identifier = self.two_bytes()
        if not identifier:
            raise MqttError(ReasonCode.PROTOCOL, "a packet identifier of 0")
        return identifier
