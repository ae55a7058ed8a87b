"""One HTTP request, from its first byte until its answer is written."""

from typing import NamedTuple, Protocol

from petrelwood.fronts.http_response import HttpResponse, problem_response
from petrelwood.fronts.http_status import HttpStatus
from petrelwood.fronts.webhook_answer import response_to


class Rejection(NamedTuple):
    """Why a request is answered before all of it was read."""

    status: HttpStatus
    detail: str


class RequestConnection(Protocol):
    """The connection that a request arrived on."""

    peer: str  # the address of the client

    def flush(self) -> None:
        """Write the answers that are ready and due."""

    def check_departure(self) -> None:
        """Close the connection if the client has hung up."""


class HttpRequest:
    """A request, to which the first response is the final one. The core sees it as its exchange.

    `received_at` is the monotonic time of its first byte, in ns.
    """

    __slots__ = (
        "activation_id",
        "body",
        "connection",
        "headers",
        "is_last",
        "method",
        "part_size",
        "received_at",
        "rejection",
        "reserved_bytes",
        "response",
        "url",
    )

    def __init__(self, connection: RequestConnection, received_at: int) -> None:
        self.connection = connection
        self.received_at = received_at
        self.method = b""
        self.url = b""
        self.headers: dict[bytes, bytes] = {}  # by name in lower case
        self.body: list[bytes] = []  # in pieces, as they were read
        self.part_size = 0  # bytes of the head so far, then of the body
        self.reserved_bytes = 0  # what `ConnectionAdmission` counts for it
        self.rejection: Rejection | None = None  # decided before its head was complete
        self.response: HttpResponse | None = None
        self.is_last = False  # the connection is closed after its answer
        self.activation_id: str | None = None  # the activation that it waits for

    def answer(
        self,
        outcome: str,
        body: bytes = b"",
        retry_after: int = 0,
        reason: str = "",
        activation_id: str | None = None,
    ) -> None:
        """Give the client the final answer of the core; for the arguments see `response_to`."""
        self.respond(response_to(outcome, body, retry_after, reason, activation_id))

    def fail(self, status: HttpStatus, detail: str, retry_after: int = 0, is_last: bool = False) -> None:
        """Answer with a problem document; `retry_after` in ns, `is_last` closes the connection after it."""
        if self.response is None:
            self.is_last = self.is_last or is_last
            self.respond(problem_response(status, detail, None, retry_after))

    def respond(self, response: HttpResponse) -> None:
        """Take the final answer, which leaves when those to the requests before it have; once."""
        if self.response is None:
            self.response = response
            self.connection.flush()

    def check_departure(self) -> None:
        """Close the connection if the client has hung up, though that has not been read yet."""
        self.connection.check_departure()
