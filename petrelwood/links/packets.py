"""MQTT 5 packets (OASIS standard, version 5.0) to bytes and back, for both ends, free of I/O.

A packet is a `Packet`: its type, the fields of its variable header, its properties by name, its payload.
`Reader` takes bytes as they come; whatever is not the standard's raises `Wrong` with the reason code that the
peer should be told."""

import struct

(
    CONNECT,
    CONNACK,
    PUBLISH,
    PUBACK,
    PUBREC,
    PUBREL,
    PUBCOMP,
    SUBSCRIBE,
    SUBACK,
    UNSUBSCRIBE,
    UNSUBACK,
    PINGREQ,
    PINGRESP,
    DISCONNECT,
    AUTH,
) = range(1, 16)
NAMES = (
    "",
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
)
ACKS = (PUBACK, PUBREC, PUBREL, PUBCOMP)

# Reason codes, as far as they are used here.
SUCCESS, NO_SUBSCRIBERS, UNSPECIFIED, MALFORMED, PROTOCOL = 0x00, 0x10, 0x80, 0x81, 0x82
BAD_PASSWORD, NOT_AUTHORIZED, SERVER_BUSY, SHUTTING_DOWN, KEEP_ALIVE = 0x86, 0x87, 0x89, 0x8B, 0x8D
TAKEN_OVER, BAD_FILTER, BAD_TOPIC, ID_IN_USE, ID_UNKNOWN = 0x8E, 0x8F, 0x90, 0x91, 0x92
RECEIVE_MAXIMUM, BAD_ALIAS, TOO_LARGE, QUOTA = 0x93, 0x94, 0x95, 0x97

MOST = 1_000_000  # bytes of one packet, unless said otherwise

# name -> (identifier, form, the packet types that may carry it); `None` stands for the will's properties
_ACK = frozenset((CONNACK, PUBACK, PUBREC, PUBREL, PUBCOMP, SUBACK, UNSUBACK, DISCONNECT, AUTH))
_TABLE = (
    ("payload_format", 0x01, "B", (PUBLISH, None)),
    ("message_expiry", 0x02, "I", (PUBLISH, None)),
    ("content_type", 0x03, "s", (PUBLISH, None)),
    ("response_topic", 0x08, "s", (PUBLISH, None)),
    ("correlation_data", 0x09, "b", (PUBLISH, None)),
    ("subscription_id", 0x0B, "v", (PUBLISH, SUBSCRIBE)),
    ("session_expiry", 0x11, "I", (CONNECT, CONNACK, DISCONNECT)),
    ("assigned_client", 0x12, "s", (CONNACK,)),
    ("server_keep_alive", 0x13, "H", (CONNACK,)),
    ("auth_method", 0x15, "s", (CONNECT, CONNACK, AUTH)),
    ("auth_data", 0x16, "b", (CONNECT, CONNACK, AUTH)),
    ("problem_information", 0x17, "B", (CONNECT,)),
    ("will_delay", 0x18, "I", (None,)),
    ("response_information", 0x19, "B", (CONNECT,)),
    ("response_info", 0x1A, "s", (CONNACK,)),
    ("server_reference", 0x1C, "s", (CONNACK, DISCONNECT)),
    ("reason", 0x1F, "s", _ACK),
    ("receive_maximum", 0x21, "H", (CONNECT, CONNACK)),
    ("topic_alias_maximum", 0x22, "H", (CONNECT, CONNACK)),
    ("topic_alias", 0x23, "H", (PUBLISH,)),
    ("maximum_qos", 0x24, "B", (CONNACK,)),
    ("retain_available", 0x25, "B", (CONNACK,)),
    ("user", 0x26, "p", _ACK | {CONNECT, PUBLISH, SUBSCRIBE, UNSUBSCRIBE, None}),
    ("maximum_packet", 0x27, "I", (CONNECT, CONNACK)),
    ("wildcards", 0x28, "B", (CONNACK,)),
    ("subscription_ids", 0x29, "B", (CONNACK,)),
    ("shared", 0x2A, "B", (CONNACK,)),
)
BY_NAME = {name: (id_, form, frozenset(types)) for name, id_, form, types in _TABLE}
BY_ID = {id_: (name, form, frozenset(types)) for name, id_, form, types in _TABLE}
_NOT_ZERO = ("receive_maximum", "topic_alias", "maximum_packet", "subscription_id")
_FLAG = (
    "payload_format",
    "problem_information",
    "response_information",
    "maximum_qos",
    "retain_available",
    "wildcards",
    "subscription_ids",
    "shared",
)


