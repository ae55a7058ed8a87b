"""Tells whether all data of a client has been read that had arrived at some time."""

# The number of successive reads that empty the socket buffer and end between two messages after which all
# data that was unread before them has been read, however much still arrives.
READS_TO_CATCH_UP = 2


class ReadProgress:
    """The reads of one connection; `reads` is the number of those whose data was handled."""

    __slots__ = ("_last_backlog", "reads")

    def __init__(self) -> None:
        self.reads = 0
        self._last_backlog = 0  # the number of the last read that may have left data of the client unread

    def note_read(self, is_backlog: bool) -> None:
        """Note a read whose data was handled; `is_backlog`: it was full, or ended within a message."""
        self.reads += 1
        if is_backlog:
            self._last_backlog = self.reads

    def has_caught_up(self, reads: int) -> bool:
        """Return whether all data has been read that had arrived when there had been `reads` reads.

        A short read alone does not show that: what follows may still be in the client's kernel.
        """
        return self.reads - max(reads, self._last_backlog) >= READS_TO_CATCH_UP
