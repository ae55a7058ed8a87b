"""An HTTP/1.1 client on IOStream that keeps its connections, for the portal and for measurements."""

import asyncio

import httptools
from tornado.iostream import IOStream, StreamClosedError

from petrelwood.links import sockets


class Reply:
    """One response; also what httptools calls back."""

    def __init__(self):
        self.status, self.headers, self.body, self.whole, self.parser = 0, {}, b"", False, None

    def on_header(self, name, value):
        self.headers[name.lower()] = value

    def on_body(self, data):
        self.body += data

    def on_message_complete(self):
        self.whole = True


class ConnectionLostError(Exception):
    """The connection ended before the whole answer; `sent` tells whether any byte of the request went out."""

    def __init__(self, sent):
        super().__init__("connection lost")
        self.sent = sent


class Caller:
    """Calls one address, one request at a time on each of its connections."""

    def __init__(self, address, most_idle=64, source=None):
        self.address, self.idle, self.most_idle, self.source = address, [], most_idle, source

    async def connect(self):
        made = sockets.new_socket(self.address[0])
        if self.source:  # an address of this machine that it comes from
            made.bind((self.source, 0))
        stream = IOStream(made)
        try:
            await stream.connect(self.address)
        except (StreamClosedError, OSError):
            raise ConnectionLostError(False) from None
        stream.set_nodelay(True)
        return stream

    async def call(self, request, within):
        """Sends the bytes and reads one answer within so many seconds (asyncio.TimeoutError beyond: hung
        up)."""
        while self.idle and self.idle[-1].closed():
            self.idle.pop()
        stream = self.idle.pop() if self.idle else await self.connect()
        try:
            reply = await asyncio.wait_for(self.exchange(stream, request), within)
        except TimeoutError:  # an OSError too, so it comes first
            stream.close()
            raise
        except (StreamClosedError, OSError):
            stream.close()
            raise ConnectionLostError(True) from None
        if reply.headers.get(b"connection", b"").lower() == b"close" or len(self.idle) >= self.most_idle:
            stream.close()
        else:
            self.idle.append(stream)
        return reply

    @staticmethod
    async def exchange(stream, request):
        await stream.write(request)
        reply = Reply()
        parser = httptools.HttpResponseParser(reply)
        while not reply.whole:
            parser.feed_data(await stream.read_bytes(65536, partial=True))
        reply.status = parser.get_status_code()
        return reply

    def close(self):
        for stream in self.idle:
            stream.close()


def request(path, headers, body):
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return (
        f"POST {path} HTTP/1.1\r\nHost: gateway\r\nContent-Length: {len(body)}\r\n{head}\r\n".encode() + body
    )
