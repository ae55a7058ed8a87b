"""The errors of stored data: what could not be read or written, and why."""

from petrelwood.errors import StorageError


class LogWriteError(StorageError):
    """An append-only log could not be written or made durable; it accepts no further record."""


class LogFormatError(StorageError):
    """A file is no append-only log, or has a format that this build does not know."""


class RecordError(StorageError):
    """A stored record is intact but can't be decoded by this build."""


class StateUnreadableError(StorageError):
    """The folder of the state log can't be read, or a segment in it can't be decoded by this build."""


class SnapshotError(StorageError):
    """A snapshot is damaged, of another kind, or of a version that this build does not know."""


class VersionUnreadableError(StorageError):
    """The settings of a version could not be read from the folder; the version itself may be valid."""
