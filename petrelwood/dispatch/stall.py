"""Sees when the loop stands still for longer than a tick, and tells what it was doing."""

import sys
import threading
import time


class StallWatch:
    """The loop beats; a thread looks. One line a stall, with where the loop's thread stood when it was
    noticed."""

    def __init__(self, loop, tick, log, most_lines=100):
        self.loop, self.beat, self.log, self.left = loop, max(tick, 20_000_000) / 1e9, log, most_lines
        self.last, self.stalled, self.ident, self.ends = time.monotonic(), 0, threading.get_ident(), False
        self.seen = None

    def open(self):
        self._beats()
        threading.Thread(target=self._look, daemon=True, name="stall-watch").start()

    def _beats(self):
        now = time.monotonic()
        if self.seen is not None and self.left > 0:
            self.left -= 1
            self.log.warning("the loop stood still", ms=round((now - self.last) * 1000), at=self.seen)
        self.seen, self.last = None, now
        if not self.ends:
            self.loop.call_later(self.beat, self._beats)

    def _look(self):
        while not self.ends:
            time.sleep(self.beat)
            if time.monotonic() - self.last > 4 * self.beat and self.seen is None:
                frame, places = sys._current_frames().get(self.ident), []
                while frame is not None and len(places) < 6:
                    places.append(
                        f"{frame.f_code.co_filename.rsplit('/', 1)[-1]}:{frame.f_lineno} "
                        f"{frame.f_code.co_name}"
                    )
                    frame = frame.f_back
                self.stalled += 1
                self.seen = " < ".join(places)

    def close(self):
        self.ends = True
