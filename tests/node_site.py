"""A small platform for `petrelwood.node` on loopback, with scripted peers: workers that speak JSON lines, a
roster that answers DNS queries, and clients."""

import asyncio
import base64
import gc
import json
import os
import pathlib
import sys
import tempfile
import time

import dns.flags
import dns.message
import dns.rrset
import msgpack
from free_ports import free_port

ROOT = pathlib.Path(__file__).parent.parent
SETTINGS = {
    "zone": "north",
    "balancers": 1,
    "tick": 1000,
    "membershipMode": "push",
    "classes": [
        {
            "name": "plain",
            "slo": 400_000,
            "deadline": 2_000_000,
            "effect": "repeatable",
            "keyScope": "all",
            "window": 0,
        },
        {
            "name": "marked",
            "slo": 800_000,
            "deadline": 2_000_000,
            "effect": "by_key",
            "keyScope": "zone",
            "window": 4_000_000,
        },
        {
            "name": "single",
            "slo": 800_000,
            "deadline": 2_000_000,
            "effect": "once",
            "keyScope": "all",
            "window": 0,
        },
    ],
    "tenants": [{"name": "acme", "quotaRps": 10_000.0, "share": 1.0}],
    "familyInfo": {
        "mayOrder": True,
        "onMiss": "miss",
        "keep": 60_000_000,
        "freeLoads": 50.0,
        "loadPart": 1.0,
        "loadPeriod": 10_000_000,
        "orderLimit": 2_000_000,
    },
    "guarantees": {
        "cold": 1_000_000,
        "startCapacity": 0.2,
        "fallMultiple": 2.5,
        "fall": 1_000_000,
        "drainGrace": 2_000_000,
    },
    "permissions": {
        "maxAttempts": 3,
        "secondCopies": True,
        "cancelling": True,
        "probes": True,
        "retryAfter": True,
        "maxRetryAfter": 500_000,
        "connectTimeout": 250_000,
        "connIdle": 30_000_000,
        "multiplex": 32,
    },
    "loadInfo": {"how": "pull", "fields": ["depth", "concurrent"]},
}


class Worker:
    """A worker that answers at once. `runs`: the ids of the activations that it ran, in order.

    `script(worker, command, writer)` may replace the answer to a run: it returns a dict or bytes,
    None for the usual answer or b"" for no answer, and may be async."""

    def __init__(self, name, script=None):
        self.name, self.script, self.runs, self.meta, self.kills, self.orders, self.probes = (
            name,
            script,
            [],
            [],
            [],
            [],
            0,
        )
        self.copies, self.server, self.port, self.streams = set(), None, None, []

    async def open(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    async def close(self):
        self.server.close()
        for stream in self.streams:
            stream.transport.abort()

    async def _serve(self, reader, writer):
        self.streams.append(writer)
        try:
            while line := await reader.readline():
                asyncio.ensure_future(self._line(json.loads(line), writer))
        except (ConnectionError, ValueError):
            pass
        finally:
            if writer in self.streams:
                self.streams.remove(writer)
            writer.close()

    async def _line(self, said, writer):
        kind, tag, meta = said["type"], said["req"], said.get("meta") or {}
        if kind == "KILL":
            self.kills.append(tag)
            return
        if kind == "TOP":
            self.probes += 1
            answer = {"type": "PONG", "req": tag, "meta": {"l": f"inflight:{len(self.runs)};queue:0"}}
        elif kind == "SPAWN":
            self.orders.append(meta["asset"])
            self.copies.add(meta["asset"])
            answer = {"type": "HIT", "req": tag, "meta": {"pods": 1}}
        elif meta["asset"] not in self.copies:
            answer = {"type": "NONE", "req": tag, "meta": {}}
        else:
            self.runs.append(tag)
            self.meta.append(meta)
            answer = None
            if self.script is not None:
                answer = self.script(self, said, writer)
                if asyncio.iscoroutine(answer):
                    answer = await answer
            if answer is None:
                answer = hit(said)
        if isinstance(answer, dict):
            answer = json.dumps(answer).encode() + b"\n"
        if answer and not writer.is_closing():
            writer.write(answer)


def hit(said, body=None):
    """Return the usual answer of a worker to a command."""
    data = said["data"] if body is None else base64.b64encode(body).decode()
    return {"type": "HIT", "req": said["req"], "meta": {"n": "warm"}, "data": data}


class Roster(asyncio.DatagramProtocol):
    """A roster that answers DNS queries. `rewrite(wire)` returns the answer to send instead, or None."""

    def __init__(self):
        self.serial, self.entries, self.asked, self.rewrite, self.port, self.transport = (
            1,
            {},
            0,
            None,
            None,
            None,
        )

    async def open(self):
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, ("127.0.0.1", 0)
        )
        self.port = self.transport.get_extra_info("sockname")[1]

    def tell(self, worker, state="Ready", zone="north", started=0):
        self.serial += 1
        if state == "Gone":
            self.entries.pop(worker.name, None)
        else:
            self.entries[worker.name] = (worker.port, state, zone, started)

    def datagram_received(self, data, sender):
        self.asked += 1
        wire = answer(data, self.serial, self.entries)
        if self.rewrite is not None:
            wire = self.rewrite(wire)
        if wire is not None:
            self.transport.sendto(wire, sender)


