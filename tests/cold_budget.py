"""A judge of rule 4, with a book of its own: what all dispatchers together send to workers that have just
started, held against what the settings say that such a worker bears.

Real `Scheduler` instances, as many as a case has dispatchers, share scripted workers, clients and one clock;
no socket and no loop. Messages take `TRANSIT` each way, whatever else takes time is drawn from one seeded
generator. Times are whole nanoseconds, but for a case's own figures, which are in milliseconds.

The book of one start of a worker: a window is as long as the settings' `fall`, and ends at an arrival. N is
what the worker bears in it: multiple x present capacity x window / mean work, with the capacity that the
settings vouch for at that age, rising evenly from the cold part to the whole. An arrival weighs as the mean
work of its type does against that of all types, whatever becomes of it. Over N + 2 x root of N + 2 the worker
falls, and the rule is broken where over two thirds of that window came from dispatchers that had been told of
the start."""

import heapq
import itertools
import math
import random
from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide.scheduling.scheduler import Scheduler

MS = 1_000_000
SECOND = 1000 * MS
TRANSIT = MS // 2
TOLD_PART = 2 / 3
SMALL_BUDGET = 30  # a budget under it has the wider bound
LANES = 4  # activations that one copy runs at a time
QUEUE = 8  # activations that wait at a worker, for each core


@dataclass
class Case:
    """One play. Times in ms; `used` is the part of the warm fleet's capacity that clients ask for."""

    seed: int = 1
    dispatchers: int = 25
    workers: int = 8
    cores: int = 4
    works: tuple = (200,)  # mean work of each type
    used: float = 0.6
    unequal: float = 1.0  # a fifth of the dispatchers see so many times the traffic of the others
    functions: int = 24
    load: int = 400
    target: int = 1000
    stretch: float = 0.0
    cold: int = 8000
    cold_part: float = 0.2
    multiple: float = 2.5
    fall: int = 1500
    loads_on_send: bool = True
    retries: float = 0.5  # of the clients that are turned away, so many ask again
    warm_up: int = 9000  # nothing restarts before
    restarted: float = 0.25  # part of the workers
    steps: int = 1  # so many groups of them, `apart` from each other
    apart: int = 1000
    away: int = 1000  # so long they have been gone before, and all know it
    told: tuple = (0, 20)  # how long after a start the first and the last dispatcher is told
    gone_told: tuple = (0, 0)  # likewise after its end
    fresh: bool = False  # all dispatchers are restarted with the first workers and have learnt nothing
    killed: tuple = ()  # all dispatchers are killed and started anew, so long after the first restart
    slow: float = 1.0  # the speed of those that restart, against the others
    tick: int = 10
    hints: bool = True  # clients tell roughly how much work an activation is
    swing: float = 1.0  # a burst: traffic is so many times as much for `burst`
    burst: tuple = ()  # from, until


def bound(budget):
    """Requests of mean work in one window that a worker bears with a budget of so many."""
    if budget < SMALL_BUDGET:
        return budget + 3 * math.sqrt(budget) + 3
    return narrow_bound(budget)


def narrow_bound(budget):
    """What it was for each budget, and is for those that are not small."""
    return budget + 2 * math.sqrt(budget) + 2


class Fall(NamedTuple):
    """A window that was over its bound: when (ns after the start), what arrived in it, N, and the part of it
    that came from dispatchers that had been told."""

    age: int
    arrived: float
    budget: float
    told: float


class Book:
    """Of one start of one worker."""

    def __init__(self, terms, capacity, started):
        """`capacity`: requests of mean work a second, warm."""
        self.guarantees, self.capacity, self.started = terms.guarantees, capacity, started
        self.window, self.sum, self.told, self.falls = deque(), 0.0, {}, []
        self.narrow_falls = []
        self.largest, self.highest, self.total, self.most = 0.0, 0.0, 0, 0

    def budget(self, age):
        """N at that age (ns)."""
        guarantees = self.guarantees
        part = (
            guarantees.initial_capacity_share
            + (1 - guarantees.initial_capacity_share) * age / guarantees.warm_up_time
        )
        return guarantees.crash_load_multiple * part * self.capacity * guarantees.slow_start_window / SECOND

    def arrives(self, now, dispatcher, weight):
        age = now - self.started
        if age >= self.guarantees.warm_up_time:
            return
        self.window.append((now, dispatcher, weight))
        self.sum += weight
        self.total += 1
        while now - self.window[0][0] > self.guarantees.slow_start_window:
            self.sum -= self.window.popleft()[2]
        budget = self.budget(age)
        self.largest = max(self.largest, self.sum / bound(budget))
        self.highest = max(self.highest, self.sum / budget)
        if self.sum > narrow_bound(budget):
            told = sum(w for at, who, w in self.window if self.told.get(who, at + 1) <= at)
            fall = Fall(age, self.sum, budget, told / self.sum)
            self.narrow_falls.append(fall)
            if self.sum > bound(budget):
                self.falls.append(fall)

    def broken(self):
        """The first fall breaks the rule, if those that were told answer for it."""
        return bool(self.falls) and self.falls[0].told > TOLD_PART

    def narrowly_broken(self):
        """The same under the narrower bound."""
        return bool(self.narrow_falls) and self.narrow_falls[0].told > TOLD_PART


