"""The hooks through which a hand-over in progress changes the behaviour of a dispatcher's core."""

from collections.abc import Callable
from dataclasses import dataclass

from petrelwood.decide.delivery.ledger import ActivationState

ActivationEndHandler = Callable[[str, str, ActivationState, bool, bytes | None], object]
"""Called with the customer, the id, the outcome, whether it was ever sent, and the answer if cached."""


@dataclass(slots=True)
class HandoverHooks:
    """Set by the predecessor's and the successor's side, and read by the core."""

    retired: bool = False  # another process owns new activations
    # whether another process may own new activations at a time (ns)
    may_be_superseded: Callable[[int], bool] | None = None
    on_activation_end: ActivationEndHandler | None = None
    on_answer: Callable[[bool], object] | None = None  # called with whether the activation completed