class Wrong(Exception):
    """The peer does not keep to the standard; `code` is the reason to give it."""

    def __init__(self, code, why):
        super().__init__(why)
        self.code = code


class Packet:
    """`type`; `id` where it has one; `code` of acknowledgements; `props` by name ('user': pairs). The rest by
    type:

    CONNECT client, user, password (bytes), clean, keep_alive, will (a PUBLISH) | CONNACK present PUBLISH
    topic, payload, qos, dup, retain | SUBSCRIBE filters [(filter, options)] | UNSUBSCRIBE filters [filter]
    SUBACK, UNSUBACK codes"""

    def __init__(self, type_, id_=0, code=SUCCESS, **more):
        self.type, self.id, self.code, self.props = type_, id_, code, more.pop("props", {})
        self.__dict__.update(more)

    def __repr__(self):
        rest = {k: v for k, v in self.__dict__.items() if k != "type"}
        return f"{NAMES[self.type]} {rest}"

    def __eq__(self, other):
        return isinstance(other, Packet) and self.__dict__ == other.__dict__


# Writing.
def _varint(value):
    out = bytearray()
    while True:
        value, byte = value >> 7, value & 0x7F
        out.append(byte | (0x80 if value else 0))
        if not value:
            return bytes(out)


def _text(value):
    raw = value if isinstance(value, bytes) else value.encode("utf-8")
    if len(raw) > 65535:
        raise ValueError("over 65,535 bytes")
    return struct.pack(">H", len(raw)) + raw


def _properties(props):
    out = b""
    for name, value in props.items():
        id_, form, _ = BY_NAME[name]
        for one in value if name == "user" or form == "v" and isinstance(value, list) else (value,):
            out += bytes((id_,))
            if form in "sb":
                out += _text(one)
            elif form == "p":
                out += _text(one[0]) + _text(one[1])
            elif form == "v":
                out += _varint(one)
            else:
                out += struct.pack(">" + form, one)
    return _varint(len(out)) + out


def write(p):
    """The bytes of a packet."""
    type_, flags, body = p.type, 0, b""
    if type_ == PUBLISH:
        flags = p.dup << 3 | p.qos << 1 | p.retain
        body = _text(p.topic) + (struct.pack(">H", p.id) if p.qos else b"") + _properties(p.props) + p.payload
    elif type_ in ACKS:
        flags = 2 if type_ == PUBREL else 0
        body = struct.pack(">H", p.id)
        if p.code or p.props:
            body += bytes((p.code,)) + (_properties(p.props) if p.props else b"")
    elif type_ == CONNECT:
        will, bits = getattr(p, "will", None), 2 if p.clean else 0
        tail = _text(p.client)
        if will is not None:
            bits |= 4 | will.qos << 3 | will.retain << 5
            tail += _properties(will.props) + _text(will.topic) + _text(will.payload)
        for value, bit in ((getattr(p, "user", None), 0x80), (getattr(p, "password", None), 0x40)):
            if value is not None:
                bits |= bit
                tail += _text(value)
        body = _text("MQTT") + struct.pack(">BBH", 5, bits, p.keep_alive) + _properties(p.props) + tail
    elif type_ == CONNACK:
        body = bytes((p.present, p.code)) + _properties(p.props)
    elif type_ == SUBSCRIBE:
        flags = 2
        body = struct.pack(">H", p.id) + _properties(p.props)
        body += b"".join(_text(name) + bytes((options,)) for name, options in p.filters)
    elif type_ == UNSUBSCRIBE:
        flags = 2
        body = struct.pack(">H", p.id) + _properties(p.props) + b"".join(map(_text, p.filters))
    elif type_ in (SUBACK, UNSUBACK):
        body = struct.pack(">H", p.id) + _properties(p.props) + bytes(p.codes)
    elif type_ in (DISCONNECT, AUTH) and (p.code or p.props):
        body = bytes((p.code,)) + (_properties(p.props) if p.props else b"")
    return bytes((type_ << 4 | flags,)) + _varint(len(body)) + body


