"""Every order of events in a small world of one client, one dispatcher with its log, one network and one
worker.

Breadth first over all interleavings of: the client asks, asks again signed anew, plays an old request back;
the dispatcher's log gets its records, the disk has them, an activation goes out; it arrives, runs, or is
lost; its answer arrives or is lost; it times out or is rejected unsent; the process is killed, or the machine
falls, and a new life reads what is left. What is asked and what comes back is decided by the serving code:
`decide.delivery.ledger`, `decide.delivery.recovery`. Two orders that come to the same state are one.

What must hold in each state: what is once-only has run at most once; what is deduplicated ran as often as
workers that drop repeats allow; each try has one answer in a life; nothing is told to be completed that did
not run."""

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
    """A state in which something does not hold."""

    what: str
    steps: tuple  # the shortest way there


class World:
    """`effect` of the activation, `durability` of the log; `flaw`: 'no log', 'late log' (the record after the
    send), 'forgets' (a life that reads nothing) or 'falls' (the machine falls, where the log is only to
    outlive the process): the search must find them."""

    def __init__(self, effect, durability, asks, kills, flaw=""):
        self.effect, self.durability, self.asks, self.kills, self.flaw = effect, durability, asks, kills, flaw
        self.now, self.stamp, self.broken = 1000 * SECOND, 0, ""
        # records: on the disk, in the system, in the process
        self.disk, self.system, self.waiting = (), (), ()
        self.net, self.runs = (), 0  # what is on its way: ("run", life, try) or ("ran", life, try)
        self.life, self.boot, self.alive, self.ledger = 0, 0, False, None
        self.tries, self.taken, self.sent, self.answered = 0, None, False, ()
        self.start()

    # What can happen now.
    def steps(self):
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
        """Whether the record of what was taken is where the durability wants it."""
        there = self.disk if self.durability == "machine" else self.disk + self.system
        return any(isinstance(r, ActivationAdmitted) and r.timestamp == self.taken_stamp for r in there)

    def may_send(self):
        return (
            self.flaw in ("no log", "late log") or not recovery.is_recorded_first(self.effect) or self.kept()
        )

    # What then happens.
    def step(self, what):
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
        self.life, self.alive = self.life + 1, True
        types, wall = {"t": KINDS[self.effect]}, self.now
        # A new life's ledger begins now; a stamp is a whole second, so that what was signed before stays
        # before.
        self.ledger = ledger.Ledger(
            10, 1000, TOLERANCE, types, {"t": 2 * TOLERANCE}, 0 if self.life == 1 else wall
        )
        records = [] if self.flaw == "forgets" else [*self.disk, *self.system]
        if records and self.flaw != "no log":
            found = recovery.replay(records, wall, str(self.boot), self.durability == "machine")
            recovery.restore_ledger(self.ledger, found, self.now, wall)
        self.system += (IncarnationStarted(wall, str(self.boot), self.life, 1),)
        self.taken, self.sent = None, False

    def ask(self):
        self.stamp += 1
        self._comes(self.stamp)

    def play_back(self):
        self.tries += 1
        self._comes(self.stamp)

    def _comes(self, number):
        # The client's clock goes with ours, a second for each time it signs.
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
        self.sent, self.net = True, (*self.net, ("run", self.life, self.taken))

    def run(self, mark):
        self.net = self._without(("run", mark))
        # else the worker knows the id, and drops it
        if not (self.effect == ports.Effect.DEDUPLICATED and self.runs):
            self.runs += 1
        if self.effect == ports.Effect.ONCE_ONLY and self.runs > 1:
            self.broken = "ran twice"
        self.net += (("ran", *map(int, mark.split("."))),)

    def ran(self, mark):
        self.net = self._without(("ran", mark))
        if (self.life, self.taken) == tuple(map(int, mark.split("."))):
            self._ends(ledger.ActivationState.COMPLETED, True, b"done")

    def time_out(self):
        self._ends(ledger.ActivationState.ABORTED, True)

    def reject(self):
        self._ends(ledger.ActivationState.REJECTED, False)

    def _ends(self, outcome, sent, body=None):
        if (self.life, self.taken) in self.answered:
            self.broken = "answered twice"
        self.answered += ((self.life, self.taken),)
        self.ledger.end(KEY, outcome, body, sent)
        if recovery.is_recorded_first(self.effect):
            self.note(ActivationEnded(self.now, *KEY, outcome, sent, body))
        self.taken, self.sent = None, False

    def kill(self):
        """The process goes: what it had not given to the system is lost, what is on its way is not."""
        self.kills, self.alive, self.waiting, self.ledger, self.taken = self.kills - 1, False, (), None, None

    def fall(self):
        """The machine falls: what was not on the disk is lost."""
        self.system, self.boot = (), self.boot + 1
        self.kill()

    def state(self):
        """What tells two states apart, times aside."""
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
            self.life,
            bool(self.ledger and self.ledger.complete_since > 1000 * SECOND),
        )


def search(effect, durability="process", asks=2, kills=1, flaw="", most=400_000, deepest=40):
    """(states seen, `Found` or None, whether all were seen) of a world."""
    first = World(effect, durability, asks, kills, flaw)
    seen, todo = {first.state()}, collections.deque([(first, ())])
    while todo:
        world, way = todo.popleft()
        if len(way) >= deepest:
            return len(seen), None, False
        for what in world.steps():
            after = copy.copy(world)
            after.ledger = copy.deepcopy(world.ledger)
            after.step(what)
            if after.broken:
                return len(seen), Found(after.broken, (*way, what)), True
            state = after.state()
            if state not in seen:
                if len(seen) >= most:
                    return len(seen), None, False
                seen.add(state)
                todo.append((after, (*way, what)))
    return len(seen), None, True
