"""One HTTP request, from its first byte to its answer."""

from typing import NamedTuple, Protocol

from petrelwood.fronts.http_response import HttpResponse, problem_response
from petrelwood.fronts.http_status import HttpStatus
from petrelwood.fronts.webhook_answer import response_to


class Rejection(NamedTuple):
    """The reason for answering a request before it was read completely."""

    status: HttpStatus
    detail: str


class RequestConnection(Protocol):
    """The connection that a request arrived on."""

    peer: str  # address of the client

    def flush(self) -> None:
        """Write the available answers in order."""

    def check_departure(self) -> None:
        """Close the connection if the client has hung up."""


class HttpRequest:
    """A request, whose first response is final. To the core it is an `Exchange`.

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
        self.headers: dict[bytes, bytes] = {}  # by lower-case name
        self.body: list[bytes] = []  # in parts, as read
        self.part_size = 0  # bytes received of the head, then of the body
        self.reserved_bytes = 0  # bytes reserved for it at `ConnectionAdmission`
        self.rejection: Rejection | None = None  # set before its head is complete
        self.response: HttpResponse | None = None
        self.is_last = False  # whether the connection is closed after its answer
        self.activation_id: str | None = None  # the activation whose result it waits for

    def answer(
        self,
        outcome: str,
        body: bytes = b"",
        retry_after: int = 0,
        detail: str = "",
        activation_id: str | None = None,
    ) -> None:
        """Send the final answer of the core to the client; see `response_to` for the arguments."""
        self.respond(response_to(outcome, body, retry_after, detail, activation_id))

    def fail(self, status: HttpStatus, detail: str, retry_after: int = 0, is_last: bool = False) -> None:
        """Answer with a problem document. `retry_after` in ns; `is_last`: close the connection afterwards."""
        if self.response is None:
            self.is_last = self.is_last or is_last
            self.respond(problem_response(status, detail, None, retry_after))

    def respond(self, response: HttpResponse) -> None:
        """Set the final answer once; it is written after the answers to earlier requests."""
        if self.response is None:
            self.response = response
            self.connection.flush()

    def check_departure(self) -> None:
        """Close the connection if the client has hung up, even if that was not read yet."""
        self.connection.check_departure()
