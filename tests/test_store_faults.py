"""Folders that fail: each call of the stores fails once, temporarily or permanently, and no activation that
was admitted is lost or could run twice."""

import errno
import os
import pathlib
import tempfile
import unittest
from random import Random
from unittest.mock import patch

import rig

from petrelwood import ports
from petrelwood.audit import rules
from petrelwood.clocks import VirtualClock
from petrelwood.decide.delivery import recovery
from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.delivery.state_records import (
    ActivationAdmitted,
    ActivationEnded,
    LoadOrdered,
    OutageEnded,
)
from petrelwood.decide.overload import intake as stage
from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.dispatch import state_recovery
from petrelwood.dispatch.core import Core
from petrelwood.dispatch.health import HeartbeatReporter
from petrelwood.emulate import script
from petrelwood.emulate.platform import Platform
from petrelwood.settings import gateway
from petrelwood.store import (
    early_load_log,
    files,
    history_files,
    snapshot,
    state_log,
    state_segments,
    versions,
)
from petrelwood.store.errors import StateUnreadableError
from petrelwood.store.state_log import StateLog

SECOND = 10**9
WALL = 1_764_547_200 * SECOND
FOREVER = 1 << 62
STORED = pathlib.Path(__file__).parent / "stored" / "before"
SETTINGS = """
gateway "d" { listen "127.0.0.1:0"; roster "127.0.0.1:1"; zone "n"; seed 1 }
customer "x" { key "whsec_AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=" }
namespace-type "again" { target-latency "500ms"; action-timeout "2s"; effect "repeatable" }
namespace-type "all" { target-latency "500ms"; action-timeout "2s"; effect "deduplicated"
  scope "all"; window "30s" }
namespace-type "once" { target-latency "500ms"; action-timeout "2s"; effect "once-only" }
function "again-*" type="again" lanes=4
function "all-*" type="all" lanes=4
function "once-*" type="once" lanes=4
workers { cold "5s" from=0.2; fall "1s" multiple=3.0; sends 3; keep "8s"; on-miss "load"; quiet "3s"
  ration free=6 part=0.4 period="5s" }
limits { header "2KB"; body "20KB" }
"""


def read_settings():
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "g.kdl"
        path.write_text(SETTINGS)
        return gateway.read(path)


GATEWAY = read_settings()


