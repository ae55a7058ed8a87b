"""Measures what control costs a dispatcher, as slope x size + constant: the figures of `docs/CAPACITY.md`.

    .venv/bin/python -m benchmarks.capacity [ROW ...] [--runs 3]

Without a ROW, all are measured one after the other and printed as rows of a Markdown table. Costs are
processor time, so that they are valid on a busy machine; bytes are counted. Each figure is fitted over its
sizes once per run (least squares with relative weights). Slope and constant are medians over the runs; the
spread is the difference of the largest and smallest slope, relative to the median. Rows that run processes or
play days print lines of their own."""

import argparse
import asyncio
import gc
import json
import multiprocessing
import pathlib
import random
import resource
import statistics
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

import dns.exception
import dns.flags
import dns.message
import dns.rrset
import msgpack
import orjson
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from benchmarks import rare_calls
from benchmarks.dispatcher import Plain, Setup, backend, open_load
from benchmarks.scale.size import (
    CALLS_A_SECOND_A_DISPATCHER,
    CONFIGURATION_CHANGES_A_DAY,
    CONFIGURATION_IN_FORCE_WITHIN,
    DISPATCHERS,
)
from petrelwood.bgp.heartbeats import HEARTBEAT_SECONDS
from petrelwood.decide.cluster import membership
from petrelwood.decide.cluster.link_state import LinkPhase
from petrelwood.decide.cluster.rollout import DWELL, STAGES, Announcement, Rollout, dwell_for
from petrelwood.decide.delivery.state_records import ActivationAdmitted, ActivationEnded
from petrelwood.dispatch.handover.hooks import HandoverHooks
from petrelwood.dispatch.health import HeartbeatReporter
from petrelwood.dispatch.recent_answers import RecentAnswers
from petrelwood.links import rpc, sse
from petrelwood.links.errors import MalformedEventError
from petrelwood.links.roster import READ_SIZE, RosterLink
from petrelwood.links.worker import WorkerLink
from petrelwood.node import roster, roster_protocol
from petrelwood.settings import comparison
from petrelwood.settings import gateway as settings
from petrelwood.store import versions
from petrelwood.store.state_log import StateLog

TESTS = pathlib.Path(__file__).parents[1] / "tests"
SECOND = 1_000_000_000
WALL = 1_764_547_200 * SECOND  # an arbitrary wall-clock time
CONFIGURATION_WITHIN = int(CONFIGURATION_IN_FORCE_WITHIN * SECOND)
LEAST = 0.03  # minimum seconds of processor time over which one value is measured
LINKS = (100, 200, 400, 800)  # open links to workers
IDLE_LOOKS = 100  # checks of idle links, 20 per second as in a dispatcher
CALL_RATES = tuple(part * CALLS_A_SECOND_A_DISPATCHER for part in (0, 0.5, 1, 2, 4))  # calls per second
CALL_SECONDS = 5.0  # seconds for which each rate is measured
PERIOD = 60 * SECOND  # ns of silence after which the list counts as lost; longer than any row takes


class Figure(NamedTuple):
    """One measured quantity. `points`: a list of (size, value) for each run."""

    name: str
    size: str  # the kind of items that the size counts
    unit: str
    points: list


class Fit(NamedTuple):
    """The line slope x size + constant."""

    slope: float
    constant: float


def fitted(points):
    """Return the least-squares fit, with each point weighted by the inverse square of its value."""
    weights = [1 / max(abs(value), 1e-12) ** 2 for _, value in points]
    total = sum(weights)
    mean_size = sum(w * size for w, (size, _) in zip(weights, points, strict=True)) / total
    mean_value = sum(w * value for w, (_, value) in zip(weights, points, strict=True)) / total
    above = sum(w * (s - mean_size) * (v - mean_value) for w, (s, v) in zip(weights, points, strict=True))
    below = sum(w * (s - mean_size) ** 2 for w, (s, _) in zip(weights, points, strict=True))
    slope = above / below
    return Fit(slope, mean_value - slope * mean_size)


def cost(call, *arguments):
    """Return the mean processor time (s) of `call(*arguments)`, repeated for at least `LEAST` seconds."""
    count, spent = 0, 0.0
    while spent < LEAST:
        begun = time.process_time()
        call(*arguments)
        spent += time.process_time() - begun
        count += 1
    return spent / count


