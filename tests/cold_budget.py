"""An independent check of rule 4: the load that all dispatchers together send to workers that have just
started must not exceed what such a worker tolerates according to the settings.

Real `Scheduler` instances, one per dispatcher of the case, share scripted workers, clients and one virtual
clock; there are no sockets and no event loop. Messages take `TRANSIT` each way; all other durations are drawn
from one seeded generator. Times are integer nanoseconds, except the values of a `Case`, which are
milliseconds.

A `Book` accounts for one start of a worker. A window is as long as the slow start window of the settings
(`fall`) and ends at an arrival. N is the load that the worker tolerates in a window: crash load multiple x
present capacity x window / mean work, where the capacity guaranteed by the settings rises linearly with the
worker's age from the initial share to the whole. The weight of an arrival is the mean work of its type
relative to that of all types, whatever becomes of it. Above N + 2 x root of N + 2 the worker crashes, for N
under 30 above N + 3 x root of N + 3. The rule is broken if more than two thirds of that window came from
dispatchers that had been notified of the start."""

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
NOTIFIED_SHARE = 2 / 3
SMALL_BUDGET = 30  # budgets below this have the wider bound
SLOTS = 4  # activations that one copy runs concurrently
QUEUE_PER_CORE = 8  # maximum number of activations queued at a worker, per core


@dataclass
class Case:
    """The parameters of one simulated run. Times are in ms."""

    seed: int = 1
    dispatchers: int = 25
    workers: int = 8
    cores: int = 4
    works: tuple = (200,)  # mean work of each type
    utilization: float = 0.6  # share of the warm fleet's capacity that clients request
    heavy_factor: float = 1.0  # traffic of a fifth of the dispatchers relative to the others
    functions: int = 24
    load_time: int = 400
    target_latency: int = 1000
    stretch: float = 0.0
    warm_up_time: int = 8000
    initial_capacity_share: float = 0.2
    crash_load_multiple: float = 2.5
    slow_start_window: int = 1500
    loads_on_send: bool = True
    retry_share: float = 0.5  # share of the rejected clients that retry
    first_restart_at: int = 9000  # time of the first restart
    restart_share: float = 0.25  # share of the workers that restart
    restart_groups: int = 1  # number of groups in which they restart, `group_interval` apart
    group_interval: int = 1000
    downtime: int = 1000  # time for which they were stopped before, as all dispatchers know
    start_notice: tuple = (0, 20)  # delays after a start until the first and the last notice
    stop_notice: tuple = (0, 0)  # the same after a stop
    restarts_dispatchers: bool = False  # all dispatchers restart with the first workers, without any state
    dispatcher_kills: tuple = ()  # times after the first restart at which all dispatchers restart
    restarted_speed: float = 1.0  # speed of the restarted workers relative to the others
    tick: int = 10
    hints: bool = True  # requests carry an approximate work hint
    burst_factor: float = 1.0  # factor of the traffic during `burst_period`
    burst_period: tuple = ()  # start and end of the burst


def bound(budget):
    """Return the number of requests of mean work per window that a worker tolerates with this budget N."""
    if budget < SMALL_BUDGET:
        return budget + 3 * math.sqrt(budget) + 3
    return narrow_bound(budget)


def narrow_bound(budget):
    """Return the narrower bound, which is the bound for budgets that are not small."""
    return budget + 2 * math.sqrt(budget) + 2


class Crash(NamedTuple):
    """A window over its bound: its end (ns after the start), the load that arrived in it, N, and the share of
    the load from dispatchers that had been notified."""

    age: int
    arrived: float
    budget: float
    notified_share: float


