"""Where a configuration server keeps its log: one file, which a kill at any byte of a write leaves whole."""

import contextlib
import pathlib
from typing import Any

from petrelwood.control.errors import LogStorageError
from petrelwood.decide.cluster.replicated_log import Replica
from petrelwood.store import snapshot
from petrelwood.store.errors import SnapshotError
from petrelwood.store.files import Files

KIND = "config-log"  # of the file
VERSION = 1
FILE = "log.snapshot"


class LogStorage:
    """The log's file in a folder. `files`: what is done with files, for tests that make it fail."""

    def __init__(self, folder: str | pathlib.Path, files: Files | None = None) -> None:
        self.path = pathlib.Path(folder) / FILE
        self._files = files or Files()

    def open(self, new_after: int | None) -> Replica:
        """The replica that the folder holds; it does not vote if there is none, as the disk was lost.

        `new_after`: None, or the slot after which a new log begins. Raises `LogStorageError`.
        """
        try:
            replica = self._read()
        except OSError as error:
            raise LogStorageError(f"{self.path} can't be read: {error.strerror}") from error
        except (SnapshotError, ValueError, TypeError) as error:
            raise LogStorageError(f"{self.path} can't be used: {error}") from error
        if new_after is None:
            return replica or Replica(votes_from=None)
        if replica is not None:
            raise LogStorageError(f"{self.path} holds a log; a new one can't begin there")
        replica = Replica(votes_from=new_after + 1)
        replica.chosen = new_after
        replica.changed = True
        return replica

    def _read(self) -> Replica | None:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        try:
            self.path.stat()  # a disk that fails must not pass for one without a log
        except FileNotFoundError:
            return None
        found = snapshot.read(self.path, KIND, VERSION)
        return None if found is None else Replica.from_durable_state(found[1])

    def save(self, value: list[Any]) -> None:
        """Puts the log in place of the one before. Raises OSError; a restart then finds either of them."""
        try:
            snapshot.write(self.path, KIND, VERSION, value, self._files)
        except OSError:
            # never written to again, as a failed fsync proves nothing; it may also be what fills the disk
            with contextlib.suppress(OSError):
                self._files.remove(str(self.path.with_name(self.path.name + ".part")))
            raise
