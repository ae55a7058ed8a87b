"""The data types in packets: integers, strings, binary data (section 1.5)."""

import struct

from petrelwood.links.mqtt.codes import ReasonCode
from petrelwood.links.mqtt.errors import MqttError

BYTE = struct.Struct(">B")
TWO_BYTES = struct.Struct(">H")
FOUR_BYTES = struct.Struct(">I")
MAX_TEXT_SIZE = 65_535  # bytes, because the length field has two bytes
# A variable byte integer has seven bits in each byte, least significant first. The highest bit is set if
# another byte follows.
VARINT_BITS = 7
VARINT_MASK = 0x7F
VARINT_MORE = 0x80
VARINT_SHIFTS = (7, 14, 21)  # of the second, third and fourth byte


def encode_varint(value: int) -> bytes:
    """Return the bytes of a variable byte integer."""
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
    """Return a UTF-8 string or binary data, prefixed by its length. Raises ValueError if it is too long."""
    raw = value if isinstance(value, bytes) else value.encode("utf-8")
    if len(raw) > MAX_TEXT_SIZE:
        raise ValueError("a string is longer than 65,535 bytes")
    return TWO_BYTES.pack(len(raw)) + raw


class BodyReader:
    """Reads one value after another from the body of a packet. All methods raise MqttError."""

    __slots__ = ("data", "position")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    @property
    def is_at_end(self) -> bool:
        """Whether all bytes have been read."""
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
        """Return all bytes that were not read yet."""
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
        raise MqttError(ReasonCode.MALFORMED, "a variable byte integer is longer than four bytes")

    def binary(self) -> bytes:
        """Return binary data that is prefixed by its length."""
        return self.take(self.two_bytes())

    def text(self) -> str:
        """Return a UTF-8 string that is prefixed by its length."""
        raw = self.binary()
        try:
            value = raw.decode("utf-8")
        except UnicodeDecodeError as error:
            raise MqttError(ReasonCode.MALFORMED, "a string is not UTF-8") from error
        if "\0" in value:
            raise MqttError(ReasonCode.MALFORMED, "a string contains a NUL")
        return value

    def identifier(self) -> int:
        """Return a packet identifier, which is never 0."""
        identifier = self.two_bytes()
        if not identifier:
            raise MqttError(ReasonCode.PROTOCOL, "the packet identifier is 0")
        return identifier
