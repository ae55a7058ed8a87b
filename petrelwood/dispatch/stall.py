"""Detects a blocked event loop, and logs the code that blocked it."""

import asyncio
import sys
import threading
import time
from types import FrameType

from petrelwood.dispatch.interfaces import Logger

MIN_INTERVAL = 20_000_000  # ns between two heartbeats of the loop, at least
MISSED_HEARTBEATS = 4  # intervals without a heartbeat after which the loop counts as stalled
STACK_DEPTH = 6  # frames of the blocking code that are logged
MAX_LINES = 100  # log lines of one process


class StallDetector:
    """Records heartbeats by a timer on the loop, and checks them in a thread of its own.

    Each stall is logged once it is over, with the stack that the loop's thread had when it was detected.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, tick: int, log: Logger, max_lines: int = MAX_LINES
    ) -> None:
        self.loop = loop
        self.log = log
        self.interval = max(tick, MIN_INTERVAL) / 1e9  # seconds
        self.remaining_lines = max_lines
        self.last_heartbeat = time.monotonic()
        self.loop_thread = threading.get_ident()
        self.stalls = 0
        self.stack: str | None = None
        self.closed = False

    def open(self) -> None:
        """Begin to watch the loop of the calling thread."""
        self._record_heartbeat()
        threading.Thread(target=self._watch, daemon=True, name="stall-detector").start()

    def _record_heartbeat(self) -> None:
        now = time.monotonic()
        if self.stack is not None and self.remaining_lines > 0:
            self.remaining_lines -= 1
            stalled = round((now - self.last_heartbeat) * 1000)
            self.log.warning("event loop stalled", ms=stalled, at=self.stack)
        self.stack = None
        self.last_heartbeat = now
        if not self.closed:
            self.loop.call_later(self.interval, self._record_heartbeat)

    def _watch(self) -> None:
        while not self.closed:
            time.sleep(self.interval)
            silence = time.monotonic() - self.last_heartbeat
            if silence > MISSED_HEARTBEATS * self.interval and self.stack is None:
                self.stalls += 1
                self.stack = _stack_of(self.loop_thread)

    def close(self) -> None:
        """Stop the thread and the timer, each when it next wakes up."""
        self.closed = True


def _stack_of(thread: int) -> str:
    """Return the innermost frames of a thread, in one line."""
    frame: FrameType | None = sys._current_frames().get(thread)
    places: list[str] = []
    while frame is not None and len(places) < STACK_DEPTH:
        file = frame.f_code.co_filename.rsplit("/", 1)[-1]
        places.append(f"{file}:{frame.f_lineno} {frame.f_code.co_name}")
        frame = frame.f_back
    return " < ".join(places)
