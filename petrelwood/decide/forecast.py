"""How often each function will be called: from time of day, known dates, recent pace, and what its like are called.

Counts in slots of a stated width. Three methods are weighed for each function by back-test on its own past, by the ranked
probability score of the whole distribution; the plain one (the same slot of earlier seasons) stays unless another has
been better by a tenth for long enough. A forecast is a mean and a spread, read as a negative binomial: counts are more
spread than Poisson's. What has no history borrows from its kind; what is suddenly hot is seen from its last slots.
"""
import math
from collections import deque

BETTER = 0.9               # a method must score so much lower than the plain one to take its place
TRIALS = 144               # slots scored before any may
MEMORY = 0.05              # how fast spreads forget
SCORES = 0.005             # how fast scores do: a method must have been better for long
HOT = 4.0                  # a slot so many spreads over its forecast makes the function hot
COOL = 3                   # slots without it that end that
KIN = 12                   # slots of a function's own that outweigh what it borrows
JOBS = 3                   # ended slots that may wait to be learnt
MOST_SEASONS = 14          # of each slot that are kept
WEEKS = 4                  # of a slot of the week before it says more than that of the day


def negative_binomial(mean, spread):
    """(r, p) of a negative binomial with that mean and variance mean * spread, spread over 1."""
    spread = max(spread, 1.0 + 1e-6)
    p = 1 / spread
    return mean * p / (1 - p), p


def probabilities(mean, spread, most):
    """P(count <= k) for k in 0..most."""
    if mean <= 0:
        return [1.0] * (most + 1)
    r, p = negative_binomial(mean, spread)
    log_p, log_q = math.log(p), math.log1p(-p)
    total, found = 0.0, []
    for k in range(most + 1):
        total += math.exp(math.lgamma(k + r) - math.lgamma(r) - math.lgamma(k + 1) + r * log_p + k * log_q)
        found.append(min(1.0, total))
    return found


def at_least_one(mean, spread):
    """P(count > 0)."""
    if mean <= 0:
        return 0.0
    r, p = negative_binomial(mean, spread)
    return 1 - p ** r


def score(mean, spread, count):
    """The ranked probability score of a forecast when `count` came: less is better, 0 is certain and right."""
    most = max(math.ceil(count), int(mean + 4 * math.sqrt(max(mean * spread, 1)))) + 1
    if most > 400:                                       # for large counts the normal's closed form
        deviation = math.sqrt(max(mean * spread, 1e-9))
        z = (count - mean) / deviation
        density, below = math.exp(-z * z / 2) / math.sqrt(2 * math.pi), 0.5 * (1 + math.erf(z / math.sqrt(2)))
        return deviation * (z * (2 * below - 1) + 2 * density - 1 / math.sqrt(math.pi))
    return sum((below - (k >= count)) ** 2 for k, below in enumerate(probabilities(mean, spread, most)))


class Calendar:
    """Seasons and known dates. `day` and `week` in ns; `events`: [(begin, end, factor, prefix)] on the wall clock."""

    def __init__(self, slot, day, week, events=()):
        self.slot, self.day, self.week, self.events = slot, day, week, sorted(events)

    def keys(self, at):
        """The slots of day and of week that a time lies in."""
        return (at % self.day) // self.slot, (at % self.week) // self.slot if self.week else None

    def factor(self, at, function):
        found = 1.0
        for begin, end, factor, prefix in self.events:
            if begin <= at < end and function.startswith(prefix):
                found *= factor
        return found


class Seasonal:
    """The mean of the same slot in earlier seasons; of the week where it has them, else of the day."""

    def __init__(self):
        self.slots = {}

    def mean(self, keys):
        for name, key in (("week", keys[1]), ("day", keys[0])):
            held = self.slots.get((name, key))
            if held and (name == "day" or len(held) >= WEEKS):
                return sum(held) / len(held)
        return None

    def learn(self, keys, count):
        for name, key in (("week", keys[1]), ("day", keys[0])):
            if key is not None:
                self.slots.setdefault((name, key), deque(maxlen=MOST_SEASONS)).append(count)


class Smoothed:
    """The recent pace, whatever the time."""

    def __init__(self, part):
        self.part, self.level = part, None

    def mean(self):
        return self.level

    def learn(self, count):
        self.level = count if self.level is None else self.level + self.part * (count - self.level)


