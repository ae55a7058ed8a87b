"""KDL 2 text to nodes that know their place.

The parser is ckdl, which tells neither the place of a node nor that of an error. A scan of the text finds
where each node begins, in document order, and the first line whose addition makes the text unreadable."""

import difflib
import json
import pathlib
import re

import ckdl

WORD = re.compile(r'[^\s{}()\[\]"#;=\\/]+')
UNITS = {
    "ns": 1,
    "us": 1_000,
    "ms": 1_000_000,
    "s": 1_000_000_000,
    "m": 60_000_000_000,
    "h": 3_600_000_000_000,
}
SIZES = {
    "B": 1,
    "KB": 1_000,
    "MB": 1_000_000,
    "GB": 1_000_000_000,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
}
REQUIRED = object()


class BadFile(Exception):
    """What is wrong with a file of settings: `str()` is one line, `file:line: what`."""

    def __init__(self, file, line, what, column=0):
        super().__init__(f"{file}:{line}: {what}" if line else f"{file}: {what}")
        self.file, self.line, self.what, self.column = str(file), line, what, column


def meant(word, known):
    """' (did you mean X?)' where one of the known words is near, else the words that would do."""
    near = difflib.get_close_matches(str(word), [str(k) for k in known], 1, 0.6)
    return (
        f"; did you mean '{near[0]}'?"
        if near
        else f"; known here: {', '.join(map(str, known))}"
        if known
        else ""
    )


def _skip(text, i):
    """The index after the string, comment or continuation that begins at i; i itself if none does."""
    raw = re.match(r'(#+)"', text[i:])
    if raw:
        triple = text.startswith('"""', i + len(raw[1]))
        close = ('"""' if triple else '"') + raw[1]
        end = text.find(close, i + len(raw[0]) + (2 if triple else 0))
        return len(text) if end < 0 else end + len(close)
    if text.startswith('"""', i):
        end = text.find('"""', i + 3)
        return len(text) if end < 0 else end + 3
    if text[i] == '"':
        j = i + 1
        while j < len(text) and text[j] != '"':
            j += 2 if text[j] == "\\" else 1
        return j + 1
    if text.startswith("//", i):
        end = text.find("\n", i)
        return len(text) if end < 0 else end
    if text.startswith("/*", i):
        depth, j = 1, i + 2
        while j < len(text) and depth:
            step = 1 if text.startswith("/*", j) else -1 if text.startswith("*/", j) else 0
            depth, j = depth + step, j + (2 if step else 1)
        return j
    return i


def starts(text):
    """(line, column) of each node in document order, and the depth of braces after each line."""
    places, depth, line, begun, i, omit, dropped = [], 0, 1, 0, 0, False, []
    at_start, depths = True, []

    def over(j):
        nonlocal line, begun, i
        j = min(j, len(text))
        for k in range(i, j):
            if text[k] == "\n":
                depths.append(depth)
                line, begun = line + 1, k + 1
        i = j

    while i < len(text):
        c = text[i]
        j = _skip(text, i) if c in '"#/' else i  # nothing else can begin a string or a comment
        if text.startswith("/-", i):
            omit = at_start
            over(i + 2)
        elif c == "\\":
            end = text.find("\n", i)
            over(len(text) if end < 0 else end + 1)
        elif c in "\n;":
            over(i + 1)
            at_start = True
        elif c == "{":
            dropped.append(omit or bool(dropped and dropped[-1]))
            omit, at_start, depth = False, True, depth + 1
            over(i + 1)
        elif c == "}":
            depth, at_start = depth - 1, False
            if dropped:
                dropped.pop()
            over(i + 1)
            omit = False
        elif c in " \t\r":
            over(i + 1)
        elif text.startswith(("//", "/*"), i):
            over(j)
        else:
            if at_start:
                if not omit and not (dropped and dropped[-1]):
                    places.append((line, i - begun + 1))
                at_start = False
                if c == "(":
                    end = text.find(")", i)
                    over(end + 1 if end >= 0 else len(text))
                    continue
            word = WORD.match(text, i)
            over(j if j > i else word.end() if word else i + 1)
    depths.append(depth)
    return places, depths


def _broken_line(text):
    rows, (_, depths) = text.split("\n"), starts(text)
    if depths[-1] > 0:
        opened = [n for n, d in enumerate(depths, 1) if d > (depths[n - 2] if n > 1 else 0)]
        if opened and _reads("\n".join(rows) + "\n" + "}" * depths[-1]):
            return opened[-1], "a block is opened and never closed"
    for n in range(1, len(rows) + 1):
        if not _reads("\n".join(rows[:n]) + "\n" + "}" * max(0, depths[n - 1])):
            last = n
            while last < len(rows) and not _reads(
                "\n".join(rows[:last]) + "\n" + "}" * max(0, depths[last - 1])
            ):
                last += 1
            if last == len(rows):
                return n, "this is not KDL" + (f": {rows[n - 1].strip()}" if rows[n - 1].strip() else "")
    return len(rows), "this is not KDL"


