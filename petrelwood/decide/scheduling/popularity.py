"""How popular functions are, by this dispatcher's own recent calls."""

from collections import deque

from petrelwood.decide.scheduling.fleet import Fleet
from petrelwood.decide.scheduling.records import Function

RECENT_CALLS = 64  # over which a function's part of all calls is counted
# A function with one worker's part of all calls gets so many copies, so that none runs just one function.
COPIES_A_WORKER = 4
# A few calls may be chance: a function counts as called so much less often, and all functions together as
# called so much more often, which matters while a dispatcher is new.
DOUBTED_CALLS = 0.5
ASSUMED_CALLS = RECENT_CALLS // 4


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
        """Return how many copies the other dispatchers want, if they get the same mix of calls.

        May be below 0 for a function without recent calls.
        """
        others = COPIES_A_WORKER * len(self.fleet.usable) * (1 - 1 / self.dispatchers)
        return int(others * (function.recent_calls - DOUBTED_CALLS) / (len(self.recent) + ASSUMED_CALLS))
