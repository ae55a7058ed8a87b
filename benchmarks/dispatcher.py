"""Measures the latency that the dispatcher adds to a call, its throughput, and its memory and CPU costs.

    .venv/bin/python benchmarks/dispatcher.py latency|throughput|held|fleet [--runs 3] [--seconds 5]

latency     added p50 and p99 at half load, after subtracting that of direct calls to a worker in the same run
throughput  activations per second of one saturated dispatcher process, and CPU time per activation
held        memory of one dispatcher process with 10,000 activations held
fleet       CPU time per activation at 10, 100 and 500 workers

All servers are stand-ins on loopback. Workers answer after a fixed time, so that only the dispatcher is
measured. Results are medians over the runs."""

import argparse
import asyncio
import base64
import json
import multiprocessing
import os
import pathlib
import resource
import socket
import statistics
import subprocess
import sys
import tempfile
import time

import orjson
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from petrelwood.fronts.signing import sign
from petrelwood.links import rpc, sse
from petrelwood.standins.caller import Caller, request

SECRET = bytes(32)
KEY = "whsec_" + base64.b64encode(SECRET).decode()
MS = 0.001


class Plain(TCPServer):
    """A stand-in worker that answers every call after `took` seconds."""

    def __init__(self, name, took):
        super().__init__()
        self.name, self.took = name, took

    async def handle_stream(self, stream, address):
        stream.set_nodelay(True)
        loop, reader = asyncio.get_running_loop(), rpc.Reader(1 << 24)
        stream.write(rpc.notification("hello", [self.name, 0]))
        try:
            while True:
                for kind, *rest in reader.feed(await stream.read_bytes(65536, partial=True)):
                    if kind != rpc.REQUEST:
                        continue
                    msgid, method, params = rest
                    if method == "run":
                        reply = rpc.response(
                            msgid, None, [params[0], params[1], 1, b'{"ok":1}', {"running": 1}]
                        )
                    elif method == "hold":
                        reply = rpc.response(msgid, None, ["ok", params[2]])
                    else:
                        reply = rpc.response(msgid, None, {"running": 1})
                    if self.took and method == "run":
                        loop.call_later(self.took, self.write, stream, reply)
                    else:
                        stream.write(reply)
        except StreamClosedError:
            pass

    @staticmethod
    def write(stream, reply):
        """Write a reply unless the connection is closed."""
        if not stream.closed():
            stream.write(reply)


class Roster(TCPServer):
    """A roster that sends one list and then only heartbeats."""

    entries = []

    async def handle_stream(self, stream, address):
        await stream.read_until(b"\r\n\r\n")
        await stream.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            + sse.event("list", orjson.dumps(self.entries).decode(), "e-0")
        )
        while not stream.closed():
            await asyncio.sleep(1)
            stream.write(b": alive\n\n").add_done_callback(lambda done: done.exception())


def backend(pipe, workers, took):
    """Run all workers and the roster in this process; send the roster's port and a worker's address."""

    async def serve():
        entries = []
        for i in range(workers):
            sockets = bind_sockets(0, "127.0.0.1")
            Plain(f"w{i}", took).add_sockets(sockets)
            entries.append(
                {
                    "worker": f"w{i}",
                    "address": f"127.0.0.1:{sockets[0].getsockname()[1]}",
                    "zone": "n",
                    "cell": 0,
                    "booted": 0,
                    "state": "usable",
                }
            )
        Roster.entries, sockets = entries, bind_sockets(0, "127.0.0.1")
        Roster().add_sockets(sockets)
        pipe.send((sockets[0].getsockname()[1], entries[0]["address"]))
        await asyncio.sleep(3600)

    asyncio.run(serve())


