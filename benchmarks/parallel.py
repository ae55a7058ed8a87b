"""Measures the speedup of eight concurrent emulator runs over one, and that of a loop with little memory.

    python benchmarks/parallel.py [--runs 8] [--rounds 3]

The loop shows the speedup that this machine allows. Each round measures one run alone and all runs at once,
first of the loop, then of a day in the emulator, so that both see the same machine load. Prints the speedup
of each round and the medians."""

import argparse
import multiprocessing
import pathlib
import statistics
import tempfile
import time

from petrelwood.emulate import script
from petrelwood.lab import experiment


def loop(_):
    """Run a plain loop on a table that fits the caches."""
    table = {}
    for number in range(15_000_000):
        table[number & 4095] = number


def emulated(seed):
    """Run one day in the emulator."""
    with tempfile.TemporaryDirectory() as folder:
        run = experiment.Run(str(script.find("catalogue")), "petrelwood", seed, (("rate", 240.0),))
        experiment._child(run, pathlib.Path(folder) / "run.json")


def elapsed(work, seeds):
    """Return the seconds that `work` takes with one process for each seed."""
    begun = time.monotonic()
    processes = [multiprocessing.Process(target=work, args=(seed,)) for seed in seeds]
    for process in processes:
        process.start()
    for process in processes:
        process.join()
    return time.monotonic() - begun


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--runs", type=int, default=8)
    parser.add_argument("--rounds", type=int, default=3)
    asked = parser.parse_args()
    ratios = {loop: [], emulated: []}
    for number in range(asked.rounds):
        for work, seen in ratios.items():
            alone = elapsed(work, [1])  # the same seed as in each of the concurrent runs
            together = elapsed(work, [1] * asked.runs)
            seen.append(asked.runs * alone / together)
            print(
                f"round {number + 1} {work.__name__:9s} one {alone:6.2f} s, {asked.runs} at once "
                f"{together:6.2f} s: "
                f"{seen[-1]:.2f} times one",
                flush=True,
            )
    plain, days = (statistics.median(seen) for seen in ratios.values())
    print(
        f"median: loop {plain:.2f}, emulator {days:.2f} times one; {days / plain:.2f} of what the loop gets"
    )


if __name__ == "__main__":
    main()
