"""Retry-After for rejected requests, and a budget for the retries of clients that do not wait for it.

A rejected request is remembered by its id (a hint), with the time until which its client should wait. A retry
at that time or later is treated as a first attempt; one before it is early. Early retries are limited by a
budget: a part of a retry for each first attempt of the same customer, so that a customer who retries at once
uses up only his own. The Retry-After doubles each time an id is early, and is drawn, so that clients that
were rejected together do not retry together.
"""

from collections import OrderedDict
from collections.abc import Callable
from enum import StrEnum
from typing import NamedTuple

from petrelwood.decide.overload.backoff import Budget

RETRY_RATIO = 0.1  # early retries for each first attempt of a customer
MOST_SAVED_RETRIES = 10.0  # early retries of a customer that add up at most
MOST_DOUBLINGS = 5  # of a Retry-After
CLOCK_SLACK = 20_000_000  # ns that a retry may come before the time without being early
EARLY_SMOOTHING = 1 / 32  # how fast a customer's share of early retries follows
LEAST_JITTER = 0.5  # a Retry-After is drawn between this and this plus one times its mean
OVER_BUDGET = "over budget"


class RetryTiming(StrEnum):
    """Whether a request is a retry, and whether it has waited for its Retry-After."""

    FIRST = "first"
    LISTENED = "listened"  # a retry that has waited for its Retry-After
    EARLY = "early"  # a retry that has not


# Each request asks for these, and Python 3.11 is slow to look a member up on its enum.
FIRST = RetryTiming.FIRST
LISTENED = RetryTiming.LISTENED
EARLY = RetryTiming.EARLY


class RetryHint(NamedTuple):
    """The Retry-After that a rejected id was given. Times in ns."""

    until: int  # the time before which it should not be sent again
    doublings: int
    first_rejected_at: int


class CustomerRetries:
    """The early retries of one customer."""

    __slots__ = ("budget", "early_share")

    def __init__(self) -> None:
        self.budget = Budget(RETRY_RATIO, MOST_SAVED_RETRIES)
        self.early_share = 0.0  # of all retries


class RetryPolicy:
    """What was told to rejected ids, and the early retries of customers; `most` of each. Times in ns."""

    __slots__ = ("counts", "customers", "hints", "most")

    def __init__(self, most: int) -> None:
        self.most = most
        self.hints: OrderedDict[tuple[str, str], RetryHint] = OrderedDict()
        self.customers: OrderedDict[str, CustomerRetries] = OrderedDict()
        self.counts = {name: 0 for name in (*(timing.value for timing in RetryTiming), OVER_BUDGET)}

    def classify(self, now: int, customer: str, request_id: str) -> RetryTiming:
        """Count a request, and return whether it is a retry and an early one."""
        retries = self._customer(customer)
        hint = self.hints.get((customer, request_id))
        if hint is None:
            timing = FIRST
            retries.budget.earn()
        elif now + CLOCK_SLACK >= hint.until:
            timing = LISTENED
            retries.early_share -= EARLY_SMOOTHING * retries.early_share
        else:
            timing = EARLY
            retries.early_share += EARLY_SMOOTHING * (1 - retries.early_share)
        self.counts[timing] += 1
        return timing

    def may_retry_early(self, customer: str) -> bool:
        """Return whether the customer's budget allows an early retry, and charge it."""
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
            now: the time.
            customer: whose request it is.
            request_id: its id.
            wait: the mean wait for a client that waits as it is told, ns.
            chance: returns a number in [0, 1).
            most: the longest Retry-After, ns.
            is_early: whether it is an early retry, for which the wait doubles.
        """
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
        """Return how long ago this id was first rejected, ns; 0: never, or it was admitted since."""
        hint = self.hints.get((customer, request_id))
        return now - hint.first_rejected_at if hint else 0

    def on_admitted(self, customer: str, request_id: str) -> None:
        """Forget the Retry-After of an id that is admitted."""
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
