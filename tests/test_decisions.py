import unittest

from scheduler_driver import MS, SchedulerDriver, worker

from petrelwood import ports
from petrelwood.decide.scheduling.window_counter import BackdatedCounter


class OrdinaryPath(unittest.TestCase):
    def test_holds_for_a_free_lane_then_adds_one_copy(self):
        d = SchedulerDriver("ordinary")
        d.arrive("x1")
        d.advance_to(400)
        d.answer("x1", "a" if "to a" in d.lines[0] else d.lines[0][-1], note=2, duration=400)
        d.arrive("x2", "x3")
        d.advance_to(480)
        d.answer("x2", d.lines[0][-1])
        d.arrive("x4", "x5", "x6")
        d.advance_to(900)
        d.check_trace(self)

    def test_one_further_copy_at_a_time(self):
        """Guards against concurrent loads that evict each other's copies (found on lugano rough-1, simulated
        servers)."""
        d = SchedulerDriver("one_at_a_time", workers="abcdefgh")
        for fn in (1, 2, 3):
            d.arrive(f"p{fn}", f"q{fn}", f"r{fn}", f"s{fn}", fn=fn)
        d.advance_to(600)
        d.check_trace(self)

    def test_a_placement_asks_the_first_two_and_takes_the_less_loaded(self):
        """Guards against overloading slow workers by placements that ignore the load (found on lugano-later
        big-1, simulated servers)."""
        d = SchedulerDriver("placement", workers="abcd", health_checks=True, dispatchers=90)
        d.arrive("x1")
        for name in d.checked_workers:
            d.scheduler.health_check_ended(
                d.now,
                name,
                ports.EndReason.COMPLETED,
                {"cores": 0.9 if name == d.checked_workers[0] else 0.3},
            )
        d.advance_to(50)
        d.check_trace(self)

    def test_many_dispatchers_begin_at_different_workers(self):
        """Guards against all dispatchers sending a popular function to one worker (found on verbund-later
        big-1, simulated servers: 184 dispatchers did)."""
        d = SchedulerDriver("spread", workers="abcdefghijklmnop", dispatchers=180)
        for i in range(12):
            d.arrive(f"x{i}", slots=8)
            d.advance_to(100 * i + 100)
        d.check_trace(self)

    def test_many_sleep_until_something_is_held_or_due(self):
        d = SchedulerDriver("sleep", workers="a", dispatchers=180)
        d.arrive("x1")
        d.answer("x1", "a")
        before = len(d.timer_fires)
        d.advance_to(1000)
        d.record(f"{len(d.timer_fires) - before} wakes while idle")
        d.arrive("x2", "x3")
        before = len(d.timer_fires)
        d.advance_to(2000)
        d.record(f"{len(d.timer_fires) - before} wakes while one is held")
        d.check_trace(self)

    def test_a_reset_from_a_worker_that_has_just_answered_is_its_connections(self):
        """Guards against forgetting all copies of a worker at each connection reset (found on
        wide+reset+stale, sockets)."""
        d = SchedulerDriver(
            "reset_alive", workers="a", loads_on_send=False, load_order_rate=(8, 1, 8000 * MS)
        )
        d.arrive("x1")
        d.answer("x1", "a", ports.EndReason.MISSING, duration=5)
        d.advance_to(300)
        d.scheduler.load_order_ended(d.now, "a", 1, ports.EndReason.COMPLETED, 1)
        d.advance_to(310)
        d.arrive("x2", slots=4)
        d.advance_to(400)
        d.answer("x2", "a")
        d.arrive("x3", slots=4)
        d.advance_to(420)
        d.answer("x3", "a", ports.EndReason.RESET, duration=20)
        d.record(f"known on {sorted(d.scheduler.functions[1].copies)}")
        d.advance_to(1500)
        d.arrive("x4", slots=4)
        d.advance_to(2500)
        d.answer("x4", "a", ports.EndReason.RESET, duration=1000)
        d.record(f"known on {sorted(d.scheduler.functions[1].copies)}")
        d.check_trace(self)


