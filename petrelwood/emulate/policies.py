"""Baseline policies in place of the decision module, for comparison only; production never uses them.

They keep the same rules (no send to a worker that is leaving, no second send of what may have run) and place
each activation at once on some worker, which loads the function if it lacks it. `Oracle` sees the true state
of all workers, which no real dispatcher can; it serves as an upper bound, although it is greedy."""

from random import Random
from zlib import crc32

from petrelwood import ports


class Baseline:
    """Sends at once, and again elsewhere if that is provably harmless; `pick` is the policy.

    `acts`: activation id -> [function, namespace type, deadline, sends, whether it may have run, worker].
    """

    def __init__(self, now, terms, seed, outlet):
        self.terms, self.out, self.chance = terms, outlet, Random(seed)
        self.workers, self.acts, self.load, self.turn = {}, {}, {}, seed
        self.fleet = []

    def endpoints_changed(self, now, entries, whole):
        if whole:
            self.workers = {}
        for entry in entries:
            self.workers[entry.worker] = entry
        self.fleet = sorted(w for w, e in self.workers.items() if e.usable and self._is_warm(e, now))

    def _is_warm(self, entry, now):
        return not entry.booted or now - entry.booted >= self.terms.guarantees.warm_up_time // 2

    def endpoint_list_lost(self, now):
        pass

    def activation_arrived(self, now, arrival):
        type_ = self.terms.types[arrival.type_name]
        self.acts[arrival.activation_id] = [arrival.function, type_, arrival.due, 0, False, None]
        self._send(arrival.activation_id, now, ())

    def _send(self, act_id, now, excluded):
        act = self.acts[act_id]
        names = [w for w in self.fleet if w not in excluded] or self.fleet
        if not names or act[3] >= self.terms.allowed.sends or now >= act[2]:
            self._refuse(act_id)
            return
        worker = self.pick(act[0], names, now)
        act[3], act[5] = act[3] + 1, worker
        self.load[worker] = self.load.get(worker, 0) + 1
        self.out.send(act_id, worker, 0)

    def _refuse(self, act_id):
        act = self.acts.pop(act_id)
        if act[4] and act[1].effect != ports.Effect.REPEATABLE:
            self.out.abort(act_id)
        else:
            self.out.reject(act_id, self.terms.allowed.max_retry_after // 4)

    def client_departed(self, now, act_id):
        self.acts.pop(act_id, None)

    def stream_started(self, now, act_id, n, worker_id):
        pass

    def attempt_ended(self, now, end):
        act_id, worker_id = end.activation_id, end.worker
        self.load[worker_id] = self.load.get(worker_id, 1) - 1
        act = self.acts.get(act_id)
        if act is None:
            return
        if end.is_final:
            del self.acts[act_id]
            return
        act[4] = act[4] or end.reason not in ports.NEVER_RAN
        if act[4] and act[1].effect != ports.Effect.REPEATABLE:
            self._refuse(act_id)
        else:
            self._send(act_id, now, (worker_id,))

    def load_order_ended(self, now, worker_id, key, code, copies):
        pass

    def is_attempt_outdated(self, now, act_id, n, worker_id):
        return False

    def may_attempt_leave(self, now, act_id, n, worker_id):
        return True

    def may_load_order_leave(self, now, given_at):
        return True

    def load_order_withdrawn(self, now, given_at):
        pass

    def load_orders_restored(self, now, orders):
        pass

    def prefetch(self, now, key, slots, load_time):
        return None

    def health_check_ended(self, now, worker_id, code, report):
        pass

    def timer_fired(self, now, mark):
        pass


class RandomOfTwo(Baseline):
    """Picks, of two workers drawn at random, the one with fewer of this dispatcher's sends in flight."""

    def pick(self, key, names, now):
        a, b = self.chance.choice(names), self.chance.choice(names)
        return a if self.load.get(a, 0) <= self.load.get(b, 0) else b


class LeastOutstanding(Baseline):
    """Picks the worker with the fewest of this dispatcher's sends in flight, at random among equals."""

    def pick(self, key, names, now):
        least = min(self.load.get(n, 0) for n in names)
        return self.chance.choice([n for n in names if self.load.get(n, 0) == least])


class RoundRobin(Baseline):
    """Picks the workers one after the other."""

    def pick(self, key, names, now):
        self.turn += 1
        return names[self.turn % len(names)]


class BoundedHash(Baseline):
    """Picks the first worker in the function's hash order within 1.25 times the mean sends in flight."""

    def pick(self, key, names, now):
        bound = 1.25 * (sum(self.load.values()) + 1) / len(names)
        ranked = sorted(names, key=lambda n: crc32(f"{key}/{n}".encode()))
        return next((n for n in ranked if self.load.get(n, 0) + 1 <= max(1.0, bound)), ranked[0])


class Oracle(Baseline):
    """Sees the true state of the workers: prefers a free lane of a loaded copy, then the least load."""

    def see(self, platform):
        self.platform = platform

    def pick(self, key, names, now):
        model, best, best_cost = self.platform.model(key), names[0], None
        for name in names:
            node = self.platform.nodes[name]
            machine = node.machine
            if machine is None or node.muted or node.silent:
                continue
            copies = machine.copies.get(key, ())
            free = any(c.busy < model.lanes and not c.stale for c in copies)
            crowd = (len(machine.at_work) + machine.waiting + 1) / max(0.1, machine.capacity())
            cost = max(1.0, crowd) + (0 if free else 2 if copies or key in machine.loading else 5)
            if best_cost is None or cost < best_cost:
                best, best_cost = name, cost
        return best


def is_baseline(policy):
    """Return whether a policy is one of the baselines, none of which loads a function ahead of its calls."""
    return isinstance(policy, type) and issubclass(policy, Baseline)


def named():
    """Return all policies by name, the decision module first."""
    from petrelwood.decide.scheduling.scheduler import Scheduler

    return {
        "petrelwood": Scheduler,
        "random-of-two": RandomOfTwo,
        "least-outstanding": LeastOutstanding,
        "round-robin": RoundRobin,
        "bounded-hash": BoundedHash,
        "oracle": Oracle,
    }
