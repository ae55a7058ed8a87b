"""The durable record of one dispatcher's activations and load orders.

An activation that must not run twice is recorded before its first send, and a load order before it is sent.
After a restart the dispatcher reads the records of earlier incarnations; `decide.delivery.recovery` decides
what follows from them. `state_recovery` recovers a log whose disk failed.
"""

from typing import TYPE_CHECKING, Protocol

from petrelwood.decide.cluster.membership import Membership
from petrelwood.decide.delivery import recovery
from petrelwood.decide.delivery.ledger import ActivationState, Ledger
from petrelwood.decide.delivery.pending import PendingActivation, PendingActivations
from petrelwood.decide.delivery.state_records import ActivationAdmitted, ActivationEnded, LoadOrdered
from petrelwood.decide.delivery.state_rewrite import retry_record
from petrelwood.decide.overload.intake import Intake
from petrelwood.dispatch.interfaces import DecisionModule
from petrelwood.dispatch.state_recovery import RecoveryCore, RecoverySettings, StateRecovery

if TYPE_CHECKING:  # the platform's dispatcher uses no state log
    from petrelwood.store.state_log import StateLog

SURVIVES_MACHINE = "machine"  # the durability of a log that syncs its records before they count as written


class DurableStateSettings(RecoverySettings, Protocol):
    """The settings in force that apply to a restart; see `settings.gateway.Gateway`."""

    @property
    def damps(self) -> bool:
        """Whether the damping of storms is enabled."""


class DurableStateCore(RecoveryCore, Protocol):
    """The parts of the core that `DurableState` uses."""

    @property
    def gateway(self) -> DurableStateSettings:
        """The settings in force."""

    @property
    def intake(self) -> Intake:
        """The admission stage, which may have to start slowly."""

    @property
    def membership(self) -> Membership:
        """The workers by the endpoint list."""

    @property
    def pending(self) -> PendingActivations:
        """The activations without a final answer."""

    @property
    def scheduler(self) -> DecisionModule:
        """The decision module."""

    def clock_offset_found(self, min_clock_offset: int, /) -> object:
        """Handle the least offset (ns) of wall to monotonic clock that earlier processes recorded."""


class RecordedActivations(Protocol):
    """Begins or rejects activations once their record is durable or failed; see `dispatch.activations`."""

    def begin(self, act: PendingActivation, /) -> object:
        """Hand an activation to the decision module."""

    def reject(self, act: PendingActivation, least_wait: int, /) -> object:
        """Reject an activation that has not begun; its client may retry after `least_wait` ns."""


