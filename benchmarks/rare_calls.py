"""Measures the share of calls of rarely called functions that reach a warm copy, with many dispatchers that
don't know of each other, and the sends, load orders and probes per call. Rows of `benchmarks/capacity.py`.

Runs the real scheduling module in virtual time, one instance for each dispatcher. Workers are simulated: they
have no capacity limit and load missing functions by themselves. Some functions are called often by all
dispatchers, the others about once in the time that an idle copy is kept, so that a dispatcher by itself never
knows which worker has a copy of them.
"""

import collections
import heapq
import random
import statistics
import sys
from typing import NamedTuple

from benchmarks.scale import size
from petrelwood import ports
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.links import rpc

SECOND = 1_000_000_000
CALLS = size.CALLS_A_SECOND_A_DISPATCHER
# Calls of rare functions per second and dispatcher, if all functions were called as often as rare ones may.
RARE_RATE = round(size.FUNCTIONS / size.RARE_CALL_EVERY / size.DISPATCHERS, 2)
HOT = 200  # functions that all dispatchers call often
KEEP = 10 * SECOND  # ns for which an idle copy is kept; only its ratio to the time between calls matters
# ns: load time of a copy; mean duration of a call, which is exponential
LOAD, SERVICE = SECOND // 4, SECOND // 33
WARM_UP, PLAYED = 10 * SECOND, 12 * SECOND  # ns of virtual time; few dispatchers are played for longer
RARE_EVERY = (KEEP,)  # ns between two calls of a rare function over all dispatchers
COLD_SIZES = (
    (10, 25),
    (10, 100),
    (10, 250),
    (10, 1_000),
    (10, 4_000),
    (50, 250),
    (100, 250),
    (50, 1_000),
)  # dispatchers, workers


class Outlet:
    """The outlet of one dispatcher's scheduling module, which passes its actions to a `Fleet`."""

    def __init__(self, fleet, number):
        self.fleet, self.sends = fleet, {}
        self.scheduler = Scheduler(0, fleet.terms(f"zone-{number % size.ZONES}"), number, self)

    def send(self, act, worker, limit):
        n = self.sends[act] = self.sends.get(act, -1) + 1
        self.fleet.counts["sends"] += 1
        self.fleet.run_send(self, act, n, worker)

    def order_load(self, worker, fn, copies):
        self.fleet.counts["orders"] += 1
        ready = self.fleet.load(worker, fn)
        self.fleet.at(ready, self.scheduler.load_order_ended, worker, fn, ports.EndReason.COMPLETED, 1)

    def set_timer(self, mark, wait):
        self.fleet.at(self.fleet.now + wait, self._timer_fired, mark)

    def _timer_fired(self, now, mark):
        self.scheduler.timer_fired(now, mark)

    def reject(self, act, retry_after):
        self.fleet.ended(self, act, False)

    def abort(self, act):
        self.fleet.ended(self, act, False)

    def cancel(self, act, n):
        pass

    def check_health(self, worker):
        self.fleet.counts["probes"] += 1
        self.fleet.at(
            self.fleet.now + 1_000_000,
            self.scheduler.health_check_ended,
            worker,
            ports.EndReason.COMPLETED,
            {"running": 1},
        )

    def request_endpoint_list(self):
        pass


class RareCall(NamedTuple):
    """The outcome of one call of a rarely called function."""

    stood: bool  # a warm copy existed on some worker when the call arrived
    found: bool  # and the call was sent to one
    completed: bool
    beyond: float  # s that it took in addition to load and service time; 0 if it was not completed


