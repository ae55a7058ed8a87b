"""Runs one test file as `unittest discover -s tests` does, and records each test when it ends.

`run_test_file.py TESTS test_x.py RECORDS` runs the tests of one file in the folder TESTS, and appends a
line of JSON to the file RECORDS for each test that ended, so that the results survive a crash.
`run_test_file.py TESTS --collect RECORDS` runs no test: it writes the id of each test, one per line.
tests/run_tests.py starts both.
"""

import faulthandler
import json
import sys
import time
import unittest
from collections.abc import Iterator
from pathlib import Path
from types import TracebackType
from typing import Any, TextIO

Raised = tuple[type[BaseException], BaseException, TracebackType] | tuple[None, None, None]


class RecordingResult(unittest.TextTestResult):
    """Unittest's printed result that also writes a record for each test that ended."""

    def __init__(self, records: TextIO, stream: Any, descriptions: bool, verbosity: int) -> None:
        super().__init__(stream, descriptions, verbosity)
        self._records = records

    def startTest(self, test: unittest.TestCase) -> None:
        """Begin a test; its outcome is "passed" unless another one is added."""
        super().startTest(test)
        self._started = time.monotonic()
        self._outcome = "passed"

    def stopTest(self, test: unittest.TestCase) -> None:
        """Record the test's outcome and duration."""
        super().stopTest(test)
        self._record(test.id(), self._outcome, time.monotonic() - self._started)

    def addSkip(self, test: unittest.TestCase, reason: str) -> None:
        """Note that the test or one of its subtests was skipped."""
        super().addSkip(test, reason)
        if self._outcome == "passed":
            self._outcome = "skipped"

    def addFailure(self, test: unittest.TestCase, err: Raised) -> None:
        """Note that an assertion failed."""
        super().addFailure(test, err)
        self._outcome = "failed"

    def addError(self, test: unittest.TestCase, err: Raised) -> None:
        """Note an exception; record it at once if it belongs to no test (set-up of a class or module)."""
        super().addError(test, err)
        if isinstance(test, unittest.TestCase):
            self._outcome = "failed"
        else:
            self._record(test.id(), "failed", 0.0)

    def addSubTest(self, test: unittest.TestCase, subtest: unittest.TestCase, err: Raised | None) -> None:
        """Note a failed subtest, which makes its test fail."""
        super().addSubTest(test, subtest, err)
        if err is not None:
            self._outcome = "failed"

    def addUnexpectedSuccess(self, test: unittest.TestCase) -> None:
        """Note that a test passed that was expected to fail, which is a failure."""
        super().addUnexpectedSuccess(test)
        self._outcome = "failed"

    def _record(self, test: str, outcome: str, seconds: float) -> None:
        line = json.dumps({"test": test, "outcome": outcome, "seconds": round(seconds, 3)})
        self._records.write(line + "\n")
        self._records.flush()


class RecordingRunner(unittest.TextTestRunner):
    """The runner of `python -m unittest` with a `RecordingResult`."""

    def __init__(self, records: TextIO) -> None:
        warnings = None if sys.warnoptions else "default"  # as unittest.main does
        super().__init__(verbosity=2, warnings=warnings)
        self._records = records

    def _makeResult(self) -> RecordingResult:
        return RecordingResult(self._records, self.stream, self.descriptions, self.verbosity)


def load(tests: Path, pattern: str) -> unittest.TestSuite:
    """Return the tests of the matching files; set `sys.path` as `unittest discover -s tests` does."""
    sys.path[0] = str(tests.parent)  # replaces this script's folder
    return unittest.TestLoader().discover(str(tests), pattern=pattern)  # this inserts `tests` before it


def tests_of(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    """Yield each test of a suite and of its nested suites."""
    for each in suite:
        if isinstance(each, unittest.TestSuite):
            yield from tests_of(each)
        else:
            yield each


def collect(tests: Path, records: Path) -> None:
    """Write the ids of all tests."""
    records.write_text("".join(f"{test.id()}\n" for test in tests_of(load(tests, "test*.py"))))


def run(tests: Path, file: str, records: Path) -> bool:
    """Run one file's tests and return whether all passed."""
    with records.open("a") as out:
        return RecordingRunner(out).run(load(tests, file)).wasSuccessful()


def main(arguments: list[str]) -> int:
    """Collect or run the tests, according to the arguments; return the exit code, 0 if no test failed."""
    faulthandler.enable()  # prints the stack of each thread when a stalled process is ended by SIGABRT
    tests, what, records = Path(arguments[0]), arguments[1], Path(arguments[2])
    if what == "--collect":
        collect(tests, records)
        return 0
    return 0 if run(tests, what, records) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