class FaultyFiles(files.Files):
    """Files of which some calls fail. `fails(name)` returns an errno, or None if the call succeeds; `torn`:
    a failing write has written a part."""

    def __init__(self, fails=lambda name: None, torn=False):
        self.fails, self.torn, self.calls = fails, torn, []

    def _check(self, name):
        self.calls.append(name)
        code = self.fails(name)
        if code is not None:
            raise OSError(code, os.strerror(code))

    def open(self, path):
        self._check("open")
        return super().open(path)

    def create(self, path, mode=0o600):
        self._check("open")
        return super().create(path, mode)

    def write(self, handle, data):
        try:
            self._check("write")
        except OSError:
            if self.torn:
                super().write(handle, data[: len(data) // 2])
            raise
        return super().write(handle, data)

    def sync(self, handle):
        self._check("sync")
        super().sync(handle)

    def close(self, handle):
        super().close(handle)
        self._check("close")

    def truncate(self, handle, size):
        self._check("truncate")
        super().truncate(handle, size)

    def replace(self, source, target):
        self._check("replace")
        super().replace(source, target)

    def remove(self, path):
        self._check("remove")
        super().remove(path)

    def sync_folder(self, path):
        self._check("sync_folder")
        super().sync_folder(path)


class Log:
    """A logger that records its lines."""

    def __init__(self):
        self.lines = []

    def _keep(self, event, **fields):
        self.lines.append((event, fields))

    debug = info = warning = error = _keep

    def said(self, event):
        return [fields for said, fields in self.lines if said.startswith(event)]


class Exchange:
    """A client exchange that records its answer."""

    activation_id = None
    verdict = None
    retry_after = None

    def answer(self, verdict, body=b"", retry_after=0, detail="", activation_id=None):
        assert self.verdict is None, "a second final answer"
        self.verdict, self.retry_after = verdict, retry_after


class Recorded:
    """A decision module that only records when activations begin."""

    def __init__(self, start, terms, seed, out):
        self.began = {}

    def activation_arrived(self, now, arrival):
        self.began[arrival.activation_id] = now

    def held(self, *args):
        pass

    load_order_ended = client_departed = attempt_ended = held
    endpoints_changed = load_orders_restored = load_order_withdrawn = held


class Gateway(unittest.TestCase):
    """One dispatcher on a virtual clock, whose state log is in a folder with injected faults."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def start(self, files=None, durability="process", folder=None, clock=None, **more):
        self.clock = clock or VirtualClock()
        self.log = Log()
        self.core = Core(GATEWAY, self.clock, Random(1), None, self.log, Recorded)
        self.files = files or FaultyFiles()
        self.state = StateLog(
            folder or self.folder / "state",
            self.clock.wall(),
            "b1",
            600 * SECOND,
            durability,
            self.files,
            now=self.clock.now,
            **more,
        )
        self.core.adopt(self.state)
        self.taken = {}  # id -> activation id, of those that must not run twice and have begun
        self.number = 0
        return self.core

    def ask(self, type_="once", id_=None):
        self.number += 1
        id_ = id_ or f"m{self.number}"
        exchange = Exchange()
        now = self.clock.now()
        stamp = self.clock.wall() + self.number * SECOND // 1000
        request = ActivationRequest("x", id_, stamp, type_, now, 0)
        function = f"{type_}-1"
        self.core.admit(request, function, self.core.rule(function), b"{}", exchange)
        if type_ != "again" and exchange.activation_id in self.core.scheduler.began:
            self.taken[id_] = exchange.activation_id
        return exchange

    def complete(self, act_id, body=b"done"):
        n = self.core.pending.begin_attempt(act_id)
        self.core.submit(
            self.core.send_ended, act_id, n, "w", ports.EndReason.COMPLETED, 0, body, self.clock.now(), None
        )

    def wait(self, seconds):
        self.clock.run(self.clock.now() + int(seconds * SECOND))

    def until(self, what):
        """Run the clock timer by timer until `what()` is true."""
        for _ in range(10_000):
            if what():
                return
            self.clock.run(self.clock.heap[0][0])
        self.fail("it did not come to pass")

    def after_a_kill(self, folder=None, boot="b1"):
        """Return what the next incarnation recovers from the folder now."""
        records, _ = state_segments.read(folder or self.folder / "state")
        return recovery.replay(records, self.clock.wall(), boot, self.state.durability == "machine")

    def assert_none_could_rerun(self, found, taken=None):
        """Assert that no id that may have run could run again."""
        for id_ in self.taken if taken is None else taken:
            known = found.activations.get(("x", id_))
            self.assertIsNotNone(known, id_)
            if id_ in self.taken and known.outcome == ActivationState.REJECTED:
                self.fail(f"{id_} would run again")


class Outages(Gateway):
    def play(self, name, code, lasts, durability, torn=False):
        """Admit activations before, during and after a fault of one kind of call.

        Return True if the log was recovered.
        """
        with (
            tempfile.TemporaryDirectory() as folder,
            self.subTest(call=name, code=code, lasts=lasts, durability=durability, torn=torn),
        ):
            until = [0]
            left = [1 if lasts == 0 else FOREVER]

            def fails(call):
                if call != name or self.clock.now() >= until[0] or not left[0]:
                    return None
                left[0] -= 1
                return code

            clock = VirtualClock()
            self.clock = clock
            self.start(FaultyFiles(fails, torn), durability, folder, clock)
            for number in range(20):
                acted = self.ask()
                self.assertIsNotNone(acted.activation_id)
                if number % 2:
                    self.complete(acted.activation_id)
            until[0] = clock.now() + (lasts or 3600 * SECOND)
            # the segment is rolled, so that each kind of call has its turn
            self.state.begin_next_segment(clock.wall())
            rejected = 0
            for _ in range(30):
                exchange = self.ask()
                if exchange.verdict is not None:
                    self.assertIn(exchange.verdict, (stage.REJECT, ActivationState.REJECTED))
                    self.assertGreater(exchange.retry_after, 0)
                    rejected += 1
                # repeatable activations are served whatever the disk does
                repeatable = self.ask("again")
                self.assertIn(repeatable.activation_id, self.core.scheduler.began)
                self.complete(repeatable.activation_id)
                self.assertEqual(repeatable.verdict, ActivationState.COMPLETED)
                self.assert_none_could_rerun(self.after_a_kill(folder))
                self.wait(0.5)
            self.wait(30)
            stopped = self.state.stopped
            if lasts != FOREVER:
                self.assertIsNone(stopped)
                after = self.ask()
                self.assertIn(after.activation_id, self.core.scheduler.began)
                self.complete(after.activation_id)
                self.assertEqual(after.verdict, ActivationState.COMPLETED)
            found = self.after_a_kill(folder)
            self.assert_none_could_rerun(found)
            for id_, act in self.taken.items():
                entry = self.core.ledger.entries["x", id_]
                if stopped is None and entry.state != ActivationState.RUNNING:
                    self.assertEqual(found.activations["x", id_].outcome, entry.state, (id_, act))
            outages = [record for record in state_segments.read(folder)[0] if isinstance(record, OutageEnded)]
            self.assertEqual(len(self.log.said("state log failed")), int(rejected > 0 or bool(outages)))
            if rejected and stopped is None:
                self.assertEqual(len(self.log.said("state log recovered")), 1)
                self.assertEqual(len(outages), 1)
                ended, began, cause, attempts = outages[0]
                self.assertTrue(began < ended and attempts >= 1 and os.strerror(code) in cause)
            self.state.close(clock.wall())
            return rejected > 0

    def test_each_call_fails_once_for_a_while_and_for_good(self):
        calls = ("open", "write", "sync", "close", "remove", "sync_folder")
        outages = set()
        for name in calls:
            for code in (errno.ENOSPC, errno.EIO):
                for lasts in (0, 12 * SECOND, FOREVER):
                    for durability in ("process", "machine"):
                        if self.play(name, code, lasts, durability, torn=lasts != 0):
                            outages.add(name)
        # a failed close or remove does not affect the written records
        self.assertEqual(outages, {"open", "write", "sync", "sync_folder"})

    def test_a_log_that_fails_at_the_start_is_recovered(self):
        until = 5 * SECOND
        files = FaultyFiles(lambda name: errno.EIO if self.clock.now() < until else None)
        self.start(files)
        self.assertEqual(self.ask().verdict, stage.REJECT)
        self.wait(30)
        self.assertIsNone(self.state.stopped)
        self.assertIn(self.ask().activation_id, self.core.scheduler.began)
        self.assert_none_could_rerun(self.after_a_kill())

    def test_an_attempt_that_a_defect_ends_counts_as_failed(self):
        """Guards against an endless outage, in which activations that must not run twice stay rejected."""
        for broken in ("entry_records", "forgotten_record"):
            with self.subTest(broken):
                failing = [True]
                self.start(
                    FaultyFiles(lambda name, on=failing: errno.ENOSPC if on[0] and name == "write" else None),
                    folder=self.folder / broken,
                )
                for _ in range(3):
                    self.ask()
                self.assertIsNotNone(self.state.stopped)
                failing[0] = False
                with patch.object(state_recovery, broken, side_effect=RuntimeError("a defect")) as defect:
                    self.until(lambda defect=defect: defect.called)
                for _ in range(100):
                    self.wait(0.5)
                    self.core.durable_state.check()
                self.assertIsNone(self.state.stopped)
                self.assertIn(self.ask().activation_id, self.core.scheduler.began)

    def test_attempts_back_off_and_begin_again_early_only_after_a_quiet_minute(self):
        failing = [True]
        self.start(FaultyFiles(lambda name: errno.ENOSPC if failing[0] and name == "write" else None))
        self.wait(600)
        attempts = [fields["retry_in"] for fields in self.log.said("state log is not recovered")]
        self.assertLess(len(attempts), 140)
        self.assertGreaterEqual(attempts[-1], 5)
        # abandoned segments are removed
        self.assertLessEqual(len(state_segments.segments(self.folder / "state")), 2)
        for pause, least in ((10, 5.0), (61, 0.1)):
            failing[0] = False
            self.wait(15)
            self.assertIsNone(self.state.stopped)
            self.wait(pause)
            failing[0] = True
            self.ask()
            self.wait(0.6)
            delay = self.log.said("state log failed")[-1]["retry_in"]
            self.assertGreaterEqual(delay, least)
            self.assertLess(delay, 10 * least if least < 1 else 10.1)

    def test_descriptors_are_given_back(self):
        failing = [False]
        self.start(FaultyFiles(lambda name: errno.EIO if failing[0] and name in ("write", "sync") else None))
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(20):
            failing[0] = True
            self.ask()
            self.wait(30)
            failing[0] = False
            self.wait(30)
            self.assertIsNone(self.state.stopped)
        self.assertLessEqual(len(os.listdir("/proc/self/fd")), before)

    def test_a_slice_is_short_and_nothing_is_taken_before_the_last_one(self):
        failing = [False]
        self.start(FaultyFiles(lambda name: errno.EIO if failing[0] and name == "write" else None))
        for _ in range(2000):
            self.complete(self.ask().activation_id)
        failing[0] = True
        self.ask()
        self.wait(0.6)
        failing[0] = False
        added = []
        add = self.state.add

        def count(*record):
            added[-1] += 1
            return add(*record)

        self.state.add = count
        asked = 0
        while self.state.stopped is not None:
            added.append(0)
            self.clock.run(self.clock.heap[0][0])
            if self.state.stopped is not None and self.state.rewriting:
                asked += 1
                self.assertEqual(self.ask().verdict, stage.REJECT)
                self.assertIn(self.ask("again").activation_id, self.core.scheduler.began)
        self.assertGreater(asked, 5)
        # two records per id, and those of the requests in between
        self.assertLessEqual(max(added), 2 * state_recovery.SLICE + 10)
        self.assert_none_could_rerun(self.after_a_kill())

    def test_what_ends_while_the_log_is_rewritten_is_in_it(self):
        failing = [False]
        self.start(FaultyFiles(lambda name: errno.EIO if failing[0] and name == "write" else None))
        acts = [self.ask().activation_id for _ in range(1000)]
        failing[0] = True
        self.ask()
        self.complete(acts.pop())  # during the outage
        self.wait(0.6)
        failing[0] = False
        self.until(lambda: self.state.rewriting)
        # alternately an id that is already rewritten and one that is not yet
        while self.state.stopped is not None:
            self.complete(acts.pop(0))
            self.complete(acts.pop())
            self.clock.run(self.clock.heap[0][0])
        found = self.after_a_kill()
        ended = 0
        for (_, id_), entry in self.core.ledger.entries.items():
            if id_ in self.taken:
                self.assertEqual(found.activations["x", id_].outcome, entry.state)
                self.assertEqual(found.activations["x", id_].result, entry.result)
                ended += entry.state == ActivationState.COMPLETED
        self.assertGreater(ended, 8)
        self.assertGreater(len(acts), 900)

    def test_load_orders_wait_for_the_log_and_stay_in_the_ration_of_the_next_life(self):
        failing = [False]
        self.start(FaultyFiles(lambda name: errno.EIO if failing[0] and name == "write" else None))
        sent = []
        link = type(
            "Link",
            (),
            {"order_load": lambda self, *order: sent.append(order), "has_open_calls": lambda self: False},
        )
        self.core.links["w1"] = link()
        self.core.membership.is_usable = lambda worker: True
        held = []
        self.core.load_order_ended = lambda *answer: held.append(answer[2])
        self.core.outlet.order_load("w1", "again-1", 2)
        self.assertEqual(len(sent), 1)
        failing[0] = True
        self.core.outlet.order_load("w1", "again-2", 1)
        self.wait(1)
        self.core.outlet.order_load("w1", "again-3", 1)
        self.assertEqual((len(sent), held), (1, [ports.EndReason.NOT_SENT] * 2))
        failing[0] = False
        self.wait(2)
        self.assertIsNone(self.state.stopped)
        # the first segment is removed, the load order is kept with its original time
        orders = [
            record
            for record in state_segments.read(self.folder / "state")[0]
            if isinstance(record, LoadOrdered)
        ]
        self.assertEqual([record[1:] for record in orders], [("w1", "again-1", 2)])
        self.assertLessEqual(abs(orders[0].time - (self.clock.wall() - self.clock.now())), SECOND)
        self.core.outlet.order_load("w1", "again-4", 1)
        self.assertEqual(len(sent), 2)

    def test_a_segment_under_an_fsync_is_not_closed(self):
        """Guards against an fsync of another file that reused the descriptor before the thread called it."""
        self.start()
        self.ask()
        failed_log = self.state.log
        task = self.state.sync_task()
        self.state.begin_next_segment(self.clock.wall())
        self.assertIsNotNone(failed_log.handle)
        self.assertTrue(task())
        self.assertIsNone(failed_log.handle)
        task = self.state.sync_task()
        self.state._fail("as a write that failed")
        self.wait(30)
        self.assertIsNotNone(self.state.stopped)
        self.assertFalse(task())
        self.wait(30)
        self.assertIsNone(self.state.stopped)

    def test_a_successors_log_that_cannot_be_read_holds_back_what_it_may_have_taken(self):
        self.start()
        first = self.ask().activation_id
        self.core.stop_admitting(None)
        successor = StateLog(self.folder / "state", self.clock.wall(), "b1", 600 * SECOND, now=self.clock.now)
        successor.add(ActivationAdmitted(self.clock.wall(), "x", "theirs", self.clock.wall(), "once"))
        successor.flush()
        path, scan = successor.log.path, state_log.scan

        def unreadable(which):
            if which == path:
                raise StateUnreadableError(f"{which} can't be read: Input/output error")
            return scan(which)

        state_log.scan = unreadable
        try:
            self.core.resume_admitting()
            self.complete(first)
            self.assertEqual(self.ask(id_="theirs").verdict, stage.REJECT)
            self.wait(20)
            self.assertEqual(self.ask(id_="theirs").verdict, stage.REJECT)
        finally:
            state_log.scan = scan
        self.wait(20)
        self.assertIsNone(self.state.stopped)
        self.number += 1000
        self.assertEqual(self.ask(id_="theirs").verdict, stage.ABORT)
        self.assertIn(self.ask().activation_id, self.core.scheduler.began)
        self.assertEqual(self.after_a_kill().activations["x", "m1"].outcome, ActivationState.COMPLETED)


class Kills(Gateway):
    """A kill after each byte that the recovery writes, and after each file that it removes."""

    def outage(self, files):
        """Run a dispatcher whose log fails and is recovered.

        It has pending, completed and aborted activations.
        """
        self.start(files)
        acts = [self.ask("all" if number % 3 else "once").activation_id for number in range(12)]
        for act in acts[:4]:
            self.complete(act)
        for act in acts[4:6]:
            self.core.pending.begin_attempt(act)
            self.core.submit(self.core.outlet.abort, act)

    def snapshot_of(self, folder):
        return {path.name: path.read_bytes() for path in folder.iterdir()}

    def test_a_kill_at_each_byte_of_the_recovery(self):
        shots = []  # (files, the segment that is written, its bytes so far, the bytes to write)
        case = self

        class Shots(FaultyFiles):
            recording = False

            def write(self, handle, data):
                if self.recording:
                    name = pathlib.Path(os.readlink(f"/proc/self/fd/{handle}")).name
                    shots.append((case.snapshot_of(case.folder / "state"), name, bytes(data)))
                return super().write(handle, data)

            def remove(self, path):
                super().remove(path)
                if self.recording:
                    shots.append((case.snapshot_of(case.folder / "state"), None, b""))

        failing = [False]
        files = Shots(lambda name: errno.ENOSPC if failing[0] and name == "write" else None, torn=True)
        self.outage(files)
        failing[0] = True
        self.ask()
        self.wait(0.6)
        failing[0], files.recording = False, True
        slice_before, state_recovery.SLICE = state_recovery.SLICE, 3
        try:
            self.wait(5)
        finally:
            state_recovery.SLICE = slice_before
        files.recording = False
        self.assertIsNone(self.state.stopped)
        self.assertGreater(len(shots), 6)
        states = {id_: self.core.ledger.entries["x", id_].state for id_ in self.taken}
        kills = 0
        where = self.folder / "killed"
        where.mkdir()
        for files_then, name, data in shots:
            for cut in range(len(data) + 1) if name else (0,):
                for path in where.iterdir():
                    path.unlink()
                for file, content in files_then.items():
                    (where / file).write_bytes(content)
                if name:
                    (where / name).write_bytes(files_then.get(name, b"") + data[:cut])
                found = self.after_a_kill(where)
                for id_, outcome in states.items():
                    known = found.activations[("x", id_)].outcome
                    # known outcomes are true; unknown activations count as possibly run
                    self.assertIn(known, (outcome, ActivationState.RUNNING))
                kills += 1
        self.assertGreater(kills, 1000)

    def test_writes_of_one_byte_make_the_same_log(self):
        class Short(FaultyFiles):
            def write(self, handle, data):
                self._check("write")
                return os.write(handle, data[:1])

        failing = [False]
        self.outage(Short(lambda name: errno.EIO if failing[0] and name == "write" else None))
        failing[0] = True
        self.ask()
        failing[0] = False
        self.wait(5)
        self.assertIsNone(self.state.stopped)
        found = self.after_a_kill()
        self.assertEqual(
            {id_: found.activations["x", id_].outcome for id_ in self.taken},
            {id_: self.core.ledger.entries["x", id_].state for id_ in self.taken},
        )


class Rewritten(Gateway):
    """Compares what the next incarnation recovers from a rewritten log with what this one knows."""

    def test_the_next_ledger_is_no_more_forgetful_and_repeats_no_longer(self):
        failing = [False]
        self.start(FaultyFiles(lambda name: errno.EIO if failing[0] and name == "write" else None))
        for number in range(60):
            type_ = ("once", "all", "again")[number % 3]
            act = self.ask(type_).activation_id
            if number % 4 == 1:
                self.complete(act, b"x" * (10 if number % 8 == 1 else 5000))
            elif number % 4 == 2:
                self.core.submit(self.core.outlet.reject, act, 0)
            elif number % 4 == 3:
                self.core.pending.begin_attempt(act)
                self.core.submit(self.core.outlet.abort, act)
                self.wait(0.5)
                self.number += 5000
                self.ask(type_, f"m{number + 1}")  # asked again
                self.number -= 5001
        failing[0] = True
        self.ask()
        failing[0] = False
        self.wait(5)
        self.assertIsNone(self.state.stopped)
        before = self.core.ledger.entries
        # only the rewritten segment: those this incarnation wrote before are removed
        self.assertEqual(len(state_segments.segments(self.folder / "state")), 1)
        self.start(clock=self.clock)
        after = self.core.ledger.entries
        for key, entry in before.items():
            again = after[key]
            self.assertGreaterEqual(again.remembered_until, entry.remembered_until - SECOND // 1000, key)
            self.assertLessEqual(again.first_at, entry.first_at + SECOND // 1000, key)
            self.assertEqual(again.timestamp, entry.timestamp, key)
            self.assertEqual(
                again.state,
                ActivationState.ABORTED if entry.state == ActivationState.RUNNING else entry.state,
                key,
            )
            self.assertTrue(again.may_have_run or not entry.may_have_run, key)

    def test_the_next_ledger_knows_what_was_forgotten(self):
        """A replay of a forgotten id is not admitted, even if the wall clock was stepped back."""
        failing = [False]
        self.start(FaultyFiles(lambda name: errno.EIO if failing[0] and name == "write" else None))
        self.complete(self.ask().activation_id)
        self.wait(1300)
        self.ask()  # the ledger forgets ids on a request
        self.assertNotIn(("x", "m1"), self.core.ledger.entries)
        failing[0] = True
        self.ask()
        failing[0] = False
        self.wait(5)
        self.assertIsNone(self.state.stopped)
        forgotten = self.core.ledger.newest_forgotten
        self.assertGreater(forgotten, 0)
        self.start(clock=self.clock)
        self.assertGreaterEqual(self.core.ledger.newest_forgotten, forgotten)
        self.assertNotIn(("", ""), self.core.ledger.entries)


class Formats(Gateway):
    def test_only_a_recovered_segment_needs_a_build_that_knows_outages(self):
        failing = [False]
        self.start(FaultyFiles(lambda name: errno.EIO if failing[0] and name == "write" else None))
        self.ask()
        self.assertEqual(self.state.format, 1)
        failing[0] = True
        self.ask()
        failing[0] = False
        self.wait(5)
        self.assertEqual(self.state.format, 2)
        self.state.begin_next_segment(self.clock.wall())
        formats = [
            state_segments.scan(path).format for _, _, path in state_segments.segments(self.folder / "state")
        ]
        self.assertEqual(formats, [2, 1])
        self.wait(601)
        self.state.begin_next_segment(self.clock.wall())
        self.assertEqual(self.state.format, 1)

    def test_the_state_of_the_text_before_is_read(self):
        records, dropped = state_segments.read(STORED / "state")
        self.assertEqual(dropped, [])
        found = recovery.replay(records, WALL + 20, "b1", False)
        self.assertEqual(
            {
                key: (known.outcome, known.may_have_run, known.result, known.type_name)
                for key, known in found.activations.items()
            },
            {
                ("x", "open"): (ActivationState.RUNNING, False, None, "once"),
                ("x", "done"): (ActivationState.COMPLETED, True, b'{"ok":1}', "once"),
                ("x", "rejected"): (ActivationState.REJECTED, False, None, "all"),
                ("y", "later"): (ActivationState.RUNNING, False, None, "again"),
            },
        )
        self.assertEqual(
            (found.order_times, found.ended_cleanly, found.complete_since), ([WALL + 6] * 2, True, WALL)
        )

    def test_other_folders_of_the_text_before_are_read(self):
        self.assertEqual(
            snapshot.read(STORED / "value.snap", "test", 3), (3, {"a": [1, 2.5, None, "x"], "b": {3: b"raw"}})
        )
        folder = STORED / "versions"
        self.assertEqual(
            [tuple(one) for one in versions.announced(folder)], [(7, WALL, False), (8, WALL + SECOND, True)]
        )
        self.assertEqual(versions.position(folder), 12)
        table = history_files.read(STORED / "history")
        self.assertEqual(table["function"].to_pylist(), [f"f{number % 2}" for number in range(11)])
        self.assertEqual(history_files.verify(STORED / "history"), [])
        (row,) = early_load_log.read(STORED / "history")
        self.assertEqual((row.function, row.end, row.seconds, row.memory), ("f1", "used", 0.25, 1.5))

    def test_the_stored_bytes_are_those_of_the_text_before(self):
        log = StateLog(self.folder / "state", WALL, "b1", 600 * SECOND)
        log.add(ActivationAdmitted(WALL + 1, "x", "open", WALL, "once"))
        log.add(ActivationAdmitted(WALL + 2, "x", "done", WALL, "once"))
        log.add(ActivationEnded(WALL + 3, "x", "done", ActivationState.COMPLETED, True, b'{"ok":1}'))
        log.add(ActivationAdmitted(WALL + 4, "x", "rejected", WALL, "all"))
        log.add(ActivationEnded(WALL + 5, "x", "rejected", ActivationState.REJECTED, False, None))
        log.add(LoadOrdered(WALL + 6, "w1", "f", 2))
        log.begin_next_segment(WALL + 7)
        log.add(ActivationAdmitted(WALL + 8, "y", "later", WALL, "again"))
        log.close(WALL + 9)
        for before in sorted((STORED / "state").iterdir()):
            self.assertEqual((self.folder / "state" / before.name).read_bytes(), before.read_bytes())


class Days(unittest.TestCase):
    """Emulated days on which folders fail and dispatchers are killed, with clients that retry and logs in
    files. The five rules are checked."""

    def play(self, seed):
        day = script.read(script.find(str(pathlib.Path(__file__).parent / "days" / "small.kdl")))
        chance = Random(seed)
        kills = tuple(
            script.Trouble(
                "kill",
                int(chance.uniform(0.3, 5) * SECOND),
                0,
                {"dispatcher": chance.choice(day.dispatchers), "down": int(chance.uniform(0.05, 1) * SECOND)},
            )
            for _ in range(4)
        )
        outages = []
        for _ in range(4):
            begins = int(chance.uniform(0.2, 5) * SECOND)
            outages.append((begins, begins + int(chance.uniform(0.01, 1.5) * SECOND)))
        day = day._replace(
            state=True,
            troubles=kills,
            clients=tuple(client._replace(insists=True, retries=4) for client in day.clients),
        )
        logs = []

        class OnFiles(Platform):
            """A platform whose dispatchers keep their state in failing folders."""

            def make_core(self, described, clock, chance, disk):
                core = super().make_core(described, clock, chance, None)
                failing = chance.choice(("write", "open"))

                def fails(call):
                    now = clock.now()
                    return errno.ENOSPC if call == failing and any(a <= now < b for a, b in outages) else None

                files = FaultyFiles(fails, torn=True)
                log = StateLog(
                    pathlib.Path(folder) / described.name,
                    clock.wall(),
                    "emulated",
                    600 * SECOND,
                    files=files,
                    now=clock.now,
                )
                logs.append((log, core))
                core.adopt(log)
                return core

        with tempfile.TemporaryDirectory() as folder:
            platform = OnFiles(day, seed).run()
            broken = [line for found in rules.judge(platform.case()) for line in found.broken]
            completed = sum(wish.ended == "completed" for wish in platform.clients.requests)
            recovered = sum(bool(core.durable_state.state_recovery.schedule.recovered_at) for _, core in logs)
            for log, _ in logs:
                if log.log is not None:
                    log.log.abandon()
        return broken, completed, recovered

    def test_no_rule_breaks_over_days_of_outages_and_kills(self):
        recovered = 0
        for seed in range(1, 13):
            broken, completed, more = self.play(seed)
            self.assertEqual(broken, [], seed)
            self.assertGreater(completed, 100)
            recovered += more
        self.assertGreater(recovered, 12)


class OnTheLoop(rig.Case):
    """A complete dispatcher on sockets, whose fsync runs in a thread."""

    async def play(self, durability, call):
        with tempfile.TemporaryDirectory() as folder:
            plain = rig.FILE
            rig.FILE = plain + f'state {{{{ folder "{folder}/s"; durability "{durability}" }}}}\n'
            try:
                await self.begin(rig.Worker("w1"))
            finally:
                rig.FILE = plain
            self.assertEqual((await self.post("once-1"))[0], 200)
            state = self.core.durable_state.log
            broken = getattr(state.files, call)

            def fails(*args):
                raise OSError(errno.EIO, "Input/output error")

            setattr(state.files, call, fails)
            rejected = 0
            for _ in range(8):
                status, reply = await self.post("once-1")
                self.assertEqual(status, 503)
                self.assertIn(b"retry-after", reply.headers)
                rejected += 1
                self.assertEqual((await self.post("again-1"))[0], 200)
            self.assertIsNotNone(state.stopped)
            self.assertFalse(HeartbeatReporter(f"{folder}/h", self.core).report().is_durable)
            setattr(state.files, call, broken)
            await self.until(lambda: state.stopped is None)
            self.assertEqual((await self.post("once-1"))[0], 200)
            (said,) = self.log.said("state log recovered")
            self.assertEqual(said["rejected"], rejected)
            state.close(self.core.record_time())
            records, damages = state_segments.read(f"{folder}/s")
            self.assertEqual(damages, [])
            completed = {
                r.id
                for r in records
                if isinstance(r, ActivationEnded) and r.outcome == ActivationState.COMPLETED
            }
            self.assertEqual(len(completed), 2 + 8)
            self.assertEqual(self.runs(), 2 + 8)

    async def test_a_write_that_fails(self):
        await self.play("process", "write")

    async def test_an_fsync_that_fails_in_its_thread(self):
        await self.play("machine", "sync")

    async def test_a_write_that_fails_beside_an_fsync(self):
        await self.play("machine", "write")


if __name__ == "__main__":
    unittest.main()
