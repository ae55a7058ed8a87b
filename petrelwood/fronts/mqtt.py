"""The MQTT front: activations from a broker, answers by request/response, on the same core as the webhooks.

One session for each customer, so that the broker tells them apart and each has a window of its own;
dispatchers share the work by a shared subscription. What is acknowledged when, and what a lost connection
means, is decided in `decide.delivery.mqtt_acknowledgement`; topics in `decide.delivery.mqtt_topics`; whether
it runs, in the intake that all fronts share."""

import asyncio
from collections import OrderedDict, deque

import orjson
from tornado.iostream import IOStream, SSLIOStream, StreamClosedError

from petrelwood.decide.delivery import mqtt_acknowledgement, mqtt_topics
from petrelwood.decide.delivery.delivery_window import DeliveryWindow
from petrelwood.decide.overload import deadlines, intake
from petrelwood.decide.overload.backoff import Backoff
from petrelwood.links import packets as mqtt
from petrelwood.links import sockets

SECOND = 1_000_000_000
READ = 65_536
# packet identifiers of ours: few, so that a new life can release them all at its start
IDS = 256
STATUS = {
    "completed": "completed",
    intake.REPEAT_RESULT: "completed",
    "rejected": "rejected",
    intake.REJECT: "rejected",
    "aborted": "aborted",
    intake.ABORT: "aborted",
    intake.CONFLICT: "rejected",
    intake.RESULT_DROPPED: "aborted",
}
ENDED = "the session was lost before its message was begun; it may run elsewhere"


