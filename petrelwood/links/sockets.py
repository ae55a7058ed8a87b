"""Creation of sockets for numeric addresses, and queries and options of connected sockets."""

import contextlib
import select
import socket
import struct
from collections.abc import Iterable

from tornado.iostream import IOStream

# linux/tcp.h, struct tcp_info: the field tcpi_last_data_recv, in ms
TCP_INFO_SIZE = 104
LAST_DATA_RECEIVED_OFFSET = 52
LAST_DATA_RECEIVED = struct.Struct("=I")


def new_socket(host: str, kind: socket.SocketKind = socket.SOCK_STREAM) -> socket.socket:
    """Return an unbound, unconnected socket for the address family of `host`. Raises OSError."""
    return socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, kind)


def readable(socks: Iterable[socket.socket]) -> list[int]:
    """Return the descriptors of sockets with an unread event in the kernel: data, an end, a connection."""
    poll = select.poll()
    for sock in socks:
        poll.register(sock, select.POLLIN)
    return [number for number, _ in poll.poll(0)]


def hung_up(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection, even if unread data comes before it."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def time_since_last_data(sock: socket.socket) -> int:
    """Return how long ago the kernel received the last data from the peer, in ns (whole ms).

    Return 0 if the kernel does not report it (tcp(7), TCP_INFO).
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        (milliseconds,) = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return 0
    return int(milliseconds) * 1_000_000


def bytes_written(stream: IOStream) -> int:
    """Return the number of bytes written to a stream, including those the kernel has not accepted yet."""
    written: int = stream._total_write_index
    return written


def bytes_taken(stream: IOStream) -> int:
    """Return the number of written bytes that the kernel has accepted.

    It is also available after the stream is closed. The kernel accepts nothing in a send(2) that fails.
    """
    taken: int = stream._total_write_done_index
    return taken


def disable_delay(sock: socket.socket | None) -> None:
    """Disable Nagle's algorithm so that small writes are sent at once.

    Errors are ignored: the connection works without the option, and if it was just reset, the next read
    reports that.
    """
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
