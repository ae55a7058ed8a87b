"""Runs a dispatcher on real sockets in the test process, with a scripted roster and scripted workers."""

import asyncio
import base64
import pathlib
import tempfile
import time
import unittest

import orjson
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer
from tornado.testing import bind_unused_port

from petrelwood.dispatch.dispatcher import Dispatcher
from petrelwood.fronts.signing import sign
from petrelwood.fronts.webhook import Webhooks
from petrelwood.links import rpc, sse
from petrelwood.settings import gateway
from petrelwood.standins.caller import Caller, ConnectionLostError, request

SECRET = bytes(range(32))
KEY = "whsec_" + base64.b64encode(SECRET).decode()
FILE = """
gateway "d" {{ listen "127.0.0.1:0"; roster "127.0.0.1:{roster}"; zone "n"; seed 1 }}
customer "x" {{ key "{key}" }}
namespace-type "again" {{ target-latency "500ms"; action-timeout "2s"; effect "repeatable" }}
namespace-type "hall" {{ target-latency "500ms"; action-timeout "2s"; effect "deduplicated"
  scope "zone"; window "3s" }}
namespace-type "once" {{ target-latency "500ms"; action-timeout "2s"; effect "once-only" }}
function "again-*" type="again" lanes=4
function "hall-*" type="hall" lanes=4
function "once-*" type="once" lanes=4
workers {{ cold "5s" from=0.2; fall "1s" multiple=3.0; sends 3; keep "8s"
  on-miss "load"; quiet "3s"; {workers} }}
limits {{ header "2KB"; {limits}; head-within "300ms"; body-within "300ms"; pipeline 4 }}
"""


class RecordingLog:
    """A log that records each event with its fields and prints nothing."""

    def __init__(self):
        self.lines = []

    def _record(self, event, **fields):
        self.lines.append((event, fields))

    debug = info = warning = error = _record

    def said(self, event):
        """Return the fields of each recorded line with this event."""
        return [fields for e, fields in self.lines if e == event]


class LoopLag:
    """Context manager that measures the longest delay (s) with which the running event loop woke a task."""

    INTERVAL = 0.005  # s between two measurements

    def __init__(self):
        self.longest = 0.0

    async def __aenter__(self):
        self.task = asyncio.ensure_future(self._watch())
        return self

    async def __aexit__(self, *_):
        self.task.cancel()

    async def _watch(self):
        while True:
            due = time.monotonic() + self.INTERVAL
            await asyncio.sleep(self.INTERVAL)
            self.longest = max(self.longest, time.monotonic() - due)


class Roster(TCPServer):
    """A roster of server-sent events: sends `entries` as the list, and changes by `tell`."""

    def __init__(self):
        super().__init__()
        self.entries, self.number, self.streams, self.asked = [], 0, set(), []

    async def handle_stream(self, stream, address):
        head = (await stream.read_until(b"\r\n\r\n")).decode()
        self.asked.append(next((h[15:] for h in head.split("\r\n") if h.startswith("Last-Event-ID: ")), None))
        await stream.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
        self.streams.add(stream)
        if self.asked[-1] is None:
            self.push(stream, "list", self.entries)

    def push(self, stream, kind, entries):
        """Send one event to one client."""
        stream.write(sse.event(kind, orjson.dumps(entries).decode(), f"e-{self.number}"))

    def tell(self, *entries, skip=0):
        """Send a change to all clients; `skip` leaves a gap in the event numbers."""
        self.number += 1 + skip
        for stream in [s for s in self.streams if not s.closed()]:
            self.push(stream, "change", list(entries))


class Worker(TCPServer):
    """A worker that records incoming calls and answers them by `on_run(worker, stream, msgid, params)`."""

    def __init__(self, name, on_run=None, greet=True, reads=True, booted=0):
        super().__init__()
        self.name, self.on_run, self.greet, self.reads, self.booted = (
            name,
            on_run or answer,
            greet,
            reads,
            booted,
        )
        self.runs, self.cancels, self.holds, self.streams = [], [], [], []
        sock, self.port = bind_unused_port()
        self.add_sockets([sock])

    def entry(self, state="usable", zone="n"):
        """Return the worker's roster entry."""
        return {
            "worker": self.name,
            "address": f"127.0.0.1:{self.port}",
            "zone": zone,
            "state": state,
            "booted": self.booted,
        }

    async def handle_stream(self, stream, address):
        self.streams.append(stream)
        reader = rpc.Reader(1 << 24)
        try:
            if self.greet:
                await stream.write(rpc.notification("hello", [self.name, self.booted]))
            while self.reads:
                for kind, *rest in reader.feed(await stream.read_bytes(65536, partial=True)):
                    if kind == rpc.NOTIFICATION:
                        self.cancels.extend([rest[1]] if rest[0] == "cancel" else [])
                    elif rest[1] == "run":
                        self.runs.append(rest[2])
                        self.on_run(self, stream, rest[0], rest[2])
                    elif rest[1] == "hold":
                        self.holds.append(rest[2])
                        stream.write(rpc.response(rest[0], None, ["ok", rest[2][2]]))
                    else:
                        stream.write(rpc.response(rest[0], None, {"running": 0}))
        except StreamClosedError:
            pass

    def acts(self):
        """Return the activation id and attempt number of each run request."""
        return [(p[0], p[1]) for p in self.runs]


