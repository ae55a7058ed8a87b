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

from petrelwood.links.errors import MalformedRpcError

__all__ = [
    "NOTIFICATION",
    "REQUEST",
    "RESPONSE",
    "MalformedRpcError",
    "Message",
    "Notification",
    "Reader",
    "Request",
    "Response",
    "notification",
    "request",
    "response",
    "to_message",
]

REQUEST = 0
RESPONSE = 1
NOTIFICATION = 2
REQUEST_FIELDS = 4
RESPONSE_FIELDS = 4
NOTIFICATION_FIELDS = 3
MESSAGE_IDS = 1 << 32  # the number of message ids, which have 32 bits
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
    """Decodes the stream of bytes of a trusted peer into messages.

    Args:
        max_size: The maximum size of one message, in bytes.
    """

    def __init__(self, max_size: int) -> None:
        self._max_size = max_size
        self._fed = 0  # bytes received
        self._decoded = 0  # bytes of all complete messages
        self._unpacker = msgpack.Unpacker(raw=False, max_buffer_size=max_size, strict_map_key=False)

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that these bytes complete.

        Raises:
            MalformedRpcError: The bytes are not MessagePack-RPC, or a message is too large.
        """
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
        # msgpack bounds the bytes that it has not read yet, but not what it has decoded of them
        if self._fed - self._decoded > self._max_size:
            raise MalformedRpcError("the message is too large")
        return [to_message(value) for value in values]


def to_message(value: object) -> Message:
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
