"""The exact bytes that the MQTT front writes to a broker controlled by the test.

Activation ids and the random `retry-after-ms` are masked; everything else is compared unchanged.
"""

import asyncio
import re
import unittest
from unittest import mock

from kept import compare
from rig import FILE, KEY, Case, Worker, later, never
from test_mqtt import MQTT

from petrelwood.fronts.mqtt import Mqtt
from petrelwood.links import packets as mqtt
from petrelwood.settings import gateway

ACTIVATION = re.compile(r"d-[0-9a-f]+-[0-9a-f]+-[0-9a-z]+")


class Broker:
    """Records each packet of the front, and answers it like a broker if `answers` contains its type."""

    first_present = 0  # whether it has a session when the front connects for the first time

    def __init__(self):
        self.lines, self.present, self.writer = [], self.first_present, None
        self.answers = {
            mqtt.CONNECT: lambda p: mqtt.Packet(mqtt.CONNACK, present=self.present, props={}),
            mqtt.SUBSCRIBE: lambda p: mqtt.Packet(mqtt.SUBACK, p.id, props={}, codes=[2]),
            mqtt.UNSUBSCRIBE: lambda p: mqtt.Packet(mqtt.UNSUBACK, p.id, props={}, codes=[0]),
            mqtt.PINGREQ: lambda p: mqtt.Packet(mqtt.PINGRESP),
            mqtt.PUBREC: lambda p: mqtt.Packet(mqtt.PUBREL, p.id) if p.code < 0x80 else None,
            mqtt.PUBREL: lambda p: mqtt.Packet(mqtt.PUBCOMP, p.id),
            mqtt.PUBLISH: lambda p: mqtt.Packet(mqtt.PUBACK if p.qos == 1 else mqtt.PUBREC, p.id),
        }

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writer, packets = writer, mqtt.Reader()
        while data := await reader.read(65536):
            for packet in packets.feed(data):
                self.note(packet)
                answer = self.answers.get(packet.type)
                if answer is not None and (sent := answer(packet)) is not None:
                    self.send(sent)
        self.lines.append("-- closed by the front")

    def note(self, packet):
        if packet.type == mqtt.PUBLISH:
            users = packet.props.get("user", [])
            masked = [(name, ACTIVATION.sub("ACT", value)) for name, value in users]
            packet.props["user"] = [
                (name, "N" if name == "retry-after-ms" else value) for name, value in masked
            ]
        self.lines.append(f"{mqtt.NAMES[packet.type]:11} {mqtt.encode(packet).hex()}")

    def send(self, packet):
        self.writer.write(mqtt.encode(packet))

    def publish(self, id_, qos, function, correlation, dup=0, topic=None, **props):
        props = {"response_topic": "reply/x/1", "correlation_data": correlation, **props}
        props = {name: value for name, value in props.items() if value is not None}
        topic = f"act/x/{function.split('-')[0]}/{function}" if topic is None else topic
        self.send(
            mqtt.Packet(
                mqtt.PUBLISH,
                id_ if qos else 0,
                topic=topic,
                payload=b"{}",
                qos=qos,
                dup=dup,
                retain=0,
                props=props,
            )
        )


