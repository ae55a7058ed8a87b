"""Compares the MQTT front with the webhook front on the same dispatcher and workers.

    .venv/bin/python benchmarks/mqtt.py pace|sessions|killed [--runs 3] [--seconds 4] [--rate 300]

pace      at a fixed rate: p50 and p99 by webhook and by QoS 0, 1, 2, and the dispatcher's CPU time per
          activation; then the throughput of each in a closed loop (a new request for each answer)
sessions  memory of a dispatcher process for each customer's session, at 100, 1,000 and 5,000
killed    how long until the messages of a killed dispatcher are answered by another

All servers are stand-ins on loopback; the stand-in broker is a Python process whose cost is part of each
figure."""

import argparse
import asyncio
import json
import multiprocessing
import pathlib
import statistics
import subprocess
import sys
import time

import dispatcher as base

from petrelwood.standins.broker import BrokerServer
from petrelwood.standins.devices import Device


def broker(pipe):
    """Run a stand-in broker; send its port through the pipe."""
    from tornado.netutil import bind_sockets

    async def serve():
        server = BrokerServer(None)
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        pipe.send(sockets[0].getsockname()[1])
        await asyncio.sleep(3600)

    asyncio.run(serve())


class Setup(base.Setup):
    """A dispatcher with both fronts; `start` starts further dispatchers on the same broker."""

    def __init__(self, workers=20, took=0.02, customers=1):
        here, there = multiprocessing.Pipe()
        self.broker_process = multiprocessing.Process(target=broker, args=(there,), daemon=True)
        self.broker_process.start()
        self.broker, self.others, self.customers = ("127.0.0.1", here.recv()), [], customers
        super().__init__(workers, took)
        self.child.terminate()
        self.child.wait()
        path = pathlib.Path(self.folder.name) / "g.kdl"
        self.text = (
            path.read_text()
            + "".join(f'customer "c{i}" {{ key "{base.KEY}" }}\n' for i in range(customers - 1))
            + (
                f'mqtt {{ broker "127.0.0.1:{self.broker[1]}"; user "gateway"; '
                'window least=64 most=1000; session "5s" }\n'
            )
        )
        self.child, self.address = self.start("bench")
        self.stamp = int(time.time()) + 2

    def start(self, name):
        """Start a dispatcher; return its process and address."""
        path = pathlib.Path(self.folder.name) / f"{name}.kdl"
        path.write_text(self.text.replace('gateway "bench"', f'gateway "{name}"'))
        child = subprocess.Popen(
            [sys.executable, "-m", "petrelwood.cli", "serve", str(path), "--level", "warning"],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        host, _, port = json.loads(child.stdout.readline())["ready"].rpartition(":")
        return child, (host, int(port))

    def close(self):
        for child in self.others:
            child.kill()
            child.wait()
        self.broker_process.terminate()
        super().close()


class Load:
    """Devices that send requests and record how long each answer took."""

    def __init__(self, setup, devices=8):
        self.took, self.asked, self.number, self.waits = [], {}, 0, None
        self.devices = [Device(setup.broker, f"dev{i}", "x", b"", self.hear) for i in range(devices)]

    async def open(self):
        """Connect all devices."""
        self.device_tasks = [asyncio.ensure_future(d.keep()) for d in self.devices]
        await asyncio.gather(*(d.ready.wait() for d in self.devices))
        await asyncio.sleep(0.5)

    def hear(self, packet):
        """Record an answer."""
        begun = self.asked.pop(packet.props["correlation_data"], None)
        if begun is not None:
            self.took.append(time.perf_counter() - begun)
        if self.waits is not None:
            self.waits.release()

    def ask(self, qos, due=None):
        """Send one request; its latency counts from `due`, or from now."""
        self.number += 1
        correlation = f"{qos}-{self.number}".encode()
        self.asked[correlation] = due or time.perf_counter()
        self.devices[self.number % len(self.devices)].ask(
            "t", f"f{self.number % 200}", b'{"a":1}', correlation, qos, 9
        )

    async def paced(self, qos, rate, seconds):
        """Send requests at a fixed rate; return the latencies."""
        self.took, begun = [], time.perf_counter()
        for i in range(int(rate * seconds)):
            due = begun + i / rate
            await asyncio.sleep(max(0, due - time.perf_counter()))
            self.ask(qos, due)
        await asyncio.sleep(0.5)
        return self.took

    async def closed_loop(self, qos, seconds, in_flight=192):
        """Keep `in_flight` requests open; return the answers per second."""
        self.took, self.waits, deadline = [], asyncio.Semaphore(in_flight), time.perf_counter() + seconds
        while time.perf_counter() < deadline:
            await self.waits.acquire()
            self.ask(qos)
        done, self.waits = len(self.took), None
        await asyncio.sleep(0.5)
        return done / seconds

    def close(self):
        for task in self.device_tasks:
            task.cancel()


def pace(o):
    """Compare latency, CPU time and throughput of webhooks and of each QoS."""
    rows = {}

    async def run(setup):
        load = Load(setup)
        await load.open()
        await load.paced(1, o.rate, 2)
        for name in ("webhook", "QoS 0", "QoS 1", "QoS 2"):
            cpu = setup.cpu()
            took = (
                (await base.open_load(setup, o.rate, o.seconds))[0]
                if name == "webhook"
                else await load.paced(int(name[-1]), o.rate, o.seconds)
            )
            each = (setup.cpu() - cpu) / max(1, len(took)) * 1e6
            most = (
                (await base.closed_load(setup, 192, o.seconds))[0] / o.seconds
                if name == "webhook"
                else await load.closed_loop(int(name[-1]), o.seconds)
            )
            if not took:
                raise SystemExit(f"{name}: no answer came")
            rows.setdefault(name, []).append(
                (base.quantile(took, 0.5) * 1000, base.quantile(took, 0.99) * 1000, each, most)
            )
        load.close()

    for _ in range(o.runs):
        setup = Setup()
        asyncio.run(run(setup))
        setup.close()
    for name, found in rows.items():
        p50, p99, cpu, most = (statistics.median(column) for column in zip(*found, strict=True))
        print(
            f"{name}: at {o.rate} a second p50 {p50:.1f} ms, p99 {p99:.1f} ms, {cpu:.0f} us of the "
            "dispatcher's CPU each; "
            f"at most {most:.0f} a second from one process of callers"
        )


def sessions(o):
    """Measure the memory of a dispatcher by number of customer sessions."""
    sizes = {}
    for customers in (1, 100, 1000, 5000):
        setup = Setup(customers=customers)
        time.sleep(3 + customers / 500)
        sizes[customers] = setup.memory()
        print(
            f"{customers} sessions: {sizes[customers] / 1e6:.0f} MB"
            + (
                f", {(sizes[customers] - sizes[1]) / (customers - 1) / 1000:.0f} KB each"
                if customers > 1
                else ""
            )
        )
        setup.close()


def killed(o):
    """Measure how long until another dispatcher has answered the messages of a killed one."""

    async def run(setup):
        child, _ = setup.start("second")
        setup.others.append(child)
        load = Load(setup)
        await load.open()
        await load.paced(1, 200, 2)
        for _ in range(64):
            load.ask(1)
        await asyncio.sleep(0.05)
        before, begun = len(load.asked), time.perf_counter()
        setup.child.kill()
        while load.asked and time.perf_counter() - begun < 9:
            await asyncio.sleep(0.005)
        took, left = time.perf_counter() - begun, len(load.asked)
        load.close()
        return before, took, left

    found = []
    for _ in range(o.runs):
        setup = Setup(took=0.2)
        before, took, left = asyncio.run(run(setup))
        setup.close()
        found.append(took)
        print(
            f"  {before} in hand of both when one was killed: all answered after {took:.2f} s, {left} never"
        )
    print(f"killed: median {statistics.median(found):.2f} s; an answer takes 0.2 s of work")


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=("pace", "sessions", "killed"))
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=4)
    parser.add_argument("--rate", type=float, default=300)
    o = parser.parse_args()
    globals()[o.what](o)


if __name__ == "__main__":
    main()
