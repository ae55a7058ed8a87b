"""The parameters of a client's call, checked and decoded."""

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
LONGEST_PATIENCE = 2  # action timeouts that a client may say it waits
LONGEST_WORK = 1_000  # action timeouts that a call's work or its function's load may take, by its own word
MOST_LANES = 1_024
LARGEST_FACT = 1e9
CACHED_FACTS = 512  # texts of further figures whose decoding is cached
ONLY_STRINGS = frozenset((str,))


class InvalidRequestError(PetrelwoodError):
    """A request that can be read, and that asks for something it may not ask for."""


class FunctionFigures(NamedTuple):
    """What a call says of its function and its work; a `dispatch.interfaces.Rule`."""

    lanes: int  # activations that one copy runs at a time
    load_time: int  # ns; 0: not told
    work: int  # ns; 0: not told


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


@functools.lru_cache(maxsize=CACHED_FACTS)
def _decode_facts(text: str, longest_load: float) -> tuple[int, int]:
    """Return the lanes, and the load time in ns, in a call's further figures.

    The text is the same in each call of a function. `longest_load`: ms.
    """
    facts = {}
    for part in filter(None, text.split(";")):
        name, _, value = part.partition(":")
        facts[name] = _number(value, 0, LARGEST_FACT, name)
    lanes = int(facts.get("lanes", 1))
    load = facts.get("load_ms", 0.0)
    if not 1 <= lanes <= MOST_LANES or load > longest_load:
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
    """Return what a call says of its function and its work; `timeout` in ns."""
    longest_work = LONGEST_WORK * timeout / MS
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
    """Return the call in a request's parameters.

    Args:
        namespace_type: the request's method.
        fields: the first parameter.
        body: the second parameter.
        received_at: ns; the client's patience runs from then.
        customers: names of the customers; empty where the platform has none, so that any may call.
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
    patience = _number(fields.get("ttl"), 1, LONGEST_PATIENCE * timeout / MS, "ttl")
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
