"""Rule 5, the rate limit of load orders, as seen by the workers; `ration` has the simulation."""

import types
import unittest
from unittest import mock

import ration
import virtual

from petrelwood import ports
from petrelwood.decide.cluster.link_state import CallDecision
from petrelwood.decide.scheduling.load_order_limit import LoadOrderLimit
from petrelwood.decide.scheduling.records import Function, LoadCredit
from petrelwood.emulate import link as emulate_link
from petrelwood.links import worker as links_worker
from petrelwood.node import worker

MS = virtual.MS
CASES = {
    "as the site that broke it has it": {},
    "no ration": {"period": 0},
    "nothing for activations": {"orders_per_activation": 0},
    "nothing free": {"base_orders": 0, "orders_per_activation": 0.5},
    "many free": {"base_orders": 50, "orders_per_activation": 0.01},
    "a period under the time to connect": {"period": 500, "connect_timeout": 1500},
    "a period near the target latency": {"period": 2000, "target": 1800},
    "a long period": {"period": 40_000, "seconds": 50, "floods": 0.05},
    "few connections": {"streams": 1, "never_share": 0.2},
    "all connections late": {"late_share": 1.0, "workers": 100, "replacements": 20, "connect_timeout": 1500},
    "late, and none made": {"late_share": 1.0, "connect_timeout": 50, "never_share": 0.2},
    "half of it for what nobody has": {"unknown_share": 0.5},
    "a fifth hang for longer than the period": {"hang_share": 0.2, "workers": 40},
    "a fifth hang for a while": {"hang_share": 0.2, "hang_seconds": 3},
    "floods": {"floods": 2.0, "seconds": 12},
    "all give up": {"cancel_share": 0.9},
    "read late": {"read_lag": 150},
    "hundreds of workers, replaced": {"workers": 300, "replacements": 5, "floods": 0.05, "rate": 80},
}


class Judged(unittest.TestCase):
    def test_no_window_at_any_worker_has_more_orders_than_its_activations_bear(self):
        for seed, (name, changes) in enumerate(CASES.items()):
            with self.subTest(name):
                world = ration.run_case(ration.Case(seed, **changes))
                self.assertGreater(len(world.orders), 3)
                self.assertGreater(world.ends["completed"], 0)
                if world.case.period:
                    self.assertLessEqual(world.worst[0], 1e-6, world.worst)
                else:
                    self.assertIsNone(world.worst)

    def test_the_judge_sees_a_dispatcher_that_breaks_it(self):
        def always_allow(self, now, share=1.0):
            return self.orders.allowed

        def credit_at_once(self, act, now):  # each activation that is sent raises the limit
            if act.load_credit is LoadCredit.NONE:
                act.load_credit = LoadCredit.COUNTED
                self.credited.add(act.arrived_at)

        for what, changes in (
            ("may_order", {"floods": 0}),
            ("credit", {"unknown_share": 0.5}),
            ("credit", {"floods": 0.5}),
        ):
            with (
                self.subTest(what=what, **changes),
                mock.patch.object(
                    LoadOrderLimit, what, {"may_order": always_allow, "credit": credit_at_once}[what]
                ),
            ):
                self.assertGreater(ration.run_case(ration.Case(1, **changes)).worst[0], 3)


class Late(unittest.TestCase):
    """Load orders that have waited for their connection."""

    def play(self, connect_delay, script, **changes):
        """Run `script(world)` with one worker, whose connections are up after this delay (s; None: never)."""
        case = ration.Case(
            1,
            workers=1,
            floods=0,
            rate=1e-9,
            replacements=0,
            period=1000,
            base_orders=0,
            orders_per_activation=0.1,
            connect_timeout=1500,
            seconds=6,
            late_share=0,
            never_share=0,
            refused_share=0,
            **changes,
        )
        world = ration.World(case)
        world.client = lambda: script(world)
        with mock.patch.object(ration.Worker, "joins", lambda _, stream: connect_delay):
            return ration.run_world(world)

    @staticmethod
    def order_loads(world, orders):
        """Try to order this number of loads now, and return how many the scheduler could order."""
        module = world.node.scheduler
        ordered = 0
        for n in range(orders):
            fn = module.functions.setdefault(f"{n:016x}", Function(f"{n:016x}"))
            ordered += bool(module.actions.order_load(fn, module.fleet.usable[0], world.node.now()))
        return ordered

    def test_an_order_whose_right_has_gone_while_it_waited_does_not_leave(self):
        """Forty activations allow four load orders; the connection is established after their window."""
        ordered = []

        def script(world):
            world.node.scheduler.load_orders.credited.add(world.node.now(), 40)
            world.later(0.5, lambda: ordered.append(self.order_loads(world, 9)))
            world.later(2.0, lambda: ordered.append(self.order_loads(world, 9)))
            world.later(2.05, world.node.scheduler.load_orders.credited.add, world.node.now() + 2050 * MS, 20)
            world.later(2.1, lambda: ordered.append(self.order_loads(world, 9)))

        world = self.play(0.9, script)
        self.assertEqual(ordered, [4, 0, 2])
        # those of 2.1 s, on the connection that is established by then
        self.assertEqual(len(world.orders), 2)

    def test_an_order_counts_from_when_it_left(self):
        """Decided at 0.1 s and sent at 0.6 s, the orders are still in the window at 1.3 s."""
        ordered = []

        def script(world):
            world.node.scheduler.load_orders.credited.add(world.node.now(), 40)
            world.later(0.1, lambda: ordered.append(self.order_loads(world, 9)))
            world.later(1.2, lambda: world.node.scheduler.load_orders.credited.add(world.node.now(), 40))
            world.later(1.3, lambda: ordered.append(self.order_loads(world, 9)))
            world.later(1.9, lambda: ordered.append(self.order_loads(world, 9)))

        world = self.play(0.5, script)
        self.assertEqual(ordered, [4, 0, 4])
        self.assertEqual(len(world.orders), 8)

    def test_an_order_that_never_left_does_not_count(self):
        """The worker drains while the load order waits for a connection that is never established."""
        ordered = []

        def script(world):
            world.node.scheduler.load_orders.credited.add(world.node.now(), 40)
            world.later(0.1, lambda: ordered.append(self.order_loads(world, 9)))
            world.later(0.2, world.replace, 1)
            world.later(0.3, lambda: ordered.append(self.order_loads(world, 9)))

        world = self.play(None, script)
        self.assertEqual((ordered, world.orders), ([4, 4], []))

    def test_an_order_waits_no_longer_than_for_its_answer(self):
        """The only connection is occupied by a send that is never answered, and no other may be opened."""
        ends = []

        def script(world):
            node = world.node
            node.resource_limits.workers = 1
            node.scheduler.load_orders.credited.add(node.now(), 200)
            self.order_loads(world, 1)
            node.load_order_ended = lambda worker_, fn, code, copies: ends.append(
                (round(node.now() / 1e9), code)
            )
            world.later(0.3, lambda: self.order_loads(world, 2))
            world.later(0.4, lambda: self.order_loads(world, 1))

        with (
            mock.patch.object(ration.Worker, "line", lambda *_: None),
            mock.patch.object(worker.NodeLink, "_close_if_unresponsive", lambda *_: None),
        ):
            self.play(0.1, script, streams=2)
        self.assertEqual(
            sorted(ends),
            [
                (2, ports.EndReason.NOT_SENT),
                (2, ports.EndReason.NOT_SENT),
                (2, ports.EndReason.TIMED_OUT),
                (2, ports.EndReason.TIMED_OUT),
            ],
        )


