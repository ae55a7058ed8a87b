"""Bytes of answers that the peer of a connection has not read yet."""

import time
from collections import deque
from collections.abc import Callable

from petrelwood.decide.overload.admission import ConnectionAdmission


class UnreadAnswers:
    """The answers written on one connection that the kernel has not taken yet, oldest first.

    Their bytes count among those that `admission` bounds for the address of the peer, as those of requests
    that are not complete do. `now` is the clock of the core; `timeout` (ns) is how long the peer may take
    for one.
    """

    def __init__(
        self, admission: ConnectionAdmission, now: Callable[[], int], peer: str, timeout: int
    ) -> None:
        self._admission = admission
        self._now = now
        self._peer = peer
        self._timeout = timeout
        self._sizes: deque[int] = deque()
        self._deadline = 0  # monotonic ns

    def __bool__(self) -> bool:
        return bool(self._sizes)

    def add(self, size: int) -> bool:
        """Note an answer of `size` bytes; return whether so many may wait."""
        if not self._sizes:
            self._deadline = time.monotonic_ns() + self._timeout
        if self._admission.reserve_bytes(self._now(), self._peer, size):
            self._sizes.append(size)
            return True
        self._sizes.append(0)  # nothing is reserved for it
        return False

    def oldest_read(self) -> None:
        """Forget the oldest of them, which the peer has read."""
        self._admission.release_bytes(self._peer, self._sizes.popleft())
        self._deadline = time.monotonic_ns() + self._timeout

    def is_overdue(self, now: int) -> bool:
        """Whether the peer has taken too long for the oldest; `now` is the monotonic time in ns."""
        return bool(self._sizes) and now >= self._deadline

    def release(self) -> None:
        """Forget all of them: the connection is closed."""
        while self._sizes:
            self._admission.release_bytes(self._peer, self._sizes.popleft())
