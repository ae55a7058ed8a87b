"""An independent check of rule 5, the rate limit of load orders: the load orders that arrive at the workers
are compared with the activations that the clients had sent by then.

A scripted run of the dispatcher's core, scheduler and links on `virtual`: connections that are established
late, never or refused, lost answers, workers that hang or are replaced, loads that fail, clients that give
up, floods of requests that are cancelled or call unknown functions, and traffic that drops steeply. A load
order counts when it has arrived completely, an activation when its last byte was sent. The requests of a
malicious client do not count."""

import bisect
import copy
import random
from unittest import mock

import virtual
from node_site import SETTINGS

from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.node import configuration, service, worker
from petrelwood.node.call_request import FunctionFigures

MS = virtual.MS
GRACE = 2.0  # s, as in `node_site.SETTINGS`


class Log:
    def info(self, event, **fields):
        pass

    warning = info

    def error(self, event, **fields):
        raise AssertionError(f"{event}: {fields}")


class Case:
    """The parameters of a run. Times are in ms, rates per second, unless their name says otherwise.

    `period`, `base_orders` and `orders_per_activation` are the rate limit of load orders. `rate` is the rate
    of the requests at peak times, and `off_peak_factor` multiplies it at other times; `floods` is the rate of
    floods. `late_share`, `never_share` and `refused_share` of the connections are established late (by up to
    `max_connect_delay`), never or refused. `unknown_share` of the requests call unknown functions, and
    `cancel_share` are cancelled. The dispatcher reads a request `read_lag` after its last byte was sent.
    There are `replacements` rounds in which workers are replaced.
    """

    def __init__(self, seed, **changes):
        (
            self.seed,
            self.period,
            self.base_orders,
            self.orders_per_activation,
            self.connect_timeout,
            self.rate,
            self.off_peak_factor,
            self.seconds,
        ) = (
            seed,
            10_000,
            4,
            0.2,
            250,
            40,
            0.1,
            30,
        )
        (
            self.late_share,
            self.max_connect_delay,
            self.never_share,
            self.refused_share,
            self.floods,
            self.unknown_share,
            self.cancel_share,
            self.read_lag,
            self.target,
        ) = (0.3, 1000, 0.05, 0.02, 0.2, 0.1, 0.1, 2, 400)
        self.functions, self.workers, self.replacements, self.streams = 60, 8, 3, 32
        # the share of the workers that hang at a time, and the duration in seconds
        self.hang_share, self.hang_seconds = 0.0, 12
        vars(self).update(changes)

    def settings(self):
        raw = copy.deepcopy(SETTINGS)
        raw["familyInfo"].update(
            freeLoads=self.base_orders,
            loadPart=self.orders_per_activation,
            loadPeriod=self.period * 1000,
            keep=4_000_000,
        )
        raw["permissions"].update(connectTimeout=self.connect_timeout * 1000, multiplex=self.streams)
        for type_ in raw["classes"]:
            type_["slo"], type_["deadline"] = self.target * 1000, 4 * self.target * 1000
        return raw


class Exchange:
    """`sent`: when its last byte was sent, s; `bad`: whether its client is malicious."""

    def __init__(self, world, bad):
        self.world, self.activation_id, self.ended, self.sent, self.bad = (
            world,
            None,
            None,
            world.clock.loop.time(),
            bad,
        )

    def is_waiting(self):
        return self.ended is None

    def defer_start(self, activation_id):
        """Start it at once, as no client input is ever unread here."""
        self.world.node.start_activation(activation_id)

    def may_send(self, link):
        """Return True: no client input is ever unread here, as each client action is delivered at once."""
        return True

    def answer(self, what, body=b"", retry_after=0, detail="", activation_id=None):
        if self.ended is not None:
            raise AssertionError("a second final answer")
        self.ended = what
        if self.bad and what == "completed":  # it was executed, so it counts like any other activation
            bisect.insort(self.world.request_times, self.sent)
        self.world.ends[what] = self.world.ends.get(what, 0) + 1


