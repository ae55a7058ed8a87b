"""What a gateway's file says, decoded once: who calls, which functions there are, and the terms of the
module."""

import base64
import binascii
import datetime
import os
import pathlib
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide.cluster.rollout import DEFAULT_WITHIN, LEAST_WITHIN
from petrelwood.links.tls import BadIdentity, Identity
from petrelwood.settings import document

SECOND = 1_000_000_000
HMAC_BYTES, ED25519_BYTES = range(24, 65), (32,)


class Customer(NamedTuple):
    name: str
    share: float  # activations a second at all dispatchers together; 0: no share is kept
    keys: tuple  # (scheme, bytes): "v1" with an HMAC secret, "v1a" with an Ed25519 public key


class FunctionRule(NamedTuple):
    pattern: str  # a whole name, or the beginning of names before a '*'
    type: str  # its namespace type
    lanes: int
    load_time: int  # ns; 0: not known
    work: int = 0  # ns of the usual work; 0: not known


class Limits(NamedTuple):
    connections: int
    header: int  # bytes of one request's head
    body: int  # bytes
    head_within: int  # ns from the connection's start, or the first byte, to the end of the head
    body_within: int
    idle: int
    pipeline: int  # requests read ahead on one connection
    held: int  # activations owed an answer
    per_customer: float  # the part of them that one customer may hold
    ledger: int  # ids remembered
    results: int  # bytes of answers kept for retries
    handshakes: int  # TLS handshakes in hand
    bytes: int  # of requests that are not whole yet, over all connections


class WorkerTerms(NamedTuple):
    connect_within: int  # ns, to a connection that has greeted
    queue: int  # bytes waiting for a worker that does not read
    frame: int  # bytes of one message at most
    quiet: int  # a link that owes something and is silent so long is closed
    drain_grace: int
    order_within: int


class MqttTerms(NamedTuple):
    broker: tuple
    user: str
    password: bytes
    group: str  # of the shared subscription: the same at all dispatchers
    keep_alive: int  # ns
    session: int  # how long the broker keeps a session without a connection, ns
    window_least: int  # activations of one customer under way at a time
    window_most: int
    connect_within: int
    most: int  # bytes of one packet
    answers_kept: int  # answers that wait for the broker, for each customer
    comeback_first: int
    comeback_most: int
    tls: Identity | None


class EarlyTerms(NamedTuple):
    slot: int  # ns that a forecast counts calls in
    season: int  # what repeats: a day, in service
    week: int  # 0: weeks do not matter
    events: tuple  # (begin, end, factor, prefix), wall clock ns
    fetch: float  # seconds of cold wait that a fetch from the store is worth
    memory_price: float  # and a gigabyte held idle for a second
    size: int  # bytes of a usual copy
    memory: int  # bytes that early loads of this dispatcher may hold; 0: no bound


class HistoryTerms(NamedTuple):
    folder: str
    keep: int  # days
    most: int  # bytes on disk


class StateTerms(NamedTuple):
    folder: str
    durability: str  # "process" or "machine": what a kept record survives


class ConfigurationTerms(NamedTuple):
    """How versions of the settings come from the configuration servers."""

    servers: tuple  # addresses
    within: int  # ns from a version's beginning until it is in force at every dispatcher that can hear of it


class Gateway(NamedTuple):
    name: str
    listen: tuple
    roster: tuple
    seed: int
    tolerance: int  # ns a webhook's time may be off
    timeouts: dict  # namespace type -> action timeout, ns
    remember: dict  # namespace type -> how long an id is remembered, ns
    limits: Limits
    workers: WorkerTerms
    customers: dict
    functions: tuple
    terms: ports.Terms
    tls: Identity | None  # of the webhook front
    worker_tls: object
    mqtt: MqttTerms | None
    early: EarlyTerms | None  # None: nothing is loaded ahead
    history: HistoryTerms | None
    state: StateTerms | None  # None: nothing survives
    versions: str  # folder of versions that are rolled out over all; "": there is none
    configuration: ConfigurationTerms | None  # None: others fill that folder
    control: str  # path of the socket for hand-overs; "": there are none
    health: str  # path of the socket of a speaker beside it, that hears its beats; "": there is none
    damps: bool  # whether storms are damped: on unless the file turns it off

    def as_of(self, own):
        """These settings, with what stays each dispatcher's own taken from the ones of its own file."""
        return self._replace(
            name=own.name,
            listen=own.listen,
            seed=own.seed,
            state=own.state,
            history=own.history,
            control=own.control,
            versions=own.versions,
            configuration=own.configuration,
            health=own.health,
            terms=self.terms._replace(zone=own.terms.zone),
        )

    def rule(self, function: str) -> FunctionRule | None:
        """The rule of a function: its own name first, then the longest beginning; None if there is none."""
        best = None
        for rule in self.functions:
            if rule.pattern == function:
                return rule
            if rule.pattern.endswith("*") and function.startswith(rule.pattern[:-1]):
                if best is None or len(rule.pattern) > len(best.pattern):
                    best = rule
        return best


