"""A day as a script in KDL: the platform, its traffic, and what goes wrong when.

    day "NAME" { length "26s"; rate 120 ... }      the platform and the traffic
    terms { ... }                                  copied verbatim into each gateway's file
    trouble "KIND" at="5s" ...                     one fault ("trouble") each

`TROUBLES` and `EMULATED` list every kind of fault with its properties and its effect."""

import hashlib
import math
import pathlib
from typing import NamedTuple

from petrelwood.emulate.machine import Build, Model
from petrelwood.settings import decoders, document
from petrelwood.settings.errors import SettingsError, suggestion

SECOND = 1_000_000_000
OWN = pathlib.Path(__file__).parent.parent / "lab" / "days"

# kind -> (its properties besides at=, its effect)
TROUBLES = {
    "release": (
        {"part": decoders.FRACTION},
        "so many of the functions are released anew: their copies and images are void",
    ),
    "roster-late": ({"for": decoders.DURATION, "by": decoders.DURATION}, "the roster runs so much later"),
    "roster-lost": ({"for": decoders.DURATION}, "the roster closes its streams and takes none"),
    "drain": (
        {"worker": decoders.TEXT, "for": decoders.DURATION},
        "a worker is announced as draining, then as usable again",
    ),
    "hang": ({"worker": decoders.TEXT, "for": decoders.DURATION}, "a worker takes calls and answers nothing"),
    "slow": (
        {"worker": decoders.TEXT, "for": decoders.DURATION, "times": decoders.NUMBER},
        "a worker is so many times slower",
    ),
    "pause": ({"worker": decoders.TEXT, "for": decoders.DURATION}, "a worker stands still"),
    "reset": ({"worker": decoders.TEXT}, "a worker resets its connections in the middle of answers"),
    "restart": (
        {"worker": decoders.TEXT, "down": decoders.DURATION},
        "a worker is killed and comes back cold",
    ),
    "silent-accept": (
        {"worker": decoders.TEXT, "for": decoders.DURATION},
        "a worker accepts connections and says nothing",
    ),
    "garbage": ({"worker": decoders.TEXT}, "a worker sends what is no message, once, on each connection"),
    "broker-drop": ({}, "the broker throws out all clients at once"),
    "broker-lost": ({"for": decoders.DURATION}, "the broker is away; its sessions are kept"),
    "broker-silent": ({"for": decoders.DURATION}, "the broker accepts connections and says nothing"),
    "broker-forgets": ({}, "the broker loses its sessions and what they held"),
    "store-stop": ({"for": decoders.DURATION}, "the store stops"),
    "replays": (
        {"for": decoders.DURATION, "part": decoders.FRACTION},
        "old requests are sent again word for word",
    ),
    "forgeries": (
        {"for": decoders.DURATION, "part": decoders.FRACTION},
        "requests come with a wrong signature",
    ),
    "slow-senders": (
        {"for": decoders.DURATION, "count": decoders.COUNT},
        "connections that send a byte now and then",
    ),
    "overuse": (
        {"customer": decoders.TEXT, "for": decoders.DURATION, "times": decoders.NUMBER},
        "a customer asks so many times more",
    ),
    "burst": ({"for": decoders.DURATION, "times": decoders.NUMBER}, "all traffic is so many times more"),
    "kill": (
        {"dispatcher": decoders.TEXT, "down": decoders.DURATION},
        "a dispatcher is killed outright and started again",
    ),
    "stop": (
        {"dispatcher": decoders.TEXT, "down": decoders.DURATION},
        "a dispatcher is told to end, and started again",
    ),
    "router-reset": ({}, "the router drops all its sessions without a word (where there is one)"),
    "upgrade": (
        {"dispatcher": decoders.TEXT},
        "another process takes over from a dispatcher (in the emulator nothing is seen of it)",
    ),
}


