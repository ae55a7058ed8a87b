"""How often each function will be called: from time of day, known dates, recent pace, and what its like are
called.

Counts in slots of a stated width. Three methods are weighed for each function by back-test on its own past,
by the ranked probability score of the whole distribution; the plain one (the same slot of earlier seasons)
stays unless another has been better by a tenth for long enough. A forecast is a mean and a spread, read as a
negative binomial: counts are more spread than Poisson's. What has no history borrows from its kind; what is
suddenly hot is seen from its last slots."""

import math
from collections import deque

BETTER = 0.9  # a method must score so much lower than the plain one to take its place
TRIALS = 144  # slots scored before any may
MEMORY = 0.05  # how fast spreads forget
SCORES = 0.005  # how fast scores do: a method must have been better for long
HOT = 4.0  # a slot so many spreads over its forecast makes the function hot
COOL = 3  # slots without it that end that
PRIOR = 0.5  # calls that what is borrowed counts for: half a one, as where nothing is known
RECENT = 5.0  # slots that the recent pace looks back on
JOBS = 3  # ended slots that may wait to be learnt
MOST_SEASONS = 14  # of each slot that are kept
WEEKS = 4  # of a slot of the week before it says more than that of the day


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
    return 1 - p**r


def score(mean, spread, count):
    """The ranked probability score of a forecast when `count` came: less is better, 0 is certain and
    right."""
    most = max(math.ceil(count), int(mean + 4 * math.sqrt(max(mean * spread, 1)))) + 1
    if most > 400:  # for large counts the normal's closed form
        deviation = math.sqrt(max(mean * spread, 1e-9))
        z = (count - mean) / deviation
        density, below = math.exp(-z * z / 2) / math.sqrt(2 * math.pi), 0.5 * (1 + math.erf(z / math.sqrt(2)))
        return deviation * (z * (2 * below - 1) + 2 * density - 1 / math.sqrt(math.pi))
    return sum((below - (k >= count)) ** 2 for k, below in enumerate(probabilities(mean, spread, most)))


class Calendar:
    """Seasons and known dates. `day` and `week` in ns; `events`: [(begin, end, factor, prefix)] on the wall
    clock."""

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

    def held(self, keys):
        """The counts of this slot in earlier seasons."""
        for name, key in (("week", keys[1]), ("day", keys[0])):
            held = self.slots.get((name, key))
            if held and (name == "day" or len(held) >= WEEKS):
                return held
        return ()

    def mean(self, keys):
        held = self.held(keys)
        return sum(held) / len(held) if held else None

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
    """One function: what it was called, three methods' forecasts for the next slot, and which one is
    believed."""

    METHODS = ("seasonal", "recent", "both")

    def __init__(self):
        self.seasonal, self.recent, self.ratio = Seasonal(), Smoothed(0.3), Smoothed(0.2)
        self.scores, self.spreads = {m: None for m in self.METHODS}, {m: 2.0 for m in self.METHODS}
        self.trials, self.believed, self.hot, self.seen, self.last = 0, "seasonal", 0, 0, None

    def means(self, keys):
        """Each method's mean for a slot; None where it has nothing to say."""
        season, pace = self.seasonal.mean(keys), self.recent.mean()
        ratio = self.ratio.mean()
        both = (
            None
            if season is None or pace is None
            else season * min(4.0, max(0.25, 1.0 if ratio is None else ratio))
        )
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
            self.spreads[method] = max(
                1.05, self.spreads[method] + MEMORY * (min(off, 400) - self.spreads[method])
            )
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

    def dump(self):
        """What it has learnt, as plain lists; `Series.restored` makes it again."""
        return [
            [[name, key, list(held)] for (name, key), held in self.seasonal.slots.items()],
            self.recent.level,
            self.ratio.level,
            [self.scores[m] for m in self.METHODS],
            [self.spreads[m] for m in self.METHODS],
            self.trials,
            self.believed,
            self.hot,
            self.seen,
            self.last,
        ]

    @classmethod
    def restored(cls, state):
        """Raises `ValueError`, `TypeError` or `KeyError` where the state makes no sense."""
        made = cls()
        slots, recent, ratio, scores, spreads, made.trials, made.believed, made.hot, made.seen, made.last = (
            state
        )
        for name, key, held in slots:
            made.seasonal.slots[name, key] = deque(map(float, held), maxlen=MOST_SEASONS)
        for smoothed, level in ((made.recent, recent), (made.ratio, ratio)):
            smoothed.level = None if level is None else float(level)
        made.scores = {m: None if s is None else float(s) for m, s in zip(cls.METHODS, scores, strict=True)}
        made.spreads = {m: max(1.05, float(s)) for m, s in zip(cls.METHODS, spreads, strict=True)}
        if made.believed not in cls.METHODS or not all(
            map(math.isfinite, (made.trials, made.hot, made.seen))
        ):
            raise ValueError("a series makes no sense")
        return made

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
        """(mean, spread, slots that were looked at for it)"""
        means = self.means(keys)
        mean, spread = self._mean(means)
        slots = (
            len(self.seasonal.held(keys))
            if means["seasonal"] is not None and self.believed != "recent"
            else min(RECENT, self.seen)
        )
        if self.hot and self.last is not None and self.last > (mean or 0.0):
            mean, slots = float(self.last), 1.0  # suddenly hot: its last slot says more than its past
        return mean, spread, slots


