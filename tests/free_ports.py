"""Ports for servers that a test starts as processes and whose port it must know before the server listens.

If a test bound a free port and closed it for the server to use, the kernel could assign the port to a test
that runs at the same time. These ports are below the kernel's ephemeral range. Each process takes them from
blocks of its own, which it locks until it ends.
"""

import socket
from collections.abc import Iterator

FIRST = 20_000  # the lowest port
BLOCK = 64  # ports of a block
BLOCKS = 190  # FIRST + BLOCK * BLOCKS stays below 32,768, the start of the ephemeral range of Linux
_locks: list[socket.socket] = []


def _is_locked(block: int) -> bool:
    """Lock a block for this process; return whether another process holds it.

    The lock is an abstract Unix socket: only one process at a time can bind its name, and the kernel releases
    it when the process ends.
    """
    lock = socket.socket(socket.AF_UNIX)
    try:
        lock.bind(f"\0petrelwood-test-ports-{block}")
    except OSError:
        lock.close()
        return True
    _locks.append(lock)
    return False


def _own_ports() -> Iterator[int]:
    for block in range(BLOCKS):
        if not _is_locked(block):
            first = FIRST + block * BLOCK
            yield from range(first, first + BLOCK)


_ports = _own_ports()


def free_port() -> int:
    """Return a loopback port on which no server listens and which this process has not returned before."""
    for port in _ports:
        with socket.socket() as attempt:
            try:
                attempt.bind(("127.0.0.1", port))
            except OSError:  # in use by a server of another run
                continue
            return port
    raise OSError("no port is free")
