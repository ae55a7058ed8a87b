"""Sending of answers to the broker: packet identifiers, acknowledgements and the queue."""

from collections import OrderedDict, deque

from petrelwood.decide.delivery.mqtt_acknowledgement import AT_LEAST_ONCE, EXACTLY_ONCE
from petrelwood.fronts.interfaces import MqttTerms
from petrelwood.fronts.mqtt_connection import MqttConnection
from petrelwood.fronts.mqtt_counts import MqttCounts
from petrelwood.fronts.mqtt_message import Answer
from petrelwood.links import packets
from petrelwood.links.interfaces import Logger

PACKET_IDS = 256  # few, so that a new process can release all identifiers that an earlier process used
RESERVED_IDS = 8  # for SUBSCRIBE and UNSUBSCRIBE
DEFAULT_RECEIVE_MAXIMUM = 65_535  # default of the standard, if the broker sends no Receive Maximum
FIRST_ERROR_CODE = 0x80  # reason codes at or above this are errors


class AnswerSender:
    """Sends the answers of one session; queues up to `terms.max_queued_answers` that can't be sent yet."""

    def __init__(
        self, terms: MqttTerms, connection: MqttConnection, counts: MqttCounts, log: Logger, customer: str
    ) -> None:
        self.queued: deque[packets.Packet] = deque()
        # Sent answers by packet identifier, in the order of sending. None: released, awaiting its PUBCOMP.
        self.in_flight: OrderedDict[int, packets.Packet | None] = OrderedDict()
        # The broker may remember identifiers of an earlier process, and would treat a new answer with one of
        # them as a duplicate. No answer of QoS 2 is sent until these identifiers are released.
        self.awaits_release = True
        self._terms = terms
        self._connection = connection
        self._counts = counts
        self._log = log
        self._customer = customer
        self._last_id = 0
        self._receive_maximum = DEFAULT_RECEIVE_MAXIMUM

    def next_id(self) -> int:
        """Return a free packet identifier.

        Raises:
            packets.MqttError: All packet identifiers are in use.
        """
        for _ in range(PACKET_IDS):
            self._last_id = self._last_id % PACKET_IDS + 1
            if self._last_id not in self.in_flight:
                return self._last_id
        raise packets.MqttError(packets.QUOTA, "no packet identifier is free")

    def connection_accepted(self, accepted: packets.Packet) -> None:
        """Apply the Receive Maximum of the broker's CONNACK."""
        receive_maximum = accepted.props.get("receive_maximum", DEFAULT_RECEIVE_MAXIMUM)
        self._receive_maximum = min(receive_maximum, PACKET_IDS - RESERVED_IDS)

    def release_earlier(self, session_present: bool) -> None:
        """Release the identifiers of an earlier process if the broker resumed its session."""
        if not self.awaits_release:
            return
        if session_present:
            released = (packets.Packet(packets.PUBREL, id_) for id_ in range(1, PACKET_IDS + 1))
            self._connection.write(*released)
        else:
            self.awaits_release = False

    def earlier_released(self) -> None:
        """Send the answers that awaited the release: the broker has answered a PINGREQ sent after it."""
        if self.awaits_release:
            self.awaits_release = False
            self.send_queued()

    def prepare(
        self, topic: str, correlation: bytes | None, answer: Answer, qos: int
    ) -> packets.Packet | None:
        """Return the packet of an answer for the caller to write; None if it was queued or dropped."""
        packet = _publish(topic, correlation, answer, qos)
        self._counts.answers += 1
        if not self._may_send() or (self.awaits_release and qos == EXACTLY_ONCE):
            if len(self.queued) < self._terms.max_queued_answers:
                self.queued.append(packet)
            return None
        self._assign_id(packet)
        return packet

    def _may_send(self) -> bool:
        return self._connection.is_up and len(self.in_flight) < self._receive_maximum

    def _assign_id(self, packet: packets.Packet) -> None:
        packet.id = self.next_id()
        self.in_flight[packet.id] = packet

    def send_queued(self) -> None:
        """Send queued answers, up to the broker's Receive Maximum."""
        while self.queued and self._may_send() and not self.awaits_release:
            packet = self.queued.popleft()
            self._assign_id(packet)
            self._connection.write(packet)

    def on_puback(self, packet: packets.Packet) -> None:
        """Finish an answer of QoS 1; ignore a late PUBACK for an earlier use of the identifier."""
        answer = self.in_flight.get(packet.id)
        if answer is not None and answer.qos == AT_LEAST_ONCE:
            self._finish(packet)

    def on_pubrec(self, packet: packets.Packet) -> None:
        """Release an answer of QoS 2, or finish it if the broker rejected it."""
        if packet.code >= FIRST_ERROR_CODE:
            self._finish(packet)
            return
        is_known = packet.id in self.in_flight
        if is_known:
            self.in_flight[packet.id] = None
        code = packets.SUCCESS if is_known else packets.ID_UNKNOWN
        self._connection.write(packets.Packet(packets.PUBREL, packet.id, code))

    def on_pubcomp(self, packet: packets.Packet) -> None:
        """Finish an answer of QoS 2 and free its identifier."""
        if packet.id in self.in_flight and self.in_flight[packet.id] is None:
            self._finish(packet)

    def _finish(self, acknowledgement: packets.Packet) -> None:
        self.in_flight.pop(acknowledgement.id, None)
        if acknowledgement.code >= FIRST_ERROR_CODE:
            self._log.info(
                "answer rejected by the broker", customer=self._customer, code=hex(acknowledgement.code)
            )
        self.send_queued()

    def resend(self, session_present: bool) -> None:
        """Send answers again after a reconnect that the broker may not have received.

        An answer of QoS 1 was written together with the acknowledgement of its message. If the broker
        received neither, it delivers the message again, so the answer is not sent again here. An answer of
        QoS 2 is continued if the broker kept the session, and sent as a new message if it did not.
        """
        earlier = self.in_flight
        self.in_flight = OrderedDict()
        for id_, packet in earlier.items():
            if packet is None:
                if session_present:
                    self.in_flight[id_] = None
                    self._connection.write(packets.Packet(packets.PUBREL, id_))
            elif packet.qos == EXACTLY_ONCE:
                if not session_present:
                    packet.id = self.next_id()
                self.in_flight[packet.id] = packet
                packet.dup = int(session_present)
                self._connection.write(packet)
        self.send_queued()


def _publish(topic: str, correlation: bytes | None, answer: Answer, qos: int) -> packets.Packet:
    """Return the PUBLISH of an answer, without a packet identifier."""
    props: packets.Properties = {"content_type": "application/json", "user": answer.properties}
    if correlation is not None:
        props["correlation_data"] = correlation
    return packets.Packet(
        packets.PUBLISH, 0, topic=topic, payload=answer.body, qos=qos, dup=0, retain=0, props=props
    )
