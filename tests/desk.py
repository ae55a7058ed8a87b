"""A desk for one instance of the module: it writes down each decision, and compares with the kept trace."""

import unittest

from kept import compare

from petrelwood import ports
from petrelwood.decide.scheduling.scheduler import Scheduler

MS = 1_000_000


def terms(
    effect=ports.Effect.REPEATABLE,
    self_loading=True,
    ration=(0, 0, 0),
    dispatchers=2,
    probes=False,
    orders=True,
    sends=3,
    target=1000,
    stretch=0,
    ask=0,
    keep=8000,
    cold=8000,
    fall=1000,
    fee=0.0,
    quotas=(),
    beyond=0.0,
):
    return ports.Terms(
        zone="north",
        dispatchers=dispatchers,
        types={
            "plain": ports.NamespaceType(target * MS, effect, "zone", 1500 * MS, stretch, 3 * target * MS)
        },
        quotas=dict(quotas),
        guarantees=ports.Guarantees(ask * MS, cold * MS, 0.25, 2.0, fall * MS),
        orders=ports.LoadOrders(orders, self_loading, keep * MS, *ration),
        allowed=ports.Allowed(sends, True, True, probes, True, 500 * MS),
        must_request_list=bool(ask),
        reports_by_probe=probes,
        tick=2 * MS,
        health_check_cost=fee,
        over_quota_utility=beyond,
    )


def worker(name, zone="north", booted=0, usable=True):
    return ports.EndpointEntry(name, zone, 0, booted * MS, usable)


class Desk:
    def __init__(self, kept, workers=("a", "b", "c"), **changes):
        self.now, self.lines, self.wakes, self.asked, self.rings, self.kept = 0, [], [], [], [], kept
        self.scheduler = Scheduler(0, terms(**changes), 7, self)
        self.scheduler.endpoints_changed(
            0, [w if isinstance(w, ports.EndpointEntry) else worker(w) for w in workers], True
        )

    def say(self, text):
        self.lines.append(f"{self.now // MS:6d}  {text}")

    def send(self, act, worker, limit):
        self.say(f"send {act} to {worker}")

    def reject(self, act, retry_after):
        self.say(f"reject {act}, back after {retry_after // MS}")

    def abort(self, act):
        self.say(f"abort {act}")

    def cancel(self, act, n):
        self.say(f"cancel {act}#{n}")

    def order_load(self, worker, fn, copies):
        self.say(f"order {copies} of {fn} on {worker}")

    def check_health(self, worker):
        self.asked.append(worker)
        self.say(f"probe {worker}")

    def request_endpoint_list(self):
        self.say("ask for the list")

    def set_timer(self, mark, wait):
        self.wakes.append((self.now + wait, mark))

    def at(self, ms):
        """Lets time pass, ringing each wake on the way."""
        while self.wakes and min(self.wakes)[0] <= ms * MS:
            self.now, mark = min(self.wakes)
            self.wakes.remove((self.now, mark))
            self.rings.append(self.now)
            self.scheduler.timer_fired(self.now, mark)
        self.now = ms * MS

    def come(self, *acts, fn=1, lanes=1, patience=3000, customer="", work=0, load=300):
        for act in acts:
            due = self.now + patience * MS
            arrival = ports.Arrival(act, fn, "plain", customer, due, lanes, work * MS, load * MS)
            self.scheduler.activation_arrived(self.now, arrival)

    def answer(self, act, worker, code=ports.EndReason.COMPLETED, n=0, took=100, note=1):
        self.say(f"       {act}#{n} on {worker}: {code}")
        is_final = code == ports.EndReason.COMPLETED
        end = ports.AttemptEnd(act, n, worker, code, note if is_final else 0, is_final, took * MS, None)
        self.scheduler.attempt_ended(self.now, end)

    def end(self, test: unittest.TestCase):
        """Fails with the difference unless the trace is the kept one."""
        compare(test, self.kept, self.lines)
