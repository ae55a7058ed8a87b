"""What the cases 6 to 10 share: stand-ins, clients and the processes under test. Loopback only, real clock.

The stand-ins are small ones of this review: a roster (server-sent events), a worker (MessagePack-RPC) and an
MQTT device. The broker is the project's own (`petrelwood.standins.broker`). A case imports this file, runs
`main(case)`, and returns a list of breaks: exit 0 if it is empty, 1 if not, 2 if the case couldn't run.
"""

import asyncio
import base64
import hashlib
import hmac
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
sys.dont_write_bytecode = True

from petrelwood.links import packets as mqtt  # noqa: E402
from petrelwood.links import rpc, sse  # noqa: E402

PYTHON = str(ROOT / ".venv/bin/python")
SECRET = bytes(range(32))
KEY = "whsec_" + base64.b64encode(SECRET).decode()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CantRun(Exception):
    """The case could not be set up; says nothing of the rule."""


class Record:
    """Writes what was sent, answered and run, a line each, with the seconds since the start."""

    def __init__(self, path):
        self.file, self.began = open(path, "w", encoding="utf-8"), time.monotonic()

    def __call__(self, what, /, **facts):
        said = " ".join(f"{name}={value!r}" for name, value in facts.items())
        self.file.write(f"{time.monotonic() - self.began:9.3f} {what} {said}\n")
        self.file.flush()


def free_port():
    """Return a TCP port of 127.0.0.1 that nobody uses."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Roster:
    """The list of workers by server-sent events, with a comment each second."""

    def __init__(self):
        self.entries, self.number, self.streams = [], 0, set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            writer.write(sse.event("list", json.dumps(self.entries), f"e-{self.number}"))
            self.streams.add(writer)
            while True:
                writer.write(b": alive\n\n")
                await writer.drain()
                await asyncio.sleep(1)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.streams.discard(writer)
            writer.close()


class Worker:
    """Runs each activation for `work` seconds and answers; `runs` lists (mark, function, body)."""

    def __init__(self, name, record, work=0.05):
        self.name, self.record, self.work, self.runs = name, record, work, []
        self.result = lambda function, body: body

    async def open(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state="usable"):
        address = f"127.0.0.1:{self.port}"
        return {"worker": self.name, "address": address, "zone": "n", "state": state, "booted": 0}

    async def _serve(self, stream, writer):
        reader = rpc.Reader(1 << 24)
        writer.write(rpc.notification("hello", [self.name, 0]))
        try:
            while data := await stream.read(65536):
                for kind, *rest in reader.feed(data):
                    if kind != rpc.REQUEST:
                        continue
                    number, method, params = rest
                    if method == "run":
                        asyncio.ensure_future(self._run(writer, number, params))
                    elif method == "hold":
                        writer.write(rpc.response(number, None, ["ok", params[2]]))
                    else:
                        writer.write(rpc.response(number, None, {"running": 0}))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _run(self, writer, number, params):
        act, attempt, function, mark, _, _, body = params
        self.runs.append((mark, function, body))
        self.record(
            "run", worker=self.name, act=act, attempt=attempt, function=function, mark=mark, body=body
        )
        await asyncio.sleep(self.work)
        if not writer.is_closing():
            result = self.result(function, body)
            writer.write(rpc.response(number, None, [act, attempt, 1, result, {"running": 1}]))


class Device:
    """A customer's MQTT 5 session. `answers` lists (status, payload, topic) in order of arrival.

    It subscribes to all topics below `reply/USER/NAME/`. Without `correlation` a message has none.
    """

    def __init__(self, port, name, user, record):
        self.port, self.name, self.user, self.record = port, name, user, record
        self.answers, self.last, self.acks = [], 0, {}

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.subscribed = asyncio.Event()
        self._send(
            mqtt.Packet(
                mqtt.CONNECT,
                client=self.name,
                clean=0,
                keep_alive=60,
                user=self.user,
                password=self.user.encode(),
                props={"session_expiry": 120},
            )
        )
        self.task = asyncio.ensure_future(self._read())
        await asyncio.wait_for(self.subscribed.wait(), 10)

    def _send(self, packet):
        self.writer.write(mqtt.encode(packet))

    async def _read(self):
        reader = mqtt.Reader()
        while data := await self.reader.read(65536):
            for packet in reader.feed(data):
                self._packet(packet)

    def _packet(self, p):
        if p.type == mqtt.CONNACK:
            name = f"reply/{self.user}/{self.name}/#"
            self._send(
                mqtt.Packet(mqtt.SUBSCRIBE, 65000, props={}, subscriptions=[mqtt.Subscription(name, 2)])
            )
        elif p.type == mqtt.SUBACK:
            self.subscribed.set()
        elif p.type == mqtt.PUBLISH:
            status = dict(p.props.get("user", ())).get("status")
            self.answers.append((status, p.payload, p.topic))
            self.record(
                "answer", device=self.name, topic=p.topic, status=status, payload=p.payload, dup=p.dup
            )
            if p.qos:
                self._send(mqtt.Packet(mqtt.PUBACK if p.qos == 1 else mqtt.PUBREC, p.id))
        elif p.type == mqtt.PUBREL:
            self._send(mqtt.Packet(mqtt.PUBCOMP, p.id))
        elif p.type in (mqtt.PUBACK, mqtt.PUBREC):
            self.acks[p.id] = p.code
            self.record("acknowledged", device=self.name, id=p.id, code=p.code)
            if p.type == mqtt.PUBREC and p.code < 0x80:
                self._send(mqtt.Packet(mqtt.PUBREL, p.id))

    def ask(self, type_, function, body, reply, correlation=None, qos=2, expiry=None):
        """Publish an activation; its answer goes to `reply`, below the device's own topic."""
        self.last += 1
        props = {"response_topic": f"reply/{self.user}/{self.name}/{reply}"}
        if correlation is not None:
            props["correlation_data"] = correlation
        if expiry is not None:
            props["message_expiry"] = expiry
        self.record("publish", device=self.name, type=type_, function=function, body=body, qos=qos, **props)
        topic = f"act/{self.user}/{type_}/{function}"
        self._send(
            mqtt.Packet(
                mqtt.PUBLISH, self.last, topic=topic, payload=body, qos=qos, dup=0, retain=0, props=props
            )
        )
        return self.last

    def to(self, reply):
        """Return the answers (status, payload) that came to a reply topic."""
        topic = f"reply/{self.user}/{self.name}/{reply}"
        return [(status, payload) for status, payload, at in self.answers if at == topic]


