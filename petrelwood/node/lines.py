"""The workers' JSON lines: commands to bytes, bytes to answers. Free of I/O.

FN, KILL, TOP, SPAWN out;  HIT, NONE, SHED, FAULT, LATE, PONG, SICK in
"""

from binascii import Error, a2b_base64, b2a_base64
from typing import NamedTuple

import orjson

from petrelwood import ports
from petrelwood.node import told

# What an answer proves, in the module's codes. Whatever else a worker says can't be read.
ENDS = {
    "HIT": ports.EndReason.COMPLETED,
    "NONE": ports.EndReason.MISSING,
    "SHED": ports.EndReason.FULL,
    "FAULT": ports.EndReason.ERROR,
    "LATE": ports.EndReason.NOT_SENT,
    "PONG": ports.EndReason.COMPLETED,
    "SICK": ports.EndReason.ERROR,
}
NOTES = {
    "warm": ports.CopyNote.FOUND_WARM,
    "cold": ports.CopyNote.BEGAN_LOAD,
    "joined": ports.CopyNote.AWAITED_LOAD,
    "load_failed": ports.CopyNote.LOAD_FAILED,
}


RUN_FIELDS = 192  # bytes of a run beside its body


class Garbage(Exception):
    """The peer does not speak the protocol any more."""


class Answer(NamedTuple):
    tag: str
    code: str  # of `ports`
    note: int
    copies: int
    body: bytes
    report: object  # as the module reads it, or None


def run(tag, type_, fn, patience, mark, body):
    """`patience`: ms; `mark`: the client's idempotency key, "" for none."""
    meta = {"sort": type_, "asset": fn, "patience": patience}
    if mark:
        meta["op"] = mark
    return (
        orjson.dumps(
            {"type": "FN", "req": tag, "meta": meta, "data": b2a_base64(body, newline=False).decode()}
        )
        + b"\n"
    )


def run_size(body):
    """About the bytes of a `run`."""
    return RUN_FIELDS + (len(body) + 2) // 3 * 4


def kill(tag):
    return orjson.dumps({"type": "KILL", "req": tag}) + b"\n"


def probe(tag):
    return orjson.dumps({"type": "TOP", "req": tag}) + b"\n"


def hold(tag, fn, copies):
    return orjson.dumps({"type": "SPAWN", "req": tag, "meta": {"asset": fn, "pods": copies}}) + b"\n"


def _report(text):
    found = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            found[name] = float(value)
        except ValueError:
            raise Garbage("a report that is no report") from None
    return told.report(found)


def answer(line):
    """An `Answer` of one line without its end. Raises `Garbage`."""
    try:
        raw = orjson.loads(line)
        tag, meta, data = raw["req"], raw.get("meta") or {}, raw.get("data")
        if not isinstance(tag, str):
            raise Garbage("an answer without a tag")
        text = meta.get("l")
        return Answer(
            tag,
            ENDS[raw["type"]],
            NOTES.get(meta.get("n"), 0),
            int(meta.get("pods") or 0),
            a2b_base64(data, strict_mode=True) if data else b"",
            _report(text) if text else None,
        )
    # orjson's own is a ValueError
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError, Error) as fault:
        raise Garbage(f"not an answer: {fault!r}") from None


class Reader:
    """Bytes to answers. `most`: bytes of one line."""

    def __init__(self, most):
        self.most, self.rest = most, b""

    def feed(self, data):
        """Yields the answers that are whole now. Raises `Garbage` at what can't be read; what came before it
        stands."""
        parts = (self.rest + data if self.rest else data).split(b"\n")
        self.rest = parts.pop()
        for part in parts:
            yield answer(part)
        if len(self.rest) > self.most:
            raise Garbage("a line without end")
