"""The messages between a dispatcher and a worker in MessagePack-RPC: encoding calls, decoding answers.

Methods of a worker:

    run [activation, attempt, function, idempotency mark, time left in ns, lanes, body]
        -> [activation, attempt, note, body, load report]
        error [word, activation, attempt, note, load report]
    hold [function, lanes, copies] -> [word, copies]
    probe [] -> load report
    cancel [activation, attempt]  (a notification)

The first message in each direction is a notification: hello [worker, its start time] from the worker,
hello [dispatcher] from the dispatcher.
"""

from collections.abc import Sequence
from typing import NamedTuple

from petrelwood.decide.delivery import send_outcome
from petrelwood.links import rpc
from petrelwood.links.calls import LOAD_ORDER, RUN, Call
from petrelwood.links.interfaces import LoadReport
from petrelwood.ports import EndReason

LOAD_REPORT_FIELDS = ("running", "waiting", "cores", "pinned", "loads")  # other fields are ignored
COMPLETED = EndReason.COMPLETED  # Python 3.11 is slow to look up a member on its enum
HELLO = "hello"
CANCEL = "cancel"
RUN_ANSWER_FIELDS = 5  # the number of fields in the result or the error of a run
LOAD_ORDER_ANSWER_FIELDS = 2
HELLO_FIELDS = 2


class RunContent(NamedTuple):
    """The data of an attempt besides its ids and the remaining time."""

    idempotency_mark: str
    lanes: int
    body: bytes


class LoadOrderContent(NamedTuple):
    """The data of a load order besides the function and the number of copies."""

    lanes: int


RpcCall = Call[RunContent | LoadOrderContent, None]
"""A call on the one connection of a link."""


class Answer(NamedTuple):
    """The decoded answer to a call.

    Attributes:
        reason: How the call ended.
        note: For a run a `ports.CopyNote`; for a load order the number of copies on the worker now.
        body: The result of a run.
        load_report: The load report in the answer, if there is one.
    """

    reason: EndReason
    note: int = 0
    body: bytes = b""
    load_report: LoadReport | None = None


class Greeting(NamedTuple):
    """A worker's first notification."""

    worker: object
    started: int  # ns, on the worker's wall clock


def encode_call(call: RpcCall, now: int) -> bytes:
    """Return the bytes of a call that is written at `now` (ns)."""
    content = call.content
    parameters: list[object] = []
    if isinstance(content, RunContent):
        remaining = 0 if call.deadline is None else call.deadline - now
        parameters = [
            call.activation,
            call.number,
            call.function,
            content.idempotency_mark,
            remaining,
            content.lanes,
            content.body,
        ]
    elif isinstance(content, LoadOrderContent):
        parameters = [call.function, content.lanes, call.number]
    return rpc.request(call.tag, call.kind, parameters)


def encode_cancel(call: RpcCall) -> bytes:
    """Return the bytes that request a worker to stop an attempt."""
    return rpc.notification(CANCEL, [call.activation, call.number])


def encode_hello(dispatcher: str) -> bytes:
    """Return the bytes of the greeting of a dispatcher."""
    return rpc.notification(HELLO, [dispatcher])


def decode_greeting(params: Sequence[object]) -> Greeting:
    """Return the greeting of a worker.

    Raises:
        rpc.MalformedRpcError: The greeting is malformed.
    """
    if len(params) != HELLO_FIELDS or not isinstance(params[1], int):
        raise rpc.MalformedRpcError("the greeting of the worker is malformed")
    return Greeting(params[0], params[1])


def decode_answer(call: RpcCall, error: object, result: object) -> Answer:
    """Return the decoded response to a call.

    Raises:
        rpc.MalformedRpcError: The response is not a valid answer to this call.
    """
    if call.kind == RUN:
        return _decode_run_error(call, error) if error is not None else _decode_run_result(call, result)
    if call.kind == LOAD_ORDER:
        return _decode_load_order_answer(error, result)
    reason = COMPLETED if error is None else send_outcome.of_error(error)
    return Answer(reason, load_report=_decode_load_report(result))


def _decode_run_result(call: RpcCall, result: object) -> Answer:
    if not isinstance(result, list) or len(result) != RUN_ANSWER_FIELDS:
        raise rpc.MalformedRpcError("the answer to a run is malformed")
    activation, attempt, note, body, load_report = result
    _check_ids(call, activation, attempt)
    if not isinstance(body, bytes):
        raise rpc.MalformedRpcError("the body of an answer is not bytes")
    return Answer(COMPLETED, _decode_note(note), body, _decode_load_report(load_report))


def _decode_run_error(call: RpcCall, error: object) -> Answer:
    if not isinstance(error, list) or len(error) != RUN_ANSWER_FIELDS:
        raise rpc.MalformedRpcError("the answer to a run is malformed")
    word, activation, attempt, note, load_report = error
    _check_ids(call, activation, attempt)
    return Answer(
        send_outcome.of_error(word), _decode_note(note), load_report=_decode_load_report(load_report)
    )


def _check_ids(call: RpcCall, activation: object, attempt: object) -> None:
    if activation != call.activation or attempt != call.number:
        raise rpc.MalformedRpcError("the answer is for another attempt")


def _decode_note(raw: object) -> int:
    return raw if isinstance(raw, int) else 0


def _decode_load_order_answer(error: object, result: object) -> Answer:
    if (
        not isinstance(result, list)
        or len(result) != LOAD_ORDER_ANSWER_FIELDS
        or not isinstance(result[1], int)
    ):
        return Answer(send_outcome.of_error(error))
    word, copies = result
    return Answer(COMPLETED if word == "ok" else send_outcome.of_error(word), copies)


def _decode_load_report(raw: object) -> LoadReport | None:
    if not isinstance(raw, dict):
        return None
    return {name: raw[name] for name in LOAD_REPORT_FIELDS if isinstance(raw.get(name), (int, float))}
