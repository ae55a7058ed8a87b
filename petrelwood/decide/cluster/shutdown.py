"""Graceful shutdown: how long a dispatcher still admits what comes, and when it cuts what is left.

The platform may kill it as early as its longest action timeout, or `LONGEST_TIMEOUT` where that is longer,
plus `STILL_ARRIVING` after SIGTERM. Times in ns.
"""

MILLISECOND = 1_000_000
STILL_ARRIVING = 700 * MILLISECOND  # connections and requests still come so long, as the platform says
LONGEST_TIMEOUT = 3_000 * MILLISECOND
# Left for the last answers before the kill: so much, or that part of the timeout where it is less.
LONGEST_MARGIN = 400 * MILLISECOND
MARGIN_PART = 4


class Shutdown:
    """One graceful shutdown.

    `started_at` is when SIGTERM came, at the earliest; `longest` is the longest action timeout.
    """

    __slots__ = ("final_answers_after", "end_after", "started_at")

    def __init__(self, started_at: int, longest: int) -> None:
        timeout = min(longest, LONGEST_TIMEOUT)
        margin = min(LONGEST_MARGIN, timeout // MARGIN_PART)
        self.started_at = started_at
        self.final_answers_after = STILL_ARRIVING + timeout - margin
        self.end_after = self.final_answers_after + margin // 2

    def closed(self, now: int) -> bool:
        """Whether nothing new is admitted any more."""
        return now - self.started_at >= STILL_ARRIVING

    def out_of_time(self, now: int) -> bool:
        """Whether what is pending has to get its final answer now."""
        return now - self.started_at >= self.final_answers_after

    def over(self, now: int, pending: int, quiet: bool) -> bool:
        """Whether the process may end."""
        return self.closed(now) and not pending and quiet or now - self.started_at >= self.end_after