class Book:
    """The accounts of one start of one worker."""

    def __init__(self, terms, capacity, started):
        """`capacity`: requests of mean work per second when warm."""
        self.guarantees, self.capacity, self.started = terms.guarantees, capacity, started
        self.window, self.sum, self.notified, self.crashes = deque(), 0.0, {}, []
        self.narrow_crashes = []
        self.max_bound_ratio, self.max_budget_ratio, self.total, self.most = 0.0, 0.0, 0, 0

    def budget(self, age):
        """Return N at this age (ns)."""
        guarantees = self.guarantees
        share = (
            guarantees.initial_capacity_share
            + (1 - guarantees.initial_capacity_share) * age / guarantees.warm_up_time
        )
        return guarantees.crash_load_multiple * share * self.capacity * guarantees.slow_start_window / SECOND

    def record_arrival(self, now, dispatcher, weight):
        age = now - self.started
        if age >= self.guarantees.warm_up_time:
            return
        self.window.append((now, dispatcher, weight))
        self.sum += weight
        self.total += 1
        while now - self.window[0][0] > self.guarantees.slow_start_window:
            self.sum -= self.window.popleft()[2]
        budget = self.budget(age)
        self.max_bound_ratio = max(self.max_bound_ratio, self.sum / bound(budget))
        self.max_budget_ratio = max(self.max_budget_ratio, self.sum / budget)
        if self.sum > narrow_bound(budget):
            notified = sum(w for at, who, w in self.window if self.notified.get(who, at + 1) <= at)
            crash = Crash(age, self.sum, budget, notified / self.sum)
            self.narrow_crashes.append(crash)
            if self.sum > bound(budget):
                self.crashes.append(crash)

    def is_broken(self):
        """Return whether the first crash breaks the rule, as notified dispatchers caused it."""
        return bool(self.crashes) and self.crashes[0].notified_share > NOTIFIED_SHARE

    def is_narrowly_broken(self):
        """Return the same for the narrower bound."""
        return bool(self.narrow_crashes) and self.narrow_crashes[0].notified_share > NOTIFIED_SHARE


class Job:
    __slots__ = ("dispatcher", "act", "n", "fn", "work", "sent_at", "note", "is_over")

    def __init__(self, dispatcher, act, n, fn, work, sent_at):
        self.dispatcher, self.act, self.n, self.fn, self.work, self.sent_at = (
            dispatcher,
            act,
            n,
            fn,
            work,
            sent_at,
        )
        self.note, self.is_over = ports.CopyNote.FOUND_WARM, False


