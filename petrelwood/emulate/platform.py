"""The whole platform in virtual time: workers, store, roster, zones, dispatchers, clients and faults.

It drives the production code: `dispatch.core.Core` with the decision module and all of `decide`. A run is
deterministic for a given seed. Events are recorded in the format of the stand-ins, so that the same audit
judges both."""

import collections
from random import Random

from petrelwood.clocks import VirtualClock
from petrelwood.decide.cluster import membership
from petrelwood.decide.delivery import recovery
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.decide.wall_clock import UnsteppedWallClock
from petrelwood.dispatch.core import Core
from petrelwood.emulate import policies, script
from petrelwood.emulate.disk import Disk
from petrelwood.emulate.link import Link, Node
from petrelwood.emulate.machine import Machine
from petrelwood.emulate.store import Store
from petrelwood.emulate.streams import Stream
from petrelwood.emulate.traffic import Clients
from petrelwood.settings import gateway as settings
from petrelwood.store.early_load_log import EarlyLoadEnd, EarlyLoadLog

SECOND, MILLISECOND = 1_000_000_000, 1_000_000
KEY = "whsec_" + "A" * 43 + "="
FRONT_DETECTION_DELAY = 1_500 * MILLISECOND  # how long a front layer still sends to a dead dispatcher


class CountingLog:
    """A logger that writes nothing and counts its events by text."""

    def __init__(self):
        self.counts = collections.Counter()

    def _count(self, event, **fields):
        self.counts[event] += 1

    debug = info = warning = error = _count


class IncarnationClock:
    """The clock of one incarnation of a dispatcher: its timers do not fire once the dispatcher was killed.

    `step`: how far its wall clock was stepped, in ns.
    """

    def __init__(self, clock, step=0):
        self.clock, self.alive, self.now, self.step = clock, True, clock.now, step
        self.unstepped = UnsteppedWallClock()
        self.steady_wall()

    def wall(self):
        return self.clock.wall() + self.step

    def steady_wall(self):
        return self.unstepped.read(self.now(), self.wall())

    def at(self, when, call, *args):
        return self.clock.at(when, self._run, call, args)

    def _run(self, call, args):
        if self.alive:
            call(*args)


