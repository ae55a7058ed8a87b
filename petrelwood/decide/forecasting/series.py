"""The forecasts of one function: three methods, selected by back-testing on its own history.

The seasonal method (the mean of the same slot in earlier seasons) is used unless another method has scored
better by a tenth for long enough. The score is the ranked probability score of the whole distribution. A
function that suddenly becomes hot is forecast from its last slot.
"""

import math
from collections import deque
from collections.abc import Iterable, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from petrelwood.decide.forecasting.distribution import ranked_probability_score
from petrelwood.decide.forecasting.slot_calendar import SlotKeys

SWITCH_SCORE_RATIO = 0.9  # another method is selected if its score is below this share of the current one's
MIN_TRIALS = 144  # scored slots before the method may change
SCORE_SMOOTHING = 0.005  # small, so that a method must have been better for a long time
SPREAD_SMOOTHING = 0.05  # weight of one slot in the moving average of a spread
FIRST_SPREAD = 2.0  # spread of a method without any scored slot
MIN_SPREAD = 1.05  # no method is assumed to be as certain as a Poisson distribution, whose spread is 1
MIN_SCALED_MEAN = 0.25  # lower bound for the mean by which a squared error is divided, calls
# Upper bound for the squared error of one slot divided by its mean; a larger one would dominate all others.
MAX_SCALED_ERROR = 400
RECENT_SMOOTHING = 0.3  # weight of one slot in the recent rate
RATIO_SMOOTHING = 0.2  # weight of one slot in the ratio of counts to the seasonal mean
MIN_RATIO = 0.25  # bounds of this ratio as a factor of a forecast
MAX_RATIO = 4.0
HOT_DEVIATIONS = 4.0  # standard deviations above the forecast from which a slot makes the function hot
HOT_SLOTS = 3  # slots below that after which the function is no longer hot
RECENT_EFFECTIVE_SLOTS = 5.0  # number of slots on which the recent rate counts as based, at most
MAX_SEASONS = 14  # seasons remembered for each slot
MIN_WEEKS = 4  # weeks observed before the slot of the week is preferred to the slot of the day


class Method(StrEnum):
    """How a mean is forecast; the strings are used in stored forecasts and by `petrelwood forecast`."""

    SEASONAL = "seasonal"  # the same slot of earlier seasons
    RECENT = "recent"  # the recent rate, independent of the time
    BOTH = "both"  # the seasonal mean, scaled by the recent ratio to it


# Aliases for code that runs per function and slot, because looking up an enum member is slow in Python 3.11.
SEASONAL = Method.SEASONAL
RECENT = Method.RECENT
BOTH = Method.BOTH
METHODS = (SEASONAL, RECENT, BOTH)


class Prediction(NamedTuple):
    """A forecast of the calls in one slot."""

    mean: float | None  # None: nothing is known
    spread: float  # variance divided by mean
    slots: float  # number of slots on which it is based


class SeasonalMean:
    """The mean of the same slot of the week in earlier weeks if there are enough, else of the day."""

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
        """Record the count of an ended slot."""
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
        """Add a value."""
        if self.level is None:
            self.level = value
        else:
            self.level += self.smoothing * (value - self.level)


