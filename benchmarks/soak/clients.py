"""Clients of a soak test, which keep using their open connections until the kill."""

import asyncio
import contextlib
import itertools
import random
import socket
import struct
import time

import msgpack

from benchmarks.soak.peers import node_site
from benchmarks.soak.plan import EFFECTS, Plan
from benchmarks.soak.records import ConnectionEnd, Play, Request

COMPLETED = "completed"
TYPES = ("plain", "marked", "single")  # namespace types of the stand-in's settings, in the order of EFFECTS
FUNCTIONS = 6
LEAVING_SHARE = 0.1  # share of requests whose client does not wait for the answer
RESET_WAIT = 0.1  # s after the end of a connection within which a reset follows if its last bytes were unread
RETRY_INTERVAL = 0.02  # s from a refused connection to the next attempt
_numbers = itertools.count(1)


class ClientConnection(asyncio.Protocol):
    """One connection and the requests on it that have no answer yet."""

    def __init__(self, play: Play) -> None:
        self.play = play
        self.number = next(_numbers)
        self.open: dict[int, Request] = {}
        self.requests: dict[int, Request] = {}  # all requests that were sent on it
        self.unpacker = msgpack.Unpacker(raw=False)
        self.ended = asyncio.get_running_loop().create_future()
        self.transport: asyncio.Transport | None = None
        self.is_own_end = False
        self.end_seen_at: float | None = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.unpacker.feed(data)
        for _, message_id, error, _ in self.unpacker:
            self.answered(message_id, COMPLETED if error is None else error[0])

    def answered(self, message_id: int, word: str) -> None:
        """Record an answer."""
        self.open.pop(message_id, None)
        request = self.requests.get(message_id)
        if request is not None:
            request.answers.append((time.monotonic(), word))
        else:
            self.play.unexpected_answers.append(f"connection {self.number}, {message_id}: {word}")

    def eof_received(self):
        self.end_seen_at = time.monotonic()
        asyncio.get_running_loop().call_later(RESET_WAIT, self._end_after_close)
        return True  # keep the connection open: a reset that follows shows that data was not read

    def _end_after_close(self):
        sock = self.transport.get_extra_info("socket")
        is_reset = sock.fileno() < 0 or bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
        self._end(ConnectionEnd.RESET if is_reset else ConnectionEnd.CLOSED)
        self.transport.abort()

    def connection_lost(self, exc):
        self._end(ConnectionEnd.RESET if exc is not None else ConnectionEnd.OWN)

    def _end(self, end: ConnectionEnd) -> None:
        if self.ended.done():
            return
        self.ended.set_result(end)
        end = ConnectionEnd.OWN if self.is_own_end else end
        ended_at = self.end_seen_at or time.monotonic()
        for request in self.open.values():
            request.ended_at = ended_at
            request.end = end
        self.open.clear()

    def is_usable(self) -> bool:
        """Return whether neither side has ended the connection."""
        return not self.ended.done() and not self.is_own_end and self.end_seen_at is None

    def send(self, message_id: int, request: Request, function: int) -> None:
        """Write one request."""
        request.connection = self.number
        request.sent_at = time.monotonic()
        self.open[message_id] = self.requests[message_id] = request
        self.play.requests.append(request)
        self.transport.write(self.encode(message_id, request, function))

    def encode(self, message_id: int, request: Request, function: int) -> bytes:
        """Return the bytes of a request."""
        fields = node_site.ask(fn=function, ttl=int(request.time_allowed * 1000), call=request.id)
        type_name = TYPES[EFFECTS.index(request.effect)]
        return msgpack.packb([0, message_id, type_name, [fields, b"x"]])

    def cancel(self, message_id: int) -> None:
        """Cancel one request if it has no answer yet."""
        request = self.open.pop(message_id, None)
        if request is not None:
            request.left_at = time.monotonic()
            self.transport.write(msgpack.packb([2, "cancel", [message_id]]))

    def leave(self, reset: bool) -> None:
        """End the connection and stop waiting for the requests that are open on it."""
        self.is_own_end = True
        if reset:
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        left_at = time.monotonic()
        for request in self.open.values():
            request.left_at = left_at
        self.open.clear()
        self.transport.abort()


class Client:
    """Sends requests on one connection, and on a new one when that has been closed."""

    connection_class = ClientConnection
    ways_to_leave = ("cancel", "cancel", "close", "reset")

    def __init__(self, play: Play, plan: Plan, address: tuple[str, int], name: str) -> None:
        self.play = play
        self.plan = plan
        self.address = address
        self.chance = random.Random(f"soak/{plan.seed}/{name}")
        self.connection: ClientConnection | None = None
        self.message_ids = itertools.count(1)

    async def connect(self) -> bool:
        """Open a connection if there is none; return whether there is one."""
        if self.connection is not None and self.connection.is_usable():
            return True
        loop = asyncio.get_running_loop()
        try:
            _, self.connection = await loop.create_connection(
                lambda: self.connection_class(self.play), *self.address
            )
        except OSError:  # nobody listens: a request that was not accepted is not lost
            self.connection = None
            return False
        return True

    async def run(self, until: float) -> None:
        """Send requests until a time of the monotonic clock."""
        while time.monotonic() < until:
            if await self.connect():
                self.ask()
                await asyncio.sleep(self.chance.uniform(0.5, 1.5) * self.plan.request_interval)
            else:
                await asyncio.sleep(RETRY_INTERVAL)

    def ask(self) -> None:
        """Send one request, which the client may abandon before it is answered."""
        connection = self.connection
        number = self.chance.randrange(len(EFFECTS))
        message_id = next(self.message_ids)
        time_allowed = self._time_allowed(number)
        request = Request(self._id(), EFFECTS[number], time_allowed, 0.0, 0)
        connection.send(message_id, request, self.chance.randint(1, FUNCTIONS))
        if self.chance.random() < LEAVING_SHARE:
            after = self.chance.uniform(0.0, 0.1)
            how = self.chance.choice(self.ways_to_leave)
            asyncio.get_running_loop().call_later(after, self._leave, connection, message_id, how)

    def _time_allowed(self, number: int) -> float:
        return min(self.plan.deadlines[number], self.chance.uniform(0.2, 5.0))

    def _id(self) -> str:
        return f"{self.chance.getrandbits(64):016x}"

    @staticmethod
    def _leave(connection: ClientConnection, message_id: int, how: str) -> None:
        if not connection.is_usable():
            return
        if how == "cancel":
            connection.cancel(message_id)
        else:
            connection.leave(how == "reset")

    def close(self) -> None:
        """End the connection."""
        if self.connection is not None and self.connection.is_usable():
            self.connection.leave(False)
