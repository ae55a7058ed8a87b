"""The canonical layout of a KDL file.

Blocks are indented by four spaces, words are separated by one space, and there is at most one empty line in
a row. Comments, strings and the order of nodes are kept. Formatting is idempotent. Each result is checked to
have the same meaning as the original text.
"""

import re
from collections.abc import Iterator, Sequence
from enum import Enum, auto
from typing import NamedTuple

from petrelwood.settings.errors import SettingsError
from petrelwood.settings.kdl import KdlNode, parse
from petrelwood.settings.kdl_scan import end_of_literal

INDENT = "    "
SPACES = " \t\r\ufeff"
WORD_ENDS = ' \t\r\n{};"\\'
CONTINUATION = re.compile(r"\\[ \t\r]*(//[^\n]*)?\n?")
SPACE = re.compile(rf"[{SPACES}]+")
RAW_STRING_START = re.compile(r'#+"')
NAME_IN_ERRORS = "text"


class _Kind(Enum):
    STRING = auto()
    LINE_COMMENT = auto()
    BLOCK_COMMENT = auto()
    LINE_END = auto()
    SPACE = auto()
    BLOCK_START = auto()
    BLOCK_END = auto()
    NODE_END = auto()  # a semicolon
    CONTINUATION = auto()  # a backslash that continues the line in the next one
    WORD = auto()


_KIND_OF_CHARACTER = {
    "\n": _Kind.LINE_END,
    "{": _Kind.BLOCK_START,
    "}": _Kind.BLOCK_END,
    ";": _Kind.NODE_END,
}


class _Token(NamedTuple):
    kind: _Kind
    text: str
    end: int  # index after the token


def _literal(text: str, start: int, end: int) -> _Token:
    if text.startswith("//", start):
        return _Token(_Kind.LINE_COMMENT, text[start:end].rstrip(), end)
    if text.startswith("/*", start):
        return _Token(_Kind.BLOCK_COMMENT, text[start:end], end)
    return _Token(_Kind.STRING, text[start:end], end)


def _end_of_word(text: str, start: int) -> int:
    index = start + 1
    while index < len(text):
        ends = text[index] in WORD_ENDS or text.startswith(("//", "/*"), index)
        if ends or RAW_STRING_START.match(text, index):
            break
        index += 1
    return index


def _token_at(text: str, start: int) -> _Token:
    end = end_of_literal(text, start)
    if end > start:
        return _literal(text, start, end)
    character = text[start]
    if character in _KIND_OF_CHARACTER:
        return _Token(_KIND_OF_CHARACTER[character], character, start + 1)
    spaces = SPACE.match(text, start)
    if spaces:
        return _Token(_Kind.SPACE, " ", spaces.end())
    continuation = CONTINUATION.match(text, start)
    if continuation:
        comment = f" {continuation[1].rstrip()}" if continuation[1] else ""
        return _Token(_Kind.CONTINUATION, "\\" + comment, continuation.end())
    end = _end_of_word(text, start)
    return _Token(_Kind.WORD, text[start:end], end)


def _tokens(text: str) -> Iterator[_Token]:
    index = 0
    while index < len(text):
        token = _token_at(text, index)
        yield token
        index = token.end


class _Layout:
    """Builds the formatted lines of a text from its tokens."""

    def __init__(self) -> None:
        self._lines: list[str] = []
        self._line = ""  # the current line
        self._depth = 0  # number of open blocks
        self._empty_lines = 0  # before the current line
        self._has_space = False  # a space follows the last token
        self._is_continued = False  # the current line continues the previous one

    def text(self) -> str:
        """Return the formatted text."""
        self._end_line()
        return "\n".join(self._lines) + "\n" if self._lines else ""

    def add(self, token: _Token) -> None:
        """Add the next token."""
        match token.kind:
            case _Kind.LINE_END:
                self._add_line_end()
            case _Kind.SPACE:
                self._has_space = bool(self._line)
            case _Kind.BLOCK_START:
                self._start_block()
            case _Kind.BLOCK_END:
                self._end_block()
            case _Kind.NODE_END:
                self._end_line()
                self._has_space = False
            case _Kind.CONTINUATION:
                self._line += " " + token.text
                self._has_space = False
                self._is_continued = True
                self._end_line()
            case _:
                self._add_text(token)

    def _end_line(self) -> None:
        if not self._line:
            return
        if self._empty_lines and self._lines and not self._lines[-1].endswith("{"):
            self._lines.append("")
        self._lines.append(self._line)
        self._line = ""
        self._empty_lines = 0

    def _add_line_end(self) -> None:
        if self._line:
            self._end_line()
        else:
            self._empty_lines += 1
        self._has_space = False

    def _start_block(self) -> None:
        self._line = f"{self._line} {{" if self._line.strip() else INDENT * self._depth + "{"
        self._end_line()
        self._depth += 1
        self._has_space = False

    def _end_block(self) -> None:
        self._end_line()
        self._empty_lines = 0
        self._depth = max(0, self._depth - 1)
        self._line = INDENT * self._depth + "}"
        self._has_space = False

    def _add_text(self, token: _Token) -> None:
        """Add a word, a string or a comment."""
        is_comment = token.kind in (_Kind.LINE_COMMENT, _Kind.BLOCK_COMMENT)
        if self._lines and self._line.endswith("}") and not is_comment:
            self._end_line()
        if not self._line:
            self._line = INDENT * (self._depth + self._is_continued) + token.text
            self._is_continued = False
        elif token.kind is _Kind.LINE_COMMENT:
            self._line += INDENT + token.text
        elif is_comment:
            self._line += " " + token.text
        else:
            self._line += (" " if self._has_space else "") + token.text
        self._has_space = False


def format_text(text: str) -> str:
    """Return a text in the canonical layout.

    Raises:
        SettingsError: The text is not valid KDL, or formatting would change its meaning.
    """
    nodes = parse(NAME_IN_ERRORS, text).nodes
    layout = _Layout()
    for token in _tokens(text):
        layout.add(token)
    formatted = layout.text()
    if _meaning(parse(NAME_IN_ERRORS, formatted).nodes) != _meaning(nodes):
        raise SettingsError(NAME_IN_ERRORS, 0, "it can't be laid out without changing what it means")
    return formatted


class _Meaning(NamedTuple):
    """The meaning of a node, in a form that can be compared."""

    name: str
    type_annotation: str | None
    args: list[str]
    properties: list[tuple[str, str]]
    children: "list[_Meaning]"


def _meaning(nodes: Sequence[KdlNode]) -> list[_Meaning]:
    return [
        _Meaning(
            name=node.name,
            type_annotation=node.type_annotation,
            args=[repr(arg) for arg in node.args],
            properties=sorted((name, repr(value)) for name, value in node.properties.items()),
            children=_meaning(node.children),
        )
        for node in nodes
    ]
