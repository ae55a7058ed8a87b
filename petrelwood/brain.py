"""Every decision of one dispatcher, and nothing else; `ports.py` holds the interface.

How to call it: `Brain(now, terms, seed, outlet)` starts an instance. Then, in the order of events,
`listed` / `list_lost` (news of workers), `activation`, `answer` (a send has ended), `begun` (a stream has
started), `left` (the client went), `stands` (a hold was answered), `probed` and `ring`. It acts only through
its `ports.Outlet`, within these calls. Times are whole nanoseconds.

An activation passes answer duty -> admission -> hold per function -> placement and loading -> guarded send;
its answers come back the other way.
"""
from collections import deque
from random import Random
from zlib import crc32

from petrelwood import ports
from petrelwood.ports import COMPLETED, NEVER_RAN

LIMIT = 0.5              # most copies of one function placed from here: part of the listed workers
BACKLOG = 1.0            # held activations for each lane before a copy is added
LAG = 1 / 6              # how long the first must have been held before that, part of the target latency
SECOND = 1_000_000_000
SLACK = 1.3              # a customer's share here: so much more than an equal part, as dispatchers differ
CROWDED = 1.8            # a worker is, when its answers take so many times the usual
SLOTS = 12               # buckets in a ring


class Ring:
    """Counts over the last `span`, in buckets of time used again in turn."""

    def __init__(self, span):
        self.width, self.counts, self.slot = max(1, -(-span // SLOTS)), [0] * (SLOTS + 1), 0

    def _turn(self, now):
        slot = now // self.width
        for stale in range(max(self.slot + 1, slot - SLOTS), slot + 1):
            self.counts[stale % (SLOTS + 1)] = 0
        self.slot = max(self.slot, slot)

    def add(self, now, much=1):
        self._turn(now)
        self.counts[self.slot % (SLOTS + 1)] += much

    def most(self, now):
        """No less than what the span holds."""
        self._turn(now)
        return sum(self.counts)

    def least(self, now):
        """No more than what the span holds."""
        return self.most(now) - self.counts[(self.slot + 1) % (SLOTS + 1)]


class Worker:
    def __init__(self, entry, fall, now):
        self.id, self.out, self.sent = entry.worker, {}, Ring(fall)
        self.heard, self.cap, self.strikes, self.rest, self.bad_fn = now, None, 0, 0, None
        self.loading, self.report, self.out_then, self.silent = 0, None, 0, False
        self.pace, self.shrunk = 1.0, 0
        self.update(entry)

    def update(self, entry):
        self.zone, self.cell = entry.zone, entry.cell
        self.booted, self.usable = entry.booted, entry.usable


class Copy:
    """What is believed of a function's copy on one worker."""

    def __init__(self, worker, now):
        self.worker, self.busy, self.loading, self.seen = worker, 0, 0, now
        self.renewed, self.errors, self.shut = now, 0, 0


class Function:
    def __init__(self, key):
        self.key, self.lanes, self.held, self.copies, self.called = key, 1, deque(), {}, 0
        self.service, self.load_time, self.order, self.edition, self.pause = 0, 0, (), -1, 0


class Act:

    def __init__(self, id_, fn, type_, due, born, work):
        self.id, self.fn, self.type, self.due, self.born, self.work = id_, fn, type_, due, born, work
        self.beyond = False                              # beyond its customer's share
        self.sends, self.out, self.held = [], 0, False
        self.bound = None                                # the first send that may have run


class Send:
    def __init__(self, act, worker, copy, at, cold):
        self.act, self.n, self.worker, self.copy, self.at = act, len(act.sends), worker, copy, at
        self.cold, self.open, self.ran, self.ahead = cold, True, True, len(worker.out)


class Brain:
    def __init__(self, now, terms, seed, outlet):
        self.terms, self.out, self.chance = terms, outlet, Random(seed).random
        self.workers, self.functions, self.acts, self.edition = {}, {}, {}, 0
        self.target = min(t.target_latency for t in terms.types.values())
        self.sweep = max(terms.tick, self.target // 50)
        self.usual, self.mean_out, self.mean_report = self.target // 4, 1.0, None
        self.told = self.took = self.target / 8          # mean hint of cost, mean time taken
        self.done, self.taken, self.loads = (Ring(terms.guarantees.cold), Ring(terms.orders.period or 1),
                                             Ring(terms.orders.period or 1))
        part = SLACK / SECOND / terms.dispatchers
        self.buckets = {name: [1, now, part * quota] for name, quota in terms.quotas.items()}
        self.spreading = None
        self.waiting, self.next_probe, self.next_tidy, self.asked = {}, now, now, now
        self.out.wake("sweep", self.sweep)
        if terms.asks:
            self.out.subscribe()

    def listed(self, now, entries, whole):
        self.edition += 1
        if whole:
            named = {e.worker for e in entries}
            for worker in self.workers.values():
                worker.usable = worker.usable and worker.id in named
        for entry in entries:
            worker = self.workers.get(entry.worker)
            if worker is None:
                self.workers[entry.worker] = Worker(entry, self.terms.guarantees.fall, now)
                continue
            if entry.booted != worker.booted:
                self._forget(worker)
                worker.strikes, worker.rest, worker.cap, worker.silent = 0, 0, None, False
            worker.update(entry)
        for worker in [w for w in self.workers.values() if not w.usable]:
            self._forget(worker)
        self._flow_all(now)

    def list_lost(self, now):
        self.asked = now - self.terms.guarantees.ask_within // 2 + int(self.chance() * self.target)

    def _forget(self, worker):
        for fn in self.functions.values():
            fn.copies.pop(worker.id, None)

    def activation(self, now, act_id, key, type_name, customer, due, lanes, work, load_time):
        self.taken.add(now)
        fn = self.functions.get(key) or self.functions.setdefault(key, Function(key))
        fn.lanes, fn.called = lanes, now
        fn.load_time = load_time or fn.load_time
        act = self.acts[act_id] = Act(act_id, fn, self.terms.types[type_name], due, now, work)
        act.beyond = self._beyond_share(customer, now)
        self._hold(act, now)

    def _beyond_share(self, customer, now):
        """Whether the customer asks more here than our part of its share."""
        bucket = self.buckets.get(customer)
        if bucket is None:
            return False
        tokens, at, rate = bucket
        tokens = min(tokens + (now - at) * rate, 1 + rate * self.target)
        beyond = tokens < 1
        bucket[:2] = tokens - (not beyond), now
        return beyond

    def left(self, now, act_id):
        act = self.acts.pop(act_id, None)
        if act:
            self._drop_sends(act)

    def begun(self, now, act_id, n, worker_id):
        act = self.acts.get(act_id)
        if act:
            act.due = 1 << 62
        self._heard(now, worker_id)

    def _drop_sends(self, act):
        """A send that no client waits for any more is called back, where that is allowed."""
        if self.terms.allowed.cancel:
            for send in act.sends:
                if send.open:
                    self.out.cancel(act.id, send.n)

    def _give_up(self, act, now):
        """The final answer, at once, unless a send is out: a rejection where no effect can follow."""
        act.held = False
        if act.out or self.acts.pop(act.id, None) is None:
            return
        fn, type_ = act.fn, act.type
        if (not act.bound or type_.effect == ports.REPEATABLE
                or type_.effect == ports.DEDUPLICATED and type_.scope == "all"):
            wait = self._service(fn) * (len(fn.held) + 1) // max(1, len(fn.copies) * fn.lanes)
            self.out.reject(act.id, min(wait, self.terms.allowed.max_retry_after)
                            if self.terms.allowed.retry_after else 0)
        else:
            self.out.abort(act.id)
        self._drop_sends(act)

    def _may_send(self, act, now):
        """Whether the rules and what is allowed leave the activation another send anywhere."""
        if len(act.sends) >= self.terms.allowed.sends or act.out and not self.terms.allowed.overlap:
            return False
        if act.due - now <= max(self._need(act) // 2, 2 * self.sweep):
            return False
        if act.bound is None or act.type.effect == ports.REPEATABLE:
            return True
        return act.type.effect == ports.DEDUPLICATED and now < act.bound.at + act.type.window

    def _fits(self, act, worker):
        """Whether the worker is new to the activation, and in the group that the rules bind it to."""
        if any(s.worker is worker and s.ran for s in act.sends):
            return False
        if act.bound is None or act.type.effect == ports.REPEATABLE or act.type.scope == "all":
            return True
        first = act.bound.worker
        return worker.zone == first.zone if act.type.scope == "zone" else worker.cell == first.cell

    def _hold(self, act, now, front=False):
        fn = act.fn = self.functions.setdefault(act.fn.key, act.fn)
        if not act.held:
            act.held = True
            (fn.held.appendleft if front else fn.held.append)(act)
        self.waiting[fn.key] = fn
        self._flow(fn, now)

    def _flow_all(self, now):
        for spare in (False, True):
            for fn in list(self.waiting.values()):
                self._flow(fn, now, spare)

    def _lesser(self, act, now):
        """What can no longer be answered within its target latency, or is beyond its customer's share, takes
        only what the others leave: under overload fresh work keeps its worth instead of all being late."""
        return act.beyond or now - act.born + self._need(act) > act.type.target_latency

    def _flow(self, fn, now, spare=False):
        """Sends what is held to free lanes; then adds copies, or rejects at the limit."""
        kept, stuck = [], False
        while fn.held:
            act = fn.held.popleft()
            act.held = False
            if self.acts.get(act.id) is not act:
                continue
            if not self._may_send(act, now) or not act.out and now - act.born > (act.due - act.born) // 2:
                self._give_up(act, now)
                continue
            copy = None
            if (act.sends or not stuck) and (spare or not self._lesser(act, now)):
                copy = self._lane(fn, act, now)
                stuck = stuck or copy is None and not act.sends   # a resend has fewer lanes: it blocks nobody
            if copy:
                self._send(act, copy, now)
            else:
                act.held = True
                kept.append(act)
        fn.held.extend(kept)
        limit = max(2, int(LIMIT * len(self.workers)))
        while fn.held and now >= fn.pause:
            known = [c for c in fn.copies.values() if not c.worker.silent and now >= c.worker.rest]
            lanes = sum(fn.lanes if c.loading else c.busy for c in known)
            if len(fn.held) <= BACKLOG * lanes or fn.copies and now - fn.held[0].born < self.target * LAG:
                break
            if len(known) >= limit:
                while len(fn.held) > 2 * BACKLOG * len(known) * fn.lanes:
                    self._give_up(fn.held.pop(), now)
                break
            if fn.copies and not self._may_spread(fn, now) or not self._add_copy(fn, now):
                break
        if not fn.held:
            self.waiting.pop(fn.key, None)

    def _may_spread(self, fn, now):
        """A further copy may push another function's out, and such loads feed on each other: so one at
        a time, for the function with the longest backlog. Guards against thrash in overload and scans."""
        last = self.spreading
        if last and last.loading and now - last.loading < 2 * self.target:
            return False
        return fn is max(self.waiting.values(), key=lambda f: len(f.held) / (len(f.copies) or 1))

    def _lane(self, fn, act, now):
        """The known copy with a free lane on the least loaded worker."""
        best, best_load = None, 0
        for copy in list(fn.copies.values()):
            worker = copy.worker
            if not copy.busy and not copy.loading and now - copy.seen > self.terms.orders.keep:
                del fn.copies[worker.id]
                continue
            if (copy.busy >= fn.lanes or now < copy.shut or not self._open(worker, now)
                    or copy.loading and not self.terms.orders.loads_on_send or not self._fits(act, worker)
                    or worker.pace > CROWDED and act.due - now < self._need(act) * worker.pace):
                continue
            load = self._load(worker) + (worker.zone != self.terms.zone)
            if best is None or load < best_load:
                best, best_load = copy, load
        return best

    def _load(self, worker):
        """Load as activations in hand: the last report against the fleet's mean, and what was sent since."""
        if worker.report is None or not self.mean_report:
            return self.mean_out * self.terms.dispatchers + len(worker.out) - self.mean_out
        return (worker.report / self.mean_report * self.mean_out * self.terms.dispatchers
                + len(worker.out) - worker.out_then)

    def _add_copy(self, fn, now):
        """One more copy, on the less loaded of the first two workers in hash order that hold none."""
        if fn.edition != self.edition:
            fn.order = sorted((w for w in self.workers.values() if w.usable),
                              key=lambda w: (crc32(f"{fn.key} {w.id}".encode()), w.id))
            fn.edition = self.edition
        act, two = fn.held[0], []
        for worker in fn.order:
            if (worker.id not in fn.copies and worker.loading < 2 and self._open(worker, now)
                    and self._fits(act, worker)):
                two.append(worker)
                if len(two) == 2:
                    break
        if not two:
            return False
        # loads within a factor of two count as equal: dispatchers, each with its own view, then share copies
        worker = two[-1] if 2 * self._load(two[-1]) < self._load(two[0]) else two[0]
        copy = Copy(worker, now)
        if fn.copies:
            self.spreading = copy
        fn.copies[worker.id], copy.loading = copy, now
        if self.terms.orders.loads_on_send:
            fn.held.popleft().held = False
            self._send(act, copy, now)
        elif not self._order(fn, worker, now):
            del fn.copies[worker.id]
            return False
        return True

    def _open(self, worker, now):
        """Whether the worker may be given anything: listed, neither resting nor silent, within its cap."""
        if not worker.usable or worker.silent or now < worker.rest:
            return False
        if worker.strikes > 1 and worker.out or worker.cap is not None and len(worker.out) >= worker.cap:
            return False
        return self._cold_room(worker, now) >= 1

    def _cold_room(self, worker, now):
        """Our part of what a cold worker bears: as much of its capacity as we make a warm one use."""
        g = self.terms.guarantees
        age = now - worker.booted
        if not worker.booted or age >= g.cold:
            return 1
        part = g.cold_from + (1 - g.cold_from) * max(0, age) / g.cold
        warm = sum(w.usable and (not w.booted or now - w.booted >= g.cold) for w in self.workers.values())
        rate = self.done.least(now) / max(1, warm) / g.cold
        return max(1, g.fall_multiple / 2 * part * rate * g.fall) - worker.sent.most(now)

    def _send(self, act, copy, now):
        worker = copy.worker
        send = Send(act, worker, copy, now, bool(copy.loading))
        act.sends.append(send)
        act.out += 1
        if act.bound is None:
            act.bound = send
        copy.busy += 1
        copy.seen = now
        worker.out[act.id, send.n] = send
        worker.loading += send.cold
        worker.sent.add(now)
        self.out.send(act.id, worker.id, 0)

    def _order(self, fn, worker, now, copies=1):
        o = self.terms.orders
        if not o.allowed or not worker.usable:
            return False
        if o.period and self.loads.most(now) + 1 > o.free + o.part * self.taken.least(now):
            return False
        self.loads.add(now)
        self.out.hold(worker.id, fn.key, copies)
        return True

    def _heard(self, now, worker_id):
        if worker_id in self.workers:
            self.workers[worker_id].heard, self.workers[worker_id].silent = now, False

    def _read(self, worker, report):
        if report:
            load = report.get("running", 0) + report.get("waiting", 0) + report.get("loads", 0)
            worker.report = report.get("cores", 0) + (load if "running" in report else 0)
            worker.out_then = len(worker.out)

    def _need(self, act):
        """The usual time of this activation: by its own hint where there is one."""
        return int(act.work * self.took / self.told) if act.work else self._service(act.fn)

    def _service(self, fn):
        return fn.service or self.usual

    def answer(self, now, act_id, n, worker_id, code, note, over, took, report):
        worker = self.workers.get(worker_id)
        send = worker.out.pop((act_id, n), None) if worker else None
        if send is None:
            return
        act, copy, fn = send.act, send.copy, send.act.fn
        send.open, act.out, copy.busy = False, act.out - 1, copy.busy - 1
        worker.loading -= send.cold
        if code in NEVER_RAN:
            send.ran = False
            if act.bound is send:
                act.bound = next((s for s in act.sends if s.ran), None)
        self._read(worker, report)
        if code not in (ports.TIMED_OUT, ports.CANCELLED, ports.NOT_SENT):
            self._heard(now, worker_id)
        if code == COMPLETED:
            self._completed(now, send, note, took)
        elif code not in (ports.CANCELLED, ports.NOT_SENT):
            self._failed(now, send, code, note)
        if over:
            if self.acts.pop(act_id, None):
                self._drop_sends(act)
        elif self.acts.get(act_id) is act and not act.out:
            if self._may_send(act, now):
                self._hold(act, now, front=True)
            else:
                self._give_up(act, now)
        self._flow(fn, now)

    def _completed(self, now, send, note, took):
        fn, copy, worker = send.act.fn, send.copy, send.worker
        self.done.add(now)
        if worker.usable:
            copy = fn.copies.setdefault(worker.id, copy)
        copy.loading, copy.seen, copy.errors = 0, now, 0
        worker.strikes = 0
        if note == ports.FOUND_WARM or note == 0 and not send.cold:
            part = 1 / (64 * (1 + send.ahead) ** 2)      # lightly loaded workers tell the usual time best
            fn.service = int(fn.service + (took - fn.service) * 8 * part) if fn.service else took
            self.usual = int(self.usual + (took - self.usual) * part)
            if send.act.work:
                self.told += (send.act.work - self.told) * part
                self.took += (took - self.took) * part
            self._pace(worker, took, self._need(send.act), now)

    def _pace(self, worker, took, need, now):
        """How many sends a worker is given at once follows how its answers compare with the usual service:
        guards against crowding a worker whose copies have more lanes than it has cores, slow or not."""
        some = self.usual / 4                            # keeps rough hints of light work from counting much
        worker.pace += (min((took + some) / (need + some), 8) - worker.pace) / 8
        if worker.pace > CROWDED:
            if now - worker.shrunk > self.usual:
                worker.shrunk = now
                worker.cap = max(1.0, min(worker.cap or len(worker.out) + 1, len(worker.out) + 1) * 0.85)
        elif worker.cap is not None and len(worker.out) + 1 >= worker.cap:
            worker.cap += 1 / worker.cap

    def _failed(self, now, send, code, note):
        """What an end other than an answer says of copy and worker. A fast error must not free its lane at
        once and draw the backlog: the copy stays shut for the usual service, longer each time in a row."""
        fn, copy, worker = send.act.fn, send.copy, send.worker
        if code in (ports.MISSING, ports.RESET, ports.NO_CONNECTION) or note == ports.LOAD_FAILED:
            if fn.copies.get(worker.id) is copy:
                del fn.copies[worker.id]
            copy.loading = 0
            fn.pause = max(fn.pause, now + self._service(fn) // 4) if note == ports.LOAD_FAILED else fn.pause
        if code == ports.MISSING:
            return
        copy.errors += 1
        copy.shut = now + (self._service(fn) << min(copy.errors - 1, 6))
        if code in (ports.FULL, ports.TIMED_OUT):       # crowded, slow or silent: cap and silence answer that
            worker.cap = max(1.0, len(worker.out) * 0.8) if code == ports.FULL else worker.cap
            return
        if fn.key != worker.bad_fn or code != ports.ERROR:   # one function's own errors are not the worker's
            worker.strikes, worker.bad_fn = worker.strikes + 1, fn.key
        if worker.strikes > 1 or code == ports.NO_CONNECTION:
            worker.rest = now + (self.target // 4 << min(worker.strikes, 6))
        if code in (ports.RESET, ports.NO_CONNECTION):
            self._forget(worker)

    def stands(self, now, worker_id, key, code, copies):
        worker, fn = self.workers.get(worker_id), self.functions.get(key)
        if code not in (ports.TIMED_OUT, ports.RESET, ports.NO_CONNECTION):
            self._heard(now, worker_id)
        if not worker or not fn:
            return
        copy = fn.copies.get(worker_id)
        if copies and worker.usable:
            copy = fn.copies.setdefault(worker_id, Copy(worker, now))
            copy.loading, copy.seen = 0, now
        elif copy and copy.loading:
            if not copy.busy:
                del fn.copies[worker_id]
            copy.loading = 0
            fn.pause = now + self._service(fn) // 2
        self._flow(fn, now)

    def probed(self, now, worker_id, code, report):
        worker = self.workers.get(worker_id)
        if worker and code == COMPLETED:
            self._read(worker, report)

    def ring(self, now, mark):
        self.out.wake(mark, self.sweep)
        fleet = [w for w in self.workers.values() if w.usable]
        if fleet:
            self.mean_out += (sum(len(w.out) for w in fleet) / len(fleet) - self.mean_out) / 8
            reports = [w.report for w in fleet if w.report is not None]
            self.mean_report = sum(reports) / len(reports) if reports else None
        for worker in list(self.workers.values()):
            self._watch(worker, now)
        if self.terms.allowed.probe and self.terms.reports_by_probe and now >= self.next_probe:
            self.next_probe = now + self.target // 2
            for worker in fleet:
                self.out.probe(worker.id)
        if self.terms.asks and now - self.asked > self.terms.guarantees.ask_within // 2:
            self.asked = now
            self.out.subscribe()
        if now >= self.next_tidy:
            self.next_tidy = now + self.terms.orders.keep // 16
            self._tidy(now)
        self._flow_all(now)

    def _watch(self, worker, now):
        """A worker that owes answers and gives none is silent: nothing new goes there, and what it holds
        gets a second send elsewhere where a repeat is allowed. Guards against hung and cut-off workers."""
        if not worker.out:
            if worker.silent:
                worker.silent, worker.strikes = False, 2
                worker.rest = now + self.target
            return
        first = next(iter(worker.out.values()))
        fn = first.act.fn
        patience = 6 * self._service(fn) + (3 * (fn.load_time or self.target) if first.cold else 0)
        if now - max(worker.heard, first.at) > max(patience, self.target):
            worker.silent = True
            for send in list(worker.out.values()):
                act = send.act
                if self.acts.get(act.id) is act and act.out == 1 and send.open and not act.held \
                        and act.type.effect != ports.ONCE_ONLY and self._may_send(act, now):
                    self._hold(act, now, front=True)

    def _tidy(self, now):
        keep = self.terms.orders.keep
        for fn in list(self.functions.values()):
            for copy in list(fn.copies.values()):
                if not copy.busy and now - max(copy.seen, copy.loading) > keep:
                    del fn.copies[copy.worker.id]
                elif (not copy.busy and not copy.loading and now - copy.seen > keep * 3 // 4
                      and now - fn.called < keep and now - copy.renewed > keep
                      and self._open(copy.worker, now) and self._order(fn, copy.worker, now)):
                    copy.renewed = now
            if not fn.copies and not fn.held and now - fn.called > keep:
                del self.functions[fn.key]
        for worker in list(self.workers.values()):
            if not worker.usable and not worker.out:
                del self.workers[worker.id]
