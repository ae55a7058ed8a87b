"""A model of a worker: cores, lanes, copies that expire, memory, loads, a queue, cold starts, and faults.

Running activations share the cores; more activations than cores lower the efficiency. A worker that has just
started has a reduced capacity, which rises linearly, and it crashes when it is overloaded for too long. Times
in ns, sizes in bytes, work in ns of one core at speed 1."""

from collections import OrderedDict, deque
from typing import NamedTuple


class Build(NamedTuple):
    """The parameters of a worker."""

    cores: int
    speed: float
    memory: int
    loads: int  # concurrent ones; twice as many wait
    queue: int  # at most this many activations wait for a lane or a load
    keep: int  # an idle copy expires after this time
    cold: int  # how long the capacity rises after a start
    cold_from: float  # the share of the capacity at the start
    fall_multiple: float  # overload at which a cold worker crashes, as a multiple of its capacity; 0: never
    fall: int  # the window over which the overload is measured
    thrash: float  # loss of efficiency for each running activation beyond the cores
    eager: bool  # whether it loads another copy by itself when all lanes are busy
    loads_on_send: bool  # whether an activation of a function without a copy starts a load
    start_share: float  # the share of a load's time that the start takes; the rest is the fetch


class Model(NamedTuple):
    """One function's model."""

    name: str
    lanes: int
    size: int
    load_time: int  # the usual time of a load


class Job:
    """An activation at the worker. `where`: 'new', 'queue', 'work' or 'over'."""

    __slots__ = ("model", "work", "left", "done", "due", "copy", "came", "note", "where", "begun")

    def __init__(self, model, work, due, done, came):
        self.model, self.work, self.left, self.due, self.done = model, work, float(work), due, done
        self.copy, self.came, self.note, self.where, self.begun = None, came, 1, "new", came


class Copy:
    """A loaded function. `stale`: a later release has replaced it."""

    __slots__ = ("model", "busy", "idle_since", "release", "stale")

    def __init__(self, model, now, release):
        self.model, self.busy, self.idle_since, self.release, self.stale = model, 0, now, release, False


