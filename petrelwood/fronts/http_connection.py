"""One connection of a client: reading, the order of answers, flow control, timeouts and closing.

Pipelined requests are read ahead up to a limit. Each request is processed at once, and answers are written in
the order of the requests.
"""

import enum
import ssl
import time
from asyncio import Future
from collections import deque
from collections.abc import Callable
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError

from petrelwood.decide.overload.admission import ConnectionAdmission
from petrelwood.fronts.http_parsing import HttpSyntaxError, RequestParser
from petrelwood.fronts.http_request import HttpRequest
from petrelwood.fronts.http_response import CONTINUE
from petrelwood.fronts.http_status import HttpStatus
from petrelwood.fronts.interfaces import ConnectionLimits
from petrelwood.fronts.unread_answers import UnreadAnswers
from petrelwood.links import sockets

READ_SIZE = 65_536  # the maximum number of bytes per read from a connection
RESUME_DIVISOR = 2  # reading resumes when at most `pipeline` divided by this many requests are unanswered


class UnreadReason(enum.StrEnum):
    """Why a connection whose peer does not read its answers is closed; also the name of the counter."""

    TOO_MANY_BYTES = "too much is not read"
    TOO_SLOW = "too slowly"


class ConnectionOwner(Protocol):
    """The front that a connection belongs to."""

    limits: ConnectionLimits
    admission: ConnectionAdmission

    @property
    def now(self) -> Callable[[], int]:
        """The clock of the core, in ns."""

    def count(self, event: str) -> None:
        """Count an event."""

    def handle(self, request: HttpRequest) -> None:
        """Decode a complete request and admit it, or answer it at once."""

    def client_departed(self, request: HttpRequest) -> None:
        """Handle a client that disconnected before the core answered its request."""

    def connection_closed(self, connection: "HttpConnection") -> None:
        """Remove a closed connection."""


