"""A stand-in portal: many customers' clients that send signed webhooks.

The clients also retry, replay old requests, forge signatures, send slowly and hang up. Each try and its
answer is recorded as seen on the sockets. A once-only or deduplicated activation is tried again only after a
rejection, or if no byte of the request went out; a repeatable one also after a broken connection.
"""

import asyncio
import base64
import bisect
import hashlib
import itertools
import math
import time

import orjson

from petrelwood.fronts.signing import sign
from petrelwood.standins import host
from petrelwood.standins.caller import Caller, ConnectionLostError, request
from petrelwood.standins.records import Records

MAX_REPLAYABLE = 400  # requests kept to be replayed


class Choice:
    """Draws which function a customer calls, and how much work the call is.

    The functions of a kind are called with Zipf-distributed frequency; `cuts` holds its cumulative
    distribution.
    """

    def __init__(self, day, rng):
        self.rng, self.kinds, self.cuts = rng, {}, {}
        for kind in day.kinds:
            sums = list(itertools.accumulate((i + 1) ** -kind.zipf for i in range(kind.count)))
            self.cuts[kind.prefix] = [s / sums[-1] for s in sums]
        for client in day.clients:
            allowed = [k for k in day.kinds if not k.customers or client.name in k.customers]
            self.kinds[client.name] = (allowed, [k.part for k in allowed])

    def draw(self, client):
        """Return (kind, function, work in ns) of a customer's next call."""
        kind = self.rng.choices(*self.kinds[client.name])[0]
        number = bisect.bisect(self.cuts[kind.prefix], self.rng.random())
        work = int(kind.work * math.exp(self.rng.gauss(-0.08, 0.4)))
        return kind, f"{kind.prefix}{min(number, kind.count - 1)}", work


class Steering:
    """Follows a stand-in router's table for one prefix, and sends each flow where the router would.

    `names`: the router's identifier of a neighbor, as text -> the name of the dispatcher behind it.
    """

    def __init__(self, watch, prefix, names):
        self.watch, self.prefix, self.names, self.peers, self.changes = watch, prefix, names, [], 0

    async def follow(self):
        """Update `peers` from the router's watch connection until that ends."""
        reader, _ = await asyncio.open_connection(*self.watch)
        while line := await reader.readline():
            entry = orjson.loads(line)
            if entry["prefix"] == self.prefix:
                self.peers, self.changes = entry["peers"], self.changes + 1

    def pick(self, flow):
        """Return the name of the dispatcher that a flow goes to, or None if nobody announces the address."""
        if not self.peers:
            return None
        flow_hash = int.from_bytes(hashlib.blake2b(flow.encode(), digest_size=4).digest(), "big")
        return self.names[str(self.peers[flow_hash % len(self.peers)])]


