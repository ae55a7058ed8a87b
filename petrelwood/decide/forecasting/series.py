"""The forecasts of one function: three methods, weighed by back-test on its own past.

The seasonal method (the mean of the same slot in earlier seasons) is selected unless another has scored
better by a tenth for long enough, by the ranked probability score of the whole distribution. What is suddenly
hot is seen from its last slot.
"""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from petrelwood.decide.forecasting.distribution import ranked_probability_score
from petrelwood.decide.forecasting.slot_calendar import SlotKeys

SWITCH_SCORE_RATIO = 0.9  # of the selected method's score, under which another takes its place
MIN_TRIALS = 144  # slots scored before any may
SCORE_SMOOTHING = 0.005  # a method must have been better for long
SPREAD_SMOOTHING = 0.05
FIRST_SPREAD = 2.0  # of a method that has not been tried
MIN_SPREAD = 1.05  # no method is taken for as sure as Poisson's distribution
MIN_SCALED_MEAN = 0.25  # a miss is measured against at least so many calls
MAX_SCALED_ERROR = 400  # of one slot, over its mean and squared: more would drown all others
RECENT_SMOOTHING = 0.3  # of the recent pace
RATIO_SMOOTHING = 0.2  # of the recent pace against the season's
MIN_RATIO = 0.25
MAX_RATIO = 4.0
HOT_DEVIATIONS = 4.0  # a slot so many deviations over its forecast makes the function hot
HOT_SLOTS = 3  # slots without it that end that
RECENT_SLOTS = 5.0  # that the recent pace looks back on
MAX_SEASONS = 14  # of each slot that are remembered
MIN_WEEKS = 4  # of a slot of the week before it says more than that of the day


class Method(StrEnum):
    """How a mean is forecast; the strings are those of stored forecasts and of `petrelwood forecast`."""

    SEASONAL = "seasonal"  # the same slot of earlier seasons
    RECENT = "recent"  # the recent pace, whatever the time
    BOTH = "both"  # the season, scaled by the recent pace


# Each slot asks for these for each function, and Python 3.11 is slow to look a member up on its enum.
SEASONAL = Method.SEASONAL
RECENT = Method.RECENT
BOTH = Method.BOTH
METHODS = (SEASONAL, RECENT, BOTH)


class Prediction(NamedTuple):
    """A forecast of the calls in one slot."""

    mean: float | None  # None: nothing is known
    spread: float  # variance over mean
    slots: float  # that it rests on


class SeasonalMean:
    """The mean of the same slot in earlier seasons: of the week where there are enough, else of the day."""

    __slots__ = ("slots",)

    def __init__(self) -> None:
        # the counts of earlier seasons by ("day" or "week", slot)
        self.slots: dict[tuple[str, int | None], deque[float]] = {}

    def counts(self, keys: SlotKeys) -> Sequence[float]:
        """Return the counts of a slot in earlier seasons, oldest first."""
        week = self.slots.get(("week", keys.week))
        if week and len(week) >= MIN_WEEKS:
            return week
        return self.slots.get(("day", keys.day)) or ()

    def learn(self, keys: SlotKeys, count: float) -> None:
        """Take in the count of a slot that is over."""
        if keys.week is not None:
            self.slots.setdefault(("week", keys.week), deque(maxlen=MAX_SEASONS)).append(count)
        self.slots.setdefault(("day", keys.day), deque(maxlen=MAX_SEASONS)).append(count)


class SmoothedMean:
    """An exponentially smoothed mean; `level` is None until the first value."""

    __slots__ = ("level", "smoothing")

    def __init__(self, smoothing: float) -> None:
        self.smoothing = smoothing
        self.level: float | None = None

    def learn(self, value: float) -> None:
        """Take in a value."""
        if self.level is None:
            self.level = value
        else:
            self.level += self.smoothing * (value - self.level)


