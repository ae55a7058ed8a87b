"""The properties of packets (section 2.2.2): by name here, by number on the wire."""

import struct
from collections.abc import Callable, Iterable
from enum import IntEnum, auto
from typing import NamedTuple, TypedDict, cast

from petrelwood.links.mqtt.codes import ACKNOWLEDGEMENTS, PacketType, ReasonCode
from petrelwood.links.mqtt.errors import MqttError
from petrelwood.links.mqtt.primitives import (
    BYTE,
    FOUR_BYTES,
    TWO_BYTES,
    BodyReader,
    encode_text,
    encode_varint,
)

CONNECT = PacketType.CONNECT
CONNACK = PacketType.CONNACK
PUBLISH = PacketType.PUBLISH
SUBSCRIBE = PacketType.SUBSCRIBE
UNSUBSCRIBE = PacketType.UNSUBSCRIBE
SUBACK = PacketType.SUBACK
UNSUBACK = PacketType.UNSUBACK
DISCONNECT = PacketType.DISCONNECT
AUTH = PacketType.AUTH
Carrier = PacketType | None
WILL: Carrier = None  # the properties of a will have no packet of their own


class Properties(TypedDict, total=False):
    """The properties of one packet, or of a will."""

    payload_format: int
    message_expiry: int  # seconds
    content_type: str
    response_topic: str
    correlation_data: bytes
    subscription_id: int | list[int]  # a list in a PUBLISH
    session_expiry: int  # seconds
    assigned_client: str
    server_keep_alive: int  # seconds
    auth_method: str
    auth_data: bytes
    problem_information: int
    will_delay: int  # seconds
    response_information: int
    response_info: str
    server_reference: str
    reason: str
    receive_maximum: int
    topic_alias_maximum: int
    topic_alias: int
    maximum_qos: int
    retain_available: int
    user: list[tuple[str, str]]
    maximum_packet: int  # bytes
    wildcards: int
    subscription_ids: int
    shared: int


class Form(IntEnum):
    """The encoding of a property's value; an IntEnum, because its members are fast keys of a dict."""

    FLAG = auto()  # a byte that is 0 or 1
    TWO_BYTES = auto()
    FOUR_BYTES = auto()
    VARINT = auto()
    TEXT = auto()
    BINARY = auto()
    TEXT_PAIRS = auto()  # may occur several times


class Property(NamedTuple):
    """One property.

    Attributes:
        name: The name, as in `Properties`.
        number: The property identifier on the wire.
        form: The encoding of its value.
        carriers: The packets that may contain it.
        may_be_zero: Whether 0 is a valid value.
    """

    name: str
    number: int
    form: Form
    carriers: frozenset[Carrier]
    may_be_zero: bool = True


def _table() -> tuple[Property, ...]:
    answers = frozenset((CONNACK, *ACKNOWLEDGEMENTS, SUBACK, UNSUBACK, DISCONNECT, AUTH))
    published = frozenset((PUBLISH, WILL))
    connecting = frozenset((CONNECT, CONNACK))
    authenticating = connecting | {AUTH}
    accepted = frozenset((CONNACK,))
    anything = answers | {CONNECT, PUBLISH, SUBSCRIBE, UNSUBSCRIBE, WILL}
    return (
        Property("payload_format", 0x01, Form.FLAG, published),
        Property("message_expiry", 0x02, Form.FOUR_BYTES, published),
        Property("content_type", 0x03, Form.TEXT, published),
        Property("response_topic", 0x08, Form.TEXT, published),
        Property("correlation_data", 0x09, Form.BINARY, published),
        Property("subscription_id", 0x0B, Form.VARINT, frozenset((PUBLISH, SUBSCRIBE)), False),
        Property("session_expiry", 0x11, Form.FOUR_BYTES, connecting | {DISCONNECT}),
        Property("assigned_client", 0x12, Form.TEXT, accepted),
        Property("server_keep_alive", 0x13, Form.TWO_BYTES, accepted),
        Property("auth_method", 0x15, Form.TEXT, authenticating),
        Property("auth_data", 0x16, Form.BINARY, authenticating),
        Property("problem_information", 0x17, Form.FLAG, frozenset((CONNECT,))),
        Property("will_delay", 0x18, Form.FOUR_BYTES, frozenset((WILL,))),
        Property("response_information", 0x19, Form.FLAG, frozenset((CONNECT,))),
        Property("response_info", 0x1A, Form.TEXT, accepted),
        Property("server_reference", 0x1C, Form.TEXT, accepted | {DISCONNECT}),
        Property("reason", 0x1F, Form.TEXT, answers),
        Property("receive_maximum", 0x21, Form.TWO_BYTES, connecting, False),
        Property("topic_alias_maximum", 0x22, Form.TWO_BYTES, connecting),
        Property("topic_alias", 0x23, Form.TWO_BYTES, frozenset((PUBLISH,)), False),
        Property("maximum_qos", 0x24, Form.FLAG, accepted),
        Property("retain_available", 0x25, Form.FLAG, accepted),
        Property("user", 0x26, Form.TEXT_PAIRS, anything),
        Property("maximum_packet", 0x27, Form.FOUR_BYTES, connecting, False),
        Property("wildcards", 0x28, Form.FLAG, accepted),
        Property("subscription_ids", 0x29, Form.FLAG, accepted),
        Property("shared", 0x2A, Form.FLAG, accepted),
    )


