"""Measures the cost of durable state: log throughput, start time, recovery of a failed log, and throughput.

`pace` measures the log's throughput, `retries` the cost of a retry of a completed activation, `start` the
time to start by size of the log, `recovery` the recovery of a log whose write failed, and `whole` the
throughput of a dispatcher with durable state and without.

    python benchmarks/state.py pace|retries|start|recovery|whole"""

import argparse
import asyncio
import errno
import gc
import pathlib
import random
import statistics
import sys
import tempfile
import time

from petrelwood import ports
from petrelwood.clocks import LoopClock, VirtualClock
from petrelwood.decide.delivery import recovery
from petrelwood.decide.delivery.ledger import ActivationState, Ledger, LedgerEntry
from petrelwood.decide.delivery.state_records import ActivationAdmitted, ActivationEnded
from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.dispatch.core import Core
from petrelwood.store import state_segments
from petrelwood.store.files import Files
from petrelwood.store.state_log import StateLog

WALL, S = 1_764_547_200 * 10**9, 10**9
TYPES = {"once": ports.NamespaceType(S, ports.Effect.ONCE_ONLY, "all", 0)}


def pace():
    """Measure records per second, with one or eight records per write, and with an fsync per 1 or 32."""
    for word, group, sync, count in (
        ("a write each", 1, False, 50_000),
        ("a write for eight", 8, False, 50_000),
        ("an fsync each", 1, True, 300),
        ("an fsync for 32", 32, True, 9600),
    ):
        with tempfile.TemporaryDirectory() as folder:
            log, begun = StateLog(folder, WALL, "b", 600 * S), time.perf_counter()
            for i in range(count):
                log.add(ActivationAdmitted(WALL + i, "customer", f"msg_{i:026d}", WALL, "once"))
                if not (i + 1) % group:
                    log.flush()
                    if sync:
                        log.sync()
            took = time.perf_counter() - begun
            print(f"{word:18s} {count / took:10.0f} records a second, {took / count * 1e6:7.1f} us each")
            log.close(WALL)


def retries():
    """Measure the time, and the bytes in the log, of a retry that gets its result; signed a second later."""
    sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tests"))
    from test_store_faults import GATEWAY, Exchange, Log, Recorded

    ids, tries = 2_000, 5
    clock = VirtualClock()
    core = Core(GATEWAY, clock, random.Random(1), None, Log(), Recorded)
    with tempfile.TemporaryDirectory() as folder:
        core.adopt(StateLog(folder, clock.wall(), "b", 1200 * S, now=clock.now))
        rule = core.rule("once-1")

        def send(number):
            exchange, now = Exchange(), clock.now()
            request = ActivationRequest("x", f"msg_{number:026d}", clock.wall(), "once", now, 0)
            core.admit(request, "once-1", rule, b"{}", exchange)
            return exchange.activation_id

        for number in range(ids):
            attempt = core.pending.begin_attempt(act := send(number))
            completed = (act, attempt, "w", ports.EndReason.COMPLETED, 0, b'{"ok":1}', clock.now(), None)
            core.submit(core.send_ended, *completed)
        size = _folder_size(folder)
        begun = time.perf_counter()
        for _ in range(tries):
            clock.run(clock.now() + S)
            for number in range(ids):
                send(number)
        took = time.perf_counter() - begun
        grown = _folder_size(folder) - size
        print(f"{took / ids / tries * 1e6:6.1f} us and {grown / ids / tries:5.1f} bytes a retry")


def _folder_size(folder):
    return sum(path.stat().st_size for path in pathlib.Path(folder).iterdir())


def start():
    """Measure the seconds from reading the files to a filled ledger."""
    for count in (1_000, 10_000, 100_000, 400_000):
        with tempfile.TemporaryDirectory() as folder:
            log = StateLog(folder, WALL, "b", 600 * S)
            for i in range(count):
                log.add(ActivationAdmitted(WALL + i, "customer", f"msg_{i:026d}", WALL, "once"))
                log.add(
                    ActivationEnded(WALL + i, "customer", f"msg_{i:026d}", "completed", True, b'{"ok":1}')
                )
                if not i % 64:
                    log.flush()
            log.close(WALL + count)
            size = _folder_size(folder)
            gc.disable()  # as `Dispatcher.open_state` does
            begun = time.perf_counter()
            records, _ = state_segments.read(folder)
            found = recovery.replay(records, WALL + S, "b", False)
            ledger = Ledger(500_000, 64_000_000, 300 * S, TYPES, {"once": 600 * S}, WALL + S)
            held = recovery.restore_ledger(ledger, found, 10 * S, WALL + S)
            gc.enable()
            print(f"{held:7d} ids, {size / 1e6:6.1f} MB: {time.perf_counter() - begun:6.3f} s")


