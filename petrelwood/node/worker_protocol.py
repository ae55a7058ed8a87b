"""The protocol between dispatcher and worker: one JSON object per line in each direction. Free of I/O.

Commands: FN, KILL, TOP, SPAWN. Answers: HIT, NONE, SHED, FAULT, LATE, PONG, SICK.
"""

import binascii
from collections.abc import Iterator
from typing import NamedTuple

import orjson

from petrelwood import ports
from petrelwood.errors import ProtocolError
from petrelwood.node.load_report import load_report

END_REASONS = {
    "HIT": ports.EndReason.COMPLETED,
    "NONE": ports.EndReason.MISSING,
    "SHED": ports.EndReason.FULL,
    "FAULT": ports.EndReason.ERROR,
    "LATE": ports.EndReason.NOT_SENT,
    "PONG": ports.EndReason.COMPLETED,
    "SICK": ports.EndReason.ERROR,
}
"""The end reason of each type of answer; any other type is malformed."""

COPY_NOTES = {
    "warm": ports.CopyNote.FOUND_WARM,
    "cold": ports.CopyNote.BEGAN_LOAD,
    "joined": ports.CopyNote.AWAITED_LOAD,
    "load_failed": ports.CopyNote.LOAD_FAILED,
}

RUN_OVERHEAD = 192  # the approximate size of a run command without its body, in bytes


class MalformedAnswerError(ProtocolError):
    """A malformed answer; the data after it on the connection can't be read."""


class Answer(NamedTuple):
    """One answer of a worker."""

    tag: str  # the id of the answered command
    code: ports.EndReason
    note: ports.CopyNote
    copies: int  # loaded copies, in the answer to a load order
    body: bytes
    report: dict[str, float] | None  # the load report, with the decision module's field names


def encode_run(
    tag: str, namespace_type: str, function: str, patience: int, idempotency_key: str, body: bytes
) -> bytes:
    """Return the command to run a function.

    Args:
        tag: the id of the command, which the answer repeats.
        namespace_type: the type of the function's namespace.
        function: the id of the function.
        patience: the time that the dispatcher will wait (ms).
        idempotency_key: the key of the client, or "".
        body: the body of the client's request.
    """
    meta = {"sort": namespace_type, "asset": function, "patience": patience}
    if idempotency_key:
        meta["op"] = idempotency_key
    data = binascii.b2a_base64(body, newline=False).decode()
    return orjson.dumps({"type": "FN", "req": tag, "meta": meta, "data": data}) + b"\n"


def run_size(body: bytes) -> int:
    """Return the approximate size of a run command in bytes."""
    return RUN_OVERHEAD + (len(body) + 2) // 3 * 4


def encode_cancel(tag: str) -> bytes:
    """Return the command that cancels a run; it has no answer."""
    return orjson.dumps({"type": "KILL", "req": tag}) + b"\n"


def encode_health_check(tag: str) -> bytes:
    """Return the command that requests a health check and a load report."""
    return orjson.dumps({"type": "TOP", "req": tag}) + b"\n"


def encode_load_order(tag: str, function: str, copies: int) -> bytes:
    """Return the command to have at least `copies` copies of a function loaded."""
    return orjson.dumps({"type": "SPAWN", "req": tag, "meta": {"asset": function, "pods": copies}}) + b"\n"


def _decode_report(text: str) -> dict[str, float] | None:
    found = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            found[name] = float(value)
        except ValueError as error:
            raise MalformedAnswerError("the load report is malformed") from error
    return load_report(found)


def decode_answer(line: bytes) -> Answer:
    """Return the answer in a line without its newline.

    Raises:
        MalformedAnswerError: the line is not a valid answer.
    """
    try:
        raw = orjson.loads(line)
        tag = raw["req"]
        meta = raw.get("meta") or {}
        data = raw.get("data")
        if not isinstance(tag, str):
            raise MalformedAnswerError("the answer has no tag")
        report = meta.get("l")
        return Answer(
            tag,
            END_REASONS[raw["type"]],
            COPY_NOTES.get(meta.get("n", ""), ports.CopyNote.NOTHING),
            int(meta.get("pods") or 0),
            binascii.a2b_base64(data, strict_mode=True) if data else b"",
            _decode_report(report) if report else None,
        )
    # the errors of orjson and of base64 are ValueErrors
    except (KeyError, TypeError, ValueError, AttributeError, RecursionError) as error:
        raise MalformedAnswerError(f"the line is not an answer: {error!r}") from error


class AnswerReader:
    """Splits the data from a worker into answers; `max_line_size` in bytes."""

    def __init__(self, max_line_size: int) -> None:
        self.max_line_size = max_line_size
        self.partial_line = b""  # the received part of an incomplete line

    def feed(self, data: bytes) -> Iterator[Answer]:
        """Yield the answers that `data` completes.

        Raises:
            MalformedAnswerError: a line is malformed or too long. The answers before it are valid.
        """
        lines = (self.partial_line + data if self.partial_line else data).split(b"\n")
        self.partial_line = lines.pop()
        for line in lines:
            yield decode_answer(line)
        if len(self.partial_line) > self.max_line_size:
            raise MalformedAnswerError("the line is too long")
