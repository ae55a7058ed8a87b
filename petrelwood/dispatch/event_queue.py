"""Serializes the calls that handle the events of a dispatcher.

Calls that are submitted during a call run after it, in order, so the decision module is never re-entered. A
call that raises does not prevent the calls queued behind it.
"""

from collections import deque
from collections.abc import Callable

from petrelwood.dispatch.interfaces import Clock

# Further calls run in the next iteration of the event loop, so that timers are not starved.
MAX_CALLS_PER_RUN = 10_000

Call = Callable[..., object]
Arguments = tuple[object, ...]
DefectHandler = Callable[[str, Exception, Arguments], object]


class EventQueue:
    """A FIFO queue of calls.

    After adding a call to `waiting`, the caller must call `run` unless the queue is `running`.
    `on_defect(name, error, arguments)` is called for each call that raised, `after_run()` at the end of each
    run.
    """

    __slots__ = ("after_run", "clock", "on_defect", "running", "touched", "waiting")

    def __init__(self, clock: Clock, on_defect: DefectHandler) -> None:
        self.clock = clock
        self.on_defect = on_defect
        self.after_run: Callable[[], object] | None = None
        self.waiting: deque[tuple[Call, Arguments]] = deque()
        self.running = False
        self.touched: set[str] = set()  # ids of the activations that the current call handles

    def run(self) -> None:
        """Run the queued calls, and the calls that these submit, up to `MAX_CALLS_PER_RUN`."""
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
            self.touched.clear()  # an exception raised outside of the queue must not abort them
            if self.after_run is not None:
                self.after_run()
        if waiting:
            self.clock.at(self.clock.now(), self.run)
