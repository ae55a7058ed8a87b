"""Client connections that misuse a dispatcher: unfinished requests, unread answers, requests at full speed.

`Crowd` keeps a number of such connections in use from the event loop of the test. `python hostile_clients.py
HOST PORT SECONDS SHAPE` floods over one connection, at full speed, from a process of its own.
"""

import asyncio
import contextlib
import itertools
import pathlib
import re
import select
import socket
import sys
import time

import msgpack
from node_site import ask

MAX_BODY = 16_384  # bytes, the limit of the protocol
MAX_FRAME = 32_768  # bytes that a dispatcher accepts as one message
SEND_SIZE = 65_536  # bytes of one write of a flood
SELECT_TIMEOUT = 0.05  # s
ROUND_SECONDS = 0.01  # between two rounds over a crowd
CONNECTIONS_PER_ROUND = 20
OPEN_REQUESTS = 32  # of one connection, the limit of the protocol
FLOOD_REQUESTS = 64  # in the text that a flood repeats
NUMBER_FIELD = 0x40404040  # the message id in the text of a flood
PLACEHOLDER = re.compile(rb"@@@@@@@@|\xce@@@@")  # of names and message ids, new in each repetition


def private_memory(pid):
    """Return the private memory of a process in bytes."""
    lines = pathlib.Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()
    return 1024 * sum(int(line.split()[1]) for line in lines if line.startswith("Private_"))


def request_head(members=2):
    """Return the first bytes of a request to which `members` parameters belong."""
    return b"\x94\x00\x01\xa5plain\xdc" + members.to_bytes(2, "big")


def begun():
    """Return the first bytes of a request."""
    return request_head() + b"\x8a\xa4call"


def large():
    """Return a request with the largest body, without its last bytes."""
    return msgpack.packb([0, 1, "plain", [ask(fn=1), b"x" * MAX_BODY]])[:-10]


def many_fields():
    """Return an unfinished request with as many short fields as a map may have, the last one too long."""
    fields = b"".join(msgpack.packb(f"k{n}") + msgpack.packb(f"v{n}") for n in range(63))
    return request_head() + b"\xde\x00\x40" + fields + b"\xa1k\xda\x04\x00" + b"v" * 1000


def nested(leaf=b"\x80"):
    """Return an unfinished request, smaller than the largest frame, of empty maps in arrays in arrays."""
    inner = b"\xdc\x00\x40" + leaf * 64
    middle = b"\xdc\x00\x40" + inner * 64
    return (request_head(64) + middle * 8)[: MAX_FRAME - 100]


def wide_texts():
    """Return an unfinished request of texts that take four bytes a character once they are decoded."""
    text = "\U0001f600".encode() + b"a" * 1000
    return (request_head(64) + (b"\xda" + len(text).to_bytes(2, "big") + text) * 40)[: MAX_FRAME - 100]


def answers_of(fn, size):
    """Return a function that makes as many requests as one connection may have open, with large answers."""

    def make():
        calls = [[0, n, "plain", [ask(fn=fn), b"x" * size]] for n in range(1, OPEN_REQUESTS + 1)]
        return b"".join(map(msgpack.packb, calls))

    return make


class Crowd:
    """A number of connections that each write one text, read nothing, and connect again when closed."""

    def __init__(self, address, size, texts):
        self.address = address
        self.size = size
        self.texts = itertools.cycle(texts)
        self.connections = {}  # socket -> bytes that are still to be written
        self.closed = 0  # connections that the dispatcher has closed

    async def run(self, seconds):
        """Use the connections for a time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self._connect()
            for sock, rest in list(self.connections.items()):
                self._write(sock, rest)
            await asyncio.sleep(ROUND_SECONDS)

    def _connect(self):
        for _ in range(min(CONNECTIONS_PER_ROUND, self.size - len(self.connections))):
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            with contextlib.suppress(BlockingIOError):
                sock.connect(self.address)
            self.connections[sock] = next(self.texts)()

    def _write(self, sock, rest):
        try:
            if rest:
                self.connections[sock] = rest[sock.send(rest) :]
            elif not sock.send(b"", socket.MSG_DONTWAIT) and _has_ended(sock):
                self._drop(sock)
        except BlockingIOError:
            pass
        except OSError:
            self._drop(sock)

    def _drop(self, sock):
        self.closed += 1
        del self.connections[sock]
        sock.close()

    def close(self):
        """Close all connections."""
        for sock in self.connections:
            sock.close()
        self.connections.clear()


def _has_ended(sock):
    """Return whether the other side has closed a connection, as far as no unread data hides it."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False


FLOODS = {
    "cancel": lambda n: [2, "cancel", [n]],
    "health": lambda n: [0, n, "health", [{}]],
    "unknown class": lambda n: [0, n, "@@@@@@@@", [{}, b""]],
    "unknown tenant": lambda n: [0, n, "plain", [ask(fn=1, org="@@@@@@@@"), b""]],
    "new function": lambda n: [
        0,
        n,
        "plain",
        [ask(call="00000000@@@@@@@@", row="00000000@@@@@@@@"), b""],
    ],
    "no time": lambda n: [0, n, "plain", [ask(fn=1, ttl=1, call="00000000@@@@@@@@"), b""]],
    "new figures": lambda n: [0, n, "plain", [ask(fn=1, facts="lanes:1;@@@@@@@@:1"), b""]],
}


def flood(address, seconds, shape):
    """Send requests of one shape at full speed over one connection at a time, and read the answers."""
    text = b"".join(msgpack.packb(FLOODS[shape](NUMBER_FIELD)) for _ in range(FLOOD_REQUESTS))
    numbers = itertools.count(1)
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        with contextlib.suppress(OSError), socket.create_connection(address, 1.0) as sock:
            _flood_connection(sock, text, numbers, until)


def _fill_in(found, number):
    """Return what replaces a placeholder."""
    return b"%08x" % number if found[0][0] == ord("@") else b"\xce" + number.to_bytes(4, "big")


def _flood_connection(sock, text, numbers, until):
    """Write and read as fast as the connection takes it, until it ends."""
    sock.setblocking(False)
    view = memoryview(b"")
    while time.monotonic() < until:
        if not view:
            chunk = b""
            while len(chunk) < SEND_SIZE:
                chunk += PLACEHOLDER.sub(lambda found: _fill_in(found, next(numbers)), text)
            view = memoryview(chunk)
        readable, writable, _ = select.select([sock], [sock], [], SELECT_TIMEOUT)
        if readable and not sock.recv(1 << 20):
            return
        if writable:
            view = view[sock.send(view) :]


if __name__ == "__main__":
    flood((sys.argv[1], int(sys.argv[2])), float(sys.argv[3]), sys.argv[4])