def key(node, where, value):
    """A key as Standard Webhooks writes it: `whsec_` and a base64 secret, or `whpk_` and an Ed25519 public
    key."""
    prefix, _, rest = document.text(node, where, value).partition("_")
    schemes = {"whsec": ("v1", HMAC_BYTES), "whpk": ("v1a", ED25519_BYTES)}
    if prefix not in schemes:
        raise node.bad(f"{where} must begin with 'whsec_' or 'whpk_'")
    scheme, sizes = schemes[prefix]
    try:
        raw = base64.b64decode(rest, validate=True)
    except (binascii.Error, ValueError):
        raise node.bad(f"{where} is not base64 after '{prefix}_'") from None
    if len(raw) not in sizes:
        raise node.bad(
            f"{where} holds {len(raw)} bytes; {prefix} takes {sizes[0]}"
            + (f" to {sizes[-1]}" if len(sizes) > 1 else "")
        )
    return scheme, raw


def _secret(node):
    """A key as it stands, or by reference: `key env="NAME"`, `key file="path"` that nobody else may read."""
    env, path = node.prop("env", document.text, ""), node.prop("file", document.text, "")
    if not env and not path:
        found = node.arg(key, "a key")
        node.done(1)
        return found
    node.done()
    text = ""
    if env:
        text = os.environ.get(env, "")
        if not text:
            node.wrong(f"the environment has no '{env}'")
    else:
        whole = pathlib.Path(node.file).parent / path
        try:
            if whole.stat().st_mode & 0o077:
                node.wrong(f"'{path}' can be read by others; its mode must be 600 or less")
            text = whole.read_text().strip()
        except (OSError, UnicodeDecodeError) as fault:
            node.wrong(f"'{path}' can't be read: {getattr(fault, 'strerror', None) or 'it is not text'}")
    return node._decoded(key, f"the key in {env or path}", text) if text else key.sample


def _customer(node):
    name, share = node.arg(document.text, "a name"), node.prop("share", document.number, 0)
    keys = []
    for child in node.every("key"):
        keys.append(_secret(child))
    if not keys and not [c for c in node.children if c.name != "key"]:
        node.wrong(f"customer '{name}' has no key")
    node.done(1)
    return Customer(name, float(share), tuple(keys))


def _type(node):
    name = node.arg(document.text, "a name")
    target, timeout = (
        node.value("target-latency", document.duration),
        node.value("action-timeout", document.duration),
    )
    if target > timeout:
        node.wrong(f"namespace type '{name}': its target latency is over its action timeout")
    effect = node.value(
        "effect", document.one_of(ports.Effect.REPEATABLE, ports.Effect.DEDUPLICATED, ports.Effect.ONCE_ONLY)
    )
    deduplicated = effect == ports.Effect.DEDUPLICATED
    scope = node.value(
        "scope", document.one_of("all", "zone", "cell"), document.REQUIRED if deduplicated else "all"
    )
    window = node.value("window", document.duration, document.REQUIRED if deduplicated else 0)
    remember = node.value("remember", document.duration, 0)
    node.done(1)
    return name, ports.NamespaceType(target, effect, scope, window), timeout, remember


def _unique(nodes, name):
    seen = {}
    for node in nodes:
        label = node.args[0] if node.args else None
        if label in seen:
            node.wrong(f"{name} '{label}' is given twice; first {seen[label].place(node)}")
        seen.setdefault(label, node)
    return list(seen.values())


def _limits(node):
    read = node.value if node else lambda name, kind, default: default
    limits = Limits(
        read("connections", document.count, 2000),
        read("header", document.size, 16_000),
        read("body", document.size, 1_000_000),
        read("head-within", document.duration, 5 * SECOND),
        read("body-within", document.duration, 10 * SECOND),
        read("idle", document.duration, 75 * SECOND),
        read("pipeline", document.count, 16),
        read("held", document.count, 20_000),
        read("per-customer", document.share, 0.8),
        read("ledger", document.count, 500_000),
        read("results", document.size, 64_000_000),
        read("handshakes", document.count, 250),
        read("bytes", document.size, 256_000_000),
    )
    if node:
        node.done()
    return limits


def _tls(node, mutual=False):
    """The identity that a `tls` child gives, or None."""
    found = node.child("tls", None)
    if found is None:
        return None
    base = pathlib.Path(node.file).parent
    paths = [
        str(base / value) if value else ""
        for value in (found.prop(name, document.text, "") for name in ("cert", "key", "trusts"))
    ]
    mutual, name = found.prop("mutual", document.yes, mutual), found.prop("name", document.text, "")
    found.done()
    try:
        return Identity(*paths, mutual, name)
    except BadIdentity as fault:
        found.wrong(str(fault))
        return None


