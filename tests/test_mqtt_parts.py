"""Unit tests of the MQTT front: keep-alive, packet identifiers, patience."""

import types
import unittest

from petrelwood.fronts.mqtt_answers import PACKET_IDS, AnswerSender
from petrelwood.fronts.mqtt_connection import KeepAlive, MqttConnection
from petrelwood.fronts.mqtt_counts import MqttCounts
from petrelwood.fronts.mqtt_decoding import patience
from petrelwood.fronts.mqtt_message import Answer
from petrelwood.links import packets

SECOND = 1_000_000_000
TERMS = types.SimpleNamespace(
    max_packet_size=1000, keep_alive=20 * SECOND, max_queued_answers=2, connect_within=SECOND
)
ANSWER = Answer(b"{}", [("status", "completed")])


class Connections(unittest.TestCase):
    def test_keep_alive(self):
        connection = MqttConnection(TERMS, "d.x", lambda: 0)
        # the connection is not up
        self.assertIs(connection.check_keep_alive(100 * SECOND), KeepAlive.NOTHING)
        connection.is_up = True
        due = [connection.check_keep_alive(second * SECOND) for second in (5, 11, 12, 17, 20, 21)]
        self.assertEqual(
            due,
            [
                KeepAlive.NOTHING,
                KeepAlive.PING,
                KeepAlive.NOTHING,  # a quarter of the keep-alive must pass first
                KeepAlive.PING,
                KeepAlive.NOTHING,
                KeepAlive.CLOSE,
            ],
        )

    def test_a_loss_is_told_once(self):
        connection = MqttConnection(TERMS, "d.x", lambda: 0)
        connection.is_up = True
        self.assertEqual([connection.lost(), connection.lost()], [True, False])


class RecordingConnection(MqttConnection):
    """A connection that records written packets."""

    def __init__(self):
        super().__init__(TERMS, "d.x", lambda: 0)
        self.written, self.is_up = [], True

    def write(self, *sent):
        self.written += sent


class Answers(unittest.TestCase):
    def setUp(self):
        self.connection, self.log = RecordingConnection(), []
        log = types.SimpleNamespace(info=lambda event, **fields: self.log.append((event, fields)))
        self.answers = AnswerSender(TERMS, self.connection, MqttCounts(), log, "x")
        self.answers.release_earlier(session_present=False)

    def send(self, qos):
        return self.answers.prepare("reply/x/1", b"1", ANSWER, qos)

    def test_identifiers_go_round_and_pass_over_those_in_use(self):
        first = self.send(1)
        ids = [self.answers.next_id() for _ in range(PACKET_IDS)]
        self.assertEqual((first.id, ids[0], ids[-1]), (1, 2, 2))
        self.assertNotIn(first.id, ids)

    def test_no_identifier_is_left(self):
        for id_ in range(1, PACKET_IDS + 1):
            self.answers.in_flight[id_] = None
        with self.assertRaises(packets.MqttError) as caught:
            self.answers.next_id()
        self.assertEqual(caught.exception.code, packets.QUOTA)

    def test_an_acknowledgement_of_another_kind_finishes_nothing(self):
        first, second = self.send(1), self.send(2)
        for packet in (first, second):
            self.answers.on_pubcomp(packets.Packet(packets.PUBCOMP, packet.id))
        self.answers.on_puback(packets.Packet(packets.PUBACK, second.id))
        self.assertEqual(list(self.answers.in_flight), [1, 2])
        self.answers.on_puback(packets.Packet(packets.PUBACK, first.id))
        self.answers.on_pubrec(packets.Packet(packets.PUBREC, second.id))
        self.assertEqual(self.answers.in_flight, {2: None})
        self.answers.on_pubcomp(packets.Packet(packets.PUBCOMP, second.id))
        self.assertFalse(self.answers.in_flight)

    def test_a_rejected_answer_is_logged(self):
        packet = self.send(2)
        self.answers.on_pubrec(packets.Packet(packets.PUBREC, packet.id, packets.NOT_AUTHORIZED))
        self.assertFalse(self.answers.in_flight or self.connection.written)
        self.assertEqual(self.log, [("answer rejected by the broker", {"customer": "x", "code": "0x87"})])

    def test_the_queue_is_bounded_and_sent_once_the_connection_is_up(self):
        self.connection.is_up = False
        self.assertEqual([self.send(2) for _ in range(3)], [None] * 3)
        self.assertEqual(len(self.answers.queued), 2)
        self.connection.is_up = True
        self.answers.resend(session_present=False)
        self.assertEqual([packet.id for packet in self.connection.written], [1, 2])
        self.assertFalse(self.answers.queued)

    def test_none_of_quality_2_before_an_earlier_process_is_released(self):
        self.answers.awaits_release = True
        self.assertIsNotNone(self.send(1))
        self.assertIsNone(self.send(2))
        self.answers.earlier_released()
        self.assertEqual([packet.qos for packet in self.connection.written], [2])


class Patience(unittest.TestCase):
    def test_what_has_expired_on_its_way_is_not_unlimited(self):
        for props, wait in (({}, 0), ({"message_expiry": 3}, 3 * SECOND), ({"message_expiry": 0}, 1)):
            self.assertEqual(patience(packets.Packet(packets.PUBLISH, props=props)), wait)


if __name__ == "__main__":
    unittest.main()
