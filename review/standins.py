"""Small stand-ins for the review: the platform's roster, workers and clients, and the dispatcher's process.

They follow the operators' pages. All addresses are on loopback, all ports are free ones.
"""

import asyncio
import base64
import json
import os
import pathlib
import signal
import socket
import tempfile
import time
import tomllib

import dns.flags
import dns.message
import dns.rrset
import msgpack

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
SERVICE = "_api._tcp.svc.local."


class CannotRun(Exception):
    """The case could not be played: neither kept nor broken."""


class Record:
    """What was sent, answered and run, in the order of time; written to record.txt."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.began = time.monotonic()
        self.file = open(self.path, "w")

    def now(self):
        return time.monotonic() - self.began

    def note(self, who, what, **more):
        fields = " ".join(f"{name}={value}" for name, value in more.items())
        self.file.write(f"{self.now():9.3f} {who:12} {what} {fields}\n")
        self.file.flush()

    def close(self):
        self.file.close()


class Runner:
    """A worker of the platform, with a listening socket that can be cut off.

    `serve(runner, request)` is a coroutine that returns the answer to FN as (word, fields, body), or None for
    no answer. `FN` for a function without a copy is answered NONE; SPAWN loads a copy in `load` seconds.
    """

    def __init__(self, name, record, serve, load=0.1, zone="north", cell=1, started_ms=0):
        self.name, self.record, self.serve, self.load, self.zone = name, record, serve, load, zone
        self.cell, self.started_ms = cell, started_ms
        self.state = "Ready"
        self.copies = set()
        self.held = 0
        self.writers = set()
        self.fillers = []
        self.tasks = set()
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind((HOST, 0))
        self.port = self.sock.getsockname()[1]
        self.accepting = None
        self.reachable = asyncio.Event()

    def open(self):
        self.reachable.set()
        self.sock.listen(512)
        self.accepting = self._task(self._accept())

    def _task(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _accept(self):
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.sock)
            reader, writer = await asyncio.open_connection(sock=sock, limit=1 << 20)
            self._task(self._connection(reader, writer))

    def cut_off(self):
        """Say nothing on open connections, and let no new one come up.

        The accept queue is full then, so the kernel drops what asks for a connection.
        """
        self.reachable.clear()
        self.accepting.cancel()
        self.sock.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)

    def join_again(self):
        """New connections come up again; one asked for meanwhile does when its kernel asks once more."""
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.open()

    async def _connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                await self.reachable.wait()
                self._task(self._line(json.loads(line), writer))
        except (ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _line(self, said, writer):
        kind, tag, meta = said["type"], said["req"], said.get("meta") or {}
        answer = None
        if kind in ("HELO", "TOP"):
            load = f"queue:0;inflight:{self.held};x1:0"
            answer = {"type": "PONG", "req": tag, "meta": {"l": load}}
        elif kind == "SPAWN":
            self.record.note(self.name, "SPAWN", function=meta["asset"], pods=meta["pods"])
            await asyncio.sleep(self.load)
            if int(meta["pods"]):
                self.copies.add(meta["asset"])
            answer = {"type": "HIT", "req": tag, "meta": {"pods": int(meta["asset"] in self.copies)}}
        elif kind == "KILL":
            self.record.note(self.name, "KILL", req=tag)
        elif kind == "REAP":
            self.copies.discard(tag)
        elif kind == "FN":
            answer = await self._run(tag, meta, said)
        await self.reachable.wait()
        if answer is not None and not writer.is_closing():
            writer.write(json.dumps(answer).encode() + b"\n")

    async def _run(self, tag, meta, said):
        key = meta.get("op", "-")
        self.record.note(
            self.name, "FN", req=tag, sort=meta["sort"], op=key, function=meta["asset"], held=self.held
        )
        if meta["asset"] not in self.copies:
            return {"type": "NONE", "req": tag, "meta": {}}
        request = {
            "req": tag,
            "sort": meta["sort"],
            "asset": meta["asset"],
            "op": meta.get("op"),
            "body": base64.b64decode(said["data"]),
        }
        self.held += 1
        try:
            answered = await self.serve(self, request)
        finally:
            self.held -= 1
        if answered is None:
            return None
        word, fields, body = answered
        self.record.note(self.name, word, req=tag)
        return {"type": word, "req": tag, "meta": fields, "data": base64.b64encode(body).decode()}

    def close(self):
        for task in list(self.tasks):
            task.cancel()
        for writer in list(self.writers):
            writer.transport.abort()
        for filler in self.fillers:
            filler.close()
        self.sock.close()


class Roster(asyncio.DatagramProtocol):
    """The directory: answers each query with the whole list, at once."""

    def __init__(self, runners, record):
        self.runners, self.record, self.serial, self.transport, self.port = runners, record, 1, None, 0
        self.told = {}  # serial -> when an answer that holds it was first sent

    async def open(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, (HOST, 0))
        self.port = self.transport.get_extra_info("sockname")[1]

    def happened(self, what, **more):
        self.serial += 1
        self.record.note("roster", what, serial=self.serial, **more)

    def datagram_received(self, data, sender):
        reply = dns.message.make_response(dns.message.from_wire(data))
        reply.flags |= dns.flags.AA
        for runner in self.runners:
            if runner.state == "Gone":
                continue
            host = f"{runner.name}.{runner.zone}.hosts."
            priority = int(runner.state != "Ready")
            reply.answer.append(
                dns.rrset.from_text(SERVICE, 5, "IN", "SRV", f"{priority} 10 {runner.port} {host}")
            )
            reply.additional.append(dns.rrset.from_text(host, 5, "IN", "A", HOST))
            text = f'"kind=std" "cell={runner.cell}" "started={runner.started_ms}"'
            reply.additional.append(dns.rrset.from_text(host, 5, "IN", "TXT", text))
        soa = f"ns.svc.local. ops.svc.local. {self.serial} 1 1 1 1"
        reply.authority.append(dns.rrset.from_text("svc.local.", 5, "IN", "SOA", soa))
        self.transport.sendto(reply.to_wire(max_size=8000), sender)
        if self.serial not in self.told:
            self.told[self.serial] = self.record.now()
            self.record.note("roster", "told", serial=self.serial)

    def close(self):
        if self.transport is not None:
            self.transport.close()


class Client:
    """One connection of a client. `call` returns ("served", body), (error, fields) or ("closed", None)."""

    def __init__(self, address, record, name="client"):
        self.address, self.record, self.name = address, record, name
        self.last, self.waiting, self.unexpected, self.writer, self.task = 0, {}, [], None, None

    async def open(self):
        reader, self.writer = await asyncio.open_connection(*self.address)
        self.task = asyncio.ensure_future(self._read(reader))
        return self

    async def _read(self, reader):
        unpacker = msgpack.Unpacker(raw=False)
        try:
            while data := await reader.read(65536):
                unpacker.feed(data)
                for _, msgid, error, result in unpacker:
                    answer = ("served", result[0]) if error is None else (error[0], error[1])
                    wait = self.waiting.pop(msgid, None)
                    if wait is None:
                        self.unexpected.append(msgid)
                        self.record.note(self.name, "second answer", msgid=msgid)
                    elif not wait.done():
                        wait.set_result(answer)
        except ConnectionError:
            pass
        for wait in self.waiting.values():
            if not wait.done():
                wait.set_result(("closed", None))

    def begin(self, sort, fields, body=b"x"):
        self.last += 1
        self.waiting[self.last] = wait = asyncio.get_running_loop().create_future()
        self.record.note(
            self.name,
            "request",
            msgid=self.last,
            call=fields["call"],
            sort=sort,
            op=fields.get("dedupe", "-"),
        )
        self.writer.write(msgpack.packb([0, self.last, sort, [fields, body]]))
        return wait

    async def call(self, sort, fields, body=b"x", within=10):
        wait = self.begin(sort, fields, body)
        try:
            answer = await asyncio.wait_for(wait, within)
        except TimeoutError:
            answer = ("nothing", None)
        self.record.note(self.name, "answer", call=fields["call"], answer=answer[0])
        return answer

    async def health(self):
        self.last += 1
        self.waiting[self.last] = wait = asyncio.get_running_loop().create_future()
        self.writer.write(msgpack.packb([0, self.last, "health", [{}]]))
        return await asyncio.wait_for(wait, 5)

    def close(self):
        if self.writer is not None:
            self.writer.close()


class Dispatcher:
    """The program, started with `run` of the deploy file."""

    def __init__(self, roster, runners, settings, sockets=256, memory_mb=64, name="n0"):
        self.roster, self.runners, self.settings, self.name = roster, runners, settings, name
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.folder = tempfile.TemporaryDirectory()
        probe = socket.socket()
        probe.bind((HOST, 0))
        self.address = probe.getsockname()
        probe.close()
        self.process, self.starts = None, 0

    def _entry(self, runner):
        return {
            "name": runner.name,
            "address": f"{HOST}:{runner.port}",
            "zone": runner.zone,
            "type": "std",
            "group": runner.cell,
            "status": runner.state,
            "weight": 1,
            "since_ms": runner.started_ms,
        }

    def write(self):
        self.starts += 1
        serial = self.roster.serial
        entries = [self._entry(each) for each in self.runners if each.state != "Gone"]
        event = {"offset": serial, "topology": {"index": 0, "snapshot": True, "endpoints": entries}}
        told = {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "seed": f"{int(os.environ.get('SEED', '1')) * 1000 + self.starts:016x}",
            "limits": self.limits,
            "names": f"{HOST}:{self.roster.port}",
            "known": {"offset": serial, "batch": [event]},
            "settings": self.settings,
        }
        path = pathlib.Path(self.folder.name) / "config.json"
        path.write_text(json.dumps(told))
        return path

    async def start(self, record):
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environ = {
            **os.environ,
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": "{}:{}".format(*self.address),
            "PROXY_CONFIG": str(self.write()),
            "TMPDIR": self.folder.name,
        }
        with open(pathlib.Path(self.folder.name) / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environ, stdout=log, stderr=log
            )
        record.note("platform", "started", pid=self.process.pid)
        until = time.monotonic() + 30
        while time.monotonic() < until and self.process.returncode is None:
            client = Client(self.address, record, "front")
            try:
                await client.open()
                answer = await client.health()
                if answer[0] == "served" and answer[1] is True:
                    return
            except (OSError, TimeoutError):
                pass
            finally:
                client.close()
            await asyncio.sleep(0.05)
        raise CannotRun("the dispatcher did not become ready: " + self.log()[-2000:])

    def log(self):
        return (pathlib.Path(self.folder.name) / "log").read_text(errors="replace")

    def has_ended(self):
        return self.process.returncode is not None

    async def close(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.folder.cleanup()


async def _within_time(case, record, trouble):
    """Play a case; a signal to the script ends it as well, so that no process is left behind."""
    task = asyncio.ensure_future(asyncio.wait_for(case(record, trouble), 100))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await task


def play(folder, case):
    """Run `case(record, trouble)`, which returns a list of breaks; return the exit status of the script."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        breaks = asyncio.run(_within_time(case, record, trouble))
    except (Exception, asyncio.CancelledError) as error:  # whatever fails here shows nothing of the rule
        record.note("judge", "could not run", why=repr(error))
        print("could not run:", repr(error))
        return 2
    finally:
        record.close()
    with open(record.path, "a") as file:
        for line in breaks:
            print("broken:", line)
            file.write(f"broken: {line}\n")
        if not breaks:
            print("kept")
            file.write("kept\n")
    return 1 if breaks else 0
