"""What the stores do with files, in one place, so that tests can make each call fail."""

import errno
import os

PRIVATE = 0o600  # what only this user may read
SHARED = 0o666  # what others may read as well, as far as the process's mask allows


class Files:
    """Calls of the operating system on files and folders. Each raises `OSError`."""

    def open(self, path: str) -> int:
        """Opens a log to read it and to append to it; makes it where there is none."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, PRIVATE)

    def create(self, path: str, mode: int = PRIVATE) -> int:
        """Opens an empty file to write it."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)

    def write(self, handle: int, data: bytes | memoryview) -> int:
        """Writes some of the data; how many bytes."""
        return os.write(handle, data)

    def write_all(self, handle: int, data: bytes) -> None:
        """Writes all of the data, in as many pieces as the system takes it in."""
        view = memoryview(data)
        while view:
            written = self.write(handle, view)
            if written <= 0:
                raise OSError(errno.EIO, "nothing was written")
            view = view[written:]

    def sync(self, handle: int) -> None:
        """Makes what was written to a file durable."""
        os.fsync(handle)

    def truncate(self, handle: int, size: int) -> None:
        """Cuts a file after so many bytes."""
        os.ftruncate(handle, size)

    def close(self, handle: int) -> None:
        """Closes a file."""
        os.close(handle)

    def replace(self, source: str, target: str) -> None:
        """Renames a file, in place of one that may stand there."""
        os.replace(source, target)

    def remove(self, path: str) -> None:
        """Removes a file."""
        os.remove(path)

    def sync_folder(self, path: str) -> None:
        """Makes the names in a folder durable."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
