"""Reads KDL 2 text: a file's text, its nodes with their positions, and the line of a syntax error."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple, Protocol

import ckdl

from petrelwood.settings.errors import SettingsError
from petrelwood.settings.kdl_scan import Position, Scan, scan

KDL_VERSION = 2
MAX_DEPTH = 64  # blocks within blocks, includes within includes: guards the stack against hostile files
MAX_FILE_SIZE = 1 << 24  # bytes
READ_ATTEMPTS = 5  # of a file that changes while it is read
NOT_KDL = "this is not KDL"

Value = str | int | float | bool | None


class KdlNode(Protocol):
    """A node as ckdl has it."""

    name: str
    type_annotation: str | None
    args: Sequence[Value]
    properties: Mapping[str, Value]
    children: Sequence["KdlNode"]


class ParsedText(NamedTuple):
    """The nodes of a text, and the position of each node, a parent before its children."""

    nodes: Sequence[KdlNode]
    positions: list[Position]


def read_unchanging(path: Path) -> str:
    """Return the text of a file that did not change while it was read.

    Raises:
        SettingsError: It can't be read, is too large, is not UTF-8, or changes each time.
    """
    try:
        for _ in range(READ_ATTEMPTS):
            before = path.stat()
            if before.st_size > MAX_FILE_SIZE:
                raise SettingsError(path, 0, f"is larger than {MAX_FILE_SIZE} bytes")
            data = path.read_bytes()
            after = path.stat()
            identity_before = (before.st_ino, before.st_mtime_ns, before.st_size)
            if identity_before == (after.st_ino, after.st_mtime_ns, len(data)):
                return data.decode("utf-8")
    except OSError as error:
        raise SettingsError(path, 0, f"can't be read: {error.strerror}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(path, 0, f"is not UTF-8: byte {error.start}") from error
    raise SettingsError(path, 0, "changes while it is read")


def parse(path: str | Path, text: str) -> ParsedText:
    """Return the nodes of a text; `path` is named in errors.

    Raises:
        SettingsError: The text is not KDL, or its blocks go too deep.
    """
    scanned = scan(text)
    if max(scanned.depths) > MAX_DEPTH:
        line = next(line for line, depth in enumerate(scanned.depths, 1) if depth > MAX_DEPTH)
        raise SettingsError(path, line, f"blocks go deeper than {MAX_DEPTH}")
    try:
        return ParsedText(ckdl.parse(text, version=KDL_VERSION).nodes, scanned.positions)
    except ckdl.ParseError as error:
        line, message = _locate_syntax_error(text, scanned)
        raise SettingsError(path, line, message) from error


def _is_kdl(text: str) -> bool:
    try:
        ckdl.parse(text, version=KDL_VERSION)
    except ckdl.ParseError:
        return False
    return True


def _locate_syntax_error(text: str, scanned: Scan) -> tuple[int, str]:
    """Return the line of the error in a text that is not KDL, and what is wrong there.

    That is the first line from which on no beginning of the text can be read, with its open blocks closed.
    """
    rows = text.split("\n")
    depths = scanned.depths

    def first_lines_are_kdl(count: int) -> bool:
        """Return whether so many lines can be read, if the blocks that are open after them are closed."""
        return _is_kdl("\n".join(rows[:count]) + "\n" + "}" * max(0, depths[count - 1]))

    if depths[-1] > 0:
        depths_before = [0, *depths[:-1]]
        pairs = zip(depths_before, depths, strict=True)
        opening_lines = [line for line, (before, depth) in enumerate(pairs, 1) if depth > before]
        if opening_lines and first_lines_are_kdl(len(rows)):
            return opening_lines[-1], "a block is opened and never closed"
    for line, row in enumerate(rows, 1):
        if not first_lines_are_kdl(line):
            later_line = line
            while later_line < len(rows) and not first_lines_are_kdl(later_line):
                later_line += 1
            if later_line == len(rows):
                return line, f"{NOT_KDL}: {row.strip()}" if row.strip() else NOT_KDL
    return len(rows), NOT_KDL
