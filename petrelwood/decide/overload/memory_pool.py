"""The memory that data of one kind may use, in all connections of a process together.

A bound for each connection doesn't bound their sum. A pool knows what each connection holds of such data, and
which ones have held theirs longest without progress: these give way when the pool is exceeded.
"""

import itertools
from collections.abc import Iterator
from typing import Generic, TypeVar

HolderT = TypeVar("HolderT")


class MemoryPool(Generic[HolderT]):
    """The data of one kind that connections hold; `size` is the most that it should be, in bytes."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.used = 0  # bytes
        self._sizes: dict[HolderT, int] = {}  # bytes; the longest without progress first

    def update(self, holder: HolderT, size: int) -> None:
        """Note that a holder has `size` bytes now; fewer than before, or the first ones, are progress."""
        previous = self._sizes.get(holder, 0)
        self.used += size - previous
        if size < previous:
            del self._sizes[holder]
        if size:
            self._sizes[holder] = size

    def is_exceeded(self) -> bool:
        """Return whether connections hold more than they should together."""
        return self.used > self.size

    def first_holders(self, count: int) -> list[HolderT]:
        """Return the `count` holders that have held data longest without progress."""
        return list(itertools.islice(self._sizes, count))

    def first(self) -> HolderT | None:
        """Return the holder that has held data longest without progress, or None if there is none."""
        return next(iter(self._sizes), None)

    def __iter__(self) -> Iterator[HolderT]:
        """Return the holders now, the longest without progress first."""
        return iter(list(self._sizes))
