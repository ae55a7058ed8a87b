"""How popular functions are, by this dispatcher's own recent calls."""

from collections import deque

from petrelwood.decide.scheduling.fleet import Fleet
from petrelwood.decide.scheduling.records import Function

RECENT_CALLS = 64  # over which a function's part of all calls is counted
# Copies of a function for each worker's worth of calls of it, so that no worker lives by one function.
COPIES_A_WORKER = 4
# Calls that are doubted of the one that a function has had at least, and that a new dispatcher lacks.
DOUBTED_CALL = 0.5
MISSING_CALLS = RECENT_CALLS // 4


class Popularity:
    """Counts the last calls by function.

    Attributes:
        recent: the functions of the last calls, oldest first.
    """

    def __init__(self, fleet: Fleet, dispatchers: int) -> None:
        self.fleet = fleet
        self.dispatchers = dispatchers
        self.recent: deque[Function] = deque()

    def record_call(self, function: Function) -> None:
        """Count a call."""
        function.recent_calls += 1
        self.recent.append(function)
        if len(self.recent) > RECENT_CALLS:
            self.recent.popleft().recent_calls -= 1

    def wanted_copies(self, function: Function) -> int:
        """Return on how many workers the other dispatchers need the function, if they have the same calls.

        May be below 0 for a function without recent calls.
        """
        others = COPIES_A_WORKER * len(self.fleet.usable) * (1 - 1 / self.dispatchers)
        return int(others * (function.recent_calls - DOUBTED_CALL) / (len(self.recent) + MISSING_CALLS))
