"""The reference page of a gateway's file, generated from the schema and the descriptions."""

from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import NamedTuple

from petrelwood.settings.descriptions import DESCRIPTIONS
from petrelwood.settings.schema import Block, Item, schema

HEAD = (
    "# Reference of a gateway's file",
    "",
    "Made by `petrelwood config reference`: the names, kinds and defaults are those that the decoding "
    "asks for, the sentences stand in",
    "`petrelwood/settings/descriptions.py`. What has no default must be given. `include`, `template` and "
    "`use`: see [configuration](configuration.md).",
    "",
)
TABLE_HEAD = ("| what | takes | default | meaning |", "| --- | --- | --- | --- |")


class _Row(NamedTuple):
    name: str
    item: Item
    description: str


def _occurrence(block: Block) -> str:
    if block.is_repeated:
        return "any number of times"
    return "once" if block.is_required else "may be left out"


def _first_line(block: Block) -> str:
    """Return the name of a block followed by the names of its arguments."""
    arguments = [f"<{argument.name}>" for _, argument in sorted(block.args.items())]
    return " ".join([block.name, *arguments])


def _rows_of(block: Block, descriptions: Mapping[str, str]) -> list[_Row]:
    rows = [_Row(f"<{argument.name}>", argument.item, "") for _, argument in sorted(block.args.items())]
    for name, item in block.props.items():
        rows.append(_Row(f"{name}=", item, descriptions[f"{block.path} {name}="]))
    for child in block.blocks.values():
        if child.value is not None:
            rows.append(_Row(child.name, child.value, descriptions[child.path]))
    return rows


def _table(rows: Iterable[_Row]) -> list[str]:
    lines = list(TABLE_HEAD)
    for row in rows:
        default = row.item.format_default()
        shown = f"`{default}`" if default else ""
        lines.append(f"| `{row.name}` | {row.item.takes} | {shown} | {row.description} |")
    return [*lines, ""]


def page(descriptions: Mapping[str, str] = DESCRIPTIONS) -> str:
    """Return the reference page.

    Args:
        descriptions: A sentence for each path of the schema.

    Raises:
        KeyError: A path has no description.
    """
    root = schema()
    lines = list(HEAD)
    for block in root.walk():
        if not block.path or block.value is not None:
            continue
        lines += [f"## `{block.path}`", ""]
        lines += [f"`{_first_line(block)}`, {_occurrence(block)}. {descriptions[block.path]}", ""]
        rows = _rows_of(block, descriptions)
        if rows:
            lines += _table(rows)
    top_rows = _rows_of(root, descriptions)
    if top_rows:
        lines += ["## At the top", "", *_table(top_rows)]
    return "\n".join(lines)


def write(path: str | Path) -> bool:
    """Write the reference page, and return whether the file has changed."""
    path = Path(path)
    text = page()
    if path.exists() and path.read_text() == text:
        return False
    path.write_text(text)
    return True
