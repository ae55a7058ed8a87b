"""A stand-in worker: the simulated one of `emulate.machine` behind MessagePack-RPC, and scripted troubles."""

import asyncio
import hashlib
import os
import socket
import struct
import time

import orjson
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from petrelwood.clocks import LoopClock
from petrelwood.emulate.machine import Machine
from petrelwood.links import rpc
from petrelwood.standins import host
from petrelwood.standins.records import Records

MAX_MESSAGE_SIZE = 8_000_000  # bytes
LINGER = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: closing resets the connection


class StoreLink:
    """A connection to the store's process, which fetches models; without it every fetch fails."""

    def __init__(self, address):
        self.address, self.stream, self.waits, self.last = address, None, {}, 0

    async def follow(self):
        """Connect to the store, and again whenever the connection ends."""
        while True:
            try:
                self.stream = IOStream(socket.socket())
                await self.stream.connect(self.address)
                reader = rpc.Reader(MAX_MESSAGE_SIZE)
                while True:
                    for message in reader.feed(await self.stream.read_bytes(65536, partial=True)):
                        done = self.waits.pop(message[1], None)
                        if done:
                            done(message[3] == "ok")
            except (StreamClosedError, OSError):
                waits, self.waits = self.waits, {}
                for done in waits.values():
                    done(False)
                await asyncio.sleep(0.1)

    def fetch(self, size, done):
        """Fetch a model of `size` bytes, and call `done` with whether it succeeded."""
        self.last += 1
        if self.stream is None or self.stream.closed():
            done(False)
            return
        self.waits[self.last] = done
        self.stream.write(rpc.request(self.last, "fetch", [size])).add_done_callback(lambda f: f.exception())


