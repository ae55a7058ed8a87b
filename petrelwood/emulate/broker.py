"""A model of an MQTT 5 broker without sockets: sessions, shared subscriptions, QoS levels, redelivery.

It implements the part of the standard that the platform needs: sessions with expiry, QoS 0, 1 and 2 in both
directions, redelivery with DUP, Receive Maximum, message expiry, wills, takeover, and shared subscriptions
whose QoS 1 messages go to another member when one is lost (those of QoS 2 stay with their session). Retained
messages are not kept."""

from collections import OrderedDict, deque

from petrelwood.links import packets as mqtt

SECOND = 1_000_000_000
MAX_QUEUED = 10_000  # messages queued for one session


class Message:
    """A message in the broker. `ends`: when it expires, or None."""

    __slots__ = ("topic", "payload", "qos", "props", "ends", "number")

    def __init__(self, topic, payload, qos, props, ends, number):
        self.topic, self.payload, self.qos, self.props, self.ends, self.number = (
            topic,
            payload,
            qos,
            props,
            ends,
            number,
        )


class Session:
    """One client's session; `send(packet)` writes to its connection, and is None while it is disconnected."""

    def __init__(self, client, user):
        self.client, self.user, self.send, self.expiry, self.ends_at = client, user, None, 0, None
        self.filters, self.queue, self.out, self.received = {}, deque(), OrderedDict(), {}
        self.quota, self.last_id, self.will, self.life = 65535, 0, None, 0

    def next_id(self):
        while True:
            self.last_id = self.last_id % 65535 + 1
            if self.last_id not in self.out:
                return self.last_id