# The list of workers by DNS (`run`)
def dns_answer(workers):
    """Return a DNS answer in the format of the roster protocol, with compressed names."""
    query = dns.message.make_query(roster_protocol.SERVICE_NAME, "SRV")
    reply = dns.message.make_response(query)
    reply.flags |= dns.flags.AA
    name = roster_protocol.SERVICE_NAME.to_text()
    for n in range(workers):
        host = f"s-{n * 2654435761 % 2**32:08x}.east.hosts."
        reply.answer.append(dns.rrset.from_text(name, 5, "IN", "SRV", f"0 40 {5000 + n % 50} {host}"))
        reply.additional.append(
            dns.rrset.from_text(host, 5, "IN", "A", f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}")
        )
        reply.additional.append(dns.rrset.from_text(host, 5, "IN", "TXT", '"kind=std" "cell=1" "started=0"'))
    reply.authority.append(
        dns.rrset.from_text("svc.local.", 5, "IN", "SOA", "ns.local. ops.local. 1 1 1 1 1")
    )
    return reply.to_wire(max_size=roster.DATAGRAM_SIZE)


def most_by_dns():
    """Return the largest number of workers whose answer fits a datagram."""
    fits, too_many = 1, 2_000
    while too_many - fits > 1:
        tried = (fits + too_many) // 2
        try:
            dns_answer(tried)
        except dns.exception.TooBig:
            too_many = tried
        else:
            fits = tried
    return fits


def unchanged(answer, before):
    """Compare an answer with the previous one as `DnsRoster.take` does."""
    return answer[2:] == before[2:]


def dns_list(runs):
    """Measure bytes and processor time of reading one whole list, by number of workers."""
    sizes = (50, 100, 200, 400)
    answers = {size: dns_answer(size) for size in sizes}
    size_points = [(size, len(answers[size])) for size in sizes]
    read, taken = [], []
    for _ in range(runs):
        read.append([(size, 1e3 * cost(roster_protocol.decode_answer, answers[size])) for size in sizes])
        points = []
        for size in sizes:
            entries = roster_protocol.decode_answer(answers[size])[1]
            known = membership.Membership(PERIOD, SECOND, random.Random(1).random)
            points.append((size, 1e3 * cost(known.whole, "dns-1", entries, SECOND, WALL)))
        taken.append(points)
    same, other = answers[400], bytes(answers[400])
    return [
        f"| DNS: the largest list that fits {roster.DATAGRAM_SIZE:,} bytes | {most_by_dns()} workers |",
        f"| DNS: an answer that has not changed, 400 workers | {1e6 * cost(unchanged, same, other):.1f} us |",
        Figure("DNS: bytes of an answer", "workers", "bytes", [size_points] * runs),
        Figure("DNS: reading an answer that has changed", "workers", "ms", read),
        Figure("DNS: membership of a whole list", "workers", "ms", taken),
    ]


# The list of workers by server-sent events (`serve`)
def roster_entry(number, booted=0):
    """Return an entry of the roster's JSON."""
    return {
        "worker": f"w-{number:08x}",
        "address": f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}:5050",
        "zone": f"zone-{number % 6}",
        "cell": number % 16,
        "booted": booted,
        "state": "usable",
    }


class Listener:
    """A stand-in for the core that only counts the entries of lists."""

    def __init__(self):
        self.heard, self.clock = 0, self

    def now(self):
        return SECOND

    def wall(self):
        return WALL

    def listed(self, entries, leaving, whole):
        self.heard += len(entries)


def roster_link():
    """Return a roster link with an empty membership that is not connected."""
    known = membership.Membership(PERIOD, SECOND, random.Random(1).random)
    link = RosterLink(("127.0.0.1", 1), known, SECOND, Listener(), None)
    link.events = sse.EventReader()
    return link


def fed(link, data):
    """Pass bytes to a link in chunks of the size of a socket read."""
    for start in range(0, len(data), READ_SIZE):
        link.on_body(data[start : start + READ_SIZE])


