"""How a version of the settings comes into force at a whole fleet: five servers and hundreds of dispatchers
in
virtual time.

Real here: the replicas and proposers (`decide.cluster.replicated_log`), each dispatcher's `VersionWatch` and
`Rollout`, and the encoding of what they send, whose bytes are counted. Hollow: sockets (a message takes up to
80 ms and none is lost unless a side of a split asks the other), disks, reading and applying the settings (an
allowance, `APPLY`), answers of activations (drawn), and a look at the folder of versions each second.
"""

import math
import time
from random import Random
from typing import NamedTuple

from petrelwood.control import messages
from petrelwood.decide.cluster.replicated_log import CALL_OFF, VERSION, Record, packed
from petrelwood.decide.cluster.rollout import DWELL, Announced, Rollout, dwell_for
from petrelwood.decide.cluster.version_watch import SECOND, CallOff, VersionWatch
from petrelwood.emulate.configuration_servers import World
from petrelwood.links import rpc

SERVERS = 5  # machines set aside for control
WITHIN = 13 * SECOND  # a change is in force everywhere
CHANGES_A_DAY = 740
BYTES_A_SECOND = 21_000  # that a dispatcher may spend on control
DISPATCHERS = 400
CALLS_A_DISPATCHER = 92  # a second: 37,000 over 400
FIRST_REGION = ("c1", "c2", "c3")  # of the two regions, the one with three of the five servers
FEW_FUNCTIONS, ALL_FUNCTIONS = 300, 13_000  # that a version names one by one
DELAY = 80_000_000  # ns that a message takes at most
APPLY = 1_700_000_000  # ns of reading and taking a version with 13,000 functions (docs/CAPACITY.md)
USUAL, BAD = 0.97, 0.5  # of answers completed; of those under a bad version


def settings_text(functions):
    """Lines as a version has them: names that do not repeat, and figures that do."""
    draws = Random(functions)
    lines = []
    for n in range(functions):
        name, figures = f"{draws.getrandbits(64):016x}", f'lanes={1 + n % 4} load-time="{n % 900}ms"'
        lines.append(f'function "{name}" type="type-{n % 7}" {figures}\n')
    return "".join(lines)


class Dispatcher:
    """One hollow dispatcher: what it asks, what it knows, which version it runs."""

    def __init__(self, fleet, number):
        self.fleet, self.name, self.region = fleet, f"d{number}", number % 2
        self.announced, self.messages, self.bytes, self.peak = {}, 0, 0, 0
        self.force = {}  # version -> when it came into force here, ns
        self.restart(0)

    def restart(self, known):
        """The process begins; `known`: the position in its folder, 0 for an empty one."""
        dwell = self.fleet.dwell
        self.watch = VersionWatch(self.name, self.fleet.world.names, known, 3 * dwell, self.fleet.chance)
        self.rollout = Rollout(self.name, 0, dwell=dwell)


class Result(NamedTuple):
    """What one scenario gave; seconds, messages and bytes a second for one dispatcher."""

    name: str
    dispatchers: int
    in_force: float  # from publishing to the last dispatcher; inf: not within the scenario
    decided: float  # until it was decided
    reached: float  # the largest part of dispatchers that ran it at a time
    messages: float
    bytes: float
    peak_server_bytes: float  # of one server, in its busiest second
    cpu: float  # seconds of processor time of all replicas, watches and roll-outs together