# Faults that only the emulator plays, because they need the true state of the platform or the clients.
EMULATED = {
    "hot": (
        {"for": decoders.DURATION, "part": decoders.FRACTION, "functions": decoders.COUNT},
        "functions not seen before draw that part of all traffic",
    ),
    "scan": (
        {"for": decoders.DURATION, "part": decoders.FRACTION},
        "that part of the calls is for functions wanted only once",
    ),
    "heavy": (
        {"for": decoders.DURATION, "part": decoders.FRACTION, "times": decoders.NUMBER},
        "that part of the activations costs so many times the usual work",
    ),
    "hurry": (
        {"for": decoders.DURATION, "part": decoders.FRACTION, "patience": decoders.FRACTION},
        "that part of the clients waits only that share of the target latency",
    ),
    "shift": ({"part": decoders.FRACTION}, "that part of the traffic moves to one hall, for good"),
    "ageing": (
        {
            "part": decoders.FRACTION,
            "for": decoders.DURATION,
            "times": decoders.NUMBER,
            "down": decoders.DURATION,
        },
        "workers grow slower and slower, die once and come back cold",
    ),
    "pauses": (
        {
            "part": decoders.FRACTION,
            "for": decoders.DURATION,
            "length": decoders.DURATION,
            "every": decoders.DURATION,
        },
        "workers stand still again and again",
    ),
    "cut": (
        {"dispatcher": decoders.TEXT, "hall": decoders.TEXT, "for": decoders.DURATION},
        "nothing passes from that dispatcher to that hall; the other way all does",
    ),
    "lying": (
        {"worker": decoders.TEXT, "for": decoders.DURATION},
        "a worker's load reports say that it is idle",
    ),
    "wrong-answers": (
        {"worker": decoders.TEXT, "for": decoders.DURATION},
        "a worker answers the wrong activation",
    ),
    "leak": (
        {"worker": decoders.TEXT, "for": decoders.DURATION, "size": decoders.SIZE},
        "a worker's memory is never released: so much is gone each second",
    ),
    "roster-stale": (
        {"part": decoders.FRACTION, "for": decoders.DURATION},
        "that part of the dispatchers hears nothing of the roster",
    ),
    "clock-step": (
        {"dispatcher": decoders.TEXT, "by": decoders.DURATION},
        "a dispatcher's wall clock jumps ahead",
    ),
    "withdrawn": (
        {"part": decoders.FRACTION, "for": decoders.DURATION},
        "the front layer sends that part of the dispatchers nothing; what they have they finish",
    ),
    "crash": (
        {"part": decoders.FRACTION, "down": decoders.DURATION},
        "that part of the dispatchers is killed and started again",
    ),
    "roll": (
        {"part": decoders.FRACTION, "for": decoders.DURATION, "down": decoders.DURATION},
        "that part of the dispatchers is restarted, one after another",
    ),
}
# Kinds that accept part= in place of worker=.
WORKERS = ("drain", "hang", "slow", "pause", "reset", "restart", "silent-accept")


class Trouble(NamedTuple):
    """A fault of a day: `at`: ns from the day's begin."""

    kind: str
    at: int
    span: int  # ns that it lasts; 0: instantaneous
    what: dict  # its other properties, as in the file


class Kind(NamedTuple):
    """A family of functions in the traffic."""

    prefix: str
    type: str
    count: int
    part: float  # of all activations
    zipf: float
    work: int  # ns of one core, the mean
    lanes: int
    size: int
    load_time: int
    customers: tuple  # the customers that call it; empty: all
    turning: float  # the share of the functions whose ranks are swapped with others after each spell
    spell: int  # ns between swaps of ranks; 0: never
    timed: float  # the share of the activations that comes from timers
    season: int  # ns; each function peaks once in each season; 0: no seasons

    def model(self, name):
        """Return the model of one function; its size is derived from its name, between half and 1.5 times."""
        scale = 0.5 + int(hashlib.sha256(name.encode()).hexdigest()[:6], 16) / 0xFFFFFF
        return Model(name, self.lanes, int(self.size * scale), int(self.load_time * scale))


