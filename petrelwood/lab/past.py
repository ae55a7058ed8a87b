"""Forecasts replayed over a history: scores on its last third, and one function explained."""

import collections

import numpy

from petrelwood.decide.forecasting import distribution
from petrelwood.decide.forecasting.account import LoadEnd
from petrelwood.decide.forecasting.series import Series
from petrelwood.decide.forecasting.slot_calendar import Calendar
from petrelwood.store import early_load_log, history_files

SECOND = 10**9


def counts(folder, slot):
    """(functions, matrix of calls by function and slot, the first slot) of a whole history."""
    table = history_files.read(folder)
    if not len(table):
        return [], numpy.zeros((0, 0), dtype=int), 0
    slots = numpy.asarray(table["at"].to_numpy()) // slot
    column = table["function"].combine_chunks().dictionary_encode()
    names, codes = column.dictionary.to_pylist(), numpy.asarray(column.indices)
    first = int(slots.min())
    found = numpy.zeros((len(names), int(slots.max()) - first + 1), dtype=int)
    numpy.add.at(found, (codes, slots - first), 1)
    return names, found, first


def _replay(row, first, calendar):
    """Each slot's forecasts by method and the believed one, before it is learnt: [(count, {method: (mean,
    spread)})]"""
    series, steps = Series(), []
    for number, count in enumerate(row.tolist()):
        keys = calendar.keys((first + number) * calendar.slot)
        made = {m: (mean, series.spreads[m]) for m, mean in series.means(keys).items() if mean is not None}
        mean, spread, _ = series.predict(keys)
        if mean is not None:
            made["believed"] = (mean, spread)
        steps.append((count, made))
        series.learn(keys, count)
    return series, steps


