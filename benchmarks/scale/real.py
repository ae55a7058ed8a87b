"""Compares a real dispatcher process on loopback with a hollow one: cost and traffic for the same work.

The real one is `petrelwood serve` with the settings of a hollow site, with stand-in workers and a stand-in
roster that count messages. The hollow one lacks sockets, HTTP and the event loop, so processor time of calls
and of an idle second is shown for both, but they need not agree."""

import asyncio
import multiprocessing
import pathlib
import tempfile
import time
from collections import Counter
from random import Random
from types import SimpleNamespace
from typing import NamedTuple

from tornado.netutil import bind_sockets

from benchmarks import dispatcher as bench
from benchmarks.scale import counting, parts, site
from benchmarks.scale import traffic as flows
from benchmarks.scale.figures import Comparison
from benchmarks.scale.fleet import HollowFleet
from benchmarks.scale.plan import BASE_MEMORY, Job, Outcome
from petrelwood.clocks import VirtualClock
from petrelwood.dispatch.core import Core
from petrelwood.emulate import script
from petrelwood.emulate.platform import KEY, CountingLog
from petrelwood.links import rpc, sse
from petrelwood.links.roster import RosterLink
from petrelwood.standins.roster import ChangeLog, Roster


class Amount(NamedTuple):
    """The amount of work that is measured."""

    site: site.SiteSize
    listed: int  # workers on the list that are never called, to measure the cost of a list
    changes: int
    lists: int


FULL = Amount(site.SiteSize(1, 12, 20, 40.0, 8), 1_000, 200, 20)
SMALL = Amount(site.SiteSize(1, 12, 10, 20.0, 3), 100, 20, 5)
EPOCH = f"{1_700_000_000 * 10**9:x}"  # has the same length as the stand-in roster's
BOOTED = 1_700_000_000 * 10**9  # wall clock, ns
TOOK = 0.02  # seconds that a stand-in worker takes for a call
SETTLE = 1.0  # seconds of quiet before a measurement
REAL_PROCESSES = 4  # the job itself, the stand-ins, the dispatcher, and a helper process of multiprocessing

# Largest difference of a hollow figure from the real one, relative to the real one. Messages and bytes are
# produced by the same code and differ by the length of names; the hollow processor time for the list lacks
# sockets, HTTP chunks and iterations of the event loop; hollow memory lacks the allocator's rounding.
MESSAGES_TOLERANCE, BYTES_TOLERANCE, TIME_TOLERANCE, MEMORY_TOLERANCE = 0.05, 0.10, 0.50, 0.30
IDLE = ("an idle second", "ms of processor time, not claimed to agree")


class CountedStream:
    """A worker's side of a connection that counts the dispatcher's messages and bytes."""

    def __init__(self, stream, counts):
        self.stream, self.counts, self.reader = stream, counts, rpc.Reader(1 << 24)

    async def read_bytes(self, most, partial):
        """Read bytes from the dispatcher, and count messages by method."""
        data = await self.stream.read_bytes(most, partial=partial)
        for message in self.reader.feed(data):
            method = message[2] if message[0] == rpc.REQUEST else message[1]
            self.counts[f"{method} messages"] += 1
            self.counts[f"{method} bytes"] += len(
                rpc.request(*message[1:]) if message[0] == rpc.REQUEST else b""
            )
        self.counts["bytes"] += len(data)
        return data

    def __getattr__(self, name):
        return getattr(self.stream, name)


class CountedWorker(bench.Plain):
    """The stand-in worker of `benchmarks.dispatcher` with counters."""

    counts = Counter()

    async def handle_stream(self, stream, address):
        await super().handle_stream(CountedStream(stream, self.counts), address)


class CountedRoster(Roster):
    """The stand-in roster with counters."""

    def __init__(self):
        super().__init__(SimpleNamespace(roster_late=0), SimpleNamespace(put=lambda *facts, **more: None))
        self.counts = Counter()

    def push(self, stream, to, kind, entries, number):
        self.counts[f"{kind} messages"] += 1
        self.counts[f"{kind} bytes"] += len(self.log.event(kind, entries, number))
        return super().push(stream, to, kind, entries, number)

    def tell_whole(self):
        """Send the whole list to all streams again."""
        for stream, to in list(self.streams.items()):
            self.push(stream, to, "list", list(self.log.entries.values()), self.log.number)


def stand_ins(pipe, workers):
    """Run the process of all stand-ins, which follows commands from the pipe until that closes."""
    asyncio.run(_stand_ins(pipe, workers))


