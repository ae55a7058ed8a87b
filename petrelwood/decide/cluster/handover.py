"""The handover from a serving process to its successor: who serves when, and when the old one resumes.

    the predecessor: serving -> offering -> handing -> watching -> over
    the successor:   checking -> waiting -> owning -> proven

Every activation belongs to the process that admitted it, and only that one sends it to workers or answers it.
New activations change over at one moment: when the predecessor has stopped accepting, has flushed its state,
and says go. Until then it goes on serving whatever the successor does. After it, the predecessor keeps the
listeners open without accepting until the successor has proven itself. If the successor dies, hands back, or
misses its heartbeats before that, the predecessor accepts again. Times in ns of each process's own clock.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from petrelwood.decide.cluster.completion import NO_ANSWERS, CompletionCounter, CompletionRate

SECOND = 1_000_000_000
READY_TIMEOUT = 15 * SECOND  # from the offer until the successor can serve
ACCEPT_TIMEOUT = 2 * SECOND  # from go until the successor accepts
HEARTBEAT_TIMEOUT = 2 * SECOND  # after which a successor that has not proven itself has failed
PROBATION = 5 * SECOND  # how long a successor serves before it has proven itself
MIN_ANSWERS = 20  # answers from which a completion rate is compared
MAX_RATE_DROP = 0.2  # how much smaller the completed share may be than before
PROTOCOL_VERSION = 1


class PredecessorPhase(StrEnum):
    """The phase of the handover in the process that serves."""

    SERVING = "serving"
    OFFERING = "offering"
    HANDING = "handing"
    WATCHING = "watching"
    OVER = "over"


class SuccessorPhase(StrEnum):
    """The phase of the handover in the process that takes over."""

    CHECKING = "checking"
    WAITING = "waiting"
    OWNING = "owning"
    PROVEN = "proven"
    FAILED = "failed"


class PredecessorAction(StrEnum):
    """What the predecessor must do next."""

    OFFER = "offer"  # pass the listeners
    GO = "go"  # stop accepting and let the successor begin
    RESUME = "resume"  # accept again: the successor has failed
    END = "end"  # the handover is over, and this process may end


class SuccessorAction(StrEnum):
    """What the successor must do next."""

    READY = "ready"  # say that it can serve
    ACCEPT = "accept"
    PROVEN = "proven"  # say that it has proven itself
    HAND_BACK = "back"
    GIVE_UP = "give up"  # it never served: nothing has to be handed back


class TakeoverRequest(NamedTuple):
    """The facts that a process sends when it asks to take over; none of them is checked yet."""

    gateway: object  # its name; a peer may say anything
    protocol: object  # version of the hand-over's messages
    state_formats: Any  # (oldest, newest) format of stored state that it reads
    pid: object

    @classmethod
    def from_message(cls, facts: Mapping[str, object]) -> "TakeoverRequest":
        """Return the request of a `hello` message's facts, which `rejection_reason` checks."""
        return cls(facts.get("name"), facts.get("protocol"), facts.get("reads", (0, -1)), facts.get("pid"))

    def as_message(self) -> dict[str, object]:
        """Return the facts of a `hello` message."""
        return {
            "name": self.gateway,
            "pid": self.pid,
            "protocol": self.protocol,
            "reads": self.state_formats,
        }


