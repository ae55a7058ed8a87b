"""A Unix socket at a path that processes take over from each other: whoever binds last is found there."""

import contextlib
import os
import pathlib
import socket

OWNER_ONLY = 0o600
BACKLOG = 4  # connections that wait to be accepted: there are no more processes than that


class UnixSocket:
    """A socket bound to a path that only its owner may use; what was there is replaced in one step.

    Args:
        path: Where it is found.
        kind: `socket.SOCK_STREAM`, which then listens, or `socket.SOCK_DGRAM`.

    Raises:
        OSError: It can't be bound.
    """

    def __init__(self, path: str | pathlib.Path, kind: socket.SocketKind) -> None:
        self.path = str(path)
        self.sock = socket.socket(socket.AF_UNIX, kind)
        self.sock.setblocking(False)
        temporary = f"{self.path}.{os.getpid()}"
        self.sock.bind(temporary)
        os.chmod(temporary, OWNER_ONLY)
        if kind == socket.SOCK_STREAM:
            self.sock.listen(BACKLOG)  # before it can be found
        os.replace(temporary, self.path)
        self._inode = os.stat(self.path).st_ino

    def close(self) -> None:
        """Close the socket and remove its path, unless another process has taken that over."""
        self.sock.close()
        with contextlib.suppress(OSError):
            if os.stat(self.path).st_ino == self._inode:
                os.unlink(self.path)
