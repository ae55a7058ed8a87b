"""Storms of requests and connections, detected by their symptoms and not by their causes.

    repeats     the share of requests that are retries (same id, same customer)
    surge       requests in a second against the usual second
    synchrony   how bunched requests are: the variance of counts in small buckets over their mean, 1 for
                independent callers
    reconnects  connections opened against requests that came on them
    cold        the share of ended attempts that had to wait for a load

A symptom is switched on after two updates in a row over its upper mark, and off after a time under its lower
mark, which doubles each time the symptom is soon back, so that it does not flap. What follows from a storm is
decided in `intake`, `admission` and the early loads.
"""

from collections import Counter
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from petrelwood.decide.overload.sliding_window import SlidingWindowCounter

SECOND = 1_000_000_000
LEAST_EVENTS = 20  # in a window, with fewer of which shares mean nothing
LOOKS = 2  # updates in a row over the upper mark, after which a symptom is on
CALM = 2 * SECOND  # ns under the lower mark, after which a symptom is off
LONGEST_CALM = 16 * CALM
SOON = 4  # times its calm: a symptom that is back within that was not over
USUAL_SMOOTHING = 1 / 60  # weight of one second in the running mean of the usual second
MOST_QUIET_SECONDS = 60  # seconds without a request that the running mean takes in at a time
BUCKET = SECOND // 4
BUCKETS = 9
FINE_BUCKET = 50_000_000  # ns; synchrony is measured in buckets of this size
FINE_BUCKETS = 41  # two seconds, and the bucket that is filling


class SymptomName(StrEnum):
    """The signs of a storm; also their names in logs."""

    REPEATS = "repeats"
    SURGE = "surge"
    SYNCHRONY = "synchrony"
    RECONNECTS = "reconnects"
    COLD = "cold"


class Marks(NamedTuple):
    """The values over which a symptom is switched on, and under which off."""

    upper: float
    lower: float


MARKS = {
    SymptomName.REPEATS: Marks(0.3, 0.1),
    SymptomName.SURGE: Marks(3.0, 1.5),
    SymptomName.SYNCHRONY: Marks(8.0, 3.0),
    SymptomName.RECONNECTS: Marks(0.7, 0.3),
    SymptomName.COLD: Marks(0.6, 0.3),
}


class SymptomChange(NamedTuple):
    """A symptom that was just switched on or off."""

    name: str
    is_on: bool
    value: float


class Symptom:
    """One sign, with its two marks."""

    __slots__ = ("calm", "ended_at", "is_on", "looks_over", "marks", "under_since", "value")

    def __init__(self, marks: Marks) -> None:
        self.marks = marks
        self.is_on = False
        self.value = 0.0  # at the last look
        self.looks_over = 0  # in a row, while it is off
        self.under_since: int | None = None  # while it is on
        self.ended_at: int | None = None
        self.calm = CALM  # that it needs to be over

    def update(self, now: int, value: float) -> bool:
        """Take the next value, and return whether the symptom was switched on or off."""
        self.value = value
        return self._may_end(now) if self.is_on else self._may_begin(now)

    def _may_begin(self, now: int) -> bool:
        self.looks_over = self.looks_over + 1 if self.value >= self.marks.upper else 0
        if self.looks_over < LOOKS:
            return False
        # back so soon, it was not over: the next end needs a longer calm
        is_back = self.ended_at is not None and now - self.ended_at < SOON * self.calm
        self.calm = min(LONGEST_CALM, 2 * self.calm) if is_back else CALM
        self.is_on = True
        self.under_since = None
        self.looks_over = 0
        return True

    def _may_end(self, now: int) -> bool:
        if self.value > self.marks.lower:
            self.under_since = None
            return False
        if self.under_since is None:
            self.under_since = now
        if now - self.under_since < self.calm:
            return False
        self.is_on = False
        self.ended_at = now
        return True


