"""System calls that fail as Linux documents: the n-th call of a kind on chosen sockets, once, for a while or
always.

A fault is put in place of the method of `socket.socket` that makes the call, below everything that the
dispatcher and its libraries do with the error. `EINTR` of calls that wait is made by real signals instead
(`interrupted`): Python itself repeats those calls."""

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

# accept(2): of the call itself, while the connection stays where it is
ACCEPT_FAILS = (errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM)
# accept(2): errors that were pending on the new connection, which is gone with them
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
# how a connection shows itself as broken, to who reads and to who writes
READ_BREAKS = (
    errno.ECONNRESET,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ENETUNREACH,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.ENOTCONN,
)
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
# of a datagram that could not be sent, or that came back
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
# of a socket that is as good as before
MOMENTARY = (errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ENOMEM, errno.ECONNREFUSED)

Chosen = Callable[[socket.socket, tuple[Any, ...]], bool]
Replacement = Callable[..., Any]


class Fault:
    """What one injected fault has seen: `calls` on the chosen sockets, and those that `failed`.

    It fails from the `nth` call on, `times` in all; None: until `over` is called."""

    def __init__(self, error: int, chosen: Chosen, nth: int, times: int | None) -> None:
        self.error = error
        self.chosen = chosen
        self.nth = nth
        self.times = times
        self.calls = 0
        self.failed = 0

    def over(self) -> None:
        """No further call fails."""
        self.times = self.failed

    def due(self) -> bool:
        """Counts one call on a chosen socket; whether it fails."""
        self.calls += 1
        if self.calls < self.nth or self.times is not None and self.failed >= self.times:
            return False
        self.failed += 1
        return True

    def fail(self) -> None:
        raise OSError(self.error, os.strerror(self.error))


def any_socket(_sock: socket.socket, _args: tuple[Any, ...]) -> bool:
    """Chooses every call."""
    return True


def local(port: int) -> Chosen:
    """Chooses sockets that have this local port: a listener, and the connections that it accepted."""
    return lambda sock, _args: _port(socket.socket.getsockname, sock) == port


def peer(*ports: int) -> Chosen:
    """Chooses sockets that are connected, or are just being connected, to one of these ports."""

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
    """Chooses calls that the dispatcher's own text makes, and not those of its peers in the same process."""
    frame = sys._getframe(1)
    while frame.f_globals["__name__"] == __name__:  # this, and replacements of the method
        frame = frame.f_back
    caller = frame.f_globals["__name__"]
    while frame is not None:
        if frame.f_globals["__name__"].startswith("petrelwood.standins."):
            return False
        frame = frame.f_back
    return caller.startswith("petrelwood.")


@contextlib.contextmanager
def replaced(call: str, made: Callable[[Replacement], Replacement]) -> Iterator[None]:
    """Puts `made(the method until now)` in place of a method of all sockets."""
    with mock.patch.object(socket.socket, call, made(getattr(socket.socket, call))):
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
    """Lets calls fail before they do anything. `unless(arguments)`: calls that are left alone."""
    fault = Fault(error, chosen, nth, times)

    def made(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket, *args: Any, **more: Any) -> Any:
            if not unless(args) and chosen(sock, args) and fault.due():
                fault.fail()
            return inner(sock, *args, **more)

        return outer

    with replaced(call, made):
        yield fault


@contextlib.contextmanager
def losing_accepts(error: int, chosen: Chosen, nth: int = 1, times: int | None = 1) -> Iterator[Fault]:
    """Lets `accept` take a connection and then report that connection's own error: it is gone."""
    fault = Fault(error, chosen, nth, times)

    def made(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket) -> Any:
            if not chosen(sock, ()):
                return inner(sock)
            accepted = inner(sock)
            if fault.due():
                accepted[0].close()
                fault.fail()
            return accepted

        return outer

    with replaced("accept", made):
        yield fault


@contextlib.contextmanager
def no_sockets(error: int, nth: int = 1, times: int | None = 1) -> Iterator[Fault]:
    """Lets the dispatcher's own making of new sockets of the internet's families fail."""
    fault = Fault(error, by_dispatcher, nth, times)

    def made(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket, *args: Any, **more: Any) -> None:
            internet = args[:1] in ((socket.AF_INET,), (socket.AF_INET6,)) and more.get("fileno") is None
            if internet and by_dispatcher(sock, args) and fault.due():
                fault.fail()
            inner(sock, *args, **more)

        return outer

    with replaced("__init__", made):
        yield fault


@contextlib.contextmanager
def failed_connections(error: int, ports: tuple[int, ...], times: int | None = 1) -> Iterator[Fault]:
    """Lets connections to these ports turn out to have failed once they are asked for their outcome."""
    fault = Fault(error, peer(*ports), 1, times)

    def made(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket, *args: Any) -> Any:
            if args == (socket.SOL_SOCKET, socket.SO_ERROR) and fault.chosen(sock, ()) and fault.due():
                return error
            return inner(sock, *args)

        return outer

    with replaced("getsockopt", made):
        yield fault


@contextlib.contextmanager
def short(chosen: Chosen, least: int = 1) -> Iterator[Fault]:
    """Lets each read and write on the chosen sockets move at most `least` bytes; counts the calls."""
    fault = Fault(0, chosen, 1, 0)

    def sends(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket, data: Any, *args: Any) -> int:
            if not chosen(sock, ()):
                return inner(sock, data, *args)
            fault.calls += 1
            return inner(sock, data[:least], *args)

        return outer

    def reads(inner: Replacement) -> Replacement:
        def outer(sock: socket.socket, buffer: Any, size: int = 0, *args: Any) -> int:
            if not chosen(sock, ()):
                return inner(sock, buffer, size, *args)
            fault.calls += 1
            return inner(sock, buffer, least, *args)

        return outer

    with replaced("send", sends), replaced("recv_into", reads):
        yield fault


@contextlib.contextmanager
def broken_write(
    error: int, chosen: Chosen, taken: int = 0, begins: bytes = b"", times: int | None = 1
) -> Iterator[Fault]:
    """Lets a write of data that contains `begins` fail for good after the kernel has taken so many bytes of
    it: as where the connection broke unseen. The peer reads the bytes that were taken."""
    fault = Fault(error, chosen, 1, times)
    broken: list[socket.socket] = []

    def made(inner: Replacement) -> Replacement:
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

    with replaced("send", made):
        yield fault


@contextlib.contextmanager
def interrupted(every: float = 0.001) -> Iterator[list[int]]:
    """Signals come so often (seconds) that calls which wait are interrupted; the list holds each one."""
    came: list[int] = []
    before = signal.signal(signal.SIGALRM, lambda number, _frame: came.append(number))
    signal.setitimer(signal.ITIMER_REAL, every, every)
    try:
        yield came
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, before)


class Turns:
    """Counts the turns of the running loop."""

    def __init__(self) -> None:
        self.count = 0
        self.loop = asyncio.get_running_loop()

    def __enter__(self) -> "Turns":
        inner = self.loop._run_once

        def outer() -> None:
            self.count += 1
            inner()

        self.loop._run_once = outer
        return self

    def __exit__(self, *_: object) -> None:
        del self.loop._run_once
