"""Faults from the operators' trial days that no other test forces: after a long quiet period, on idle
connections, at retries, and with very little time left.

The core, the module and the links of the node run on the virtual clock of `ration`. Each request must get one
final answer, at most `GRACE_S` after its deadline; a removed worker must get nothing after the grace period;
and no activation may be sent more often than allowed."""

import copy
import unittest
from collections import Counter
from unittest import mock

import node_site
import ration

from petrelwood.node import service

GRACE_S = 0.5  # the maximum delay of a final answer after the deadline of its request
ATTEMPTS = 3  # the maximum number of sends in `node_site.SETTINGS`
BUSY_S, QUIET_S = 6.0, 600.0  # the duration of the first calls, and of the quiet period after them
AGAIN_S = BUSY_S + QUIET_S  # when calls begin again
IDLE_S = 2.0  # the idle timeout of connections in these workers; the settings state 30 s


class TimedExchange(ration.Exchange):
    """Records when it was answered."""

    ended_at = None

    def answer(self, what, *arguments, **more):
        super().answer(what, *arguments, **more)
        self.ended_at = self.world.clock.loop.time()


class World(ration.World):
    """`worker`: the class of the workers; `quiet`: the start and end of the period without calls (s)."""

    worker, quiet = ration.Worker, (0.0, 0.0)

    def __init__(self, case):
        super().__init__(case)
        self.exchanges, self.sends = [], Counter()

    def add_worker(self):
        self.workers_added += 1
        self.hosts[self.workers_added] = self.worker(self, f"w{self.workers_added}", self.workers_added)

    def client(self):
        since, until = self.quiet
        if since <= self.clock.loop.time() < until:
            self.later(until - self.clock.loop.time(), self.client)
        else:
            super().client()

    def send_request(self, fn, bad, ttl, id_=None):
        exchange = TimedExchange(self, bad)
        self.exchanges.append((exchange, exchange.sent + ttl / 1000))
        self.number += 1
        self.later(self.case.read_lag / 1000, self.read, exchange, f"{self.number:016x}", fn, ttl)
        return exchange


class Worker(ration.Worker):
    """Counts the sends of each activation."""

    def line(self, stream, said):
        if said["type"] == "FN" and self.world.clock.loop.time() >= self.hung_until:
            self.world.sends[said["req"]] += 1
        super().line(stream, said)


class ForgetsIdle(Worker):
    """Drops the state of a connection that was idle for `IDLE_S`, and never answers on it again."""

    def line(self, stream, said):
        now, last = self.world.clock.loop.time(), getattr(stream, "used", None)
        if last is not None and now - last > IDLE_S:
            return
        stream.used = now
        super().line(stream, said)


class ClosesIdle(Worker):
    """Closes a connection that was idle for `IDLE_S`."""

    def line(self, stream, said):
        stream.used = self.world.clock.loop.time()
        self.world.later(IDLE_S, self.close_idle, stream, stream.used)
        super().line(stream, said)

    def close_idle(self, stream, used):
        if stream.used == used:
            stream.close()


class FailsRepeats(Worker):
    """Fails an activation at once if any worker received it before."""

    def line(self, stream, said):
        hung = self.world.clock.loop.time() < self.hung_until
        if said["type"] == "FN" and self.world.sends[said["req"]] and not hung:
            self.world.sends[said["req"]] += 1
            self.world.failed += 1
            stream.says({"type": "FAULT", "req": said["req"], "meta": {}})
        else:
            super().line(stream, said)


class FailsAll(Worker):
    """Fails every activation at once."""

    def line(self, stream, said):
        if said["type"] == "FN":
            self.world.sends[said["req"]] += 1
            stream.says({"type": "FAULT", "req": said["req"], "meta": {}})
        else:
            super().line(stream, said)


