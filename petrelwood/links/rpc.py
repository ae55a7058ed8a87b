"""MessagePack-RPC on a byte stream, for both ends: https://github.com/msgpack-rpc/msgpack-rpc/blob/master/spec.md

    request [0, msgid, method, params]   response [1, msgid, error, result]   notification [2, method, params]

A peer that sends anything else, or a message over the bound, is not understood any more: `Garbage`.
"""
import msgpack

REQUEST, RESPONSE, NOTICE = 0, 1, 2
_pack = msgpack.Packer(use_bin_type=True, autoreset=True).pack


class Garbage(Exception):
    """The peer does not speak the protocol."""


def request(msgid, method, params):
    return _pack([REQUEST, msgid, method, params])


def response(msgid, error, result):
    return _pack([RESPONSE, msgid, error, result])


def notice(method, params):
    return _pack([NOTICE, method, params])


class Reader:
    """Bytes to messages."""

    def __init__(self, most):
        self.unpacker = msgpack.Unpacker(raw=False, max_buffer_size=most, strict_map_key=False)

    def feed(self, data):
        """The messages that are whole now, each a checked list."""
        try:
            self.unpacker.feed(data)
            messages = list(self.unpacker)
        except Exception as fault:            # msgpack raises many kinds for malformed input, ValueError among them
            raise Garbage(f"not MessagePack: {fault!r}") from None
        for message in messages:
            if not _shape(message):
                raise Garbage("not a MessagePack-RPC message")
        return messages


def _shape(m):
    if not isinstance(m, list) or len(m) < 3:
        return False
    if m[0] == REQUEST:
        return len(m) == 4 and _id(m[1]) and isinstance(m[2], str) and isinstance(m[3], list)
    if m[0] == RESPONSE:
        return len(m) == 4 and _id(m[1])
    return m[0] == NOTICE and len(m) == 3 and isinstance(m[1], str) and isinstance(m[2], list)


def _id(value):
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < 1 << 32
