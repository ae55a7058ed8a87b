"""Forecasts of the calls of each function, from the time of day, known dates, the recent rate, and its kind.

Calls are counted in slots of a fixed width. Each function has its own `Series`; the forecast of a function
with little history is based on the other functions of its kind.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from petrelwood.decide.forecasting.series import FIRST_SPREAD, MIN_SPREAD, Prediction, Series
from petrelwood.decide.forecasting.slot_calendar import Calendar, SlotKeys

# Weight of the kind's forecast as a number of observed calls: half a call, as for an uninformative prior.
PRIOR_CALLS = 0.5
MIN_KIND_MEAN = 1e-6  # lower bound for the mean of a kind, calls per slot
MAX_ENDED_SLOTS = 3  # ended slots that may be queued for learning
MAX_EMPTY_SLOTS = 8  # slots of a gap up to which they are learnt as slots without calls
MAX_GAP_DAYS = 2  # nothing is learnt from a longer gap
MAX_FUNCTIONS = 20_000
IDLE_CALL_RATE = 1e-3  # calls per slot below which a function is forgotten if there are too many
STALE_SLOTS = 4  # slots without an update after which a forecast must not be used
NOTHING_KNOWN = Prediction(None, FIRST_SPREAD, 0)


class CallForecast(NamedTuple):
    """The expected number of calls of one function."""

    mean: float
    spread: float  # variance divided by mean


@dataclass(slots=True)
class EndedSlot:
    """A slot that has ended and was not learnt yet."""

    keys: SlotKeys
    counts: dict[str, int]
    functions: list[str]  # functions still to be learnt


@dataclass(slots=True)
class KindTotal:
    """The calls of all functions of one kind in one slot."""

    calls: int = 0
    functions: int = 0


class Forecast:
    """The forecasts of one dispatcher, for up to `max_functions` functions.

    `kind_of(function)` returns the kind of a function. With `incremental` set, the caller learns ended slots
    a few functions at a time, by calling `learn`. Times are wall-clock ns. The open slot ends when the clock
    steps back, and after a gap.
    """

    def __init__(
        self,
        calendar: Calendar,
        kind_of: Callable[[str], str],
        max_functions: int = MAX_FUNCTIONS,
        incremental: bool = False,
    ) -> None:
        self.calendar = calendar
        self.kind_of = kind_of
        self.max_functions = max_functions
        self.incremental = incremental
        self.ended_slots: deque[EndedSlot] = deque()
        self.series: dict[str, Series] = {}
        self.kinds: dict[str, Series] = {}
        self.counts: dict[str, int] = {}  # calls by function in the open slot
        self.slot: int | None = None  # the number of the open slot
        self.discarded_slots = 0

    def record_call(self, at: int, function: str) -> int:
        """Count a call; return how many slots have ended since the last call."""
        ended = self.advance(at)
        self.counts[function] = self.counts.get(function, 0) + 1
        return ended

    def advance(self, at: int) -> int:
        """End the slots that are over at this time; return their number."""
        slot = at // self.calendar.slot
        if self.slot is None:
            self.slot = slot
            return 0
        if slot == self.slot:
            return 0
        gap = slot - self.slot
        if gap < 0 or gap > MAX_GAP_DAYS * self.calendar.day // self.calendar.slot:
            # The clock was stepped or the process did not run, so nothing is learnt from the open slot.
            self.counts = {}
            self.slot = slot
            self.discarded_slots += 1
            return 0
        self._end_slot(self.slot)
        for empty in range(self.slot + 1, self.slot + min(gap, MAX_EMPTY_SLOTS)):
            self._end_slot(empty)
        self.slot = slot
        return gap

    def _end_slot(self, slot: int) -> None:
        keys = self.calendar.keys(slot * self.calendar.slot)
        counts = self.counts
        self.counts = {}
        for function in counts:
            if function not in self.series and len(self.series) < self.max_functions:
                self.series[function] = Series()
        self._learn_kinds(keys, counts)
        if len(self.ended_slots) >= MAX_ENDED_SLOTS:  # learning lags too far behind, so the oldest is dropped
            self.ended_slots.popleft()
            self.discarded_slots += 1
        self.ended_slots.append(EndedSlot(keys, counts, list(self.series)))
        if not self.incremental:
            self.learn(len(self.series))

    def _learn_kinds(self, keys: SlotKeys, counts: dict[str, int]) -> None:
        totals: dict[str, KindTotal] = {}
        for function in self.series:
            total = totals.setdefault(self.kind_of(function), KindTotal())
            total.calls += counts.get(function, 0)
            total.functions += 1
        for kind, total in totals.items():
            self.kinds.setdefault(kind, Series()).learn(keys, total.calls / total.functions)

    def learn(self, functions: int) -> bool:
        """Learn at most `functions` functions of the ended slots; return whether some are left."""
        while self.ended_slots and functions > 0:
            ended = self.ended_slots[0]
            while ended.functions and functions > 0:
                name = ended.functions.pop()
                functions -= 1
                if name in self.series:
                    self.series[name].learn(ended.keys, ended.counts.get(name, 0))
            if not ended.functions:
                self.ended_slots.popleft()
                self._forget_idle()
        return bool(self.ended_slots)

    def _forget_idle(self) -> None:
        if len(self.series) < self.max_functions:
            return
        rates = {function: series.recent.level for function, series in self.series.items()}
        for function, rate in rates.items():
            if not rate or rate < IDLE_CALL_RATE:
                del self.series[function]

    def predict(self, at: int, function: str, slots: int = 1, scale: float = 1) -> CallForecast:
        """Return the expected calls of a function in the next `slots` slots from this time on.

        `scale` is the ratio of all calls to the calls that this dispatcher receives. The mean is 0 if nothing
        is known.

        The function's own calls are combined with the forecast of its kind, as a Poisson count with a gamma
        prior. Otherwise one or two own calls, multiplied by hundreds of dispatchers, would make a function
        seem busy. The fewer calls were observed, the larger is the spread.
        """
        series = self.series.get(function)
        kind = self.kinds.get(self.kind_of(function))
        total = 0.0
        worst_spread = MIN_SPREAD
        fewest_calls = math.inf
        for number in range(slots):
            when = at + number * self.calendar.slot
            keys = self.calendar.keys(when)
            mean, spread, slots_seen = series.predict(keys) if series else NOTHING_KNOWN
            borrowed, kind_spread, _ = kind.predict(keys) if kind is not None else NOTHING_KNOWN
            if mean is None:
                mean, spread = 0.0, kind_spread
                slots_seen = 0
            calls = PRIOR_CALLS + mean * slots_seen
            if borrowed is not None:
                mean = calls / (PRIOR_CALLS / max(borrowed, MIN_KIND_MEAN) + slots_seen)
            total += mean * self.calendar.factor(when, function)
            worst_spread = max(worst_spread, spread)
            fewest_calls = min(fewest_calls, calls)
        return CallForecast(total * scale, max(worst_spread, 1 + total * scale / fewest_calls))

    def dump(self) -> Iterator[list[Any]]:
        """Yield the state in parts: the header first, then one kind or function at a time."""
        yield [self.calendar.slot, self.calendar.day, self.calendar.week, self.slot]
        for table, prefix in ((self.kinds, "kind"), (self.series, "function")):
            for name in list(table):
                if name in table:  # it may have been forgotten since the previous part
                    yield [prefix, name, table[name].dump()]

    def restore(self, parts: Iterable[Any]) -> int:
        """Restore a state that `dump` returned; return its number of functions.

        The number is 0 if the state has a different slot width, day or week, or is malformed; nothing is
        restored then. The slots that have passed in the meantime are learnt as a gap at the next call.
        """
        try:
            head, *rest = parts
            if head[:3] != [self.calendar.slot, self.calendar.day, self.calendar.week]:
                return 0
            found: dict[str, dict[str, Series]] = {"kind": {}, "function": {}}
            for prefix, name, state in rest:
                found[prefix][name] = Series.from_dump(state)
        except (ValueError, TypeError, KeyError, IndexError):
            return 0
        self.kinds = found["kind"]
        self.series = dict(list(found["function"].items())[: self.max_functions])
        return len(self.series)

    def is_stale(self, at: int, slots: int = STALE_SLOTS) -> bool:
        """Return whether the forecast is too old to be used: not updated for over `slots` slots."""
        return self.slot is None or abs(at // self.calendar.slot - self.slot) > slots
