"""The schema of a gateway's file, learned from the code that decodes it: a file that has whatever it is asked
for notes what that was.

So there is one description, the decoding; the reference page and completion are read off it and can't say
anything else."""

import pathlib

from petrelwood.settings import decoders, document, gateway, kdl_scan
from petrelwood.settings.errors import SettingsError
from petrelwood.settings.node import REQUIRED, UNKNOWN_POSITION, Collector, Node


class Item:
    """A property or a value: what it takes, its default, and the words it may be."""

    def __init__(self, kind, default):
        self.kind, self.default = kind, default
        self.words = kind.words

    def takes(self):
        return self.kind.description

    def shown(self):
        """Its default, as a file would have it; None where it must be given."""
        value = self.default
        if value is REQUIRED:
            return None
        if value is None or value == "" and not self.words:
            return "none"
        if self.kind is decoders.DURATION:
            return (
                '"0s"'
                if not value
                else next(
                    f'"{value // size}{unit}"'
                    for unit, size in reversed(decoders.DURATION_UNITS.items())
                    if value % size == 0
                )
            )
        if self.kind is decoders.SIZE:
            return (
                '"0s"'
                if not value
                else next(
                    f'"{value // size}{unit}"'
                    for unit, size in reversed(list(decoders.SIZE_UNITS.items())[:4])
                    if value % size == 0
                )
            )
        return (
            f"#{value}".lower()
            if self.kind is decoders.FLAG
            else f'"{value}"'
            if isinstance(value, str)
            else f"{value:g}"
        )


class Block:
    """A node that may stand in another: its values by place, its properties and what may stand in it, by
    name."""

    def __init__(self, name, parent=None):
        self.name, self.args, self.props, self.blocks, self.many = name, {}, {}, {}, False
        # the Item of a node that has one value and nothing else
        self.value, self.required = None, False
        self.path = (
            f"{parent.path} > {name}"
            if parent is not None and parent.path
            else name
            if parent is not None
            else ""
        )

    def walk(self):
        yield self
        for block in self.blocks.values():
            yield from block.walk()


class Probe(Node):
    """Has every child and no property but the defaults; notes what it is asked for in its `Block`."""

    def __init__(self, block):
        super().__init__(block.name, "", UNKNOWN_POSITION, block.path, Collector([]), ("",))
        self.block = block

    def _block(self, name):
        return self.block.blocks.setdefault(name, Block(name, self.block))

    def arg(self, kind, what, default=REQUIRED, at=0):
        self.block.args[at] = (what, Item(kind, default))
        return kind.sample if default is REQUIRED else default

    def prop(self, name, kind, default=REQUIRED):
        self.block.props[name] = Item(kind, default)
        return kind.sample if default is REQUIRED else default

    def child(self, name):
        found = self._block(name)
        found.required = True
        return Probe(found)

    def optional_child(self, name):
        found = self._block(name)
        found.required = False
        return Probe(found)

    def every(self, name):
        found = self._block(name)
        found.many = True
        return [Probe(found)]

    def value(self, name, kind, default=REQUIRED):
        found = self._block(name)
        found.value, found.required = Item(kind, default), default is REQUIRED
        return kind.sample if default is REQUIRED else default

    def report(self, message):
        """What samples make no sense of is nobody's fault."""

    def reject_unknown(self, args=0):
        pass


def schema():
    """The `Block` of a whole gateway's file."""
    root = Block("")
    gateway.decode(Probe(root))
    return root


def _line(block):
    """How a block begins, with its values and properties."""
    parts = [block.name, *(f"<{what}>" for _, (what, _) in sorted(block.args.items()))]
    return " ".join(parts)


