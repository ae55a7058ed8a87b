"""Figures of a scale run: samples against a size, the line fitted through them, and rows of events."""

from statistics import median
from typing import NamedTuple

import numpy

SAME = 1e-9  # values that differ by this part of them are one


class Sample(NamedTuple):
    """One measurement: `y` seen at size `x` in a run."""

    x: float
    y: float
    run: int


class Line(NamedTuple):
    """`y = slope * x + constant`, by least squares."""

    slope: float
    constant: float
    spread: float  # of the slope over the runs: (largest - least) / median
    low: float  # the least and largest x that were measured
    high: float
    error: float  # the largest distance of a median sample from the line, as a part of the largest sample
    agreed: bool  # whether the slopes of all runs have one sign; else there is none to speak of

    def at(self, x):
        """What the line says at `x`."""
        return self.slope * x + self.constant

    def extrapolation(self, x):
        """How many times beyond the largest measured size `x` lies; 1 within the range."""
        return max(1.0, x / self.high) if self.high else 1.0


class Target(NamedTuple):
    """A size that a figure is worked out for."""

    name: str
    x: float


class Figure(NamedTuple):
    """One quantity against one size."""

    name: str
    unit: str
    against: str  # what x counts
    samples: tuple  # of Sample
    hollow: str  # what in it is not the real thing, in words
    targets: tuple = ()  # of Target
    command: str = "python -m benchmarks.scale"

    def line(self):
        """The fitted `Line`; the slope and constant are medians over the runs."""
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
    """What one event did to a hollow fleet, in one run."""

    name: str
    run: int
    values: dict  # quantity -> number
    hollow: str


def _fit(samples):
    """(slope, constant) of one run's samples; what is the same at all sizes has no slope."""
    x = numpy.array([s.x for s in samples], float)
    y = numpy.array([s.y for s in samples], float)
    if numpy.ptp(x) == 0 or numpy.ptp(y) <= SAME * numpy.abs(y).max():
        return 0.0, float(y.mean())
    slope, constant = numpy.polyfit(x, y, 1)
    return float(slope), float(constant)


def number(value):
    """A figure with three digits that count."""
    if value == 0:
        return "0"
    if abs(value) >= 1000:
        return f"{value:,.0f}"
    return f"{value:.3g}"


class Comparison(NamedTuple):
    """A figure of a hollow dispatcher beside a real one's, in one run."""

    name: str
    unit: str
    hollow: float
    real: float
    tolerance: float | None  # the part of the real figure by which they may differ; None: no claim
    run: int

    @property
    def difference(self):
        """How far the hollow figure is from the real one, as a part of that."""
        return self.hollow / self.real - 1 if self.real else 0.0

    @property
    def within(self):
        """Whether it lies within the tolerance, where there is one."""
        return self.tolerance is None or abs(self.difference) <= self.tolerance


def merged(parts):
    """Figures of several runs as one each, by name."""
    found = {}
    for part in parts:
        known = found.get(part.name)
        found[part.name] = part if known is None else known._replace(samples=known.samples + part.samples)
    return list(found.values())
