"""Guards against an attempt that waits in a link and is written although its decision no longer holds."""

import contextlib
import time
import types
import unittest

from node_site import ask
from scheduler_driver import SchedulerDriver
from scheduler_driver import worker as endpoint
from test_crossings import Caller, InProcessSite, ManualWorker
from test_time_left import LateConnections, advance_clock, is_waiting_for_connection

from petrelwood import ports
from petrelwood.emulate import link as emulate_link
from petrelwood.links import worker as links_worker

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
WINDOW = 20_000  # ms, longer than the test takes on a busy machine
PATIENCE = 60_000  # ms of the client
ONE_LANE = "memory_mb:64;lanes:1;load_ms:20"
# by `SlowStart`, with 5 ms of work: 2.5 / 3 x 0.001 x 200 a second x 10 s, and one for the rounding
MOST_AT_A_COLD_WORKER = 2
KEYED_CALL = 9  # the message id of the keyed request, after eight others
SITE = {
    "classes": {"deadline": PATIENCE * 1000, "window": WINDOW * 1000},
    "familyInfo": {"onMiss": "load"},
    "permissions": {
        "connectTimeout": 120_000_000,
        "connIdle": 600_000_000,
        "secondCopies": False,
        "probes": False,
    },
}


def new_runs(workers, answered):
    """Return (worker, run) for each run that is not among `answered`."""
    runs = [(worker, run) for worker in workers for run in worker.runs()]
    return [(worker, run) for worker, run in runs if run[1]["req"] not in answered]


def answer_new_runs(workers, answered):
    """Answer the runs that are not among `answered`, the ids of earlier ones, and return all their ids."""
    for worker, run in new_runs(workers, answered):
        worker.answer(run)
        answered.append(run[1]["req"])
    return answered


class RetryOnSockets(unittest.IsolatedAsyncioTestCase):
    """The first attempt of a deduplicated request has failed; the retry waits for its connection."""

    @contextlib.asynccontextmanager
    async def waiting_retry(self):
        """Yield the site, its client, both workers, and the connections that the retry waits for."""
        workers, late = [ManualWorker("s-1"), ManualWorker("s-2")], LateConnections()
        async with InProcessSite(workers, **SITE) as site:
            client = Caller(site.address)
            for _ in range(8):  # the backlog adds a copy on the other worker
                client.call(ask(fn=1, ttl=PATIENCE, facts=ONE_LANE))
            await site.until(lambda: workers[0].runs() and workers[1].runs())
            answered = []
            await site.until(lambda: len(answer_new_runs(workers, answered)) == 8 and len(client.read()) == 8)
            client.call(ask(fn=1, ttl=PATIENCE, facts=ONE_LANE, dedupe=KEY), type_="marked")
            await site.until(lambda: new_runs(workers, answered))
            [(first, run)] = new_runs(workers, answered)
            second = workers[1 - workers.index(first)]
            site.node.links_by_worker[second.name].close_idle()
            with late.hold():
                first.answer(run, type="FAULT")
                await site.until(lambda: is_waiting_for_connection(site.node, second.name))
                yield site, client, second, late
            client.close()

    async def play(self, after):
        """Establish the connection of the retry `after` ms after its decision.

        Return the number of runs that it has caused, and the client's answer.
        """
        async with self.waiting_retry() as (site, client, second, late):
            before = second.runs()
            advance_clock(site.node, after)
            late.establish()
            await site.until(lambda: len(second.runs()) > len(before) or KEYED_CALL in client.read())
            for run in second.runs()[len(before) :]:
                second.answer(run)
            await site.until(lambda: KEYED_CALL in client.read())
            return len(second.runs()) - len(before), client.answers[KEYED_CALL][0]

    async def test_inside_the_window_it_is_sent(self):
        self.assertEqual(await self.play(0), (1, "completed"))

    async def test_after_the_window_it_never_leaves(self):
        """Rule 2: workers have forgotten the key by then, and would apply the effect twice."""
        self.assertEqual(await self.play(WINDOW), (0, "Broken"))

    async def test_after_the_window_its_client_is_answered_without_a_connection(self):
        """Rule 1: what is given up is answered at once, not when connecting fails."""
        async with self.waiting_retry() as (site, client, _second, _late):
            advance_clock(site.node, WINDOW)
            await site.until(lambda: KEYED_CALL in client.read())
            self.assertEqual(
                (client.answers[KEYED_CALL][0], site.node.pending.counts["overdue"]), ("Broken", 0)
            )


