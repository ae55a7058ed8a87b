"""The protocol between dispatcher and worker: JSON objects, one a line, each way. Free of I/O.

FN, KILL, TOP, SPAWN out;  HIT, NONE, SHED, FAULT, LATE, PONG, SICK in
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
"""What an answer proves. A worker that says anything else does not speak the protocol."""

COPY_NOTES = {
    "warm": ports.CopyNote.FOUND_WARM,
    "cold": ports.CopyNote.BEGAN_LOAD,
    "joined": ports.CopyNote.AWAITED_LOAD,
    "load_failed": ports.CopyNote.LOAD_FAILED,
}

RUN_OVERHEAD = 192  # bytes of a run command beside its body, about


class MalformedAnswerError(ProtocolError):
    """The worker does not speak the protocol; nothing that follows on the connection can be read."""


class Answer(NamedTuple):
    """One answer of a worker."""

    tag: str  # the id of the command that it answers
    code: ports.EndReason
    note: ports.CopyNote
    copies: int  # loaded copies, in the answer to a load order
    body: bytes
    report: dict[str, float] | None  # under the module's field names


def encode_run(
    tag: str, namespace_type: str, function: str, patience: int, idempotency_key: str, body: bytes
) -> bytes:
    """Return the command to run a function.

    Args:
        tag: the id under which the worker answers.
        namespace_type: the type of the function's namespace.
        function: its id.
        patience: ms that the dispatcher will wait.
        idempotency_key: the client's, "" for none.
        body: what the client sent.
    """
    meta = {"sort": namespace_type, "asset": function, "patience": patience}
    if idempotency_key:
        meta["op"] = idempotency_key
    data = binascii.b2a_base64(body, newline=False).decode()
    return orjson.dumps({"type": "FN", "req": tag, "meta": meta, "data": data}) + b"\n"


def run_size(body: bytes) -> int:
    """Return the size of a run command in bytes, about."""
    return RUN_OVERHEAD + (len(body) + 2) // 3 * 4


def encode_cancel(tag: str) -> bytes:
    """Return the command that cancels a run; it has no answer."""
    return orjson.dumps({"type": "KILL", "req": tag}) + b"\n"


def encode_health_check(tag: str) -> bytes:
    """Return the command that asks for health and a load report."""
    return orjson.dumps({"type": "TOP", "req": tag}) + b"\n"


def encode_load_order(tag: str, function: str, copies: int) -> bytes:
    """Return the command to have at least so many copies of a function loaded."""
    return orjson.dumps({"type": "SPAWN", "req": tag, "meta": {"asset": function, "pods": copies}}) + b"\n"


def _decode_report(text: str) -> dict[str, float] | None:
    found = {}
    for part in text.split(";"):
        name, _, value = part.partition(":")
        try:
            found[name] = float(value)
        except ValueError as error:
            raise MalformedAnswerError("a report that is no report") from error
    return load_report(found)


def decode_answer(line: bytes) -> Answer:
    """Return the answer in a line, which is given without its end.

    Raises:
        MalformedAnswerError: it is no answer.
    """
    try:
        raw = orjson.loads(line)
        tag = raw["req"]
        meta = raw.get("meta") or {}
        data = raw.get("data")
        if not isinstance(tag, str):
            raise MalformedAnswerError("an answer without a tag")
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
        raise MalformedAnswerError(f"not an answer: {error!r}") from error


class AnswerReader:
    """Splits what a worker sends into answers; `longest_line` in bytes."""

    def __init__(self, longest_line: int) -> None:
        self.longest_line = longest_line
        self.rest = b""  # a line whose end has not come yet

    def feed(self, data: bytes) -> Iterator[Answer]:
        """Yield the answers that are complete with `data`.

        Raises:
            MalformedAnswerError: a line is no answer, or too long. The answers before it are good.
        """
        lines = (self.rest + data if self.rest else data).split(b"\n")
        self.rest = lines.pop()
        for line in lines:
            yield decode_answer(line)
        if len(self.rest) > self.longest_line:
            raise MalformedAnswerError("a line without end")