class Series:
    """The history and forecasts of the calls of one function, or of one kind of functions."""

    __slots__ = (
        "hot_slots_left",
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
        self.ratio = SmoothedMean(RATIO_SMOOTHING)  # ratio of counts to the seasonal mean
        self.scores: dict[Method, float | None] = dict.fromkeys(METHODS)
        self.spreads: dict[Method, float] = dict.fromkeys(METHODS, FIRST_SPREAD)
        self.trials = 0  # number of slots for which the seasonal method was scored
        self.selected = SEASONAL
        self.hot_slots_left = 0  # remaining slots for which the function counts as hot; 0: not hot
        self.slots_seen = 0
        self.last_count: float | None = None

    def means(self, keys: SlotKeys) -> dict[Method, float | None]:
        """Return the mean of each method for a slot; None if the method has none."""
        return self._means(_mean(self.seasonal.counts(keys)))

    def _means(self, season: float | None) -> dict[Method, float | None]:
        recent_rate = self.recent.level
        both = None
        if season is not None and recent_rate is not None:
            ratio = 1.0 if self.ratio.level is None else self.ratio.level
            both = season * min(MAX_RATIO, max(MIN_RATIO, ratio))
        return {SEASONAL: season, RECENT: recent_rate, BOTH: both}

    def learn(self, keys: SlotKeys, count: float) -> None:
        """Score the forecasts for an ended slot, then learn its count."""
        means = self.means(keys)
        season = means[SEASONAL]
        for method, mean in means.items():
            if mean is not None:
                self._score(method, mean, count)
        self.trials += season is not None
        self._select_method()
        self._update_hot(means, count)
        if season is not None:
            self.ratio.learn((count + 1) / (season + 1))
        self.seasonal.learn(keys, count)
        self.recent.learn(count)
        self.slots_seen += 1
        self.last_count = count

    def predict(self, keys: SlotKeys) -> Prediction:
        """Return the forecast for a slot."""
        counts = self.seasonal.counts(keys)
        mean, spread = self._selected_prediction(self._means(_mean(counts)))
        is_seasonal = counts and self.selected is not RECENT
        slots = len(counts) if is_seasonal else min(RECENT_EFFECTIVE_SLOTS, self.slots_seen)
        if self.hot_slots_left and self.last_count is not None and self.last_count > (mean or 0.0):
            return Prediction(float(self.last_count), spread, 1.0)  # the last slot predicts better
        return Prediction(mean, spread, slots)

    def dump(self) -> list[Any]:
        """Return the state as plain lists, from which `from_dump` restores it."""
        return [
            [[season, slot, list(counts)] for (season, slot), counts in self.seasonal.slots.items()],
            self.recent.level,
            self.ratio.level,
            [self.scores[method] for method in METHODS],
            [self.spreads[method] for method in METHODS],
            self.trials,
            self.selected.value,
            self.hot_slots_left,
            self.slots_seen,
            self.last_count,
        ]

    @classmethod
    def from_dump(cls, state: Iterable[Any]) -> "Series":
        """Return the series with a state that `dump` returned.

        Raises:
            ValueError, TypeError, KeyError: the state is malformed.
        """
        series = cls()
        slots, recent, ratio, scores, spreads, trials, selected, hot_slots_left, slots_seen, last_count = (
            state
        )
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
        if not all(map(math.isfinite, (trials, hot_slots_left, slots_seen))):
            raise ValueError("the stored series has a number that is not finite")
        series.selected = Method(selected)
        series.trials = trials
        series.hot_slots_left = hot_slots_left
        series.slots_seen = slots_seen
        series.last_count = last_count
        return series

    def _score(self, method: Method, mean: float, count: float) -> None:
        found = ranked_probability_score(mean, self.spreads[method], count)
        before = self.scores[method]
        self.scores[method] = found if before is None else before + SCORE_SMOOTHING * (found - before)
        scaled_error = (count - mean) ** 2 / max(mean, MIN_SCALED_MEAN)
        spread = self.spreads[method]
        self.spreads[method] = max(
            MIN_SPREAD, spread + SPREAD_SMOOTHING * (min(scaled_error, MAX_SCALED_ERROR) - spread)
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

    def _update_hot(self, means: dict[Method, float | None], count: float) -> None:
        mean, spread = self._selected_prediction(means)
        if mean is not None and count > mean + HOT_DEVIATIONS * math.sqrt(max(1.0, mean * spread)):
            self.hot_slots_left = HOT_SLOTS
        elif self.hot_slots_left:
            self.hot_slots_left -= 1

    def _selected_prediction(self, means: dict[Method, float | None]) -> tuple[float | None, float]:
        """Return mean and spread of the selected method, or else of another method that has a mean."""
        for method in (self.selected, SEASONAL, RECENT):
            mean = means[method]
            if mean is not None:
                return mean, self.spreads[method]
        return None, FIRST_SPREAD


def _mean(counts: Sequence[float]) -> float | None:
    return sum(counts) / len(counts) if counts else None
