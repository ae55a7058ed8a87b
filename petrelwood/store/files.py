"""The file operations of the stores, in a class that tests replace to make operations fail."""

import errno
import os

PRIVATE = 0o600  # the mode of files that only this user may access
SHARED = 0o666  # the mode of files that others may access too, as far as the umask allows


class Files:
    """The operating system's calls on files and folders; each method raises `OSError` if its call fails."""

    def open(self, path: str) -> int:
        """Open a log for reading and appending, and create it if it does not exist; return its descriptor."""
        return os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, PRIVATE)

    def create(self, path: str, mode: int = PRIVATE) -> int:
        """Open an empty file for writing, truncating an existing one; return its descriptor."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, mode)

    def write(self, handle: int, data: bytes | memoryview) -> int:
        """Write some of the data; return how many bytes were written."""
        return os.write(handle, data)

    def write_all(self, handle: int, data: bytes) -> None:
        """Write all of the data, in as many calls as needed."""
        view = memoryview(data)
        while view:
            written = self.write(handle, view)
            if written <= 0:
                raise OSError(errno.EIO, "nothing was written")
            view = view[written:]

    def sync(self, handle: int) -> None:
        """Make what was written to a file durable (fsync)."""
        os.fsync(handle)

    def truncate(self, handle: int, size: int) -> None:
        """Truncate a file to `size` bytes."""
        os.ftruncate(handle, size)

    def close(self, handle: int) -> None:
        """Close a descriptor."""
        os.close(handle)

    def replace(self, source: str, target: str) -> None:
        """Rename a file, replacing the target if it exists."""
        os.replace(source, target)

    def remove(self, path: str) -> None:
        """Remove a file."""
        os.remove(path)

    def sync_folder(self, path: str) -> None:
        """Make the entries of a folder durable: files created, renamed and removed in it."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)
