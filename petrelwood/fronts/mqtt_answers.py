"""Answers on their way to the broker: packet identifiers, acknowledgements, and what waits."""

from collections import OrderedDict, deque

from petrelwood.decide.delivery.mqtt_acknowledgement import AT_LEAST_ONCE, EXACTLY_ONCE
from petrelwood.fronts.interfaces import MqttTerms
from petrelwood.fronts.mqtt_connection import MqttConnection
from petrelwood.fronts.mqtt_counts import MqttCounts
from petrelwood.fronts.mqtt_message import Answer
from petrelwood.links import packets
from petrelwood.links.interfaces import Logger

PACKET_IDS = 256  # few, so that a new process can release all that an earlier one had used
IDS_LEFT_FREE = 8  # for SUBSCRIBE and UNSUBSCRIBE
DEFAULT_RECEIVE_MAXIMUM = 65_535  # the standard's, where the broker says none
FIRST_ERROR_CODE = 0x80  # reason codes from here on are errors


class AnswerSender:
    """The answers of one session. One that can't be sent yet is queued, up to `terms.max_queued_answers`."""

    def __init__(
        self, terms: MqttTerms, connection: MqttConnection, counts: MqttCounts, log: Logger, customer: str
    ) -> None:
        self.queued: deque[packets.Packet] = deque()
        # by packet identifier, in the order of sending; None: released, its PUBCOMP is still to come
        self.in_flight: OrderedDict[int, packets.Packet | None] = OrderedDict()
        # The broker may remember identifiers that an earlier process had used, and would take an answer under
        # one of them for a repeat: until they are released none of QoS 2 is sent.
        self.awaits_release = True
        self._terms = terms
        self._connection = connection
        self._counts = counts
        self._log = log
        self._customer = customer
        self._last_id = 0
        self._receive_maximum = DEFAULT_RECEIVE_MAXIMUM

    def next_id(self) -> int:
        """Return a packet identifier that is free.

        Raises:
            packets.MqttError: There is none.
        """
        for _ in range(PACKET_IDS):
            self._last_id = self._last_id % PACKET_IDS + 1
            if self._last_id not in self.in_flight:
                return self._last_id
        raise packets.MqttError(packets.QUOTA, "no packet identifier is free")

    def connection_accepted(self, accepted: packets.Packet) -> None:
        """Take the broker's Receive Maximum from the CONNACK of a connection."""
        most = accepted.props.get("receive_maximum", DEFAULT_RECEIVE_MAXIMUM)
        self._receive_maximum = min(most, PACKET_IDS - IDS_LEFT_FREE)

    def release_earlier(self, session_present: bool) -> None:
        """Release what an earlier process has begun to send, if the broker has a session of one."""
        if not self.awaits_release:
            return
        if session_present:
            released = (packets.Packet(packets.PUBREL, id_) for id_ in range(1, PACKET_IDS + 1))
            self._connection.write(*released)
        else:
            self.awaits_release = False

    def earlier_released(self) -> None:
        """Send what waits for the release: the broker has answered a PINGREQ that followed it."""
        if self.awaits_release:
            self.awaits_release = False
            self.send_queued()

    def prepare(
        self, topic: str, correlation: bytes | None, answer: Answer, qos: int
    ) -> packets.Packet | None:
        """Return the packet of an answer, which the caller writes; None if it is queued or dropped."""
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
        """Send what was queued, as far as the broker takes it."""
        while self.queued and self._may_send() and not self.awaits_release:
            packet = self.queued.popleft()
            self._assign_id(packet)
            self._connection.write(packet)

    def on_puback(self, packet: packets.Packet) -> None:
        """Finish an answer of QoS 1; a late PUBACK for an earlier use of the identifier is ignored."""
        answer = self.in_flight.get(packet.id)
        if answer is not None and answer.qos == AT_LEAST_ONCE:
            self._finish(packet)

    def on_pubrec(self, packet: packets.Packet) -> None:
        """Release an answer of QoS 2, or finish it if the broker rejects it."""
        if packet.code >= FIRST_ERROR_CODE:
            self._finish(packet)
            return
        is_known = packet.id in self.in_flight
        if is_known:
            self.in_flight[packet.id] = None
        code = packets.SUCCESS if is_known else packets.ID_UNKNOWN
        self._connection.write(packets.Packet(packets.PUBREL, packet.id, code))

    def on_pubcomp(self, packet: packets.Packet) -> None:
        """Finish an answer of QoS 2: its identifier is free again."""
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
        """Send again after a reconnect what the broker may not have.

        An answer of QoS 1 was written together with the acknowledgement of its message: the broker delivers
        the message again if it has neither, so the answer is not sent again here. Answers of QoS 2 are
        continued where the broker has kept the session, and sent anew where it has not.
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
    """Return the PUBLISH of an answer, without an identifier yet."""
    props: packets.Properties = {"content_type": "application/json", "user": answer.properties}
    if correlation is not None:
        props["correlation_data"] = correlation
    return packets.Packet(
        packets.PUBLISH, 0, topic=topic, payload=answer.body, qos=qos, dup=0, retain=0, props=props
    )
