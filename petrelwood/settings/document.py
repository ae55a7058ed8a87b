"""Settings files with their includes and templates, and the rendering of nodes as text."""

import json
from collections.abc import Iterable, Mapping
from pathlib import Path

from petrelwood.settings.decoders import TEXT
from petrelwood.settings.errors import SettingsError, suggestion
from petrelwood.settings.kdl import MAX_DEPTH, Value, parse, read_unchanging
from petrelwood.settings.kdl_scan import WORD, Position
from petrelwood.settings.node import Collector, Node, ReadValue, node_from_kdl

INDENT = "    "


class File(Node):
    """The root node of a settings file, which contains the nodes of the file and of all included files.

    `include "routes.kdl"` or `include "routes/"` (all *.kdl files of a folder, sorted by name) at the top
    level is replaced by the content of the included files. `template "NAME" { ... }` at the top level defines
    the children and properties that `use "NAME"` adds to a block; those that the block has itself take
    precedence.

    Attributes:
        files: The text of each file that was read, by path.
    """

    def __init__(
        self,
        path: str | Path,
        text: str | None = None,
        errors: list[SettingsError] | None = None,
        values: list[ReadValue] | None = None,
    ) -> None:
        path = Path(path)
        super().__init__("file", str(path), Position(1, 1), "", Collector(errors, values))
        self.files: dict[str, str] = {}
        self.children = self._read_nodes(path, text, (), None)
        templates = self._take_templates()
        for node in self.children:
            _apply_templates(node, templates, ())

    def _take_templates(self) -> dict[str, Node]:
        """Remove the templates from the children and return them by name, the first of any duplicates."""
        templates: dict[str, Node] = {}
        for node in self.every("template"):
            name = node.arg(TEXT, "a name")
            if name in templates:
                first = templates[name].location(node)
                node.report(f"template '{name}' is given twice; first {first}")
            templates.setdefault(name, node)
        self.children = [node for node in self.children if node.name != "template"]
        self._known_children.discard("template")
        return templates

    def _read_nodes(
        self, path: Path, given_text: str | None, chain: tuple[Path, ...], include: Node | None
    ) -> list[Node]:
        """Return the nodes of a file, with each include replaced by the nodes of the included files.

        Args:
            path: The file.
            given_text: The text to parse; None: the text is read from the file.
            chain: The chain of including files, from the root file down to the direct includer of this file.
            include: The `include` node that names this file; None for the root file.
        """
        own_path = path if given_text is not None else path.resolve()
        if include is not None and not _may_include(include, path, own_path, chain):
            return []
        try:
            text = read_unchanging(path) if given_text is None else given_text
            parsed = parse(path, text)
        except SettingsError as error:
            if include is not None and not error.line:
                error = include.error(f"'{path.name}' {error.message}")
            self.report_invalid_value(error)
            self.partial = True
            return []
        self.files[str(path)] = text
        positions = iter(parsed.positions)
        nodes: list[Node] = []
        for node in [node_from_kdl(raw, str(path), positions, "", self.collector) for raw in parsed.nodes]:
            if node.name != "include":
                nodes.append(node)
                continue
            for included in _included_paths(node, path.parent):
                nodes += self._read_nodes(included, None, (*chain, own_path), node)
        return nodes


def _may_include(include: Node, path: Path, own_path: Path, chain: tuple[Path, ...]) -> bool:
    """Return whether a file may be included by a node, and report the reason if not."""
    if own_path in chain:
        cycle = (*chain[chain.index(own_path) :], own_path)
        include.report(f"'{path.name}' includes itself: " + " -> ".join(each.name for each in cycle))
        return False
    if len(chain) >= MAX_DEPTH:
        include.report(f"includes go deeper than {MAX_DEPTH}")
        return False
    return True


def _included_paths(include: Node, folder: Path) -> list[Path]:
    """Return the file that an `include` node names, or the files in the folder that it names."""
    name = include.arg(TEXT, "a file or a folder")
    include.reject_unknown(1)
    if not name:
        return []
    target = folder / name
    if not target.is_dir():
        return [target]
    paths = sorted(path for path in target.glob("*.kdl") if not path.name.startswith("."))
    if not paths:
        include.report(f"the folder '{name}' has no .kdl file")
    return paths


def _apply_templates(node: Node, templates: Mapping[str, Node], chain: tuple[str, ...]) -> None:
    """Add the content of the used templates to a node and its children.

    Children and properties that the node has itself take precedence. `chain` has the templates that use each
    other, from the outermost down to this node.
    """
    for use in [child for child in node.children if child.name == "use"]:
        name = use.arg(TEXT, "a template")
        use.reject_unknown(1)
        node.children.remove(use)
        if name not in templates:
            use.report(f"there is no template '{name}'{suggestion(name, sorted(templates))}")
            node.partial = True
        elif name in chain:
            cycle = (*chain[chain.index(name) :], name)
            use.report(f"template '{name}' uses itself: {' -> '.join(cycle)}")
            node.partial = True
        else:
            template = templates[name]
            _apply_templates(template, templates, (*chain, name))
            node.partial = node.partial or template.partial
            own_names = {child.name for child in node.children}
            node.children += [child for child in template.children if child.name not in own_names]
            node.props = {**template.props, **node.props}
    for child in node.children:
        _apply_templates(child, templates, chain)


def render(nodes: Iterable[Node], depth: int = 0) -> str:
    """Return nodes as KDL 2 text without comments; `depth` is the number of enclosing blocks."""
    rows = []
    for node in nodes:
        parts = [node.name if WORD.fullmatch(node.name) else _render_value(node.name)]
        parts += [_render_value(arg) for arg in node.args]
        parts += [f"{name}={_render_value(value)}" for name, value in node.props.items()]
        row = INDENT * depth + " ".join(parts)
        if node.children:
            row += f" {{\n{render(node.children, depth + 1)}{INDENT * depth}}}"
        rows.append(row + "\n")
    return "".join(rows)


def _render_value(value: Value) -> str:
    if value is None:
        return "#null"
    if isinstance(value, bool):
        return f"#{value}".lower()
    return json.dumps(value, ensure_ascii=False)
