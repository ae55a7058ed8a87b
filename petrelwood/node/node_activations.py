"""Activations on a platform where each has the id that its client gave it."""

from typing import Protocol, cast

from petrelwood.decide.overload import intake
from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.dispatch.activations import Activations, ActivationsCore, Exchange
from petrelwood.dispatch.interfaces import Rule
from petrelwood.node.exchange import Exchange as ClientExchange


class NodeActivationsCore(ActivationsCore, Protocol):
    """What these activations need of the core."""

    def is_open(self, act_id: str) -> bool:
        """Return whether an activation has this id, or an attempt of an earlier one is still in flight."""


class NodeActivations(Activations):
    """Activations that have the ids which their clients gave them."""

    core: NodeActivationsCore

    def admit(
        self, request: ActivationRequest, function: str, rule: Rule, body: bytes, exchange: Exchange
    ) -> None:
        """Admit a request, or answer it at once, also where its id is in use."""
        # The core is handed exchanges of this package alone; its own type has no `waits`.
        if not cast(ClientExchange, exchange).waits():  # its client left between its reading and its turn
            return
        if self.core.is_open(request.id):
            exchange.answer(intake.ABORT, detail="an id that is open")
            return
        super().admit(request, function, rule, body, exchange)
