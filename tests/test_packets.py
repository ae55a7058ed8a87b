"""The MQTT 5 codec: round trips, all truncations, all bit flips. Malformed data raises only MqttError, with a
reason code."""

import dataclasses
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from petrelwood.links import packets as mqtt
from petrelwood.links import rpc, sse
from petrelwood.links.mqtt import properties

P = mqtt.Packet
WORD = st.text(st.characters(exclude_characters="+#\0", exclude_categories=("Cs",)), min_size=1, max_size=20)
PUBLISHED = st.builds(
    lambda topic, payload, qos, dup, retain, id_, props: P(
        mqtt.PUBLISH,
        id_ if qos else 0,
        topic=topic,
        payload=payload,
        qos=qos,
        dup=dup if qos else 0,
        retain=retain,
        props=props,
    ),
    WORD,
    st.binary(max_size=40),
    st.integers(0, 2),
    st.integers(0, 1),
    st.integers(0, 1),
    st.integers(1, 65535),
    st.fixed_dictionaries(
        {},
        optional={
            "message_expiry": st.integers(0, 2**32 - 1),
            "response_topic": WORD,
            "correlation_data": st.binary(max_size=9),
            "content_type": WORD,
            "topic_alias": st.integers(1, 65535),
            "subscription_id": st.lists(st.integers(1, 2**28 - 1), min_size=1, max_size=3),
            "user": st.lists(st.tuples(WORD, WORD), min_size=1, max_size=3),
        },
    ),
)
ACK = st.builds(
    lambda type_, id_, code, reason: P(type_, id_, code, props={"reason": reason} if reason else {}),
    st.sampled_from(mqtt.ACKS),
    st.integers(1, 65535),
    st.integers(0, 255),
    st.one_of(st.none(), WORD),
)
CORPUS = [
    P(
        mqtt.CONNECT,
        client="c",
        clean=1,
        keep_alive=30,
        user="u",
        password=b"p",
        props={"session_expiry": 9},
        will=P(mqtt.PUBLISH, topic="gone", payload=b"x", qos=1, dup=0, retain=1, props={"will_delay": 3}),
    ),
    P(mqtt.CONNACK, present=1, code=0, props={"receive_maximum": 7, "reason": "well"}),
    P(
        mqtt.PUBLISH,
        3,
        topic="act/x/y",
        payload=b"hi",
        qos=2,
        dup=1,
        retain=0,
        props={
            "response_topic": "reply/x",
            "correlation_data": b"\0\1",
            "message_expiry": 4,
            "user": [("a", "b")],
        },
    ),
    P(mqtt.PUBACK, 3, 0x97),
    P(mqtt.PUBREL, 3),
    P(mqtt.PUBCOMP, 3, 0x92, props={"user": [("a", "b")]}),
    P(
        mqtt.SUBSCRIBE,
        2,
        props={"subscription_id": 5},
        subscriptions=[mqtt.Subscription("$share/g/act/+/#", 1)],
    ),
    P(mqtt.SUBACK, 2, props={}, codes=[1, 0x87]),
    P(mqtt.UNSUBSCRIBE, 2, props={}, topic_filters=["a/#"]),
    P(mqtt.PINGREQ),
    P(mqtt.PINGRESP),
    P(mqtt.DISCONNECT, code=0x8E, props={"reason": "taken over"}),
    P(mqtt.AUTH, code=0x18),
]


def read(data, max_size=10_000):
    return list(mqtt.Reader(max_size).feed(data))