class Worker:
    def __init__(self, world, name, port):
        self.world, self.name, self.port, self.copies, self.killed, self.gone_at = (
            world,
            name,
            port,
            set(),
            set(),
            None,
        )
        self.hung_until = 0.0  # it reads nothing until this time (s), and then everything at once

    def joins(self, stream):
        c, chance = self.world.case, self.world.chance
        drawn = chance.random()
        if drawn < c.never_share:
            return None
        if drawn < c.never_share + c.refused_share:
            return OSError("refused")
        if drawn < c.never_share + c.refused_share + c.late_share:
            return chance.uniform(0, c.max_connect_delay) / 1000
        return 0.001

    def transit(self):
        return 0.0005

    def line(self, stream, said):
        now = self.world.clock.loop.time()
        if now < self.hung_until:
            self.world.clock.loop.call_at(self.hung_until, self.line, stream, said)
            return
        chance, kind, tag, meta = self.world.chance, said["type"], said["req"], said.get("meta") or {}
        if (
            kind in ("FN", "SPAWN")
            and self.gone_at is not None
            and now > self.gone_at + GRACE
            and not self.hung_until
        ):
            self.world.after_grace.append((self.name, kind, tag))
        if kind == "KILL":
            self.killed.add(tag)
        elif kind == "TOP":
            stream.says({"type": "PONG", "req": tag, "meta": {"l": "inflight:1;queue:0"}})
        elif kind == "SPAWN":
            self.world.record_order(self.name, meta["asset"])
            good = meta["asset"] in self.world.known_functions and chance.random() > 0.05
            self.world.later(chance.uniform(0.05, 0.6), self.loaded, stream, tag, meta["asset"], good)
        elif meta["asset"] not in self.world.known_functions:
            stream.says({"type": "FAULT", "req": tag, "meta": {}})
        elif meta["asset"] not in self.copies:
            stream.says({"type": "NONE", "req": tag, "meta": {}})
        elif chance.random() > 0.02:  # else its answer is lost
            self.world.later(chance.expovariate(1 / 0.06), self.ran, stream, said)

    def loaded(self, stream, tag, fn, good):
        if good:
            self.copies.add(fn)
        stream.says({"type": "HIT" if good else "FAULT", "req": tag, "meta": {"pods": int(good)}})

    def ran(self, stream, said):
        if said["req"] not in self.killed:
            stream.says({"type": "HIT", "req": said["req"], "meta": {"n": "warm"}, "data": said["data"]})


