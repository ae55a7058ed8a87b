"""A client for MessagePack-RPC: one connection, opened when needed and again after it is lost."""

import asyncio
from typing import Any

from tornado.iostream import IOStream, StreamBufferFullError

from petrelwood.errors import TransportError
from petrelwood.links import rpc, sockets

READ_SIZE = 65_536  # the maximum number of bytes per read from the socket
MAX_OPEN_CALLS = 64  # the maximum number of unanswered calls; further calls fail at once
MESSAGE_ID_MASK = 0xFFFFFFFF
Answer = asyncio.Future[tuple[object, object]]  # the error and the result of a response


class RpcError(TransportError):
    """A call got no usable answer; it is unknown whether it was executed."""


class RpcClient:
    """Calls the server at `address` (host, port). `max_size`: the maximum size of a message, in bytes."""

    def __init__(self, address: tuple[str, int], max_size: int) -> None:
        self.address = address
        self.messages = 0  # sent and received
        self.bytes = 0  # sent and received
        self._max_size = max_size
        self._stream: IOStream | None = None
        self._connecting = asyncio.Lock()
        self._open_calls: dict[int, Answer] = {}
        self._last_id = 0
        self._received = 0  # bytes
        self._listening: asyncio.Task[None] | None = None

    async def call(self, method: str, params: list[Any], within: float) -> object:
        """Call a method and return its result. Raises `RpcError`, also after `within` seconds without one."""
        received = self._received
        try:
            # `asyncio.wait_for` would lose a cancellation that arrives as the call ends
            async with asyncio.timeout(within):
                return await self._call(method, params)
        except TimeoutError as error:
            if received == self._received:
                self._close_unresponsive_connection()
            raise RpcError("no answer in time") from error
        except (StreamBufferFullError, OSError) as error:
            raise RpcError(str(error) or "the connection is lost") from error

    async def _call(self, method: str, params: list[Any]) -> object:
        if len(self._open_calls) >= MAX_OPEN_CALLS:
            raise RpcError("too many calls have no answer")
        stream = await self._connected()
        self._last_id = (self._last_id + 1) & MESSAGE_ID_MASK
        message_id = self._last_id
        answer: Answer = asyncio.get_running_loop().create_future()
        self._open_calls[message_id] = answer
        try:
            frame = rpc.request(message_id, method, params)
            self.messages += 1
            self.bytes += len(frame)
            await stream.write(frame)
            error, result = await answer
        finally:
            self._open_calls.pop(message_id, None)
        if error is not None:
            raise RpcError(str(error))
        return result

    async def _connected(self) -> IOStream:
        """Return the connection; open one if there is none. Raises OSError."""
        async with self._connecting:
            if self._stream is None or self._stream.closed():
                self._stream = await self._connect()
                self._listening = asyncio.get_running_loop().create_task(self._listen(self._stream))
            return self._stream

    async def _connect(self) -> IOStream:
        stream = IOStream(
            sockets.new_socket(self.address[0]),
            max_buffer_size=self._max_size + READ_SIZE,
            max_write_buffer_size=self._max_size,
        )
        try:
            await stream.connect(self.address)
            sockets.disable_delay(stream.socket)
        except BaseException:  # including the timeout of the caller
            stream.close()
            raise
        return stream

    async def _listen(self, stream: IOStream) -> None:
        reader = rpc.Reader(self._max_size)
        try:
            while True:
                data = await stream.read_bytes(READ_SIZE, partial=True)
                self.bytes += len(data)
                self._received += len(data)
                for message in reader.feed(data):
                    self.messages += 1
                    if isinstance(message, rpc.Response):
                        self._answered(message.message_id, message.error, message.result)
        except (
            OSError,  # Tornado raises some errors of the socket unchanged
            rpc.MalformedRpcError,
        ) as error:
            stream.close()
            if self._stream is stream:
                self._fail_open_calls(str(error) or "the connection is lost")

    def _answered(self, message_id: int, error: object, result: object) -> None:
        answer = self._open_calls.get(message_id)
        if answer is not None and not answer.done():
            answer.set_result((error, result))

    def _fail_open_calls(self, reason: str) -> None:
        for answer in list(self._open_calls.values()):
            if not answer.done():
                answer.set_exception(RpcError(reason))

    def _close_unresponsive_connection(self) -> None:
        """Close a connection that delivered no data during the whole timeout of a call.

        The peer may have disappeared without a FIN or RST. TCP detects this only after minutes of
        retransmissions, and no sooner if the peer's machine is back in the meantime.
        """
        if self._stream is not None:
            self._stream.close()

    def close(self) -> None:
        """Close the connection; unanswered calls fail."""
        if self._stream is not None:
            self._stream.close()
        self._fail_open_calls("closed")
