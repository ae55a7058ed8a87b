"""A Unix socket at a path that processes take over from each other; clients reach the last one to bind it."""

import contextlib
import os
import pathlib
import socket

OWNER_ONLY = 0o600
BACKLOG = 4  # connections waiting to be accepted; no more processes than this connect


class UnixSocket:
    """A socket bound to a path that only its owner may access; an existing file is replaced atomically.

    Args:
        path: The path of the socket.
        kind: `socket.SOCK_STREAM`, for a listening socket, or `socket.SOCK_DGRAM`.

    Raises:
        OSError: The socket can't be bound.
    """

    def __init__(self, path: str | pathlib.Path, kind: socket.SocketKind) -> None:
        self.path = str(path)
        self.sock = socket.socket(socket.AF_UNIX, kind)
        self.sock.setblocking(False)
        temporary = f"{self.path}.{os.getpid()}"
        self.sock.bind(temporary)
        os.chmod(temporary, OWNER_ONLY)
        if kind == socket.SOCK_STREAM:
            self.sock.listen(BACKLOG)  # listen before clients can find the path
        os.replace(temporary, self.path)
        self._inode = os.stat(self.path).st_ino

    def close(self) -> None:
        """Close the socket and remove its path, unless another process has taken over the path.

        A second call does nothing: another process's socket may have the same inode number by then.
        """
        if self.sock.fileno() < 0:
            return
        self.sock.close()
        with contextlib.suppress(OSError):
            if os.stat(self.path).st_ino == self._inode:
                os.unlink(self.path)
