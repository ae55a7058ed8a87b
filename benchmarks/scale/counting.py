"""What a piece of work costs, counted in ways that a busy machine does not change, beside processor time."""

import gc
import sys
import threading
import time
import tracemalloc
from contextlib import contextmanager


class OperationCounter:
    """Counts the byte-code instructions that Python executes while it is on, in all frames below the caller.

    Loops inside C functions (`heapify`, `sorted`) count as one call. The count is the same on every run of
    the same work. Source: `sys.settrace` with `f_trace_opcodes`."""

    def __init__(self):
        self.operations = 0

    def _on_call(self, frame, event, argument):
        frame.f_trace_opcodes = True
        frame.f_trace_lines = False
        return self._on_event

    def _on_event(self, frame, event, argument):
        if event == "opcode":
            self.operations += 1
        return self._on_event

    @contextmanager
    def on(self):
        """Counts what is called inside the block."""
        before = sys.gettrace()
        sys.settrace(self._on_call)
        try:
            yield self
        finally:
            sys.settrace(before)


def operations(call, *arguments):
    """How many byte-code instructions `call(*arguments)` executes."""
    counter = OperationCounter()
    with counter.on():
        call(*arguments)
    return counter.operations


def processor_seconds(call, *arguments):
    """The processor time that `call(*arguments)` takes, in seconds, without the cyclic collector."""
    gc.collect()
    gc.disable()
    try:
        begun = time.process_time_ns()
        call(*arguments)
        return (time.process_time_ns() - begun) / 1e9
    finally:
        gc.enable()


def bytes_kept(make):
    """(what `make()` gives, the bytes that it has added to the heap and that are still held)."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        return made, tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


def resident_bytes():
    """Bytes of this process that are in memory."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096


def call_after(seconds, call):
    """A timer thread that ends with the process; for bounds on whole runs, never for measurements."""
    timer = threading.Timer(seconds, call)
    timer.daemon = True
    timer.start()
    return timer