class Client(NamedTuple):
    """The clients of one customer."""

    name: str
    part: float  # of all activations
    share: float  # activations a second that it is entitled to; 0: no share is enforced
    patience: int  # s, sent as Prefer: wait; 0: not sent
    retries: int
    honours: float  # the share of Retry-After hints that it follows
    impatient: float  # the share of its tries that hang up early
    by: str  # "webhook" or "mqtt"
    devices: int  # sessions at the broker
    insists: bool = False  # it retries even what may have run, with the same id (emulator only)


class Day(NamedTuple):
    """A day: the platform, its traffic and its faults. Times in ns."""

    file: str
    name: str
    length: int
    settle: int  # how long the day goes on after the last arrival
    rate: float
    dispatchers: tuple  # names
    zones: tuple
    workers: tuple  # (name, zone, cell)
    build: Build
    store: dict
    roster_late: int
    stops_work: bool  # whether a cancel stops running work
    warm: bool  # whether workers hold copies as after long traffic when the day begins
    kinds: tuple
    clients: tuple
    troubles: tuple
    terms: object  # the document node whose children are copied into each gateway's file
    early: bool = True  # whether early loads are issued, where the terms have them
    ask_every: int = 0  # ns between polls of a roster that does not push; 0: it pushes (emulator only)
    roster_lines: float = 0.0  # lines a second that a polled roster serves in all; 0: unlimited
    damps: bool = True  # whether dispatchers damp storms
    # the address that dispatchers announce to a router, which steers the portal's traffic; "": there is none
    service: str = ""
    state: bool = True  # whether the dispatchers' state survives a kill

    @property
    def upgrades(self):
        """Whether the script has an upgrade, so that dispatchers must keep state and allow a successor."""
        return any(t.kind == "upgrade" for t in self.troubles)

    def works(self):
        """Return {namespace type: mean work of its first kind of function}, used to judge cold budgets."""
        found = {}
        for kind in self.kinds:
            found.setdefault(kind.type, kind.work)
        return found

    def kind(self, function):
        for kind in self.kinds:
            if function.startswith(kind.prefix):
                return kind
        return None

    def hit(self, trouble, seed):
        """Return the workers that a fault affects: the named one, a drawn share, or all."""
        names = [w[0] for w in self.workers]
        if "worker" in trouble.what:
            return [trouble.what["worker"]]
        if "part" not in trouble.what or trouble.kind not in WORKERS + ("ageing", "pauses"):
            return names
        mark = sorted(
            (hashlib.sha256(f"{seed}/{trouble.kind}/{trouble.at}/{n}".encode()).hexdigest(), n) for n in names
        )
        return [n for _, n in mark[: max(1, round(trouble.what["part"] * len(names)))]]

    def initial_copies(self, seed):
        """Return {worker: [function]}: the copies loaded when the day begins, as after long traffic.

        Functions called at least once per keep-alive have copies for 1.5 times their mean concurrency.
        """
        names, found = [w[0] for w in self.workers], {w[0]: [] for w in self.workers}
        for kind in self.kinds if self.warm else ():
            weights = [(i + 1) ** -kind.zipf for i in range(kind.count)]
            for i, weight in enumerate(weights):
                calls = self.rate * kind.part * weight / sum(weights)
                if calls * self.build.keep / 1e9 < 1:
                    continue
                for copy in range(
                    min(len(names), max(1, math.ceil(1.5 * calls * kind.work / 1e9 / kind.lanes)))
                ):
                    mark = int(hashlib.sha256(f"{seed}/{kind.prefix}{i}/{copy}".encode()).hexdigest()[:8], 16)
                    found[names[mark % len(names)]].append(f"{kind.prefix}{i}")
        return found

    def released(self, part, seed):
        """Return the functions that a release of this share replaces; the same on all workers."""
        names = [f"{k.prefix}{i}" for k in self.kinds for i in range(k.count)]
        mark = [(hashlib.sha256(f"{seed}/{n}".encode()).hexdigest(), n) for n in names]
        return [n for _, n in sorted(mark)[: round(part * len(names))]]


