"""Runs all tests, each file in a process of its own and several in parallel, and gives one verdict.

`python tests/run_tests.py [--processes N] [FILE ...]` first collects the id of every test, then runs the
files (all, or those that are named, such as `test_node.py`), and fails unless exactly the collected tests ran
and passed. A file in which no test ends for STALLED_AFTER seconds is terminated and fails. Failures that
KNOWN-RED.txt lists (tests/known_red.py) are printed and do not fail the run; they count as failed in the last
line, which is `N passed, N failed`, followed by `, N skipped` if any were skipped.
"""

import argparse
import json
import os
import resource
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import known_red
import schedule

TESTS = Path(__file__).resolve().parent
ROOT = TESTS.parent
PROCESSES = 5  # in parallel, for ten cores: many tests start several processes of their own
STALLED_AFTER = 300.0  # seconds in which no test ends; the longest test took 56 s at a load average of 20
POLL_SECONDS = 0.1
SLOWEST_SHOWN = 10  # tests


@dataclass(frozen=True, slots=True)
class TestRecord:
    """The outcome of one test."""

    __test__ = False

    test: str
    outcome: str  # "passed", "failed" or "skipped"
    seconds: float


@dataclass(slots=True)
class FileRun:
    """The result of the process that ran one test file."""

    file: str
    records: list[TestRecord] = field(default_factory=list)
    exit_code: int = 0
    seconds: float = 0.0
    stalled: bool = False
    output: str = ""

    def fault(self) -> str | None:
        """Return why the process itself failed, apart from its tests, or None."""
        if self.stalled:
            return f"ended after {STALLED_AFTER:.0f} s without a test that finished"
        failed = any(record.outcome == "failed" for record in self.records)
        if not self.records:
            return f"ran no test, exit code {self.exit_code}"
        if self.exit_code != int(failed):
            return f"died with exit code {self.exit_code}"
        return None


@dataclass(slots=True)
class Verdict:
    """The combined result of all files."""

    passed: int
    failed: list[str]  # test ids
    skipped: int
    missing: list[str]  # test ids: collected but not run
    unexpected: list[str]  # test ids: run but not collected, or run twice
    faults: list[str]  # of processes and of KNOWN-RED.txt, one line each
    known: list[known_red.KnownRed]  # failures that KNOWN-RED.txt lists
    mended: list[known_red.KnownRed]  # listed in KNOWN-RED.txt, but passed

    def red(self) -> bool:
        """Return whether anything failed that KNOWN-RED.txt does not list."""
        listed = {each.test for each in self.known}
        unlisted = [test for test in self.failed if test not in listed]
        return bool(unlisted or self.missing or self.unexpected or self.faults)

    def last_line(self) -> str:
        """Return the counts; tests that did not run and processes that died count as failed."""
        failed = len(self.failed) + len(self.missing) + len(self.unexpected) + len(self.faults)
        skipped = f", {self.skipped} skipped" if self.skipped else ""
        return f"{self.passed} passed, {failed} failed{skipped}"


