"""Records of what a stand-in saw on its sockets, for the audit: one JSON line per event."""

import pathlib
import time

import orjson


class Records:
    """Writes the records of one process to a file, or nowhere if `folder` is empty.

    The field `at` is the machine's monotonic clock in ns, the same for all processes.
    """

    def __init__(self, folder, name):
        self.file = open(pathlib.Path(folder) / f"{name}.jsonl", "ab", buffering=1 << 16) if folder else None
        self.name, self.flushed = name, 0

    def put(self, what, **fields):
        """Write a record; flush the file if the last flush is over 100 ms ago."""
        if self.file is None:
            return
        now = time.monotonic_ns()
        self.file.write(orjson.dumps({"t": what, "at": now, "who": self.name, **fields}) + b"\n")
        if now - self.flushed > 100_000_000:
            self.flushed = now
            self.file.flush()

    def close(self):
        """Close the file."""
        if self.file is not None:
            self.file.close()
