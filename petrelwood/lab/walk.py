"""Model checking of delivery: every order of events of one client, dispatcher, network and worker.

A breadth-first search over all interleavings of these events. The client sends a request, sends it again with
a new signature, or replays an old one. The dispatcher's log takes its records, and the disk has them. An
activation is sent; it arrives and runs, or is lost; its answer arrives or is lost; it times out, or is
rejected unsent. The process is killed, or the machine crashes, and a new incarnation reads what is left. The
production code, `decide.delivery.ledger` and `decide.delivery.recovery`, makes the decisions. Orders that
lead to the same state are explored once.

Checked in each state: a once-only activation has run at most once; a deduplicated one ran as often as workers
that drop repeats allow; each try has one answer per incarnation; nothing that did not run is reported as
completed."""

import collections
import copy
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide.delivery import ledger, recovery
from petrelwood.decide.delivery.state_records import ActivationAdmitted, ActivationEnded, IncarnationStarted

SECOND = 1_000_000_000
TOLERANCE = 300 * SECOND
KEY = ("x", "id")
KINDS = {
    ports.Effect.ONCE_ONLY: ports.NamespaceType(SECOND, ports.Effect.ONCE_ONLY, ports.Scope.ALL, 0),
    ports.Effect.DEDUPLICATED: ports.NamespaceType(
        SECOND, ports.Effect.DEDUPLICATED, ports.Scope.ALL, 30 * SECOND
    ),
    ports.Effect.REPEATABLE: ports.NamespaceType(SECOND, ports.Effect.REPEATABLE, ports.Scope.ALL, 0),
}


class Found(NamedTuple):
    """A violation that the search found."""

    what: str
    steps: tuple  # a shortest sequence of events that leads to it


