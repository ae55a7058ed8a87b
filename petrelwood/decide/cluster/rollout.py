"""A staged roll-out of a version over dispatchers that do not communicate: who applies it when, and rollback.

A version is announced to all (by whatever way: a folder that all read, a push): its number, when its roll-out
begins, and whether any dispatcher has called it off. Each dispatcher has a place in the order, drawn by a
hash of its name and the version, so that none is always first; stage by stage a larger part applies it. A
dispatcher that applied it compares its completion rate with the one before. If the rate has fallen it rolls
back by itself and calls the version off; then dispatchers whose turn has not come do not apply it, and those
that have applied it roll back too. Of two versions at once the newer number counts for everyone, whichever
was announced first; a dispatcher that missed some goes to the newest at its turn.

Times are wall-clock ns, since they must mean the same to all dispatchers, but without the steps of this
machine's clock (`decide.wall_clock`): a step neither skips a stage nor delays one. A version was announced
before it is seen: one that is dated ahead of this clock shows that the clocks differ, and begins when it is
first seen.
"""

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from petrelwood.decide.cluster.completion import NO_ANSWERS, CompletionCounter, CompletionRate

SECOND = 1_000_000_000
STAGES = (0.02, 0.1, 0.3, 1.0)  # parts of all dispatchers that have applied it by the end of each stage
DWELL = 30 * SECOND  # between two stages
MIN_ANSWERS = 30  # answers under a version from which it is judged
MAX_RATE_DROP = 0.1  # how far the completed share may fall below the baseline
NOISE_DEVIATIONS = 3.5  # standard deviations that chance may make: the rate is compared again and again
MIN_VARIANCE = 0.01  # of an answer
MAX_BASELINE_ANSWERS = 2000  # answers after which the counts of the baseline are halved
ROLLBACK_ANSWERS = 100  # answers that the baseline counts as after a rollback
WATCHED_STAGES = 2  # over which one that applied it watches itself
# What a roll-out that is to end in time leaves for the last dispatchers: a poll of the configuration servers,
# an answer, a look at the folder of versions, and applying it, each of them up to a second.
COMPLETION_RESERVE = 4 * SECOND
MIN_ROLLOUT_TIME = 7 * SECOND  # a second for each stage but the last
DEFAULT_ROLLOUT_TIME = COMPLETION_RESERVE + (len(STAGES) - 1) * DWELL


class Announcement(NamedTuple):
    """A version as it is announced to all dispatchers."""

    number: int
    rollout_start: int  # wall-clock ns
    revoked: bool


class RolloutAction(StrEnum):
    """What a dispatcher must do about a version."""

    APPLY = "take"
    ROLL_BACK = "back"


class RolloutStep(NamedTuple):
    """The next step of a dispatcher: the version to apply, or to roll back to."""

    action: RolloutAction
    version: int


def dwell_for(within: int, stages: Sequence[float] = STAGES) -> int:
    """Return the time between two stages, ns, for a roll-out that is to end everywhere within `within` ns."""
    return (within - COMPLETION_RESERVE) // (len(stages) - 1)


def stage_delay(name: str, version: int, stages: Sequence[float] = STAGES, dwell: int = DWELL) -> int:
    """Return how long after the start of a roll-out a dispatcher applies the version, ns."""
    digest = hashlib.blake2b(f"{name}/{version}".encode(), digest_size=4).digest()
    place = int.from_bytes(digest, "big") / 2**32
    stage = next(number for number, part in enumerate(stages) if place < part or part == stages[-1])
    return stage * dwell


