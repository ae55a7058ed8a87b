"""Checks that behaviour is unchanged, by digests of emulated days: the same code gives the same digests.

`python -m benchmarks.frozen_days` plays days of `petrelwood/lab/days` with two seeds each and compares the
digests of their records with frozen_days.json; the exit code is 1 if one differs. A change that must not
affect behaviour must not change the digests; `--write` stores new ones after an intended change of behaviour.
"""

import hashlib
import json
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

import click

from petrelwood.emulate import script
from petrelwood.emulate.platform import Platform

DAYS = (
    "bad",
    "catalogue",
    "drain-morning",
    "mqtt-morning",
    "seasons-rough",
    "storms",
    "storm-drain",
    "upgrades",
)
SEEDS = (1, 2)
FROZEN = Path(__file__).with_suffix(".json")
PROCESSES = 2


def digest(day_and_seed: tuple[str, int]) -> str:
    """Return the SHA-256 of the records of one day, played in virtual time."""
    name, seed = day_and_seed
    platform = Platform(script.read(script.find(name)), seed).run()
    return hashlib.sha256(json.dumps(platform.records).encode()).hexdigest()


def play() -> dict[str, str]:
    """Play all days; return the digest of each day and seed."""
    days = [(name, seed) for name in DAYS for seed in SEEDS]
    with ProcessPoolExecutor(PROCESSES) as pool:
        digests = list(pool.map(digest, days))
    return {f"{name}, seed {seed}": each for (name, seed), each in zip(days, digests, strict=True)}


@click.command()
@click.option("--write", is_flag=True, help="freezes the digests of this text")
def main(write: bool) -> None:
    """Play the days and compare their digests with the frozen ones."""
    played = play()
    if write:
        FROZEN.write_text(json.dumps(played, indent=1) + "\n")
        return
    frozen = json.loads(FROZEN.read_text())
    for day, each in played.items():
        click.echo(f"{'same' if frozen.get(day) == each else 'DIFFERS':8s}{day}")
    sys.exit(played != frozen)


if __name__ == "__main__":
    main()
