"""Whether a dispatcher can really serve, and how much of that its service address says.

    FULL    announced as it is
    LESS    announced, but any other announcement is preferred
    NONE    not announced

What is wrong is either its own (it drains or hands over, stands still, says nothing, knows no fresh list,
can't keep what must be kept) or may be everyone's (no usable worker, answers that do not come in time). For
its own causes it goes at once. For those that may be everyone's it goes to LESS, and to NONE only while it
sees another announcement of the address that is not LESS: if all are ill all stay at LESS, and the last one
can't go, without a word between them. Who went by this comes back to LESS at once when no such other is seen
any more.

It comes back late: after it was well for `settle`, doubled by each time that it went lately; that is
forgotten by half each minute. A drain is meant, and does not count. Times in ns."""

from typing import NamedTuple

FULL, LESS, NONE = "full", "less", "none"
SECOND = 1_000_000_000
FEW = 20  # answers that say something
POOR, WELL = 0.5, 0.8  # of them in time: under the one it is ill, over the other well again
HALF = 60 * SECOND  # after which half of the fault for going is forgotten
DOUBLES = 6  # times at most that `settle` is doubled


class HealthReport(NamedTuple):
    """What a dispatcher says of itself, at each heartbeat."""

    closing: bool  # it drains, or hands over
    listed: int  # ns since its list of workers was known to be fresh
    usable: int  # workers that may be used
    good: int  # answers lately that completed
    bad: int  # and those that did not
    stalled: int  # ns that its loop stood still at the longest, lately
    keeps: bool  # whether what must be kept is kept


class Bounds(NamedTuple):
    silent: int  # ns without a heartbeat after which it is taken to hang
    fresh: int  # ns that a list may be old
    stall: int  # ns that its loop may stand still
    settle: int  # ns that it must be well before it is announced


def wrong(facts, bounds, was_poor=False):
    """(its own cause or "", a cause that may be everyone's or "") of what a dispatcher says."""
    if facts.closing:
        return "it drains", ""
    if facts.stalled > bounds.stall:
        return "its loop stands still", ""
    if facts.listed > bounds.fresh:
        return "its list of workers is old", ""
    if not facts.keeps:
        return "it can't keep what must be kept", ""
    if not facts.usable:
        return "", "no worker is usable"
    seen = facts.good + facts.bad
    if seen >= FEW and facts.good / seen < (WELL if was_poor else POOR):
        return "", "answers do not come in time"
    return "", ""


class Serving:
    """One dispatcher's, as its speaker judges it."""

    def __init__(self, bounds, now):
        self.bounds, self.level, self.why, self.facts, self.heard = (
            bounds,
            NONE,
            "nothing was heard of it yet",
            None,
            now,
        )
        self.well_since, self.fault, self.fault_at, self.poor, self.flaps = None, 0.0, now, False, 0

    def heartbeat(self, now, facts):
        self.facts, self.heard = facts, now

    def _faults(self, now):
        self.fault *= 0.5 ** ((now - self.fault_at) / HALF)
        self.fault_at = now
        return self.fault

    def settles(self, now):
        """How long it must be well now before it is announced."""
        return int(self.bounds.settle * 2 ** min(DOUBLES, self._faults(now)))

    def _verdict(self, now, others):
        if self.facts is None:
            return NONE, "nothing was heard of it yet", False
        if now - self.heard > self.bounds.silent:
            return NONE, "it says nothing", False
        own, shared = wrong(self.facts, self.bounds, self.poor)
        self.poor = shared == "answers do not come in time"
        if own:
            return NONE, own, False
        if shared:
            return (NONE if others else LESS), shared, True
        return FULL, "", False

    def look(self, now, others):
        """Asked at each heartbeat and a few times a second. `others`: whether another announcement that is
        not LESS is seen. Whether level or cause has changed."""
        level, why, shared = self._verdict(now, others)
        before = self.level, self.why
        if level == FULL:
            if self.well_since is None:
                self.well_since = now
            if self.level != FULL and now - self.well_since < self.settles(now):
                level, why = (LESS if self.level == LESS else NONE), "it was not well for long enough"
        else:
            self.well_since = None
        if level == NONE and self.level != NONE:
            self.flaps += 1
            if why != "it drains" and not shared:
                self.fault = self._faults(now) + 1
        self.level, self.why = level, why
        return (level, why) != before

    def due(self, now):
        """When it would change by itself, or None."""
        if self.facts is None:
            return None
        times = [self.heard + self.bounds.silent + 1] if self.level != NONE else []
        if self.well_since is not None and self.level != FULL:
            times.append(self.well_since + self.settles(now))
        return min(times, default=None)
