"""The clients of the emulator: arrivals drawn ahead of all answers, patience, retries, hints that some
follow."""

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
    """Which function of a kind is called: a Zipf law over ranks, whose functions give way to others now and
    then."""

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
        """How much a function is called at this time of the season: one hump, a fifth of it wide."""
        phase = zlib.crc32(name.encode()) / 2**32
        off = (now / self.kind.season - phase + 0.5) % 1 - 0.5
        return max(0.005, 1 - (off / 0.1) ** 2)

    def turn(self):
        """A part of the functions changes places with others."""
        for _ in range(int(self.kind.turning * len(self.names) / 2)):
            a, b = self.stream.below(len(self.names)), self.stream.below(len(self.names))
            self.names[a], self.names[b] = self.names[b], self.names[a]


class Try:
    """One try of an activation: what the core sees as an exchange."""

    __slots__ = (
        "activation_id",
        "clients",
        "wish",
        "number",
        "to",
        "stamp",
        "begun",
        "over",
        "timer",
        "leaves",
    )

    def __init__(self, clients, wish, number, to, stamp, begun):
        self.clients, self.wish, self.number, self.to, self.stamp, self.begun = (
            clients,
            wish,
            number,
            to,
            stamp,
            begun,
        )
        self.activation_id, self.over, self.timer, self.leaves = None, False, None, False

    def answer(self, what, body=b"", retry_after=0, detail="", activation_id=None):
        platform = self.clients.platform
        platform.after(
            platform.client_way, self.clients.answered, self, FINAL[what], retry_after, activation_id
        )


class Wish:
    """What a client wants, over all its tries. `value`: its utility, `work` in ns."""

    __slots__ = (
        "id",
        "client",
        "kind",
        "fn",
        "work",
        "begun",
        "patience",
        "hall",
        "tries",
        "ended",
        "value",
        "took",
        "sends",
        "over_share",
    )