def find(name):
    """Return the path of a day: the path given, or the one of a day of that name in `lab/days`."""
    path = pathlib.Path(name)
    if path.suffix == ".kdl" or path.exists():
        return path
    own = OWN / f"{name}.kdl"
    if not own.exists():
        names = sorted(p.stem for p in OWN.glob("*.kdl"))
        raise SettingsError(name, 0, f"there is no such day{suggestion(name, names)}")
    return own


def _trouble(node, day_length, workers, dispatchers, customers):
    kind = node.arg(decoders.one_of(*TROUBLES, *EMULATED), "a kind")
    takes = {**TROUBLES, **EMULATED}[kind][0]
    if kind in WORKERS and "part" in node.props:
        takes = {**{k: v for k, v in takes.items() if k != "worker"}, "part": decoders.FRACTION}
    at, span = (
        node.prop("at", decoders.DURATION),
        node.prop("for", decoders.DURATION) if "for" in takes else 0,
    )
    what = {name: node.prop(name, read) for name, read in takes.items() if name != "for"}
    again = node.prop("again", decoders.DURATION, 0)
    node.reject_unknown(1)
    if again and again < span:
        node.report(f"'{kind}' comes again before it is over")
    if span > day_length:
        node.report(f"'{kind}' lasts longer than the day")
    if at > day_length:
        node.report(f"'{kind}' begins after the day's end")
    for name, known in (("worker", workers), ("dispatcher", dispatchers), ("customer", customers)):
        if name in what and known and what[name] not in known:
            node.report(f"there is no {name} '{what[name]}'{suggestion(what[name], sorted(known))}")
    times = range(at, max(at, day_length - span) + 1, again) if again else (at,)
    return [Trouble(kind, begins, span, what) for begins in times]


def _kind(node):
    made = Kind(
        node.arg(decoders.TEXT, "a prefix"),
        node.prop("type", decoders.TEXT),
        node.prop("count", decoders.COUNT),
        node.prop("part", decoders.FRACTION),
        node.prop("zipf", decoders.NUMBER, 1.1),
        node.prop("work", decoders.DURATION),
        node.prop("lanes", decoders.COUNT, 1),
        node.prop("size", decoders.SIZE),
        node.prop("load-time", decoders.DURATION),
        tuple(c.arg(decoders.TEXT, "a customer") for c in node.every("customer")),
        node.prop("turning", decoders.FRACTION, 0.0),
        node.prop("spell", decoders.DURATION, 0),
        node.prop("timed", decoders.FRACTION, 0.0),
        node.prop("season", decoders.DURATION, 0),
    )
    node.reject_unknown(1)
    return made


def _client(node):
    made = Client(
        node.arg(decoders.TEXT, "a name"),
        node.prop("part", decoders.FRACTION),
        node.prop("share", decoders.NUMBER, 0),
        node.prop("patience", decoders.COUNT, 0),
        node.prop("retries", decoders.COUNT, 1),
        node.prop("honours", decoders.FRACTION, 1.0),
        node.prop("impatient", decoders.FRACTION, 0.0),
        node.prop("by", decoders.one_of("webhook", "mqtt"), "webhook"),
        node.prop("devices", decoders.COUNT, 4),
        node.prop("insists", decoders.FLAG, False),
    )
    node.reject_unknown(1)
    return made


def read(path, text=None, problems=None):
    """Return the day that a file, or a text in its place, describes.

    Raises `SettingsError`, or collects the errors in `problems`.
    """
    return described(document.File(path, text, problems))


