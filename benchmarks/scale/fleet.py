"""A hollow fleet: the emulator's platform with dispatchers whose messages, bytes and processor time are
counted.

Real parts: `dispatch.core.Core` with the scheduling module, membership and settings; the roster's reader
(`links.roster.RosterLink`), which reads the roster's own bytes; the stand-in roster's change log; the rules
of when links connect and what the end of a connection proves. Simulated (hollow) parts: sockets, TLS, HTTP
and the event loop; workers compute nothing and loads transfer no bytes (the emulator models both). A message
between a dispatcher and a worker is encoded in the real format to be counted, and passed as an object."""

from benchmarks.scale import site, size
from benchmarks.scale import traffic as flows
from petrelwood.decide.cluster.link_state import LinkCheck
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.dispatch.core import Core
from petrelwood.emulate.link import Link
from petrelwood.emulate.platform import Platform
from petrelwood.links import rpc, sse
from petrelwood.links.errors import EndpointListError
from petrelwood.links.roster import RosterLink
from petrelwood.standins.roster import COMMENT_INTERVAL, ChangeLog

SECOND = 1_000_000_000
CHECK_EVERY = SECOND // 4  # ns between two checks of links with open calls and of the roster's silence
BODY, ANSWER = b'{"a":1}', b'{"ok":1}'  # bodies of a call and of its answer, as counted on the wire
LANES = 4
REQUEST_HEAD = 140  # approximate bytes of a request for the list
RESPONSE_HEAD = 85  # bytes of the response before its first event
HEARTBEAT = len(b": alive\n\n")
HOLLOW = (
    "sockets, TLS, HTTP and the loop are hollow; workers compute nothing; everything else is the real code"
)


class HollowLink(Link):
    """The emulator's link that also counts the bytes of each message in the real format."""

    __slots__ = ("number",)

    def __init__(self, platform, node, core, zone, terms, chance):
        super().__init__(platform, node, core, zone, terms, chance)
        self.number = 0

    def _write(self, call):
        self.number += 1
        if call.kind == "run":
            mark, left, _ = call.args
            parameters = [call.activation_id, call.n, call.fn, mark, left, LANES, BODY]
            flow = flows.CALLS_TO_WORKERS
        elif call.kind == "hold":
            parameters, flow = [call.fn, LANES, call.n], flows.ORDERS_TO_WORKERS
        else:
            parameters, flow = [], flows.PROBES
        self._count(flow, rpc.request(self.number, call.kind, parameters))
        self.platform.busy_links[self] = True
        super()._write(call)

    def _answered(self, call, word, note, body, gauge, incarnation):
        if call.kind == "run":
            good = word == "ok"
            result = (
                [call.activation_id, call.n, note, ANSWER, gauge]
                if good
                else [word, call.activation_id, call.n, note, gauge]
            )
            flow = flows.CALLS_BACK
        elif call.kind == "hold":
            result, flow = [word, note], flows.ORDERS_BACK
        else:
            result, flow = gauge, flows.PROBES
        self._count(flow, rpc.response(self.number, None, result))
        super()._answered(call, word, note, body, gauge, incarnation)

    def _connected(self, attempt):
        phase_before = self.state.phase
        super()._connected(attempt)
        if phase_before != self.state.phase and self.incarnation == self.node.incarnation:
            self._count(flows.GREETINGS, rpc.notification("hello", [self.core.name]))
            self._count(flows.GREETINGS, rpc.notification("hello", [self.worker, self.node.booted]))

    def _send_cancel(self, call):
        if call.stage == "handed":
            self._count(flows.CALLS_TO_WORKERS, rpc.notification("cancel", [call.activation_id, call.n]))
        super()._send_cancel(call)

    def _count(self, flow, data):
        self.platform.traffic.count(flow, self.core.name, len(data))

    def check(self, now):
        """Check for silence as `links.worker.WorkerLink.check` does; return whether calls are still open."""
        verdict = self.state.check(now, bool(self.out))
        if verdict == LinkCheck.GIVE_UP:
            self.give_up("nothing was heard in time")
        elif verdict == LinkCheck.PING:
            self.check_health()
        return self.has_open_calls()


