"""What a person sees of a day: live progress, and the tables at its end."""

import contextlib
import json
import sys
import time

from rich.console import Console
from rich.table import Table

from petrelwood.audit import rules


@contextlib.contextmanager
def progress(day, quiet):
    """A call that takes what the day tells: counts, or a trouble's words."""
    console, begun = Console(stderr=True, highlight=False), time.monotonic()
    state = {}

    def tell(what):
        if quiet:
            return
        if isinstance(what, str):
            console.print(f"[dim]{time.monotonic() - begun:5.1f} s[/]  [yellow]{what}[/]")
        elif what["at"] - state.get("mqtt open" in what, -9) >= 2:
            state["mqtt open" in what] = what["at"]
            counts = "  ".join(f"{k} {v}" for k, v in sorted(what.items()) if k != "at")
            console.print(
                f"[dim]{time.monotonic() - begun:5.1f} s[/]  day {max(0, what['at']):4.1f} of "
                f"{day.length / 1e9:.0f} s  {counts}"
            )

    if not quiet:
        console.print(
            f"day '{day.name}': {len(day.dispatchers)} dispatchers, {len(day.workers)} workers in "
            f"{len(day.zones)} halls, {day.rate:g} activations a second, {len(day.troubles)} troubles "
            "(all servers but the dispatchers are stand-ins)"
        )
    yield tell


def verdict(case, day, seed, result):
    """Prints both tables; 0 if every rule held and something was seen to be completed."""
    console, findings, ends = (
        Console(highlight=False, width=None if sys.stdout.isatty() else 118),
        rules.judge(case),
        rules.outcomes(case),
    )
    table = Table(
        title=f"The five rules on day '{day.name}'" + (f", seed {seed}" if seed is not None else "")
    )
    for heading in ("rule", "looked at", "broken", "first"):
        table.add_column(heading, overflow="fold")
    for found in findings:
        table.add_row(
            f"{found.rule} {rules.NAMES[found.rule]}",
            str(found.looked),
            f"[red]{len(found.broken)}[/]" if found.broken else "[green]0[/]",
            found.broken[0] if found.broken else "",
        )
    console.print(table)
    columns = ["completed", "rejected", "aborted", "left", "broken", "conflict", "unsigned", "unanswered"]
    table = Table(title="How the tries of activations ended")
    for heading in ("namespace type", *columns, "sends each"):
        table.add_column(heading, justify="right" if heading != "namespace type" else "left")
    for name, counts in ends.items():
        table.add_row(
            name,
            *(str(counts.get(c, 0)) for c in columns),
            f"{counts.get('sends', 0) / max(1, counts.get('sent', 0)):.3f}",
        )
    console.print(table)
    completed = sum(counts.get("completed", 0) for counts in ends.values())
    held = completed > 0 and not any(f.broken for f in findings)
    console.print("[green]every rule held[/]" if held else "[red]NOT every rule held[/]")
    if result:
        with open(result, "w", encoding="utf-8") as file:
            json.dump(
                {
                    "day": day.name,
                    "seed": seed,
                    "held": held,
                    "ends": ends,
                    "rules": {
                        f.rule: {"looked": f.looked, "broken": len(f.broken), "first": f.broken[:10]}
                        for f in findings
                    },
                },
                file,
                indent=1,
            )
    return 0 if held else 1


def growth(path, names):
    """Prints what the watched processes held; 0 if none of those judged has grown."""
    from petrelwood.lab import soak

    console, found = (
        Console(highlight=False, width=None if sys.stdout.isatty() else 118),
        soak.judge(path, names),
    )
    table = Table(title="What dispatchers held, without each one's first quarter")
    for heading in ("process", "what", "looks", "median", "most", "growth over the time", "95%"):
        table.add_column(heading, justify="left" if heading in ("process", "what") else "right")
    for one in found:
        shown = (lambda v: f"{v / 1e6:.1f} MB") if one.figure == "memory" else (lambda v: f"{v:g}")
        table.add_row(
            one.name,
            one.figure,
            str(one.looks),
            shown(one.middle),
            shown(one.most),
            f"[{'red' if one.grows else 'green'}]{one.growth:+.1%}[/]",
            f"{one.band[0]:+.1%} to {one.band[1]:+.1%}",
        )
    console.print(table)
    if not found:
        console.print("[red]too few looks to say anything[/]")
    return 0 if found and not any(one.grows for one in found) else 1