class Runner:
    """Runs test files in child processes, each with its own session and temporary folder."""

    def __init__(self, tests: Path, folder: Path, stalled_after: float = STALLED_AFTER) -> None:
        """Run files of the folder `tests`; put records, output and temporary files into `folder`."""
        self.tests = tests
        self.folder = folder
        self.stalled_after = stalled_after
        self._printing = threading.Lock()
        self._interrupted = threading.Event()

    def collect(self) -> list[str]:
        """Return the ids of all tests that `unittest discover` finds; none if the process dies."""
        ids = self.folder / "ids"
        ids.touch()
        subprocess.run(self._command("--collect", ids), cwd=self.tests.parent, check=False)
        return ids.read_text().splitlines()

    def run_side_by_side(self, files: Sequence[str], processes: int) -> list[FileRun]:
        """Run the files in the given order, `processes` at a time; if interrupted, end the running ones."""
        pool = ThreadPoolExecutor(processes)
        try:
            return list(pool.map(self.run, files))
        except BaseException:
            self._interrupted.set()
            raise
        finally:
            pool.shutdown(cancel_futures=True)

    def run(self, file: str) -> FileRun:
        """Run one file; print its result, and its whole output if it failed."""
        own = self.folder / Path(file).stem
        temporary = own / "t"
        temporary.mkdir(parents=True)
        records, output = own / "records", own / "output"
        records.touch()
        ran = FileRun(file)
        began = time.monotonic()
        with output.open("wb") as out:
            process = subprocess.Popen(
                self._command(file, records),
                cwd=self.tests.parent,
                env={**os.environ, "TMPDIR": str(temporary)},
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
            ran.stalled = self._wait(process, records)
        ran.seconds = time.monotonic() - began
        ran.exit_code = process.returncode
        ran.output = output.read_text(errors="replace")
        ran.records = [TestRecord(**json.loads(line)) for line in records.read_text().splitlines()]
        self._show(ran)
        return ran

    def _command(self, what: str, records: Path) -> list[str]:
        return [sys.executable, str(TESTS / "run_test_file.py"), str(self.tests), what, str(records)]

    def _wait(self, process: subprocess.Popen[bytes], records: Path) -> bool:
        """Wait for the process and kill the processes it left behind; return whether it stalled."""
        size = 0
        last_change = time.monotonic()
        stalled = False
        while process.poll() is None and not self._interrupted.is_set():
            time.sleep(POLL_SECONDS)
            if records.stat().st_size != size:
                size = records.stat().st_size
                last_change = time.monotonic()
            if time.monotonic() - last_change > self.stalled_after:
                stalled = True
                process.send_signal(signal.SIGABRT)  # faulthandler prints the stack of each thread
                with suppress(subprocess.TimeoutExpired):
                    process.wait(10)
                break
        with suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
        process.wait()
        return stalled

    def _show(self, ran: FileRun) -> None:
        failed = [record.test for record in ran.records if record.outcome == "failed"]
        fault = ran.fault()
        word = "FAILED" if failed or fault else "ok"
        with self._printing:
            print(f"{word:6} {ran.seconds:6.1f} s {len(ran.records):4} tests  {ran.file}", flush=True)
            if failed or fault:
                print(f"----- output of {ran.file}{f' ({fault})' if fault else ''}")
                print(ran.output.rstrip())
                print(f"----- end of {ran.file}", flush=True)


def judge(collected: Sequence[str], runs: Sequence[FileRun], listed: known_red.Listed) -> Verdict:
    """Compare the test results with the collected tests and KNOWN-RED.txt, and return the verdict."""
    records = [record for run in runs for record in run.records]
    ran = Counter(record.test for record in records)
    wanted = Counter(collected)
    outcomes = {
        outcome: [r.test for r in records if r.outcome == outcome] for outcome in ("failed", "passed")
    }
    faults = [f"{run.file}: {fault}" for run in runs if (fault := run.fault())]
    if not collected:
        faults.append("the tests could not be collected, or there are none")
    return Verdict(
        passed=len(outcomes["passed"]),
        failed=outcomes["failed"],
        skipped=sum(record.outcome == "skipped" for record in records),
        missing=sorted((wanted - ran).elements()),
        unexpected=sorted((ran - wanted).elements()),
        faults=[*listed.faults, *faults],
        known=[each for each in listed.tests if each.test in outcomes["failed"]],
        mended=[each for each in listed.tests if each.test in outcomes["passed"]],
    )


def report(verdict: Verdict, runs: Sequence[FileRun]) -> Iterator[str]:
    """Yield the lines of the report, except the counts."""
    yield "Seconds of each file:"
    for run in sorted(runs, key=lambda run: -run.seconds):
        yield f"  {run.seconds:6.1f}  {run.file}"
    records = [record for run in runs for record in run.records]
    yield f"The {SLOWEST_SHOWN} slowest tests, in seconds:"
    for record in sorted(records, key=lambda record: -record.seconds)[:SLOWEST_SHOWN]:
        yield f"  {record.seconds:6.1f}  {record.test}"
    known = {each.test for each in verdict.known}
    yield from (f"FAILED: {test}" for test in verdict.failed if test not in known)
    yield from (f"NOT RUN: {test}" for test in verdict.missing)
    yield from (f"NOT COLLECTED, OR RUN TWICE: {test}" for test in verdict.unexpected)
    yield from (f"FAULT: {fault}" for fault in verdict.faults)
    yield from (f"KNOWN RED, passed over: {each}" for each in verdict.known)
    yield from (f"KNOWN RED, and passed: {each}" for each in verdict.mended)


def run_all(
    tests: Path, processes: int, only: Sequence[str] = (), stalled_after: float = STALLED_AFTER
) -> int:
    """Run the tests of a folder, or only those of the files in `only`, and print the report.

    Return the exit code, 0 if no unlisted test failed.
    """
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="pw-") as name:
        runner = Runner(tests, Path(name), stalled_after)
        collected = runner.collect()
        listed = known_red.read(tests.parent / known_red.FILE, collected)
        files = sorted(file.name for file in tests.glob("test*.py"))
        if only:
            files = list(only)  # a file that does not exist fails like one without tests
            collected = [test for test in collected if f"{schedule.module_of(test)}.py" in only]
        parallel, alone = schedule.split(files)
        runs = runner.run_side_by_side(parallel, processes)
        runs += runner.run_side_by_side(alone, 1)
    verdict = judge(collected, runs, listed)
    print("\n".join([*report(verdict, runs), *cost(began), verdict.last_line()]), flush=True)
    return 1 if verdict.red() else 0


def cost(began: float) -> Iterator[str]:
    """Yield the elapsed time since `began`, the CPU time of the tests and the machine's load average."""
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    load = ", ".join(f"{each:.1f}" for each in os.getloadavg())
    cpu = used.ru_utime + used.ru_stime
    yield f"{time.monotonic() - began:.0f} s, {cpu:.0f} s of CPU; load {load} on {os.cpu_count()} cores"


def end_when_terminated() -> None:
    """Make SIGTERM end the run as Ctrl-C does, so that the test processes end with it."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)


def main() -> int:
    """Run the tests named by the arguments; return the exit code, 0 if no unlisted test failed."""
    arguments = argparse.ArgumentParser(description="Run the tests, several files side by side.")
    arguments.add_argument("--processes", type=int, default=PROCESSES, help=f"at a time ({PROCESSES})")
    arguments.add_argument("files", nargs="*", help="names of files in tests/ (all)")
    arguments.add_argument("--tests", type=Path, default=TESTS, help="folder of the files (tests)")
    given = arguments.parse_args()
    end_when_terminated()
    return run_all(given.tests, given.processes, given.files)


if __name__ == "__main__":
    sys.exit(main())
