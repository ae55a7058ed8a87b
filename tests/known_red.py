"""Reads KNOWN-RED.txt, the short list of tests that may fail because of a known fault until it is fixed.

Each line has four parts: `test id | command and seed | what was seen | issue N`. The file exists only while
there is such a test.
"""

import re
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path

FILE = "KNOWN-RED.txt"
SEPARATOR = " | "
PARTS = 4
ISSUE = re.compile(r"issue [1-9]\d*")


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that may fail."""

    test: str  # the unittest id, such as test_node.Case.test_this
    command: str  # the command that makes it fail, with the seed if there is one
    seen: str  # how it failed
    issue: str  # issue N

    def __str__(self) -> str:
        """Return the line that lists it."""
        return SEPARATOR.join((self.test, self.command, self.seen, self.issue))


@dataclass(slots=True)
class Listed:
    """The entries of the file, and its format errors."""

    tests: list[KnownRed] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


def read(path: Path, tests: Collection[str]) -> Listed:
    """Return the entries of the file, none if it does not exist; `tests` are the ids of all tests."""
    listed = Listed()
    if not path.exists():
        return listed
    for line in path.read_text().splitlines():
        if not line.strip():
            continue
        entry = _entry(line)
        if entry is None:
            listed.faults.append(f"{path.name}: not `test id | command and seed | seen | issue N`: {line}")
        elif entry.test not in tests:
            listed.faults.append(f"{path.name}: there is no such test: {line}")
        else:
            listed.tests.append(entry)
    named = Counter(entry.test for entry in listed.tests)
    listed.faults.extend(f"{path.name}: listed twice: {test}" for test in named if named[test] > 1)
    return listed


def _entry(line: str) -> KnownRed | None:
    """Return the entry of one line, or None if it does not have exactly four parts or names no issue."""
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != PARTS or not all(parts):
        return None
    entry = KnownRed(*parts)
    return entry if ISSUE.fullmatch(entry.issue) else None
