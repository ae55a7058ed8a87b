"""Decoding of packets; MqttError for anything that the standard does not allow."""

from collections.abc import Callable

from petrelwood.links.mqtt.codes import ACKNOWLEDGEMENTS, PACKET_TYPES, PacketType, ReasonCode
from petrelwood.links.mqtt.encoding import (
    CLEAN_START,
    HAS_PASSWORD,
    HAS_USER,
    HAS_WILL,
    PROTOCOL_VERSION,
    REQUIRED_FLAGS,
    WILL_QOS_SHIFT,
    WILL_RETAIN_SHIFT,
)
from petrelwood.links.mqtt.errors import MqttError
from petrelwood.links.mqtt.packet import Packet, Subscription
from petrelwood.links.mqtt.primitives import BodyReader
from petrelwood.links.mqtt.properties import WILL, Properties, decode_properties
from petrelwood.links.mqtt.topics import is_topic_filter, is_topic_name

PUBLISH = PacketType.PUBLISH
TYPES_WITH_FLAGS = (PacketType.PUBREL, PacketType.SUBSCRIBE, PacketType.UNSUBSCRIBE)
FLAGS_MASK = 0x0F
QOS_MASK = 3
NO_QOS = 3  # both bits set is not a valid quality of service
DUP = 8  # bit in the flags of a PUBLISH
# Bits in the flags of a CONNECT
CONNECT_RESERVED = 0x01
WILL_QOS_MASK = NO_QOS << WILL_QOS_SHIFT
WILL_MASK = WILL_QOS_MASK | 1 << WILL_RETAIN_SHIFT
# Bits in the options of a subscription
OPTIONS_RESERVED = 0xC0
RETAIN_HANDLING_SHIFT = 4
NO_RETAIN_HANDLING = 3  # not a valid retain handling


def decode(first_byte: int, data: bytes) -> Packet:
    """Return the packet with this first byte and body.

    Raises:
        MqttError: The standard does not allow this packet.
    """
    packet_type = PACKET_TYPES[first_byte >> 4]
    flags = first_byte & FLAGS_MASK
    required = REQUIRED_FLAGS if packet_type in TYPES_WITH_FLAGS else 0
    if packet_type is None or (packet_type is not PUBLISH and flags != required):
        raise MqttError(ReasonCode.MALFORMED, "the flags are invalid for the packet type")
    body = BodyReader(data)
    if packet_type is PUBLISH:
        packet = _decode_publish(flags, body)
    else:
        packet = DECODERS[packet_type](packet_type, body)
    if not body.is_at_end:
        raise MqttError(ReasonCode.MALFORMED, "the packet is longer than its contents")
    return packet


def _decode_publish(flags: int, body: BodyReader) -> Packet:
    qos = flags >> 1 & QOS_MASK
    if qos == NO_QOS or flags & DUP and not qos:
        raise MqttError(ReasonCode.MALFORMED, "the quality of service is invalid")
    topic = body.text()
    identifier = body.identifier() if qos else 0
    props = decode_properties(body, PUBLISH)
    if not is_topic_name(topic) if topic else "topic_alias" not in props:
        raise MqttError(ReasonCode.BAD_TOPIC, "the topic name is invalid")
    return Packet(
        PUBLISH,
        identifier,
        topic=topic,
        payload=body.rest(),
        qos=qos,
        dup=flags >> 3 & 1,
        retain=flags & 1,
        props=props,
    )


def _decode_acknowledgement(packet_type: PacketType, body: BodyReader) -> Packet:
    return _decode_code(packet_type, body.identifier(), body)


def _decode_end(packet_type: PacketType, body: BodyReader) -> Packet:
    return _decode_code(packet_type, 0, body)


def _decode_code(packet_type: PacketType, identifier: int, body: BodyReader) -> Packet:
    """Decode a reason code and properties; the properties, or both, may be omitted."""
    if body.is_at_end:
        return Packet(packet_type, identifier)
    code = body.byte()
    props = Properties() if body.is_at_end else decode_properties(body, packet_type)
    return Packet(packet_type, identifier, code, props=props)


