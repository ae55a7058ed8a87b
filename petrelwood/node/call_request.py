"""Validation and decoding of the parameters of a client's call."""

import functools
import math
from collections.abc import Collection, Mapping
from typing import NamedTuple

from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.errors import PetrelwoodError
from petrelwood.node.units import MS

HEX_DIGITS = frozenset("0123456789abcdef")
ID_DIGITS = 16  # of a call's and of a function's id
IDEMPOTENCY_KEY_DIGITS = 32
MAX_PATIENCE_FACTOR = 2  # the longest patience that a client may announce, in action timeouts
MAX_WORK_FACTOR = 1_000  # the longest work and load time that a call may announce, in action timeouts
MAX_LANES = 1_024  # the most activations that a call may let one copy run at a time
MAX_FACT = 1e9  # the largest number in a `facts` field
FACTS_CACHE_SIZE = 512  # decoded `facts` fields that are cached
ONLY_STRINGS = frozenset((str,))


class InvalidRequestError(PetrelwoodError):
    """A well-formed request with a missing, malformed or forbidden parameter."""


class FunctionFigures(NamedTuple):
    """The figures that a call announces of its function and its work; a `dispatch.interfaces.Rule`."""

    lanes: int  # activations that one copy runs at a time
    load_time: int  # ns; 0: unknown
    work: int  # ns; 0: unknown


class CallRequest(NamedTuple):
    """A decoded call."""

    activation: ActivationRequest
    function: str
    figures: FunctionFigures
    body: bytes


def _number(text: str | None, least: float, most: float, name: str) -> float:
    try:
        value = float(text or "")
    except ValueError as error:
        raise InvalidRequestError(f"{name} is no number") from error
    if not math.isfinite(value) or not least <= value <= most:
        raise InvalidRequestError(f"{name} is out of range")
    return value


def _id(text: str | None, digits: int, name: str) -> str:
    if text is None or len(text) != digits or not HEX_DIGITS.issuperset(text):
        raise InvalidRequestError(f"{name} must be {digits} hex digits")
    return text


@functools.lru_cache(maxsize=FACTS_CACHE_SIZE)
def _decode_facts(text: str, longest_load: float) -> tuple[int, int]:
    """Return the lanes and the load time (ns) in the `facts` field of a call.

    The result is cached, because every call of a function has the same text. `longest_load`: ms.
    """
    facts = {}
    for part in filter(None, text.split(";")):
        name, _, value = part.partition(":")
        facts[name] = _number(value, 0, MAX_FACT, name)
    lanes = int(facts.get("lanes", 1))
    load = facts.get("load_ms", 0.0)
    if not 1 <= lanes <= MAX_LANES or load > longest_load:
        raise InvalidRequestError("lanes or load_ms is out of range")
    return lanes, int(load * MS)


def _check_fields(fields: dict[str, str]) -> None:
    if not (
        ONLY_STRINGS.issuperset(map(type, fields)) and ONLY_STRINGS.issuperset(map(type, fields.values()))
    ):
        raise InvalidRequestError("fields are strings")


def _customer(fields: dict[str, str], customers: Collection[str]) -> str:
    customer = fields.get("org", "")
    if customers and customer not in customers:
        raise InvalidRequestError("no such tenant")
    return customer


def _decode_figures(fields: dict[str, str], timeout: int) -> FunctionFigures:
    """Return the figures that a call announces of its function and its work; `timeout` in ns."""
    longest_work = MAX_WORK_FACTOR * timeout / MS
    work = _number(fields["work"], 0, longest_work, "work") if "work" in fields else 0.0
    lanes, load_time = _decode_facts(fields.get("facts", ""), longest_work)
    return FunctionFigures(lanes, load_time, int(work * MS))


def decode_call(
    namespace_type: str,
    fields: object,
    body: object,
    received_at: int,
    customers: Collection[str],
    timeouts: Mapping[str, int],
) -> CallRequest:
    """Return the call decoded from the parameters of a request.

    Args:
        namespace_type: the method of the request.
        fields: the first parameter.
        body: the second parameter.
        received_at: ns; the start of the client's patience.
        customers: names of the customers; if empty, the platform has none and accepts any name.
        timeouts: the action timeout of each namespace type, ns.

    Raises:
        InvalidRequestError: a parameter is missing, malformed or out of range.
    """
    if not isinstance(fields, dict) or not isinstance(body, bytes):
        raise InvalidRequestError("a call has a map and a body")
    _check_fields(fields)
    customer = _customer(fields, customers)
    timeout = timeouts[namespace_type]
    idempotency_key = fields.get("dedupe", "")
    if idempotency_key:
        _id(idempotency_key, IDEMPOTENCY_KEY_DIGITS, "dedupe")
    patience = _number(fields.get("ttl"), 1, MAX_PATIENCE_FACTOR * timeout / MS, "ttl")
    figures = _decode_figures(fields, timeout)
    call_id = _id(fields.get("call"), ID_DIGITS, "call")
    return CallRequest(
        ActivationRequest(
            customer, call_id, 0, namespace_type, received_at, int(patience * MS), idempotency_key
        ),
        _id(fields.get("row"), ID_DIGITS, "row"),
        figures,
        body,
    )
