"""New sockets for numeric addresses."""

import socket


def fresh(host, kind=socket.SOCK_STREAM):
    """A socket, neither bound nor connected, of the family that `host` is an address of."""
    return socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, kind)
