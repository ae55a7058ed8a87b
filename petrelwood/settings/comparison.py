"""Compares the behaviour of two versions of a gateway's settings.

Each reported change has a description, the time at which it takes effect, and the risk under load, if any. A
version is applied as a whole: at once if each of its changes can be applied at once, otherwise by an upgrade,
which loses no activations (`docs/state.md`). Activations in flight keep the timeouts that they were admitted
with.
"""

from collections.abc import Callable, Iterable, Iterator
from enum import StrEnum
from typing import NamedTuple

from petrelwood import ports
from petrelwood.settings.customers import Customer
from petrelwood.settings.functions import FunctionRule
from petrelwood.settings.gateway import Gateway

MILLISECOND = 1_000_000
SECOND = 1_000_000_000
RISKY_RATIO = 0.5  # lowering a bound to less than this share of its old value is risky under load
LEAST_DURATION = 1_000_000  # an integer in `ports.Terms` above this is formatted as a duration in ns

LIMITS_IN_BYTES = frozenset(("header", "body", "results", "bytes"))
LIMITS_AT_START = frozenset(  # fields of `Limits` that are only read when the dispatcher starts
    ("connections", "handshakes", "bytes", "ledger", "results")
)
WORKER_TERMS_IN_BYTES = frozenset(("queue", "frame"))
TERMS_COMPARED_APART = frozenset(("types", "quotas"))

# The names that `petrelwood config diff` prints for fields of `ports.Terms` and its parts, where they differ
# from the names of the fields. The printed names must not change.
PRINTED_TERM_NAMES: dict[str, str] = {
    "warm_up_time": "cold",
    "initial_capacity_share": "cold_from",
    "crash_load_multiple": "fall_multiple",
    "slow_start_window": "fall",
    "max_list_request_interval": "ask_within",
    "min_idle_time": "keep",
    "base_orders": "free",
    "orders_per_activation": "part",
    "must_request_list": "asks",
    "health_check_cost": "probe_fee",
    "over_quota_utility": "beyond",
}


class TakesEffect(StrEnum):
    """When a change of settings takes effect; shown by `petrelwood config diff` and in logs."""

    AT_ONCE = "at once"
    BY_UPGRADE = "by an upgrade"
    AT_RESTART = "at a restart"


class Change(NamedTuple):
    """A difference in behaviour between two versions of the settings."""

    description: str  # a sentence
    takes_effect: TakesEffect
    risk: str = ""  # why the change is risky under load; empty if it is not

    def as_json_object(self) -> dict[str, str]:
        """Return the object that `petrelwood config diff --json` prints."""
        return {"what": self.description, "when": self.takes_effect.value, "risk": self.risk}

    def summary(self) -> str:
        """Return the description, followed by the risk if there is one."""
        return f"{self.description}; risky: {self.risk}" if self.risk else self.description


def _format_duration(duration: float) -> str:
    return f"{duration / SECOND:g} s" if duration >= SECOND else f"{duration / MILLISECOND:g} ms"


def _format_bytes(value: float) -> str:
    for unit, size in (("GB", 10**9), ("MB", 10**6), ("KB", 10**3)):
        if value >= size:
            return f"{value / size:g} {unit}"
    return f"{value} bytes"


def _format_share(share: float) -> str:
    return f"{share:g} activations a second" if share else "no share"


def _format_term(value: object) -> str:
    if isinstance(value, int) and not isinstance(value, bool) and value > LEAST_DURATION:
        return _format_duration(value)
    return str(value)


def _compare_customers(old: Gateway, new: Gateway) -> Iterator[Change]:
    for name in sorted(set(old.customers) - set(new.customers)):
        yield Change(
            f"customer '{name}' is gone: its activations are answered 401; those on hand finish",
            TakesEffect.AT_ONCE,
            "its clients fail from then on",
        )
    for name in sorted(set(new.customers) - set(old.customers)):
        yield Change(
            f"customer '{name}' may call", TakesEffect.BY_UPGRADE if new.mqtt else TakesEffect.AT_ONCE
        )
    for name in sorted(set(old.customers) & set(new.customers)):
        yield from _compare_customer(name, old.customers[name], new.customers[name])


