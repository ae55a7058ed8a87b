"""What the clients' side needs of the dispatcher, as protocols."""

import asyncio
from collections.abc import Callable, Collection, Mapping
from typing import Protocol

from petrelwood.decide.overload.intake import ActivationRequest
from petrelwood.dispatch.activations import Exchange
from petrelwood.dispatch.interfaces import Rule


class Intake(Protocol):
    """The stage that admits activations."""

    @property
    def usual(self) -> int:
        """How long an activation usually stays, ns: the pause that a rejected client is given."""


class Terms(Protocol):
    """The terms of the decision module."""

    @property
    def types(self) -> Mapping[str, object]:
        """The namespace types by name."""


class CallTerms(Protocol):
    """What calls may say: `node.configuration.Configuration`."""

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
        """The event loop that all runs on."""

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def arrived(self, now: int) -> int:
        """Return when what is read now came at the earliest: before `now`, if the loop was held up."""

    def serves(self) -> bool:
        """Return whether it takes calls: its start is over, and its end has not begun."""

    def is_open(self, act_id: str) -> bool:
        """Return whether an activation has this id, or an attempt of an earlier one is still in flight."""

    def answer_due(self, now: int) -> None:
        """Answer the activations whose deadline has come."""

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
        """End what a client no longer waits for, where it may be ended."""

    def submit(self, call: Callable[..., object], *args: object) -> None:
        """Make a call, after the one that is being made."""

    def defect(self, where: str, fault: Exception) -> None:
        """Log a fault of the program and abort the activations that it touched."""
