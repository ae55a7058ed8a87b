"""Reports of experiments: one self-contained HTML file with tables and charts."""

import base64
import collections
import html
import io
import json
import pathlib

import matplotlib
import matplotlib.pyplot as plt

from petrelwood.emulate import script
from petrelwood.lab import experiment as lab
from petrelwood.settings import document
from petrelwood.settings.errors import SettingsError

matplotlib.use("Agg")
ENDS = (
    ("in time", "#3a7d44"),
    ("late", "#b5c99a"),
    ("rejected", "#e9c46a"),
    ("aborted", "#e76f51"),
    ("left", "#9c89b8"),
    ("broken", "#444444"),
)
HEAD = """<!doctype html><html lang="en"><meta charset="utf-8"><title>%s</title>
<style>body{font:15px/1.45 sans-serif;max-width:62em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}
td,th{padding:.25em .7em;border-bottom:1px solid #ddd;text-align:right}
td:first-child,th:first-child,td:nth-child(2),th:nth-child(2){text-align:left}img{max-width:100%%}pre{background:#f5f5f5;
padding:.8em;overflow:auto}</style><h1>%s</h1>"""


def _picture(figure, alt):
    data = io.BytesIO()
    figure.savefig(data, format="png", dpi=72, bbox_inches="tight")
    plt.close(figure)
    return (
        f'<p><img alt="{html.escape(alt)}" '
        f'src="data:image/png;base64,{base64.b64encode(data.getvalue()).decode()}"></p>'
    )


def _table(heads, rows):
    cells = "".join(f"<th>{html.escape(h)}</th>" for h in heads)
    body = "".join("<tr>" + "".join(f"<td>{html.escape(str(c))}</td>" for c in row) + "</tr>" for row in rows)
    return f"<table><tr>{cells}</tr>{body}</table>"


def _bars(rows, figure):
    """Draw a figure by setting and policy, with its interval."""
    settings, names = sorted({lab.setting(r) for r in rows}), list(dict.fromkeys(r["policy"] for r in rows))
    chart, axes = plt.subplots(figsize=(9, 0.5 + 0.28 * len(settings) * len(names)))
    spots, labels = [], []
    for i, where in enumerate(settings):
        for j, policy in enumerate(names):
            values = [r[figure] for r in rows if lab.setting(r) == where and r["policy"] == policy]
            if not values:
                continue
            mean, low, high = lab.interval(values)
            y = i * (len(names) + 1) + j
            axes.barh(
                y,
                mean,
                color=plt.cm.tab10(j),
                xerr=[[max(0, mean - low)], [max(0, high - mean)]],
                ecolor="#222",
            )
            spots.append(y)
            labels.append(f"{where}  {policy}")
    axes.set_yticks(spots, labels, fontsize=8)
    axes.invert_yaxis()
    axes.set_xlabel(f"{figure} (mean over seeds, 95% interval)")
    return chart, f"{figure} by day and policy"


def _course(row, day):
    """Draw how requests ended over time, with the faults marked; below, copies and loads."""
    course = json.loads(row["course"])
    chart, (top, low) = plt.subplots(2, 1, figsize=(9, 5), sharex=True, height_ratios=(3, 1.3))
    seconds, floor = range(len(course)), [0] * len(course)
    for name, color in ENDS:
        values = [c.get(name, 0) for c in course]
        top.bar(seconds, values, bottom=floor, width=1.0, label=name, color=color)
        floor = [a + b for a, b in zip(floor, values, strict=True)]
    for number, trouble in enumerate(day.troubles):
        begin = trouble.at / 1e9
        top.axvspan(begin, begin + max(0.15, trouble.span / 1e9), color="#cc3333", alpha=0.08)
        top.text(begin, max(floor) * (1.02 + 0.06 * (number % 6)), trouble.kind, fontsize=7, color="#992222")
    top.set_ylabel("wishes begun, by end")
    top.legend(fontsize=7, ncols=6, loc="upper right", bbox_to_anchor=(1, -0.02))
    low.plot(seconds, [c.get("copies", 0) for c in course], label="copies")
    loads = [c.get("loads", 0) for c in course]
    low.plot(
        seconds, [max(0, b - a) for a, b in zip([0] + loads, loads, strict=False)], label="loads a second"
    )
    low.legend(fontsize=7)
    low.set_xlabel("second of the day")
    return chart, "time course"


