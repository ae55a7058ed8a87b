"""Decoding of a stream of bytes into packets."""

from collections.abc import Iterator

from petrelwood.links.mqtt.codes import ReasonCode
from petrelwood.links.mqtt.decoding import decode
from petrelwood.links.mqtt.errors import MqttError
from petrelwood.links.mqtt.packet import Packet
from petrelwood.links.mqtt.primitives import VARINT_BITS, VARINT_MASK, VARINT_MORE

MAX_PACKET_SIZE = 1_000_000  # the default limit of a reader, in bytes
MAX_LENGTH_SIZE = 4  # the maximum size of the field Remaining Length, in bytes


class Reader:
    """Decodes a stream of bytes into packets of at most `max_size` bytes each."""

    def __init__(self, max_size: int = MAX_PACKET_SIZE) -> None:
        self.buffer = bytearray()
        self.max_size = max_size

    def feed(self, data: bytes) -> Iterator[Packet]:
        """Yield the packets that these bytes complete.

        Raises:
            MqttError: The peer violated the standard; the connection must be closed.
        """
        self.buffer += data
        start = 0
        try:
            while True:
                header_size, remaining_length = self._fixed_header(start)
                body_start = start + header_size
                end = body_start + remaining_length
                if not header_size or end > len(self.buffer):
                    return
                first_byte = self.buffer[start]
                body = bytes(self.buffer[body_start:end])
                start = end
                yield decode(first_byte, body)
        finally:
            del self.buffer[:start]

    def _fixed_header(self, start: int) -> tuple[int, int]:
        """Return the size of the fixed header at `start` and the Remaining Length; (0, 0) if incomplete."""
        length = 0
        for index in range(MAX_LENGTH_SIZE):
            position = start + 1 + index
            if position >= len(self.buffer):
                return 0, 0
            byte = self.buffer[position]
            length |= (byte & VARINT_MASK) << VARINT_BITS * index
            if not byte & VARINT_MORE:
                size = index + 2
                if length + size > self.max_size:
                    raise MqttError(ReasonCode.TOO_LARGE, f"a packet of {length} bytes is too large")
                return size, length
        raise MqttError(ReasonCode.MALFORMED, "the remaining length is longer than four bytes")
