"""Every decision of one dispatcher, and nothing else; `ports.py` holds the interface.

How to call it: `Scheduler(now, terms, seed, outlet)` starts an instance. Its public methods are then called
in the order of events: `endpoints_changed`, `endpoint_list_lost`, `activation_arrived`, `attempt_ended`,
`stream_started`, `client_departed`, `load_order_ended`, `prefetch` (a load ahead of calls),
`health_check_ended`, `timer_fired` and `process_ending`. It acts only through its `ports.Outlet`, within
these calls. Times are whole nanoseconds.

An activation passes answer duty -> admission -> hold per function -> placement and loading -> guarded send,
its answers the other way."""

from collections import deque
from heapq import heappop, heappush
from itertools import islice
from operator import attrgetter
from random import Random
from zlib import crc32

from petrelwood.ports import NEVER_RAN, CopyNote, Effect, EndReason, Scope

SPREAD = 4  # copies of one function for each worker's worth of it, so that no worker lives by it
RECENT = 64  # activations over which a function's part of all is counted
LIMIT, FEW = 0.5, 4  # most copies of one function placed from here: part of the workers, or so many
BACKLOG = 1.0  # held activations for each lane before a copy is added
AT_ONCE = 1 / 8  # further copies that load at a time, for each worker of our part of the fleet
LAG = 1 / 6  # how long the first must have been held before that, part of the target latency
PROBES = 0.01  # of all utility: what a probe an activation is worth, dearer ones are rarer
EARLY = 0.5  # of the ration on orders, what early loads may use
SLACK = 1.3  # a customer's share here: so much more than an equal part, as dispatchers differ
TIGHT = 1.5  # loads within it count as equal, so dispatchers agree; beyond it a copy is added
CROWDED = 1.8  # a worker is, when its answers take so many times the usual
BEARABLE, TURN, MOST_TURNED = 0.15, 4, 0.9  # of slow answers; from there on so much more is turned away
SLOTS = 12  # buckets in a ring
ORDERS, SPARE = 64, 32  # functions whose first workers in hash order are cached, at least so many each
MIX, MASK, LONG = 0x9E3779B1, 0xFFFFFFFF, 1 << 50  # spread the bits of a hash; long ago