class Clients:
    """All customers' clients. What they ask and get is recorded as the stand-in portal does."""

    def __init__(self, platform, seed):
        self.platform, day = platform, platform.day
        stream = platform.stream
        self.arrivals, self.picks, self.works = stream("arrivals"), stream("picks"), stream("works")
        self.manners, self.turning = stream("manners"), stream("turning")
        self.popular = {k.prefix: Popularity(k, self.turning) for k in day.kinds}
        self.wishes, self.last, self.stamps, self.more, self.hot, self.scans = [], 0, {}, {}, [], 0
        self.scanning, self.heavy, self.hurry, self.shifted = 0.0, (0.0, 1.0), (0.0, 1.0), (0.0, None)
        self.parts = {}
        for client in day.clients:
            may = [k for k in day.kinds if not k.customers or client.name in k.customers]
            sums, total = [], 0.0
            for kind in may:
                total += kind.part * (1 - kind.timed)
                sums.append(total)
            self.parts[client.name] = (may, sums, total)
        for kind in day.kinds:
            if kind.turning and kind.spell:
                platform.after(kind.spell, self._turn, kind)
            if kind.timed:
                self._timers(kind)
        for client in day.clients:
            self._next(client)

    def _turn(self, kind):
        self.popular[kind.prefix].turn()
        self.platform.after(kind.spell, self._turn, kind)

    def _timers(self, kind):
        """Calls at about the keep-alive's pace, each timer for one function by one client."""
        period = self.platform.day.build.keep
        count = max(1, round(self.platform.day.rate * kind.part * kind.timed * period / 1e9))
        for number in range(count):
            every = int(period * (0.8 + 0.7 * self.arrivals.uniform()))
            client = self.platform.day.clients[number % len(self.platform.day.clients)]
            fn = f"{kind.prefix}{self.arrivals.below(kind.count)}"
            self.platform.after(int(every * self.arrivals.uniform()), self._timer, client, kind, fn, every)

    def _timer(self, client, kind, fn, every):
        if self.platform.clock.now() < self.platform.day.length:
            self._wish(client, kind, fn)
            self.platform.after(every, self._timer, client, kind, fn, every)

    def _next(self, client):
        rate = self.platform.day.rate * client.part * self.more.get(client.name, 1.0) * self.more.get("", 1.0)
        self.platform.after(int(self.arrivals.exponential(1e9 / rate)), self._comes, client)

    def _comes(self, client):
        if self.platform.clock.now() >= self.platform.day.length:
            return
        self._next(client)
        may, sums, total = self.parts[client.name]
        kind = may[min(bisect.bisect(sums, self.picks.uniform() * total), len(may) - 1)]
        fn, pick = self.popular[kind.prefix].draw(self.picks, self.platform.clock.now()), self.picks.uniform()
        for part, names in self.hot:
            if pick < part:
                fn = names[int(pick / part * len(names)) % len(names)]
                kind = self.platform.kind(fn)  # a hot function has a type of its own
                break
            pick = (pick - part) / (1 - part)
        if self.scanning and pick < self.scanning:
            self.scans += 1
            fn = f"{kind.prefix}once-{self.scans}"
        self._wish(client, kind, fn)

    def _wish(self, client, kind, fn):
        platform, wish = self.platform, Wish()
        self.last += 1
        work = self.works.lognormal(kind.work, 0.4)
        if self.heavy[0] and self.works.uniform() < self.heavy[0]:
            work *= self.heavy[1]
        timeout = platform.timeouts[kind.type]
        patience = min(client.patience * SECOND, timeout) if client.patience else timeout
        if self.hurry[0] and self.manners.uniform() < self.hurry[0]:
            patience = max(SECOND // 10, int(platform.types[kind.type].target_latency * self.hurry[1]))
        hall = platform.day.halls[self.picks.below(len(platform.day.halls))]
        if self.shifted[0] and self.picks.uniform() < self.shifted[0]:
            hall = self.shifted[1]
        wish.id, wish.client, wish.kind, wish.fn, wish.work = f"m{self.last}", client, kind, fn, int(work)
        wish.begun, wish.patience, wish.hall, wish.tries, wish.ended = (
            platform.clock.now(),
            patience,
            hall,
            0,
            None,
        )
        wish.value, wish.took, wish.sends = wish.work, 0, 0
        wish.over_share = self._over_share(client)
        self.wishes.append(wish)
        self._try(wish, None)

    def _over_share(self, client):
        """Whether it lies beyond its customer's share: a bucket that holds two seconds' worth."""
        if not client.share:
            return False
        tokens, seen = self.stamps.get(client.name, (2 * client.share, 0))
        now = self.platform.clock.now()
        tokens = min(tokens + (now - seen) / 1e9 * client.share, 2 * client.share)
        self.stamps[client.name] = (tokens - (tokens >= 1), now)
        return tokens < 1

    def _try(self, wish, to):
        platform, now = self.platform, self.platform.clock.now()
        to = to if to not in platform.withdrawn else None
        to = to or platform.dispatcher_for(wish.hall, self.manners)
        # no route: its connection comes to nothing, and it tries again
        if to is None:
            wish.tries += 1
            self._again(wish, None, "broken", 0)
            return
        number, wish.tries = wish.tries, wish.tries + 1
        stamp = platform.clock.wall() // SECOND + number
        made = Try(self, wish, number, to, stamp, now)
        made.leaves = bool(wish.client.impatient) and self.manners.uniform() < wish.client.impatient
        key = f"{wish.client.name}/{wish.id}"
        platform.saw(
            "ask",
            who="portal",
            key=key,
            stamp=stamp,
            to=to,
            **{"try": number},
            type=wish.kind.type,
            fn=wish.fn,
            patience=wish.patience,
            wrong=False,
            leaves=made.leaves,
        )
        core = platform.cores.get(to)
        if core is None:  # nobody there: not a byte went out
            platform.after(2 * platform.client_way, self._broken, made, False)
            return
        platform.after(platform.client_way, platform.ask, to, platform.lives[to], made)
        patience = int(wish.patience * (0.1 + 0.5 * self.manners.uniform())) if made.leaves else wish.patience
        made.timer = platform.after(patience, self._gives_up, made)

    def ask_of(self, made):
        """The intake's view of a try."""
        wish = made.wish
        return intake.ActivationRequest(
            wish.client.name,
            wish.id,
            made.stamp * SECOND,
            wish.kind.type,
            self.platform.clock.now(),
            wish.patience,
        )

    def answered(self, made, status, retry_after, act):
        if made.over:
            return
        made.over = True
        made.timer.cancel()
        wish = made.wish
        self.platform.saw(
            "answer",
            who="portal",
            key=f"{wish.client.name}/{wish.id}",
            stamp=made.stamp,
            to=made.to,
            **{"try": made.number},
            status=status,
            act=act or "",
            took=self.platform.clock.now() - made.begun,
        )
        if status == 200:
            self._ends(wish, "completed")
        elif status == 503:
            self._again(wish, made.to, "rejected", retry_after)
        else:
            self._ends(wish, "aborted" if status == 504 else "conflict")

    def _gives_up(self, made):
        if made.over:
            return
        made.over = True
        wish = made.wish
        self.platform.saw(
            "left",
            who="portal",
            key=f"{wish.client.name}/{wish.id}",
            stamp=made.stamp,
            to=made.to,
            **{"try": made.number},
            early=made.leaves,
        )
        self.platform.after(self.platform.client_way, self.platform.left, made)
        self._ends(wish, "left")

    def broken(self, made):
        """Its dispatcher was killed."""
        self._broken(made, True)

    def _broken(self, made, sent):
        if made.over:
            return
        made.over = True
        if made.timer is not None:
            made.timer.cancel()
        wish = made.wish
        self.platform.saw(
            "broken",
            who="portal",
            key=f"{wish.client.name}/{wish.id}",
            stamp=made.stamp,
            to=made.to,
            **{"try": made.number},
            sent=sent,
        )
        if sent and not self.platform.repeatable[wish.kind.type] and not wish.client.insists:
            self._ends(wish, "broken")
        else:
            self._again(wish, None, "broken", 0)

    def _again(self, wish, to, ended, retry_after):
        now = self.platform.clock.now()
        wait = int((0.02 + 0.2 * self.manners.uniform()) * 1e9)
        if retry_after and self.manners.uniform() < wish.client.honours:
            wait = -(-retry_after // SECOND) * SECOND
        end = self.platform.day.length + self.platform.day.settle
        if wish.tries > wish.client.retries or now + wait + wish.patience >= end:
            self._ends(wish, ended)
        else:
            self.platform.after(wait, self._try, wish, to)

    def _ends(self, wish, ended):
        wish.ended, wish.took = ended, self.platform.clock.now() - wish.begun
        self.platform.wish_ended(wish)