class DropsWhatIsLate(Worker):
    """Silently drops activations that it could not answer within their announced patience."""

    def ran(self, stream, said):
        took = self.world.clock.loop.time() - self.world.arrived.pop((self.name, said["req"]))
        if took > float(said["meta"]["patience"]) / 1000:
            self.world.dropped += 1
        else:
            super().ran(stream, said)

    def line(self, stream, said):
        if said["type"] == "FN" and self.world.clock.loop.time() >= self.hung_until:
            self.world.arrived[self.name, said["req"]] = self.world.clock.loop.time()
        super().line(stream, said)


class Faults(unittest.TestCase):
    def play(self, worker, seconds=14, quiet=(0.0, 0.0), make=World, **figures):
        """Run a case and return its `World`; without `figures` the case has no faults."""
        figures = {
            "replacements": 0,
            "floods": 0,
            "unknown_share": 0,
            "cancel_share": 0,
            "off_peak_factor": 1,
            **figures,
        }
        figures = {"late_share": 0, "never_share": 0, "refused_share": 0, "base_orders": 50, **figures}
        world = make(ration.Case(5, seconds=quiet[1] + seconds, **figures))
        world.worker, world.quiet, world.failed, world.dropped, world.arrived = worker, quiet, 0, 0, {}
        return ration.run_world(world)

    def check(self, world):
        end = world.clock.loop.time()
        late = [
            (due, exchange.ended, exchange.ended_at)
            for exchange, due in world.exchanges
            if due + GRACE_S < end and not (exchange.ended and exchange.ended_at <= due + GRACE_S)
        ]
        self.assertEqual(late, [])
        self.assertEqual(world.after_grace, [])
        self.assertLessEqual(max(world.sends.values()), ATTEMPTS)

    def served(self, world):
        """Return the share of completed requests, after the quiet period if there is one."""
        ends = [exchange.ended for exchange, _ in world.exchanges if exchange.sent >= world.quiet[1]]
        return sum(end == "completed" for end in ends) / len(ends)


class AfterQuiet(Faults):
    """Ten minutes without calls and list changes, then calls and a fault at once."""

    def test_workers_are_replaced_as_the_first_calls_come(self):
        class Replaced(World):
            """A world in which all lists but the first one arrive late."""

            def publish_list(self):
                if self.serial:
                    self.later(1.0, super().publish_list)
                else:
                    super().publish_list()

            async def run(self):
                self.scheduled_call = (AGAIN_S + 0.2, self.replace)
                return await super().run()

        for worker in (Worker, ForgetsIdle):
            with self.subTest(worker.__name__):
                world = self.play(worker, quiet=(BUSY_S, AGAIN_S), make=Replaced)
                self.check(world)
                self.assertGreater(self.served(world), 0.5)

    def test_half_of_the_workers_hang_as_the_first_calls_come(self):
        class Hanging(World):
            def hang_half(self):
                for host in list(self.hosts.values())[::2]:
                    host.hung_until = AGAIN_S + QUIET_S

            async def run(self):
                self.scheduled_call = (AGAIN_S, self.hang_half)
                return await super().run()

        world = self.play(Worker, quiet=(BUSY_S, AGAIN_S), make=Hanging)
        self.check(world)
        self.assertGreater(self.served(world), 0.4)


