"""The limit of activations without an answer: cut when answers are late, raised as they are in time again.

A queue that is longer than what can be answered in time makes all answers late, and the retries of the late
ones keep it long after its cause is gone. So the limit follows the answers: at the end of each turn it falls
below the present number if over `CUT_SHARE` were late or aborted, and rises by a part if under `RISE_SHARE`
were, more slowly once it is near the ceiling, where it was cut last. Between the two it stays. It never falls
below `least`, so that there are always answers to learn from.
"""

CUT_SHARE = 0.3  # of answers that were late, over which the limit is cut
RISE_SHARE = 0.1  # under which it rises
CUT = 0.75  # factor of a cut: of the present number to the ceiling, and again to the limit
FAST_RISE = 1.25  # factor of a turn's rise below the ceiling, and
SLOW_RISE = 1.02  # near it,
SLOW_STEP = 0.5  # with this added
NEAR_CEILING = 0.85  # of the ceiling, from which it rises slowly
START_DIVISOR = 16  # a restart begins with `most` divided by this
LONGEST_REST = 8  # turns that the next one begins later at most, after a cut
CALM_TURNS = 24  # turns with a rise since the last cut, after which its ceiling is forgotten
LEAST_ANSWERS = 8  # in a turn, with fewer of which it is extended
LONGEST_EXTENSION = 3  # turns by which it is extended at most


class ConcurrencyLimit:
    """A limit between `least` and `most` activations; times in ns.

    Not `decide.scheduling.send_limit.SendLimit`, which limits attempts in flight at workers.
    """

    __slots__ = (
        "calm_turns",
        "ceiling",
        "cuts",
        "in_time",
        "late",
        "least",
        "limit",
        "most",
        "reduced_since",
        "turn",
        "turn_ends",
    )

    def __init__(self, most: int, least: int, turn: int) -> None:
        self.most = most
        self.least = min(least, most)
        self.turn = turn
        self.limit = float(most)
        self.ceiling = float(most)  # where it was cut last
        self.in_time = 0  # answers of this turn
        self.late = 0
        self.turn_ends = 0
        self.cuts = 0
        self.calm_turns = 0
        self.reduced_since: int | None = None

    def start_slowly(self, now: int) -> None:
        """Begin with a low limit, after a restart."""
        self.limit = float(max(self.least, self.most // START_DIVISOR))
        self.turn_ends = now + self.turn
        self.reduced_since = now

    def set_most(self, most: int) -> None:
        """Change the highest limit, by new settings."""
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
        """Adapt the limit if a turn has ended, and return whether it has changed."""
        if now < self.turn_ends:
            return False
        answers = self.in_time + self.late
        if answers < LEAST_ANSWERS and now < self.turn_ends + LONGEST_EXTENSION * self.turn:
            return False
        before = self.limit
        late_share = self.late / answers if answers else 0.0
        rest = 0.0
        if answers >= LEAST_ANSWERS and late_share > CUT_SHARE:
            self._cut(now, unanswered)
            # what was admitted before the cut says nothing about it: the next turn begins after its answers
            rest = min(LONGEST_REST, unanswered / answers) * self.turn
        elif late_share < RISE_SHARE:
            self._rise()
        self.in_time = 0
        self.late = 0
        self.turn_ends = now + int(rest) + self.turn
        return self.limit != before

    def has_capacity(self, unanswered: int) -> bool:
        """Return whether one more may be admitted."""
        return unanswered < self.limit

    @property
    def is_reduced(self) -> bool:
        """Whether the limit is below its highest."""
        return self.limit < self.most

    def _cut(self, now: int, unanswered: int) -> None:
        self.ceiling = max(self.least, min(self.limit, unanswered) * CUT)
        self.limit = max(self.least, self.ceiling * CUT)
        self.calm_turns = 0
        self.cuts += 1
        if self.reduced_since is None:
            self.reduced_since = now

    def _rise(self) -> None:
        self.calm_turns += 1
        if self.calm_turns > CALM_TURNS:  # so long in time: it may bear more than it did
            self.ceiling = float(self.most)
        is_near = self.limit >= NEAR_CEILING * self.ceiling
        higher = self.limit * SLOW_RISE + SLOW_STEP if is_near else self.limit * FAST_RISE + 1
        self.limit = min(self.most, higher)
        if self.limit >= self.most:
            self.reduced_since = None
