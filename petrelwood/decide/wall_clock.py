"""Wall-clock time without its steps, for spans of real time that begin or end with a wall-clock time.

A wall clock may be stepped, forward or back, by seconds or hours, while the monotonic clock runs on. What is
told as wall-clock time (the start of a worker, the beginning of a roll-out, a record of an earlier process)
is compared with this clock: it is set once by the system's wall clock, and advances with the monotonic one.
"""

# A difference up to this is followed: a clock that is slewed, or corrected a little at a time, is no stepped
# one, and a process that runs for months stays with it.
MAX_SLEW = 100_000_000  # ns


class UnsteppedWallClock:
    """The system's wall clock as first read, carried on by the monotonic clock. Times in ns."""

    __slots__ = ("ahead",)

    def __init__(self) -> None:
        # what the wall clock is ahead of the monotonic one, or None before the first reading
        self.ahead: int | None = None

    def read(self, now: int, wall: int) -> int:
        """The wall-clock time at `now`, without steps since the first call; `wall` is the system's."""
        ahead = wall - now
        if self.ahead is None or abs(ahead - self.ahead) <= MAX_SLEW:
            self.ahead = ahead
        return now + self.ahead
