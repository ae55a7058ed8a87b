"""The clients of the emulator: arrivals, patience, retries, and Retry-After hints that some clients follow.

Arrivals are drawn independently of all answers."""

import bisect
import zlib

from petrelwood.decide.overload import intake

SECOND = 1_000_000_000
FINAL = {
    "completed": 200,
    intake.REPEAT_RESULT: 200,
    "rejected": 503,
    intake.REJECT: 503,
    "aborted": 504,
    intake.ABORT: 504,
    intake.CONFLICT: 409,
    intake.RESULT_DROPPED: 409,
}


class Popularity:
    """Draws which function of a kind is called: a Zipf law over ranks that swap at times."""

    def __init__(self, kind, stream):
        self.kind, self.stream, total, self.cuts = kind, stream, 0.0, []
        for rank in range(kind.count):
            total += (rank + 1) ** -kind.zipf
            self.cuts.append(total)
        self.total, self.names = total, [f"{kind.prefix}{i}" for i in range(kind.count)]

    def draw(self, stream, now):
        for _ in range(24 if self.kind.season else 1):
            name = self.names[
                min(bisect.bisect(self.cuts, stream.uniform() * self.total), len(self.names) - 1)
            ]
            if not self.kind.season or stream.uniform() < self._active(name, now):
                break
        return name

    def _active(self, name, now):
        """Return how much a function is called at this time: one peak, a fifth of the season wide."""
        phase = zlib.crc32(name.encode()) / 2**32
        off = (now / self.kind.season - phase + 0.5) % 1 - 0.5
        return max(0.005, 1 - (off / 0.1) ** 2)

    def rotate(self):
        """Swap the ranks of the kind's share (`turning`) of its functions with others."""
        for _ in range(int(self.kind.turning * len(self.names) / 2)):
            a, b = self.stream.below(len(self.names)), self.stream.below(len(self.names))
            self.names[a], self.names[b] = self.names[b], self.names[a]


class ClientTry:
    """One try of a client's request; the core sees it as an exchange."""

    __slots__ = (
        "activation_id",
        "clients",
        "request",
        "number",
        "to",
        "stamp",
        "begun",
        "over",
        "timer",
        "leaves",
    )

    def __init__(self, clients, request, number, to, stamp, begun):
        self.clients, self.request, self.number, self.to, self.stamp, self.begun = (
            clients,
            request,
            number,
            to,
            stamp,
            begun,
        )
        self.activation_id, self.over, self.timer, self.leaves = None, False, None, False

    def answer(self, what, body=b"", retry_after=0, detail="", activation_id=None):
        platform = self.clients.platform
        platform.after(
            platform.client_delay, self.clients.answered, self, FINAL[what], retry_after, activation_id
        )


class ClientRequest:
    """What a client requests, over all its tries. `value`: its utility; `work`: ns of one core."""

    __slots__ = (
        "id",
        "client",
        "kind",
        "fn",
        "work",
        "begun",
        "patience",
        "zone",
        "tries",
        "ended",
        "value",
        "took",
        "sends",
        "over_share",
    )