class Platform:
    """One day in the emulator.

    `policy` makes the decision module (`Scheduler`, or a baseline of `emulate.policies`); `keep`: whether all
    records are kept. `across` and `within`: mean network delay one way between zones and inside one, in ns.
    `future`: a `PerfectForecast` in place of the forecasts, or None.
    """

    def __init__(self, day, seed, policy=Scheduler, keep=True, across=600_000, within=200_000, future=None):
        self.day, self.seed, self.clock, self.policy, self.keep = day, seed, VirtualClock(), policy, keep
        self.records, self.events, self.across, self.within, self.client_delay = (
            [],
            0,
            across,
            within,
            400_000,
        )
        self.gateway = settings.read(
            "day",
            script.gateway_text(
                day, "d", 1, "127.0.0.1:1", "127.0.0.1:1", {c.name: [KEY] for c in day.clients}, seed
            ),
        )
        self.gateway_early, self.future, self.ends = self.gateway.early, future, None
        if not day.early or policies.is_baseline(policy):  # no baseline issues early loads
            self.gateway = self.gateway._replace(early=None)
        self.gateway = self.gateway._replace(damps=day.damps and self.gateway.damps)
        self.types, self.timeouts = self.gateway.terms.types, self.gateway.timeouts
        self.repeatable = {n: t.effect == "repeatable" for n, t in self.types.items()}
        self.cold_starts = 0  # activations that waited for a load
        self.models, self.cuts, self.log = {}, set(), CountingLog()
        self.store = Store(self.clock, **day.store)
        self.path_delays, self.loads = self.stream("ways"), self.stream("loads")
        self.nodes = {name: Node(self, name, home_zone, cell) for name, home_zone, cell in day.workers}
        initial_copies = day.initial_copies(seed)
        for name, home_zone, cell in day.workers:
            self.nodes[name].start(0)
            self.nodes[name].machine.preload(map(self.model, initial_copies[name]))
            self.saw("worker", who="operator", worker=name, zone=home_zone, cell=cell)
        self.roster_late, self.number, self.closed, self.held_updates = day.roster_late, 0, False, []
        self.entries = {name: self._entry(name, membership.EndpointState.USABLE) for name in self.nodes}
        self.disks = {}  # dispatcher -> its state records, across its incarnations
        self.cores, self.incarnations, self.zones, self.known = {}, {}, {}, {}
        # by how much each dispatcher's wall clock was stepped (ns); when the roster's streams last reopened
        self.clock_steps, self.roster_back = dict.fromkeys(day.dispatchers, 0), 0
        self.open_tries, self.by_zone, self.killed_at = collections.defaultdict(dict), {}, {}
        for number, name in enumerate(day.dispatchers):
            self.zones[name] = day.zones[number % len(day.zones)]
            self.incarnations[name] = 0
        for home_zone in day.zones:
            self.by_zone[home_zone] = [n for n in day.dispatchers if self.zones[n] == home_zone] or list(
                day.dispatchers
            )
        self.withdrawn = set()  # dispatchers to which the front layer sends nothing
        # dispatchers cut off from the roster; when a polled roster has served all queued requests
        self.stale, self.roster_free = set(), 0
        self.counts = {"asked": 0, "turned away": 0}
        for name in day.dispatchers:
            self._start(name, list(self.entries.values()))
        self.time_course = [collections.Counter() for _ in range((day.length + day.settle) // SECOND + 2)]
        self.clients = Clients(self, seed)
        for trouble in day.troubles:
            self.clock.at(trouble.at, self._trouble, trouble)
        self.clock.at(SECOND, self._sample)

    def stream(self, purpose):
        return Stream(self.seed, purpose)

    def saw(self, what, **facts):
        if self.keep:
            facts["t"], facts["at"] = what, self.clock.time
            self.records.append(facts)

    def after(self, wait, call, *args):
        return self.clock.at(self.clock.time + wait, call, *args)

    # Network
    def path_delay(self, a, b):
        return int((self.within if a == b else self.across) * (0.9 + 0.2 * self.path_delays.uniform()))

    def is_cut(self, dispatcher, zone):
        return (dispatcher, zone) in self.cuts

    # Workers
    def make_machine(self, booted):
        return Machine(
            self.clock,
            self.day.build,
            self.store.fetch,
            self.loads.uniform,
            self.clock.now() if booted else 0,
        )

    def kind(self, fn):
        return self.day.kind(fn)

    def model(self, fn):
        found = self.models.get(fn)
        if found is None:
            found = self.models[fn] = self.day.kind(fn).model(fn)
        return found

    def _entry(self, name, state):
        node = self.nodes[name]
        return membership.Endpoint(name, (name, 1), node.zone, node.cell, node.booted, state)

    def _restart_worker(self, name, down):
        self.nodes[name].stop()
        self._announce(name, membership.EndpointState.GONE)
        self.after(down, self._worker_restarted, name)

    def _worker_restarted(self, name):
        node = self.nodes[name]
        node.start(self.clock.wall())
        self.saw("up", who=name, booted=node.booted)
        self._announce(name, membership.EndpointState.USABLE)

    # Roster
    def _announce(self, name, state):
        self.after(self.roster_late, self._change_roster, self._entry(name, state))

    def _change_roster(self, entry):
        if self.closed:
            self.held_updates.append(entry)  # sent in this order once the roster is back
            return
        self.number += 1
        self.entries[entry.worker] = entry
        if entry.state == membership.EndpointState.GONE:
            del self.entries[entry.worker]
        for name in self.day.dispatchers if not self.day.ask_every else ():
            self.after(
                int(20 * MILLISECOND * self.path_delays.uniform()),
                self._send_change,
                name,
                self.incarnations[name],
                entry,
                self.number,
            )

    def _send_change(self, name, incarnation, entry, number):
        core = self.cores.get(name)
        if core is None or self.incarnations[name] != incarnation or name in self.stale:
            return
        follows, now = core.membership.order_of(f"e-{number}"), self.clock.now()
        if follows is membership.EventOrder.OLD:
            return
        # A change is missing because changes overtook each other: request the whole list.
        if follows is membership.EventOrder.GAP:
            self._send_list(name, list(self.entries.values()))
            return
        self.saw(
            "told", who="roster", to=name, kind="change", entries=[(entry.worker, entry.state, entry.booted)]
        )
        self._apply_comments(core, now)
        listed, leaving = core.membership.apply_change(f"e-{number}", [entry], now, core.clock.wall())
        core.endpoints_changed(listed, leaving, False)

    def _apply_comments(self, core, now):
        """Apply the latest of the comments that the roster's stream carries each second."""
        last = now // SECOND * SECOND
        if last > self.roster_back + 50 * MILLISECOND:  # updates that were held back are sent first
            core.membership.on_complete(max(last, core.membership.complete_at or 0))

    def _poll_roster(self, name, incarnation):
        """Request the list for a dispatcher, where the roster is polled.

        Requests are served one after the other; one that would wait longer than 2 s fails.
        """
        if self.incarnations[name] != incarnation or name not in self.cores:
            return
        self.after(
            int(self.day.ask_every * (0.8 + 0.4 * self.path_delays.uniform())),
            self._poll_roster,
            name,
            incarnation,
        )
        now, lines = self.clock.now(), 20 + len(self.entries)
        begins = max(now, self.roster_free)
        takes = int(lines / self.day.roster_lines * 1e9) if self.day.roster_lines else 0
        self.counts["asked"] += 1
        if self.closed or name in self.stale or begins + takes - now > 2 * SECOND:
            self.counts["turned away"] += 1
            return
        self.roster_free = begins + takes
        self.clock.at(begins + takes + self.roster_late, self._refresh, name, incarnation)

    def _on_withdrawn(self, t, nodes):
        names = set(self._draw_dispatchers(t.what["part"], f"withdrawn {t.at}"))
        self._span(t, lambda: self.withdrawn.update(names), lambda: self.withdrawn.difference_update(names))

    def _on_roster_stale(self, t, nodes):
        names = self._draw_dispatchers(t.what["part"], f"stale {t.at}")
        self.stale.update(names)
        self.after(t.span, self._resume_roster, names)

    def _resume_roster(self, names):
        for name in names:
            self.stale.discard(name)
            if not self.day.ask_every:
                self._refresh(name, self.incarnations[name])

    def _send_list(self, name, entries):
        core = self.cores[name]
        self.saw(
            "told",
            who="roster",
            to=name,
            kind="list",
            entries=[(e.worker, e.state, e.booted) for e in entries],
        )
        listed, leaving = core.membership.apply_list(
            f"e-{self.number}", entries, self.clock.now(), core.clock.wall()
        )
        core.endpoints_changed(listed, leaving, True)
        self.known[name] = entries

    # Dispatchers
    def _start(self, name, entries):
        number = self.day.dispatchers.index(name) + 1
        described = self.gateway._replace(
            name=name,
            seed=self.seed * 1000 + number,
            terms=self.gateway.terms._replace(zone=self.zones[name]),
        )
        clock = IncarnationClock(self.clock, self.clock_steps[name])
        disk = self._disk(name, clock) if self.day.state else None
        self.cores[name] = self.make_core(described, clock, Random(described.seed), disk)
        if self.ends is not None:
            self._account_of(self.cores[name])
        if self.future is not None:
            self.future.install_in(self.cores[name])
        show_platform = getattr(self.cores[name].scheduler, "see", None)
        if show_platform is not None:
            show_platform(self)
        self._send_list(name, entries)
        if self.day.ask_every:
            self.after(
                int(self.day.ask_every * self.path_delays.uniform()),
                self._poll_roster,
                name,
                self.incarnations[name],
            )

    def _disk(self, name, clock):
        mark = recovery.boot_mark(self.machine_start(name), clock.wall() - clock.now())
        return Disk(self.disks.setdefault(name, []), clock.wall(), mark, self.incarnations[name])

    def machine_start(self, name):
        """Return the id of a machine's boot, which stays the same when only the dispatcher restarts."""
        return "emulated"

    def make_core(self, described, clock, chance, disk):
        """Return a dispatcher with the settings `described`, linked to this platform's workers."""

        def link(worker, address, core):
            return self.make_link(worker, core, described.workers, chance)

        return Core(described, clock, chance, link, self.log, self.policy, disk)

    def make_link(self, worker, core, terms, chance):
        """Return the link of one dispatcher to one worker."""
        return Link(self, self.nodes[worker], core, self.zones[core.name], terms, chance.random)

    def keep_account(self, folder):
        """Write how all dispatchers' early loads ended to a folder, as a running dispatcher does."""
        self.ends = EarlyLoadLog(folder)
        for core in self.cores.values():
            self._account_of(core)

    def _account_of(self, core):
        if core.forecasts is not None:
            core.forecasts.early.account.on_end = self._early_ended

    def _early_ended(self, now, load, end, seconds, memory):
        self.ends.record(
            EarlyLoadEnd(
                load.ordered_at,
                load.loaded_at,
                now,
                load.function,
                load.zone,
                load.worker,
                end,
                seconds,
                memory,
            )
        )

    def _kill(self, name, down):
        core = self.cores.pop(name, None)
        if core is None:
            return
        core.clock.alive = False
        self.incarnations[name] += 1
        self.killed_at[name] = self.clock.now()
        self.saw("killed", who="operator", name=name)
        for link in core.links.values():
            link.die()
        for client_try in list(self.open_tries.pop(name, ())):
            self.after(self.client_delay, self.clients.broken, client_try)
        self.after(down, self._restart_dispatcher, name)

    def _restart_dispatcher(self, name):
        """Start a killed dispatcher with its last list; it receives the current one a little later."""
        self.killed_at.pop(name, None)
        self._start(name, self.known[name])
        self.after(self.roster_late + 20 * MILLISECOND, self._refresh, name, self.incarnations[name])

    def _refresh(self, name, incarnation):
        if self.incarnations[name] == incarnation and name in self.cores:
            self._send_list(name, list(self.entries.values()))

    def dispatcher_for(self, zone, manners):
        """Return the dispatcher that the front layer picks for a client in a zone, or None without a route.

        The front layer spreads clients over the dispatchers of their zone, and detects a dead one late.
        """
        names = self.by_zone[zone]
        if self.withdrawn:  # the zone's own first, else any that is announced
            names = [n for n in names if n not in self.withdrawn] or [
                n for n in self.day.dispatchers if n not in self.withdrawn
            ]
            if not names:
                return None
        for _ in range(4):
            name = manners.pick(names)
            if name not in self.killed_at or self.clock.now() - self.killed_at[name] < FRONT_DETECTION_DELAY:
                return name
        return name

    def ask(self, name, incarnation, client_try):
        """Hand a client's try to its dispatcher, on arrival."""
        core = self.cores.get(name)
        if core is None or self.incarnations[name] != incarnation:
            self.clients.broken(client_try)
            return
        request = client_try.request
        self.open_tries[name][client_try] = True
        core.admit(
            self.clients.intake_request(client_try),
            request.fn,
            core.rule(request.fn),
            request.work,
            client_try,
        )

    def client_left(self, client_try):
        core = self.cores.get(client_try.to)
        self.open_tries[client_try.to].pop(client_try, None)
        if (
            core is not None
            and client_try.activation_id is not None
            and client_try.activation_id in core.pending.activations
        ):
            core.detach_client(client_try.activation_id, client_try)

    def request_ended(self, request):
        second = min(request.begun // SECOND, len(self.time_course) - 1)
        counts = self.time_course[second]
        target = self.types[request.kind.type].target_latency
        counts[
            "in time"
            if request.ended == "completed" and request.took <= target
            else "late"
            if request.ended == "completed"
            else request.ended
        ] += 1

    # Faults ("troubles")
    def _trouble(self, trouble):
        begin = getattr(self, "_on_" + trouble.kind.replace("-", "_"))
        begin(trouble, [self.nodes[n] for n in self.day.hit(trouble, self.seed)])

    def _on_upgrade(self, t, nodes):
        """Do nothing: an upgrade loses nothing and takes no virtual time."""

    def _on_router_reset(self, t, nodes):
        """Do nothing: the emulator has no router."""

    def _span(self, trouble, begin, end):
        begin()
        self.after(trouble.span, end)

    def _on_release(self, t, nodes):
        names = self.day.released(t.what["part"], self.seed)
        for node in nodes:
            if node.machine is not None:
                node.machine.release(names)

    def _on_roster_late(self, t, nodes):
        self._span(
            t,
            lambda: setattr(self, "roster_late", self.roster_late + t.what["by"]),
            lambda: setattr(self, "roster_late", self.roster_late - t.what["by"]),
        )

    def _on_roster_lost(self, t, nodes):
        self._span(t, lambda: setattr(self, "closed", True), self._roster_back)

    def _roster_back(self):
        self.closed, held_updates, self.held_updates = False, self.held_updates, []
        self.roster_back = self.clock.now()
        for entry in held_updates:
            self._change_roster(entry)

    def _on_drain(self, t, nodes):
        for node in nodes:
            self._announce(node.name, membership.EndpointState.DRAINING)
            self.after(t.span, self._announce, node.name, membership.EndpointState.USABLE)

    def _at_nodes(self, t, nodes, begin, end):
        """Begin a fault at each node and end it after its span, unless the node restarted meanwhile."""
        for node in nodes:
            if node.machine is None:
                continue
            begin(node)
            self.after(
                t.span,
                lambda node=node, incarnation=node.incarnation: (
                    node.incarnation == incarnation and node.machine and end(node)
                ),
            )

    def _on_hang(self, t, nodes):
        def hang(node, on):
            node.muted = on
            node.machine.hang(on)

        self._at_nodes(t, nodes, lambda n: hang(n, True), lambda n: hang(n, False))

    def _on_slow(self, t, nodes):
        self._at_nodes(t, nodes, lambda n: n.machine.slow(t.what["times"]), lambda n: n.machine.slow(1.0))

    def _on_pause(self, t, nodes):
        self._at_nodes(t, nodes, lambda n: n.machine.pause(t.span), lambda n: None)

    def _on_pauses(self, t, nodes):
        for node in nodes:
            self._pause_step(node, t, self.clock.now() + t.span)

    def _pause_step(self, node, t, until):
        if self.clock.now() < until:
            if node.machine is not None:
                node.machine.pause(t.what["length"])
            self.after(
                int(t.what["every"] * (0.7 + 0.6 * self.path_delays.uniform())),
                self._pause_step,
                node,
                t,
                until,
            )

    def _on_reset(self, t, nodes):
        for node in nodes:
            node.break_all()

    def _on_restart(self, t, nodes):
        for node in nodes:
            self._restart_worker(node.name, t.what["down"])

    def _on_silent_accept(self, t, nodes):
        def begin(node):
            node.silent = True
            node.break_all()

        self._at_nodes(t, nodes, begin, lambda n: setattr(n, "silent", False))

    def _on_garbage(self, t, nodes):
        self._on_reset(t, nodes)  # an invalid message ends the connection

    def _on_lying(self, t, nodes):
        self._at_nodes(t, nodes, lambda n: setattr(n, "lying", True), lambda n: setattr(n, "lying", False))

    def _on_wrong_answers(self, t, nodes):
        self._at_nodes(t, nodes, lambda n: setattr(n, "wrong", True), lambda n: setattr(n, "wrong", False))

    def _on_leak(self, t, nodes):
        for node in nodes:
            self._leak_step(node, node.incarnation, t, self.clock.now() + t.span)

    def _leak_step(self, node, incarnation, t, until):
        if node.incarnation == incarnation and node.machine is not None and self.clock.now() < until:
            node.machine.used = min(node.machine.build.memory, node.machine.used + t.what["size"] // 4)
            self.after(SECOND // 4, self._leak_step, node, incarnation, t, until)

    def _on_ageing(self, t, nodes):
        for node in nodes:
            self._age_step(node, node.incarnation, t, self.clock.now())

    def _age_step(self, node, incarnation, t, begun):
        if node.incarnation != incarnation or node.machine is None:
            return
        age = (self.clock.now() - begun) / t.span
        if age >= 1:
            self._restart_worker(node.name, t.what["down"])
        else:
            node.machine.slow(1 + (t.what["times"] - 1) * age)
            self.after(t.span // 16, self._age_step, node, incarnation, t, begun)

    def _on_store_stop(self, t, nodes):
        self.store.stop(t.span)

    def _on_cut(self, t, nodes):
        pair = t.what["dispatcher"], t.what["hall"]
        self._span(t, lambda: self.cuts.add(pair), lambda: self.cuts.discard(pair))

    def _on_clock_step(self, t, nodes):
        """Step the machine's clock, so that a dispatcher that starts there later has the step too."""
        name = t.what["dispatcher"]
        self.clock_steps[name] += t.what["by"]
        if name in self.cores:
            self.cores[name].clock.step = self.clock_steps[name]

    def _on_kill(self, t, nodes):
        self._kill(t.what["dispatcher"], t.what["down"])

    def _on_stop(self, t, nodes):
        """Stop a dispatcher gracefully: it admits nothing, answers what is pending, and is restarted."""
        name = t.what["dispatcher"]
        core = self.cores.get(name)
        if core is not None:
            core.intake.closing = True
            self._kill_once_idle(name, self.incarnations[name], t.what["down"])

    def _kill_once_idle(self, name, incarnation, down):
        core = self.cores.get(name)
        if core is None or self.incarnations[name] != incarnation:
            return
        if core.pending.activations:
            self.after(10 * MILLISECOND, self._kill_once_idle, name, incarnation, down)
        else:
            self.after(2 * self.client_delay, self._kill, name, down)

    def _draw_dispatchers(self, part, purpose):
        stream = self.stream(purpose)
        names = sorted(self.day.dispatchers, key=lambda n: stream.uniform())
        return names[: max(1, round(part * len(names)))]

    def _on_crash(self, t, nodes):
        for name in self._draw_dispatchers(t.what["part"], f"crash {t.at}"):
            self._kill(name, t.what["down"])

    def _on_roll(self, t, nodes):
        names = self._draw_dispatchers(t.what["part"], f"roll {t.at}")
        for number, name in enumerate(names):
            self.after(t.span * number // len(names), self._kill, name, t.what["down"])

    def _on_hot(self, t, nodes):
        kind = self.day.kinds[self.clients.picks.below(len(self.day.kinds))]
        hot = (t.what["part"], [f"{kind.prefix}hot-{t.at}-{i}" for i in range(t.what["functions"] or 1)])
        self._span(t, lambda: self.clients.hot.append(hot), lambda: self.clients.hot.remove(hot))

    def _on_scan(self, t, nodes):
        self._span(
            t,
            lambda: setattr(self.clients, "scanning", t.what["part"]),
            lambda: setattr(self.clients, "scanning", 0.0),
        )

    def _on_heavy(self, t, nodes):
        self._span(
            t,
            lambda: setattr(self.clients, "heavy", (t.what["part"], t.what["times"])),
            lambda: setattr(self.clients, "heavy", (0.0, 1.0)),
        )

    def _on_hurry(self, t, nodes):
        self._span(
            t,
            lambda: setattr(self.clients, "hurry", (t.what["part"], t.what["patience"])),
            lambda: setattr(self.clients, "hurry", (0.0, 1.0)),
        )

    def _on_shift(self, t, nodes):
        self.clients.shifted = (t.what["part"], self.day.zones[0])

    def _on_overuse(self, t, nodes):
        name = t.what["customer"]
        self._span(
            t,
            lambda: self.clients.rate_factors.__setitem__(name, t.what["times"]),
            lambda: self.clients.rate_factors.pop(name, None),
        )

    def _on_burst(self, t, nodes):
        self._span(
            t,
            lambda: self.clients.rate_factors.__setitem__("", t.what["times"]),
            lambda: self.clients.rate_factors.pop("", None),
        )

    def _no_effect(self, t, nodes):
        """Do nothing: only front ends on sockets are affected by such a fault."""

    _on_replays = _on_forgeries = _on_slow_senders = _no_effect
    _on_broker_drop = _on_broker_lost = _on_broker_silent = _on_broker_forgets = _no_effect

    # Run
    def _sample(self):
        second = min(self.clock.now() // SECOND, len(self.time_course) - 1)
        course = self.time_course[second]
        course["loads"] = sum(n.machine.counts["loads"] for n in self.nodes.values() if n.machine)
        course["fetched"] = self.store.counts["fetched"]
        course["copies"] = sum(
            sum(map(len, n.machine.copies.values())) for n in self.nodes.values() if n.machine
        )
        course["at work"] = sum(len(n.machine.at_work) for n in self.nodes.values() if n.machine)
        self.after(SECOND, self._sample)

    def run(self):
        """Play the day to its end; return self."""
        end = self.day.length + self.day.settle
        self.events = self.clock.run(end)
        if self.ends is not None:
            self.ends.close()
        for node in self.nodes.values():
            if node.machine is not None:
                self.saw("counts", who=node.name, fallen=node.machine.fallen)
        return self

    def case(self):
        """Return the records as a case for the five rules of the audit."""
        from petrelwood.audit import rules

        return rules.Case(
            self.records,
            self.gateway.terms,
            self.gateway.workers.drain_grace,
            self.day.build,
            self.day.works(),
        )
