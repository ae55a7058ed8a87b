"""What a hand-over changes in the core of a dispatcher while it is under way."""

from collections.abc import Callable
from dataclasses import dataclass

from petrelwood.decide.delivery.ledger import ActivationState

ActivationEndHandler = Callable[[str, str, ActivationState, bool, bytes | None], object]
"""Called with the customer, the id, the outcome, whether it was sent, and the answer if it is cached."""


@dataclass(slots=True)
class HandoverHooks:
    """Set by the predecessor's and the successor's side, and read by the core."""

    retired: bool = False  # another process owns what is new
    may_be_superseded: Callable[[int], bool] | None = None  # whether one may own it by now (ns)
    on_activation_end: ActivationEndHandler | None = None
    on_answer: Callable[[bool], object] | None = None  # called with whether the activation completed
