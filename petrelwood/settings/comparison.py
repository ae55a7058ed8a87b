"""What two versions of a gateway's settings differ in, by behaviour: what changes for whom, when it acts, and
whether it is risky.

A version is taken as a whole: at once only where each of its changes can be, else all of it by an upgrade,
which loses nothing (`docs/state.md`). Activations on hand keep the times that they came in with."""

from typing import NamedTuple

SECOND = 1_000_000_000
AT_ONCE, BY_UPGRADE, AT_RESTART = "at once", "by an upgrade", "at a restart"
LESS = 0.5  # a bound that falls under this part of what it was is risky under load


class Change(NamedTuple):
    what: str  # a sentence
    when: str
    risk: str  # "" or why it is risky


def _time(ns):
    return f"{ns / SECOND:g} s" if ns >= SECOND else f"{ns / 1_000_000:g} ms"


def _bytes(value):
    for unit, size in (("GB", 10**9), ("MB", 10**6), ("KB", 10**3)):
        if value >= size:
            return f"{value / size:g} {unit}"
    return f"{value} bytes"


def _customers(old, new):
    for name in sorted(set(old.customers) - set(new.customers)):
        yield Change(
            f"customer '{name}' is gone: its activations are answered 401; those on hand finish",
            AT_ONCE,
            "its clients fail from then on",
        )
    for name in sorted(set(new.customers) - set(old.customers)):
        yield Change(f"customer '{name}' may call", BY_UPGRADE if new.mqtt else AT_ONCE, "")
    for name in sorted(set(old.customers) & set(new.customers)):
        a, b = old.customers[name], new.customers[name]
        if a.share != b.share:
            words = [f"{s:g} activations a second" if s else "no share" for s in (a.share, b.share)]
            yield Change(
                f"customer '{name}' is entitled to {words[1]} instead of {words[0]}",
                BY_UPGRADE,
                "what is beyond it goes last"
                if b.share and (not a.share or b.share < a.share * LESS)
                else "",
            )
        gone, more = len(set(a.keys) - set(b.keys)), len(set(b.keys) - set(a.keys))
        if gone:
            yield Change(
                f"{gone} key{'s' * (gone > 1)} of customer '{name}' no longer hold{'s' * (gone == 1)}",
                AT_ONCE,
                "" if more or set(a.keys) & set(b.keys) else "its clients fail until they sign anew",
            )
        if more:
            yield Change(f"customer '{name}' may sign with {more} more key{'s' * (more > 1)}", AT_ONCE, "")


def _types(old, new):
    a_types, b_types = old.terms.types, new.terms.types
    for name in sorted(set(a_types) - set(b_types)):
        yield Change(
            f"namespace type '{name}' is gone", BY_UPGRADE, "ids of it that are remembered are forgotten"
        )
    for name in sorted(set(b_types) - set(a_types)):
        yield Change(f"there is a namespace type '{name}': {b_types[name].effect}", BY_UPGRADE, "")
    for name in sorted(set(a_types) & set(b_types)):
        a, b = a_types[name], b_types[name]
        if a.effect != b.effect:
            yield Change(
                f"activations of type '{name}' are {b.effect} instead of {a.effect}",
                BY_UPGRADE,
                "what may have run is then sent again" if b.effect == "repeatable" else "",
            )
        if a.target_latency != b.target_latency:
            yield Change(
                f"'{name}' is to be answered within {_time(b.target_latency)} instead of "
                f"{_time(a.target_latency)}",
                BY_UPGRADE,
                "more is turned away" if b.target_latency < a.target_latency * LESS else "",
            )
        if old.timeouts[name] != new.timeouts[name]:
            yield Change(
                f"calls of '{name}' wait up to {_time(new.timeouts[name])} instead of "
                f"{_time(old.timeouts[name])}",
                BY_UPGRADE,
                "loads that take longer are never waited for"
                if new.timeouts[name] < old.timeouts[name] * LESS
                else "",
            )
        if (a.scope, a.window) != (b.scope, b.window):
            yield Change(
                f"repeats of '{name}' are dropped by workers of the same {b.scope} for {_time(b.window)}, "
                f"where it was {a.scope} for {_time(a.window)}",
                BY_UPGRADE,
                "repeats that workers no longer drop would run twice" if b.window > a.window else "",
            )
        if old.remember[name] != new.remember[name]:
            yield Change(
                f"ids of '{name}' are remembered for {_time(new.remember[name])} instead of "
                f"{_time(old.remember[name])}",
                BY_UPGRADE,
                "",
            )


