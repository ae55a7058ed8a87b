"""The messages of a hand-over, and their wire format: a msgpack list of a kind and its fields.

    successor -> predecessor                            predecessor -> successor
    ["hello", {name, pid, protocol, reads}]             ["no", reason], or ["offer", watch] with descriptors
    ["ready"]                                           ["go", completed share, answers]
    ["owns"], ["alive"] periodically, then              ["end", customer, id, outcome, sent, body], ...
    ["proven"] or ["back", reason]                      ["drained"], or ["taken"]: it serves again

A process of another version may send unknown kinds or further fields; these are ignored.
"""

from collections.abc import Callable
from dataclasses import astuple, dataclass
from typing import Any

import msgpack

from petrelwood.decide.cluster.handover import TakeoverRequest
from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.dispatch.errors import MalformedMessageError


@dataclass(frozen=True, slots=True)
class Hello:
    """A successor asks to take over, and identifies itself."""

    request: TakeoverRequest


@dataclass(frozen=True, slots=True)
class Rejection:
    """The predecessor refuses to hand over to this successor."""

    reason: str


@dataclass(frozen=True, slots=True)
class Offer:
    """Carries the predecessor's listeners as file descriptors. `watch`: the successor's probation in ns."""

    watch: int


@dataclass(frozen=True, slots=True)
class Ready:
    """The successor is ready to serve."""


@dataclass(frozen=True, slots=True)
class Go:
    """The successor owns new activations from now on. Carries the predecessor's recent completion rate."""

    completed_share: float
    answers: int


@dataclass(frozen=True, slots=True)
class Owns:
    """The successor confirms that it owns new activations."""


@dataclass(frozen=True, slots=True)
class Alive:
    """A heartbeat of the successor."""


@dataclass(frozen=True, slots=True)
class Proven:
    """The successor has proven itself: it performs as well as the predecessor did."""


@dataclass(frozen=True, slots=True)
class GiveBack:
    """The successor has failed its probation: the predecessor has to serve again."""

    reason: str


@dataclass(frozen=True, slots=True)
class ActivationEnded:
    """The predecessor has finished an activation that it had in flight."""

    customer: str
    id: str
    outcome: ActivationState
    sent: bool  # whether it was ever sent to a worker
    body: bytes | None  # the cached answer


@dataclass(frozen=True, slots=True)
class Drained:
    """The predecessor has no activation in flight any more."""


@dataclass(frozen=True, slots=True)
class TakenBack:
    """The predecessor serves again: the successor is superseded."""


@dataclass(frozen=True, slots=True)
class Unknown:
    """A message of an unknown kind."""

    kind: str


Message = (
    Hello
    | Rejection
    | Offer
    | Ready
    | Go
    | Owns
    | Alive
    | Proven
    | GiveBack
    | ActivationEnded
    | Drained
    | TakenBack
    | Unknown
)

HELLO = "hello"
ENDED = "end"
KINDS: dict[str, Callable[..., Message]] = {
    "no": Rejection,
    "offer": Offer,
    "ready": Ready,
    "go": Go,
    "owns": Owns,
    "alive": Alive,
    "proven": Proven,
    "back": GiveBack,
    ENDED: ActivationEnded,
    "drained": Drained,
    "taken": TakenBack,
}
KIND_OF = {message_type: kind for kind, message_type in KINDS.items()}
FIELDS = {
    "no": (str,),
    "offer": (int,),
    "go": ((int, float), int),
    "back": (str,),
    ENDED: (str, str, str, bool, (bytes, type(None))),
}


def encode(message: Message) -> bytes:
    """Return the wire format of a message, without the length prefix."""
    if isinstance(message, Hello):
        return _pack([HELLO, message.request.as_message()])
    return _pack([KIND_OF[type(message)], *astuple(message)])


def _pack(fields: list[object]) -> bytes:
    packed: bytes = msgpack.packb(fields, use_bin_type=True)
    return packed


def decode(data: bytes) -> Message:
    """Return the message that was encoded as `data`.

    Raises:
        MalformedMessageError: The data is not a valid message of the protocol.
    """
    try:
        fields = msgpack.unpackb(data, raw=False)
    except ValueError as fault:
        raise MalformedMessageError("a message is not valid msgpack") from fault
    if not isinstance(fields, list) or not fields or not isinstance(fields[0], str):
        raise MalformedMessageError("a message is not a list that begins with its kind")
    kind, *values = fields
    if kind == HELLO:
        return _hello(values)
    if kind not in KINDS:
        return Unknown(kind)
    expected = FIELDS.get(kind, ())
    values = values[: len(expected)]
    if len(values) < len(expected) or not all(map(isinstance, values, expected)):
        raise MalformedMessageError(f"a message '{kind}' has missing or invalid fields")
    if kind == ENDED:
        return _activation_ended(*values)
    return KINDS[kind](*values)


def _activation_ended(customer: str, id_: str, outcome: str, sent: bool, body: bytes | None) -> Message:
    try:
        return ActivationEnded(customer, id_, ActivationState(outcome), sent, body)
    except ValueError as fault:
        raise MalformedMessageError(f"unknown outcome of an activation: '{outcome}'") from fault


def _hello(values: list[Any]) -> Hello | Unknown:
    if not values or not isinstance(values[0], dict):
        return Unknown(HELLO)
    request = TakeoverRequest.from_message(values[0])
    try:
        oldest, newest = request.state_formats
    except (TypeError, ValueError) as fault:
        raise MalformedMessageError("a greeting lacks the range of readable state formats") from fault
    if not isinstance(oldest, int) or not isinstance(newest, int):
        raise MalformedMessageError("readable state formats must be numbers")
    return Hello(request._replace(state_formats=(oldest, newest)))