def answer(worker, stream, msgid, params, body=b'{"ok":1}'):
    """Answer a run request successfully at once, unless its connection is closed."""
    if not stream.closed():
        stream.write(rpc.response(msgid, None, [params[0], params[1], 1, body, {"running": 1}]))


def later(seconds, body=b'{"ok":1}'):
    """Return an `on_run` that answers successfully after a delay."""
    return lambda w, s, m, p: asyncio.get_running_loop().call_later(seconds, answer, w, s, m, p, body)


def never(worker, stream, msgid, params):
    """Leave the run request unanswered."""
    pass


def says(word):
    """Return an `on_run` that answers with this error."""
    return lambda w, s, m, p: s.write(rpc.response(m, [word, p[0], p[1], 0, None], None))


class Case(unittest.IsolatedAsyncioTestCase):
    """A test with its own dispatcher: call `await self.begin(workers...)`, then `self.post(...)`."""

    async def begin(
        self, *workers, limits='body "20KB"', terms="", scheduler=None, tolerance=None, slowly="300ms"
    ):
        self.roster, self.log, self.workers = Roster(), RecordingLog(), workers
        sock, port = bind_unused_port()
        self.roster.add_sockets([sock])
        self.roster.entries = [w.entry(zone=getattr(w, "zone", "n")) for w in workers]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "g.kdl"
            path.write_text(
                FILE.format(roster=port, key=KEY, limits=limits, workers=terms).replace(
                    'body-within "300ms"', f'body-within "{slowly}"'
                )
            )
            self.gateway = gateway.read(path)
        self.core = Dispatcher(self.gateway, self.log, **({"scheduler": scheduler} if scheduler else {}))
        # The dispatcher refuses messages signed before it started, and signature timestamps are whole
        # seconds: move the limit back so that messages of the second in which the test starts are accepted.
        self.core.ledger.complete_since -= 10_000_000_000
        self.core.open()
        await asyncio.wait_for(self.core.endpoints_known.wait(), 30)
        self.front = Webhooks(self.gateway, self.core)
        self.core.fronts.append(self.front)
        self.address = self.front.open(("127.0.0.1", 0))
        self.caller, self.number, self.stamp = Caller(self.address), 0, int(time.time())

    async def asyncTearDown(self):
        if hasattr(self, "core"):
            self.core.intake.closing = True
            self.core.roster.close()
            self.core.checks.cancel()
            for link in self.core.links.values():
                link.give_up("the test is over")
            self.front.stop()
            for line in list(self.front.connections):
                line.stream.close()
            self.caller.close()
            for worker in self.workers:
                worker.stop()
                for stream in worker.streams:
                    stream.close()
            self.roster.stop()
            for stream in self.roster.streams:
                stream.close()
            await asyncio.sleep(0)

    def message(self, function="again-1", id_=None, stamp=None, body=b"{}", path=None, **headers):
        """Return the bytes of a signed webhook; `headers` replace headers, and None removes one."""
        self.number += 1
        id_, stamp = id_ or f"m{self.number}", stamp or self.stamp
        fields = {
            "Content-Type": "application/json",
            "webhook-id": id_,
            "webhook-timestamp": stamp,
            "webhook-signature": sign("v1", SECRET, id_, stamp, body),
        }
        fields.update({k.replace("_", "-"): v for k, v in headers.items()})
        return request(
            path or f"/hooks/x/{function}", {k: v for k, v in fields.items() if v is not None}, body
        )

    async def post(self, *args, within=30, **headers):
        """Send a webhook made by `message`; return the status and the whole reply."""
        reply = await self.caller.call(self.message(*args, **headers), within)
        return reply.status, reply

    async def until(self, condition, within=30):
        """Wait until the condition holds; the default timeout (s) allows for a busy machine."""
        deadline = time.monotonic() + within
        while not condition():
            self.assertLess(time.monotonic(), deadline, "the condition did not hold in time")
            await asyncio.sleep(0.005)

    def runs(self):
        """Return the number of run requests that reached all workers."""
        return sum(len(w.runs) for w in self.workers)


__all__ = ["Case", "ConnectionLostError", "IOStream", "Worker", "answer", "later", "never", "says"]