class Portal:
    """The clients of all customers, and the troubles that they cause."""

    steering = None

    def __init__(self, day, dispatchers, keys, records, seed, clock_off):
        self.day, self.keys, self.records, self.clock_off = day, keys, records, clock_off
        self.callers = {name: Caller(address) for name, address in dispatchers.items()}
        self.arrivals, self.picks = host.random_stream(seed, "arrivals"), host.random_stream(seed, "picks")
        self.manners, self.last, self.open, self.seed = host.random_stream(seed, "manners"), 0, 0, seed
        # `manners`: the random generator for the clients' behaviour; `more`: factors on the rate of a
        # customer, or of all under ""; `forged`: share of the activations with an invalid signature;
        # `replayed`: rate of replays relative to the day's rate; `old`: requests to replay
        self.rates = {c.name: day.rate * c.part for c in day.clients}
        self.more, self.forged, self.replayed, self.slow = {}, 0.0, 0.0, 0
        self.old, self.counts, self.tasks = [], {}, set()
        self.choice = Choice(day, self.picks)

    def count(self, outcome):
        """Count an outcome."""
        self.counts[outcome] = self.counts.get(outcome, 0) + 1

    def spawn(self, coroutine):
        """Run a coroutine as a task, and keep a reference to it until it ends."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def client(self, client, until):
        """Start one customer's activations at random intervals, which don't depend on the answers."""
        due = time.monotonic_ns()
        while due < until:
            rate = self.rates[client.name] * self.more.get(client.name, 1.0) * self.more.get("", 1.0)
            due += int(self.arrivals.expovariate(rate) * 1e9)
            await asyncio.sleep(max(0, due - time.monotonic_ns()) / 1e9)
            self.spawn(self.activation(client))

    def message(self, client, function, id_, body, patience, wrong=False):
        """Return the bytes of a signed request and its timestamp; `wrong`: with an invalid signature.

        The timestamp of a further try is larger than that of the one before.
        """
        stamp = time.time() + self.clock_off
        stamp = max(int(stamp), self.stamps.get(id_, 0) + 1)
        self.stamps[id_] = stamp
        scheme, secret = self.manners.choice(self.keys[client.name])
        signature = sign(scheme, secret, id_, stamp, body + b"?" if wrong else body)
        headers = {
            "Content-Type": "application/json",
            "webhook-id": id_,
            "webhook-timestamp": stamp,
            "webhook-signature": f"v1,{base64.b64encode(b'other').decode()} {signature}",
        }
        if patience:
            headers["Prefer"] = f"wait={patience}"
        return request(f"/hooks/{client.name}/{function}", headers, body), stamp

    stamps = {}

    async def activation(self, client):
        """Send one activation with its client's retries, and count how it ended."""
        kind, function, work = self.choice.draw(client)
        self.last += 1
        self.open += 1
        id_ = f"msg_{self.seed}_{self.last}"
        body = orjson.dumps({"work": work, "applicant": self.last})
        wrong = self.manners.random() < self.forged
        dispatcher = self.manners.choice(list(self.callers))
        tries = 1 + client.retries
        ends = "none"
        for n in range(tries):
            if self.steering is not None:  # each try is a flow of its own
                dispatcher = await self.steered(f"{id_}/{n}")
            ends, wait = await self.once(client, kind, function, id_, body, dispatcher, n, wrong)
            again = ends in ("rejected", "refused") or ends == "broken" and kind.type in self.repeatable
            if ends == "refused":
                dispatcher = self.manners.choice(list(self.callers))
            late = time.monotonic_ns() + (wait + self.timeouts[kind.type]) * 1e9 > self.ends
            if not again or wrong or late or n + 1 == tries:
                break
            follows = self.manners.random() < client.honours
            await asyncio.sleep(wait if follows and wait else 0.02 + 0.2 * self.manners.random())
        self.open -= 1
        self.count(ends)
        self.stamps.pop(id_, None)

    async def steered(self, flow):
        """Return the dispatcher that the router sends a flow to; wait while the router has no route."""
        while (name := self.steering.pick(flow)) is None:
            self.count("no route")
            await asyncio.sleep(0.1)
        return name

    async def once(self, client, kind, function, id_, body, dispatcher, n, wrong):
        """Send one try; return (how it ended, seconds to wait before another)."""
        message, stamp = self.message(client, function, id_, body, client.patience, wrong)
        timeout = self.timeouts[kind.type]
        patience = min(client.patience, timeout) if client.patience else timeout
        leaves = (
            patience * (0.1 + 0.5 * self.manners.random())
            if self.manners.random() < client.impatient
            else None
        )
        common = {"key": f"{client.name}/{id_}", "stamp": stamp, "to": dispatcher, "try": n}
        begun = time.monotonic_ns()
        self.records.put(
            "ask",
            type=kind.type,
            fn=function,
            patience=int(patience * 1e9),
            wrong=wrong,
            leaves=leaves is not None,
            **common,
        )
        try:
            reply = await self.callers[dispatcher].call(message, leaves or patience * 1.25)
        except TimeoutError:
            self.records.put("left", early=leaves is not None, **common)
            if len(self.old) < MAX_REPLAYABLE:
                self.old.append((dispatcher, message, common["key"], stamp))
            return "left", 0
        except ConnectionLostError as error:
            self.records.put("broken", sent=error.sent, **common)
            return ("broken" if error.sent else "refused"), 0
        self.records.put(
            "answer",
            status=reply.status,
            act=reply.headers.get(b"activation-id", b"").decode(),
            took=time.monotonic_ns() - begun,
            **common,
        )
        if len(self.old) < MAX_REPLAYABLE and not wrong:
            self.old.append((dispatcher, message, common["key"], stamp))
        if reply.status in (429, 503):
            return "rejected", int(reply.headers.get(b"retry-after", b"0"))
        return {200: "completed", 504: "aborted", 401: "unsigned", 409: "conflict"}.get(
            reply.status, "odd"
        ), 0

    async def replays(self, until):
        """Replay random earlier requests until a time."""
        while time.monotonic_ns() < until:
            await asyncio.sleep(self.manners.expovariate(max(0.01, self.day.rate * self.replayed)))
            if not self.old:
                continue
            dispatcher, message, key, stamp = self.manners.choice(self.old)
            begun = time.monotonic_ns()
            try:
                reply = await self.callers[dispatcher].call(message, 5)
                self.records.put(
                    "replayed",
                    key=key,
                    stamp=stamp,
                    status=reply.status,
                    to=dispatcher,
                    took=time.monotonic_ns() - begun,
                )
                self.count(f"replay {reply.status}")
            except (TimeoutError, ConnectionLostError):
                self.count("replay lost")

    async def dawdle(self, until):
        """Send a request one byte at a time over one connection, which the gateway should close."""
        caller = self.callers[self.manners.choice(list(self.callers))]
        try:
            stream = await caller.connect()
            for byte in b"POST /hooks/slow/sender HTTP/1.1\r\nHost: gateway\r\nX-Slow: " + b"a" * 1000:
                await stream.write(bytes([byte]))
                await asyncio.sleep(0.2)
                if time.monotonic_ns() > until:
                    break
            self.count("dawdled")
            stream.close()
        except Exception:
            self.count("dawdler closed")

    def troubles(self, start):
        """Return the handlers for `host.schedule_troubles`."""

        def slow_senders(t):
            for _ in range(t.what["count"]):
                self.spawn(self.dawdle(start + t.at + t.span))

        def replays(t):
            self.replayed = t.what["part"]
            self.spawn(self.replays(start + t.at + t.span))

        def multiply_rate(name):
            return (
                lambda t: self.more.__setitem__(name(t), t.what["times"]),
                lambda t: self.more.pop(name(t), None),
            )

        return {
            "forgeries": (
                lambda t: setattr(self, "forged", t.what["part"]),
                lambda t: setattr(self, "forged", 0.0),
            ),
            "replays": (replays, None),
            "slow-senders": (slow_senders, None),
            "overuse": multiply_rate(lambda t: t.what["customer"]),
            "burst": multiply_rate(lambda t: ""),
        }


