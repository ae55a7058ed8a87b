"""Measures how fast a service address is withdrawn, as a router sees it.

    .venv/bin/python benchmarks/bgp.py drain [--runs 200] [--busy N]     from the heartbeat that says that
    the dispatcher drains
    .venv/bin/python benchmarks/bgp.py process [--runs 20] [--busy N]    from SIGTERM, and from SIGSTOP, of a
    dispatcher process
    .venv/bin/python benchmarks/bgp.py hang [--runs 5]                   from SIGSTOP of the speaker itself,
    by hold time

`--busy`: the number of busy-looping processes that run at the same time. The speaker is a process of its own;
the router is a stand-in in this one."""

import argparse
import asyncio
import base64
import multiprocessing
import os
import pathlib
import signal
import statistics
import sys
import tempfile
import time

from tornado.tcpserver import TCPServer

from petrelwood.bgp.heartbeats import HeartbeatSender
from petrelwood.decide.bgp.service_health import HealthReport
from petrelwood.standins.router import Router
from petrelwood.wire import bgp

PREFIX = bgp.parse_prefix("192.0.2.1/32")
HEALTHY = HealthReport(False, 0, 9, 100, 0, 0, True)
CLI = [sys.executable, "-m", "petrelwood.cli"]
GATEWAY = """gateway "d" {{ listen "127.0.0.1:0"; roster "127.0.0.1:{port}"; seed 1 }}
customer "x" {{ key "{key}" }}
namespace-type "t" {{ target-latency "500ms"; action-timeout "2s"; effect "repeatable" }}
function "*" type="t"
workers {{ cold "5s" from=0.2; fall "1s" multiple=3.0; sends 3; keep "8s"; on-miss "load" }}
health "beats"
"""


def busy_loop():
    """Use one core until terminated."""
    while True:
        pass


class Roster(TCPServer):
    """A roster with one worker that is never called."""

    async def handle_stream(self, stream, address):
        await stream.read_until(b"\r\n\r\n")
        entry = '[{"worker":"w1","address":"127.0.0.1:9","zone":"n","cell":1,"state":"usable","booted":0}]'
        await stream.write(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: e-1\nevent: list\ndata: "
                f"{entry}\n\n"
            ).encode()
        )
        while not stream.closed():
            stream.write(b": here\n\n").add_done_callback(lambda done: done.exception())
            await asyncio.sleep(0.5)


def print_times(name, times):
    """Print median, p99 and maximum in ms of times in s."""
    times = sorted(t * 1000 for t in times)
    print(
        f"{name}: {len(times)} runs, median {statistics.median(times):.1f} ms, "
        f"p99 {times[min(len(times) - 1, int(len(times) * 0.99))]:.1f}, "
        f"most {times[-1]:.1f}"
    )


class Setup:
    """A router stand-in and a speaker process with settings in `folder`."""

    def __init__(self, folder, hold, silent="150ms"):
        self.folder, self.hold, self.silent = pathlib.Path(folder), hold, silent

    async def open(self):
        self.router = Router(hold=self.hold)
        host, port = self.router.open()
        (self.folder / "s.kdl").write_text(
            f'speaker "s" {{ asn 65001; id "10.0.0.1"; health "beats"; hold "{self.hold}s"; '
            f'bounds settle="20ms" silent="{self.silent}"\n'
            f'peer "r" address="{host}:{port}" asn=65000\nserve "192.0.2.1/32" next-hop="127.0.2.1"\n}}\n'
        )
        self.speaker = await asyncio.create_subprocess_exec(
            *CLI,
            "bgp",
            "speak",
            str(self.folder / "s.kdl"),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.DEVNULL,
        )
        await self.speaker.stdout.readline()

    def has_route(self):
        """Return whether the router has a route to the service address."""
        return bool(self.router.table.best(PREFIX))

    async def route_changed_at(self, present, within=30):
        """Wait until the route is present or absent; return the recorded time of that change."""
        deadline = time.monotonic() + within
        while self.has_route() != present:
            if time.monotonic() > deadline:
                raise SystemExit("the router's table did not change in time")
            await asyncio.sleep(0.001)
        return next(at for at, what, _, _ in reversed(self.router.events) if what == "best") / 1e9

    async def close(self):
        if self.speaker.returncode is None:
            self.speaker.send_signal(signal.SIGCONT)
            self.speaker.terminate()
            await self.speaker.wait()
        self.router.close()


