"""The session of one customer at the broker: its connection, its messages and their answers.

`decide.delivery.mqtt_acknowledgement` decides when a message is acknowledged and begins, and how to handle a
lost connection. It acts through `DeliveryActions`, which a session implements.
"""

import asyncio
import contextlib
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from petrelwood.decide.delivery import mqtt_topics
from petrelwood.decide.delivery.delivery_window import DeliveryWindow
from petrelwood.decide.delivery.mqtt_acknowledgement import AT_LEAST_ONCE, EXACTLY_ONCE, Deliveries, Delivery
from petrelwood.decide.overload import deadlines
from petrelwood.decide.overload.backoff import Backoff
from petrelwood.decide.overload.intake import RejectionReason
from petrelwood.fronts.interfaces import MqttCore, MqttTerms
from petrelwood.fronts.mqtt_answers import FIRST_ERROR_CODE, AnswerSender
from petrelwood.fronts.mqtt_connection import BrokerError, KeepAlive, MqttConnection
from petrelwood.fronts.mqtt_counts import MqttCounts
from petrelwood.fronts.mqtt_decoding import MessageDecoder, MessageRejectedError, fingerprint
from petrelwood.fronts.mqtt_message import Answer, AnswerStatus, Message, problem_answer
from petrelwood.links import packets
from petrelwood.links.interfaces import Logger

MILLISECOND = 1_000_000  # ns
MAY_RUN_ELSEWHERE = "the session was lost before its message was begun; it may run elsewhere"
NO_ANSWER = Answer(b"", [])