class Bytes(Case):
    async def begin(self, *workers):
        await super().begin(*workers)
        self.broker = Broker()
        port = await self.broker.open()
        text = FILE.format(roster=1, key=KEY, limits='body "20KB"', workers="")
        text += MQTT.format(port=port, session="5s", most=8, alive=60)
        self.mqtt = Mqtt(gateway.read("g.kdl", text).mqtt, self.core, self.log)
        self.core.fronts.append(self.mqtt)
        self.mqtt.open()
        (self.session,) = self.mqtt.sessions
        await self.until(lambda: self.session.connection.is_up)
        await self.noted("CONNECT" if self.broker.present else "SUBSCRIBE", 1)

    async def asyncTearDown(self):
        self.session.is_closed = True
        self.session.task.cancel()
        self.session.connection.drop()
        self.broker.writer.close()
        self.broker.server.close()
        await super().asyncTearDown()

    def count(self, *kinds):
        return sum(line.startswith(kinds) for line in self.broker.lines)

    async def noted(self, kind, times):
        """Wait until this number of packets of a type was recorded, and until no more packets arrive."""
        await self.until(lambda: self.count(kind) >= times)
        seen = -1
        while seen != len(self.broker.lines):
            seen = len(self.broker.lines)
            await asyncio.sleep(0.05)

    async def until_answered(self, count):
        """Wait until this number of answers was recorded and, if the broker acknowledges, acknowledged."""
        await self.noted("PUBLISH", count)
        if mqtt.PUBLISH in self.broker.answers:
            await self.until(lambda: not self.session.answers.in_flight)
            await self.noted("PUBLISH", count)

    async def test_each_quality_and_kind(self):
        await self.begin(Worker("w1"))
        count = 0
        for qos in (0, 1, 2):
            for kind in ("again", "hall", "once"):
                count += 1
                self.broker.lines.append(f"== {kind}, QoS {qos}")
                self.broker.publish(count, qos, f"{kind}-1", b"%d" % count)
                await self.until_answered(count)
        self.broker.lines.append("== no answer wanted")
        self.broker.publish(20, 1, "again-1", None, response_topic=None)
        await self.noted("PUBACK", 4)
        self.broker.lines.append("== the end")
        await self.end()
        compare(self, "mqtt_path", self.broker.lines)

    async def end(self):
        self.mqtt.drain()
        await self.until(self.mqtt.is_drained)
        self.mqtt.close_idle()
        await self.noted("DISCONNECT", 1)

    async def test_what_is_rejected(self):
        await self.begin(Worker("w1", never))
        count = 0
        for name, more in (
            ("another topic", {"topic": "act/x/again"}),
            ("another customer", {"topic": "act/y/again/again-1"}),
            ("no such function", {"topic": "act/x/again/unknown"}),
            ("another type", {"topic": "act/x/once/again-1"}),
            ("a foreign response topic", {"response_topic": "reply/y/1"}),
            ("an alias that was given", {"topic": "act/x/again/unknown", "topic_alias": 3}),
            ("its use", {"topic": "", "topic_alias": 3}),
            ("no time", {"message_expiry": 0}),
        ):
            for qos in (0, 1, 2):
                self.broker.lines.append(f"== {name}, QoS {qos}")
                count += 1
                answers, acks = self.count("PUBLISH"), self.count("PUBACK", "PUBREC")
                self.broker.publish(count, qos, "again-1", b"%d" % count, **more)
                await self.until(lambda acks=acks + bool(qos): self.count("PUBACK", "PUBREC") >= acks)
                await self.until_answered(answers + (name != "a foreign response topic"))
        self.broker.lines.append("== too late")
        self.broker.publish(30, 2, "once-1", b"late", message_expiry=1)
        await self.until_answered(count - 2)
        self.broker.lines.append("== an alias that was not given")
        self.broker.publish(31, 1, "again-1", b"alias", topic="", topic_alias=4)
        await self.noted("-- closed", 1)  # after a DISCONNECT with the reason
        await self.noted("CONNECT", 2)
        self.assertEqual(self.log.said("defect"), [])
        await self.until(lambda: self.session.connection.is_up)
        self.broker.lines.append("== a packet that no broker sends")
        self.broker.send(mqtt.Packet(mqtt.AUTH))
        await self.noted("-- closed", 2)
        await self.noted("CONNECT", 3)
        compare(self, "mqtt_rejected", self.broker.lines)

    async def test_a_break_with_and_without_a_session(self):
        for present in (1, 0):
            await self.begin(Worker("w1", later(0.3)))
            lines = self.broker.lines
            lines.append(
                f"== no answer is acknowledged; the session is {('gone', 'there')[present]} after it"
            )
            acknowledge = self.broker.answers.pop(mqtt.PUBLISH)
            for number, (kind, qos) in enumerate((("again", 1), ("once", 2), ("once", 1)), 1):
                self.broker.publish(number, qos, f"{kind}-1", b"%d" % number)
                await self.until_answered(number)
            self.broker.publish(9, 1, "again-1", b"9")
            await self.until(lambda: self.runs() == 4)
            self.broker.answers[mqtt.PUBLISH], self.broker.present = acknowledge, present
            self.broker.writer.close()
            await self.noted("CONNECT", 2)
            await self.until(lambda: self.session.connection.is_up)
            await asyncio.sleep(0.5)
            lines.append("== it comes again")
            self.broker.publish(9, 1, "again-1", b"9", dup=1)
            await asyncio.sleep(1)
            await self.end()
            compare(self, f"mqtt_break_{present}", lines)
            await self.asyncTearDown()

    async def test_a_session_of_an_earlier_process(self):
        with mock.patch.object(Broker, "first_present", 1):
            await self.begin(Worker("w1"))
        await self.noted("PINGREQ", 1)
        self.broker.publish(1, 2, "again-1", b"1")
        await self.until_answered(1)
        compare(self, "mqtt_earlier_process", self.broker.lines)


if __name__ == "__main__":
    unittest.main()
