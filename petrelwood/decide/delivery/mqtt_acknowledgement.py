"""When an MQTT message is acknowledged, when its activation begins, and what a lost session means.

Free of I/O. An acknowledgement tells the broker that it will never have to deliver the message again. What
that must prove depends on what may happen if two dispatchers get the same message:

- **Repeatable**: acknowledged last, together with the answer. If this dispatcher dies before that, the broker
  delivers the message again, here or elsewhere, and it runs again; no answer is lost.
- **Once-only and deduplicated**: acknowledged first, and begun only once it is *proved* that the broker can't
  deliver it again. For QoS 2 the broker's PUBREL proves it. For QoS 1 it is a PINGREQ written after the
  PUBACK: the broker reads in order, so its PINGRESP says that it has read the PUBACK. As every dispatcher
  does this, a message that is delivered again was never begun anywhere. If this dispatcher dies after the
  proof, the activation is lost with it, and never runs twice.
  If the connection breaks before the proof, QoS 2 is settled by what the broker sends next. For QoS 1 the
  standard lets the broker hand the message to another dispatcher or not: one that is not delivered here again
  is never begun here and gets an abort, though another dispatcher may answer it too. A client that wants
  exactly one answer publishes these with QoS 2.
- **QoS 0** is never delivered again: it begins at once.

Deliveries beyond the window (`DeliveryWindow`) are queued, unacknowledged and not begun: the broker queues
the messages behind them.
"""

import enum
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Any, Protocol

from petrelwood import ports
from petrelwood.decide.delivery.delivery_window import DeliveryWindow

# qualities of service
AT_MOST_ONCE = 0
AT_LEAST_ONCE = 1
EXACTLY_ONCE = 2


class DeliveryState(enum.Enum):
    """The state of a message."""

    QUEUED = enum.auto()  # not acknowledged and not begun
    PROVING = enum.auto()  # acknowledged; not begun before that is proved
    RUNNING = enum.auto()
    ANSWER_READY = enum.auto()  # the answer is stored until the message is delivered again
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

    packet_id: int | None  # None once the broker does not know it any more
    qos: int
    plan: AcknowledgementPlan
    due: int  # when it must have begun, ns
    fingerprint: object  # tells its message from another under the same packet identifier
    message: Any  # the caller's own
    state: DeliveryState = DeliveryState.QUEUED
    answered_on: int = 0  # the number of the connection on which its answer was sent
    is_doubted: bool = False  # the broker may have given it to another dispatcher


class DeliveryActions(Protocol):
    """Carries out what `Deliveries` decides, before the call that decided it returns."""

    def acknowledge(self, packet_id: int, qos: int) -> None:
        """Send a PUBACK (QoS 1) or PUBREC (QoS 2)."""

    def complete(self, packet_id: int) -> None:
        """Send a PUBCOMP."""

    def ping(self) -> None:
        """Send a PINGREQ."""

    def begin(self, delivery: Delivery) -> None:
        """Begin the activation of a message."""

    def reject(self, delivery: Delivery) -> None:
        """Reject a message, whose activation never ran."""

    def abort(self, delivery: Delivery) -> None:
        """Send an abort for a message that never ran here and may run elsewhere."""

    def answer(self, delivery: Delivery, with_acknowledgement: bool) -> None:
        """Send the answer of an activation; `with_acknowledgement`: and acknowledge its message."""

    def discard(self, delivery: Delivery) -> None:
        """Drop a message that another dispatcher has; no answer is sent from here."""


