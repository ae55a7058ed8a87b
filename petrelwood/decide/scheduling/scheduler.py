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

from petrelwood.decide.scheduling.records import (
    LONG_TIME,
    NEVER,
    Activation,
    Attempt,
    Copy,
    Function,
    LoadCredit,
    Worker,
)
from petrelwood.decide.scheduling.send_limit import SendLimit
from petrelwood.decide.scheduling.window_counter import BUCKETS, BackdatedCounter
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
ORDERS, SPARE = 64, 32  # functions whose first workers in hash order are cached, at least so many each
MIX, MASK = 0x9E3779B1, 0xFFFFFFFF  # spread the bits of a hash


class Scheduler:
    def __init__(self, now, terms, seed, outlet):
        self.terms, self.outlet, self.draw = terms, outlet, Random(seed).random
        self.workers, self.functions, self.activations, self.recent_functions, self.functions_waiting = (
            {},
            {},
            {},
            deque(),
            {},
        )
        self.dispatchers, self.target_latency = (
            terms.dispatchers,
            min(t.target_latency for t in terms.types.values()),
        )
        # Where the list must be asked for, looks keep up with that too: a target latency may be far longer.
        self.look_interval = (
            min(self.target_latency, terms.guarantees.ask_within) if terms.asks else self.target_latency
        )
        self.sweep_interval = max(terms.tick, self.look_interval // 50)
        self.usual_service_time, self.mean_worker_load, self.mean_reported_load = (
            self.target_latency // 4,
            1.0,
            None,
        )
        self.mean_arriving_work, self.mean_work, self.mean_work_time = (
            0,
            self.target_latency / 8,
            self.target_latency / 8,
        )
        self.answers, self.mean_answer_time = 0, 0  # those completed here, their mean time
        cold, period = terms.guarantees.cold, terms.orders.period or 1
        self.warm_answers = BackdatedCounter(cold)  # answers of warm workers,
        self.warm_worker_time = BackdatedCounter(cold)  # and their time in all
        self.credited_activations, self.orders_given, self.pending_credits = (
            BackdatedCounter(period),
            BackdatedCounter(period),
            deque(),
        )
        self.quota_buckets = (
            {}
            if terms.beyond >= 1
            else {c: [1, now, SLACK / 1e9 / terms.dispatchers * q] for c, q in terms.quotas.items()}
        )
        self.owing_answers = {}  # workers with sends out
        self.usable_workers, self.hashes, self.warm_workers, self.in_flight, self.copies_loading = (
            [],
            [],
            1,
            0,
            [],
        )
        self.warming_up, self.first_in_order = [], {}  # of the fleet; by function: its first in hash order
        self.shed_probability = self.slow_share = 0.0  # the part that is turned away at once; of answers
        self.send_limit = SendLimit()
        self.salt, self.list_requested_at, self.mean_relative_latency = (
            int(self.draw() * MASK),
            now - LONG_TIME,
            1.0,
        )
        self.timer_at, self.no_further_copies_until, self.next_look, self.next_tidy = NEVER, now, now, now
        self._wake(now, self.sweep_interval)

    def endpoints_changed(self, now, entries, whole):
        if whole:
            named = {e.worker for e in entries}
            for worker in self.usable_workers:
                worker.is_usable = worker.id in named
        for entry in entries:
            worker = self.workers.get(entry.worker)
            if worker is None:
                worker = self.workers[entry.worker] = Worker(*entry, now)
            if entry.booted != worker.booted:
                self.forget_copies(worker)
                worker.restarted()
            _, worker.zone, worker.cell, worker.booted, worker.is_usable = entry
            worker.preference = worker.zone != self.terms.zone, (worker.hash ^ self.salt) * MIX & MASK
        for worker in (w for w in self.usable_workers if not w.is_usable):
            self.forget_copies(worker)
        self.usable_workers = [w for w in self.workers.values() if w.is_usable]
        self.hashes = [w.hash for w in self.usable_workers]
        self.warming_up = [w for w in self.usable_workers if not self._is_warm(w, now)]
        self.first_in_order.clear()
        self._dispatch_all(now)

    def endpoint_list_lost(self, now):
        self.list_requested_at = (
            now - self.terms.guarantees.ask_within // 2 + int(self.draw() * self.look_interval)
        )

    def forget_copies(self, worker):
        for fn in self.functions.values():
            fn.copies.pop(worker.id, None)

    def activation_arrived(self, now, arrival):
        act_id, key, type_name, customer, due, lanes, work, load_time = arrival
        fn = self.functions.get(key) or self.functions.setdefault(key, Function(key))
        fn.slots, fn.called_at, fn.recent_calls, fn.load_time = (
            lanes,
            now,
            fn.recent_calls + 1,
            load_time or fn.load_time,
        )
        self.recent_functions.append(fn)
        if len(self.recent_functions) > RECENT:
            self.recent_functions.popleft().recent_calls -= 1
        type_ = self.terms.types[type_name]
        target = min(type_.target_latency + int(type_.stretch * work), type_.timeout or LONG_TIME)
        act = self.activations[act_id] = Activation(act_id, fn, type_, due, now, work, lanes, target)
        act.is_over_quota = self._exceeds_quota(customer, now)
        self.mean_arriving_work += (work - self.mean_arriving_work) / len(
            self.recent_functions
        )  # mean hint of what comes, as far as one is told
        self._enqueue(act, now)
        # Overload: a part of what finds no free lane is told at once to come back. What would wait here and
        # then at a crowded worker comes late or in vain and makes the rest late, and no cap of many
        # dispatchers can go under one send each. May hurt: work that a short jam would have let through.
        if act.is_queued and self.shed_probability and self.draw() < self.shed_probability:
            self._give_up(act, now)
        if self.terms.reports_by_probe:
            known = (c.worker for c in fn.copies.values() if c.worker.is_usable)
            self._check_health(
                sorted(known, key=lambda w: max(w.health_checked_at, w.load_known_at))[:1], now
            )

    def _check_health(self, workers, now):
        """Asks those not heard of lately, where that is allowed; whether any is still to answer."""
        dear = self.terms.probe_fee > PROBES and self.draw() * self.terms.probe_fee > PROBES
        for worker in () if dear or not self.terms.allowed.probe else workers:
            if now - max(worker.health_checked_at, worker.load_known_at) > self.target_latency // 2:
                worker.health_checked_at = now
                self.outlet.check_health(worker.id)
        return any(w.load_known_at < w.health_checked_at > now - self.sweep_interval for w in workers)

    def _exceeds_quota(self, customer, now):  # whether it asks more here than our part
        if customer not in self.quota_buckets:
            return False
        bucket = self.quota_buckets[customer]
        tokens = min(bucket[0] + (now - bucket[1]) * bucket[2], 1 + bucket[2] * self.target_latency)
        bucket[:2] = tokens - (tokens >= 1), now
        return tokens < 1

    def client_departed(self, now, act_id):
        """Its client took it back: it gives no right to loads any more."""
        if act := self.activations.get(act_id):
            self.credited_activations.add(act.arrived_at, -1 if act.load_credit is LoadCredit.COUNTED else 0)
            act.load_credit = LoadCredit.NONE
            self._finish(act_id)

    def process_ending(self, now, act_id):
        """This dispatcher ends, and its time with it. The caller stops what is still out."""
        if act := self.activations.get(act_id):
            act.due = now
            self._give_up(act, now)

    def _finish(self, act_id):
        act = self.activations.pop(act_id)
        act.function.dequeue(act)
        self._cancel_attempts(act)

    def stream_started(self, now, act_id, n, worker_id):
        if act_id in self.activations:
            self.activations[act_id].due, self.workers[worker_id].answered_at = NEVER, now

    def _cancel_attempts(self, act):
        for send in act.attempts:  # no client waits for it any more
            if send.is_in_flight and self.terms.allowed.cancel:
                self.outlet.cancel(act.id, send.number)
        self._break_cycle(act)

    def _break_cycle(self, act):  # act and sends name each other: left to the collector, thousands pile up
        if not act.in_flight:
            act.attempts.clear()
            act.first_attempt = None

    def _give_up(self, act, now):
        """The final answer, at once, unless a send is out: a rejection where no effect can follow."""
        fn, type_ = act.function, act.type
        fn.dequeue(act)
        if act.in_flight or self.activations.pop(act.id, None) is None:
            return
        if act.load_credit is LoadCredit.PENDING:
            act.load_credit = LoadCredit.NONE  # too soon to count
        if (
            not act.first_attempt
            or type_.effect == Effect.REPEATABLE
            or type_.effect == Effect.DEDUPLICATED
            and type_.scope == Scope.ALL
        ):
            wait = (
                (fn.service_time or self.usual_service_time)
                * (fn.queued + 1)
                // max(1, len(fn.copies) * fn.slots)
            )
            self.outlet.reject(
                act.id, min(wait, self.terms.allowed.max_retry_after) if self.terms.allowed.retry_after else 0
            )
        else:
            self.outlet.abort(act.id)
        self._cancel_attempts(act)

    def _may_send(self, act, now):
        """Whether the rules and what is allowed leave the activation another send anywhere."""
        if (
            len(act.attempts) >= self.terms.allowed.sends
            or act.in_flight
            and not self.terms.allowed.overlap
            or act.due - now <= max(self._expected_time(act) // 2, 2 * self.sweep_interval)
        ):
            return False
        if act.first_attempt is None or act.type.effect == Effect.REPEATABLE:
            return True
        return act.type.effect == Effect.DEDUPLICATED and now < act.first_attempt.sent_at + act.type.window

    def _may_run_on(self, act, worker):
        """Whether the worker is new to the activation, and in the group that the rules bind it to."""
        if any(s.worker is worker and s.may_have_run for s in act.attempts):
            return False
        if act.first_attempt is None or act.type.effect == Effect.REPEATABLE or act.type.scope == Scope.ALL:
            return True
        return worker.is_in_group_of(act.first_attempt.worker, act.type.scope)

    def _enqueue(self, act, now, front=False):
        fn = act.function = self.functions.setdefault(act.function.key, act.function)
        if not act.is_queued:
            (fn.queue.appendleft if front else fn.queue.append)(act)
            fn.queued += 1
        act.is_queued, self.functions_waiting[fn.key] = True, fn
        heappush(fn.expiries, (self._expiry(act), act))
        self._dispatch(fn, now)
        if fn.queued:
            self._wake(now, self.sweep_interval)

    def _expiry(self, act):
        """When it is to be given up unless it is sent before, by what is known now."""
        at = act.due - max(self._expected_time(act) // 2, 2 * self.sweep_interval)
        if act.first_attempt and act.type.effect == Effect.DEDUPLICATED:
            at = min(at, act.first_attempt.sent_at + act.type.window)
        return at if act.in_flight else min(at, self._unsent_expiry(act) + 1)

    def _unsent_expiry(self, act):  # held unsent until then: its answer is there by half of its time
        return act.arrived_at + max(0, (act.due - act.arrived_at) // 2 - self.sweep_interval)

    def _wake(self, now, wait):
        if self.timer_at > now + wait:  # an overdue one stands: its ring may follow
            self.timer_at = now + wait
            self.outlet.set_timer("sweep", wait)

    def _dispatch_all(self, now):
        for fn in list(self.functions_waiting.values()):
            self._dispatch(fn, now)
        for fn in [
            f for f in self.functions_waiting.values() if f.low_priority_queue or f.copy_added_at == now
        ]:
            self._dispatch(fn, now, True)

    def _is_low_priority(self, act, now):  # late, or beyond a share: flows after all fresh work
        return act.is_over_quota or now - act.arrived_at + self._expected_time(act) > act.target_latency

    def _dispatch(self, fn, now, spare=False):
        """Sends to free lanes, gives up what is out of time, then adds copies, or rejects at the limit."""
        if fn.queued:
            self._send_queued(fn, now, spare)
        while fn.expiries and fn.expiries[0][0] <= now:
            act = heappop(fn.expiries)[1]
            if act.is_queued and self.activations.get(act.id) is act:
                self._check_expired(act, now)
        limit = max(FEW, int(LIMIT * len(self.usable_workers)))
        while fn.queued and now >= fn.placement_paused_until:
            known = [
                c
                for c in fn.copies.values()
                if not c.worker.is_unresponsive
                and now >= c.worker.ejected_until
                and not self._is_crowded(c.worker)
            ]
            lanes = sum(fn.slots if c.loading_since else c.in_flight for c in known)
            if (
                fn.queued <= BACKLOG * lanes
                or fn.copies
                and now - fn.oldest_queued().arrived_at < self.target_latency * LAG
            ):
                break
            if len(known) >= limit:
                while fn.queued > 2 * BACKLOG * len(known) * fn.slots:
                    self._give_up(fn.newest_queued(), now)
                break
            if known and not self._may_spread(fn, now) or not self._add_copy(fn, fn.oldest_queued(), now):
                break
        if (
            fn.wants_copy
            and fn.copies
            and not fn.queued
            and now >= fn.placement_paused_until
            and self._may_spread(fn, now)
        ):
            fn.wants_copy = not self._add_copy(fn, None, now)
        if not fn.queued:
            self.functions_waiting.pop(fn.key, None)

    def _is_crowded(self, worker):
        """It bears one send of ours and that late, where the fleet does not: copies there are of no use."""
        return (worker.send_limit.limit or 2) <= 1 and worker.relative_latency > CROWDED * max(
            1.0, self.mean_relative_latency
        )

    def _check_expired(self, act, now):
        """It waits on, takes a lane that all fresh work of its function has left free, or is given up."""
        may = self._may_send(act, now)
        if may and (act.in_flight or now <= self._unsent_expiry(act)):
            heappush(act.function.expiries, (max(now + 1, self._expiry(act)), act))
        elif may and (copy := self._find_free_copy(act.function, act, now)):
            act.function.dequeue(act)
            self._send(act, copy, now)
        else:
            self._give_up(act, now)

    def _send_queued(self, fn, now, spare):
        """What is held goes to free lanes: resends first, fresh work, and with `spare` the lesser."""
        if not any(c.in_flight < fn.slots for c in fn.copies.values()):
            fn.wants_copy = False
            return
        for queue in (fn.queue, fn.low_priority_queue) if spare else (fn.queue,):
            kept = []
            while queue:
                act = queue.popleft()
                if not act.is_queued:
                    continue
                if not spare and self._is_low_priority(act, now):
                    fn.low_priority_queue.append(act)
                elif self._may_send(act, now):
                    copy = self._find_free_copy(fn, act, now)
                    if copy:
                        fn.dequeue(act)
                        self._send(act, copy, now)
                        continue
                    kept.append(act)
                    if not act.attempts:  # a resend has fewer lanes: it blocks nobody
                        break
                else:
                    self._give_up(act, now)
            queue.extendleft(reversed(kept))

    def _may_spread(self, fn, now):  # copies push others out, such loads feed on each other: few at a time
        self.copies_loading = [
            (copy, until) for copy, until in self.copies_loading if copy.loading_since and now < until
        ]
        at_once = max(1, int(AT_ONCE * len(self.usable_workers) / self.dispatchers))
        if now < self.no_further_copies_until or len(self.copies_loading) >= at_once:
            return False
        return not fn.queued or fn is max(
            self.functions_waiting.values(), default=fn, key=lambda f: f.queued / (len(f.copies) or 1)
        )

    def _find_free_copy(self, fn, act, now):
        """The known copy with a free lane on the least loaded worker."""
        best, best_load = None, 0
        for copy in list(fn.copies.values()) * (not self.send_limit.is_reached(self.in_flight)):
            worker = copy.worker
            if (
                not copy.in_flight
                and not copy.loading_since
                and now - copy.last_seen > self.terms.orders.keep
            ):
                del fn.copies[worker.id]
                continue
            if (
                copy.in_flight >= act.slots
                or now < copy.backoff_until
                or not self._accepts(worker, now)
                or copy.loading_since
                and not self.terms.orders.loads_on_send
                or not self._may_run_on(act, worker)
            ):
                continue
            load = self._worker_load(worker, now) + (worker.zone != self.terms.zone)
            if best is None or load < best_load:
                best, best_load = copy, load
        fn.wants_copy = (
            best_load > (1 if len(fn.copies) < self._wanted_copies(fn) else TIGHT) * self.mean_worker_load + 1
        )
        return best

    def _worker_load(self, worker, now):
        """Activations in hand: by report and pace against the fleet's, less the older they are."""
        fresh, pace = (
            max(0, 1 - (now - worker.load_known_at) / (self.terms.orders.keep or 1)),
            worker.relative_latency / self.mean_relative_latency,
        )
        if self.mean_reported_load and worker.reported_load is not None:
            pace *= worker.reported_load / self.mean_reported_load
        return (
            self.mean_worker_load * (1 + (pace - 1) * fresh)
            + len(worker.in_flight)
            - worker.in_flight_at_report * fresh
        )

    def _wanted_copies(self, fn):  # on how many workers others need it: by our own mix, doubted while new
        others = SPREAD * len(self.usable_workers) * (1 - 1 / self.dispatchers)
        return int(others * (fn.recent_calls - 0.5) / (len(self.recent_functions) + RECENT // 4))

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
        may = not self.send_limit.is_reached(self.in_flight) if guess else self._may_order(now)
        two = self._find_candidates(fn, act, now) if may else ()
        if not two:
            fn.placement_paused_until = now + int(self.target_latency * LAG)
        if not two or self._check_health(two, now):  # placed once they answer, or at the next sweep
            return False
        worker = two[-1 if TIGHT * self._worker_load(two[-1], now) < self._worker_load(two[0], now) else 0]
        copy = Copy(worker, now, now)
        if fn.copies:
            self.copies_loading.append((copy, now + 2 * max(self.target_latency, fn.load_time)))
        fn.copies[worker.id], fn.copy_added_at = copy, now
        copy.loading_since = max(1, now) * (o.loads_on_send or not guess)
        if guess:  # another dispatcher's copy may stand there
            fn.dequeue(act)
            self._send(act, copy, now)
        return guess or self._order_load(fn, worker, now)

    def _find_candidates(self, fn, act, now):
        return list(
            islice(
                (
                    w
                    for w in self._workers_in_order(fn)
                    if w.id not in fn.copies
                    and w.cold_attempts < 2
                    and now >= w.loads_refused_until
                    and self._accepts(w, now)
                    and (act is None or self._may_run_on(act, w) and w not in act.full_workers)
                ),
                2,
            )
        )

    def prefetch(self, now, key, lanes, load_time):
        """The planner's wish for one copy ahead of a call: the worker that it is ordered on, or None. Never
        where something real waits, answers are slow or loads fail; of the ration it gets a part (`EARLY`)."""
        fn = self.functions.setdefault(key, Function(key))
        fn.slots, fn.load_time = lanes, load_time or fn.load_time
        quiet = (
            not self.functions_waiting
            and self.slow_share <= 0.5
            and now >= max(fn.placement_paused_until, self.no_further_copies_until)
        )
        two = self._find_candidates(fn, None, now) if quiet and self._may_order(now, EARLY) else ()
        if not two:
            return None
        worker = min(two, key=lambda w: self._worker_load(w, now))
        copy = fn.copies[worker.id] = Copy(worker, now, now)
        copy.loading_since = max(1, now)
        self._order_load(fn, worker, now)
        return worker.id

    def _workers_in_order(self, fn):  # the fleet in the function's hash order
        some = max(0, self._wanted_copies(fn))  # fewer than two: nothing to begin anywhere
        order = self.first_in_order.get(fn.key, ())
        if len(order) < min(some + FEW, len(self.usable_workers)):
            if len(self.first_in_order) >= ORDERS:
                del self.first_in_order[next(iter(self.first_in_order))]
            order = self.first_in_order[fn.key] = self._first_by_hash(fn, some + FEW)
        if some > 1:  # begun anywhere
            yield from sorted(islice(order, some), key=attrgetter("preference"))
        yield from islice(order, some if some > 1 else 0, None)
        if len(order) < len(self.usable_workers):
            yield from islice(self._first_by_hash(fn, len(self.usable_workers)), len(order), None)

    def _first_by_hash(self, fn, count):
        """So many at least of the fleet, by rank. Ranks are spread evenly: only those under a limit that a
        few more will be under are sorted, so that a large fleet costs one multiplication a worker."""
        salt, mix, mask, size = fn.hash, MIX, MASK, len(self.usable_workers)
        limit = (count + count // 4 + SPARE) * (MASK + 1) // max(1, size)
        ranks = [
            rank << 20 | n
            for n, hash_ in enumerate(self.hashes)
            if (rank := (hash_ ^ salt) * mix & mask) < limit
        ]
        if len(ranks) < min(count, size):
            ranks = [((hash_ ^ salt) * mix & mask) << 20 | n for n, hash_ in enumerate(self.hashes)]
        ranks.sort()
        return [self.usable_workers[rank & 0xFFFFF] for rank in ranks]

    def _accepts(self, worker, now):
        """Whether the worker may be given anything: listed, neither resting nor silent, within its cap."""
        return (
            worker.is_usable
            and not worker.is_unresponsive
            and now >= worker.ejected_until
            and not worker.send_limit.is_reached(len(worker.in_flight))
            and self._slow_start_budget(worker, now) > 0
        )

    def _is_warm(self, worker, now):
        return not worker.booted or max(0, now - worker.booted) >= self.terms.guarantees.cold

    def _slow_start_budget(self, worker, now):
        """Our part of what a cold worker bears, in each `fall` since its start: as much as we make a warm one
        do, or our part of one core. A part under one send is drawn, so that all together keep the budget."""
        if self._is_warm(worker, now) or not (g := self.terms.guarantees).fall:
            return 1
        slot = max(0, now - worker.booted) // g.fall
        if slot != worker.slow_start_step:
            part = g.cold_from + (1 - g.cold_from) * slot * g.fall / g.cold
            warm_time = max(self.warm_worker_time.lower_bound(now), max(1, self.warm_workers) * g.cold)
            work = max(
                self.usual_service_time, self.mean_arriving_work or self.mean_answer_time
            )  # no hint: `usual` may be a guess
            rate = max(self.warm_answers.lower_bound(now) / warm_time, 1 / work / self.dispatchers)
            worker.slow_start_step, worker.slow_start_budget = (
                slot,
                int(g.fall_multiple / 3 * part * rate * g.fall + self.draw()),
            )
        return worker.slow_start_budget

    def _send(self, act, copy, now):
        worker = copy.worker
        is_cold = bool(copy.loading_since)
        send = Attempt(act, len(act.attempts), worker, copy, now, is_cold, len(worker.in_flight))
        act.attempts.append(send)
        self._credit(now, act)
        act.in_flight, act.first_attempt = act.in_flight + 1, act.first_attempt or send
        copy.in_flight, copy.last_seen = copy.in_flight + 1, now
        self.owing_answers[worker.id] = worker
        worker.in_flight[act.id, send.number], self.in_flight = send, self.in_flight + 1
        worker.cold_attempts, worker.slow_start_budget = (
            worker.cold_attempts + send.is_cold,
            worker.slow_start_budget - 1,
        )
        self.outlet.send(act.id, worker.id, 0)

    def _credit(self, now, act=None):  # what was sent for what exists, and stayed, gives its right
        if (
            act
            and act.function.exists
            and act.load_credit is LoadCredit.NONE
            and self.activations.get(act.id) is act
        ):
            act.load_credit = LoadCredit.PENDING
            self.pending_credits.append(
                (now + min(int(self.target_latency * LAG), self.terms.orders.period // BUCKETS), act)
            )
        while self.pending_credits and self.pending_credits[0][0] <= now:
            act = self.pending_credits.popleft()[1]
            if act.load_credit is LoadCredit.PENDING:
                act.load_credit = LoadCredit.COUNTED
                self.credited_activations.add(act.arrived_at)

    def _may_order(self, now, part=1.0):
        self._credit(now)
        o, most = self.terms.orders, self.orders_given.upper_bound(now)
        return o.allowed and (
            not o.period or most + 1 <= part * (o.free + o.part * self.credited_activations.lower_bound(now))
        )

    def may_load_order_leave(self, now, given):
        """Whether the ration bears that an order given at `given` leaves only now. Asked at any time."""
        self.orders_given.add(given, -1)
        may = self._may_order(now)
        self.orders_given.add(now if may else given)
        return may

    def load_order_withdrawn(self, now, given):
        """An order that was given at `given` never left; asked as `may_load_order_leave` is."""
        self.orders_given.add(given, -1)

    def load_orders_restored(self, now, orders):
        """An earlier life ordered so many loads in the last period: they count as of now."""
        self.orders_given.add(now, orders)

    def _order_load(self, fn, worker, now):
        if worker.is_usable and self._may_order(now):
            self.orders_given.add(now)
            self.outlet.order_load(worker.id, fn.key, 1)
            return True

    def _record_report(self, worker, report, now):
        if report:
            worker.in_flight_at_report, worker.load_known_at = len(worker.in_flight), now
            if "running" in report or "waiting" in report:  # what is not told is not none
                worker.reported_load = sum(report.get(k, 0) for k in ("running", "waiting", "loads", "cores"))
            elif "cores" in report:
                worker.reported_load = report["cores"]
            if worker.reported_load is not None:
                self.mean_reported_load = (
                    15 * (self.mean_reported_load or worker.reported_load) + worker.reported_load
                ) / 16

    def _expected_time(self, act):  # its usual time, by its own hint where there is one
        return (
            int(act.work * self.mean_work_time / self.mean_work)
            if act.work
            else (act.function.service_time or self.usual_service_time)
        )

    def _slow_after(self, act):  # an answer that took so long is slow
        return max(CROWDED * self._expected_time(act), act.target_latency // 3)

    def attempt_ended(self, now, end):
        act_id, n, worker_id, code, note, over, took, report = end
        worker = self.workers.get(worker_id)
        lost = worker.lost.pop((act_id, n), None) if worker else None
        send = lost or worker and worker.in_flight.pop((act_id, n), None)
        if not send:
            return
        act, fn = send.activation, send.activation.function
        send.is_in_flight, act.in_flight = False, act.in_flight - 1
        if not lost:
            self._released(send)
        if code in NEVER_RAN:
            send.may_have_run = False
            if not any(s.may_have_run for s in act.attempts):  # even if disproved
                act.first_attempt = None
        fn.exists = fn.exists or code in (EndReason.COMPLETED, EndReason.MISSING)
        self._credit(now, act)
        self._record_report(worker, report, now)
        if code not in (EndReason.TIMED_OUT, EndReason.CANCELLED, EndReason.NOT_SENT):
            worker.answered_at, worker.is_unresponsive = now, False
        if code == EndReason.COMPLETED:
            self._completed(now, send, note, took)
        elif code not in (EndReason.CANCELLED, EndReason.NOT_SENT) and not (
            lost and code == EndReason.TIMED_OUT
        ):
            self._failed(now, send, code, note)
        if over:
            if act_id in self.activations:
                self._finish(act_id)
        elif self.activations.get(act_id) is act and not act.in_flight:
            if self._may_send(act, now):
                self._enqueue(act, now, front=True)
            else:
                self._give_up(act, now)
        elif act_id not in self.activations:
            self._break_cycle(act)
        self._dispatch(fn, now)

    def _released(self, send):
        send.copy.in_flight, self.in_flight = send.copy.in_flight - 1, self.in_flight - 1
        send.worker.cold_attempts -= send.is_cold

    def _completed(self, now, send, note, took):
        fn, copy, worker = send.activation.function, send.copy, send.worker
        worker.newest_answered_sent_at = max(worker.newest_answered_sent_at, send.sent_at)
        self.answers = min(self.answers + 1, RECENT)
        self.mean_answer_time += (took - self.mean_answer_time) / self.answers
        self.warm_answers.add(now, self._is_warm(worker, now))
        if worker.is_usable:
            copy = fn.copies.setdefault(worker.id, copy)
        copy.loading_since, copy.last_seen, copy.errors, worker.unresponsive_periods = 0, now, 0, 0
        if note == CopyNote.FOUND_WARM or note == 0 and not send.is_cold:
            part = (
                1 / (64 * (1 + send.ahead) ** 2) / (16 if self.slow_share > 0.5 else 1)
            )  # a jam is not usual
            fn.service_time = (
                int(fn.service_time + (took - fn.service_time) * 8 * part) if fn.service_time else took
            )
            self.usual_service_time = int(self.usual_service_time + (took - self.usual_service_time) * part)
            if send.activation.work:
                self.mean_work += (send.activation.work - self.mean_work) * part
                self.mean_work_time += (took - self.mean_work_time) * part
            self._record_latency(worker, took, self._expected_time(send.activation), now)
        if not send.is_cold and note < CopyNote.BEGAN_LOAD:
            self._record_slowness(took > self._slow_after(send.activation), send, now)

    def _record_latency(self, worker, took, need, now):
        """Caps what a worker holds of ours by how its answers compare with the usual: against crowding."""
        pace = min(
            (4 * took + self.usual_service_time) / (4 * need + self.usual_service_time), 8
        )  # rough hints of little count less
        worker.relative_latency, worker.load_known_at = (
            worker.relative_latency + (pace - worker.relative_latency) / 8,
            now,
        )
        self.mean_relative_latency += (pace - self.mean_relative_latency) / 64
        worker.send_limit.record_answer(
            worker.relative_latency > CROWDED, len(worker.in_flight), now, now - self.usual_service_time
        )

    def _record_slowness(self, slow, send, now):
        """Most answers slow: it is not single workers. Fewer sends at once, and the rest waits here."""
        if slow and self._is_crowded(send.worker):  # what it is known for tells nothing of the fleet
            return
        self.slow_share += (slow - self.slow_share) / 16
        least = max(1.0, 2 * len(self.usable_workers) / self.dispatchers)  # two sends for each worker
        self.send_limit.record_answer(self.slow_share > 0.5, self.in_flight, now, send.sent_at, least)
        self.shed_probability = min(MOST_TURNED, TURN * max(0.0, self.slow_share - BEARABLE))

    def _failed(self, now, send, code, note):
        """A fast error must not free its lane and draw the backlog: its copy stays shut, longer each time."""
        fn, copy, worker = send.activation.function, send.copy, send.worker
        # One connection of several may be reset, or cut for what came on it: who has just answered lives.
        if (
            code == EndReason.RESET
            and min(send.sent_at, now - self.usual_service_time) < worker.load_known_at
        ):
            code = EndReason.ERROR
        if (
            code in (EndReason.MISSING, EndReason.RESET, EndReason.NO_CONNECTION)
            or note == CopyNote.LOAD_FAILED
            or code == EndReason.FULL
            and copy.loading_since
        ):  # turned away: no load began
            copy.loading_since = 0
            if fn.copies.get(worker.id) is copy:
                del fn.copies[worker.id]
        if note == CopyNote.LOAD_FAILED:
            self._load_failed(fn, now)
        if code == EndReason.MISSING:
            fn.missed_at = now
            return
        copy.backoff_until = now + ((fn.service_time or self.usual_service_time) << min(copy.errors, 6))
        copy.errors += 1
        if (
            code == EndReason.FULL
            or not send.is_cold
            and now - send.sent_at > self._slow_after(send.activation)
        ):
            self._record_slowness(True, send, now)
        if code == EndReason.FULL:
            send.activation.full_workers += (worker,)
            worker.relative_latency, worker.load_known_at, fn.wants_copy = (
                min(8, worker.relative_latency * 2),
                now,
                True,
            )
            worker.send_limit.record_answer(True, len(worker.in_flight) - 1, now, now)
        if code in (EndReason.RESET, EndReason.NO_CONNECTION):
            worker.ejected_until = now + self.target_latency // 4
            self.forget_copies(worker)

    def load_order_ended(self, now, worker_id, key, code, copies):
        worker, fn = self.workers.get(worker_id), self.functions.get(key)
        if not worker or not fn:
            return
        if code not in (EndReason.TIMED_OUT, EndReason.RESET, EndReason.NO_CONNECTION):
            worker.answered_at, worker.is_unresponsive = now, False
        copy = fn.copies.get(worker_id)
        if copies and worker.is_usable:
            copy = fn.copies.setdefault(worker_id, Copy(worker, now, now))
            fn.load_time = (
                fn.load_time or copy.loading_since and now - copy.loading_since
            )  # where nothing tells it
            copy.loading_since, copy.last_seen = 0, now
        elif copy and copy.loading_since:
            fn.copies.pop(worker_id).loading_since = 0
            if code in (EndReason.FULL, EndReason.NOT_SENT):  # its own loads wait, or it never left us
                worker.loads_refused_until, fn.placement_paused_until = (
                    now + self.target_latency // 2,
                    now + int(self.target_latency * LAG),
                )
            else:
                self._load_failed(fn, now)
        self._dispatch(fn, now)

    def _load_failed(self, fn, now):
        """A crowded store turns fetches away and stops when pushed: ask less, above all further copies."""
        fn.placement_paused_until, self.no_further_copies_until = (
            now + self.target_latency // 4,
            now + 2 * self.target_latency,
        )

    def health_check_ended(self, now, worker_id, code, report):
        if worker_id in self.workers and code == EndReason.COMPLETED:
            self._record_report(self.workers[worker_id], report, now)
        self._dispatch_all(now)

    def timer_fired(self, now, mark):
        if now < self.timer_at:  # replaced by an earlier one
            return
        self.timer_at = NEVER
        try:
            if now >= self.next_look:
                self._look(now)
            self._dispatch_all(now)
        finally:  # whatever fails, the sweeps go on
            self._wake(
                now,
                self._time_to_sweep(now)
                if self.functions_waiting
                else max(self.sweep_interval, self.next_look - now),
            )

    def _time_to_sweep(self, now):  # until the next sweep, or what is to be given up before it
        first = min(
            (fn.expiries[0][0] for fn in self.functions_waiting.values() if fn.expiries),
            default=now + self.sweep_interval,
        )
        return min(self.sweep_interval, max(first - now, self.terms.tick))

    def _look(self, now):
        """What is due now and then, and must cost little on a large fleet."""
        self.warm_worker_time.add(
            now, self.warm_workers * (now - self.next_look + self.look_interval // 8)
        )  # since the last one
        g, self.next_look = self.terms.guarantees, now + self.look_interval // 8
        self.mean_worker_load += (
            self.in_flight * self.dispatchers / max(1, len(self.usable_workers)) - self.mean_worker_load
        ) / 16
        self.warming_up = [w for w in self.warming_up if not self._is_warm(w, now)]
        self.warm_workers = len(self.usable_workers) - len(self.warming_up)
        for worker in list(self.owing_answers.values()):
            self._watch(worker, now)
        if self.terms.asks and now - self.list_requested_at > g.ask_within // 2:
            self.list_requested_at = now
            self.outlet.request_endpoint_list()
        if now >= self.next_tidy:
            self.next_tidy = now + self.terms.orders.keep // 16
            self._tidy(now)

    def _watch(self, worker, now):
        """Who owes answers and gives none gets nothing new; what it holds a second send if it may repeat."""
        if not worker.in_flight:
            del self.owing_answers[worker.id]
            if worker.is_unresponsive:  # tried again later each time, by one send
                worker.is_unresponsive, worker.unresponsive_periods, worker.send_limit.limit = (
                    False,
                    min(worker.unresponsive_periods + 1, 4),
                    1.0,
                )
                worker.ejected_until = now + (self.target_latency << worker.unresponsive_periods)
            return
        first = next(iter(worker.in_flight.values()))
        usual = 6 * (
            first.activation.function.service_time or self.usual_service_time
        ) + self._load_allowance(first)
        if now - max(worker.answered_at, first.sent_at) > max(usual, self.target_latency):
            worker.is_unresponsive = True
            for send in list(worker.in_flight.values()):
                self._hedge(send.activation, now)
            return
        for key, send in list(worker.in_flight.items()):  # overtaken by far: the answer is lost, the lane not
            if send.sent_at + self.target_latency > worker.newest_answered_sent_at:
                break
            if (
                send.sent_at + 6 * self._expected_time(send.activation) + self._load_allowance(send)
                < worker.newest_answered_sent_at
            ):
                worker.lost[key] = worker.in_flight.pop(key)
                self._released(send)
                self._hedge(send.activation, now)

    def _load_allowance(self, send):  # what a send that began a load is given for it
        return 3 * send.is_cold * (send.activation.function.load_time or self.target_latency)

    def _hedge(self, act, now):
        if (
            self.activations.get(act.id) is act
            and act.in_flight == 1
            and not act.is_queued
            and act.type.effect != Effect.ONCE_ONLY
            and self._may_send(act, now)
        ):
            self._enqueue(act, now, front=True)

    def _tidy(self, now):
        keep = self.terms.orders.keep
        for fn in list(self.functions.values()):
            for copy in list(fn.copies.values()):
                load = 3 * fn.load_time if copy.loading_since else 0  # it may take longer than idle ones stay
                if not copy.in_flight and now - max(copy.last_seen, copy.loading_since) > max(keep, load):
                    del fn.copies[copy.worker.id]
                elif (
                    not copy.in_flight
                    and not copy.loading_since
                    and now - copy.last_seen > keep * 3 // 4
                    and now - fn.called_at < keep < now - copy.renewed_at
                ):
                    copy.renewed_at = now
                    if self.draw() * self.dispatchers < 1 and self._accepts(copy.worker, now):  # one for all
                        self._order_load(fn, copy.worker, now)
            if not fn.copies and not fn.queued and not fn.recent_calls and now - fn.called_at > keep:
                del self.functions[fn.key]
        self.workers = {w.id: w for w in self.workers.values() if w.is_usable or w.in_flight or w.lost}