class Series:
    """What is known of the calls of one function, or of one kind of functions."""

    __slots__ = (
        "hot",
        "last_count",
        "ratio",
        "recent",
        "scores",
        "seasonal",
        "selected",
        "slots_seen",
        "spreads",
        "trials",
    )

    def __init__(self) -> None:
        self.seasonal = SeasonalMean()
        self.recent = SmoothedMean(RECENT_SMOOTHING)
        self.ratio = SmoothedMean(RATIO_SMOOTHING)  # of counts to the seasonal mean
        self.scores: dict[Method, float | None] = dict.fromkeys(METHODS)
        self.spreads: dict[Method, float] = dict.fromkeys(METHODS, FIRST_SPREAD)
        self.trials = 0  # slots for which the seasonal method was scored
        self.selected = SEASONAL
        self.hot = 0  # slots for which it still counts as hot
        self.slots_seen = 0
        self.last_count: float | None = None

    def means(self, keys: SlotKeys) -> dict[Method, float | None]:
        """Return each method's mean for a slot, None where it has none."""
        return self._means(_mean(self.seasonal.counts(keys)))

    def _means(self, season: float | None) -> dict[Method, float | None]:
        pace = self.recent.level
        both = None
        if season is not None and pace is not None:
            ratio = 1.0 if self.ratio.level is None else self.ratio.level
            both = season * min(MAX_RATIO, max(MIN_RATIO, ratio))
        return {SEASONAL: season, RECENT: pace, BOTH: both}

    def learn(self, keys: SlotKeys, count: float) -> None:
        """Score what was forecast for a slot that is over, then learn its count."""
        means = self.means(keys)
        season = means[SEASONAL]
        for method, mean in means.items():
            if mean is not None:
                self._score(method, mean, count)
        self.trials += season is not None
        self._select_method()
        self._judge_heat(means, count)
        if season is not None:
            self.ratio.learn((count + 1) / (season + 1))
        self.seasonal.learn(keys, count)
        self.recent.learn(count)
        self.slots_seen += 1
        self.last_count = count

    def predict(self, keys: SlotKeys) -> Prediction:
        """Return the forecast for a slot."""
        counts = self.seasonal.counts(keys)
        mean, spread = self._believed(self._means(_mean(counts)))
        is_seasonal = counts and self.selected is not RECENT
        slots = len(counts) if is_seasonal else min(RECENT_SLOTS, self.slots_seen)
        if self.hot and self.last_count is not None and self.last_count > (mean or 0.0):
            return Prediction(float(self.last_count), spread, 1.0)  # it says more than the past does
        return Prediction(mean, spread, slots)

    def dump(self) -> list[Any]:
        """Return what it has learnt as plain lists, from which `restored` makes it again."""
        return [
            [[season, slot, list(counts)] for (season, slot), counts in self.seasonal.slots.items()],
            self.recent.level,
            self.ratio.level,
            [self.scores[method] for method in METHODS],
            [self.spreads[method] for method in METHODS],
            self.trials,
            self.selected.value,
            self.hot,
            self.slots_seen,
            self.last_count,
        ]

    @classmethod
    def restored(cls, state: Iterable[Any]) -> "Series":
        """Return the series that `dump` gave a state of.

        Raises:
            ValueError, TypeError, KeyError: the state makes no sense.
        """
        series = cls()
        slots, recent, ratio, scores, spreads, trials, selected, hot, slots_seen, last_count = state
        for season, slot, counts in slots:
            series.seasonal.slots[season, slot] = deque(map(float, counts), maxlen=MAX_SEASONS)
        series.recent.level = None if recent is None else float(recent)
        series.ratio.level = None if ratio is None else float(ratio)
        series.scores = {
            method: None if score is None else float(score)
            for method, score in zip(METHODS, scores, strict=True)
        }
        series.spreads = {
            method: max(MIN_SPREAD, float(spread)) for method, spread in zip(METHODS, spreads, strict=True)
        }
        if not all(map(math.isfinite, (trials, hot, slots_seen))):
            raise ValueError("a series makes no sense")
        series.selected = Method(selected)
        series.trials = trials
        series.hot = hot
        series.slots_seen = slots_seen
        series.last_count = last_count
        return series

    def _score(self, method: Method, mean: float, count: float) -> None:
        found = ranked_probability_score(mean, self.spreads[method], count)
        before = self.scores[method]
        self.scores[method] = found if before is None else before + SCORE_SMOOTHING * (found - before)
        miss = (count - mean) ** 2 / max(mean, MIN_SCALED_MEAN)
        spread = self.spreads[method]
        self.spreads[method] = max(
            MIN_SPREAD, spread + SPREAD_SMOOTHING * (min(miss, MAX_SCALED_ERROR) - spread)
        )

    def _select_method(self) -> None:
        if self.scores[SEASONAL] is None or self.trials < MIN_TRIALS:
            return
        scores = {method: score for method, score in self.scores.items() if score is not None}
        best = min(scores, key=scores.__getitem__)
        if best is not self.selected and scores[best] < SWITCH_SCORE_RATIO * scores[self.selected]:
            self.selected = best
        elif self.selected is not SEASONAL and scores[SEASONAL] <= scores[self.selected]:
            self.selected = SEASONAL

    def _judge_heat(self, means: dict[Method, float | None], count: float) -> None:
        mean, spread = self._believed(means)
        if mean is not None and count > mean + HOT_DEVIATIONS * math.sqrt(max(1.0, mean * spread)):
            self.hot = HOT_SLOTS
        elif self.hot:
            self.hot -= 1

    def _believed(self, means: dict[Method, float | None]) -> tuple[float | None, float]:
        """Return mean and spread of the selected method, or of another that has a mean."""
        for method in (self.selected, SEASONAL, RECENT):
            mean = means[method]
            if mean is not None:
                return mean, self.spreads[method]
        return None, FIRST_SPREAD


def _mean(counts: Sequence[float]) -> float | None:
    return sum(counts) / len(counts) if counts else None
