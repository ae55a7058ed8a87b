"""Whether a dispatcher can serve, and so how its service addresses are announced.

A fault is either its own (a graceful shutdown, a stalled event loop, no heartbeats, an old endpoint list,
state that can't be made durable) or may be shared by all dispatchers (no usable worker, answers that do not
come in time). For its own faults it is withdrawn at once. For those that may be shared it is REDUCED, and
withdrawn only while another announcement of the address is seen that is not: if all are ill all stay REDUCED,
and the last one can't be withdrawn, without a word between them. One that was withdrawn so is REDUCED again
as soon as no such other is seen.

A dispatcher is announced again late: after it was well for the settling time, which doubles with each recent
withdrawal; half of that is forgotten each minute. A graceful shutdown is meant and does not count. Times in
ns.
"""

from enum import StrEnum
from typing import NamedTuple

SECOND = 1_000_000_000
MIN_ANSWERS = 20  # that say something of how many come in time
UNHEALTHY_SHARE = 0.5  # of answers that completed: under it a dispatcher is ill,
HEALTHY_SHARE = 0.8  # and over this it is well again
WITHDRAWALS_HALF_LIFE = 60 * SECOND  # in which half of the withdrawals is forgotten
MAX_DOUBLINGS = 6  # of the settling time
SHUTTING_DOWN = "it drains"
ANSWERS_LATE = "answers do not come in time"
NEVER_HEARD = "nothing was heard of it yet"


class ServiceLevel(StrEnum):
    """How a service address is announced; the strings are those of the status file and the commands."""

    FULL = "full"
    REDUCED = "less"  # announced, but any other announcement is preferred
    NONE = "none"  # not announced


class HealthReport(NamedTuple):
    """What a dispatcher reports of itself in each heartbeat, in the order of its wire form."""

    closing: bool  # a graceful shutdown, or a hand-over
    list_age: int  # ns since its endpoint list was known to be fresh
    usable_workers: int
    completed: int  # recent answers
    failed: int  # recent answers that did not complete
    stalled: int  # ns that its event loop stood still lately, the longest time
    is_durable: bool  # whether what must be durable is


class HealthBounds(NamedTuple):
    """The limits by which a dispatcher is judged, ns."""

    silence: int  # without a heartbeat, after which it is taken to hang
    list_age: int
    stall: int
    settling: int  # for which it must be well before it is announced


class Fault(NamedTuple):
    """What keeps a dispatcher from serving."""

    reason: str
    is_shared: bool = False  # it may be the same at all dispatchers


def find_fault(report: HealthReport, bounds: HealthBounds, was_late: bool = False) -> Fault | None:
    """Return the fault that a report shows, or None; `was_late`: its answers were late before."""
    if report.closing:
        return Fault(SHUTTING_DOWN)
    if report.stalled > bounds.stall:
        return Fault("its loop stands still")
    if report.list_age > bounds.list_age:
        return Fault("its list of workers is old")
    if not report.is_durable:
        return Fault("it can't keep what must be kept")
    if not report.usable_workers:
        return Fault("no worker is usable", is_shared=True)
    answers = report.completed + report.failed
    least_share = HEALTHY_SHARE if was_late else UNHEALTHY_SHARE
    if answers >= MIN_ANSWERS and report.completed / answers < least_share:
        return Fault(ANSWERS_LATE, is_shared=True)
    return None


class ServiceHealth:
    """The health of one dispatcher, as the speaker beside it judges it."""

    def __init__(self, bounds: HealthBounds, now: int) -> None:
        self.bounds = bounds
        self.level = ServiceLevel.NONE
        self.reason = NEVER_HEARD  # for the level; "" at FULL
        self.report: HealthReport | None = None
        self.last_heartbeat = now
        self.well_since: int | None = None
        self.withdrawals = 0
        self._recent_withdrawals = 0.0  # for faults of its own, halved with time
        self._decayed_at = now
        self._was_late = False

    def heartbeat(self, now: int, report: HealthReport) -> None:
        """Take in a heartbeat."""
        self.report = report
        self.last_heartbeat = now

    def settling_time(self, now: int) -> int:
        """Return how long it must be well now before it is announced, ns."""
        return int(self.bounds.settling * 2 ** min(MAX_DOUBLINGS, self._decay_withdrawals(now)))

    def update(self, now: int, seen_elsewhere: bool) -> bool:
        """Judge anew; returns whether the level or its reason has changed.

        It is called at each heartbeat and a few times a second. `seen_elsewhere`: another announcement is
        seen that is not REDUCED.
        """
        fault = self._find_fault(now)
        level = _level_of(fault, seen_elsewhere)
        reason = fault.reason if fault is not None else ""
        before = (self.level, self.reason)
        if fault is not None:
            self.well_since = None
        elif not self._has_settled(now):
            level = ServiceLevel.REDUCED if self.level is ServiceLevel.REDUCED else ServiceLevel.NONE
            reason = "it was not well for long enough"
        if level is ServiceLevel.NONE and self.level is not ServiceLevel.NONE:
            self.withdrawals += 1
            if fault is None or (fault.reason != SHUTTING_DOWN and not fault.is_shared):
                self._recent_withdrawals = self._decay_withdrawals(now) + 1
        self.level = level
        self.reason = reason
        return (level, reason) != before

    def next_change(self, now: int) -> int | None:
        """Return when it would change without another heartbeat, or None."""
        if self.report is None:
            return None
        times = [self.last_heartbeat + self.bounds.silence + 1] if self.level is not ServiceLevel.NONE else []
        if self.well_since is not None and self.level is not ServiceLevel.FULL:
            times.append(self.well_since + self.settling_time(now))
        return min(times, default=None)

    def _find_fault(self, now: int) -> Fault | None:
        if self.report is None:
            return Fault(NEVER_HEARD)
        if now - self.last_heartbeat > self.bounds.silence:
            return Fault("it says nothing")
        fault = find_fault(self.report, self.bounds, self._was_late)
        self._was_late = fault is not None and fault.reason == ANSWERS_LATE
        return fault

    def _has_settled(self, now: int) -> bool:
        if self.well_since is None:
            self.well_since = now
        return self.level is ServiceLevel.FULL or now - self.well_since >= self.settling_time(now)

    def _decay_withdrawals(self, now: int) -> float:
        self._recent_withdrawals *= 0.5 ** ((now - self._decayed_at) / WITHDRAWALS_HALF_LIFE)
        self._decayed_at = now
        return self._recent_withdrawals


def _level_of(fault: Fault | None, seen_elsewhere: bool) -> ServiceLevel:
    if fault is None:
        return ServiceLevel.FULL
    if fault.is_shared and not seen_elsewhere:
        return ServiceLevel.REDUCED
    return ServiceLevel.NONE
