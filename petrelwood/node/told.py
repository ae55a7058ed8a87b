"""What the platform tells: its JSON file and the settings in it, decoded once to what core and module are told.

The settings are those of the simulator's first message, in microseconds; `drill.py` takes its terms from here too.
"""
import json
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide import membership as members

US, MS = 1_000, 1_000_000       # nanoseconds in the settings' and in the protocol's unit of time
REPORT = {"concurrent": "running", "depth": "waiting", "load_share": "cores", "x0": "pinned", "x1": "loads",
          "inflight": "running", "queue": "waiting", "util": "cores"}
EFFECTS = {"repeatable": ports.REPEATABLE, "by_key": ports.DEDUPLICATED, "once": ports.ONCE_ONLY}
STATES = {"Ready": members.USABLE, "Terminating": members.DRAINING, "Gone": members.GONE}
NAME, LISTEN, FILE = "PROXY_NAME", "PROXY_LISTEN", "PROXY_CONFIG"


def terms(o):
    """`ports.Terms` of the settings."""
    fam, g, p = o["familyInfo"], o["guarantees"], o["permissions"]
    return ports.Terms(
        zone=o.get("zone") or "", dispatchers=o["balancers"],
        types={c["name"]: ports.NamespaceType(
            c["slo"] * US, EFFECTS[c["effect"]], c.get("keyScope") or "all", (c.get("window") or 0) * US)
            for c in o["classes"]},
        quotas={t["name"]: t["quotaRps"] for t in o.get("tenants") or ()},
        guarantees=ports.Guarantees(
            (g.get("askWithin") or 0) * US, g["cold"] * US, g["startCapacity"],
            g["fallMultiple"], g["fall"] * US),
        orders=ports.LoadOrders(
            bool(fam.get("mayOrder")), fam.get("onMiss") != "miss", fam["keep"] * US,
            fam.get("freeLoads") or 0.0, fam.get("loadPart") or 0.0, (fam.get("loadPeriod") or 0) * US),
        allowed=ports.Allowed(
            p["maxAttempts"], bool(p.get("secondCopies")), bool(p.get("cancelling")), bool(p.get("probes")),
            bool(p.get("retryAfter")), (p.get("maxRetryAfter") or 0) * US),
        asks=o.get("membershipMode") == "ask",
        reports_by_probe=(o.get("loadInfo") or {}).get("how") == "pull", tick=o["tick"] * US)


def report(gauge):
    """A load report under the module's names; None or empty where there is none."""
    return gauge and {REPORT[name]: value for name, value in gauge.items() if name in REPORT}


class Bad(Exception):
    """What the dispatcher was told can't be used; the text names what."""


class WorkerTerms(NamedTuple):
    """ns, but for `streams`: sends that one connection may carry at a time."""
    connect_within: int
    idle: int
    streams: int
    order_within: int


class Told(NamedTuple):
    """As `settings.gateway.Gateway`, as far as the core asks it."""
    name: str
    listen: tuple
    names: tuple             # (host, port) of the roster
    number: int              # of the last event in `known`
    known: tuple             # batches of (whole, entries), in order
    seed: str
    sockets: int             # descriptors
    memory: int              # bytes
    timeouts: dict           # namespace type -> action timeout, ns
    workers: WorkerTerms
    terms: ports.Terms
    damps: bool = False
    early: object = None
    limits: object = None


def address(text):
    host, _, port = text.rpartition(":")
    return host, int(port)


def entry(raw):
    """A `membership.Entry` of an endpoint."""
    return members.Entry(raw["name"], address(raw["address"]), raw.get("zone") or "", int(raw.get("group") or 0),
                         int(raw.get("since_ms") or 0) * MS, STATES[raw["status"]])


def _known(known):
    batches = []
    for event in known["batch"]:
        topology = event["topology"]
        batches.append((bool(topology.get("snapshot")) or not batches, tuple(entry(e) for e in topology["endpoints"])))
    return tuple(batches)


def decode(raw):
    """A `Told` of the file's object. Raises KeyError, TypeError, ValueError, AttributeError where it does not fit."""
    settings, limits = raw["settings"], raw["limits"]
    allowed, family = settings["permissions"], settings["familyInfo"]
    connect = (allowed.get("connectTimeout") or 250_000) * US
    return Told(
        raw["name"], address(raw["listen"]), address(raw["names"]), int(raw["known"]["offset"]), _known(raw["known"]),
        str(raw["seed"]), int(limits["sockets"]), int(limits["memory_mb"]) << 20,
        {c["name"]: c["deadline"] * US for c in settings["classes"]},
        WorkerTerms(connect, (allowed.get("connIdle") or 0) * US, max(1, int(allowed.get("multiplex") or 1)),
                    (family.get("orderLimit") or 10_000_000) * US),
        terms(settings))


def read(environ):
    """What the environment's variables and the file they name tell. Raises `Bad`."""
    for variable in (NAME, LISTEN, FILE):
        if not environ.get(variable):
            raise Bad(f"the variable {variable} is not set")
    path = environ[FILE]
    try:
        with open(path, "rb") as file:
            told = decode(json.load(file))
    except OSError as fault:
        raise Bad(f"can't read {path}: {fault.strerror}") from None
    except KeyError as fault:
        raise Bad(f"{path} lacks {fault}") from None
    except (ValueError, TypeError, AttributeError, IndexError) as fault:
        raise Bad(f"{path} can't be used: {fault}") from None
    try:
        return told._replace(name=environ[NAME], listen=address(environ[LISTEN]))
    except ValueError:
        raise Bad(f"{LISTEN} must be HOST:PORT, not {environ[LISTEN]!r}") from None
