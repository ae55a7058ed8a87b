"""Runs one real dispatcher with the same traffic in fleets of 36, 576 and 3,200 workers, and compares it with
the operators' limits on the growth of its needs.

The dispatcher is a process, `python -m petrelwood.node`; clients, workers and the discovery by DNS are
stand-ins on loopback (`tests/node_site.py`). Every worker has a listening socket of its own and answers after
`SERVICE`. The traffic, the limits of the dispatcher and the functions are the same in each fleet. The number
of dispatchers in the settings grows in proportion to the workers, so that each has the same share of the
fleet's capacity. The other dispatchers are not simulated: this one finds no copies that others have made.

The list of workers arrives complete in the configuration (`known`), and after that by continuous DNS queries,
if the whole list fits an answer of 8,000 bytes, which holds about 70 workers. For more workers, this
discovery answers with the truncation flag, the serial and no record, so that a larger fleet gets no changes;
what the operators' discovery does then is a question in docs/node.md. `bytes of lists` are the bytes of the
answers."""

import asyncio
import itertools
import json
import pathlib
import random
import sys
import time
from typing import NamedTuple

import dns.exception
import dns.flags
import dns.message
import dns.rrset

from benchmarks.scale.figures import Figure, Sample
from benchmarks.scale.plan import BASE_MEMORY, Job, Outcome

sys.path.insert(0, str(pathlib.Path(__file__).parents[2] / "tests"))
import node_site

FLEETS = (36, 576, 3_200)  # workers of each fleet, the usual one first
WORKERS_A_DISPATCHER = 36 / 200
SERVICE = 0.02  # seconds that a worker takes for a call
CHANGE_EVERY = 1.0  # seconds between two changes of the list, each of which replaces one worker
ENDED = 0.1  # seconds within which the stand-ins notice that their connections are closed
CONNECTIONS = 8  # client connections
TTL = 2_000  # ms that a client waits for an answer
UNANSWERED = 6  # seconds after which a call counts as unanswered
SOCKETS, MEMORY_MB = 512, 96  # the dispatcher's limits
HOLLOW = "clients, workers and discovery are stand-ins on loopback; the other dispatchers are not played"
COMMAND = (sys.executable, "-m", "petrelwood.node")
MOST_WRITTEN = 100  # entries of the list that are encoded for an answer: more than fit its 8,000 bytes
WORKER_MEMORY = 40_000  # bytes of a stand-in worker

CPU, MEMORY, DESCRIPTORS = "CPU seconds", "peak memory", "descriptors"
MADE, LISTS, SERVED = "connections made to workers", "bytes of lists", "share served"
UNITS = {CPU: "s", MEMORY: "MB", DESCRIPTORS: "", MADE: "", LISTS: "KB", SERVED: ""}


class Limit(NamedTuple):
    """The limit of a figure, relative to the usual fleet: `times` its value, plus `plus`, plus
    `each_thousand` for each thousand workers. With `least` it is a lower limit instead of an upper one."""

    times: float
    plus: float = 0.0
    each_thousand: float = 0.0
    least: bool = False

    def at(self, usual, workers):
        """Return the limit in a fleet of `workers` workers."""
        return self.times * usual + self.plus + self.each_thousand * workers / 1_000

    def keeps(self, usual, found, workers):
        """Return whether a figure is within the limit."""
        limit = self.at(usual, workers)
        return found >= limit if self.least else found <= limit


LIMITS = {  # from the operators' table
    CPU: Limit(1.4, 0.02, 0.12),
    MEMORY: Limit(1.5, 8.0, 4.0),
    DESCRIPTORS: Limit(2.0, 40),
    MADE: Limit(2.5, 40),
    LISTS: Limit(2.0, 64.0, 500.0),
    SERVED: Limit(0.85, least=True),
}


class Day(NamedTuple):
    """The traffic, the same in each fleet."""

    seconds: float = 20.0
    calls_a_second: float = 10.0  # several times the mean of the operators' days
    functions: int = 60
    seed: int = 1


class Played(NamedTuple):
    """The result of a day."""

    figures: dict  # figure -> value
    listed: int  # number of workers that the dispatcher knew at its start
    truncated: bool  # whether the list did not fit the last answers of the discovery
    unanswered: int  # calls without an answer within `UNANSWERED`; none of them counts as served


class Verdict(NamedTuple):
    """One figure of a larger fleet compared with its limit."""

    what: str
    workers: int
    found: float
    limit: float
    kept: bool


def verdicts(usual, found, workers):
    """Return a `Verdict` for each row of the table. `usual`, `found`: {figure: value}."""
    return [
        Verdict(
            what,
            workers,
            found[what],
            limit.at(usual[what], workers),
            limit.keeps(usual[what], found[what], workers),
        )
        for what, limit in LIMITS.items()
    ]


class CountedWorker(node_site.Worker):
    """A stand-in worker that counts the connections made to it."""

    made = 0

    def __init__(self, name):
        super().__init__(name, script=_served)

    async def _serve(self, reader, writer):
        self.made += 1
        await super()._serve(reader, writer)


async def _served(worker, said, writer):
    await asyncio.sleep(SERVICE)


