"""Begins the state log anew after its disk failed, a slice at a time, so that the loop is never blocked.

What is decided (when, and what is written) is in `decide.delivery.state_rewrite`; what a segment is, in
`store.state_segments`. While this goes on, records of what ends or begins meanwhile are added to the new
segment like any others: an entry of the ledger is written as it stands when its turn comes, so the two never
disagree.
"""

from collections.abc import Callable, Iterator
from itertools import islice
from random import Random
from typing import TYPE_CHECKING, Protocol

from petrelwood import ports
from petrelwood.decide.delivery.ledger import Ledger
from petrelwood.decide.delivery.state_rewrite import (
    MILLISECOND,
    RecentOrders,
    RecoverySchedule,
    entry_records,
    forgotten_record,
)
from petrelwood.dispatch.interfaces import CoreRuntime

if TYPE_CHECKING:  # the platform's dispatcher needs no log
    from petrelwood.store.state_log import StateLog

SLICE = 250  # ids that are written before the loop goes on
PAUSE = 4 * MILLISECOND  # between two slices
STALLED_AFTER = 5_000 * MILLISECOND  # without progress, an attempt counts as failed
LONGEST_BODY = 4096  # bytes of an answer that is kept for a retry after a restart


class RecoverySettings(Protocol):
    """The settings in force that a new log follows; see `settings.gateway.Gateway`."""

    @property
    def remember(self) -> dict[str, int]:
        """How long an id is remembered, in ns, by namespace type."""

    @property
    def tolerance(self) -> int:
        """By how many ns the time of a request may be off."""


class RecoveryCore(CoreRuntime, Protocol):
    """What the recovery needs of the core."""

    @property
    def chance(self) -> Random:
        """The source of random numbers."""

    @property
    def gateway(self) -> RecoverySettings:
        """The settings in force."""

    @property
    def terms(self) -> ports.Terms:
        """The terms of the decision module."""

    def record_time(self) -> int:
        """Return the wall-clock time, in ns, that records carry."""

    def sync_state(self, done: Callable[[bool], object], /) -> object:
        """Sync the log of state, then call `done(durable)`."""


class RecoveredState(Protocol):
    """The state whose log is recovered; see `dispatch.durable_state.DurableState`."""

    log: "StateLog"

    @property
    def ledger(self) -> Ledger:
        """The ids that are known, which a new log has to hold."""

    def adopt(self, log: "StateLog", /) -> object:
        """Go on from what another process has left in the log."""


class StateRecovery:
    """The recovery of the log of one dispatcher's durable state."""

    def __init__(self, core: RecoveryCore, state: RecoveredState) -> None:
        self.core = core
        self.state = state
        self.schedule = RecoverySchedule(core.chance.random)
        self.recent_orders = RecentOrders(core.terms.orders.period)
        self.unwritten: Iterator[tuple[str, str]] | None = None  # ids that wait for their slice
        self.progressed_at = 0  # ns, when the present attempt began or wrote a slice
        self.rejected = 0  # activations that were rejected in this outage

    def check(self) -> None:
        """Notice a failure, and begin the log anew when that is due; called a few times a second."""
        log = self.state.log
        now = self.core.now()
        if log.stopped is None or (self.unwritten is not None and not log.failed and not self._stalled(now)):
            return
        if not self.schedule.in_outage or self.unwritten is not None:
            self._failed(now)
        elif not log.syncing and self.schedule.attempt_due(now):
            self._attempt(now)

    def _stalled(self, now: int) -> bool:
        """Return whether the present attempt goes no further: a defect of ours has ended it."""
        return not self.state.log.syncing and now - self.progressed_at > STALLED_AFTER

    def rejected_for(self, now: int) -> int:
        """Count an activation that is rejected for the outage; return the ns until that may be over."""
        self.rejected += 1
        if not self.schedule.in_outage:
            self.check()
        return max(0, self.schedule.backoff.not_before - now)

    def _failed(self, now: int) -> None:
        first = not self.schedule.in_outage
        self.unwritten = None
        cause = self.state.log.stopped or ""
        delay = self.schedule.failed(now, cause)
        self.core.clock.at(now + delay, self.core.submit, self.check)
        if first:
            self.core.log.error(
                "state log failed: work that must not run twice is rejected until it is recovered",
                cause=cause,
                retry_in=round(delay / 1e9, 2),
            )
        else:
            self.core.log.warning(
                "state log is not recovered",
                cause=cause,
                attempts=self.schedule.attempts,
                retry_in=round(delay / 1e9, 2),
            )

    def _attempt(self, now: int) -> None:
        core = self.core
        reopened = self.state.log.reopen(core.record_time())
        if self.state.log.found:
            # another process had taken over, and what it wrote could not be read until now
            self.state.adopt(self.state.log)
        if not reopened:
            self._failed(now)
            return
        self.unwritten = iter(list(self.state.ledger.entries))
        self.progressed_at = now
        forgotten = forgotten_record(
            self.state.ledger.newest_forgotten,
            core.record_time(),
            core.terms.types,
            core.gateway.remember,
            core.gateway.tolerance,
        )
        if forgotten is not None:
            self.state.log.add(forgotten)
        core.submit(self._write_slice)

    def _write_slice(self) -> None:
        core = self.core
        now = core.now()
        wall = core.record_time()
        if self.unwritten is None or self.state.log.failed:
            return
        self.progressed_at = now
        keys = list(islice(self.unwritten, SLICE))
        for key in keys:
            entry = self.state.ledger.entries.get(key)
            if entry is None:
                continue
            for record in entry_records(key, entry, now, wall, core.gateway.remember, LONGEST_BODY):
                self.state.log.add(record)
        if keys:
            self.state.log.flush()
            core.clock.at(now + PAUSE, core.submit, self._write_slice)
            return
        for record in self.recent_orders.records(now, wall):
            self.state.log.add(record)
        self.state.log.add(self.schedule.outage_record(now, wall))
        self.state.log.flush()
        core.sync_state(self._synced)

    def _synced(self, durable: bool) -> None:
        if not durable or self.unwritten is None or self.state.log.failed:
            return  # `check` sees to it
        self.unwritten = None
        self.state.log.resume()
        attempts = self.schedule.attempts
        lasted = self.schedule.recovered(self.core.now())
        self.core.log.warning(
            "state log recovered",
            after=round(lasted / 1e9, 2),
            attempts=attempts,
            ids=len(self.state.ledger.entries),
            rejected=self.rejected,
        )
        self.rejected = 0