class SlidingCount:  # counts over the last `span`, in buckets used in turn
    def __init__(self, span):
        self.width, self.counts, self.slot = max(1, -(-span // SLOTS)), [0] * (SLOTS + 1), 0

    def _turn(self, now):
        slot = now // self.width
        for stale in range(max(self.slot + 1, slot - SLOTS), slot + 1):
            self.counts[stale % (SLOTS + 1)] = 0
        self.slot = max(self.slot, slot)

    def add(self, now, by=1):  # `now` may lie back, but not behind what is let go
        self._turn(now)
        if now // self.width + SLOTS >= self.slot:
            self.counts[now // self.width % (SLOTS + 1)] += by

    def most(self, now):  # no less than what the span holds
        self._turn(now)
        return sum(self.counts)

    def least(self, now):  # no more than that
        return self.most(now) - self.counts[(self.slot + 1) % (SLOTS + 1)]


class Worker:  # `lost`: sends without hope; `latest`: when its last answered left
    def __init__(self, entry, now):
        self.id, self.hash, self.out, self.lost = entry.worker, crc32(entry.worker.encode()), {}, {}
        self.cap = ConcurrencyLimit()
        self.heard, self.ejected_until, self.silent, self.loading = now, 0, False, 0
        self.report, self.out_at_report, self.read, self.asked = None, 0, now - LONG, now - LONG
        self.loads_full_until = 0
        self.pace, self.silences, self.slot, self.room, self.latest = 1.0, 0, -1, 0, 0
        _, self.zone, self.cell, self.booted, self.usable = entry
        self.turn = False, 0  # its place where our own order counts: our zone first


class ConcurrencyLimit:  # how many sends at once: None is no cap
    def __init__(self):
        self.most, self.cut_at = None, 0

    def answered(self, slow, out, now, sent, least=1.0):  # one cut for what was sent before it
        if slow and sent >= self.cut_at:
            self.most, self.cut_at = max(least, min(self.most or out + 1, out + 1) * 0.85), now
        elif not slow and self.most is not None and out + 1 >= self.most:
            self.most += 1 / self.most

    def full(self, out):
        return self.most is not None and out >= self.most


class Copy:  # what is believed of a function's copy on one worker
    def __init__(self, worker, now):
        self.worker, self.busy, self.loading, self.seen = worker, 0, 0, now
        self.renewed, self.errors, self.closed_until = now, 0, 0


class Function:
    """`held` and `late` are what waits, fresh and lesser; `ends` tells when to look whether to give one up.
    What waits no longer is passed over when its turn comes: no event walks over all that is held."""

    def __init__(self, key):
        self.key, self.lanes, self.held, self.copies, self.called = key, 1, deque(), {}, 0
        self.late, self.ends, self.waits, self.grown_at = deque(), [], 0, -LONG
        self.service, self.load_time, self.pause, self.recent, self.missed_at = 0, 0, 0, 0, -LONG
        self.hash, self.tight, self.real = crc32(f"{key}".encode()), False, False  # real: a worker knows it

    def first(self):  # of what waits: the one that waits longest
        for queue in (self.late, self.held):
            while queue and not queue[0].held:
                queue.popleft()
        return self.late[0] if self.late else self.held[0]

    def last(self):
        for queue in (self.held, self.late):
            while queue and not queue[-1].held:
                queue.pop()
        return self.held[-1] if self.held else self.late[-1]

    def drop(self, act):  # it waits no longer
        self.waits, act.held = self.waits - act.held, False


class Activation:
    def __init__(self, id_, fn, type_, due, born, work, lanes):
        self.id, self.fn, self.type, self.due, self.born, self.work = id_, fn, type_, due, born, work
        self.sends, self.out, self.held, self.beyond = [], 0, False, False  # beyond its customer's share
        self.first_attempt = None  # unless none may have run
        self.full = ()  # workers that were
        self.right, self.lanes = None, lanes  # to load orders: False is not yet, True counted
        self.target = min(type_.target_latency + int(type_.stretch * work), type_.timeout or LONG)

    def __lt__(self, other):  # any order will do for what is due at one time
        return False


class Attempt:
    def __init__(self, act, copy, at):
        self.act, self.n, self.worker, self.copy, self.at = act, len(act.sends), copy.worker, copy, at
        self.cold, self.open, self.ran, self.ahead = bool(copy.loading), True, True, len(copy.worker.out)


class Scheduler:
    def __init__(self, now, terms, seed, outlet):
        self.terms, self.out, self.chance = terms, outlet, Random(seed).random
        self.workers, self.functions, self.acts, self.recent, self.waiting = {}, {}, {}, deque(), {}
        self.dispatchers, self.target = terms.dispatchers, min(t.target_latency for t in terms.types.values())
        # Where the list must be asked for, looks keep up with that too: a target latency may be far longer.
        self.look = min(self.target, terms.guarantees.ask_within) if terms.asks else self.target
        self.sweep = max(terms.tick, self.look // 50)
        self.usual, self.mean, self.mean_report = self.target // 4, 1.0, None
        self.hint, self.mean_hint, self.mean_time = 0, self.target / 8, self.target / 8
        self.answers, self.answer_time = 0, 0  # those completed here, their mean time
        cold, period = terms.guarantees.cold, terms.orders.period or 1
        self.done = SlidingCount(cold)  # answers of warm workers,
        self.warm_time = SlidingCount(cold)  # and their time in all
        self.taken, self.loads, self.ripe = SlidingCount(period), SlidingCount(period), deque()
        self.buckets = (
            {}
            if terms.beyond >= 1
            else {c: [1, now, SLACK / 1e9 / terms.dispatchers * q] for c, q in terms.quotas.items()}
        )
        self.owing_answers = {}  # workers with sends out
        self.fleet, self.hashes, self.warm, self.out_now, self.spreading = [], [], 1, 0, []
        self.warming_up, self.orders = [], {}  # of the fleet; by function: its first in hash order
        self.turned = self.slow = 0.0  # the part that is turned away at once; of answers
        self.cap = ConcurrencyLimit()
        self.salt, self.asked, self.pace = int(self.chance() * MASK), now - LONG, 1.0
        self.next_wake, self.spread_after, self.next_look, self.next_tidy = LONG << 12, now, now, now
        self._wake(now, self.sweep)

    def endpoints_changed(self, now, entries, whole):
        if whole:
            named = {e.worker for e in entries}
            for worker in self.fleet:
                worker.usable = worker.id in named
        for entry in entries:
            worker = self.workers.setdefault(entry.worker, Worker(entry, now))
            if entry.booted != worker.booted:
                self._forget_copies(worker)
                worker.cap = ConcurrencyLimit()
                worker.ejected_until, worker.silent, worker.pace = 0, False, 1.0
            _, worker.zone, worker.cell, worker.booted, worker.usable = entry
            worker.turn = worker.zone != self.terms.zone, (worker.hash ^ self.salt) * MIX & MASK
        for worker in (w for w in self.fleet if not w.usable):
            self._forget_copies(worker)
        self.fleet = [w for w in self.workers.values() if w.usable]
        self.hashes = [w.hash for w in self.fleet]
        self.warming_up = [w for w in self.fleet if not self._warm(w, now)]
        self.orders.clear()
        self._flow_all(now)

    def endpoint_list_lost(self, now):
        self.asked = now - self.terms.guarantees.ask_within // 2 + int(self.chance() * self.look)

    def _forget_copies(self, worker):
        for fn in self.functions.values():
            fn.copies.pop(worker.id, None)

    def activation_arrived(self, now, arrival):
        act_id, key, type_name, customer, due, lanes, work, load_time = arrival
        fn = self.functions.get(key) or self.functions.setdefault(key, Function(key))
        fn.lanes, fn.called, fn.recent, fn.load_time = lanes, now, fn.recent + 1, load_time or fn.load_time
        self.recent.append(fn)
        if len(self.recent) > RECENT:
            self.recent.popleft().recent -= 1
        act = self.acts[act_id] = Activation(act_id, fn, self.terms.types[type_name], due, now, work, lanes)
        act.beyond = self._beyond_share(customer, now)
        self.hint += (work - self.hint) / len(self.recent)  # mean hint of what comes, as far as one is told
        self._hold(act, now)
        # Overload: a part of what finds no free lane is told at once to come back. What would wait here and
        # then at a crowded worker comes late or in vain and makes the rest late, and no cap of many
        # dispatchers can go under one send each. May hurt: work that a short jam would have let through.
        if act.held and self.turned and self.chance() < self.turned:
            self._give_up(act, now)
        if self.terms.reports_by_probe:
            known = (c.worker for c in fn.copies.values() if c.worker.usable)
            self._probe(sorted(known, key=lambda w: max(w.asked, w.read))[:1], now)

    def _probe(self, workers, now):
        """Asks those not heard of lately, where that is allowed; whether any is still to answer."""
        dear = self.terms.probe_fee > PROBES and self.chance() * self.terms.probe_fee > PROBES
        for worker in () if dear or not self.terms.allowed.probe else workers:
            if now - max(worker.asked, worker.read) > self.target // 2:
                worker.asked = now
                self.out.check_health(worker.id)
        return any(w.read < w.asked > now - self.sweep for w in workers)

    def _beyond_share(self, customer, now):  # whether it asks more here than our part
        if customer not in self.buckets:
            return False
        bucket = self.buckets[customer]
        tokens = min(bucket[0] + (now - bucket[1]) * bucket[2], 1 + bucket[2] * self.target)
        bucket[:2] = tokens - (tokens >= 1), now
        return tokens < 1

    def client_departed(self, now, act_id):
        """Its client took it back: it gives no right to loads any more."""
        if act := self.acts.get(act_id):
            self.taken.add(act.born, -1 if act.right else 0)
            act.right = None
            self._finish(act_id)

    def process_ending(self, now, act_id):
        """This dispatcher ends, and its time with it. The caller stops what is still out."""
        if act := self.acts.get(act_id):
            act.due = now
            self._give_up(act, now)

    def _finish(self, act_id):
        act = self.acts.pop(act_id)
        act.fn.drop(act)
        self._cancel_attempts(act)

    def stream_started(self, now, act_id, n, worker_id):
        if act_id in self.acts:
            self.acts[act_id].due, self.workers[worker_id].heard = 1 << 62, now

    def _cancel_attempts(self, act):
        for send in act.sends:  # no client waits for it any more
            if send.open and self.terms.allowed.cancel:
                self.out.cancel(act.id, send.n)
        self._break_cycle(act)

    def _break_cycle(self, act):  # act and sends name each other: left to the collector, thousands pile up
        if not act.out:
            act.sends, act.first_attempt = (), None

    def _give_up(self, act, now):
        """The final answer, at once, unless a send is out: a rejection where no effect can follow."""
        fn, type_ = act.fn, act.type
        fn.drop(act)
        if act.out or self.acts.pop(act.id, None) is None:
            return
        act.right = act.right or None  # too soon to count
        if (
            not act.first_attempt
            or type_.effect == Effect.REPEATABLE
            or type_.effect == Effect.DEDUPLICATED
            and type_.scope == Scope.ALL
        ):
            wait = (fn.service or self.usual) * (fn.waits + 1) // max(1, len(fn.copies) * fn.lanes)
            self.out.reject(
                act.id, min(wait, self.terms.allowed.max_retry_after) if self.terms.allowed.retry_after else 0
            )
        else:
            self.out.abort(act.id)
        self._cancel_attempts(act)

    def _may_send(self, act, now):
        """Whether the rules and what is allowed leave the activation another send anywhere."""
        if (
            len(act.sends) >= self.terms.allowed.sends
            or act.out
            and not self.terms.allowed.overlap
            or act.due - now <= max(self._expected_time(act) // 2, 2 * self.sweep)
        ):
            return False
        if act.first_attempt is None or act.type.effect == Effect.REPEATABLE:
            return True
        return act.type.effect == Effect.DEDUPLICATED and now < act.first_attempt.at + act.type.window

    def _may_run_on(self, act, worker):
        """Whether the worker is new to the activation, and in the group that the rules bind it to."""
        if any(s.worker is worker and s.ran for s in act.sends):
            return False
        if act.first_attempt is None or act.type.effect == Effect.REPEATABLE or act.type.scope == Scope.ALL:
            return True
        return getattr(worker, act.type.scope) == getattr(act.first_attempt.worker, act.type.scope)

    def _hold(self, act, now, front=False):
        fn = act.fn = self.functions.setdefault(act.fn.key, act.fn)
        if not act.held:
            (fn.held.appendleft if front else fn.held.append)(act)
            fn.waits += 1
        act.held, self.waiting[fn.key] = True, fn
        heappush(fn.ends, (self._ends(act), act))
        self._flow(fn, now)
        if fn.waits:
            self._wake(now, self.sweep)

    def _ends(self, act):
        """When it is to be given up unless it is sent before, by what is known now."""
        at = act.due - max(self._expected_time(act) // 2, 2 * self.sweep)
        if act.first_attempt and act.type.effect == Effect.DEDUPLICATED:
            at = min(at, act.first_attempt.at + act.type.window)
        return at if act.out else min(at, self._half(act) + 1)

    def _half(self, act):  # held unsent until then: its answer is there by half of its time
        return act.born + max(0, (act.due - act.born) // 2 - self.sweep)

    def _wake(self, now, wait):
        if self.next_wake > now + wait:  # an overdue one stands: its ring may follow
            self.next_wake = now + wait
            self.out.set_timer("sweep", wait)

    def _flow_all(self, now):
        for fn in list(self.waiting.values()):
            self._flow(fn, now)
        for fn in [f for f in self.waiting.values() if f.late or f.grown_at == now]:
            self._flow(fn, now, True)

    def _is_lesser(self, act, now):  # late, or beyond a share: flows after all fresh work
        return act.beyond or now - act.born + self._expected_time(act) > act.target

    def _flow(self, fn, now, spare=False):
        """Sends to free lanes, gives up what is out of time, then adds copies, or rejects at the limit."""
        if fn.waits:
            self._fill(fn, now, spare)
        while fn.ends and fn.ends[0][0] <= now:
            act = heappop(fn.ends)[1]
            if act.held and self.acts.get(act.id) is act:
                self._check(act, now)
        limit = max(FEW, int(LIMIT * len(self.fleet)))
        while fn.waits and now >= fn.pause:
            known = [
                c
                for c in fn.copies.values()
                if not c.worker.silent and now >= c.worker.ejected_until and not self._is_jammed(c.worker)
            ]
            lanes = sum(fn.lanes if c.loading else c.busy for c in known)
            if fn.waits <= BACKLOG * lanes or fn.copies and now - fn.first().born < self.target * LAG:
                break
            if len(known) >= limit:
                while fn.waits > 2 * BACKLOG * len(known) * fn.lanes:
                    self._give_up(fn.last(), now)
                break
            if known and not self._may_spread(fn, now) or not self._add_copy(fn, fn.first(), now):
                break
        if fn.tight and fn.copies and not fn.waits and now >= fn.pause and self._may_spread(fn, now):
            fn.tight = not self._add_copy(fn, None, now)
        if not fn.waits:
            self.waiting.pop(fn.key, None)

    def _is_jammed(self, worker):
        """It bears one send of ours and that late, where the fleet does not: copies there are of no use."""
        return (worker.cap.most or 2) <= 1 and worker.pace > CROWDED * max(1.0, self.pace)

    def _check(self, act, now):
        """It waits on, takes a lane that all fresh work of its function has left free, or is given up."""
        may = self._may_send(act, now)
        if may and (act.out or now <= self._half(act)):
            heappush(act.fn.ends, (max(now + 1, self._ends(act)), act))
        elif may and (copy := self._lane(act.fn, act, now)):
            act.fn.drop(act)
            self._send(act, copy, now)
        else:
            self._give_up(act, now)

    def _fill(self, fn, now, spare):
        """What is held goes to free lanes: resends first, fresh work, and with `spare` the lesser."""
        if not any(c.busy < fn.lanes for c in fn.copies.values()):
            fn.tight = False
            return
        for queue in (fn.held, fn.late) if spare else (fn.held,):
            kept = []
            while queue:
                act = queue.popleft()
                if not act.held:
                    continue
                if not spare and self._is_lesser(act, now):
                    fn.late.append(act)
                elif self._may_send(act, now):
                    copy = self._lane(fn, act, now)
                    if copy:
                        fn.drop(act)
                        self._send(act, copy, now)
                        continue
                    kept.append(act)
                    if not act.sends:  # a resend has fewer lanes: it blocks nobody
                        break
                else:
                    self._give_up(act, now)
            queue.extendleft(reversed(kept))

    def _may_spread(self, fn, now):  # copies push others out, such loads feed on each other: few at a time
        self.spreading = [(copy, until) for copy, until in self.spreading if copy.loading and now < until]
        at_once = max(1, int(AT_ONCE * len(self.fleet) / self.dispatchers))
        if now < self.spread_after or len(self.spreading) >= at_once:
            return False
        return not fn.waits or fn is max(
            self.waiting.values(), default=fn, key=lambda f: f.waits / (len(f.copies) or 1)
        )

    def _lane(self, fn, act, now):
        """The known copy with a free lane on the least loaded worker."""
        best, best_load = None, 0
        for copy in list(fn.copies.values()) * (not self.cap.full(self.out_now)):
            worker = copy.worker
            if not copy.busy and not copy.loading and now - copy.seen > self.terms.orders.keep:
                del fn.copies[worker.id]
                continue
            if (
                copy.busy >= act.lanes
                or now < copy.closed_until
                or not self._open(worker, now)
                or copy.loading
                and not self.terms.orders.loads_on_send
                or not self._may_run_on(act, worker)
            ):
                continue
            load = self._load(worker, now) + (worker.zone != self.terms.zone)
            if best is None or load < best_load:
                best, best_load = copy, load
        fn.tight = best_load > (1 if len(fn.copies) < self._wanted(fn) else TIGHT) * self.mean + 1
        return best

    def _load(self, worker, now):
        """Activations in hand: by report and pace against the fleet's, less the older they are."""
        fresh, pace = max(0, 1 - (now - worker.read) / (self.terms.orders.keep or 1)), worker.pace / self.pace
        if self.mean_report and worker.report is not None:
            pace *= worker.report / self.mean_report
        return self.mean * (1 + (pace - 1) * fresh) + len(worker.out) - worker.out_at_report * fresh

    def _wanted(self, fn):  # on how many workers others need it: by our own mix, doubted while new
        others = SPREAD * len(self.fleet) * (1 - 1 / self.dispatchers)
        return int(others * (fn.recent - 0.5) / (len(self.recent) + RECENT // 4))

    def _add_copy(self, fn, act, now):
        """One more copy, on the less loaded of the first two in hash order that hold none. What others need
        too begins anywhere among so many, our zone first: or all, each with a little, take the same."""
        o = self.terms.orders
        may_miss = now - fn.missed_at > o.keep and self.terms.allowed.sends > 1  # a miss uses up a send
        guess = (
            not fn.copies
            and (o.loads_on_send or may_miss)
            or act is not None
            and o.loads_on_send
            and not o.allowed
        )  # nothing else brings one
        may = not self.cap.full(self.out_now) if guess else self._may_order(now)
        two = self._first_two(fn, act, now) if may else ()
        if not two:
            fn.pause = now + int(self.target * LAG)
        if not two or self._probe(two, now):  # placed once they answer, or at the next sweep
            return False
        worker = two[-1 if TIGHT * self._load(two[-1], now) < self._load(two[0], now) else 0]
        copy = Copy(worker, now)
        if fn.copies:
            self.spreading.append((copy, now + 2 * max(self.target, fn.load_time)))
        fn.copies[worker.id], fn.grown_at = copy, now
        copy.loading = max(1, now) * (o.loads_on_send or not guess)
        if guess:  # another dispatcher's copy may stand there
            fn.drop(act)
            self._send(act, copy, now)
        return guess or self._order(fn, worker, now)

    def _first_two(self, fn, act, now):
        return list(
            islice(
                (
                    w
                    for w in self._order_of(fn)
                    if w.id not in fn.copies
                    and w.loading < 2
                    and now >= w.loads_full_until
                    and self._open(w, now)
                    and (act is None or self._may_run_on(act, w) and w not in act.full)
                ),
                2,
            )
        )

    def prefetch(self, now, key, lanes, load_time):
        """The planner's wish for one copy ahead of a call: the worker that it is ordered on, or None. Never
        where something real waits, answers are slow or loads fail; of the ration it gets a part (`EARLY`)."""
        fn = self.functions.setdefault(key, Function(key))
        fn.lanes, fn.load_time = lanes, load_time or fn.load_time
        quiet = not self.waiting and self.slow <= 0.5 and now >= max(fn.pause, self.spread_after)
        two = self._first_two(fn, None, now) if quiet and self._may_order(now, EARLY) else ()
        if not two:
            return None
        worker = min(two, key=lambda w: self._load(w, now))
        copy = fn.copies[worker.id] = Copy(worker, now)
        copy.loading = max(1, now)
        self._order(fn, worker, now)
        return worker.id

    def _order_of(self, fn):  # the fleet in the function's hash order
        some = max(0, self._wanted(fn))  # fewer than two: nothing to begin anywhere
        order = self.orders.get(fn.key, ())
        if len(order) < min(some + FEW, len(self.fleet)):
            if len(self.orders) >= ORDERS:
                del self.orders[next(iter(self.orders))]
            order = self.orders[fn.key] = self._first_in_order(fn, some + FEW)
        if some > 1:  # begun anywhere
            yield from sorted(islice(order, some), key=attrgetter("turn"))
        yield from islice(order, some if some > 1 else 0, None)
        if len(order) < len(self.fleet):
            yield from islice(self._first_in_order(fn, len(self.fleet)), len(order), None)

    def _first_in_order(self, fn, count):
        """So many at least of the fleet, by rank. Ranks are spread evenly: only those under a limit that a
        few more will be under are sorted, so that a large fleet costs one multiplication a worker."""
        salt, mix, mask, size = fn.hash, MIX, MASK, len(self.fleet)
        limit = (count + count // 4 + SPARE) * (MASK + 1) // max(1, size)
        ranks = [
            rank << 20 | n
            for n, hash_ in enumerate(self.hashes)
            if (rank := (hash_ ^ salt) * mix & mask) < limit
        ]
        if len(ranks) < min(count, size):
            ranks = [((hash_ ^ salt) * mix & mask) << 20 | n for n, hash_ in enumerate(self.hashes)]
        ranks.sort()
        return [self.fleet[rank & 0xFFFFF] for rank in ranks]

    def _open(self, worker, now):
        """Whether the worker may be given anything: listed, neither resting nor silent, within its cap."""
        return (
            worker.usable
            and not worker.silent
            and now >= worker.ejected_until
            and not worker.cap.full(len(worker.out))
            and self._cold_room(worker, now) > 0
        )

    def _warm(self, worker, now):
        return not worker.booted or max(0, now - worker.booted) >= self.terms.guarantees.cold

    def _cold_room(self, worker, now):
        """Our part of what a cold worker bears, in each `fall` since its start: as much as we make a warm one
        do, or our part of one core. A part under one send is drawn, so that all together keep the budget."""
        if self._warm(worker, now) or not (g := self.terms.guarantees).fall:
            return 1
        slot = max(0, now - worker.booted) // g.fall
        if slot != worker.slot:
            part = g.cold_from + (1 - g.cold_from) * slot * g.fall / g.cold
            warm_time = max(self.warm_time.least(now), max(1, self.warm) * g.cold)
            work = max(self.usual, self.hint or self.answer_time)  # no hint: `usual` may be a guess
            rate = max(self.done.least(now) / warm_time, 1 / work / self.dispatchers)
            worker.slot, worker.room = slot, int(g.fall_multiple / 3 * part * rate * g.fall + self.chance())
        return worker.room

    def _send(self, act, copy, now):
        worker, send = copy.worker, Attempt(act, copy, now)
        act.sends.append(send)
        self._ripen(now, act)
        act.out, act.first_attempt = act.out + 1, act.first_attempt or send
        copy.busy, copy.seen = copy.busy + 1, now
        self.owing_answers[worker.id] = worker
        worker.out[act.id, send.n], self.out_now = send, self.out_now + 1
        worker.loading, worker.room = worker.loading + send.cold, worker.room - 1
        self.out.send(act.id, worker.id, 0)

    def _ripen(self, now, act=None):  # what was sent for what exists, and stayed, gives its right
        if act and act.fn.real and act.right is None and self.acts.get(act.id) is act:
            act.right = False
            self.ripe.append((now + min(int(self.target * LAG), self.terms.orders.period // SLOTS), act))
        while self.ripe and self.ripe[0][0] <= now:
            act = self.ripe.popleft()[1]
            if act.right is False:
                act.right = True
                self.taken.add(act.born)

    def _may_order(self, now, part=1.0):
        self._ripen(now)
        o, most = self.terms.orders, self.loads.most(now)
        return o.allowed and (not o.period or most + 1 <= part * (o.free + o.part * self.taken.least(now)))

    def may_load_order_leave(self, now, given):
        """Whether the ration bears that an order given at `given` leaves only now. Asked at any time."""
        self.loads.add(given, -1)
        may = self._may_order(now)
        self.loads.add(now if may else given)
        return may

    def load_order_withdrawn(self, now, given):
        """An order that was given at `given` never left; asked as `may_load_order_leave` is."""
        self.loads.add(given, -1)

    def load_orders_restored(self, now, orders):
        """An earlier life ordered so many loads in the last period: they count as of now."""
        self.loads.add(now, orders)

    def _order(self, fn, worker, now):
        if worker.usable and self._may_order(now):
            self.loads.add(now)
            self.out.order_load(worker.id, fn.key, 1)
            return True

    def _read(self, worker, report, now):
        if report:
            worker.out_at_report, worker.read = len(worker.out), now
            if "running" in report or "waiting" in report:  # what is not told is not none
                worker.report = sum(report.get(k, 0) for k in ("running", "waiting", "loads", "cores"))
            elif "cores" in report:
                worker.report = report["cores"]
            if worker.report is not None:
                self.mean_report = (15 * (self.mean_report or worker.report) + worker.report) / 16

    def _expected_time(self, act):  # its usual time, by its own hint where there is one
        return int(act.work * self.mean_time / self.mean_hint) if act.work else (act.fn.service or self.usual)

    def _late(self, act):  # an answer that took so long is slow
        return max(CROWDED * self._expected_time(act), act.target // 3)

    def attempt_ended(self, now, end):
        act_id, n, worker_id, code, note, over, took, report = end
        worker = self.workers.get(worker_id)
        lost = worker.lost.pop((act_id, n), None) if worker else None
        send = lost or worker and worker.out.pop((act_id, n), None)
        if not send:
            return
        act, fn = send.act, send.act.fn
        send.open, act.out = False, act.out - 1
        if not lost:
            self._released(send)
        if code in NEVER_RAN:
            send.ran = False
            if not any(s.ran for s in act.sends):  # even if disproved
                act.first_attempt = None
        fn.real = fn.real or code in (EndReason.COMPLETED, EndReason.MISSING)
        self._ripen(now, act)
        self._read(worker, report, now)
        if code not in (EndReason.TIMED_OUT, EndReason.CANCELLED, EndReason.NOT_SENT):
            worker.heard, worker.silent = now, False
        if code == EndReason.COMPLETED:
            self._completed(now, send, note, took)
        elif code not in (EndReason.CANCELLED, EndReason.NOT_SENT) and not (
            lost and code == EndReason.TIMED_OUT
        ):
            self._failed(now, send, code, note)
        if over:
            if act_id in self.acts:
                self._finish(act_id)
        elif self.acts.get(act_id) is act and not act.out:
            if self._may_send(act, now):
                self._hold(act, now, front=True)
            else:
                self._give_up(act, now)
        elif act_id not in self.acts:
            self._break_cycle(act)
        self._flow(fn, now)

    def _released(self, send):
        send.copy.busy, self.out_now = send.copy.busy - 1, self.out_now - 1
        send.worker.loading -= send.cold

    def _completed(self, now, send, note, took):
        fn, copy, worker = send.act.fn, send.copy, send.worker
        worker.latest = max(worker.latest, send.at)
        self.answers = min(self.answers + 1, RECENT)
        self.answer_time += (took - self.answer_time) / self.answers
        self.done.add(now, self._warm(worker, now))
        if worker.usable:
            copy = fn.copies.setdefault(worker.id, copy)
        copy.loading, copy.seen, copy.errors, worker.silences = 0, now, 0, 0
        if note == CopyNote.FOUND_WARM or note == 0 and not send.cold:
            part = 1 / (64 * (1 + send.ahead) ** 2) / (16 if self.slow > 0.5 else 1)  # a jam is not usual
            fn.service = int(fn.service + (took - fn.service) * 8 * part) if fn.service else took
            self.usual = int(self.usual + (took - self.usual) * part)
            if send.act.work:
                self.mean_hint += (send.act.work - self.mean_hint) * part
                self.mean_time += (took - self.mean_time) * part
            self._pace(worker, took, self._expected_time(send.act), now)
        if not send.cold and note < CopyNote.BEGAN_LOAD:
            self._slow(took > self._late(send.act), send, now)

    def _pace(self, worker, took, need, now):
        """Caps what a worker holds of ours by how its answers compare with the usual: against crowding."""
        pace = min((4 * took + self.usual) / (4 * need + self.usual), 8)  # rough hints of little count less
        worker.pace, worker.read = worker.pace + (pace - worker.pace) / 8, now
        self.pace += (pace - self.pace) / 64
        worker.cap.answered(worker.pace > CROWDED, len(worker.out), now, now - self.usual)

    def _slow(self, slow, send, now):
        """Most answers slow: it is not single workers. Fewer sends at once, and the rest waits here."""
        if slow and self._is_jammed(send.worker):  # what it is known for tells nothing of the fleet
            return
        self.slow += (slow - self.slow) / 16
        least = max(1.0, 2 * len(self.fleet) / self.dispatchers)  # two sends for each worker
        self.cap.answered(self.slow > 0.5, self.out_now, now, send.at, least)
        self.turned = min(MOST_TURNED, TURN * max(0.0, self.slow - BEARABLE))

    def _failed(self, now, send, code, note):
        """A fast error must not free its lane and draw the backlog: its copy stays shut, longer each time."""
        fn, copy, worker = send.act.fn, send.copy, send.worker
        # One connection of several may be reset, or cut for what came on it: who has just answered lives.
        if code == EndReason.RESET and min(send.at, now - self.usual) < worker.read:
            code = EndReason.ERROR
        if (
            code in (EndReason.MISSING, EndReason.RESET, EndReason.NO_CONNECTION)
            or note == CopyNote.LOAD_FAILED
            or code == EndReason.FULL
            and copy.loading
        ):  # turned away: no load began
            copy.loading = 0
            if fn.copies.get(worker.id) is copy:
                del fn.copies[worker.id]
        if note == CopyNote.LOAD_FAILED:
            self._load_failed(fn, now)
        if code == EndReason.MISSING:
            fn.missed_at = now
            return
        copy.closed_until = now + ((fn.service or self.usual) << min(copy.errors, 6))
        copy.errors += 1
        if code == EndReason.FULL or not send.cold and now - send.at > self._late(send.act):
            self._slow(True, send, now)
        if code == EndReason.FULL:
            send.act.full += (worker,)
            worker.pace, worker.read, fn.tight = min(8, worker.pace * 2), now, True
            worker.cap.answered(True, len(worker.out) - 1, now, now)
        if code in (EndReason.RESET, EndReason.NO_CONNECTION):
            worker.ejected_until = now + self.target // 4
            self._forget_copies(worker)

    def load_order_ended(self, now, worker_id, key, code, copies):
        worker, fn = self.workers.get(worker_id), self.functions.get(key)
        if not worker or not fn:
            return
        if code not in (EndReason.TIMED_OUT, EndReason.RESET, EndReason.NO_CONNECTION):
            worker.heard, worker.silent = now, False
        copy = fn.copies.get(worker_id)
        if copies and worker.usable:
            copy = fn.copies.setdefault(worker_id, Copy(worker, now))
            fn.load_time = fn.load_time or copy.loading and now - copy.loading  # where nothing tells it
            copy.loading, copy.seen = 0, now
        elif copy and copy.loading:
            fn.copies.pop(worker_id).loading = 0
            if code in (EndReason.FULL, EndReason.NOT_SENT):  # its own loads wait, or it never left us
                worker.loads_full_until, fn.pause = now + self.target // 2, now + int(self.target * LAG)
            else:
                self._load_failed(fn, now)
        self._flow(fn, now)

    def _load_failed(self, fn, now):
        """A crowded store turns fetches away and stops when pushed: ask less, above all further copies."""
        fn.pause, self.spread_after = now + self.target // 4, now + 2 * self.target

    def health_check_ended(self, now, worker_id, code, report):
        if worker_id in self.workers and code == EndReason.COMPLETED:
            self._read(self.workers[worker_id], report, now)
        self._flow_all(now)

    def timer_fired(self, now, mark):
        if now < self.next_wake:  # replaced by an earlier one
            return
        self.next_wake = LONG << 12
        try:
            if now >= self.next_look:
                self._look(now)
            self._flow_all(now)
        finally:  # whatever fails, the sweeps go on
            self._wake(now, self._rest(now) if self.waiting else max(self.sweep, self.next_look - now))

    def _rest(self, now):  # until the next sweep, or what is to be given up before it
        first = min((fn.ends[0][0] for fn in self.waiting.values() if fn.ends), default=now + self.sweep)
        return min(self.sweep, max(first - now, self.terms.tick))

    def _look(self, now):
        """What is due now and then, and must cost little on a large fleet."""
        self.warm_time.add(now, self.warm * (now - self.next_look + self.look // 8))  # since the last one
        g, self.next_look = self.terms.guarantees, now + self.look // 8
        self.mean += (self.out_now * self.dispatchers / max(1, len(self.fleet)) - self.mean) / 16
        self.warming_up = [w for w in self.warming_up if not self._warm(w, now)]
        self.warm = len(self.fleet) - len(self.warming_up)
        for worker in list(self.owing_answers.values()):
            self._watch(worker, now)
        if self.terms.asks and now - self.asked > g.ask_within // 2:
            self.asked = now
            self.out.request_endpoint_list()
        if now >= self.next_tidy:
            self.next_tidy = now + self.terms.orders.keep // 16
            self._tidy(now)

    def _watch(self, worker, now):
        """Who owes answers and gives none gets nothing new; what it holds a second send if it may repeat."""
        if not worker.out:
            del self.owing_answers[worker.id]
            if worker.silent:  # tried again later each time, by one send
                worker.silent, worker.silences, worker.cap.most = False, min(worker.silences + 1, 4), 1.0
                worker.ejected_until = now + (self.target << worker.silences)
            return
        first = next(iter(worker.out.values()))
        usual = 6 * (first.act.fn.service or self.usual) + self._loads(first)
        if now - max(worker.heard, first.at) > max(usual, self.target):
            worker.silent = True
            for send in list(worker.out.values()):
                self._hedge(send.act, now)
            return
        for key, send in list(worker.out.items()):  # overtaken by far: the answer is lost, the lane not
            if send.at + self.target > worker.latest:
                break
            if send.at + 6 * self._expected_time(send.act) + self._loads(send) < worker.latest:
                worker.lost[key] = worker.out.pop(key)
                self._released(send)
                self._hedge(send.act, now)

    def _loads(self, send):  # what a send that began a load is given for it
        return 3 * send.cold * (send.act.fn.load_time or self.target)

    def _hedge(self, act, now):
        if (
            self.acts.get(act.id) is act
            and act.out == 1
            and not act.held
            and act.type.effect != Effect.ONCE_ONLY
            and self._may_send(act, now)
        ):
            self._hold(act, now, front=True)

    def _tidy(self, now):
        keep = self.terms.orders.keep
        for fn in list(self.functions.values()):
            for copy in list(fn.copies.values()):
                load = 3 * fn.load_time if copy.loading else 0  # it may take longer than idle ones stay
                if not copy.busy and now - max(copy.seen, copy.loading) > max(keep, load):
                    del fn.copies[copy.worker.id]
                elif (
                    not copy.busy
                    and not copy.loading
                    and now - copy.seen > keep * 3 // 4
                    and now - fn.called < keep < now - copy.renewed
                ):
                    copy.renewed = now
                    if self.chance() * self.dispatchers < 1 and self._open(copy.worker, now):  # one for all
                        self._order(fn, copy.worker, now)
            if not fn.copies and not fn.waits and not fn.recent and now - fn.called > keep:
                del self.functions[fn.key]
        self.workers = {w.id: w for w in self.workers.values() if w.usable or w.out or w.lost}