class _FullOnce(Files):
    """A disk whose next write fails once `full` is set; later writes succeed."""

    full = False

    def write(self, handle, data):
        if self.full:
            self.full = False
            raise OSError(errno.ENOSPC, "No space left on device")
        return super().write(handle, data)


async def _recovery(count, durability):
    """Return the seconds from a failed write until the log is valid again, the longest time (s) for which the
    rewrite blocked the event loop, and the size of the log (bytes), with `count` remembered ids, half of them
    with a short answer."""
    sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tests"))
    from test_store_faults import GATEWAY, Log, Recorded

    clock, files = LoopClock(), _FullOnce()

    class Running(Core):
        def sync_state(self, done):
            task = asyncio.get_running_loop().run_in_executor(None, self.durable_state.log.sync_task())
            task.add_done_callback(lambda ended: self.submit(done, ended.result()))

    core = Running(GATEWAY, clock, random.Random(1), None, Log(), Recorded)
    with tempfile.TemporaryDirectory() as folder:
        core.adopt(StateLog(folder, clock.wall(), "b", 1200 * S, durability, files))
        now = clock.now()
        for number in range(count):
            entry = LedgerEntry(
                clock.wall(),
                "once",
                now,
                now + 600 * S,
                ActivationState.COMPLETED if number % 2 else ActivationState.ABORTED,
                b'{"ok":1}' if number % 2 else None,
                may_have_run=True,
            )
            core.ledger.restore(("customer", f"msg_{number:026d}"), entry)
        files.full = True
        core.durable_state.log.add(ActivationAdmitted(clock.wall(), "customer", "last", clock.wall(), "once"))
        core.durable_state.log.flush()
        begun = seen = time.perf_counter()
        longest = 0
        while core.durable_state.log.stopped is not None:
            await asyncio.sleep(0)
            at = time.perf_counter()
            if core.durable_state.log.rewriting or core.durable_state.log.stopped is None:
                longest = max(longest, at - seen)
            seen = at
        took = time.perf_counter() - begun
        size = _folder_size(folder)
        found = recovery.replay(state_segments.read(folder)[0], clock.wall(), "b", False)
        assert len(found.activations) == count
        core.durable_state.log.close(clock.wall())
    return took, longest, size


def recovered():
    """Measure how long it takes until a failed log is valid again when the disk recovers at once."""
    for durability in ("process", "machine"):
        for count in (0, 10_000, 300_000):
            for _ in range(3):
                took, longest, size = asyncio.run(_recovery(count, durability))
                print(
                    f"{durability:8s} {count:7d} ids, {size / 1e6:5.1f} MB: {took:6.2f} s, "
                    f"the loop blocked for {longest * 1e3:5.1f} ms at most"
                )


async def _whole(more, count, out):
    """Send once-only webhooks through a dispatcher on loopback, 32 at a time; append the rate per second."""
    sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tests"))
    import rig

    class Run(rig.Case):
        def runTest(self):
            """Never run as a test."""

    case, plain = Run(), rig.FILE
    rig.FILE = plain + more.replace("{", "{{").replace("}", "}}")
    try:
        await case.begin(rig.Worker("w1"), limits='body "20KB"')
    finally:
        rig.FILE = plain
    messages = [case.message("once-1") for _ in range(count)]

    async def caller():
        while messages:
            reply = await case.caller.call(messages.pop(), 10)
            assert reply.status == 200, reply.status

    begun = time.perf_counter()
    await asyncio.gather(*(caller() for _ in range(32)))
    out.append(count / (time.perf_counter() - begun))
    await case.asyncTearDown()


def whole():
    """Measure activations per second by durability, and the ratio to a dispatcher without state."""
    rates = {}
    for _ in range(5):
        for word in ("none", "process", "machine"):
            with tempfile.TemporaryDirectory() as folder:
                more = f'state {{ folder "{folder}"; durability "{word}" }}\n' if word != "none" else ""
                asyncio.run(_whole(more, 3000, rates.setdefault(word, [])))
    for word, seen in rates.items():
        ratios = [a / b for a, b in zip(seen, rates["none"], strict=True)]
        print(
            f"{word:8s} {statistics.median(seen):7.0f} a second, {statistics.median(ratios):.2f} of none "
            f"({', '.join(f'{r:.2f}' for r in ratios)})"
        )


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("what", choices=["pace", "retries", "start", "recovery", "whole"])
    {"pace": pace, "retries": retries, "start": start, "recovery": recovered, "whole": whole}[
        parser.parse_args().what
    ]()


if __name__ == "__main__":
    main()
