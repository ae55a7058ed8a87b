"""Keeps the data of all client connections together within the memory of the process.

Incomplete requests: the connections whose requests have been incomplete longest, and that have sent nothing
more, are closed. While that does not help, only the first few of the others read on, so that requests become
complete one after another instead of growing side by side. Data is read before it can be counted, so a long
read needs a reservation; without it others read in short ones.

Unread answers: the connections that have read nothing for longest are closed.

The sizes are set in `decide.overload.resource_limits`.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from petrelwood.decide.overload.memory_pool import MemoryPool

# The connections in use that each search after a read passes over; each takes a system call.
MAX_PASSED_OVER = 4
# The connections that read on while incomplete requests take too much memory.
READERS_OVER_LIMIT = 8
# The size of a read between two messages, or of any read while there is no memory for a longer one, in bytes.
SHORT_READ_SIZE = 2_048
LONG_READ_SIZE = 16_384  # the maximum size of a read, in bytes


class MemoryHolder(Protocol):
    """The interface of a client connection."""

    def partial_size(self) -> int:
        """Return the size of its incomplete request, in bytes."""

    def unsent_size(self) -> int:
        """Return the size of the answers that the kernel has not taken yet, in bytes."""

    def may_complete_request(self) -> bool:
        """Return whether data has arrived that may complete its request, and will be read."""

    def abandon_partial_request(self) -> None:
        """Drop the incomplete request, and everything that follows it."""

    def close(self) -> None:
        """Close the connection."""


class RequestMemory:
    """The incomplete requests of all connections; `on_closed` is called for each that is given up."""

    def __init__(self, size: int, on_closed: Callable[[], object]) -> None:
        self.pool: MemoryPool[MemoryHolder] = MemoryPool(size)
        self.on_closed = on_closed
        self._reserved: dict[MemoryHolder, int] = {}  # bytes of reads that have not ended
        self._reserved_size = 0  # bytes
        self._waiting: dict[MemoryHolder, asyncio.Future[None]] = {}  # connections that wait to read on

    def reserve_read(self, holder: MemoryHolder, missing: int) -> int:
        """Return the size of the next read of a connection whose current value lacks `missing` bytes."""
        size = min(LONG_READ_SIZE, missing)
        has_memory = self.pool.used + self._reserved_size + size <= self.pool.size
        if size <= SHORT_READ_SIZE or not (has_memory or self._is_first(holder)):
            return SHORT_READ_SIZE
        self._reserved[holder] = size
        self._reserved_size += size
        return size

    def update(self, holder: MemoryHolder) -> None:
        """Note what a connection holds after a read; it may have been closed."""
        self._reserved_size -= self._reserved.pop(holder, 0)
        self.pool.update(holder, holder.partial_size())
        if not holder.partial_size():  # it may have been closed while it waited
            self._let_read(holder)
        if self.pool.is_exceeded():
            self.relieve(MAX_PASSED_OVER)
        elif self._waiting:
            self._wake()

    def relieve(self, max_passed_over: int | None = None) -> None:
        """Give up incomplete requests while there are too many bytes of them.

        `max_passed_over`: the number of connections that may go on after which the search ends.
        """
        passed_over = 0
        for holder in self.pool:
            if not self.pool.is_exceeded() or passed_over == max_passed_over:
                break
            if holder.may_complete_request():
                passed_over += 1
                continue
            self.on_closed()
            holder.abandon_partial_request()
            self.pool.update(holder, 0)
        self._wake()

    def _may_read(self, holder: MemoryHolder) -> bool:
        """Return whether a connection may read further into its request."""
        return not holder.partial_size() or not self.pool.is_exceeded() or self._is_first(holder)

    def _is_first(self, holder: MemoryHolder) -> bool:
        """Return whether a connection may read on whatever others hold."""
        return holder in self.pool.first_holders(READERS_OVER_LIMIT)

    async def wait_to_read(self, holder: MemoryHolder) -> None:
        """Wait until a connection may read further into its request."""
        while not self._may_read(holder):
            self._waiting[holder] = asyncio.get_running_loop().create_future()
            self.relieve(MAX_PASSED_OVER)
            try:
                await self._waiting[holder]
            finally:
                self._waiting.pop(holder, None)

    def _wake(self) -> None:
        """Let connections read on: all, or the first few while requests take too much memory."""
        is_exceeded = self.pool.is_exceeded()
        for holder in self.pool.first_holders(READERS_OVER_LIMIT) if is_exceeded else list(self._waiting):
            self._let_read(holder)

    def _let_read(self, holder: MemoryHolder) -> None:
        future = self._waiting.get(holder)
        if future is not None and not future.done():
            future.set_result(None)


class AnswerMemory:
    """The unread answers of all connections; `on_closed` is called for each connection that is closed."""

    def __init__(self, size: int, on_closed: Callable[[], object]) -> None:
        self.pool: MemoryPool[MemoryHolder] = MemoryPool(size)
        self.on_closed = on_closed

    def update(self, holder: MemoryHolder) -> None:
        """Note what a connection holds now; it may have been closed."""
        self.pool.update(holder, holder.unsent_size())
        if self.pool.is_exceeded():
            self.relieve()

    def relieve(self) -> None:
        """Note what all connections hold now, and close some while that is too much."""
        for holder in self.pool:
            self.pool.update(holder, holder.unsent_size())
        for holder in self.pool:
            if not self.pool.is_exceeded():
                break
            self.pool.update(holder, 0)
            self.on_closed()
            # a connection may write an answer while others are being written
            asyncio.get_running_loop().call_soon(holder.close)
