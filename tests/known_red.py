"""Reads KNOWN-RED.txt, the short list of tests that may fail for a known fault until it is mended.

One line each, at most MOST of them: `test id: cause, issue`. The file is there only while such a test is.
"""

from collections.abc import Collection
from dataclasses import dataclass, field
from pathlib import Path

FILE = "KNOWN-RED.txt"
MOST = 3  # lines; a longer list is no exception any more


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that may fail."""

    test: str  # the id that unittest gives, as test_node.Case.test_this
    cause: str
    issue: str

    def __str__(self) -> str:
        """Return the line that lists it."""
        return f"{self.test}: {self.cause}, {self.issue}"


@dataclass(slots=True)
class Listed:
    """What the file lists, and what is wrong with it."""

    tests: list[KnownRed] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


def read(path: Path, tests: Collection[str]) -> Listed:
    """Return what the file lists, nothing if there is none; `tests` are the ids of all tests there are."""
    listed = Listed()
    if not path.exists():
        return listed
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MOST:
        listed.faults.append(f"{path.name} has {len(lines)} lines, {MOST} at most are allowed")
    for line in lines:
        entry = _entry(line)
        if entry is None:
            listed.faults.append(f"{path.name}: not of the form `test id: cause, issue`: {line}")
        elif entry.test not in tests:
            listed.faults.append(f"{path.name}: there is no such test: {line}")
        else:
            listed.tests.append(entry)
    return listed


def _entry(line: str) -> KnownRed | None:
    """Return what one line lists, or None if a part is missing; a cause may have commas in it."""
    test, _, rest = line.partition(": ")
    cause, _, issue = rest.rpartition(",")
    parts = [part.strip() for part in (test, cause, issue)]
    return KnownRed(*parts) if all(parts) else None
