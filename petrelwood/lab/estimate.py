"""Estimates the effect of a change of settings: a day played under both versions, paired by seed.

A version's terms replace the day's where they apply to it; the day itself (traffic, the real workers, faults)
stays. All servers are simulated."""

import concurrent.futures
import multiprocessing
import pathlib
from typing import NamedTuple

from petrelwood.emulate import script
from petrelwood.lab.experiment import interval
from petrelwood.settings import document
from petrelwood.settings.errors import SettingsError

FIGURES = ("service", "worst customer", "completed", "rejected", "aborted", "p99 ms", "cold starts", "loads")
CARRIED = ("workers", "limits", "damp-storms")


class Row(NamedTuple):
    """One figure under both versions."""

    figure: str
    old: float  # means over the seeds
    new: float
    low: float  # the difference's 95% interval; a single point if there are too few seeds or they agree
    high: float


def under(day, path):
    """Return (the day under a version's terms, what was carried over).

    Raises `SettingsError` if nothing of the version applies to the day.
    """
    file = document.File(path)
    named = {(n.name, str(n.args[0])): n for n in file.children if n.args}
    alone = {n.name: n for n in file.children if n.name in CARRIED}
    children, carried = [], []
    for node in day.terms.children:
        label = (node.name, str(node.args[0])) if node.args else None
        found = named.get(label) if node.name in ("namespace-type", "function") else alone.get(node.name)
        if (
            found is not None
            and node.name == "function"
            and found.props.get("type") != node.props.get("type")
        ):
            found = None  # the day has no such type
        if found is not None:
            found.children = [c for c in found.children if c.name != "tls"]
            carried.append(f"{node.name} '{label[1]}'" if label else node.name)
        children.append(found or node)
    children += [node for name, node in alone.items() if name not in {n.name for n in day.terms.children}]
    carried += [name for name in alone if name not in {n.name for n in day.terms.children}]
    shares = {n.args[0]: n.props.get("share", 0) for n in file.every("customer") if n.args}
    clients = tuple(c._replace(share=shares[c.name]) if c.name in shares else c for c in day.clients)
    carried += [f"share of '{c.name}'" for c in day.clients if c.name in shares]
    if not carried:
        raise SettingsError(path, 0, f"nothing in it has to do with day '{day.name}'")
    terms = document.File("terms", document.render(children))
    return day._replace(terms=terms, clients=clients), carried


def _play(job):
    from petrelwood.audit import rules
    from petrelwood.emulate import result
    from petrelwood.emulate.platform import Platform

    name, version, seed = job
    day, _ = under(script.read(name), version)
    platform = Platform(day, seed).run()
    row = result.row(platform)
    broken = [f"rule {f.rule}: {f.broken[0]}" for f in rules.judge(platform.case()) if f.broken]
    return {figure: row[figure] for figure in FIGURES}, broken


def estimate(old, new, name, seeds, jobs=0):
    """Compare two versions' files on a day, paired by seed.

    Returns ([Row], the rules that each version broke, what was carried over).
    """
    path = str(script.find(name))
    day = script.read(path)
    carried = {"old": under(day, old)[1], "new": under(day, new)[1]}
    work = [(path, str(pathlib.Path(version)), seed) for seed in seeds for version in (old, new)]
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(jobs or None, mp_context=context) as pool:
        found = list(pool.map(_play, work))
    old_results, new_results = found[0::2], found[1::2]
    rows = []
    for figure in FIGURES:
        a, b = ([f[figure] for f, _ in side] for side in (old_results, new_results))
        _, low, high = interval([y - x for x, y in zip(a, b, strict=True)])
        rows.append(Row(figure, sum(a) / len(a), sum(b) / len(b), low, high))
    return (
        rows,
        {"old": [w for _, b in old_results for w in b], "new": [w for _, b in new_results for w in b]},
        carried,
    )