class Rollout:
    """One dispatcher's part in the roll-outs; `version` is the one that it runs now."""

    __slots__ = (
        "answers",
        "applied_at",
        "faulty_version",
        "dwell",
        "first_seen_at",
        "name",
        "previous_version",
        "rejected",
        "stages",
        "baseline",
        "version",
    )

    def __init__(self, name: str, version: int, stages: Sequence[float] = STAGES, dwell: int = DWELL) -> None:
        self.name = name
        self.version = version
        self.stages = stages
        self.dwell = dwell
        self.previous_version: int | None = None  # to roll back to
        self.applied_at: int | None = None  # while the version is watched
        self.answers = CompletionCounter()  # under the version
        self.baseline: CompletionRate = NO_ANSWERS  # under the version before
        self.faulty_version: int | None = None  # the last one that this dispatcher has found bad
        self.rejected: set[int] = set()  # versions that are never applied here again
        self.first_seen_at: dict[int, int] = {}  # announced version -> when it was first seen here

    def to_state(self, clock_ahead: int = 0) -> list[object]:
        """Return what a successor process needs to continue, as plain values; see `from_state`.

        `clock_ahead`: ns by which the system's wall clock, from which the successor begins, is ahead of the
        clock without steps.
        """
        applied_at = None if self.applied_at is None else self.applied_at + clock_ahead
        return [self.version, self.previous_version, list(self.baseline), applied_at, sorted(self.rejected)]

    @classmethod
    def from_state(
        cls, name: str, state: Sequence[Any], stages: Sequence[float] = STAGES, dwell: int = DWELL
    ) -> "Rollout":
        """Return the roll-out that a successor process continues from what `to_state` returned.

        Raises:
            ValueError: `to_state` can't have returned this.
        """
        try:
            version, previous_version, (share, answers), applied_at, rejected = state
            rollout = cls(name, int(version), stages, dwell)
            rollout.previous_version = None if previous_version is None else int(previous_version)
            rollout.applied_at = None if applied_at is None else int(applied_at)
            rollout.baseline = CompletionRate(float(share), int(answers))
            rollout.rejected = {int(number) for number in rejected}
        except TypeError as error:
            raise ValueError(str(error)) from error
        return rollout

    def on_apply_failed(self) -> int:
        """Handle that the last version could not be applied; return the version that runs here now.

        The version is rejected here for good. After a rollback there is none to go back to, and nothing
        changes.
        """
        if self.previous_version is not None:
            self._leave_version()
        return self.version

    def on_apply_postponed(self) -> None:
        """Handle that the version to apply can't be read now; a later step tries it again."""
        version = self.version
        self.on_apply_failed()
        self.rejected.discard(version)

    def record_answer(self, completed: bool) -> None:
        """Count the answer of an activation that was admitted here."""
        self.answers.record(completed)
        if self.applied_at is None and self.answers.answers >= MAX_BASELINE_ANSWERS:
            self.answers.halve()  # the baseline follows slowly

    def decide(self, wall: int, announcements: Sequence[Announcement]) -> RolloutStep | None:
        """Return the next step if one is due, else None.

        `wall`: the wall-clock time without steps, ns; `announcements`: all known ones, in any order.
        """
        known = {each.number: each for each in announcements}
        self.first_seen_at = {number: self.first_seen_at.get(number, wall) for number in known}
        if self._is_revoked(known):
            return self._roll_back()
        if self.applied_at is not None:
            if self._is_worse():
                self.faulty_version = self.version
                return self._roll_back()
            if wall - self.applied_at >= WATCHED_STAGES * self.dwell:
                # it stays, unless it is called off later: what is measured from now on is the baseline
                self.applied_at = None
        newest = self._newest(announcements)
        if newest is None or wall < self._due_at(newest):
            return None
        return self._apply(newest.number, wall)

    def _is_revoked(self, known: Mapping[int, Announcement]) -> bool:
        current = known.get(self.version)
        return self.previous_version is not None and current is not None and current.revoked

    def _is_worse(self) -> bool:
        now = self.answers.rate()
        if now.answers < MIN_ANSWERS or self.baseline.answers < MIN_ANSWERS:
            return False
        baseline = self.baseline.share
        variance = max(baseline * (1 - baseline), MIN_VARIANCE)
        noise = NOISE_DEVIATIONS * math.sqrt(variance / now.answers)
        return now.share + noise < baseline - MAX_RATE_DROP

    def _newest(self, announcements: Iterable[Announcement]) -> Announcement | None:
        """Return the newest version to apply, or None."""
        newer = [each for each in announcements if each.number > self.version and not each.revoked]
        if not newer:
            return None
        newest = max(newer)
        # one that was rejected here still counts for the others: nothing older is applied in its place
        return None if newest.number in self.rejected else newest

    def _due_at(self, announcement: Announcement) -> int:
        rollout_start = min(announcement.rollout_start, self.first_seen_at[announcement.number])
        return rollout_start + stage_delay(self.name, announcement.number, self.stages, self.dwell)

    def _apply(self, version: int, wall: int) -> RolloutStep:
        if self.applied_at is None:  # else a rollback goes to the version before the one on watch
            self.previous_version = self.version
            self.baseline = self.answers.rate()
        self.version = version
        self.applied_at = wall
        self.answers.restart()
        return RolloutStep(RolloutAction.APPLY, version)

    def _roll_back(self) -> RolloutStep:
        self._leave_version()
        completed = int(self.baseline.share * ROLLBACK_ANSWERS)
        self.answers.restart(completed, ROLLBACK_ANSWERS - completed)
        return RolloutStep(RolloutAction.ROLL_BACK, self.version)

    def _leave_version(self) -> None:
        self.rejected.add(self.version)
        self.version = self.previous_version or 0
        self.previous_version = None
        self.applied_at = None
