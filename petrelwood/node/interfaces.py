"""Interfaces of the dispatcher for the client side."""

import asyncio
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.dispatch.activations import Exchange
from petrelwood.dispatch.interfaces import Rule


class Intake(Protocol):
    """The stage that admits activations."""

    @property
    def typical_duration(self) -> int:
        """The typical time from arrival to answer (ns), the retry-after time of rejected clients."""


class Terms(Protocol):
    """The terms of the decision module."""

    @property
    def types(self) -> Mapping[str, object]:
        """The namespace types by name."""


class CallTerms(Protocol):
    """The customers and namespace types that calls may name: `node.configuration.Configuration`."""

    @property
    def customers(self) -> Collection[str]:
        """The names of the customers."""

    @property
    def timeouts(self) -> Mapping[str, int]:
        """The action timeout of each namespace type, ns."""


class Dispatcher(Protocol):
    """The dispatcher: `node.service.Node`."""

    @property
    def intake(self) -> Intake:
        """The stage that admits activations."""

    @property
    def terms(self) -> Terms:
        """The terms of the decision module."""

    @property
    def gateway(self) -> CallTerms:
        """The configuration."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop that everything runs on."""

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def earliest_arrival(self, now: int) -> int:
        """Return the earliest possible arrival time of data read now; before `now` after a blocked loop."""

    def is_ready(self) -> bool:
        """Return whether calls are accepted: the start is complete and the shutdown has not begun."""

    def is_open(self, act_id: str) -> bool:
        """Return whether an activation has this id, or an attempt of an earlier one is still in flight."""

    def answer_due(self, now: int) -> None:
        """Answer the activations whose deadline has passed."""

    def admit(
        self,
        activation: ActivationRequest,
        function: str,
        rule: Rule,
        body: bytes,
        exchange: Exchange,
        /,
    ) -> None:
        """Admit a call, or answer it at once."""

    def detach_client(self, act_id: str, exchange: Exchange, /) -> None:
        """End an activation whose client no longer waits for it, if it may be ended."""

    def start_activation(self, activation_id: str) -> None:
        """Hand an activation to the scheduler, if it has not ended."""

    def reject_activation(self, activation_id: str) -> None:
        """Reject an activation that the scheduler does not know, if it has not ended."""

    def submit(self, call: Callable[..., object], *args: object) -> None:
        """Make a call, after the call in progress."""

    def defect(self, where: str, fault: Exception) -> None:
        """Log an internal error and abort the affected activations."""
