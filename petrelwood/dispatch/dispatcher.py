"""The running dispatcher: the core on an event loop, with its links, roster, fronts and folders."""

import asyncio
import gc
import pathlib
from collections.abc import Callable
from random import Random
from typing import Any

from petrelwood.clocks import LoopClock
from petrelwood.decide.delivery import recovery
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.dispatch.core import Core
from petrelwood.dispatch.forecast_storage import ForecastStorage
from petrelwood.dispatch.interfaces import Logger, MakeModule
from petrelwood.dispatch.worker_links import Address
from petrelwood.links.roster import RosterLink
from petrelwood.links.worker import WorkerLink
from petrelwood.ports import EndpointEntry
from petrelwood.settings.gateway import Gateway
from petrelwood.store.history import History
from petrelwood.store.state_log import StateLog

CHECK_INTERVAL = 0.05  # seconds between checks of links and lines that are not at rest
DRAIN_CHECK_INTERVAL = CHECK_INTERVAL / 5  # seconds
LEARNT_PER_CHECK = 20  # functions whose forecasts are learnt: about a twentieth of a core
RENEWAL_INTERVAL = 5_000_000_000  # ns between looks at certificates
ROSTER_TIMEOUTS = 4  # connect timeouts until a roster that does not answer is given up
BOOT_ID = pathlib.Path("/proc/sys/kernel/random/boot_id")


def machine_boot_id() -> str:
    """Return what names this start of the machine; empty where the system does not tell."""
    try:
        return BOOT_ID.read_text().strip()
    except OSError:
        return ""


