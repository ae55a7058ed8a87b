"""Simulates how a version of the settings comes into force at a whole fleet: five servers and hundreds of
dispatchers in virtual time.

Real parts: the replicas and proposers (`decide.cluster.replicated_log`), each dispatcher's `VersionWatch` and
`Rollout`, and the encoding of their messages, whose bytes are counted. Simulated (hollow) parts: sockets (a
message takes up to 80 ms, and only messages across a partition are lost), disks, reading and applying the
settings (a fixed time, `APPLY`), answers of activations (random), and the check of the folder of versions
each second.
"""

import math
from random import Random

from benchmarks.scale import size
from petrelwood.control import messages
from petrelwood.decide.cluster.log_records import Record, RecordKind, compress_text
from petrelwood.decide.cluster.rollout import DWELL, Announcement, Rollout, dwell_for
from petrelwood.decide.cluster.version_watch import SECOND, Revocation, VersionWatch
from petrelwood.emulate.configuration_servers import Cluster, Network
from petrelwood.links import rpc

WITHIN = int(size.CONFIGURATION_IN_FORCE_WITHIN * SECOND)
DISPATCHERS = size.DISPATCHERS
CALLS_A_DISPATCHER = int(size.CALLS_A_SECOND_A_DISPATCHER)
FIRST_REGION = ("c1", "c2", "c3")  # the servers of the region that has three of the five
FEW_FUNCTIONS, ALL_FUNCTIONS = 300, size.FUNCTIONS  # number of functions that a version names individually
DELAY = 80_000_000  # ns that a message takes at most
APPLY = 1_700_000_000  # ns to read and apply a version with 13,000 functions (docs/CAPACITY.md)
USUAL, BAD = 0.97, 0.5  # share of answers that are completed, normally and under a bad version


def settings_text(functions):
    """Return the text of a version, with unique names and repeating values, as real versions have."""
    draws = Random(functions)
    lines = []
    for n in range(functions):
        name, figures = f"{draws.getrandbits(64):016x}", f'lanes={1 + n % 4} load-time="{n % 900}ms"'
        lines.append(f'function "{name}" type="type-{n % 7}" {figures}\n')
    return "".join(lines)


class Dispatcher:
    """One hollow dispatcher: its polling of the servers, its known versions and the version that it runs."""

    def __init__(self, fleet, number):
        self.fleet, self.name, self.region = fleet, f"d{number}", number % 2
        self.announced, self.messages, self.bytes = {}, 0, 0
        self.force = {}  # version -> when it came into force here, ns
        self.restart(0)

    def restart(self, known):
        """Start a new process; `known` is the position in its folder, 0 if that is empty."""
        dwell = self.fleet.dwell
        self.watch = VersionWatch(self.name, self.fleet.cluster.names, known, 3 * dwell, self.fleet.chance)
        self.rollout = Rollout(self.name, 0, dwell=dwell)


