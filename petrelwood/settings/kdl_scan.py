"""Finds the positions of the nodes in a KDL 2 text, and the block depth of each line.

The parser, ckdl, reports neither the position of a node nor that of an error. This scanner recognizes only
what the positions require: strings, comments, blocks and the ends of nodes.
"""

import re
from typing import NamedTuple

WORD = re.compile(r'[^\s{}()\[\]"#;=\\/]+')
RAW_STRING = re.compile(r'(#+)"')
COMMENT_STARTS = ("//", "/*")


class Position(NamedTuple):
    """The position of a node's beginning, counted from 1."""

    line: int
    column: int


class Scan(NamedTuple):
    """The result of scanning a text."""

    positions: list[Position]  # of the nodes in text order, without those commented out by `/-`
    depths: list[int]  # number of blocks that are open at the end of each line


def _end_after(text: str, ending: str, start: int) -> int:
    """Return the index after the next `ending`, or the length of the text if there is none."""
    index = text.find(ending, start)
    return len(text) if index < 0 else index + len(ending)


def _end_of_raw_string(text: str, start: int, hashes: str) -> int:
    opening = start + len(hashes)
    if text.startswith('"""', opening):
        return _end_after(text, '"""' + hashes, opening + 3)
    return _end_after(text, '"' + hashes, opening + 1)


def _end_of_string(text: str, start: int) -> int:
    """Return the index after a quoted string; it exceeds the text length if the string is not closed."""
    index = start + 1
    while index < len(text) and text[index] != '"':
        index += 2 if text[index] == "\\" else 1
    return index + 1


def _end_of_block_comment(text: str, start: int) -> int:
    depth = 1
    index = start + 2
    while index < len(text) and depth:
        if text.startswith("/*", index):
            depth += 1
            index += 2
        elif text.startswith("*/", index):
            depth -= 1
            index += 2
        else:
            index += 1
    return index


def end_of_literal(text: str, start: int) -> int:
    """Return the index after the string or comment that begins at `start`, or `start` if none begins there.

    The index exceeds the text length if a quoted string is not closed.
    """
    raw = RAW_STRING.match(text, start)
    if raw:
        return _end_of_raw_string(text, start, raw[1])
    if text.startswith('"""', start):
        return _end_after(text, '"""', start + 3)
    if text[start] == '"':
        return _end_of_string(text, start)
    if text.startswith("//", start):
        end = text.find("\n", start)
        return len(text) if end < 0 else end
    if text.startswith("/*", start):
        return _end_of_block_comment(text, start)
    return start


class _Scanner:
    """A single pass over a text."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._index = 0
        self._line = 1
        self._line_start = 0  # index
        self._at_node_start = True
        self._omits_next = False  # the next node or block is commented out by `/-`
        self._omitted_blocks: list[bool] = []  # for each open block: whether its nodes are commented out
        self._depth = 0
        self._positions: list[Position] = []
        self._depths: list[int] = []

    def run(self) -> Scan:
        """Scan the text and return the result; to be called once."""
        while self._index < len(self._text):
            self._step()
        self._depths.append(self._depth)
        return Scan(self._positions, self._depths)

    def _advance_to(self, end: int) -> None:
        end = min(end, len(self._text))
        for index in range(self._index, end):
            if self._text[index] == "\n":
                self._depths.append(self._depth)
                self._line += 1
                self._line_start = index + 1
        self._index = end

    def _step(self) -> None:
        text = self._text
        index = self._index
        character = text[index]
        if text.startswith("/-", index):
            self._omits_next = self._at_node_start
            self._advance_to(index + 2)
        elif character == "\\":  # line continuation
            self._advance_to(_end_after(text, "\n", index))
        elif character in "\n;":
            self._advance_to(index + 1)
            if not self._at_node_start:  # the end of the node ends the effect of `/-`
                self._omits_next = False
            self._at_node_start = True
        elif character == "{":
            self._open_block()
        elif character == "}":
            self._close_block()
        elif character in " \t\r":
            self._advance_to(index + 1)
        elif text.startswith(COMMENT_STARTS, index):
            self._advance_to(end_of_literal(text, index))
        else:
            self._read_word()

    def _open_block(self) -> None:
        is_inside_omitted = bool(self._omitted_blocks) and self._omitted_blocks[-1]
        self._omitted_blocks.append(self._omits_next or is_inside_omitted)
        self._omits_next = False
        self._at_node_start = True
        self._depth += 1
        self._advance_to(self._index + 1)

    def _close_block(self) -> None:
        self._depth -= 1
        self._at_node_start = False
        if self._omitted_blocks:
            self._omitted_blocks.pop()
        self._advance_to(self._index + 1)
        self._omits_next = False

    def _read_word(self) -> None:
        """Skip a name, a value or another single character; record the position if a node begins here."""
        index = self._index
        if self._at_node_start:
            self._note_node()
            if self._text[index] == "(":  # a type annotation before the node's name
                self._advance_to(_end_after(self._text, ")", index))
                return
        end = end_of_literal(self._text, index) if self._text[index] in '"#/' else index
        if end == index:
            word = WORD.match(self._text, index)
            end = word.end() if word else index + 1
        self._advance_to(end)

    def _note_node(self) -> None:
        self._at_node_start = False
        is_inside_omitted = bool(self._omitted_blocks) and self._omitted_blocks[-1]
        if not self._omits_next and not is_inside_omitted:
            self._positions.append(Position(self._line, self._index - self._line_start + 1))


def scan(text: str) -> Scan:
    """Return the positions of the nodes in a text and the block depth of each line."""
    return _Scanner(text).run()
