"""Figures of a scale run: samples by size, the line fitted through them, and results of events."""

from statistics import median
from typing import NamedTuple

import numpy

SAME = 1e-9  # relative difference up to which two values are equal


class Sample(NamedTuple):
    """One measurement: `y` seen at size `x` in a run."""

    x: float
    y: float
    run: int


class Line(NamedTuple):
    """`y = slope * x + constant`, by least squares."""

    slope: float
    constant: float
    spread: float  # of the slope over the runs: (largest - smallest) / median
    low: float  # the smallest measured x
    high: float  # the largest measured x
    error: float  # the largest distance of a median sample from the line, relative to the largest sample
    agreed: bool  # whether the slopes of all runs have the same sign; otherwise the slope has no meaning

    def at(self, x):
        """Return the value of the line at `x`."""
        return self.slope * x + self.constant

    def extrapolation(self, x):
        """Return the ratio of `x` to the largest measured size, and 1 within the measured range."""
        return max(1.0, x / self.high) if self.high else 1.0


class Target(NamedTuple):
    """A size for which a figure is extrapolated."""

    name: str
    x: float


class Figure(NamedTuple):
    """One quantity measured at several values of one size."""

    name: str
    unit: str
    against: str  # what x counts
    samples: tuple  # of Sample
    hollow: str  # description of the parts that are simulated
    targets: tuple = ()  # of Target
    command: str = "python -m benchmarks.scale"

    def line(self):
        """Return the fitted `Line`; the slope and constant are medians over the runs."""
        runs = sorted({s.run for s in self.samples})
        fits = [_fit([s for s in self.samples if s.run == run]) for run in runs]
        slopes = [slope for slope, _ in fits]
        slope, constant = median(slopes), median(c for _, c in fits)
        sizes = sorted({s.x for s in self.samples})
        spread = (max(slopes) - min(slopes)) / abs(slope) if slope else 0.0
        off = [abs(median(s.y for s in self.samples if s.x == x) - slope * x - constant) for x in sizes]
        largest = max(abs(s.y) for s in self.samples) or 1.0
        agreed = all(one >= 0 for one in slopes) or all(one <= 0 for one in slopes)
        return Line(slope, constant, spread, sizes[0], sizes[-1], max(off) / largest, agreed)


class Event(NamedTuple):
    """The effects of one event on a hollow fleet in one run."""

    name: str
    run: int
    values: dict  # quantity -> number
    hollow: str


def _fit(samples):
    """Return (slope, constant) of one run's samples; the slope is 0 if all values are the same."""
    x = numpy.array([s.x for s in samples], float)
    y = numpy.array([s.y for s in samples], float)
    if numpy.ptp(x) == 0 or numpy.ptp(y) <= SAME * numpy.abs(y).max():
        return 0.0, float(y.mean())
    slope, constant = numpy.polyfit(x, y, 1)
    return float(slope), float(constant)


def number(value):
    """Return a number as text with three significant digits."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


class Comparison(NamedTuple):
    """A figure of a hollow dispatcher and the same figure of a real one, in one run."""

    name: str
    unit: str
    hollow: float
    real: float
    tolerance: float | None  # largest allowed difference relative to the real figure; None if not required
    run: int

    @property
    def difference(self):
        """Difference of the hollow figure from the real one, relative to the real one."""
        return self.hollow / self.real - 1 if self.real else 0.0

    @property
    def within(self):
        """Whether the difference is within the tolerance, or there is none."""
        return self.tolerance is None or abs(self.difference) <= self.tolerance


def merged(parts):
    """Merge the figures of several runs by name."""
    found = {}
    for part in parts:
        known = found.get(part.name)
        found[part.name] = part if known is None else known._replace(samples=known.samples + part.samples)
    return list(found.values())
