"""An adaptive limit of unanswered activations: cut when answers are late, raised while they are in time.

A queue that is longer than what can be answered in time makes all answers late, and the retries of the late
ones keep it long after its cause is gone. The limit is therefore adapted at the end of each interval. If the
share of late or aborted answers is over `CUT_SHARE`, the limit is cut below the current number of unanswered
activations. If it is under `RISE_SHARE`, the limit rises, more slowly near the ceiling, which remembers the
last cut. In between the limit stays. It never falls below `least`, so that there are always answers to
measure.
"""

CUT_SHARE = 0.3  # share of late answers above which the limit is cut
RISE_SHARE = 0.1  # share of late answers below which the limit rises
# A cut sets the ceiling to this share of the number of unanswered activations, and the limit to this share of
# the ceiling.
CUT_FACTOR = 0.75
FAST_RISE_FACTOR = 1.25  # multiplies the limit in each interval with a rise that is not near the ceiling
SLOW_RISE_FACTOR = 1.02  # multiplies the limit in each interval with a rise near the ceiling
SLOW_RISE_STEP = 0.5  # activations added to the limit as well in each such rise near the ceiling
NEAR_CEILING_SHARE = 0.85  # share of the ceiling from which on the limit counts as near it
START_DIVISOR = 16  # the limit starts at `most` divided by this after a restart
MAX_CUT_DELAY = 8  # intervals by which a cut delays the start of the next interval, at most
CEILING_RESET_RISES = 24  # intervals with a rise since the last cut after which the ceiling is reset
MIN_ANSWERS = 8  # an interval with fewer answers is extended
MAX_EXTENSION = 3  # intervals by which an interval is extended, at most


class ConcurrencyLimit:
    """A limit between `least` and `most` activations, adapted once per `interval`. Times in ns.

    Unlike `decide.scheduling.send_limit.SendLimit`, it does not limit the attempts in flight at workers.
    """

    __slots__ = (
        "ceiling",
        "cuts",
        "in_time",
        "interval",
        "interval_ends_at",
        "late",
        "least",
        "limit",
        "most",
        "reduced_since",
        "rises_since_cut",
    )

    def __init__(self, most: int, least: int, interval: int) -> None:
        self.most = most
        self.least = min(least, most)
        self.interval = interval
        self.limit = float(most)
        self.ceiling = float(most)  # near which the limit rises slowly; set by the last cut
        self.in_time = 0  # answers in time in this interval
        self.late = 0  # late or aborted answers in this interval
        self.interval_ends_at = 0
        self.cuts = 0
        self.rises_since_cut = 0
        self.reduced_since: int | None = None

    def start_slowly(self, now: int) -> None:
        """Set a low limit after a restart."""
        self.limit = float(max(self.least, self.most // START_DIVISOR))
        self.interval_ends_at = now + self.interval
        self.reduced_since = now

    def set_most(self, most: int) -> None:
        """Change the upper bound of the limit to that of new settings."""
        self.limit = float(most) if self.limit >= self.most else min(self.limit, float(most))
        self.most = most
        self.ceiling = min(self.ceiling, float(most))

    def record_answer(self, in_time: bool) -> None:
        """Count an answer to an admitted activation."""
        if in_time:
            self.in_time += 1
        else:
            self.late += 1

    def update(self, now: int, unanswered: int) -> bool:
        """Adapt the limit if an interval has ended; return whether it has changed."""
        if now < self.interval_ends_at:
            return False
        answers = self.in_time + self.late
        if answers < MIN_ANSWERS and now < self.interval_ends_at + MAX_EXTENSION * self.interval:
            return False
        before = self.limit
        late_share = self.late / answers if answers else 0.0
        delay = 0.0
        if answers >= MIN_ANSWERS and late_share > CUT_SHARE:
            self._cut(now, unanswered)
            # Answers to what was admitted before the cut do not measure its effect: the next interval starts
            # after them.
            delay = min(MAX_CUT_DELAY, unanswered / answers) * self.interval
        elif late_share < RISE_SHARE:
            self._rise()
        self.in_time = 0
        self.late = 0
        self.interval_ends_at = now + int(delay) + self.interval
        return self.limit != before

    def has_capacity(self, unanswered: int) -> bool:
        """Return whether one more activation may be admitted."""
        return unanswered < self.limit

    @property
    def is_reduced(self) -> bool:
        """Whether the limit is below its upper bound."""
        return self.limit < self.most

    def _cut(self, now: int, unanswered: int) -> None:
        self.ceiling = max(self.least, min(self.limit, unanswered) * CUT_FACTOR)
        self.limit = max(self.least, self.ceiling * CUT_FACTOR)
        self.rises_since_cut = 0
        self.cuts += 1
        if self.reduced_since is None:
            self.reduced_since = now

    def _rise(self) -> None:
        self.rises_since_cut += 1
        if self.rises_since_cut > CEILING_RESET_RISES:  # the capacity may be larger than at the last cut
            self.ceiling = float(self.most)
        is_near = self.limit >= NEAR_CEILING_SHARE * self.ceiling
        higher = (
            self.limit * SLOW_RISE_FACTOR + SLOW_RISE_STEP if is_near else self.limit * FAST_RISE_FACTOR + 1
        )
        self.limit = min(self.most, higher)
        if self.limit >= self.most:
            self.reduced_since = None
