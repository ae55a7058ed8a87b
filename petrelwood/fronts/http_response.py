"""Responses of the webhook front and their encoding in HTTP/1.1."""

from dataclasses import dataclass

from petrelwood.fronts.http_status import HttpStatus
from petrelwood.fronts.problem import problem_document

SECOND = 1_000_000_000  # ns
JSON = b"application/json"
PROBLEM_JSON = b"application/problem+json"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(slots=True)
class HttpResponse:
    """The final answer to one request."""

    status: HttpStatus
    content_type: bytes
    body: bytes
    activation_id: str | None = None
    retry_after: int = 0  # ns; 0 for no Retry-After

    def encode(self, is_last: bool) -> bytes:
        """Return the bytes of the answer; with `is_last` they contain Connection: close."""
        head = b"%sContent-Type: %s\r\nContent-Length: %d\r\n" % (
            self.status.line,
            self.content_type,
            len(self.body),
        )
        if self.activation_id:
            head += b"Activation-Id: %s\r\n" % self.activation_id.encode()
        if self.retry_after:
            head += b"Retry-After: %d\r\n" % -(-self.retry_after // SECOND)  # rounded up
        if is_last:
            head += b"Connection: close\r\n"
        return head + b"\r\n" + self.body


def problem_response(
    status: HttpStatus, detail: str, activation_id: str | None = None, retry_after: int = 0
) -> HttpResponse:
    """Return an answer with a problem document; `retry_after` in ns."""
    body = problem_document(status, detail, activation_id)
    return HttpResponse(status, PROBLEM_JSON, body, activation_id, retry_after)


def rejected_connection(retry_after: int) -> bytes:
    """Return the answer for a connection that is rejected before reading; `retry_after` in seconds."""
    return b"%sContent-Length: 0\r\nRetry-After: %d\r\nConnection: close\r\n\r\n" % (
        HttpStatus.SERVICE_UNAVAILABLE.line,
        retry_after,
    )
