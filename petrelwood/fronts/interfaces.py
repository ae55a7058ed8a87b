"""Interfaces of the objects that are passed to the fronts: the core and its settings.

This package must not import the packages that implement them.
"""

import asyncio
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Protocol

from petrelwood import ports
from petrelwood.decide.delivery import pending
from petrelwood.decide.delivery.ledger import Ledger
from petrelwood.decide.overload.intake import ActivationRequest, Intake
from petrelwood.links.tls import Identity


class FunctionRule(pending.FunctionRule, Protocol):
    """The settings of a function; see `settings.gateway.FunctionRule`."""

    @property
    def type(self) -> str:
        """The name of the function's namespace type."""


class Exchange(Protocol):
    """One request of a client, which receives one final answer."""

    activation_id: str | None  # the id of the activation whose result it waits for

    def answer(
        self,
        outcome: str,
        body: bytes = b"",
        retry_after: int = 0,
        detail: str = "",
        activation_id: str | None = None,
    ) -> None:
        """Send the client its final answer. `retry_after`: ns, 0 for no Retry-After."""


class Customer(Protocol):
    """A client account that may call functions; see `settings.customers.Customer`."""

    @property
    def keys(self) -> Iterable[tuple[str, bytes]]:
        """The signature scheme and the key of each key of the customer."""


class ConnectionLimits(Protocol):
    """The limits of the webhook front; see `settings.limits.Limits`."""

    @property
    def connections(self) -> int:
        """The maximum number of open connections."""

    @property
    def handshakes(self) -> int:
        """The maximum number of concurrent TLS handshakes."""

    @property
    def bytes(self) -> int:
        """The maximum number of bytes of incomplete requests, over all connections."""

    @property
    def header(self) -> int:
        """The maximum size of the head of one request, in bytes."""

    @property
    def body(self) -> int:
        """The maximum size of the body of one request, in bytes."""

    @property
    def head_within(self) -> int:
        """The maximum time in ns from the first byte of a request to the end of its head."""

    @property
    def body_within(self) -> int:
        """The maximum time in ns from the end of the head to that of the body; also for reading an answer."""

    @property
    def idle(self) -> int:
        """The maximum time in ns that a connection stays open without a request."""

    @property
    def pipeline(self) -> int:
        """The maximum number of requests read ahead on one connection."""


class WebhookSettings(Protocol):
    """The settings for webhooks; see `settings.gateway.Gateway`."""

    @property
    def customers(self) -> Mapping[str, Customer]:
        """The customers by name."""

    @property
    def limits(self) -> ConnectionLimits:
        """The limits of the front."""

    @property
    def tls(self) -> Identity | None:
        """The certificate of the front; None if it serves plain HTTP."""

    @property
    def tolerance(self) -> int:
        """The largest allowed difference in ns between a webhook's timestamp and the wall clock."""


class FrontCore(Protocol):
    """The core as each front needs it; see `dispatch.core.Core`."""

    @property
    def now(self) -> Callable[[], int]:
        """The monotonic clock, in ns."""

    @property
    def chance(self) -> Random:
        """The source of random numbers."""

    def rule(self, function: str) -> FunctionRule | None:
        """Return the rule of a function, or None if the function may not be called."""

    def admit(
        self, request: ActivationRequest, function: str, rule: FunctionRule, body: bytes, exchange: Exchange
    ) -> None:
        """Admit a request of an authenticated client; `exchange` receives the final answer."""

    def detach_client(self, activation_id: str, exchange: Exchange) -> None:
        """Detach the client of an exchange from its activation: the client no longer needs an answer."""


class WebhookCore(FrontCore, Protocol):
    """The core as the webhook front needs it."""

    @property
    def intake(self) -> Intake:
        """The admission of activations, which also detects connection storms."""


class MqttTerms(Protocol):
    """The settings of the MQTT front; see `settings.mqtt.MqttTerms`. Times in ns."""

    @property
    def broker(self) -> tuple[str, int]:
        """The host and port of the broker."""

    @property
    def user(self) -> str | None:
        """The user name of the dispatcher at the broker; None without authentication."""

    @property
    def password(self) -> bytes | None:
        """The password of the dispatcher at the broker."""

    @property
    def group(self) -> str:
        """The group of the shared subscription, the same for all dispatchers."""

    @property
    def keep_alive(self) -> int:
        """The maximum time without data on a connection (MQTT keep-alive)."""

    @property
    def session(self) -> int:
        """The time for which the broker keeps a session without a connection."""

    @property
    def min_window(self) -> int:
        """The smallest window, the maximum number of activations of one customer in flight."""

    @property
    def max_window(self) -> int:
        """The largest window."""

    @property
    def connect_within(self) -> int:
        """The timeout of connecting, and of each step of the handshake."""

    @property
    def max_packet_size(self) -> int:
        """The largest packet in bytes."""

    @property
    def max_queued_answers(self) -> int:
        """The maximum number of queued answers of one customer."""

    @property
    def initial_backoff(self) -> int:
        """The first backoff after a lost connection."""

    @property
    def max_backoff(self) -> int:
        """The longest backoff."""

    @property
    def tls(self) -> Identity | None:
        """The certificates for connections to the broker; None for connections without TLS."""


class MqttSettings(Protocol):
    """The settings for MQTT besides `MqttTerms`; see `settings.gateway.Gateway`."""

    @property
    def customers(self) -> Mapping[str, Customer]:
        """The customers by name."""

    @property
    def timeouts(self) -> Mapping[str, int]:
        """The action timeout of each namespace type, in ns."""


class Clock(Protocol):
    """The clock of the core; see `petrelwood.clocks`."""

    def steady_wall(self) -> int:
        """Return the wall-clock time in ns, without steps of the clock."""


class MqttCore(FrontCore, Protocol):
    """The core as the MQTT front needs it; see `dispatch.dispatcher.Dispatcher`."""

    @property
    def name(self) -> str:
        """The name of the dispatcher."""

    @property
    def clock(self) -> Clock:
        """The clock that timestamps are read from."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The event loop of the dispatcher."""

    @property
    def gateway(self) -> MqttSettings:
        """The settings in force."""

    @property
    def terms(self) -> ports.Terms:
        """The terms of the scheduler."""

    @property
    def known_ids(self) -> Ledger:
        """The ledger of the ids of earlier activations."""

    def submit(self, call: Callable[..., object], *args: object) -> None:
        """Call a function now, or after the call in progress has returned."""

    def defect(self, where: str, fault: Exception) -> None:
        """Report an unexpected error; the affected activations are aborted."""

    async def sleep_until(self, when: int) -> None:
        """Sleep until a time of the monotonic clock, in ns."""