class World:
    def __init__(self, case):
        self.case, self.chance, self.hosts, self.ends = case, random.Random(case.seed), {}, {}
        self.request_times, self.orders, self.number, self.serial, self.floods, self.workers_added = (
            [],
            [],
            0,
            0,
            0,
            0,
        )
        self.known_functions, self.worst, self.after_grace, self.scheduled_call = set(), None, [], None
        self.function_names = [f"{n:016x}" for n in range(1, 1 + 3 * case.functions)]

    async def run(self):
        self.clock = virtual.Clock()
        gateway = configuration.decode(
            {
                "name": "n0",
                "listen": "127.0.0.1:1",
                "names": "127.0.0.1:2",
                "known": {"offset": 0, "batch": []},
                "seed": str(self.case.seed),
                "limits": {"sockets": 512, "memory_mb": 64},
                "settings": self.case.settings(),
            }
        )
        self.node = service.Node(gateway, Log())
        for _ in range(self.case.workers):
            self.add_worker()
        self.publish_list()
        self.node._check()
        end = self.case.seconds
        for n in range(1, self.case.replacements + 1):
            self.later(end * n / (self.case.replacements + 1), self.replace)
        if self.scheduled_call is not None:
            self.later(*self.scheduled_call)
        if self.case.hang_share:
            self.later(3, self.hang)
        self.later(0.01, self.client)
        if self.case.floods:
            self.later(self.chance.expovariate(self.case.floods), self.flood)
        done = self.clock.loop.create_future()
        self.later(end, done.set_result, None)
        await done
        self.node.next_check.cancel()
        return self

    def later(self, seconds, call, *args):
        self.clock.loop.call_later(seconds, call, *args)

    # The endpoint list.
    def add_worker(self):
        self.workers_added += 1
        self.hosts[self.workers_added] = Worker(self, f"w{self.workers_added}", self.workers_added)

    def publish_list(self):
        self.serial += 1
        entries = [
            configuration.decode_endpoint({"name": w.name, "address": f"h:{port}", "status": "Ready"})
            for port, w in self.hosts.items()
            if w.gone_at is None
        ]
        node = self.node
        node.membership.on_contact(node.now())
        node.endpoints_changed(
            *node.membership.apply_list(f"dns-{self.serial}", entries, node.now(), node.clock.wall()), True
        )

    def replace(self, part=0.6):
        """Replace this share of the workers, oldest first, in one new list; the old ones keep running for
        some time."""
        for port in [port for port, host in self.hosts.items() if host.gone_at is None][
            : int(self.case.workers * part)
        ]:
            self.hosts[port].gone_at = self.clock.loop.time()
            self.add_worker()
        self.publish_list()

    def replace_in_steps(self, steps, since, until):
        """Replace 60 % of the workers in `steps` steps between two times (s)."""

        def step():
            self.replace(0.6 / steps)
            if self.clock.loop.time() < until:
                self.later((until - since) / steps, step)

        self.scheduled_call = (since, step)

    def hang(self):
        now = self.clock.loop.time()
        for host in self.chance.sample(
            list(self.hosts.values()), max(1, int(self.case.hang_share * len(self.hosts)))
        ):
            host.hung_until = now + self.case.hang_seconds
        self.later(self.case.hang_seconds + 1, self.hang)

    # Clients.
    def rate(self):
        """Return the rate, which is high for a quarter of each cycle and then drops, so that the activations
        which allowed load orders leave the window quickly."""
        phase = self.clock.loop.time() % 13 / 13
        return self.case.rate * (1 if phase < 0.25 else self.case.off_peak_factor)

    def client(self):
        now, span = (
            self.clock.loop.time(),
            int(1 + elapsed_share(self.clock.loop.time(), self.case) * 2) * self.case.functions,
        )
        is_unknown = self.chance.random() < self.case.unknown_share
        fn = (
            f"{self.chance.getrandbits(63) | 1 << 63:016x}"
            if is_unknown
            else self.function_names[int(span * self.chance.random() ** 2)]
        )
        if not is_unknown:
            self.known_functions.add(fn)
            self.request_times.append(now)
        exchange = self.send_request(
            fn, is_unknown, self.case.target * (1 if self.chance.random() < 0.2 else 3)
        )
        if self.chance.random() < self.case.cancel_share:
            self.later(self.chance.uniform(0, 0.3), self.cancel_request, exchange)
        self.later(self.chance.expovariate(self.rate()), self.client)

    def send_request(self, fn, bad, ttl, id_=None):
        """Send a request whose last byte is sent now; the dispatcher reads it `read_lag` later."""
        exchange = Exchange(self, bad)
        self.number += 1
        id_, lag = id_ or f"{self.number:016x}", self.case.read_lag / 1000
        self.later(lag, self.read, exchange, id_, fn, ttl)
        return exchange

    def read(self, exchange, id_, fn, ttl):
        if not self.node.is_open(id_):
            self.node.admit(
                ActivationRequest("acme", id_, 0, "plain", self.clock.now(), ttl * MS, ""),
                fn,
                FunctionFigures(4, 200 * MS, 5 * MS),
                b"x",
                exchange,
            )

    def cancel_request(self, exchange):
        if exchange.ended is None and exchange.activation_id is not None:
            exchange.ended = "left"
            self.node.detach_client(exchange.activation_id, exchange)

    def flood(self):
        """Send hundreds of requests at once. Half of the floods use a single id. Their functions are unknown,
        and they are cancelled at once, a little later or never; or their functions are known, and they are
        cancelled at once or a little later."""
        self.floods += 1
        size, fn = 200, f"{self.chance.getrandbits(63) | 1 << 63:016x}"
        is_known = self.chance.random() < 0.3 and self.known_functions
        uses_one_id, cancel_delay = (
            self.chance.random() < 0.5,
            self.chance.choice((0.0, 0.0, 0.02) if is_known else (0.0, 0.0, 0.02, None)),
        )
        for n in range(size):
            name = (
                self.chance.choice(sorted(self.known_functions))
                if is_known
                else fn
                if uses_one_id
                else f"{int(fn, 16) ^ n:016x}"
            )
            exchange = self.send_request(
                name, True, 3 * self.case.target, f"{self.floods:08x}{0 if uses_one_id else n:08x}"
            )
            if cancel_delay is not None:
                self.later(self.case.read_lag / 1000 + 0.0001 + cancel_delay, self.cancel_request, exchange)
        self.later(self.chance.expovariate(self.case.floods), self.flood)

    # The check.
    def record_order(self, worker_, fn):
        now, c = self.clock.loop.time(), self.case
        self.orders.append(now)
        if not c.period:
            return
        since = now - c.period / 1000
        orders = len(self.orders) - bisect.bisect_right(self.orders, since)
        activations = bisect.bisect_right(self.request_times, now) - bisect.bisect_right(
            self.request_times, since
        )
        over = orders - (c.base_orders + c.orders_per_activation * activations)
        if self.worst is None or over > self.worst[0]:
            self.worst = (round(over, 3), orders, activations, round(now, 3))


def elapsed_share(now, case):
    return min(1.0, now / case.seconds)


def run_case(case):
    """Run a case and return its `World`. Its `worst` is (orders over the limit, orders, activations, s) where
    the excess was greatest or the margin smallest."""
    return run_world(World(case))


def run_world(world):
    """Run a world and return it."""
    with (
        mock.patch.object(service, "LoopClock", virtual.Clock),
        mock.patch.object(worker.sockets, "new_socket", lambda host: None),
        mock.patch.object(
            worker, "Stream", lambda *_, **__: virtual.Stream(lambda address: world.hosts.get(address[1]))
        ),
    ):
        virtual.run(world.run())
    return world
