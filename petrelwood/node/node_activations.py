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
        self._unstarted: set[str] = set()  # ids of activations that the decision module has not received

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
        """Begin an activation once its client has been read to the end."""
        self._count_body(act)
        self._unstarted.add(act.id)
        cast(ClientExchange, act.waiters[0].exchange).defer_start(act.id)

    def _count_body(self, act: PendingActivation) -> None:
        self._body_sizes[act.id] = len(act.body)
        self._body_bytes += len(act.body)

    def start(self, activation_id: str) -> None:
        """Hand an activation to the decision module, if it has not ended."""
        if activation_id in self._unstarted:
            self._unstarted.remove(activation_id)
            super().begin(self.pending.activations[activation_id])

    def reject_unstarted(self, activation_id: str) -> None:
        """Reject an activation that the decision module has not received, if it has not ended."""
        if activation_id in self._unstarted:
            self.reject(self.pending.activations[activation_id], self.intake.typical_duration)

    def time_out(self, activation_id: str) -> None:
        """Time out an activation as in `Activations`; reject one that has not started, as it never ran."""
        if activation_id in self._unstarted:
            self.reject_unstarted(activation_id)
        else:
            super().time_out(activation_id)

    def _record_end(self, act: PendingActivation, outcome: ActivationState, body: bytes | None) -> None:
        self._unstarted.discard(act.id)
        self._body_bytes -= self._body_sizes.pop(act.id, 0)
        super()._record_end(act, outcome, body)
