"""Retry-After for rejected requests, and a budget for the retries of clients that do not wait for it.

A rejected request is remembered by its id (a hint), with the time until which its client should wait. A retry
at that time or later is treated as a first attempt; a retry before it is early. Early retries are limited by
a budget that earns a fraction of a retry for each first attempt of the same customer, so that a customer that
retries at once uses up only its own budget. The Retry-After of an id doubles each time that its retry is
early. It is randomised, so that clients that were rejected together do not retry together.
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from petrelwood.decide.overload.backoff import Budget

RETRY_RATIO = 0.1  # early retries earned by each first attempt of a customer
MAX_SAVED_RETRIES = 10.0  # early retries that a customer can save up
MAX_DOUBLINGS = 5  # of the Retry-After of an id
CLOCK_TOLERANCE = 20_000_000  # ns by which a retry may come too soon without counting as early
EARLY_SMOOTHING = 1 / 32  # weight of one retry in the running share of a customer's early retries
MIN_JITTER = 0.5  # a Retry-After is its mean times a random factor between this and this plus one
OVER_BUDGET = "over budget"


class RetryTiming(StrEnum):
    """Whether a request is a retry, and whether it has waited for its Retry-After."""

    FIRST = "first"
    WAITED = "listened"  # a retry that has waited for its Retry-After
    EARLY = "early"  # a retry that has not


# Each request reads these, and looking up an enum member is slow in Python 3.11.
FIRST = RetryTiming.FIRST
WAITED = RetryTiming.WAITED
EARLY = RetryTiming.EARLY


class RetryHint(NamedTuple):
    """The Retry-After that was returned for a rejected id. Times in ns."""

    until: int  # the time before which the id should not be sent again
    doublings: int
    first_rejected_at: int


class CustomerRetries:
    """The early retries of one customer."""

    __slots__ = ("budget", "early_share")

    def __init__(self) -> None:
        self.budget = Budget(RETRY_RATIO, MAX_SAVED_RETRIES)
        self.early_share = 0.0  # of all retries


class RetryPolicy:
    """The Retry-Afters of rejected ids and the early retries of customers, at most `most` of each.

    Times in ns.
    """

    __slots__ = ("counts", "customers", "hints", "most")

    def __init__(self, most: int) -> None:
        self.most = most
        self.hints: OrderedDict[tuple[str, str], RetryHint] = OrderedDict()
        self.customers: OrderedDict[str, CustomerRetries] = OrderedDict()
        self.counts = {name: 0 for name in (*(timing.value for timing in RetryTiming), OVER_BUDGET)}

    def classify(self, now: int, customer: str, request_id: str) -> RetryTiming:
        """Count a request; return whether it is a retry, and whether it is early."""
        retries = self._customer(customer)
        hint = self.hints.get((customer, request_id))
        if hint is None:
            timing = FIRST
            retries.budget.earn()
        elif now + CLOCK_TOLERANCE >= hint.until:
            timing = WAITED
            retries.early_share -= EARLY_SMOOTHING * retries.early_share
        else:
            timing = EARLY
            retries.early_share += EARLY_SMOOTHING * (1 - retries.early_share)
        self.counts[timing] += 1
        return timing

    def may_retry_early(self, customer: str) -> bool:
        """Charge an early retry to the customer's budget; return False if the budget does not allow it."""
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
        """Return the Retry-After for a rejected id, and remember it.

        Args:
            now: the current time.
            customer: the customer of the request.
            request_id: the id of the request.
            wait: the mean wait for a client that observes its Retry-After, ns.
            chance: returns a random number in [0, 1).
            most: the longest Retry-After, ns.
            is_early: whether the request is an early retry, for which the wait doubles.
        """
        before = self.hints.pop((customer, request_id), None)
        doublings = 0
        first_rejected_at = now
        if before is not None:
            doublings = min(MAX_DOUBLINGS, before.doublings + is_early)
            first_rejected_at = before.first_rejected_at
        width = wait * (1 << doublings)
        found = min(most, int(width * (MIN_JITTER + chance())))
        self.hints[customer, request_id] = RetryHint(now + found, doublings, first_rejected_at)
        if len(self.hints) > self.most:
            self.hints.popitem(last=False)
        return found

    def rejected_for(self, now: int, customer: str, request_id: str) -> int:
        """Return how long ago this id was first rejected, ns; 0 if never, or if it was admitted since."""
        hint = self.hints.get((customer, request_id))
        return now - hint.first_rejected_at if hint else 0

    def on_admitted(self, customer: str, request_id: str) -> None:
        """Forget the Retry-After of an id that was admitted."""
        self.hints.pop((customer, request_id), None)

    def early_share(self, customer: str) -> float:
        """Return the share of this customer's retries that are early, 0 to 1."""
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
