"""Encoding of packets."""

from collections.abc import Callable

from petrelwood.links.mqtt.codes import ACKNOWLEDGEMENTS, PacketType
from petrelwood.links.mqtt.packet import Packet
from petrelwood.links.mqtt.primitives import TWO_BYTES, encode_text, encode_varint
from petrelwood.links.mqtt.properties import encode_properties

PROTOCOL_NAME = encode_text("MQTT")
PROTOCOL_VERSION = 5
REQUIRED_FLAGS = 2  # the flags of PUBREL, SUBSCRIBE and UNSUBSCRIBE
# Bits in the flags of a CONNECT
CLEAN_START = 0x02
HAS_WILL = 0x04
WILL_QOS_SHIFT = 3
WILL_RETAIN_SHIFT = 5
HAS_PASSWORD = 0x40
HAS_USER = 0x80


PUBREL = PacketType.PUBREL
FlagsAndBody = tuple[int, bytes]
"""The flags in the first byte of a packet, and everything after the length field."""


def encode(packet: Packet) -> bytes:
    """Return the bytes of a packet. Raises ValueError if a string is too long."""
    flags, body = ENCODERS[packet.type](packet)
    return bytes((packet.type << 4 | flags,)) + encode_varint(len(body)) + body


def _encode_publish(packet: Packet) -> FlagsAndBody:
    flags = packet.dup << 3 | packet.qos << 1 | packet.retain
    identifier = TWO_BYTES.pack(packet.id) if packet.qos else b""
    head = encode_text(packet.topic) + identifier + encode_properties(packet.props)
    return (flags, head + packet.payload)


def _encode_acknowledgement(packet: Packet) -> FlagsAndBody:
    flags = REQUIRED_FLAGS if packet.type == PUBREL else 0
    return (flags, TWO_BYTES.pack(packet.id) + _encode_code(packet))


def _encode_end(packet: Packet) -> FlagsAndBody:
    return (0, _encode_code(packet))


def _encode_code(packet: Packet) -> bytes:
    """Return the reason code and the properties; omit the properties, or both, if they are empty."""
    if not packet.code and not packet.props:
        return b""
    return bytes((packet.code,)) + (encode_properties(packet.props) if packet.props else b"")


def _encode_connect(packet: Packet) -> FlagsAndBody:
    flags = CLEAN_START if packet.clean else 0
    payload = encode_text(packet.client)
    will = packet.will
    if will is not None:
        flags |= HAS_WILL | will.qos << WILL_QOS_SHIFT | will.retain << WILL_RETAIN_SHIFT
        payload += encode_properties(will.props) + encode_text(will.topic) + encode_text(will.payload)
    if packet.user is not None:
        flags |= HAS_USER
        payload += encode_text(packet.user)
    if packet.password is not None:
        flags |= HAS_PASSWORD
        payload += encode_text(packet.password)
    head = PROTOCOL_NAME + bytes((PROTOCOL_VERSION, flags)) + TWO_BYTES.pack(packet.keep_alive)
    return (0, head + encode_properties(packet.props) + payload)


def _encode_connack(packet: Packet) -> FlagsAndBody:
    return (0, bytes((packet.present, packet.code)) + encode_properties(packet.props))


def _encode_subscribe(packet: Packet) -> FlagsAndBody:
    filters = [encode_text(each.topic_filter) + bytes((each.options,)) for each in packet.subscriptions]
    return (REQUIRED_FLAGS, _encode_head(packet) + b"".join(filters))


def _encode_unsubscribe(packet: Packet) -> FlagsAndBody:
    return (REQUIRED_FLAGS, _encode_head(packet) + b"".join(map(encode_text, packet.topic_filters)))


def _encode_suback(packet: Packet) -> FlagsAndBody:
    return (0, _encode_head(packet) + bytes(packet.codes))


def _encode_head(packet: Packet) -> bytes:
    return TWO_BYTES.pack(packet.id) + encode_properties(packet.props)


def _encode_nothing(packet: Packet) -> FlagsAndBody:
    return (0, b"")


ENCODERS: dict[PacketType, Callable[[Packet], FlagsAndBody]] = {
    PacketType.PUBLISH: _encode_publish,
    PacketType.CONNECT: _encode_connect,
    PacketType.CONNACK: _encode_connack,
    PacketType.SUBSCRIBE: _encode_subscribe,
    PacketType.UNSUBSCRIBE: _encode_unsubscribe,
    PacketType.SUBACK: _encode_suback,
    PacketType.UNSUBACK: _encode_suback,
    PacketType.PINGREQ: _encode_nothing,
    PacketType.PINGRESP: _encode_nothing,
    PacketType.DISCONNECT: _encode_end,
    PacketType.AUTH: _encode_end,
    **dict.fromkeys(ACKNOWLEDGEMENTS, _encode_acknowledgement),
}