def answer(asked, serial, entries):
    """Return the answer of the roster to a query, with the complete list."""
    reply = dns.message.make_response(dns.message.from_wire(asked))
    reply.flags |= dns.flags.AA
    name = "_api._tcp.svc.local."
    for worker, (port, state, zone, started) in entries.items():
        host = f"{worker}.{zone}.hosts."
        reply.answer.append(
            dns.rrset.from_text(name, 5, "IN", "SRV", f"{int(state != 'Ready')} 10 {port} {host}")
        )
        reply.additional.append(dns.rrset.from_text(host, 5, "IN", "A", "127.0.0.1"))
        reply.additional.append(
            dns.rrset.from_text(host, 5, "IN", "TXT", f'"kind=std" "cell=1" "started={started}"')
        )
    reply.authority.append(
        dns.rrset.from_text("svc.local.", 5, "IN", "SOA", f"ns.local. ops.local. {serial} 1 1 1 1")
    )
    return reply.to_wire(max_size=8000)


class Client:
    """One client connection. `call` returns ("completed", body), (error, fields) or ("lost", None).

    `unexpected`: answers to requests that were not open."""

    def __init__(self, address):
        self.address, self.last, self.waiting, self.unexpected, self.reader, self.writer = (
            address,
            0,
            {},
            [],
            None,
            None,
        )

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.task = asyncio.ensure_future(self._read())
        return self

    async def _read(self):
        unpacker = msgpack.Unpacker(raw=False)
        try:
            while data := await self.reader.read(65536):
                unpacker.feed(data)
                for _, msgid, error, result in unpacker:
                    wait = self.waiting.pop(msgid, None)
                    if wait is None:
                        self.unexpected.append((msgid, error, result))
                    elif error is None:
                        wait.set_result(("completed", result[0]))
                    else:
                        wait.set_result((error[0], error[1]))
        except ConnectionError:
            pass
        for wait in self.waiting.values():
            if not wait.done():
                wait.set_result(("lost", None))

    def begin(self, fields, body=b"x", type_="plain", msgid=None):
        self.last += 1
        msgid = msgid or self.last
        self.waiting[msgid] = done = asyncio.get_running_loop().create_future()
        self.writer.write(msgpack.packb([0, msgid, type_, [fields, body]]))
        return done

    async def call(self, fields=None, body=b"x", type_="plain", within=6, **more):
        return await asyncio.wait_for(self.begin(fields or ask(**more), body, type_), within)

    def cancel(self, msgid):
        self.writer.write(msgpack.packb([2, "cancel", [msgid]]))

    async def health(self):
        self.last += 1
        self.waiting[self.last] = done = asyncio.get_running_loop().create_future()
        self.writer.write(msgpack.packb([0, self.last, "health", [{}]]))
        return (await asyncio.wait_for(done, 6))[1]

    async def closed(self, within=6):
        await asyncio.wait_for(asyncio.shield(self.task), within)

    def close(self):
        self.writer.close()


