"""The link to the roster: it follows the endpoint list by server-sent events.

`GET /workers` answers with an endless stream: `list` with all endpoints, `change` with some, each with an id
`EPOCH-NUMBER` whose number grows by one; comments keep the stream alive. `Last-Event-ID` resumes after a
break. What is believed of the list is decided in `decide.cluster.membership`.
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

READ_SIZE = 65_536  # bytes taken from the socket at a time
OK = 200  # the status of HTTP
SECOND = 1_000_000_000  # ns
MILLISECOND = 1_000_000  # ns
LIST = "list"
CHANGE = "change"
# What ends a connection, which is then made again. JSON that can't be read is a ValueError.
CONNECTION_ERRORS = (TimeoutError, OSError, ValueError, httptools.HttpParserError, ProtocolError)


class WallClock(Protocol):
    """Whoever can tell the time of day."""

    def wall(self) -> int:
        """Return the time since the epoch in ns."""


class RosterCore(LoopOwner, Protocol):
    """What this link needs of its dispatcher."""

    @property
    def clock(self) -> WallClock:
        """The clock that starts of workers are compared with."""

    async def sleep_until(self, when: int, /) -> None:
        """Wait until a monotonic time in ns."""

    def endpoints_changed(self, entries: list[EndpointEntry], leaving: list[str], whole: bool, /) -> object:
        """Handle a change of workers; `whole`: the entries are all there are."""


class RosterLink:
    """Follows the endpoint list from `open` to `close`, over one connection at a time.

    httptools calls back what begins with `on_`.

    Args:
        address: Where the roster listens.
        membership: What is known of the list.
        connect_within: How long a connection may take, in ns.
        core: Its `endpoints_changed` is called for each list and each watch event that follows.
        log: Where losses are logged.
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
        self.is_current = False  # whether this connection has brought a list or a watch event

    def open(self) -> None:
        """Begin to follow the list."""
        self.task = self.core.loop.create_task(self._follow_forever())

    def close(self) -> None:
        """Stop following the list."""
        if self.task is not None:
            self.task.cancel()
        self.drop()

    def drop(self) -> None:
        """End the connection, as after silence; it is made again."""
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
        """Connect, ask for the list, and take what comes until an error ends that."""
        stream = IOStream(sockets.new_socket(self.address[0]))
        self.stream = stream
        self.events = EventReader()
        self.is_current = False
        parser = httptools.HttpResponseParser(self)
        resume_after = self.membership.resume_after
        # not `wait_for`, which loses a cancellation that comes as the connection is closed
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
        """Take the next bytes of the stream. Raises ProtocolError and ValueError."""
        now = self.core.now()
        for event in self.events.feed(chunk):
            if event.name in (LIST, CHANGE):
                endpoints = _decode_endpoints(event.data)
                if event.name == LIST:
                    self._apply_list(event.id, endpoints, now)
                else:
                    self._apply_change(event.id, endpoints, now)
                self.is_current = True
        if self.is_current:  # also by a comment: what would have changed would have come before it
            self.membership.on_complete(now)

    def on_message_complete(self) -> None:
        """End the connection, as the response has ended."""
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
            raise EndpointListError(f"a gap in the list before {event_id}")


def _decode_endpoints(data: str) -> list[Endpoint]:
    """Return the endpoints in an event's data. Raises ProtocolError and ValueError."""
    entries = orjson.loads(data)
    if not isinstance(entries, list):  # an empty object is no empty list: all workers would be gone
        raise EndpointListError("the data of an event must be a list of endpoints")
    return [decode_endpoint(raw) for raw in entries]


def _reason(error: Exception) -> str:
    """Return what to log of an error; where the parser reports one of `on_body`, that one."""
    if isinstance(error, httptools.HttpParserCallbackError):
        reported: BaseException = error.__cause__ or error.__context__ or error
        return str(reported) or repr(reported)
    return str(error) or repr(error)
