"""The connection of one session to the broker: handshake, reading and writing packets, keep-alive."""

import asyncio
import enum
from collections.abc import Callable, Iterator

from tornado.iostream import IOStream, SSLIOStream

from petrelwood.errors import TransportError
from petrelwood.fronts.interfaces import MqttTerms
from petrelwood.links import packets, sockets

SECOND = 1_000_000_000  # ns
READ_SIZE = 65_536  # the maximum number of bytes per read from the connection
FIRST_READ_SIZE = 2  # bytes per read until the CONNACK is complete; small, to leave later packets unread
PING_DIVISOR = 2  # a PINGREQ is sent after a silence of the keep-alive divided by this
PING_INTERVAL_DIVISOR = 4  # the minimum interval of PINGREQs is the keep-alive divided by this


class BrokerError(TransportError):
    """The broker rejected or closed the connection."""


class KeepAlive(enum.Enum):
    """The action due after a silence of the broker."""

    NOTHING = enum.auto()
    PING = enum.auto()
    CLOSE = enum.auto()


class MqttConnection:
    """The connection of the session `client_id`, reopened after each loss. `now` is the core's clock."""

    def __init__(self, terms: MqttTerms, client_id: str, now: Callable[[], int]) -> None:
        self.terms = terms
        self.stream: IOStream | None = None
        self.is_up = False  # whether the broker has accepted the connection
        self._client_id = client_id
        self._now = now
        self._reader = packets.Reader(terms.max_packet_size)
        self._last_read_at = 0  # ns
        self._pinged_at = 0  # ns

    @property
    def timeout(self) -> float:
        """The timeout of connecting and of each step of the handshake, in seconds."""
        return self.terms.connect_within / SECOND

    async def open(self) -> packets.Packet:
        """Connect, and return the broker's CONNACK.

        Raises:
            BrokerError: The broker rejected the session.
            OSError: The connection failed or timed out.
            packets.MqttError: The broker violated the standard.
        """
        stream = await self._connect()
        sockets.disable_delay(stream.socket)
        self._reader = packets.Reader(self.terms.max_packet_size)
        self.write(self._connect_packet())
        # a broker may accept the TCP connection and never answer
        async with asyncio.timeout(self.timeout):
            accepted = await self._first_packet(stream)
        if accepted.type != packets.CONNACK or accepted.code:
            raise BrokerError(f"the broker answered {accepted!r}")
        self.is_up = True
        self._last_read_at = self._now()
        self._pinged_at = 0
        return accepted

    async def _connect(self) -> IOStream:
        terms = self.terms
        host, _ = terms.broker
        name = None
        if terms.tls is None:
            self.stream = IOStream(sockets.new_socket(host))
        else:
            self.stream = SSLIOStream(sockets.new_socket(host), ssl_options=terms.tls.client())
            name = terms.tls.server_name(host)
        # `asyncio.wait_for` would lose a cancellation that arrives as the connection is established
        async with asyncio.timeout(self.timeout):
            await self.stream.connect(terms.broker, server_hostname=name)
        return self.stream

    def _connect_packet(self) -> packets.Packet:
        terms = self.terms
        return packets.Packet(
            packets.CONNECT,
            client=self._client_id,
            clean=0,
            keep_alive=terms.keep_alive // SECOND,
            user=terms.user,
            password=terms.password,
            props={
                "session_expiry": terms.session // SECOND,
                "receive_maximum": terms.max_window,
                "maximum_packet": terms.max_packet_size,
            },
        )

    async def _first_packet(self, stream: IOStream) -> packets.Packet:
        while True:
            for packet in self._reader.feed(await stream.read_bytes(FIRST_READ_SIZE, partial=True)):
                return packet

    async def read(self) -> Iterator[packets.Packet]:
        """Return the packets that the next bytes complete.

        Raises:
            OSError: The connection was lost.
            packets.MqttError: The broker violated the standard; raised during the iteration.
        """
        if self.stream is None:
            raise BrokerError("there is no connection to the broker")
        data = await self.stream.read_bytes(READ_SIZE, partial=True)
        self._last_read_at = self._now()
        return self._reader.feed(data)

    def write(self, *sent: packets.Packet) -> None:
        """Write packets in one write. Without a connection they are dropped; the reconnect handles that."""
        if self.stream is None or self.stream.closed():
            return
        written = self.stream.write(b"".join(map(packets.encode, sent)))
        written.add_done_callback(lambda done: done.exception())  # the reading task handles the error

    def check_keep_alive(self, now: int) -> KeepAlive:
        """Return the action due: nothing, a PINGREQ, or closing the connection to a silent broker."""
        if not self.is_up:
            return KeepAlive.NOTHING
        silence = now - self._last_read_at
        if silence > self.terms.keep_alive:
            return KeepAlive.CLOSE
        is_ping_old = now - self._pinged_at > self.terms.keep_alive // PING_INTERVAL_DIVISOR
        if silence > self.terms.keep_alive // PING_DIVISOR and is_ping_old:
            self._pinged_at = now
            return KeepAlive.PING
        return KeepAlive.NOTHING

    def drop(self) -> None:
        """Close the stream; the reading task then handles the lost connection."""
        if self.stream is not None:
            self.stream.close()

    def lost(self) -> bool:
        """Close the connection; return whether the broker had accepted it."""
        self.drop()
        was_up = self.is_up
        self.is_up = False
        return was_up