class Worker:
    """A worker with cores that run one activation each, a queue, and copies that load and stay loaded. It
    never crashes; its book tells whether it would have."""

    def __init__(self, world, name, speed=1.0):
        self.world, self.name, self.speed, self.booted, self.book = world, name, speed, 0, None
        self.copies, self.loading, self.queue, self.running, self.incarnation = set(), {}, deque(), 0, 0
        self.usable = True

    def stop(self):
        """Stop the worker: its activations are lost with its connections."""
        for job in self.queue:
            self.world.end_job(job, self, ports.EndReason.RESET)
        for fn, waiting in self.loading.items():
            for waiter in waiting:
                if isinstance(waiter, Job):
                    self.world.end_job(waiter, self, ports.EndReason.RESET)
                else:
                    self.world.call_later(
                        TRANSIT, waiter.load_order_ended, self, fn, ports.EndReason.RESET, 0
                    )
        self.copies, self.loading, self.queue, self.running = set(), {}, deque(), 0
        self.usable, self.incarnation = False, self.incarnation + 1

    def start(self, book):
        self.usable, self.booted, self.book = True, self.world.now, book

    def capacity_share(self):
        """Return the present share of its warm capacity."""
        guarantees, age = self.world.terms.guarantees, self.world.now - self.booted
        if not self.booted or age >= guarantees.warm_up_time:
            return self.speed
        return self.speed * (
            guarantees.initial_capacity_share
            + (1 - guarantees.initial_capacity_share) * age / guarantees.warm_up_time
        )

    def arrives(self, job, weight):
        if not self.usable:
            self.world.end_job(job, self, ports.EndReason.NO_CONNECTION)
            return
        if self.book:
            self.book.record_arrival(self.world.now, job.dispatcher, weight)
        if job.fn in self.copies:
            self.enqueue(job)
        elif job.fn in self.loading:
            job.note = ports.CopyNote.AWAITED_LOAD
            self.loading[job.fn].append(job)
        elif self.world.case.loads_on_send:
            job.note = ports.CopyNote.BEGAN_LOAD
            self.load(job.fn, job)
        else:
            self.world.end_job(job, self, ports.EndReason.MISSING)

    def enqueue(self, job):
        if self.running < self.world.case.cores:
            self.run(job)
        elif len(self.queue) < QUEUE_PER_CORE * self.world.case.cores:
            self.queue.append(job)
        else:
            self.world.end_job(job, self, ports.EndReason.FULL)

    def run(self, job):
        self.running += 1
        self.world.call_later(int(job.work / self.capacity_share()), self.finish_run, job, self.incarnation)

    def finish_run(self, job, incarnation):
        if incarnation != self.incarnation:
            self.world.end_job(job, self, ports.EndReason.RESET)
            return
        self.running -= 1
        self.world.end_job(job, self, ports.EndReason.COMPLETED)
        while self.queue and self.running < self.world.case.cores:
            waiter = self.queue.popleft()
            if not waiter.is_over:
                self.run(waiter)

    def load(self, fn, waiter=None):
        """`waiter`: a job, or the dispatcher that ordered the copy."""
        self.loading[fn] = [waiter]
        duration = int(self.world.rng.uniform(0.5, 1.5) * self.world.case.load_time * MS)
        self.world.call_later(duration, self.finish_load, fn, self.incarnation)

    def finish_load(self, fn, incarnation):
        if incarnation == self.incarnation:
            self.copies.add(fn)
            for waiter in self.loading.pop(fn):
                if isinstance(waiter, Job):
                    self.enqueue(waiter)
                else:
                    self.world.call_later(TRANSIT, waiter.load_order_ended, self, fn)

    def order_load(self, dispatcher, fn):
        if not self.usable:
            self.world.call_later(
                TRANSIT, dispatcher.load_order_ended, self, fn, ports.EndReason.NO_CONNECTION, 0
            )
        elif fn in self.copies:
            self.world.call_later(TRANSIT, dispatcher.load_order_ended, self, fn)
        elif fn in self.loading:
            self.loading[fn].append(dispatcher)
        else:
            self.load(fn, dispatcher)


class PendingActivation:
    """An activation without a final answer."""

    __slots__ = ("fn", "type", "work", "sends")

    def __init__(self, fn, type_, work):
        self.fn, self.type, self.work, self.sends = fn, type_, work, 0


