"""A connection of a hand-over over a Unix socket: length-prefixed messages, and file descriptors."""

import asyncio
import os
import socket
import struct
from collections.abc import Sequence

from petrelwood.dispatch.errors import MalformedMessageError, PeerLostError
from petrelwood.dispatch.handover import messages
from petrelwood.dispatch.handover.messages import Message

LENGTH = struct.Struct("<I")  # the prefix of each message: the size of its body
MAX_MESSAGE_SIZE = 1 << 20  # bytes
READ_SIZE = 65_536  # bytes per read of the socket, at most
MAX_DESCRIPTORS = 16  # file descriptors per read, at most


def _resolve(future: asyncio.Future[None]) -> None:
    if not future.done():
        future.set_result(None)


class Channel:
    """Sends and receives messages. `descriptors`: the file descriptors received and not yet taken."""

    def __init__(self, sock: socket.socket, loop: asyncio.AbstractEventLoop) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.loop = loop
        self.buffer = bytearray()
        self.descriptors: list[int] = []
        self.closed = False
        # many tasks send concurrently; messages must stay whole and in the order of the calls
        self.sending = asyncio.Lock()

    async def send(self, message: Message, descriptors: Sequence[int] = ()) -> None:
        """Send a message, with file descriptors attached.

        Raises:
            PeerLostError: The connection is broken.
        """
        body = messages.encode(message)
        data = LENGTH.pack(len(body)) + body
        try:
            # Descriptors are attached to the first bytes; a message with some fits the socket's buffer.
            if descriptors:
                socket.send_fds(self.sock, [data], list(descriptors))
            else:
                async with self.sending:
                    await self.loop.sock_sendall(self.sock, data)
        except OSError as fault:
            raise PeerLostError(str(fault)) from fault

    async def receive(self) -> Message:
        """Return the next message.

        Raises:
            PeerLostError: The connection is broken or was closed.
            MalformedMessageError: The received data is not a valid message of the protocol.
        """
        while (body := self._next_body()) is None:
            await self._read()
        return messages.decode(body)

    def _next_body(self) -> bytes | None:
        """Remove the next message from the buffer and return it, or return None if it is incomplete."""
        if len(self.buffer) < LENGTH.size:
            return None
        size = LENGTH.unpack_from(self.buffer)[0]
        if size > MAX_MESSAGE_SIZE:
            raise MalformedMessageError("a message exceeds the maximum size")
        end = LENGTH.size + size
        if len(self.buffer) < end:
            return None
        body = bytes(self.buffer[LENGTH.size : end])
        del self.buffer[:end]
        return body

    async def _wait_readable(self) -> None:
        ready = self.loop.create_future()
        self.loop.add_reader(self.sock.fileno(), _resolve, ready)
        try:
            await ready
        finally:
            if not self.closed:
                self.loop.remove_reader(self.sock.fileno())

    async def _read(self) -> None:
        while True:
            try:
                data, descriptors, _, _ = socket.recv_fds(self.sock, READ_SIZE, MAX_DESCRIPTORS)
                break
            except BlockingIOError:
                await self._wait_readable()
            except OSError as fault:
                raise PeerLostError(str(fault)) from fault
        self.descriptors += descriptors
        if not data:
            raise PeerLostError("the peer closed the connection")
        self.buffer += data

    def take_descriptors(self) -> list[int]:
        """Return the file descriptors received so far; the caller has to close them."""
        taken = self.descriptors
        self.descriptors = []
        return taken

    def close(self) -> None:
        """Close the connection, and the file descriptors that were not taken."""
        if not self.closed:
            self.closed = True
            # first, because the socket's descriptor may be reused once it is closed
            self.loop.remove_reader(self.sock.fileno())
            for descriptor in self.take_descriptors():
                os.close(descriptor)
            self.sock.close()