class Clients:
    """All customers' clients. Requests and answers are recorded as the stand-in portal does."""

    def __init__(self, platform, seed):
        self.platform, day = platform, platform.day
        stream = platform.stream
        self.arrivals, self.picks, self.works = stream("arrivals"), stream("picks"), stream("works")
        self.manners, self.turning = stream("manners"), stream("turning")
        self.popular = {k.prefix: Popularity(k, self.turning) for k in day.kinds}
        self.requests, self.last, self.share_buckets, self.rate_factors, self.hot, self.scans = (
            [],
            0,
            {},
            {},
            [],
            0,
        )
        self.scanning, self.heavy, self.hurry, self.shifted = 0.0, (0.0, 1.0), (0.0, 1.0), (0.0, None)
        self.kinds_of_client = {}
        for client in day.clients:
            may = [k for k in day.kinds if not k.customers or client.name in k.customers]
            sums, total = [], 0.0
            for kind in may:
                total += kind.part * (1 - kind.timed)
                sums.append(total)
            self.kinds_of_client[client.name] = (may, sums, total)
        for kind in day.kinds:
            if kind.turning and kind.spell:
                platform.after(kind.spell, self._rotate, kind)
            if kind.timed:
                self._start_timers(kind)
        for client in day.clients:
            self._schedule_arrival(client)

    def _rotate(self, kind):
        self.popular[kind.prefix].rotate()
        self.platform.after(kind.spell, self._rotate, kind)

    def _start_timers(self, kind):
        """Start the timers of a kind: each calls one function for one client, about once per keep-alive."""
        period = self.platform.day.build.keep
        count = max(1, round(self.platform.day.rate * kind.part * kind.timed * period / 1e9))
        for number in range(count):
            every = int(period * (0.8 + 0.7 * self.arrivals.uniform()))
            client = self.platform.day.clients[number % len(self.platform.day.clients)]
            fn = f"{kind.prefix}{self.arrivals.below(kind.count)}"
            self.platform.after(
                int(every * self.arrivals.uniform()), self._timer_fired, client, kind, fn, every
            )

    def _timer_fired(self, client, kind, fn, every):
        if self.platform.clock.now() < self.platform.day.length:
            self._make_request(client, kind, fn)
            self.platform.after(every, self._timer_fired, client, kind, fn, every)

    def _schedule_arrival(self, client):
        rate = (
            self.platform.day.rate
            * client.part
            * self.rate_factors.get(client.name, 1.0)
            * self.rate_factors.get("", 1.0)
        )
        self.platform.after(int(self.arrivals.exponential(1e9 / rate)), self._arrive, client)

    def _arrive(self, client):
        if self.platform.clock.now() >= self.platform.day.length:
            return
        self._schedule_arrival(client)
        may, sums, total = self.kinds_of_client[client.name]
        kind = may[min(bisect.bisect(sums, self.picks.uniform() * total), len(may) - 1)]
        fn, pick = self.popular[kind.prefix].draw(self.picks, self.platform.clock.now()), self.picks.uniform()
        for part, names in self.hot:
            if pick < part:
                fn = names[int(pick / part * len(names)) % len(names)]
                kind = self.platform.kind(fn)  # a hot function has its own namespace type
                break
            pick = (pick - part) / (1 - part)
        if self.scanning and pick < self.scanning:
            self.scans += 1
            fn = f"{kind.prefix}once-{self.scans}"
        self._make_request(client, kind, fn)

    def _make_request(self, client, kind, fn):
        platform, request = self.platform, ClientRequest()
        self.last += 1
        work = self.works.lognormal(kind.work, 0.4)
        if self.heavy[0] and self.works.uniform() < self.heavy[0]:
            work *= self.heavy[1]
        timeout = platform.timeouts[kind.type]
        patience = min(client.patience * SECOND, timeout) if client.patience else timeout
        if self.hurry[0] and self.manners.uniform() < self.hurry[0]:
            patience = max(SECOND // 10, int(platform.types[kind.type].target_latency * self.hurry[1]))
        zone = platform.day.zones[self.picks.below(len(platform.day.zones))]
        if self.shifted[0] and self.picks.uniform() < self.shifted[0]:
            zone = self.shifted[1]
        request.id, request.client, request.kind, request.fn, request.work = (
            f"m{self.last}",
            client,
            kind,
            fn,
            int(work),
        )
        request.begun, request.patience, request.zone, request.tries, request.ended = (
            platform.clock.now(),
            patience,
            zone,
            0,
            None,
        )
        request.value, request.took, request.sends = request.work, 0, 0
        request.over_share = self._over_share(client)
        self.requests.append(request)
        self._start_try(request, None)

    def _over_share(self, client):
        """Whether a request exceeds its customer's share, by a token bucket that holds two seconds' worth."""
        if not client.share:
            return False
        tokens, seen = self.share_buckets.get(client.name, (2 * client.share, 0))
        now = self.platform.clock.now()
        tokens = min(tokens + (now - seen) / 1e9 * client.share, 2 * client.share)
        self.share_buckets[client.name] = (tokens - (tokens >= 1), now)
        return tokens < 1

    def _start_try(self, request, to):
        platform, now = self.platform, self.platform.clock.now()
        to = to if to not in platform.withdrawn else None
        to = to or platform.dispatcher_for(request.zone, self.manners)
        # There is no route: the connection fails, and the client tries again.
        if to is None:
            request.tries += 1
            self._retry(request, None, "broken", 0)
            return
        number, request.tries = request.tries, request.tries + 1
        stamp = platform.clock.wall() // SECOND + number
        client_try = ClientTry(self, request, number, to, stamp, now)
        client_try.leaves = (
            bool(request.client.impatient) and self.manners.uniform() < request.client.impatient
        )
        key = f"{request.client.name}/{request.id}"
        platform.saw(
            "ask",
            who="portal",
            key=key,
            stamp=stamp,
            to=to,
            **{"try": number},
            type=request.kind.type,
            fn=request.fn,
            patience=request.patience,
            wrong=False,
            leaves=client_try.leaves,
        )
        core = platform.cores.get(to)
        if core is None:  # the connection is refused: not a byte was sent
            platform.after(2 * platform.client_delay, self._broken, client_try, False)
            return
        platform.after(platform.client_delay, platform.ask, to, platform.incarnations[to], client_try)
        patience = (
            int(request.patience * (0.1 + 0.5 * self.manners.uniform()))
            if client_try.leaves
            else request.patience
        )
        client_try.timer = platform.after(patience, self._give_up, client_try)

    def intake_request(self, client_try):
        """Return a try as the intake sees it."""
        request = client_try.request
        return intake.ActivationRequest(
            request.client.name,
            request.id,
            client_try.stamp * SECOND,
            request.kind.type,
            self.platform.clock.now(),
            request.patience,
        )

    def answered(self, client_try, status, retry_after, act):
        if client_try.over:
            return
        client_try.over = True
        client_try.timer.cancel()
        request = client_try.request
        self.platform.saw(
            "answer",
            who="portal",
            key=f"{request.client.name}/{request.id}",
            stamp=client_try.stamp,
            to=client_try.to,
            **{"try": client_try.number},
            status=status,
            act=act or "",
            took=self.platform.clock.now() - client_try.begun,
        )
        if status == 200:
            self._end(request, "completed")
        elif status == 503:
            self._retry(request, client_try.to, "rejected", retry_after)
        else:
            self._end(request, "aborted" if status == 504 else "conflict")

    def _give_up(self, client_try):
        if client_try.over:
            return
        client_try.over = True
        request = client_try.request
        self.platform.saw(
            "left",
            who="portal",
            key=f"{request.client.name}/{request.id}",
            stamp=client_try.stamp,
            to=client_try.to,
            **{"try": client_try.number},
            early=client_try.leaves,
        )
        self.platform.after(self.platform.client_delay, self.platform.client_left, client_try)
        self._end(request, "left")

    def broken(self, client_try):
        """Handle the loss of a try's connection because its dispatcher was killed."""
        self._broken(client_try, True)

    def _broken(self, client_try, sent):
        if client_try.over:
            return
        client_try.over = True
        if client_try.timer is not None:
            client_try.timer.cancel()
        request = client_try.request
        self.platform.saw(
            "broken",
            who="portal",
            key=f"{request.client.name}/{request.id}",
            stamp=client_try.stamp,
            to=client_try.to,
            **{"try": client_try.number},
            sent=sent,
        )
        if sent and not self.platform.repeatable[request.kind.type] and not request.client.insists:
            self._end(request, "broken")
        else:
            self._retry(request, None, "broken", 0)

    def _retry(self, request, to, ended, retry_after):
        now = self.platform.clock.now()
        wait = int((0.02 + 0.2 * self.manners.uniform()) * 1e9)
        if retry_after and self.manners.uniform() < request.client.honours:
            wait = -(-retry_after // SECOND) * SECOND
        end = self.platform.day.length + self.platform.day.settle
        if request.tries > request.client.retries or now + wait + request.patience >= end:
            self._end(request, ended)
        else:
            self.platform.after(wait, self._start_try, request, to)

    def _end(self, request, ended):
        request.ended, request.took = ended, self.platform.clock.now() - request.begun
        self.platform.request_ended(request)
