"""Which connections a link to a worker opens for its health checks: none beside one that is up or coming.

Played on `virtual`, on the link itself: a core of the test's own, a worker whose connections come up after
`CONNECT` and which answers when the test says so. Judged is what the worker sees: its connections, and which
lines came on which of them, in order."""

import types
import unittest
from unittest import mock

import virtual
from virtual import MS

from petrelwood import ports
from petrelwood.node import worker

CONNECT = 0.01  # seconds
ENOUGH = 0.05  # seconds in which what was handed to the link has come up, left and arrived
PERIODS = 20


class Host:
    """The worker: `connections` in the order in which they were asked for, `came` as (connection, type)."""

    def __init__(self):
        self.connections, self.came = [], []
        self.connect = [CONNECT]  # how long connections take to come up, the last one's for all that follow

    def joins(self, stream):
        self.connections.append(stream)
        return self.connect.pop(0) if len(self.connect) > 1 else self.connect[0]

    def transit(self):
        return 0.001

    def line(self, stream, said):
        self.came.append((self.connections.index(stream), said["type"], said["req"]))

    def answer(self, kind, word="HIT"):
        """Answers the oldest of a kind."""
        came = next(each for each in self.came if each[1] == kind)
        self.came.remove(came)
        self.connections[came[0]].says({"type": word, "req": came[2], "meta": {}})

    def seen(self):
        return [each[:2] for each in self.came]


class Core:
    """What the link asks of the core, and the ends that it told."""

    def __init__(self, room=100):
        self.clock = virtual.Clock()
        self.loop, self.now = self.clock.loop, self.clock.now
        self.tags, self.room, self.opened_lines, self.ends = 0, room, 0, []

    def behind(self):
        return False

    def may_open(self):
        return self.opened_lines < self.room

    makes_room = may_open

    def may_send(self, act_id, link):
        return True

    def may_send_order(self, at):
        return True

    def order_not_sent(self, at):
        pass

    def opened(self):
        self.opened_lines += 1

    def closed(self):
        self.opened_lines -= 1

    def active(self, link):
        pass

    def next_tag(self):
        self.tags += 1
        return f"n0-{self.tags}"

    def submit(self, call, *arguments):
        call(*arguments)

    def send_ended(self, act, n, worker_id, code, *more):
        self.ends.append((act, code))

    def load_order_ended(self, worker_id, fn, code, copies):
        self.ends.append((fn, code))

    def health_check_ended(self, worker_id, code, report):
        self.ends.append(("check", code))

    def note_loss(self, *what):
        pass

    def defect(self, where, fault):
        raise fault


class Play:
    """A link on its clock, and what a test does with it."""

    def __init__(self, streams=32, room=100):
        self.host, self.core = Host(), Core(room)
        terms = types.SimpleNamespace(
            streams=streams, connect_within=250 * MS, order_within=2000 * MS, idle=0, cancels=False
        )
        self.link = worker.NodeLink("s-1", ("h", 1), terms, self.core, mock.Mock())
        self.sends = 0

    def send(self):
        self.sends += 1
        owed = types.SimpleNamespace(
            id=f"a{self.sends}", type="plain", idempotency_mark="", body=b"x", function="f1"
        )
        self.link.run(owed, 0, 2000 * MS)

    async def passes(self, seconds=ENOUGH):
        done = self.core.loop.create_future()
        self.core.loop.call_later(seconds, done.set_result, None)
        await done
        self.link.check(self.core.now())


