"""Admission to the scheduler: customers' quotas, priority, and load shedding.

This is the third admission check of a request: `decide.overload.admission` admits connections, and
`decide.overload.intake` admits requests.
"""

from dataclasses import dataclass

from petrelwood.decide.scheduling.estimates import Estimates
from petrelwood.decide.scheduling.outlier_detection import OutlierDetection
from petrelwood.decide.scheduling.parameters import Parameters
from petrelwood.decide.scheduling.records import LONG_TIME, Activation, Function
from petrelwood.ports import Arrival, Terms

# A customer's quota at one dispatcher is an equal part of its quota multiplied by this factor, because the
# dispatchers get unequal parts of its traffic.
QUOTA_FACTOR = 1.3
SECOND = 1e9  # ns


@dataclass(slots=True)
class TokenBucket:
    """A customer's quota at this dispatcher, as a token bucket.

    Attributes:
        tokens: activations that the customer may still have admitted within its quota, as of `updated_at`.
        updated_at: when `tokens` was computed, ns.
        rate: tokens that are added per ns.
    """

    tokens: float
    updated_at: int
    rate: float

    def take(self, now: int, span: int) -> bool:
        """Take a token and return True, or return False if there is none.

        The bucket holds at most one token and those of `span` ns.
        """
        tokens = min(self.tokens + (now - self.updated_at) * self.rate, 1 + self.rate * span)
        has_token = tokens >= 1
        self.tokens = tokens - has_token
        self.updated_at = now
        return has_token


def make_buckets(now: int, terms: Terms) -> dict[str, TokenBucket]:
    """Return a bucket for each customer; none if activations over a quota have full utility."""
    if terms.over_quota_utility >= 1:
        return {}
    factor = QUOTA_FACTOR / SECOND / terms.dispatchers
    return {customer: TokenBucket(1, now, factor * quota) for customer, quota in terms.quotas.items()}


class Admission:
    """Creates activations from arrivals, and decides which are shed and which have low priority."""

    def __init__(
        self, now: int, parameters: Parameters, estimates: Estimates, outliers: OutlierDetection
    ) -> None:
        self.types = parameters.terms.types
        self.target_latency = parameters.target_latency
        self.draw = parameters.draw
        self.estimates = estimates
        self.outliers = outliers
        self.buckets = make_buckets(now, parameters.terms)

    def admit(self, arrival: Arrival, function: Function, now: int) -> Activation:
        """Return a new activation for an arrival."""
        type_ = self.types[arrival.type_name]
        target_latency = type_.target_latency + int(type_.stretch * arrival.work_hint)
        bucket = self.buckets.get(arrival.customer)
        return Activation(
            id=arrival.activation_id,
            function=function,
            type=type_,
            due=arrival.due,
            arrived_at=now,
            work=arrival.work_hint,
            slots=arrival.slots,
            target_latency=min(target_latency, type_.timeout or LONG_TIME),
            is_over_quota=bucket is not None and not bucket.take(now, self.target_latency),
        )

    def should_shed(self, activation: Activation) -> bool:
        """Return whether an activation that has just arrived is rejected at once, at random.

        Under overload a share of the activations that find no free slot is rejected. They would be queued
        here and then at a busy worker, be answered late, and delay the others. A limit of the attempts in
        flight does not help where there are many dispatchers, because each of them sends at least one. The
        cost is that some activations are rejected that would have been answered in time after a short
        overload.
        """
        shed_probability = self.outliers.shed_probability
        return activation.is_queued and shed_probability > 0 and self.draw() < shed_probability

    def is_low_priority(self, activation: Activation, now: int) -> bool:
        """Return whether the activation is late or over its customer's quota, and thus sent after others."""
        if activation.is_over_quota:
            return True
        waited = now - activation.arrived_at
        return waited + self.estimates.expected_time(activation) > activation.target_latency