class Granted(unittest.TestCase):
    """Assumptions that the settings need not confirm: the table in docs/design.md."""

    def test_where_no_loads_may_be_ordered_a_send_begins_the_further_copy(self):
        d = SchedulerDriver("no_orders", workers="abcdef", may_order_loads=False)
        d.arrive("x1", "x2", "x3")
        d.advance_to(700)
        d.check_trace(self)

    def test_the_list_is_asked_for_in_time_where_the_target_latency_is_far_longer(self):
        """Rule 3: a dispatcher that has not requested the list within the interval counts as notified. Checks
        every eighth of a target latency of a minute came too late for that."""
        d = SchedulerDriver("asks_in_time", workers="ab", list_request_interval=1000, target_latency=60_000)
        d.advance_to(3000)
        d.scheduler.endpoint_list_lost(d.now)
        d.advance_to(5000)
        d.check_trace(self)

    def test_a_load_of_minutes_is_neither_forgotten_nor_followed_by_others(self):
        d = SchedulerDriver("long_load", workers="abcdef", loads_on_send=False, target_latency=2000)
        d.arrive("x1", timeout=90_000, loading_time=30_000)
        worker = d.lines[0][-1]
        d.answer("x1", worker, ports.EndReason.MISSING, duration=5)
        d.advance_to(29_000)
        d.scheduler.load_order_ended(
            d.now, next(iter(d.scheduler.functions[1].copies), worker), 1, ports.EndReason.COMPLETED, 1
        )
        d.advance_to(29_500)
        d.check_trace(self)

    def test_a_load_time_that_nothing_tells_is_learnt(self):
        d = SchedulerDriver("load_learnt", workers="ab", loads_on_send=False)
        d.arrive("x1", loading_time=0)
        d.answer("x1", d.lines[0][-1], ports.EndReason.MISSING, duration=5)
        d.advance_to(700)
        d.scheduler.load_order_ended(
            d.now, next(iter(d.scheduler.functions[1].copies)), 1, ports.EndReason.COMPLETED, 1
        )
        d.record(f"a load takes {d.scheduler.functions[1].load_time // MS}")
        d.check_trace(self)

    def test_a_fleet_of_three_is_used_whole(self):
        d = SchedulerDriver("three_workers", workers="abc", dispatchers=1)
        d.arrive("x1", "x2", "x3", "x4", "x5", "x6", timeout=8000)
        d.advance_to(200)
        for ms in (400, 600, 800, 1000):
            d.advance_to(ms)
            for copy in list(d.scheduler.functions[1].copies.values()):
                if copy.loading_since:
                    d.scheduler.load_order_ended(d.now, copy.worker.id, 1, ports.EndReason.COMPLETED, 1)
        d.record(f"copies on {sorted(d.scheduler.functions[1].copies)}")
        d.check_trace(self)

    def test_where_one_send_is_all_it_is_not_spent_on_a_guess(self):
        d = SchedulerDriver("one_send", workers="abc", loads_on_send=False, max_sends=1)
        d.arrive("x1")
        d.advance_to(300)
        d.scheduler.load_order_ended(
            d.now, next(iter(d.scheduler.functions[1].copies)), 1, ports.EndReason.COMPLETED, 1
        )
        d.check_trace(self)

    def test_an_activation_s_own_target_latency_grows_with_its_work(self):
        d = SchedulerDriver("stretch", workers="a", stretch=4)
        d.arrive("x1")
        d.answer("x1", "a", duration=100)
        d.arrive("short", "heavy", work=100)
        act = d.scheduler.activations["short"]
        late_after = d.scheduler.estimates.slow_after(act)
        d.record(f"a target latency of {act.target_latency // MS}, late after {late_after // MS}")
        d.arrive("huge", work=900, timeout=60_000)
        d.record(f"a target latency of {d.scheduler.activations['huge'].target_latency // MS}")
        d.check_trace(self)

    def test_a_report_that_lacks_a_field_does_not_tell_none(self):
        d = SchedulerDriver("reports", workers="abc")
        scheduler = d.scheduler
        for name, report in (("a", {"waiting": 6}), ("b", {"loads": 3}), ("c", {"cores": 0.5})):
            scheduler.health_check_ended(d.now, name, ports.EndReason.COMPLETED, report)
            d.record(f"{name}: {scheduler.fleet.workers[name].reported_load}")
        d.check_trace(self)

    def test_dear_probes_are_sent_more_rarely(self):
        counts = {}
        for cost in (0.0, 0.01, 0.08):
            d = SchedulerDriver("", workers="abcdef", health_checks=True, check_cost=cost)
            for i in range(200):
                d.advance_to(1000 * i)
                d.arrive(f"x{i}")
                d.advance_to(1000 * i + 100)
                sent = [line for line in d.lines if line.split()[1:3] == ["send", f"x{i}"]]
                d.answer(f"x{i}", sent[0][-1])
            counts[cost] = len(d.checked_workers)
        self.assertEqual(counts[0.01], counts[0.0])
        self.assertLess(counts[0.08], counts[0.0] / 4)
        self.assertGreater(counts[0.08], 0)

    def test_work_beyond_a_share_that_earns_as_much_is_no_lesser_work(self):
        for utility, expected in ((0.1, True), (1.0, False)):
            d = SchedulerDriver("", workers="a", quotas=(("acme", 1.0),), utility_over_quota=utility)
            d.arrive(*(f"x{i}" for i in range(9)), customer="acme")
            self.assertEqual(d.scheduler.activations["x8"].is_over_quota, expected)

    def test_times_of_zero_divide_nothing(self):
        """A worker starts at a time ahead of the dispatcher's clock, while the warm-up time, the slow start
        window or the minimum idle time is 0."""
        for changes in ({"warm_up_time": 0}, {"slow_start_window": 0}, {"min_idle_time": 0}):
            with self.subTest(changes):
                d = SchedulerDriver(
                    "", workers=[worker("a", booted=0 if "min_idle_time" in changes else 500)], **changes
                )
                d.arrive("x1", "x2", "x3")
                d.advance_to(400)
                sends = [line for line in d.lines if " send " in line]
                self.assertTrue(sends)