def _reads(text):
    try:
        ckdl.parse(text, version=2)
        return True
    except ckdl.ParseError:
        return False


class Node:
    """A node with its place. Reading marks what was read, so that `done` can name what nobody knows. With
    `problems`, a list, what is wrong is collected there in place of being raised, and a value that makes
    sense of the kind stands in for it."""

    def __init__(self, file, raw, places, path="", problems=None, reads=None):
        self.file, self.name, self.args, self.props = (
            str(file),
            raw.name,
            list(raw.args),
            dict(raw.properties),
        )
        self.line, self.column = next(places, (0, 0))
        label = raw.args and isinstance(raw.args[0], str) and raw.children
        self._begin(path + raw.name + (f' "{raw.args[0]}"' if label else ""), problems, reads)
        self.children = [
            Node(file, child, places, self.path + " > ", problems, reads) for child in raw.children
        ]

    def _begin(self, path, problems, reads):
        self.path, self.problems, self.reads, self.tainted, self.missing = path, problems, reads, False, False
        # (what stands there and may be meant, what is missing then)
        self.maybes = []
        # a part of it could not be found: what it lacks may be there
        self.partial = False
        self.known_props, self.known_children, self.children = set(), set(), []

    def bad(self, what):
        return BadFile(self.file, self.line, what, self.column)

    def wrong(self, what):
        """Tells what is wrong: raises it, or collects it where problems are. What follows from another
        problem is not told."""
        if self.problems is None:
            raise self.bad(what)
        if not self.tainted and not self.missing:
            self.problems.append(self.bad(what))

    def _taint(self, fault):
        if self.problems is None:
            raise fault
        if not self.missing:
            self.problems.append(fault)
        self.tainted = True

    def _missing(self, name, there, fault):
        """Something is not there. Where something like it stands, and `done` finds that nobody knows that,
        one message is enough."""
        near = difflib.get_close_matches(name, there, 1, 0.6)
        if near and self.problems is not None:
            self.tainted = True
            self.maybes.append((near[0], fault))
        else:
            self._taint(fault)

    def _decoded(self, kind, where, value):
        try:
            return kind(self, where, value)
        except BadFile as fault:
            self._taint(fault)
            return getattr(kind, "sample", None)

    def _note(self, key, value, default=False):
        if self.reads is not None:
            self.reads.append(
                (
                    f"{self.path} > {key}" if key else self.path,
                    value,
                    None if default else (self.file, self.line),
                )
            )

    def arg(self, kind, what, default=REQUIRED, at=0):
        """The argument at a place, decoded by `kind`: one of the functions below."""
        if at >= len(self.args):
            if default is REQUIRED:
                self._taint(self.bad(f"'{self.name}' needs {what}"))
                return getattr(kind, "sample", None)
            return default
        return self._decoded(kind, f"'{self.name}'", self.args[at])

    def prop(self, name, kind, default=REQUIRED):
        self.known_props.add(name)
        if name not in self.props:
            if default is REQUIRED:
                self._missing(name, list(self.props), self.bad(f"'{self.name}' needs {name}=..."))
                return getattr(kind, "sample", None)
            self._note(name, default, True)
            return default
        found = self._decoded(kind, f"{name}=", self.props[name])
        self._note(name, self.props[name])
        return found

    def child(self, name, default=REQUIRED):
        found = self.every(name)
        if len(found) > 1:
            found[1].wrong(f"'{name}' is given twice; first {found[0].place(self)}")
        if not found and default is REQUIRED:
            if not self.partial:
                self._missing(
                    name, [c.name for c in self.children], self.bad(f"'{self.name}' needs a '{name}'")
                )
            return MissingNode(self, name)
        return found[0] if found else default

    def place(self, seen_from=None):
        """Where it stands, in words."""
        return (
            f"on line {self.line}"
            if seen_from is not None and seen_from.file == self.file
            else f"in {self.file}:{self.line}"
        )

    def every(self, name):
        self.known_children.add(name)
        return [child for child in self.children if child.name == name]

    def value(self, name, kind, default=REQUIRED):
        """The first argument of the one child of that name."""
        node = self.child(name, None if default is not REQUIRED else REQUIRED)
        if node is None:
            self._note(name, default, True)
            return default
        found = node.arg(kind, "a value")
        self.tainted = self.tainted or node.tainted
        node.done(1)
        node._note("", node.args[0] if node.args else None)
        return found

    def done(self, args=0):
        """Fails on what was given and that nobody asked for: the first of it, or all where problems are
        collected."""
        for near, fault in self.maybes:
            if near in self.known_props or near in self.known_children:
                self.problems.append(fault)
        self.maybes = []
        for name in self.props:
            if name not in self.known_props:
                self._unknown(
                    self.bad(f"'{self.name}' has no property '{name}'{meant(name, sorted(self.known_props))}")
                )
        if len(self.args) > args:
            self._unknown(
                self.bad(f"'{self.name}' takes {args} value{'s' * (args != 1)}, not {len(self.args)}")
            )
        for child in self.children:
            if child.name not in self.known_children:
                self._unknown(
                    child.bad(
                        f"'{self.name}' has no '{child.name}'{meant(child.name, sorted(self.known_children))}"
                    )
                )

    def _unknown(self, fault):
        if self.problems is None:
            raise fault
        self.problems.append(fault)


