"""Shares processing time fairly between connections, however much each of them sends.

This is start-time fair queueing (Goyal, Vin, Cheng, 1996): each connection has a virtual time up to which it
has been served, and the one with the earliest is served next. A connection that sends little is served before
those that send at full speed.
"""

import heapq
import itertools
from typing import Generic, NamedTuple, TypeVar

WorkT = TypeVar("WorkT")

NEW_CONNECTION_COST = 2_000_000  # ns that a new connection counts as served for


class Share:
    """The share of one connection; `finish` is the virtual time up to which it has been served, in ns."""

    __slots__ = ("finish",)

    def __init__(self, finish: int) -> None:
        self.finish = finish


class _Entry(NamedTuple, Generic[WorkT]):
    """Work that waits; entries are ordered by `start` and `number`."""

    start: int  # virtual time, ns
    number: int  # in the order of arrival
    share: Share
    work: WorkT


class FairQueue(Generic[WorkT]):
    """The work of all connections that waits to be done. Times in ns."""

    def __init__(self) -> None:
        self.virtual_time = 0
        self._waiting: list[_Entry[WorkT]] = []  # a heap
        self._numbers = itertools.count()
        self._last_finish = 0

    def __len__(self) -> int:
        """Return the number of connections with work that waits."""
        return len(self._waiting)

    def new_share(self) -> Share:
        """Return the share of a new connection, which counts as served for a while.

        Otherwise a client that opens ever new connections would be served before all others.
        """
        return Share(self.virtual_time + NEW_CONNECTION_COST)

    def push(self, share: Share, work: WorkT) -> None:
        """Add work of a connection that has none waiting."""
        entry = _Entry(max(self.virtual_time, share.finish), next(self._numbers), share, work)
        heapq.heappush(self._waiting, entry)

    def pop(self) -> tuple[Share, WorkT]:
        """Remove and return the work to be done next, and its share."""
        entry = heapq.heappop(self._waiting)
        self.virtual_time = entry.start
        return entry.share, entry.work

    def charge(self, share: Share, cost: int) -> None:
        """Note that a connection was served for `cost` ns."""
        share.finish = max(self.virtual_time, share.finish) + cost
        self._last_finish = max(self._last_finish, share.finish)
        if not self._waiting:  # all have been served
            self.virtual_time = self._last_finish