async def _stand_ins(pipe, workers):
    roster, loop, over = CountedRoster(), asyncio.get_running_loop(), asyncio.Event()
    names = site.zones()
    for number in range(workers):
        sockets = bind_sockets(0, "127.0.0.1")
        CountedWorker(f"w{number + 1}", TOOK).add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        roster.log.take(entry(f"w{number + 1}", f"127.0.0.1:{port}", names[number % len(names)], 0))
    sockets = bind_sockets(0, "127.0.0.1")
    roster.add_sockets(sockets)

    def told():
        try:
            what, *arguments = pipe.recv()
        except EOFError:
            loop.remove_reader(pipe.fileno())
            over.set()
            return
        if what == "change":
            roster.change(*arguments)
        elif what == "take":
            for one in arguments[0]:
                roster.log.take(one)
        elif what == "whole":
            roster.tell_whole()
        pipe.send((dict(CountedWorker.counts), dict(roster.counts)))

    loop.add_reader(pipe.fileno(), told)
    pipe.send(sockets[0].getsockname()[1])
    await over.wait()


def entry(worker, address, zone, booted):
    """Return an entry of the roster's JSON."""
    return {
        "worker": worker,
        "address": address,
        "zone": zone,
        "cell": 0,
        "booted": booted,
        "state": "usable",
    }


def more_entries(count):
    """Return entries of workers that are listed but never called."""
    names = site.zones()
    return [entry(f"idle-{n:05d}", f"127.0.0.1:{1 + n}", names[n % len(names)], 0) for n in range(count)]


def called_entries(count):
    """Return entries of the workers that are called, with port numbers of typical length."""
    names = site.zones()
    return [entry(f"w{n + 1}", f"127.0.0.1:{40_000 + n}", names[n % len(names)], 0) for n in range(count)]


class RealSite(bench.Setup):
    """A real dispatcher with the settings of a hollow site."""

    customer, prefix = "caller", "f-"

    def __init__(self, described):
        day = site.day(described)
        self.pipe, there = multiprocessing.Pipe()
        self.backend = multiprocessing.Process(target=stand_ins, args=(there, described.workers), daemon=True)
        self.backend.start()
        there.close()
        roster, self.functions = self.pipe.recv(), described.functions
        self.folder = tempfile.TemporaryDirectory()
        path = pathlib.Path(self.folder.name) / "gateway.kdl"
        path.write_text(
            script.gateway_text(day, "d1", 1, "127.0.0.1:0", f"127.0.0.1:{roster}", {"caller": [KEY]}, 1)
        )
        self.number = 0
        self._serve(path)

    def call_id(self):
        """Return an id in the form that the hollow site's clients use."""
        return f"m{self.number}"

    def close(self):
        """End the dispatcher and the stand-ins."""
        super().close()
        self.child.stdout.close()
        self.pipe.close()
        self.backend.join()

    def tell(self, *what):
        """Send a command to the stand-ins; return the counters of the workers and of the roster."""
        self.pipe.send(what)
        workers, roster = self.pipe.recv()
        return Counter(workers), Counter(roster)

    def processor_seconds(self):
        """Return the processor time of the dispatcher in seconds, more precise than the ticks of
        /proc/PID/stat."""
        with open(f"/proc/{self.child.pid}/schedstat", encoding="ascii") as file:
            return int(file.read().split()[0]) / 1e9

    def settled(self):
        """Wait until the dispatcher uses hardly any processor time; return its processor time until then."""
        before = self.processor_seconds()
        while True:
            time.sleep(SETTLE / 4)
            now = self.processor_seconds()
            if now - before < SETTLE / 4 / 10:
                return now
            before = now


def jobs(plan):
    """Return one job for each run."""
    memory = 2 * BASE_MEMORY + 300_000_000
    return [
        Job(
            f"a real dispatcher, run {run + 1}",
            __name__,
            "play",
            {"run": run, "small": plan.small},
            memory,
            REAL_PROCESSES,
        )
        for run in range(plan.runs)
    ]


def play(run, small):
    """Measure a hollow and a real dispatcher."""
    amount = SMALL if small else FULL
    return Outcome(comparisons=compared(measure_hollow(amount, run), measure_real(amount), run))


def compared(hollow, real, run):
    """Return the `Comparison`s of the measurements of both."""
    tolerances = {  # by unit; figures with other units are shown but need not agree
        "messages": MESSAGES_TOLERANCE,
        "bytes": BYTES_TOLERANCE,
        "ms": TIME_TOLERANCE,
        "KB": MEMORY_TOLERANCE,
    }
    return tuple(
        Comparison(name, unit, hollow[name, unit], real[name, unit], tolerances.get(unit), run)
        for name, unit in real
    )


class Disturbed(Exception):
    """The machine was too busy for a dispatcher to serve all calls."""


def measure_real(amount, tries=5):
    """Return {(quantity, unit): value} of a real dispatcher that has served all calls.

    Raise `Disturbed` if it did not serve all calls in any of the tries."""
    for _ in range(tries - 1):
        try:
            return _measure_once(amount)
        except Disturbed:
            pass
    return _measure_once(amount)


def _measure_once(amount):
    setup = RealSite(amount.site)
    try:
        calls, idle = _real_calls(setup, amount.site), _real_idle(setup)
        return {**calls, IDLE: 1e3 * idle, **_real_lists(setup, amount, idle)}
    finally:
        setup.close()


