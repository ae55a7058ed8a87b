"""A retry of a deduplicated request leaves for its worker after the time for which workers know repeats."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins

SLACK = 0.05  # each time limit is 50 ms longer on sockets
WINDOW = 4.0
HEAVY = 3.7  # one heavy request: twenty times the usual work
PLAIN, KEYED = "abfrage", "ausstellen"
KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
SETTINGS = {
    "zone": "north",
    "azs": ["north", "east", "west"],
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
        {"name": PLAIN, "slo": 1000000, "deadline": 4000000, "effect": "repeatable", "keyScope": "all"},
        {
            "name": KEYED,
            "slo": 2000000,
            "deadline": 6000000,
            "effect": "by_key",
            "keyScope": "zone",
            "window": int(WINDOW * 1e6),
        },
    ],
    "tenants": [{"name": "acme", "quotaRps": 200.0, "share": 1.0}],
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
        "cold": 17000000,
        "startCapacity": 0.18,
        "fallMultiple": 2.5,
        "fall": 1500000,
        "drainGrace": 2000000,
    },
    "permissions": {
        "maxAttempts": 3,
        "secondCopies": False,
        "cancelling": True,
        "probes": True,
        "retryAfter": True,
        "maxRetryAfter": 500000,
        "connectTimeout": 1200000,
        "connIdle": 5000000,
        "multiplex": 32,
        "peers": False,
    },
    "fees": {"probe": 0.0074},
    "loadInfo": {"how": "pull", "fields": ["depth", "concurrent", "x1"]},
}


class Zone:
    """What the workers of the zone know together: the keys of the last 4 s, and every run of a key."""

    def __init__(self, record):
        self.record = record
        self.first = None  # (time, worker) of the first attempt for KEY
        self.arrivals = []  # (time, worker) of each attempt for KEY
        self.effects = []  # (time, worker) of each run for KEY

    async def serve(self, runner, request):
        if request["op"] != KEY:
            await asyncio.sleep(0.15)
            return "HIT", {"n": "warm"}, request["body"]
        now = self.record.now()
        self.arrivals.append((now, runner))
        if self.effects and now - self.effects[-1][0] <= WINDOW + SLACK:
            self.record.note(runner.name, "repeat dropped", op=request["op"])
            return "HIT", {"n": "warm"}, request["body"]
        self.effects.append((now, runner))
        self.record.note(runner.name, "RUNS", op=request["op"])
        if len(self.effects) == 1:
            await asyncio.sleep(HEAVY)
            return "FAULT", {}, b""
        return "HIT", {"n": "warm"}, request["body"]


def fields(number, function, **more):
    return {
        "call": f"{0x5000000000000000 + number:016x}",
        "org": "acme",
        "row": f"{function:016x}",
        "facts": "memory_mb:2800;lanes:4",
        **more,
    }


async def function_in_zone(client, near):
    """Send usual traffic until one function has copies on both workers of the zone, and return it."""
    number = 0
    for function in range(1, 9):
        key = f"{function:016x}"
        for burst in (1, 14, 14, 2):  # it is loaded, then a backlog asks for further copies
            calls = []
            for _ in range(burst):
                number += 1
                calls.append(client.call(PLAIN, fields(number, function, ttl="4000", work="150"), within=6))
            await asyncio.gather(*calls)
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.3)  # a load that was ordered has ended
        if all(key in each.copies for each in near):
            return function
    raise standins.CannotRun("no function has copies on both workers of the zone")


async def case(record, trouble):
    zone = Zone(record)
    runners = [
        standins.Runner(f"{name}-{each}", record, zone.serve, zone=name)
        for name in ("north", "east", "west")
        for each in range(2)
    ]
    near = runners[:2]
    roster = standins.Roster(runners, record)
    await roster.open()
    for runner in runners:
        runner.open()
    dispatcher = standins.Dispatcher(roster, runners, SETTINGS)
    client = None
    try:
        await dispatcher.start(record)
        client = await standins.Client(dispatcher.address, record).open()
        function = await function_in_zone(client, near)
        asked = asyncio.ensure_future(
            client.call(KEYED, fields(9999, function, ttl="6000", work="300", dedupe=KEY), within=7)
        )
        await asyncio.sleep(0.3)
        if not zone.arrivals:
            raise standins.CannotRun("the first attempt did not come")
        first = zone.arrivals[0][1]
        if first not in near:
            raise standins.CannotRun("the first attempt left the zone")
        other = near[1 - near.index(first)]
        await asyncio.sleep(HEAVY - 0.5)
        if trouble:
            other.cut_off()
            record.note("platform", "cut off", worker=other.name)
        await asyncio.sleep(0.5)
        if trouble:
            other.join_again()
            record.note("platform", "joined again", worker=other.name)
        await asked
        await asyncio.sleep(0.3)
        if dispatcher.has_ended():
            raise standins.CannotRun("the dispatcher has ended")
        if len(zone.arrivals) < 2:
            raise standins.CannotRun("there was no second attempt")
        return judge(zone)
    finally:
        if client is not None:
            client.close()
        await dispatcher.close()
        roster.close()
        for runner in runners:
            runner.close()


def judge(zone):
    began = zone.arrivals[0][0]
    breaks = [
        f"duplicate: attempt {number} of one keyed request reached {runner.name} {at - began:.3f} s after the"
        f" first attempt reached {zone.arrivals[0][1].name}; the window is {WINDOW:g} s, with 0.05 s of slack"
        for number, (at, runner) in enumerate(zone.arrivals[1:], 1)
        if at - began > WINDOW + SLACK
    ]
    if breaks:
        breaks.append(f"duplicate: the effect of the key was applied {len(zone.effects)} times")
    return breaks


if __name__ == "__main__":
    sys.exit(standins.play(pathlib.Path(__file__).resolve().parent, case))
