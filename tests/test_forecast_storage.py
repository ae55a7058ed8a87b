"""The snapshot of forecasts has one writer at a time, and contains the state at close."""

import asyncio
import pathlib
import tempfile
import threading
import unittest
from unittest import mock

from petrelwood.dispatch import forecast_storage
from petrelwood.dispatch.forecast_storage import SNAPSHOT_KIND, SNAPSHOT_VERSION, ForecastStorage
from petrelwood.store import snapshot

WAIT = 30  # seconds that a thread may take on a busy machine


class Writers(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        loop = asyncio.new_event_loop()
        self.addCleanup(loop.close)
        self.forecasts = mock.Mock(slot=1)
        self.forecasts.early.forecast.dump = lambda: iter(["at the end"])
        clock = mock.Mock(now=lambda: 0)
        self.storage = ForecastStorage(str(self.folder), self.forecasts, clock, loop, mock.Mock())

    def kept(self):
        return snapshot.read(self.storage.file, SNAPSHOT_KIND, SNAPSHOT_VERSION)[1]

    def test_the_end_waits_for_a_write_that_goes_on(self):
        """Two concurrent writers of one temporary file would leave a snapshot that can't be read."""
        writing, go_on, in_write, most = threading.Event(), threading.Event(), [], []
        write = snapshot.write

        def slow_write(*args):
            in_write.append(1)
            most.append(len(in_write))
            if len(most) == 1:
                writing.set()
                go_on.wait(WAIT)
            write(*args)
            in_write.pop()

        with mock.patch.object(forecast_storage.snapshot, "write", slow_write):
            self.storage.forecasts.slot = 0
            with mock.patch.object(self.storage.loop, "run_in_executor", self._in_thread):
                self.storage.next_snapshot = 0
                self.storage.step(1)  # makes the whole snapshot in one step
            self.assertTrue(writing.wait(WAIT))
            closing = threading.Thread(target=self.storage.close)
            closing.start()
            closing.join(0.2)  # enough time for a concurrent write, if nothing prevents it
            go_on.set()
            closing.join(WAIT)
            self.thread.join(WAIT)
        self.assertEqual(max(most), 1)
        self.assertEqual(self.kept(), ["at the end"])

    def test_a_write_that_begins_after_the_end_changes_nothing(self):
        """An older snapshot must not overwrite the one written at close."""
        with mock.patch.object(self.storage.loop, "run_in_executor", self._later):
            self.storage.next_snapshot = 0
            self.forecasts.early.forecast.dump = lambda: iter(["before"])
            self.storage.step(1)
        self.forecasts.early.forecast.dump = lambda: iter(["at the end"])
        self.storage.close()
        self.queued()
        self.assertEqual(self.kept(), ["at the end"])

    def _in_thread(self, _, call, *args):
        self.thread = threading.Thread(target=call, args=args)
        self.thread.start()

    def _later(self, _, call, *args):
        self.queued = lambda: call(*args)


if __name__ == "__main__":
    unittest.main()