class MqttSession:
    """One customer's session. It calls the core and the deliveries one at a time, through `core.submit`."""

    def __init__(self, core: MqttCore, terms: MqttTerms, customer: str, log: Logger) -> None:
        client_id = f"{core.name}.{customer}"
        self.core = core
        self.customer = customer
        self.counts = MqttCounts()
        self.connection = MqttConnection(terms, client_id, core.now)
        self.answers = AnswerSender(terms, self.connection, self.counts, log, customer)
        self.decoder = MessageDecoder(core, self, customer, client_id)
        window = DeliveryWindow(terms.min_window, terms.max_window)
        self.deliveries = Deliveries(window, self)
        self.backoff = Backoff(terms.initial_backoff, terms.max_backoff, core.chance.random, full=True)
        self.task: asyncio.Task[None] | None = None
        self.is_closed = False
        self._log = log
        self._subscription = mqtt_topics.subscription_filter(terms.group, customer)
        self._unsubscribed: asyncio.Future[None] | None = None  # resolved by UNSUBACK
        self._handlers: dict[int, Callable[[packets.Packet], None]] = {
            packets.PUBLISH: self._on_publish,
            packets.PUBREL: self._on_pubrel,
            packets.PINGRESP: self._on_pingresp,
            packets.PUBACK: self.answers.on_puback,
            packets.PUBREC: self.answers.on_pubrec,
            packets.PUBCOMP: self.answers.on_pubcomp,
            packets.SUBACK: self._on_suback,
            packets.UNSUBACK: self._on_unsuback,
            packets.DISCONNECT: self._on_disconnect,
        }

    # Connection
    async def run(self) -> None:
        """Connect, and reconnect with backoff after each loss, until the session is closed."""
        while not self.is_closed:
            reason = await self._serve_connection()
            if self.connection.lost():
                self.counts.connections_lost += 1
            self.deliveries.on_connection_lost()
            now = self.core.now()
            until = self.backoff.failed(now)
            self._log.info(
                "broker connection lost",
                customer=self.customer,
                why=reason,
                again_in_ms=(until - now) // MILLISECOND,
            )
            await self.core.sleep_until(until)

    async def _serve_connection(self) -> str:
        """Connect, and handle packets until the connection ends; return the reason."""
        try:
            await self._open()
            while True:
                for packet in await self.connection.read():
                    self._handle(packet)
        except StreamClosedError as error:
            return str(error.real_error or "closed by the broker")
        except packets.MqttError as error:
            self.disconnect(error.code)
            return str(error)
        except (BrokerError, TimeoutError, OSError, ValueError) as error:
            return str(error) or repr(error)
        except Exception as error:  # after a defect of this program the session reconnects
            self.core.defect("mqtt", error)
            return repr(error)

    async def _open(self) -> None:
        accepted = await self.connection.open()
        session_present = bool(accepted.present)
        self.decoder.connection_opened()
        self.answers.connection_accepted(accepted)
        self.backoff.succeeded()
        self._log.info("broker connected", customer=self.customer, present=session_present)
        if not session_present:
            self._subscribe()
        self.answers.release_earlier(session_present)
        self.core.submit(self.deliveries.on_connected, session_present)
        self.answers.resend(session_present)

    def _subscribe(self) -> None:
        self.connection.write(
            packets.Packet(
                packets.SUBSCRIBE,
                self.answers.next_id(),
                props={},
                subscriptions=[packets.Subscription(self._subscription, EXACTLY_ONCE)],
            )
        )

    def disconnect(self, code: int = packets.SUCCESS) -> None:
        """Send a DISCONNECT with a reason code to the broker."""
        self.connection.write(packets.Packet(packets.DISCONNECT, code=code))

    def check(self, now: int) -> None:
        """Reject messages that can't begin in time, and check the keep-alive; called about every 50 ms."""
        self.core.submit(self.deliveries.reject_expired, now)
        action = self.connection.check_keep_alive(now)
        if action is KeepAlive.CLOSE:
            self._log.info("broker silent", customer=self.customer)
            self.connection.drop()
        elif action is KeepAlive.PING:
            self.deliveries.pings += 1  # its PINGRESP proves no more than those of other PINGREQs
            self.ping()

    # Packets from the broker
    def _handle(self, packet: packets.Packet) -> None:
        handler = self._handlers.get(packet.type)
        if handler is None:
            raise packets.MqttError(packets.PROTOCOL, f"a {packets.NAMES[packet.type]} from a broker")
        handler(packet)

    def _on_publish(self, packet: packets.Packet) -> None:
        topic = self.decoder.topic_of(packet)  # an error must be raised here to end the connection
        self.core.submit(self._message_arrived, packet, topic)

    def _on_pubrel(self, packet: packets.Packet) -> None:
        self.core.submit(self.deliveries.on_pubrel, packet.id)

    def _on_pingresp(self, _: packets.Packet) -> None:
        self.core.submit(self._ping_answered)

    def _on_suback(self, packet: packets.Packet) -> None:
        if any(code >= FIRST_ERROR_CODE for code in packet.codes):
            raise BrokerError(f"the broker refused the subscription: {packet.codes[0]:#x}")

    def _on_unsuback(self, _: packets.Packet) -> None:
        if self._unsubscribed is not None and not self._unsubscribed.done():
            self._unsubscribed.set_result(None)

    def _on_disconnect(self, packet: packets.Packet) -> None:
        raise BrokerError(f"the broker ended the connection: {packet.code:#x}")

    def _ping_answered(self) -> None:
        self.answers.earlier_released()
        self.deliveries.on_pingresp()

    def _message_arrived(self, packet: packets.Packet, topic: str) -> None:
        core = self.core
        now = core.now()
        self.counts.messages += 1
        self.counts.redelivered += packet.dup
        try:
            message = self.decoder.decode(packet, topic, now)
        except MessageRejectedError as error:
            self._reject_message(packet, error)
            return
        request = message.request
        self.deliveries.on_publish(
            now,
            packet.id,
            packet.qos,
            bool(packet.dup),
            core.terms.types[request.type].effect,
            deadlines.deadline(now, request.patience, core.gateway.timeouts[request.type]).due,
            fingerprint(packet, topic),
            message,
        )

    def _reject_message(self, packet: packets.Packet, error: MessageRejectedError) -> None:
        """Acknowledge an invalid message with a reason code, and answer it if that is allowed."""
        self.counts.rejected += 1
        if packet.qos:
            self.connection.write(_acknowledgement(packet.id, packet.qos, error.code))
        if error.response_topic is None or not str(error):
            return
        answer = self.answers.prepare(
            error.response_topic,
            packet.props.get("correlation_data"),
            problem_answer(AnswerStatus.REJECTED, str(error)),
            AT_LEAST_ONCE,
        )
        if answer is not None:
            self.connection.write(answer)

    # Calls from the core
    def message_answered(self, message: Message, has_completed: bool) -> None:
        """Send the final answer of a message, or keep it until it may be sent."""
        if message.delivery is None:  # not begun: the core has no answer for it
            return
        now = self.core.now()
        latency = now - message.request.arrived_at
        in_time = has_completed and latency <= message.target_latency
        self.deliveries.on_answer(now, message.delivery, in_time, latency)

    # DeliveryActions
    def acknowledge(self, packet_id: int, qos: int) -> None:
        """Send a PUBACK or PUBREC."""
        self.connection.write(_acknowledgement(packet_id, qos))

    def complete(self, packet_id: int) -> None:
        """Send a PUBCOMP."""
        self.connection.write(packets.Packet(packets.PUBCOMP, packet_id))

    def ping(self) -> None:
        """Send a PINGREQ."""
        self.connection.write(packets.Packet(packets.PINGREQ))

    def begin(self, delivery: Delivery) -> None:
        """Pass a message to the core."""
        message: Message = delivery.message
        message.delivery = delivery
        self.core.admit(message.request, message.function, message.rule, message.body, message)

    def reject(self, delivery: Delivery) -> None:
        """Reject a message that can't begin in time and never ran."""
        message: Message = delivery.message
        message.delivery = delivery
        message.final_answer = problem_answer(AnswerStatus.REJECTED, RejectionReason.NO_TIME)
        self.answer(delivery, with_acknowledgement=bool(delivery.qos))

    def abort(self, delivery: Delivery) -> None:
        """Abort a message that never ran here but may run on another dispatcher."""
        self.counts.aborts_due += 1
        message: Message = delivery.message
        message.final_answer = problem_answer(AnswerStatus.ABORTED, MAY_RUN_ELSEWHERE)
        self.answer(delivery, with_acknowledgement=False)

    def discard(self, delivery: Delivery) -> None:
        """End a message that runs here without an answer, because another dispatcher has received it."""
        self.counts.moved += 1
        message: Message = delivery.message
        if message.final_answer is None and message.activation_id is not None:
            message.final_answer = NO_ANSWER
            self.core.detach_client(message.activation_id, message)

    def answer(self, delivery: Delivery, with_acknowledgement: bool) -> None:
        """Send the final answer, together with the acknowledgement if that is due.

        Both are in the same write, so that the broker receives both, or if the connection breaks, at most the
        answer.
        """
        message: Message = delivery.message
        sent = []
        if message.response_topic is not None and message.final_answer and message.final_answer.properties:
            packet = self.answers.prepare(
                message.response_topic,
                message.correlation,
                message.final_answer,
                AT_LEAST_ONCE if with_acknowledgement else EXACTLY_ONCE,
            )
            if packet is not None:
                sent.append(packet)
        if with_acknowledgement and delivery.packet_id is not None:
            sent.append(_acknowledgement(delivery.packet_id, delivery.qos))
        if sent and self.connection.is_up:
            self.connection.write(*sent)

    # Closing
    async def drain(self) -> None:
        """Unsubscribe, and reject messages that have not begun; messages in flight continue."""
        if self.connection.is_up:
            self._unsubscribed = self.core.loop.create_future()
            self.connection.write(
                packets.Packet(
                    packets.UNSUBSCRIBE, self.answers.next_id(), props={}, topic_filters=[self._subscription]
                )
            )
            with contextlib.suppress(TimeoutError):  # continue even if the broker does not answer
                async with asyncio.timeout(self.connection.timeout):
                    await self._unsubscribed
        self.core.submit(self.deliveries.close)

    def is_idle(self) -> bool:
        """Return whether all messages are answered and the broker has the answers."""
        return self.deliveries.is_idle() and not self.answers.queued and not self.answers.in_flight

    def close(self) -> None:
        """Close the connection of the session."""
        self.is_closed = True
        self.disconnect()
        if self.task is not None:
            self.task.cancel()


def _acknowledgement(packet_id: int, qos: int, code: int = packets.SUCCESS) -> packets.Packet:
    """Return the PUBACK or PUBREC of a message."""
    kind = packets.PUBACK if qos == AT_LEAST_ONCE else packets.PUBREC
    return packets.Packet(kind, packet_id, code)