class Restarting(World):
    """A world in which six in ten workers are replaced in steps while the dispatcher is killed and
    restarted."""

    STEPS, FROM_S, UNTIL_S = 4, 5.0, 10.0
    KILLS_S = (5.4, 7.1, 8.8)

    async def run(self):
        self.replace_in_steps(self.STEPS, self.FROM_S, self.UNTIL_S)
        self.kills = 0
        return await super().run()

    def publish_list(self):
        if not self.serial:
            self.make_mortal()
            for at in self.KILLS_S:
                self.later(at, self.restart)
        super().publish_list()

    def make_mortal(self):
        """Drop the pending timers of the dispatcher once it is dead."""
        clock, at = self.node.clock, self.node.clock.at
        clock.dead = False
        clock.at = lambda when, call, *args: at(when, lambda: clock.dead or call(*args))

    def restart(self):
        """Restart the dispatcher: its queue is lost, its sends still arrive, and the new one knows only the
        list."""
        old = self.node
        old.clock.dead = True
        old.events.running = True  # submitted calls stay queued
        old.next_check.cancel()
        for link in old.links.values():
            link.waiting.clear()
            for line in link.connections:
                line.stream.close()
        for exchange, _ in self.exchanges:
            if exchange.ended is None and exchange.sent + self.case.read_lag / 1000 <= self.clock.loop.time():
                exchange.ended, exchange.ended_at = "killed", self.clock.loop.time()
        self.kills += 1
        self.node = service.Node(old.gateway, ration.Log())
        self.make_mortal()
        super().publish_list()
        self.node._check()


class RestartsAndDrains(Faults):
    def test_in_fleets_of_several_sizes(self):
        for workers in (8, 36, 400):
            with self.subTest(workers):
                world = self.play(Worker, make=Restarting, workers=workers)
                self.check(world)
                self.assertEqual(world.kills, len(Restarting.KILLS_S))
                gone = [host for host in world.hosts.values() if host.gone_at is not None]
                self.assertGreaterEqual(len(gone), 0.4 * workers)
                self.assertGreater(self.served(world), 0.5)

    def test_a_dispatcher_that_forgets_what_drains_is_seen(self):
        """The checks must fail if removed workers stay in the list forever."""

        class Forgetful(Restarting):
            def publish_list(self):
                gone = {port: host.gone_at for port, host in self.hosts.items() if host.gone_at is not None}
                for port in gone:
                    self.hosts[port].gone_at = None
                super().publish_list()
                for port, at in gone.items():
                    self.hosts[port].gone_at = at

        with self.assertRaises(AssertionError):
            self.check(self.play(Worker, make=Forgetful, workers=36))


class IdleConnections(Faults):
    def test_forgotten(self):
        world = self.play(ForgetsIdle, rate=20)
        self.check(world)
        self.assertGreater(self.served(world), 0.5)

    def test_closed(self):
        world = self.play(ClosesIdle, rate=20)
        self.check(world)
        self.assertGreater(self.served(world), 0.6)


class Repeats(Faults):
    def test_retries_and_hedged_requests_that_fail_at_once(self):
        world = self.play(FailsRepeats, hang_share=0.3, hang_seconds=2)
        self.check(world)
        self.assertGreater(world.failed, 10)
        self.assertGreater(self.served(world), 0.5)


class Broken(Faults):
    """The checks must detect deliberate violations."""

    def test_an_attempt_too_many(self):
        raised = copy.deepcopy(node_site.SETTINGS)
        raised["permissions"]["maxAttempts"] = ATTEMPTS + 5
        with mock.patch.object(ration, "SETTINGS", raised), self.assertRaises(AssertionError):
            self.check(self.play(FailsAll, target=2000))

    def test_answers_that_come_late(self):
        class Patient(World):
            """A world in which the dispatcher gets a longer patience than the client has."""

            def read(self, exchange, id_, fn, ttl):
                super().read(exchange, id_, fn, 5 * ttl)

        with self.assertRaises(AssertionError):
            self.check(self.play(Worker, make=Patient, hang_share=0.5, hang_seconds=8))


class LittleTime(Faults):
    def test_requests_with_little_time_left_that_workers_drop_without_a_word(self):
        class Short(World):
            def send_request(self, fn, bad, ttl, id_=None):
                return super().send_request(fn, bad, self.chance.choice((1, 5, 20, 60, 200, 1200)), id_)

        world = self.play(DropsWhatIsLate, make=Short)
        self.check(world)
        self.assertGreater(world.dropped, 10)
        self.assertGreater(self.served(world), 0.2)


if __name__ == "__main__":
    unittest.main()