def _times(rows):
    chart, axes = plt.subplots(figsize=(9, 3.6))
    for policy in dict.fromkeys(r["policy"] for r in rows):
        times = lab.merged_times([r for r in rows if r["policy"] == policy])
        parts = [i / 2 for i in range(2, 199)] + [99.5, 99.9]
        axes.plot([times.get_value_at_percentile(p) / 1000 for p in parts], parts, label=policy)
    axes.set_xscale("log")
    axes.set_xlabel("time to a completed answer, s")
    axes.set_ylabel("percent")
    axes.legend(fontsize=8)
    axes.grid(alpha=0.3)
    return chart, "times of completed answers"


def _stages(rows):
    """Draw the time of completed answers by stage: the median, the 90th and the 99th percentile."""
    names = list(dict.fromkeys(r["policy"] for r in rows))
    chart, axes = plt.subplots(figsize=(9, 1.0 + 0.34 * len(names) * 5))
    spots, labels = [], []
    for j, policy in enumerate(names):
        for i, (stage, times) in enumerate(
            lab.merged_stages([r for r in rows if r["policy"] == policy]).items()
        ):
            y, left = i * (len(names) + 1) + j, 0
            for part, shade in ((50, 1.0), (90, 0.55), (99, 0.25)):
                value = times.get_value_at_percentile(part) / 1000 if times.get_total_count() else 0
                axes.barh(y, value - left, left=left, color=plt.cm.tab10(j), alpha=shade)
                left = value
            spots.append(y)
            labels.append(f"{stage}  {policy}")
    axes.set_yticks(spots, labels, fontsize=8)
    axes.invert_yaxis()
    axes.set_xlabel("seconds: p50 (dark), to p90, to p99 (light) of each stage by itself")
    return chart, "latency by stage"


def _heat(row):
    heat = json.loads(row["heat"])
    names = sorted(heat, key=lambda n: (len(n), n))
    chart, axes = plt.subplots(figsize=(9, 0.8 + 0.16 * len(names)))
    shown = axes.imshow([heat[n] for n in names], aspect="auto", cmap="viridis", interpolation="nearest")
    axes.set_yticks(range(len(names)), names, fontsize=6)
    axes.set_xlabel("second of the day")
    chart.colorbar(shown, label="sends a second")
    return chart, "sends by worker"


def _curves(rows, figure, factor):
    chart, axes = plt.subplots(figsize=(9, 3.6))
    for day in sorted({r["day"] for r in rows}):
        for policy in dict.fromkeys(r["policy"] for r in rows):
            by = collections.defaultdict(list)
            for row in rows:
                if row["day"] == day and row["policy"] == policy:
                    by[row[factor]].append(row[figure])
            levels = sorted(by)
            found = [lab.interval(by[x]) for x in levels]
            axes.errorbar(
                levels,
                [f[0] for f in found],
                marker="o",
                label=f"{day} {policy}",
                yerr=[[max(0, f[0] - f[1]) for f in found], [max(0, f[2] - f[0]) for f in found]],
                capsize=3,
            )
    axes.set_xlabel(factor[7:])
    axes.set_ylabel(figure)
    axes.legend(fontsize=7)
    axes.grid(alpha=0.3)
    return chart, f"{figure} against {factor[7:]}"


