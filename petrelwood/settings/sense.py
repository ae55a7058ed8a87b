"""Settings that can be read but make no sense together, or will not for long: warnings, each with its
place."""

import datetime

from petrelwood import ports
from petrelwood.settings import document
from petrelwood.settings import gateway as settings

SECOND = 1_000_000_000
SOON = 14  # days before a certificate runs out


def _node(file, name, label=None):
    for node in file.children:
        if node.name == name and (label is None or node.args[:1] == [label]):
            return node
    return file


def warnings(file, gateway, now=None):
    """[BadFile] for a `document.File` and the `Gateway` that it describes."""
    found, terms = [], gateway.terms

    def warn(node, what):
        found.append(node.bad(what))

    used = {rule.type for rule in gateway.functions}
    for name, type_ in terms.types.items():
        if name not in used:
            warn(_node(file, "namespace-type", name), f"no function is of namespace type '{name}'")
        if type_.effect == ports.Effect.DEDUPLICATED and type_.window < gateway.timeouts[name]:
            warn(
                _node(file, "namespace-type", name),
                f"the window of '{name}' is shorter than its action timeout: what may have "
                "run late in it can't be sent again",
            )
        if type_.effect != ports.Effect.DEDUPLICATED and _has(_node(file, "namespace-type", name), "window"):
            warn(_node(file, "namespace-type", name), f"'{name}' is {type_.effect}: its window means nothing")
    names = [rule.pattern for rule in gateway.functions]
    for pattern in names:
        if not pattern.endswith("*"):
            continue
        wider = [p for p in names if p.endswith("*") and p != pattern and pattern.startswith(p[:-1])]
        for other in wider:
            mine, theirs = (next(r for r in gateway.functions if r.pattern == p) for p in (pattern, other))
            if mine._replace(pattern="") == theirs._replace(pattern=""):
                warn(
                    _node(file, "function", pattern),
                    f"'{pattern}' says the same as '{other}', which covers it",
                )
    if not gateway.functions:
        warn(file, "there is no function: every activation is answered 404")
    orders = terms.orders
    if orders.period and orders.allowed:
        renewals = orders.period / max(1, orders.keep)
        if orders.free < renewals:
            warn(
                _node(file, "workers"),
                f"the ration gives {orders.free:g} free orders in {orders.period / SECOND:g} s; renewing "
                f"a single copy each {orders.keep / SECOND:g} s takes {renewals:.1f} of them",
            )
    g = terms.guarantees
    quickest = min((t.target_latency for t in terms.types.values()), default=0)
    lanes = max((rule.lanes for rule in gateway.functions), default=0)
    if quickest and lanes and g.cold and g.fall_multiple * g.cold_from * lanes * g.fall < quickest:
        warn(
            _node(file, "workers"),
            f"a worker that has just started bears under one send in {g.fall / SECOND:g} s "
            f"({g.fall_multiple:g} x {g.cold_from:g} of {lanes} lanes, an answer taking up to "
            f"{quickest / SECOND:g} s): "
            "it gets hardly any, and is not seen to be well",
        )
    if g.cold and g.fall > g.cold:
        warn(
            _node(file, "workers"),
            "'fall' is longer than 'cold': a worker is warm before what it was given is counted",
        )
    total = sum(c.share for c in gateway.customers.values())
    for customer in gateway.customers.values():
        if len(gateway.customers) > 1 and not customer.share and total:
            warn(
                _node(file, "customer", customer.name),
                f"customer '{customer.name}' has no share, others have: nothing of its is beyond one",
            )
    if len(gateway.customers) > 1 and gateway.limits.per_customer * len(gateway.customers) < 1:
        warn(_node(file, "limits"), "all customers' parts together are less than what may be held")
    if gateway.workers.quiet <= gateway.workers.connect_within:
        warn(
            _node(file, "workers"),
            "'quiet' is no longer than 'connect-within': slow links are given up at once",
        )
    if gateway.control and gateway.state is None:
        warn(
            _node(file, "control"),
            "an upgrade without 'state' passes no ids: retries of what is on hand are refused as unknown",
        )
    for name, timeout in gateway.timeouts.items():
        if gateway.workers.drain_grace >= timeout:
            warn(_node(file, "workers"), f"'drain-grace' is no shorter than the action timeout of '{name}'")
        if gateway.remember[name] < timeout:
            warn(
                _node(file, "namespace-type", name),
                f"ids of '{name}' are forgotten before its action timeout is over",
            )
    now = now or datetime.datetime.now(datetime.UTC)
    for node, identity in (
        (_node(file, "gateway"), gateway.tls),
        (_node(file, "workers"), gateway.worker_tls),
        (_node(file, "mqtt"), gateway.mqtt and gateway.mqtt.tls),
    ):
        if identity is not None:
            left = identity.check(now)
            if left is not None and left.days < SOON:
                warn(node, f"its certificate runs out in {left.days} days")
    return found


def _has(node, child):
    return any(c.name == child for c in node.children)


def check(path, text=None, others=()):
    """(errors, warnings, texts by file) of a file and all it includes; warnings only where there are no
    errors. `others`: (the name of a node, what decodes a file that has it) for files that are no
    gateway's."""
    problems = []
    file = document.File(path, text, problems)
    decode = settings.described
    if not any(node.name == "gateway" for node in file.children):
        decode = next((d for name, d in others if any(node.name == name for node in file.children)), decode)
    try:
        described = decode(file)
    except document.BadFile as fault:  # what can't be collected ends the reading
        problems.append(fault)
        described = None
    seen, errors = set(), []
    for fault in problems:
        key = (fault.file, fault.line, fault.column, fault.what)
        if key not in seen:
            seen.add(key)
            errors.append(fault)
    order = list(file.files)
    errors.sort(key=lambda f: (order.index(f.file) if f.file in order else -1, f.line, f.column))
    told = described is not None and not errors and decode == settings.described
    return errors, warnings(file, described) if told else [], file.files
