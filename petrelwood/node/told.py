"""What the platform tells: its JSON file and the settings in it, decoded once to what core and module are
told.

The settings are those of the simulator's first message, in microseconds; `drill.py` takes its terms from here
too."""

import errno
import json
import math
import resource
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide.cluster import membership

US, MS = 1_000, 1_000_000  # nanoseconds in the settings' and in the protocol's unit of time
CONNECT, ORDER = 250 * MS, 10_000 * MS  # where the settings say nothing of them
REPORT = {
    "concurrent": "running",
    "depth": "waiting",
    "load_share": "cores",
    "x0": "pinned",
    "x1": "loads",
    "inflight": "running",
    "queue": "waiting",
    "util": "cores",
}
EFFECTS = {
    "repeatable": ports.Effect.REPEATABLE,
    "by_key": ports.Effect.DEDUPLICATED,
    "once": ports.Effect.ONCE_ONLY,
}
SCOPES = ("all", "zone", "cell")
STATES = {
    "Ready": membership.EndpointState.USABLE,
    "Terminating": membership.EndpointState.DRAINING,
    "Gone": membership.EndpointState.GONE,
}
NAME, LISTEN, FILE = "PROXY_NAME", "PROXY_LISTEN", "PROXY_CONFIG"


class Bad(Exception):
    """What the dispatcher was told can't be used; the text names what."""


class NoDescriptor(Bad):
    """The file could not be opened for lack of a descriptor, of the process or of the machine."""


class Part:
    """One object of what is told. Each value is taken by its name; one of an unknown shape is named with the
    way there. Null is absent, and what nobody asks for is passed over."""

    def __init__(self, raw, way):
        if not isinstance(raw, dict):
            raise Bad(f"{way} must be an object")
        self.raw, self.way = raw, way

    def _take(self, name, fits, shape, default):
        value = self.raw.get(name)
        if value is None:
            if default is None:
                raise Bad(f"{self.way} lacks '{name}'")
            return default
        if not fits(value):
            raise Bad(f"{self.way}.{name} must be {shape}, not {value!r:.40}")
        return value

    def number(self, name, default=None, least=0):
        return self._take(
            name,
            lambda v: (
                isinstance(v, (int, float)) and not isinstance(v, bool) and math.isfinite(v) and v >= least
            ),
            f"a number of {least} at least",
            default,
        )

    def time(self, name, default=None, least=0):
        """ns of a value in microseconds."""
        return int(self.number(name, default, least) * US)

    def flag(self, name):
        return self._take(name, lambda v: isinstance(v, bool), "true or false", False)

    def text(self, name, default=None):
        return self._take(name, lambda v: isinstance(v, str), "a text", default)

    def word(self, name, known, default=None):
        return self._take(
            name, lambda v: isinstance(v, str) and v in known, "one of " + ", ".join(known), default
        )

    def part(self, name, default=None):
        return Part(
            self._take(name, lambda v: isinstance(v, dict), "an object", default), f"{self.way}.{name}"
        )

    def each(self, name, default=None):
        rows = self._take(name, lambda v: isinstance(v, list), "a list", default)
        return [Part(row, f"{self.way}.{name}[{n}]") for n, row in enumerate(rows)]


def terms(raw):
    """`ports.Terms` of the settings. Raises `Bad`."""
    o = Part(raw, "settings")
    fam, g, p, fees = o.part("familyInfo"), o.part("guarantees"), o.part("permissions"), o.part("fees", {})
    types = {
        c.text("name"): ports.NamespaceType(
            c.time("slo", least=1),
            EFFECTS[c.word("effect", EFFECTS)],
            c.word("keyScope", SCOPES, "all"),
            c.time("window", 0),
            c.number("aimStretch", 0),
            c.time("deadline", 0),
        )
        for c in o.each("classes")
    }
    if not types:
        raise Bad("settings.classes must hold one at least")
    asks = o.word("membershipMode", ("push", "ask"), "push") == "ask"
    return ports.Terms(
        zone=o.text("zone", ""),
        dispatchers=int(o.number("balancers", least=1)),
        types=types,
        quotas={
            t.text("name"): t.number("quotaRps")
            for t in o.each("tenants", [])
            if t.raw.get("quotaRps") is not None
        },
        guarantees=ports.Guarantees(
            g.time("askWithin", None if asks else 0),
            g.time("cold"),
            g.number("startCapacity"),
            g.number("fallMultiple"),
            g.time("fall"),
        ),
        orders=ports.LoadOrders(
            fam.flag("mayOrder"),
            fam.word("onMiss", ("load", "miss"), "load") == "load",
            fam.time("keep"),
            fam.number("freeLoads", 0),
            fam.number("loadPart", 0),
            fam.time("loadPeriod", 0),
        ),
        allowed=ports.Allowed(
            int(p.number("maxAttempts", least=1)),
            p.flag("secondCopies"),
            p.flag("cancelling"),
            p.flag("probes"),
            p.flag("retryAfter"),
            p.time("maxRetryAfter", 0),
        ),
        asks=asks,
        reports_by_probe=o.part("loadInfo", {}).word("how", ("piggyback", "pull", "silent"), "silent")
        == "pull",
        tick=o.time("tick", least=1),
        probe_fee=fees.number("probe", 0),
        beyond=o.number("overShareWorth", 0),
    )