class MissingNode(Node):
    """Stands in for a node that should be there, and says nothing more about it."""

    def __init__(self, parent, name):
        self.file, self.name, self.args, self.props, self.line, self.column = (
            parent.file,
            name,
            [],
            {},
            parent.line,
            parent.column,
        )
        self._begin(f"{parent.path} > {name}", parent.problems, None)
        self.missing = self.tainted = True


DEEPEST = 64  # blocks within blocks, includes within includes, templates within templates
MOST = 1 << 24  # bytes of one file


class File(Node):
    """A whole file with what it includes: a node without a name or place.

    `include "halls.kdl"` or `include "routes/"` (all *.kdl of a folder, by name) at the top takes what stands
    there in its place; `template "NAME" { ... }` at the top and `use "NAME"` in a block give what the block
    does not say itself."""

    def __init__(self, path, text=None, problems=None, reads=None):
        path = pathlib.Path(path)
        self.file, self.name, self.args, self.props, self.line, self.column = str(path), "file", [], {}, 1, 1
        self._begin("", problems, reads)
        self.path = ""
        self.files = {}
        self.children = self._nodes(path, text, (), None)
        templates = self._templates()
        for node in self.children:
            _use(node, templates, ())

    def _templates(self):
        """Takes the templates out: by name, the first of each."""
        found = {}
        for node in self.every("template"):
            name = node.arg(text, "a name")
            if name in found:
                node.wrong(f"template '{name}' is given twice; first {found[name].place(node)}")
            found.setdefault(name, node)
        self.children = [n for n in self.children if n.name != "template"]
        self.known_children.discard("template")
        return found

    def _nodes(self, path, given, chain, asked):
        """The nodes of one file, or of the text given in its place, those that it includes among them."""
        whole = path if given is not None else path.resolve()
        if whole in chain:
            asked.wrong(
                f"'{path.name}' includes itself: "
                + " -> ".join(p.name for p in (*chain[chain.index(whole) :], whole))
            )
            return []
        if len(chain) >= DEEPEST:
            asked.wrong(f"includes go deeper than {DEEPEST}")
            return []
        try:
            found = read_whole(path) if given is None else given
            document, places = parse(path, found)
        except BadFile as fault:
            self._taint(
                fault
                if asked is None or fault.line
                else BadFile(asked.file, asked.line, f"'{path.name}' {fault.what}", asked.column)
            )
            self.partial = True
            return []
        self.files[str(path)] = found
        places, nodes = iter(places), []
        for node in [Node(path, raw, places, "", self.problems, self.reads) for raw in document.nodes]:
            if node.name != "include":
                nodes.append(node)
                continue
            name = node.arg(text, "a file or a folder")
            node.done(1)
            target = path.parent / name if name else None
            if target is None:
                continue
            if target.is_dir():
                paths = sorted(p for p in target.glob("*.kdl") if not p.name.startswith("."))
                if not paths:
                    node.wrong(f"the folder '{name}' has no .kdl file")
            else:
                paths = [target]
            for one in paths:
                nodes += self._nodes(one, None, (*chain, whole), node)
        return nodes