def _real_calls(setup, described):
    setup.stamp = int(time.time()) + 2
    before, cpu = setup.tell("counts")[0], setup.settled()
    took, statuses = asyncio.run(bench.open_load(setup, described.calls_a_second, described.seconds))
    spent, counts = setup.processor_seconds() - cpu, setup.tell("counts")[0] - before
    if statuses != {200: len(took)}:
        raise Disturbed(f"calls were answered {statuses}")
    return {
        ("sends to workers, a call", "messages"): counts["run messages"] / len(took),
        ("bytes of a send to a worker", "bytes"): counts["run bytes"] / counts["run messages"],
        ("processor time of a call", "ms, not claimed to agree"): 1e3 * spent / len(took),
    }


def _real_idle(setup):
    """Return the processor seconds of the dispatcher in a second without calls or changes."""
    setup.settled()
    cpu, begun = setup.processor_seconds(), time.monotonic()
    time.sleep(3 * SETTLE)
    return (setup.processor_seconds() - cpu) / (time.monotonic() - begun)


def _real_work(setup, idle, work):
    """Return the processor seconds (above idle) that `work()` causes in the dispatcher, and the roster's
    counters for it."""
    before, cpu, begun = setup.tell("counts")[1], setup.settled(), time.monotonic()
    work()
    spent = setup.settled() - cpu - idle * (time.monotonic() - begun)
    return spent, setup.tell("counts")[1] - before


def _real_lists(setup, amount, idle):
    added = more_entries(amount.listed)
    memory = setup.memory()
    setup.tell("take", added)
    setup.tell("whole")
    setup.settled()
    grown = setup.memory() - memory

    def change_some():
        for number in range(amount.changes):
            setup.tell("change", restarted(added[number], number))

    def tell_lists():
        for _ in range(amount.lists):
            setup.tell("whole")

    change, changes = _real_work(setup, idle, change_some)
    whole, lists = _real_work(setup, idle, tell_lists)
    return {
        ("a change of a worker", "bytes"): changes["change bytes"] / changes["change messages"],
        ("a change of a worker", "ms"): 1e3 * change / amount.changes,
        ("a whole list", "bytes"): lists["list bytes"] / lists["list messages"],
        ("a whole list", "ms"): 1e3 * whole / amount.lists,
        ("memory for a listed worker", "KB"): grown / amount.listed / 1e3,
    }


def restarted(one, number):
    """Return an entry with a new start time."""
    return {**one, "booted": BOOTED + number}


def measure_hollow(amount, run):
    """Return {(quantity, unit): value} of a hollow dispatcher."""
    return {**_hollow_calls(amount.site, run), **_hollow_lists(amount)}


def _hollow_calls(described, run):
    fleet = HollowFleet(described, run + 1)
    fleet.run()
    wishes, runs = len(fleet.clients.requests), fleet.traffic.flows[flows.CALLS_TO_WORKERS]
    idle = HollowFleet(described._replace(calls_a_second=0.001), run + 1)
    idle.run()
    return {
        ("sends to workers, a call", "messages"): runs.messages / wishes,
        ("bytes of a send to a worker", "bytes"): runs.bytes / runs.messages,
        ("processor time of a call", "ms, not claimed to agree"): 1e3
        * fleet.processor.seconds(flows.CALLS)
        / wishes,
        IDLE: 1e3 * idle.processor.seconds(flows.TIMERS) / idle.dispatcher_seconds(),
    }


def _hollow_lists(amount):
    described = site.gateway(1)
    dispatcher = Core(described, VirtualClock(), Random(1), parts.idle_link, CountingLog())
    reader, log = (
        RosterLink(("roster", 0), dispatcher.membership, 1, dispatcher, CountingLog()),
        ChangeLog(EPOCH),
    )
    reader.events = sse.EventReader()
    added = more_entries(amount.listed)
    for one in added + called_entries(amount.site.workers):
        log.take(one)
    reader.on_body(log.event("list", list(log.entries.values()), log.number))
    changes = [restarted(added[number], number) for number in range(amount.changes)]
    events = [log.event("change", [one], log.take(one)) for one in changes]
    whole = log.event("list", list(log.entries.values()), log.number)

    def hear(told):
        for data in told:
            reader.on_body(data)

    change = counting.processor_seconds(hear, events)
    lists = counting.processor_seconds(hear, [whole] * amount.lists)
    return {
        ("a change of a worker", "bytes"): sum(map(len, events)) / amount.changes,
        ("a change of a worker", "ms"): 1e3 * change / amount.changes,
        ("a whole list", "bytes"): len(whole),
        ("a whole list", "ms"): 1e3 * lists / amount.lists,
        ("memory for a listed worker", "KB"): parts.memory_with_workers(amount.listed) / amount.listed / 1e3,
    }