class Machine:
    """The worker model.

    `fetch(size, done)` fetches bytes from the store. A job ends with `done(word, note)`, word being 'ok',
    'full', 'missing', 'late' or 'cancelled'; a hold (load order) with `done(word, copies)`.
    """

    def __init__(self, clock, build, fetch, chance, booted=0):
        self.clock, self.build, self.fetch, self.chance, self.booted = clock, build, fetch, chance, booted
        self.copies, self.loading, self.load_queue, self.queue, self.at_work = {}, {}, deque(), {}, {}
        self.waiting, self.images, self.releases, self.used = 0, OrderedDict(), {}, 0
        self.slowness, self.paused_until, self.hung, self.fallen = 1.0, 0, False, False
        self.seen, self.timer, self.window, self.holds = clock.now(), None, deque(), []
        self.counts = {"ran": 0, "loads": 0, "failed_loads": 0, "refused": 0, "evicted": 0}

    # Capacity
    def capacity(self):
        """Return the current capacity: the number of speed-1 cores that it amounts to."""
        if self.fallen:
            return 0.0
        part = 1.0
        age = self.clock.now() - self.booted
        if self.booted and age < self.build.cold:
            part = self.build.cold_from + (1 - self.build.cold_from) * age / self.build.cold
        return self.build.cores * self.build.speed * part / self.slowness

    def _rate(self):
        n = len(self.at_work)
        if not n or self.clock.now() < self.paused_until or self.hung:
            return 0.0
        over = max(0, n - self.build.cores)
        return (
            min(1.0, self.build.cores / n)
            * self.capacity()
            / self.build.cores
            / (1 + self.build.thrash * over)
        )

    def _advance(self):
        now = self.clock.now()
        begun = max(self.seen, self.paused_until)
        if now > begun and self.at_work and not self.hung:
            done = (now - begun) * self._rate()
            for job in self.at_work.values():
                job.left -= done
        self.seen = now

    def _schedule_progress(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.at_work and not self.hung and not self.fallen:
            now = self.clock.now()
            if now < self.paused_until:
                self.timer = self.clock.at(self.paused_until, self._progress)
                return
            rate = self._rate() or 1e-9
            left = max(0.0, min(job.left for job in self.at_work.values()))
            wait = int(left / rate) + 1000
            if self.booted and now - self.booted < self.build.cold:
                wait = min(wait, self.build.cold // 64)  # a cold worker's rate changes meanwhile
            self.timer = self.clock.at(now + wait, self._progress)

    def _progress(self):
        self.timer = None
        self._advance()
        for job in [j for j in self.at_work.values() if j.left <= 1]:
            self._finish(job, "ok")
        self._schedule_progress()

    # Activations
    def run(self, model, work, due, done):
        """Accept an activation; return its job, used to cancel it, or None if it was refused at once."""
        now = self.clock.now()
        self._check_overload(work, now)
        job = Job(model, work, due, done, now)
        if self.fallen:
            return None  # a crashed worker answers nothing
        copy = self._free_copy(model)
        if copy is not None:
            self._start(job, copy)
            return job
        if self.waiting >= self.build.queue:
            self.counts["refused"] += 1
            done("full", 0)
            return None
        present = self.copies.get(model.name) or model.name in self.loading
        if not present and not self.build.loads_on_send:
            done("missing", 0)
            return None
        if not present or self.build.eager and not self._copy_coming(model):
            began = self._load(model)
            if not began and not present:
                self.counts["refused"] += 1
                done("full", 0)
                return None
            job.note = 2 if began else 3
        elif model.name in self.loading:
            job.note = 3
        self.queue.setdefault(model.name, deque()).append(job)
        job.where = "queue"
        self.waiting += 1
        return job

    def _copy_coming(self, model):
        coming = self.loading.get(model.name, 0) * model.lanes
        return coming > len(self.queue.get(model.name, ()))

    def _check_overload(self, work, now):
        if not self.booted or not self.build.fall_multiple or now - self.booted >= self.build.cold:
            return
        self.window.append((now, work))
        while self.window and now - self.window[0][0] > self.build.fall:
            self.window.popleft()
        able = self.capacity() * self.build.fall
        asked = sum(work for _, work in self.window)
        if now - self.booted > self.build.fall and asked > self.build.fall_multiple * able * 1.25:
            self.fallen = True

    def _free_copy(self, model):
        """Return the busiest copy that has a free lane, so that others may expire, or None."""
        free = [c for c in self.copies.get(model.name, ()) if c.busy < model.lanes and not c.stale]
        return max(free, key=lambda c: c.busy, default=None)

    def _start(self, job, copy):
        self._advance()
        job.copy, copy.busy, job.where, job.begun = copy, copy.busy + 1, "work", self.clock.now()
        self.at_work[id(job)] = job
        self.counts["ran"] += 1
        self._schedule_progress()

    def _finish(self, job, word):
        del self.at_work[id(job)]
        copy, job.where = job.copy, "over"
        copy.busy -= 1
        copy.idle_since = self.clock.now()
        if not copy.busy:
            if copy.stale:
                self._unload(copy)
            else:
                self.clock.at(copy.idle_since + self.build.keep, self._expire, copy, copy.idle_since)
        self._serve_queue(job.model)
        job.done(word, job.note)

    def _serve_queue(self, model):
        waiting_jobs = self.queue.get(model.name)
        while waiting_jobs:
            copy = self._free_copy(model)
            if copy is None:
                return
            job = waiting_jobs.popleft()
            self.waiting -= 1
            if self.clock.now() >= job.due:  # an activation past its deadline is not started
                job.where = "over"
                job.done("late", 0)
                continue
            self._start(job, copy)
        if waiting_jobs is not None and not waiting_jobs:
            self.queue.pop(model.name, None)

    def cancel(self, job, stops_work):
        """Cancel a job: a queued one is dropped, a running one is stopped only if `stops_work`."""
        if job.where == "queue":
            waiting_jobs = self.queue.get(job.model.name)
            if waiting_jobs and job in waiting_jobs:
                waiting_jobs.remove(job)
                self.waiting -= 1
                job.where = "over"
                job.done("cancelled", 0)
        elif job.where == "work" and stops_work:
            self._advance()
            self._finish(job, "cancelled")
            self._schedule_progress()

    # Copies
    def hold(self, model, count, done):
        """Ensure at least `count` copies; the idle time of existing idle copies restarts."""
        now = self.clock.now()
        loaded = [c for c in self.copies.get(model.name, ()) if not c.stale]
        for copy in loaded:
            if not copy.busy and count:
                copy.idle_since = now
                self.clock.at(now + self.build.keep, self._expire, copy, now)
        missing = count - len(loaded) - self.loading.get(model.name, 0)
        if missing <= 0:
            if len(loaded) >= count:
                done("ok", len(loaded))
            else:
                self._notify_later(model, count, done)
            return
        for _ in range(missing):
            if not self._load(model):
                done("full", len(loaded))
                return
        self._notify_later(model, count, done)

    def _notify_later(self, model, count, done):
        self.holds.append((model.name, count, done))

    def _notify_holds(self, model, failed):
        left = []
        for name, count, done in self.holds:
            loaded = len([c for c in self.copies.get(name, ()) if not c.stale])
            if name != model.name:
                left.append((name, count, done))
            elif loaded >= count:
                done("ok", loaded)
            elif failed or not self.loading.get(name):
                done("error", loaded)
            else:
                left.append((name, count, done))
        self.holds = left

    def preload(self, models):
        """Add copies that are loaded from the beginning, up to half of the memory."""
        now = self.clock.now()
        for model in models:
            if self.used + model.size <= self.build.memory // 2:
                copy = Copy(model, now, 0)
                self.copies.setdefault(model.name, []).append(copy)
                self.used += model.size
                self.images[model.name] = 0
                self.clock.at(now + self.build.keep, self._expire, copy, now)

    def _load(self, model):
        """Start or queue a load; return whether there was room for it."""
        if sum(self.loading.values()) >= 3 * self.build.loads or not self._make_room(model.size):
            return False
        self.used += model.size
        self.loading[model.name] = self.loading.get(model.name, 0) + 1
        self.load_queue.append(model)
        self._start_loads()
        return True

    def _start_loads(self):
        while self.load_queue and sum(self.loading.values()) - len(self.load_queue) < self.build.loads:
            model = self.load_queue.popleft()
            release = self.releases.get(model.name, 0)
            start = int(model.load_time * self.build.start_share)
            if self.images.get(model.name) == release:
                self.images.move_to_end(model.name)
                self.clock.at(self.clock.now() + start, self._loaded, model, release, True)
            else:
                self.fetch(
                    model.size,
                    lambda ok, m=model, r=release, s=start: self.clock.at(
                        self.clock.now() + (s if ok else 0), self._loaded, m, r, ok
                    ),
                )

    def _loaded(self, model, release, ok):
        self.loading[model.name] -= 1
        if not self.loading[model.name]:
            del self.loading[model.name]
        if ok:
            self.counts["loads"] += 1
            self.images[model.name] = release
            while len(self.images) > 256:
                self.images.popitem(last=False)
            copy = Copy(model, self.clock.now(), release)
            copy.stale = release != self.releases.get(model.name, 0)
            if copy.stale:
                self.used -= model.size
            else:
                self.copies.setdefault(model.name, []).append(copy)
                self.clock.at(copy.idle_since + self.build.keep, self._expire, copy, copy.idle_since)
                self._serve_queue(model)
        else:
            self.counts["failed_loads"] += 1
            self.used -= model.size
        if not self.copies.get(model.name) and model.name not in self.loading:
            for job in self.queue.pop(model.name, ()):
                self.waiting -= 1
                job.where = "over"
                job.done("missing", 4)
        self._notify_holds(model, not ok)
        self._start_loads()

    def _make_room(self, size):
        """Unload idle copies, the longest idle first, until there is room; return whether there is."""
        if size > self.build.memory:
            return False
        while self.used + size > self.build.memory:
            idle = [c for copies in self.copies.values() for c in copies if not c.busy]
            if not idle:
                return False
            self.counts["evicted"] += 1
            self._unload(min(idle, key=lambda c: c.idle_since))
        return True

    def _unload(self, copy):
        copies = self.copies.get(copy.model.name, [])
        if copy in copies:
            copies.remove(copy)
            self.used -= copy.model.size
            if not copies:
                del self.copies[copy.model.name]

    def _expire(self, copy, since):
        if not copy.busy and copy.idle_since == since:
            self._unload(copy)

    def release(self, names):
        """Invalidate the copies and images of these functions, because they have a new release.

        Busy copies are unloaded when they become idle.
        """
        for name in names:
            self.releases[name] = self.releases.get(name, 0) + 1
            self.images.pop(name, None)
            for copy in list(self.copies.get(name, ())):
                copy.stale = True
                if not copy.busy:
                    self._unload(copy)

    # Faults
    def slow(self, times):
        self._advance()
        self.slowness = times
        self._schedule_progress()

    def pause(self, length):
        self._advance()
        self.paused_until = max(self.paused_until, self.clock.now() + length)
        self._schedule_progress()

    def hang(self, on):
        self._advance()
        self.hung = on
        self._schedule_progress()

    def gauge(self):
        """Return the load report with the fields that the decision module reads."""
        busy = sum(c.model.size for copies in self.copies.values() for c in copies if c.busy)
        loading = self.used - sum(c.model.size for copies in self.copies.values() for c in copies)
        return {
            "running": len(self.at_work),
            "waiting": self.waiting,
            "cores": min(1.0, len(self.at_work) / self.build.cores),
            "pinned": (busy + loading) / self.build.memory,
            "loads": sum(self.loading.values()),
        }