async def serve(
    day, dispatchers, keys, timeouts, repeatable, folder, start, seed, clock_off=0.0, tell=None, steer=None
):
    """Send the day's requests from `start` on; return the counts of outcomes when all are answered.

    It waits for `day.settle` after the day at most. `tell` is called with the progress twice a second. With
    `steer`, each try follows a stand-in router's table.
    """
    records = Records(folder, "portal")
    portal = Portal(day, dispatchers, keys, records, seed, clock_off)
    portal.timeouts, portal.repeatable, portal.ends = timeouts, repeatable, start + day.length + day.settle
    if steer:
        portal.steering = Steering(tuple(steer["watch"]), steer["prefix"], steer["names"])
        follows = asyncio.ensure_future(portal.steering.follow())
        while not portal.steering.peers and time.monotonic_ns() < start + day.length:
            if follows.done():
                follows.result()
            await asyncio.sleep(0.05)
    await asyncio.sleep(max(0, start - time.monotonic_ns()) / 1e9)
    host.schedule_troubles(day, start, portal.troubles(start))
    until = start + day.length
    clients = [asyncio.ensure_future(portal.client(c, until)) for c in day.clients if c.by == "webhook"]
    while time.monotonic_ns() < until + day.settle and (portal.open or not all(c.done() for c in clients)):
        await asyncio.sleep(0.5)
        if tell:
            tell({"at": (time.monotonic_ns() - start) / 1e9, "open": portal.open, **portal.counts})
    for client in clients:
        client.cancel()
    for caller in portal.callers.values():
        caller.close()
    records.put("counts", open=portal.open, **portal.counts)
    records.close()
    return portal.counts