def write(out, to, figures, factor=None):
    """Write the report of the results in `out` to the file `to`."""
    rows, made = lab.rows_of(out)
    first = lab.first_policy(made)
    name = document.File("experiment.kdl", made["experiment"]).child("experiment").args[0]
    parts = [
        HEAD % (html.escape(name), html.escape(name)),
        f"<p>{len(rows)} runs of the emulator: all servers are simulated. "
        f"Commit {html.escape(made['commit'][:12])}, libraries {html.escape(made['libraries'])}.</p>",
    ]
    broken = [r for r in rows if r["policy"] == first and r["rules broken"]]
    parts.append(
        f"<p>Runs of {html.escape(first)} in which a rule broke: {len(broken)}"
        + "".join(
            f"<br>{html.escape(lab.setting(r))}, seed {r['seed']}: {html.escape(r['broken rule'])}"
            for r in broken[:10]
        )
        + "</p>"
    )
    for figure in figures:
        parts.append(f"<h2>{html.escape(figure)}</h2>" + _picture(*_bars(rows, figure)))
        against = f"{factor}={lab.first_level(made, factor)}" if factor else first
        parts.append(
            _table(
                ("day", factor or "policy", "pairs", against, "difference", "95%", "p (Holm)"),
                [
                    (
                        where,
                        variant,
                        pairs,
                        f"{base:.3f}",
                        f"{mean:+.3f}",
                        f"{low:+.3f} to {high:+.3f}",
                        f"{p:.3f}",
                    )
                    for where, variant, pairs, base, mean, low, high, p in lab.differences(
                        out, figure, factor
                    )
                ],
            )
        )
        for one in sorted({k for r in rows for k in r if k.startswith("factor ")}):
            if len({r[one] for r in rows}) > 1 and not any(isinstance(r[one], str) for r in rows):
                parts.append(_picture(*_curves(rows, figure, one)))
    parts.append("<h2>Times of completed answers</h2>" + _picture(*_times(rows)))
    if all(r.get("stages") for r in rows):
        parts.append("<h2>Where the time went</h2>" + _picture(*_stages(rows)))
    shown = set()
    for row in rows:
        where = lab.setting(row)
        if row["policy"] == first and where not in shown and len(shown) < 8:
            shown.add(where)
            day = script.read(script.find(_path(made, row["day"])))
            parts.append(
                f"<h2>{html.escape(where)}, {html.escape(first)}, seed {row['seed']}</h2>"
                + _picture(*_course(row, day))
                + _picture(*_heat(row))
            )
    parts.append(f"<h2>What made it</h2><pre>{html.escape(made['experiment'])}</pre>")
    pathlib.Path(to).write_text("\n".join(parts), encoding="utf-8")


def chart(out, to, kind, figure, policy=None, seed=None, factor=None):
    """Write one chart to a picture file.

    `course` and `heat` show one run: of `policy` (default: the first) and `seed` (default: the least).
    """
    rows, made = lab.rows_of(out)
    shown = [
        r for r in rows if r["policy"] == (policy or lab.first_policy(made)) and seed in (None, r["seed"])
    ]
    if not shown:
        raise SettingsError(out, 0, "it has no run of that policy and seed")
    one = min(shown, key=lambda r: r["seed"])
    if kind == "curves":
        if factor is None or isinstance(one.get(f"factor {factor}"), (str, type(None))):
            raise SettingsError(out, 0, "curves need a factor of numbers that was varied")
        drawn, _ = _curves(rows, figure, f"factor {factor}")
    elif kind in ("course", "heat"):
        drawn, _ = (
            _heat(one) if kind == "heat" else _course(one, script.read(script.find(_path(made, one["day"]))))
        )
    else:
        drawn, _ = {
            "bars": lambda: _bars(rows, figure),
            "times": lambda: _times(rows),
            "stages": lambda: _stages(rows),
        }[kind]()
    drawn.savefig(to, dpi=90, bbox_inches="tight")
    plt.close(drawn)


def _path(made, stem):
    """Return the script of a day by its name: as the experiment names it, else the name itself."""
    for node in document.File("experiment.kdl", made["experiment"]).child("experiment").every("day"):
        if pathlib.Path(node.args[0]).stem == stem:
            return node.args[0]
    return stem