class StormDetector:
    """All symptoms of one dispatcher; `update` is to be called about every half second."""

    __slots__ = (
        "cold_attempts",
        "attempts",
        "baseline_rate",
        "connections",
        "fine_requests",
        "requests",
        "retries",
        "second",
        "second_requests",
        "seen",
        "symptoms",
    )

    def __init__(self) -> None:
        self.symptoms = {name: Symptom(marks) for name, marks in MARKS.items()}
        self.requests = SlidingWindowCounter(BUCKET, BUCKETS)
        self.retries = SlidingWindowCounter(BUCKET, BUCKETS)
        self.connections = SlidingWindowCounter(BUCKET, BUCKETS)
        self.attempts = SlidingWindowCounter(BUCKET, BUCKETS)
        self.cold_attempts = SlidingWindowCounter(BUCKET, BUCKETS)
        self.fine_requests = SlidingWindowCounter(FINE_BUCKET, FINE_BUCKETS)
        self.baseline_rate: float | None = None  # requests per second outside storms, a running mean
        self.second: int | None = None  # the one that is counted
        self.second_requests = 0
        self.seen: Counter[str] = Counter()  # how often each symptom went on

    def record_request(self, now: int, is_retry: bool) -> None:
        """Count a request."""
        self.requests.add(now)
        self.fine_requests.add(now)
        if is_retry:
            self.retries.add(now)
        second = now // SECOND
        if self.second is None:
            self.second = second
        if second != self.second:
            self._end_second(second - self.second)
            self.second = second
        self.second_requests += 1

    def record_connection(self, now: int) -> None:
        """Count a connection of a client."""
        self.connections.add(now)

    def record_attempt(self, now: int, is_cold: bool) -> None:
        """Count an attempt that has ended; `is_cold`: it had to wait for a load."""
        self.attempts.add(now)
        if is_cold:
            self.cold_attempts.add(now)

    def has_any(self) -> bool:
        """Return whether any symptom is on."""
        return any(symptom.is_on for symptom in self.symptoms.values())

    def has(self, name: SymptomName) -> bool:
        """Return whether this symptom is on."""
        return self.symptoms[name].is_on

    def update(self, now: int) -> list[SymptomChange]:
        """Measure all symptoms, and return those that were just switched on or off."""
        changed = []
        for name, value in self._values(now).items():
            symptom = self.symptoms[name]
            if symptom.update(now, value):
                self.seen[name.value] += symptom.is_on
                changed.append(SymptomChange(name.value, symptom.is_on, value))
        return changed

    def figures(self) -> dict[str, dict[str, bool | float | int]]:
        """Return what is counted, for logs and tests."""
        return {
            name.value: {"on": symptom.is_on, "value": round(symptom.value, 3), "seen": self.seen[name.value]}
            for name, symptom in self.symptoms.items()
        }

    def _end_second(self, passed: int) -> None:
        """Update the baseline rate with a second that began `passed` seconds ago, unless a storm is on."""
        count = self.second_requests
        self.second_requests = 0
        if self.baseline_rate is None:
            self.baseline_rate = float(count)
        elif not self.has_any():
            for value in [count] + [0] * min(passed - 1, MOST_QUIET_SECONDS):
                self.baseline_rate += USUAL_SMOOTHING * (value - self.baseline_rate)

    def _values(self, now: int) -> dict[SymptomName, float]:
        requests = self.requests.sum(now)
        attempts = self.attempts.sum(now)
        values = dict.fromkeys(SymptomName, 0.0)
        if requests >= LEAST_EVENTS:
            values[SymptomName.REPEATS] = self.retries.sum(now) / requests
            values[SymptomName.SURGE] = self._surge(requests)
            values[SymptomName.SYNCHRONY] = dispersion(self.fine_requests.ended_buckets(now))
        values[SymptomName.RECONNECTS] = self.connections.sum(now) / max(requests, LEAST_EVENTS)
        if attempts >= LEAST_EVENTS:
            values[SymptomName.COLD] = self.cold_attempts.sum(now) / attempts
        return values

    def _surge(self, requests: int) -> float:
        if self.baseline_rate is None:
            return 0.0
        window = self.requests.span / SECOND
        return requests / window / max(self.baseline_rate, LEAST_EVENTS / window)


def dispersion(counts: Sequence[int]) -> float:
    """Return the variance of counts over their mean: 1 for independent callers, more for synchronous ones."""
    mean = sum(counts) / len(counts)
    return sum((count - mean) ** 2 for count in counts) / len(counts) / mean if mean else 0.0