class HollowDispatcher(Core):
    """The real core, with the processor time of its events counted."""

    def __init__(self, fleet, *arguments):
        self.processor = fleet.processor
        super().__init__(*arguments)

    def submit(self, call, *arguments):
        what = flows.TIMERS if call.__name__ == "timer_fired" else flows.CALLS
        self.processor.measure(what, super().submit, call, *arguments)

    def _check_storms(self):
        self.processor.measure(flows.TIMERS, super()._check_storms)


class RosterStream:
    """The roster's event stream to one dispatcher, for one process lifetime of the dispatcher."""

    def __init__(self, fleet, core):
        self.fleet, self.core, self.open, self.last_arrival = fleet, core, False, 0
        self.reader = RosterLink(("roster", 0), core.membership, SECOND, core, fleet.log)

    def alive(self):
        """Return whether the dispatcher is still running (and was not replaced by a later process)."""
        return self.fleet.cores.get(self.core.name) is self.core

    def connect(self):
        """Request the list or the missed changes; try again later if the roster can't be reached."""
        if not self.alive():
            return
        fleet, name = self.fleet, self.core.name
        fleet.traffic.count(flows.LIST_ASKED, name, REQUEST_HEAD)
        if fleet.closed or name in fleet.stale:
            self._again()
            return
        self.open, self.reader.events = True, sse.EventReader()
        told = fleet.list_log.after(self.core.membership.resume_after or "")
        data = b"".join(fleet.list_log.event(*one) for one in told)
        fleet.traffic.count(flows.LIST_TO_DISPATCHERS, name, RESPONSE_HEAD + len(data), len(told))
        self.core.membership.on_contact(self.core.now())
        self.hear(data)

    def _again(self):
        until = self.core.membership.backoff.failed(self.core.now())
        self.core.clock.at(until, self.connect)

    def hear(self, data):
        """Process incoming bytes of the stream."""
        try:
            self.fleet.processor.measure(flows.NEWS, self.reader.on_body, data)
        except EndpointListError:  # changes are missing: request the whole list, as the real reader does
            self.lose()

    def push(self, data):
        """Send bytes from the roster, to arrive after the network delay and in the order they were sent."""
        self.fleet.traffic.count(flows.LIST_TO_DISPATCHERS, self.core.name, len(data))
        arrival = self.core.now() + self.fleet.delay_to_roster(self.core.name)
        self.last_arrival = max(self.last_arrival, arrival)
        self.core.clock.at(self.last_arrival, self._arrives, data)

    def _arrives(self, data):
        if self.open:
            self.core.membership.on_contact(self.core.now())
            self.hear(data)

    def lose(self):
        """Close the stream; it reconnects after a backoff."""
        if self.open:
            self.open = False
            self._again()

    def look(self, now):
        """Check whether the list is lost, as a running dispatcher does regularly."""
        if self.open:
            self.core.membership.on_contact(now)
        if self.core.membership.is_newly_lost(now):
            self.core.endpoint_list_lost()


