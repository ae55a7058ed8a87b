"""One packet of MQTT 5, whatever its type."""

from collections.abc import Sequence
from dataclasses import KW_ONLY, dataclass, field
from typing import NamedTuple

from petrelwood.links.mqtt.codes import PacketType
from petrelwood.links.mqtt.properties import Properties

# The fields that a type of packets has beside its identifier, code and properties.
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
    """A topic filter that is subscribed to; the two lowest bits of its options are the quality of service."""

    topic_filter: str
    options: int


@dataclass(slots=True, repr=False)
class Packet:
    """One packet; which fields have a meaning depends on its type.

    Attributes:
        type: The type.
        id: Its packet identifier, 0 where it has none.
        code: The reason code of an acknowledgement or an end.
        props: The properties by name.
        topic: Of a PUBLISH, empty where there is a topic alias.
        payload: Of a PUBLISH.
        qos: The quality of service of a PUBLISH: 0, 1 or 2.
        dup: Whether a PUBLISH may have been delivered before.
        retain: Whether a PUBLISH is retained.
        client: The client identifier of a CONNECT.
        user: The user name of a CONNECT.
        password: The password of a CONNECT.
        clean: Whether a CONNECT begins a new session.
        keep_alive: Seconds that a client may be silent, of a CONNECT.
        will: The PUBLISH that follows an unexpected end, of a CONNECT.
        present: Whether a CONNACK goes on with an earlier session.
        subscriptions: Of a SUBSCRIBE.
        topic_filters: Of an UNSUBSCRIBE.
        codes: A reason code for each filter, of a SUBACK or UNSUBACK.
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
