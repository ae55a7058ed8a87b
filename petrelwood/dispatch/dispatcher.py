"""The running dispatcher: the core on a loop, with its links to workers and the roster, its fronts, its
end."""

import asyncio
import gc
import pathlib
from random import Random

from petrelwood.brain import Brain
from petrelwood.clocks import LoopClock
from petrelwood.decide.delivery import recovery
from petrelwood.dispatch.core import Core
from petrelwood.dispatch.forecast_storage import ForecastStorage
from petrelwood.links.roster import RosterLink
from petrelwood.links.worker import WorkerLink
from petrelwood.store.history import History
from petrelwood.store.state_log import StateLog

CHECK = 0.05  # seconds between looks at links and lines that are not at rest
LEARNT = 20  # functions whose forecasts are learnt at each look: about a twentieth of a core
RENEW = 5_000_000_000  # ns between looks at certificates


def boot():
    """What names this start of the machine; "" where the system does not tell."""
    try:
        return pathlib.Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


class Dispatcher(Core):
    """One dispatcher on the running loop."""

    slices = True

    def __init__(self, gateway, log, brain=Brain, follows=False):
        """`follows`: another process still has the folders; `open_state` and `open_history` come later."""
        self.busy, self.checks, self.fronts, self.loop = {}, None, [], asyncio.get_running_loop()
        super().__init__(gateway, LoopClock(), Random(gateway.seed), self._link, log, brain)
        self.syncing = False
        if not follows:
            self.open_state()
        self.roster = RosterLink(
            gateway.roster, self.membership, 4 * gateway.workers.connect_within, self, log
        )
        self.history = None
        self.forecast_storage = None
        if not follows:
            self.open_history()
        self.endpoints_known, self.renew_at = asyncio.Event(), self.now() + RENEW
        self.identities = [
            tls for tls in (gateway.tls, gateway.worker_tls, gateway.mqtt and gateway.mqtt.tls) if tls
        ]

    # State on the disk, where a record counts only once it is there.
    def sync_soon(self):
        """One sync at a time, in a thread; what comes meanwhile is the next one's."""
        if self.syncing or not self.unkept:
            return
        self.syncing, acts = True, list(self.unkept)
        self.state.flush()
        self.sync_state(lambda durable: self._synced(acts, durable))

    def _synced(self, acts, durable):
        try:
            self.kept(acts, durable and self.state.stopped is None)
        finally:
            self.syncing = False
            self.sync_soon()

    def sync_state(self, done):
        """In a thread: the loop goes on meanwhile."""

        def ended(future):
            durable = not future.cancelled() and future.exception() is None and future.result()
            self.submit(done, durable)

        self.loop.run_in_executor(None, self.state.sync_task()).add_done_callback(ended)

    def open_state(self, elsewhere=False):
        """Raises `store.errors.StateUnreadableError` where the folder holds what this build can't read."""
        terms, longest = self.gateway.state, max(self.gateway.remember.values()) + 2 * self.gateway.tolerance
        if terms is None:
            return
        mark = recovery.boot_mark(boot(), self.record_epoch)
        # hundreds of thousands of records are made, and all of them stay
        gc.disable()
        try:
            self.adopt(
                StateLog(
                    terms.folder, self.record_time(), mark, longest, terms.durability, now=self.clock.now
                ),
                elsewhere,
            )
        finally:
            gc.enable()

    def open_history(self):
        terms = self.gateway.history
        if terms is None:
            return
        self.history = History(terms.folder, terms.most, terms.keep)
        self.record_execution, self.told_stop = self.history.note, False
        if self.forecasts is not None:
            self.forecast_storage = ForecastStorage(
                terms.folder, self.forecasts, self.clock, self.loop, self.log
            )

    def _link(self, worker, address, core):
        return WorkerLink(
            worker, address, self.gateway.workers, self.chance.random, core, self.log, self.gateway.worker_tls
        )

    async def sleep_until(self, when):
        await asyncio.sleep(max(0, when - self.now()) / 1e9)

    def open(self):
        self.roster.open()
        self.checks = self.loop.call_later(CHECK, self._check)

    def _check(self):
        self.checks = self.loop.call_later(CHECK, self._check)
        now = self.now()
        for link in list(self.busy):
            if not link.check(now):
                self.busy.pop(link, None)
        for front in self.fronts:
            front.check(now)
        if self.forecasts is not None:
            if not self.forecasts.learn(LEARNT) and self.forecast_storage is not None:
                self.forecast_storage.step(now)
        if now >= self.renew_at:
            self.renew_at = now + RENEW
            for tls in self.identities:
                tls.renew(self.log)
            if self.history is not None:
                self.history.flush()
                if self.forecast_storage is not None:
                    self.forecast_storage.flush()
                self._report_history()
        if self.membership.is_newly_lost(now):
            self.log.warning("the list of workers is lost")
            self.roster.drop()
            self.endpoint_list_lost()

    def _report_history(self):
        """Logs when the history stops, and when it goes on again."""
        if self.history.stopped and not self.told_stop:
            self.log.warning("history stopped; dispatching goes on", why=self.history.stopped)
        elif self.told_stop and not self.history.stopped:
            self.log.info("history recovered", lost=self.history.lost)
        self.told_stop = bool(self.history.stopped)

    def storm_changed(self, name, on):
        for front in self.fronts:
            front.storm_changed(name, on)

    def active(self, link):
        self.busy[link] = True

    def endpoints_changed(self, entries, leaving, whole):
        super().endpoints_changed(entries, leaving, whole)
        self.endpoints_known.set()

    # The end.
    async def close(self):
        """Takes nothing new, answers all that is owed, and ends."""
        self.intake.closing = True
        for front in self.fronts:
            front.drain()
        # those that go on sending are not waited for longer than the longest request may take
        last = self.now() + max(self.gateway.timeouts.values())
        while self.pending.acts or not all(front.quiet() for front in self.fronts):
            if not self.pending.acts and self.now() >= last:
                break
            await asyncio.sleep(CHECK / 5)
        for front in self.fronts:
            front.close_idle()
        self.roster.close()
        self.checks.cancel()
        if self.history is not None:
            self.history.close()
        if self.state is not None:
            self.state.close(self.record_time())
        if self.forecast_storage is not None:
            self.forecast_storage.close()
        await asyncio.sleep(CHECK)
