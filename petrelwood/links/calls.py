"""The calls of a link to a worker that have not ended: their queue, their stages and their ends.

Shared by the links of all protocols. A frame is encoded as it leaves, since the time left of an activation is
part of it. What an end proves is decided in `decide.delivery.send_outcome`.
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
from petrelwood.links.interfaces import Address, Gauge, LinkCore
from petrelwood.ports import EndReason

ContentT = TypeVar("ContentT")  # what the frame of a call is made of
ConnectionT = TypeVar("ConnectionT")  # a connection of a link that has several


class CallKind(StrEnum):
    """What a call asks of its worker."""

    RUN = "run"  # an attempt of an activation
    LOAD_ORDER = "hold"  # a load order: have so many copies of a function
    HEALTH_CHECK = "probe"  # a health check


# Each call asks for these, and Python 3.11 is slow to look a member up on its enum.
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
        kind: What it asks for.
        activation: The id of its activation. Other calls have none: an id of the protocol's, or nothing.
        number: Of an attempt its number, of a load order the copies wanted, of a health check 0.
        function: The function to run or load; empty for a health check.
        made_at: When it was made, in ns.
        content: What its frame is made of when it leaves, then None.
        size: Bytes that it adds to `waiting_bytes` while it is queued.
        tag: Its key among the calls in flight.
        deadline: When the time of an attempt is up, in ns, whether its activation has ended or not.
        stage: How far it has come.
        connection: Which connection carries it, of a link that has several.
        bytes_before: Bytes that were written on its connection before it; None where that proves nothing.
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
    """What a link has counted since it was made."""

    sent: int = 0
    answered: int = 0
    unexpected_answers: int = 0  # to calls that have ended, or that nobody made
    lost: int = 0  # connections
    recalled: int = 0  # calls taken back before they left


class Calls(Generic[ContentT, ConnectionT]):
    """The calls of one link that have not ended.

    A subclass moves them: `_enqueue` puts one into the queue, `_take_frame` takes it out for the socket,
    `_end` reports its end. It provides `_encode`, and `_send_cancel` where its protocol has one.
    """

    MIN_TIME_LEFT = 1  # ns, the unit of the time left in a frame: an attempt with less is not sent

    def __init__(self, worker: str, address: Address | None, core: LinkCore) -> None:
        self.worker = worker
        self.address = address
        self.core = core
        self.waiting: deque[Call[ContentT, ConnectionT]] = deque()  # queued, not written yet
        self.waiting_bytes = 0
        self.in_flight: dict[object, Call[ContentT, ConnectionT]] = {}  # written, by tag
        self.runs: dict[tuple[str, int], Call[ContentT, ConnectionT]] = {}  # attempts, queued or in flight
        self.counts = LinkCounts()

    # For the dispatcher.
    def cancel(self, activation: str, attempt: int) -> None:
        """End an attempt; a worker that may have begun it is requested to stop."""
        self._stop(activation, attempt, send_outcome.of_cancel)

    def late(self, activation: str, attempt: int) -> None:
        """End an attempt whose time is up; its worker is requested to stop too."""
        self._stop(activation, attempt, send_outcome.of_timeout)

    def _stop(self, activation: str, attempt: int, code_of: Callable[[SendStage], EndReason]) -> None:
        call = self.runs.get((activation, attempt))
        if call is not None:
            if call.stage == WRITTEN:
                self._send_cancel(call)
            self._end(call, code_of(call.stage))

    def withdraw(self, activation: str, attempt: int) -> None:
        """Take an attempt back if it has not left, as its activation has ended.

        That needs no permission to cancel: the worker has not heard of it.
        """
        call = self.runs.get((activation, attempt))
        code = None if call is None else send_outcome.of_recall(call.stage)
        if call is not None and code is not None:
            self._end(call, code)

    def recall(self) -> None:
        """Take back what has not left, as the worker drains or is gone. Health checks stay."""
        for call in [each for each in self.waiting if each.kind != HEALTH_CHECK]:
            self._end_recalled(call)

    def has_open_calls(self) -> bool:
        """Return whether a call is queued or in flight."""
        return bool(self.waiting or self.in_flight)

    # For the subclass.
    def _enqueue(self, call: Call[ContentT, ConnectionT]) -> None:
        self.waiting.append(call)
        self.waiting_bytes += call.size

    def _take_frame(self, call: Call[ContentT, ConnectionT]) -> bytes:
        """Note that a call leaves the queue for the socket, and return its bytes."""
        frame = self._encode(call)
        call.content = None
        call.stage = WRITTEN
        self.in_flight[call.tag] = call
        self.waiting_bytes -= call.size
        self.counts.sent += 1
        return frame

    def _encode(self, call: Call[ContentT, ConnectionT]) -> bytes:
        """Return the bytes of a call, with the time that is left now."""
        raise NotImplementedError

    def _send_cancel(self, call: Call[ContentT, ConnectionT]) -> None:
        """Ask the worker to stop an attempt that was written."""

    def _may_leave(self, call: Call[ContentT, ConnectionT]) -> bool:
        """Return whether the first call of the queue may be written; one that may not is ended.

        An attempt whose time is up never leaves, which proves that it never ran. A load order that has waited
        is checked against the rate limit of load orders once more, and counts at this time from now on.
        """
        if call.kind == RUN:
            if call.deadline is not None and call.deadline - self.core.now() < self.MIN_TIME_LEFT:
                self._end(call, send_outcome.of_timeout(call.stage))
                return False
        elif call.kind == LOAD_ORDER and not self.core.may_send_order(call.made_at):
            self._end_recalled(call)
            return False
        return True

    def _end_recalled(self, call: Call[ContentT, ConnectionT]) -> None:
        code = send_outcome.of_recall(call.stage)
        if code is not None:
            self.counts.recalled += 1
            self._end(call, code)

    def _end_lost(self, call: Call[ContentT, ConnectionT], stream: IOStream | None) -> None:
        """End a call whose connection is lost, or was never made (None)."""
        taken = 0 if stream is None else sockets.bytes_taken(stream)
        stage = send_outcome.stage_reached(call.stage, call.bytes_before, taken)
        self._end(call, send_outcome.of_loss(stage))

    def _overdue_calls(self, now: int, within: int) -> list[Call[ContentT, ConnectionT]]:
        """Return load orders and health checks made over `within` ns ago, which have no deadline."""
        calls = (*self.in_flight.values(), *self.waiting)
        return [call for call in calls if call.kind != RUN and now - call.made_at > within]

    def _expired_attempts(self, now: int) -> list[Call[ContentT, ConnectionT]]:
        """Return attempts in flight whose time is up.

        Those of activations that have ended have no other end on a silent connection: they would occupy
        their slot, their connection and their link for good.
        """
        calls = self.in_flight.values()
        return [call for call in calls if call.deadline is not None and now > call.deadline]

    def _end(
        self,
        call: Call[ContentT, ConnectionT],
        code: EndReason,
        note: int = 0,
        body: bytes = b"",
        gauge: Gauge | None = None,
    ) -> None:
        """Remove a call that has not ended yet, and report its end.

        Args:
            call: the call; without effect if it has ended.
            code: how it has ended.
            note: of an attempt a `ports.CopyNote`; of a load order the copies that the worker has now.
            body: the result of an attempt that completed.
            gauge: the worker's load report, if it sent one.
        """
        if call.stage == QUEUED:
            try:
                self.waiting.remove(call)
            except ValueError:
                return
            self.waiting_bytes -= call.size
        elif self.in_flight.pop(call.tag, None) is None:
            return
        self._report(call, code, note, body, gauge)

    def _report(
        self,
        call: Call[ContentT, ConnectionT],
        code: EndReason,
        note: int = 0,
        body: bytes = b"",
        gauge: Gauge | None = None,
    ) -> None:
        """Report the end of a call to the core, as an event that follows the present one."""
        core = self.core
        if call.kind == LOAD_ORDER and call.stage == QUEUED:  # it no longer counts for the rate limit
            core.order_not_sent(call.made_at)
        call.stage = ANSWERED
        if call.kind == RUN:
            activation, attempt = call.activation, call.number
            self.runs.pop((activation, attempt), None)
            core.submit(
                core.send_ended, activation, attempt, self.worker, code, note, body, call.made_at, gauge
            )
        elif call.kind == LOAD_ORDER:
            core.submit(core.load_order_ended, self.worker, call.function, code, note)
        else:
            core.submit(core.health_check_ended, self.worker, code, gauge)
