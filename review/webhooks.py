"""Stand-ins for `petrelwood serve`: a worker, a roster of server-sent events, and the process itself."""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile

import standins

sys.path.insert(0, str(standins.ROOT))

from petrelwood.fronts.signing import sign  # noqa: E402
from petrelwood.links import rpc, sse  # noqa: E402
from petrelwood.standins.caller import Caller, ConnectionLostError, request  # noqa: E402

__all__ = ["Caller", "ConnectionLostError", "EventRoster", "Gateway", "Worker", "message"]

SECRET = bytes(range(32))
FILE = """
gateway "d1" {{
    listen "127.0.0.1:{listen}"; roster "127.0.0.1:{roster}"; zone "north"; seed 1; tolerance "{tolerance}s"
}}
customer "acme" {{ key "{key}" }}
namespace-type "book" {{ target-latency "1s"; action-timeout "{timeout}s"; effect "once-only" }}
function "book-*" type="book" lanes=4
workers {{ cold "8s" from=0.25; fall "1s" multiple=2.5; sends 3; keep "8s"; on-miss "load" }}
limits {{ held 200; ledger 10000 }}
state {{ folder "state"; durability "process" }}
control "d1.sock"
"""


class Worker:
    """A worker by MessagePack-RPC that completes each run, at once unless its function has a gate."""

    def __init__(self, record):
        self.record, self.runs, self.server, self.port, self.writers = record, [], None, 0, []
        self.tasks = set()
        self.gates = {}  # function -> event until which its runs last; others take no time

    async def open(self):
        self.server = await asyncio.start_server(self._serve, standins.HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self):
        return {
            "worker": "w1",
            "address": f"{standins.HOST}:{self.port}",
            "zone": "north",
            "state": "usable",
            "booted": 0,
        }

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        messages = rpc.Reader(1 << 24)
        writer.write(rpc.notification("hello", ["w1", 0]))
        try:
            while data := await reader.read(65536):
                for kind, *rest in messages.feed(data):
                    if kind == rpc.REQUEST:
                        task = asyncio.ensure_future(self._answer(writer, *rest))
                        self.tasks.add(task)
                        task.add_done_callback(self.tasks.discard)
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(self, writer, msgid, method, params):
        result = {"running": 0}
        if method == "run":
            activation, attempt, function, mark, *_ = params
            self.runs.append(mark)
            self.record.note("w1", "RUNS", mark=mark, activation=activation, attempt=attempt)
            if function in self.gates:
                await self.gates[function].wait()
            result = [activation, attempt, 1, b'{"booked":true}', {"running": 1}]
        elif method == "hold":
            result = ["ok", params[2]]
        if not writer.is_closing():
            writer.write(rpc.response(msgid, None, result))

    def close(self):
        for task in list(self.tasks):
            task.cancel()
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class EventRoster:
    """The roster by server-sent events: the whole list at the beginning, then only comments."""

    def __init__(self, entries):
        self.entries, self.server, self.port, self.writers = entries, None, 0, set()

    async def open(self):
        self.server = await asyncio.start_server(self._serve, standins.HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
                + sse.event("list", json.dumps(self.entries()), "e-0")
            )
            while not writer.is_closing():
                writer.write(b": alive\n\n")
                await asyncio.sleep(1)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


class Gateway:
    """The dispatcher behind webhooks: `petrelwood serve`."""

    def __init__(self, roster, record, tolerance, timeout):
        self.folder = tempfile.TemporaryDirectory()
        self.record, self.process, self.processes = record, None, []
        probe = socket.socket()
        probe.bind((standins.HOST, 0))
        self.address = probe.getsockname()
        probe.close()
        key = "whsec_" + base64.b64encode(SECRET).decode()
        text = FILE.format(
            listen=self.address[1], roster=roster.port, key=key, tolerance=tolerance, timeout=timeout
        )
        (pathlib.Path(self.folder.name) / "gateway.kdl").write_text(text)

    async def start(self, command="serve"):
        """Start `petrelwood serve` or `upgrade`, and return the process once it says that it is ready."""
        with open(pathlib.Path(self.folder.name) / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(standins.ROOT / ".venv/bin/python"),
                "-B",
                "-m",
                "petrelwood.cli",
                command,
                "gateway.kdl",
                cwd=self.folder.name,
                env={**os.environ, "PYTHONPATH": str(standins.ROOT)},
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        self.processes.append(self.process)
        line = await asyncio.wait_for(self.process.stdout.readline(), 30)
        if b"ready" not in line:
            log = (pathlib.Path(self.folder.name) / "log").read_text()
            raise standins.CannotRun("the gateway did not become ready: " + log[-2000:])
        self.record.note("operator", command, pid=self.process.pid)
        return self.process

    def log(self):
        return (pathlib.Path(self.folder.name) / "log").read_text()

    async def kill(self):
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()
        self.record.note("operator", "killed", pid=self.process.pid)

    async def close(self):
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGKILL)
                await process.wait()
        self.folder.cleanup()


def message(id_, stamp, function="book-1"):
    body = b'{"flat":7}'
    headers = {
        "Content-Type": "application/json",
        "webhook-id": id_,
        "webhook-timestamp": str(stamp),
        "webhook-signature": sign("v1", SECRET, id_, stamp, body),
    }
    return request(f"/hooks/acme/{function}", headers, body)
