"""When rejected requests should retry: hints that grow for those who do not wait, and a budget for them.

What was rejected is remembered by its id, with the time until which it was told to stay away. It may come
back at that time or later: then it has listened, and is treated as a first attempt. Before that it is early.
Early ones live on a budget: a part of a retry for each first attempt of the same customer, so that a customer
who retries at once can only wear out his own. The hint doubles each time an id comes early, and is drawn over
its whole width, so that those rejected together do not come back together.
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from petrelwood.decide.overload.backoff import Budget

RETRY_RATIO = 0.1  # early retries for each first attempt of a customer
MOST_SAVED_RETRIES = 10.0
MOST_DOUBLINGS = 5  # of a hint
CLOCK_SLACK = 20_000_000  # ns that a client's clock may be ahead of the hint
EARLY_SMOOTHING = 1 / 32  # how fast a customer's share of early retries follows
LEAST_JITTER = 0.5  # a hint is drawn between this and this plus one of its width
OVER_BUDGET = "over budget"


class Arrival(StrEnum):
    """How an id comes."""

    FIRST = "first"
    LISTENED = "listened"  # a retry that has waited as it was told
    EARLY = "early"  # a retry that has not


# Each request asks for these, and Python 3.11 is slow to look a member up on its enum.
FIRST = Arrival.FIRST
LISTENED = Arrival.LISTENED
EARLY = Arrival.EARLY


class RetryHint(NamedTuple):
    """What a rejected id was told."""

    until: int  # the time before which it should not come back
    doublings: int
    first_rejected_at: int


class CustomerRetries:
    """The early retries of one customer."""

    __slots__ = ("budget", "early_share")

    def __init__(self) -> None:
        self.budget = Budget(RETRY_RATIO, MOST_SAVED_RETRIES)
        self.early_share = 0.0  # of all retries


class RetryPolicy:
    """Remembers so many ids and customers, `most` of each. Times in ns."""

    __slots__ = ("counts", "customers", "hints", "most")

    def __init__(self, most: int) -> None:
        self.most = most
        self.hints: OrderedDict[tuple[str, str], RetryHint] = OrderedDict()
        self.customers: OrderedDict[str, CustomerRetries] = OrderedDict()
        self.counts = {name: 0 for name in (*(arrival.value for arrival in Arrival), OVER_BUDGET)}

    def classify(self, now: int, customer: str, request_id: str) -> Arrival:
        """How a request comes; it is counted."""
        retries = self._customer(customer)
        hint = self.hints.get((customer, request_id))
        if hint is None:
            arrival = FIRST
            retries.budget.earn()
        elif now + CLOCK_SLACK >= hint.until:
            arrival = LISTENED
            retries.early_share -= EARLY_SMOOTHING * retries.early_share
        else:
            arrival = EARLY
            retries.early_share += EARLY_SMOOTHING * (1 - retries.early_share)
        self.counts[arrival] += 1
        return arrival

    def may_retry_early(self, customer: str) -> bool:
        """Whether an early one may go on; it is then paid for."""
        if self._customer(customer).budget.spend():
            return True
        self.counts[OVER_BUDGET] += 1
        return False

    def retry_after(
        self,
        now: int,
        customer: str,
        request_id: str,
        wait: float,
        chance: Callable[[], float],
        most: int,
        is_early: bool,
    ) -> int:
        """How long a rejected id should stay away, `wait` or so for one that listens; it is remembered."""
        before = self.hints.pop((customer, request_id), None)
        doublings = 0
        first_rejected_at = now
        if before is not None:
            doublings = min(MOST_DOUBLINGS, before.doublings + is_early)
            first_rejected_at = before.first_rejected_at
        width = wait * (1 << doublings)
        found = min(most, int(width * (LEAST_JITTER + chance())))
        self.hints[customer, request_id] = RetryHint(now + found, doublings, first_rejected_at)
        if len(self.hints) > self.most:
            self.hints.popitem(last=False)
        return found

    def rejected_for(self, now: int, customer: str, request_id: str) -> int:
        """How long ago this id was first rejected; 0: never, or it was admitted since."""
        hint = self.hints.get((customer, request_id))
        return now - hint.first_rejected_at if hint else 0

    def on_admitted(self, customer: str, request_id: str) -> None:
        """What the id was told is of no use any more."""
        self.hints.pop((customer, request_id), None)

    def early_share(self, customer: str) -> float:
        """The share of this customer's retries that come early, 0 to 1."""
        found = self.customers.get(customer)
        return found.early_share if found else 0.0

    def _customer(self, name: str) -> CustomerRetries:
        found = self.customers.get(name)
        if found is None:
            found = CustomerRetries()
            self.customers[name] = found
            if len(self.customers) > self.most:
                self.customers.popitem(last=False)
        return found
