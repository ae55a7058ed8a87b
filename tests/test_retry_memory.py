"""Guards against forgetting, at a kill, an upgrade or a restart, what a retry has added to an id."""

import errno
import shutil
import unittest
from unittest.mock import patch

from test_store_faults import SECOND, Exchange, FaultyFiles, Gateway

from petrelwood.clocks import VirtualClock
from petrelwood.decide.delivery import recovery
from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.delivery.state_records import ActivationAdmitted, ActivationEnded, RetryReceived
from petrelwood.decide.overload import intake as stage
from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.store import state_log, state_segments
from petrelwood.store.state_codec import decode, encode

CONFLICT = stage.Outcome.CONFLICT
TOLERANCE = 300  # s, the default
RETRY_AFTER = 400  # s after the first try: its timestamp alone would be forgotten 600 s after it
LATER = 290  # s after the retry: its timestamp is still accepted


class OnAnswer(Exchange):
    """An exchange that calls `seen` at the moment of its answer."""

    def __init__(self, seen):
        self.seen = seen

    def answer(self, *args, **more):
        super().answer(*args, **more)
        self.seen()


class Tries(Gateway):
    """Requests whose timestamps are whole seconds, as in signed webhooks."""

    def send(self, id_, type_="once", timestamp=None, exchange=None):
        """Send a request signed now, or at `timestamp`; return its exchange and its timestamp."""
        stamp = self.clock.wall() // SECOND * SECOND if timestamp is None else timestamp
        exchange = exchange or Exchange()
        request = ActivationRequest("x", id_, stamp, type_, self.clock.now(), 0)
        function = f"{type_}-1"
        self.core.admit(request, function, self.core.rule(function), b"{}", exchange)
        return exchange, stamp

    def restart(self):
        """Kill the process and start another one on the same folder."""
        self.clock.heap.clear()
        return self.start(clock=self.clock)

    def begin(self, how, type_="once"):
        """Start, and bring the id "m1" into a state: "running", "completed" or "aborted"."""
        self.start(clock=VirtualClock())
        act = self.send("m1", type_)[0].activation_id
        if how == "completed":
            self.complete(act)
        elif how == "aborted":
            self.core.pending.begin_attempt(act)
            self.core.submit(self.core.outlet.abort, act)
        return act

    def pass_time(self, seconds):
        """Let time pass without the timers, so that an activation may run for long."""
        self.clock.time += seconds * SECOND


class Killed(Tries):
    ANSWERS = {"completed": stage.REPEAT_RESULT, "aborted": stage.ABORT}

    def test_an_id_is_remembered_as_long_as_the_timestamp_of_its_retry(self):
        """Rule 2: a once-only activation must not run again, word for word or signed anew."""
        for how, answer in self.ANSWERS.items():
            with self.subTest(how):
                self.begin(how)
                self.wait(RETRY_AFTER)
                retry, stamp = self.send("m1")
                self.assertEqual(retry.verdict, answer)
                self.restart()
                self.wait(LATER)
                replay, _ = self.send("m1", timestamp=stamp)
                again, _ = self.send("m1")
                self.assertEqual((replay.verdict, again.verdict), (CONFLICT, answer))
                self.assertEqual(self.core.scheduler.began, {})
                shutil.rmtree(self.folder / "state")

    def test_the_same_without_a_kill(self):
        """What a caller gets must not depend on a kill."""
        for how, answer in self.ANSWERS.items():
            with self.subTest(how):
                self.begin(how)
                self.wait(RETRY_AFTER)
                _, stamp = self.send("m1")
                self.wait(LATER)
                replay, _ = self.send("m1", timestamp=stamp)
                again, _ = self.send("m1")
                self.assertEqual((replay.verdict, again.verdict), (CONFLICT, answer))
                shutil.rmtree(self.folder / "state")

    def test_the_timestamp_is_written_before_the_answer(self):
        """A kill right after the answer must find the record in the log."""
        for how in self.ANSWERS:
            with self.subTest(how):
                self.begin(how)
                self.wait(RETRY_AFTER)
                seen = []
                exchange = OnAnswer(lambda seen=seen: seen.append(self.after_a_kill()))
                _, stamp = self.send("m1", exchange=exchange)
                [found] = seen
                self.assertEqual(found.activations["x", "m1"].timestamp, stamp)
                shutil.rmtree(self.folder / "state")

    def test_a_retry_that_waits_for_the_answer_of_the_first_try(self):
        self.begin("running")
        self.pass_time(RETRY_AFTER)
        joined, stamp = self.send("m1")
        self.assertIsNone(joined.verdict)
        self.assertEqual(self.core.ledger.counts["join"], 1)
        self.restart()
        self.pass_time(LATER)
        self.assertEqual(self.send("m1", timestamp=stamp)[0].verdict, CONFLICT)
        self.assertEqual(self.send("m1")[0].verdict, stage.ABORT)

    def test_at_every_byte_it_is_known_with_the_old_timestamp_or_the_new_one(self):
        """A cut record must not change what the records before it say."""
        self.begin("completed")
        first = self.after_a_kill().activations["x", "m1"].timestamp
        self.wait(RETRY_AFTER)
        _, stamp = self.send("m1")
        [*_, last] = state_segments.segments(self.folder / "state")
        data, seen = last.path.read_bytes(), []
        for size in range(len(data) + 1):
            last.path.write_bytes(data[:size])
            known = self.after_a_kill().activations["x", "m1"]
            self.assertEqual((known.outcome, known.result), (ActivationState.COMPLETED, b"done"))
            seen.append(known.timestamp)
        self.assertEqual((seen[0], seen[-1], set(seen)), (first, stamp, {first, stamp}))
        self.assertEqual(seen, sorted(seen))

    def test_its_earlier_records_have_expired(self):
        """An id that is retried for long outlives the segment with its first record and its answer."""
        self.begin("completed")
        for _ in range(6):
            self.wait(TOLERANCE)
            self.assertEqual(self.send("m1")[0].verdict, stage.REPEAT_RESULT)
        found, _ = state_segments.read(self.folder / "state")
        self.assertFalse([r for r in found if isinstance(r, (ActivationAdmitted, ActivationEnded))])
        self.restart()
        self.wait(1)
        self.assertEqual(self.send("m1")[0].verdict, stage.Outcome.RESULT_DROPPED)
        self.assertEqual(self.core.scheduler.began, {})


