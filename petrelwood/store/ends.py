"""How early loads ended: a log of rows beside the history, for the account that people read.

A full or failing disk ends the log, never the early loads. When it is as large as its bound it begins anew,
and the one before is kept as `early-old.log`."""

import pathlib

import msgpack

from petrelwood.store import tail

FIELDS = ("asked", "stood", "ended", "function", "hall", "worker", "end", "seconds", "memory")


class Ends:
    """Times are wall-clock ns; `seconds` what it saved less its costs, `memory` the gigabyte-seconds it
    stood."""

    def __init__(self, folder, most=32 << 20, files=None):
        self.path, self.most, self.files, self.stopped = (
            pathlib.Path(folder) / "early.log",
            most,
            files or tail.Files(),
            None,
        )
        self.path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self.log = tail.Log(self.path, self.files, most)
            self.log.records = []
        except (tail.Failed, tail.Refused) as fault:
            self.log, self.stopped = None, str(fault)

    def note(self, *row):
        """A row in the order of `FIELDS`."""
        if self.stopped is not None:
            return
        try:
            if not self.log.append(msgpack.packb(row)):
                self.log.close()
                self.files.replace(str(self.path), str(self.path.with_name("early-old.log")))
                self.log = tail.Log(self.path, self.files, self.most)
                self.log.append(msgpack.packb(row))
        except (tail.Failed, OSError) as fault:
            self.stopped = str(fault)

    def flush(self):
        if self.stopped is None:
            try:
                self.log.flush()
            except tail.Failed as fault:
                self.stopped = str(fault)

    def close(self):
        if self.log is not None:
            try:
                self.log.close()
            except (tail.Failed, OSError) as fault:
                self.stopped = self.stopped or str(fault)


def read(folder):
    """All rows as dicts, the oldest first."""
    rows = []
    for name in ("early-old.log", "early.log"):
        path = pathlib.Path(folder) / name
        if path.exists():
            for record in tail.scan(path.read_bytes())[0]:
                row = msgpack.unpackb(record)
                if len(row) == len(FIELDS):
                    rows.append(dict(zip(FIELDS, row, strict=True)))
    return rows
