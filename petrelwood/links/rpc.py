"""MessagePack-RPC on a byte stream, for both ends:
https://github.com/msgpack-rpc/msgpack-rpc/blob/master/spec.md

    request [0, msgid, method, params]   response [1, msgid, error, result]   notification [2, method, params]

A peer that sends anything else, or a message over the bound, is not understood any more: `Garbage`.
"""

from typing import NamedTuple

import msgpack

REQUEST, RESPONSE, NOTICE = 0, 1, 2
FIRST = 4096  # bytes that a bounded reader's buffer begins with
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


# Bytes that follow a code of MessagePack, and how many of them tell the length of a text (str) or a body
# (bin).
_FOLLOW = {
    0xCA: 4,
    0xCB: 8,
    0xCC: 1,
    0xCD: 2,
    0xCE: 4,
    0xCF: 8,
    0xD0: 1,
    0xD1: 2,
    0xD2: 4,
    0xD3: 8,
    0xDC: 2,
    0xDD: 4,
    0xDE: 2,
    0xDF: 4,
}
_TELL = {0xC4: 1, 0xC5: 2, 0xC6: 4, 0xD9: 1, 0xDA: 2, 0xDB: 4}
_EXTENSIONS = frozenset((0xC7, 0xC8, 0xC9, 0xD4, 0xD5, 0xD6, 0xD7, 0xD8))


class Lengths:
    """Reads what a message that is not whole yet announces, as its bytes come: msgpack itself tells a text or
    a body that is too long only once it is there."""

    def __init__(self, parts):
        self.parts, self.skip, self.rest = parts, 0, b""

    def feed(self, data):
        """Raises `Garbage` at a length over the bounds."""
        data, at = self.rest + data, 0
        while True:
            step = min(self.skip, len(data) - at)
            at, self.skip = at + step, self.skip - step
            if at == len(data):
                self.rest = b""
                return
            code, tell = data[at], _TELL.get(data[at], 0)
            if at + 1 + tell > len(data):
                self.rest = data[at:]
                return
            if code in _EXTENSIONS:
                raise Garbage("an extension type")
            if 0xA0 <= code <= 0xBF:
                self.skip = code & 0x1F
            elif tell:
                self.skip = int.from_bytes(data[at + 1 : at + 1 + tell], "big")
                if self.skip > (self.parts.body if code < 0xC7 else self.parts.text):
                    raise Garbage(f"it announces {self.skip} bytes")
            else:
                self.skip = _FOLLOW.get(code, 0)
            at += 1 + tell


class Reader:
    """Bytes to messages. `most`: bytes of one message. `parts`: bounds on what a message may hold (`Parts`),
    so that one that is too large is told from the lengths that it announces, before it is here."""

    def __init__(self, most, parts=None):
        self.fed, self.ended, self.parts, self.lengths = 0, 0, parts, None
        if parts is None:
            self.unpacker = msgpack.Unpacker(raw=False, max_buffer_size=most, strict_map_key=False)
        # its buffer begins small: there may be hundreds of such peers
        else:
            self.unpacker = msgpack.Unpacker(
                raw=False,
                max_buffer_size=most,
                read_size=FIRST,
                max_bin_len=parts.body,
                max_str_len=parts.text,
                max_array_len=parts.members,
                max_map_len=parts.members,
                max_ext_len=0,
            )

    def feed(self, data):
        """The messages that are whole now, each a checked list."""
        try:
            self.fed += len(data)
            self.unpacker.feed(data)
            messages = []
            for message in self.unpacker:
                messages.append(message)
                # which also counts what it has read of a message that is not whole
                self.ended = self.unpacker.tell()
        # msgpack raises many kinds for malformed input, ValueError among them
        except Exception as fault:
            raise Garbage(f"not MessagePack: {fault!r}") from None
        if messages:
            self.lengths = None
        if self.parts is not None and not self.whole():
            if self.lengths is None:  # another one has begun
                self.lengths = Lengths(self.parts)
            self.lengths.feed(data[-(self.fed - self.ended) :])
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
