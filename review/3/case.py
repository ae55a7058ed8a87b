"""A worker that has vanished and returns cold gets, at once, all that was queued for it while it was warm."""

import asyncio
import math
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

CLASS = "ausstellen"
RUNNERS = 4
WORK = 0.05  # s, of every request
CAPACITY = 80.0  # requests of mean work a second of a warm worker: four cores
RATE = 280.0  # requests a second of all clients, 88% of what the workers can do
FUNCTIONS = 160
LOAD = 0.8  # s
GONE_FOR = 2.1  # s; the pages: a zone, or three in ten runners, lost for 5 s
STARTED_AFTER = 1.7  # s; its new process starts then, and the directory can tell so
WARM_UP = 14.0
COLD, START, MULTIPLE, FALL = 17.0, 0.18, 2.5, 1.5
SETTINGS = {
    "zone": "north",
    "azs": ["north"],
    "balancers": 1,
    "tier": 0,
    "myNumber": 0,
    "tick": 2000,
    "membershipMode": "push",
    "family": "warm",
    "worthBy": "work",
    "weights": "nominal",
    "overShareWorth": 0.1,
    "classes": [
        {"name": CLASS, "slo": 2000000, "deadline": 6000000, "effect": "repeatable", "keyScope": "all"},
    ],
    "tenants": [{"name": "acme", "quotaRps": 400.0, "share": 1.0}],
    "familyInfo": {
        "mayOrder": True,
        "onMiss": "miss",
        "keep": 16000000,
        "freeLoads": 4.0,
        "loadPart": 0.2,
        "loadPeriod": 10000000,
        "orderLimit": 10000000,
        "saysWarm": True,
    },
    "guarantees": {
        "askWithin": 10000000,
        "graceToAnswer": 16000,
        "cold": int(COLD * 1e6),
        "startCapacity": START,
        "fallMultiple": MULTIPLE,
        "fall": int(FALL * 1e6),
        "drainGrace": 2000000,
    },
    "permissions": {
        "maxAttempts": 3,
        "secondCopies": True,
        "cancelling": True,
        "probes": True,
        "retryAfter": True,
        "maxRetryAfter": 500000,
        "connectTimeout": 2500000,
        "connIdle": 5000000,
        "multiplex": 32,
        "peers": False,
    },
    "fees": {"probe": 0.0074},
    "loadInfo": {"how": "pull", "fields": ["depth", "concurrent", "x1"]},
}


class Machine(standins.Runner):
    """A worker that can vanish with its machine and return as a new, cold process."""

    def __init__(self, *arguments, **more):
        super().__init__(*arguments, **more)
        self.silent = False
        self.starts_at = None
        self.arrivals = []  # times of FN since its last start

    async def _line(self, said, writer):
        if self.silent:
            return
        if said["type"] == "FN":
            self.arrivals.append(self.record.now())
        await super()._line(said, writer)

    def vanish(self):
        self.silent = True
        self.cut_off()
        self.record.note("platform", "vanished", worker=self.name)

    def start_cold(self):
        self.copies.clear()
        self.arrivals.clear()
        self.started_ms = int(time.time() * 1000)
        self.starts_at = self.record.now()
        self.record.note("platform", "started cold", worker=self.name)

    def join_again(self):
        for writer in list(self.writers):  # connections of the process before it
            writer.transport.abort()
        self.silent = False
        super().join_again()
        self.record.note("platform", "reachable again", worker=self.name)


async def serve(runner, request):
    await asyncio.sleep(WORK)
    if runner.silent:
        return None
    return "HIT", {"n": "warm"}, request["body"]


async def traffic(client, until, counts):
    chance = random.Random(7)
    number, tasks = 0, set()
    while time.monotonic() < until:
        number += 1
        fields = {
            "call": f"{0x6000000000000000 + number:016x}",
            "org": "acme",
            "ttl": "6000",
            "row": f"{1 + chance.randrange(FUNCTIONS):016x}",
            "work": "50",
            "facts": "memory_mb:2800;lanes:8",
        }
        task = asyncio.ensure_future(client[number % len(client)].call(CLASS, fields, within=8))
        task.add_done_callback(lambda done: counts.append(done.result()[0]))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(chance.expovariate(RATE))
    await asyncio.gather(*tasks)


async def case(record, trouble):
    runners = [Machine(f"s-{each}", record, serve, load=LOAD) for each in range(RUNNERS)]
    roster = standins.Roster(runners, record)
    await roster.open()
    for runner in runners:
        runner.open()
    dispatcher = standins.Dispatcher(roster, runners, SETTINGS, sockets=1024, memory_mb=128)
    clients, counts = [], []
    try:
        await dispatcher.start(record)
        for each in range(16):
            clients.append(await standins.Client(dispatcher.address, record, f"client-{each}").open())
        flow = asyncio.ensure_future(traffic(clients, time.monotonic() + WARM_UP + 8, counts))
        await asyncio.sleep(WARM_UP)
        lost = max(runners, key=lambda each: len(each.copies))
        if trouble:
            lost.vanish()
            await asyncio.sleep(STARTED_AFTER)
            lost.start_cold()
            roster.happened("started", worker=lost.name)
            await asyncio.sleep(GONE_FOR - STARTED_AFTER)
            lost.join_again()
        await flow
        record.note("clients", "answers", **{each: counts.count(each) for each in set(counts)})
        if dispatcher.has_ended():
            raise standins.CannotRun("the dispatcher has ended")
        return judge(record, roster, lost) if trouble else []
    finally:
        for client in clients:
            client.close()
        await dispatcher.close()
        roster.close()
        for runner in runners:
            runner.close()


def bound(at):
    """Return how many requests a worker bears in `FALL` s that end `at` s after its start."""
    most = MULTIPLE * CAPACITY * min(1.0, START + (1 - START) * at / COLD) * FALL
    return most + (2 * math.sqrt(most) + 2 if most >= 30 else 3 * math.sqrt(most) + 3)


def judge(record, roster, worker):
    told = roster.told.get(roster.serial)
    most = max((sum(at - FALL < each <= at for each in worker.arrivals) for at in worker.arrivals), default=0)
    record.note("judge", "requests to the worker since its start", most_in_a_window=most, told=told)
    for number, at in enumerate(worker.arrivals):
        window = [each for each in worker.arrivals[: number + 1] if at - FALL < each <= at]
        if len(window) > bound(at - worker.starts_at):
            after = sum(each > told for each in window) if told is not None else 0
            if 3 * after > 2 * len(window):
                return [
                    f"failback: {worker.name} got {len(window)} requests of mean work in {FALL:g} s,"
                    f" {at - worker.starts_at:.3f} s after its start; it bears"
                    f" {bound(at - worker.starts_at):.1f}; {after} of them came after the dispatcher was told"
                ]
            return []
    return []


if __name__ == "__main__":
    sys.exit(standins.play(pathlib.Path(__file__).resolve().parent, case))
