"""Calls by MessagePack-RPC on one connection that is made when it is needed, and made anew after a loss."""

import asyncio

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from petrelwood.links import rpc, sockets

READ = 65_536  # bytes taken from the socket at a time
OPEN_CALLS = 64  # calls without an answer at a time; further ones fail at once


class CallFailed(Exception):
    """A call without a usable answer; `str()` tells why. Whether it was carried out is not known."""


class RpcClient:
    """`address`: (host, port). `most`: bytes of one message."""

    def __init__(self, address, most):
        self.address, self.most = address, most
        self.stream, self.calls, self.last, self.lock = None, {}, 0, asyncio.Lock()
        self.messages = self.bytes = 0  # sent and received

    async def call(self, method, params, within):
        """The result of a call that is answered `within` seconds. Raises `CallFailed`."""
        try:
            return await asyncio.wait_for(self._call(method, params), within)
        except TimeoutError:
            raise CallFailed("no answer in time") from None
        except (StreamClosedError, StreamBufferFullError, OSError) as fault:
            raise CallFailed(str(fault) or "the connection is lost") from None

    async def _call(self, method, params):
        if len(self.calls) >= OPEN_CALLS:
            raise CallFailed("too many calls have no answer")
        async with self.lock:
            if self.stream is None or self.stream.closed():
                await self._connect()
        self.last = (self.last + 1) & 0xFFFFFFFF
        msgid = self.last
        answer = self.calls[msgid] = asyncio.get_running_loop().create_future()
        try:
            frame = rpc.request(msgid, method, params)
            self.messages, self.bytes = self.messages + 1, self.bytes + len(frame)
            await self.stream.write(frame)
            error, result = await answer
        finally:
            self.calls.pop(msgid, None)
        if error is not None:
            raise CallFailed(str(error))
        return result

    async def _connect(self):
        stream = IOStream(
            sockets.fresh(self.address[0]), max_buffer_size=self.most + READ, max_write_buffer_size=self.most
        )
        try:
            await stream.connect(self.address)
        except BaseException:  # the caller's time is up, too
            stream.close()
            raise
        stream.set_nodelay(True)
        self.stream = stream
        asyncio.get_running_loop().create_task(self._listen(stream))

    async def _listen(self, stream):
        reader = rpc.Reader(self.most)
        try:
            while True:
                data = await stream.read_bytes(READ, partial=True)
                self.bytes += len(data)
                for message in reader.feed(data):
                    self.messages += 1
                    if message[0] == rpc.RESPONSE:
                        self._answered(*message[1:])
        except (StreamClosedError, rpc.Garbage) as fault:
            stream.close()
            if self.stream is stream:
                self._lost(str(fault) or "the connection is lost")

    def _answered(self, msgid, error, result):
        answer = self.calls.get(msgid)
        if answer is not None and not answer.done():
            answer.set_result((error, result))

    def _lost(self, why):
        for answer in list(self.calls.values()):
            if not answer.done():
                answer.set_exception(CallFailed(why))

    def close(self):
        """Ends the connection; calls without an answer fail."""
        if self.stream is not None:
            self.stream.close()
        self._lost("closed")