def _compare_customer(name: str, old: Customer, new: Customer) -> Iterator[Change]:
    if old.share != new.share:
        is_less = new.share and (not old.share or new.share < old.share * RISKY_RATIO)
        yield Change(
            f"customer '{name}' is entitled to {_format_share(new.share)} instead of "
            f"{_format_share(old.share)}",
            TakesEffect.BY_UPGRADE,
            "what is beyond it goes last" if is_less else "",
        )
    removed = len(set(old.keys) - set(new.keys))
    added = len(set(new.keys) - set(old.keys))
    if removed:
        still_signs = added or set(old.keys) & set(new.keys)
        yield Change(
            f"{removed} key{'s' * (removed > 1)} of customer '{name}' no longer hold{'s' * (removed == 1)}",
            TakesEffect.AT_ONCE,
            "" if still_signs else "its clients fail until they sign anew",
        )
    if added:
        yield Change(
            f"customer '{name}' may sign with {added} more key{'s' * (added > 1)}", TakesEffect.AT_ONCE
        )


def _compare_types(old: Gateway, new: Gateway) -> Iterator[Change]:
    old_types = old.terms.types
    new_types = new.terms.types
    for name in sorted(set(old_types) - set(new_types)):
        yield Change(
            f"namespace type '{name}' is gone",
            TakesEffect.BY_UPGRADE,
            "ids of it that are remembered are forgotten",
        )
    for name in sorted(set(new_types) - set(old_types)):
        yield Change(f"there is a namespace type '{name}': {new_types[name].effect}", TakesEffect.BY_UPGRADE)
    for name in sorted(set(old_types) & set(new_types)):
        yield from _compare_effect(name, old_types[name], new_types[name])
        yield from _compare_times(name, old, new)
        yield from _compare_deduplication(name, old_types[name], new_types[name])
        if old.remember[name] != new.remember[name]:
            yield Change(
                f"ids of '{name}' are remembered for {_format_duration(new.remember[name])} instead of "
                f"{_format_duration(old.remember[name])}",
                TakesEffect.BY_UPGRADE,
            )


def _compare_effect(name: str, old: ports.NamespaceType, new: ports.NamespaceType) -> Iterator[Change]:
    if old.effect != new.effect:
        yield Change(
            f"activations of type '{name}' are {new.effect} instead of {old.effect}",
            TakesEffect.BY_UPGRADE,
            "what may have run is then sent again" if new.effect == ports.Effect.REPEATABLE else "",
        )


def _compare_times(name: str, old: Gateway, new: Gateway) -> Iterator[Change]:
    old_target = old.terms.types[name].target_latency
    new_target = new.terms.types[name].target_latency
    if old_target != new_target:
        yield Change(
            f"'{name}' is to be answered within {_format_duration(new_target)} instead of "
            f"{_format_duration(old_target)}",
            TakesEffect.BY_UPGRADE,
            "more is turned away" if new_target < old_target * RISKY_RATIO else "",
        )
    old_timeout = old.timeouts[name]
    new_timeout = new.timeouts[name]
    if old_timeout != new_timeout:
        yield Change(
            f"calls of '{name}' wait up to {_format_duration(new_timeout)} instead of "
            f"{_format_duration(old_timeout)}",
            TakesEffect.BY_UPGRADE,
            "loads that take longer are never waited for" if new_timeout < old_timeout * RISKY_RATIO else "",
        )


def _compare_deduplication(name: str, old: ports.NamespaceType, new: ports.NamespaceType) -> Iterator[Change]:
    if (old.scope, old.window) != (new.scope, new.window):
        yield Change(
            f"repeats of '{name}' are dropped by workers of the same {new.scope} for "
            f"{_format_duration(new.window)}, where it was {old.scope} for {_format_duration(old.window)}",
            TakesEffect.BY_UPGRADE,
            "repeats that workers no longer drop would run twice" if new.window > old.window else "",
        )


