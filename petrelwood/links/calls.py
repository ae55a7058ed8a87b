"""The open calls of a link to a worker: their queue, their stages and how they end.

The links of all protocols share this module. A frame is encoded when it is written, because it contains the
remaining time of the activation. `decide.delivery.send_outcome` decides what the end of a call proves.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Generic, TypeVar

from tornado.iostream import IOStream

from petrelwood.decide.delivery import send_outcome
from petrelwood.decide.delivery.send_outcome import SendStage
from petrelwood.links import sockets
from petrelwood.links.interfaces import Address, LinkCore, LoadReport
from petrelwood.ports import EndReason

ContentT = TypeVar("ContentT")  # the data that the frame of a call is encoded from
ConnectionT = TypeVar("ConnectionT")  # a connection of a link that has several connections


class CallKind(StrEnum):
    """The kind of request that a call makes to its worker."""

    RUN = "run"  # a send of an activation
    LOAD_ORDER = "hold"  # a load order: keep a number of copies of a function loaded
    HEALTH_CHECK = "probe"


# Module names for the enum members that every call uses: Python 3.11 is slow to look up a member on its enum.
RUN = CallKind.RUN
LOAD_ORDER = CallKind.LOAD_ORDER
HEALTH_CHECK = CallKind.HEALTH_CHECK
QUEUED = SendStage.QUEUED
WRITTEN = SendStage.WRITTEN
ANSWERED = SendStage.ANSWERED


@dataclass(slots=True, eq=False)
class Call(Generic[ContentT, ConnectionT]):
    """One attempt of an activation, one load order or one health check.

    Attributes:
        kind: The kind of request.
        activation: The id of its activation. Other calls have an id of the protocol, or an empty string.
        number: The number of an attempt, the copies wanted by a load order, 0 for a health check.
        function: The function to run or load; empty for a health check.
        made_at: When the call was created, in ns.
        content: The data that its frame is encoded from; None once the frame was written.
        size: Bytes that it adds to `waiting_bytes` while it is queued.
        tag: Its key among the calls in flight.
        deadline: When an attempt times out, in ns, whether its activation has ended or not.
        stage: How far the call has progressed.
        connection: The connection that carries it, on a link that has several connections.
        bytes_before: Bytes written on its connection before it; None if that number proves nothing.
    """

    kind: CallKind
    activation: str
    number: int
    function: str
    made_at: int
    content: ContentT | None
    size: int
    tag: object
    deadline: int | None = None
    stage: SendStage = QUEUED
    connection: ConnectionT | None = None
    bytes_before: int | None = None


@dataclass(slots=True)
class LinkCounts:
    """Counters of a link since it was created."""

    sent: int = 0
    answered: int = 0
    unexpected_answers: int = 0  # answers to calls that have ended or never existed
    lost: int = 0  # lost connections
    recalled: int = 0  # calls withdrawn before they were written


class Calls(Generic[ContentT, ConnectionT]):
    """The open calls of one link.

    A subclass moves a call through its stages: `_enqueue` queues it, `_take_frame` encodes it and marks it as
    written, `_end` reports its end. A subclass implements `_encode`, and `_send_cancel` if its protocol can
    cancel a call.
    """

    # An attempt with less remaining time is not sent. In ns; the unit of that time in a frame.
    MIN_TIME_LEFT = 1

    def __init__(self, worker: str, address: Address | None, core: LinkCore) -> None:
        self.worker = worker
        self.address = address
        self.core = core
        self.waiting: deque[Call[ContentT, ConnectionT]] = deque()  # queued calls that are not written yet
        self.waiting_bytes = 0
        self.in_flight: dict[object, Call[ContentT, ConnectionT]] = {}  # written calls by tag
        # queued and in-flight attempts, by activation and number
        self.runs: dict[tuple[str, int], Call[ContentT, ConnectionT]] = {}
        self.counts = LinkCounts()

    # Interface for the dispatcher
    def cancel(self, activation: str, attempt: int) -> None:
        """Cancel an attempt; if the worker may have started it, request the worker to stop it."""
        self._stop(activation, attempt, send_outcome.of_cancel)

    def time_out(self, activation: str, attempt: int) -> None:
        """End an attempt whose deadline has passed, and request its worker to stop it."""
        self._stop(activation, attempt, send_outcome.of_timeout)

    def _stop(self, activation: str, attempt: int, reason_of: Callable[[SendStage], EndReason]) -> None:
        call = self.runs.get((activation, attempt))
        if call is not None:
            if call.stage == WRITTEN:
                self._send_cancel(call)
            self._end(call, reason_of(call.stage))

    def withdraw(self, activation: str, attempt: int) -> None:
        """Withdraw an attempt that was not written yet, because its activation has ended.

        This needs no permission to cancel, because the worker has not received the attempt.
        """
        call = self.runs.get((activation, attempt))
        reason = None if call is None else send_outcome.of_recall(call.stage)
        if call is not None and reason is not None:
            self._end(call, reason)

    def recall(self) -> None:
        """Withdraw all calls not yet written except health checks: the worker drains or was removed."""
        for call in [each for each in self.waiting if each.kind != HEALTH_CHECK]:
            self._end_recalled(call)

    def has_open_calls(self) -> bool:
        """Return whether a call is queued or in flight."""
        return bool(self.waiting or self.in_flight)

    # Interface for subclasses
    def _enqueue(self, call: Call[ContentT, ConnectionT]) -> None:
        self.waiting.append(call)
        self.waiting_bytes += call.size

    def _take_frame(self, call: Call[ContentT, ConnectionT]) -> bytes:
        """Mark a call as written and return its frame; the caller removes it from the queue."""
        frame = self._encode(call)
        call.content = None
        call.stage = WRITTEN
        self.in_flight[call.tag] = call
        self.waiting_bytes -= call.size
        self.counts.sent += 1
        return frame

    def _encode(self, call: Call[ContentT, ConnectionT]) -> bytes:
        """Return the frame of a call, with the time that remains now."""
        raise NotImplementedError

    def _send_cancel(self, call: Call[ContentT, ConnectionT]) -> None:
        """Request the worker to stop an attempt that was written."""

    def _may_leave(self, call: Call[ContentT, ConnectionT]) -> bool:
        """Return whether a queued call may be written; end the call if not.

        An attempt whose deadline has passed is never written, which proves that it never ran. The decisions
        to send an attempt or a load order are checked again, because they may be outdated. The rate limit of
        load orders counts an order at the present time from then on.
        """
        if call.kind == RUN:
            if call.deadline is not None and call.deadline - self.core.now() < self.MIN_TIME_LEFT:
                self._end(call, send_outcome.of_timeout(call.stage))
                return False
            if not self.core.may_attempt_leave(call.activation, call.number, self.worker):
                self._end_recalled(call)
                return False
        elif call.kind == LOAD_ORDER and not self.core.may_send_order(call.made_at):
            self._end_recalled(call)
            return False
        return True

    def _end_outdated(self) -> None:
        """End the queued attempts that may no longer be written, so that they don't delay an answer."""
        is_outdated = self.core.is_attempt_outdated
        attempts = [call for call in self.waiting if call.kind == RUN]
        for call in attempts:
            if is_outdated(call.activation, call.number, self.worker):
                self._end_recalled(call)

    def _end_recalled(self, call: Call[ContentT, ConnectionT]) -> None:
        reason = send_outcome.of_recall(call.stage)
        if reason is not None:
            self.counts.recalled += 1
            self._end(call, reason)

    def _end_lost(self, call: Call[ContentT, ConnectionT], stream: IOStream | None) -> None:
        """End a call whose connection was lost or never established (`stream` is None)."""
        taken = 0 if stream is None else sockets.bytes_taken(stream)
        stage = send_outcome.stage_reached(call.stage, call.bytes_before, taken)
        self._end(call, send_outcome.of_loss(stage))

    def _overdue_calls(self, now: int, within: int) -> list[Call[ContentT, ConnectionT]]:
        """Return load orders and health checks older than `within` ns; these calls have no deadline."""
        calls = (*self.in_flight.values(), *self.waiting)
        return [call for call in calls if call.kind != RUN and now - call.made_at > within]

    def _expired_attempts(self, now: int) -> list[Call[ContentT, ConnectionT]]:
        """Return attempts in flight whose deadline has passed.

        On a silent connection, nothing else ends an attempt whose activation has ended already: it would
        occupy its slot, its connection and its link forever.
        """
        calls = self.in_flight.values()
        return [call for call in calls if call.deadline is not None and now > call.deadline]

    def _end(
        self,
        call: Call[ContentT, ConnectionT],
        reason: EndReason,
        note: int = 0,
        body: bytes = b"",
        load_report: LoadReport | None = None,
    ) -> None:
        """Remove an open call and report its end; do nothing if the call has ended already.

        Args:
            call: The call.
            reason: How it has ended.
            note: For an attempt a `ports.CopyNote`; for a load order the number of copies on the worker now.
            body: The result of an attempt that completed.
            load_report: The worker's load report, if it sent one.
        """
        if call.stage == QUEUED:
            try:
                self.waiting.remove(call)
            except ValueError:
                return
            self.waiting_bytes -= call.size
        elif self.in_flight.pop(call.tag, None) is None:
            return
        self._report(call, reason, note, body, load_report)

    def _report(
        self,
        call: Call[ContentT, ConnectionT],
        reason: EndReason,
        note: int = 0,
        body: bytes = b"",
        load_report: LoadReport | None = None,
    ) -> None:
        """Report the end of a call to the core, as an event after the one being handled."""
        core = self.core
        if call.kind == LOAD_ORDER and call.stage == QUEUED:  # not sent: not counted by the rate limit
            core.order_not_sent(call.made_at)
        call.stage = ANSWERED
        if call.kind == RUN:
            activation, attempt = call.activation, call.number
            self.runs.pop((activation, attempt), None)
            core.submit(
                core.send_ended,
                activation,
                attempt,
                self.worker,
                reason,
                note,
                body,
                call.made_at,
                load_report,
            )
        elif call.kind == LOAD_ORDER:
            core.submit(core.load_order_ended, self.worker, call.function, reason, note)
        else:
            core.submit(core.health_check_ended, self.worker, reason, load_report)