class Job:
    __slots__ = ("dispatcher", "act", "n", "fn", "work", "came", "note", "over")

    def __init__(self, dispatcher, act, n, fn, work, came):
        self.dispatcher, self.act, self.n, self.fn, self.work, self.came = dispatcher, act, n, fn, work, came
        self.note, self.over = ports.CopyNote.FOUND_WARM, False


class Worker:
    """Cores that run one activation each, a queue, copies that load and stay. It never falls: its book
    tells whether it would have."""

    def __init__(self, world, name, speed=1.0):
        self.world, self.name, self.speed, self.booted, self.book = world, name, speed, 0, None
        self.copies, self.loading, self.queue, self.running, self.life = set(), {}, deque(), 0, 0
        self.usable = True

    def stop(self):
        """What it held is lost with its connections."""
        for job in self.queue:
            self.world.end(job, self, ports.EndReason.RESET)
        for fn, waiting in self.loading.items():
            for waits in waiting:
                if isinstance(waits, Job):
                    self.world.end(waits, self, ports.EndReason.RESET)
                else:
                    self.world.later(TRANSIT, waits.stands, self, fn, ports.EndReason.RESET, 0)
        self.copies, self.loading, self.queue, self.running = set(), {}, deque(), 0
        self.usable, self.life = False, self.life + 1

    def start(self, book):
        self.usable, self.booted, self.book = True, self.world.now, book

    def part(self):
        """Of its warm capacity, what it can do now."""
        guarantees, age = self.world.terms.guarantees, self.world.now - self.booted
        if not self.booted or age >= guarantees.warm_up_time:
            return self.speed
        return self.speed * (
            guarantees.initial_capacity_share
            + (1 - guarantees.initial_capacity_share) * age / guarantees.warm_up_time
        )

    def arrives(self, job, weight):
        if not self.usable:
            self.world.end(job, self, ports.EndReason.NO_CONNECTION)
            return
        if self.book:
            self.book.arrives(self.world.now, job.dispatcher, weight)
        if job.fn in self.copies:
            self.enter(job)
        elif job.fn in self.loading:
            job.note = ports.CopyNote.AWAITED_LOAD
            self.loading[job.fn].append(job)
        elif self.world.case.loads_on_send:
            job.note = ports.CopyNote.BEGAN_LOAD
            self.load(job.fn, job)
        else:
            self.world.end(job, self, ports.EndReason.MISSING)

    def enter(self, job):
        if self.running < self.world.case.cores:
            self.run(job)
        elif len(self.queue) < QUEUE * self.world.case.cores:
            self.queue.append(job)
        else:
            self.world.end(job, self, ports.EndReason.FULL)

    def run(self, job):
        self.running += 1
        self.world.later(int(job.work / self.part()), self.ran, job, self.life)

    def ran(self, job, life):
        if life != self.life:
            self.world.end(job, self, ports.EndReason.RESET)
            return
        self.running -= 1
        self.world.end(job, self, ports.EndReason.COMPLETED)
        while self.queue and self.running < self.world.case.cores:
            waits = self.queue.popleft()
            if not waits.over:
                self.run(waits)

    def load(self, fn, waits=None):
        """`waits`: a job, or the dispatcher that has ordered the copy."""
        self.loading[fn] = [waits]
        took = int(self.world.chance.uniform(0.5, 1.5) * self.world.case.load * MS)
        self.world.later(took, self.loaded, fn, self.life)

    def loaded(self, fn, life):
        if life == self.life:
            self.copies.add(fn)
            for waits in self.loading.pop(fn):
                if isinstance(waits, Job):
                    self.enter(waits)
                else:
                    self.world.later(TRANSIT, waits.stands, self, fn)

    def ordered(self, dispatcher, fn):
        if not self.usable:
            self.world.later(TRANSIT, dispatcher.stands, self, fn, ports.EndReason.NO_CONNECTION, 0)
        elif fn in self.copies:
            self.world.later(TRANSIT, dispatcher.stands, self, fn)
        elif fn in self.loading:
            self.loading[fn].append(dispatcher)
        else:
            self.load(fn, dispatcher)