def feed_anew(data):
    """Read a whole list on a new link."""
    fed(roster_link(), data)


def feed_next(link, changes):
    """Read the next change on an existing link."""
    fed(link, next(changes))


def read_at_all(size):
    """Return the size of a whole list of workers, and the processor time to read it or why it was refused."""
    data = sse.event("list", orjson.dumps([roster_entry(n) for n in range(size)]).decode(), "e-0")
    begun = time.process_time()
    try:
        fed(roster_link(), data)
    except MalformedEventError as fault:
        return f"{len(data) / 1e6:.1f} MB, {fault}"
    return f"{len(data) / 1e6:.1f} MB, read in {time.process_time() - begun:.2f} s of processor time"


def sse_list(runs):
    """Measure reading a whole list, and reading one change with a list of that size."""
    sizes = (100, 400, 1_000, 4_000, 10_000, 40_000)
    lists = {
        size: sse.event("list", orjson.dumps([roster_entry(n) for n in range(size)]).decode(), "e-0")
        for size in sizes
    }
    change = [
        sse.event("change", orjson.dumps([roster_entry(7, WALL)]).decode(), f"e-{n}") for n in range(9_999)
    ]
    whole, parts = [], []
    for _ in range(runs):
        points, changes = [], []
        for size in sizes:
            points.append((size, 1e3 * cost(feed_anew, lists[size])))
            link = roster_link()
            fed(link, lists[size])
            next_changes = iter(change[1:])
            changes.append((size, 1e3 * cost(feed_next, link, next_changes)))
        whole.append(points)
        parts.append(changes)
    verdicts = "; ".join(f"{size:,}: {read_at_all(size)}" for size in (70_000, 94_000))
    return [
        f"| SSE: one whole list of so many workers, in one event | {verdicts} |",
        Figure(
            "SSE: bytes of a whole list", "workers", "bytes", [[(s, len(lists[s])) for s in sizes]] * runs
        ),
        Figure("SSE: reading a whole list", "workers", "ms", whole),
        Figure("SSE: bytes of one change", "workers", "bytes", [[(s, len(change[1])) for s in sizes]] * runs),
        Figure("SSE: reading one change", "workers", "ms", parts),
    ]


# Versions of the configuration: the folder that each dispatcher reads once a second
def version_folder(runs):
    """Measure one check of the folder of versions."""
    sizes = (10, 100, 740)
    points = []
    for _ in range(runs):
        row = []
        for size in sizes:
            with tempfile.TemporaryDirectory() as folder:
                for number in range(1, size + 1):
                    (pathlib.Path(folder) / f"{number}.kdl").write_text("x")
                    (pathlib.Path(folder) / f"{number}.json").write_text(json.dumps({"begun": WALL}))
                row.append((size, 1e3 * cost(versions.announced, folder)))
        points.append(row)
    return [Figure("Versions: one look at the folder", "versions in it", "ms", points)]


class Day(NamedTuple):
    """The rollout of one day's versions."""

    reached_all: int  # versions that all dispatchers ran at the same time
    longest: float  # the longest period (s) in which some dispatcher did not run the newest version