class Rules(unittest.TestCase):
    def test_one_final_answer_and_nothing_after(self):
        d = SchedulerDriver("one_answer", workers="a")
        d.arrive("x1", "x2")
        d.advance_to(1600)
        d.answer("x1", "a", ports.EndReason.TIMED_OUT, duration=1600)
        d.answer("x1", "a", ports.EndReason.TIMED_OUT, duration=1600)
        d.scheduler.client_departed(d.now, "x2")
        d.advance_to(4000)
        d.check_trace(self)

    def test_sweeps_go_on_while_activations_come_just_before_each_wake(self):
        """Guards against losing an activation because the timer is postponed repeatedly (found on lugano's
        overload day, simulated servers)."""
        d = SchedulerDriver("overdue_wake", workers="a")
        d.arrive("x0", timeout=300)
        d.arrive("late", timeout=200)
        for i in range(1, 12):
            d.now = i * 20 * MS  # the activation arrives before the timers that are due by then fire
            d.arrive(f"y{i}")
            d.advance_to(i * 20)
        d.check_trace(self)

    @staticmethod
    def call_nine_missing_functions(d):
        """Call nine functions in turn; each send ends with a miss, so that a load order is wanted."""
        for i in range(9):
            d.advance_to(300 * i + 300)
            d.arrive(f"x{i}", fn=i)
            sent = [line for line in d.lines if f" send x{i} " in line]
            if sent:
                d.answer(f"x{i}", sent[0][-1], ports.EndReason.MISSING, duration=5)

    def test_what_is_taken_back_gives_no_right_to_loads(self):
        """Guards against cancelled activations raising the load order limit (found on join+mass, sockets: 200
        calls that a client cancelled at once allowed 18 load orders instead of 14)."""
        d = SchedulerDriver(
            "taken_back",
            workers="abcdefghijklmnop",
            loads_on_send=False,
            load_order_rate=(2, 0.1, 10_000 * MS),
        )
        d.arrive(*(f"flood{i}" for i in range(60)), fn=99, timeout=200)
        for i in range(30):
            d.scheduler.client_departed(d.now, f"flood{i}")
        d.advance_to(200)
        d.record(f"30 were taken back, {sum('reject' in line for line in d.lines)} rejected")
        d.lines = d.lines[-1:]
        self.call_nine_missing_functions(d)
        orders, taken = (
            sum("order" in line for line in d.lines),
            d.scheduler.load_orders.credited.upper_bound(d.now),
        )
        d.record(f"{orders} orders for {taken} activations")
        d.check_trace(self)

    def test_what_asks_for_functions_that_nobody_has_gives_no_right_to_loads(self):
        """Each activation is sent at once, as the worker may have a copy for another dispatcher; the worker
        answers with an error."""
        d = SchedulerDriver(
            "strange", workers="abcdefghijklmnop", loads_on_send=False, load_order_rate=(2, 0.1, 10_000 * MS)
        )
        for i in range(60):
            d.arrive(f"bad{i}", fn=1000 + i, timeout=200)
            sent = [line for line in d.lines if f" send bad{i} " in line]
            if sent:
                d.answer(f"bad{i}", sent[0][-1], ports.EndReason.ERROR, duration=2)
        d.advance_to(300)
        d.record(f"{sum(' send bad' in line for line in d.lines)} of 60 were sent")
        d.lines = d.lines[-1:]
        self.call_nine_missing_functions(d)
        d.advance_to(3200)
        orders, taken = (
            sum("order" in line for line in d.lines),
            d.scheduler.load_orders.credited.upper_bound(d.now),
        )
        d.record(f"{orders} orders for {taken} activations")
        d.check_trace(self)

    def test_who_is_taken_back_soon_gives_no_right_to_loads_though_a_worker_has_answered(self):
        d = SchedulerDriver(
            "taken_back_soon",
            workers="abcdefghijklmnop",
            loads_on_send=False,
            load_order_rate=(2, 0.1, 10_000 * MS),
        )
        for i in range(30):
            d.arrive(f"back{i}", fn=100 + i)
            d.arrive(f"stays{i}", fn=200 + i)
            for act in (f"back{i}", f"stays{i}"):
                sent = [line for line in d.lines if f" send {act} " in line]
                if sent:
                    d.answer(act, sent[0][-1], ports.EndReason.MISSING, duration=1)
        d.advance_to(20)
        for i in range(30):
            d.scheduler.client_departed(d.now, f"back{i}")
        d.record(f"{d.scheduler.load_orders.credited.upper_bound(d.now)} activations count")
        d.lines = d.lines[-1:]
        d.advance_to(200)
        d.arrive("last", fn=1)
        d.lines = d.lines[:1]
        d.record(f"{d.scheduler.load_orders.credited.upper_bound(d.now)} activations count")
        d.check_trace(self)

    def test_an_order_that_waited_is_counted_when_it_leaves(self):
        d = SchedulerDriver(
            "leaves", workers="abcd", loads_on_send=False, load_order_rate=(0, 0.1, 1000 * MS)
        )
        d.scheduler.load_orders.credited.add(0, 10)
        d.record(f"may order: {d.scheduler.load_orders.may_order(0)}")
        d.scheduler.load_orders.ordered.add(0)
        d.record(f"another: {d.scheduler.load_orders.may_order(0)}")
        d.advance_to(500)
        may_leave = d.scheduler.may_load_order_leave(d.now, 0)
        d.record(f"it may leave: {may_leave}, another: {d.scheduler.load_orders.may_order(d.now)}")
        d.advance_to(800)
        d.scheduler.load_orders.credited.add(d.now, 10)
        d.advance_to(1400)
        d.record(f"another, with ten new ones: {d.scheduler.load_orders.may_order(d.now)}")
        d.advance_to(1700)
        d.record(f"now that it has left the window: {d.scheduler.load_orders.may_order(d.now)}")
        d.scheduler.load_orders.ordered.add(d.now)
        d.scheduler.load_order_withdrawn(d.now, d.now)
        d.record(f"another, as that one never left: {d.scheduler.load_orders.may_order(d.now)}")
        d.scheduler.load_orders.ordered.add(d.now)
        d.advance_to(2600)
        d.record(f"it may leave with none taken: {d.scheduler.may_load_order_leave(d.now, 1700 * MS)}")
        d.check_trace(self)

    def test_an_order_that_never_left_is_no_failed_load(self):
        """A failed load stops all further copies for two target latencies; an order that was not sent must
        not."""
        d = SchedulerDriver(
            "not_left",
            workers="abcdefgh",
            loads_on_send=False,
            load_order_rate=(9, 1, 8000 * MS),
            target_latency=400,
        )
        d.arrive("x1", timeout=1500)
        d.answer("x1", d.lines[-1][-1], ports.EndReason.MISSING, duration=2)
        for _ in range(3):
            order = next((line for line in reversed(d.lines) if "order" in line), None)
            if order is not None:
                d.scheduler.load_order_ended(d.now, order[-1], 1, ports.EndReason.NOT_SENT, 0)
            d.advance_to(d.now // MS + 100)
        d.record(f"further copies may be ordered: {d.now >= d.scheduler.load_orders.no_further_copies_until}")
        d.check_trace(self)

    def test_a_ring_takes_back_what_it_still_holds(self):
        counter = BackdatedCounter(1200)
        counter.add(100)
        counter.add(900)
        counter.add(100, -1)
        self.assertEqual((counter.upper_bound(900), counter.lower_bound(900)), (1, 1))
        # the bucket of 100 has left the window: removing from it must not change another bucket
        counter.add(2000)
        counter.add(900, -1)
        counter.add(100, -1)
        self.assertEqual(counter.upper_bound(2000), 1)

    def test_once_only_never_again_unless_it_provably_never_ran(self):
        d = SchedulerDriver("once_only", effect=ports.Effect.ONCE_ONLY)
        d.arrive("x1")
        d.answer("x1", d.lines[-1][-1], ports.EndReason.FULL)
        d.advance_to(700)
        d.answer("x1", d.lines[-1][-1], ports.EndReason.ERROR, attempt=1)
        d.advance_to(3000)
        d.check_trace(self)

    def test_deduplicated_stays_in_its_group_and_window(self):
        north = [worker("a"), worker("b")]
        d = SchedulerDriver(
            "deduplicated",
            workers=north + [worker(w, "south") for w in "cdef"],
            effect=ports.Effect.DEDUPLICATED,
        )
        d.arrive("x1")
        d.answer("x1", d.lines[-1][-1], ports.EndReason.ERROR)
        d.advance_to(300)
        d.arrive("x2", fn=2)
        d.advance_to(1900)
        d.answer("x2", d.lines[-1][-1], ports.EndReason.ERROR)
        d.advance_to(4000)
        d.check_trace(self)

    def test_window_holds_though_the_first_send_never_ran(self):
        """The second attempt is in flight when it turns out that the first never ran (found on ie886b5,
        simulated servers)."""
        d = SchedulerDriver("disproved", workers="abc", effect=ports.Effect.DEDUPLICATED)
        d.arrive("x0", slots=2)
        first = d.lines[-1][-1]
        d.answer("x0", first, note=1)
        d.arrive("x1", slots=2, timeout=6000)
        d.advance_to(1600)
        second = d.lines[-1][-1]
        d.answer("x1", first, ports.EndReason.MISSING)
        d.advance_to(1700)
        d.answer("x1", second, ports.EndReason.ERROR, attempt=1)
        d.advance_to(2900)
        d.check_trace(self)

    def test_nothing_new_to_a_worker_that_drains(self):
        d = SchedulerDriver("drain", workers="ab", loads_on_send=False)
        d.arrive("x1")
        first = d.lines[-1][-1]
        d.scheduler.load_order_ended(d.now, first, 1, ports.EndReason.COMPLETED, 1)
        d.scheduler.endpoints_changed(d.now, [worker(first, usable=False)], False)
        d.arrive("x2", "x3")
        d.advance_to(2000)
        d.check_trace(self)

    def test_cold_worker_gets_our_part_of_its_budget(self):
        d = SchedulerDriver("cold_budget", workers=[worker("a", booted=1), worker("b", usable=False)])
        for i in range(60):
            d.advance_to(10 + 140 * i)
            d.arrive(f"x{i}", slots=8, timeout=400)
            if d.lines and " send " in d.lines[-1] and d.lines[-1].split()[2] == f"x{i}":
                d.answer(f"x{i}", "a")
        d.lines = [line for line in d.lines if "reject" not in line]
        d.check_trace(self)

    def test_load_orders_stay_in_their_ration(self):
        d = SchedulerDriver(
            "ration", workers="abcd", loads_on_send=False, load_order_rate=(2, 0.2, 1000 * 10**6)
        )
        for fn in range(1, 7):  # each is sent without a known copy, misses, and wants a load order
            d.arrive(f"x{fn}", fn=fn)
            d.answer(f"x{fn}", d.lines[-1][-1], ports.EndReason.MISSING)
        d.advance_to(1500)
        d.check_trace(self)


class Failures(unittest.TestCase):
    def test_fast_errors_do_not_draw_the_backlog(self):
        d = SchedulerDriver("fast_errors", workers="a")
        d.arrive("x1")
        d.advance_to(400)
        d.answer("x1", "a", note=2, duration=400)
        d.arrive(*[f"y{i}" for i in range(6)])
        for i in range(40):
            d.advance_to(400 + 10 * i)
            if " send " in d.lines[-1]:
                d.answer(d.lines[-1].split()[2], "a", ports.EndReason.ERROR, duration=2)
        d.check_trace(self)

    def test_silent_worker_gets_nothing_new_and_loses_what_it_holds(self):
        d = SchedulerDriver("silent", workers="ab")
        d.arrive("x1", slots=2)
        first = d.lines[-1][-1]
        d.advance_to(400)
        d.answer("x1", first, note=2, duration=400)
        d.arrive("x2", slots=2)
        d.advance_to(1800)
        d.arrive("x3", slots=2)
        d.advance_to(2600)
        d.check_trace(self)

    def test_while_most_answers_are_slow_fewer_are_sent_at_once(self):
        """Each of many dispatchers has one or two attempts in flight, all of them late (found on i8a87f1,
        simulated servers)."""
        d = SchedulerDriver("slow_fleet", workers="ab", dispatchers=90)
        d.arrive("w", slots=8)
        d.advance_to(100)
        d.answer("w", d.lines[0][-1])
        for i in range(1, 50):
            d.arrive(f"x{i}", slots=8, timeout=1500)
            d.advance_to(100 * i + 100)
            for line in [
                line for line in d.lines if " send " in line and int(line.split()[0]) == d.now // MS - 900
            ]:
                d.answer(line.split()[2], line[-1], duration=900)
        out = sum(" send " in line for line in d.lines[-14:])
        d.record(f"{out} sends among the last 14 lines")
        d.check_trace(self)

    def check_lost_attempt(self, trace, effect):
        """Send x1 to a worker that answers all attempts but this one, and check what happens to x1 and to its
        slot."""
        d = SchedulerDriver(
            trace, workers="a", effect=effect, loads_on_send=False, load_order_rate=(8, 1, 8000 * MS)
        )
        for fn in (1, 2):
            d.arrive(f"w{fn}", fn=fn)
            d.answer(f"w{fn}", "a")
        d.arrive("x1", fn=1)
        d.scheduler.endpoints_changed(d.now, [worker("b")], False)
        for i in range(30):
            d.advance_to(50 * i + 50)
            d.arrive(f"y{i}", fn=2)
            if (f"y{i}", 0) in d.scheduler.fleet.workers["a"].in_flight:
                d.answer(f"y{i}", "a", duration=50)
            d.lines = [line for line in d.lines if " y" not in line]
            if i == 12:
                d.arrive("x2", fn=1, timeout=4000)
            if i == 20:
                d.scheduler.load_order_ended(d.now, "b", 1, ports.EndReason.COMPLETED, 1)
        before = d.scheduler.outliers.slow_share
        d.advance_to(2900)
        d.answer("x1", "a", ports.EndReason.TIMED_OUT, duration=2900)
        d.record(
            f"{d.scheduler.fleet.workers['a'].lost} lost there; "
            f"fleet slower for it: {d.scheduler.outliers.slow_share > before}; "
            f"{d.scheduler.outliers.in_flight} out"
        )
        d.check_trace(self)

    def test_a_send_overtaken_by_far_gives_its_lane_back_and_is_sent_again(self):
        """Guards against attempts with lost answers occupying their slots (found on churn+long, sockets:
        answers were lost for ten seconds, and each attempt kept its slot until its deadline)."""
        self.check_lost_attempt("lost_answer", ports.Effect.REPEATABLE)

    def test_a_once_only_one_gives_its_lane_back_and_is_not_sent_again(self):
        self.check_lost_attempt("lost_once_only", ports.Effect.ONCE_ONLY)

    def test_time_outs_bring_no_rest(self):
        """Guards against ejecting workers for timeouts, which removes capacity under overload (found on
        i327267, simulated servers)."""
        d = SchedulerDriver("no_rest", workers="a")
        d.arrive("x1", "x2", "x3", slots=4, timeout=600)
        d.advance_to(600)
        for act in ("x1", "x2", "x3"):
            d.answer(act, "a", ports.EndReason.TIMED_OUT, duration=600)
        d.advance_to(1300)
        d.arrive("x4", slots=4)
        d.advance_to(1800)
        d.check_trace(self)

    def test_copies_on_a_jammed_worker_do_not_keep_a_function_from_another(self):
        """Guards against activations that wait for the only copy on a throttled worker until they are given
        up (found on churn, sockets)."""
        d = SchedulerDriver("jammed", workers="ab", loads_on_send=False, load_order_rate=(8, 1, 8000 * MS))
        d.arrive("w1", fn=1)
        jammed = d.lines[-1][-1]
        fine = "ab".replace(jammed, "")
        d.answer("w1", jammed)
        for i in range(2, 8):  # the other worker answers as usual, with the copies that it has
            d.scheduler.load_order_ended(d.now, fine, 2, ports.EndReason.COMPLETED, 1)
            d.advance_to(100 * i)
            d.arrive(f"w{i}", fn=2)
            d.answer(f"w{i}", fine)
        # a load has failed: no function with a useful copy may get another
        d.scheduler.load_orders.no_further_copies_until = d.now + 3000 * MS
        for i in range(8, 11):
            d.advance_to(200 * i)
            d.arrive(f"w{i}", fn=1)
            d.answer(f"w{i}", jammed, ports.EndReason.FULL)
        d.advance_to(2100)
        d.arrive("x1", "x2", fn=1)
        d.advance_to(2500)
        d.scheduler.load_order_ended(d.now, fine, 1, ports.EndReason.COMPLETED, 1)
        d.advance_to(2600)
        d.check_trace(self)

    def test_late_answers_of_a_jammed_worker_turn_nothing_away_elsewhere(self):
        """Guards against shedding arrivals because a few throttled workers make the fleet look slow (found on
        churn, sockets: three workers were throttled)."""
        d = SchedulerDriver(
            "jammed_slow", workers="ab", loads_on_send=False, load_order_rate=(8, 1, 8000 * MS)
        )
        for i in range(12):  # one worker always answers that it is full, the other answers as usual
            for fn, name, code in ((1, "a", ports.EndReason.FULL), (2, "b", ports.EndReason.COMPLETED)):
                d.scheduler.load_order_ended(d.now, name, fn, ports.EndReason.COMPLETED, 1)
                d.arrive(f"{name}{i}", fn=fn, slots=2, timeout=2000)
                if d.scheduler.fleet.workers[name].in_flight:
                    d.answer(*next(iter(d.scheduler.fleet.workers[name].in_flight))[:1], name, code)
            d.advance_to(300 * i + 300)
            d.lines.clear()
            latency = d.scheduler.fleet.workers["a"].relative_latency
            d.record(f"turned away {d.scheduler.outliers.shed_probability:.2f}; of a: pace {latency:.1f}")
        d.check_trace(self)

    def test_a_worker_whose_loads_wait_is_passed_over_and_nothing_else(self):
        """Guards against load orders rejected as full stopping the loads of all functions for two target
        latencies (found on churn, sockets)."""
        d = SchedulerDriver(
            "loads_wait", workers="abc", loads_on_send=False, load_order_rate=(20, 1, 8000 * MS)
        )
        for fn in (1, 2):
            d.arrive(f"x{fn}", fn=fn)
            d.answer(f"x{fn}", d.lines[-1][-1], ports.EndReason.MISSING)
        full = d.lines[-1][-1]
        d.advance_to(20)
        d.scheduler.load_order_ended(d.now, full, 2, ports.EndReason.FULL, 0)
        d.advance_to(600)
        may_add = d.now >= d.scheduler.load_orders.no_further_copies_until
        d.record(f"{full} was full; copies may be added: {may_add}")
        d.check_trace(self)

    def test_what_is_to_be_given_up_takes_a_lane_that_is_free(self):
        """Guards against giving up an activation while a slot is free, which happened because low-priority
        activations are sent only at sweeps (found in a test of MQTT)."""
        d = SchedulerDriver("free_lane", workers="a")
        d.arrive("w", slots=2)
        d.advance_to(50)
        d.answer("w", "a", duration=50)
        d.arrive("x1", "x2", "x3", slots=2, timeout=2190)
        d.advance_to(1124)
        d.answer("x1", "a", duration=1074)
        d.advance_to(1200)
        d.check_trace(self)

    def test_a_resend_that_finds_no_lane_does_not_block_the_rest(self):
        d = SchedulerDriver("no_block", workers="a")
        d.arrive("x1", slots=2)
        d.advance_to(400)
        d.answer("x1", "a", note=2, duration=400)
        d.arrive("x2", slots=2)
        d.advance_to(420)
        d.answer("x2", "a", ports.EndReason.ERROR, duration=20)
        d.advance_to(800)
        d.arrive("x3", slots=2)
        d.advance_to(900)
        d.check_trace(self)


if __name__ == "__main__":
    unittest.main()
