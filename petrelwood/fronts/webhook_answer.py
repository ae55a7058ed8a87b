"""The HTTP answer for each outcome of an activation and each `Outcome` of the intake."""

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.overload import intake
from petrelwood.fronts.http_response import JSON, HttpResponse, problem_response
from petrelwood.fronts.http_status import HttpStatus

# Module names, because Python 3.11 is slow to look up a member on its enum.
OK = HttpStatus.OK
SERVICE_UNAVAILABLE = HttpStatus.SERVICE_UNAVAILABLE
STATUSES: dict[str, HttpStatus] = {
    ActivationState.COMPLETED: OK,
    intake.REPEAT_RESULT: OK,
    ActivationState.REJECTED: SERVICE_UNAVAILABLE,
    intake.REJECT: SERVICE_UNAVAILABLE,
    ActivationState.ABORTED: HttpStatus.GATEWAY_TIMEOUT,
    intake.ABORT: HttpStatus.GATEWAY_TIMEOUT,
    intake.CONFLICT: HttpStatus.CONFLICT,
    intake.RESULT_DROPPED: HttpStatus.CONFLICT,
}
# Details used when no reason is given. The scheduler gives no reason for its rejections and aborts.
DEFAULT_DETAILS: dict[str, str] = {
    ActivationState.REJECTED: "turned away; trying again does no harm",
    intake.REJECT: "turned away; trying again does no harm",
    ActivationState.ABORTED: "no answer in time, or none that proves anything",
}


def response_to(
    outcome: str, body: bytes, retry_after: int, reason: str, activation_id: str | None
) -> HttpResponse:
    """Return the answer to an outcome.

    Args:
        outcome: A final `ActivationState`, or an `Outcome` of the intake.
        body: The result, if the activation completed.
        retry_after: When a rejected client may retry, ns from now.
        reason: Why it did not complete; empty for the default detail of the outcome.
        activation_id: The id of the activation; None if none was created.
    """
    status = STATUSES[outcome]
    if status is OK:
        return HttpResponse(status, JSON, body, activation_id)
    detail = reason or DEFAULT_DETAILS.get(outcome, "")
    if status is not SERVICE_UNAVAILABLE:
        return problem_response(status, detail, activation_id)
    if reason == intake.RejectionReason.OVER_QUOTA:
        status = HttpStatus.TOO_MANY_REQUESTS
    return problem_response(status, detail, activation_id, retry_after)
