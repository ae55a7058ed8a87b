"""Injects the system call errors that Linux documents: from the n-th call of a kind on selected sockets,
once, several times or permanently.

A fault replaces the method of `socket.socket` that makes the call, so that the dispatcher and its libraries
handle the error as usual. `EINTR` of blocking calls is caused by real signals instead (`interrupted`),
because Python itself retries those calls."""

import asyncio
import contextlib
import errno
import os
import signal
import socket
import sys
from collections.abc import Callable, Iterator
from typing import Any
from unittest import mock

# accept(2): errors of the call itself; the connection remains in the listen queue
ACCEPT_FAILS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM)
# accept(2): pending errors of the new connection, which is lost
ACCEPT_LOSES = (
    errno.ECONNABORTED,
    errno.ENETDOWN,
    errno.EPROTO,
    errno.ENOPROTOOPT,
    errno.EHOSTDOWN,
    errno.ENONET,
    errno.EHOSTUNREACH,
    errno.EOPNOTSUPP,
    errno.ENETUNREACH,
)
SOCKET_FAILS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EACCES, errno.EPERM)
CONNECT_FAILS = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.ECONNREFUSED,
    errno.EAGAIN,
    errno.EPERM,
    errno.ENOBUFS,
    errno.EINTR,
)
CONNECT_ENDS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNREFUSED, errno.ECONNRESET)
# errors by which a read reports a broken connection
READ_BREAKS = (
    errno.ECONNRESET,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ENOTCONN,
)
# errors by which a write reports a broken connection
WRITE_BREAKS = (
    errno.EPIPE,
    errno.ECONNRESET,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
)
# errors of a datagram that could not be sent, or that an ICMP error reported as undelivered
DATAGRAM_FAILS = (
    errno.ECONNREFUSED,
    errno.EMSGSIZE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPERM,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
    errno.EADDRNOTAVAIL,
    errno.EAGAIN,
    errno.EINTR,
)
# errors after which the socket remains usable
MOMENTARY = (errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ECONNREFUSED)

Chosen = Callable[[socket.socket, tuple[Any, ...]], bool]
Replacement = Callable[..., Any]


class Fault:
    """An injected fault that counts the `calls` on the selected sockets, and those that `failed`.

    Calls fail from the `nth` on, `times` of them in all; with None, until `over` is called."""

    def __init__(self, error: int, chosen: Chosen, nth: int, times: int | None) -> None:
        self.error = error
        self.chosen = chosen
        self.nth = nth
        self.times = times
        self.calls = 0
        self.failed = 0

    def over(self) -> None:
        """Stop the fault: no further call fails."""
        self.times = self.failed

    def due(self) -> bool:
        """Count one call on a selected socket; return whether it fails."""
        self.calls += 1
        if self.calls < self.nth or self.times is not None and self.failed >= self.times:
            return False
        self.failed += 1
        return True

    def fail(self) -> None:
        raise OSError(self.error, os.strerror(self.error))


def any_socket(_sock: socket.socket, _args: tuple[Any, ...]) -> bool:
    """Select every call."""
    return True


def local(port: int) -> Chosen:
    """Select sockets with this local port: a listener and the connections that it accepted."""
    return lambda sock, _args: _port(socket.socket.getsockname, sock) == port


def peer(*ports: int) -> Chosen:
    """Select sockets that are connected, or are being connected, to one of these ports."""

    def chosen(sock: socket.socket, args: tuple[Any, ...]) -> bool:
        if args and isinstance(args[0], tuple) and args[0][1:2]:
            return args[0][1] in ports
        return _port(socket.socket.getpeername, sock) in ports

    return chosen


def _port(name: Callable[[socket.socket], Any], sock: socket.socket) -> int | None:
    try:
        address = name(sock)
    except OSError:
        return None
    return address[1] if isinstance(address, tuple) else None


def by_dispatcher(_sock: socket.socket, _args: tuple[Any, ...]) -> bool:
    """Select calls made by the dispatcher's own code, not those of its peers in the same process."""
    frame = sys._getframe(1)
    while frame.f_globals["__name__"] == __name__:  # skip this module's frames (the replaced methods)
        frame = frame.f_back
    caller = frame.f_globals["__name__"]
    while frame is not None:
        if frame.f_globals["__name__"].startswith("petrelwood.standins."):
            return False
        frame = frame.f_back
    return caller.startswith("petrelwood.")


@contextlib.contextmanager
def replaced(call: str, wrap: Callable[[Replacement], Replacement]) -> Iterator[None]:
    """Replace a method of all sockets by `wrap(original method)`."""
    with mock.patch.object(socket.socket, call, wrap(getattr(socket.socket, call))):
        yield


