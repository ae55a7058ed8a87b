"""Gives a process a part of one core, by busy processes beside it on that core."""

import contextlib
import os
import subprocess
import sys

BUSY = "while True: pass"


@contextlib.contextmanager
def share_core(pid, others):
    """Run a process on one core beside `others` busy processes; the caller and its children keep off it."""
    cores = os.sched_getaffinity(0)
    core = {max(cores)}
    busy = []
    try:
        if len(cores) > 1:
            os.sched_setaffinity(0, cores - core)
        os.sched_setaffinity(pid, core)
        for _ in range(others):
            busy.append(subprocess.Popen([sys.executable, "-c", BUSY]))
            os.sched_setaffinity(busy[-1].pid, core)
        yield
    finally:
        for process in busy:
            process.kill()
            process.wait()
        os.sched_setaffinity(0, cores)
