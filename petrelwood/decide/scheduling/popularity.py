"""The popularity of functions, by their shares of this dispatcher's recent calls."""

from collections import deque

from petrelwood.decide.scheduling.fleet import Fleet
from petrelwood.decide.scheduling.records import Function

RECENT_CALLS = 64  # number of last calls among which those of each function are counted
# Copies that a function gets if its share of all calls equals that of one worker. With several copies no
# worker runs just one function.
COPIES_PER_WORKER = 4
# A few calls may be chance, mainly while a dispatcher is new. Therefore `CALL_DISCOUNT` is subtracted from
# the calls of a function, and `PRIOR_CALLS` is added to the calls of all functions.
CALL_DISCOUNT = 0.5
PRIOR_CALLS = RECENT_CALLS // 4


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
        """Return how many copies the other dispatchers want if they get the same mix of calls.

        The result may be negative for a function without recent calls.
        """
        others = COPIES_PER_WORKER * len(self.fleet.usable) * (1 - 1 / self.dispatchers)
        return int(others * (function.recent_calls - CALL_DISCOUNT) / (len(self.recent) + PRIOR_CALLS))
