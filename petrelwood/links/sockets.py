"""New sockets for numeric addresses, and what is asked of accepted ones."""

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
    """A socket, neither bound nor connected, of the family that `host` is an address of. Raises OSError."""
    return socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, kind)


def readable(socks: Iterable[socket.socket]) -> list[int]:
    """Descriptors of those of which something lies unread in the kernel: bytes, an end, a connection."""
    poll = select.poll()
    for sock in socks:
        poll.register(sock, select.POLLIN)
    return [number for number, _ in poll.poll(0)]


def hung_up(sock: socket.socket) -> bool:
    """Whether the peer has ended or reset the connection, also where that lies behind unread bytes."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def time_since_last_data(sock: socket.socket) -> int:
    """For how long the last bytes from the peer have been in the kernel's hands, in ns (whole ms).

    0 where the kernel does not tell (tcp(7), TCP_INFO).
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_SIZE)
        (milliseconds,) = LAST_DATA_RECEIVED.unpack_from(info, LAST_DATA_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return 0
    return int(milliseconds) * 1_000_000


def bytes_written(stream: IOStream) -> int:
    """Bytes that were written on a stream so far, whether the kernel took them or not."""
    written: int = stream._total_write_index
    return written


def bytes_taken(stream: IOStream) -> int:
    """How many of them the kernel took, also once the stream is closed. A failed send(2) has taken none."""
    taken: int = stream._total_write_done_index
    return taken


def disable_delay(sock: socket.socket | None) -> None:
    """Lets small writes leave at once.

    A connection that can't be told so, or has just been reset, still serves: its end is seen when it is read.
    """
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
