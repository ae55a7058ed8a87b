"""Heartbeats: health reports of a dispatcher to the speaker on the same machine, over a datagram socket.

The dispatcher sends them from its own event loop, so that a hung dispatcher sends none. Sending never blocks:
an absent or slow speaker doesn't delay the dispatcher.
"""

import socket

import msgpack

from petrelwood.decide.bgp.service_health import HealthReport
from petrelwood.links.unix_socket import UnixSocket

HEARTBEAT_SECONDS = 0.05  # seconds between heartbeats


class HeartbeatSender:
    """Sends the dispatcher's health reports. `path`: the speaker's socket."""

    def __init__(self, path):
        self.path, self.sock, self.lost = path, None, 0

    def send(self, facts):
        """Send one health report; count it in `lost` if the speaker doesn't take it."""
        try:
            if self.sock is None:
                self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
                self.sock.setblocking(False)
                self.sock.connect(self.path)
            self.sock.send(msgpack.packb([1, *facts]))
        except OSError:  # the speaker is absent or slow; the next heartbeat replaces this one
            self.lost += 1
            self.close()

    def close(self):
        """Close the socket; the next `send` opens another."""
        if self.sock is not None:
            self.sock.close()
            self.sock = None


class HeartbeatReceiver:
    """Receives heartbeats in the speaker and calls `on_report(HealthReport)` for each.

    `wrong` counts the datagrams that can't be decoded.
    """

    def __init__(self, path, loop, on_report):
        self.loop, self.on_report, self.wrong = loop, on_report, 0
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
            except OSError:  # pause reading: the socket stays readable, so the loop would call at once again
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
            self.on_report(HealthReport(*facts))

    def close(self):
        """Stop reading and close the socket."""
        self.loop.remove_reader(self.sock.fileno())
        if self.resumption is not None:
            self.resumption.cancel()
        self.bound.close()