class Dispatcher:
    """A real `Scheduler` and its outlet."""

    def __init__(self, world, rate):
        """`rate`: activations per second."""
        self.world, self.rate, self.jobs, self.scheduler, self.incarnation = world, rate, {}, None, 0

    def restart(self):
        """Start a new incarnation that knows only the endpoint list; the previous one's requests are lost."""
        for act, _ in self.jobs:
            self.world.activations.pop(act, None)
        self.jobs, self.incarnation = {}, self.incarnation + 1
        self.scheduler = Scheduler(self.world.now, self.world.terms, self.world.rng.getrandbits(60), self)
        self.scheduler.endpoints_changed(
            self.world.now, [self.world.entry_of(w) for w in self.world.workers], True
        )

    # The methods of `ports.Outlet`.
    def send(self, act, worker, limit):
        world, activation = self.world, self.world.activations[act]
        job = Job(self, act, activation.sends, activation.fn, activation.work, world.now)
        activation.sends += 1
        self.jobs[act, job.n] = job
        world.sends += 1
        world.call_later(TRANSIT, world.by_name[worker].arrives, job, world.weights[activation.type])

    def reject(self, act, retry_after):
        world = self.world
        world.rejected += 1
        activation = world.activations.pop(act)
        if world.rng.random() < world.case.retry_share:
            delay = retry_after + int(world.rng.random() * 300 * MS)
            world.call_later(delay, world.send_request, self, activation.fn, activation.type)

    def abort(self, act):
        self.world.aborted += 1
        self.world.activations.pop(act)

    def cancel(self, act, n):
        if job := self.jobs.get((act, n)):
            job.is_over = True
            self.world.call_later(0, self.attempt_ended, job, "", ports.EndReason.CANCELLED)

    def order_load(self, worker, fn, copies):
        self.world.call_later(TRANSIT, self.world.by_name[worker].order_load, self, fn)

    def check_health(self, worker):
        raise AssertionError("a health check was sent, but none are allowed")

    def request_endpoint_list(self):
        raise AssertionError("the endpoint list was requested, but it is pushed")

    def set_timer(self, mark, wait):
        self.world.call_later(wait, self.timer_fired, self.incarnation, mark)

    # Events.
    def timer_fired(self, incarnation, mark):
        if incarnation == self.incarnation:
            self.scheduler.timer_fired(self.world.now, mark)

    def notify(self, worker, booted):
        if worker.booted == booted:
            if worker.usable:
                worker.book.notified.setdefault(self, self.world.now)
            self.scheduler.endpoints_changed(self.world.now, [self.world.entry_of(worker)], False)

    def load_order_ended(self, worker, fn, reason=ports.EndReason.COMPLETED, copies=1):
        self.scheduler.load_order_ended(self.world.now, worker.name, fn, reason, copies)

    def attempt_ended(self, job, worker, reason):
        if self.jobs.pop((job.act, job.n), None) is None:
            return
        is_final = reason == ports.EndReason.COMPLETED and job.act in self.world.activations
        if is_final:
            self.world.completed += 1
            del self.world.activations[job.act]
        note = job.note if reason == ports.EndReason.COMPLETED else 0
        duration = self.world.now - job.sent_at
        end = ports.AttemptEnd(job.act, job.n, worker, reason, note, is_final, duration, None)
        self.scheduler.attempt_ended(self.world.now, end)


