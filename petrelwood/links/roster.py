"""The link to the roster: follows the endpoint list by server-sent events.

The response to `GET /workers` is an endless stream of events: `list` with all endpoints, `change` with some.
Each event has an id `EPOCH-NUMBER` whose number increases by one. Comments keep the stream alive.
`Last-Event-ID` resumes the stream after a lost connection. `decide.cluster.membership` decides how the list
changes the known workers.
"""

import asyncio
from typing import Protocol

import httptools
import orjson
from tornado.iostream import IOStream

from petrelwood.decide.cluster.membership import Endpoint, EventOrder, Membership, decode_endpoint
from petrelwood.errors import ProtocolError
from petrelwood.links import sockets
from petrelwood.links.errors import EndpointListError
from petrelwood.links.interfaces import Address, Logger, LoopOwner
from petrelwood.links.sse import EventReader
from petrelwood.ports import EndpointEntry

READ_SIZE = 65_536  # the maximum number of bytes per read from the socket
OK = 200  # status code of HTTP
SECOND = 1_000_000_000  # ns
MILLISECOND = 1_000_000  # ns
# Names of events
LIST = "list"
CHANGE = "change"
# Errors after which the link reconnects. Malformed JSON is a ValueError.
CONNECTION_ERRORS = (TimeoutError, OSError, ValueError, httptools.HttpParserError, ProtocolError)


class WallClock(Protocol):
    """A source of wall-clock time."""

    def wall(self) -> int:
        """Return the time since the epoch in ns."""


class RosterCore(LoopOwner, Protocol):
    """The dispatcher as this link needs it."""

    @property
    def clock(self) -> WallClock:
        """The clock that the start times of workers are compared with."""

    async def sleep_until(self, when: int, /) -> None:
        """Sleep until a monotonic time in ns."""

    def endpoints_changed(self, entries: list[EndpointEntry], leaving: list[str], whole: bool, /) -> object:
        """Handle changed workers; with `whole`, the entries are the complete list."""


class RosterLink:
    """Follows the endpoint list from `open` to `close`, over one connection at a time.

    httptools calls the methods whose names begin with `on_`.

    Args:
        address: The address of the roster.
        membership: The known state of the list.
        connect_within: The timeout of connecting, in ns.
        core: Its `endpoints_changed` is called for each list and each change that follows in order.
        log: The logger for lost connections.
    """

    def __init__(
        self, address: Address, membership: Membership, connect_within: int, core: RosterCore, log: Logger
    ) -> None:
        self.address = address
        self.membership = membership
        self.connect_within = connect_within
        self.core = core
        self.log = log
        self.stream: IOStream | None = None
        self.task: asyncio.Task[None] | None = None
        self.events = EventReader()
        self.is_current = False  # whether this connection has delivered a list or a change

    def open(self) -> None:
        """Start following the list."""
        self.task = self.core.loop.create_task(self._follow_forever())

    def close(self) -> None:
        """Stop following the list."""
        if self.task is not None:
            self.task.cancel()
        self.drop()

    def drop(self) -> None:
        """Close the connection, for example because it is silent; the link then reconnects."""
        if self.stream is not None:
            self.stream.close()

    async def _follow_forever(self) -> None:
        while True:
            reason = "the stream ended"
            try:
                await self._follow()
            except CONNECTION_ERRORS as error:
                reason = _reason(error)
            finally:
                self.drop()
            now = self.core.now()
            retry_at = self.membership.backoff.failed(now)
            self.log.info(
                "roster connection lost", reason=reason, retry_in_ms=(retry_at - now) // MILLISECOND
            )
            await self.core.sleep_until(retry_at)

    async def _follow(self) -> None:
        """Connect, request the list and process the response until an error ends it."""
        stream = IOStream(sockets.new_socket(self.address[0]))
        self.stream = stream
        self.events = EventReader()
        self.is_current = False
        parser = httptools.HttpResponseParser(self)
        resume_after = self.membership.resume_after
        # `asyncio.wait_for` would lose a cancellation that arrives while the connection is being closed
        async with asyncio.timeout(self.connect_within / SECOND):
            await stream.connect(self.address)
        await stream.write(self._request(resume_after))
        while True:
            data = await stream.read_bytes(READ_SIZE, partial=True)
            if self.membership.on_contact(self.core.now()):
                self.log.info("roster heard again")
            parser.feed_data(data)
            status = parser.get_status_code()
            if status and status != OK:
                raise EndpointListError(f"the roster answered {status}")

    def _request(self, resume_after: str | None) -> bytes:
        host, port = self.address
        lines = [
            "GET /workers HTTP/1.1",
            f"Host: {host}:{port}",
            "Accept: text/event-stream",
            f"User-Agent: {self.core.name}",
        ]
        if resume_after:
            lines.append(f"Last-Event-ID: {resume_after}")
        return "\r\n".join([*lines, "", ""]).encode()

    def on_body(self, chunk: bytes) -> None:
        """Process the next bytes of the stream. Raises ProtocolError and ValueError."""
        now = self.core.now()
        for event in self.events.feed(chunk):
            if event.name in (LIST, CHANGE):
                endpoints = _decode_endpoints(event.data)
                if event.name == LIST:
                    self._apply_list(event.id, endpoints, now)
                else:
                    self._apply_change(event.id, endpoints, now)
                self.is_current = True
        if self.is_current:  # a comment also proves this: any earlier change would have arrived before it
            self.membership.on_complete(now)

    def on_message_complete(self) -> None:
        """Close the connection because the response has ended."""
        self.drop()

    def _apply_list(self, event_id: str, endpoints: list[Endpoint], now: int) -> None:
        change = self.membership.apply_list(event_id, endpoints, now, self.core.clock.wall())
        self.core.endpoints_changed(change.listed, change.leaving, True)

    def _apply_change(self, event_id: str, endpoints: list[Endpoint], now: int) -> None:
        order = self.membership.order_of(event_id)
        if order is EventOrder.NEXT:
            change = self.membership.apply_change(event_id, endpoints, now, self.core.clock.wall())
            self.core.endpoints_changed(change.listed, change.leaving, False)
        elif order is EventOrder.GAP:
            self.membership.forget_position()
            raise EndpointListError(f"missing events before {event_id}")


def _decode_endpoints(data: str) -> list[Endpoint]:
    """Return the endpoints in the data of an event. Raises ProtocolError and ValueError."""
    entries = orjson.loads(data)
    # `{}` must not be treated like an empty list, which would remove all workers
    if not isinstance(entries, list):
        raise EndpointListError("the data of an event must be a list of endpoints")
    return [decode_endpoint(raw) for raw in entries]


def _reason(error: Exception) -> str:
    """Return the text to log for an error; if the parser wraps an error of `on_body`, use that error."""
    if isinstance(error, httptools.HttpParserCallbackError):
        reported: BaseException = error.__cause__ or error.__context__ or error
        return str(reported) or repr(reported)
    return str(error) or repr(error)
