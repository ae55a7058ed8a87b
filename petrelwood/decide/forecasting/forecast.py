"""How often each function will be called: from the time of day, known dates, recent pace, and its kind.

Calls are counted in slots of a fixed width. Each function has a `Series` of its own; a function without a
history borrows from the others of its kind.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from petrelwood.decide.forecasting.series import FIRST_SPREAD, MIN_SPREAD, Prediction, Series
from petrelwood.decide.forecasting.slot_calendar import Calendar, SlotKeys

PRIOR_CALLS = 0.5  # that what is borrowed counts for: half a call, as where nothing is known
MIN_KIND_MEAN = 1e-6  # calls a slot that a kind is taken to have at least
MAX_ENDED_SLOTS = 3  # that may wait to be learnt
MAX_EMPTY_SLOTS = 8  # of a gap that are learnt as slots without any call
MAX_GAP_DAYS = 2  # a longer gap is not learnt of
MAX_FUNCTIONS = 20_000
IDLE_PACE = 1e-3  # calls a slot under which a function is forgotten, where there are too many
STALE_SLOTS = 4  # unseen, after which nothing should be built on a forecast
NOTHING_KNOWN = Prediction(None, FIRST_SPREAD, 0)


class CallForecast(NamedTuple):
    """The calls that are expected of one function."""

    mean: float
    spread: float  # variance over mean


@dataclass(slots=True)
class EndedSlot:
    """A slot that is over and not learnt yet."""

    keys: SlotKeys
    counts: dict[str, int]
    functions: list[str]  # that are still to be learnt


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
        self.counts: dict[str, int] = {}  # of the slot that is open
        self.slot: int | None = None  # the number of the slot that is open
        self.discarded_slots = 0

    def record_call(self, at: int, function: str) -> int:
        """Count a call; returns how many slots have ended since the last call."""
        ended = self.advance(at)
        self.counts[function] = self.counts.get(function, 0) + 1
        return ended

    def advance(self, at: int) -> int:
        """End the slots that are over at a time; returns their number."""
        slot = at // self.calendar.slot
        if self.slot is None:
            self.slot = slot
            return 0
        if slot == self.slot:
            return 0
        gap = slot - self.slot
        if gap < 0 or gap > MAX_GAP_DAYS * self.calendar.day // self.calendar.slot:
            # the clock stepped, or nothing ran: nothing is learnt of it
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
        if len(self.ended_slots) >= MAX_ENDED_SLOTS:  # so far behind that the oldest is given up
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
        """Learn so many functions of the slots that have ended; returns whether some are left."""
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
        paces = {function: series.recent.level for function, series in self.series.items()}
        for function, pace in paces.items():
            if not pace or pace < IDLE_PACE:
                del self.series[function]

    def predict(self, at: int, function: str, slots: int = 1, times: float = 1) -> CallForecast:
        """Return the calls of a function in the next `slots` slots from a time on.

        `times` is how many times the calls that this dispatcher sees there are in all. Of what nothing is
        known the mean is 0.

        What was seen is weighed against what its kind does, as a Poisson count against a gamma prior: a call
        or two of one's own, times hundreds of dispatchers, must not pass for a busy function. The spread says
        how little was seen.
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
        return CallForecast(total * times, max(worst_spread, 1 + total * times / fewest_calls))

    def dump(self) -> Iterator[list[Any]]:
        """Yield the state in parts: the head first, then a function at a time."""
        yield [self.calendar.slot, self.calendar.day, self.calendar.week, self.slot]
        for table, prefix in ((self.kinds, "kind"), (self.series, "function")):
            for name in list(table):
                if name in table:  # it may be forgotten between two parts
                    yield [prefix, name, table[name].dump()]

    def restore(self, parts: Iterable[Any]) -> int:
        """Take in a state that `dump` gave; returns how many functions it has.

        That is 0 where its slots are of another width, or where it makes no sense: then all is learnt anew.
        The slots that passed meanwhile are learnt as a gap when the next call comes.
        """
        try:
            head, *rest = parts
            if head[:3] != [self.calendar.slot, self.calendar.day, self.calendar.week]:
                return 0
            found: dict[str, dict[str, Series]] = {"kind": {}, "function": {}}
            for prefix, name, state in rest:
                found[prefix][name] = Series.restored(state)
        except (ValueError, TypeError, KeyError, IndexError):
            return 0
        self.kinds = found["kind"]
        self.series = dict(list(found["function"].items())[: self.max_functions])
        return len(self.series)

    def is_stale(self, at: int, slots: int = STALE_SLOTS) -> bool:
        """Return whether so much time has passed unseen that nothing should be built on the forecast."""
        return self.slot is None or abs(at // self.calendar.slot - self.slot) > slots
