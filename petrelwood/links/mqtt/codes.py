"""The packet types and the reason codes of MQTT 5."""

from enum import IntEnum


class PacketType(IntEnum):
    """The type of a control packet (section 2.1.2)."""

    CONNECT = 1
    CONNACK = 2
    PUBLISH = 3
    PUBACK = 4
    PUBREC = 5
    PUBREL = 6
    PUBCOMP = 7
    SUBSCRIBE = 8
    SUBACK = 9
    UNSUBSCRIBE = 10
    UNSUBACK = 11
    PINGREQ = 12
    PINGRESP = 13
    DISCONNECT = 14
    AUTH = 15


ACKNOWLEDGEMENTS = (PacketType.PUBACK, PacketType.PUBREC, PacketType.PUBREL, PacketType.PUBCOMP)
"""The packets that acknowledge a PUBLISH or another acknowledgement."""

PACKET_TYPES: tuple[PacketType | None, ...] = (None, *PacketType)
"""The types by number, because Python 3.11 is slow to convert a value to its enum member."""


class ReasonCode(IntEnum):
    """The reason codes that this package uses (section 2.4); 0x80 and above are errors."""

    SUCCESS = 0x00
    NO_SUBSCRIBERS = 0x10
    UNSPECIFIED = 0x80
    MALFORMED = 0x81
    PROTOCOL = 0x82
    UNSUPPORTED_VERSION = 0x84
    BAD_PASSWORD = 0x86
    NOT_AUTHORIZED = 0x87
    SERVER_BUSY = 0x89
    SHUTTING_DOWN = 0x8B
    KEEP_ALIVE = 0x8D
    TAKEN_OVER = 0x8E
    BAD_FILTER = 0x8F
    BAD_TOPIC = 0x90
    ID_IN_USE = 0x91
    ID_UNKNOWN = 0x92
    RECEIVE_MAXIMUM = 0x93
    BAD_ALIAS = 0x94
    TOO_LARGE = 0x95
    QUOTA = 0x97