class Codec(unittest.TestCase):
    def test_the_corpus_comes_back(self):
        for packet in CORPUS:
            self.assertEqual(read(mqtt.encode(packet)), [packet])

    def test_each_property_comes_back_where_it_belongs_and_is_refused_elsewhere(self):
        values = {
            properties.Form.TEXT: "t",
            properties.Form.BINARY: b"b",
            properties.Form.TEXT_PAIRS: [("a", "b")],
        }
        for each in properties.PROPERTIES:
            value = values.get(each.form, 1)
            for packet in CORPUS:
                is_list = packet.type == mqtt.PUBLISH and each.name == "subscription_id"
                changed = dataclasses.replace(packet, props={each.name: [value] if is_list else value})
                if packet.type in each.carriers:
                    self.assertEqual(read(mqtt.encode(changed)), [changed])
                elif packet.type not in (mqtt.PINGREQ, mqtt.PINGRESP):
                    with self.assertRaises(mqtt.MqttError) as caught:
                        read(mqtt.encode(changed))
                    self.assertEqual(caught.exception.code, mqtt.MALFORMED)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(st.one_of(PUBLISHED, ACK), max_size=5), st.integers(1, 17))
    def test_any_packets_come_back_in_pieces_of_any_size(self, packets, size):
        data, reader, found = b"".join(map(mqtt.encode, packets)), mqtt.Reader(), []
        for i in range(0, len(data), size):
            found += reader.feed(data[i : i + size])
        self.assertEqual(found, packets)

    def test_every_truncation_waits_or_is_refused(self):
        for packet in CORPUS:
            whole = mqtt.encode(packet)
            for size in range(len(whole)):
                self.assertEqual(read(whole[:size]), [])
                if size > 2:  # the same bytes with a remaining length that matches them
                    short = bytes((whole[0], size - 2)) + whole[2:size]
                    try:
                        self.assertEqual(len(read(short)), 1)
                    except mqtt.MqttError as fault:
                        self.assertGreaterEqual(fault.code, 0x80)

    def test_every_flipped_bit_is_a_packet_or_a_reason(self):
        ends = {"packet": 0, "reason": 0, "waits": 0}
        for packet in CORPUS:
            whole = mqtt.encode(packet)
            for bit in range(8 * len(whole)):
                flipped = bytearray(whole)
                flipped[bit // 8] ^= 1 << bit % 8
                try:
                    ends["packet" if read(bytes(flipped)) else "waits"] += 1
                except mqtt.MqttError as fault:
                    self.assertGreaterEqual(fault.code, 0x80)
                    ends["reason"] += 1
        self.assertTrue(all(ends.values()), ends)

    @settings(max_examples=500, deadline=None, derandomize=True)
    @given(st.binary(max_size=200))
    def test_any_bytes_end_in_packets_or_a_reason(self, data):
        try:
            for packet in read(data):
                mqtt.encode(packet)
        except mqtt.MqttError as fault:
            self.assertGreaterEqual(fault.code, 0x80)

    def test_too_large_is_known_before_it_is_read(self):
        with self.assertRaises(mqtt.MqttError) as caught:
            read(b"\x30\xff\xff\xff\x7f")
        self.assertEqual(caught.exception.code, mqtt.TOO_LARGE)
        with self.assertRaises(mqtt.MqttError):
            read(b"\x30\xff\xff\xff\xff\x01")

    def test_topics_and_filters(self):
        for name, good in (
            ("a/b", 1),
            ("+/b/#", 1),
            ("a/#/b", 0),
            ("a+", 0),
            ("", 0),
            ("$share/g/a", 1),
            ("$share/g", 0),
            ("$share/+/a", 0),
            ("#", 1),
        ):
            self.assertEqual(mqtt.is_topic_filter(name), bool(good), name)
        for pattern, topic, good in (
            ("a/+", "a/b", 1),
            ("a/+", "a/b/c", 0),
            ("a/#", "a", 1),
            ("a/#", "a/b/c", 1),
            ("#", "$SYS/x", 0),
            ("+", "a", 1),
            ("a/b", "a", 0),
            ("+/+", "/", 1),
        ):
            self.assertEqual(mqtt.matches(pattern, topic), bool(good), (pattern, topic))


class OtherReaders(unittest.TestCase):
    """The formats of workers and of the roster, tested in the same way."""

    def test_rpc_any_bytes_end_in_messages_or_garbage(self):
        chance = random.Random(4)
        whole = rpc.request(7, "run", ["a", 0, "f", "x/m", 5, 1, b"body"]) + rpc.response(
            7, None, ["a", 0, 1, b"", {}]
        )
        garbage = 0
        for _ in range(3000):
            data = bytearray(whole)
            for _ in range(chance.randrange(1, 4)):
                data[chance.randrange(len(data))] ^= 1 << chance.randrange(8)
            try:
                rpc.Reader(10_000).feed(bytes(data))
            except rpc.MalformedRpcError:
                garbage += 1
        self.assertGreater(garbage, 100)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.binary(max_size=100), st.integers(1, 9))
    def test_events_in_any_pieces(self, noise, size):
        data, events, found = (
            sse.event("list", "[1]", "e-1")
            + b": beat\n\n"
            + noise.replace(b"\r", b"")
            + b"\n\n"
            + sse.event("change", "[2]", "e-2"),
            sse.EventReader(),
            [],
        )
        for i in range(0, len(data), size):
            found += events.feed(data[i : i + size])
        self.assertEqual((found[0], found[-1][1]), (("list", "[1]", "e-1"), "[2]"))
