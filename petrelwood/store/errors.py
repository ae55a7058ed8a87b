"""The errors of stored data: what could not be read or written, and why."""

from petrelwood.errors import StorageError


class VersionUnreadableError(StorageError):
    """The folder of versions could not be read just now: this says nothing of the version itself."""
