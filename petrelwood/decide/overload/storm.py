"""Detection of storms of requests and connections by their symptoms, whatever the causes.

    repeats     the share of requests that are retries (same id, same customer)
    surge       the ratio of the current request rate to the baseline rate
    synchrony   how bunched requests are: the variance of counts in small buckets over their mean, 1 for
                independent callers
    reconnects  the ratio of opened connections to requests
    cold        the share of ended attempts that had to wait for a load

A symptom is switched on after two consecutive updates at or above its upper threshold. It is switched off
after a calm period at or below its lower threshold. That period doubles each time the symptom returns soon
afterwards, so that it does not flap. `intake`, `admission` and the early loads react to storms.
"""

from collections import Counter
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple

from petrelwood.decide.overload.sliding_window import SlidingWindowCounter

SECOND = 1_000_000_000
MIN_EVENTS = 20  # events in a window below which shares are not significant
ONSET_UPDATES = 2  # consecutive updates over the upper threshold after which a symptom is switched on
CALM = 2 * SECOND  # ns under the lower threshold after which a symptom is switched off
MAX_CALM = 16 * CALM
RELAPSE_FACTOR = 4  # a symptom that returns within this many times its calm period was not over
BASELINE_SMOOTHING = 1 / 60  # weight of one second in the running mean of the baseline rate
MAX_QUIET_SECONDS = 60  # seconds without a request that the running mean includes at a time
BUCKET = SECOND // 4  # ns
BUCKETS = 9  # two seconds and the current bucket
FINE_BUCKET = 50_000_000  # ns; synchrony is measured in buckets of this size
FINE_BUCKETS = 41  # two seconds and the current bucket


class SymptomName(StrEnum):
    """The symptoms of a storm; the values are their names in logs."""

    REPEATS = "repeats"
    SURGE = "surge"
    SYNCHRONY = "synchrony"
    RECONNECTS = "reconnects"
    COLD = "cold"


class Thresholds(NamedTuple):
    """The values from which on a symptom is switched on, and down to which it is switched off."""

    upper: float
    lower: float


THRESHOLDS = {
    SymptomName.REPEATS: Thresholds(0.3, 0.1),
    SymptomName.SURGE: Thresholds(3.0, 1.5),
    SymptomName.SYNCHRONY: Thresholds(8.0, 3.0),
    SymptomName.RECONNECTS: Thresholds(0.7, 0.3),
    SymptomName.COLD: Thresholds(0.6, 0.3),
}


class SymptomChange(NamedTuple):
    """A symptom that was just switched on or off."""

    name: str
    is_on: bool
    value: float


class Symptom:
    """One symptom, with its two thresholds."""

    __slots__ = ("calm", "ended_at", "is_on", "updates_over", "thresholds", "under_since", "value")

    def __init__(self, thresholds: Thresholds) -> None:
        self.thresholds = thresholds
        self.is_on = False
        self.value = 0.0  # at the last update
        self.updates_over = 0  # consecutive updates over the upper threshold, while it is off
        self.under_since: int | None = None  # since when it is under the lower threshold, while it is on
        self.ended_at: int | None = None
        self.calm = CALM  # ns under the lower threshold after which it is switched off

    def update(self, now: int, value: float) -> bool:
        """Record the next value; return whether the symptom was switched on or off."""
        self.value = value
        return self._may_end(now) if self.is_on else self._may_begin(now)

    def _may_begin(self, now: int) -> bool:
        self.updates_over = self.updates_over + 1 if self.value >= self.thresholds.upper else 0
        if self.updates_over < ONSET_UPDATES:
            return False
        # A symptom that returns so soon was not over: its next end needs a longer calm period.
        is_relapse = self.ended_at is not None and now - self.ended_at < RELAPSE_FACTOR * self.calm
        self.calm = min(MAX_CALM, 2 * self.calm) if is_relapse else CALM
        self.is_on = True
        self.under_since = None
        self.updates_over = 0
        return True

    def _may_end(self, now: int) -> bool:
        if self.value > self.thresholds.lower:
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
        self.symptoms = {name: Symptom(thresholds) for name, thresholds in THRESHOLDS.items()}
        self.requests = SlidingWindowCounter(BUCKET, BUCKETS)
        self.retries = SlidingWindowCounter(BUCKET, BUCKETS)
        self.connections = SlidingWindowCounter(BUCKET, BUCKETS)
        self.attempts = SlidingWindowCounter(BUCKET, BUCKETS)
        self.cold_attempts = SlidingWindowCounter(BUCKET, BUCKETS)
        self.fine_requests = SlidingWindowCounter(FINE_BUCKET, FINE_BUCKETS)
        self.baseline_rate: float | None = None  # requests per second outside storms, a running mean
        self.second: int | None = None  # number of the current second
        self.second_requests = 0  # requests in it
        self.seen: Counter[str] = Counter()  # how often each symptom was switched on

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
        """Count an ended attempt; `is_cold`: it had to wait for a load."""
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
        """Update all symptoms; return those that were just switched on or off."""
        changed = []
        for name, value in self._values(now).items():
            symptom = self.symptoms[name]
            if symptom.update(now, value):
                self.seen[name.value] += symptom.is_on
                changed.append(SymptomChange(name.value, symptom.is_on, value))
        return changed

    def figures(self) -> dict[str, dict[str, bool | float | int]]:
        """Return the state of each symptom for logs and tests."""
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
            for value in [count] + [0] * min(passed - 1, MAX_QUIET_SECONDS):
                self.baseline_rate += BASELINE_SMOOTHING * (value - self.baseline_rate)

    def _values(self, now: int) -> dict[SymptomName, float]:
        requests = self.requests.sum(now)
        attempts = self.attempts.sum(now)
        values = dict.fromkeys(SymptomName, 0.0)
        if requests >= MIN_EVENTS:
            values[SymptomName.REPEATS] = self.retries.sum(now) / requests
            values[SymptomName.SURGE] = self._surge(requests)
            values[SymptomName.SYNCHRONY] = dispersion(self.fine_requests.ended_buckets(now))
        values[SymptomName.RECONNECTS] = self.connections.sum(now) / max(requests, MIN_EVENTS)
        if attempts >= MIN_EVENTS:
            values[SymptomName.COLD] = self.cold_attempts.sum(now) / attempts
        return values

    def _surge(self, requests: int) -> float:
        if self.baseline_rate is None:
            return 0.0
        window = self.requests.span / SECOND
        return requests / window / max(self.baseline_rate, MIN_EVENTS / window)


def dispersion(counts: Sequence[int]) -> float:
    """Return the variance of counts over their mean: 1 for independent callers, more for synchronous ones."""
    mean = sum(counts) / len(counts)
    return sum((count - mean) ** 2 for count in counts) / len(counts) / mean if mean else 0.0
