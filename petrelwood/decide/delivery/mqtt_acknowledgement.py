"""When an MQTT message is acknowledged, when its activation begins, and what a lost session means.

Free of I/O. An acknowledgement tells the broker that it will never have to deliver the message again. What
that must prove depends on what may happen if two dispatchers get the same message:

- **Repeatable**: acknowledged last, together with the answer. If this dispatcher dies before that, the broker
  delivers the message again, here or elsewhere, and it runs again; nobody's answer is lost.
- **Once-only and deduplicated**: acknowledged first, and begun only once that is *proved*: the broker can't
  deliver it again. For QoS 2 the broker's PUBREL proves it. For QoS 1 it is a PINGREQ written after the
  PUBACK: the broker reads in order, so its PINGRESP says that it has read the PUBACK. As every dispatcher
  keeps to this, a message that comes again was never begun anywhere. If this dispatcher dies after the proof,
  the activation is lost with it, and never runs twice.
  Where the connection breaks before the proof, QoS 2 is settled by what the broker sends next. For QoS 1 the
  standard lets the broker hand the message to another dispatcher or not: one that does not come again is
  never begun here and an abort is due, though another may answer it too. Whoever wants exactly one answer
  publishes these with QoS 2.
- **QoS 0** is never delivered again: it begins at once.

Deliveries beyond the window (`DeliveryWindow`) are queued, unacknowledged and not begun: the broker holds
what is behind them.
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
    """How far a message is."""

    QUEUED = enum.auto()  # not acknowledged and not begun
    PROVING = enum.auto()  # acknowledged; not begun before that is proved
    RUNNING = enum.auto()
    ANSWER_READY = enum.auto()  # the answer is kept until the message comes again
    DONE = enum.auto()


class AcknowledgementPlan(enum.Enum):
    """When a message is acknowledged."""

    LAST = enum.auto()  # with its answer
    FIRST = enum.auto()  # before it begins
    NONE = enum.auto()


def plan_of(effect: str, qos: int) -> AcknowledgementPlan:
    """When to acknowledge a message of this quality of service that asks for this effect."""
    if qos == AT_MOST_ONCE:
        return AcknowledgementPlan.NONE
    return AcknowledgementPlan.LAST if effect == ports.Effect.REPEATABLE else AcknowledgementPlan.FIRST


@dataclass(slots=True, eq=False)
class Delivery:
    """One message of a broker's."""

    packet_id: int | None  # None once the broker knows it no more
    qos: int
    plan: AcknowledgementPlan
    due: int  # when it must have begun, ns
    fingerprint: object  # tells its message from another under the same packet identifier
    message: Any  # the caller's own
    state: DeliveryState = DeliveryState.QUEUED
    answered_on: int = 0  # the connection on which its answer left
    is_doubted: bool = False  # the broker may have given it to another dispatcher


class DeliveryActions(Protocol):
    """Carries out what `Deliveries` decides, in the same turn."""

    def acknowledge(self, packet_id: int, qos: int) -> None:
        """Sends a PUBACK or PUBREC."""

    def complete(self, packet_id: int) -> None:
        """Sends a PUBCOMP."""

    def ping(self) -> None:
        """Sends a PINGREQ."""

    def begin(self, delivery: Delivery) -> None:
        """Its activation begins."""

    def reject(self, delivery: Delivery) -> None:
        """It is rejected, and never ran."""

    def abort(self, delivery: Delivery) -> None:
        """It never ran here, and may run elsewhere: its sender gets an abort."""

    def answer(self, delivery: Delivery, with_acknowledgement: bool) -> None:
        """Sends the answer that was kept for it."""

    def discard(self, delivery: Delivery) -> None:
        """Another dispatcher has it: no answer from here."""