def described(file):
    """Return the day that a `document.File` describes.

    Errors are raised or collected, depending on how the file was opened.
    """
    node, fleet, terms = file.child("day"), file.child("fleet"), file.child("terms")
    length, count = node.value("length", decoders.DURATION), node.value("dispatchers", decoders.COUNT)
    dispatchers = tuple(f"d{i + 1}" for i in range(count))
    zones = node.child("halls")
    names = tuple(zones.arg(decoders.TEXT, "a hall", at=i) for i in range(len(zones.args)))
    if not names:
        zones.report("'halls' needs a name")
        names = ("",)
    worker_count, cell = fleet.value("workers", decoders.COUNT), fleet.value("cell", decoders.COUNT, 4) or 1
    workers = tuple(
        (f"w{i + 1}", names[i % len(names)], 1 + i % len(names) * 1000 + i // len(names) // cell)
        for i in range(worker_count)
    )
    bound = terms.child("workers")
    cold, fall = bound.child("cold"), bound.child("fall")
    build = Build(
        fleet.value("cores", decoders.COUNT),
        fleet.value("speed", decoders.NUMBER, 1.0),
        fleet.value("memory", decoders.SIZE),
        fleet.value("loads", decoders.COUNT, 4),
        fleet.value("queue", decoders.COUNT, 60),
        bound.value("keep", decoders.DURATION),
        cold.arg(decoders.DURATION, "a time"),
        cold.prop("from", decoders.FRACTION),
        fall.prop("multiple", decoders.NUMBER),
        fall.arg(decoders.DURATION, "a time"),
        fleet.value("thrash", decoders.NUMBER, 0.02),
        fleet.value("eager", decoders.FLAG, False),
        bound.value("on-miss", decoders.TEXT) == "load",
        fleet.value("start-share", decoders.FRACTION, 0.5),
    )
    stops_work = fleet.value("cancel-stops-work", decoders.FLAG, False)
    warm = fleet.value("warm", decoders.FLAG, True)
    fleet.reject_unknown()
    store_node = file.child("store")
    store = {
        "pace": store_node.value("pace", decoders.SIZE),
        "takes": store_node.value("takes", decoders.COUNT, 8),
        "thrash": store_node.value("thrash", decoders.NUMBER, 0.05),
    }
    store_node.reject_unknown()
    kinds = tuple(_kind(n) for n in file.every("functions"))
    clients = tuple(_client(n) for n in file.every("client"))
    if not (kinds and clients or file.partial):
        file.report("a day needs 'functions' and a 'client'")
    customers = {c.name for c in clients}
    # Names of workers are not checked where the fleet has errors, which would cause further ones.
    known = set() if fleet.has_errors else {w[0] for w in workers}
    troubles = [
        one for n in file.every("trouble") for one in _trouble(n, length, known, set(dispatchers), customers)
    ]
    day = Day(
        file.file,
        node.arg(decoders.TEXT, "a name"),
        length,
        node.value("settle", decoders.DURATION, 6 * SECOND),
        node.value("rate", decoders.NUMBER),
        dispatchers,
        names,
        workers,
        build,
        store,
        node.value("roster-late", decoders.DURATION, 0),
        stops_work,
        warm,
        kinds,
        clients,
        tuple(sorted(troubles, key=lambda t: (t.at, t.kind))),
        terms,
        True,
        node.value("ask-every", decoders.DURATION, 0),
        float(node.value("roster-lines", decoders.NUMBER, 0)),
        service=node.value("service", decoders.TEXT, ""),
    )
    node.reject_unknown(1)
    file.reject_unknown()
    return day


def gateway_text(day, name, number, listen, roster, keys, seed, broker=""):
    """Return the text of a dispatcher's settings file. `keys`: customer -> keys as written in the file."""
    rows = [
        f'gateway "{name}" {{',
        f'    listen "{listen}"',
        f'    roster "{roster}"',
        f'    zone "{day.zones[(number - 1) % len(day.zones)]}"',
        f"    seed {seed * 1000 + number}",
        f"    dispatchers {len(day.dispatchers)}",
        "}",
    ]
    for client in day.clients:
        rows += [f'customer "{client.name}"' + (f" share={client.share}" if client.share else "") + " {"]
        rows += [f'    key "{key}"' for key in keys[client.name]] + ["}"]
    if broker:
        rows += [
            "mqtt {",
            f'    broker "{broker}"',
            '    user "gateway"',
            '    password "gateway"',
            '    keep-alive "2s"',
            '    session "6s"',
            '    come-back "50ms"',
            '    come-back-most "1s"',
            "}",
        ]
    return "\n".join(rows) + "\n" + document.render(day.terms.children)
