"""Compares the emulator with a play over sockets: same script and seed, figures from the same records."""

from petrelwood.audit import rules
from petrelwood.emulate.platform import Platform
from petrelwood.lab import stages


def figures(case):
    """Return the shares and times of a played day that are comparable between emulator and sockets."""
    ends, found = rules.outcomes(case), {}
    total = {
        name: sum(counts.get(name, 0) for counts in ends.values())
        for name in ("completed", "rejected", "aborted", "left", "broken", "sends", "sent")
    }
    tries = max(1, sum(total[n] for n in ("completed", "rejected", "aborted", "left", "broken")))
    for name in ("completed", "rejected", "aborted", "left", "broken"):
        found[f"{name}, share of tries"] = total[name] / tries
    found["tries"] = float(tries)
    found["sends an activation"] = total["sends"] / max(1, total["sent"])
    took = sorted(a["took"] for a in case.by_type["answer"] if a["status"] == 200)
    for part in (50, 90, 99):
        found[f"p{part} of completed, s"] = (
            took[min(len(took) - 1, len(took) * part // 100)] / 1e9 if took else 0.0
        )
    for stage, times in stages.histograms(case.records).items():
        for part in (50, 99) if times.get_total_count() else ():
            found[f"{stage}, p{part}, s"] = times.get_value_at_percentile(part) / 1000
    found["load orders"] = float(sum(1 for h in case.by_type["hold"] if h["count"]))
    words = [r["word"] for r in case.by_type["ran"]]
    found["found full, share of sends"] = words.count("full") / max(1, len(words))
    found["rules broken"] = float(sum(len(f.broken) for f in rules.judge(case)))
    return found


def between(day, seed, case):
    """Return {figure: (over sockets, emulated)}."""
    real, emulated = figures(case), figures(Platform(day, seed).run().case())
    return {name: (real[name], emulated[name]) for name in real if name in emulated}
