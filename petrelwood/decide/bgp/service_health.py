"""The health of a dispatcher, and the level at which its service addresses are announced.

A fault is either its own (a graceful shutdown, a stalled event loop, missing heartbeats, a stale endpoint
list, state that can't be made durable), or possibly shared by all dispatchers (no usable worker, answers that
are not in time). For its own fault a dispatcher is withdrawn immediately. For a possibly shared fault it is
REDUCED, and withdrawn only while another announcement of the address is seen that is not REDUCED. Thus, if
all dispatchers are unhealthy, all stay REDUCED and the last one is never withdrawn, although the dispatchers
do not communicate. A dispatcher that was withdrawn for a shared fault is REDUCED again when no such other
announcement is seen.

A dispatcher is announced again only after it was healthy for the settling time. This time doubles with each
recent withdrawal; the number of recent withdrawals is halved each minute. A graceful shutdown is intended and
does not count as a withdrawal. Times in ns.
"""

from enum import StrEnum
from typing import NamedTuple

SECOND = 1_000_000_000
MIN_ANSWERS = 20  # recent answers required to judge the completed share
UNHEALTHY_SHARE = 0.5  # a dispatcher with a completed share below this is unhealthy
HEALTHY_SHARE = 0.8  # an unhealthy dispatcher with a completed share of at least this is healthy again
WITHDRAWALS_HALF_LIFE = 60 * SECOND  # in which the number of recent withdrawals is halved
MAX_DOUBLINGS = 6  # upper bound for doublings of the settling time
SHUTTING_DOWN = "it drains"
ANSWERS_LATE = "answers do not come in time"
NO_HEARTBEAT = "no heartbeat was received yet"


class ServiceLevel(StrEnum):
    """How a service address is announced; the strings are used in the status file and by commands."""

    FULL = "full"
    REDUCED = "less"  # announced, but any other announcement is preferred
    NONE = "none"  # not announced


class HealthReport(NamedTuple):
    """The report of a dispatcher in each heartbeat, with the fields in the order of the wire form."""

    closing: bool  # whether a graceful shutdown or a handover is under way
    list_age: int  # ns since its endpoint list was last known to be up to date
    usable_workers: int
    completed: int  # recent answers that completed
    failed: int  # recent answers that did not complete
    stalled: int  # the longest recent stall of its event loop, ns
    is_durable: bool  # whether the state that must be durable is durable


class HealthBounds(NamedTuple):
    """The limits by which a dispatcher is judged, ns."""

    silence: int  # time without a heartbeat after which it counts as hung
    list_age: int  # highest tolerated age of the endpoint list
    stall: int  # longest tolerated stall of the event loop
    settling: int  # time for which it must be healthy before it is announced


class Fault(NamedTuple):
    """The reason why a dispatcher can't serve."""

    reason: str
    is_shared: bool = False  # whether all dispatchers may have the same fault


def find_fault(report: HealthReport, bounds: HealthBounds, was_late: bool = False) -> Fault | None:
    """Return the fault shown by a report, or None; `was_late`: its answers were late in the last report."""
    if report.closing:
        return Fault(SHUTTING_DOWN)
    if report.stalled > bounds.stall:
        return Fault("its event loop is stalled")
    if report.list_age > bounds.list_age:
        return Fault("its endpoint list is stale")
    if not report.is_durable:
        return Fault("its state can't be made durable")
    if not report.usable_workers:
        return Fault("no worker is usable", is_shared=True)
    answers = report.completed + report.failed
    least_share = HEALTHY_SHARE if was_late else UNHEALTHY_SHARE
    if answers >= MIN_ANSWERS and report.completed / answers < least_share:
        return Fault(ANSWERS_LATE, is_shared=True)
    return None


class ServiceHealth:
    """The health of one dispatcher, as judged by the speaker on the same machine."""

    def __init__(self, bounds: HealthBounds, now: int) -> None:
        self.bounds = bounds
        self.level = ServiceLevel.NONE
        self.reason = NO_HEARTBEAT  # reason for the level; empty at FULL
        self.report: HealthReport | None = None
        self.last_heartbeat = now
        self.well_since: int | None = None
        self.withdrawals = 0
        self._recent_withdrawals = 0.0  # withdrawals for its own faults; decays with time
        self._decayed_at = now
        self._was_late = False

    def heartbeat(self, now: int, report: HealthReport) -> None:
        """Record a heartbeat."""
        self.report = report
        self.last_heartbeat = now

    def settling_time(self, now: int) -> int:
        """Return for how long it must currently be healthy before it is announced, ns."""
        return int(self.bounds.settling * 2 ** min(MAX_DOUBLINGS, self._decay_withdrawals(now)))

    def update(self, now: int, seen_elsewhere: bool) -> bool:
        """Update the level; return whether the level or its reason has changed.

        Call it at each heartbeat and a few times per second. `seen_elsewhere` tells whether another
        announcement that is not REDUCED is seen.
        """
        fault = self._find_fault(now)
        level = _level_of(fault, seen_elsewhere)
        reason = fault.reason if fault is not None else ""
        before = (self.level, self.reason)
        if fault is not None:
            self.well_since = None
        elif not self._has_settled(now):
            level = ServiceLevel.REDUCED if self.level is ServiceLevel.REDUCED else ServiceLevel.NONE
            reason = "it has not been healthy for long enough"
        if level is ServiceLevel.NONE and self.level is not ServiceLevel.NONE:
            self.withdrawals += 1
            if fault is None or (fault.reason != SHUTTING_DOWN and not fault.is_shared):
                self._recent_withdrawals = self._decay_withdrawals(now) + 1
        self.level = level
        self.reason = reason
        return (level, reason) != before

    def next_change(self, now: int) -> int | None:
        """Return when the level would change without another heartbeat, or None."""
        if self.report is None:
            return None
        times = [self.last_heartbeat + self.bounds.silence + 1] if self.level is not ServiceLevel.NONE else []
        if self.well_since is not None and self.level is not ServiceLevel.FULL:
            times.append(self.well_since + self.settling_time(now))
        return min(times, default=None)

    def _find_fault(self, now: int) -> Fault | None:
        if self.report is None:
            return Fault(NO_HEARTBEAT)
        if now - self.last_heartbeat > self.bounds.silence:
            return Fault("its heartbeats have stopped")
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