# Reading.
class _Body:
    def __init__(self, data):
        self.data, self.at = data, 0

    def take(self, size):
        if self.at + size > len(self.data):
            raise Wrong(MALFORMED, "a packet ends too early")
        self.at += size
        return self.data[self.at - size : self.at]

    def number(self, form):
        return struct.unpack(">" + form, self.take(struct.calcsize(form)))[0]

    def varint(self):
        value = 0
        for shift in (0, 7, 14, 21):
            byte = self.number("B")
            value |= (byte & 0x7F) << shift
            if not byte & 0x80:
                return value
        raise Wrong(MALFORMED, "a number of over four bytes")

    def bytes(self):
        return self.take(self.number("H"))

    def text(self):
        raw = self.bytes()
        try:
            value = raw.decode("utf-8")
        except UnicodeDecodeError:
            raise Wrong(MALFORMED, "text that is not UTF-8") from None
        if "\0" in value:
            raise Wrong(MALFORMED, "text with a NUL")
        return value

    def properties(self, type_):
        part = _Body(self.take(self.varint()))
        props = {}
        while part.at < len(part.data):
            known = BY_ID.get(part.varint())
            if known is None or type_ not in known[2]:
                raise Wrong(MALFORMED, "a property that does not belong here")
            name, form, _ = known
            if form == "p":
                props.setdefault(name, []).append((part.text(), part.text()))
                continue
            value = (
                part.text()
                if form == "s"
                else part.bytes()
                if form == "b"
                else part.varint()
                if form == "v"
                else part.number(form)
            )
            if name == "subscription_id" and type_ == PUBLISH:
                props.setdefault(name, []).append(value)
            elif name in props:
                raise Wrong(PROTOCOL, f"{name} is given twice")
            else:
                props[name] = value
            if name in _NOT_ZERO and not value or name in _FLAG and value > 1:
                raise Wrong(PROTOCOL, f"{name} can't be {value}")
        return props

    def rest(self):
        return self.take(len(self.data) - self.at)


def read(first, data):
    """The packet with that first byte and body."""
    type_, flags, body = first >> 4, first & 15, _Body(data)
    if type_ != PUBLISH and flags != (2 if type_ in (PUBREL, SUBSCRIBE, UNSUBSCRIBE) else 0) or not type_:
        raise Wrong(MALFORMED, "flags that the type does not have")
    packet = _READ.get(type_, _empty)(type_, flags, body)
    if body.at != len(data):
        raise Wrong(MALFORMED, "a packet is longer than what it holds")
    return packet


def _empty(type_, flags, body):
    return Packet(type_)


def _read_publish(type_, flags, body):
    qos = flags >> 1 & 3
    if qos == 3 or flags & 8 and not qos:
        raise Wrong(MALFORMED, "a quality of service that there is not")
    topic = body.text()
    id_ = _identifier(body) if qos else 0
    props = body.properties(PUBLISH)
    if topic and not topic_ok(topic) or not topic and "topic_alias" not in props:
        raise Wrong(BAD_TOPIC, "a topic that can't be published to")
    return Packet(
        PUBLISH,
        id_,
        topic=topic,
        payload=body.rest(),
        qos=qos,
        dup=flags >> 3 & 1,
        retain=flags & 1,
        props=props,
    )


def _identifier(body):
    id_ = body.number("H")
    if not id_:
        raise Wrong(PROTOCOL, "a packet identifier of 0")
    return id_


def _read_ack(type_, flags, body):
    id_ = _identifier(body)
    if body.at == len(body.data):
        return Packet(type_, id_)
    code = body.number("B")
    return Packet(type_, id_, code, props=body.properties(type_) if body.at < len(body.data) else {})


def _read_connect(type_, flags, body):
    name, version = body.text(), body.number("B")
    if name != "MQTT" or version != 5:
        raise Wrong(0x84, "only MQTT 5 is spoken here")
    bits, keep = body.number("B"), body.number("H")
    if bits & 1 or not bits & 4 and bits & 0x38 or bits & 0x18 == 0x18:
        raise Wrong(MALFORMED, "flags that CONNECT does not have")
    packet = Packet(CONNECT, clean=bits >> 1 & 1, keep_alive=keep, props=body.properties(CONNECT))
    packet.client, packet.will = body.text(), None
    if bits & 4:
        props, topic, payload = body.properties(None), body.text(), body.bytes()
        if not topic_ok(topic):
            raise Wrong(BAD_TOPIC, "a will's topic that can't be published to")
        packet.will = Packet(
            PUBLISH, topic=topic, payload=payload, qos=bits >> 3 & 3, dup=0, retain=bits >> 5 & 1, props=props
        )
    packet.user = body.text() if bits & 0x80 else None
    packet.password = body.bytes() if bits & 0x40 else None
    return packet


