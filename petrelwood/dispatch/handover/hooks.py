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

    def is_fenced(self, now: int) -> bool:
        """Return whether requests must be left to another process, also those with known ids.

        What this process would note of them, as the newest timestamp of an id, the other one would not know.
        """
        return self.retired or (self.may_be_superseded is not None and self.may_be_superseded(now))
