"""One connection of a client: reading, the order of answers, flow control, timeouts and the end.

Requests are read ahead (pipelining) up to a limit; each begins at once, and answers leave in the order of the
requests.
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

READ_SIZE = 65_536  # bytes taken from a connection at a time
RESUME_SHARE = 2  # reading resumes when at most one in so many of the pipeline is unanswered


class UnreadReason(enum.StrEnum):
    """Why a connection is closed whose peer does not read its answers; also the names of the counters."""

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
        """Decode a complete request and have it run, or answer it."""

    def client_departed(self, request: HttpRequest) -> None:
        """Handle the departure of the client of a request that the core has not answered."""

    def connection_closed(self, connection: "HttpConnection") -> None:
        """Forget a connection that has ended."""


class HttpConnection:
    """A connection that was admitted, from `peer` (an address).

    The limits are those in force when it was opened. `is_handshaking`: TLS has to be agreed on first.
    """

    def __init__(self, owner: ConnectionOwner, stream: IOStream, peer: str, is_handshaking: bool) -> None:
        self.stream = stream
        self.peer = peer
        self.unanswered: deque[HttpRequest] = deque()  # requests whose answer is not written yet, in order
        self.is_draining = False  # the process ends: each answer is the last of its connection
        self._owner = owner
        self._limits = owner.limits
        self._parser = RequestParser(self, owner.limits, owner.admission, owner.now, owner.handle)
        self._unread = UnreadAnswers(owner.admission, owner.now, peer, owner.limits.body_within)
        self._is_handshaking = is_handshaking
        self._has_read = False  # some bytes of a request
        self._is_parsing = False  # answers wait until all that was read is parsed
        self._is_paused = False  # nothing is read until answers have left
        self._is_closing = False  # nothing more is read; closed once all answers are written
        self._is_closed = False
        self._resumption: Future[None] | None = None  # resolved when reading may go on
        stream.set_close_callback(self._on_closed)

    async def serve(self) -> None:
        """Read requests until the connection ends."""
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
        except OSError as error:  # an error of the socket comes as it is, or as the cause of a closed stream
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
        """Return how long the first bytes waited to be read, in ns: perhaps in the listen queue."""
        if self._has_read or self.stream.closed():
            return 0
        self._has_read = True
        return sockets.time_since_last_data(self.stream.socket)

    def _handshake_done(self) -> None:
        """Note the end of the handshake: the first bytes were read, or the connection has ended."""
        if self._is_handshaking:
            self._is_handshaking = False
            self._owner.admission.on_handshake_done(self.peer)

    def _end_with(self, status: HttpStatus, detail: str) -> None:
        """Answer the request that is being read, and close: what follows it can't be understood."""
        self._is_closing = True
        self._parser.current_request().fail(status, detail, is_last=True)

    # From the parser and the requests.
    def request_started(self, request: HttpRequest) -> None:
        """Queue a request whose first byte was read for its answer."""
        self.unanswered.append(request)

    def send_continue(self) -> None:
        """Tell the client that it may send the body, unless answers are due before."""
        if len(self.unanswered) == 1:
            self.stream.write(CONTINUE)

    def check_departure(self) -> None:
        """Close if the client has hung up, which may lie unread or not have been noticed yet."""
        if self.stream.closed() or sockets.hung_up(self.stream.socket):
            self._on_closed()
            self.stream.close()

    # Answers.
    def flush(self) -> None:
        """Write the answers that are ready, in the order of the requests."""
        answers = self._take_answers()
        if answers and not self.stream.closed():
            self._write(b"".join(answers))
        if not self.unanswered and not self._is_closing and not self._parser.is_in_request:
            self._parser.deadline = time.monotonic_ns() + self._limits.idle
        self._resume_reading()

    def _take_answers(self) -> list[bytes]:
        """Return the answers that are due, encoded.

        Where the process ends, the one behind which nothing has come is the last of the connection.
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
            if request.is_last:  # what was sent after it is not answered
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
        """Note that the peer has read the oldest unread answer, or that the connection has ended."""
        written.exception()  # an error that nobody looks at would be logged
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
        return len(self.unanswered) <= self._limits.pipeline // RESUME_SHARE and not self._unread

    def _wake(self) -> None:
        resumption = self._resumption
        self._resumption = None
        if resumption is not None and not resumption.done():
            resumption.set_result(None)

    # The end.
    def check_deadlines(self, now: int) -> None:
        """Close the connection if its peer sends or reads too slowly, or is idle for too long."""
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
        """Nobody waits for the answers of this connection any more."""
        dropped = self.unanswered
        self.unanswered = deque()
        for request in dropped:
            if request.activation_id is not None and request.response is None:
                self._owner.client_departed(request)
