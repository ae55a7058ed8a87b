"""Interfaces of the objects that this package is given: a logger, a clock, random numbers, and the core.

A part of the dispatcher that needs more of the core defines a protocol of its own next to its class.
"""

from collections.abc import Callable, Sequence
from typing import Protocol

from petrelwood import ports


class Logger(Protocol):
    """A structured logger like those of structlog: one line per event, with its fields."""

    def debug(self, event: str, **fields: object) -> object:
        """Log a detail that only developers need."""

    def info(self, event: str, **fields: object) -> object:
        """Log a normal event."""

    def warning(self, event: str, **fields: object) -> object:
        """Log a fault that does not interrupt service."""

    def error(self, event: str, **fields: object) -> object:
        """Log a fault that needs an operator's attention."""


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
        """Return the time since the epoch without steps, for durations."""

    def at(self, when: int, call: Callable[..., object], *args: object) -> Timer:
        """Call `call(*args)` at the monotonic time `when`."""


RandomFraction = Callable[[], float]
"""Draws a number in [0, 1)."""


class Rule(Protocol):
    """The known properties of a function: from `settings.functions.FunctionRule` or from a request."""

    @property
    def lanes(self) -> int:
        """Activations that one copy runs concurrently."""

    @property
    def load_time(self) -> int:
        """The usual load time in ns; 0: not known."""

    @property
    def work(self) -> int:
        """The usual computing time of an activation in ns; 0: not known."""


class DecisionModule(Protocol):
    """The event handlers of the decision module; see `decide.scheduling.scheduler.Scheduler`.

    The first argument of each is the monotonic time in ns. The module acts through its `ports.Outlet`, only
    within these calls.
    """

    def endpoints_changed(
        self, now: int, entries: Sequence[ports.EndpointEntry], is_whole: bool, /
    ) -> object:
        """Handle a change of the endpoint list, or the whole list."""

    def endpoint_list_lost(self, now: int, /) -> object:
        """Handle the loss of the endpoint list: no further changes will be received."""

    def activation_arrived(self, now: int, arrival: ports.Arrival, /) -> object:
        """Accept an activation: it is sent, queued or rejected."""

    def attempt_ended(self, now: int, end: ports.AttemptEnd, /) -> object:
        """Handle the end of an attempt."""

    def client_departed(self, now: int, activation_id: str, /) -> object:
        """Forget an activation whose client has disconnected, or that ended without the module."""

    def load_order_ended(
        self, now: int, worker_id: str, function: str, reason: ports.EndReason, copies: int, /
    ) -> object:
        """Handle the end of a load order; `copies`: the copies of the function that the worker has now."""

    def is_attempt_outdated(self, now: int, activation_id: str, attempt: int, worker_id: str, /) -> bool:
        """Return whether an attempt that is queued for its worker may no longer be written."""

    def may_attempt_leave(self, now: int, activation_id: str, attempt: int, worker_id: str, /) -> bool:
        """Return whether an attempt that was queued for its worker may be written now."""

    def may_load_order_leave(self, now: int, given_at: int, /) -> bool:
        """Return whether a queued load order that was issued at `given_at` may be sent now."""

    def load_order_withdrawn(self, now: int, given_at: int, /) -> object:
        """Note that a load order that was issued at `given_at` was never sent."""

    def load_orders_restored(self, now: int, orders: int, /) -> object:
        """Count the `orders` load orders that an earlier incarnation issued in the last period."""

    def prefetch(self, now: int, function: str, slots: int, load_time: int, /) -> str | None:
        """Order one copy ahead of a call; return the worker that gets the load order, or None."""

    def health_check_ended(
        self, now: int, worker_id: str, reason: ports.EndReason, report: dict[str, float] | None, /
    ) -> object:
        """Handle the end of a health check, with the load report if it returned one."""

    def timer_fired(self, now: int, mark: str, /) -> object:
        """Handle what is due, and dispatch queued activations."""


MakeModule = Callable[[int, ports.Terms, int, ports.Outlet], DecisionModule]
"""Creates a decision module from its start time (ns), its terms, a seed and its outlet."""


class CoreRuntime(Protocol):
    """The parts of the core that every other part uses: time, a log, and the event queue."""

    @property
    def clock(self) -> Clock:
        """The clock, for timers and wall-clock time."""

    @property
    def log(self) -> Logger:
        """The log of the dispatcher."""

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def submit(self, call: Callable[..., object], /, *args: object) -> object:
        """Make a call at once, or after the call in progress."""
