"""The file in which a configuration server stores its log; it is replaced atomically."""

import contextlib
import pathlib
from typing import Any

from petrelwood.control.errors import LogStorageError
from petrelwood.decide.cluster.replicated_log import Replica
from petrelwood.store import snapshot
from petrelwood.store.errors import SnapshotError
from petrelwood.store.files import Files

KIND = "config-log"  # the kind in the snapshot's header
VERSION = 1  # the snapshot's format version
FILE = "log.snapshot"


class LogStorage:
    """The log's file in a folder. `files`: the file operations, replaced by tests that make them fail."""

    def __init__(self, folder: str | pathlib.Path, files: Files | None = None) -> None:
        self.path = pathlib.Path(folder) / FILE
        self._files = files or Files()

    def open(self, new_after: int | None) -> Replica:
        """Return the replica stored in the folder.

        If there is none, the disk was lost, and the replica does not vote. `new_after`: None, or the slot
        after which a new log begins.

        Raises:
            LogStorageError: the file can't be read or decoded, or exists although a new log is to begin.
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
            self.path.stat()  # raises if the disk fails, which must not be mistaken for a missing log
        except FileNotFoundError:
            return None
        found = snapshot.read(self.path, KIND, VERSION)
        return None if found is None else Replica.from_durable_state(found[1])

    def save(self, value: list[Any]) -> None:
        """Replace the stored log.

        Raises:
            OSError: a call failed; a restart may then find the old log or the new one.
        """
        try:
            snapshot.write(self.path, KIND, VERSION, value, self._files)
        except OSError:
            # The temporary file is never reused, because after a failed fsync its contents are uncertain. It
            # is removed, because it may be the file that fills the disk.
            with contextlib.suppress(OSError):
                self._files.remove(str(self.path.with_name(self.path.name + ".part")))
            raise