class Asked:
    """An activation that no final answer has ended."""

    __slots__ = ("fn", "type", "work", "sends")

    def __init__(self, fn, type_, work):
        self.fn, self.type, self.work, self.sends = fn, type_, work, 0


class Dispatcher:
    """A real `Scheduler` and its outlet."""

    def __init__(self, world, rate):
        """`rate`: activations a second."""
        self.world, self.rate, self.jobs, self.scheduler, self.life = world, rate, {}, None, 0

    def begin(self):
        """A new life that knows the list and nothing else. Who waits for the one before is lost."""
        for act, _ in self.jobs:
            self.world.acts.pop(act, None)
        self.jobs, self.life = {}, self.life + 1
        self.scheduler = Scheduler(self.world.now, self.world.terms, self.world.chance.getrandbits(60), self)
        self.scheduler.endpoints_changed(
            self.world.now, [self.world.listed(w) for w in self.world.workers], True
        )

    # What `ports.Outlet` names.
    def send(self, act, worker, limit):
        world, asked = self.world, self.world.acts[act]
        job = Job(self, act, asked.sends, asked.fn, asked.work, world.now)
        asked.sends += 1
        self.jobs[act, job.n] = job
        world.sends += 1
        world.later(TRANSIT, world.by_name[worker].arrives, job, world.weights[asked.type])

    def reject(self, act, retry_after):
        world = self.world
        world.rejected += 1
        asked = world.acts.pop(act)
        if world.chance.random() < world.case.retries:
            again = retry_after + int(world.chance.random() * 300 * MS)
            world.later(again, world.ask, self, asked.fn, asked.type)

    def abort(self, act):
        self.world.aborted += 1
        self.world.acts.pop(act)

    def cancel(self, act, n):
        if job := self.jobs.get((act, n)):
            job.over = True
            self.world.later(0, self.ended, job, "", ports.EndReason.CANCELLED)

    def order_load(self, worker, fn, copies):
        self.world.later(TRANSIT, self.world.by_name[worker].ordered, self, fn)

    def check_health(self, worker):
        raise AssertionError("no probe is allowed here")

    def request_endpoint_list(self):
        raise AssertionError("the list is told here")

    def set_timer(self, mark, wait):
        self.world.later(wait, self.rings, self.life, mark)

    # What the world tells.
    def rings(self, life, mark):
        if life == self.life:
            self.scheduler.timer_fired(self.world.now, mark)

    def told(self, worker, booted):
        if worker.booted == booted:
            if worker.usable:
                worker.book.told.setdefault(self, self.world.now)
            self.scheduler.endpoints_changed(self.world.now, [self.world.listed(worker)], False)

    def stands(self, worker, fn, code=ports.EndReason.COMPLETED, copies=1):
        self.scheduler.load_order_ended(self.world.now, worker.name, fn, code, copies)

    def ended(self, job, worker, code):
        if self.jobs.pop((job.act, job.n), None) is None:
            return
        over = code == ports.EndReason.COMPLETED and job.act in self.world.acts
        if over:
            self.world.completed += 1
            del self.world.acts[job.act]
        note = job.note if code == ports.EndReason.COMPLETED else 0
        took = self.world.now - job.came
        end = ports.AttemptEnd(job.act, job.n, worker, code, note, over, took, None)
        self.scheduler.attempt_ended(self.world.now, end)