class HollowFleet(Platform):
    """The platform of a `site.SiteSize` with counters; schedule events with `at` before `run`."""

    module = Scheduler  # the scheduling module of each dispatcher

    def __init__(self, described, seed):
        self.described, self.busy_links, self.streams = described, {}, {}
        self.processor, self.traffic = flows.ProcessorTime(), flows.Traffic(self._virtual_now)
        self.list_log = ChangeLog("e")
        super().__init__(site.day(described), seed, self.module, keep=False)
        self.clock.at(CHECK_EVERY, self._check_all)
        self.clock.at(round(COMMENT_INTERVAL * SECOND), self._heartbeat)

    def _virtual_now(self):
        return self.clock.time

    # Counted dispatchers and links
    def make_core(self, described, clock, chance, disk):
        """Return a hollow dispatcher instead of the emulator's."""

        def link(worker, address, core):
            return self.make_link(worker, core, described.workers, chance)

        return HollowDispatcher(self, described, clock, chance, link, self.log, self.policy, disk)

    def make_link(self, worker, core, terms, chance):
        """Return a counted link."""
        return HollowLink(self, self.nodes[worker], core, self.zones[core.name], terms, chance.random)

    def path_delay(self, a, b):
        """Return the delay between two zones in ns, which is longer between regions."""
        if region(a) == region(b):
            return super().path_delay(a, b)
        return int(size.ASSUMED_REGION_DELAY * 1e9 * (0.9 + 0.2 * self.path_delays.uniform()))

    # The roster
    def _send_list(self, name, entries):
        """Connect a starting dispatcher, which has no list, to the roster."""
        if not self.list_log.entries:
            for entry in entries:
                self.list_log.take(_raw(entry))
        self.known[name] = entries
        stream = self.streams[name] = RosterStream(self, self.cores[name])
        stream.connect()

    def _refresh(self, name, incarnation):
        """Do nothing: an open stream gets all changes, and a closed one reconnects by itself."""

    def _change_roster(self, entry):
        number = self.list_log.take(_raw(entry))
        if self.closed:
            return
        data = self.list_log.event("change", [_raw(entry)], number)
        for name, stream in self.streams.items():
            if stream.open and name not in self.stale:
                stream.push(data)

    def delay_to_roster(self, name):
        """Return the delay to the roster, which is in the first region."""
        return self.path_delay(self.zones[name], self.day.zones[0])

    def _heartbeat(self):
        for name, stream in self.streams.items():
            if stream.open and stream.alive() and not self.closed and name not in self.stale:
                self.traffic.count(flows.LIST_TO_DISPATCHERS, name, HEARTBEAT)
        self.after(round(COMMENT_INTERVAL * SECOND), self._heartbeat)

    def _check_all(self):
        now = self.clock.now()
        for stream in self.streams.values():
            if stream.alive():
                stream.look(now)
        for link in list(self.busy_links):
            if link.dead or not link.check(now):
                del self.busy_links[link]
        self.after(CHECK_EVERY, self._check_all)

    # Events
    def at(self, seconds, call, *arguments):
        """Schedule `call` at a virtual time in seconds."""
        self.clock.at(round(seconds * SECOND), call, *arguments)

    def lose_workers(self, names, down):
        """Kill workers, which restart without copies after `down` seconds."""
        for name in names:
            if self.nodes[name].machine is not None:
                self._restart_worker(name, round(down * SECOND))

    def lose_dispatchers(self, names, down):
        """Kill dispatchers, which restart without any state after `down` seconds."""
        for name in names:
            self._kill(name, round(down * SECOND))

    def close_roster(self, names=None):
        """Disconnect these dispatchers, or all, from the roster and make it unreachable for them."""
        if names is None:
            self.closed = True
        else:
            self.stale.update(names)
        for name in names or list(self.streams):
            self.streams[name].lose()

    def open_roster(self):
        """Make the roster reachable again; dispatchers reconnect when their backoff ends."""
        self.closed = False
        self.stale.clear()

    def part_regions(self):
        """Cut all traffic between the regions; the roster is in the first one."""
        for name, zone in self.zones.items():
            for other in self.day.zones:
                if region(zone) != region(other):
                    self.cuts.add((name, other))
        self.close_roster([name for name, zone in self.zones.items() if region(zone)])

    def join_regions(self):
        """Restore traffic between the regions."""
        self.cuts.clear()
        self.open_roster()

    # Queries
    def all_know(self):
        """Return whether each running dispatcher has the roster's current list."""
        return all(core.membership.number == self.list_log.number for core in self.cores.values())

    def dispatcher_seconds(self):
        """Return the total running time of all dispatchers in seconds, as if none were killed."""
        return len(self.day.dispatchers) * (self.day.length + self.day.settle) / SECOND


def region(zone):
    """Return the region of a zone: False (0) for the first, True (1) for the second."""
    return int(zone.rpartition("-")[2]) > size.ZONES_A_REGION


def _raw(entry):
    """Return an entry in the form of the roster's JSON, with an address of typical length."""
    return {
        "worker": entry.worker,
        "address": f"10.0.{len(entry.worker)}.{entry.worker[1:]}:7000",
        "zone": entry.zone,
        "cell": entry.cell,
        "booted": entry.booted if entry.booted else 0,
        "state": entry.state,
    }