def read_whole(path):
    """The text of a file that did not change while it was read."""
    try:
        for _ in range(5):
            before = path.stat()
            if before.st_size > MOST:
                raise BadFile(path, 0, f"is larger than {MOST} bytes")
            data, after = path.read_bytes(), path.stat()
            if (before.st_ino, before.st_mtime_ns, before.st_size) == (
                after.st_ino,
                after.st_mtime_ns,
                len(data),
            ):
                return data.decode("utf-8")
    except OSError as fault:
        raise BadFile(path, 0, f"can't be read: {fault.strerror}") from None
    except UnicodeDecodeError as fault:
        raise BadFile(path, 0, f"is not UTF-8: byte {fault.start}") from None
    raise BadFile(path, 0, "changes while it is read")


def parse(path, text):
    """(a ckdl document, where each of its nodes starts). Raises `BadFile`."""
    places, depths = starts(text)
    if max(depths) > DEEPEST:
        raise BadFile(
            path, next(n for n, d in enumerate(depths, 1) if d > DEEPEST), f"blocks go deeper than {DEEPEST}"
        )
    try:
        return ckdl.parse(text, version=2), places
    except ckdl.ParseError:
        raise BadFile(path, *_broken_line(text)) from None


def _use(node, templates, chain):
    """Fills a node from the templates that it names; what it says itself stays."""
    for use in [c for c in node.children if c.name == "use"]:
        name = use.arg(text, "a template")
        use.done(1)
        node.children.remove(use)
        if name not in templates:
            use.wrong(f"there is no template '{name}'{meant(name, sorted(templates))}")
            node.partial = True
        elif name in chain:
            use.wrong(f"template '{name}' uses itself: {' -> '.join((*chain[chain.index(name) :], name))}")
            node.partial = True
        else:
            template = templates[name]
            _use(template, templates, (*chain, name))
            node.partial = node.partial or template.partial
            mine = {c.name for c in node.children}
            node.children += [c for c in template.children if c.name not in mine]
            node.props = {**template.props, **node.props}
    for child in node.children:
        _use(child, templates, chain)


def text(node, where, value):
    if not isinstance(value, str):
        raise node.bad(f"{where} must be text, not {value!r}")
    return value


def number(node, where, value):
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise node.bad(f"{where} must be a number, not {value!r}")
    return value


def count(node, where, value):
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise node.bad(f"{where} must be a whole number of 0 or more, not {value!r}")
    return value


def share(node, where, value):
    if not 0 <= number(node, where, value) <= 1:
        raise node.bad(f"{where} must lie between 0 and 1, not {value!r}")
    return float(value)


def yes(node, where, value):
    if not isinstance(value, bool):
        raise node.bad(f"{where} must be #true or #false, not {value!r}")
    return value


def _measure(node, where, value, units, sort, example):
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        raise node.bad(f'{where} is a {sort} and needs a unit, as in "{value}{example}"')
    found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)", str(value))
    if not found:
        raise node.bad(f'{where} must be a {sort} like "250{example}", not {value!r}')
    if found[2] not in units:
        raise node.bad(f"{where}: '{found[2]}' is no unit of a {sort}{meant(found[2], list(units))}")
    return round(float(found[1]) * units[found[2]])


def duration(node, where, value):
    """Whole nanoseconds."""
    return _measure(node, where, value, UNITS, "duration", "ms")


def size(node, where, value):
    """Whole bytes."""
    return _measure(node, where, value, SIZES, "size", "MB")


def one_of(*words):
    def kind(node, where, value):
        if value not in words:
            raise node.bad(f"{where} can't be {value!r}{meant(value, words)}")
        return value

    kind.sample, kind.words = words[0], words
    return kind


def address(node, where, value):
    """(host, port)."""
    host, _, port = text(node, where, value).rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise node.bad(f'{where} must be an address like "127.0.0.1:8080", not {value!r}')
    return host.strip("[]"), int(port)


for _kind, _sample in (
    (text, ""),
    (number, 1),
    (count, 1),
    (share, 0.5),
    (yes, False),
    (duration, 1_000_000_000),
    (size, 1),
    (address, ("127.0.0.1", 0)),
):
    _kind.sample = _sample


def render(nodes, depth=0):
    """Nodes as KDL 2 text, comments aside."""
    rows = []
    for node in nodes:
        parts = [_value(node.name) if WORD.fullmatch(node.name) is None else node.name]
        parts += [_value(arg) for arg in node.args]
        parts += [f"{name}={_value(value)}" for name, value in node.props.items()]
        block = f" {{\n{render(node.children, depth + 1)}{'    ' * depth}}}" if node.children else ""
        rows.append("    " * depth + " ".join(parts) + block + "\n")
    return "".join(rows)


def _value(value):
    if value is None or isinstance(value, bool):
        return "#" + str(value).lower().replace("none", "null")
    return json.dumps(value, ensure_ascii=False)
