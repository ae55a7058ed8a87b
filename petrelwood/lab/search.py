"""Searches for days on which the decision module does worst or breaks a rule, and shrinks their scripts."""

import random

from petrelwood.audit import rules
from petrelwood.emulate import policies, result, script
from petrelwood.emulate.platform import Platform
from petrelwood.settings import document

SECOND = 1_000_000_000
# property of a drawn fault -> (least, most), in the unit in which the property is written
RANGES = {
    "part": (0.1, 0.7),
    "times": (2, 8),
    "patience": (0.3, 0.6),
    "by": (1, 6),
    "down": (0.5, 4),
    "length": (0.2, 0.5),
    "every": (0.8, 3),
    "size": (200, 900),
    "functions": (1, 3),
}
TIMES, DRAWN = ("by", "down", "length", "every"), ("worker", "dispatcher", "customer", "hall")
LEFT_OUT = (
    "replays",
    "forgeries",
    "slow-senders",
    "broker-drop",
    "broker-lost",
    "broker-silent",
    "broker-forgets",
    "garbage",
    "clock-step",
    "upgrade",
    "router-reset",
)


def draw(chance, day):
    """Return one to four random faults, as lines of KDL."""
    lines = []
    for _ in range(chance.randrange(1, 5)):
        kind = chance.choice(sorted(k for k in {**script.TROUBLES, **script.EMULATED} if k not in LEFT_OUT))
        takes = {**script.TROUBLES, **script.EMULATED}[kind][0]
        length = day.length / 1e9
        words = [f'trouble "{kind}" at="{chance.uniform(1, length * 0.6):.1f}s"']
        for name in takes:
            if name == "for":
                words.append(f'for="{chance.uniform(length * 0.1, length * 0.35):.1f}s"')
            elif name == "worker":
                words.append(
                    f'worker="{chance.choice(day.workers)[0]}"'
                    if kind not in script.WORKERS
                    else f"part={chance.uniform(0.1, 0.4):.2f}"
                )
            elif name == "dispatcher":
                words.append(f'dispatcher="{chance.choice(day.dispatchers)}"')
            elif name == "customer":
                words.append(f'customer="{chance.choice(day.clients).name}"')
            elif name == "hall":
                words.append(f'hall="{chance.choice(day.zones)}"')
            else:
                low, high = RANGES[name]
                value = chance.uniform(low, high)
                words.append(
                    f'{name}="{value:.1f}s"'
                    if name in TIMES
                    else f'{name}="{value:.0f}MB"'
                    if name == "size"
                    else f"{name}={round(value)}"
                    if name == "functions"
                    else f"{name}={value:.2f}"
                )
        lines.append(" ".join(words))
    return lines


def base_text(path):
    """Return the text of the script without its faults."""
    return document.render([n for n in document.File(path).children if n.name != "trouble"])


def judge(text, seed, where):
    """Play the day that a text describes; return (gap to the oracle, broken rules)."""
    where.write_text(text)
    day = script.read(where)
    mine = Platform(day, seed).run()
    best = Platform(day, seed, policies.Oracle, keep=False).run()
    broken = [f"{f.rule}: {f.broken[0]}" for f in rules.judge(mine.case()) if f.broken] + result.conserved(
        mine
    )[:1]
    return result.row(best)["service"] - result.row(mine)["service"], broken


def shrink(base, lines, seed, where, gap, broken, tell):
    """Remove faults while the gap stays at least 0.8 of the original one, or the same rule still breaks."""

    def keeps_finding(some):
        found, also = judge(base + "\n".join(some) + "\n", seed, where)
        return also and also[0][0] == broken[0][0] if broken else found >= 0.8 * gap

    at = 0
    while at < len(lines) and len(lines) > 1:
        fewer = lines[:at] + lines[at + 1 :]
        if keeps_finding(fewer):
            tell(f"without: {lines[at]}")
            lines = fewer
        else:
            at += 1
    return lines


def search(path, runs, seed, keep, tell):
    """Yield a line for each of the three worst days, the worst first, and write its script."""
    keep.mkdir(parents=True, exist_ok=True)
    chance, base, found = random.Random(f"{seed}/search"), base_text(path), []
    where = keep / ".trial.kdl"
    day = script.read(path)
    try:
        for number in range(runs):
            lines = draw(chance, day)
            gap, broken = judge(base + "\n".join(lines) + "\n", seed + number, where)
            found.append((bool(broken), gap, seed + number, lines, broken))
            tell(
                f"{number + 1} of {runs}: gap to the oracle {gap:.3f}"
                + (f", broken {broken[0]}" if broken else "")
            )
        found.sort(key=lambda f: (-f[0], -f[1]))
        for rank, (_, gap, its_seed, lines, broken) in enumerate(found[:3], 1):
            small = shrink(base, lines, its_seed, where, gap, broken, tell)
            name = keep / f"found-{seed}-{rank}.kdl"
            gap, broken = judge(base + "\n".join(small) + "\n", its_seed, where)
            head = f"// seed {its_seed}: gap to the oracle {gap:.3f}" + (
                f"; broken {broken[0]}" if broken else ""
            )
            name.write_text(head + "\n" + base + "\n".join(small) + "\n")
            yield (
                f"{name}: seed {its_seed}, gap {gap:.3f}{', broken ' + broken[0] if broken else ''}: "
                f"{'; '.join(small)}"
            )
    finally:
        where.unlink(missing_ok=True)