class World:
    """One state of the model.

    `effect`: of the activation; `durability`: of the log; `flaw`: a fault of the dispatcher that the search
    must find: 'no log', 'late log' (the record follows the send), 'forgets' (a new incarnation reads nothing)
    or 'falls' (the machine crashes, although the log is only to survive the process).
    """

    def __init__(self, effect, durability, asks, kills, flaw=""):
        self.effect, self.durability, self.asks, self.kills, self.flaw = effect, durability, asks, kills, flaw
        self.now, self.stamp, self.broken = 1000 * SECOND, 0, ""
        # records on the disk, in the operating system's cache, and in the process
        self.disk, self.system, self.waiting = (), (), ()
        self.net, self.runs = (), 0  # messages in flight: ("run" or "ran", incarnation, try)
        self.incarnation, self.boot, self.alive, self.ledger = 0, 0, False, None
        self.tries, self.taken, self.sent, self.answered = 0, None, False, ()
        self.start()

    def steps(self):
        """Return the events that can happen now."""
        if not self.alive:
            return ["start"]
        found = []
        if self.stamp < self.asks:
            found.append("ask")
        if self.stamp and self.tries < 2 * self.asks:
            found.append("play back")
        if self.waiting:
            found.append("log")
        if self.system and self.durability == "machine":
            found.append("sync")
        if self.taken is not None:
            if not self.sent:
                found += ["reject", *(["send"] if self.may_send() else [])]
            else:
                found.append("time out")
        for message in sorted(set(self.net)):
            found += [
                f"{message[0]} {message[1]}.{message[2]}",
                f"lose {message[0]} {message[1]}.{message[2]}",
            ]
        if self.kills:
            found += ["kill"] + (["fall"] if self.durability == "machine" or self.flaw == "falls" else [])
        return found

    def kept(self):
        """Return whether the admitted activation's record is where the durability requires it."""
        there = self.disk if self.durability == "machine" else self.disk + self.system
        return any(isinstance(r, ActivationAdmitted) and r.timestamp == self.taken_stamp for r in there)

    def may_send(self):
        return (
            self.flaw in ("no log", "late log") or not recovery.is_recorded_first(self.effect) or self.kept()
        )

    def step(self, what):
        """Apply an event; an event's method is found by its name."""
        self.now += SECOND // 1000
        word, _, rest = what.partition(" ")
        if word in ("run", "ran"):
            getattr(self, word)(rest)
        elif word == "lose":
            self.net = self._without(tuple(rest.split(" ")))
        else:
            getattr(self, what.replace(" ", "_"))()

    def _without(self, words):
        kind, mark = words
        found = list(self.net)
        found.remove((kind, *map(int, mark.split("."))))
        return tuple(found)

    def note(self, record):
        if self.flaw != "no log":
            self.waiting += (record,)

    def start(self):
        self.incarnation, self.alive = self.incarnation + 1, True
        types, wall = {"t": KINDS[self.effect]}, self.now
        # A new incarnation's ledger begins now. Timestamps are whole seconds, so that a request signed before
        # it also has an earlier timestamp.
        self.ledger = ledger.Ledger(
            10, 1000, TOLERANCE, types, {"t": 2 * TOLERANCE}, 0 if self.incarnation == 1 else wall
        )
        records = [] if self.flaw == "forgets" else [*self.disk, *self.system]
        if records and self.flaw != "no log":
            found = recovery.replay(records, wall, str(self.boot), self.durability == "machine")
            recovery.restore_ledger(self.ledger, found, self.now, wall)
        self.system += (IncarnationStarted(wall, str(self.boot), self.incarnation, 1),)
        self.taken, self.sent = None, False

    def ask(self):
        self.stamp += 1
        self._comes(self.stamp)

    def play_back(self):
        self.tries += 1
        self._comes(self.stamp)

    def _comes(self, number):
        # The client's clock advances with the dispatcher's, by seconds for each signature.
        stamp = (1000 + 10 * number) * SECOND
        self.now = max(self.now, stamp)
        verdict, entry = self.ledger.admit(self.now, self.now, KEY, stamp, "t")
        if verdict == ledger.LedgerVerdict.RUN:
            if self.taken is not None:
                self.broken = "taken twice at a time"
            self.tries += 1
            self.taken, self.taken_stamp, self.sent, entry.activation_id = self.tries, stamp, False, "a"
            if recovery.is_recorded_first(self.effect):
                self.note(ActivationAdmitted(self.now, *KEY, stamp, "t"))
        elif verdict == ledger.LedgerVerdict.REPEAT_RESULT and not self.runs:
            self.broken = "told to be completed, and never ran"

    def log(self):
        self.system, self.waiting = self.system + self.waiting, ()

    def sync(self):
        self.disk, self.system = self.disk + self.system, ()

    def send(self):
        self.sent, self.net = True, (*self.net, ("run", self.incarnation, self.taken))

    def run(self, mark):
        self.net = self._without(("run", mark))
        # A worker drops a deduplicated activation whose id it knows.
        if not (self.effect == ports.Effect.DEDUPLICATED and self.runs):
            self.runs += 1
        if self.effect == ports.Effect.ONCE_ONLY and self.runs > 1:
            self.broken = "ran twice"
        self.net += (("ran", *map(int, mark.split("."))),)

    def ran(self, mark):
        self.net = self._without(("ran", mark))
        if (self.incarnation, self.taken) == tuple(map(int, mark.split("."))):
            self._ends(ledger.ActivationState.COMPLETED, True, b"done")

    def time_out(self):
        self._ends(ledger.ActivationState.ABORTED, True)

    def reject(self):
        self._ends(ledger.ActivationState.REJECTED, False)

    def _ends(self, outcome, sent, body=None):
        if (self.incarnation, self.taken) in self.answered:
            self.broken = "answered twice"
        self.answered += ((self.incarnation, self.taken),)
        self.ledger.end(KEY, outcome, body, sent)
        if recovery.is_recorded_first(self.effect):
            self.note(ActivationEnded(self.now, *KEY, outcome, sent, body))
        self.taken, self.sent = None, False

    def kill(self):
        """Kill the process: records not yet written to the system are lost, messages in flight are not."""
        self.kills, self.alive, self.waiting, self.ledger, self.taken = self.kills - 1, False, (), None, None

    def fall(self):
        """Crash the machine: records not yet on the disk are lost."""
        self.system, self.boot = (), self.boot + 1
        self.kill()

    def state(self):
        """Return what distinguishes two states; times don't count."""
        entry = self.ledger.entries.get(KEY) if self.ledger is not None else None
        known = (entry.state, entry.timestamp, entry.may_have_run, entry.result) if entry else None
        records = tuple(
            tuple((type(r).__name__, *r[1:]) for r in part) for part in (self.disk, self.system, self.waiting)
        )
        return (
            self.stamp,
            self.tries,
            self.alive,
            known,
            records,
            tuple(sorted(self.net)),
            min(self.runs, 2),
            self.taken,
            self.sent,
            self.kills,
            self.incarnation,
            bool(self.ledger and self.ledger.complete_since > 1000 * SECOND),
        )


def search(effect, durability="process", asks=2, kills=1, flaw="", most=400_000, deepest=40):
    """Search all states; return (states seen, `Found` or None, whether all were seen)."""
    first = World(effect, durability, asks, kills, flaw)
    seen, todo = {first.state()}, collections.deque([(first, ())])
    while todo:
        world, path = todo.popleft()
        if len(path) >= deepest:
            return len(seen), None, False
        for what in world.steps():
            after = copy.copy(world)
            after.ledger = copy.deepcopy(world.ledger)
            after.step(what)
            if after.broken:
                return len(seen), Found(after.broken, (*path, what)), True
            state = after.state()
            if state not in seen:
                if len(seen) >= most:
                    return len(seen), None, False
                seen.add(state)
                todo.append((after, (*path, what)))
    return len(seen), None, True
