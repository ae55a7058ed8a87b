"""MessagePack-RPC on a byte stream, for clients and servers.

Specification: https://github.com/msgpack-rpc/msgpack-rpc/blob/master/spec.md

    request [0, message id, method, params]
    response [1, message id, error, result]
    notification [2, method, params]

Anything else, or a message that exceeds the limits, raises `MalformedRpcError`. After it, the rest of the
stream can't be decoded.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple, TypeGuard

import msgpack

from petrelwood.links.announced_lengths import AnnouncedLengths, MessageLimits
from petrelwood.links.errors import MalformedRpcError

__all__ = [
    "NOTIFICATION",
    "REQUEST",
    "RESPONSE",
    "MalformedRpcError",
    "Message",
    "MessageLimits",
    "Notification",
    "Reader",
    "Request",
    "Response",
    "notification",
    "request",
    "response",
]

REQUEST = 0
RESPONSE = 1
NOTIFICATION = 2
REQUEST_FIELDS = 4
RESPONSE_FIELDS = 4
NOTIFICATION_FIELDS = 3
MESSAGE_IDS = 1 << 32  # the number of message ids, which have 32 bits
FIRST_BUFFER_SIZE = 4096  # the initial buffer size of a reader with limits, in bytes
_pack = msgpack.Packer(use_bin_type=True, autoreset=True).pack


class Request(NamedTuple):
    """A call that the peer answers with a response of the same id."""

    kind: int
    message_id: int
    method: str
    params: list[Any]


class Response(NamedTuple):
    """The answer to the request with this id; `error` is None if the call succeeded."""

    kind: int
    message_id: int
    error: object
    result: object


class Notification(NamedTuple):
    """A call without an answer."""

    kind: int
    method: str
    params: list[Any]


Message = Request | Response | Notification


def request(message_id: object, method: str, params: Sequence[object]) -> bytes:
    """Return the bytes of a request."""
    data: bytes = _pack([REQUEST, message_id, method, params])
    return data


def response(message_id: int, error: object, result: object) -> bytes:
    """Return the bytes of a response."""
    data: bytes = _pack([RESPONSE, message_id, error, result])
    return data


def notification(method: str, params: Sequence[object]) -> bytes:
    """Return the bytes of a notification."""
    data: bytes = _pack([NOTIFICATION, method, params])
    return data


class Reader:
    """Decodes a stream of bytes into messages.

    Args:
        max_size: The maximum size of one message, in bytes.
        limits: Limits on the contents of a message. With them, a message that is too large is rejected by the
            lengths that it announces, before it is complete.
    """

    def __init__(self, max_size: int, limits: MessageLimits | None = None) -> None:
        self._limits = limits
        self._fed = 0  # bytes received
        self._decoded = 0  # bytes of all complete messages
        self._lengths: AnnouncedLengths | None = None  # of the incomplete message, if there is one
        self._unpacker = _unpacker(max_size, limits)

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that these bytes complete.

        Raises:
            MalformedRpcError: The bytes are not MessagePack-RPC, or a message exceeds the limits.
        """
        values = self._unpack(data)
        if values:
            self._lengths = None
        if self._limits is not None and self._decoded != self._fed:
            if self._lengths is None:  # a new message has begun
                self._lengths = AnnouncedLengths(self._limits)
            self._lengths.feed(data[self._decoded - self._fed :])
        return [_message(value) for value in values]

    def _unpack(self, data: bytes) -> list[object]:
        values = []
        try:
            self._fed += len(data)
            self._unpacker.feed(data)
            for value in self._unpacker:
                values.append(value)
                # read here, because `tell` also counts the bytes read of the next, incomplete message
                self._decoded = self._unpacker.tell()
        # msgpack raises many types of exceptions for malformed input, such as ValueError
        except Exception as error:
            raise MalformedRpcError(f"not MessagePack: {error!r}") from error
        return values

    def is_between_messages(self) -> bool:
        """Return whether all received bytes belong to complete messages."""
        return self._decoded == self._fed


def _unpacker(max_size: int, limits: MessageLimits | None) -> msgpack.Unpacker:
    if limits is None:
        return msgpack.Unpacker(raw=False, max_buffer_size=max_size, strict_map_key=False)
    return msgpack.Unpacker(
        raw=False,
        max_buffer_size=max_size,
        read_size=FIRST_BUFFER_SIZE,  # small because there may be hundreds of such peers
        max_bin_len=limits.body,
        max_str_len=limits.text,
        max_array_len=limits.members,
        max_map_len=limits.members,
        max_ext_len=0,
    )


def _message(value: object) -> Message:
    """Return a decoded value as a message. Raises MalformedRpcError."""
    if isinstance(value, list) and value:
        kind = value[0]
        if kind == RESPONSE:
            if len(value) == RESPONSE_FIELDS and _is_message_id(value[1]):
                return Response(*value)
        elif kind == REQUEST:
            if len(value) == REQUEST_FIELDS and _is_message_id(value[1]) and _is_call(value[2:]):
                return Request(*value)
        elif kind == NOTIFICATION and len(value) == NOTIFICATION_FIELDS and _is_call(value[1:]):
            return Notification(*value)
    raise MalformedRpcError("not a MessagePack-RPC message")


def _is_call(method_and_params: Sequence[object]) -> bool:
    method, params = method_and_params
    return isinstance(method, str) and isinstance(params, list)


def _is_message_id(value: object) -> TypeGuard[int]:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < MESSAGE_IDS