class Fleet:
    """The servers and dispatchers of a simulation.

    With `staged` False it simulates the former way: a shared folder, and stages 30 s apart."""

    def __init__(
        self,
        dispatchers=DISPATCHERS,
        seed=1,
        staged=True,
        functions=FEW_FUNCTIONS,
        calls=CALLS_A_DISPATCHER,
    ):
        self.cluster = Cluster(seed, servers=size.CONTROL_MACHINES, network=Network(0, 0, DELAY))
        self.chance, self.drawn = Random(seed + 1).random, Random(seed + 2)
        self.dwell = dwell_for(WITHIN) if staged else DWELL
        self.shared = None if staged else {}  # the shared folder: number -> Announcement
        self.body = compress_text(settings_text(functions))
        self.calls = calls  # answers per second of each dispatcher
        self.split, self.bad, self.sizes, self.by_server = False, set(), {}, {}
        self.published, self.decided = {}, {}  # record id -> when; version -> when
        self.dispatchers = [Dispatcher(self, number) for number in range(dispatchers)]
        for one in self.dispatchers:
            self.cluster.schedule(int(self.chance() * SECOND), self._ask, one)
            self.cluster.schedule(int(self.chance() * SECOND), self._look, one)
        for name in self.cluster.names:
            self.cluster.schedule(int(self.chance() * SECOND), self._catch_up, name)

    # Periodic events
    def _reaches(self, one, server):
        return self.cluster.servers[server].up and (
            not self.split or (one.region == 0) == (server in FIRST_REGION)
        )

    def _ask(self, one):
        now = self.cluster.now
        for server in one.watch.servers_to_poll(now):
            self.cluster.schedule(int(self.chance() * DELAY), self._asked, one, server, one.watch.position)
        self.cluster.schedule(max(1, one.watch.next_round_at - now), self._ask, one)

    def _asked(self, one, server, known):
        if not self._reaches(one, server):
            self.cluster.schedule(SECOND, one.watch.on_failure, server, self.cluster.now + SECOND)
            return
        extract = self.cluster.servers[server].replica.extract(known, compact=True)
        size = self._size(extract)
        one.messages, one.bytes = one.messages + 2, one.bytes + size
        second = (server, self.cluster.now // SECOND)
        self.by_server[second] = self.by_server.get(second, 0) + size
        self.cluster.schedule(int(self.chance() * DELAY), self._answered, one, server, extract)

    def _size(self, extract):
        key = (extract.since, extract.chosen, len(extract.entries))
        if key not in self.sizes:
            request = rpc.request(1 << 16, "read", [extract.since])
            self.sizes[key] = len(request) + len(
                rpc.response(1 << 16, None, messages.encode_extract(extract))
            )
        return self.sizes[key]

    def _answered(self, one, server, extract):
        wall = self.cluster.now
        for news in one.watch.on_answer(server, extract, self.cluster.now, wall):
            if isinstance(news, Revocation):
                if news.number in one.announced:
                    one.announced[news.number] = one.announced[news.number]._replace(revoked=True)
            else:
                one.announced[news.number] = Announcement(news.number, news.rollout_start, False)

    def _look(self, one):
        """Count answers, then decide on the announced versions, each second as `dispatch.serve` does."""
        share = BAD if one.rollout.version in self.bad else USUAL
        good = sum(self.drawn.random() < share for _ in range(self.calls))
        for completed in (True,) * good + (False,) * (self.calls - good):
            one.rollout.record_answer(completed)
        known = one.announced if self.shared is None else self.shared
        verdict = one.rollout.decide(self.cluster.now, list(known.values()))
        if verdict is not None:
            self.cluster.schedule(APPLY, self._in_force, one, verdict[1])
            if one.rollout.faulty_version is not None:
                self._call_off(one, one.rollout.faulty_version)
        self.cluster.schedule(SECOND, self._look, one)

    def _in_force(self, one, number):
        one.force.setdefault(number, self.cluster.now)

    def _call_off(self, one, number):
        if self.shared is not None:
            self.shared[number] = self.shared[number]._replace(revoked=True)
            return
        up = [server for server in one.watch.servers if self._reaches(one, server)]
        if up and not self.cluster.servers[up[0]].replica.is_revoked(number):
            record = Record(
                f"off-{number}-{one.name}", RecordKind.REVOCATION, number, self.cluster.now, one.name.encode()
            )
            self.cluster.propose(up[0], record)

    def _catch_up(self, name):
        self.cluster.catch_up(name, self.cluster.random.choice(self.cluster.names))
        self.cluster.schedule(SECOND, self._catch_up, name)

    # Actions of a scenario
    def publish(self, server="c1", bad=False):
        """Publish a version; return its number once it is decided, None if there is no quorum."""
        now = self.cluster.now
        if self.shared is not None:
            number = len(self.shared) + 1
            self.shared[number] = Announcement(number, now, False)
        else:
            record = Record(f"v{now}", RecordKind.VERSION, 0, now, self.body)
            self.cluster.propose(server, record)
            while record.id not in self.cluster.reported and self.cluster.now < now + 5 * SECOND:
                self.cluster.run(SECOND // 100)
            number = self.cluster.reported.get(record.id)
        if number is not None:
            self.published[number], self.decided[number] = now, self.cluster.now
            if bad:
                self.bad.add(number)
        return number

    def run(self, seconds):
        """Advance virtual time."""
        self.cluster.run(int(seconds * SECOND))

    def in_force(self, number, among=None):
        """Return the seconds from publishing until the last dispatcher has applied the version."""
        times = [one.force.get(number, math.inf) for one in among or self.dispatchers]
        return (max(times) - self.published[number]) / SECOND

    def running(self, number):
        """Return the share of dispatchers that run a version now."""
        return sum(one.rollout.version == number for one in self.dispatchers) / len(self.dispatchers)

    def forget_counts(self):
        """Reset the counters of messages and bytes."""
        self.by_server.clear()
        for one in self.dispatchers:
            one.messages = one.bytes = 0

    def set_split(self, split):
        """Partition the regions, or end the partition."""
        self.split = split
        self.cluster.partition = dict.fromkeys(FIRST_REGION, 1) if split else {}
