"""The link to the roster: who is usable, draining or gone, by server-sent events.

`GET /workers` answers with an endless stream: `list` with all entries, `change` with some, each with an id
`EPOCH-NUMBER` that grows by one; comments keep it alive. `Last-Event-ID` resumes after a break. What is
believed of the list is decided in `decide.cluster.membership`; 'told' counts from the moment the bytes are
here."""

import asyncio

import httptools
import orjson
from tornado.iostream import IOStream, StreamClosedError

from petrelwood.decide.cluster.membership import EventOrder, MalformedEndpointError, decode_endpoint
from petrelwood.links import sockets
from petrelwood.links.sse import Events

READ = 65_536
# what ends a connection; it is made again
FAULTS = (
    TimeoutError,
    StreamClosedError,
    OSError,
    ValueError,
    httptools.HttpParserError,
    MalformedEndpointError,
)


class RosterLink:
    """`core` hears of each list and change through `listed`. It is also what httptools calls back."""

    def __init__(self, address, membership, connect_within, core, log):
        self.address, self.membership, self.core, self.log = address, membership, core, log
        self.within, self.stream, self.task, self.events, self.lists = (
            connect_within / 1e9,
            None,
            None,
            None,
            0,
        )
        self.current = False  # whether this connection has brought a list or a change

    def open(self):
        self.task = self.core.loop.create_task(self._keep())

    def close(self):
        self.task.cancel()
        self.drop()

    def drop(self):
        """Ends the connection, as after silence; it is tried again."""
        if self.stream is not None:
            self.stream.close()

    async def _keep(self):
        while True:
            why = "the stream ended"
            try:
                await self._follow()
            except FAULTS as fault:
                why = str(fault) or repr(fault)
            finally:
                self.drop()
            until = self.membership.backoff.failed(self.core.now())
            self.log.info("roster lost", why=why, again_in_ms=(until - self.core.now()) // 1_000_000)
            await self.core.sleep_until(until)

    async def _follow(self):
        host, port = self.address
        self.stream, self.events = IOStream(sockets.fresh(host)), Events()
        self.current = False
        parser, resume = httptools.HttpResponseParser(self), self.membership.resume_after
        # not `wait_for`, which loses a cancellation that comes as the connection is closed
        async with asyncio.timeout(self.within):
            await self.stream.connect(self.address)
        await self.stream.write(
            (
                f"GET /workers HTTP/1.1\r\nHost: {host}:{port}\r\nAccept: text/event-stream\r\n"
                f"User-Agent: {self.core.name}\r\n"
                + (f"Last-Event-ID: {resume}\r\n" if resume else "")
                + "\r\n"
            ).encode()
        )
        while True:
            data = await self.stream.read_bytes(READ, partial=True)
            if self.membership.on_heard(self.core.now()):
                self.log.info("roster heard again")
            parser.feed_data(data)
            status = parser.get_status_code()
            if status and status != 200:
                raise ValueError(f"the roster answered {status}")

    def on_body(self, chunk):
        now = self.core.now()
        for kind, data, id_ in self.events.feed(chunk):
            if kind in ("list", "change"):
                self._event(kind, [decode_endpoint(raw) for raw in orjson.loads(data)], id_, now)
                self.current = True
        if self.current:  # also by a comment: what would have changed would have come before it
            self.membership.on_complete(now)

    def on_message_complete(self):
        self.drop()

    def _event(self, kind, entries, id_, now):
        if kind == "list":
            self.lists += 1
            listed, leaving = self.membership.apply_list(id_, entries, now, self.core.clock.wall())
            self.core.endpoints_changed(listed, leaving, True)
            return
        follows = self.membership.order_of(id_)
        if follows is EventOrder.NEXT:
            listed, leaving = self.membership.apply_change(id_, entries, now, self.core.clock.wall())
            self.core.endpoints_changed(listed, leaving, False)
        elif follows is EventOrder.GAP:
            self.membership.forget_position()
            raise ValueError(f"a gap in the list before {id_}")