class Deliveries:
    """The deliveries of one broker session. Times in ns."""

    def __init__(self, window: DeliveryWindow, actions: DeliveryActions) -> None:
        self.window = window
        self.actions = actions
        self.by_packet_id: OrderedDict[int, Delivery] = OrderedDict()
        self.in_flight: set[Delivery] = set()  # begun and not yet answered
        self.queued: deque[Delivery] = deque()
        self.pings = 0  # PINGREQs without an answer
        self._unproved: list[Delivery] = []  # acknowledged since the last PINGREQ
        self._in_ping: list[Delivery] = []  # acknowledged before it
        self._closing = False
        self._resuming = False  # until the broker has delivered again what is still ours
        self._is_connected = True
        self._connection = 0

    # From the broker.
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
            now: ns.
            packet_id: the packet identifier; of no meaning with QoS 0.
            qos: the quality of service.
            is_duplicate: the DUP flag.
            effect: a `ports.Effect`.
            due: when its activation must have begun, ns.
            fingerprint: equal for equal messages.
            message: the caller's own, kept with the delivery.
        """
        known = self.by_packet_id.get(packet_id) if qos else None
        if known is not None:
            is_same = known.fingerprint == fingerprint
            if is_same and self._comes_again(known, qos, is_duplicate):
                return None
            self._packet_id_reused(known)
        plan = plan_of(effect, qos)
        delivery = Delivery(packet_id if qos else None, qos, plan, due, fingerprint, message)
        if qos:
            self.by_packet_id[packet_id] = delivery
        self.queued.append(delivery)
        self._begin_queued(now)
        return delivery

    def _comes_again(self, known: Delivery, qos: int, is_duplicate: bool) -> bool:
        """Handle a known message that was delivered again; return False if it must count as a new one."""
        is_proving = known.state is DeliveryState.PROVING
        if qos == EXACTLY_ONCE and is_proving:
            self.actions.acknowledge(_packet_id(known), qos)  # our PUBREC was lost: it was not begun
            return True
        if not is_duplicate:
            return False
        if is_proving:
            known.is_doubted = False
            self._withdraw_proof(known)  # our PUBACK was lost: it was not begun
            self._acknowledge(known)
        elif known.plan is AcknowledgementPlan.LAST and known.state is not DeliveryState.QUEUED:
            self._repeatable_comes_again(known)
        elif known.state is DeliveryState.DONE:
            if known.answered_on != self._connection:
                self._reject(known)
        else:
            return known.state is DeliveryState.QUEUED
        return True

    def _repeatable_comes_again(self, known: Delivery) -> None:
        known.is_doubted = False
        is_lost = known.state is DeliveryState.DONE and known.answered_on != self._connection
        if is_lost or known.state is DeliveryState.ANSWER_READY:
            self._answer(known)  # an answer sent on an earlier connection was lost with it
        # or it still runs here: the answer will acknowledge it

    def on_pubrel(self, packet_id: int) -> None:
        """Handle a PUBREL: the broker will never deliver this message again (QoS 2)."""
        delivery = self.by_packet_id.get(packet_id)
        self.actions.complete(packet_id)
        if delivery is None or delivery.qos != EXACTLY_ONCE:
            return
        if delivery.state is DeliveryState.PROVING:
            self._begin(delivery)
        elif delivery.state is DeliveryState.DONE:
            self._forget(delivery)

    def on_pingresp(self) -> None:
        """Handle a PINGRESP: all acknowledgements before its PINGREQ are proved."""
        if self.pings:
            self.pings -= 1
        if self._resuming:
            self._resuming = False
            self._resumed()
        proved, self._in_ping = self._in_ping, []
        for delivery in proved:
            if delivery.state is DeliveryState.PROVING:
                self._forget(delivery)
                self._begin(delivery)
        self._prove()

    def _resumed(self) -> None:
        """End the doubted deliveries: the broker has redelivered all that are ours, so others have these."""
        for delivery in list(self.by_packet_id.values()):
            if delivery.state is DeliveryState.DONE and delivery.qos == AT_LEAST_ONCE:
                self._forget(delivery)
        for delivery in [known for known in self.by_packet_id.values() if known.is_doubted]:
            self._forget(delivery)
            delivery.packet_id = None
            self.in_flight.discard(delivery)
            if delivery.state is DeliveryState.PROVING:
                self.actions.abort(delivery)
            else:
                self.actions.discard(delivery)

    # From the core.
    def on_answer(self, now: int, delivery: Delivery, in_time: bool, duration: int) -> None:
        """Handle the final answer of an activation; it is sent now, or when the message is delivered again.

        `in_time`: whether it completed in time; `duration`: ns from its arrival to the answer.
        """
        self.in_flight.discard(delivery)
        self.window.on_answer(now, in_time, duration)
        is_acknowledged_last = delivery.plan is AcknowledgementPlan.LAST and delivery.packet_id is not None
        if is_acknowledged_last and (not self._is_connected or delivery.is_doubted):
            delivery.state = DeliveryState.ANSWER_READY
        else:
            self._answer(delivery)
        self._begin_queued(now)

    def reject_expired(self, now: int) -> None:
        """Reject the queued deliveries that can't begin in time any more; they never ran."""
        expired = [delivery for delivery in self.queued if now >= delivery.due]
        for delivery in expired:
            self.queued.remove(delivery)
            self._reject(delivery)
        self._begin_queued(now)

    def close(self) -> None:
        """Reject all queued deliveries, and begin no more."""
        self._closing = True
        while self.queued:
            self._reject(self.queued.popleft())

    def is_idle(self) -> bool:
        """Return whether nothing is in flight, queued or waiting for proof."""
        is_proving = any(known.state is DeliveryState.PROVING for known in self.by_packet_id.values())
        return not self.in_flight and not self.queued and not is_proving

    # The connection.
    def on_connection_lost(self) -> None:
        """Forget queued messages of QoS 1, which the broker delivers again; activations in flight go on."""
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

        If it has, it first delivers again what is still ours and not acknowledged; the answer to a PINGREQ
        after that tells that it is done. What was not delivered again may be with another dispatcher: an
        activation that runs here ends without an answer, and a message that waits for proof gets an abort.
        Without a session the same holds for all at once.
        """
        self._resuming = session_present
        self._is_connected = True
        self._connection += 1
        if session_present:
            for delivery in self.by_packet_id.values():
                delivery.is_doubted = _may_be_elsewhere(delivery)
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

    # What follows.
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
        """Send the answer, and with it the acknowledgement if that is still due."""
        with_acknowledgement = delivery.plan is AcknowledgementPlan.LAST and delivery.packet_id is not None
        delivery.state = DeliveryState.DONE
        delivery.answered_on = self._connection
        if with_acknowledgement and delivery.qos == AT_LEAST_ONCE and not self._resuming:
            # after a break it may still be on its way to us again
            self._forget(delivery)
        self.actions.answer(delivery, with_acknowledgement)

    def _reject(self, delivery: Delivery) -> None:
        """Reject a delivery that never ran, which acknowledges it."""
        if delivery.qos == AT_LEAST_ONCE and not self._resuming:
            self._forget(delivery)
        delivery.state = DeliveryState.DONE
        delivery.answered_on = self._connection
        self.actions.reject(delivery)

    def _packet_id_reused(self, old: Delivery) -> None:
        """Handle a packet identifier that now names another message: the old one is completed or lost."""
        self._forget(old)
        if old.state is DeliveryState.PROVING:
            self._withdraw_proof(old)
            self._begin(old)  # done with it: that is proof
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
    """Return whether its activation runs here or has run, and the answer has not been sent."""
    return delivery.state in (DeliveryState.RUNNING, DeliveryState.ANSWER_READY)


def _may_be_elsewhere(delivery: Delivery) -> bool:
    """Return whether the broker may have given it to another dispatcher while the connection was broken."""
    if delivery.qos != AT_LEAST_ONCE:
        return False
    is_repeatable = delivery.plan is AcknowledgementPlan.LAST
    return delivery.state is DeliveryState.PROVING or (is_repeatable and _is_answer_due(delivery))
