"""Reading and parsing of KDL 2 files: their nodes with positions, and the line of a syntax error."""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple, Protocol

import ckdl

from petrelwood.settings.errors import SettingsError
from petrelwood.settings.kdl_scan import Position, Scan, scan

KDL_VERSION = 2
MAX_DEPTH = 64  # of nested blocks, and of nested includes; keeps hostile files from overflowing the stack
MAX_FILE_SIZE = 1 << 24  # bytes
READ_ATTEMPTS = 5  # if the file changes while it is read
NOT_KDL = "this is not KDL"

Value = str | int | float | bool | None


class KdlNode(Protocol):
    """A node as returned by ckdl."""

    name: str
    type_annotation: str | None
    args: Sequence[Value]
    properties: Mapping[str, Value]
    children: Sequence["KdlNode"]


class ParsedText(NamedTuple):
    """The nodes of a text, and the position of each node, with parents before their children."""

    nodes: Sequence[KdlNode]
    positions: list[Position]


def read_unchanging(path: Path) -> str:
    """Return the text of a file, which is read again if it changes while it is read.

    Raises:
        SettingsError: The file can't be read, is too large, is not UTF-8, or changed during each attempt.
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
    """Return the nodes of a text; `path` appears in error messages.

    Raises:
        SettingsError: The text is not valid KDL, or its blocks are nested too deeply.
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
    """Return the line of the error in a text that is not KDL, and an error message.

    The error is in the first line from which on no prefix of the text can be parsed, even if the blocks that
    are open at the end of the prefix are closed.
    """
    rows = text.split("\n")
    depths = scanned.depths

    def first_lines_are_kdl(count: int) -> bool:
        """Return whether the first `count` lines can be parsed after their open blocks are closed."""
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