class World:
    def __init__(self, case):
        self.case, self.rng, self.now, self.events = case, random.Random(case.seed), 0, []
        self.event_order, self.ids, self.activations = itertools.count(), itertools.count(), {}
        self.sends = self.rejected = self.aborted = self.completed = 0
        self.terms, mean = self._terms(), sum(case.works) / len(case.works)
        self.weights = {str(n): work / mean for n, work in enumerate(case.works)}
        # requests of mean work per second that one warm worker can run
        self.capacity = case.cores * 1000 / mean
        self.workers = [Worker(self, f"w{n}-{case.seed}") for n in range(case.workers)]
        self.by_name, self.books = {w.name: w for w in self.workers}, []
        traffic_weights = [case.heavy_factor if n % 5 == 0 else 1.0 for n in range(case.dispatchers)]
        rate = case.utilization * self.capacity * case.workers / sum(traffic_weights)
        self.dispatchers = [Dispatcher(self, rate * weight) for weight in traffic_weights]

    def _terms(self):
        c = self.case
        type_ = ports.NamespaceType(
            c.target_latency * MS, ports.Effect.REPEATABLE, "all", 0, c.stretch, 4 * c.target_latency * MS
        )
        return ports.Terms(
            zone="",
            dispatchers=c.dispatchers,
            types={str(n): type_ for n in range(len(c.works))},
            quotas={},
            guarantees=ports.Guarantees(
                0,
                c.warm_up_time * MS,
                c.initial_capacity_share,
                c.crash_load_multiple,
                c.slow_start_window * MS,
            ),
            orders=ports.LoadOrders(True, c.loads_on_send, 60_000 * MS, 0, 0, 0),
            allowed=ports.Allowed(3, True, True, False, True, 500 * MS),
            must_request_list=False,
            reports_by_probe=False,
            tick=c.tick * MS,
        )

    def call_later(self, wait, call, *args):
        heapq.heappush(self.events, (self.now + max(0, wait), next(self.event_order), call, args))

    def entry_of(self, worker):
        return ports.EndpointEntry(worker.name, "", 0, worker.booted, worker.usable)

    def end_job(self, job, worker, reason):
        job.is_over = True
        self.call_later(TRANSIT, job.dispatcher.attempt_ended, job, worker.name, reason)

    def start_dispatcher(self, dispatcher):
        dispatcher.restart()
        self.call_later(int(self.rng.expovariate(dispatcher.rate) * SECOND), self.client_arrives, dispatcher)

    # Clients.
    def client_arrives(self, dispatcher):
        """Send one activation, and schedule the next one."""
        now, c = self.now / MS, self.case
        factor = c.burst_factor if c.burst_period and c.burst_period[0] <= now < c.burst_period[1] else 1.0
        self.call_later(
            int(self.rng.expovariate(dispatcher.rate * factor) * SECOND), self.client_arrives, dispatcher
        )
        fn = int(c.functions * self.rng.random() ** 2)
        self.send_request(dispatcher, fn, str(self.rng.randrange(len(c.works))))

    def send_request(self, dispatcher, fn, type_):
        act, mean = str(next(self.ids)), self.case.works[int(type_)] * MS
        work = int(self.rng.gammavariate(2, mean / 2))
        self.activations[act] = PendingActivation(fn, type_, work)
        due, hint = self.now + 4 * self.case.target_latency * MS, int(work * self.rng.uniform(0.7, 1.4))
        hint *= self.case.hints
        arrival = ports.Arrival(act, fn, type_, "", due, SLOTS, hint, self.case.load_time * MS)
        dispatcher.scheduler.activation_arrived(self.now, arrival)

    # Faults.
    def schedule_restarts(self):
        c = self.case
        restarted = self.workers[: max(1, round(c.restart_share * c.workers))]
        self.call_later((c.first_restart_at - c.downtime) * MS, self.stop, restarted)
        for step in range(c.restart_groups):
            self.call_later(
                (c.first_restart_at + step * c.group_interval) * MS,
                self.restart,
                restarted[step :: c.restart_groups],
                step == 0,
            )

    def stop(self, workers):
        for worker in workers:
            worker.stop()
            for dispatcher in self.dispatchers:
                if any(self.case.stop_notice):
                    delay = int(self.rng.uniform(*self.case.stop_notice) * MS)
                    self.call_later(delay, dispatcher.notify, worker, worker.booted)
                else:
                    dispatcher.notify(worker, worker.booted)

    def restart(self, workers, first):
        c = self.case
        for worker in workers:
            worker.speed = c.restarted_speed
            book = Book(self.terms, self.capacity * c.restarted_speed, self.now)
            self.books.append(book)
            worker.start(book)
            for dispatcher in self.dispatchers:
                if c.restarts_dispatchers and first:
                    book.notified[dispatcher] = self.now
                else:
                    delay = int(self.rng.uniform(*c.start_notice) * MS)
                    self.call_later(delay, dispatcher.notify, worker, worker.booted)
        if c.restarts_dispatchers and first:
            for dispatcher in self.dispatchers:
                dispatcher.restart()

    def kill_dispatchers(self):
        for dispatcher in self.dispatchers:
            dispatcher.restart()
            for book in self.books:
                book.notified.setdefault(dispatcher, self.now)

    def play(self):
        for dispatcher in self.dispatchers:
            self.call_later(int(self.rng.random() * SECOND), self.start_dispatcher, dispatcher)
        self.schedule_restarts()
        for after in self.case.dispatcher_kills:
            self.call_later((self.case.first_restart_at + after) * MS, self.kill_dispatchers)
        c = self.case
        end = (c.first_restart_at + (c.restart_groups - 1) * c.group_interval + c.warm_up_time) * MS
        while self.events and self.events[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)
        return self


def play(**figures):
    return World(Case(**figures)).play()
