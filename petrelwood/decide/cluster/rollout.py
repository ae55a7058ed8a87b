"""Staged roll-out of a version over dispatchers that do not communicate: when each applies it, and rollback.

A version is announced to all dispatchers, for example by a shared folder or a push. The announcement has its
number, the start of its roll-out, and whether any dispatcher has revoked it. Each dispatcher has a position
in the order, by a hash of its name and the version, so that no dispatcher is always first. With each stage a
larger share of the dispatchers applies the version. A dispatcher that has applied it compares its completion
rate with the rate under the previous version. If the rate has dropped, the dispatcher rolls back and revokes
the version; dispatchers that have not reached their stage then do not apply it, and those that have applied
it roll back too. If several versions are announced, the highest number applies to all dispatchers, in
whichever order they were announced; a dispatcher that missed some applies the newest one at its stage.

Times are wall-clock ns, because they must mean the same to all dispatchers, but without the steps of this
machine's clock (`decide.wall_clock`): a step neither skips nor delays a stage. A version is always announced
before it is seen. A start ahead of this clock therefore shows that the clocks differ, and the roll-out begins
when the version is first seen.
"""

import hashlib
import math
from collections.abc import Iterable, Mapping, Sequence
from enum import StrEnum
from typing import Any, NamedTuple

from petrelwood.decide.cluster.completion import NO_ANSWERS, CompletionCounter, CompletionRate

SECOND = 1_000_000_000
STAGES = (0.02, 0.1, 0.3, 1.0)  # share of all dispatchers that has applied a version by the end of each stage
DWELL = 30 * SECOND  # time between two stages
MIN_ANSWERS = 30  # answers required under a version and the one before it to compare them
MAX_RATE_DROP = 0.1  # tolerated drop of the completed share below the baseline, as a difference of shares
# Standard deviations attributed to chance; this many, because the rates are compared repeatedly.
NOISE_DEVIATIONS = 3.5
MIN_VARIANCE = 0.01  # lower bound for the variance of one answer (0 or 1)
MAX_BASELINE_ANSWERS = 2000  # number of answers at which the counts of the baseline are halved
ROLLBACK_ANSWERS = 100  # number of answers as which the baseline counts after a rollback
WATCHED_STAGES = 2  # number of dwell times for which a dispatcher monitors a version that it applied
# Part of the time for a roll-out that is reserved for the last dispatchers: polling the configuration
# servers, the answer, reading the folder of versions, and applying the version take up to a second each.
COMPLETION_RESERVE = 4 * SECOND
MIN_ROLLOUT_TIME = 7 * SECOND  # the reserve, and a second for each stage except the last
DEFAULT_ROLLOUT_TIME = COMPLETION_RESERVE + (len(STAGES) - 1) * DWELL


class Announcement(NamedTuple):
    """A version as announced to all dispatchers."""

    number: int
    rollout_start: int  # wall-clock ns
    revoked: bool  # by any dispatcher


class RolloutAction(StrEnum):
    """What a dispatcher must do with a version."""

    APPLY = "take"
    ROLL_BACK = "back"


class RolloutStep(NamedTuple):
    """The next step of a dispatcher: the version to apply, or to roll back to."""

    action: RolloutAction
    version: int


def dwell_for(within: int, stages: Sequence[float] = STAGES) -> int:
    """Return the time between two stages (ns) for a roll-out that must end everywhere within `within` ns."""
    return (within - COMPLETION_RESERVE) // (len(stages) - 1)


def stage_delay(name: str, version: int, stages: Sequence[float] = STAGES, dwell: int = DWELL) -> int:
    """Return the delay from the start of a roll-out until a dispatcher applies the version, ns."""
    digest = hashlib.blake2b(f"{name}/{version}".encode(), digest_size=4).digest()
    position = int.from_bytes(digest, "big") / 2**32
    stage = next(number for number, part in enumerate(stages) if position < part or part == stages[-1])
    return stage * dwell


class Rollout:
    """The roll-outs of one dispatcher; `version` is the one that it currently runs."""

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
        self.previous_version: int | None = None  # the version to roll back to
        self.applied_at: int | None = None  # set while the version is monitored
        self.answers = CompletionCounter()  # under the current version
        self.baseline: CompletionRate = NO_ANSWERS  # under the previous version
        self.faulty_version: int | None = None  # the last one that this dispatcher found worse
        self.rejected: set[int] = set()  # versions that this dispatcher never applies again
        self.first_seen_at: dict[int, int] = {}  # announced version -> time when this dispatcher first saw it

    def to_state(self, clock_ahead: int = 0) -> list[object]:
        """Return the state that a successor process needs to continue, as plain values; see `from_state`.

        `clock_ahead` is by how many ns the system's wall clock, with which the successor begins, is ahead of
        the clock without steps.
        """
        applied_at = None if self.applied_at is None else self.applied_at + clock_ahead
        return [self.version, self.previous_version, list(self.baseline), applied_at, sorted(self.rejected)]

    @classmethod
    def from_state(
        cls, name: str, state: Sequence[Any], stages: Sequence[float] = STAGES, dwell: int = DWELL
    ) -> "Rollout":
        """Return the roll-out with a state that `to_state` returned in the predecessor process.

        Raises:
            ValueError: the state is not one that `to_state` returns.
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
        """Handle that the last version could not be applied; return the version that runs now.

        This dispatcher rejects the version permanently. After a rollback there is no version to return to,
        and nothing changes.
        """
        if self.previous_version is not None:
            self._leave_version()
        return self.version

    def on_apply_postponed(self) -> None:
        """Handle that the version to apply can't currently be read; a later step retries it."""
        version = self.version
        self.on_apply_failed()
        self.rejected.discard(version)

    def record_answer(self, completed: bool) -> None:
        """Count the answer of an activation that this dispatcher admitted."""
        self.answers.record(completed)
        if self.applied_at is None and self.answers.answers >= MAX_BASELINE_ANSWERS:
            self.answers.halve()  # so that the baseline slowly follows recent answers

    def decide(self, wall: int, announcements: Sequence[Announcement]) -> RolloutStep | None:
        """Return the next step if one is due, else None.

        `wall` is the wall-clock time without steps, ns; `announcements` are all known ones in any order.
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
                # The version is kept unless it is revoked later; answers from now on make up the baseline.
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
        # A version rejected by this dispatcher still applies to others, so no older one is applied instead.
        return None if newest.number in self.rejected else newest

    def _due_at(self, announcement: Announcement) -> int:
        rollout_start = min(announcement.rollout_start, self.first_seen_at[announcement.number])
        return rollout_start + stage_delay(self.name, announcement.number, self.stages, self.dwell)

    def _apply(self, version: int, wall: int) -> RolloutStep:
        if self.applied_at is None:  # else a rollback returns to the version before the monitored one
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
