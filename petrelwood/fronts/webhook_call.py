"""Decoding of webhooks: customer, function, signature and patience."""

import time
from collections.abc import Callable, Mapping
from typing import NamedTuple

from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.errors import ProtocolError
from petrelwood.fronts.http_request import HttpRequest
from petrelwood.fronts.http_status import HttpStatus
from petrelwood.fronts.interfaces import FunctionRule
from petrelwood.fronts.signing import Verifier

SECOND = 1_000_000_000  # ns
PATH_PREFIX = b"hooks"  # the first segment of the path /hooks/CUSTOMER/FUNCTION
PATH_SEGMENTS = 4  # including the empty one before the first slash
ACCEPTED_TYPES = (b"application/json", b"application/octet-stream", b"text/plain")
DEFAULT_TYPE = b"application/octet-stream"
MAX_ID_SIZE = 256  # bytes
MAX_TIMESTAMP_DIGITS = 12  # enough for seconds since the epoch for 30,000 years
MAX_NAME_SHOWN = 80  # characters of the name of an unknown function in an answer
WAIT_BOUND = 1 << 31  # seconds; a Prefer header with this wait or a longer one is malformed


class WebhookRejectedError(ProtocolError):
    """A request is not a valid webhook; `status` is the status of its answer, `str()` the detail."""

    def __init__(self, status: HttpStatus, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class WebhookCall(NamedTuple):
    """A call of a function with a valid signature."""

    request: ActivationRequest
    function: str
    rule: FunctionRule


class SignedId(NamedTuple):
    """The headers of Standard Webhooks."""

    id: str
    timestamp: int  # seconds since the epoch
    signature: str


class WebhookDecoder:
    """Validates requests with the settings in force.

    `verifiers` are by customer; `tolerance` is the allowed difference in ns between a timestamp and the wall
    clock; `find_rule` returns the rule of a function, or None if there is no such function.
    """

    def __init__(
        self,
        verifiers: Mapping[str, Verifier],
        tolerance: int,
        find_rule: Callable[[str], FunctionRule | None],
    ) -> None:
        self._verifiers = verifiers
        self._tolerance = tolerance
        self._find_rule = find_rule

    def decode(self, request: HttpRequest, body: bytes) -> WebhookCall:
        """Return the call in a complete request.

        Raises:
            WebhookRejectedError: The request is not a valid webhook, or its signature is invalid.
        """
        customer, function = parse_target(request)
        check_content_type(request.headers)
        signed = parse_signed_id(request.headers)
        if abs(time.time_ns() - signed.timestamp * SECOND) > self._tolerance:
            raise WebhookRejectedError(HttpStatus.BAD_REQUEST, "webhook-timestamp is too far from this clock")
        verifier = self._verifiers.get(customer)
        if verifier is None or not verifier.is_valid(signed.signature, signed.id, signed.timestamp, body):
            raise WebhookRejectedError(HttpStatus.UNAUTHORIZED, "no signature holds")
        rule = self._find_rule(function)
        if rule is None:
            shown = function[:MAX_NAME_SHOWN]
            raise WebhookRejectedError(HttpStatus.NOT_FOUND, f"there is no function '{shown}'")
        wait = preferred_wait(request.headers.get(b"prefer", b""))
        timestamp = signed.timestamp * SECOND
        activation = ActivationRequest(
            customer, signed.id, timestamp, rule.type, request.received_at, wait * SECOND
        )
        return WebhookCall(activation, function, rule)


def parse_target(request: HttpRequest) -> tuple[str, str]:
    """Return the customer and the function in the path of a request.

    Raises:
        WebhookRejectedError: The path or the method is wrong.
    """
    parts = request.url.split(b"?", 1)[0].split(b"/")
    if len(parts) != PATH_SEGMENTS or parts[1] != PATH_PREFIX:
        raise WebhookRejectedError(HttpStatus.NOT_FOUND, "activations are posted to /hooks/CUSTOMER/FUNCTION")
    if request.method != b"POST":
        raise WebhookRejectedError(HttpStatus.METHOD_NOT_ALLOWED, "activations are posted")
    try:
        return parts[2].decode("ascii"), parts[3].decode("ascii")
    except UnicodeDecodeError as error:
        raise WebhookRejectedError(HttpStatus.NOT_FOUND, "customer and function are plain ASCII") from error


def check_content_type(headers: Mapping[bytes, bytes]) -> None:
    """Check that functions accept the content type of the body.

    Raises:
        WebhookRejectedError: The content type is not accepted.
    """
    content_type = headers.get(b"content-type", DEFAULT_TYPE).split(b";")[0].strip().lower()
    if content_type not in ACCEPTED_TYPES:
        accepted = ", ".join(each.decode() for each in ACCEPTED_TYPES)
        raise WebhookRejectedError(HttpStatus.UNSUPPORTED_MEDIA_TYPE, f"a body may be {accepted}")


def parse_signed_id(headers: Mapping[bytes, bytes]) -> SignedId:
    """Return the values of the headers of Standard Webhooks.

    Raises:
        WebhookRejectedError: A header is missing or malformed.
    """
    id_ = headers.get(b"webhook-id")
    timestamp = headers.get(b"webhook-timestamp")
    signature = headers.get(b"webhook-signature")
    if not id_ or not timestamp or not signature:
        raise WebhookRejectedError(
            HttpStatus.BAD_REQUEST, "webhook-id, webhook-timestamp and webhook-signature are needed"
        )
    is_timestamp = timestamp.isdigit() and len(timestamp) <= MAX_TIMESTAMP_DIGITS
    if len(id_) > MAX_ID_SIZE or not id_.isascii() or not is_timestamp:
        raise WebhookRejectedError(HttpStatus.BAD_REQUEST, "webhook-id or webhook-timestamp is malformed")
    return SignedId(id_.decode("ascii"), int(timestamp), signature.decode("latin-1"))


def preferred_wait(header: bytes) -> int:
    """Return the seconds of `wait` in a Prefer header (RFC 7240), 0 if there is no `wait`.

    Raises:
        WebhookRejectedError: The value of `wait` is malformed.
    """
    for part in header.replace(b";", b",").split(b","):
        name, equals, value = part.strip().partition(b"=")
        if name.strip().lower() == b"wait":
            digits = value.strip().strip(b'"')
            if equals and digits.isdigit() and 0 < int(digits) < WAIT_BOUND:
                return int(digits)
            raise WebhookRejectedError(
                HttpStatus.BAD_REQUEST, "Prefer: wait=N takes whole seconds, 1 or more"
            )
    return 0