class World:
    def __init__(self, case):
        self.case, self.chance, self.now, self.events = case, random.Random(case.seed), 0, []
        self.order, self.ids, self.acts = itertools.count(), itertools.count(), {}
        self.sends = self.rejected = self.aborted = self.completed = 0
        self.terms, mean = self._terms(), sum(case.works) / len(case.works)
        self.weights = {str(n): work / mean for n, work in enumerate(case.works)}
        self.capacity = case.cores * 1000 / mean  # requests of mean work a second that one worker bears
        self.workers = [Worker(self, f"w{n}-{case.seed}") for n in range(case.workers)]
        self.by_name, self.books = {w.name: w for w in self.workers}, []
        heavy = [case.unequal if n % 5 == 0 else 1.0 for n in range(case.dispatchers)]
        rate = case.used * self.capacity * case.workers / sum(heavy)
        self.dispatchers = [Dispatcher(self, rate * part) for part in heavy]

    def _terms(self):
        c = self.case
        type_ = ports.NamespaceType(
            c.target * MS, ports.Effect.REPEATABLE, "all", 0, c.stretch, 4 * c.target * MS
        )
        return ports.Terms(
            zone="",
            dispatchers=c.dispatchers,
            types={str(n): type_ for n in range(len(c.works))},
            quotas={},
            guarantees=ports.Guarantees(0, c.cold * MS, c.cold_part, c.multiple, c.fall * MS),
            orders=ports.LoadOrders(True, c.loads_on_send, 60_000 * MS, 0, 0, 0),
            allowed=ports.Allowed(3, True, True, False, True, 500 * MS),
            must_request_list=False,
            reports_by_probe=False,
            tick=c.tick * MS,
        )

    def later(self, wait, call, *args):
        heapq.heappush(self.events, (self.now + max(0, wait), next(self.order), call, args))

    def listed(self, worker):
        return ports.EndpointEntry(worker.name, "", 0, worker.booted, worker.usable)

    def end(self, job, worker, code):
        job.over = True
        self.later(TRANSIT, job.dispatcher.ended, job, worker.name, code)

    def starts(self, dispatcher):
        dispatcher.begin()
        self.later(int(self.chance.expovariate(dispatcher.rate) * SECOND), self.comes, dispatcher)

    # Clients.
    def comes(self, dispatcher):
        """One activation, and the next one's time."""
        now, c = self.now / MS, self.case
        swing = c.swing if c.burst and c.burst[0] <= now < c.burst[1] else 1.0
        self.later(int(self.chance.expovariate(dispatcher.rate * swing) * SECOND), self.comes, dispatcher)
        fn = int(c.functions * self.chance.random() ** 2)
        self.ask(dispatcher, fn, str(self.chance.randrange(len(c.works))))

    def ask(self, dispatcher, fn, type_):
        act, mean = str(next(self.ids)), self.case.works[int(type_)] * MS
        work = int(self.chance.gammavariate(2, mean / 2))
        self.acts[act] = Asked(fn, type_, work)
        due, hint = self.now + 4 * self.case.target * MS, int(work * self.chance.uniform(0.7, 1.4))
        hint *= self.case.hints
        arrival = ports.Arrival(act, fn, type_, "", due, LANES, hint, self.case.load * MS)
        dispatcher.scheduler.activation_arrived(self.now, arrival)

    # Troubles.
    def restarts(self):
        c = self.case
        gone = self.workers[: max(1, round(c.restarted * c.workers))]
        self.later((c.warm_up - c.away) * MS, self.stop, gone)
        for step in range(c.steps):
            self.later((c.warm_up + step * c.apart) * MS, self.restart, gone[step :: c.steps], step == 0)

    def stop(self, workers):
        for worker in workers:
            worker.stop()
            for dispatcher in self.dispatchers:
                if any(self.case.gone_told):
                    wait = int(self.chance.uniform(*self.case.gone_told) * MS)
                    self.later(wait, dispatcher.told, worker, worker.booted)
                else:
                    dispatcher.told(worker, worker.booted)

    def restart(self, workers, first):
        c = self.case
        for worker in workers:
            worker.speed = c.slow
            book = Book(self.terms, self.capacity * c.slow, self.now)
            self.books.append(book)
            worker.start(book)
            for dispatcher in self.dispatchers:
                if c.fresh and first:
                    book.told[dispatcher] = self.now
                else:
                    at = int(self.chance.uniform(*c.told) * MS)
                    self.later(at, dispatcher.told, worker, worker.booted)
        if c.fresh and first:
            for dispatcher in self.dispatchers:
                dispatcher.begin()

    def kill_dispatchers(self):
        for dispatcher in self.dispatchers:
            dispatcher.begin()
            for book in self.books:
                book.told.setdefault(dispatcher, self.now)

    def play(self):
        for dispatcher in self.dispatchers:
            self.later(int(self.chance.random() * SECOND), self.starts, dispatcher)
        self.restarts()
        for after in self.case.killed:
            self.later((self.case.warm_up + after) * MS, self.kill_dispatchers)
        c = self.case
        end = (c.warm_up + (c.steps - 1) * c.apart + c.cold) * MS
        while self.events and self.events[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self


def play(**figures):
    return World(Case(**figures)).play()
