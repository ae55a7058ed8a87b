"""A caller's connection to a configuration server: MessagePack-RPC calls, answered as each completes."""

import asyncio
import contextlib
import time
from collections.abc import Awaitable, Callable
from typing import Any

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from petrelwood.control.messages import MAX_MESSAGE_SIZE
from petrelwood.control.tasks import BackgroundTasks
from petrelwood.errors import PetrelwoodError, ProtocolError
from petrelwood.links import rpc, sockets

READ_SIZE = 65_536  # bytes per read, at most
IDLE_TIMEOUT = 300.0  # seconds without incoming data after which a connection is closed
Handler = Callable[[str, list[Any]], Awaitable[list[Any]]]


class Connection:
    """One caller's connection.

    `handler(method, params)` returns the result of a call, or raises `PetrelwoodError`.
    """

    def __init__(self, stream: IOStream, handler: Handler, tasks: BackgroundTasks) -> None:
        self.last_read = time.monotonic_ns()
        self._stream = stream
        self._handler = handler
        self._tasks = tasks
        self._open_calls = 0

    @property
    def idle(self) -> bool:
        """Return whether no call is in flight."""
        return not self._open_calls

    async def serve(self) -> None:
        """Answer calls until the connection ends.

        Raises:
            OSError: the connection was lost, or no data arrived for `IDLE_TIMEOUT`.
            ProtocolError: the caller does not speak MessagePack-RPC.
        """
        sockets.disable_delay(self._stream.socket)
        reader = rpc.Reader(MAX_MESSAGE_SIZE)
        while True:
            async with asyncio.timeout(IDLE_TIMEOUT):
                data = await self._stream.read_bytes(READ_SIZE, partial=True)
            self.last_read = time.monotonic_ns()
            try:
                messages = reader.feed(data)
            except rpc.MalformedRpcError as error:
                raise ProtocolError(f"the caller does not speak MessagePack-RPC: {error}") from error
            for message in messages:
                if isinstance(message, rpc.Request):
                    self._open_calls += 1
                    self._tasks.start(self._respond(message.message_id, message.method, message.params))

    async def _respond(self, message_id: int, method: str, params: list[Any]) -> None:
        try:
            try:
                response = rpc.response(message_id, None, await self._handler(method, params))
            except PetrelwoodError as error:
                response = rpc.response(message_id, str(error), None)
            # a caller that has disconnected or does not read gets no answer
            with contextlib.suppress(StreamClosedError, StreamBufferFullError):
                await self._stream.write(response)
        finally:
            self._open_calls -= 1

    def close(self) -> None:
        """Close the connection; calls in flight get no answer."""
        self._stream.close()
