"""The calendar of forecasts: the slot of the day and of the week that contains a time, and known dates."""

from collections.abc import Iterable
from typing import NamedTuple


class SlotKeys(NamedTuple):
    """The numbers of a slot within its day and within its week."""

    day: int
    week: int | None  # None: weeks are not used


class CalendarEvent(NamedTuple):
    """A known period in which functions are called more or less often than usual. Wall-clock ns."""

    begin: int
    end: int
    factor: float  # by which the usual number of calls is multiplied
    prefix: str  # of the names of the functions


class Calendar:
    """Slots of `slot` ns, in days and weeks of `day` and `week` ns (0: weeks are not used).

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
        """Return the slots of day and week that contain a time."""
        week = (at % self.week) // self.slot if self.week else None
        return SlotKeys((at % self.day) // self.slot, week)

    def factor(self, at: int, function: str) -> float:
        """Return the factor by which known dates change the usual number of calls of a function at a time."""
        product = 1.0
        for begin, end, factor, prefix in self.events:
            if begin <= at < end and function.startswith(prefix):
                product *= factor
        return product
