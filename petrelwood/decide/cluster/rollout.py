"""A staged roll-out of a version over many dispatchers that do not talk: who takes it when, and when each
goes back.

A version is announced to all (how is not ours: a folder that all read, a push): its number, when it began,
and whether anyone has called it off. Each dispatcher has a place in the order, drawn by a hash of its name
and the version, so that no one is always first; stage by stage a larger part takes it. One that took it
compares its answers with those before; where a smaller part completes it goes back by itself and says so,
after which those whose turn has not come do not take it, and those that have it go back too. Of two versions
at once the newer number counts for everyone, whatever came first; one that missed some goes to the newest at
its turn.

Times are wall-clock ns, since all have to mean the same by them, but without the steps of this machine's
clock (`decide.wall_clock`): a step neither skips a stage nor holds one. A version was announced before it is
known of: one that is dated ahead of this clock shows that the clocks differ, and begins when it is first
seen.
"""

import hashlib
import math
from typing import NamedTuple

SECOND = 1_000_000_000
STAGES = (0.02, 0.1, 0.3, 1.0)  # parts of all dispatchers that have it by the end of each stage
DWELL = 30 * SECOND
# answers under the new version that say something; how much smaller a part may be completed
FEW, WORSE = 30, 0.1
SURE = 3.5  # deviations that chance may make, as it is looked at again and again
# What a roll-out that is to end in time leaves for the last dispatchers: a round of questions to the
# configuration servers, an answer, a look at the folder of versions, and taking it, each of them up to a
# second.
RESERVE = 4 * SECOND
LEAST_WITHIN = 7 * SECOND  # a second for each stage but the last
DEFAULT_WITHIN = RESERVE + (len(STAGES) - 1) * DWELL
WATCHED = 2  # stages over which one that took it watches itself


def dwell_for(within, stages=STAGES):
    """The time between two stages, ns, for a version that is to be in force everywhere `within` ns."""
    return (within - RESERVE) // (len(stages) - 1)


class Announced(NamedTuple):
    number: int
    begun: int  # wall-clock ns
    off: bool  # somebody has called it off


def turn(name, version, stages=STAGES, dwell=DWELL):
    """How long after its beginning a dispatcher takes a version, ns."""
    place = (
        int.from_bytes(hashlib.blake2b(f"{name}/{version}".encode(), digest_size=4).digest(), "big") / 2**32
    )
    return next(number for number, part in enumerate(stages) if place < part or part == stages[-1]) * dwell


class Rollout:
    """One dispatcher's part. `version`: what it runs. Ask `look`; it says 'take' N, 'back' N or None, and
    `calls_off` names the version that this dispatcher has found bad."""

    def __init__(self, name, version, stages=STAGES, dwell=DWELL):
        self.name, self.version, self.before, self.stages, self.dwell = name, version, None, stages, dwell
        self.good = self.bad = 0
        self.base, self.took_at, self.calls_off, self.refused = (1.0, 0), None, None, set()
        self.seen_at = {}  # number of an announced version -> when it was first seen here

    def handed(self, ahead=0):
        """What the process that follows must know to go on as this one, as plain values; see `resumed`.
        `ahead`: what the system's wall clock, from which that process begins, is ahead of `look`'s."""
        took_at = None if self.took_at is None else self.took_at + ahead
        return [self.version, self.before, list(self.base), took_at, sorted(self.refused)]

    @classmethod
    def resumed(cls, name, handed, stages=STAGES, dwell=DWELL):
        """The same dispatcher's part in a process that an upgrade has begun: it watches from here on what it
        took over with. Raises `ValueError` for what `handed` can't have said."""
        try:
            version, before, (share, seen), took_at, refused = handed
            made = cls(name, int(version), stages, dwell)
            made.before = None if before is None else int(before)
            made.took_at = None if took_at is None else int(took_at)
            made.base, made.refused = (float(share), int(seen)), {int(r) for r in refused}
        except TypeError as fault:
            raise ValueError(str(fault)) from None
        return made

    def could_not(self):
        """What it said to do could not be done: the version that it was to take is refused here; one to go
        back from stays, and is called off all the same. Returns the version that it is of now."""
        if self.before is not None:
            self.refused.add(self.version)
            self.version, self.before, self.took_at = self.before, None, None
        return self.version

    def ended(self, completed):
        """An answer of something that was taken."""
        if completed:
            self.good += 1
        else:
            self.bad += 1
        if self.took_at is None and self.good + self.bad >= 2000:
            self.good, self.bad = self.good // 2, self.bad // 2  # what is usual follows slowly

    def _share(self):
        seen = self.good + self.bad
        return (self.good / seen if seen else 1.0), seen

    def look(self, wall, announced):
        """`wall`: the time, without steps. `announced`: all `Announced` versions that it knows of, in any
        order."""
        known = {a.number: a for a in announced}
        self.seen_at = {number: self.seen_at.get(number, wall) for number in known}
        mine = known.get(self.version)
        if self.before is not None and mine is not None and mine.off:
            return self._back()
        if self.took_at is not None:
            share, seen = self._share()
            usual = self.base[0]
            noise = SURE * math.sqrt(max(usual * (1 - usual), 0.01) / seen) if seen else 1.0
            if seen >= FEW and self.base[1] >= FEW and share + noise < usual - WORSE:
                self.calls_off = self.version
                return self._back()
            if wall - self.took_at >= WATCHED * self.dwell:
                # it stays, unless it is called off later: what is seen from now on is what is usual
                self.took_at = None
        newer = [
            a for a in announced if a.number > self.version and not a.off and a.number not in self.refused
        ]
        if not newer:
            return None
        newest = max(newer)
        if any(a.number > newest.number and not a.off for a in announced):
            # a newer one that was refused here still counts for the others
            return None
        begun = min(newest.begun, self.seen_at[newest.number])
        if wall < begun + turn(self.name, newest.number, self.stages, self.dwell):
            return None
        if self.took_at is None:  # else it goes on from the one before that
            self.before, self.base = self.version, self._share()
        self.version, self.took_at, self.good, self.bad = newest.number, wall, 0, 0
        return "take", self.version

    def _back(self):
        self.refused.add(self.version)
        self.version, self.before, self.took_at = self.before, None, None
        self.good, self.bad = int(self.base[0] * 100), 100 - int(self.base[0] * 100)
        return "back", self.version