class Deliveries:
    """The messages of one session. Times in ns."""

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
        """A message has come; its delivery, or None where it is known.

        `message` is the caller's own, `fingerprint` the same for the same message.
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
        """A message that is known has come again; whether that settles it."""
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
            self._answer(known)  # what left on an earlier connection was lost with it
        # or it still runs here: the answer will acknowledge it

    def on_pubrel(self, packet_id: int) -> None:
        """The broker will never deliver this message again (QoS 2)."""
        delivery = self.by_packet_id.get(packet_id)
        self.actions.complete(packet_id)
        if delivery is None or delivery.qos != EXACTLY_ONCE:
            return
        if delivery.state is DeliveryState.PROVING:
            self._begin(delivery)
        elif delivery.state is DeliveryState.DONE:
            self._forget(delivery)

    def on_pingresp(self) -> None:
        """All that was acknowledged before that PINGREQ is proved."""
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
        """The broker has delivered again what is still ours: what is doubted is with another dispatcher."""
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
        """Its activation has its final answer, which is sent now or when the message comes again."""
        self.in_flight.discard(delivery)
        self.window.on_answer(now, in_time, duration)
        is_acknowledged_last = delivery.plan is AcknowledgementPlan.LAST and delivery.packet_id is not None
        if is_acknowledged_last and (not self._is_connected or delivery.is_doubted):
            delivery.state = DeliveryState.ANSWER_READY
        else:
            self._answer(delivery)
        self._begin_queued(now)

    def reject_expired(self, now: int) -> None:
        """Rejects at once what can't begin in time any more: it never ran."""
        expired = [delivery for delivery in self.queued if now >= delivery.due]
        for delivery in expired:
            self.queued.remove(delivery)
            self._reject(delivery)
        self._begin_queued(now)

    def close(self) -> None:
        """Nothing more begins: what is queued is rejected."""
        self._closing = True
        while self.queued:
            self._reject(self.queued.popleft())

    def is_idle(self) -> bool:
        """Whether nothing is in flight or waits for proof."""
        is_proving = any(known.state is DeliveryState.PROVING for known in self.by_packet_id.values())
        return not self.in_flight and not self.queued and not is_proving

    # The connection.
    def on_connection_lost(self) -> None:
        """What runs goes on, what is queued may come again."""
        self._in_ping = []
        self._unproved = []
        self.pings = 0
        self._is_connected = False
        for delivery in list(self.queued):
            if delivery.qos == AT_LEAST_ONCE:  # the broker delivers it again, here or elsewhere
                self._forget(delivery)
                self.queued.remove(delivery)

    def on_connected(self, session_present: bool) -> None:
        """Connected again.

        Where the broker has kept the session it first delivers again what is still ours and not
        acknowledged; a PINGREQ after that tells when it is through. What did not come again may be with
        another dispatcher: what runs here ends without an answer, and for what waited for proof an abort is
        due. The same holds for all where the broker has not kept the session.
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
        """The answer, and with it the acknowledgement where that is still due."""
        with_acknowledgement = delivery.plan is AcknowledgementPlan.LAST and delivery.packet_id is not None
        delivery.state = DeliveryState.DONE
        delivery.answered_on = self._connection
        if with_acknowledgement and delivery.qos == AT_LEAST_ONCE and not self._resuming:
            # after a break it may still be on its way to us again
            self._forget(delivery)
        self.actions.answer(delivery, with_acknowledgement)

    def _reject(self, delivery: Delivery) -> None:
        """Acknowledged with its rejection: it never ran."""
        if delivery.qos == AT_LEAST_ONCE and not self._resuming:
            self._forget(delivery)
        delivery.state = DeliveryState.DONE
        delivery.answered_on = self._connection
        self.actions.reject(delivery)

    def _packet_id_reused(self, old: Delivery) -> None:
        """Its number stands for another message now: the broker has done with it, or has lost it."""
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
    """The packet identifier of a delivery that the broker knows."""
    assert delivery.packet_id is not None
    return delivery.packet_id


def _is_answer_due(delivery: Delivery) -> bool:
    """Whether it runs here or has run, and its answer has not left."""
    return delivery.state in (DeliveryState.RUNNING, DeliveryState.ANSWER_READY)


def _may_be_elsewhere(delivery: Delivery) -> bool:
    """Whether the broker may have given it to another dispatcher while the connection was broken."""
    if delivery.qos != AT_LEAST_ONCE:
        return False
    is_repeatable = delivery.plan is AcknowledgementPlan.LAST
    return delivery.state is DeliveryState.PROVING or (is_repeatable and _is_answer_due(delivery))