def _read_connack(type_, flags, body):
    present = body.number("B")
    if present > 1:
        raise Wrong(MALFORMED, "flags that CONNACK does not have")
    return Packet(CONNACK, code=body.number("B"), present=present, props=body.properties(CONNACK))


def _read_subscribe(type_, flags, body):
    packet = Packet(type_, _identifier(body), props=body.properties(type_), filters=[])
    while body.at < len(body.data):
        name = body.text()
        if not filter_ok(name):
            raise Wrong(BAD_FILTER, "a topic filter that there is not")
        if type_ == SUBSCRIBE:
            options = body.number("B")
            if options & 0xC0 or options & 3 == 3 or options >> 4 & 3 == 3:
                raise Wrong(PROTOCOL, "subscription options that there are not")
            packet.filters.append((name, options))
        else:
            packet.filters.append(name)
    if not packet.filters:
        raise Wrong(PROTOCOL, "no topic filter")
    return packet


def _read_suback(type_, flags, body):
    id_ = _identifier(body)
    props = body.properties(type_)
    return Packet(type_, id_, props=props, codes=list(body.rest()))


def _read_end(type_, flags, body):
    if not body.data:
        return Packet(type_)
    code = body.number("B")
    return Packet(type_, code=code, props=body.properties(type_) if body.at < len(body.data) else {})


_READ = {
    PUBLISH: _read_publish,
    CONNECT: _read_connect,
    CONNACK: _read_connack,
    SUBSCRIBE: _read_subscribe,
    UNSUBSCRIBE: _read_subscribe,
    SUBACK: _read_suback,
    UNSUBACK: _read_suback,
    DISCONNECT: _read_end,
    AUTH: _read_end,
    **dict.fromkeys(ACKS, _read_ack),
}


class Reader:
    """Bytes to packets."""

    def __init__(self, most=MOST):
        self.buffer, self.most = bytearray(), most

    def feed(self, data):
        """The packets that are whole now, one after the other; `Wrong` ends the connection."""
        self.buffer += data
        at = 0
        try:
            while True:
                length, head = self._length(at)
                if length is None or len(self.buffer) - at < head + length:
                    return
                body = bytes(self.buffer[at + head : at + head + length])
                first, at = self.buffer[at], at + head + length
                yield read(first, body)
        finally:
            del self.buffer[:at]

    def _length(self, at):
        """(remaining length, size of the fixed header); None while it is not all there."""
        length = 0
        for i in range(1, 5):
            if at + i >= len(self.buffer):
                return None, 0
            byte = self.buffer[at + i]
            length |= (byte & 0x7F) << 7 * (i - 1)
            if not byte & 0x80:
                if length + i + 1 > self.most:
                    raise Wrong(TOO_LARGE, f"a packet of {length} bytes")
                return length, i + 1
        raise Wrong(MALFORMED, "a remaining length of over four bytes")


# Topics.
def topic_ok(topic):
    """Whether it may be published to: no wildcards, not empty."""
    return bool(topic) and not set(topic) & set("+#\0")


def filter_ok(name):
    """Whether it is a topic filter, with or without a $share part."""
    if name.startswith("$share/"):
        group, _, name = name[7:].partition("/")
        if not group or set(group) & set("+#"):
            return False
    levels = name.split("/")
    return (
        bool(name)
        and all(level in ("+", "#") or not set(level) & set("+#") for level in levels)
        and "#" not in levels[:-1]
    )


def matches(pattern, topic):
    """Whether a topic filter without its $share part takes a topic."""
    if topic.startswith("$") and pattern[:1] in "+#":
        return False
    wants, has = pattern.split("/"), topic.split("/")
    for i, want in enumerate(wants):
        if want == "#":
            return True
        if i >= len(has) or want not in ("+", has[i]):
            return False
    return len(wants) == len(has)