def rolled_day(begins, dispatchers, dwell):
    """Play rollouts that begin at `begins` (s), with dispatchers that decide whenever a stage begins."""
    nodes = [Rollout(f"d{n}", 0, dwell=dwell) for n in range(dispatchers)]
    looks = sorted(
        {begun + stage * dwell // SECOND + 0.5 for begun in begins for stage in range(len(STAGES))}
    )
    reached, behind, longest = set(), None, 0.0
    announced, number = [], 0
    for look in looks:
        while number < len(begins) and begins[number] <= look:
            number += 1
            announced = [Announcement(number, int(begins[number - 1] * SECOND), False)]
            behind = begins[number - 1] if behind is None else behind
        for node in nodes:
            node.decide(int(look * SECOND), announced)
        has = sum(node.version == number for node in nodes)
        if has == dispatchers:
            reached.add(number)
            longest, behind = max(longest, look - behind if behind is not None else 0.0), None
    return Day(len(reached), max(longest, looks[-1] - behind if behind is not None else 0.0))


def poisson_day(chance, changes, seconds=86_400):
    """Return the sorted times of changes that are distributed uniformly over a day."""
    return sorted(chance.random() * seconds for _ in range(changes))


def burst_day(chance, changes, each=20, within=600, seconds=86_400):
    """Return the sorted times of changes in groups of `each` within `within` seconds, as at a release."""
    begins = []
    for _ in range(changes // each):
        start = chance.random() * (seconds - within)
        begins += [start + chance.random() * within for _ in range(each)]
    return sorted(begins)


def rollouts(runs):
    """Count the versions of a day that reached all dispatchers, with stages 30 s apart and shorter ones."""
    lines = []
    for within, dwell in (("", DWELL), (", within 13 s", dwell_for(CONFIGURATION_WITHIN))):
        for name, make in (("Poisson", poisson_day), ("bursts of 20 in ten minutes", burst_day)):
            days = [
                rolled_day(make(random.Random(f"{name}/{seed}"), CONFIGURATION_CHANGES_A_DAY), 100, dwell)
                for seed in range(runs)
            ]
            lines.append(
                f"| {CONFIGURATION_CHANGES_A_DAY} versions a day, {name}{within}: reached all of 100 "
                f"dispatchers; longest time in which not all had the newest | "
                + "; ".join(f"{day.reached_all}, {day.longest:.0f} s" for day in days)
                + " |"
            )
    return lines


# Settings: read at SIGHUP and for each version
def gateway_text(functions):
    """Return a gateway's file that names each function individually, for functions of many owners."""
    rules = "\n".join(
        f'function "owner-{n % 97}-{n:05d}" type="call" lanes=4 load-time="{100 + n % 400}ms"'
        for n in range(functions)
    )
    return f"""
gateway "d" {{ listen "127.0.0.1:0"; roster "127.0.0.1:1"; zone "n"; seed 1; dispatchers {DISPATCHERS} }}
customer "x" {{ key "whsec_{"A" * 43}=" }}
namespace-type "call" {{ target-latency "1s"; action-timeout "5s"; effect "repeatable" }}
{rules}
workers {{ cold "8s" from=0.25; fall "1s" multiple=2.5; sends 3; keep "60s"; on-miss "load" }}
"""


def look_up(gateway, names):
    """Look up the rules of functions, each for the first time."""
    return [gateway.rule(name) for name in names]


def reload(runs):
    """Measure the cost of a new version by the functions that it names, and of the first lookups after it."""
    sizes = (500, 2_000, 6_500, 13_000)
    texts = {size: gateway_text(size) for size in sizes}
    read, compared, looked_up = [], [], []
    for _ in range(runs):
        rows = [], [], []
        for size in sizes:
            old, new = (settings.read("g.kdl", texts[size]) for _ in range(2))
            names = random.Random(size).sample([rule.pattern for rule in old.functions], 40)
            rows[0].append((size, 1e3 * cost(settings.read, "g.kdl", texts[size])))
            rows[1].append((size, 1e3 * cost(comparison.changes, old, new)))
            rows[2].append((size, 1e3 / len(names) * cost(look_up, old, names)))
        for kept, points in zip((read, compared, looked_up), rows, strict=True):
            kept.append(points)
    sizes_of = [[(size, len(texts[size])) for size in sizes]] * runs
    return [
        Figure("Settings: bytes of a version", "functions", "bytes", sizes_of),
        Figure("Settings: reading a version", "functions", "ms", read),
        Figure("Settings: comparing it with the one before", "functions", "ms", compared),
        Figure(
            "Settings: a function's rule, looked up at its first call after it", "functions", "ms", looked_up
        ),
    ]


# Heartbeats to the speaker on the same machine, twenty times a second
class Counted:
    """A stand-in for the core with the interface that `dispatch.health.HeartbeatReporter` needs."""

    def __init__(self, workers):
        self.membership = membership.Membership(PERIOD, SECOND, random.Random(1).random)
        entries = [membership.decode_endpoint(roster_entry(n)) for n in range(workers)]
        self.membership.apply_list("e-1", entries, SECOND, WALL)
        self.intake = Intake(False)
        self.recent_answers = RecentAnswers()
        self.durable_state, self.handover = None, HandoverHooks()

    def now(self):
        return 2 * SECOND


class Intake(NamedTuple):
    """A stand-in for the core's intake."""

    closing: bool


def health(runs):
    """Measure making the heartbeat for the speaker, and its bytes."""
    sizes = (100, 1_000, 4_000, 20_000)
    points = []
    for _ in range(runs):
        made = {size: HeartbeatReporter("/nowhere", Counted(size)) for size in sizes}
        points.append([(size, 1e3 * cost(made[size].report)) for size in sizes])
    length = len(msgpack.packb([1, *made[4_000].report()]))
    return [
        f"| Health: bytes of one message to the speaker beside it, 1 / {HEARTBEAT_SECONDS:g} a second "
        f"| {length} bytes |",
        Figure("Health: the facts of one message", "workers", "ms", points),
    ]


# Durable state
def state_log(runs):
    """Measure bytes and processor time of the two records of a call."""
    sizes = (1_000, 4_000, 16_000)
    written, spent = [], []
    for _ in range(runs):
        rows = [], []
        for size in sizes:
            with tempfile.TemporaryDirectory() as folder:
                log = StateLog(folder, WALL, "b", 600 * SECOND)
                begun = time.process_time()
                for number in range(size):
                    name = f"msg_{number:026d}"
                    log.add(ActivationAdmitted(WALL + number, "customer", name, WALL, "once"))
                    log.flush()
                    log.add(ActivationEnded(WALL + number, "customer", name, "completed", True, b'{"ok":1}'))
                    log.flush()
                rows[1].append((size, 1e3 * (time.process_time() - begun)))
                log.close(WALL)
                rows[0].append((size, sum(path.stat().st_size for path in pathlib.Path(folder).iterdir())))
        written.append(rows[0])
        spent.append(rows[1])
    return [
        Figure("State: bytes written", "calls", "bytes", written),
        Figure("State: two records, a write each", "calls", "ms", spent),
    ]


# Connections to workers
def greeting_worker(pipe):
    """Accept links in this process, greet as worker `w0`; on request send the counts of links and bytes."""
    accepted, received = [], [0]

    class Greeter(Plain):
        async def handle_stream(self, stream, address):
            accepted.append(stream)
            stream.write(rpc.notification("hello", ["w0", 0]))
            try:
                while True:
                    received[0] += len(await stream.read_bytes(65_536, partial=True))
            except StreamClosedError:
                pass

    async def serve():
        sockets = bind_sockets(0, "127.0.0.1")
        Greeter("w0", 0).add_sockets(sockets)
        pipe.send(sockets[0].getsockname()[1])
        while True:
            await asyncio.sleep(0.05)
            if pipe.poll():
                pipe.recv()
                pipe.send((len(accepted), received[0]))

    asyncio.run(serve())


def resident():
    """Return the resident set size of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


class LinkCore:
    """A stand-in for the core with the interface that a link needs."""

    name, reconnects = "d", None

    def __init__(self):
        self.loop = asyncio.get_running_loop()

    def now(self):
        return time.monotonic_ns()

    def schedule_checks(self, link):
        pass


async def connect_links(port, count):
    """Open idle links; return a core and the links."""
    core, terms = LinkCore(), settings.read("g.kdl", gateway_text(1)).workers
    links = [
        WorkerLink("w0", ("127.0.0.1", port), terms, random.Random(1).random, core, None)
        for _ in range(count)
    ]
    for start in range(0, count, 50):
        for link in links[start : start + 50]:
            link._connect(core.now())
        while any(link.state.phase != LinkPhase.UP for link in links[start : start + 50]):
            await asyncio.sleep(0.01)
    return core, links


def link_memory(pipe):
    """Open more and more links to one worker in this process.

    Send the memory at each number of links, the bytes sent while idle, and the processor time of checks."""

    async def grow():
        here, there = multiprocessing.Pipe()
        worker = multiprocessing.Process(target=greeting_worker, args=(there,), daemon=True)
        worker.start()
        port, points, kept = here.recv(), [], []
        await connect_links(port, 20)
        for size in LINKS:
            gc.collect()
            core, links = await connect_links(port, size - sum(len(some) for some in kept))
            kept.append(links)
            points.append((size, resident() / 1_000))
        here.send(None)
        before = here.recv()[1]
        begun = time.process_time()
        for _ in range(IDLE_LOOKS):
            for links in kept:
                for link in links:
                    link.check(core.now())
            await asyncio.sleep(0.05)
        spent = time.process_time() - begun
        here.send(None)
        pipe.send((points, here.recv()[1] - before, spent))
        worker.terminate()

    asyncio.run(grow())


def links(runs):
    """Measure the memory of open links to workers, and the bytes they send while idle."""
    points, lines = [], []
    for _ in range(runs):
        here, there = multiprocessing.Pipe()
        # spawn, because a forked process would share memory pages of earlier measurements
        fresh = multiprocessing.get_context("spawn")
        child = fresh.Process(target=link_memory, args=(there,))
        child.start()
        run, sent, spent = here.recv()
        child.join()
        points.append(run)
        lines.append(f"{sent} bytes")
    text = (
        f"| Links: bytes sent on {LINKS[-1]} idle ones in {IDLE_LOOKS * 0.05:.0f} s | "
        + "; ".join(lines)
        + " |"
    )
    return [text, Figure("Links: memory of the process", "open links", "KB", points)]


# A dispatcher process (`serve`) with stand-in servers on loopback
def data_path(runs):
    """Measure the share of a core by calls per second; the constant is the idle cost with these workers."""
    found = []
    for workers in (100, 500):
        points = []
        for _ in range(runs):
            made = Setup(workers, 0.05, lanes=4)
            asyncio.run(open_load(made, 185, 3))
            row = []
            for rate in CALL_RATES:
                before = made.cpu()
                asyncio.run(open_load(made, rate, CALL_SECONDS) if rate else asyncio.sleep(CALL_SECONDS))
                row.append((rate, 100 * (made.cpu() - before) / CALL_SECONDS))
            points.append(row)
            made.close()
        found.append(
            Figure(f"Calls: core of a dispatcher with {workers} workers", "calls a second", "%", points)
        )
    return found


def idle(runs):
    """Measure an idle dispatcher process by the number of workers on its list."""
    sizes, shares, memory = (100, 1_000, 4_000), [], []
    for _ in range(runs):
        rows = [], []
        for size in sizes:
            made = Setup(size, 0.05, lanes=4)
            time.sleep(2)
            before = made.cpu()
            time.sleep(2 * CALL_SECONDS)
            rows[0].append((size, 100 * (made.cpu() - before) / (2 * CALL_SECONDS)))
            rows[1].append((size, made.memory() / 1e6))
            made.close()
        shares.append(rows[0])
        memory.append(rows[1])
    return [
        Figure("Idle: core of a dispatcher process", "workers", "%", shares),
        Figure("Idle: memory of a dispatcher process", "workers", "MB", memory),
    ]


# A dispatcher process on the platform (`run`) with a roster by DNS
class DnsServer(asyncio.DatagramProtocol):
    """A roster that always answers with the same list of workers, and counts the bytes of its answers.

    It has the interface that `tests/node_site.py` needs."""

    def __init__(self, workers):
        self.wire, self.told, self.serial, self.port, self.transport = dns_answer(workers), 0, 1, None, None
        self.entries = {f"s-{n:08x}": (5000 + n % 50, "Ready", "east", 0) for n in range(workers)}

    async def open(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, ("127.0.0.1", 0))
        self.port = self.transport.get_extra_info("sockname")[1]

    def datagram_received(self, data, sender):
        self.told += len(self.wire)
        self.transport.sendto(data[:2] + self.wire[2:], sender)


class Asked(NamedTuple):
    """The cost of a dispatcher process on the platform without clients."""

    share: float  # percent of a core
    bytes: float  # bytes of lists per second
    memory: float  # MB


async def platform_idle(workers):
    """Measure one idle dispatcher process with a roster of this number of workers."""
    sys.path.insert(0, str(TESTS))
    import node_site

    site = node_site.Site([], sockets=1_024, memory=128)
    site.roster = DnsServer(workers)
    async with site:
        made = Setup.__new__(Setup)
        made.child = site.process
        await asyncio.sleep(2)
        before, told = made.cpu(), site.roster.told
        await asyncio.sleep(2 * CALL_SECONDS)
        spent, told = made.cpu() - before, site.roster.told - told
        return Asked(100 * spent / (2 * CALL_SECONDS), told / (2 * CALL_SECONDS), made.memory() / 1e6)


def platform(runs):
    """Measure processor time, memory and bytes of lists of an idle dispatcher process (`run`)."""
    sizes, seen = (50, 100, 200, 400), []
    for _ in range(runs):
        seen.append([(size, asyncio.run(platform_idle(size))) for size in sizes])

    def points(name):
        return [[(size, getattr(asked, name)) for size, asked in run] for run in seen]

    return [
        Figure("Platform: core of a dispatcher process, asked nothing", "workers", "%", points("share")),
        Figure("Platform: bytes of lists a second", "workers", "bytes", points("bytes")),
        Figure("Platform: memory of a dispatcher process", "workers", "MB", points("memory")),
    ]


class Started(NamedTuple):
    """The cost of a dispatcher process until it is ready."""

    seconds: float  # processor time until it is ready
    memory: int  # bytes


def started(functions, roster):
    """Start a dispatcher process; return its cost when it becomes ready."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "g.kdl"
        path.write_text(
            gateway_text(functions).replace('roster "127.0.0.1:1"', f'roster "127.0.0.1:{roster}"')
        )
        made = Setup.__new__(Setup)
        made.child = subprocess.Popen(
            [sys.executable, "-m", "petrelwood.cli", "serve", str(path), "--level", "warning"],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        made.child.stdout.readline()
        seen = Started(made.cpu(), made.memory())
        made.child.terminate()
        made.child.wait()
        return seen


def start(runs):
    """Measure the cost of a start, and so of each upgrade, by the functions that the settings name."""
    here, there = multiprocessing.Pipe()
    servers = multiprocessing.Process(target=backend, args=(there, 100, 0.0), daemon=True)
    servers.start()
    roster, _ = here.recv()
    sizes, seconds, memory = (500, 2_000, 13_000), [], []
    for _ in range(runs):
        seen = [(size, started(size, roster)) for size in sizes]
        seconds.append([(size, one.seconds) for size, one in seen])
        memory.append([(size, one.memory / 1e6) for size, one in seen])
    servers.terminate()
    return [
        Figure("Start: processor time until ready, 100 workers", "functions", "s", seconds),
        Figure("Start: memory once ready", "functions", "MB", memory),
    ]


ROWS = {
    "dns": dns_list,
    "sse": sse_list,
    "folder": version_folder,
    "rollout": rollouts,
    "reload": reload,
    "health": health,
    "state": state_log,
    "links": links,
    "calls": data_path,
    "idle": idle,
    "platform": platform,
    "start": start,
    "cold": rare_calls.cold_starts,
    "orders": rare_calls.orders,
}


def line(figure):
    """Return one row of the table."""
    fits = [fitted(points) for points in figure.points]
    slopes = [fit.slope for fit in fits]
    slope, constant = statistics.median(slopes), statistics.median(fit.constant for fit in fits)
    spread = (max(slopes) - min(slopes)) / abs(slope) if slope else 0.0
    sizes = [size for size, _ in figure.points[0]]
    seen = [statistics.median(run[n][1] for run in figure.points) for n in range(len(sizes))]
    return (
        f"| {figure.name} | {slope:.4g} {figure.unit} x {figure.size} + {constant:.4g} {figure.unit} "
        f"| {sizes[0]:,} to {sizes[-1]:,} | {spread:.0%} | "
        + ", ".join(f"{s:,}: {v:.4g}" for s, v in zip(sizes, seen, strict=True))
        + " |"
    )


def main():
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("rows", nargs="*", choices=[[], *ROWS], help="rows to measure; none: all")
    parser.add_argument("--runs", type=int, default=3)
    options = parser.parse_args()
    gc.disable()
    for name in options.rows or ROWS:
        print(f"... {name}", file=sys.stderr, flush=True)
        for found in ROWS[name](options.runs):
            print(found if isinstance(found, str) else line(found), flush=True)
        gc.collect()


if __name__ == "__main__":
    main()