class DurableState:
    """Records the activations and load orders of one dispatcher in `log`, and restores them at its start."""

    def __init__(
        self, core: DurableStateCore, activations: RecordedActivations, ledger: Ledger, log: "StateLog"
    ) -> None:
        self.core = core
        self.activations = activations
        self.ledger = ledger
        self.log = log
        self.state_recovery = StateRecovery(core, self)
        self.restart: recovery.RestartLimits | None = None  # limits that follow from earlier incarnations
        self.unsynced: dict[str, PendingActivation] = {}  # by id; each begins once its record is synced
        self.syncing = False

    def adopt(self, log: "StateLog", predecessor_runs: bool = False) -> None:
        """Restore the state that earlier incarnations recorded in a log, and continue the log.

        `predecessor_runs`: the previous process still finishes its activations in flight.
        """
        core = self.core
        now = core.now()
        time = core.record_time()
        self.log = log
        found = recovery.replay(log.found, time, log.boot, log.durability == SURVIVES_MACHINE)
        known = recovery.restore_ledger(self.ledger, found, now, time, predecessor_runs)
        log.found = []
        self.restart = recovery.RestartLimits(found, now, time, core.terms.guarantees, core.terms.orders)
        if self.restart.recent_orders:
            core.scheduler.load_orders_restored(now, self.restart.recent_orders)
        if self.restart.starts_slowly and core.gateway.damps and not predecessor_runs:
            core.intake.concurrency_limit.start_slowly(now)
        if found.min_clock_offset is not None:
            core.clock_offset_found(found.min_clock_offset)
        if found.last_record_at:
            core.log.info(
                "state recovered",
                ids=known,
                orders=self.restart.recent_orders,
                in_order=found.ended_cleanly,
                whole=bool(found.complete_since),
                clock_back=found.clock_went_back,
            )

    def is_warm_enough(self, worker: str, now: int) -> bool:
        """Return whether a worker may be sent anything; cold workers have to wait after a restart."""
        restart = self.restart
        if restart is None or now >= restart.cold_workers_from:
            return True
        booted = self.core.membership.members[worker].booted
        is_cold = bool(booted) and now - booted < self.core.terms.guarantees.warm_up_time
        return bool(restart.may_send(now, is_cold))

    # Admission
    def can_admit(self, type_: str) -> bool:
        """Return whether this type may be admitted; in an outage, types that must not run twice may not."""
        effect = self.core.terms.types[type_].effect
        return bool(recovery.may_admit(effect, self.log.stopped is None))

    def reject(self, now: int) -> int:
        """Count an activation rejected because of an outage; return the ns until the next attempt."""
        return self.state_recovery.rejected_for(now)

    def record_admitted(self, act: PendingActivation) -> bool:
        """Record a new activation; return whether it may begin at once.

        An activation that must not run twice waits until its record is durable; it is rejected if that fails,
        or if another process has taken over.
        """
        core = self.core
        customer, id_ = act.key
        entry = self.ledger.entries[act.key]
        entry.recorded_timestamp = entry.timestamp
        self.log.add(ActivationAdmitted(core.record_time(), customer, id_, entry.timestamp, act.type))
        if not recovery.is_recorded_first(core.terms.types[act.type].effect):
            return True
        if self.log.durability == SURVIVES_MACHINE:
            self.unsynced[act.id] = act
            self._sync()
            return False
        if self.log.flush() and not self.log.is_superseded():
            return True
        self.activations.reject(act, self.reject(core.now()))
        return False

    def record_retry(self, key: tuple[str, str]) -> None:
        """Record the newest timestamp of an id, if a request that began no activation has brought it.

        To be called before that request is answered: an id is remembered as long as the timestamp of any
        request that was answered is accepted. In an outage nothing can be recorded; the recovery of the log
        then writes the newest timestamp of each id.
        """
        entry = self.ledger.entries.get(key)
        if entry is None or not entry.needs_record():
            return
        if self.log.add(retry_record(key, entry, self.core.record_time())):
            entry.recorded_timestamp = entry.timestamp
            if recovery.is_recorded_first(self.core.terms.types[entry.type_name].effect):
                self.log.flush()

    def _sync(self) -> None:
        """Sync the log unless a sync is in progress; records added meanwhile are left to the next sync."""
        if self.syncing or not self.unsynced:
            return
        self.syncing = True
        waiting = list(self.unsynced)
        self.log.flush()
        self.core.sync_state(lambda durable: self._synced(waiting, durable))

    def _synced(self, waiting: list[str], durable: bool) -> None:
        try:
            may_begin = durable and self.log.stopped is None and not self.log.is_superseded()
            self._begin_recorded(waiting, may_begin)
        finally:
            self.syncing = False
            self._sync()

    def _begin_recorded(self, waiting: list[str], durable: bool) -> None:
        for activation_id in waiting:
            act = self.unsynced.pop(activation_id, None)
            if act is None or activation_id not in self.core.pending.activations:
                continue
            if durable:
                self.activations.begin(act)
            else:
                self.activations.reject(act, self.reject(self.core.now()))

    # Records of ends and load orders
    def record_ended(
        self, key: tuple[str, str], outcome: ActivationState, sent: bool, body: bytes | None
    ) -> None:
        """Record how an activation ended. `body`: the answer, or None if it is too long to be cached."""
        self.log.add(ActivationEnded(self.core.record_time(), *key, outcome, sent, body))

    def record_order(self, worker: str, function: str, copies: int) -> bool:
        """Record a load order; return whether it is durable and may be sent."""
        core = self.core
        self.log.add(LoadOrdered(core.record_time(), worker, function, copies))
        if not self.log.flush():
            return False
        self.state_recovery.recent_orders.add(core.now(), worker, function, copies)
        return True

    def flush(self) -> None:
        """Write the records that were added during one run of the event queue."""
        self.log.flush()

    def check(self) -> None:
        """Begin a new segment when due, and recover the log after a disk failure; called periodically."""
        self.log.check(self.core.record_time())
        self.state_recovery.check()

    def take_over_again(self) -> None:
        """Read the records of the failed successor, and resume recording in this process."""
        self.log.take_over_again(self.core.record_time())
        self.adopt(self.log)
