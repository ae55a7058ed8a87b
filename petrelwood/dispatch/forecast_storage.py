"""Stores the forecasts, so that they survive a restart, and the log of early loads for operators."""

import asyncio
import threading
from collections.abc import Iterator

from petrelwood.decide.forecasting.account import EarlyLoad, LoadEnd
from petrelwood.dispatch.interfaces import Clock, Logger
from petrelwood.dispatch.load_forecasts import LoadForecasts
from petrelwood.store import snapshot
from petrelwood.store.early_load_log import EarlyLoadEnd, EarlyLoadLog
from petrelwood.store.errors import SnapshotError

SNAPSHOT_FILE = "forecast.snap"
SNAPSHOT_KIND = "forecast"
SNAPSHOT_VERSION = 1
SLOTS_PER_SNAPSHOT = 20
FUNCTIONS_PER_STEP = 20  # added to a snapshot per step, so that the event loop is not blocked


class ForecastStorage:
    """Reads the forecasts of one dispatcher from a folder, and saves them there periodically."""

    def __init__(
        self,
        folder: str,
        forecasts: LoadForecasts,
        clock: Clock,
        loop: asyncio.AbstractEventLoop,
        log: Logger,
    ) -> None:
        self.forecasts = forecasts
        self.early = forecasts.early
        self.clock = clock
        self.loop = loop
        self.log = log
        self.account = EarlyLoadLog(folder)
        self.file = self.account.path.with_name(SNAPSHOT_FILE)
        self.next_snapshot = clock.now() + SLOTS_PER_SNAPSHOT * forecasts.slot
        self.unsaved: Iterator[object] | None = None  # the parts that the snapshot in progress lacks
        self.parts: list[object] = []
        self._writing = threading.Lock()  # allows one writer of the file at a time
        self._is_closed = False  # the final snapshot has been written
        self.early.account.on_end = self._record_end
        self._load()

    def _load(self) -> None:
        try:
            found = snapshot.read(self.file, SNAPSHOT_KIND, SNAPSHOT_VERSION)
        except (SnapshotError, OSError) as fault:
            self.log.warning("forecast snapshot unreadable; learning anew", why=f"{self.file}: {fault}")
            return
        if found is not None:
            functions = self.early.forecast.restore(found[1])
            self.log.info("forecast snapshot loaded", functions=functions)

    def _record_end(self, now: int, load: EarlyLoad, end: LoadEnd, seconds: float, memory: float) -> None:
        """Record the end of an early load, with wall-clock times."""
        offset = self.clock.steady_wall() - now
        self.account.record(
            EarlyLoadEnd(
                load.ordered_at + offset,
                load.loaded_at and load.loaded_at + offset,
                now + offset,
                load.function,
                load.zone,
                load.worker,
                end,
                round(seconds, 6),
                round(memory, 6),
            )
        )

    def step(self, now: int) -> None:
        """Continue a snapshot when one is due: collect a few functions a step, then write it in a thread."""
        if self.unsaved is None:
            if now < self.next_snapshot:
                return
            self.next_snapshot = now + SLOTS_PER_SNAPSHOT * self.forecasts.slot
            self.unsaved = self.early.forecast.dump()
            self.parts = []
        for _ in range(FUNCTIONS_PER_STEP):
            part = next(self.unsaved, None)
            if part is None:
                self.unsaved = None
                self.loop.run_in_executor(None, self._write_unless_closed, self.parts)
                self.parts = []
                return
            self.parts.append(part)

    def _write_unless_closed(self, parts: list[object]) -> None:
        """Write a snapshot, in a thread, unless the final snapshot has been written already."""
        with self._writing:
            if not self._is_closed:
                self._write(parts)

    def _write(self, parts: list[object]) -> None:
        try:
            snapshot.write(self.file, SNAPSHOT_KIND, SNAPSHOT_VERSION, parts)
        except OSError as fault:
            self.log.warning("saving the forecast snapshot failed", why=f"{self.file}: {fault}")

    def flush(self) -> None:
        """Write the log of the early loads that have ended."""
        self.account.flush()

    def close(self) -> None:
        """Close the early-load log, and save the final snapshot of the forecasts."""
        self.account.close()
        with self._writing:
            self._is_closed = True
            self._write(list(self.early.forecast.dump()))
