"""The hand-over from a serving process to its successor: who serves when, and when the old one resumes.

    the predecessor: serving -> offering -> handing -> watching -> over
    the successor:   checking -> waiting -> owning -> proven

Every activation belongs to the process that admitted it, and only that one sends or answers for it. There is
one moment at which new ones change hands: when the predecessor has stopped accepting, flushed its state, and
says go. Before that, whatever happens, it goes on as if nothing had been asked. After it, it keeps the
listeners, without accepting, until the successor has proven itself; if that dies, hands back, or sends no
heartbeat for too long, the predecessor accepts again. Times in ns of each process's own clock.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from petrelwood.decide.cluster.completion import NO_ANSWERS, CompletionCounter, CompletionRate

SECOND = 1_000_000_000
READY_TIMEOUT = 15 * SECOND  # from the offer until the successor can serve
ACCEPT_TIMEOUT = 2 * SECOND  # from go until the successor accepts
HEARTBEAT_TIMEOUT = 2 * SECOND  # a successor silent for so long has failed, until it has proven itself
PROBATION = 5 * SECOND  # how long a successor serves before it has proven itself
LEAST_ANSWERS = 20  # answers from which a completion rate is compared
WORST_DROP = 0.2  # how much smaller the completed share may be than before
PROTOCOL_VERSION = 1


class PredecessorPhase(StrEnum):
    """How far the hand-over is in the process that serves."""

    SERVING = "serving"
    OFFERING = "offering"
    HANDING = "handing"
    WATCHING = "watching"
    OVER = "over"


class SuccessorPhase(StrEnum):
    """How far the hand-over is in the process that follows."""

    CHECKING = "checking"
    WAITING = "waiting"
    OWNING = "owning"
    PROVEN = "proven"
    FAILED = "failed"


class PredecessorAction(StrEnum):
    """What the predecessor has to do next."""

    OFFER = "offer"  # pass the listeners
    GO = "go"  # stop accepting and let the successor begin
    RESUME = "resume"  # accept again: the successor has failed
    END = "end"  # nothing is left to do here


class SuccessorAction(StrEnum):
    """What the successor has to do next."""

    READY = "ready"  # say that it can serve
    ACCEPT = "accept"
    PROVEN = "proven"  # say that it has proven itself
    HAND_BACK = "back"
    GIVE_UP = "give up"  # it never served: nothing has to be handed back


class TakeoverRequest(NamedTuple):
    """What a process reports of itself when it requests to take over."""

    gateway: object  # its name; a peer may say anything
    protocol: object  # version of the hand-over's messages
    state_formats: Any  # (oldest, newest) format of stored state that it reads
    pid: object

    @classmethod
    def from_message(cls, facts: Mapping[str, object]) -> "TakeoverRequest":
        """Decodes the facts of a `hello` message; what they say is checked by `rejection_reason`."""
        return cls(facts.get("name"), facts.get("protocol"), facts.get("reads", (0, -1)), facts.get("pid"))

    def as_message(self) -> dict[str, object]:
        """The facts of a `hello` message."""
        return {
            "name": self.gateway,
            "pid": self.pid,
            "protocol": self.protocol,
            "reads": self.state_formats,
        }


def rejection_reason(request: TakeoverRequest, gateway: str, state_format: int, is_busy: bool) -> str | None:
    """Return why a process may not take over from the gateway, or None.

    Raises:
        ValueError, TypeError: a field of the request is not of the form that it should have.
    """
    if is_busy:
        return "an upgrade is under way"
    if request.gateway != gateway:
        return f"it is for gateway '{request.gateway}', this is '{gateway}'"
    oldest, newest = request.state_formats
    if not oldest <= state_format <= newest:
        return f"it reads state of format {oldest} to {newest}, this writes {state_format}"
    if request.protocol != PROTOCOL_VERSION:
        return f"it speaks hand-over {request.protocol}, this speaks {PROTOCOL_VERSION}"
    return None


class Predecessor:
    """The process that serves. Each event returns what is to be done, or None."""

    __slots__ = ("deadline", "has_drained", "has_proven_successor", "phase", "reason")

    TIMEOUT_REASONS = {
        PredecessorPhase.OFFERING: "it was not ready in time",
        PredecessorPhase.HANDING: "it did not accept in time",
        PredecessorPhase.WATCHING: "it went silent before it had proven itself",
    }

    def __init__(self) -> None:
        self.phase = PredecessorPhase.SERVING
        self.deadline = 0
        self.has_drained = False
        self.has_proven_successor = False
        self.reason = ""  # why the last hand-over failed

    def is_busy(self) -> bool:
        """Whether a hand-over is under way."""
        return self.phase != PredecessorPhase.SERVING

    def on_request(self, now: int) -> PredecessorAction:
        """A successor has asked, and was not rejected."""
        self.phase = PredecessorPhase.OFFERING
        self.deadline = now + READY_TIMEOUT
        return PredecessorAction.OFFER

    def on_ready(self, now: int) -> PredecessorAction | None:
        """The successor can serve. From 'go' on nothing new is admitted here."""
        if self.phase != PredecessorPhase.OFFERING:
            return None
        self.phase = PredecessorPhase.HANDING
        self.deadline = now + ACCEPT_TIMEOUT
        self.has_drained = False
        self.has_proven_successor = False
        return PredecessorAction.GO

    def on_accepting(self, now: int) -> None:
        """The successor accepts."""
        if self.phase == PredecessorPhase.HANDING:
            self.phase = PredecessorPhase.WATCHING
            self.deadline = now + HEARTBEAT_TIMEOUT

    def on_heartbeat(self, now: int) -> None:
        """The successor is there."""
        if self.phase == PredecessorPhase.WATCHING:
            self.deadline = now + HEARTBEAT_TIMEOUT

    def on_proven(self) -> PredecessorAction | None:
        """The successor has proven itself."""
        if self.phase != PredecessorPhase.WATCHING:
            return None
        self.has_proven_successor = True
        return self._end_if_done()

    def on_drained(self) -> PredecessorAction | None:
        """All that was admitted here has its answer."""
        self.has_drained = True
        return self._end_if_done()

    def on_successor_lost(self, reason: str) -> PredecessorAction | None:
        """The successor is gone, or hands back."""
        is_proven = self.phase == PredecessorPhase.WATCHING and self.has_proven_successor
        if is_proven or self.phase == PredecessorPhase.OVER:
            # it has proven itself: what becomes of it now is not ours
            return None
        return self._resume(reason)

    def check(self, now: int) -> PredecessorAction | None:
        """Asked now and then: whether the successor was too slow, or went silent."""
        reason = self.TIMEOUT_REASONS.get(self.phase)
        if reason is not None and not self.has_proven_successor and now >= self.deadline:
            return self._resume(reason)
        return None

    def _end_if_done(self) -> PredecessorAction | None:
        if self.phase == PredecessorPhase.WATCHING and self.has_proven_successor and self.has_drained:
            self.phase = PredecessorPhase.OVER
            return PredecessorAction.END
        return None

    def _resume(self, reason: str) -> PredecessorAction | None:
        has_stopped_accepting = self.phase in (PredecessorPhase.HANDING, PredecessorPhase.WATCHING)
        self.phase = PredecessorPhase.SERVING
        self.reason = reason
        return PredecessorAction.RESUME if has_stopped_accepting else None


class Successor:
    """The process that follows. Each event returns what is to be done, or None."""

    __slots__ = ("answers", "before", "deadline", "phase", "probation", "reason")

    def __init__(self, now: int, probation: int = PROBATION) -> None:
        self.phase = SuccessorPhase.CHECKING
        self.probation = probation
        self.deadline = now + READY_TIMEOUT
        self.reason = ""  # why it failed
        self.before = NO_ANSWERS  # of the predecessor, when it said go
        self.answers = CompletionCounter()

    def on_ready_to_serve(self, now: int) -> SuccessorAction:
        """This process can serve from now on."""
        self.phase = SuccessorPhase.WAITING
        self.deadline = now + READY_TIMEOUT
        return SuccessorAction.READY

    def on_go(self, now: int, before: CompletionRate) -> SuccessorAction | None:
        """The predecessor has stopped accepting; `before` is its own completion rate."""
        if self.phase != SuccessorPhase.WAITING:
            return None
        self.phase = SuccessorPhase.OWNING
        self.deadline = now + self.probation
        self.before = before
        return SuccessorAction.ACCEPT

    def record_answer(self, completed: bool) -> None:
        """An activation that was admitted here got its answer."""
        if self.phase == SuccessorPhase.OWNING:
            self.answers.record(completed)

    def check(self, now: int) -> SuccessorAction | None:
        """Asked now and then: whether it has waited too long, does worse, or has proven itself."""
        if self.phase in (SuccessorPhase.CHECKING, SuccessorPhase.WAITING) and now >= self.deadline:
            self.fail("there was no word to go in time")
            return SuccessorAction.GIVE_UP
        if self.phase != SuccessorPhase.OWNING:
            return None
        if self._is_worse():
            completed = self.answers.completed
            self.fail(f"only {completed} of {self.answers.answers} completed, {self.before.share:.0%} before")
            return SuccessorAction.HAND_BACK
        if now >= self.deadline:
            self.phase = SuccessorPhase.PROVEN
            return SuccessorAction.PROVEN
        return None

    def on_predecessor_lost(self) -> SuccessorAction | None:
        """The predecessor is gone: before go there is nothing to take over; after it this one is alone."""
        if self.phase in (SuccessorPhase.CHECKING, SuccessorPhase.WAITING):
            self.fail("the old process went before it gave way")
            return SuccessorAction.GIVE_UP
        if self.phase == SuccessorPhase.OWNING:
            self.phase = SuccessorPhase.PROVEN
        return None

    def fail(self, reason: str) -> None:
        """This process does not serve, or no longer: the predecessor does."""
        self.phase = SuccessorPhase.FAILED
        self.reason = reason

    def _is_worse(self) -> bool:
        now = self.answers.rate()
        if now.answers < LEAST_ANSWERS or self.before.answers < LEAST_ANSWERS:
            return False
        return now.share < self.before.share - WORST_DROP
