"""Short names for MQTT 5, such as `packets.PUBLISH` and `packets.Reader`; the codec is in `links.mqtt`.

The types and reason codes are module names because each packet is compared with them, and Python 3.11 is slow
to look up a member on its enum.
"""

from petrelwood.links.mqtt.codes import ACKNOWLEDGEMENTS as ACKS
from petrelwood.links.mqtt.codes import PACKET_TYPES, PacketType, ReasonCode
from petrelwood.links.mqtt.encoding import encode
from petrelwood.links.mqtt.errors import MqttError
from petrelwood.links.mqtt.packet import Packet, Subscription
from petrelwood.links.mqtt.properties import Properties
from petrelwood.links.mqtt.reader import Reader
from petrelwood.links.mqtt.topics import is_topic_filter, is_topic_name, matches

__all__ = [
    "CONNECT",
    "CONNACK",
    "PUBLISH",
    "PUBACK",
    "PUBREC",
    "PUBREL",
    "PUBCOMP",
    "SUBSCRIBE",
    "SUBACK",
    "UNSUBSCRIBE",
    "UNSUBACK",
    "PINGREQ",
    "PINGRESP",
    "DISCONNECT",
    "AUTH",
    "ACKS",
    "NAMES",
    "SUCCESS",
    "NO_SUBSCRIBERS",
    "UNSPECIFIED",
    "MALFORMED",
    "PROTOCOL",
    "UNSUPPORTED_VERSION",
    "BAD_PASSWORD",
    "NOT_AUTHORIZED",
    "SERVER_BUSY",
    "SHUTTING_DOWN",
    "KEEP_ALIVE",
    "TAKEN_OVER",
    "BAD_FILTER",
    "BAD_TOPIC",
    "ID_IN_USE",
    "ID_UNKNOWN",
    "RECEIVE_MAXIMUM",
    "BAD_ALIAS",
    "TOO_LARGE",
    "QUOTA",
    "MqttError",
    "Packet",
    "Reader",
    "Subscription",
    "is_topic_filter",
    "matches",
    "is_topic_name",
    "encode",
    "Properties",
    "PacketType",
    "ReasonCode",
]

CONNECT = PacketType.CONNECT
CONNACK = PacketType.CONNACK
PUBLISH = PacketType.PUBLISH
PUBACK = PacketType.PUBACK
PUBREC = PacketType.PUBREC
PUBREL = PacketType.PUBREL
PUBCOMP = PacketType.PUBCOMP
SUBSCRIBE = PacketType.SUBSCRIBE
SUBACK = PacketType.SUBACK
UNSUBSCRIBE = PacketType.UNSUBSCRIBE
UNSUBACK = PacketType.UNSUBACK
PINGREQ = PacketType.PINGREQ
PINGRESP = PacketType.PINGRESP
DISCONNECT = PacketType.DISCONNECT
AUTH = PacketType.AUTH
NAMES = tuple("" if each is None else each.name for each in PACKET_TYPES)  # by number

SUCCESS = ReasonCode.SUCCESS
NO_SUBSCRIBERS = ReasonCode.NO_SUBSCRIBERS
UNSPECIFIED = ReasonCode.UNSPECIFIED
MALFORMED = ReasonCode.MALFORMED
PROTOCOL = ReasonCode.PROTOCOL
UNSUPPORTED_VERSION = ReasonCode.UNSUPPORTED_VERSION
BAD_PASSWORD = ReasonCode.BAD_PASSWORD
NOT_AUTHORIZED = ReasonCode.NOT_AUTHORIZED
SERVER_BUSY = ReasonCode.SERVER_BUSY
SHUTTING_DOWN = ReasonCode.SHUTTING_DOWN
KEEP_ALIVE = ReasonCode.KEEP_ALIVE
TAKEN_OVER = ReasonCode.TAKEN_OVER
BAD_FILTER = ReasonCode.BAD_FILTER
BAD_TOPIC = ReasonCode.BAD_TOPIC
ID_IN_USE = ReasonCode.ID_IN_USE
ID_UNKNOWN = ReasonCode.ID_UNKNOWN
RECEIVE_MAXIMUM = ReasonCode.RECEIVE_MAXIMUM
BAD_ALIAS = ReasonCode.BAD_ALIAS
TOO_LARGE = ReasonCode.TOO_LARGE
QUOTA = ReasonCode.QUOTA
