"""How much may be held at a time: cut when answers are late, raised step by step as they are in time again.

A queue that is longer than what can be answered in time makes all of it late, and the retries of what was
late keep it long after what began it is gone. So the bound on what is held follows the answers: at the end of
each turn, where most were late or aborted, it falls under what is held now; where nearly all are good it
rises by a part, and by less once it is near where it was cut last. Between the two it stays. It never falls
under `least`, so that there are always answers to learn from.
"""

CUT_SHARE = 0.3  # of answers that were late, over which the limit is cut
RISE_SHARE = 0.1  # under which it rises
CUT = 0.75
FAST_RISE = 1.25
SLOW_RISE = 1.02
SLOW_STEP = 0.5
NEAR_CEILING = 0.85  # of the ceiling, from which it rises slowly
START_PART = 16  # a start begins at this part of the bound
LONGEST_REST = 8  # turns that it waits at most after a cut
CALM_TURNS = 24  # good turns in a row after which a cut is forgotten
LEAST_ANSWERS = 8  # that a turn must have to say anything
LONGEST_TURN = 3  # turns by which one with few answers is made longer


class ConcurrencyLimit:
    """`most` and `least` activations held; `turn` in ns, as all times."""

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
        """A dispatcher that has just started begins low and rises by what it sees."""
        self.limit = float(max(self.least, self.most // START_PART))
        self.turn_ends = now + self.turn
        self.reduced_since = now

    def set_most(self, most: int) -> None:
        """Another bound on what may be held at all."""
        self.limit = float(most) if self.limit >= self.most else min(self.limit, float(most))
        self.most = most
        self.ceiling = min(self.ceiling, float(most))

    def record_answer(self, in_time: bool) -> None:
        """An answer for something that had been admitted."""
        if in_time:
            self.in_time += 1
        else:
            self.late += 1

    def update(self, now: int, held: int) -> bool:
        """Whether the limit has changed; asked at any time, it acts once in a turn."""
        if now < self.turn_ends:
            return False
        answers = self.in_time + self.late
        if answers < LEAST_ANSWERS and now < self.turn_ends + LONGEST_TURN * self.turn:
            return False  # a turn with few answers is made longer
        before = self.limit
        late_share = self.late / answers if answers else 0.0
        rest = 0.0
        if answers >= LEAST_ANSWERS and late_share > CUT_SHARE:
            self._cut(now, held)
            # what is held now still has to pass: it says nothing new
            rest = min(LONGEST_REST, held / answers) * self.turn
        elif late_share < RISE_SHARE:
            self._rise()
        self.in_time = 0
        self.late = 0
        self.turn_ends = now + int(rest) + self.turn
        return self.limit != before

    def has_capacity(self, held: int) -> bool:
        """Whether one more may be held."""
        return held < self.limit

    @property
    def is_reduced(self) -> bool:
        """Whether less may be held than at most."""
        return self.limit < self.most

    def _cut(self, now: int, held: int) -> None:
        self.ceiling = max(self.least, min(self.limit, held) * CUT)
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
