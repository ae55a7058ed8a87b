"""Interfaces of the objects that are passed to this package: a logger, a clock and the dispatcher."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from petrelwood.ports import EndReason

Address = tuple[str, int]
"""A host and a port."""
LoadReport = dict[str, float]
"""A worker's load report: numbers by name."""


class Logger(Protocol):
    """A structured logger like those of structlog: one line per event, with fields."""

    def info(self, event: str, **fields: object) -> object:
        """Log a normal event."""

    def warning(self, event: str, **fields: object) -> object:
        """Log a fault that does not interrupt service."""


class MonotonicClock(Protocol):
    """A source of monotonic time."""

    def now(self) -> int:
        """Return the monotonic time in ns."""


class LinkCore(MonotonicClock, Protocol):
    """The dispatcher as a link needs it. A link reports the end of each call once, through `submit`."""

    def submit(self, call: Callable[..., object], /, *args: object) -> object:
        """Call a function now, or after the call in progress has returned."""

    def send_ended(
        self,
        activation: str,
        attempt: int,
        worker: str,
        reason: EndReason,
        note: int,
        body: bytes,
        sent_at: int,
        load_report: LoadReport | None,
        /,
    ) -> object:
        """Handle the end of an attempt."""

    def load_order_ended(self, worker: str, function: str, reason: EndReason, copies: int, /) -> object:
        """Handle the end of a load order."""

    def health_check_ended(self, worker: str, reason: EndReason, load_report: LoadReport | None, /) -> object:
        """Handle the end of a health check."""

    def is_attempt_outdated(self, activation: str, attempt: int, worker: str, /) -> bool:
        """Return whether an attempt that is queued for its worker may no longer be written."""

    def may_attempt_leave(self, activation: str, attempt: int, worker: str, /) -> bool:
        """Return whether an attempt that was queued for its worker may be written now."""

    def may_send_order(self, given_at: int, /) -> bool:
        """Return whether a load order that was issued at `given_at` may be sent now."""

    def order_not_sent(self, given_at: int, /) -> object:
        """Note that a load order that was issued at `given_at` will never be sent."""


class LoopOwner(MonotonicClock, Protocol):
    """A dispatcher that runs on an event loop."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop that its links run on."""

    @property
    def name(self) -> str:
        """The name that it announces to its peers."""
