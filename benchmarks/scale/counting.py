"""Measures the cost of work: counts that don't depend on the machine's load, processor time and memory."""

import gc
import sys
import threading
import time
import tracemalloc
from contextlib import contextmanager


class OperationCounter:
    """Counts the byte-code instructions that Python executes while active, in all frames below the caller.

    Loops inside C functions (`heapify`, `sorted`) count as one call. The count is the same on every run of
    the same work. It uses `sys.settrace` with `f_trace_opcodes`."""

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
        """Count instructions of calls inside the block."""
        before = sys.gettrace()
        sys.settrace(self._on_call)
        try:
            yield self
        finally:
            sys.settrace(before)


def operations(call, *arguments):
    """Return the number of byte-code instructions that `call(*arguments)` executes."""
    counter = OperationCounter()
    with counter.on():
        call(*arguments)
    return counter.operations


def processor_seconds(call, *arguments):
    """Return the processor time (s) of `call(*arguments)`, without the cyclic garbage collector."""
    gc.collect()
    gc.disable()
    try:
        begun = time.process_time_ns()
        call(*arguments)
        return (time.process_time_ns() - begun) / 1e9
    finally:
        gc.enable()


def bytes_kept(make):
    """Return the result of `make()` and the bytes that it allocated and that are still in use."""
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
    """Return the resident set size of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * 4096


def call_after(seconds, call):
    """Start a daemon timer thread; it is for limits on whole runs, never for measurements."""
    timer = threading.Timer(seconds, call)
    timer.daemon = True
    timer.start()
    return timer
