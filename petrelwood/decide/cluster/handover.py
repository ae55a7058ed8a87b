"""The handover from a serving process to its successor: who serves when, and when the predecessor resumes.

    the predecessor: serving -> offering -> handing -> watching -> over; from any phase -> closing
    the successor:   checking -> waiting -> owning -> proven

Every activation belongs to the process that admitted it; only this process sends it to workers or answers it.
New activations switch to the successor at one moment: when the predecessor has stopped accepting, has flushed
its state, and sends "go". Until then the predecessor continues to serve, whatever the successor does. After
that, the predecessor keeps the listeners open without accepting until the successor has proven itself. If the
successor dies, hands back, or misses its heartbeats before that, the predecessor accepts again, unless it was
told to end: closing is final. Times in ns of each process's own clock.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from petrelwood.decide.cluster.completion import NO_ANSWERS, CompletionCounter, CompletionRate

SECOND = 1_000_000_000
READY_TIMEOUT = 15 * SECOND  # from the offer until the successor can serve
ACCEPT_TIMEOUT = 2 * SECOND  # from go until the successor accepts
HEARTBEAT_TIMEOUT = 2 * SECOND  # without a heartbeat, after which an unproven successor counts as failed
PROBATION = 5 * SECOND  # time for which a successor must serve before it counts as proven
MIN_ANSWERS = 20  # required on both sides before completion rates are compared
MAX_RATE_DROP = 0.2  # tolerated drop of the completed share, as a difference of shares
PROTOCOL_VERSION = 1
STALL = SECOND  # time without a check, after which a process may have missed messages, or been superseded
CATCH_UP = SECOND // 5  # time in which the messages that arrived during a stall are read


class PredecessorPhase(StrEnum):
    """The phase of the handover in the process that serves."""

    SERVING = "serving"
    OFFERING = "offering"
    HANDING = "handing"
    WATCHING = "watching"
    OVER = "over"
    CLOSING = "closing"


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
    RESUME = "resume"  # accept again, because the successor has failed
    END = "end"  # the handover is over, and this process may end


class SuccessorAction(StrEnum):
    """What the successor must do next."""

    READY = "ready"  # report that it can serve
    ACCEPT = "accept"
    PROVEN = "proven"  # report that it has proven itself
    HAND_BACK = "back"
    GIVE_UP = "give up"  # abandon the handover; it never served, so there is nothing to hand back


class TakeoverRequest(NamedTuple):
    """The facts that a process sends when it requests to take over; none of them has been validated."""

    gateway: object  # the gateway's name; a peer may send any value
    protocol: object  # version of the handover protocol
    state_formats: Any  # (oldest, newest) format of stored state that it reads
    pid: object

    @classmethod
    def from_message(cls, facts: Mapping[str, object]) -> "TakeoverRequest":
        """Return the request in the facts of a `hello` message, which `rejection_reason` validates."""
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
        TypeError: the state formats are not numbers.
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
        self.reason = ""  # why the last handover failed

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
        """Handle that all activations admitted by this process have been answered."""
        self.has_drained = True
        return self._end_if_done()

    def on_successor_lost(self, reason: str) -> PredecessorAction | None:
        """Handle that the successor is gone or hands back; return RESUME if accepting had stopped."""
        is_proven = self.phase == PredecessorPhase.WATCHING and self.has_proven_successor
        if is_proven or self.phase in (PredecessorPhase.OVER, PredecessorPhase.CLOSING):
            # The successor has proven itself, or this process ends: it does not serve again.
            return None
        return self._resume(reason)

    def on_closing(self) -> bool:
        """Handle that this process was told to end; return whether a successor owns new activations.

        This process never accepts again afterwards, whatever becomes of the successor.
        """
        has_successor = self.phase in (PredecessorPhase.HANDING, PredecessorPhase.WATCHING)
        self.phase = PredecessorPhase.CLOSING
        return has_successor

    def check(self, now: int) -> PredecessorAction | None:
        """Return RESUME if the successor timed out or missed its heartbeats; call it periodically."""
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

    __slots__ = ("answers", "deadline", "phase", "predecessor_rate", "probation", "reason")

    def __init__(self, now: int, probation: int = PROBATION) -> None:
        self.phase = SuccessorPhase.CHECKING
        self.probation = probation
        self.deadline = now + READY_TIMEOUT
        self.reason = ""  # why it failed
        self.predecessor_rate = NO_ANSWERS  # the predecessor's completion rate at the time of its "go"
        self.answers = CompletionCounter()

    def on_ready_to_serve(self, now: int) -> SuccessorAction:
        """Handle that this process can serve from now on."""
        self.phase = SuccessorPhase.WAITING
        self.deadline = now + READY_TIMEOUT
        return SuccessorAction.READY

    def on_go(self, now: int, predecessor_rate: CompletionRate) -> SuccessorAction | None:
        """Handle that the predecessor has stopped accepting; `predecessor_rate` is its completion rate."""
        if self.phase != SuccessorPhase.WAITING:
            return None
        self.phase = SuccessorPhase.OWNING
        self.deadline = now + self.probation
        self.predecessor_rate = predecessor_rate
        return SuccessorAction.ACCEPT

    def record_answer(self, completed: bool) -> None:
        """Count the answer of an activation that this process admitted."""
        if self.phase == SuccessorPhase.OWNING:
            self.answers.record(completed)

    def check(self, now: int) -> SuccessorAction | None:
        """Return the action that is due now, or None; call it periodically."""
        if self.phase in (SuccessorPhase.CHECKING, SuccessorPhase.WAITING) and now >= self.deadline:
            self.fail("there was no word to go in time")
            return SuccessorAction.GIVE_UP
        if self.phase != SuccessorPhase.OWNING:
            return None
        if self._is_worse():
            completed = self.answers.completed
            self.fail(
                f"only {completed} of {self.answers.answers} completed, "
                f"{self.predecessor_rate.share:.0%} before"
            )
            return SuccessorAction.HAND_BACK
        if now >= self.deadline:
            self.phase = SuccessorPhase.PROVEN
            return SuccessorAction.PROVEN
        return None

    def on_predecessor_lost(self) -> SuccessorAction | None:
        """Handle that the predecessor is gone: give up if it has not said go, otherwise continue to serve."""
        if self.phase in (SuccessorPhase.CHECKING, SuccessorPhase.WAITING):
            self.fail("the old process went before it gave way")
            return SuccessorAction.GIVE_UP
        if self.phase == SuccessorPhase.OWNING:
            self.phase = SuccessorPhase.PROVEN
        return None

    def on_closing(self) -> SuccessorAction | None:
        """Handle that this process was told to end; it must not prove itself while it drains."""
        if self.phase != SuccessorPhase.OWNING:
            return None
        self.fail("the new process was told to end")
        return SuccessorAction.HAND_BACK

    def fail(self, reason: str) -> None:
        """Mark the handover as failed, so that the predecessor continues to serve."""
        self.phase = SuccessorPhase.FAILED
        self.reason = reason

    def _is_worse(self) -> bool:
        now = self.answers.rate()
        if now.answers < MIN_ANSWERS or self.predecessor_rate.answers < MIN_ANSWERS:
            return False
        return now.share < self.predecessor_rate.share - MAX_RATE_DROP
