"""The types that this package expects of what it is given: a logger, a clock and random numbers."""

from collections.abc import Callable
from typing import Protocol


class Logger(Protocol):
    """A structured logger, as structlog makes them: one line for each event, with its fields."""

    def debug(self, event: str, **fields: object) -> object:
        """Logs what only a developer wants to know."""

    def info(self, event: str, **fields: object) -> object:
        """Logs a normal event."""

    def warning(self, event: str, **fields: object) -> object:
        """Logs a fault that service survives."""

    def error(self, event: str, **fields: object) -> object:
        """Logs a fault that an operator should see to."""


class Timer(Protocol):
    """A call that is scheduled on a clock."""

    def cancel(self) -> object:
        """Cancel the call."""


class Clock(Protocol):
    """Monotonic and wall-clock time in ns, and timers; see `petrelwood.clocks`."""

    def now(self) -> int:
        """The monotonic time."""

    def wall(self) -> int:
        """The time since the epoch. It may be stepped in both directions."""

    def steady_wall(self) -> int:
        """The same without its steps, for spans of time."""

    def at(self, when: int, call: Callable[..., object], *args: object) -> Timer:
        """Calls `call(*args)` at the monotonic time `when`."""


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