class Fleet:
    """`staged`: False for the former way, a folder that all read at once and stages 30 s apart."""

    def __init__(
        self,
        dispatchers=DISPATCHERS,
        seed=1,
        staged=True,
        functions=FEW_FUNCTIONS,
        calls=CALLS_A_DISPATCHER,
    ):
        self.world = World(seed, servers=SERVERS, loss=0, twice=0, most_delay=DELAY)
        self.chance, self.drawn = Random(seed + 1).random, Random(seed + 2)
        self.dwell = dwell_for(WITHIN) if staged else DWELL
        self.shared = None if staged else {}  # number -> Announced, of the folder that all read
        self.body = packed(settings_text(functions))
        self.calls = calls  # answers a second of each dispatcher
        self.split, self.bad, self.sizes, self.by_server = False, set(), {}, {}
        self.published, self.decided = {}, {}  # record id -> when; version -> when
        self.dispatchers = [Dispatcher(self, number) for number in range(dispatchers)]
        for one in self.dispatchers:
            self.world.later(int(self.chance() * SECOND), self._ask, one)
            self.world.later(int(self.chance() * SECOND), self._look, one)
        for name in self.world.names:
            self.world.later(int(self.chance() * SECOND), self._catch_up, name)

    # What happens by itself.
    def _reaches(self, one, server):
        return self.world.servers[server].up and (
            not self.split or (one.region == 0) == (server in FIRST_REGION)
        )

    def _ask(self, one):
        now = self.world.now
        for server in one.watch.due(now):
            self.world.later(int(self.chance() * DELAY), self._asked, one, server, one.watch.known)
        self.world.later(max(1, one.watch.next - now), self._ask, one)

    def _asked(self, one, server, known):
        if not self._reaches(one, server):
            self.world.later(SECOND, one.watch.failed, server, self.world.now + SECOND)
            return
        extract = self.world.servers[server].replica.extract(known, compact=True)
        size = self._size(extract)
        one.messages, one.bytes = one.messages + 2, one.bytes + size
        second = (server, self.world.now // SECOND)
        self.by_server[second] = self.by_server.get(second, 0) + size
        self.world.later(int(self.chance() * DELAY), self._answered, one, server, extract)

    def _size(self, extract):
        key = (extract.since, extract.chosen, len(extract.entries))
        if key not in self.sizes:
            request = rpc.request(1 << 16, "read", [extract.since])
            self.sizes[key] = len(request) + len(rpc.response(1 << 16, None, messages.plain(extract)))
        return self.sizes[key]

    def _answered(self, one, server, extract):
        wall = self.world.now
        for news in one.watch.answered(server, extract, self.world.now, wall):
            if isinstance(news, CallOff):
                if news.number in one.announced:
                    one.announced[news.number] = one.announced[news.number]._replace(off=True)
            else:
                one.announced[news.number] = Announced(news.number, news.begun, False)

    def _look(self, one):
        """Each second, as `dispatch.serve` does: answers counted, then what is announced."""
        share = BAD if one.rollout.version in self.bad else USUAL
        good = sum(self.drawn.random() < share for _ in range(self.calls))
        for completed in (True,) * good + (False,) * (self.calls - good):
            one.rollout.ended(completed)
        known = one.announced if self.shared is None else self.shared
        verdict = one.rollout.look(self.world.now, list(known.values()))
        if verdict is not None:
            self.world.later(APPLY, self._in_force, one, verdict[1])
            if one.rollout.calls_off is not None:
                self._call_off(one, one.rollout.calls_off)
        self.world.later(SECOND, self._look, one)

    def _in_force(self, one, number):
        one.force.setdefault(number, self.world.now)

    def _call_off(self, one, number):
        if self.shared is not None:
            self.shared[number] = self.shared[number]._replace(off=True)
            return
        up = [server for server in one.watch.order if self._reaches(one, server)]
        if up and not self.world.servers[up[0]].replica.is_off(number):
            record = Record(f"off-{number}-{one.name}", CALL_OFF, number, self.world.now, one.name.encode())
            self.world.propose(up[0], record)

    def _catch_up(self, name):
        self.world.catch_up(name, self.world.chance.choice(self.world.names))
        self.world.later(SECOND, self._catch_up, name)

    # What a scenario does.
    def publish(self, server="c1", bad=False):
        """A version on its way; its number once it is decided, None where there is no quorum."""
        now = self.world.now
        if self.shared is not None:
            number = len(self.shared) + 1
            self.shared[number] = Announced(number, now, False)
        else:
            record = Record(f"v{now}", VERSION, 0, now, self.body)
            self.world.propose(server, record)
            while record.id not in self.world.told and self.world.now < now + 5 * SECOND:
                self.world.run(SECOND // 100)
            number = self.world.told.get(record.id)
        if number is not None:
            self.published[number], self.decided[number] = now, self.world.now
            if bad:
                self.bad.add(number)
        return number

    def run(self, seconds):
        self.world.run(int(seconds * SECOND))

    def in_force(self, number, among=None):
        """Seconds from publishing until the last dispatcher had it."""
        times = [one.force.get(number, math.inf) for one in among or self.dispatchers]
        return (max(times) - self.published[number]) / SECOND

    def running(self, number):
        """The part of dispatchers that run a version now."""
        return sum(one.rollout.version == number for one in self.dispatchers) / len(self.dispatchers)

    def forget_counts(self):
        """Messages and bytes are counted from here on."""
        self.by_server.clear()
        for one in self.dispatchers:
            one.messages = one.bytes = 0

    def set_split(self, split):
        """The regions lose each other, or find each other again."""
        self.split = split
        self.world.sides = dict.fromkeys(FIRST_REGION, 1) if split else {}


def measured(name, fleet, number, seconds, since, reached=0.0):
    """A `Result` of what a fleet has just played."""
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
    """Nothing changes."""
    since, fleet = time.process_time(), Fleet(dispatchers, seed)
    fleet.run(60)
    return measured("nothing changes", fleet, None, 60, since)


def one_version(dispatchers=DISPATCHERS, seed=1, staged=True, functions=ALL_FUNCTIONS):
    """An ordinary change."""
    since, fleet = time.process_time(), Fleet(dispatchers, seed, staged, functions)
    fleet.run(5)
    number = fleet.publish()
    seconds = 25 if staged else 105
    fleet.run(seconds)
    return measured("a version" if staged else "a version, by folder", fleet, number, seconds + 5, since)


def bad_version(dispatchers=DISPATCHERS, seed=1, staged=True):
    """A version under which half of the answers are completed."""
    since, fleet, most = time.process_time(), Fleet(dispatchers, seed, staged), 0.0
    fleet.run(5)
    number = fleet.publish(bad=True)
    for _ in range(30 if staged else 100):
        fleet.run(1)
        most = max(most, fleet.running(number))
    return measured("a bad version", fleet, number, 35 if staged else 105, since, most)


def servers_lost(dispatchers=DISPATCHERS, seed=1):
    """The servers go one by one, then come back: a version after each loss, and what stays in force."""
    since, fleet, rows = time.process_time(), Fleet(dispatchers, seed), []
    fleet.run(5)
    last = None
    for lost in range(SERVERS + 1):
        if lost:
            fleet.world.crash(f"c{SERVERS + 1 - lost}")
        number = fleet.publish() if lost < SERVERS else None
        begun = fleet.world.now
        fleet.forget_counts()
        fleet.run(25)
        last = number or last
        seconds = (fleet.world.now - begun) / SECOND
        rows.append(measured(f"{lost} servers lost", fleet, number, seconds, since, fleet.running(last)))
    for name in fleet.world.names:
        fleet.world.start(name)
    fleet.run(40)  # servers that had failed are asked again after 30 s at the latest
    number = fleet.publish()
    fleet.forget_counts()
    fleet.run(25)
    rows.append(measured("all back", fleet, number, 25, since, fleet.running(number)))
    return rows


def all_started(dispatchers=DISPATCHERS, seed=1):
    """All dispatchers begin at once with empty folders, after a version of full size was published."""
    since, fleet = time.process_time(), Fleet(dispatchers, seed, functions=ALL_FUNCTIONS)
    number = fleet.publish()
    fleet.run(25)
    fleet.forget_counts()
    fleet.published[number] = fleet.decided[number] = fleet.world.now
    for one in fleet.dispatchers:
        one.announced.clear()
        one.force.clear()
        one.restart(0)
    fleet.run(25)
    return measured("all started at once", fleet, number, 25, since, fleet.running(number))


def region_lost(dispatchers=40, seed=1, seconds=3600):
    """The regions lose each other; a version is published on the side of three servers, one on the other."""
    since, fleet = time.process_time(), Fleet(dispatchers, seed)
    fleet.run(5)
    fleet.set_split(True)
    larger, smaller = fleet.publish("c1"), fleet.publish("c5")
    fleet.run(seconds)
    had = [one for one in fleet.dispatchers if larger in one.force]
    assert {one.region for one in had} == {0} and smaller is None
    first = fleet.in_force(larger, had)
    fleet.set_split(False)
    begun = fleet.world.now
    fleet.run(60)
    result = measured("a region away", fleet, larger, seconds + 65, since, len(had) / dispatchers)
    healed = (max(one.force[larger] for one in fleet.dispatchers) - begun) / SECOND
    return result._replace(in_force=first, decided=healed)


def hour_of_changes(dispatchers=100, seed=1, staged=True, gap=86_400 / CHANGES_A_DAY, seconds=3600):
    """Changes at random times; the part that was in force everywhere within the time, or was superseded
    before its time was up, and of all the part that ever was in force everywhere."""
    fleet, draws = Fleet(dispatchers, seed, staged, calls=1), Random(seed)
    at = 0.0
    while (at := at + draws.expovariate(1 / gap)) < seconds:
        fleet.run(max(0.0, at - fleet.world.now / SECOND))
        fleet.publish(draws.choice(fleet.world.names))
    fleet.run(110)
    numbers, limit = sorted(fleet.published), WITHIN / SECOND
    within = ever = 0
    for number, after in zip(numbers, [*numbers[1:], None], strict=True):
        took = fleet.in_force(number)
        soon = after is not None and (fleet.published[after] - fleet.published[number]) / SECOND < limit
        within, ever = within + (took <= limit or soon), ever + (took < math.inf)
    return len(numbers), within, ever
