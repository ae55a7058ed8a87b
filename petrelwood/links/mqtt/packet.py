"""One packet of MQTT 5, whatever its type."""

from collections.abc import Sequence
from dataclasses import KW_ONLY, dataclass, field
from typing import NamedTuple

from petrelwood.links.mqtt.codes import PacketType
from petrelwood.links.mqtt.properties import Properties

# The fields of each packet type besides its identifier, reason code and properties.
FIELDS: dict[PacketType, tuple[str, ...]] = {
    PacketType.CONNECT: ("clean", "keep_alive", "client", "will", "user", "password"),
    PacketType.CONNACK: ("present",),
    PacketType.PUBLISH: ("topic", "payload", "qos", "dup", "retain"),
    PacketType.SUBSCRIBE: ("subscriptions",),
    PacketType.SUBACK: ("codes",),
    PacketType.UNSUBSCRIBE: ("topic_filters",),
    PacketType.UNSUBACK: ("codes",),
}


class Subscription(NamedTuple):
    """A subscribed topic filter; the two lowest bits of its options are the quality of service."""

    topic_filter: str
    options: int


@dataclass(slots=True, repr=False)
class Packet:
    """One packet; which fields have a meaning depends on its type.

    Attributes:
        type: The packet type.
        id: The packet identifier, 0 if the packet has none.
        code: The reason code of a CONNACK, an acknowledgement, a DISCONNECT or an AUTH.
        props: The properties by name.
        topic: The topic name of a PUBLISH; empty if a topic alias replaces it.
        payload: The payload of a PUBLISH.
        qos: The quality of service of a PUBLISH: 0, 1 or 2.
        dup: Whether a PUBLISH may have been delivered before.
        retain: Whether a PUBLISH is retained.
        client: The client identifier of a CONNECT.
        user: The user name of a CONNECT.
        password: The password of a CONNECT.
        clean: Whether a CONNECT starts a new session (Clean Start).
        keep_alive: The keep-alive of a CONNECT, in seconds.
        will: The will of a CONNECT, a PUBLISH.
        present: Whether a CONNACK resumes an earlier session (Session Present).
        subscriptions: The subscriptions of a SUBSCRIBE.
        topic_filters: The topic filters of an UNSUBSCRIBE.
        codes: The reason codes of a SUBACK or UNSUBACK, one per topic filter.
    """

    type: PacketType
    id: int = 0
    code: int = 0
    _: KW_ONLY
    props: Properties = field(default_factory=Properties)
    topic: str = ""
    payload: bytes = b""
    qos: int = 0
    dup: int = 0
    retain: int = 0
    client: str = ""
    user: str | None = None
    password: bytes | None = None
    clean: int = 0
    keep_alive: int = 0
    will: "Packet | None" = None
    present: int = 0
    subscriptions: Sequence[Subscription] = ()
    topic_filters: Sequence[str] = ()
    codes: Sequence[int] = ()

    def __repr__(self) -> str:
        names = ("id", "code", "props", *FIELDS.get(self.type, ()))
        return f"{self.type.name} { ({name: getattr(self, name) for name in names}) }"
