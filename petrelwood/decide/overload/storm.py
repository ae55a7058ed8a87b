"""Storms, told by their symptoms and not by their causes.

    repeats     the share of asks that come again (same id, same customer)
    surge       asks in a second against the usual second
    synchrony   how bunched asks are: the variance of counts in small buckets over their mean, 1 for
    independent callers
    reconnects  connections opened against asks that came on them
    cold        the share of ended sends that had to wait for a load

Each symptom goes on when it has been over its upper mark at two looks in a row and off when it has stayed
under its lower mark for a while that grows each time it comes back soon: it does not flap. What follows from
a storm is decided where it matters (`retry_budget`, `admission`, `concurrency_limit`, early loads); here is
only what there is."""

from collections import Counter

from petrelwood.decide.overload.sliding_window import SlidingWindowCounter

SECOND = 1_000_000_000
MARKS = {
    "repeats": (0.3, 0.1),
    "surge": (3.0, 1.5),
    "synchrony": (8.0, 3.0),
    "reconnects": (0.7, 0.3),
    "cold": (0.6, 0.3),
}
FEW = 20  # asks in a window under which nothing is told from shares
LOOKS = 2
CALM = 2 * SECOND  # under the lower mark so long, and a symptom is over
LONGEST = 16  # times CALM
USUAL = 1 / 60  # how fast the usual second follows, each second
FINE, FINES = 50_000_000, 41  # buckets that synchrony is told from, over two seconds


class Symptom:
    """One sign, with its two marks. `value` is the last that was looked at."""

    def __init__(self, on, off):
        self.upper, self.lower, self.on, self.value = on, off, False, 0.0
        self.over, self.under_since, self.since, self.ended, self.calm = 0, None, 0, -1 << 62, CALM

    def look(self, now, value):
        """Whether it has just changed."""
        self.value = value
        if not self.on:
            self.over = self.over + 1 if value >= self.upper else 0
            if self.over < LOOKS:
                return False
            again = now - self.ended < 4 * self.calm  # back so soon: what ended it was no end
            self.calm = min(LONGEST * CALM, 2 * self.calm) if again else CALM
            self.on, self.since, self.under_since, self.over = True, now, None, 0
            return True
        if value > self.lower:
            self.under_since = None
            return False
        if self.under_since is None:
            self.under_since = now
        if now - self.under_since < self.calm:
            return False
        self.on, self.ended = False, now
        return True


class Storms:
    """All symptoms of one dispatcher. Tell it what happens; `look` each half second or so."""

    def __init__(self):
        self.symptoms = {name: Symptom(*marks) for name, marks in MARKS.items()}
        self.asks, self.repeats = SlidingWindowCounter(SECOND // 4, 9), SlidingWindowCounter(SECOND // 4, 9)
        self.connects, self.sends, self.colds = (SlidingWindowCounter(SECOND // 4, 9) for _ in range(3))
        self.fine, self.usual, self.second, self.count, self.seen = (
            SlidingWindowCounter(FINE, FINES),
            None,
            None,
            0,
            Counter(),
        )

    # What happens.
    def asked(self, now, repeat):
        self.asks.add(now)
        self.fine.add(now)
        if repeat:
            self.repeats.add(now)
        second = now // SECOND
        if self.second is None:
            self.second = second
        if second != self.second:
            self._second_ends(second - self.second)
            self.second = second
        self.count += 1

    def _second_ends(self, passed):
        """The usual second is learnt from seconds without a storm, and slowly: a storm must not become
        usual."""
        count, self.count = self.count, 0
        if self.usual is None:
            self.usual = float(count)
        elif not self.any():
            for value in [count] + [0] * min(passed - 1, 60):
                self.usual += USUAL * (value - self.usual)

    def connected(self, now):
        self.connects.add(now)

    def ran(self, now, cold):
        self.sends.add(now)
        if cold:
            self.colds.add(now)

    # What there is.
    def any(self):
        return any(s.on for s in self.symptoms.values())

    def on(self, name):
        return self.symptoms[name].on

    def look(self, now):
        """The symptoms that have just changed: [(name, whether it is on, value)]"""
        changed = []
        for name, value in self._values(now).items():
            symptom = self.symptoms[name]
            if symptom.look(now, value):
                self.seen[name] += symptom.on
                changed.append((name, symptom.on, value))
        return changed

    def _values(self, now):
        asks = self.asks.sum(now)
        enough, window = asks >= FEW, self.asks.span / SECOND
        usual = max(self.usual or 0.0, FEW / window)
        sends = self.sends.sum(now)
        return {
            "repeats": self.repeats.sum(now) / asks if enough else 0.0,
            "surge": asks / window / usual if enough and self.usual is not None else 0.0,
            "synchrony": dispersion(self.fine.ended_buckets(now)) if enough else 0.0,
            "reconnects": self.connects.sum(now) / max(asks, FEW),
            "cold": self.colds.sum(now) / sends if sends >= FEW else 0.0,
        }

    def figures(self):
        return {
            name: {"on": s.on, "value": round(s.value, 3), "seen": self.seen[name]}
            for name, s in self.symptoms.items()
        }


def dispersion(counts):
    """Variance over mean of counts: 1 where callers are independent, more where they come together."""
    mean = sum(counts) / len(counts)
    return sum((c - mean) ** 2 for c in counts) / len(counts) / mean if mean else 0.0