def _functions(old, new):
    a_rules, b_rules = ({r.pattern: r for r in g.functions} for g in (old, new))
    for pattern in sorted(set(a_rules) - set(b_rules)):
        under = new.rule(pattern.rstrip("*") or "x")
        yield Change(
            f"'{pattern}' is gone: its activations are "
            + (f"those of '{under.pattern}'" if under else "answered 404"),
            AT_ONCE,
            "" if under else "its clients fail from then on",
        )
    for pattern in sorted(set(b_rules) - set(a_rules)):
        rule = b_rules[pattern]
        yield Change(
            f"'{pattern}' may be called, as '{rule.type}'",
            BY_UPGRADE if rule.type not in old.terms.types else AT_ONCE,
            "",
        )
    for pattern in sorted(set(a_rules) & set(b_rules)):
        a, b = a_rules[pattern], b_rules[pattern]
        if a.type != b.type:
            yield Change(
                f"'{pattern}' is of type '{b.type}' instead of '{a.type}'",
                BY_UPGRADE if b.type not in old.terms.types else AT_ONCE,
                "ids on hand keep their old type",
            )
        if a.lanes != b.lanes:
            yield Change(
                f"a copy of '{pattern}' runs {b.lanes} activations at a time instead of {a.lanes}",
                AT_ONCE,
                "fewer lanes: more copies are loaded" if b.lanes < a.lanes else "",
            )
        if a.load_time != b.load_time:
            yield Change(
                f"a load of '{pattern}' is expected to take {_time(b.load_time)} instead of "
                f"{_time(a.load_time)}",
                AT_ONCE,
                "",
            )


def _bounds(old, new):
    sizes = {"header", "body", "results", "bytes"}
    for name, a, b in zip(old.limits._fields, old.limits, new.limits, strict=True):
        if a != b:
            show = _time if name.endswith(("within", "idle")) else _bytes if name in sizes else str
            yield Change(
                f"limit '{name.replace('_', '-')}' is {show(b)} instead of {show(a)}",
                BY_UPGRADE
                if name in ("connections", "handshakes", "bytes", "ledger", "results")
                else AT_ONCE,
                "what is over it is refused at once" if b < a * LESS else "",
            )
    if old.tolerance != new.tolerance:
        yield Change(
            f"a webhook's time may be off by {_time(new.tolerance)} instead of {_time(old.tolerance)}",
            BY_UPGRADE,
            "",
        )


def _rest(old, new):
    for word, a, b in (("listens on", old.listen, new.listen), ("is called", old.name, new.name)):
        if a != b:
            shown = [v if isinstance(v, str) else f"{v[0]}:{v[1]}" for v in (a, b)]
            yield Change(
                f"the gateway {word} {shown[1]} instead of {shown[0]}", AT_RESTART, "it can't be handed over"
            )
    for word, a, b in (
        ("the roster", old.roster, new.roster),
        ("the control socket", old.control, new.control),
        ("the speaker's socket", old.health, new.health),
        ("the configuration servers", old.configuration, new.configuration),
        ("where state is kept, and how", old.state, new.state),
        ("the broker's terms", old.mqtt, new.mqtt),
        ("early loads", old.early, new.early),
        ("the history", old.history, new.history),
        ("TLS of the front", old.tls, new.tls),
        ("TLS to workers", old.worker_tls, new.worker_tls),
    ):
        if _plain(a) != _plain(b):
            verb = "are" if word.endswith("s") and not word.startswith("TLS") else "is"
            now = "set" if a is None else "gone" if b is None else "other than before"
            yield Change(
                f"{word} {verb} {now}",
                BY_UPGRADE,
                "state that was kept elsewhere is not read" if word.startswith("where") and a else "",
            )
    if old.damps != new.damps:
        yield Change(
            f"storms are {'damped' if new.damps else 'no longer damped'}",
            BY_UPGRADE,
            "" if new.damps else "do not do it in one",
        )
    for name, a, b in zip(old.terms._fields, old.terms, new.terms, strict=True):
        if a != b and name not in ("types", "quotas"):
            parts = zip(a._fields, a, b, strict=True) if hasattr(a, "_fields") else [("", a, b)]
            for part, x, y in parts:
                if x != y:
                    shown = [
                        _time(v) if isinstance(v, int) and not isinstance(v, bool) and v > 10**6 else str(v)
                        for v in (x, y)
                    ]
                    yield Change(
                        f"{' '.join(filter(None, (name, part))).replace('_', ' ')}: {shown[1]} instead of "
                        f"{shown[0]}",
                        BY_UPGRADE,
                        "loads are held back"
                        if name == "orders" and isinstance(x, (int, float)) and y < x * LESS
                        else "",
                    )
    for name, a, b in zip(old.workers._fields, old.workers, new.workers, strict=True):
        if a != b:
            show = _bytes if name in ("queue", "frame") else _time
            yield Change(
                f"links to workers: {name.replace('_', ' ')} {show(b)} instead of {show(a)}", BY_UPGRADE, ""
            )


def _plain(value):
    """Something that can be compared: identities by what they were made of."""
    return getattr(value, "paths", value) if not isinstance(value, tuple) else tuple(map(_plain, value))


def changes(old, new):
    """All changes, in the order customers, types, functions, limits, the rest."""
    return [
        *_customers(old, new),
        *_types(old, new),
        *_functions(old, new),
        *_bounds(old, new),
        *_rest(old, new),
    ]


def plan(found):
    """When a whole version can act: at the latest that any of its changes asks for; None where nothing
    changes."""
    whens = {change.when for change in found}
    return next((when for when in (AT_RESTART, BY_UPGRADE, AT_ONCE) if when in whens), None)