class CountedRoster(node_site.Roster):
    """The discovery; counts the bytes of its answers, and truncates the answer if the list does not fit."""

    def __init__(self):
        super().__init__()
        self.told, self.written, self.wire, self.truncated = 0, -1, b"", False

    def datagram_received(self, data, sender):
        """Answer a query; encode the answer only when the list has changed."""
        if self.written != self.serial:
            self.written = self.serial
            # Encode only some entries, which is enough to see that the list does not fit: encoding 3,200
            # entries blocked the event loop, with its workers and clients, for 0.9 s at each change.
            part = dict(itertools.islice(self.entries.items(), MOST_WRITTEN))
            try:
                self.wire, self.truncated = node_site.answer(data, self.serial, part), False
            except dns.exception.TooBig:
                self.wire, self.truncated = _truncated(data, self.serial), True
            else:
                if len(part) < len(self.entries):
                    raise AssertionError(f"{MOST_WRITTEN} entries fit an answer: it would leave out the rest")
        self.told += len(self.wire)
        self.transport.sendto(data[:2] + self.wire[2:], sender)


def _truncated(asked, serial):
    reply = dns.message.make_response(dns.message.from_wire(asked))
    reply.flags |= dns.flags.AA | dns.flags.TC
    soa = f"ns.local. ops.local. {serial} 1 1 1 1"
    reply.authority.append(dns.rrset.from_text("svc.local.", 5, "IN", "SOA", soa))
    return reply.to_wire()


def settings(workers):
    """Return the dispatcher's settings that depend on the fleet's size."""
    return {"balancers": round(workers / WORKERS_A_DISPATCHER)}


async def played(workers, day, command=COMMAND):
    """Play one dispatcher's day from its start; return a `Played`."""
    fleet = [CountedWorker(f"s-{number:08x}") for number in range(workers)]
    site = node_site.Site(fleet, SOCKETS, MEMORY_MB, **settings(workers))
    site.roster, site.start = CountedRoster(), _Start(site.start, command)
    async with site:
        clients = [await site.client() for _ in range(CONNECTIONS)]
        watch = asyncio.ensure_future(_watch(site))
        changes = asyncio.ensure_future(_replace(site.roster, fleet))
        served, unanswered = await _calls(clients, day)
        figures = {
            CPU: processor_seconds(site.process.pid),
            MEMORY: peak_memory(site.process.pid) / 1e6,
            DESCRIPTORS: await _ended(watch),
            MADE: sum(worker.made for worker in fleet),
            LISTS: site.roster.told / 1e3,
            SERVED: served,
        }
        changes.cancel()
        for client in clients:
            client.close()
    await asyncio.sleep(ENDED)
    return Played(figures, _listed(site.log), site.roster.truncated, unanswered)


def _listed(log):
    """Return the number of workers in the dispatcher's "listening" log line."""
    lines = (json.loads(line) for line in log if '"listening"' in line)
    return next(lines)["workers"]


class _Start:
    """Calls the site's `start` with another command."""

    def __init__(self, start, command):
        self.start, self.command = start, command

    def __call__(self):
        return self.start(self.command)


async def _calls(clients, day):
    """Make the calls; return the share that was completed in time, and the number without an answer."""
    chance, calls, due = random.Random(day.seed), [], time.monotonic()
    until = due + day.seconds
    while (due := due + chance.expovariate(day.calls_a_second)) < until:
        await asyncio.sleep(due - time.monotonic())
        function = int(day.functions * chance.random() ** 2)
        call = clients[len(calls) % CONNECTIONS].call(fn=function, ttl=TTL, within=UNANSWERED)
        calls.append(asyncio.ensure_future(call))
    ends = await asyncio.gather(*calls, return_exceptions=True)
    unanswered = sum(isinstance(end, TimeoutError) for end in ends)
    for end in ends:
        if isinstance(end, BaseException) and not isinstance(end, TimeoutError):
            raise end
    answered = [end for end in ends if not isinstance(end, TimeoutError)]
    return sum(end[0] == "completed" for end in answered) / len(ends), unanswered


async def _watch(site):
    """Watch the dispatcher until cancelled; return its largest number of descriptors."""
    most = 0
    try:
        while True:
            most = max(most, site.figures()[1])
            await asyncio.sleep(0.1)
    except asyncio.CancelledError:
        return most


async def _ended(task):
    task.cancel()
    return await task


async def _replace(roster, fleet):
    """Change the list: remove one worker after the other, and add it again under a new name."""
    for number, worker in enumerate(fleet):
        await asyncio.sleep(CHANGE_EVERY)
        roster.tell(worker, "Gone")
        worker.name = f"s-{len(fleet) + number:08x}"
        worker.copies.clear()
        roster.tell(worker, started=round(time.time() * 1e3))


def processor_seconds(pid):
    """Return the processor time of a process in seconds, more precise than clock ticks."""
    spent = 0
    for thread in pathlib.Path(f"/proc/{pid}/task").iterdir():
        spent += int((thread / "schedstat").read_text().split()[0])
    return spent / 1e9


def peak_memory(pid):
    """Return the peak resident set size of a process in bytes."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM:")) * 1024


def jobs(plan):
    """Return one job for each fleet and run."""
    fleets = FLEETS[:2] if plan.small else FLEETS
    day = Day(seconds=3.0) if plan.small else Day()
    return [
        Job(
            f"the same traffic, {workers} workers, run {run + 1}",
            __name__,
            "play",
            {"workers": workers, "day": day._replace(seed=run + 1), "run": run},
            2 * BASE_MEMORY + workers * WORKER_MEMORY,
            2,
        )
        for workers in fleets
        for run in range(plan.runs)
    ]


def play(workers, day, run):
    """Play one fleet's day; return its figures as samples."""
    day_played = asyncio.run(played(workers, day))
    if day_played.unanswered:
        raise TimeoutError(f"{day_played.unanswered} calls had no answer")
    figures = day_played.figures
    return Outcome(
        tuple(
            Figure(
                f"the same traffic: {what}",
                UNITS[what],
                "workers",
                (Sample(workers, value, run),),
                HOLLOW,
            )
            for what, value in figures.items()
        )
    )
