"""Experiments on the emulator: factors x levels x seeds, paired by seed, run in parallel and resumable.

    experiment "NAME" {
        day "bad"; day "quiet.kdl"          // scripts
        policy "petrelwood"; policy "bounded-hash"
        seeds from=1 count=8
        factor "rate" 60 120 240            // rate, dispatchers, workers, store (a multiple of its pace),
        troubles (or none), trouble (that
                                            // kind alone), early (none, forecast, oracle),
                                            // damping (of storms), state (that survives a kill)
        within "120s"                       // a run that takes longer is ended and kept as such
    }

Each run is a separate process and leaves one file, which is written under another name and then renamed: a
file that exists is complete, and a second start executes only the missing runs. `results.parquet` holds all
rows, with the experiment, the commit and the libraries as metadata."""

import base64
import collections
import gc
import hashlib
import importlib.metadata
import itertools
import json
import multiprocessing
import os
import pathlib
import subprocess
import time
import traceback
from typing import NamedTuple

import pyarrow
import pyarrow.parquet
from hdrh.histogram import HdrHistogram

from petrelwood.emulate import policies, script
from petrelwood.settings import decoders, document
from petrelwood.settings.errors import SettingsError
from petrelwood.store.snapshot import put

LEVELS = {
    "rate": decoders.NUMBER,
    "dispatchers": decoders.COUNT,
    "workers": decoders.COUNT,
    "store": decoders.NUMBER,
    "troubles": decoders.FLAG,
    "damping": decoders.FLAG,
    "state": decoders.FLAG,
    "early": decoders.one_of("none", "forecast", "oracle"),
    "trouble": decoders.one_of("none", "all", *script.TROUBLES, *script.EMULATED),
}
HEAT = 60  # seconds of the day that the heat map of workers covers


class Experiment(NamedTuple):
    """An experiment as its file describes it."""

    name: str
    text: str  # the text of the file
    days: tuple  # paths of the scripts
    policies: tuple  # the others are compared with the first one
    seeds: tuple
    factors: tuple  # (name, levels)
    within: float  # seconds after which a run is killed


class Run(NamedTuple):
    """One run: a day under one policy, seed and combination of levels."""

    day: str
    policy: str
    seed: int
    levels: tuple  # (factor, level)

    @property
    def id(self):
        text = json.dumps([pathlib.Path(self.day).stem, self.policy, self.seed, self.levels])
        return hashlib.sha256(text.encode()).hexdigest()[:16]


def read(path, text=None, problems=None):
    """Return the experiment that a file, or a text in its place, describes.

    Raises `SettingsError`, or collects the errors in `problems`.
    """
    file = document.File(path, text, problems)
    return described(file, pathlib.Path(path))


def described(file, path):
    """Return the experiment that a `document.File` describes; days are searched relative to `path`."""
    node = file.child("experiment")
    name, days, seen, factors = node.arg(decoders.TEXT, "a name"), [], [], []
    for one in node.every("day"):
        given = one.arg(decoders.TEXT, "a script")
        near = path.parent / given
        try:
            days.append(str(script.find(str(near) if near.exists() else given)))
            script.read(days[-1])
        except SettingsError as fault:
            one.report(
                f"day '{given}': {fault.message}" + (f" ({fault.file}:{fault.line})" if fault.line else "")
            )
        one.reject_unknown(1)
    for one in node.every("policy"):
        seen.append(one.arg(decoders.one_of(*policies.named()), "a policy"))
        one.reject_unknown(1)
    seeds = node.child("seeds")
    first, count = seeds.prop("from", decoders.COUNT, 1), seeds.prop("count", decoders.COUNT)
    for one in node.every("factor"):
        factor = one.arg(decoders.one_of(*LEVELS), "a factor")
        levels = tuple(one.convert(LEVELS[factor], f"a level of '{factor}'", value) for value in one.args[1:])
        if not levels:
            one.report(f"factor '{factor}' has no levels")
        factors.append((factor, levels))
    within = node.value("within", decoders.DURATION, 300 * 10**9) / 1e9
    if not (node.every("day") and seen and count):
        node.report("an experiment needs a 'day', a 'policy' and seeds")
    seeds.reject_unknown()
    node.reject_unknown(1)
    file.reject_unknown()
    return Experiment(
        name,
        next(iter(file.files.values()), ""),
        tuple(days),
        tuple(seen),
        tuple(range(first, first + count)),
        tuple(factors),
        within,
    )


