"""The plan of a scale run: its sizes, its jobs, and the outcome of a job."""

from typing import NamedTuple


class Plan(NamedTuple):
    """The sizes of a run. `dispatchers`, `workers`, `functions` and `calls_a_second` apply to the largest
    site."""

    runs: int = 3
    dispatchers: int = 400
    workers: int = 400
    functions: int = 2_000
    calls_a_second: float = 800.0
    seconds: int = 6  # virtual time of each site of a row
    small: bool = False


class Job(NamedTuple):
    """One measurement in a process of its own: `function(**arguments)` of `module` returns an `Outcome`."""

    name: str
    module: str
    function: str
    arguments: dict
    memory: int  # bytes that it is expected to need
    processes: int = 1  # including those that it starts itself


class Outcome(NamedTuple):
    """The measurements of a job."""

    figures: tuple = ()  # of figures.Figure, with this run's samples
    events: tuple = ()  # of figures.Event
    comparisons: tuple = ()  # of figures.Comparison


BASE_MEMORY = 120_000_000  # bytes of a Python process with the libraries
PAIR_MEMORY = 3_400  # bytes of a hollow dispatcher for each worker
DISPATCHER_MEMORY = 60_000  # bytes of a hollow dispatcher without workers
CALL_MEMORY = 2_600  # bytes that remain after a hollow call: its client's record and its id


def site_memory(site):
    """Return the bytes that a hollow site is expected to need."""
    pairs = site.dispatchers * site.workers
    calls = round(site.calls_a_second * site.seconds)
    return BASE_MEMORY + site.dispatchers * DISPATCHER_MEMORY + pairs * PAIR_MEMORY + calls * CALL_MEMORY
