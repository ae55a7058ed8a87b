"""Writes the results of a scale run: `scale.json`, `scale.md` and `scale.png`."""

import datetime
import pathlib
import platform
import subprocess
from statistics import median

import orjson

from benchmarks.scale import budget, figures, runner

SLOPE_COLUMNS = (
    "quantity",
    "unit",
    "slope",
    "constant",
    "spread of the slope",
    "range",
    "off the line",
    "at the size",
    "beyond the range",
    "hollow",
)
DRAWN_FROM = 1.2  # smallest ratio of the largest to the smallest value of a figure that is drawn
ROOT = pathlib.Path(__file__).parents[2]


def write(out, plan, finished, took):
    """Write all three files to the folder `out`. `took`: duration of the run in seconds."""
    out.mkdir(parents=True, exist_ok=True)
    found = figures.merged(f for outcome in finished.outcomes.values() for f in outcome.figures)
    found.sort(key=lambda figure: figure.name)
    events = [event for outcome in finished.outcomes.values() for event in outcome.events]
    comparisons = [one for outcome in finished.outcomes.values() for one in outcome.comparisons]
    head, budgets = heading(plan, finished, took), budget.rows(found, comparisons)
    (out / "scale.json").write_bytes(
        orjson.dumps(
            {
                **head,
                "figures": [_figure(one) for one in found],
                "budgets": [{**row._asdict(), "ratio": row.ratio} for row in budgets],
                "events": [event._asdict() for event in events],
                "comparisons": [{**c._asdict(), "difference": c.difference} for c in comparisons],
            },
            option=orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS,
        )
    )
    (out / "scale.md").write_text(markdown(head, found, events, comparisons, budgets), encoding="utf-8")
    chart(out / "scale.png", found, bool(finished.stopped))


def heading(plan, finished, took):
    """Return a description of the run and how it ended."""
    return {
        "complete": not (finished.stopped or finished.failed or finished.not_run),
        "stopped": finished.stopped,
        "failed": finished.failed,
        "not run": finished.not_run,
        "plan": plan._asdict(),
        "seconds": round(took, 1),
        "date": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        "commit": _commit(),
        "python": platform.python_version(),
        "processors": runner.multiprocessing.cpu_count(),
        "memory": runner.machine_memory(),
    }


def _commit():
    asked = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=ROOT, capture_output=True, text=True, check=False
    )
    return asked.stdout.strip()


def _figure(one):
    line = one.line()
    return {
        "name": one.name,
        "unit": one.unit,
        "against": one.against,
        "hollow": one.hollow,
        "command": one.command,
        "samples": [sample._asdict() for sample in one.samples],
        "line": line._asdict(),
        "targets": [
            {"name": t.name, "x": t.x, "y": line.at(t.x), "extrapolation": line.extrapolation(t.x)}
            for t in one.targets
        ],
    }


def markdown(head, found, events, comparisons, budgets):
    """Return the report with all tables as Markdown."""
    lines = ["# Scale run", ""]
    if head["complete"]:
        lines += [f"Complete: commit {head['commit']}, {head['date']}, {head['seconds']:.0f} s."]
    else:
        lines += [
            f"**PARTIAL**: {head['stopped'] or 'jobs failed'}; commit {head['commit']}, {head['date']}."
        ]
    lines += [f"- failed: {name}: {why}" for name, why in head["failed"].items()]
    lines += [f"- not run: {name}" for name in head["not run"]]
    if budgets:
        lines += ["", *budget.markdown(budgets)]
    notes = list(dict.fromkeys(one.hollow for one in (*found, *events)))
    for against in sorted({one.against for one in found if len({s.x for s in one.samples}) > 1}):
        lines += ["", *_slopes([one for one in found if one.against == against], against, notes)]
    singles = [one for one in found if len({s.x for s in one.samples}) == 1]
    if singles:
        lines += ["", *_singles(singles, notes)]
    if events:
        lines += ["", *_events(events, notes)]
    if comparisons:
        lines += ["", *_comparisons(comparisons)]
    lines += ["", "## What is hollow", "", *(f"{n + 1}. {note}." for n, note in enumerate(notes)), ""]
    return "\n".join(lines)


