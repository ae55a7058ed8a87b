"""A customer's message and its one final answer."""

import enum
from typing import NamedTuple, Protocol

import orjson

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.delivery.mqtt_acknowledgement import Delivery
from petrelwood.decide.overload import intake
from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.fronts.interfaces import FunctionRule

MILLISECOND = 1_000_000  # ns


class AnswerStatus(enum.StrEnum):
    """How an activation ended; the user property `status` of its answer."""

    COMPLETED = "completed"
    REJECTED = "rejected"
    ABORTED = "aborted"


STATUSES: dict[str, AnswerStatus] = {
    ActivationState.COMPLETED: AnswerStatus.COMPLETED,
    intake.REPEAT_RESULT: AnswerStatus.COMPLETED,
    ActivationState.REJECTED: AnswerStatus.REJECTED,
    intake.REJECT: AnswerStatus.REJECTED,
    intake.CONFLICT: AnswerStatus.REJECTED,
    ActivationState.ABORTED: AnswerStatus.ABORTED,
    intake.ABORT: AnswerStatus.ABORTED,
    intake.RESULT_DROPPED: AnswerStatus.ABORTED,
}


class Answer(NamedTuple):
    """The payload and the user properties of an answer; without properties none is sent."""

    body: bytes
    properties: list[tuple[str, str]]


def problem_answer(status: AnswerStatus, detail: str) -> Answer:
    """Return the answer to what has not completed."""
    return Answer(_problem(status, detail), [("status", status)])


def _problem(status: AnswerStatus, detail: str) -> bytes:
    return orjson.dumps({"status": status, "detail": detail})


class AnswerHandler(Protocol):
    """The session that a message arrived by."""

    def message_answered(self, message: "Message", has_completed: bool) -> None:
        """Send the final answer of a message, or keep it until that may be done."""


class Message:
    """The activation that a PUBLISH requests. The core sees it as its exchange.

    `response_topic` is None where no answer is wanted, `correlation` where the client gave none;
    `target_latency` is the one of the function's type, in ns.
    """

    __slots__ = (
        "activation_id",
        "body",
        "correlation",
        "delivery",
        "final_answer",
        "function",
        "handler",
        "request",
        "response_topic",
        "rule",
        "target_latency",
    )

    def __init__(
        self,
        handler: AnswerHandler,
        request: ActivationRequest,
        function: str,
        rule: FunctionRule,
        body: bytes,
        response_topic: str | None,
        correlation: bytes | None,
        target_latency: int,
    ) -> None:
        self.handler = handler
        self.request = request
        self.function = function
        self.rule = rule
        self.body = body
        self.response_topic = response_topic
        self.correlation = correlation
        self.target_latency = target_latency
        self.delivery: Delivery | None = None  # once it begins, or is rejected
        self.activation_id: str | None = None  # the activation that it waits for
        self.final_answer: Answer | None = None

    def check_departure(self) -> None:
        """Do nothing: a message outlives the connection that it arrived by."""

    def answer(
        self,
        outcome: str,
        body: bytes = b"",
        retry_after: int = 0,
        reason: str = "",
        activation_id: str | None = None,
    ) -> None:
        """Take the final answer of the core; later ones are ignored.

        Args:
            outcome: an `ActivationState` in which an activation may end, or a verdict of the intake.
            body: the result, of what has completed.
            retry_after: when a rejected client may retry, ns from now; 0: no such property.
            reason: why it did not complete.
            activation_id: the id of the activation; None where none was made.
        """
        if self.final_answer is not None:
            return
        status = STATUSES[outcome]
        properties: list[tuple[str, str]] = [("status", status)]
        if activation_id:
            properties.append(("activation", activation_id))
        if retry_after:
            properties.append(("retry-after-ms", str(-(-retry_after // MILLISECOND))))  # rounded up
        has_completed = status is AnswerStatus.COMPLETED
        self.final_answer = Answer(body if has_completed else _problem(status, reason), properties)
        self.handler.message_answered(self, has_completed)
