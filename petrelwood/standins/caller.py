"""An HTTP/1.1 client on IOStream with a pool of connections, for the portal and for measurements."""

import asyncio

import httptools
from tornado.iostream import IOStream, StreamClosedError

from petrelwood.links import sockets


class Reply:
    """One response, filled in by the callbacks of the httptools parser."""

    def __init__(self):
        self.status, self.headers, self.body, self.complete, self.parser = 0, {}, b"", False, None

    def on_header(self, name, value):
        """Store a header, its name in lower case."""
        self.headers[name.lower()] = value

    def on_body(self, data):
        """Append to the body."""
        self.body += data

    def on_message_complete(self):
        """Mark the response as complete."""
        self.complete = True


class ConnectionLostError(Exception):
    """The connection ended before the answer was complete; `sent`: bytes of the request may have gone out."""

    def __init__(self, sent):
        super().__init__("connection lost")
        self.sent = sent


class Caller:
    """Calls one address, one request at a time on each of its connections."""

    def __init__(self, address, most_idle=64, source=None):
        self.address, self.idle, self.most_idle, self.source = address, [], most_idle, source

    async def connect(self):
        """Return a new connection as a stream."""
        sock = sockets.new_socket(self.address[0])
        if self.source:  # a local address to connect from
            sock.bind((self.source, 0))
        stream = IOStream(sock)
        try:
            await stream.connect(self.address)
        except (StreamClosedError, OSError):
            raise ConnectionLostError(False) from None
        stream.set_nodelay(True)
        return stream

    async def call(self, request, timeout):
        """Send the bytes of a request, and return its reply.

        After `timeout` seconds the connection is closed and `TimeoutError` raised.
        """
        while self.idle and self.idle[-1].closed():
            self.idle.pop()
        stream = self.idle.pop() if self.idle else await self.connect()
        try:
            reply = await asyncio.wait_for(self.exchange(stream, request), timeout)
        except TimeoutError:  # before OSError, of which it is a subclass
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
        """Send a request on a connection, and return its reply."""
        await stream.write(request)
        reply = Reply()
        parser = httptools.HttpResponseParser(reply)
        while not reply.complete:
            parser.feed_data(await stream.read_bytes(65536, partial=True))
        reply.status = parser.get_status_code()
        return reply

    def close(self):
        """Close the idle connections."""
        for stream in self.idle:
            stream.close()


def request(path, headers, body):
    """Return the bytes of a POST request."""
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return (
        f"POST {path} HTTP/1.1\r\nHost: gateway\r\nContent-Length: {len(body)}\r\n{head}\r\n".encode() + body
    )