class HttpConnection:
    """An admitted connection from the address `peer`.

    It keeps the limits that were in force when it was opened. `is_handshaking`: a TLS handshake comes first.
    """

    def __init__(self, owner: ConnectionOwner, stream: IOStream, peer: str, is_handshaking: bool) -> None:
        self.stream = stream
        self.peer = peer
        self.unanswered: deque[HttpRequest] = deque()  # requests whose answers are not written yet, in order
        self.is_draining = False  # the process shuts down: the connection is closed after its last answer
        self._owner = owner
        self._limits = owner.limits
        self._parser = RequestParser(self, owner.limits, owner.admission, owner.now, owner.handle)
        self._unread = UnreadAnswers(owner.admission, owner.now, peer, owner.limits.body_within)
        self._is_handshaking = is_handshaking
        self._has_read = False  # some bytes of a request were read
        self._is_parsing = False  # answers are not written until all data read is parsed
        self._is_paused = False  # no reading until answers are written
        self._is_closing = False  # no more reading; the connection is closed once all answers are written
        self._is_closed = False
        self._resumption: Future[None] | None = None  # resolved when reading may resume
        stream.set_close_callback(self._on_closed)

    async def serve(self) -> None:
        """Read requests until the connection is closed."""
        try:
            while not self._is_closing:
                self._feed(await self.stream.read_bytes(READ_SIZE, partial=True))
                if self.unanswered:
                    self.flush()
                if len(self.unanswered) > self._limits.pipeline or self._unread:
                    # a client that does not read its answers may not send more requests
                    self._is_paused = True
                while self._is_paused and not self._is_closing:
                    self._resumption = Future()
                    await self._resumption
        except OSError as error:  # Tornado raises it unchanged, or as the cause of a StreamClosedError
            cause = error.real_error if isinstance(error, StreamClosedError) else error
            if isinstance(cause, ssl.SSLError):
                self._owner.count("handshakes refused")

    def _feed(self, data: bytes) -> None:
        self._handshake_done()
        waited = self._time_unread()
        self._is_parsing = True
        try:
            self._parser.feed(data, waited)
        except HttpSyntaxError as error:
            self._end_with(HttpStatus.BAD_REQUEST, str(error))
        finally:
            self._is_parsing = False

    def _time_unread(self) -> int:
        """Return how long the first bytes waited until they were read, in ns, such as in the listen queue."""
        if self._has_read or self.stream.closed():
            return 0
        self._has_read = True
        return sockets.time_since_last_data(self.stream.socket)

    def _handshake_done(self) -> None:
        """Record the end of the handshake: the first bytes were read, or the connection was closed."""
        if self._is_handshaking:
            self._is_handshaking = False
            self._owner.admission.on_handshake_done(self.peer)

    def _end_with(self, status: HttpStatus, detail: str) -> None:
        """Answer the request being read, then close the connection: data after it can't be parsed."""
        self._is_closing = True
        self._parser.current_request().fail(status, detail, is_last=True)

    # Calls from the parser and the requests
    def request_started(self, request: HttpRequest) -> None:
        """Add a request whose first byte was read to the unanswered requests."""
        self.unanswered.append(request)

    def send_continue(self) -> None:
        """Send 100 Continue to the client, unless earlier requests are unanswered."""
        if len(self.unanswered) == 1:
            self.stream.write(CONTINUE)

    def check_departure(self) -> None:
        """Close the connection if the client has hung up, even if that is unread or not handled yet."""
        if self.stream.closed() or sockets.hung_up(self.stream.socket):
            self._on_closed()
            self.stream.close()

    # Answers
    def flush(self) -> None:
        """Write the available answers in the order of the requests."""
        answers = self._take_answers()
        if answers and not self.stream.closed():
            self._write(b"".join(answers))
        if not self.unanswered and not self._is_closing and not self._parser.is_in_request:
            self._parser.deadline = time.monotonic_ns() + self._limits.idle
        self._resume_reading()

    def _take_answers(self) -> list[bytes]:
        """Return the encoded answers that may be written now.

        When the process shuts down, the answer to the last request received is the last of the connection.
        """
        answers = []
        while not self._is_parsing and self.unanswered:
            request = self.unanswered[0]
            if request.response is None:
                break
            self.unanswered.popleft()
            if self.is_draining and not self._parser.is_in_request and not self.unanswered:
                request.is_last = True
            answers.append(request.response.encode(request.is_last))
            if request.is_last:  # requests after it are not answered
                self._is_closing = True
                self._drop_requests()
        return answers

    def _write(self, data: bytes) -> None:
        written = self.stream.write(data)
        if self.stream.writing():
            if not self._unread.add(len(data)):
                self._close_unread(UnreadReason.TOO_MANY_BYTES)
            written.add_done_callback(self._answer_read)
        written.add_done_callback(self._answer_written)

    def _answer_read(self, written: "Future[None]") -> None:
        """Record that the oldest unread answer was sent, or that the connection was closed."""
        written.exception()  # asyncio would log an exception that is never retrieved
        if self._unread:
            self._unread.oldest_read()
            self._resume_reading()

    def _answer_written(self, written: "Future[None]") -> None:
        if written.exception() is None and self._is_closing and not self.unanswered:
            self.stream.close()

    def _close_unread(self, reason: UnreadReason) -> None:
        self._owner.count(f"answers not read: {reason}")
        self._is_closing = True
        self.stream.close()

    def _resume_reading(self) -> None:
        if self._is_closing or (self._is_paused and self._may_read_on()):
            self._is_paused = False
            self._wake()

    def _may_read_on(self) -> bool:
        return len(self.unanswered) <= self._limits.pipeline // RESUME_DIVISOR and not self._unread

    def _wake(self) -> None:
        resumption = self._resumption
        self._resumption = None
        if resumption is not None and not resumption.done():
            resumption.set_result(None)

    # Closing
    def check_deadlines(self, now: int) -> None:
        """Close the connection if its peer sends or reads too slowly or has been idle for too long."""
        if self._unread.is_overdue(now):
            self._close_unread(UnreadReason.TOO_SLOW)
            return
        deadline = self._parser.deadline
        if not deadline or now < deadline:
            return
        if self._parser.is_in_request:
            self._end_with(HttpStatus.REQUEST_TIMEOUT, "the request came too slowly")
        elif not self.unanswered:
            self.stream.close()

    def _on_closed(self) -> None:
        if self._is_closed:
            return
        self._is_closed = True
        self._is_closing = True
        self._owner.connection_closed(self)
        self._handshake_done()
        self._parser.release()
        self._unread.release()
        self._owner.admission.on_closed(self.peer)
        self._wake()
        self._drop_requests()

    def _drop_requests(self) -> None:
        """Drop all unanswered requests: their answers can no longer be delivered."""
        dropped = self.unanswered
        self.unanswered = deque()
        for request in dropped:
            if request.activation_id is not None and request.response is None:
                self._owner.client_departed(request)
