"""When to acknowledge an MQTT message, when to begin its activation, and how to handle a lost session.

Free of I/O. An acknowledgement tells the broker that it never has to deliver the message again. When it is
sent depends on what may happen if two dispatchers get the same message:

- **Repeatable**: acknowledged last, together with the answer. If this dispatcher dies before that, the broker
  delivers the message again, here or elsewhere, and it runs again; no answer is lost.
- **Once-only and deduplicated**: acknowledged first, and begun only after it is *proved* that the broker
  can't deliver the message again. For QoS 2 the broker's PUBREL proves it. For QoS 1 this dispatcher writes a
  PINGREQ after the PUBACK: the broker reads in order, so its PINGRESP proves that it has read the PUBACK.
  Because every dispatcher does this, a message that is delivered again was never begun anywhere. If this
  dispatcher dies after the proof, the activation is lost with it, and never runs twice.
  If the connection breaks before the proof, the broker's next packet settles the matter for QoS 2. For QoS 1
  the standard allows the broker to hand the message to another dispatcher. A message that is not delivered
  here again is never begun here and gets an abort, although another dispatcher may answer it too. A client
  that needs exactly one answer publishes such messages with QoS 2.
- **QoS 0** is never delivered again: the activation begins at once.

Deliveries beyond the window (`DeliveryWindow`) are queued here, neither acknowledged nor begun; the broker
queues further messages.
"""

import enum
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any, Protocol

from petrelwood import ports
from petrelwood.decide.delivery.delivery_window import DeliveryWindow

# Qualities of service
AT_MOST_ONCE = 0
AT_LEAST_ONCE = 1
EXACTLY_ONCE = 2


class DeliveryState(enum.Enum):
    """The state of a message."""

    QUEUED = enum.auto()  # not acknowledged and not begun
    PROVING = enum.auto()  # acknowledged, and begins once the acknowledgement is proved
    RUNNING = enum.auto()
    ANSWER_READY = enum.auto()  # the answer is kept until the message is delivered again
    DONE = enum.auto()


class AcknowledgementPlan(enum.Enum):
    """When a message is acknowledged."""

    LAST = enum.auto()  # with its answer
    FIRST = enum.auto()  # before it begins
    NONE = enum.auto()


def plan_of(effect: str, qos: int) -> AcknowledgementPlan:
    """Return when to acknowledge a message of this quality of service with this effect."""
    if qos == AT_MOST_ONCE:
        return AcknowledgementPlan.NONE
    return AcknowledgementPlan.LAST if effect == ports.Effect.REPEATABLE else AcknowledgementPlan.FIRST


@dataclass(slots=True, eq=False)
class Delivery:
    """One message that the broker delivered."""

    packet_id: int | None  # None once the broker no longer knows it
    qos: int
    plan: AcknowledgementPlan
    due: int  # by when it must have begun, ns
    fingerprint: object  # distinguishes messages with the same packet identifier
    message: Any  # opaque; kept for the caller
    state: DeliveryState = DeliveryState.QUEUED
    answer_connection: int = 0  # number of the connection on which the answer was sent
    may_be_elsewhere: bool = False  # the broker may have given it to another dispatcher


class DeliveryActions(Protocol):
    """Carries out the decisions of `Deliveries` synchronously."""

    def acknowledge(self, packet_id: int, qos: int) -> None:
        """Send a PUBACK (QoS 1) or PUBREC (QoS 2)."""

    def complete(self, packet_id: int) -> None:
        """Send a PUBCOMP."""

    def ping(self) -> None:
        """Send a PINGREQ."""

    def begin(self, delivery: Delivery) -> None:
        """Begin the activation of a message."""

    def reject(self, delivery: Delivery) -> None:
        """Reject a message whose activation never ran."""

    def abort(self, delivery: Delivery) -> None:
        """Send an abort for a message that never ran here but may run elsewhere."""

    def answer(self, delivery: Delivery, with_acknowledgement: bool) -> None:
        """Send the answer of an activation; `with_acknowledgement`: acknowledge its message as well."""

    def discard(self, delivery: Delivery) -> None:
        """Drop a message that another dispatcher has, without an answer."""


