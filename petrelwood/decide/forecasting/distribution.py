"""The distribution of a forecast count, and the score of a forecast.

A forecast is a mean and a spread (variance divided by mean). It is interpreted as a negative binomial
distribution, because the number of calls varies more than in a Poisson distribution.
"""

import math
from typing import NamedTuple

# Lower bound for the spread less 1; a spread of 1 would be a Poisson distribution, which has no (r, p).
MIN_EXCESS_SPREAD = 1e-6
# Counts over which a score is summed; above, the closed form for a normal distribution is accurate enough.
MAX_SUMMED_COUNTS = 400
TAIL_DEVIATIONS = 4  # standard deviations above the mean up to which a score is summed
MIN_VARIANCE = 1e-9  # of the normal distribution, whose score is undefined for a variance of 0


class Parameters(NamedTuple):
    """A negative binomial distribution: failures before the `r`th success, with success probability `p`."""

    r: float
    p: float


def negative_binomial(mean: float, spread: float) -> Parameters:
    """Return the negative binomial distribution with this mean and variance mean * spread, spread > 1."""
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
    """Return the ranked probability score of a forecast, given the actual `count`.

    Lower is better; 0 is the score of a forecast that was certain and correct.
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