class Message:
    """What a PUBLISH asks, and the room for its one answer. The core sees it as an exchange."""

    __slots__ = (
        "session",
        "response",
        "correlation",
        "ask",
        "function",
        "rule",
        "body",
        "came",
        "act",
        "delivery",
        "answer_is",
        "target",
    )

    def __init__(self, session, response, correlation, ask, function, rule, body, target):
        self.session, self.response, self.correlation, self.ask = session, response, correlation, ask
        self.function, self.rule, self.body, self.target = function, rule, body, target
        self.act, self.delivery, self.answer_is = None, None, None

    def check_departure(self):
        """A message outlives the connection that it came by."""

    def answer(self, what, body=b"", retry_after=0, why="", act=None):
        """The final answer, from the core."""
        if self.answer_is is not None:
            return
        status = STATUS[what]
        props = [("status", status)]
        if act:
            props.append(("activation", act))
        if retry_after:
            props.append(("retry-after-ms", str(-(-retry_after // 1_000_000))))
        if status != "completed":
            body = orjson.dumps({"status": status, "detail": why})
        self.answer_is = (body, props)
        now = self.session.front.core.now()
        took = now - self.ask.arrived_at
        self.session.deliveries.on_answer(
            now, self.delivery, status == "completed" and took <= self.target, took
        )


class Session:
    """The session of one customer at the broker."""

    def __init__(self, front, customer):
        self.front, self.customer, core = front, customer, front.core
        self.terms, self.client = front.terms, f"{core.name}.{customer}"
        self.window = DeliveryWindow(self.terms.window_least, self.terms.window_most)
        self.deliveries = mqtt_acknowledgement.Deliveries(self.window, self)
        self.backoff = Backoff(
            self.terms.comeback_first, self.terms.comeback_most, core.chance.random, full=True
        )
        self.stream, self.up, self.task, self.number, self.stamp = None, False, None, 0, 0
        self.answers, self.unsent, self.last_id, self.quota = OrderedDict(), deque(), 0, 65535
        self.heard, self.aliases, self.draining, self.pinged, self.fresh = 0, {}, None, 0, True
        self.counts = {
            "messages": 0,
            "again": 0,
            "refused": 0,
            "answers": 0,
            "lost": 0,
            "moved": 0,
            "aborts_owed": 0,
        }

    # The connection.
    async def keep(self):
        while not self.front.closed:
            why = "closed by the broker"
            try:
                await self._follow()
            except StreamClosedError as fault:
                why = str(fault.real_error or why)
            except mqtt.MqttError as fault:
                why = str(fault)
                self._leave(fault.code)
            except (TimeoutError, OSError, ValueError) as fault:
                why = str(fault) or repr(fault)
            except Exception as fault:
                why = repr(fault)
                self.front.core.defect("mqtt", fault)
            self._lost()
            now = self.front.core.now()
            until = self.backoff.failed(now)
            self.front.log.info(
                "broker lost", customer=self.customer, why=why, again_in_ms=(until - now) // 1_000_000
            )
            await self.front.core.sleep_until(until)

    def _lost(self):
        if self.stream is not None:
            self.stream.close()
        if self.up:
            self.up = False
            self.counts["lost"] += 1
        self.deliveries.on_connection_lost()

    def _leave(self, code):
        self._write(mqtt.Packet(mqtt.DISCONNECT, code=code))

    async def _follow(self):
        terms, within = self.terms, self.terms.connect_within / 1e9
        host, port = terms.broker
        if terms.tls is not None:
            self.stream = SSLIOStream(sockets.fresh(host), ssl_options=terms.tls.client())
            await asyncio.wait_for(
                self.stream.connect(terms.broker, server_hostname=terms.tls.server_name(host)), within
            )
        else:
            self.stream = IOStream(sockets.fresh(host))
            await asyncio.wait_for(self.stream.connect(terms.broker), within)
        sockets.disable_delay(self.stream.socket)
        self.aliases, reader = {}, mqtt.Reader(terms.most)
        self._write(
            mqtt.Packet(
                mqtt.CONNECT,
                client=self.client,
                clean=0,
                keep_alive=terms.keep_alive // SECOND,
                user=terms.user,
                password=terms.password,
                props={
                    "session_expiry": terms.session // SECOND,
                    "receive_maximum": terms.window_most,
                    "maximum_packet": terms.most,
                },
            )
        )
        first = await asyncio.wait_for(self._first(reader), within)  # a broker that accepts and is silent
        if first.type != mqtt.CONNACK or first.code:
            raise ValueError(f"the broker answered {first!r}")
        self.quota = min(first.props.get("receive_maximum", 65535), IDS - 8)
        self.up, self.heard, self.pinged = True, self.front.core.now(), 0
        self.backoff.succeeded()
        self.front.log.info("broker", customer=self.customer, present=bool(first.present))
        if not first.present:
            self._write(
                mqtt.Packet(
                    mqtt.SUBSCRIBE,
                    self._id(),
                    props={},
                    subscriptions=[
                        mqtt.Subscription(mqtt_topics.subscription_filter(terms.group, self.customer), 2)
                    ],
                )
            )
        if self.fresh and not first.present:
            self.fresh = False  # the broker remembers nothing of an earlier life
        elif self.fresh:  # what an earlier life has begun to send is let go
            self._write(*(mqtt.Packet(mqtt.PUBREL, id_) for id_ in range(1, IDS + 1)))
        self.front.core.submit(self.deliveries.on_connected, bool(first.present))
        self._resend(bool(first.present))
        while True:
            data = await self.stream.read_bytes(READ, partial=True)
            self.heard = self.front.core.now()
            for packet in reader.feed(data):
                self._packet(packet)

    async def _first(self, reader):
        while True:
            for packet in reader.feed(await self.stream.read_bytes(2, partial=True)):
                return packet

    def _write(self, *packets):
        if self.stream is None or self.stream.closed():
            # what this means is decided when it is connected again
            return
        data = b"".join(map(mqtt.write, packets))
        self.stream.write(data).add_done_callback(lambda done: done.exception())

    def _id(self):
        for _ in range(IDS):
            self.last_id = self.last_id % IDS + 1
            if self.last_id not in self.answers:
                return self.last_id
        raise mqtt.MqttError(mqtt.QUOTA, "no packet identifier is free")

    def check(self, now):
        """Asked now and then: keep-alive, and what waits too long."""
        self.front.core.submit(self.deliveries.reject_expired, now)
        if not self.up:
            return
        if now - self.heard > self.terms.keep_alive:
            self.front.log.info("broker silent", customer=self.customer)
            self.stream.close()
        elif now - self.heard > self.terms.keep_alive // 2 and now - self.pinged > self.terms.keep_alive // 4:
            self.pinged = now
            self.deliveries.pings += 1  # its PINGRESP proves nothing more than the others
            self._write(mqtt.Packet(mqtt.PINGREQ))

    # What the broker sends.
    def _packet(self, packet):
        now = self.front.core.now()
        if packet.type == mqtt.PUBLISH:
            self.front.core.submit(self._published, packet)
        elif packet.type == mqtt.PUBREL:
            self.front.core.submit(self.deliveries.on_pubrel, packet.id)
        elif packet.type == mqtt.PINGRESP:
            self.front.core.submit(self._ponged, now)
        elif packet.type in (mqtt.PUBACK, mqtt.PUBCOMP):
            # None: released; a late one of an earlier use means nothing
            answer = self.answers.get(packet.id, self)
            if (
                answer is None
                if packet.type == mqtt.PUBCOMP
                else answer and answer is not self and answer.qos == 1
            ):
                self._done(packet.id, packet.code)
        elif packet.type == mqtt.PUBREC:
            self._received(packet)
        elif packet.type == mqtt.SUBACK:
            if any(code >= 0x80 for code in packet.codes):
                raise ValueError(f"the broker refused the subscription: {packet.codes[0]:#x}")
        elif packet.type == mqtt.UNSUBACK:
            if self.draining is not None and not self.draining.done():
                self.draining.set_result(None)
        elif packet.type == mqtt.DISCONNECT:
            raise ValueError(f"the broker ended the connection: {packet.code:#x}")
        else:
            raise mqtt.MqttError(mqtt.PROTOCOL, f"a {mqtt.NAMES[packet.type]} from a broker")

    def _ponged(self, now):
        if self.fresh:
            self.fresh = False
            self._done(0, 0)
        self.deliveries.on_pingresp()

    def _published(self, packet):
        topic, alias = packet.topic, packet.props.get("topic_alias")
        if alias is not None:
            if topic:
                self.aliases[alias] = topic
            elif alias not in self.aliases:
                raise mqtt.MqttError(mqtt.BAD_ALIAS, "a topic alias that was never given")
            topic = self.aliases[alias]
        now, core = self.front.core.now(), self.front.core
        self.counts["messages"] += 1
        self.counts["again"] += packet.dup
        response, asked = packet.props.get("response_topic"), mqtt_topics.parse_request(topic, self.customer)
        rule = core.rule(asked.function) if not asked.rejection_reason else None
        why = asked.rejection_reason or (
            "there is no such function"
            if rule is None
            else "the function is of another namespace type"
            if rule.type != asked.type
            else ""
        )
        code = (
            mqtt.NOT_AUTHORIZED
            if response is not None and not mqtt_topics.is_allowed_response_topic(response, self.customer)
            else 0
        )
        if why or code:
            self._refuse(packet, response if not code else None, code or mqtt.BAD_TOPIC, why)
            return
        type_, wait = rule.type, packet.props.get("message_expiry", 0) * SECOND
        if "message_expiry" in packet.props and not wait:
            wait = 1  # it has expired on its way
        self.number += 1
        id_ = mqtt_topics.message_id(response, packet.props.get("correlation_data"), self.client, self.number)
        # nobody signs it: it only has to be newer than what came before, whatever the wall clock does
        newer = core.ledger.next_timestamp((self.customer, id_), type_, core.clock.steady_wall())
        self.stamp = max(self.stamp + 1, newer)
        ask = intake.ActivationRequest(self.customer, id_, self.stamp, type_, now, wait)
        terms = core.terms.types[type_]
        message = Message(
            self,
            response,
            packet.props.get("correlation_data"),
            ask,
            asked.function,
            rule,
            packet.payload,
            terms.target_latency,
        )
        due = deadlines.deadline(now, wait, core.gateway.timeouts[type_]).due
        self.deliveries.on_publish(
            now,
            packet.id,
            packet.qos,
            bool(packet.dup),
            terms.effect,
            due,
            hash((topic, response, packet.props.get("correlation_data"), packet.payload)),
            message,
        )

    def _refuse(self, packet, response, code, why):
        """What is no activation is acknowledged with a reason, and answered where that may be."""
        self.counts["refused"] += 1
        if packet.qos:
            self._write(mqtt.Packet(mqtt.PUBACK if packet.qos == 1 else mqtt.PUBREC, packet.id, code))
        if response is not None and why:
            self._publish(
                response,
                packet.props.get("correlation_data"),
                (orjson.dumps({"status": "rejected", "detail": why}), [("status", "rejected")]),
                1,
            )

    # What is decided of deliveries.
    def acknowledge(self, packet_id, qos):
        self._write(mqtt.Packet(mqtt.PUBACK if qos == 1 else mqtt.PUBREC, packet_id))

    def complete(self, packet_id):
        self._write(mqtt.Packet(mqtt.PUBCOMP, packet_id))

    def ping(self):
        self._write(mqtt.Packet(mqtt.PINGREQ))

    def begin(self, delivery):
        message = delivery.message
        message.delivery = delivery
        self.front.core.admit(message.ask, message.function, message.rule, message.body, message)

    def reject(self, delivery):
        message = delivery.message
        message.delivery = delivery
        message.answer_is = (
            orjson.dumps({"status": "rejected", "detail": intake.RejectionReason.NO_TIME}),
            [("status", "rejected")],
        )
        self.answer(delivery, bool(delivery.qos))

    def abort(self, delivery):
        self.counts["aborts_owed"] += 1
        message = delivery.message
        message.answer_is = (orjson.dumps({"status": "aborted", "detail": ENDED}), [("status", "aborted")])
        self.answer(delivery, False)

    def discard(self, delivery):
        """Another dispatcher has the message: what runs here ends without an answer."""
        self.counts["moved"] += 1
        message = delivery.message
        if message.answer_is is None and message.act is not None:
            message.answer_is = (b"", [])
            self.front.core.client_left(message.act, message)

    def answer(self, delivery, with_acknowledgement):
        """The answer, and in the same write the acknowledgement that is owed with it: the broker has both or,
        where the connection breaks, at most the first."""
        message, packets = delivery.message, []
        if message.response is not None and message.answer_is[1]:
            packets += self._answer(message, 1 if with_acknowledgement else 2)
        if with_acknowledgement and delivery.packet_id is not None:
            packets.append(mqtt.Packet(mqtt.PUBACK if delivery.qos == 1 else mqtt.PUBREC, delivery.packet_id))
        if packets and self.up:
            self._write(*packets)

    # Answers on their way to the broker.
    def _answer(self, message, qos):
        return self._publish(message.response, message.correlation, message.answer_is, qos, write=False)

    def _publish(self, topic, correlation, answer, qos, write=True):
        props = {"content_type": "application/json", "user": answer[1]}
        if correlation is not None:
            props["correlation_data"] = correlation
        packet = mqtt.Packet(
            mqtt.PUBLISH, 0, topic=topic, payload=answer[0], qos=qos, dup=0, retain=0, props=props
        )
        self.counts["answers"] += 1
        if not self.up or len(self.answers) >= self.quota or self.fresh and qos == 2:
            if len(self.unsent) < self.terms.max_queued_answers:
                self.unsent.append(packet)
            return []
        packet.id = self._id()
        self.answers[packet.id] = packet
        if write:
            self._write(packet)
            return []
        return [packet]

    def _received(self, packet):
        """PUBREC of an answer."""
        if packet.code >= 0x80:
            self._done(packet.id, packet.code)
            return
        known = packet.id in self.answers
        if known:
            self.answers[packet.id] = None  # from now on only its PUBREL
        self._write(mqtt.Packet(mqtt.PUBREL, packet.id, 0 if known else mqtt.ID_UNKNOWN))

    def _done(self, id_, code):
        self.answers.pop(id_, None)
        if code >= 0x80:
            self.front.log.info("an answer was refused", customer=self.customer, code=hex(code))
        while self.unsent and self.up and len(self.answers) < self.quota and not self.fresh:
            packet = self.unsent.popleft()
            packet.id = self._id()
            self.answers[packet.id] = packet
            self._write(packet)

    def _resend(self, present):
        """After a reconnect. Answers of QoS 1 left with their acknowledgement: what came of both is seen from
        what the broker delivers again, so they are not sent again here. Those of QoS 2 go on where the
        session has been kept."""
        answers, self.answers = self.answers, OrderedDict()
        for id_, packet in answers.items():
            if packet is None:
                if present:
                    self.answers[id_] = None
                    self._write(mqtt.Packet(mqtt.PUBREL, id_))
            elif packet.qos == 2:
                if not present:
                    packet.id = self._id()
                self.answers[packet.id], packet.dup = packet, int(present)
                self._write(packet)
        self._done(0, 0)

    # The end.
    async def drain(self):
        """Takes nothing new: unsubscribes, turns away what was not begun, finishes the rest, disconnects."""
        if self.up:
            self.draining = self.front.core.loop.create_future()
            self._write(
                mqtt.Packet(
                    mqtt.UNSUBSCRIBE,
                    self._id(),
                    props={},
                    topic_filters=[mqtt_topics.subscription_filter(self.terms.group, self.customer)],
                )
            )
            try:
                await asyncio.wait_for(self.draining, self.terms.connect_within / 1e9)
            except TimeoutError:
                pass
        self.front.core.submit(self.deliveries.close)


class Mqtt:
    """All customers' sessions. `core` takes what they ask: `dispatch.core.Core`."""

    def __init__(self, terms, core, log):
        self.terms, self.core, self.log, self.closed, self.stopping = terms, core, log, False, None
        self.sessions = [Session(self, name) for name in core.gateway.customers]

    def open(self):
        for session in self.sessions:
            session.task = self.core.loop.create_task(session.keep())

    def check(self, now):
        for session in self.sessions:
            session.check(now)

    def storm_changed(self, name, on):
        """Sessions are few, and their windows follow the answers: nothing to do."""

    def drain(self):
        """The process ends."""
        self.stop()

    def stop(self):
        # A broker that is away is not waited for any longer than a client waits.
        self.ends = self.core.now() + max(self.core.gateway.timeouts.values())
        self.stopping = self.core.loop.create_task(self._drain())

    async def _drain(self):
        await asyncio.gather(*(s.drain() for s in self.sessions))

    def quiet(self):
        """Whether all is answered and the broker has the answers."""
        return (
            self.stopping is not None
            and self.stopping.done()
            and (
                self.core.now() >= self.ends
                or all(s.deliveries.is_idle() and not s.unsent and not s.answers for s in self.sessions)
            )
        )

    def close_idle(self):
        self.closed = True
        for session in self.sessions:
            session._leave(mqtt.SUCCESS)
            if session.task is not None:
                session.task.cancel()

    def figures(self):
        counts = {}
        for session in self.sessions:
            for name, value in session.counts.items():
                counts[name] = counts.get(name, 0) + value
        return counts
