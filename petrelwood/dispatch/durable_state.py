"""The durable record of one dispatcher's activations and load orders.

What must not run twice is recorded before its first send goes out, a load order before it leaves. A restart
reads what the incarnations before have recorded. What follows from a record is decided in
`decide.delivery.recovery`, and the recovery of a log whose disk failed is in `state_recovery`.
"""

from typing import TYPE_CHECKING

from petrelwood.decide.delivery import recovery
from petrelwood.decide.delivery.ledger import ActivationState, Ledger
from petrelwood.decide.delivery.pending import PendingActivation
from petrelwood.decide.delivery.state_records import ActivationEnded, ActivationTaken, LoadOrdered
from petrelwood.dispatch.state_recovery import StateRecovery

if TYPE_CHECKING:
    from petrelwood.dispatch.core import Core
    from petrelwood.store.state_log import StateLog

SURVIVES_MACHINE = "machine"  # the durability of a log whose records are synced before they count


class DurableState:
    """What one dispatcher records in `log`, and what it read there at its start."""

    def __init__(self, core: "Core", ledger: Ledger, log: "StateLog") -> None:
        self.core = core
        self.ledger = ledger
        self.log = log
        self.state_recovery = StateRecovery(self)
        self.restart: recovery.RestartLimits | None = None  # what still follows from the incarnations before
        self.unsynced: dict[str, PendingActivation] = {}  # by id; they begin once their record is synced
        self.syncing = False

    def adopt(self, log: "StateLog", predecessor_runs: bool = False) -> None:
        """Goes on from what the incarnations before have left in a log.

        `predecessor_runs`: the one before still finishes what it has in flight.
        """
        core = self.core
        now = core.now()
        time = core.record_time()
        self.log = log
        found = recovery.replay(log.found, time, log.boot, log.durability == SURVIVES_MACHINE)
        known = recovery.restore_ledger(self.ledger, found, now, time, predecessor_runs)
        log.found = []
        self.restart = recovery.RestartLimits(found, now, time, core.terms.guarantees, core.terms.orders)
        if self.restart.recent_orders and hasattr(core.scheduler, "load_orders_restored"):
            core.scheduler.load_orders_restored(now, self.restart.recent_orders)
        if self.restart.starts_slowly and core.gateway.damps and not predecessor_runs:
            core.intake.concurrency_limit.start_slowly(now)
        if found.least_epoch is not None:
            core.clock_offset_found(found.least_epoch)
        if found.last_record_at:
            core.log.info(
                "state recovered",
                ids=known,
                orders=self.restart.recent_orders,
                in_order=found.ended_in_order,
                whole=bool(found.complete_since),
                clock_back=found.clock_went_back,
            )

    def is_warm_enough(self, worker: str, now: int) -> bool:
        """Whether a worker may be sent anything so soon after the restart: cold ones have to wait."""
        restart = self.restart
        if restart is None or now >= restart.cold_workers_from:
            return True
        booted = self.core.membership.members[worker].booted
        is_cold = bool(booted) and now - booted < self.core.terms.guarantees.cold
        return bool(restart.may_send(now, is_cold))

    # The admission of activations.
    def can_admit(self, type_: str) -> bool:
        """Whether an activation of this type may be admitted: not in an outage if it must not run twice."""
        effect = self.core.terms.types[type_].effect
        return bool(recovery.may_admit(effect, self.log.stopped is None))

    def reject(self, now: int) -> int:
        """Notes that an activation is rejected for the outage; the time (ns) until that may be over."""
        return self.state_recovery.rejected_for(now)

    def record_admitted(self, act: PendingActivation) -> bool:
        """Records a new activation. Returns whether it may begin at once.

        What must not run twice waits until its record is durable, and is rejected where it can't be.
        """
        core = self.core
        customer, id_ = act.key
        timestamp = self.ledger.entries[act.key].timestamp
        self.log.add(ActivationTaken(core.record_time(), customer, id_, timestamp, act.type))
        if not recovery.is_recorded_first(core.terms.types[act.type].effect):
            return True
        if self.log.durability == SURVIVES_MACHINE:
            self.unsynced[act.id] = act
            self._sync()
            return False
        if self.log.flush():
            return True
        core.activations.reject(act, self.reject(core.now()))
        return False

    def _sync(self) -> None:
        """One sync at a time; what comes meanwhile is the next one's."""
        if self.syncing or not self.unsynced:
            return
        self.syncing = True
        waiting = list(self.unsynced)
        self.log.flush()
        self.core.sync_state(lambda durable: self._synced(waiting, durable))

    def _synced(self, waiting: list[str], durable: bool) -> None:
        try:
            self._begin_recorded(waiting, durable and self.log.stopped is None)
        finally:
            self.syncing = False
            self._sync()

    def _begin_recorded(self, waiting: list[str], durable: bool) -> None:
        activations = self.core.activations
        for act_id in waiting:
            act = self.unsynced.pop(act_id, None)
            if act is None or act_id not in activations.pending.activations:
                continue
            if durable:
                activations.begin(act)
            else:
                activations.reject(act, self.reject(self.core.now()))

    # What ends, and what is ordered.
    def record_ended(
        self, key: tuple[str, str], outcome: ActivationState, sent: bool, body: bytes | None
    ) -> None:
        """Records how an activation ended. `body`: the answer, where it is short enough to be cached."""
        self.log.add(ActivationEnded(self.core.record_time(), *key, outcome, sent, body))

    def record_order(self, worker: str, function: str, copies: int) -> bool:
        """Records a load order. Whether it is durable, and may go out."""
        core = self.core
        self.log.add(LoadOrdered(core.record_time(), worker, function, copies))
        if not self.log.flush():
            return False
        self.state_recovery.recent_orders.add(core.now(), worker, function, copies)
        return True

    def flush(self) -> None:
        """Writes what was recorded in a turn of the dispatcher."""
        self.log.flush()

    def check(self) -> None:
        """Called a few times a second: begins segments, and recovers the log after its disk failed."""
        self.log.check(self.core.record_time())
        self.state_recovery.check()

    def take_over_again(self) -> None:
        """The successor has failed: reads what it recorded, and records here again."""
        self.log.take_over_again(self.core.record_time())
        self.adopt(self.log)
