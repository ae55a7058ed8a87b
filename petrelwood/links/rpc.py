"""MessagePack-RPC on a byte stream, for both ends: https://github.com/msgpack-rpc/msgpack-rpc/blob/master/spec.md

    request [0, msgid, method, params]   response [1, msgid, error, result]   notification [2, method, params]

A peer that sends anything else, or a message over the bound, is not understood any more: `Garbage`.
"""
from typing import NamedTuple

import msgpack

REQUEST, RESPONSE, NOTICE = 0, 1, 2
FIRST = 4096               # bytes that a bounded reader's buffer begins with
_pack = msgpack.Packer(use_bin_type=True, autoreset=True).pack


class Parts(NamedTuple):
    """Bytes of a body and of a text, members of an array or map: the most of each in one message."""
    body: int
    text: int
    members: int


class Garbage(Exception):
    """The peer does not speak the protocol."""


def request(msgid, method, params):
    return _pack([REQUEST, msgid, method, params])


def response(msgid, error, result):
    return _pack([RESPONSE, msgid, error, result])


def notice(method, params):
    return _pack([NOTICE, method, params])


class Reader:
    """Bytes to messages. `most`: bytes of one message. `parts`: bounds on what a message may hold (`Parts`), so that one that is
    too large is told from the lengths that it announces, before it is here."""

    def __init__(self, most, parts=None):
        self.fed, self.ended = 0, 0
        if parts is None:
            self.unpacker = msgpack.Unpacker(raw=False, max_buffer_size=most, strict_map_key=False)
        else:                                            # its buffer begins small: there may be hundreds of such peers
            self.unpacker = msgpack.Unpacker(
                raw=False, max_buffer_size=most, read_size=FIRST, max_bin_len=parts.body, max_str_len=parts.text,
                max_array_len=parts.members, max_map_len=parts.members, max_ext_len=0)

    def feed(self, data):
        """The messages that are whole now, each a checked list."""
        try:
            self.fed += len(data)
            self.unpacker.feed(data)
            messages = []
            for message in self.unpacker:
                messages.append(message)
                self.ended = self.unpacker.tell()        # which also counts what it has read of a message that is not whole
        except Exception as fault:            # msgpack raises many kinds for malformed input, ValueError among them
            raise Garbage(f"not MessagePack: {fault!r}") from None
        for message in messages:
            if not _shape(message):
                raise Garbage("not a MessagePack-RPC message")
        return messages

    def whole(self):
        """Whether nothing of a further message is here."""
        return self.ended == self.fed


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