class Setup:
    """A dispatcher process with stand-in workers."""

    customer, prefix = "x", "f"  # of messages: the customer, and the beginning of functions' names

    def __init__(self, workers, took, lanes=64, timeout="10s", functions=200, profile=None):
        here, there = multiprocessing.Pipe()
        self.backend = multiprocessing.Process(target=backend, args=(there, workers, took), daemon=True)
        self.backend.start()
        roster, address = here.recv()
        host, _, port = address.rpartition(":")
        self.worker, self.functions = (host, int(port)), functions
        self.folder = tempfile.TemporaryDirectory()
        path = pathlib.Path(self.folder.name) / "g.kdl"
        path.write_text(f'''
gateway "bench" {{ listen "127.0.0.1:0"; roster "127.0.0.1:{roster}"; zone "n" }}
customer "x" {{ key "{KEY}" }}
namespace-type "t" {{ target-latency "1s"; action-timeout "{timeout}"; effect "repeatable" }}
function "f*" type="t" lanes={lanes}
workers {{ cold "5s" from=0.2; fall "1s" multiple=3.0; sends 3; keep "60s"; on-miss "load"; probe #false }}
limits {{ connections 20000; held 20000; per-customer 1.0 }}
''')
        self._serve(path, profile)

    def _serve(self, path, profile=None):
        """Start the dispatcher with a gateway's file and wait until it is ready."""
        command = [sys.executable, "-m", "petrelwood.cli", "serve", str(path), "--level", "warning"]
        if profile:
            command = [sys.executable, "-m", "cProfile", "-o", profile, *command[1:]]
        self.child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        host, _, port = json.loads(self.child.stdout.readline())["ready"].rpartition(":")
        self.address, self.number = (host, int(port)), 0
        self.stamp = int(time.time()) + 2  # the dispatcher refuses messages signed before it started

    def call_id(self):
        """Return an id that no other process of callers uses."""
        return f"m{os.getpid()}-{self.number}"

    def message(self, function=None):
        """Return the bytes of a signed webhook."""
        self.number += 1
        id_, body = self.call_id(), b'{"a":1}'
        function = function or f"{self.prefix}{self.number % self.functions}"
        return request(
            f"/hooks/{self.customer}/{function}",
            {
                "Content-Type": "application/json",
                "webhook-id": id_,
                "webhook-timestamp": self.stamp,
                "webhook-signature": sign("v1", SECRET, id_, self.stamp, body),
            },
            body,
        )

    def cpu(self):
        """Return the CPU time of the dispatcher in seconds."""
        with open(f"/proc/{self.child.pid}/stat", encoding="ascii") as file:
            parts = file.read().rsplit(")", 1)[1].split()
        return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self):
        """Return the resident set size of the dispatcher in bytes."""
        with open(f"/proc/{self.child.pid}/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * resource.getpagesize()

    def close(self):
        """End the dispatcher and the stand-ins."""
        self.child.terminate()
        self.child.wait()
        self.backend.terminate()
        self.folder.cleanup()


async def direct(address, number):
    """Call the worker directly; return the round-trip times in seconds."""
    stream = IOStream(socket.socket())
    await stream.connect(address)
    stream.set_nodelay(True)
    reader, took = rpc.Reader(1 << 20), []
    reader.feed(await stream.read_bytes(65536, partial=True))
    for i in range(number):
        begun = time.perf_counter()
        await stream.write(rpc.request(i, "run", ["a", 0, "f1", "x/a", 1, 1, b'{"a":1}']))
        while not reader.feed(await stream.read_bytes(65536, partial=True)):
            pass
        took.append(time.perf_counter() - begun)
    stream.close()
    return took


async def open_load(setup, rate, seconds, callers=64):
    """Make calls at a fixed rate (open loop); return latencies from when each was due, and status counts."""
    caller, took, statuses, tasks = Caller(setup.address, 4096), [], {}, set()

    async def one(due):
        reply = await caller.call(setup.message(), 30)
        took.append(time.perf_counter() - due)
        statuses[reply.status] = statuses.get(reply.status, 0) + 1

    begun = time.perf_counter()
    for i in range(int(rate * seconds)):
        due = begun + i / rate
        wait = due - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        task = asyncio.ensure_future(one(due))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    caller.close()
    return took, statuses


async def closed_load(setup, callers, seconds):
    """Make calls by `callers` callers, each with one call at a time (closed loop); return the counts of
    completed and of other calls."""
    ends, done, bad = time.perf_counter() + seconds, [0], [0]

    async def one():
        caller = Caller(setup.address)
        while time.perf_counter() < ends:
            reply = await caller.call(setup.message(), 30)
            done[0] += reply.status == 200
            bad[0] += reply.status != 200
        caller.close()

    await asyncio.gather(*(one() for _ in range(callers)))
    return done[0], bad[0]


def loader(address, stamp, functions, callers, seconds, pipe):
    """Run callers in this process; several processes ensure that the callers are not the bottleneck."""
    setup = Setup.__new__(Setup)
    setup.address, setup.stamp, setup.functions, setup.number = address, stamp, functions, 0
    pipe.send(asyncio.run(closed_load(setup, callers, seconds)))


def full_load(setup, seconds, processes=4, callers=24):
    """Saturate the dispatcher from several processes; return the counts of completed and of other calls."""
    pipes = []
    for _ in range(processes):
        here, there = multiprocessing.Pipe()
        multiprocessing.Process(
            target=loader, args=(setup.address, setup.stamp, setup.functions, callers, seconds, there)
        ).start()
        pipes.append(here)
    ends = [pipe.recv() for pipe in pipes]
    return sum(e[0] for e in ends), sum(e[1] for e in ends)


def quantile(values, part):
    """Return the quantile of values at a fraction `part`."""
    values = sorted(values)
    return values[min(len(values) - 1, int(part * len(values)))]


def throughput(o):
    """Measure activations per second and CPU time per activation; return the median rate."""
    rates, cpus = [], []
    for _ in range(o.runs):
        setup = Setup(20, 0.02)
        full_load(setup, 1.5)  # warm-up: copies are placed
        cpu = setup.cpu()
        done, bad = full_load(setup, o.seconds)
        cpus.append((setup.cpu() - cpu) / max(1, done + bad) * 1e6)
        rates.append(done / o.seconds)
        print(f"  {rates[-1]:.0f} activations a second, {cpus[-1]:.0f} us of CPU each, {bad} not completed")
        setup.close()
    print(
        f"throughput, 20 workers: median {statistics.median(rates):.0f} a second, "
        f"{statistics.median(cpus):.0f} us of CPU an activation"
    )
    return statistics.median(rates)


def latency(o):
    """Measure the latency that the dispatcher adds."""
    rate = o.rate or throughput(o) / 2
    added = {0.5: [], 0.99: []}
    for _ in range(o.runs):
        setup = Setup(20, 0.02)
        asyncio.run(open_load(setup, rate, 2))  # warm-up: copies are placed
        plain = asyncio.run(direct(setup.worker, 200))
        took, statuses = asyncio.run(open_load(setup, rate, o.seconds))
        for part in added:
            added[part].append(quantile(took, part) - quantile(plain, part))
        print(
            f"  at {rate:.0f} a second: p50 {quantile(took, 0.5) / MS:.2f} ms, "
            f"p99 {quantile(took, 0.99) / MS:.2f} ms; "
            f"direct p50 {quantile(plain, 0.5) / MS:.2f} ms, p99 {quantile(plain, 0.99) / MS:.2f} ms; "
            f"{statuses}"
        )
        setup.close()
    print(
        "added: "
        + ", ".join(f"p{100 * part:g} {statistics.median(v) / MS:.2f} ms" for part, v in added.items())
    )


def held(o):
    """Measure the memory of held activations."""
    grown = []
    for _ in range(o.runs):
        setup = Setup(20, 60.0, lanes=1, timeout="60s", functions=50)

        async def hold(setup=setup):
            streams = []
            for _ in range(100):
                stream = IOStream(socket.socket())
                await stream.connect(setup.address)
                streams.append(stream)
                for _ in range(8):
                    await stream.write(setup.message())
            empty = setup.memory()
            for _ in range(1150):
                stream = IOStream(socket.socket())
                await stream.connect(setup.address)
                streams.append(stream)
                await stream.write(b"".join(setup.message() for _ in range(8)))
            await asyncio.sleep(3)
            full = setup.memory()
            for stream in streams:
                stream.close()
            return (full - empty) / 9200

        each = asyncio.run(hold())
        grown.append(each)
        print(f"  {each / 1000:.1f} KB for each activation held")
        setup.close()
    print(
        f"held: median {statistics.median(grown) / 1000:.1f} KB each, "
        f"{statistics.median(grown) * 10_000 / 1e6:.0f} MB for 10,000"
    )


def fleet(o):
    """Measure CPU time per activation by number of workers."""
    for workers in (10, 100, 500):
        cpus = []
        for _ in range(o.runs):
            setup = Setup(workers, 0.05, lanes=4)
            asyncio.run(open_load(setup, 400, 4))
            cpu = setup.cpu()
            took, statuses = asyncio.run(open_load(setup, 400, o.seconds))
            cpus.append((setup.cpu() - cpu) / len(took) * 1e6)
            print(
                f"  {workers} workers: {cpus[-1]:.0f} us each, p99 {quantile(took, 0.99) / MS:.1f} ms, "
                f"{statuses}"
            )
            setup.close()
        print(
            f"fleet of {workers}: median {statistics.median(cpus):.0f} us of CPU an activation "
            "at 400 a second"
        )


def stages(o):
    """Print the CPU shares of packages from a profile; only shares, because profiling itself costs CPU."""
    import pstats

    with tempfile.TemporaryDirectory() as folder:
        setup = Setup(20, 0.02, profile=f"{folder}/p")
        full_load(setup, 1.5)
        full_load(setup, o.seconds)
        setup.close()
        parts, total = {}, 0.0
        for (file, _, name), (_, _, own, _, _) in pstats.Stats(f"{folder}/p").stats.items():
            if "poll" in name or "epoll" in name:
                continue
            where = next(
                (
                    w
                    for w in (
                        "scheduler",
                        "decide",
                        "fronts",
                        "links",
                        "dispatch",
                        "tornado",
                        "asyncio",
                        "cryptography",
                        "hmac",
                        "logging",
                    )
                    if w in file
                ),
                "built-in",
            )
            parts[where] = parts.get(where, 0.0) + own
            total += own
        print(
            "CPU by stage: "
            + ", ".join(f"{k} {v / total:.0%}" for k, v in sorted(parts.items(), key=lambda p: -p[1]))
        )


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("latency", "throughput", "held", "fleet", "stages"))
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=5)
    parser.add_argument("--rate", type=float, default=0)
    o = parser.parse_args()
    globals()[o.what](o)


if __name__ == "__main__":
    main()
