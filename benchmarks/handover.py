"""Measures upgrades and kills in a played day: their number, latency around them and gaps in accepting calls.

    .venv/bin/petrelwood day upgrades --folder runs/upgrades .venv/bin/python benchmarks/handover.py
    runs/upgrades

Reads the stand-ins' records: `ask` and `answer` of the portal, and `upgraded`, `old ended` and `killed` of
the operator."""

import itertools
import pathlib
import statistics
import sys

from petrelwood.audit import rules

SECOND = 1_000_000_000
NEAR = SECOND  # ns; calls at most this long before or after an upgrade count as near it


def percentile(values, fraction):
    """Return a quantile in ms of values in ns."""
    values = sorted(values)
    return values[min(len(values) - 1, int(len(values) * fraction))] / 1e6 if values else float("nan")


def main():
    records = rules.load(pathlib.Path(sys.argv[1]) / "records")
    begun, ended, killed = ([r for r in records if r["t"] == t] for t in ("upgraded", "old ended", "killed"))
    print(
        f"upgrades {len(begun)}, of them proven {sum(r['code'] == 0 for r in ended)}, "
        f"tried in vain {sum(r['t'] == 'not upgraded' for r in records)}; kills {len(killed)}"
    )
    if begun:
        took = [(r["at"] - r["begun"]) / 1e9 for r in begun]
        print(
            f"from its start to its first accept: median {statistics.median(took):.2f} s, "
            f"most {max(took):.2f} s"
        )
    asks = {
        (r["key"], r["stamp"], r["to"], r["try"]): r
        for r in records
        if r["t"] == "ask" and r.get("who") == "portal"
    }
    upgraded = {r["name"] for r in begun}
    near, far, answered = [], [], {}
    for record in records:
        if (
            record["t"] != "answer"
            or record.get("who") != "portal"
            or record["to"] not in upgraded
            or record["status"] != 200
        ):
            continue
        ask = asks.get((record["key"], record["stamp"], record["to"], record["try"]))
        if ask is None:
            continue
        is_near = any(abs(ask["at"] - r["at"]) < NEAR for r in begun if r["name"] == record["to"])
        (near if is_near else far).append(record["took"])
        answered.setdefault(record["to"], []).append(ask["at"])
    for name, values in (("within 1 s of an upgrade", near), ("else", far)):
        print(
            f"webhooks {name}: {len(values)} completed, p50 {percentile(values, 0.5):.1f} ms, "
            f"p99 {percentile(values, 0.99):.1f} ms"
        )
    for name, times in answered.items():
        times.sort()
        upgrade_times = [r["at"] for r in begun if r["name"] == name]
        gaps = [
            max((b - a for a, b in itertools.pairwise(times) if a < m + NEAR and b > m - NEAR), default=0)
            / 1e6
            for m in upgrade_times
        ]
        all_gaps = sorted(b - a for a, b in itertools.pairwise(times))
        print(
            f"{name}: longest time between two asks that were completed, around an upgrade: "
            f"median {statistics.median(gaps):.0f} ms, most {max(gaps):.0f} ms; "
            f"anywhere p99 {percentile(all_gaps, 0.99):.0f} ms"
        )


if __name__ == "__main__":
    main()
