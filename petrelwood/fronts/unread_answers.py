"""Tracking of answers that the peer of a connection has not read yet."""

import time
from collections import deque
from collections.abc import Callable

from petrelwood.decide.overload.admission import ConnectionAdmission


class UnreadAnswers:
    """The answers written on one connection that the kernel has not accepted yet, oldest first.

    Their bytes are reserved at `admission`, which limits them per peer address together with the bytes of
    incomplete requests. `now` is the clock of the core; `timeout` is the time in ns that the peer may take to
    read one answer.
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
        """Add an answer of `size` bytes; return whether its bytes are within the limits."""
        if not self._sizes:
            self._deadline = time.monotonic_ns() + self._timeout
        if self._admission.reserve_bytes(self._now(), self._peer, size):
            self._sizes.append(size)
            return True
        self._sizes.append(0)  # nothing is reserved for it
        return False

    def oldest_read(self) -> None:
        """Remove the oldest answer, which the peer has read."""
        self._admission.release_bytes(self._peer, self._sizes.popleft())
        self._deadline = time.monotonic_ns() + self._timeout

    def is_overdue(self, now: int) -> bool:
        """Return whether the peer takes too long to read the oldest; `now` is the monotonic time in ns."""
        return bool(self._sizes) and now >= self._deadline

    def release(self) -> None:
        """Remove all answers because the connection is closed."""
        while self._sizes:
            self._admission.release_bytes(self._peer, self._sizes.popleft())