class Dispatcher(Core):
    """One dispatcher on the running loop.

    `follows`: another process still has the folders; `open_state` and `open_history` are called later.
    """

    learns_in_slices = True

    def __init__(
        self, gateway: Gateway, log: Logger, scheduler: MakeModule = Scheduler, follows: bool = False
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.busy: dict[WorkerLink, bool] = {}  # links that are not at rest
        self.fronts: list[Any] = []
        self.checks: asyncio.TimerHandle | None = None
        super().__init__(gateway, LoopClock(), Random(gateway.seed), self._make_link, log, scheduler)
        self.history: History | None = None
        self.history_has_stopped = False
        self.forecast_storage: ForecastStorage | None = None
        roster_timeout = ROSTER_TIMEOUTS * gateway.workers.connect_within
        self.roster = RosterLink(gateway.roster, self.membership, roster_timeout, self, log)
        self.endpoints_known = asyncio.Event()
        self.renew_at = self.now() + RENEWAL_INTERVAL
        mqtt_identity = gateway.mqtt.tls if gateway.mqtt is not None else None
        identities: list[Any] = [gateway.tls, gateway.worker_tls, mqtt_identity]
        self.identities = [identity for identity in identities if identity]
        if not follows:
            self.open_state()
            self.open_history()

    def _make_link(self, worker: str, address: Address | None, core: Core) -> WorkerLink:
        return WorkerLink(
            worker, address, self.gateway.workers, self.chance.random, self, self.log, self.gateway.worker_tls
        )

    # Folders.
    def sync_state(self, done: Callable[[bool], object]) -> None:
        """Sync the log of state in a thread, then call `done(durable)`; the loop goes on meanwhile."""
        if self.durable_state is None:
            return

        def _report(future: asyncio.Future[bool]) -> None:
            durable = not future.cancelled() and future.exception() is None and future.result()
            self.submit(done, durable)

        sync = self.durable_state.log.sync_task()
        self.loop.run_in_executor(None, sync).add_done_callback(_report)

    def open_state(self, predecessor_runs: bool = False) -> None:
        """Go on from the log of state.

        `predecessor_runs`: the process before still finishes what it has in flight.

        Raises:
            StateUnreadableError: The folder does not give it.
        """
        terms = self.gateway.state
        if terms is None:
            return
        longest = max(self.gateway.remember.values()) + 2 * self.gateway.tolerance
        mark = recovery.boot_mark(machine_boot_id(), self.record_epoch)
        # hundreds of thousands of records are made, and all of them stay
        gc.disable()
        try:
            log = StateLog(
                terms.folder, self.record_time(), mark, longest, terms.durability, now=self.clock.now
            )
            self.adopt(log, predecessor_runs)
        finally:
            gc.enable()

    def open_history(self) -> None:
        """Open the history of executions, and the storage of forecasts beside it."""
        terms = self.gateway.history
        if terms is None:
            return
        self.history = History(terms.folder, terms.max_size, terms.keep)
        self.record_execution = self.history.note
        if self.forecasts is not None:
            self.forecast_storage = ForecastStorage(
                terms.folder, self.forecasts, self.clock, self.loop, self.log
            )

    # While it runs.
    def open(self) -> None:
        """Follow the endpoint list, and check the links and fronts a few times a second."""
        self.roster.open()
        self.checks = self.loop.call_later(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        self.checks = self.loop.call_later(CHECK_INTERVAL, self._check)
        now = self.now()
        for link in list(self.busy):
            if not link.check(now):
                self.busy.pop(link, None)
        for front in self.fronts:
            front.check(now)
        has_learnt = self.forecasts is None or not self.forecasts.learn(LEARNT_PER_CHECK)
        if has_learnt and self.forecast_storage is not None:
            self.forecast_storage.step(now)
        if now >= self.renew_at:
            self.renew_at = now + RENEWAL_INTERVAL
            self._renew()
        if self.membership.is_newly_lost(now):
            self.log.warning("endpoint list lost")
            self.roster.drop()
            self.endpoint_list_lost()

    def _renew(self) -> None:
        """Read certificates that have changed, and write the history and the account of early loads."""
        for identity in self.identities:
            identity.renew(self.log)
        if self.forecast_storage is not None:
            self.forecast_storage.flush()
        if self.history is not None:
            self.history.flush()
            self._report_history(self.history)

    def _report_history(self, history: History) -> None:
        """Log when the history stops, and when it goes on again."""
        if history.stopped and not self.history_has_stopped:
            self.log.warning("history stopped; dispatching goes on", why=history.stopped)
        elif self.history_has_stopped and not history.stopped:
            self.log.info("history recovered", lost=history.lost)
        self.history_has_stopped = bool(history.stopped)

    async def sleep_until(self, when: int) -> None:
        """Wait for a time of the monotonic clock."""
        await asyncio.sleep(max(0, when - self.now()) / 1e9)

    def storm_changed(self, name: str, on: bool) -> None:
        """Tell the fronts of a symptom that has begun or ended."""
        for front in self.fronts:
            front.storm_changed(name, on)

    def schedule_checks(self, link: WorkerLink) -> None:
        """Have a link checked a few times a second, until it says that it is at rest."""
        self.busy[link] = True

    def endpoints_changed(self, entries: list[EndpointEntry], draining: list[str], is_whole: bool) -> None:
        """Learn of a change of the endpoint list, or of the whole list."""
        super().endpoints_changed(entries, draining, is_whole)
        self.endpoints_known.set()

    # The end.
    def still_wanted(self, activation_id: str) -> bool:
        """Return whether an attempt of an activation may leave.

        Its client may have hung up while the loop was held up. What outlives its client goes on.
        """
        pending = self.pending.activations.get(activation_id)
        if pending is None:
            return False
        for exchange, _ in list(pending.waiters):
            exchange.check_departure()
        return activation_id in self.pending.activations

    async def close(self) -> None:
        """Shut down gracefully: admit nothing new, and answer all that is queued or in flight."""
        self.intake.closing = True
        for front in self.fronts:
            front.drain()
        # clients that go on sending are not waited for longer than the longest request may take
        latest = self.now() + max(self.gateway.timeouts.values())
        while self.pending.activations or not all(front.is_drained() for front in self.fronts):
            if not self.pending.activations and self.now() >= latest:
                break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL)
        for front in self.fronts:
            front.close_idle()
        self.roster.close()
        if self.checks is not None:
            self.checks.cancel()
        if self.history is not None:
            self.history.close()
        if self.durable_state is not None:
            self.durable_state.log.close(self.record_time())
        if self.forecast_storage is not None:
            self.forecast_storage.close()
        await asyncio.sleep(CHECK_INTERVAL)
