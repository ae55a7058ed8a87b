"""Wall-clock time without its steps, for spans of real time that begin or end with a wall-clock time.

A wall clock may be stepped forward or back by seconds or hours, while the monotonic clock continues evenly.
Times that are given as wall-clock times (the start of a worker, the beginning of a roll-out, a record of an
earlier process) are compared with this clock. It is set once from the system's wall clock, and then advances
with the monotonic clock.
"""

# A difference up to this counts as slew, or as one of many small corrections, and is followed, so that the
# clock of a process that runs for months stays with the system's. A larger difference counts as a step.
MAX_SLEW = 100_000_000  # ns


class UnsteppedWallClock:
    """The system's wall clock at the first reading, advanced by the monotonic clock. Times in ns."""

    __slots__ = ("ahead",)

    def __init__(self) -> None:
        # how far the wall clock is ahead of the monotonic clock; None before the first reading
        self.ahead: int | None = None

    def read(self, now: int, wall: int) -> int:
        """Return the wall-clock time at `now` without steps since the first call; `wall` is the system's."""
        ahead = wall - now
        if self.ahead is None or abs(ahead - self.ahead) <= MAX_SLEW:
            self.ahead = ahead
        return now + self.ahead
