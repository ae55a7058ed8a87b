"""Activations on a platform where clients choose the ids."""

from typing import Protocol, cast

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.delivery.pending import PendingActivation
from petrelwood.decide.overload import intake
from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.decide.overload.resource_limits import CapacityIntake
from petrelwood.dispatch.activations import Activations, ActivationsCore, Exchange
from petrelwood.dispatch.interfaces import Rule
from petrelwood.node.exchange import Exchange as ClientExchange


class NodeActivationsCore(ActivationsCore, Protocol):
    """The interface of the core for these activations."""

    def is_open(self, act_id: str) -> bool:
        """Return whether an activation has this id, or an attempt of an earlier one is still in flight."""

    def has_executed(self, act_id: str) -> bool:
        """Return whether a once-only activation with this id may have run."""


class NodeActivations(Activations):
    """Activations with ids that their clients chose."""

    core: NodeActivationsCore

    def __init__(self, core: NodeActivationsCore) -> None:
        super().__init__(core)
        self._body_sizes: dict[str, int] = {}  # bytes, by activation
        self._body_bytes = 0  # of all unanswered activations together

    def admit(
        self, request: ActivationRequest, function: str, rule: Rule, body: bytes, exchange: Exchange
    ) -> None:
        """Admit a request, or answer it at once, for example if its id is in use."""
        # The core has only exchanges of this package; its own type has no `is_waiting`.
        if not cast(ClientExchange, exchange).is_waiting():  # the client left after the request was read
            return
        if self.core.is_open(request.id):
            exchange.answer(intake.ABORT, detail="an id that is open")
            return
        if self.core.has_executed(request.id):
            exchange.answer(intake.ABORT, detail="an id that may have run")
            return
        capacity = cast(CapacityIntake, self.intake)
        if not capacity.has_room(self._body_bytes + len(body)):
            exchange.answer(intake.REJECT, retry_after=capacity.typical_duration)
            return
        super().admit(request, function, rule, body, exchange)

    def begin(self, act: PendingActivation) -> None:
        """Begin an activation as in `Activations`, and count its body."""
        self._body_sizes[act.id] = len(act.body)
        self._body_bytes += len(act.body)
        super().begin(act)

    def _record_end(self, act: PendingActivation, outcome: ActivationState, body: bytes | None) -> None:
        self._body_bytes -= self._body_sizes.pop(act.id, 0)
        super()._record_end(act, outcome, body)