def _decode_connect(packet_type: PacketType, body: BodyReader) -> Packet:
    protocol = body.text()
    version = body.byte()
    if protocol != "MQTT" or version != PROTOCOL_VERSION:
        raise MqttError(ReasonCode.UNSUPPORTED_VERSION, "only MQTT 5 is supported")
    flags = body.byte()
    keep_alive = body.two_bytes()
    is_will_invalid = flags & WILL_QOS_MASK == WILL_QOS_MASK or not flags & HAS_WILL and flags & WILL_MASK
    if flags & CONNECT_RESERVED or is_will_invalid:
        raise MqttError(ReasonCode.MALFORMED, "the flags of a CONNECT are invalid")
    props = decode_properties(body, packet_type)
    client = body.text()
    will = _decode_will(flags, body) if flags & HAS_WILL else None
    user = body.text() if flags & HAS_USER else None
    password = body.binary() if flags & HAS_PASSWORD else None
    return Packet(
        packet_type,
        props=props,
        client=client,
        user=user,
        password=password,
        clean=int(bool(flags & CLEAN_START)),
        keep_alive=keep_alive,
        will=will,
    )


def _decode_will(flags: int, body: BodyReader) -> Packet:
    props = decode_properties(body, WILL)
    topic = body.text()
    payload = body.binary()
    if not is_topic_name(topic):
        raise MqttError(ReasonCode.BAD_TOPIC, "the topic name of the will is invalid")
    qos = flags >> WILL_QOS_SHIFT & QOS_MASK
    retain = flags >> WILL_RETAIN_SHIFT & 1
    return Packet(PUBLISH, topic=topic, payload=payload, qos=qos, dup=0, retain=retain, props=props)


def _decode_connack(packet_type: PacketType, body: BodyReader) -> Packet:
    present = body.byte()
    if present > 1:
        raise MqttError(ReasonCode.MALFORMED, "the flags of a CONNACK are invalid")
    code = body.byte()
    return Packet(packet_type, code=code, present=present, props=decode_properties(body, packet_type))


def _decode_subscribe(packet_type: PacketType, body: BodyReader) -> Packet:
    packet = _decode_head(packet_type, body)
    subscriptions = []
    while not body.is_at_end:
        topic_filter = _decode_topic_filter(body)
        options = body.byte()
        is_handling_invalid = options >> RETAIN_HANDLING_SHIFT & NO_RETAIN_HANDLING == NO_RETAIN_HANDLING
        if options & OPTIONS_RESERVED or options & QOS_MASK == NO_QOS or is_handling_invalid:
            raise MqttError(ReasonCode.PROTOCOL, "the subscription options are invalid")
        subscriptions.append(Subscription(topic_filter, options))
    if not subscriptions:
        raise MqttError(ReasonCode.PROTOCOL, "no topic filter")
    packet.subscriptions = subscriptions
    return packet


def _decode_unsubscribe(packet_type: PacketType, body: BodyReader) -> Packet:
    packet = _decode_head(packet_type, body)
    topic_filters = []
    while not body.is_at_end:
        topic_filters.append(_decode_topic_filter(body))
    if not topic_filters:
        raise MqttError(ReasonCode.PROTOCOL, "no topic filter")
    packet.topic_filters = topic_filters
    return packet


def _decode_topic_filter(body: BodyReader) -> str:
    topic_filter = body.text()
    if not is_topic_filter(topic_filter):
        raise MqttError(ReasonCode.BAD_FILTER, "the topic filter is invalid")
    return topic_filter


def _decode_suback(packet_type: PacketType, body: BodyReader) -> Packet:
    packet = _decode_head(packet_type, body)
    packet.codes = list(body.rest())
    return packet


def _decode_head(packet_type: PacketType, body: BodyReader) -> Packet:
    return Packet(packet_type, body.identifier(), props=decode_properties(body, packet_type))


def _decode_nothing(packet_type: PacketType, body: BodyReader) -> Packet:
    return Packet(packet_type)


DECODERS: dict[PacketType, Callable[[PacketType, BodyReader], Packet]] = {
    PacketType.CONNECT: _decode_connect,
    PacketType.CONNACK: _decode_connack,
    PacketType.SUBSCRIBE: _decode_subscribe,
    PacketType.UNSUBSCRIBE: _decode_unsubscribe,
    PacketType.SUBACK: _decode_suback,
    PacketType.UNSUBACK: _decode_suback,
    PacketType.PINGREQ: _decode_nothing,
    PacketType.PINGRESP: _decode_nothing,
    PacketType.DISCONNECT: _decode_end,
    PacketType.AUTH: _decode_end,
    **dict.fromkeys(ACKNOWLEDGEMENTS, _decode_acknowledgement),
}