def _compare_functions(old: Gateway, new: Gateway) -> Iterator[Change]:
    old_rules = {rule.pattern: rule for rule in old.functions}
    new_rules = {rule.pattern: rule for rule in new.functions}
    for pattern in sorted(set(old_rules) - set(new_rules)):
        other = new.rule(pattern.rstrip("*") or "x")
        yield Change(
            f"'{pattern}' is gone: its activations are "
            + (f"those of '{other.pattern}'" if other else "answered 404"),
            TakesEffect.AT_ONCE,
            "" if other else "its clients fail from then on",
        )
    for pattern in sorted(set(new_rules) - set(old_rules)):
        rule = new_rules[pattern]
        yield Change(f"'{pattern}' may be called, as '{rule.type}'", _type_takes_effect(old, rule))
    for pattern in sorted(set(old_rules) & set(new_rules)):
        yield from _compare_function(old, old_rules[pattern], new_rules[pattern])


def _type_takes_effect(old: Gateway, rule: FunctionRule) -> TakesEffect:
    """Return when the type of `rule` takes effect.

    The scheduler receives the namespace types at its start, so a new type requires an upgrade.
    """
    return TakesEffect.AT_ONCE if rule.type in old.terms.types else TakesEffect.BY_UPGRADE


def _compare_function(gateway: Gateway, old: FunctionRule, new: FunctionRule) -> Iterator[Change]:
    pattern = new.pattern
    if old.type != new.type:
        yield Change(
            f"'{pattern}' is of type '{new.type}' instead of '{old.type}'",
            _type_takes_effect(gateway, new),
            "ids on hand keep their old type",
        )
    if old.lanes != new.lanes:
        yield Change(
            f"a copy of '{pattern}' runs {new.lanes} activations at a time instead of {old.lanes}",
            TakesEffect.AT_ONCE,
            "fewer lanes: more copies are loaded" if new.lanes < old.lanes else "",
        )
    if old.load_time != new.load_time:
        yield Change(
            f"a load of '{pattern}' is expected to take {_format_duration(new.load_time)} instead of "
            f"{_format_duration(old.load_time)}",
            TakesEffect.AT_ONCE,
        )


def _compare_limits(old: Gateway, new: Gateway) -> Iterator[Change]:
    for name, before, after in zip(old.limits._fields, old.limits, new.limits, strict=True):
        if before == after:
            continue
        show = _limit_format(name)
        yield Change(
            f"limit '{name.replace('_', '-')}' is {show(after)} instead of {show(before)}",
            TakesEffect.BY_UPGRADE if name in LIMITS_AT_START else TakesEffect.AT_ONCE,
            "what is over it is refused at once" if after < before * RISKY_RATIO else "",
        )
    if old.tolerance != new.tolerance:
        yield Change(
            f"a webhook's time may be off by {_format_duration(new.tolerance)} instead of "
            f"{_format_duration(old.tolerance)}",
            TakesEffect.BY_UPGRADE,
        )


def _limit_format(name: str) -> Callable[[float], str]:
    if name.endswith(("within", "idle")):
        return _format_duration
    return _format_bytes if name in LIMITS_IN_BYTES else str


def _compare_identity(old: Gateway, new: Gateway) -> Iterator[Change]:
    if old.listen != new.listen:
        addresses = [f"{host}:{port}" for host, port in (new.listen, old.listen)]
        yield Change(
            f"the gateway listens on {addresses[0]} instead of {addresses[1]}",
            TakesEffect.AT_RESTART,
            "it can't be handed over",
        )
    if old.name != new.name:
        yield Change(
            f"the gateway is called {new.name} instead of {old.name}",
            TakesEffect.AT_RESTART,
            "it can't be handed over",
        )