class HealthCheckConnections(unittest.TestCase):
    def play(self, script, **how):
        async def main():
            play = Play(**how)
            with (
                mock.patch.object(worker.sockets, "fresh", lambda host: None),
                mock.patch.object(worker, "Stream", lambda *_, **__: virtual.Stream(lambda _: play.host)),
            ):
                await script(play)
                play.link.give_up("the test is over")
                await play.passes()

        virtual.run(main())

    def test_alone_it_opens_one(self):
        async def script(play):
            play.link.check_health()
            await play.passes()
            self.assertEqual(play.host.seen(), [(0, "TOP")])
            play.host.answer("TOP", "PONG")
            await play.passes()
            self.assertEqual(play.core.ends, [("check", ports.EndReason.COMPLETED)])

        self.play(script)

    def test_before_a_send_of_the_same_turn(self):
        """The send has the connection that comes up, before the check."""

        async def script(play):
            play.link.check_health()
            play.send()
            await play.passes()
            self.assertEqual(len(play.host.connections), 1)
            self.assertEqual(play.host.seen(), [(0, "FN"), (0, "TOP")])

        self.play(script)

    def test_after_a_send_of_the_same_turn(self):
        async def script(play):
            play.send()
            play.link.check_health()
            await play.passes()
            self.assertEqual(len(play.host.connections), 1)
            self.assertEqual(play.host.seen(), [(0, "FN"), (0, "TOP")])

        self.play(script)

    def test_beside_an_order_of_the_same_turn(self):
        async def script(play):
            play.link.check_health()
            play.link.order_load("f1", 1, 1)
            await play.passes()
            self.assertEqual(len(play.host.connections), 1)
            self.assertEqual(play.host.seen(), [(0, "SPAWN"), (0, "TOP")])

        self.play(script)

    def test_beside_a_send_that_is_out(self):
        """It does not wait for the answer of what it shares with."""

        async def script(play):
            play.send()
            await play.passes()
            play.link.check_health()
            await play.passes()
            self.assertEqual(len(play.host.connections), 1)
            self.assertEqual(play.host.seen(), [(0, "FN"), (0, "TOP")])
            play.host.answer("TOP", "PONG")
            play.host.answer("FN")
            await play.passes()
            self.assertEqual(
                play.core.ends, [("check", ports.EndReason.COMPLETED), ("a1", ports.EndReason.COMPLETED)]
            )

        self.play(script)

    def test_it_takes_a_free_connection_first(self):
        async def script(play):
            play.send()
            play.send()
            await play.passes()
            self.assertEqual(play.host.seen(), [(0, "FN"), (1, "FN")])
            play.host.answer("FN")
            await play.passes()
            play.link.check_health()
            await play.passes()
            self.assertEqual(play.host.seen(), [(1, "FN"), (0, "TOP")])
            self.assertEqual(len(play.host.connections), 2)

        self.play(script)

    def test_where_calls_must_not_share_it_waits_and_holds_up_no_send(self):
        async def script(play):
            play.send()
            await play.passes()
            play.link.check_health()
            play.send()
            await play.passes()
            self.assertEqual(play.host.seen(), [(0, "FN"), (1, "FN")])  # the send's own connection, as ever
            play.host.answer("FN")
            await play.passes()
            self.assertEqual(play.host.seen(), [(1, "FN"), (0, "TOP")])

        self.play(script, streams=1)

    def test_two_sends_have_two_connections_whatever_checks_wait(self):
        async def script(play):
            play.link.check_health()
            play.send()
            play.send()
            play.link.check_health()
            await play.passes()
            self.assertEqual(len(play.host.connections), 2)
            sends = [connection for connection, kind in play.host.seen() if kind == "FN"]
            self.assertEqual((sends, len(play.host.seen())), ([0, 1], 4))

        self.play(script)

    def test_one_that_never_comes_up_ends_one_call_and_the_next_opens_another(self):
        async def script(play):
            play.host.connect = [None, CONNECT]
            play.link.check_health()
            play.send()
            await play.passes(0.3)
            self.assertEqual(len(play.host.connections), 2)
            # the check left on the second one; by now it has been out for longer than a connection may take
            self.assertEqual(play.host.seen(), [(1, "TOP")])
            self.assertEqual(
                play.core.ends, [("a1", ports.EndReason.NO_CONNECTION), ("check", ports.EndReason.TIMED_OUT)]
            )

        self.play(script)

    def test_without_room_for_a_connection_it_ends_at_once(self):
        async def script(play):
            play.link.check_health()
            self.assertEqual(play.core.ends, [("check", ports.EndReason.FULL)])
            self.assertEqual(play.host.connections, [])

        self.play(script, room=0)

    def test_one_connection_is_enough_for_a_send_and_a_check_time_after_time(self):
        async def script(play):
            for period in range(PERIODS):
                play.link.check_health()
                if period % 2:
                    play.send()
                await play.passes()
                play.host.answer("TOP", "PONG")
                if period % 2:
                    play.host.answer("FN")
                await play.passes()
            self.assertEqual(len(play.core.ends), PERIODS + PERIODS // 2)
            self.assertEqual({code for _, code in play.core.ends}, {ports.EndReason.COMPLETED})
            # a send that finds the only connection with a check that is not answered opens one, as before
            self.assertLessEqual(len(play.host.connections), 2)

        self.play(script)


if __name__ == "__main__":
    unittest.main()