class Forecast:
    """All functions of one dispatcher. `kin(function)` names what it is like, for those without history;
    `calendar` a `Calendar`. Times are wall-clock ns; a clock that steps back, or a gap, ends the slot that
    was open."""

    def __init__(self, calendar, kin, most=20_000, sliced=False):
        self.calendar, self.kin, self.most, self.sliced = calendar, kin, most, sliced
        # ended slots that are not learnt yet: (keys, counts, names left)
        self.jobs = deque()
        self.series, self.kinds, self.counts, self.slot = {}, {}, {}, None
        self.broken = 0  # slots that were thrown away

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
            # the clock stepped, or nobody was here: nothing is learnt of it
            self.counts, self.slot = {}, slot
            self.broken += 1
            return 0
        self._end_slot()
        for _ in range(1, min(gap, 8)):  # slots in which nothing was called at all
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
        if len(self.jobs) >= JOBS:  # so far behind that the oldest slot is given up
            self.jobs.popleft()
            self.broken += 1
        self.jobs.append((keys, counts, list(self.series)))
        if not self.sliced:
            self.work(len(self.series))

    def work(self, count):
        """Learns the next so many functions of the slots that have ended; whether more are left. A caller
        that must not stand still (`sliced`) does this a few at a time."""
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
            for function in [
                f for f, s in self.series.items() if not s.recent.level or s.recent.level < 1e-3
            ]:
                del self.series[function]

    def ahead(self, at, function, slots=1, times=1):
        """(mean, spread) of calls in the next `slots` slots from `at` on, of `times` as many as this
        dispatcher sees; (0, 2) of what nothing is known of.

        What was seen is weighed against what its kind does, as a Poisson count against a gamma prior: a call
        or two of one's own, times hundreds of dispatchers, must not pass for a busy function. The spread
        holds how little was seen."""
        series, kind = self.series.get(function), self.kinds.get(self.kin(function))
        total, worst, least = 0.0, 1.05, math.inf
        for ahead in range(slots):
            when = at + ahead * self.calendar.slot
            keys = self.calendar.keys(when)
            mean, spread, seen = series.forecast(keys) if series else (None, 2.0, 0)
            borrowed, kind_spread, _ = kind.forecast(keys) if kind is not None else (None, 2.0, 0)
            if mean is None:
                mean, spread, seen = 0.0, kind_spread, 0
            calls = PRIOR + mean * seen
            if borrowed is not None:
                mean = calls / (PRIOR / max(borrowed, 1e-6) + seen)
            total += mean * self.calendar.factor(when, function)
            worst, least = max(worst, spread), min(least, calls)
        return total * times, max(worst, 1 + total * times / least)

    def dump(self):
        """Yields its state in parts, the head first, then a function at a time: a caller takes a few in each
        turn."""
        yield [self.calendar.slot, self.calendar.day, self.calendar.week, self.slot]
        for table, prefix in ((self.kinds, "kind"), (self.series, "function")):
            for name in list(table):
                if name in table:
                    yield [prefix, name, table[name].dump()]

    def restore(self, parts):
        """Takes a state that `dump` gave; how many functions it holds, 0 where its slots are of another width
        or it makes no sense: then all is learnt anew. The slots that passed meanwhile are learnt as a gap
        when the next call comes."""
        try:
            head, *rest = parts
            if head[:3] != [self.calendar.slot, self.calendar.day, self.calendar.week]:
                return 0
            found = {"kind": {}, "function": {}}
            for prefix, name, state in rest:
                found[prefix][name] = Series.restored(state)
        except (ValueError, TypeError, KeyError, IndexError):
            return 0
        self.kinds, self.series = found["kind"], dict(list(found["function"].items())[: self.most])
        return len(self.series)

    def stale(self, at, slots=4):
        """Whether so much time has passed unseen that nothing should be built on it."""
        return self.slot is None or abs(at // self.calendar.slot - self.slot) > slots