def _mqtt(node):
    if node is None:
        return None
    window, base = node.child("window", None), pathlib.Path(node.file).parent
    least = window.prop("least", document.count, 4) if window else 4
    most = window.prop("most", document.count, 256) if window else 256
    if not 0 < least <= most <= 65535:
        (window or node).wrong("'window' needs 0 < least <= most <= 65535")
    if window:
        window.done()
    password, file = node.value("password", document.text, ""), node.value("password-file", document.text, "")
    if file:
        try:
            password = (base / file).read_text().strip()
        except OSError as fault:
            node.wrong(f"'password-file' can't be read: {fault.strerror}")
    made = MqttTerms(
        node.value("broker", document.address),
        node.value("user", document.text, None),
        password.encode() if password else None,
        node.value("group", document.text, "petrelwood"),
        node.value("keep-alive", document.duration, 20 * SECOND),
        node.value("session", document.duration, 30 * SECOND),
        least,
        most,
        node.value("connect-within", document.duration, 2 * SECOND),
        node.value("packet", document.size, 1_000_000),
        node.value("answers", document.count, 10_000),
        node.value("come-back", document.duration, SECOND // 10),
        node.value("come-back-most", document.duration, 10 * SECOND),
        _tls(node),
    )
    node.done()
    if made.keep_alive < SECOND:
        node.wrong("'keep-alive' must be 1 s or more: the protocol counts in seconds")
    if set(made.group) & set("+#/"):
        node.wrong("'group' can't hold '+', '#' or '/'")
    return made


def date(node, where, value):
    """A date and time as ISO 8601 has it, with its offset; wall clock ns."""
    try:
        found = datetime.datetime.fromisoformat(document.text(node, where, value))
    except ValueError:
        raise node.bad(f'{where} must be a time like "2026-12-31T08:00+01:00", not {value!r}') from None
    if found.tzinfo is None:
        raise node.bad(f'{where} needs its offset from UTC, as in "{value}+01:00"')
    return int(found.timestamp()) * SECOND


def _early(node):
    if node is None:
        return None
    events = []
    for one in node.every("event"):
        begin = one.prop("from", date)
        events.append(
            (
                begin,
                begin + one.prop("for", document.duration),
                float(one.prop("factor", document.number)),
                one.arg(document.text, "the beginning of functions' names"),
            )
        )
        one.done(1)
    season = node.value("season", document.duration, 86_400 * SECOND)
    made = EarlyTerms(
        node.value("slot", document.duration, 60 * SECOND),
        season,
        7 * season if node.value("weeks", document.yes, True) else 0,
        tuple(events),
        node.value("fetch-price", document.duration, SECOND // 5) / SECOND,
        float(node.value("memory-price", document.number, 0.002)),
        node.value("copy-size", document.size, 10**9),
        node.value("memory", document.size, 0),
    )
    node.done()
    if not 0 < made.slot <= made.season:
        node.wrong("'slot' must be over 0 and no longer than 'season'")
    return made


def _history(node):
    if node is None:
        return None
    made = HistoryTerms(
        str(pathlib.Path(node.file).parent / node.value("folder", document.text)),
        node.value("keep", document.count, 60),
        node.value("most", document.size, 1 << 30),
    )
    node.done()
    return made


def _state(node):
    if node is None:
        return None
    made = StateTerms(
        str(pathlib.Path(node.file).parent / node.value("folder", document.text)),
        node.value("durability", document.one_of("process", "machine"), "process"),
    )
    node.done()
    return made


def _configuration(node, versions):
    if node is None:
        return None
    servers = []
    for one in node.every("server"):
        servers.append(one.arg(document.address, "an address"))
        one.done(1)
    made = ConfigurationTerms(tuple(servers), node.value("within", document.duration, DEFAULT_WITHIN))
    node.done()
    if not servers:
        node.wrong("'configuration' needs a 'server' at least")
    if not versions:
        node.wrong("'configuration' needs a folder of 'versions' to keep what it hears of")
    if made.within < LEAST_WITHIN:
        node.wrong(f"'within' can't be under {LEAST_WITHIN // SECOND} s: versions are taken in stages")
    return made


def _worker_terms(node):
    """(how links behave, the module's guarantees, its load orders, what is allowed)"""
    cold, fall, sends = node.child("cold"), node.child("fall"), node.child("sends")
    ration = node.child("ration", None)
    keep, on_miss = (
        node.value("keep", document.duration),
        node.value("on-miss", document.one_of("load", "miss")),
    )
    within = node.value("connect-within", document.duration, SECOND // 4)
    terms = WorkerTerms(
        within,
        node.value("queue", document.size, 4_000_000),
        node.value("frame", document.size, 8_000_000),
        node.value("quiet", document.duration, 30 * SECOND),
        node.value("drain-grace", document.duration, SECOND // 4),
        node.value("order-within", document.duration, 10 * SECOND),
    )
    guarantees = ports.Guarantees(
        0,
        cold.arg(document.duration, "a time"),
        cold.prop("from", document.share),
        fall.prop("multiple", document.number),
        fall.arg(document.duration, "a time"),
    )
    orders = ports.LoadOrders(
        node.value("orders", document.yes, True),
        on_miss == "load",
        keep,
        *(
            (
                float(ration.prop("free", document.number)),
                ration.prop("part", document.share),
                ration.prop("period", document.duration),
            )
            if ration
            else (0.0, 0.0, 0)
        ),
    )
    allowed = ports.Allowed(
        sends.arg(document.count, "a number"),
        sends.prop("overlap", document.yes, True),
        node.value("cancel", document.yes, True),
        node.value("probe", document.yes, True),
        True,
        node.value("most-retry-after", document.duration, 10 * SECOND),
    )
    by_probe = node.value("reports", document.one_of("answers", "probe"), "answers") == "probe"
    tls = _tls(node)
    for part, args in ((cold, 1), (fall, 1), (sends, 1), (ration, 0), (node, 0)):
        if part:
            part.done(args)
    return terms, guarantees, orders, allowed, by_probe, tls


key.sample, date.sample = ("v1", bytes(32)), 0


def read(path, text=None, problems=None, reads=None):
    """The gateway that a file, or a text in its place, describes. Raises `document.BadFile` with the first
    thing that is wrong; with `problems`, a list, all of it is put there. `reads`, a list, is told of each
    value: (key, value, place or None)."""
    return described(document.File(path, text, problems, reads))


def described(file):
    """The gateway that a `document.File` describes; what is wrong is raised or collected as the file was
    opened to do."""
    node = file.child("gateway")
    name, zone = node.arg(document.text, "a name"), node.value("zone", document.text, "")
    listen, roster = node.value("listen", document.address), node.value("roster", document.address)
    seed, dispatchers = node.value("seed", document.count, 0), node.value("dispatchers", document.count, 1)
    tick = node.value("tick", document.duration, SECOND // 500)
    tolerance = node.value("tolerance", document.duration, 300 * SECOND)
    tls = _tls(node)
    node.done(1)
    if not dispatchers:
        node.wrong("'dispatchers' must be 1 or more: this one counts")
    types, timeouts, remember = {}, {}, {}
    for one in _unique(file.every("namespace-type"), "namespace type"):
        label, type_, timeout, keep = _type(one)
        types[label], timeouts[label], remember[label] = type_, timeout, max(keep, 2 * tolerance)
    if not types and not file.partial:
        file.wrong("no 'namespace-type' is given")
    customers = {c.name: c for c in map(_customer, _unique(file.every("customer"), "customer"))}
    if not customers and not file.partial:
        file.wrong("no 'customer' is given")
    functions = []
    for one in _unique(file.every("function"), "function"):
        type_ = one.prop("type", document.text)
        if type_ not in types:
            # else one that can't be read may be meant
            if "" not in types and types and not file.partial:
                one.wrong(f"there is no namespace type '{type_}'{document.meant(type_, sorted(types))}")
        rule = FunctionRule(
            one.arg(document.text, "a name"),
            type_,
            one.prop("lanes", document.count, 1) or 1,
            one.prop("load-time", document.duration, 0),
        )
        one.done(1)
        functions.append(rule)
    limits = _limits(file.child("limits", None))
    mqtt, early = _mqtt(file.child("mqtt", None)), _early(file.child("early", None))
    history = _history(file.child("history", None))
    state = _state(file.child("state", None))
    control, versions = file.value("control", document.text, ""), file.value("versions", document.text, "")
    configuration = _configuration(file.child("configuration", None), versions)
    health, damps = file.value("health", document.text, ""), file.value("damp-storms", document.yes, True)
    workers, guarantees, orders, allowed, by_probe, worker_tls = _worker_terms(file.child("workers"))
    file.done()
    terms = ports.Terms(
        zone,
        dispatchers,
        types,
        {c.name: c.share for c in customers.values() if c.share},
        guarantees,
        orders,
        allowed,
        False,
        by_probe,
        tick,
    )
    return Gateway(
        name,
        listen,
        roster,
        seed,
        tolerance,
        timeouts,
        remember,
        limits,
        workers,
        customers,
        tuple(functions),
        terms,
        tls,
        worker_tls,
        mqtt,
        early,
        history,
        state,
        str(pathlib.Path(file.file).parent / versions) if versions else "",
        configuration,
        str(pathlib.Path(file.file).parent / control) if control else "",
        str(pathlib.Path(file.file).parent / health) if health else "",
        damps,
    )