def backtest(folder, slot, season, most=2000):
    """Mean scores by method over the last third, for the most called functions."""
    names, matrix, first = counts(folder, slot)
    if matrix.shape[1] < 3:
        return None
    calendar = Calendar(slot, season, 7 * season)
    sums, believed, scored = collections.defaultdict(lambda: [0.0, 0]), collections.Counter(), 0
    for index in numpy.argsort(-matrix.sum(axis=1))[:most]:
        series, steps = _replay(matrix[index], first, calendar)
        believed[series.selected] += 1
        for count, made in steps[2 * len(steps) // 3 :]:
            if {"seasonal", "recent", "both", "believed"} - set(made):
                continue
            scored += 1
            for method, (mean, spread) in made.items():
                sums[method][0] += distribution.ranked_probability_score(mean, spread, count)
                sums[method][1] += 1
    return {
        "scores": {m: s / n for m, (s, n) in sorted(sums.items())},
        "believed": dict(believed),
        "slots": scored,
        "functions": min(most, len(names)),
    }


def explain(folder, slot, season, function, chart=None):
    names, matrix, first = counts(folder, slot)
    if function not in names:
        raise KeyError(function)
    calendar = Calendar(slot, season, 7 * season)
    row = matrix[names.index(function)]
    series, steps = _replay(row, first, calendar)
    at = (first + len(row)) * slot
    mean, spread, _ = series.predict(calendar.keys(at))
    yield f"{function}: {row.sum()} calls in {len(row)} slots of {slot / SECOND:g} s"
    for method, value in series.means(calendar.keys(at)).items():
        score = series.scores[method]
        yield (
            f"  {method:9s} expects {'nothing yet' if value is None else f'{value:.2f}'} in the next slot"
            + (f", mean score {score:.3f}" if score is not None else "")
            + (", believed" if method == series.selected else "")
        )
    if mean is not None:
        below = distribution.cumulative_probabilities(
            mean, spread, int(mean + 6 * (mean * spread) ** 0.5) + 2
        )
        low, high = (next((k for k, p in enumerate(below) if p >= part), len(below)) for part in (0.1, 0.9))
        yield (
            f"  next: {mean:.2f} calls, {low} to {high} in eight of ten; a call at all: "
            f"{distribution.at_least_one(mean, spread):.0%}"
            + ("; it is hot" if series.hot_slots_left else "")
        )
    if chart:
        _draw(function, steps, slot, chart)
        yield f"  drawn: {chart}"


def _draw(function, steps, slot, path):
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    steps = steps[-600:]
    figure, axes = plt.subplots(figsize=(10, 3.6))
    spots = range(len(steps))
    axes.step(spots, [count for count, _ in steps], where="mid", color="#3a7d44", label="called")
    means, lows, highs = [], [], []
    for _, made in steps:
        mean, spread = made.get("believed", (0.0, 2.0))
        deviation = 1.28 * (mean * spread) ** 0.5
        means.append(mean)
        lows.append(max(0.0, mean - deviation))
        highs.append(mean + deviation)
    axes.fill_between(spots, lows, highs, color="#457b9d", alpha=0.25, label="eight of ten")
    axes.plot(spots, means, color="#1d3557", linewidth=1, label="forecast")
    axes.set_title(f"{function}, slots of {slot / SECOND:g} s")
    axes.legend(fontsize=8)
    figure.savefig(path, dpi=90, bbox_inches="tight")
    plt.close(figure)


COLORS = {
    LoadEnd.USED_IN_TIME: "#3a7d44",
    LoadEnd.USED_LATE: "#b5c99a",
    LoadEnd.NEVER_USED: "#e9c46a",
    LoadEnd.EVICTED_ANOTHER: "#9c89b8",
    LoadEnd.FAILED: "#e76f51",
}


def account(folder, by, most, chart=None):
    """Lines of the account that the ends of early loads make: the whole, then the worst of each group."""
    rows, groups = early_load_log.read(folder), collections.defaultdict(list)
    for row in rows:
        key = f"{row.ordered_at // (3600 * SECOND) % 24:02d}h" if by == "hour" else getattr(row, by)
        groups[key].append(row)
    yield (
        f"{'':24s} {'loads':>6s} {'saved s':>9s} {'spent s':>9s} {'balance':>9s} {'GB s':>8s}  how they ended"
    )
    yield _sum("all", rows)
    for key, some in sorted(groups.items(), key=lambda g: sum(r.seconds for r in g[1]))[:most]:
        yield _sum(key, some)
    if chart and rows:
        _time_line(rows, chart)
        yield f"drawn: {chart}"


def _sum(name, rows):
    seen = collections.Counter(row.end for row in rows)
    saved = sum(max(0.0, row.seconds) for row in rows)
    spent = sum(max(0.0, -row.seconds) for row in rows)
    return (
        f"{name:24s} {len(rows):6d} {saved:9.1f} {spent:9.1f} {saved - spent:+9.1f} "
        f"{sum(r.memory for r in rows):8.1f}  "
        + ", ".join(f"{end} {seen[end]}" for end in LoadEnd if seen[end])
    )


def _time_line(rows, path, most=60):
    """Each early load as a bar from its order to its end, by function, coloured by how it ended."""
    import matplotlib

    matplotlib.use("Agg")
    import matplotlib.pyplot as plt

    called = [name for name, _ in collections.Counter(row.function for row in rows).most_common(most)]
    spots, first = {name: i for i, name in enumerate(called)}, min(row.ordered_at for row in rows)
    figure, axes = plt.subplots(figsize=(11, 1 + 0.17 * len(called)))
    for row in rows:
        if row.function in spots:
            axes.barh(
                spots[row.function],
                (row.ended_at - row.ordered_at) / SECOND,
                left=(row.ordered_at - first) / SECOND,
                color=COLORS[row.end],
                height=0.8,
            )
    axes.set_yticks(range(len(called)), called, fontsize=6)
    axes.invert_yaxis()
    axes.set_xlabel("seconds from the first order")
    axes.legend(
        handles=[plt.Rectangle((0, 0), 1, 1, color=c, label=end) for end, c in COLORS.items()],
        fontsize=7,
        ncols=5,
        loc="upper center",
        bbox_to_anchor=(0.5, -0.08),
    )
    figure.savefig(path, dpi=90, bbox_inches="tight")
    plt.close(figure)
