"""Decoding of the PUBLISH packets of one customer: topic, identity, patience."""

from petrelwood.decide.delivery import mqtt_topics
from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.errors import ProtocolError
from petrelwood.fronts.interfaces import FunctionRule, MqttCore
from petrelwood.fronts.mqtt_message import AnswerHandler, Message
from petrelwood.links import packets

SECOND = 1_000_000_000  # ns
EXPIRED = 1  # ns of patience: a message that has expired on its way can only be rejected


class MessageRejectedError(ProtocolError):
    """A message that is no activation.

    `code` is the reason code of its acknowledgement; `response_topic` is where it is answered, None where it
    may not be. `str()` is the detail of the answer.
    """

    def __init__(self, code: int, detail: str, response_topic: str | None) -> None:
        super().__init__(detail)
        self.code = code
        self.response_topic = response_topic


class MessageDecoder:
    """Decodes the messages of one customer, whose session is `client_id` at the broker."""

    def __init__(self, core: MqttCore, handler: AnswerHandler, customer: str, client_id: str) -> None:
        self._core = core
        self._handler = handler
        self._customer = customer
        self._client_id = client_id
        self._topics_by_alias: dict[int, str] = {}
        self._messages = 0
        self.last_timestamp = 0  # ns

    def connection_opened(self) -> None:
        """Forget the topic aliases, which last for one connection."""
        self._topics_by_alias = {}

    def topic_of(self, packet: packets.Packet) -> str:
        """Return the topic of a message, and note its alias.

        Raises:
            packets.MqttError: It has an alias that was not given on this connection.
        """
        alias = packet.props.get("topic_alias")
        if alias is None:
            return packet.topic
        if packet.topic:
            self._topics_by_alias[alias] = packet.topic
        elif alias not in self._topics_by_alias:
            raise packets.MqttError(packets.BAD_ALIAS, "a topic alias that was never given")
        return self._topics_by_alias[alias]

    def decode(self, packet: packets.Packet, topic: str, now: int) -> Message:
        """Return the message of a packet; `now` is the clock of the core, in ns.

        Raises:
            MessageRejectedError: It is no activation, or its answer may not go where it wants.
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
        """Return the message as the intake sees it.

        Nobody signs its timestamp: it only has to be newer than what came before, whatever the wall clock
        does.
        """
        self._messages += 1
        id_ = mqtt_topics.message_id(
            packet.props.get("response_topic"),
            packet.props.get("correlation_data"),
            self._client_id,
            self._messages,
        )
        core = self._core
        newer = core.known_ids.next_timestamp((self._customer, id_), rule.type, core.clock.steady_wall())
        self.last_timestamp = max(self.last_timestamp + 1, newer)
        return ActivationRequest(self._customer, id_, self.last_timestamp, rule.type, now, patience(packet))


def patience(packet: packets.Packet) -> int:
    """Return how long the client waits, in ns; 0 where it does not say."""
    expiry = packet.props.get("message_expiry")
    if expiry is None:
        return 0
    return expiry * SECOND or EXPIRED


def fingerprint(packet: packets.Packet, topic: str) -> int:
    """Return what tells a message from another under the same packet identifier."""
    props = packet.props
    return hash((topic, props.get("response_topic"), props.get("correlation_data"), packet.payload))


def _reason_to_reject(request: mqtt_topics.TopicRequest, rule: FunctionRule | None) -> str:
    """Return why a message can't be an activation; empty if it can."""
    if request.rejection_reason:
        return request.rejection_reason
    if rule is None:
        return "there is no such function"
    if rule.type != request.type:
        return "the function is of another namespace type"
    return ""
