"""Console output of a played day: live progress, and the tables of results."""

import contextlib
import json
import sys
import time

from rich.console import Console
from rich.table import Table

from petrelwood.audit import rules


@contextlib.contextmanager
def progress(day, quiet):
    """Yield a function that prints an update of the day: its counts, or the text of a trouble."""
    console, started = Console(stderr=True, highlight=False), time.monotonic()
    state = {}

    def print_update(update):
        if quiet:
            return
        if isinstance(update, str):
            console.print(f"[dim]{time.monotonic() - started:5.1f} s[/]  [yellow]{update}[/]")
        elif update["at"] - state.get("mqtt open" in update, -9) >= 2:
            state["mqtt open" in update] = update["at"]
            counts = "  ".join(f"{k} {v}" for k, v in sorted(update.items()) if k != "at")
            console.print(
                f"[dim]{time.monotonic() - started:5.1f} s[/]  day {max(0, update['at']):4.1f} of "
                f"{day.length / 1e9:.0f} s  {counts}"
            )

    if not quiet:
        console.print(
            f"day '{day.name}': {len(day.dispatchers)} dispatchers, {len(day.workers)} workers in "
            f"{len(day.halls)} halls, {day.rate:g} activations a second, {len(day.troubles)} troubles "
            "(all servers but the dispatchers are stand-ins)"
        )
    yield print_update


def print_verdict(case, day, seed, result):
    """Print both tables; return 0 if every rule held and at least one activation was completed, else 1."""
    console, findings, outcome_counts = (
        Console(highlight=False, width=None if sys.stdout.isatty() else 118),
        rules.judge(case),
        rules.outcomes(case),
    )
    table = Table(
        title=f"The five rules on day '{day.name}'" + (f", seed {seed}" if seed is not None else "")
    )
    for heading in ("rule", "looked at", "broken", "first"):
        table.add_column(heading, overflow="fold")
    for finding in findings:
        table.add_row(
            f"{finding.rule} {rules.NAMES[finding.rule]}",
            str(finding.looked),
            f"[red]{len(finding.broken)}[/]" if finding.broken else "[green]0[/]",
            finding.broken[0] if finding.broken else "",
        )
    console.print(table)
    columns = ["completed", "rejected", "aborted", "left", "broken", "conflict", "unsigned", "unanswered"]
    table = Table(title="How the tries of activations ended")
    for heading in ("namespace type", *columns, "sends each"):
        table.add_column(heading, justify="right" if heading != "namespace type" else "left")
    for name, counts in outcome_counts.items():
        table.add_row(
            name,
            *(str(counts.get(c, 0)) for c in columns),
            f"{counts.get('sends', 0) / max(1, counts.get('sent', 0)):.3f}",
        )
    console.print(table)
    completed = sum(counts.get("completed", 0) for counts in outcome_counts.values())
    passed = completed > 0 and not any(f.broken for f in findings)
    console.print("[green]every rule held[/]" if passed else "[red]NOT every rule held[/]")
    if result:
        with open(result, "w", encoding="utf-8") as file:
            json.dump(
                {
                    "day": day.name,
                    "seed": seed,
                    "held": passed,
                    "ends": outcome_counts,
                    "rules": {
                        f.rule: {"looked": f.looked, "broken": len(f.broken), "first": f.broken[:10]}
                        for f in findings
                    },
                },
                file,
                indent=1,
            )
    return 0 if passed else 1


def print_growth(path, names):
    """Print the resource use of the watched processes; return 0 if none of the judged ones grew, else 1."""
    from petrelwood.lab import soak

    console, trends = (
        Console(highlight=False, width=None if sys.stdout.isatty() else 118),
        soak.judge(path, names),
    )
    table = Table(title="What dispatchers held, without each one's first quarter")
    for heading in ("process", "what", "looks", "median", "most", "growth over the time", "95%"):
        table.add_column(heading, justify="left" if heading in ("process", "what") else "right")
    for trend in trends:
        format_value = (lambda v: f"{v / 1e6:.1f} MB") if trend.figure == "memory" else (lambda v: f"{v:g}")
        table.add_row(
            trend.name,
            trend.figure,
            str(trend.looks),
            format_value(trend.middle),
            format_value(trend.most),
            f"[{'red' if trend.grows else 'green'}]{trend.growth:+.1%}[/]",
            f"{trend.band[0]:+.1%} to {trend.band[1]:+.1%}",
        )
    console.print(table)
    if not trends:
        console.print("[red]too few looks to say anything[/]")
    return 0 if trends and not any(trend.grows for trend in trends) else 1