async def drain(args, folder):
    """Measure from the heartbeat of a draining dispatcher to the withdrawal."""
    setup, sender, facts = (
        Setup(folder, 9, "2s"),
        HeartbeatSender(str(pathlib.Path(folder) / "beats")),
        [HEALTHY],
    )
    await setup.open()

    async def beat():
        while True:
            sender.send(facts[0])
            await asyncio.sleep(0.05)

    task, times = asyncio.ensure_future(beat()), []
    for _ in range(args.runs):
        facts[0] = HEALTHY
        await setup.route_changed_at(True)
        await asyncio.sleep(0.06)
        begun = time.monotonic()
        facts[0] = HEALTHY._replace(closing=True)
        sender.send(facts[0])
        times.append(await setup.route_changed_at(False) - begun)
    task.cancel()
    print_times("from the word that it drains to the router's table", times)
    await setup.close()


async def process(args, folder):
    """Measure from SIGTERM and SIGSTOP of a dispatcher to the withdrawal."""
    setup, roster = Setup(folder, 9), Roster()
    await setup.open()
    roster.listen(0, "127.0.0.1")
    port = next(iter(roster._sockets.values())).getsockname()[1]
    path = pathlib.Path(folder) / "g.kdl"
    path.write_text(GATEWAY.format(port=port, key="whsec_" + base64.b64encode(bytes(32)).decode()))
    times = {signal.SIGTERM: [], signal.SIGSTOP: []}
    for number in range(2 * args.runs):
        how = (signal.SIGTERM, signal.SIGSTOP)[number % 2]
        child = await asyncio.create_subprocess_exec(
            *CLI, "serve", str(path), stdout=asyncio.subprocess.DEVNULL, stderr=asyncio.subprocess.DEVNULL
        )
        await setup.route_changed_at(True)
        await asyncio.sleep(0.1)
        begun = time.monotonic()
        child.send_signal(how)
        times[how].append(await setup.route_changed_at(False) - begun)
        if how == signal.SIGSTOP:
            child.kill()
        await child.wait()
    print_times("from SIGTERM of a dispatcher", times[signal.SIGTERM])
    print_times("from SIGSTOP of a dispatcher, silent 150 ms", times[signal.SIGSTOP])
    await setup.close()
    roster.stop()


async def hang(args, folder):
    """Measure from SIGSTOP of the speaker to the end of the route, by hold time."""
    for hold in (3, 9):
        times = []
        for number in range(args.runs):
            run_folder = pathlib.Path(folder) / f"{hold}-{number}"
            run_folder.mkdir()
            setup, sender = Setup(run_folder, hold), HeartbeatSender(str(run_folder / "beats"))
            await setup.open()
            deadline = time.monotonic() + 30
            while not setup.has_route() and time.monotonic() < deadline:
                sender.send(HEALTHY)
                await asyncio.sleep(0.05)
            begun = time.monotonic()
            os.kill(setup.speaker.pid, signal.SIGSTOP)
            times.append(await setup.route_changed_at(False) - begun)
            await setup.close()
        print_times(f"from SIGSTOP of the speaker, hold time {hold} s", times)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("what", choices=("drain", "process", "hang"))
    parser.add_argument("--runs", type=int)
    parser.add_argument("--busy", type=int, default=0)
    args = parser.parse_args()
    args.runs = args.runs or {"drain": 200, "process": 20, "hang": 5}[args.what]
    others = [multiprocessing.Process(target=busy_loop, daemon=True) for _ in range(args.busy)]
    for other in others:
        other.start()
    print(f"{args.what}, {args.busy} busy processes beside it on {os.cpu_count()} cores")
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run({"drain": drain, "process": process, "hang": hang}[args.what](args, folder))
    for other in others:
        other.terminate()


if __name__ == "__main__":
    main()