class Series:
    """One function: what it was called, three methods' forecasts for the next slot, and which one is believed."""
    METHODS = ("seasonal", "recent", "both")

    def __init__(self):
        self.seasonal, self.recent, self.ratio = Seasonal(), Smoothed(0.3), Smoothed(0.2)
        self.scores, self.spreads = {m: None for m in self.METHODS}, {m: 2.0 for m in self.METHODS}
        self.trials, self.believed, self.hot, self.seen, self.last = 0, "seasonal", 0, 0, None

    def means(self, keys):
        """Each method's mean for a slot; None where it has nothing to say."""
        season, pace = self.seasonal.mean(keys), self.recent.mean()
        ratio = self.ratio.mean()
        both = None if season is None or pace is None else season * min(4.0, max(0.25, 1.0 if ratio is None else ratio))
        return {"seasonal": season, "recent": pace, "both": both}

    def learn(self, keys, count):
        """A slot is over: scores what was forecast for it, then learns it."""
        means = self.means(keys)
        season = means["seasonal"]
        for method, mean in means.items():
            if mean is None:
                continue
            found = score(mean, self.spreads[method], count)
            old = self.scores[method]
            self.scores[method] = found if old is None else old + SCORES * (found - old)
            off = (count - mean) ** 2 / max(mean, 0.25)
            self.spreads[method] = max(1.05, self.spreads[method] + MEMORY * (min(off, 400) - self.spreads[method]))
        self.trials += season is not None
        self._choose()
        mean, spread = self._mean(means)
        if mean is not None and count > mean + HOT * math.sqrt(max(1.0, mean * spread)):
            self.hot = COOL
        elif self.hot:
            self.hot -= 1
        if season is not None:
            self.ratio.learn((count + 1) / (season + 1))
        self.seasonal.learn(keys, count)
        self.recent.learn(count)
        self.seen, self.last = self.seen + 1, count

    def _choose(self):
        plain = self.scores["seasonal"]
        if plain is None or self.trials < TRIALS:
            return
        best = min((m for m in self.METHODS if self.scores[m] is not None), key=lambda m: self.scores[m])
        if best != self.believed and self.scores[best] < BETTER * self.scores[self.believed or "seasonal"]:
            self.believed = best
        elif self.believed != "seasonal" and self.scores["seasonal"] <= self.scores[self.believed]:
            self.believed = "seasonal"

    def _mean(self, means):
        """(mean, spread) of what is believed, or of what there is."""
        for method in (self.believed, "seasonal", "recent"):
            if means[method] is not None:
                return means[method], self.spreads[method]
        return None, 2.0

    def forecast(self, keys):
        mean, spread = self._mean(self.means(keys))
        if self.hot and self.last is not None:
            mean = max(mean or 0.0, float(self.last))    # suddenly hot: its last slot says more than its past
        return mean, spread


class Forecast:
    """All functions of one dispatcher. `kin(function)` names what it is like, for those without history; `calendar` a
    `Calendar`. Times are wall-clock ns; a clock that steps back, or a gap, ends the slot that was open."""

    def __init__(self, calendar, kin, most=20_000, sliced=False):
        self.calendar, self.kin, self.most, self.sliced = calendar, kin, most, sliced
        self.jobs = deque()                              # ended slots that are not learnt yet: (keys, counts, names left)
        self.series, self.kinds, self.counts, self.slot = {}, {}, {}, None
        self.broken = 0                                  # slots that were thrown away

    def called(self, at, function):
        """A function was called; how many slots have ended since the last call."""
        ended = self.passes(at)
        self.counts[function] = self.counts.get(function, 0) + 1
        return ended

    def passes(self, at):
        slot = at // self.calendar.slot
        if self.slot is None:
            self.slot = slot
            return 0
        if slot == self.slot:
            return 0
        gap = slot - self.slot
        if gap < 0 or gap > 2 * self.calendar.day // self.calendar.slot:
            self.counts, self.slot = {}, slot            # the clock stepped, or nobody was here: nothing is learnt of it
            self.broken += 1
            return 0
        self._end_slot()
        for missing in range(1, min(gap, 8)):            # slots in which nothing was called at all
            self.slot += 1
            self._end_slot()
        self.slot = slot
        return gap

    def _end_slot(self):
        keys, counts = self.calendar.keys(self.slot * self.calendar.slot), self.counts
        self.counts = {}
        for function in counts:
            if function not in self.series and len(self.series) < self.most:
                self.series[function] = Series()
        totals = {}
        for function in self.series:
            group = totals.setdefault(self.kin(function), [0, 0])
            group[0] += counts.get(function, 0)
            group[1] += 1
        for kind, (count, members) in totals.items():
            self.kinds.setdefault(kind, Series()).learn(keys, count / members)
        if len(self.jobs) >= JOBS:                       # so far behind that the oldest slot is given up
            self.jobs.popleft()
            self.broken += 1
        self.jobs.append((keys, counts, list(self.series)))
        if not self.sliced:
            self.work(len(self.series))

    def work(self, count):
        """Learns the next so many functions of the slots that have ended; whether more are left. A caller that must not
        stand still (`sliced`) does this a few at a time."""
        while self.jobs and count > 0:
            keys, counts, names = self.jobs[0]
            while names and count > 0:
                name, count = names.pop(), count - 1
                if name in self.series:
                    self.series[name].learn(keys, counts.get(name, 0))
            if not names:
                self.jobs.popleft()
                self._forget()
        return bool(self.jobs)

    def _forget(self):
        if len(self.series) >= self.most:
            for function in [f for f, s in self.series.items() if not s.recent.level or s.recent.level < 1e-3]:
                del self.series[function]

    def ahead(self, at, function, slots=1):
        """(mean, spread) of calls in the next `slots` slots from `at` on; (0, 2) of what nothing is known of."""
        series, kind = self.series.get(function), self.kinds.get(self.kin(function))
        total, worst = 0.0, 1.05
        for ahead in range(slots):
            when = at + ahead * self.calendar.slot
            keys = self.calendar.keys(when)
            mean, spread = series.forecast(keys) if series else (None, 2.0)
            own = series.seen if series else 0
            if own < KIN and kind is not None:
                borrowed, kind_spread = kind.forecast(keys)
                if borrowed is not None:
                    weight = own / KIN
                    mean = borrowed if mean is None else weight * mean + (1 - weight) * borrowed
                    spread = max(spread, kind_spread)
            total += (mean or 0.0) * self.calendar.factor(when, function)
            worst = max(worst, spread)
        return total, worst

    def stale(self, at, slots=4):
        """Whether so much time has passed unseen that nothing should be built on it."""
        return self.slot is None or abs(at // self.calendar.slot - self.slot) > slots
