"""Memory and descriptors of a long day's processes, looked at again and again, and whether they grow.

A process's figures are judged over its life without the first part, in which caches and rings fill: the slope
between any two looks, its median (Theil and Sen), over the whole watched time, against the median figure.
Figures come from /proc of this day's own children."""

import asyncio
import csv
import pathlib
import time
from typing import NamedTuple

import numpy
from scipy import stats

WARM = 0.25  # of a process's watched life that is not judged
# growth over the watched time, against the median, that is more than noise
GROWS = {"memory": 0.1, "descriptors": 0.25}
LEAST = 20  # looks that say something


class Growth(NamedTuple):
    name: str
    figure: str
    looks: int
    middle: float  # bytes, or descriptors
    most: float
    growth: float  # over the judged time, as a part of the median
    band: tuple  # its 95% interval
    grows: bool


def look(pid):
    """(resident bytes, open descriptors) of a process, or None where it is gone."""
    proc = pathlib.Path("/proc") / str(pid)
    try:
        pages = int((proc / "statm").read_text().split()[1])
        return pages * 4096, sum(1 for _ in (proc / "fd").iterdir())
    except (OSError, ValueError, IndexError):
        return None


async def watch(run, path, every=5.0):
    """Writes what the processes of a `lab.day.Run` hold to a CSV file, until it is cancelled."""
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
    """[Growth] of each process life that was looked at often enough; only those whose names begin with
    `names`, where given."""
    lives = {}
    with open(path, newline="") as file:
        for row in csv.DictReader(file):
            if not names or row["name"].startswith(tuple(names)):
                lives.setdefault((row["name"], row["pid"]), []).append(row)
    found = []
    for (name, _), rows in sorted(lives.items()):
        if len(rows) < LEAST:
            continue
        at = numpy.array([float(r["at"]) for r in rows])
        judged = at >= at[0] + WARM * (at[-1] - at[0])
        for figure, bound in GROWS.items():
            values = numpy.array([float(r[figure]) for r in rows])[judged]
            slope, _, low, high = stats.theilslopes(values, at[judged])
            middle = float(numpy.median(values))
            span = float(at[judged][-1] - at[judged][0]) / max(1.0, middle)
            # It grows where even the low end of the interval says so.
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
