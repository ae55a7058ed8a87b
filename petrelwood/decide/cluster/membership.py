"""What this dispatcher has been told of workers: the list, its gaps, and each worker's lives.

The roster sends a whole list or changes, each with an id that grows. A change that does not follow the one
before means that something was missed: the list is then asked for anew.

A worker's start is told as wall-clock time of the platform and turned into this dispatcher's own clock once
an incarnation. Two things bound what is believed of its age. Our wall clock is read without its steps, so
that the offset between the two clocks is the one of before a step. And an incarnation that was not on the
list when that was last heard has started since: it is no older than that, whatever the clocks say, but for
the time that news of it may take. An incarnation that left the list and comes back is as old as it was."""

from collections import OrderedDict
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide.overload.backoff import Backoff
from petrelwood.decide.wall_clock import FOLLOWED, UnsteppedWallClock

# A list heard now may lack a worker that started up to this much earlier (ns): an age beyond it is an error
# of the clocks, one within it is news that came late.
NEWS_DELAY = 1_500_000_000
DEPARTED = 4_096  # incarnations that have left the list and whose start is remembered

USABLE, DRAINING, GONE = "usable", "draining", "gone"


class Entry(NamedTuple):
    """One worker as the roster tells it."""

    worker: str
    address: tuple  # (host, port)
    zone: str
    cell: int
    booted: int  # wall-clock ns of its start; 0: long ago
    state: str


class Member:
    def __init__(self, entry, booted):
        self.entry, self.booted, self.told = entry, booted, 0  # told: when it was first said to be leaving


class Membership:
    """`told` hands the module's own shape on: (entries, whole). Times in ns of our clock unless said
    otherwise."""

    def __init__(self, lost_after, first_wait, chance):
        self.members, self.epoch, self.number = {}, None, 0
        self.lost_after, self.heard, self.lost = lost_after, 0, False
        self.backoff = Backoff(first_wait, 64 * first_wait, chance)
        self.platform_clock = UnsteppedWallClock()
        self.complete_at = None  # when the list was last known to be complete; None: never yet
        self.departed = OrderedDict()  # (worker, its start as told) -> its start on our clock

    @property
    def resume(self):
        """The id to resume after, or None for a whole list."""
        return None if self.epoch is None else f"{self.epoch}-{self.number}"

    def forget(self):
        """Something was missed: nothing to resume after, the whole list is wanted."""
        self.epoch, self.number = None, 0

    def event(self, id_):
        """'next' where it follows what we have, 'old' where we have it, 'gap' where something was missed."""
        epoch, _, number = id_.rpartition("-")
        if not number.isdigit():
            return "gap"
        if epoch != self.epoch:
            return "gap"
        if int(number) <= self.number:
            return "old"
        return "next" if int(number) == self.number + 1 else "gap"

    def alive(self, now):
        """Bytes came from the roster. Whether this ends a time without it."""
        was, self.heard, self.lost = self.lost, now, False
        self.backoff.succeeded()
        return was

    def clock_was(self, ahead, now):
        """An earlier process on this start of the machine had a wall clock that was ahead of the monotonic
        one by `ahead` only. Either may have been wrong: workers are as old as the lesser of the two says.
        What changes by it, as `whole` lists it."""
        clock = self.platform_clock
        off = 0 if clock.ahead is None else clock.ahead - ahead
        if clock.ahead is None or off > 0:
            clock.ahead = ahead
        listed = []
        for member in self.members.values() if off > FOLLOWED else ():
            if member.booted:
                member.booted = min(now, member.booted + off) or 1
                listed.append(_listed(member))
        return listed

    def confirmed(self, now):
        """What the roster has said so far is all that there was to say at `now`: the list that we have is
        complete as of then."""
        if self.complete_at is not None:
            self.complete_at = now

    def silent(self, now):
        """Whether the list has just been lost: said once for each time."""
        if self.lost or now - self.heard < self.lost_after:
            return False
        self.lost = True
        return True

    def whole(self, id_, entries, now, wall):
        """Takes a whole list; (listed entries for the module, workers that are leaving or gone)."""
        self.epoch, _, number = id_.rpartition("-")
        self.number = int(number)
        named = {e.worker for e in entries}
        leaving = [w for w, m in self.members.items() if w not in named and m.entry.state == USABLE]
        for worker in [w for w in self.members if w not in named]:
            self._remove(worker)
        listed, more = self._take(entries, now, wall)
        return listed, leaving + more

    def change(self, id_, entries, now, wall):
        """Takes changes that follow; the same pair."""
        self.number = int(id_.rpartition("-")[2])
        return self._take(entries, now, wall)

    def _take(self, entries, now, wall):
        listed, leaving = [], []
        platform_wall = self.platform_clock.read(now, wall)
        for entry in entries:
            member = self.members.get(entry.worker)
            if member is None or member.entry.booted != entry.booted:
                was = member
                member = self.members[entry.worker] = Member(entry, self._start(entry, now, platform_wall))
                if was is not None and was.entry.state == USABLE and entry.state == USABLE:
                    member.told = 0
            if entry.state == USABLE:
                member.told = 0
            elif not member.told:
                member.told = now
                leaving.append(entry.worker)
            member.entry = entry
            listed.append(_listed(member))
            if entry.state == GONE:
                self._remove(entry.worker)
        self.complete_at = now
        return listed, leaving

    def _start(self, entry, now, platform_wall):
        """When this incarnation, heard of for the first time, has started on our clock; 0: long ago."""
        if not entry.booted:
            return 0
        known = self.departed.pop((entry.worker, entry.booted), None)
        if known is not None:
            return known
        age = max(0, platform_wall - entry.booted)
        if self.complete_at is not None:
            most = now - self.complete_at
            if age > most + NEWS_DELAY:
                age = most
        return now - age or 1

    def _remove(self, worker):
        member = self.members.pop(worker)
        if not member.booted:
            return
        self.departed[worker, member.entry.booted] = member.booted
        if len(self.departed) > DEPARTED:
            self.departed.popitem(last=False)

    def usable(self, worker):
        member = self.members.get(worker)
        return member is not None and member.entry.state == USABLE

    def address(self, worker):
        member = self.members.get(worker)
        return member.entry.address if member else None


def _listed(member):
    entry = member.entry
    return ports.Listed(entry.worker, entry.zone, entry.cell, member.booted, entry.state == USABLE)


def entry(raw):
    """An `Entry` of what a roster sent; ValueError tells what is wrong with it."""
    if not isinstance(raw, dict):
        raise ValueError("an entry must be an object")
    try:
        host, _, port = raw["address"].rpartition(":")
        made = Entry(
            raw["worker"],
            (host, int(port)),
            raw.get("zone") or "",
            int(raw.get("cell") or 0),
            int(raw.get("booted") or 0),
            raw["state"],
        )
    except (KeyError, ValueError, TypeError, AttributeError) as fault:
        raise ValueError(f"an entry lacks or garbles {fault}") from None
    if not isinstance(made.worker, str) or not made.worker or not isinstance(made.zone, str) or not host:
        raise ValueError("an entry's worker, zone and address must be text")
    if made.state not in (USABLE, DRAINING, GONE):
        raise ValueError(f"an entry's state can't be {made.state!r}")
    return made
