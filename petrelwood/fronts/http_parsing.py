"""Parsing of the requests on one connection, with limits on their size and duration."""

import time
from collections.abc import Callable
from typing import Protocol

import httptools

from petrelwood.decide.overload.admission import ConnectionAdmission
from petrelwood.errors import ProtocolError
from petrelwood.fronts.http_request import HttpRequest, Rejection, RequestConnection
from petrelwood.fronts.http_status import HttpStatus
from petrelwood.fronts.interfaces import ConnectionLimits

SECOND = 1_000_000_000  # ns
HEADER_OVERHEAD = 4  # bytes of a header line besides name and value: ": " and CRLF
# Statuses that are sent with Retry-After, because a later attempt may be admitted.
RETRYABLE_STATUSES = (HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE)


class HttpSyntaxError(ProtocolError):
    """The data on a connection is not HTTP/1.1; data after it can't be parsed either."""


class ParsedConnection(RequestConnection, Protocol):
    """The connection whose data is parsed."""

    def request_started(self, request: HttpRequest) -> None:
        """Add a request whose first byte was read to the unanswered requests."""

    def send_continue(self) -> None:
        """Send 100 Continue to a client that waits for it before sending the body (RFC 9110, 10.1.1)."""


class RequestParser:
    """Parses the data of a connection into requests; httptools calls the `on_...` methods.

    Each complete request without an answer is passed to `handle`. `now` is the clock of the core, in ns.
    `deadline` is the monotonic time in ns at which the current part of a request must be complete; 0 means no
    deadline.
    """

    def __init__(
        self,
        connection: ParsedConnection,
        limits: ConnectionLimits,
        admission: ConnectionAdmission,
        now: Callable[[], int],
        handle: Callable[[HttpRequest], None],
    ) -> None:
        self.deadline = time.monotonic_ns() + limits.head_within
        self.is_in_request = False  # whether a request has begun and is incomplete
        self._connection = connection
        self._peer = connection.peer
        self._limits = limits
        self._admission = admission
        self._now = now
        self._handle = handle
        self._request = HttpRequest(connection, 0)  # the request that began last
        self._waited = 0  # how long the data being parsed waited until it was read, in ns
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes, waited: int = 0) -> None:
        """Parse the next bytes, which waited in the kernel for `waited` ns.

        Raises:
            HttpSyntaxError: The data is not HTTP/1.1, or requests another protocol.
        """
        self._waited = waited
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise HttpSyntaxError("no other protocol is spoken here") from error
        except httptools.HttpParserError as error:
            raise HttpSyntaxError(f"not HTTP/1.1: {error}") from error

    def current_request(self) -> HttpRequest:
        """Return the request being read; create one if there is none."""
        if not self.is_in_request:
            self._begin(time.monotonic_ns())
        return self._request

    def release(self) -> None:
        """Release the reserved bytes of a request that is incomplete when the connection is closed."""
        if self.is_in_request:
            self._release_bytes(self._request)

    def on_message_begin(self) -> None:
        """Begin a request."""
        now = time.monotonic_ns()
        self._begin(now - self._waited)
        self.deadline = now + self._limits.head_within

    def on_url(self, url: bytes) -> None:
        """Add a part of the request target."""
        self._request.url += url
        self._head_grew(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add one header field; join fields of the same name."""
        self._head_grew(len(name) + len(value) + HEADER_OVERHEAD)
        headers = self._request.headers
        name = name.lower()
        if name in headers:
            value = headers[name] + (b" " if name == b"webhook-signature" else b", ") + value
        headers[name] = value

    def on_headers_complete(self) -> None:
        """Decide whether to accept the body."""
        request = self._request
        request.method = self._parser.get_method()
        self.deadline = time.monotonic_ns() + self._limits.body_within
        if request.rejection is None:
            request.rejection = self._reason_to_reject_body(request)
        if request.rejection is not None:
            self._reject(request, request.rejection)
        elif request.headers.get(b"expect", b"").lower() == b"100-continue":
            self._connection.send_continue()

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        request = self._request
        if not request.body:
            request.part_size = 0
        if request.response is not None:
            return
        request.body.append(data)
        request.part_size += len(data)
        self._reserve_bytes(len(data))
        if request.rejection is not None:
            self._reject(request, request.rejection)
        if request.part_size > self._limits.body and request.response is None:
            request.fail(HttpStatus.CONTENT_TOO_LARGE, self._body_limit(), is_last=True)

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler."""
        request = self._request
        self.is_in_request = False
        self.deadline = 0
        self._release_bytes(request)
        # if the client sends no further request, the answer contains Connection: close
        request.is_last = request.is_last or not self._parser.should_keep_alive()
        if request.response is None:
            self._handle(request)

    def _begin(self, now: int) -> None:
        self._request = HttpRequest(self._connection, now)
        self.is_in_request = True
        self._connection.request_started(self._request)

    def _head_grew(self, size: int) -> None:
        request = self._request
        request.part_size += size
        self._reserve_bytes(size)
        if request.part_size > self._limits.header and request.rejection is None:
            request.rejection = Rejection(HttpStatus.HEADER_FIELDS_TOO_LARGE, "the head is too large")

    def _reserve_bytes(self, size: int) -> None:
        """Reserve bytes for an incomplete request; reject it if all such requests hold too many bytes."""
        request = self._request
        if request.response is not None or request.rejection is not None:
            return
        if self._admission.reserve_bytes(self._now(), self._peer, size):
            request.reserved_bytes += size
        else:
            request.rejection = Rejection(HttpStatus.SERVICE_UNAVAILABLE, "too much is being sent at a time")

    def _release_bytes(self, request: HttpRequest) -> None:
        if request.reserved_bytes:
            self._admission.release_bytes(self._peer, request.reserved_bytes)
            request.reserved_bytes = 0

    def _body_limit(self) -> str:
        return f"the body may hold {self._limits.body} bytes"

    def _reason_to_reject_body(self, request: HttpRequest) -> Rejection | None:
        length = request.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length) > self._limits.body:
            return Rejection(HttpStatus.CONTENT_TOO_LARGE, self._body_limit())
        if not self._admission.may_check_signature(self._now(), self._peer):
            return Rejection(
                HttpStatus.TOO_MANY_REQUESTS, "too many signatures from this address did not hold"
            )
        return None

    def _reject(self, request: HttpRequest, rejection: Rejection) -> None:
        """Answer a request that is not read further, with Retry-After if a later attempt may succeed."""
        seconds = 0
        if rejection.status in RETRYABLE_STATUSES:
            seconds = self._admission.retry_after_seconds(self._peer, self._now())
        request.fail(rejection.status, rejection.detail, retry_after=seconds * SECOND, is_last=True)