class Decision(unittest.TestCase):
    """What the scheduler says of attempts that wait, with a window of 1.5 s in a zone."""

    def driver(self, effect, workers=("a", "b")):
        """Return a driver with a first attempt in flight, and the worker of that attempt."""
        driver = SchedulerDriver(None, workers=workers, effect=effect)
        driver.arrive("x1")
        return driver, driver.lines[-1][-1]

    def may_leave(self, driver, ms, attempt, worker_):
        driver.now = ms * 1_000_000
        return driver.scheduler.may_attempt_leave(driver.now, "x1", attempt, worker_)

    def test_the_window_of_each_other_attempt_that_may_have_run(self):
        driver, first = self.driver(ports.Effect.DEDUPLICATED)
        other = "b" if first == "a" else "a"
        self.assertTrue(self.may_leave(driver, 1499, 1, other))
        self.assertFalse(self.may_leave(driver, 1500, 1, other))
        self.assertTrue(self.may_leave(driver, 1500, 0, first))  # no other attempt was sent

    def test_the_window_of_the_first_attempt_though_it_never_ran(self):
        driver = SchedulerDriver(None, effect=ports.Effect.DEDUPLICATED)
        driver.arrive("x0", slots=2)
        first = driver.lines[-1][-1]
        driver.answer("x0", first)
        driver.arrive("x1", slots=2, timeout=6000)
        driver.advance_to(1400)
        second = driver.lines[-1][-1]  # of a hedged request
        driver.answer("x1", first, ports.EndReason.MISSING)
        self.assertNotEqual(first, second)
        self.assertTrue(self.may_leave(driver, 1499, 1, second))
        self.assertFalse(self.may_leave(driver, 1500, 1, second))

    def test_a_worker_that_has_left_the_group(self):
        driver, first = self.driver(ports.Effect.DEDUPLICATED)
        other = "b" if first == "a" else "a"
        driver.scheduler.endpoints_changed(0, [endpoint(other, "south")], False)
        self.assertFalse(self.may_leave(driver, 100, 1, other))

    def test_a_once_only_activation_that_may_have_run(self):
        driver, first = self.driver(ports.Effect.ONCE_ONLY)
        self.assertTrue(self.may_leave(driver, 100, 0, first))
        self.assertFalse(self.may_leave(driver, 100, 1, "b" if first == "a" else "a"))

    def test_repeatable_activations_have_no_window(self):
        driver, first = self.driver(ports.Effect.REPEATABLE)
        self.assertTrue(self.may_leave(driver, 2900, 1, "b" if first == "a" else "a"))

    def queued_at(self, count, **restart):
        """Return a scheduler with `count` attempts queued at one worker, which is told to have restarted."""
        driver = SchedulerDriver(None, workers="a", warm_up_time=60_000, slow_start_window=10_000)
        driver.arrive(*[f"x{number}" for number in range(count)], slots=count)
        self.assertEqual(sum(" send " in line for line in driver.lines), count)
        driver.scheduler.endpoints_changed(0, [endpoint("a", **restart)], False)
        return driver.scheduler

    def test_a_worker_that_has_restarted_gets_its_slow_start_budget(self):
        scheduler = self.queued_at(30, booted=-1)
        budget = scheduler.slow_start.budget(scheduler.fleet.workers["a"], 0)
        self.assertLess(budget, 30)
        attempts = [f"x{number}" for number in range(30)]
        self.assertFalse(any(scheduler.is_attempt_outdated(0, id_, 0, "a") for id_ in attempts[:budget]))
        left = [id_ for id_ in attempts if scheduler.may_attempt_leave(0, id_, 0, "a")]
        self.assertEqual(left, attempts[:budget])
        self.assertTrue(scheduler.is_attempt_outdated(0, attempts[-1], 0, "a"))
        self.assertEqual(scheduler.slow_start.budget(scheduler.fleet.workers["a"], 0), 0)

    def test_a_worker_that_is_warm_again_by_now_gets_all(self):
        scheduler = self.queued_at(30, booted=-61_000)
        self.assertTrue(all(scheduler.may_attempt_leave(0, f"x{number}", 0, "a") for number in range(30)))

    def test_a_worker_that_drains(self):
        """Rule 3, also where a link still has a call for it."""
        scheduler = self.queued_at(1, usable=False)
        self.assertFalse(scheduler.may_attempt_leave(0, "x0", 0, "a"))

    def test_an_activation_that_was_answered(self):
        driver, first = self.driver(ports.Effect.REPEATABLE)
        driver.scheduler.client_departed(0, "x1")
        self.assertFalse(self.may_leave(driver, 100, 0, first))