def webhook(function, id_, stamp, body=b"{}", customer="x", more="", secret=SECRET):
    """Return the bytes of a signed webhook."""
    digest = hmac.new(secret, f"{id_}.{stamp}.".encode() + body, hashlib.sha256).digest()
    return (
        f"POST /hooks/{customer}/{function} HTTP/1.1\r\nHost: g\r\nContent-Length: {len(body)}\r\n"
        f"Content-Type: application/json\r\nwebhook-id: {id_}\r\nwebhook-timestamp: {stamp}\r\n"
        f"webhook-signature: v1,{base64.b64encode(digest).decode()}\r\n{more}\r\n"
    ).encode() + body


async def read_reply(reader):
    """Return (status, headers, body) of the next answer on a connection; raises EOFError if there is none."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return int(lines[0].split()[1]), headers, body


async def post(port, data, within=20):
    """Send one request on a new connection; return (status, headers, body), or None without an answer."""
    try:
        async with asyncio.timeout(within):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            try:
                return await read_reply(reader)
            finally:
                writer.close()
    except (OSError, EOFError):
        return None


class Processes:
    """Starts the project's programs, each in a session of its own, and ends all of them."""

    def __init__(self, folder, record):
        self.folder, self.record, self.all = folder, record, []

    async def start(self, *arguments, ready=b"ready", within=30, environment=None):
        """Start `python -B -m petrelwood...`; wait until it prints `ready` (None: do not wait)."""
        log = open(self.folder / f"log-{len(self.all)}.txt", "wb")
        process = await asyncio.create_subprocess_exec(
            PYTHON,
            "-B",
            "-m",
            *arguments,
            stdout=asyncio.subprocess.PIPE,
            stderr=log,
            cwd=ROOT,
            env={**os.environ, **(environment or {})},
            start_new_session=True,
        )
        log.close()
        process.log = log.name
        self.all.append(process)
        self.record("start", pid=process.pid, arguments=arguments[:3])
        if ready is not None:
            try:
                line = await asyncio.wait_for(process.stdout.readline(), within)
            except TimeoutError:
                line = b""
            if ready not in line:
                raise CantRun(
                    f"{arguments[:2]} did not get ready: {pathlib.Path(log.name).read_text()[-2000:]}"
                )
            self.record("ready", pid=process.pid)
        return process

    def signal(self, process, number):
        self.record("signal", pid=process.pid, signal=signal.Signals(number).name)
        process.send_signal(number)

    async def ended(self, process, within):
        """Return the exit status, or None if the process still runs after `within` seconds."""
        try:
            status = await asyncio.wait_for(process.wait(), within)
        except TimeoutError:
            return None
        self.record("ended", pid=process.pid, status=status)
        return status

    async def close(self):
        for process in self.all:
            if process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    continue
                await process.wait()


async def until(condition, within):
    """Wait until the condition holds; return whether it did within so many seconds."""
    end = time.monotonic() + within
    while not condition():
        if time.monotonic() > end:
            return False
        await asyncio.sleep(0.02)
    return True


def main(case, file, within=110):
    """Run `case(folder, record, processes)`; it returns the breaks of the rule, each a sentence."""
    here = pathlib.Path(file).resolve().parent
    record = Record(here / "record.txt")
    record("begin", case=here.name, trouble=TROUBLE)

    async def run():
        task, loop = asyncio.current_task(), asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):  # whoever ends the script ends its processes with it
            loop.add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as name:
            processes = Processes(pathlib.Path(name), record)
            try:
                async with asyncio.timeout(within):
                    return await case(pathlib.Path(name), record, processes)
            finally:
                for process in processes.all:
                    for line in pathlib.Path(process.log).read_text(errors="replace").splitlines()[-40:]:
                        record(f"log {process.pid}", line=line[:400])
                await processes.close()

    try:
        breaks = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record("could not run", error=repr(error), place=traceback.format_exc())
        print(f"could not run: {error!r}")
        os._exit(2)
    for line in breaks:
        record("BROKEN", what=line)
        print(line)
    record("end", breaks=len(breaks))
    print("the rule was broken" if breaks else "the rule held")
    sys.stdout.flush()
    os._exit(1 if breaks else 0)
