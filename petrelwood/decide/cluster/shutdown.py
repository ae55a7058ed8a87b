"""Graceful shutdown: how long a dispatcher still admits activations, and when all must have final answers.

The platform may kill it as early as its longest action timeout (at most `MAX_TIMEOUT`) plus
`ADMISSION_PERIOD` after SIGTERM. Times in ns.
"""

MILLISECOND = 1_000_000
ADMISSION_PERIOD = 700 * MILLISECOND  # connections and requests still come so long, as the platform says
MAX_TIMEOUT = 3_000 * MILLISECOND
# Left for the last answers before the kill: so much, or that part of the timeout where it is less.
MAX_MARGIN = 400 * MILLISECOND
MARGIN_DIVISOR = 4


class Shutdown:
    """The times of one graceful shutdown.

    `started_at`: when SIGTERM came, at the earliest; `longest`: the longest action timeout.
    """

    __slots__ = ("final_answers_after", "end_after", "started_at")

    def __init__(self, started_at: int, longest: int) -> None:
        timeout = min(longest, MAX_TIMEOUT)
        margin = min(MAX_MARGIN, timeout // MARGIN_DIVISOR)
        self.started_at = started_at
        self.final_answers_after = ADMISSION_PERIOD + timeout - margin
        self.end_after = self.final_answers_after + margin // 2

    def is_admission_closed(self, now: int) -> bool:
        """Return whether nothing new is admitted any more."""
        return now - self.started_at >= ADMISSION_PERIOD

    def must_answer_all(self, now: int) -> bool:
        """Return whether every pending activation must get its final answer now."""
        return now - self.started_at >= self.final_answers_after

    def may_exit(self, now: int, pending: int, quiet: bool) -> bool:
        """Return whether the process may end; `quiet`: the sockets have nothing left to send or read."""
        return (
            self.is_admission_closed(now) and not pending and quiet or now - self.started_at >= self.end_after
        )
