"""Runs what happens to a dispatcher one call after the other.

What is submitted during a call runs after it, in order: the decision module is never entered twice. A call
that fails does not stop those behind it.
"""

from collections import deque
from collections.abc import Callable

from petrelwood.dispatch.interfaces import Clock

MAX_CALLS_PER_RUN = 10_000  # that follow from each other, before the clock is let go on

Call = Callable[..., object]
Arguments = tuple[object, ...]
DefectHandler = Callable[[str, Exception, Arguments], object]


class EventQueue:
    """Calls that wait for their turn.

    Whoever adds one to `waiting` calls `run` unless it is `running`. `on_defect(name, error, arguments)` is
    called for each call that raised, `after_run()` when nothing is left to do for now.
    """

    __slots__ = ("after_run", "clock", "on_defect", "running", "touched", "waiting")

    def __init__(self, clock: Clock, on_defect: DefectHandler) -> None:
        self.clock = clock
        self.on_defect = on_defect
        self.after_run: Callable[[], object] | None = None
        self.waiting: deque[tuple[Call, Arguments]] = deque()
        self.running = False
        self.touched: set[str] = set()  # ids of the activations that the present call has to do with

    def run(self) -> None:
        """Make the calls that wait, and those that follow from them."""
        self.running = True
        waiting = self.waiting
        try:
            for _ in range(MAX_CALLS_PER_RUN):
                if not waiting:
                    break
                call, arguments = waiting.popleft()
                self.touched.clear()
                try:
                    call(*arguments)
                except Exception as fault:
                    self.on_defect(getattr(call, "__name__", "call"), fault, arguments)
        finally:
            self.running = False
            self.touched.clear()  # a defect outside of the queue is none of theirs
            if self.after_run is not None:
                self.after_run()
        if waiting:
            self.clock.at(self.clock.now(), self.run)
