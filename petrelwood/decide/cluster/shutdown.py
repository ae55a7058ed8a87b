"""Graceful shutdown: how long a dispatcher still admits activations, and when all must have final answers.

The platform may kill it as early as its longest action timeout (at most `LONGEST_TIMEOUT`) plus
`STILL_ARRIVING` after SIGTERM. Times in ns.
"""

MILLISECOND = 1_000_000
STILL_ARRIVING = 700 * MILLISECOND  # connections and requests still come so long, as the platform says
LONGEST_TIMEOUT = 3_000 * MILLISECOND
# Left for the last answers before the kill: so much, or that part of the timeout where it is less.
LONGEST_MARGIN = 400 * MILLISECOND
MARGIN_PART = 4


class Shutdown:
    """The times of one graceful shutdown.

    `started_at`: when SIGTERM came, at the earliest; `longest`: the longest action timeout.
    """

    __slots__ = ("final_answers_after", "end_after", "started_at")

    def __init__(self, started_at: int, longest: int) -> None:
        timeout = min(longest, LONGEST_TIMEOUT)
        margin = min(LONGEST_MARGIN, timeout // MARGIN_PART)
        self.started_at = started_at
        self.final_answers_after = STILL_ARRIVING + timeout - margin
        self.end_after = self.final_answers_after + margin // 2

    def closed(self, now: int) -> bool:
        """Return whether nothing new is admitted any more."""
        return now - self.started_at >= STILL_ARRIVING

    def out_of_time(self, now: int) -> bool:
        """Return whether every pending activation must get its final answer now."""
        return now - self.started_at >= self.final_answers_after

    def over(self, now: int, pending: int, quiet: bool) -> bool:
        """Return whether the process may end; `quiet`: the sockets have nothing left to send or read."""
        return self.closed(now) and not pending and quiet or now - self.started_at >= self.end_after