def page(meanings):
    """The reference page. `meanings`: path -> one sentence; a path without one raises `KeyError`."""
    rows = [
        "# Reference of a gateway's file",
        "",
        "Made by `petrelwood config reference`: the names, kinds and defaults are those that the decoding "
        "asks for, the sentences stand in",
        "`petrelwood/settings/meanings.py`. What has no default must be given. `include`, `template` and "
        "`use`: see [configuration](configuration.md).",
        "",
    ]
    for block in schema().walk():
        if not block.path or block.value is not None:
            continue
        often = "any number of times" if block.many else "once" if block.required else "may be left out"
        rows += [f"## `{block.path}`", "", f"`{_line(block)}`, {often}. {meanings[block.path]}", ""]
        table = [(f"<{what}>", item, "") for _, (what, item) in sorted(block.args.items())]
        table += [(f"{name}=", item, meanings[f"{block.path} {name}="]) for name, item in block.props.items()]
        table += [
            (child.name, child.value, meanings[child.path])
            for child in block.blocks.values()
            if child.value is not None
        ]
        if table:
            rows += ["| what | takes | default | meaning |", "| --- | --- | --- | --- |"]
            for name, item, meaning in table:
                default = item.shown()
                rows.append(
                    f"| `{name}` | {item.takes()} | {f'`{default}`' if default else ''} | {meaning} |"
                )
            rows.append("")
    alone = [b for b in schema().blocks.values() if b.value is not None]
    if alone:
        rows += ["## At the top", "", "| what | takes | default | meaning |", "| --- | --- | --- | --- |"]
        rows += [
            f"| `{b.name}` | {b.value.takes()} | `{b.value.shown()}` | {meanings[b.path]} |" for b in alone
        ]
        rows.append("")
    return "\n".join(rows)


def paths():
    """All paths that need a meaning."""
    for block in schema().walk():
        if block.path:
            yield block.path
            yield from (f"{block.path} {name}=" for name in block.props)


def _open_blocks(text):
    """The names of the blocks that are open at the end of a text, and the node that is being written there,
    or None; None in place of the names in a string or a comment."""
    stack, node, at_start, i = [], None, True, 0
    while i < len(text):
        c = text[i]
        j = kdl_scan.end_of_literal(text, i) if c in '"#/' else i
        if j > len(text) or j == len(text) and text.startswith(("//", "/*"), i):
            return None, None  # in a string or a comment
        if j > i:
            i, at_start = j, at_start and text.startswith(("//", "/*"), i)
        elif c in "\n;":
            node, at_start, i = None, True, i + 1
        elif c == "{":
            stack.append(node)
            node, at_start, i = None, True, i + 1
        elif c == "}":
            node, at_start, i = stack.pop() if stack else None, False, i + 1
        elif c.isspace():
            i += 1
        else:
            word = kdl_scan.WORD.match(text, i)
            if at_start and word:
                node, at_start = word[0], False
            i = word.end() if word else i + 1
    return stack, node


def _referred(file, kind):
    """The names that a file gives to blocks of a kind, for values that refer to them."""
    try:
        return sorted({str(n.args[0]) for n in document.File(file, errors=[]).every(kind) if n.args})
    except SettingsError:
        return []


def completions(text, line, column, file=None):
    """What may come at a place of a text (line and column from 1): [(word, what it is)]. `file`: where names
    that are referred to are looked up. Works on a text that is not whole yet."""
    rows = text.split("\n")
    if not 0 < line <= len(rows):
        return []
    before = "\n".join(rows[: line - 1] + [rows[line - 1][: column - 1]])
    begun = before[max(before.rfind(s) for s in " \t\n;{") + 1 :]
    head = before[: len(before) - len(begun)]
    stack, node = _open_blocks(head)
    if stack is None:
        return []
    at = schema()
    for name in stack:
        at = at.blocks.get(name)
        if at is None:
            return []
    found = []
    if node is None:
        found = [(name, "block" if b.value is None else b.value.takes()) for name, b in at.blocks.items()]
        found += (
            [("use", "a template")] if stack else [("include", "a file or a folder"), ("template", "a name")]
        )
    elif node == "use":
        found = [(f'"{name}"', "template") for name in (_referred(file, "template") if file else [])]
    else:
        block = at.blocks.get(node)
        if block is None:
            return []
        if "=" in begun:
            name = begun.partition("=")[0]
            item = block.props.get(name)
            words = [f'"{w}"' if not w.startswith("#") else w for w in item.words] if item else []
            if name == "type" and file:
                words = [f'"{w}"' for w in _referred(file, "namespace-type")]
            found = [(f"{name}={w}", "") for w in words]
        else:
            found = [
                (f"{name}=", item.takes())
                for name, item in block.props.items()
                if f" {name}=" not in head.split("\n")[-1]
            ]
            if block.value is not None:
                found += [(f'"{w}"' if not w.startswith("#") else w, "") for w in block.value.words]
    return [(word, what) for word, what in found if word.startswith(begun)]


def write(path):
    """Writes the reference page; whether it changed."""
    from petrelwood.settings.meanings import MEANINGS

    path, made = pathlib.Path(path), page(MEANINGS)
    if path.exists() and path.read_text() == made:
        return False
    path.write_text(made)
    return True
