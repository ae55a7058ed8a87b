"""A limit of the attempts in flight, by additive increase and multiplicative decrease (AIMD).

It differs from `decide.overload.concurrency_limit.ConcurrencyLimit`, which limits the requests that a
dispatcher admits and is updated in rounds: this class limits the attempts that are sent, is updated by each
answer, and sets no limit before the first slow answer.
"""

REDUCTION_FACTOR = 0.85  # a slow answer reduces the limit to this share of the attempts in flight


class SendLimit:
    """A limit of attempts in flight: a slow answer reduces it, `limit` other answers raise it by one.

    Attributes:
        limit: maximum number of attempts in flight; None: no limit.
        reduced_at: when it was last reduced, ns.
    """

    __slots__ = ("reduced_at", "limit")

    def __init__(self) -> None:
        self.limit: float | None = None
        self.reduced_at = 0

    def record_answer(
        self, is_slow: bool, in_flight: int, now: int, sent_at: int, min_limit: float = 1.0
    ) -> None:
        """Update the limit after one answer.

        Args:
            is_slow: whether the answer took too long.
            in_flight: attempts that are still in flight.
            now: time of the answer, ns.
            sent_at: when its attempt was sent, ns. A slow answer to an attempt that was sent before the last
                reduction is ignored: it does not show the effect of the reduction, and answers that are slow
                for the same reason must reduce the limit only once.
            min_limit: the minimum of the limit after a reduction.
        """
        if is_slow and sent_at >= self.reduced_at:
            self.limit = max(min_limit, min(self.limit or in_flight + 1, in_flight + 1) * REDUCTION_FACTOR)
            self.reduced_at = now
        elif not is_slow and self.limit is not None and in_flight + 1 >= self.limit:
            self.limit += 1 / self.limit

    def is_reached(self, in_flight: int) -> bool:
        """Return whether no further attempt may be in flight."""
        return self.limit is not None and in_flight >= self.limit
