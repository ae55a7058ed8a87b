"""Ports for servers that a test starts as processes, so that it must know the port before the server listens.

A port that is bound and closed again, for the server to take, may be given away by the kernel meanwhile, to
another test that runs beside. These lie below the ports that the kernel gives away, and each process takes
them from a block of its own.
"""

import itertools
import os
import socket

FIRST = 20_000
BLOCK = 64  # ports a process begins with
BLOCKS = 190  # FIRST + BLOCK * BLOCKS stays under 32,768, where Linux begins to give ports away
_offsets = itertools.count(os.getpid() % BLOCKS * BLOCK)


def free_port() -> int:
    """Return a port on loopback that nothing listens on, and that this process has not had before."""
    for offset in itertools.islice(_offsets, BLOCK * BLOCKS):
        port = FIRST + offset % (BLOCK * BLOCKS)
        with socket.socket() as attempt:
            try:
                attempt.bind(("127.0.0.1", port))
            except OSError:  # a server of another run
                continue
            return port
    raise OSError("no port is free")