def rejection_reason(request: TakeoverRequest, gateway: str, state_format: int, is_busy: bool) -> str | None:
    """Return why a process may not take over from the gateway, or None if it may.

    Raises:
        ValueError: the state formats are not a pair.
        TypeError: the state formats are no numbers.
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
    """The handover in the process that serves; each event returns the action to carry out, or None."""

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
        """Return whether a handover is under way."""
        return self.phase != PredecessorPhase.SERVING

    def on_request(self, now: int) -> PredecessorAction:
        """Handle the request of a successor that was not rejected."""
        self.phase = PredecessorPhase.OFFERING
        self.deadline = now + READY_TIMEOUT
        return PredecessorAction.OFFER

    def on_ready(self, now: int) -> PredecessorAction | None:
        """Handle that the successor can serve; after the returned GO nothing new is admitted here."""
        if self.phase != PredecessorPhase.OFFERING:
            return None
        self.phase = PredecessorPhase.HANDING
        self.deadline = now + ACCEPT_TIMEOUT
        self.has_drained = False
        self.has_proven_successor = False
        return PredecessorAction.GO

    def on_accepting(self, now: int) -> None:
        """Handle that the successor accepts connections."""
        if self.phase == PredecessorPhase.HANDING:
            self.phase = PredecessorPhase.WATCHING
            self.deadline = now + HEARTBEAT_TIMEOUT

    def on_heartbeat(self, now: int) -> None:
        """Handle a heartbeat of the successor."""
        if self.phase == PredecessorPhase.WATCHING:
            self.deadline = now + HEARTBEAT_TIMEOUT

    def on_proven(self) -> PredecessorAction | None:
        """Handle that the successor has proven itself."""
        if self.phase != PredecessorPhase.WATCHING:
            return None
        self.has_proven_successor = True
        return self._end_if_done()

    def on_drained(self) -> PredecessorAction | None:
        """Handle that all activations that were admitted here have their answers."""
        self.has_drained = True
        return self._end_if_done()

    def on_successor_lost(self, reason: str) -> PredecessorAction | None:
        """Handle that the successor is gone or hands back; return RESUME if accepting had stopped here."""
        is_proven = self.phase == PredecessorPhase.WATCHING and self.has_proven_successor
        if is_proven or self.phase == PredecessorPhase.OVER:
            # it has proven itself, so this process does not serve again
            return None
        return self._resume(reason)

    def check(self, now: int) -> PredecessorAction | None:
        """Return RESUME if the successor was too slow or missed its heartbeats; to be called periodically."""
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
    """The handover in the process that takes over; each event returns the action to carry out, or None."""

    __slots__ = ("answers", "before", "deadline", "phase", "probation", "reason")

    def __init__(self, now: int, probation: int = PROBATION) -> None:
        self.phase = SuccessorPhase.CHECKING
        self.probation = probation
        self.deadline = now + READY_TIMEOUT
        self.reason = ""  # why it failed
        self.before = NO_ANSWERS  # of the predecessor, when it said go
        self.answers = CompletionCounter()

    def on_ready_to_serve(self, now: int) -> SuccessorAction:
        """Handle that this process can serve from now on."""
        self.phase = SuccessorPhase.WAITING
        self.deadline = now + READY_TIMEOUT
        return SuccessorAction.READY

    def on_go(self, now: int, before: CompletionRate) -> SuccessorAction | None:
        """Handle that the predecessor has stopped accepting; `before` is its own completion rate."""
        if self.phase != SuccessorPhase.WAITING:
            return None
        self.phase = SuccessorPhase.OWNING
        self.deadline = now + self.probation
        self.before = before
        return SuccessorAction.ACCEPT

    def record_answer(self, completed: bool) -> None:
        """Count the answer of an activation that was admitted here."""
        if self.phase == SuccessorPhase.OWNING:
            self.answers.record(completed)

    def check(self, now: int) -> SuccessorAction | None:
        """Return the action that is due: give up, hand back, or report success; to be called periodically."""
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
        """Handle that the predecessor is gone: give up before the go, serve alone after it."""
        if self.phase in (SuccessorPhase.CHECKING, SuccessorPhase.WAITING):
            self.fail("the old process went before it gave way")
            return SuccessorAction.GIVE_UP
        if self.phase == SuccessorPhase.OWNING:
            self.phase = SuccessorPhase.PROVEN
        return None

    def fail(self, reason: str) -> None:
        """Mark the handover as failed, so that the predecessor goes on serving."""
        self.phase = SuccessorPhase.FAILED
        self.reason = reason

    def _is_worse(self) -> bool:
        now = self.answers.rate()
        if now.answers < MIN_ANSWERS or self.before.answers < MIN_ANSWERS:
            return False
        return now.share < self.before.share - MAX_RATE_DROP