class RestartOnSockets(unittest.IsolatedAsyncioTestCase):
    """Requests wait for connections to a worker, which returns as a new process."""

    CALLS = 30

    async def runs_after_a_restart(self, **roster):
        """Return how many requests are written to the worker, of which the roster tells `roster`."""
        worker, late = ManualWorker("s-1"), LateConnections()
        guarantees = {"cold": 600_000_000, "fall": 10_000_000, "startCapacity": 0.001}
        async with InProcessSite([worker], guarantees=guarantees, **SITE) as site:
            client, node = Caller(site.address), site.node
            with late.hold():
                for _ in range(self.CALLS):
                    client.call(ask(fn=1, ttl=PATIENCE, facts="memory_mb:64;lanes:100;load_ms:20"))
                link = node.links_by_worker["s-1"]
                await site.until(lambda: len(link.runs) == self.CALLS)
                site.roster.tell(worker, **roster)
                told = site.roster.asked
                await site.until(lambda: site.roster.asked > told + 2)
            late.establish()
            await site.until(lambda: not link.waiting)
            await site.turns()
            runs = len(worker.runs())
            client.close()
            return runs

    async def test_a_warm_one_gets_what_was_queued(self):
        self.assertEqual(await self.runs_after_a_restart(zone="north"), self.CALLS)

    async def test_a_cold_one_gets_no_more_than_its_budget(self):
        """Rule 4: what was decided for a warm worker would push a cold one over."""
        now = int(time.time() * 1e6)
        self.assertLessEqual(await self.runs_after_a_restart(started=now), MOST_AT_A_COLD_WORKER)


class Core:
    """The parts of a dispatcher that a link needs. `outdated`: the attempts that may not leave any more."""

    reconnects, name = None, "d"

    def __init__(self, outdated):
        self.outdated, self.time, self.ends = outdated, 0, []
        self.loop = types.SimpleNamespace(call_soon=lambda *_: None)

    def now(self):
        return self.time

    def submit(self, call, *args):
        call(*args)

    def send_ended(self, activation, attempt, worker_, code, *rest):
        self.ends.append((activation, code))

    def schedule_checks(self, link):
        pass

    def still_wanted(self, activation):
        return True

    def is_attempt_outdated(self, activation, attempt, worker_):
        return (activation, attempt, worker_) in self.outdated

    def may_attempt_leave(self, activation, attempt, worker_):
        return (activation, attempt, worker_) not in self.outdated


class OtherLinks(unittest.TestCase):
    """The links of the webhook dispatcher and of the emulator ask as well before they write."""

    TERMS = types.SimpleNamespace(
        connect_within=100, quiet=10**9, queue=1 << 20, frame=1 << 16, order_within=10**9
    )
    ENDED = [("old", ports.EndReason.NOT_SENT)]

    def link_of_serve(self):
        core = Core({("old", 1, "w")})
        link = links_worker.WorkerLink("w", ("h", 1), self.TERMS, lambda: 0.5, core, None)
        link._connect = link.state.on_connecting
        link.run("old", 1, "f", "m", 90, 1, b"x")
        link.run("fresh", 0, "f", "m", 90, 1, b"x")
        return core, link

    def test_the_webhook_dispatcher_as_it_writes(self):
        core, link = self.link_of_serve()
        link.state.on_connected()
        link.state.on_greeting(60, "w", 1)
        link.stream = types.SimpleNamespace(_total_write_index=0)
        written = []
        link._write = written.append
        link._flush()
        self.assertEqual((core.ends, b"fresh" in written[0], b"old" in written[0]), (self.ENDED, True, False))

    def test_the_webhook_dispatcher_while_it_waits(self):
        core, link = self.link_of_serve()
        self.assertTrue(link.check(50))
        self.assertEqual((core.ends, [call.activation for call in link.waiting]), (self.ENDED, ["fresh"]))

    def test_the_emulator(self):
        core = Core({("old", 1, "w")})
        platform = types.SimpleNamespace(
            after=lambda *_: None, is_cut=lambda *_: False, path_delay=lambda *_: 1
        )
        node = types.SimpleNamespace(
            name="w", zone="a", machine=object(), silent=False, booted=1, incarnation=1, links=[]
        )
        link = emulate_link.Link(platform, node, core, "a", self.TERMS, lambda: 0.5)
        link.run("old", 1, "f", "m", 90, 1, b"x")
        link.run("fresh", 0, "f", "m", 90, 1, b"x")
        core.time = 60
        link._connected(link.attempt)
        self.assertEqual(
            (core.ends, [call.activation_id for call in link.out.values()]), (self.ENDED, ["fresh"])
        )


if __name__ == "__main__":
    unittest.main()
