"""Scenarios of how a version of the settings comes into force at a whole fleet; see `configuration_fleet`."""

import math
import time
from random import Random
from typing import NamedTuple

from benchmarks.scale import size
from benchmarks.scale.configuration_fleet import ALL_FUNCTIONS, DISPATCHERS, WITHIN, Fleet
from benchmarks.scale.figures import Event, Figure, Sample, Target
from benchmarks.scale.plan import BASE_MEMORY, Job, Outcome
from petrelwood.decide.cluster.version_watch import SECOND

HOLLOW = (
    "sockets (up to 80 ms a message), disks, reading and taking a version (1.7 s), answers of calls; "
    "bytes are those of the messages, without headers of TCP and IP"
)


class Result(NamedTuple):
    """The result of one scenario. Times are in seconds; messages and bytes are per second and dispatcher."""

    name: str
    dispatchers: int
    in_force: float  # from publishing until the last dispatcher runs it; inf if not within the scenario
    decided: float  # from publishing until the version is decided
    reached: float  # the largest share of dispatchers that ran it at the same time
    messages: float
    bytes: float
    peak_server_bytes: float  # of one server, in its busiest second
    cpu: float  # seconds of processor time of all replicas, watches and roll-outs together


def measured(name, fleet, number, seconds, since, reached=0.0):
    """Return the `Result` of the scenario that a fleet has just played."""
    count = len(fleet.dispatchers)
    return Result(
        name,
        count,
        fleet.in_force(number) if number else math.inf,
        (fleet.decided[number] - fleet.published[number]) / SECOND if number else math.inf,
        reached,
        sum(one.messages for one in fleet.dispatchers) / count / seconds,
        sum(one.bytes for one in fleet.dispatchers) / count / seconds,
        max(fleet.by_server.values(), default=0),
        time.process_time() - since,
    )


def idle(dispatchers=DISPATCHERS, seed=1):
    """Play a minute without changes."""
    since, fleet = time.process_time(), Fleet(dispatchers, seed)
    fleet.run(60)
    return measured("nothing changes", fleet, None, 60, since)


def one_version(dispatchers=DISPATCHERS, seed=1, staged=True, functions=ALL_FUNCTIONS):
    """Publish an ordinary version."""
    since, fleet = time.process_time(), Fleet(dispatchers, seed, staged, functions)
    fleet.run(5)
    number = fleet.publish()
    seconds = 25 if staged else 105
    fleet.run(seconds)
    return measured("a version" if staged else "a version, by folder", fleet, number, seconds + 5, since)


def bad_version(dispatchers=DISPATCHERS, seed=1, staged=True):
    """Publish a version under which only half of the answers are completed."""
    since, fleet, most = time.process_time(), Fleet(dispatchers, seed, staged), 0.0
    fleet.run(5)
    number = fleet.publish(bad=True)
    for _ in range(30 if staged else 100):
        fleet.run(1)
        most = max(most, fleet.running(number))
    return measured("a bad version", fleet, number, 35 if staged else 105, since, most)


def servers_lost(dispatchers=DISPATCHERS, seed=1):
    """Crash the servers one by one, publish a version after each crash, then start all servers again."""
    since, fleet, rows = time.process_time(), Fleet(dispatchers, seed), []
    fleet.run(5)
    last = None
    for lost in range(size.CONTROL_MACHINES + 1):
        if lost:
            fleet.cluster.crash(f"c{size.CONTROL_MACHINES + 1 - lost}")
        number = fleet.publish() if lost < size.CONTROL_MACHINES else None
        begun = fleet.cluster.now
        fleet.forget_counts()
        fleet.run(25)
        last = number or last
        seconds = (fleet.cluster.now - begun) / SECOND
        rows.append(measured(f"{lost} servers lost", fleet, number, seconds, since, fleet.running(last)))
    for name in fleet.cluster.names:
        fleet.cluster.start(name)
    fleet.run(40)  # failed servers are polled again after 30 s at the latest
    number = fleet.publish()
    fleet.forget_counts()
    fleet.run(25)
    rows.append(measured("all back", fleet, number, 25, since, fleet.running(number)))
    return rows


def all_started(dispatchers=DISPATCHERS, seed=1):
    """Restart all dispatchers at once with empty folders, after a version of full size was published."""
    since, fleet = time.process_time(), Fleet(dispatchers, seed, functions=ALL_FUNCTIONS)
    number = fleet.publish()
    fleet.run(25)
    fleet.forget_counts()
    fleet.published[number] = fleet.decided[number] = fleet.cluster.now
    for one in fleet.dispatchers:
        one.announced.clear()
        one.force.clear()
        one.restart(0)
    fleet.run(25)
    return measured("all started at once", fleet, number, 25, since, fleet.running(number))


def region_lost(dispatchers=40, seed=1, seconds=3600):
    """Partition the regions and publish a version on each side, one with three servers and one with two."""
    since, fleet = time.process_time(), Fleet(dispatchers, seed)
    fleet.run(5)
    fleet.set_split(True)
    larger, smaller = fleet.publish("c1"), fleet.publish("c5")
    fleet.run(seconds)
    had = [one for one in fleet.dispatchers if larger in one.force]
    assert {one.region for one in had} == {0} and smaller is None
    first = fleet.in_force(larger, had)
    fleet.set_split(False)
    begun = fleet.cluster.now
    fleet.run(60)
    result = measured("a region away", fleet, larger, seconds + 65, since, len(had) / dispatchers)
    healed = (max(one.force[larger] for one in fleet.dispatchers) - begun) / SECOND
    return result._replace(in_force=first, decided=healed)