class Fleet:
    """Simulated workers without capacity limit, and the scheduling modules of `dispatchers` dispatchers.

    Workers load missing functions by themselves and unload an idle copy after `KEEP`, the earliest time that
    the terms allow."""

    def __init__(self, dispatchers, workers, rare_every, seed, probes=False):
        self.now, self.heap, self.count, self.probes = 0, [], 0, probes
        self.counts = collections.Counter()
        self.chance, self.dispatchers, self.rare_every = random.Random(seed), dispatchers, rare_every
        self.copies, self.calls, self.rare = {}, {}, []
        names = [
            ports.EndpointEntry(f"w-{n:05d}", f"zone-{n % size.ZONES}", 0, 0, True) for n in range(workers)
        ]
        self.outlets = [Outlet(self, number) for number in range(dispatchers)]
        for outlet in self.outlets:
            outlet.scheduler.endpoints_changed(0, names, True)

    def terms(self, zone):
        """Return the terms of a dispatcher in a zone."""
        return ports.Terms(
            zone,
            self.dispatchers,
            {"call": ports.NamespaceType(SECOND, ports.Effect.REPEATABLE, "all", 0)},
            {},
            ports.Guarantees(0, 15 * SECOND, 0.2, 2.0, 3 * SECOND),
            ports.LoadOrders(True, True, KEEP, 0.0, 0.0, 0),
            ports.Allowed(3, True, True, self.probes, True, 2 * SECOND),
            False,
            self.probes,
            2_000_000,
        )

    def at(self, when, call, *args):
        """Schedule a call at a virtual time in ns."""
        self.count += 1
        heapq.heappush(self.heap, (when, self.count, call, args))

    def copy_ready_at(self, worker, fn):
        """Return when a worker's copy of a function is or will be loaded, None if it has none."""
        ready, used = self.copies.get(fn, {}).get(worker, (0, -1))
        return ready if used >= 0 and self.now - used <= KEEP else None

    def load(self, worker, fn):
        """Begin to load a function unless it is loaded or being loaded; return when its copy is ready."""
        ready = self.copy_ready_at(worker, fn)
        ready = self.now + LOAD if ready is None else ready
        self.copies.setdefault(fn, {})[worker] = (ready, max(ready, self.now))
        return max(ready, self.now)

    def run_send(self, outlet, act, n, worker):
        """Simulate a send to a worker."""
        call = self.calls[outlet, act]
        warm = (ready_at := self.copy_ready_at(worker, call.fn)) is not None and ready_at <= self.now
        ready, service = self.load(worker, call.fn), int(self.chance.expovariate(1 / SERVICE))
        call.found = warm if call.found is None else call.found
        call.least = ready - self.now + service
        end = ready + service
        self.copies[call.fn][worker] = (ready, end)
        note = ports.CopyNote.FOUND_WARM if warm else ports.CopyNote.BEGAN_LOAD
        self.at(end, self.answered, outlet, act, n, worker, note, ready + service - self.now)

    def answered(self, now, outlet, act, n, worker, note, took):
        """Report a worker's answer to its dispatcher's module."""
        over = self.ended(outlet, act, True)
        end = ports.AttemptEnd(act, n, worker, ports.EndReason.COMPLETED, note, over, took, None)
        outlet.scheduler.attempt_ended(now, end)

    def ended(self, outlet, act, completed):
        """Record the end of a call; return whether it was still open."""
        call = self.calls.pop((outlet, act), None)
        outlet.sends.pop(act, None)
        if call is not None and call.stood is not None:
            beyond = (self.now - call.born - call.least) / SECOND if completed else 0.0
            self.rare.append(RareCall(call.stood, bool(call.found) and call.stood, completed, beyond))
        return call is not None

    def call(self, fn, rare):
        """Let a call arrive at a random dispatcher."""
        self.counts["calls"] += 1
        outlet = self.outlets[int(self.chance.random() * self.dispatchers)]
        act = f"a{self.counts['calls']}"
        stood = None
        if rare and self.now > WARM_UP:
            stood = any(
                ready <= self.now and self.now - used <= KEEP
                for ready, used in self.copies.get(fn, {}).values()
            )
        self.calls[outlet, act] = Called(fn, self.now, stood)
        arrival = ports.Arrival(act, fn, "call", "", self.now + 5 * SECOND, 4, 0, 0)
        outlet.scheduler.activation_arrived(self.now, arrival)

    def play(self):
        """Run the simulation; return the `RareCall`s after the warm-up."""
        rares = [f"r{n}" for n in range(int(RARE_RATE * self.dispatchers * self.rare_every / SECOND))]
        weights = [self.chance.paretovariate(1.1) for _ in range(HOT)]
        rates = (CALLS - RARE_RATE) * self.dispatchers, RARE_RATE * self.dispatchers
        hots = iter(())
        due = [self.chance.expovariate(rate) * SECOND for rate in rates]
        until = WARM_UP + max(PLAYED, 400 * SECOND // self.dispatchers)
        while self.now < until:
            kind = due.index(min(due))
            if not self.heap or due[kind] <= self.heap[0][0]:
                self.now = int(due[kind])
                due[kind] += self.chance.expovariate(rates[kind]) * SECOND
                if kind:
                    self.call(self.chance.choice(rares), True)
                    continue
                fn = next(hots, None)
                if fn is None:
                    hots = iter(self.chance.choices(range(HOT), weights, k=1_000))
                    fn = next(hots)
                self.call(f"h{fn}", False)
                continue
            self.now, _, call, args = heapq.heappop(self.heap)
            call(self.now, *args)
        return self.rare


class Called:
    """An open call. `stood`: whether a warm copy existed when it arrived; None if the call is not counted."""

    def __init__(self, fn, born, stood):
        self.fn, self.born, self.stood, self.found, self.least = fn, born, stood, None, 0


def cold_starts(runs):
    """Measure the share of rare calls that reach a warm copy, and the time beyond load and service."""
    lines = [
        "| dispatchers | workers | rare function called every | calls | a copy stands | found, of those "
        "| meet one | beyond load and service, p50 / p99 | not completed |",
    ]
    for every in RARE_EVERY:
        for dispatchers, workers in COLD_SIZES:
            plays = [Fleet(dispatchers, workers, every, seed).play() for seed in range(runs)]
            lines.append(cold_line(dispatchers, workers, every, plays))
            print(lines[-1], file=sys.stderr, flush=True)
    return lines


def orders(runs):
    """Measure sends, load orders and probes per call, and the bytes of each message."""
    frames = {
        "sends": rpc.request(1, "run", ["a" * 24, 0, "owner-12-01234", "c/m", 1, 4, b"x" * 256]),
        "orders": rpc.request(1, "hold", ["owner-12-01234", 4, 1]),
        "probes": rpc.request(1, "probe", []),
    }
    lines = []
    for probes, (dispatchers, workers) in (
        (False, (10, 25)),
        (False, (10, 250)),
        (True, (10, 25)),
        (True, (10, 250)),
    ):
        fleets = [Fleet(dispatchers, workers, KEEP, seed, probes) for seed in range(runs)]
        for fleet in fleets:
            fleet.play()
        ratios = "; ".join(
            f"{name} " + " / ".join(f"{fleet.counts[name] / fleet.counts['calls']:.3f}" for fleet in fleets)
            for name in frames
        )
        lines.append(
            f"| {dispatchers} dispatchers, {workers} workers, reports by "
            f"{'probe' if probes else 'answers'}: a call | {ratios} |"
        )
    lines.append(
        "| Bytes of a message without TCP's | " + "; ".join(f"{n} {len(f)}" for n, f in frames.items()) + " |"
    )
    return lines


def part(calls, name, of=None):
    """Return the share of calls whose attribute `name` is true, of those whose attribute `of` is true."""
    counted = [call for call in calls if of is None or getattr(call, of)]
    return sum(getattr(call, name) for call in counted) / max(1, len(counted))


def over_runs(plays, name, of=None):
    """Return the median and range of `part` over the runs as text."""
    seen = [part(calls, name, of) for calls in plays]
    return f"{statistics.median(seen):.2f} ({min(seen):.2f} to {max(seen):.2f})"


def cold_line(dispatchers, workers, every, plays):
    """Return the table row of one size."""
    all_calls = [call for calls in plays for call in calls]
    beyond = sorted(call.beyond for call in all_calls if call.completed)
    p50, p99 = (1e3 * beyond[min(len(beyond) - 1, int(len(beyond) * q))] for q in (0.5, 0.99))
    return (
        f"| {dispatchers} | {workers:,} | {every / KEEP:g} x the time that idle copies stay "
        f"| {len(all_calls):,} "
        f"| {over_runs(plays, 'stood')} | {over_runs(plays, 'found', 'stood')} | {over_runs(plays, 'found')} "
        f"| {p50:.0f} / {p99:.0f} ms | {1 - part(all_calls, 'completed'):.1%} |"
    )