class Rewritten(Tries):
    def test_a_joined_retry_is_in_a_log_that_is_rewritten(self):
        failing = [False]
        files = FaultyFiles(lambda name: errno.EIO if failing[0] and name == "write" else None)
        self.start(files, clock=VirtualClock())
        self.send("m1")
        self.pass_time(RETRY_AFTER)
        _, stamp = self.send("m1")
        until = self.core.ledger.entries["x", "m1"].remembered_until
        failing[0] = True
        self.send("m2")
        failing[0] = False
        recovering = self.state.stopped
        self.assertIsNotNone(recovering)
        self.core.pending.activations.clear()  # it runs on through the outage
        self.wait(5)
        self.assertIsNone(self.state.stopped)
        self.restart()
        entry = self.core.ledger.entries["x", "m1"]
        self.assertEqual(entry.timestamp, stamp)
        self.assertGreaterEqual(entry.remembered_until, until)

    def test_a_retry_in_an_outage_is_answered_and_rewritten(self):
        failing = [False]
        files = FaultyFiles(lambda name: errno.EIO if failing[0] and name == "write" else None)
        self.start(files, clock=VirtualClock())
        self.complete(self.send("m1")[0].activation_id)
        failing[0] = True
        self.send("m2")
        self.wait(2)
        retry, stamp = self.send("m1")
        self.assertEqual(retry.verdict, stage.REPEAT_RESULT)
        failing[0] = False
        self.wait(20)
        self.assertIsNone(self.state.stopped)
        self.assertEqual(self.after_a_kill().activations["x", "m1"].timestamp, stamp)


class Upgraded(Tries):
    """The process has handed over to another one, which runs beside it."""

    def hand_over(self, how):
        """Bring "m1" into a state, hand over, and return the core that has done so."""
        self.begin(how)
        old = self.core
        self.wait(RETRY_AFTER)
        old.stop_admitting(None)
        self.start(clock=self.clock)
        return old

    def test_the_new_process_knows_the_retry_of_the_old_one(self):
        self.begin("completed")
        self.wait(RETRY_AFTER)
        _, stamp = self.send("m1")
        self.core.stop_admitting(None)
        self.restart()
        self.wait(LATER)
        self.assertEqual(self.send("m1", timestamp=stamp)[0].verdict, CONFLICT)
        self.assertEqual(self.send("m1")[0].verdict, stage.REPEAT_RESULT)

    def test_the_old_process_takes_no_retry_that_the_new_one_would_not_know(self):
        """A client that keeps its connection to the old process must be sent to the new one."""
        old = self.hand_over("completed")
        before = old.ledger.entries["x", "m1"].timestamp
        new, self.core = self.core, old
        retry, _ = self.send("m1")
        self.assertEqual((retry.verdict, old.ledger.entries["x", "m1"].timestamp), (stage.REJECT, before))
        self.core = new
        self.assertEqual(self.send("m1")[0].verdict, stage.REPEAT_RESULT)

    def test_an_upgrade_that_is_given_back_keeps_the_retries_of_both(self):
        for how, answer in Killed.ANSWERS.items():
            with self.subTest(how):
                old = self.hand_over(how)
                _, stamp = self.send("m1")
                self.core = old
                old.resume_admitting()
                entry = old.ledger.entries["x", "m1"]
                self.assertEqual((entry.timestamp, entry.may_have_run), (stamp, True))
                self.wait(LATER)
                self.assertEqual(self.send("m1", timestamp=stamp)[0].verdict, CONFLICT)
                self.assertEqual(self.send("m1")[0].verdict, answer)
                shutil.rmtree(self.folder / "state")

    def test_what_the_old_process_knew_of_an_id_is_not_replaced(self):
        """A deduplicated id that may have run keeps that mark and its window."""
        old = self.hand_over("running")
        act = next(iter(old.pending.activations.values()), None)
        self.assertIsNone(act)  # it was aborted at its deadline, and has run for all that is known
        before = old.ledger.entries["x", "m1"]
        known = recovery.RecoveredState()
        known.activations["x", "m1"] = recovery.RecoveredActivation(
            ("x", "m1"), before.timestamp, 0, "once", old.now(), old.record_time(), ActivationState.REJECTED
        )
        before.may_have_run, first_at = True, before.first_at
        recovery.restore_ledger(old.ledger, known, old.now(), old.record_time())
        after = old.ledger.entries["x", "m1"]
        self.assertEqual((after.may_have_run, after.first_at), (True, first_at))