NUMBER = iter(range(1 << 40, 1 << 60))


def ask(fn=1, ttl=2000, **more):
    """Return the fields of a request, with a new id."""
    return {
        "call": f"{next(NUMBER):016x}",
        "ttl": str(ttl),
        "org": "acme",
        "row": f"{fn:016x}",
        "work": "5.0",
        "facts": "memory_mb:64;lanes:4;load_ms:20",
        **more,
    }


class Site:
    """A dispatcher process, `python -m petrelwood.node`, among scripted peers: `async with Site(workers)`."""

    def __init__(self, workers, sockets=256, memory=64, **settings):
        self.workers, self.roster, self.limits, self.settings = (
            workers,
            Roster(),
            (sockets, memory),
            {**SETTINGS, **settings},
        )
        self.process, self.log, self.folder = None, [], tempfile.TemporaryDirectory()

    async def __aenter__(self):
        # exclude the objects of earlier tests from collections, which would delay the workers here
        gc.collect()
        gc.freeze()
        await self.roster.open()
        for worker in self.workers:
            await worker.open()
            self.roster.tell(worker)
        self.address = ("127.0.0.1", free_port())
        await self.start()
        return self

    def write(self, **changes):
        entries = [
            {
                "name": w,
                "address": f"127.0.0.1:{port}",
                "zone": zone,
                "type": "std",
                "group": 1,
                "status": state,
                "weight": 1,
                "since_ms": started,
            }
            for w, (port, state, zone, started) in self.roster.entries.items()
        ]
        told = {
            "name": "n0",
            "listen": "%s:%d" % self.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.limits[1], "sockets": self.limits[0]},
            "names": f"127.0.0.1:{self.roster.port}",
            "known": {
                "offset": self.roster.serial,
                "batch": [
                    {
                        "offset": self.roster.serial,
                        "topology": {"index": 0, "snapshot": True, "endpoints": entries},
                    }
                ],
            },
            "settings": self.settings,
            **changes,
        }
        path = pathlib.Path(self.folder.name) / "config.json"
        part = path.with_suffix(".part")
        part.write_text(json.dumps(told))
        return part.replace(path)  # atomic, because the dispatcher may be reading the file

    def environ(self, path):
        return {
            **os.environ,
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": "%s:%d" % self.address,
            "PROXY_CONFIG": str(path),
        }

    async def start(self, command=(sys.executable, "-m", "petrelwood.node"), **environ):
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env={**self.environ(self.write()), **environ}, stderr=asyncio.subprocess.PIPE
        )
        self.reading = asyncio.ensure_future(self._logs(self.process.stderr))
        await self.until(lambda: any('"listening"' in line for line in self.log))

    async def _logs(self, stream):
        while line := await stream.readline():
            self.log.append(line.decode())

    async def client(self):
        return await Client(self.address).open()

    async def until(self, what, within=10):
        """Wait until a condition holds; fail after `within` seconds or when the dispatcher has ended."""
        end = time.monotonic() + within
        while not what():
            if time.monotonic() > end or self.process.returncode is not None:
                raise AssertionError(f"it did not come; the dispatcher's log: {''.join(self.log[-20:])}")
            await asyncio.sleep(0.01)

    def figures(self):
        """Return the memory (bytes) and the number of descriptors of the dispatcher."""
        at = pathlib.Path(f"/proc/{self.process.pid}")
        return int((at / "statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE"), len(
            list((at / "fd").iterdir())
        )

    async def stop(self, within=6):
        """Send SIGTERM and return the exit status."""
        self.process.terminate()
        return await asyncio.wait_for(self.process.wait(), within)

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.reading
        for worker in self.workers:
            await worker.close()
        self.roster.transport.close()
        self.folder.cleanup()