def hour_of_changes(dispatchers=100, seed=1, staged=True, gap=size.CONFIGURATION_CHANGE_EVERY, seconds=3600):
    """Publish changes at random times.

    Return the number of published versions, of those that were in force everywhere in time or superseded
    before their time limit, and of those that were ever in force everywhere."""
    fleet, draws = Fleet(dispatchers, seed, staged, calls=1), Random(seed)
    at = 0.0
    while (at := at + draws.expovariate(1 / gap)) < seconds:
        fleet.run(max(0.0, at - fleet.cluster.now / SECOND))
        fleet.publish(draws.choice(fleet.cluster.names))
    fleet.run(110)
    numbers, limit = sorted(fleet.published), WITHIN / SECOND
    within = ever = 0
    for number, after in zip(numbers, [*numbers[1:], None], strict=True):
        took = fleet.in_force(number)
        soon = after is not None and (fleet.published[after] - fleet.published[number]) / SECOND < limit
        within, ever = within + (took <= limit or soon), ever + (took < math.inf)
    return len(numbers), within, ever


# Jobs of `python -m benchmarks.scale`
def jobs(plan):
    """Return one job for each size, event and run."""
    sizes = (10, 20, 40) if plan.small else (50, 100, 200, 400)
    events = () if plan.small else tuple(EVENTS)
    made = [
        Job(
            f"configuration: {count} dispatchers, run {run + 1}",
            __name__,
            "play",
            {"count": count, "run": run},
            BASE_MEMORY,
        )
        for count in sizes
        for run in range(plan.runs)
    ]
    for name in events:
        for run in range(plan.runs):
            arguments = {"name": name, "run": run}
            made.append(
                Job(f"configuration: {name}, run {run + 1}", __name__, "play_event", arguments, BASE_MEMORY)
            )
    return made


def play(count, run):
    """Publish a version with all functions to `count` dispatchers; return figures by their number."""
    found, quiet = one_version(count, run + 1), idle(count, run + 1)
    values = {
        "configuration: a version in force everywhere": ("s", found.in_force),
        "configuration: messages of a dispatcher": ("a second", quiet.messages),
        "configuration: bytes of a dispatcher, nothing changes": ("bytes a second", quiet.bytes),
        "configuration: bytes of a dispatcher for a version": ("bytes", (found.bytes - quiet.bytes) * 30),
        "configuration: bytes of a server, busiest second": ("bytes", found.peak_server_bytes),
        "configuration: messages of a server, nothing changes": (
            "a second",
            quiet.messages * count / size.CONTROL_MACHINES,
        ),
    }
    target = (Target("400 dispatchers", size.DISPATCHERS),)
    return Outcome(
        tuple(
            Figure(name, unit, "dispatchers", (Sample(count, value, run),), HOLLOW, target)
            for name, (unit, value) in values.items()
        )
    )


def _named(result):
    return {
        "in force everywhere, s": result.in_force,
        "decided, s": result.decided,
        "largest part that ran it": result.reached,
        "messages of a dispatcher, a second": result.messages,
        "bytes of a dispatcher, a second": result.bytes,
        "bytes of a server, busiest second": result.peak_server_bytes,
    }


def _region(result):
    """Return the values of `region_lost`, whose `decided` is the recovery time after the partition."""
    return {**_named(result), "decided, s": 0.0, "as before after it, s": result.decided}


def _changes(seed, staged, **more):
    published, within, ever = hour_of_changes(100, seed, staged, **more)
    return {
        "published": published,
        "in force or superseded in time": within,
        "ever in force everywhere": ever,
    }


BURST = {"gap": 30.0, "seconds": 600}  # twenty in ten minutes
EVENTS = {
    "a version, by the folder's stages": lambda seed: _named(one_version(seed=seed, staged=False)),
    "a bad version": lambda seed: _named(bad_version(seed=seed)),
    "a bad version, by the folder's stages": lambda seed: _named(bad_version(seed=seed, staged=False)),
    "all dispatchers started at once": lambda seed: _named(all_started(seed=seed)),
    "an hour without the other region, 40 dispatchers": lambda seed: _region(region_lost(seed=seed)),
    "an hour of 740 changes a day, 100 dispatchers": lambda seed: _changes(seed, True),
    "the same, by the folder's stages": lambda seed: _changes(seed, False),
    "a burst of changes, 100 dispatchers": lambda seed: _changes(seed, True, **BURST),
    "the same burst, by the folder's stages": lambda seed: _changes(seed, False, **BURST),
    "servers lost one by one": None,
}


def play_event(name, run):
    """Play one event; return it as rows of the second table."""
    if name == "servers lost one by one":
        rows = servers_lost(seed=run + 1)
        return Outcome(events=tuple(Event(f"configuration: {r.name}", run, _named(r), HOLLOW) for r in rows))
    return Outcome(events=(Event(f"configuration: {name}", run, EVENTS[name](run + 1), HOLLOW),))
