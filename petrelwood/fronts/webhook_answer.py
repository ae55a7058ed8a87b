"""The HTTP answer to each outcome of an activation, and to each `Outcome` of the intake."""

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.overload import intake
from petrelwood.fronts.http_response import JSON, HttpResponse, problem_response
from petrelwood.fronts.http_status import HttpStatus

# Looked up once: a member of an enum takes longer to find than a name of the module.
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
# Where no reason is given: all rejections and aborts by the scheduler, which gives none.
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
        outcome: an `ActivationState` in which an activation may end, or an `Outcome` of the intake.
        body: the result, of what has completed.
        retry_after: when a rejected client may retry, ns from now.
        reason: why it did not complete; empty for the usual reason of the outcome.
        activation_id: None where no activation was made.
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
