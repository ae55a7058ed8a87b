"""The types that this package expects of what it is given: a logger, a clock, random numbers, and the core.

A part of the dispatcher says in a protocol of its own, beside its class, what else it needs of the core.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from petrelwood import ports


class Logger(Protocol):
    """A structured logger, as structlog makes them: one line for each event, with its fields."""

    def debug(self, event: str, **fields: object) -> object:
        """Log what only a developer wants to know."""

    def info(self, event: str, **fields: object) -> object:
        """Log a normal event."""

    def warning(self, event: str, **fields: object) -> object:
        """Log a fault that service survives."""

    def error(self, event: str, **fields: object) -> object:
        """Log a fault that an operator should see to."""


class Timer(Protocol):
    """A call that is scheduled on a clock."""

    def cancel(self) -> object:
        """Cancel the call."""


class Clock(Protocol):
    """Monotonic and wall-clock time in ns, and timers; see `petrelwood.clocks`."""

    def now(self) -> int:
        """Return the monotonic time."""

    def wall(self) -> int:
        """Return the time since the epoch, which may be stepped in both directions."""

    def steady_wall(self) -> int:
        """Return the time since the epoch without its steps, for spans of time."""

    def at(self, when: int, call: Callable[..., object], *args: object) -> Timer:
        """Call `call(*args)` at the monotonic time `when`."""


RandomFraction = Callable[[], float]
"""Draws a number in [0, 1)."""


class Rule(Protocol):
    """What is known of a function: `settings.functions.FunctionRule`, or what a request says of it."""

    @property
    def lanes(self) -> int:
        """Activations that one copy runs at a time."""

    @property
    def load_time(self) -> int:
        """The usual time of a load in ns; 0: not known."""

    @property
    def work(self) -> int:
        """The usual work of an activation in ns; 0: not known."""


class DecisionModule(Protocol):
    """The events that the decision module learns; see `decide.scheduling.scheduler.Scheduler`.

    Each begins with the monotonic time in ns. The module acts through its `ports.Outlet`, within these calls.
    """

    def endpoints_changed(
        self, now: int, entries: Sequence[ports.EndpointEntry], is_whole: bool, /
    ) -> object:
        """Learn of a change of the endpoint list, or of the whole list."""

    def endpoint_list_lost(self, now: int, /) -> object:
        """Learn that no changes of the endpoint list will come."""

    def activation_arrived(self, now: int, arrival: ports.Arrival, /) -> object:
        """Take in an activation: it is sent, queued or rejected."""

    def attempt_ended(self, now: int, end: ports.AttemptEnd, /) -> object:
        """Learn how an attempt has ended."""

    def client_departed(self, now: int, activation_id: str, /) -> object:
        """Forget an activation: its client has left, or it has ended without the module."""

    def load_order_ended(
        self, now: int, worker_id: str, function: str, reason: ports.EndReason, copies: int, /
    ) -> object:
        """Learn how a load order has ended; `copies` of the function are on the worker now."""

    def may_load_order_leave(self, now: int, given_at: int, /) -> bool:
        """Return whether a load order that was given at `given_at` and has waited may leave now."""

    def load_order_withdrawn(self, now: int, given_at: int, /) -> object:
        """Learn that a load order that was given at `given_at` never left."""

    def load_orders_restored(self, now: int, orders: int, /) -> object:
        """Learn that an earlier incarnation gave so many load orders in the last period."""

    def prefetch(self, now: int, function: str, slots: int, load_time: int, /) -> str | None:
        """Order one copy ahead of a call; return the worker that it is ordered on, or None."""

    def health_check_ended(
        self, now: int, worker_id: str, reason: ports.EndReason, report: dict[str, float] | None, /
    ) -> object:
        """Learn how a health check has ended, and the load report that it brought."""

    def timer_fired(self, now: int, mark: str, /) -> object:
        """Check what is due, and dispatch what is queued."""


MakeModule = Callable[[int, ports.Terms, int, ports.Outlet], DecisionModule]
"""Makes a decision module that begins at a time (ns), with its terms, a seed and its outlet."""


class CoreRuntime(Protocol):
    """What every part of a dispatcher needs of its core: time, a log, and a turn in the queue of events."""

    @property
    def clock(self) -> Clock:
        """The clock, for timers and wall-clock time."""

    @property
    def log(self) -> Logger:
        """The log of the dispatcher."""

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def submit(self, call: Callable[..., object], /, *args: object) -> object:
        """Make a call at once, or after the one that is being made."""
