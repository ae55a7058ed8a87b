"""Compares real configuration servers and followers on loopback with hollow ones (`configuration_fleet`).

    python -m benchmarks.scale.configuration_real [--followers 20] [--seconds 30]

Measures messages and bytes of both, and the processor time of the real ones. It starts a few processes and
connections on loopback and ends them. A version with 13,000 functions is published after half of the time."""

import asyncio
import json
import os
import pathlib
import random
import sys
import tempfile
import time

import click
import structlog
from tornado.testing import bind_unused_port

from benchmarks.scale import configuration_fleet as hollow
from benchmarks.scale import size
from petrelwood.clocks import LoopClock
from petrelwood.control import messages
from petrelwood.decide.cluster.log_records import Record, RecordKind, compress_text
from petrelwood.dispatch.configuration import ConfigurationFollower
from petrelwood.links.rpc_client import RpcClient
from petrelwood.settings.storage import ConfigurationTerms

TICKS = os.sysconf("SC_CLK_TCK")
TOLERANCE = 0.1  # largest relative difference between the traffic of a real and of a hollow follower


async def _start(name, addresses, folder):
    peers = [w for n, at in addresses.items() if n != name for w in ("--peer", f"{n}={at[0]}:{at[1]}")]
    command = [sys.executable, "-m", "petrelwood.cli", "configuration", "serve", "--name", name, *peers]
    command += ["--listen", "{}:{}".format(*addresses[name]), "--folder", f"{folder}/{name}"]
    process = await asyncio.create_subprocess_exec(
        *command, "--new-log-after", "0", "--level", "error", stdout=asyncio.subprocess.PIPE
    )
    json.loads(await process.stdout.readline())
    return process


def _processor_time(process):
    """Return the processor time of a process in seconds."""
    fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def _followers(count, addresses, folder):
    quiet = structlog.wrap_logger(None, processors=[_drop])
    terms = ConfigurationTerms(tuple(addresses.values()), hollow.WITHIN)
    return [
        ConfigurationFollower(f"d{n}", terms, f"{folder}/d{n}", LoopClock(), random.Random(n).random, quiet)
        for n in range(count)
    ]


def _drop(logger, method, event):
    raise structlog.DropEvent


async def measure(count, seconds):
    """Return the real messages, bytes and processor time per second and follower, and times in seconds."""
    addresses = {}
    for n in range(1, size.CONTROL_MACHINES + 1):
        sock, port = bind_unused_port()
        sock.close()
        addresses[f"c{n}"] = ("127.0.0.1", port)
    processes = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for name in addresses:
                processes.append(await _start(name, addresses, folder))
            followers = _followers(count, addresses, folder)
            before = [_processor_time(p) for p in processes]
            own = time.process_time()
            tasks = [asyncio.ensure_future(follower.run()) for follower in followers]
            await asyncio.sleep(seconds / 2)
            idle = time.process_time() - own
            client = RpcClient(addresses["c1"], messages.MAX_MESSAGE_SIZE)
            body = compress_text(hollow.settings_text(hollow.ALL_FUNCTIONS))
            begun = time.monotonic()
            record = Record("v1", RecordKind.VERSION, 0, time.time_ns(), body)
            await client.call("append", [messages.encode_record(record)], 10)
            decided = time.monotonic() - begun
            client.close()
            while min(f.watch.position for f in followers) < 1:
                await asyncio.sleep(0.05)
            heard = time.monotonic() - begun
            await asyncio.sleep(max(0, seconds / 2 - heard))
            own = time.process_time() - own
            servers = [_processor_time(p) - b for p, b in zip(processes, before, strict=True)]
            for task in tasks:
                task.cancel()
            sent = [c for f in followers for c in f.clients.values()]
        finally:
            for process in processes:
                process.kill()
                await process.wait()
    return {
        "messages": sum(c.messages for c in sent) / count / seconds,
        "bytes": sum(c.bytes for c in sent) / count / seconds,
        "follower": own / count / seconds,
        "idle follower": idle / count / (seconds / 2),
        "server": max(servers) / seconds,
        "decided": decided,
        "heard": heard,
    }


def hollow_figures(count, seconds):
    """Return messages and bytes per second and hollow dispatcher."""
    fleet = hollow.Fleet(count, functions=hollow.ALL_FUNCTIONS)
    fleet.run(seconds / 2)
    fleet.publish()
    fleet.run(seconds / 2)
    return {
        "messages": sum(one.messages for one in fleet.dispatchers) / count / seconds,
        "bytes": sum(one.bytes for one in fleet.dispatchers) / count / seconds,
    }


@click.command()
@click.option("--followers", type=click.IntRange(1, 50), default=20, show_default=True)
@click.option("--seconds", type=click.IntRange(10, 120), default=30, show_default=True)
def main(followers, seconds):
    """Print real and hollow figures; exit with status 1 if they differ by more than a tenth."""
    real, simulated = asyncio.run(measure(followers, seconds)), hollow_figures(followers, seconds)
    largest_difference = 0.0
    for name in simulated:
        difference = abs(real[name] - simulated[name]) / simulated[name]
        largest_difference = max(largest_difference, difference)
        click.echo(f"{name} a second and a follower: real {real[name]:.1f}, hollow {simulated[name]:.1f}")
    click.echo(
        f"processor time of a follower: {real['follower']:.4%} of a core; idle {real['idle follower']:.4%}"
    )
    click.echo(f"processor time of the busiest server: {real['server'] / followers:.5%} of a core a follower")
    click.echo(f"decided in {real['decided']:.2f} s, heard of by all in {real['heard']:.2f} s")
    sys.exit(largest_difference > TOLERANCE)


if __name__ == "__main__":
    main()
