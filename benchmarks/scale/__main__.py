"""`python -m benchmarks.scale`: runs the scale tests and writes the results as JSON, a table and a chart."""

import importlib
import pathlib
import signal
import sys
import time

import click

from benchmarks.scale import report
from benchmarks.scale.plan import Plan
from benchmarks.scale.runner import MOST_SECONDS, Runner, TooLarge, check_fits

# Modules of this package, each with a function `jobs(plan)`.
SCENARIOS = ("parts", "rows", "events", "real", "configuration", "larger_fleet")
OUT = pathlib.Path(__file__).parent / "results"
STATUS_TOO_LARGE, STATUS_PARTIAL, STATUS_FAILED = 2, 3, 1


@click.command()
@click.option(
    "--out", type=click.Path(file_okay=False, path_type=pathlib.Path), default=OUT, show_default=True
)
@click.option("--only", multiple=True, type=click.Choice(SCENARIOS), help="these scenarios instead of all")
@click.option("--jobs", type=click.IntRange(1), default=2, show_default=True, help="processes at once")
@click.option("--runs", type=click.IntRange(1), default=3, show_default=True)
@click.option("--seconds", type=click.IntRange(1, MOST_SECONDS), default=MOST_SECONDS, show_default=True)
@click.option("--dispatchers", type=click.IntRange(1), default=Plan().dispatchers, show_default=True)
@click.option("--workers", type=click.IntRange(6), default=Plan().workers, show_default=True)
@click.option("--functions", type=click.IntRange(1), default=Plan().functions, show_default=True)
@click.option("--calls", type=click.FloatRange(1.0), default=Plan().calls_a_second, show_default=True)
@click.option("--small", is_flag=True, help="a few seconds, to see that it works")
def main(out, only, jobs, runs, seconds, dispatchers, workers, functions, calls, small):
    """Measures what each role costs against the size of the fleet. DISPATCHERS, WORKERS, FUNCTIONS and CALLS
    (a second) are those of the largest hollow site."""
    plan = Plan(runs, dispatchers, workers, functions, calls, small=small)
    made = [
        job
        for name in only or SCENARIOS
        for job in importlib.import_module(f"benchmarks.scale.{name}").jobs(plan)
    ]
    try:
        check_fits(made, jobs)
    except TooLarge as fault:
        click.echo(f"Error: {fault}", err=True)
        sys.exit(STATUS_TOO_LARGE)
    began = time.monotonic()
    runner = Runner(made, jobs, seconds, lambda line: _progress(line, began))
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda got, frame: runner.stop(f"interrupted by {signal.Signals(got).name}"))
    finished = runner.run()
    report.write(out, plan, finished, time.monotonic() - began)
    click.echo(f"{len(finished.outcomes)} of {len(made)} jobs done; results in {out}")
    if finished.stopped:
        click.echo(f"PARTIAL: {finished.stopped}", err=True)
        sys.exit(STATUS_PARTIAL)
    if finished.failed:
        sys.exit(STATUS_FAILED)


def _progress(line, began):
    click.echo(f"{time.monotonic() - began:5.0f} s {line}", err=True)


if __name__ == "__main__":
    main()
