"""The distribution of a count that is forecast, and the score of a forecast.

A forecast is a mean and a spread (variance over mean), read as a negative binomial: calls vary more than a
Poisson distribution would have it.
"""

import math
from typing import NamedTuple

MIN_EXCESS_SPREAD = (
    1e-6  # of the spread over 1: at 1 the distribution would be Poisson's, which has no (r, p)
)
MAX_SUMMED_COUNTS = (
    400  # counts that a score is summed over; beyond, the closed form of a normal is near enough
)
TAIL_DEVIATIONS = 4  # how far over the mean a score is summed
MIN_VARIANCE = 1e-9  # of the normal, which has no score at 0


class Parameters(NamedTuple):
    """A negative binomial distribution: the failures before the `r`th success of chance `p` each."""

    r: float
    p: float


def negative_binomial(mean: float, spread: float) -> Parameters:
    """Return the negative binomial with that mean and a variance of mean * spread, spread over 1."""
    spread = max(spread, 1.0 + MIN_EXCESS_SPREAD)
    p = 1 / spread
    return Parameters(mean * p / (1 - p), p)


def cumulative_probabilities(mean: float, spread: float, most: int) -> list[float]:
    """Return P(count <= k) for k in 0..most."""
    if mean <= 0:
        return [1.0] * (most + 1)
    r, p = negative_binomial(mean, spread)
    log_p = math.log(p)
    log_q = math.log1p(-p)
    base = math.lgamma(r)
    total = 0.0
    found = []
    for k in range(most + 1):
        total += math.exp(math.lgamma(k + r) - base - math.lgamma(k + 1) + r * log_p + k * log_q)
        found.append(min(1.0, total))
    return found


def at_least_one(mean: float, spread: float) -> float:
    """Return P(count > 0)."""
    if mean <= 0:
        return 0.0
    r, p = negative_binomial(mean, spread)
    none: float = p**r
    return 1 - none


def ranked_probability_score(mean: float, spread: float, count: float) -> float:
    """Return the ranked probability score of a forecast after `count` came.

    Less is better; 0 is a forecast that was certain and right.
    """
    variance = mean * spread
    most = max(math.ceil(count), int(mean + TAIL_DEVIATIONS * math.sqrt(max(variance, 1)))) + 1
    if most > MAX_SUMMED_COUNTS:
        return _normal_score(mean, math.sqrt(max(variance, MIN_VARIANCE)), count)
    probabilities = cumulative_probabilities(mean, spread, most)
    return sum((below - (k >= count)) ** 2 for k, below in enumerate(probabilities))


def _normal_score(mean: float, deviation: float, count: float) -> float:
    """Return the continuous ranked probability score of a normal distribution."""
    z = (count - mean) / deviation
    density = math.exp(-z * z / 2) / math.sqrt(2 * math.pi)
    below = 0.5 * (1 + math.erf(z / math.sqrt(2)))
    return deviation * (z * (2 * below - 1) + 2 * density - 1 / math.sqrt(math.pi))
