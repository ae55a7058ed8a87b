"""Decodes the streams of untrusted peers into messages, without keeping decoded parts of incomplete ones.

A connection in the middle of a message takes the bytes of that message and little more: the decoder, of some
40 KB, is shared by all connections.
"""

from typing import NamedTuple

import msgpack

from petrelwood.links import rpc
from petrelwood.links.errors import MalformedRpcError
from petrelwood.links.message_boundary import MessageBoundary, MessageLimits

__all__ = ["BoundedReader", "MessageDecoder", "MessageLimits"]

MAX_DATA_SIZE = 1 << 20  # bytes that a decoder is given at once
FIRST_BUFFER_SIZE = 4_096  # bytes; by default it is as large as the maximum


class DecodedData(NamedTuple):
    """The messages in some data, and the bytes of the incomplete message at its end."""

    messages: list[rpc.Message]
    rest: bytes


class MessageDecoder:
    """Decodes complete messages within limits, for any number of connections."""

    def __init__(self, limits: MessageLimits) -> None:
        self.limits = limits
        self._unpacker: msgpack.Unpacker | None = None  # one that has read complete messages only

    def decode(self, data: bytes) -> DecodedData:
        """Decode data that begins with a message.

        Raises:
            MalformedRpcError: The bytes are not MessagePack-RPC, or a complete message exceeds the limits.
        """
        unpacker = self._unpacker or self._new_unpacker()
        self._unpacker = None
        begin = end = unpacker.tell()
        values = []
        try:
            unpacker.feed(data)
            for value in unpacker:
                values.append(value)
                # read here, because `tell` also counts the bytes read of the next, incomplete message
                end = unpacker.tell()
        # msgpack raises many types of exceptions for malformed input, such as ValueError
        except Exception as error:
            raise MalformedRpcError(f"not MessagePack: {error!r}") from error
        rest = data[end - begin :]
        if not rest:
            self._unpacker = unpacker
        return DecodedData([rpc.to_message(value) for value in values], rest)

    def _new_unpacker(self) -> msgpack.Unpacker:
        return msgpack.Unpacker(
            raw=False,
            max_buffer_size=MAX_DATA_SIZE,
            read_size=FIRST_BUFFER_SIZE,
            max_bin_len=self.limits.body,
            max_str_len=self.limits.text,
            max_array_len=self.limits.members,
            max_map_len=self.limits.members,
            max_ext_len=0,
        )


class BoundedReader:
    """Decodes the stream of bytes of one connection into messages.

    Args:
        decoder: The decoder, with the limits on the contents of a message. An incomplete message that exceeds
            them is rejected by the lengths that it announces.
        max_size: The maximum size of one message, in bytes.
    """

    __slots__ = ("_boundary", "_decoder", "_max_size", "_partial")

    def __init__(self, decoder: MessageDecoder, max_size: int) -> None:
        self._decoder = decoder
        self._max_size = max_size
        self._partial = bytearray()  # the bytes of the incomplete message
        self._boundary: MessageBoundary | None = None  # of the incomplete message, if there is one

    @property
    def size(self) -> int:
        """The number of bytes that are kept of an incomplete message."""
        return len(self._partial)

    @property
    def missing(self) -> int:
        """The number of bytes that the current value of the incomplete message still needs."""
        return 0 if self._boundary is None else self._boundary.missing

    def is_between_messages(self) -> bool:
        """Return whether all received bytes belong to complete messages."""
        return self._boundary is None

    def feed(self, data: bytes) -> list[rpc.Message]:
        """Return the messages that these bytes complete.

        Raises:
            MalformedRpcError: The bytes are not MessagePack-RPC, or a message exceeds the limits.
        """
        messages = []
        if self._boundary is not None:
            end = self._boundary.feed(data)
            if end is None:
                self._keep(data)
                return []
            messages = self._decoder.decode(bytes(self._partial + data[:end])).messages
            data = data[end:]
            self.clear()
        if data:
            decoded = self._decoder.decode(data)
            messages += decoded.messages
            self._begin(decoded.rest)
        return messages

    def clear(self) -> None:
        """Drop the incomplete message."""
        self._boundary = None
        self._partial = bytearray()

    def _begin(self, data: bytes) -> None:
        """Keep the bytes of a message that has begun, if there are any."""
        if not data:
            return
        self._boundary = MessageBoundary(self._decoder.limits)
        if self._boundary.feed(data) is not None:
            raise MalformedRpcError("the end of a message is unclear")
        self._keep(data)

    def _keep(self, data: bytes) -> None:
        self._partial += data
        if len(self._partial) > self._max_size:
            raise MalformedRpcError("the message is too large")
