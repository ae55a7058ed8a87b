"""The one layout of a KDL file: four spaces a block, one space between words, no more than one empty line.
Comments, strings and the order of things stay; a file laid out twice is the same as once, and means the same
as before (which is checked)."""

import re

from petrelwood.settings import kdl, kdl_scan
from petrelwood.settings.errors import SettingsError

INDENT = "    "


def _pieces(text):
    """(kind, text) in order: 'string', 'line comment', 'comment', 'break', 'space', 'open', 'close', 'end',
    'word'."""
    i = 0
    while i < len(text):
        j = kdl_scan.end_of_literal(text, i)
        if j > i:
            kind = (
                "line comment"
                if text.startswith("//", i)
                else "comment"
                if text.startswith("/*", i)
                else "string"
            )
            if kind == "line comment":
                yield kind, text[i:j].rstrip()
            else:
                yield kind, text[i:j]
            i = j
            continue
        c = text[i]
        if c in " \t\r\ufeff":
            j = i + 1
            while j < len(text) and text[j] in " \t\r\ufeff":
                j += 1
            yield "space", " "
        elif c == "\n":
            j = i + 1
            yield "break", "\n"
        elif c in "{};":
            j = i + 1
            yield {"{": "open", "}": "close", ";": "end"}[c], c
        elif c == "\\":
            found = re.compile(r"\\[ \t\r]*(//[^\n]*)?\n?").match(text, i)
            j = found.end()
            yield "continued", "\\" + (" " + found[1].rstrip() if found[1] else "") + "\n"
        else:
            j = i + 1
            while (
                j < len(text)
                and text[j] not in ' \t\r\n{};"\\'
                and not text.startswith(("//", "/*"), j)
                and not (text[j] == "#" and re.compile(r'#+"').match(text, j))
            ):
                j += 1
            yield "word", text[i:j]
        i = j


def laid_out(text):
    """The text in the one layout. Raises `SettingsError` where it is no KDL, or would mean something
    else."""
    before = kdl.parse("text", text)
    out, depth, line, empty, gap, continued = [], 0, "", 0, False, False

    def flush():
        nonlocal line, empty
        if line:
            if empty and out and not out[-1].endswith("{"):
                out.append("")
            out.append(line)
            line, empty = "", 0

    for kind, piece in _pieces(text):
        if kind == "break":
            if line:
                flush()
            else:
                empty += 1
            gap = False
        elif kind == "space":
            gap = bool(line)
        elif kind == "close":
            flush()
            empty, depth = 0, max(0, depth - 1)
            line, gap = INDENT * depth + "}", False
        elif kind == "end":
            flush()
            gap = False
        elif kind == "open":
            line = (line + " {") if line.strip() else INDENT * depth + "{"
            flush()
            depth, gap = depth + 1, False
        elif kind == "continued":
            line, gap, continued = line + " " + piece.rstrip("\n"), False, True
            flush()
        else:
            if out and line.endswith("}") and kind in ("word", "string"):
                flush()
            if not line:
                line = INDENT * (depth + continued) + piece
                continued = False
            elif kind in ("line comment", "comment"):
                line += (" " * 4 if kind == "line comment" else " ") + piece
            else:
                line += (" " if gap else "") + piece
            gap = False
    flush()
    found = "\n".join(out) + "\n" if out else ""
    if _meaning(kdl.parse("text", found).nodes) != _meaning(before.nodes):
        raise SettingsError("text", 0, "it can't be laid out without changing what it means")
    return found


def _meaning(nodes):
    return [
        (
            n.name,
            n.type_annotation,
            list(map(repr, n.args)),
            sorted((k, repr(v)) for k, v in n.properties.items()),
            _meaning(n.children),
        )
        for n in nodes
    ]
