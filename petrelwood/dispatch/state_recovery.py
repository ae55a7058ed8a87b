"""Rewrites the state log after its disk failed, in slices, so that the event loop is never blocked.

`decide.delivery.state_rewrite` decides when this happens and what is written; `store.state_segments` defines
the segments. Activations that begin or end during the rewrite are recorded in the new segment as usual. Each
ledger entry is written in its state at that time, so it never contradicts these records.
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

if TYPE_CHECKING:  # the platform's dispatcher uses no state log
    from petrelwood.store.state_log import StateLog

SLICE = 250  # ids that are written before the event loop regains control
PAUSE = 4 * MILLISECOND  # ns between two slices
STALLED_AFTER = 5_000 * MILLISECOND  # ns without progress after which an attempt counts as failed
LONGEST_BODY = 4096  # bytes; the longest answer that is stored for a retry after a restart


class RecoverySettings(Protocol):
    """The settings in force that determine a rewritten log; see `settings.gateway.Gateway`."""

    @property
    def remember(self) -> dict[str, int]:
        """How long an id is remembered, in ns, by namespace type."""

    @property
    def tolerance(self) -> int:
        """The accepted deviation of a request's timestamp, in ns."""


class RecoveryCore(CoreRuntime, Protocol):
    """The parts of the core that the recovery uses."""

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
        """Return the wall-clock time for records, in ns."""

    def sync_state(self, done: Callable[[bool], object], /) -> object:
        """Sync the state log, then call `done(durable)`."""


class RecoveredState(Protocol):
    """The owner of the log that is recovered; see `dispatch.durable_state.DurableState`."""

    log: "StateLog"

    @property
    def ledger(self) -> Ledger:
        """The ledger, all of whose ids a rewritten log has to hold."""

    def adopt(self, log: "StateLog", /) -> object:
        """Restore the state that another process recorded in the log."""


class StateRecovery:
    """Recovers the state log of one dispatcher after disk failures."""

    def __init__(self, core: RecoveryCore, state: RecoveredState) -> None:
        self.core = core
        self.state = state
        self.schedule = RecoverySchedule(core.chance.random)
        self.recent_orders = RecentOrders(core.terms.orders.period)
        # keys that no slice has written yet; None: no rewrite
        self.unwritten: Iterator[tuple[str, str]] | None = None
        self.progressed_at = 0  # ns; when the current attempt began or last wrote a slice
        self.rejected = 0  # activations rejected in the current outage

    def check(self) -> None:
        """Detect a failure of the log, and start to rewrite it when that is due; called periodically."""
        log = self.state.log
        now = self.core.now()
        if log.stopped is None or (self.unwritten is not None and not log.failed and not self._stalled(now)):
            return
        if not self.schedule.in_outage or self.unwritten is not None:
            self._failed(now)
        elif not log.syncing and self.schedule.attempt_due(now):
            self._attempt(now)

    def _stalled(self, now: int) -> bool:
        """Return whether the current attempt makes no progress, because a bug in this program ended it."""
        return not self.state.log.syncing and now - self.progressed_at > STALLED_AFTER

    def rejected_for(self, now: int) -> int:
        """Count an activation rejected because of the outage; return the ns until the next attempt."""
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
            # Another process had taken over, and its records could not be read until now.
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
            return  # `check` handles the failure
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
