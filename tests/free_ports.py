"""Ports for servers that a test starts as processes, so that it must know the port before the server listens.

A port that is bound and closed again, for the server to take, may be given away by the kernel meanwhile, to
another test that runs beside. These lie below the ports that the kernel gives away. Each process takes them
from blocks of its own, which it holds by a lock until it ends.
"""

import socket
from collections.abc import Iterator

FIRST = 20_000
BLOCK = 64  # ports
BLOCKS = 190  # FIRST + BLOCK * BLOCKS stays under 32,768, where Linux begins to give ports away
_locks: list[socket.socket] = []


def _is_locked(block: int) -> bool:
    """Lock a block for this process; return whether another process has it.

    The lock is an abstract Unix socket: one process at a time has its name, and it ends with the process.
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
    """Return a port on loopback that nothing listens on, and that this process has not had before."""
    for port in _ports:
        with socket.socket() as attempt:
            try:
                attempt.bind(("127.0.0.1", port))
            except OSError:  # a server of another run
                continue
            return port
    raise OSError("no port is free")