def _compare_parts(old: Gateway, new: Gateway) -> Iterator[Change]:
    """Yield the parts of the settings that are only reported as changed, without their values."""
    for subject, before, after in (
        ("the roster is", old.roster, new.roster),
        ("the control socket is", old.control, new.control),
        ("the speaker's socket is", old.health, new.health),
        ("the configuration servers are", old.configuration, new.configuration),
        ("where state is kept, and how is", old.state, new.state),
        ("the broker's terms are", old.mqtt, new.mqtt),
        ("early loads are", old.early, new.early),
        ("the history is", old.history, new.history),
        ("TLS of the front is", old.tls, new.tls),
        ("TLS to workers is", old.worker_tls, new.worker_tls),
    ):
        if _comparable(before) != _comparable(after):
            verdict = "set" if before is None else "gone" if after is None else "other than before"
            leaves_state = subject.startswith("where") and before
            yield Change(
                f"{subject} {verdict}",
                TakesEffect.BY_UPGRADE,
                "state that was kept elsewhere is not read" if leaves_state else "",
            )
    if old.damps != new.damps:
        yield Change(
            f"storms are {'damped' if new.damps else 'no longer damped'}",
            TakesEffect.BY_UPGRADE,
            "" if new.damps else "do not do it in one",
        )


def _compare_terms(old: Gateway, new: Gateway) -> Iterator[Change]:
    for name, before, after in zip(old.terms._fields, old.terms, new.terms, strict=True):
        if before == after or name in TERMS_COMPARED_APART:
            continue
        parts = getattr(before, "_fields", None)
        if parts is None:
            yield from _compare_term(name, "", before, after)
        else:
            for part in parts:
                yield from _compare_term(name, part, getattr(before, part), getattr(after, part))


def _compare_term(name: str, part: str, before: object, after: object) -> Iterator[Change]:
    if before == after:
        return
    label = " ".join(PRINTED_TERM_NAMES.get(field, field) for field in (name, part) if field).replace(
        "_", " "
    )
    fewer_loads = name == "orders" and _is_risky_fall(before, after)
    yield Change(
        f"{label}: {_format_term(after)} instead of {_format_term(before)}",
        TakesEffect.BY_UPGRADE,
        "loads are held back" if fewer_loads else "",
    )


def _is_risky_fall(before: object, after: object) -> bool:
    if not isinstance(before, (int, float)) or not isinstance(after, (int, float)):
        return False
    return after < before * RISKY_RATIO


def _compare_worker_terms(old: Gateway, new: Gateway) -> Iterator[Change]:
    for name, before, after in zip(old.workers._fields, old.workers, new.workers, strict=True):
        if before != after:
            show = _format_bytes if name in WORKER_TERMS_IN_BYTES else _format_duration
            yield Change(
                f"links to workers: {name.replace('_', ' ')} {show(after)} instead of {show(before)}",
                TakesEffect.BY_UPGRADE,
            )


def _comparable(value: object) -> object:
    """Return a comparable form of a value, in which TLS identities are replaced by their file paths."""
    if isinstance(value, tuple):
        return tuple(map(_comparable, value))
    return getattr(value, "paths", value)


def changes(old: Gateway, new: Gateway) -> list[Change]:
    """Return all changes: customers first, then types, functions, limits and the remaining settings."""
    return [
        *_compare_customers(old, new),
        *_compare_types(old, new),
        *_compare_functions(old, new),
        *_compare_limits(old, new),
        *_compare_identity(old, new),
        *_compare_parts(old, new),
        *_compare_terms(old, new),
        *_compare_worker_terms(old, new),
    ]


def takes_effect(found: Iterable[Change]) -> TakesEffect | None:
    """Return the latest time at which any of the changes takes effect; None if there are no changes."""
    found_times = {change.takes_effect for change in found}
    latest_first = (TakesEffect.AT_RESTART, TakesEffect.BY_UPGRADE, TakesEffect.AT_ONCE)
    return next((when for when in latest_first if when in found_times), None)
