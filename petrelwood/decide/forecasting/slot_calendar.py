"""The calendar of forecasts: which slot of the day and of the week a time lies in, and known dates."""

from collections.abc import Iterable
from typing import NamedTuple


class SlotKeys(NamedTuple):
    """The numbers of a slot in its day and in its week."""

    day: int
    week: int | None  # None: weeks do not matter


class CalendarEvent(NamedTuple):
    """A known date on which functions are called more, or less, than usual. Wall clock, ns."""

    begin: int
    end: int
    factor: float  # of the usual calls
    prefix: str  # of the functions' names


class Calendar:
    """Slots of `slot` ns, in days and weeks of `day` and `week` ns (0: weeks do not matter).

    `events` are `CalendarEvent`s, or tuples of their fields.
    """

    def __init__(
        self, slot: int, day: int, week: int, events: Iterable[tuple[int, int, float, str]] = ()
    ) -> None:
        self.slot = slot
        self.day = day
        self.week = week
        self.events = sorted(CalendarEvent(*event) for event in events)

    def keys(self, at: int) -> SlotKeys:
        """Return the slots of day and week that a time lies in."""
        week = (at % self.week) // self.slot if self.week else None
        return SlotKeys((at % self.day) // self.slot, week)

    def factor(self, at: int, function: str) -> float:
        """Return how many times its usual calls a function has at a time, by the known dates."""
        product = 1.0
        for begin, end, factor, prefix in self.events:
            if begin <= at < end and function.startswith(prefix):
                product *= factor
        return product