# Module names for the enum members that every property is compared with: Python 3.11 is slow to look up a
# member on its enum.
FLAG = Form.FLAG
VARINT = Form.VARINT
TEXT = Form.TEXT
BINARY = Form.BINARY
TEXT_PAIRS = Form.TEXT_PAIRS
PROPERTIES = _table()
BY_NAME = {each.name: each for each in PROPERTIES}
BY_NUMBER = {each.number: each for each in PROPERTIES}
NUMBERS: dict[Form, struct.Struct] = {
    Form.FLAG: BYTE,
    Form.TWO_BYTES: TWO_BYTES,
    Form.FOUR_BYTES: FOUR_BYTES,
}
Value = int | str | bytes | tuple[str, str]
DECODERS: dict[Form, Callable[[BodyReader], Value]] = {
    Form.FLAG: BodyReader.byte,
    Form.TWO_BYTES: BodyReader.two_bytes,
    Form.FOUR_BYTES: BodyReader.four_bytes,
    Form.VARINT: BodyReader.varint,
    Form.TEXT: BodyReader.text,
    Form.BINARY: BodyReader.binary,
    Form.TEXT_PAIRS: lambda body: (body.text(), body.text()),
}


def encode_properties(properties: Properties) -> bytes:
    """Return the encoded properties, prefixed by their length."""
    encoded = b""
    for name, value in properties.items():
        known = BY_NAME[name]
        values: Iterable[object] = value if isinstance(value, list) else (value,)
        for each in values:
            encoded += bytes((known.number,)) + _encode_value(known.form, each)
    return encode_varint(len(encoded)) + encoded


def _encode_value(form: Form, value: object) -> bytes:
    if isinstance(value, (str, bytes)) and (form is TEXT or form is BINARY):
        return encode_text(value)
    if form is TEXT_PAIRS and isinstance(value, tuple):
        name, text = value
        return encode_text(name) + encode_text(text)
    if form is VARINT and isinstance(value, int):
        return encode_varint(value)
    return NUMBERS[form].pack(value)


def decode_properties(body: BodyReader, carrier: Carrier) -> Properties:
    """Decode the properties of a packet, or of a will (None).

    Raises:
        MqttError: The properties are malformed, or not allowed in this packet.
    """
    part = BodyReader(body.take(body.varint()))
    found: dict[str, Value | list[Value]] = {}
    size = len(part.data)
    while part.position < size:
        known = BY_NUMBER.get(part.varint())
        if known is None or carrier not in known.carriers:
            raise MqttError(ReasonCode.MALFORMED, "a property is not allowed in this packet")
        value = DECODERS[known.form](part)
        if known.form is TEXT_PAIRS or carrier is PUBLISH and known.name == "subscription_id":
            several = found.setdefault(known.name, [])
            if isinstance(several, list):
                several.append(value)
        elif known.name in found:
            raise MqttError(ReasonCode.PROTOCOL, f"{known.name} is given twice")
        else:
            found[known.name] = value
        if known.form is FLAG and value not in (0, 1) or not value and not known.may_be_zero:
            raise MqttError(ReasonCode.PROTOCOL, f"{known.name} can't be {value!r}")
    # the table of properties guarantees the type of each value
    return cast(Properties, found)