class Fenced(Tries):
    """A new process that stood still while the old one took back."""

    def superseded(self, durability):
        """Return the new process's core, after the old one has taken back without its knowledge."""
        self.start(clock=VirtualClock(), durability=durability)
        old, old_log = self.core, self.state
        old.stop_admitting(None)
        new = self.start(clock=self.clock, durability=durability)
        self.assertIn(self.send("before")[0].activation_id, new.scheduler.began)
        self.assertTrue(old_log.is_superseded())
        old.resume_admitting()
        self.assertFalse(old_log.is_superseded())
        self.assertIn(("x", "before"), old.ledger.entries)
        return new, old

    def test_it_begins_nothing_that_must_not_run_twice(self):
        """Rule 2: the old process doesn't know the ids that the new one takes from now on."""
        for durability in ("process", "machine"):
            with self.subTest(durability):
                new, old = self.superseded(durability)
                began = dict(new.scheduler.began)
                self.assertEqual(self.send("late")[0].verdict, ActivationState.REJECTED)
                self.assertEqual(new.scheduler.began, began)
                self.send("harmless", "again")
                self.assertEqual(len(new.scheduler.began), len(began) + 1)
                self.core = old
                self.assertIn(self.send("late")[0].activation_id, old.scheduler.began)
                shutil.rmtree(self.folder / "state")

    def test_it_is_fenced_before_its_records_are_read(self):
        """Otherwise it could begin what it records between the reading and the fence."""
        self.start(clock=VirtualClock())
        old = self.core
        old.stop_admitting(None)
        self.start(clock=self.clock)
        new_log, scan, fenced = self.state, state_log.scan, []

        def watched(path):
            fenced.append(new_log.is_superseded())
            return scan(path)

        with patch.object(state_log, "scan", watched):
            old.resume_admitting()
        self.assertEqual(fenced, [True])


class Bounds(Tries):
    def test_replays_and_retries_inside_a_second_add_nothing_to_the_log(self):
        """A flood of retries of one id must not grow the log without bound."""
        self.begin("completed")
        self.wait(1)
        _, stamp = self.send("m1")
        size = self.size()
        for number in range(1, 1000):
            self.send("m1", timestamp=stamp)  # a replay
            self.send("m1", timestamp=stamp + number)  # assigned on arrival, as for MQTT
        self.assertEqual(self.size(), size)
        self.assertEqual(self.core.ledger.entries["x", "m1"].timestamp, stamp + 999)
        self.send("m1", timestamp=stamp + SECOND)
        self.assertLess(self.size() - size, 100)

    def size(self):
        return sum(path.stat().st_size for path in (self.folder / "state").iterdir())

    def test_only_a_segment_with_a_retry_needs_a_build_that_knows_it(self):
        self.begin("completed")
        self.assertEqual(self.state.format, state_segments.PLAIN_FORMAT)
        self.wait(1)
        self.send("m1")
        formats = [state_segments.scan(s.path).format for s in state_segments.segments(self.folder / "state")]
        self.assertEqual(formats, [state_segments.PLAIN_FORMAT, state_segments.RETRY_FORMAT])

    def test_the_stored_record(self):
        record = RetryReceived(5, "x", "m1", 4, "once", ActivationState.COMPLETED, True)
        self.assertEqual(decode(encode(record)), record)
        self.assertEqual(encode(record).hex(), "98a5726574727905a178a26d3104a46f6e6365a9636f6d706c65746564c3")


class TurnedAway(Tries):
    def test_a_request_that_was_rejected_before_its_id_was_noted_may_run_later(self):
        """It never was a try: 503 has told its client to come back, and nothing has run."""
        self.start(clock=VirtualClock())
        self.core.intake.closing = True
        first, stamp = self.send("m1")
        self.core.intake.closing = False
        second, _ = self.send("m1", timestamp=stamp)
        self.assertEqual((first.verdict, second.verdict), (stage.REJECT, None))
        self.assertIn(second.activation_id, self.core.scheduler.began)


if __name__ == "__main__":
    unittest.main()