class Deliveries:
    """The deliveries of one broker session. Times in ns."""

    def __init__(self, window: DeliveryWindow, actions: DeliveryActions) -> None:
        self.window = window
        self.actions = actions
        self.by_packet_id: OrderedDict[int, Delivery] = OrderedDict()
        self.in_flight: set[Delivery] = set()  # begun and not yet answered
        self.queued: deque[Delivery] = deque()
        self.pings = 0  # unanswered PINGREQs
        self._unproved: list[Delivery] = []  # acknowledged since the last PINGREQ
        self._in_ping: list[Delivery] = []  # acknowledged before the unanswered PINGREQ
        self._closing = False
        self._resuming = False  # whether the broker may still redeliver messages of the resumed session
        self._is_connected = True
        self._connection = 0

    # Packets of the broker
    def on_publish(
        self,
        now: int,
        packet_id: int,
        qos: int,
        is_duplicate: bool,
        effect: str,
        due: int,
        fingerprint: object,
        message: object,
    ) -> Delivery | None:
        """Handle a PUBLISH; return its delivery, or None if it repeats a known one.

        Args:
            now: the current time, ns.
            packet_id: the packet identifier; unused with QoS 0.
            qos: the quality of service.
            is_duplicate: the DUP flag.
            effect: a `ports.Effect`.
            due: by when the activation must have begun, ns.
            fingerprint: equal for equal messages.
            message: opaque; kept with the delivery for the caller.
        """
        known = self.by_packet_id.get(packet_id) if qos else None
        if known is not None:
            is_same = known.fingerprint == fingerprint
            if is_same and self._on_redelivery(known, qos, is_duplicate):
                return None
            self._packet_id_reused(known)
        plan = plan_of(effect, qos)
        delivery = Delivery(packet_id if qos else None, qos, plan, due, fingerprint, message)
        if qos:
            self.by_packet_id[packet_id] = delivery
        self.queued.append(delivery)
        self._begin_queued(now)
        return delivery

    def _on_redelivery(self, known: Delivery, qos: int, is_duplicate: bool) -> bool:
        """Handle a known message that is delivered again; return False if it must be treated as a new one."""
        is_proving = known.state is DeliveryState.PROVING
        if qos == EXACTLY_ONCE and is_proving:
            # the PUBREC was lost, and the message was not begun
            self.actions.acknowledge(_packet_id(known), qos)
            return True
        if not is_duplicate:
            return False
        if is_proving:
            known.may_be_elsewhere = False
            self._withdraw_proof(known)  # the PUBACK was lost, and the message was not begun
            self._acknowledge(known)
        elif known.plan is AcknowledgementPlan.LAST and known.state is not DeliveryState.QUEUED:
            self._on_repeatable_redelivery(known)
        elif known.state is DeliveryState.DONE:
            if known.answer_connection != self._connection:
                self._reject(known)
        else:
            return known.state is DeliveryState.QUEUED
        return True

    def _on_repeatable_redelivery(self, known: Delivery) -> None:
        known.may_be_elsewhere = False
        is_lost = known.state is DeliveryState.DONE and known.answer_connection != self._connection
        if is_lost or known.state is DeliveryState.ANSWER_READY:
            self._answer(known)  # an answer sent on an earlier connection was lost with it
        # Otherwise it still runs here, and the answer will acknowledge it.

    def on_pubrel(self, packet_id: int) -> None:
        """Handle a PUBREL (QoS 2): the broker will never deliver this message again."""
        delivery = self.by_packet_id.get(packet_id)
        self.actions.complete(packet_id)
        if delivery is None or delivery.qos != EXACTLY_ONCE:
            return
        if delivery.state is DeliveryState.PROVING:
            self._begin(delivery)
        elif delivery.state is DeliveryState.DONE:
            self._forget(delivery)

    def on_pingresp(self) -> None:
        """Handle a PINGRESP, which proves all acknowledgements before its PINGREQ."""
        if self.pings:
            self.pings -= 1
        if self._resuming:
            self._resuming = False
            self._on_redelivery_done()
        proved, self._in_ping = self._in_ping, []
        for delivery in proved:
            if delivery.state is DeliveryState.PROVING:
                self._forget(delivery)
                self._begin(delivery)
        self._prove()

    def _on_redelivery_done(self) -> None:
        """End the deliveries that other dispatchers have: the broker has redelivered all others."""
        for delivery in list(self.by_packet_id.values()):
            if delivery.state is DeliveryState.DONE and delivery.qos == AT_LEAST_ONCE:
                self._forget(delivery)
        for delivery in [known for known in self.by_packet_id.values() if known.may_be_elsewhere]:
            self._forget(delivery)
            delivery.packet_id = None
            self.in_flight.discard(delivery)
            if delivery.state is DeliveryState.PROVING:
                self.actions.abort(delivery)
            else:
                self.actions.discard(delivery)

    # Calls of the core
    def on_answer(self, now: int, delivery: Delivery, in_time: bool, duration: int) -> None:
        """Send the final answer of an activation, now or when its message is delivered again.

        `in_time`: whether the activation completed in time; `duration`: ns from its arrival to its answer.
        """
        self.in_flight.discard(delivery)
        self.window.on_answer(now, in_time, duration)
        is_acknowledged_last = delivery.plan is AcknowledgementPlan.LAST and delivery.packet_id is not None
        if is_acknowledged_last and (not self._is_connected or delivery.may_be_elsewhere):
            delivery.state = DeliveryState.ANSWER_READY
        else:
            self._answer(delivery)
        self._begin_queued(now)

    def reject_expired(self, now: int) -> None:
        """Reject the queued deliveries that can no longer begin in time; they never ran."""
        expired = [delivery for delivery in self.queued if now >= delivery.due]
        for delivery in expired:
            self.queued.remove(delivery)
            self._reject(delivery)
        self._begin_queued(now)

    def close(self) -> None:
        """Reject all queued deliveries, and begin no further ones."""
        self._closing = True
        while self.queued:
            self._reject(self.queued.popleft())

    def is_idle(self) -> bool:
        """Return whether no delivery is in flight, queued or waiting for proof."""
        is_proving = any(known.state is DeliveryState.PROVING for known in self.by_packet_id.values())
        return not self.in_flight and not self.queued and not is_proving

    # Connection
    def on_connection_lost(self) -> None:
        """Forget queued QoS 1 messages, which the broker delivers again; activations in flight continue."""
        self._in_ping = []
        self._unproved = []
        self.pings = 0
        self._is_connected = False
        for delivery in list(self.queued):
            if delivery.qos == AT_LEAST_ONCE:  # the broker delivers it again, here or elsewhere
                self._forget(delivery)
                self.queued.remove(delivery)

    def on_connected(self, session_present: bool) -> None:
        """Handle a new connection; `session_present`: whether the broker still has the session.

        If the broker has the session, it first redelivers the messages that are still assigned to this
        dispatcher and not acknowledged. The answer to a PINGREQ shows that it has redelivered all of them.
        Other messages may be with another dispatcher: their activations that run here end without an answer,
        and messages that wait for proof get an abort. Without a session this applies to all messages at once.
        """
        self._resuming = session_present
        self._is_connected = True
        self._connection += 1
        if session_present:
            for delivery in self.by_packet_id.values():
                delivery.may_be_elsewhere = _may_be_given_elsewhere(delivery)
            self._unproved = []
            self._in_ping = []
            self.pings = 1
            self.actions.ping()
            return
        known = list(self.by_packet_id.values())
        for delivery in known:
            self._forget(delivery)
            delivery.packet_id = None
            if delivery.plan is AcknowledgementPlan.LAST and _is_answer_due(delivery):
                self.in_flight.discard(delivery)
                self.actions.discard(delivery)
        self.queued = deque(delivery for delivery in self.queued if not delivery.qos)
        for delivery in known:
            if delivery.state is DeliveryState.PROVING:
                self.actions.abort(delivery)

    # Common steps
    def _begin_queued(self, now: int) -> None:
        while self.queued and not self._closing and self.window.has_room(self._in_flight_or_proving()):
            if self.queued[0].plan is AcknowledgementPlan.FIRST and not self._is_connected:
                return
            delivery = self.queued.popleft()
            if now >= delivery.due:
                self._reject(delivery)
            elif delivery.plan is AcknowledgementPlan.FIRST:
                self._acknowledge(delivery)
            else:
                self._begin(delivery)

    def _in_flight_or_proving(self) -> int:
        return len(self.in_flight) + len(self._unproved) + len(self._in_ping)

    def _acknowledge(self, delivery: Delivery) -> None:
        delivery.state = DeliveryState.PROVING
        self.actions.acknowledge(_packet_id(delivery), delivery.qos)
        if delivery.qos == AT_LEAST_ONCE:
            self._unproved.append(delivery)
            self._prove()

    def _prove(self) -> None:
        if self._unproved and not self.pings:
            self._in_ping = self._unproved
            self._unproved = []
            self.pings = 1
            self.actions.ping()

    def _withdraw_proof(self, delivery: Delivery) -> None:
        for waiting in (self._unproved, self._in_ping):
            if delivery in waiting:
                waiting.remove(delivery)

    def _begin(self, delivery: Delivery) -> None:
        delivery.state = DeliveryState.RUNNING
        if delivery.plan is AcknowledgementPlan.FIRST and delivery.qos == EXACTLY_ONCE:
            self._forget(delivery)
        self.in_flight.add(delivery)
        self.actions.begin(delivery)

    def _answer(self, delivery: Delivery) -> None:
        """Send the answer, together with the acknowledgement if that is still due."""
        with_acknowledgement = delivery.plan is AcknowledgementPlan.LAST and delivery.packet_id is not None
        delivery.state = DeliveryState.DONE
        delivery.answer_connection = self._connection
        if with_acknowledgement and delivery.qos == AT_LEAST_ONCE and not self._resuming:
            # While the session is resumed, the broker may still redeliver the message, so it is remembered.
            self._forget(delivery)
        self.actions.answer(delivery, with_acknowledgement)

    def _reject(self, delivery: Delivery) -> None:
        """Reject a delivery that never ran; this acknowledges it."""
        if delivery.qos == AT_LEAST_ONCE and not self._resuming:
            self._forget(delivery)
        delivery.state = DeliveryState.DONE
        delivery.answer_connection = self._connection
        self.actions.reject(delivery)

    def _packet_id_reused(self, old: Delivery) -> None:
        """Handle a packet identifier that now names another message: the old message is completed or lost."""
        self._forget(old)
        if old.state is DeliveryState.PROVING:
            self._withdraw_proof(old)
            self._begin(old)  # the broker has completed it, which is proof
        elif old.state is DeliveryState.QUEUED:
            self.queued.remove(old)
        old.packet_id = None

    def _forget(self, delivery: Delivery) -> None:
        if delivery.packet_id is not None and self.by_packet_id.get(delivery.packet_id) is delivery:
            del self.by_packet_id[delivery.packet_id]


def _packet_id(delivery: Delivery) -> int:
    """Return the packet identifier of a delivery that the broker still knows."""
    assert delivery.packet_id is not None
    return delivery.packet_id


def _is_answer_due(delivery: Delivery) -> bool:
    """Return whether the activation runs or has run here, and its answer has not been sent."""
    return delivery.state in (DeliveryState.RUNNING, DeliveryState.ANSWER_READY)


def _may_be_given_elsewhere(delivery: Delivery) -> bool:
    """Return whether the broker may have given the message to another dispatcher during a disconnection."""
    if delivery.qos != AT_LEAST_ONCE:
        return False
    is_repeatable = delivery.plan is AcknowledgementPlan.LAST
    return delivery.state is DeliveryState.PROVING or (is_repeatable and _is_answer_due(delivery))
