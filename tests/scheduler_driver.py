"""A test driver for one scheduler: it records each decision and compares the trace with the stored one."""

import unittest

from kept import compare

from petrelwood import ports
from petrelwood.decide.scheduling.scheduler import Scheduler

MS = 1_000_000


def terms(
    effect=ports.Effect.REPEATABLE,
    loads_on_send=True,
    load_order_rate=(0, 0, 0),
    dispatchers=2,
    health_checks=False,
    may_order_loads=True,
    max_sends=3,
    target_latency=1000,
    stretch=0,
    list_request_interval=0,
    min_idle_time=8000,
    warm_up_time=8000,
    slow_start_window=1000,
    check_cost=0.0,
    quotas=(),
    utility_over_quota=0.0,
):
    return ports.Terms(
        zone="north",
        dispatchers=dispatchers,
        types={
            "plain": ports.NamespaceType(
                target_latency * MS, effect, "zone", 1500 * MS, stretch, 3 * target_latency * MS
            )
        },
        quotas=dict(quotas),
        guarantees=ports.Guarantees(
            list_request_interval * MS, warm_up_time * MS, 0.25, 2.0, slow_start_window * MS
        ),
        orders=ports.LoadOrders(may_order_loads, loads_on_send, min_idle_time * MS, *load_order_rate),
        allowed=ports.Allowed(max_sends, True, True, health_checks, True, 500 * MS),
        must_request_list=bool(list_request_interval),
        reports_by_probe=health_checks,
        tick=2 * MS,
        health_check_cost=check_cost,
        over_quota_utility=utility_over_quota,
    )


def worker(name, zone="north", booted=0, usable=True):
    return ports.EndpointEntry(name, zone, 0, booted * MS, usable)


class SchedulerDriver:
    def __init__(self, trace, workers=("a", "b", "c"), **changes):
        self.now, self.lines, self.timers, self.checked_workers, self.timer_fires, self.trace = (
            0,
            [],
            [],
            [],
            [],
            trace,
        )
        self.scheduler = Scheduler(0, terms(**changes), 7, self)
        self.scheduler.endpoints_changed(
            0, [w if isinstance(w, ports.EndpointEntry) else worker(w) for w in workers], True
        )

    def record(self, text):
        self.lines.append(f"{self.now // MS:6d}  {text}")

    def send(self, act, worker, limit):
        self.record(f"send {act} to {worker}")

    def reject(self, act, retry_after):
        self.record(f"reject {act}, back after {retry_after // MS}")

    def abort(self, act):
        self.record(f"abort {act}")

    def cancel(self, act, attempt):
        self.record(f"cancel {act}#{attempt}")

    def order_load(self, worker, fn, copies):
        self.record(f"order {copies} of {fn} on {worker}")

    def check_health(self, worker):
        self.checked_workers.append(worker)
        self.record(f"probe {worker}")

    def request_endpoint_list(self):
        self.record("ask for the list")

    def set_timer(self, mark, wait):
        self.timers.append((self.now + wait, mark))

    def advance_to(self, ms):
        """Advance the clock and fire the timers that are due."""
        while self.timers and min(self.timers)[0] <= ms * MS:
            self.now, mark = min(self.timers)
            self.timers.remove((self.now, mark))
            self.timer_fires.append(self.now)
            self.scheduler.timer_fired(self.now, mark)
        self.now = ms * MS

    def arrive(self, *acts, fn=1, slots=1, timeout=3000, customer="", work=0, loading_time=300):
        for act in acts:
            due = self.now + timeout * MS
            arrival = ports.Arrival(act, fn, "plain", customer, due, slots, work * MS, loading_time * MS)
            self.scheduler.activation_arrived(self.now, arrival)

    def answer(self, act, worker, reason=ports.EndReason.COMPLETED, attempt=0, duration=100, note=1):
        self.record(f"       {act}#{attempt} on {worker}: {reason}")
        is_final = reason == ports.EndReason.COMPLETED
        end = ports.AttemptEnd(
            act, attempt, worker, reason, note if is_final else 0, is_final, duration * MS, None
        )
        self.scheduler.attempt_ended(self.now, end)

    def check_trace(self, test: unittest.TestCase):
        """Fail with the difference unless the recorded trace equals the stored one."""
        compare(test, self.trace, self.lines)
