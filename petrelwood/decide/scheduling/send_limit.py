"""A limit of the attempts in flight at a time, by additive increase and multiplicative decrease.

Not `decide.overload.concurrency_limit.ConcurrencyLimit`, which bounds what a dispatcher takes in, by turns:
this one bounds what is sent out, learns from each single answer and limits nothing before a slow one.
"""

REDUCTION = 0.85  # of what is in flight, to which a slow answer reduces the limit


class SendLimit:
    """Limit of attempts in flight; each slow answer reduces it, each full round of others raises it by one.

    Attributes:
        limit: most attempts in flight at a time; None while nothing limits them.
        reduced_at: when it was last reduced, ns.
    """

    __slots__ = ("reduced_at", "limit")

    def __init__(self) -> None:
        self.limit: float | None = None
        self.reduced_at = 0

    def record_answer(
        self, is_slow: bool, in_flight: int, now: int, sent_at: int, least: float = 1.0
    ) -> None:
        """Learn from one answer.

        Args:
            is_slow: whether the answer took too long.
            in_flight: attempts that are still in flight.
            now: time of the answer, ns.
            sent_at: when its attempt was sent, ns. One that was sent before the last reduction says nothing
                about its effect: answers that are slow for one reason reduce the limit once.
            least: a reduction leaves the limit no lower than this.
        """
        if is_slow and sent_at >= self.reduced_at:
            self.limit = max(least, min(self.limit or in_flight + 1, in_flight + 1) * REDUCTION)
            self.reduced_at = now
        elif not is_slow and self.limit is not None and in_flight + 1 >= self.limit:
            self.limit += 1 / self.limit

    def is_reached(self, in_flight: int) -> bool:
        """Return whether no further attempt may be in flight."""
        return self.limit is not None and in_flight >= self.limit