def runs(experiment):
    """Return all runs of an experiment."""
    combos = list(
        itertools.product(*([(name, level) for level in levels] for name, levels in experiment.factors))
    )
    return [
        Run(day, policy, seed, levels)
        for day in experiment.days
        for levels in combos
        for seed in experiment.seeds
        for policy in experiment.policies
    ]


def with_levels(day, levels):
    """Return the day with these levels of its factors."""
    for name, level in levels:
        if name == "rate":
            day = day._replace(rate=level)
        elif name == "store":
            day = day._replace(store={**day.store, "pace": int(day.store["pace"] * level)})
        elif name == "troubles" and not level:
            day = day._replace(troubles=())
        elif name == "damping":
            day = day._replace(damps=bool(level))
        elif name == "state":
            day = day._replace(state=bool(level))
        elif name == "early":
            day = day._replace(early=level != "none")
        elif name == "trouble":
            day = day._replace(troubles=tuple(t for t in day.troubles if level in (t.kind, "all")))
        elif name == "dispatchers":
            names = tuple(f"d{i + 1}" for i in range(level))
            day = day._replace(
                dispatchers=names,
                troubles=tuple(t for t in day.troubles if t.what.get("dispatcher", "d1") in names),
            )
        elif name == "workers":
            cell = max(1, len(day.workers) // len(day.zones) // 4)
            made = tuple(
                (
                    f"w{i + 1}",
                    day.zones[i % len(day.zones)],
                    1 + i % len(day.zones) * 1000 + i // len(day.zones) // cell,
                )
                for i in range(level)
            )
            day = day._replace(
                workers=made,
                troubles=tuple(t for t in day.troubles if t.what.get("worker", "w1") in {w[0] for w in made}),
            )
    return day


def play(run):
    """Play a run; return its row: figures, broken rules, inconsistencies, time course and response times."""
    from petrelwood.audit import rules
    from petrelwood.emulate import result
    from petrelwood.emulate.foresight import PerfectForecast
    from petrelwood.emulate.platform import Platform
    from petrelwood.lab import stages

    day = with_levels(script.read(run.day), run.levels)
    begun = time.process_time()
    policy, future = policies.named()[run.policy], None
    if dict(run.levels).get("early") == "oracle":
        future = PerfectForecast(day, run.seed, policy, Platform)
    platform = Platform(day, run.seed, policy, future=future).run()
    row = result.row(platform)
    row["cpu s"] = time.process_time() - begun
    found = rules.judge(platform.case())
    row["rules broken"] = sum(len(f.broken) for f in found)
    row["broken rule"] = "; ".join(f"{f.rule}: {f.broken[0]}" for f in found if f.broken)
    row["does not add up"] = len(result.conserved(platform))
    times = HdrHistogram(1, 3_600_000, 3)
    for request in platform.clients.requests:
        if request.ended == "completed":
            times.record_value(max(1, request.took // 1_000_000))
    row["times"] = base64.b64encode(times.encode()).decode()
    row["stages"] = json.dumps(
        {
            stage: base64.b64encode(found.encode()).decode()
            for stage, found in stages.histograms(platform.records).items()
        }
    )
    row["course"] = json.dumps([dict(c) for c in platform.time_course])
    heat = collections.defaultdict(lambda: [0] * HEAT)
    for record in platform.records:
        if record["t"] == "run" and record["at"] // 10**9 < HEAT:
            heat[record["who"]][record["at"] // 10**9] += 1
    row["heat"] = json.dumps(heat)
    return row


def _child(run, path):
    # No garbage collection: the process ends with its run, and collecting evicts caches that others share.
    gc.disable()
    try:
        row, status = play(run), "ended"
    except Exception:
        row, status = {"error": traceback.format_exc()[-2000:]}, "failed"
    _put(path, run, status, row)


def _put(path, run, status, row):
    made = {
        "status": status,
        "day": pathlib.Path(run.day).stem,
        "policy": run.policy,
        "seed": run.seed,
        **{f"factor {k}": v if isinstance(v, str) else float(v) for k, v in run.levels},
        **row,
    }
    put(path, json.dumps(made).encode())


def run(experiment, out, jobs, tell):
    """Execute the missing runs; return (all runs, those that failed or never ended)."""
    folder = out / "runs"
    folder.mkdir(parents=True, exist_ok=True)
    for part in folder.glob("*.part*"):  # left by a start that was killed
        part.unlink()
    kept = out / "experiment.kdl"
    if kept.exists() and kept.read_text() != experiment.text:
        raise SettingsError(kept, 1, "the folder holds runs of another experiment; give an empty one")
    kept.write_text(experiment.text)
    wanted = runs(experiment)
    left = [r for r in wanted if not (folder / f"{r.id}.json").exists()]
    alive, begun, ended = {}, time.monotonic(), 0
    jobs = jobs or os.cpu_count() or 1
    context = multiprocessing.get_context("fork")
    queue = list(reversed(left))
    while queue or alive:
        while queue and len(alive) < jobs:
            one = queue.pop()
            child = context.Process(target=_child, args=(one, folder / f"{one.id}.json"))
            child.start()
            alive[child] = (one, time.monotonic())
        time.sleep(0.02)
        for child, (one, since) in list(alive.items()):
            path = folder / f"{one.id}.json"
            if child.is_alive() and time.monotonic() - since < experiment.within:
                continue
            if child.is_alive():
                child.kill()
                child.join()
                _put(path, one, "never ended", {})
            child.join()
            if not path.exists():
                _put(path, one, "failed", {"error": f"the process ended with {child.exitcode}"})
            del alive[child]
            ended += 1
            spent = time.monotonic() - begun
            tell(
                f"{len(wanted) - len(left) + ended} of {len(wanted)} runs, about "
                f"{spent / ended * (len(left) - ended):.0f} s left"
            )
    rows = [json.loads((folder / f"{r.id}.json").read_text()) for r in wanted]
    write_parquet(experiment, rows, out / "results.parquet")
    return len(rows), sum(r["status"] != "ended" for r in rows)


def write_parquet(experiment, rows, path):
    """Write the rows of an experiment to a parquet file."""
    names = sorted({name for row in rows for name in row})
    commit = subprocess.run(["git", "rev-parse", "HEAD"], capture_output=True, text=True).stdout.strip()
    made = {
        "experiment": experiment.text,
        "commit": commit,
        "seeds": json.dumps(experiment.seeds),
        "libraries": json.dumps(
            {name: importlib.metadata.version(name) for name in ("numpy", "scipy", "pyarrow")}
        ),
    }
    table = pyarrow.table({name: [row.get(name) for row in rows] for name in names})
    part = path.with_suffix(".part")
    pyarrow.parquet.write_table(table.replace_schema_metadata(made), part, compression="zstd")
    os.replace(part, path)


def rows_of(out):
    """Return (rows of the runs that ended, the metadata of the results)."""
    if not (out / "results.parquet").exists():
        raise SettingsError(
            out, 0, "its runs have not all ended; start `experiment run` again, it does what is missing"
        )
    table = pyarrow.parquet.read_table(out / "results.parquet")
    made = {
        k.decode(): v.decode() for k, v in (table.schema.metadata or {}).items() if not k.startswith(b"ARROW")
    }
    return [r for r in table.to_pylist() if r["status"] == "ended"], made


def setting(row, but=None):
    """Return a row's day and levels, by which rows are paired; `but`: a factor that is compared instead."""
    levels = " ".join(
        f"{k[7:]}={v if isinstance(v, str) else f'{v:g}'}"
        for k, v in sorted(row.items())
        if k.startswith("factor ") and v is not None and k[7:] != but
    )
    return f"{row['day']} {levels}".strip()


def first_policy(made):
    """Return the policy with which the others are compared."""
    file = document.File("experiment.kdl", made["experiment"])
    return file.child("experiment").every("policy")[0].args[0]


def interval(values, seed=1):
    """Return (mean, lower, upper): a mean and its 95% bootstrap interval.

    With fewer than three values, or equal ones, all three are the mean.
    """
    import numpy
    from scipy import stats

    values = numpy.asarray(values, dtype=float)
    if len(values) < 3 or numpy.ptp(values) == 0:
        return float(values.mean()), float(values.mean()), float(values.mean())
    found = stats.bootstrap(
        (values,), numpy.mean, n_resamples=2000, method="BCa", rng=numpy.random.default_rng(seed)
    )
    return float(values.mean()), float(found.confidence_interval.low), float(found.confidence_interval.high)


def first_level(made, factor):
    """Return the level of a factor with which the others are compared. Raises `KeyError`."""
    for node in document.File("experiment.kdl", made["experiment"]).child("experiment").every("factor"):
        if node.args[0] == factor:
            return node.args[1] if isinstance(node.args[1], str) else float(node.args[1])
    raise KeyError(f"factor {factor}")


def differences(out, figure, factor=None):
    """Compare policies, or a factor's levels under the first policy, with the first of them.

    Returns [(setting, policy or level, pairs, mean of the first, mean difference, lower, upper, corrected
    p)], paired by seed, with the sign-flip test and Holm's correction over the whole table.
    """
    import numpy
    from scipy import stats

    rows, made = rows_of(out)
    first, by = first_policy(made), {}
    if factor:
        rows = [r for r in rows if r["policy"] == first]
        first = first_level(made, factor)
    for row in rows:
        variant = row[f"factor {factor}"] if factor else row["policy"]
        by.setdefault((setting(row, factor), variant), {})[row["seed"]] = row[figure]
    found = []
    for (where, policy), values in sorted(by.items()):
        base = by.get((where, first), {})
        seeds = sorted(set(values) & set(base))
        if policy == first or not seeds:
            continue
        gaps = numpy.array([values[s] - base[s] for s in seeds], dtype=float)
        p = 1.0
        if len(seeds) > 2 and numpy.ptp(gaps):
            p = float(
                stats.permutation_test(
                    (gaps,),
                    numpy.mean,
                    permutation_type="samples",
                    n_resamples=4999,
                    rng=numpy.random.default_rng(1),
                ).pvalue
            )
        found.append(
            [where, policy, len(seeds), float(numpy.mean([base[s] for s in seeds])), *interval(gaps), p]
        )
    worst = 0.0
    for rank, row in enumerate(sorted(found, key=lambda r: r[-1])):
        worst = max(worst, min(1.0, row[-1] * (len(found) - rank)))
        row[-1] = worst
    return [tuple(row) for row in found]


def merged_times(rows):
    """Return one histogram of the response times of all these rows."""
    whole = HdrHistogram(1, 3_600_000, 3)
    for row in rows:
        whole.add(HdrHistogram.decode(base64.b64decode(row["times"])))
    return whole


def merged_stages(rows):
    """Return {stage: histogram in ms} of all these rows together."""
    whole = {}
    for row in rows:
        for stage, text in json.loads(row["stages"]).items():
            whole.setdefault(stage, HdrHistogram(1, 3_600_000, 3)).add(
                HdrHistogram.decode(base64.b64decode(text))
            )
    return whole


def table_lines(out, figure, factor=None):
    """Yield the lines of the table of differences."""
    rows, made = rows_of(out)
    first = first_policy(made)
    against = f"{factor}={first_level(made, factor)}" if factor else first
    yield (
        f"{figure}, difference from {against}, paired by seed "
        "(simulated servers; 95% bootstrap, p after Holm)"
    )
    for where, variant, pairs, base, mean, low, high, p in differences(out, figure, factor):
        yield (
            f"{where:40s} {variant!s:18s} n={pairs:<3d} {base:9.3f} {mean:+9.3f} "
            f"[{low:+.3f}, {high:+.3f}] p={p:.3f}"
        )
    broken = [r for r in rows if r["policy"] == first and (r["rules broken"] or r["does not add up"])]
    yield f"{first}: {len(broken)} runs with a broken rule or figures that do not add up"
