"""A customer's message and its final answer."""

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
    """The outcome of an activation; the user property `status` of its answer."""

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
    """The payload and the user properties of an answer; one without properties is not sent."""

    body: bytes
    properties: list[tuple[str, str]]


def problem_answer(status: AnswerStatus, detail: str) -> Answer:
    """Return the answer to an activation that did not complete."""
    return Answer(_problem(status, detail), [("status", status)])


def _problem(status: AnswerStatus, detail: str) -> bytes:
    return orjson.dumps({"status": status, "detail": detail})


class AnswerHandler(Protocol):
    """The session that a message arrived on."""

    def message_answered(self, message: "Message", has_completed: bool) -> None:
        """Send the final answer of a message, or keep it until it may be sent."""


class Message:
    """The activation that a PUBLISH requests. To the core it is an `Exchange`.

    `response_topic` is None if no answer is wanted, `correlation` is None if the client sent no correlation
    data; `target_latency` is that of the function's namespace type, in ns.
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
        self.delivery: Delivery | None = None  # set when the message begins or is rejected
        self.activation_id: str | None = None  # the activation whose result it waits for
        self.final_answer: Answer | None = None

    def check_departure(self) -> None:
        """Do nothing: a message does not end with the connection that it arrived on."""

    def answer(
        self,
        outcome: str,
        body: bytes = b"",
        retry_after: int = 0,
        detail: str = "",
        activation_id: str | None = None,
    ) -> None:
        """Set the final answer of the core; later answers are ignored.

        Args:
            outcome: A final `ActivationState`, or an `Outcome` of the intake.
            body: The result, if the activation completed.
            retry_after: When a rejected client may retry, ns from now; 0 for no such property.
            detail: Why it did not complete.
            activation_id: The id of the activation; None if none was created.
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
        self.final_answer = Answer(body if has_completed else _problem(status, detail), properties)
        self.handler.message_answered(self, has_completed)