def _slopes(found, against, notes):
    rows = [
        f"## Against {against}",
        "",
        "| " + " | ".join(SLOPE_COLUMNS) + " |",
        "|" + " --- |" * len(SLOPE_COLUMNS),
    ]
    for one in found:
        if len({s.x for s in one.samples}) == 1:
            continue
        line = one.line()
        targets = "; ".join(f"{target.name}: {figures.number(line.at(target.x))}" for target in one.targets)
        beyond = "; ".join(f"x {line.extrapolation(target.x):.3g}" for target in one.targets)
        spread = f"{line.spread:.0%}" if line.agreed else "signs differ"
        rows.append(
            f"| {one.name} | {one.unit} | {line.slope:.3g} | {figures.number(line.constant)} | {spread} "
            f"| {line.low:g} to {line.high:g} | {line.error:.0%} | {targets} | {beyond} "
            f"| {_note(one, notes)} |"
        )
    return rows


def _note(one, notes):
    """Return the reference to the note that describes the simulated parts of a figure or event."""
    return f"({notes.index(one.hollow) + 1})"


def _singles(found, notes):
    rows = [
        "## The largest site",
        "",
        "| quantity | unit | median | least to most |",
        "| --- | --- | --- | --- |",
    ]
    for one in found:
        values = [sample.y for sample in one.samples]
        rows.append(
            f"| {one.name} | {one.unit} | {figures.number(median(values))} "
            f"| {figures.number(min(values))} to {figures.number(max(values))} | {_note(one, notes)} |"
        )
    return rows


def _events(events, notes):
    names = list(dict.fromkeys(event.name for event in events))
    rows = [
        "## Events",
        "",
        "| event | quantity | median | least to most | hollow |",
        "| --- | --- | --- | --- | --- |",
    ]
    for name in names:
        mine = [event.values for event in events if event.name == name]
        note = _note(next(event for event in events if event.name == name), notes)
        for quantity in dict.fromkeys(q for values in mine for q in values):
            values = [v[quantity] for v in mine if quantity in v]
            rows.append(
                f"| {name} | {quantity} | {figures.number(median(values))} "
                f"| {figures.number(min(values))} to {figures.number(max(values))} | {note} |"
            )
    return rows


def _comparisons(comparisons):
    rows = [
        "## A hollow dispatcher beside a real one",
        "",
        "| quantity | unit | hollow | real | difference | tolerance | |",
        "| --- | --- | --- | --- | --- | --- | --- |",
    ]
    for name, unit in dict.fromkeys((one.name, one.unit) for one in comparisons):
        mine = [one for one in comparisons if (one.name, one.unit) == (name, unit)]
        hollow, real = median(one.hollow for one in mine), median(one.real for one in mine)
        off, allowed = median(one.difference for one in mine), mine[0].tolerance
        verdict = "no claim" if allowed is None else "within" if abs(off) <= allowed else "OUTSIDE"
        rows.append(
            f"| {name} | {mine[0].unit} | {figures.number(hollow)} | {figures.number(real)} | {off:+.0%} "
            f"| {'' if allowed is None else f'{allowed:.0%}'} | {verdict} |"
        )
    return rows


def _grows(one):
    values = [sample.y for sample in one.samples]
    return (
        len({sample.x for sample in one.samples}) > 1
        and bool(one.targets)
        and one.line().agreed
        and max(values) > DRAWN_FROM * max(min(values), 0.0)
    )


def chart(path, found, partial):
    """Draw a small plot for each figure that grows with the fleet."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    drawn = [one for one in found if _grows(one)]
    columns = 4
    rows = max(1, -(-len(drawn) // columns))
    page, axes = pyplot.subplots(rows, columns, figsize=(4.2 * columns, 2.6 * rows), squeeze=False)
    for axis in axes.flat[len(drawn) :]:
        axis.axis("off")
    for axis, one in zip(axes.flat, drawn, strict=False):
        line = one.line()
        axis.plot([s.x for s in one.samples], [s.y for s in one.samples], "o", markersize=3)
        axis.plot([line.low, line.high], [line.at(line.low), line.at(line.high)], "-", linewidth=1)
        axis.set_title(one.name, fontsize=7, wrap=True)
        axis.set_xlabel(one.against, fontsize=6)
        axis.set_ylabel(one.unit, fontsize=6)
        axis.tick_params(labelsize=6)
        axis.set_ylim(bottom=0)
    if partial:
        page.suptitle("PARTIAL", color="red")
    page.tight_layout()
    page.savefig(path, dpi=70)
    pyplot.close(page)
