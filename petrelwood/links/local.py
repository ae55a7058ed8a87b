"""A Unix socket at a path that processes take over from each other: whoever binds last is found there."""

import os
import socket


class Bound:
    """`sock`, bound to `path` with mode 600; what stood there is replaced in one step."""

    def __init__(self, path, kind):
        self.path, self.sock = str(path), socket.socket(socket.AF_UNIX, kind)
        self.sock.setblocking(False)
        part = f"{self.path}.{os.getpid()}"
        self.sock.bind(part)
        os.chmod(part, 0o600)
        if kind == socket.SOCK_STREAM:
            self.sock.listen(4)  # before it can be found
        os.replace(part, self.path)
        self.inode = os.stat(self.path).st_ino

    def close(self):
        """Takes the path away, unless another process has taken it over."""
        self.sock.close()
        try:
            if os.stat(self.path).st_ino == self.inode:
                os.unlink(self.path)
        except OSError:
            pass
