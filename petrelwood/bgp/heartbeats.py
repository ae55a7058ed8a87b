"""Heartbeats: what a dispatcher says of itself to the speaker beside it, over a datagram socket.

They are sent from the dispatcher's own loop, so that one that hangs falls silent; a speaker that is away
costs it nothing."""

import socket

import msgpack

from petrelwood.decide.bgp.service_health import HealthReport
from petrelwood.links.unix_socket import UnixSocket

HEARTBEAT_SECONDS = 0.05  # seconds between heartbeats


class HeartbeatSender:
    """In the dispatcher. `path`: the speaker's socket."""

    def __init__(self, path):
        self.path, self.sock, self.lost = path, None, 0

    def send(self, facts):
        try:
            if self.sock is None:
                self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
                self.sock.setblocking(False)
                self.sock.connect(self.path)
            self.sock.send(msgpack.packb([1, *facts]))
        except OSError:  # away, or slow: the next one says the same or more
            self.lost += 1
            self.close()

    def close(self):
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class HeartbeatReceiver:
    """In the speaker: `heard(HealthReport)` for each heartbeat."""

    def __init__(self, path, loop, heard):
        self.loop, self.heard, self.wrong = loop, heard, 0
        self.bound = UnixSocket(path, socket.SOCK_DGRAM)
        self.sock = self.bound.sock
        self.resumption = None
        self._listen()

    def _listen(self):
        self.resumption = None
        self.loop.add_reader(self.sock.fileno(), self._read)

    def _read(self):
        for _ in range(64):
            try:
                data = self.sock.recv(4096)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:  # the socket stays readable: the loop would come back at once
                self.loop.remove_reader(self.sock.fileno())
                self.resumption = self.loop.call_later(HEARTBEAT_SECONDS, self._listen)
                return
            try:
                version, *facts = msgpack.unpackb(data)
                if (
                    version != 1
                    or len(facts) != len(HealthReport._fields)
                    or not all(isinstance(f, (int, bool)) for f in facts)
                ):
                    raise ValueError
            except (ValueError, TypeError, msgpack.UnpackException):
                self.wrong += 1
                continue
            self.heard(HealthReport(*facts))

    def close(self):
        self.loop.remove_reader(self.sock.fileno())
        if self.resumption is not None:
            self.resumption.cancel()
        self.bound.close()
