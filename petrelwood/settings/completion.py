"""Completion for editors: the words that are valid at a position in a gateway's settings file."""

from os import PathLike
from pathlib import Path
from typing import NamedTuple

from petrelwood.settings.document import File
from petrelwood.settings.errors import SettingsError
from petrelwood.settings.kdl_scan import COMMENT_STARTS, WORD, end_of_literal
from petrelwood.settings.schema import Block, schema

WORD_LIMITS = " \t\n;{"  # characters before the beginning of an incomplete word


class Completion(NamedTuple):
    """A suggested word."""

    word: str
    takes: str  # the kind of value that it takes; empty for a value itself


class _Cursor(NamedTuple):
    """The syntactic context at the end of a text."""

    blocks: list[str | None]  # names of the open blocks, outermost first
    node: str | None  # name of the incomplete node; None at the start of a node


def _cursor(text: str) -> _Cursor | None:
    """Return the context at the end of a text, or None if the end is inside a string or a comment."""
    blocks: list[str | None] = []
    node: str | None = None
    at_node_start = True
    index = 0
    while index < len(text):
        character = text[index]
        end = end_of_literal(text, index) if character in '"#/' else index
        is_comment = text.startswith(COMMENT_STARTS, index)
        if end > len(text) or (end == len(text) and is_comment):
            return None
        word = WORD.match(text, index)
        if end > index:
            at_node_start = at_node_start and is_comment
        elif character in "\n;":
            node = None
            at_node_start = True
        elif character == "{":
            blocks.append(node)
            node = None
            at_node_start = True
        elif character == "}":
            node = blocks.pop() if blocks else None
            at_node_start = False
        elif word is not None and at_node_start:
            node = word[0]
            at_node_start = False
        index = max(end, word.end() if word else index + 1)
    return _Cursor(blocks, node)


def _labels(file: str | PathLike[str] | None, kind: str) -> list[str]:
    """Return the labels of the blocks of a kind in a file, for values that refer to them."""
    if not file:
        return []
    try:
        nodes = File(Path(file), errors=[]).every(kind)
    except SettingsError:
        return []
    return sorted({str(node.args[0]) for node in nodes if node.args})


def _block_names(block: Block, *, is_top: bool) -> list[Completion]:
    """Return the nodes that are allowed in a block."""
    found = [
        Completion(name, "block" if child.value is None else child.value.takes)
        for name, child in block.blocks.items()
    ]
    if is_top:
        return [*found, Completion("include", "a file or a folder"), Completion("template", "a name")]
    return [*found, Completion("use", "a template")]


def _property_values(block: Block, name: str, file: str | PathLike[str] | None) -> list[Completion]:
    item = block.props.get(name)
    words = item.quoted_words() if item is not None else []
    if name == "type" and file:
        words = [f'"{label}"' for label in _labels(file, "namespace-type")]
    return [Completion(f"{name}={word}", "") for word in words]


def _properties_and_value(block: Block, line: str) -> list[Completion]:
    """Return the properties and values that a node can still take; `line` is the last line of its text."""
    found = [
        Completion(f"{name}=", item.takes) for name, item in block.props.items() if f" {name}=" not in line
    ]
    if block.value is not None:
        found += [Completion(word, "") for word in block.value.quoted_words()]
    return found


def _enclosing_block(names: list[str | None]) -> Block | None:
    block: Block | None = schema()
    for name in names:
        if block is None or name is None:
            return None
        block = block.blocks.get(name)
    return block


def completions(
    text: str, line: int, column: int, file: str | PathLike[str] | None = None
) -> list[Completion]:
    """Return the words that are valid at a position in a text, which may be incomplete.

    Args:
        text: The text that is being edited.
        line: The line of the position, counted from 1.
        column: The column of the position, counted from 1.
        file: The file from which the labels that values refer to are read.
    """
    rows = text.split("\n")
    if not 0 < line <= len(rows):
        return []
    before = "\n".join([*rows[: line - 1], rows[line - 1][: column - 1]])
    word_start = max(before.rfind(limit) for limit in WORD_LIMITS) + 1
    prefix = before[word_start:]
    cursor = _cursor(before[:word_start])
    enclosing = _enclosing_block(cursor.blocks) if cursor is not None else None
    if cursor is None or enclosing is None:
        return []
    if cursor.node is None:
        found = _block_names(enclosing, is_top=not cursor.blocks)
    elif cursor.node == "use":
        found = [Completion(f'"{label}"', "template") for label in _labels(file, "template")]
    else:
        block = enclosing.blocks.get(cursor.node)
        if block is None:
            return []
        if "=" in prefix:
            found = _property_values(block, prefix.partition("=")[0], file)
        else:
            found = _properties_and_value(block, before[:word_start].split("\n")[-1])
    return [each for each in found if each.word.startswith(prefix)]
