"""The errors of stored data: what could not be read or written, and why."""

from petrelwood.errors import StorageError


class LogWriteError(StorageError):
    """An append-only log failed to write or to become durable: it takes nothing more."""


class LogFormatError(StorageError):
    """A file is no append-only log, or of a format that this build does not know."""


class RecordError(StorageError):
    """A stored record is whole but can't be decoded by this build."""


class StateUnreadableError(StorageError):
    """The state log holds what this build can't read, or its folder does not give it."""


class SnapshotError(StorageError):
    """A snapshot is damaged, of another kind, or of a version that this build does not know."""


class VersionUnreadableError(StorageError):
    """The folder of versions could not be read just now: this says nothing of the version itself."""
