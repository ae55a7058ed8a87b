"""A retry of a deduplicated request leaves for its worker after the time for which workers know repeats."""

import asyncio

import standins

SLACK = 0.05  # each time limit is 50 ms longer on sockets
WINDOW = 4.0
USUAL = 0.2  # s; the mean work at basel-dreispitz is 140 to 240 ms
# One heavy request of 18.5 times that (there 5.1 to 21 times, for 0.5 to 2.4% of one class), which ends in an
# error (there up to 0.2% of the attempts). So the traffic before it has 500 requests, 185 of them keyed.
HEAVY = 3.7  # s
REQUESTS, KEYED_REQUESTS = 500, 185
CUT_BEFORE, CUT_FOR = 0.3, 0.5  # s before that error, and in all; the pages have 6 s
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
    """What the workers know together: the keys of the last 4 s by zone, and attempts that may have run."""

    def __init__(self, record):
        self.record = record
        self.ran = {}  # (zone, key) -> when it was run last
        self.arrivals = {}  # request -> [(time, worker)] of its attempts
        self.effects = 0  # runs for KEY

    async def serve(self, runner, request):
        now = self.record.now()
        key = (runner.zone, request["op"])
        if request["op"] is not None:
            self.arrivals.setdefault(request["req"], []).append((now, runner))
            if now - self.ran.get(key, -WINDOW - 1) <= WINDOW + SLACK:
                self.record.note(runner.name, "repeat dropped", op=request["op"])
                return "HIT", {"n": "warm"}, request["body"]
            self.ran[key] = now
            self.record.note(runner.name, "RUNS", op=request["op"])
        if request["op"] == KEY:
            self.effects += 1
            if self.effects == 1:
                await asyncio.sleep(HEAVY)
                return "FAULT", {}, b""
        await asyncio.sleep(USUAL)
        return "HIT", {"n": "warm"}, request["body"]


class Traffic:
    """The usual requests: 37 in 100 are keyed, each with a key of its own."""

    def __init__(self, client):
        self.client, self.number = client, 0

    def request(self, function):
        """Send one request."""
        self.number += 1
        number = self.number
        if number * KEYED_REQUESTS // REQUESTS > (number - 1) * KEYED_REQUESTS // REQUESTS:
            more = {"ttl": "6000", "dedupe": f"{number:032x}"}
            return self.client.call(KEYED, fields(number, function, work="200", **more), within=7)
        return self.client.call(PLAIN, fields(number, function, ttl="4000", work="200"), within=6)

    async def function_in_zone(self, near):
        """Send bursts until one function has copies on both workers of the zone, and return it."""
        for function in range(1, 11):
            key = f"{function:016x}"
            for burst in (1, 14, 14, 2):  # it is loaded, then a backlog asks for further copies
                await asyncio.gather(*[self.request(function) for _ in range(burst)])
                await asyncio.sleep(0.1)
            await asyncio.sleep(0.3)  # a load that was ordered has ended
            if all(key in each.copies for each in near):
                return function
        raise standins.CannotRun("no function has copies on both workers of the zone")

    async def go_on(self, functions):
        """Send what is left of the requests, 40 a second."""
        calls = []
        while self.number < REQUESTS:
            calls.append(asyncio.ensure_future(self.request(1 + self.number % functions)))
            await asyncio.sleep(0.025)
        await asyncio.gather(*calls)


def fields(number, function, **more):
    return {
        "call": f"{0x5000000000000000 + number:016x}",
        "org": "acme",
        "row": f"{function:016x}",
        "facts": "memory_mb:2800;lanes:4",
        **more,
    }


async def case(record, trouble):
    zone = Zone(record)
    runners = [
        standins.Runner(f"{name}-{each}", record, zone.serve, zone=name, cell=cell)
        for cell, name in enumerate(("north", "east", "west"), 1)
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
        traffic = Traffic(client)
        function = await traffic.function_in_zone(near)
        await traffic.go_on(function)
        heavy = fields(9999, function, ttl="6000", work="300", dedupe=KEY)
        asked = asyncio.ensure_future(client.call(KEYED, heavy, within=7))
        await asyncio.sleep(0.3)
        attempts = zone.arrivals.get(heavy["call"])
        if not attempts:
            raise standins.CannotRun("the first attempt did not come")
        at, first = attempts[0]
        if first not in near:
            raise standins.CannotRun("the first attempt left the zone")
        other = near[1 - near.index(first)]
        await asyncio.sleep(at + HEAVY - CUT_BEFORE - record.now())
        if trouble:
            other.cut_off()
            record.note("platform", "cut off", worker=other.name)
        await asyncio.sleep(CUT_FOR)
        if trouble:
            other.join_again()
            record.note("platform", "joined again", worker=other.name)
        await asked
        await asyncio.sleep(0.3)
        if dispatcher.has_ended():
            raise standins.CannotRun("the dispatcher has ended")
        if len(attempts) < 2:
            raise standins.CannotRun("there was no second attempt")
        record.note("judge", "attempts", of=heavy["call"], after=f"{attempts[1][0] - at:.3f}")
        return judge(zone)
    finally:
        if client is not None:
            client.close()
        await dispatcher.close()
        roster.close()
        for runner in runners:
            runner.close()


def judge(zone):
    """Return the attempts that reached a worker after the window of the first one that may have run.

    Attempts that a worker has answered with NONE never ran, and are not among the arrivals.
    """
    breaks = []
    for request, attempts in zone.arrivals.items():
        began, first = attempts[0]
        breaks += [
            f"duplicate: an attempt of keyed request {request} reached {runner.name} {at - began:.3f} s after"
            f" its first one reached {first.name}; the window is {WINDOW:g} s, with 0.05 s of slack"
            for at, runner in attempts[1:]
            if at - began > WINDOW + SLACK
        ]
    if breaks:
        breaks.append(f"duplicate: the effect of the heavy request was applied {zone.effects} times")
    return breaks
