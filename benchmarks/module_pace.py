"""Measures the CPU cost of the scheduling module alone at a dispatcher's call rate, and its rejections.

    .venv/bin/python benchmarks/module_pace.py [--workers 100] [--rate 900] [--seconds 50] [--seed 1]

One instance with simulated workers: each call takes 20 ms plus an exponential time of mean 200 ms, workers
run any number of calls at once, loading a function takes 300 ms, function popularity is Pareto of shape 1.1,
and a copy has one lane. Prints the CPU time per activation and how activations ended; with `--top` also the
rejections of the hottest functions, whose number of copies the design limits."""

import argparse
import collections
import heapq
import random
import time

from petrelwood import ports
from petrelwood.decide.scheduling.scheduler import Scheduler

MS = 1_000_000


class Fleet:
    """The scheduling module's outlet: simulates workers in virtual time."""

    def __init__(self, workers, functions, rate, seed, dispatchers=1, load_ms=300):
        self.now, self.heap, self.n, self.load = 0, [], 0, load_ms * MS
        self.times, self.arrivals = random.Random(f"{seed}/times"), random.Random(f"{seed}/arrivals")
        weights = sorted((self.arrivals.paretovariate(1.1) for _ in range(functions)), reverse=True)
        total, sums = 0.0, []
        for weight in weights:
            total += weight
            sums.append(total)
        self.sums, self.rate = sums, rate
        self.ready_at, self.sends, self.functions_by_id, self.ends, self.rejections = (
            {},
            {},
            {},
            collections.Counter(),
            collections.Counter(),
        )
        self.cpu, self.handled = 0, 0
        self.terms = ports.Terms(
            "",
            dispatchers,
            {"plain": ports.NamespaceType(1000 * MS, ports.Effect.REPEATABLE, "all", 0)},
            {},
            ports.Guarantees(0, 15_000 * MS, 0.2, 2.0, 3000 * MS),
            ports.LoadOrders(True, True, 8000 * MS, 0.0, 0.0, 0),
            ports.Allowed(4, True, True, False, True, 2000 * MS),
            False,
            False,
            2 * MS,
        )
        self.scheduler = Scheduler(0, self.terms, seed, self)
        self.scheduler.endpoints_changed(
            0,
            [ports.EndpointEntry(f"10.0.{i // 250}.{i % 250}:1", "", 0, 0, True) for i in range(workers)],
            True,
        )

    def at(self, when, *what):
        """Schedule an event."""
        self.n += 1
        heapq.heappush(self.heap, (when, self.n, what))

    def send(self, act, worker, limit):
        n = self.sends[act] = self.sends.get(act, -1) + 1
        took = 20 * MS + int(self.times.expovariate(1 / (200 * MS)))
        ready = self.ready_at.get((worker, self.functions_by_id[act]), self.now + self.load)
        cold = (worker, self.functions_by_id[act]) not in self.ready_at
        self.ready_at[worker, self.functions_by_id[act]] = ready
        took += max(0, ready - self.now)
        self.at(
            self.now + took,
            "answer",
            act,
            n,
            worker,
            took,
            ports.CopyNote.BEGAN_LOAD if cold else ports.CopyNote.FOUND_WARM,
        )

    def order_load(self, worker, fn, copies):
        self.ready_at.setdefault((worker, fn), self.now + self.load)
        self.at(max(self.now + MS, self.ready_at[worker, fn]), "load ended", worker, fn)

    def reject(self, act, retry_after):
        self.ends["rejected"] += 1
        self.rejections[self.functions_by_id.pop(act)] += 1

    def abort(self, act):
        self.ends["aborted"] += 1
        self.functions_by_id.pop(act)

    def cancel(self, act, n):
        pass

    def set_timer(self, mark, wait):
        self.at(self.now + wait, "timer", mark)

    def timed_call(self, call, *args):
        """Call the module and add the CPU time it took."""
        begun = time.process_time_ns()
        call(self.now, *args)
        self.cpu += time.process_time_ns() - begun

    def run(self, seconds):
        """Play arrivals for so many seconds of virtual time; return the number of activations."""
        due, number, scheduler, late = 0, 0, self.scheduler, 0
        while due < seconds * 1000 * MS or self.functions_by_id:
            if due < seconds * 1000 * MS and (not self.heap or due <= self.heap[0][0]):
                self.now, number = due, number + 1
                fn, pick = 0, self.arrivals.random() * self.sums[-1]
                low, high = 0, len(self.sums) - 1
                while low < high:
                    fn = (low + high) // 2
                    low, high = (fn + 1, high) if self.sums[fn] < pick else (low, fn)
                self.functions_by_id[f"a{number}"] = low
                arrival = ports.Arrival(f"a{number}", low, "plain", "", due + 2500 * MS, 1, 0, 0)
                self.timed_call(scheduler.activation_arrived, arrival)
                due += int(self.arrivals.expovariate(self.rate) * 1e9)
                continue
            self.now, _, (what, *args) = heapq.heappop(self.heap)
            if what == "timer":
                self.timed_call(scheduler.timer_fired, *args)
            elif what == "load ended":
                self.timed_call(scheduler.load_order_ended, *args, ports.EndReason.COMPLETED, 1)
            else:
                act, n, worker, took, note = args
                if self.functions_by_id.pop(act, None) is not None:
                    self.ends["completed"] += 1
                    late += took > 1000 * MS
                end = ports.AttemptEnd(act, n, worker, ports.EndReason.COMPLETED, note, True, took, None)
                self.timed_call(scheduler.attempt_ended, end)
        return number


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    for name, value in (
        ("workers", 100),
        ("rate", 900),
        ("seconds", 50),
        ("functions", 2000),
        ("seed", 1),
        ("dispatchers", 1),
    ):
        parser.add_argument(f"--{name}", type=int, default=value)
    parser.add_argument("--top", action="store_true")
    o = parser.parse_args()
    fleet = Fleet(o.workers, o.functions, o.rate, o.seed, o.dispatchers)
    number = fleet.run(o.seconds)
    print(
        f"{o.workers} workers, {o.rate} a second, {number} activations: "
        f"{fleet.cpu / number / 1000:.0f} us of CPU each; "
        + ", ".join(f"{k} {v / number:.1%}" for k, v in sorted(fleet.ends.items()))
    )
    if o.top:
        print(
            "rejections of the hottest functions:",
            fleet.rejections.most_common(5),
            "of all",
            sum(fleet.rejections.values()),
        )


if __name__ == "__main__":
    main()