class Others(unittest.TestCase):
    """The same with the link of the webhook dispatcher and with that of the emulator."""

    class Core:
        """The interface of the core to a link, with a clock that is set. `checked` and `not_sent` are the
        times of the load orders for which it was called."""

        name, reconnects = "n0", None

        def __init__(self, allows):
            self.time, self.allows, self.checked, self.not_sent, self.ends = 0, allows, [], [], []
            self.loop = types.SimpleNamespace(call_soon=lambda *_: None)

        def now(self):
            return self.time

        def may_send_order(self, at):
            self.checked.append(at)
            return self.allows(at)

        def order_not_sent(self, at):
            self.not_sent.append(at)

        def submit(self, call, *args):
            call(*args)

        def load_order_ended(self, worker_, fn, code, copies):
            self.ends.append((fn, code))

        def schedule_checks(self, link):
            pass

    TERMS = types.SimpleNamespace(
        connect_within=100, quiet=10**9, queue=1 << 20, frame=1 << 16, order_within=10**9
    )

    def order_before_connected(self, link, core):
        """Give two load orders, at 0 and at 50, before the connection is established."""
        link.order_load("early", 1, 1)
        core.time = 50
        link.order_load("late", 1, 1)
        core.time = 90

    def check_first_order_not_sent(self, core):
        self.assertEqual(
            (core.checked, core.not_sent, core.ends), ([0, 50], [0], [("early", ports.EndReason.NOT_SENT)])
        )

    def test_the_link_of_the_webhook_dispatcher(self):
        core, written = self.Core(lambda at: at > 0), []
        link = links_worker.WorkerLink("w", ("h", 1), self.TERMS, lambda: 0.5, core, None)
        link._connect = link.state.on_connecting
        self.order_before_connected(link, core)
        link.state.on_connected()
        link.state.on_greeting(90, "w", 1)
        link.stream = types.SimpleNamespace(_total_write_index=0)
        link._write = written.append
        link._flush()
        self.check_first_order_not_sent(core)
        self.assertIn(b"late", written[0])
        self.assertNotIn(b"early", written[0])

    def test_the_emulators_link(self):
        core, after = self.Core(lambda at: at > 0), []
        platform = types.SimpleNamespace(
            after=lambda wait, call, *args: after.append(call),
            is_cut=lambda *_: False,
            path_delay=lambda *_: 1,
        )
        node = types.SimpleNamespace(
            name="w", zone="a", machine=object(), silent=False, booted=1, incarnation=1, links=[]
        )
        link = emulate_link.Link(platform, node, core, "a", self.TERMS, lambda: 0.5)
        self.order_before_connected(link, core)
        link._connected(link.attempt)
        self.check_first_order_not_sent(core)
        self.assertEqual([call.fn for call in link.out.values()], ["late"])

    def test_one_that_is_refused_at_once_never_left(self):
        core = self.Core(lambda at: True)
        link = links_worker.WorkerLink("w", ("h", 1), self.TERMS, lambda: 0.5, core, None)
        link.state = types.SimpleNamespace(on_call=lambda now: CallDecision.REJECT)
        link.order_load("one", 1, 1)
        self.assertEqual((core.not_sent, core.ends), ([0], [("one", ports.EndReason.NO_CONNECTION)]))


if __name__ == "__main__":
    unittest.main()