@contextlib.contextmanager
def failing(
    call: str,
    error: int,
    chosen: Chosen = any_socket,
    nth: int = 1,
    times: int | None = 1,
    unless: Callable[[tuple[Any, ...]], bool] = lambda _args: False,
) -> Iterator[Fault]:
    """Make calls fail before they have any effect, except those for which `unless(arguments)` is true."""
    fault = Fault(error, chosen, nth, times)

    def wrap(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket, *args: Any, **more: Any) -> Any:
            if not unless(args) and chosen(sock, args) and fault.due():
                fault.fail()
            return inner(sock, *args, **more)

        return outer

    with replaced(call, wrap):
        yield fault


@contextlib.contextmanager
def losing_accepts(error: int, chosen: Chosen, nth: int = 1, times: int | None = 1) -> Iterator[Fault]:
    """Make `accept` take a connection, close it and report the error that was pending on it."""
    fault = Fault(error, chosen, nth, times)

    def wrap(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket) -> Any:
            if not chosen(sock, ()):
                return inner(sock)
            accepted = inner(sock)
            if fault.due():
                accepted[0].close()
                fault.fail()
            return accepted

        return outer

    with replaced("accept", wrap):
        yield fault


@contextlib.contextmanager
def no_sockets(error: int, nth: int = 1, times: int | None = 1) -> Iterator[Fault]:
    """Make the dispatcher's creation of IPv4 and IPv6 sockets fail."""
    fault = Fault(error, by_dispatcher, nth, times)

    def wrap(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket, *args: Any, **more: Any) -> None:
            internet = args[:1] in ((socket.AF_INET,), (socket.AF_INET6,)) and more.get("fileno") is None
            if internet and by_dispatcher(sock, args) and fault.due():
                fault.fail()
            inner(sock, *args, **more)

        return outer

    with replaced("__init__", wrap):
        yield fault


@contextlib.contextmanager
def failed_connections(error: int, ports: tuple[int, ...], times: int | None = 1) -> Iterator[Fault]:
    """Make connection attempts to these ports report the error as their outcome (SO_ERROR)."""
    fault = Fault(error, peer(*ports), 1, times)

    def wrap(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket, *args: Any) -> Any:
            if args == (socket.SOL_SOCKET, socket.SO_ERROR) and fault.chosen(sock, ()) and fault.due():
                return error
            return inner(sock, *args)

        return outer

    with replaced("getsockopt", wrap):
        yield fault


@contextlib.contextmanager
def short(chosen: Chosen, least: int = 1) -> Iterator[Fault]:
    """Limit each read and write on the selected sockets to `least` bytes, and count the calls."""
    fault = Fault(0, chosen, 1, 0)

    def wrap_send(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket, data: Any, *args: Any) -> int:
            if not chosen(sock, ()):
                return inner(sock, data, *args)
            fault.calls += 1
            return inner(sock, data[:least], *args)

        return outer

    def wrap_recv(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket, buffer: Any, size: int = 0, *args: Any) -> int:
            if not chosen(sock, ()):
                return inner(sock, buffer, size, *args)
            fault.calls += 1
            return inner(sock, buffer, least, *args)

        return outer

    with replaced("send", wrap_send), replaced("recv_into", wrap_recv):
        yield fault


@contextlib.contextmanager
def broken_write(
    error: int, chosen: Chosen, taken: int = 0, begins: bytes = b"", times: int | None = 1
) -> Iterator[Fault]:
    """Make a write of data that contains `begins` fail permanently after the kernel has taken `taken` bytes
    of it, as when a connection breaks unnoticed. The peer reads the bytes that were taken."""
    fault = Fault(error, chosen, 1, times)
    broken: list[socket.socket] = []

    def wrap(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket, data: Any, *args: Any) -> int:
            if sock in broken:
                fault.fail()
            if begins in bytes(data) and chosen(sock, ()) and fault.due():
                broken.append(sock)
                if not taken:
                    fault.fail()
                return inner(sock, data[:taken], *args)
            return inner(sock, data, *args)

        return outer

    with replaced("send", wrap):
        yield fault


@contextlib.contextmanager
def interrupted(every: float = 0.001) -> Iterator[list[int]]:
    """Interrupt blocking calls by a signal at this interval (seconds); the list records each signal."""
    received: list[int] = []
    previous_handler = signal.signal(signal.SIGALRM, lambda number, _frame: received.append(number))
    signal.setitimer(signal.ITIMER_REAL, every, every)
    try:
        yield received
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, previous_handler)


class LoopIterations:
    """Context manager that counts the iterations of the running event loop."""

    def __init__(self) -> None:
        self.count = 0
        self.loop = asyncio.get_running_loop()

    def __enter__(self) -> "LoopIterations":
        inner = self.loop._run_once

        def outer() -> None:
            self.count += 1
            inner()

        self.loop._run_once = outer
        return self

    def __exit__(self, *_: object) -> None:
        del self.loop._run_once
