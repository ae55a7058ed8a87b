"""How much may be held at a time: cut when answers come too late, let in again step by step as they come back
in time.

A queue that is longer than what can be answered in time makes all of it late, and the repeats of what was
late keep it long after what began it is gone. So the bound on what is held follows the answers: at the end of
each turn, where most were late or aborted, it falls under what is held now; where nearly all are good it
rises by a part, and by less once it is near where it was cut last. Between the two it stays. It never falls
under `least`, so that there are always answers to learn from."""

BAD, GOOD = 0.3, 0.1  # share of answers that were not in time: cut over the one, rise under the other
CUT, RISE, FEEL = 0.75, 1.25, 1.02
NEAR = 0.85  # of the bound that was cut last
LONGEST = 8  # turns that it waits at most after a cut
FORGETS = 24  # good turns in a row after which a cut is forgotten
FEW = 8  # answers that a turn must have to say anything


class ConcurrencyLimit:
    """`most`, `least`: activations held; `turn`: ns. All times in ns."""

    def __init__(self, most, least, turn):
        self.most, self.least, self.turn, self.limit = most, min(least, most), turn, float(most)
        self.good, self.bad, self.until, self.cuts, self.since, self.ceiling, self.calm = (
            0,
            0,
            0,
            0,
            None,
            float(most),
            0,
        )

    def begin(self, now):
        """A dispatcher that has just started, or lost sight of the workers, begins low and rises by what it
        sees."""
        self.limit, self.until, self.since = float(max(self.least, self.most // 16)), now + self.turn, now

    def bound(self, most):
        """Another bound on what may be held at all."""
        self.limit = float(most) if self.limit >= self.most else min(self.limit, float(most))
        self.most, self.ceiling = most, min(self.ceiling, float(most))

    def ended(self, in_time):
        """An answer that was made for something that had been taken."""
        if in_time:
            self.good += 1
        else:
            self.bad += 1

    def look(self, now, held):
        """Whether the bound has changed; asked at any time, it acts once in a turn."""
        if now < self.until:
            return False
        seen, before = self.good + self.bad, self.limit
        if seen < FEW and now < self.until + 3 * self.turn:
            return False  # a turn with few answers is made longer
        share, rest = self.bad / seen if seen else 0.0, 0
        if seen >= FEW and share > BAD:
            self.ceiling = max(self.least, min(self.limit, held) * CUT)
            self.limit, self.calm = max(self.least, self.ceiling * CUT), 0
            self.cuts += 1
            # what is held now still has to pass: it says nothing new
            rest = min(LONGEST, held / seen) * self.turn
            if self.since is None:
                self.since = now
        elif share < GOOD:
            self.calm += 1
            if self.calm > FORGETS:  # so long in time: it may bear more than it did
                self.ceiling = float(self.most)
            near = self.limit >= NEAR * self.ceiling
            self.limit = min(self.most, self.limit * FEEL + 0.5 if near else self.limit * RISE + 1)
            if self.limit >= self.most:
                self.since = None
        self.good, self.bad, self.until = 0, 0, now + int(rest) + self.turn
        return self.limit != before

    def room(self, held):
        return held < self.limit

    @property
    def holds_back(self):
        return self.limit < self.most