class Worker(TCPServer):
    """Serves dispatchers: `lines` maps their connections to their names and jobs."""

    def __init__(self, day, name, store, records, booted, seed):
        super().__init__()
        self.day, self.name, self.records, self.booted = day, name, records, booted
        self.store = StoreLink(store)
        rng = host.random_stream(seed, name)
        self.machine = Machine(
            LoopClock(), day.build, self.store.fetch, rng, time.monotonic_ns() if booted else 0
        )
        self.lines, self.mute, self.silent, self.seed = {}, False, False, seed
        self.garbage = False

    async def handle_stream(self, stream, address):
        """Serve one connection until it ends; its jobs are then cancelled."""
        stream.set_nodelay(True)
        if self.silent:  # the connection is accepted, and nothing is sent on it
            await asyncio.sleep(3600)
        self.lines[stream] = {"who": "?", "jobs": {}}
        reader = rpc.Reader(MAX_MESSAGE_SIZE)
        self.write(stream, rpc.notification("hello", [self.name, self.booted]))
        try:
            while True:
                for message in reader.feed(await stream.read_bytes(65536, partial=True)):
                    self.message(stream, message)
        except (StreamClosedError, rpc.MalformedRpcError):
            stream.close()
        finally:
            line = self.lines.pop(stream)
            for job in line["jobs"].values():
                self.machine.cancel(job, self.day.stops_work)

    def write(self, stream, data):
        """Send data, unless the worker is muted or the connection closed."""
        if not stream.closed() and not self.mute:
            stream.write(data).add_done_callback(lambda done: done.exception())

    def message(self, stream, message):
        """Handle a message; a request by the method `on_` and its name."""
        line = self.lines[stream]
        if message[0] == rpc.REQUEST:
            getattr(self, "on_" + message[2])(stream, line, message[1], message[3])
        elif message[1] == "hello":
            line["who"] = message[2][0]
        elif message[1] == "cancel":
            job = line["jobs"].get(tuple(message[2]))
            if job is not None:
                self.machine.cancel(job, self.day.stops_work)

    def on_probe(self, stream, line, msgid, params):
        """Answer with the worker's gauge."""
        self.write(stream, rpc.response(msgid, None, self.machine.gauge()))

    def on_hold(self, stream, line, msgid, params):
        """Carry out a load order, and answer with the number of copies."""
        fn, _, count = params
        self.records.put("hold", by=line["who"], fn=fn, count=count)
        kind = self.day.kind(fn)

        def done(word, copies):
            self.write(stream, rpc.response(msgid, None, [word, copies]))

        self.machine.hold(kind.model(fn), count, done)

    def on_run(self, stream, line, msgid, params):
        """Run an activation, and answer with its result or its error."""
        act, n, fn, mark, left, _, body = params
        kind = self.day.kind(fn)
        self.records.put("run", by=line["who"], act=act, n=n, fn=fn, mark=mark, type=kind.type)
        try:
            work = int(orjson.loads(body)["work"])
        except (ValueError, KeyError, TypeError):
            work = kind.work

        def done(word, note):
            job = line["jobs"].pop((act, n), None)
            self.records.put(
                "ran",
                by=line["who"],
                act=act,
                n=n,
                word=word,
                mark=mark,
                muted=self.mute,
                waited=job.begun - job.came if job else 0,
            )
            if word == "ok":
                result = orjson.dumps({"by": self.name, "of": hashlib.sha256(body).hexdigest()[:16]})
                reply = rpc.response(msgid, None, [act, n, note, result, self.machine.gauge()])
            else:
                reply = rpc.response(msgid, [word, act, n, note, self.machine.gauge()], None)
            if self.garbage:
                self.garbage, reply = False, b"\xc1 this is no message"
            self.write(stream, reply)

        job = self.machine.run(kind.model(fn), work, time.monotonic_ns() + left, done)
        if job is not None and job.where != "over":
            line["jobs"][act, n] = job

    # Misbehaviour
    def reset(self, trouble=None):
        """Reset all connections."""
        for stream in list(self.lines):
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER)
            stream.close()

    def begin_silence(self, trouble):
        """Reset all connections, and leave new ones without an answer."""
        self.silent = True
        self.reset()

    def end_silence(self, trouble):
        """Serve new connections again."""
        self.silent = False

    def hang(self, on):
        """Stop or resume all work and all answers."""
        self.mute = on
        self.machine.hang(on)

    def troubles(self):
        """Return the handlers for `host.schedule_troubles`."""
        return {
            "release": (lambda t: self.machine.release(self.day.released(t.what["part"], self.seed)), None),
            "hang": (lambda t: self.hang(True), lambda t: self.hang(False)),
            "slow": (lambda t: self.machine.slow(t.what["times"]), lambda t: self.machine.slow(1.0)),
            "pause": (lambda t: self.machine.pause(t.span), None),
            "reset": (self.reset, None),
            "silent-accept": (self.begin_silence, self.end_silence),
            "garbage": (lambda t: setattr(self, "garbage", True), None),
        }


async def serve(day, name, listen, store, folder, booted, seed):
    """Run the worker until a signal. If `booted` is 0, it starts with the day's standing copies loaded."""
    records = Records(folder, name)
    worker = Worker(day, name, store, records, booted, seed)
    worker.add_sockets(sockets := bind_sockets(listen[1], listen[0]))
    asyncio.ensure_future(worker.store.follow())
    mine = day._replace(troubles=tuple(t for t in day.troubles if name in day.hit(t, seed)))
    operator = asyncio.ensure_future(
        host.listen_to_operator(
            lambda message: host.schedule_troubles(mine, message["start"], worker.troubles())
        )
    )
    if not booted:
        worker.machine.preload(day.kind(fn).model(fn) for fn in day.initial_copies(seed)[name])
    records.put("up", booted=booted, pid=os.getpid())
    host.announce_ready(sockets[0].getsockname()[:2])
    await host.wait_for_signal()
    operator.cancel()
    records.put("counts", fallen=worker.machine.fallen, **worker.machine.counts)
    records.close()