class Broker:
    """The broker.

    `clock`: as `petrelwood.clocks.VirtualClock`; `may(user, topic, publishes)`: whether a user may use a
    topic; `saw(what, **facts)`: called with each event.
    """

    def __init__(self, clock, may, saw=lambda what, **facts: None, chance=None):
        self.clock, self.may, self.saw, self.sessions, self.next_member, self.number = (
            clock,
            may,
            saw,
            {},
            {},
            0,
        )

    # Connections
    def connect(self, packet, send, close):
        """Return the session of a client that connects; `close(code)` ends its connection."""
        session = self.sessions.get(packet.client)
        if session is not None and session.send is not None:
            session.close(mqtt.TAKEN_OVER)
            self._disconnect(session)
        present = session is not None and not packet.clean
        if session is not None and packet.clean:
            self.end(session)
        if not present:
            session = self.sessions[packet.client] = Session(packet.client, packet.user)
        session.send, session.close, session.ends_at = send, close, None
        session.life += 1
        session.expiry = packet.props.get("session_expiry", 0) * SECOND
        session.quota, session.will = packet.props.get("receive_maximum", 65535), packet.will
        self.saw("connected", client=packet.client, present=present)
        send(mqtt.Packet(mqtt.CONNACK, present=int(present), props={}))
        for id_, (message, state) in list(session.out.items()):
            if state == "released":
                send(mqtt.Packet(mqtt.PUBREL, id_))
            else:
                self._deliver(session, id_, message, 1)
        self._send_queued(session)
        return session

    def _disconnect(self, session):
        session.send = None

    def gone(self, session, life, clean):
        """Handle the end of a connection; `clean`: whether the client sent a DISCONNECT."""
        if session.life != life or session.send is None:
            return
        self._disconnect(session)
        self.saw("disconnected", client=session.client, clean=clean)
        if session.will is not None and not clean:
            self.publish(session, session.will)
        session.will = None
        self._reassign_in_flight(session)
        if not session.expiry:
            self.end(session)
        else:
            session.ends_at = self.clock.now() + session.expiry
            self.clock.at(session.ends_at, self._expire, session, life)

    def _expire(self, session, life):
        if session.life == life and session.send is None:
            self.end(session)

    def end(self, session):
        """End a session; its queued messages go to other members of its groups, but not QoS 2 in flight."""
        self.sessions.pop(session.client, None)
        self.saw("ended", client=session.client)
        for message in session.queue:
            self._route_shared(message, session)
        session.queue.clear()

    def _reassign_in_flight(self, session):
        """Hand the QoS 1 messages in flight of a lost group member to another member, if there is one."""
        for id_, (message, _) in list(session.out.items()):
            if message.qos == 1 and self._route_shared(message, session, dup=True):
                del session.out[id_]

    # From clients
    def subscribe(self, session, packet):
        codes = []
        for name, options in packet.subscriptions:
            share, bare = _split_filter(name)
            if not self.may(session.user, bare, False):
                codes.append(mqtt.NOT_AUTHORIZED)
                continue
            session.filters[name] = options & 3
            codes.append(options & 3)
        session.send(mqtt.Packet(mqtt.SUBACK, packet.id, props={}, codes=codes))
        for name in [n for n in session.filters if _split_filter(n)[0]]:
            self._wake_group(name)

    def unsubscribe(self, session, packet):
        codes = [0 if session.filters.pop(name, None) is not None else 0x11 for name in packet.topic_filters]
        shared = [m for m in session.queue if m.props.get("_shared") in packet.topic_filters]
        session.queue = deque(m for m in session.queue if m.props.get("_shared") not in packet.topic_filters)
        session.send(mqtt.Packet(mqtt.UNSUBACK, packet.id, props={}, codes=codes))
        for message in shared:
            self._route_shared(message, session)

    def publish(self, session, packet):
        """Route a client's PUBLISH (or its will) to the subscribers, and acknowledge it."""
        code = mqtt.SUCCESS
        if not self.may(session.user, packet.topic, True):
            code = mqtt.NOT_AUTHORIZED
        elif packet.qos == 2 and packet.id in session.received:
            code = session.received[packet.id]  # a redelivery: it has been routed already
        else:
            code = mqtt.SUCCESS if self.route(packet, session) else mqtt.NO_SUBSCRIBERS
        if packet.qos == 2:
            session.received[packet.id] = code
        if packet.qos and session.send is not None:
            session.send(mqtt.Packet(mqtt.PUBACK if packet.qos == 1 else mqtt.PUBREC, packet.id, code))

    def packet(self, session, packet):
        """Handle any packet of a connected client after its CONNECT."""
        if packet.type == mqtt.PUBLISH:
            self.publish(session, packet)
        elif packet.type == mqtt.SUBSCRIBE:
            self.subscribe(session, packet)
        elif packet.type == mqtt.UNSUBSCRIBE:
            self.unsubscribe(session, packet)
        elif packet.type == mqtt.PINGREQ:
            session.send(mqtt.Packet(mqtt.PINGRESP))
        elif packet.type == mqtt.PUBREL:
            known = session.received.pop(packet.id, None) is not None
            session.send(mqtt.Packet(mqtt.PUBCOMP, packet.id, 0 if known else mqtt.ID_UNKNOWN))
        elif packet.type in (mqtt.PUBACK, mqtt.PUBREC, mqtt.PUBCOMP):
            self._acknowledged(session, packet)
        elif packet.type not in (mqtt.DISCONNECT, mqtt.AUTH):
            raise mqtt.MqttError(mqtt.PROTOCOL, f"a {mqtt.NAMES[packet.type]} from a client")

    def _acknowledged(self, session, packet):
        entry = session.out.get(packet.id)
        if entry is None:
            if packet.type == mqtt.PUBREC:
                session.send(mqtt.Packet(mqtt.PUBREL, packet.id, mqtt.ID_UNKNOWN))
            return
        message, _ = entry
        if packet.type == mqtt.PUBREC and packet.code < 0x80:
            session.out[packet.id] = (message, "released")
            self.saw("received", client=session.client, message=message.number)
            session.send(mqtt.Packet(mqtt.PUBREL, packet.id))
            return
        del session.out[packet.id]
        self.saw("acknowledged", client=session.client, message=message.number, code=packet.code)
        self._send_queued(session)

    # To clients
    def route(self, packet, session):
        """Route a message to subscribers and one member of each group; return whether any took it."""
        props = {k: v for k, v in packet.props.items() if k not in ("topic_alias", "message_expiry")}
        expiry = packet.props.get("message_expiry")
        self.number += 1
        message = Message(
            packet.topic,
            packet.payload,
            packet.qos,
            props,
            None if expiry is None else self.clock.now() + expiry * SECOND,
            self.number,
        )
        self.saw(
            "published",
            client=session.client,
            message=message.number,
            topic=packet.topic,
            qos=packet.qos,
            correlation=(props.get("correlation_data") or b"").hex(),
            response=props.get("response_topic"),
            expiry=expiry,
            status=dict(props.get("user", ())).get("status"),
            act=dict(props.get("user", ())).get("activation"),
        )
        taken, groups = False, set()
        for other in list(self.sessions.values()):
            for name, qos in other.filters.items():
                share, bare = _split_filter(name)
                if not mqtt.matches(bare, packet.topic):
                    continue
                if share:
                    groups.add(name)
                else:
                    taken = True
                    self._queue(other, message, min(qos, message.qos))
        for name in sorted(groups):
            taken = self._to_group(name, message, None) or taken
        return taken

    def _members(self, name):
        return [s for s in self.sessions.values() if name in s.filters]

    def _to_group(self, name, message, excluded, dup=False):
        """Route to the connected group member with the shortest queue, round-robin among equals."""
        members = [s for s in self._members(name) if s is not excluded]
        live = [s for s in members if s.send is not None] or members
        if not live:
            return False
        start = self.next_member[name] = self.next_member.get(name, 0) + 1
        best = min(range(len(live)), key=lambda i: (len(live[i].queue), (i - start) % len(live)))
        made = Message(
            message.topic,
            message.payload,
            min(message.qos, live[best].filters[name]),
            {**message.props, "_shared": name, "_again": dup or message.props.get("_again", False)},
            message.ends,
            message.number,
        )
        self._queue(live[best], made, made.qos)
        return True

    def _route_shared(self, message, excluded, dup=False):
        name = message.props.get("_shared")
        return name is not None and self._to_group(name, message, excluded, dup)

    def _wake_group(self, name):
        """Route the messages queued for disconnected members again, because a member has joined."""
        for other in self._members(name):
            if other.send is None:
                waiting = [m for m in other.queue if m.props.get("_shared") == name]
                other.queue = deque(m for m in other.queue if m.props.get("_shared") != name)
                for message in waiting:
                    self._to_group(name, message, other)

    def _queue(self, session, message, qos):
        if message.qos != qos:
            message = Message(
                message.topic, message.payload, qos, message.props, message.ends, message.number
            )
        if len(session.queue) < MAX_QUEUED and (qos or session.send is not None):
            session.queue.append(message)
            self._send_queued(session)

    def _send_queued(self, session):
        """Send queued messages within the client's Receive Maximum; expired ones are dropped."""
        while session.queue and session.send is not None:
            message = session.queue[0]
            if message.ends is not None and self.clock.now() >= message.ends:
                session.queue.popleft()
                self.saw("expired", client=session.client, message=message.number)
                continue
            if message.qos and len(session.out) >= session.quota:
                return
            session.queue.popleft()
            id_ = 0
            if message.qos:
                id_ = session.next_id()
                session.out[id_] = (message, "sent")
            self._deliver(session, id_, message, int(bool(message.qos and message.props.get("_again"))))

    def _deliver(self, session, id_, message, dup):
        props = {k: v for k, v in message.props.items() if not k.startswith("_")}
        if message.ends is not None:
            props["message_expiry"] = max(0, -(-(message.ends - self.clock.now()) // SECOND))
        self.saw("delivered", client=session.client, message=message.number, dup=dup, qos=message.qos)
        session.send(
            mqtt.Packet(
                mqtt.PUBLISH,
                id_,
                topic=message.topic,
                payload=message.payload,
                qos=message.qos,
                dup=dup,
                retain=0,
                props=props,
            )
        )


def _split_filter(name):
    """Return (share name or '', filter without the share) of a topic filter."""
    if not name.startswith("$share/"):
        return "", name
    group, _, bare = name[7:].partition("/")
    return group, bare