def report(gauge):
    """A load report under the module's names; None or empty where there is none."""
    return gauge and {REPORT[name]: value for name, value in gauge.items() if name in REPORT}


class WorkerTerms(NamedTuple):
    """ns, but for `streams`, sends that one connection may carry at a time, and `cancels`, whether a send may
    be taken back."""

    connect_within: int
    idle: int
    streams: int
    order_within: int
    cancels: bool


class Told(NamedTuple):
    """As `settings.gateway.Gateway`, as far as the core asks it."""

    name: str
    listen: tuple
    names: tuple  # (host, port) of the roster
    number: int  # of the last event in `known`
    known: tuple  # batches of (whole, entries), in order
    seed: str
    sockets: int  # descriptors
    memory: int  # bytes
    timeouts: dict  # namespace type -> action timeout, ns
    customers: frozenset  # their names, also of those without a quota
    workers: WorkerTerms
    terms: ports.Terms
    damps: bool = False
    early: object = None
    limits: object = None


def address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def entry(raw):
    """A `membership.Endpoint` of an endpoint."""
    return membership.Endpoint(
        raw["name"],
        address(raw["address"]),
        raw.get("zone") or "",
        int(raw.get("group") or 0),
        int(raw.get("since_ms") or 0) * MS,
        STATES[raw["status"]],
    )


def _known(known):
    batches = []
    for event in known["batch"]:
        topology = event["topology"]
        batches.append(
            (bool(topology.get("snapshot")) or not batches, tuple(entry(e) for e in topology["endpoints"]))
        )
    return tuple(batches)


def decode(raw):
    """A `Told` of the file's object. Raises `Bad`, and KeyError, TypeError, ValueError, AttributeError where
    lists of workers or addresses do not fit."""
    file = Part(raw, "the file")
    settings, limits = file.part("settings"), file.part("limits")
    settings.way = "settings"
    allowed, family = settings.part("permissions"), settings.part("familyInfo")
    timeouts = {c.text("name"): c.time("deadline", least=1) for c in settings.each("classes")}
    return Told(
        file.text("name"),
        address(file.text("listen")),
        address(file.text("names")),
        int(file.part("known").number("offset")),
        _known(raw["known"]),
        str(raw["seed"]),
        int(limits.number("sockets", least=1)),
        int(limits.number("memory_mb", least=1)) << 20,
        timeouts,
        frozenset(t.text("name") for t in settings.each("tenants", [])),
        WorkerTerms(
            allowed.time("connectTimeout", 0) or CONNECT,
            allowed.time("connIdle", 0),
            max(1, int(allowed.number("multiplex", 1))),
            family.time("orderLimit", 0) or ORDER,
            allowed.flag("cancelling"),
        ),
        terms(settings.raw),
    )


def _most_descriptors(sockets):
    """Descriptors that this process may really hold, of `sockets` told: a lower limit of its own counts."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sockets if limit == resource.RLIM_INFINITY else min(sockets, limit)


def read(environ):
    """What the environment's variables and the file they name tell, within the process's own limits. Raises
    `Bad`, and `NoDescriptor` where the file may well be good."""
    for variable in (NAME, LISTEN, FILE):
        if not environ.get(variable):
            raise Bad(f"the variable {variable} is not set")
    path = environ[FILE]
    try:
        with open(path, "rb") as file:
            told = decode(json.load(file))
    except OSError as fault:
        kind = NoDescriptor if fault.errno in (errno.EMFILE, errno.ENFILE) else Bad
        raise kind(f"can't read {path}: {fault.strerror}") from None
    except Bad as fault:
        raise Bad(f"{path}: {fault}") from None
    except KeyError as fault:
        raise Bad(f"{path} lacks {fault}") from None
    except (ValueError, TypeError, AttributeError, IndexError) as fault:
        raise Bad(f"{path} can't be used: {fault}") from None
    try:
        return told._replace(
            name=environ[NAME],
            listen=address(environ[LISTEN]),
            sockets=_most_descriptors(told.sockets),
        )
    except ValueError:
        raise Bad(f"{LISTEN} must be HOST:PORT, not {environ[LISTEN]!r}") from None
