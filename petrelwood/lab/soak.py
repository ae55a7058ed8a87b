"""Samples memory and descriptors of a long day's processes, and judges whether they grow.

A process is judged over its lifetime without the first part, in which caches and rings fill: the median slope
between any two samples (Theil-Sen), over the whole sampled time, relative to the median value. Samples come
from /proc of this day's own child processes."""

import asyncio
import csv
import pathlib
import time
from typing import NamedTuple

import numpy
from scipy import stats

WARM_UP_SHARE = 0.25  # share of a process's sampled lifetime that is not judged
# figure -> growth over the sampled time, relative to the median, above which it is more than noise
GROWS = {"memory": 0.1, "descriptors": 0.25}
MIN_SAMPLES = 20  # fewer are not judged


class Growth(NamedTuple):
    """The growth of one figure of one process."""

    name: str
    figure: str
    looks: int
    middle: float  # bytes, or descriptors
    most: float
    growth: float  # over the judged time, relative to the median
    band: tuple  # its 95% interval
    grows: bool


def look(pid):
    """Return (resident bytes, open descriptors) of a process, or None if it has ended."""
    proc = pathlib.Path("/proc") / str(pid)
    try:
        pages = int((proc / "statm").read_text().split()[1])
        return pages * 4096, sum(1 for _ in (proc / "fd").iterdir())
    except (OSError, ValueError, IndexError):
        return None


async def watch(run, path, every=5.0):
    """Write samples of the processes of a `lab.day.Run` to a CSV file until cancelled."""
    with open(path, "w", newline="", buffering=1) as file:
        rows = csv.writer(file)
        rows.writerow(("at", "name", "pid", "memory", "descriptors"))
        while True:
            for process in list(run.processes):
                if process.child is not None and process.child.returncode is None:
                    found = look(process.child.pid)
                    if found:
                        rows.writerow((f"{time.monotonic():.3f}", process.name, process.child.pid, *found))
            await asyncio.sleep(every)


def judge(path, names=None):
    """Return [Growth] of each process incarnation with enough samples.

    If `names` is given, only of processes whose names begin with one of them.
    """
    incarnations = {}
    with open(path, newline="") as file:
        for row in csv.DictReader(file):
            if not names or row["name"].startswith(tuple(names)):
                incarnations.setdefault((row["name"], row["pid"]), []).append(row)
    found = []
    for (name, _), rows in sorted(incarnations.items()):
        if len(rows) < MIN_SAMPLES:
            continue
        at = numpy.array([float(r["at"]) for r in rows])
        judged = at >= at[0] + WARM_UP_SHARE * (at[-1] - at[0])
        for figure, bound in GROWS.items():
            values = numpy.array([float(r[figure]) for r in rows])[judged]
            slope, _, low, high = stats.theilslopes(values, at[judged])
            middle = float(numpy.median(values))
            span = float(at[judged][-1] - at[judged][0]) / max(1.0, middle)
            # It grows if even the low end of the interval is above 0.
            found.append(
                Growth(
                    name,
                    figure,
                    len(values),
                    middle,
                    float(values.max()),
                    slope * span,
                    (low * span, high * span),
                    low * span > 0 and slope * span > bound,
                )
            )
    return found
