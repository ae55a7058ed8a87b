"""Decoding of the PUBLISH packets of one customer: topic, message id and patience."""

from petrelwood.decide.delivery import mqtt_topics
from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.errors import ProtocolError
from petrelwood.fronts.interfaces import FunctionRule, MqttCore
from petrelwood.fronts.mqtt_message import AnswerHandler, Message
from petrelwood.links import packets

SECOND = 1_000_000_000  # ns
EXPIRED = 1  # ns; the patience of a message that expired in transit, so that it is rejected


class MessageRejectedError(ProtocolError):
    """A message is not a valid activation.

    `code` is the reason code of its acknowledgement; `response_topic` is the topic of its answer, None if it
    may not be answered. `str()` is the detail of the answer.
    """

    def __init__(self, code: int, detail: str, response_topic: str | None) -> None:
        super().__init__(detail)
        self.code = code
        self.response_topic = response_topic


class MessageDecoder:
    """Decodes the messages of one customer, whose session at the broker is `client_id`."""

    def __init__(self, core: MqttCore, handler: AnswerHandler, customer: str, client_id: str) -> None:
        self._core = core
        self._handler = handler
        self._customer = customer
        self._client_id = client_id
        self._topics_by_alias: dict[int, str] = {}
        self._messages = 0
        self.last_timestamp = 0  # ns

    def connection_opened(self) -> None:
        """Clear the topic aliases, which are valid for one connection."""
        self._topics_by_alias = {}

    def topic_of(self, packet: packets.Packet) -> str:
        """Return the topic of a message, and store its alias.

        Raises:
            packets.MqttError: The alias was not defined on this connection.
        """
        alias = packet.props.get("topic_alias")
        if alias is None:
            return packet.topic
        if packet.topic:
            self._topics_by_alias[alias] = packet.topic
        elif alias not in self._topics_by_alias:
            raise packets.MqttError(packets.BAD_ALIAS, "the topic alias was not defined on this connection")
        return self._topics_by_alias[alias]

    def decode(self, packet: packets.Packet, topic: str, now: int) -> Message:
        """Return the message of a packet; `now` is the clock of the core, in ns.

        Raises:
            MessageRejectedError: It is not a valid activation, or its response topic is not allowed.
        """
        response_topic = packet.props.get("response_topic")
        request = mqtt_topics.parse_request(topic, self._customer)
        rule = None if request.rejection_reason else self._core.rule(request.function)
        reason = _reason_to_reject(request, rule)
        if response_topic is not None and not mqtt_topics.is_allowed_response_topic(
            response_topic, self._customer
        ):
            raise MessageRejectedError(packets.NOT_AUTHORIZED, reason, None)
        if reason or rule is None:
            raise MessageRejectedError(packets.BAD_TOPIC, reason, response_topic)
        return Message(
            self._handler,
            self._activation_request(packet, rule, now),
            request.function,
            rule,
            packet.payload,
            response_topic,
            packet.props.get("correlation_data"),
            self._core.terms.types[rule.type].target_latency,
        )

    def _activation_request(self, packet: packets.Packet, rule: FunctionRule, now: int) -> ActivationRequest:
        """Return the message as a request for the intake.

        Its timestamp is not signed. It only has to be later than those of earlier messages, even if the wall
        clock is stepped back.
        """
        self._messages += 1
        id_ = mqtt_topics.message_id(
            packet.props.get("response_topic"),
            packet.props.get("correlation_data"),
            self._client_id,
            self._messages,
        )
        core = self._core
        newer = core.required_ledger.next_timestamp(
            (self._customer, id_), rule.type, core.clock.steady_wall()
        )
        self.last_timestamp = max(self.last_timestamp + 1, newer)
        return ActivationRequest(self._customer, id_, self.last_timestamp, rule.type, now, patience(packet))


def patience(packet: packets.Packet) -> int:
    """Return how long the client waits, in ns; 0 if the message does not say."""
    expiry = packet.props.get("message_expiry")
    if expiry is None:
        return 0
    return expiry * SECOND or EXPIRED


def fingerprint(packet: packets.Packet, topic: str) -> int:
    """Return a hash that distinguishes messages with the same packet identifier."""
    props = packet.props
    return hash((topic, props.get("response_topic"), props.get("correlation_data"), packet.payload))


def _reason_to_reject(request: mqtt_topics.TopicRequest, rule: FunctionRule | None) -> str:
    """Return why a message is not a valid activation; empty if it is valid."""
    if request.rejection_reason:
        return request.rejection_reason
    if rule is None:
        return "there is no such function"
    if rule.type != request.type:
        return "the function is of another namespace type"
    return ""
