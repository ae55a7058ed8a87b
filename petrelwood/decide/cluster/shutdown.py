"""Graceful shutdown: how long a dispatcher still admits activations, and when all must have final answers.

The platform may kill the process as early as its longest action timeout (at most `MAX_TIMEOUT`) plus
`ADMISSION_PERIOD` after SIGTERM. Times in ns.
"""

MILLISECOND = 1_000_000
# After SIGTERM, during which connections and requests still arrive according to the platform.
ADMISSION_PERIOD = 700 * MILLISECOND
MAX_TIMEOUT = 3_000 * MILLISECOND  # the platform waits no longer than this for an action timeout
# The margin for the last answers before the kill is the smaller of `MAX_MARGIN` and the timeout divided by
# `MARGIN_DIVISOR`.
MAX_MARGIN = 400 * MILLISECOND
MARGIN_DIVISOR = 4


class Shutdown:
    """The schedule of one graceful shutdown.

    `started_at` is the earliest time at which SIGTERM may have arrived; `longest` is the longest action
    timeout.
    """

    __slots__ = ("end_after", "final_answers_after", "last_reads_until", "started_at")

    def __init__(self, started_at: int, longest: int) -> None:
        timeout = min(longest, MAX_TIMEOUT)
        margin = min(MAX_MARGIN, timeout // MARGIN_DIVISOR)
        self.started_at = started_at
        self.final_answers_after = ADMISSION_PERIOD + timeout - margin
        self.end_after = self.final_answers_after + margin // 2
        self.last_reads_until = self.end_after + margin // 8

    def is_admission_closed(self, now: int) -> bool:
        """Return whether new activations are no longer admitted."""
        return now - self.started_at >= ADMISSION_PERIOD

    def must_answer_all(self, now: int) -> bool:
        """Return whether every pending activation must get its final answer now."""
        return now - self.started_at >= self.final_answers_after

    def may_exit(self, now: int, pending: int, quiet: bool) -> bool:
        """Return whether the process may exit; `quiet`: the sockets have nothing left to send or read."""
        return (
            self.is_admission_closed(now) and not pending and quiet or now - self.started_at >= self.end_after
        )

    def may_read_on(self, now: int) -> bool:
        """Return whether requests that are unread when the process may exit may be read and rejected yet."""
        return now - self.started_at < self.last_reads_until
