"""A day as a script in KDL: the platform, its traffic, and what goes wrong when.

    day "NAME" { length "26s"; rate 120 ... }      the platform and the traffic
    terms { ... }                                  what each gateway's file says, word for word
    trouble "KIND" at="5s" ...                     one trouble each

`TROUBLES` names every kind, what it takes and what it does."""

import hashlib
import math
import pathlib
from typing import NamedTuple

from petrelwood.emulate.machine import Build, Model
from petrelwood.settings import document

SECOND = 1_000_000_000
OWN = pathlib.Path(__file__).parent.parent / "lab" / "days"

# kind -> (properties it takes besides at=, what it does)
TROUBLES = {
    "release": (
        {"part": document.share},
        "so many of the functions are released anew: their copies and images are void",
    ),
    "roster-late": ({"for": document.duration, "by": document.duration}, "the roster runs so much later"),
    "roster-lost": ({"for": document.duration}, "the roster closes its streams and takes none"),
    "drain": (
        {"worker": document.text, "for": document.duration},
        "a worker is announced as draining, then as usable again",
    ),
    "hang": ({"worker": document.text, "for": document.duration}, "a worker takes calls and answers nothing"),
    "slow": (
        {"worker": document.text, "for": document.duration, "times": document.number},
        "a worker is so many times slower",
    ),
    "pause": ({"worker": document.text, "for": document.duration}, "a worker stands still"),
    "reset": ({"worker": document.text}, "a worker resets its connections in the middle of answers"),
    "restart": (
        {"worker": document.text, "down": document.duration},
        "a worker is killed and comes back cold",
    ),
    "silent-accept": (
        {"worker": document.text, "for": document.duration},
        "a worker accepts connections and says nothing",
    ),
    "garbage": ({"worker": document.text}, "a worker sends what is no message, once, on each connection"),
    "broker-drop": ({}, "the broker throws out all clients at once"),
    "broker-lost": ({"for": document.duration}, "the broker is away; its sessions are kept"),
    "broker-silent": ({"for": document.duration}, "the broker accepts connections and says nothing"),
    "broker-forgets": ({}, "the broker loses its sessions and what they held"),
    "store-stop": ({"for": document.duration}, "the store stops"),
    "replays": (
        {"for": document.duration, "part": document.share},
        "old requests are sent again word for word",
    ),
    "forgeries": ({"for": document.duration, "part": document.share}, "requests come with a wrong signature"),
    "slow-senders": (
        {"for": document.duration, "count": document.count},
        "connections that send a byte now and then",
    ),
    "overuse": (
        {"customer": document.text, "for": document.duration, "times": document.number},
        "a customer asks so many times more",
    ),
    "burst": ({"for": document.duration, "times": document.number}, "all traffic is so many times more"),
    "kill": (
        {"dispatcher": document.text, "down": document.duration},
        "a dispatcher is killed outright and started again",
    ),
    "stop": (
        {"dispatcher": document.text, "down": document.duration},
        "a dispatcher is told to end, and started again",
    ),
    "router-reset": ({}, "the router drops all its sessions without a word (where there is one)"),
    "upgrade": (
        {"dispatcher": document.text},
        "another process takes over from a dispatcher (in the emulator nothing is seen of it)",
    ),
}


# Those that need the true state of the platform or the clients, so far played in the emulator alone.
EMULATED = {
    "hot": (
        {"for": document.duration, "part": document.share, "functions": document.count},
        "functions not seen before draw that part of all traffic",
    ),
    "scan": (
        {"for": document.duration, "part": document.share},
        "that part of the calls is for functions wanted only once",
    ),
    "heavy": (
        {"for": document.duration, "part": document.share, "times": document.number},
        "that part of the activations costs so many times the usual work",
    ),
    "hurry": (
        {"for": document.duration, "part": document.share, "patience": document.share},
        "that part of the clients waits only that share of the target latency",
    ),
    "shift": ({"part": document.share}, "that part of the traffic moves to one hall, for good"),
    "ageing": (
        {
            "part": document.share,
            "for": document.duration,
            "times": document.number,
            "down": document.duration,
        },
        "workers grow slower and slower, die once and come back cold",
    ),
    "pauses": (
        {
            "part": document.share,
            "for": document.duration,
            "length": document.duration,
            "every": document.duration,
        },
        "workers stand still again and again",
    ),
    "cut": (
        {"dispatcher": document.text, "hall": document.text, "for": document.duration},
        "nothing passes from that dispatcher to that hall; the other way all does",
    ),
    "lying": (
        {"worker": document.text, "for": document.duration},
        "a worker's load reports say that it is idle",
    ),
    "wrong-answers": (
        {"worker": document.text, "for": document.duration},
        "a worker answers the wrong activation",
    ),
    "leak": (
        {"worker": document.text, "for": document.duration, "size": document.size},
        "a worker's memory is never released: so much is gone each second",
    ),
    "roster-stale": (
        {"part": document.share, "for": document.duration},
        "that part of the dispatchers hears nothing of the roster",
    ),
    "clock-step": (
        {"dispatcher": document.text, "by": document.duration},
        "a dispatcher's wall clock jumps ahead",
    ),
    "withdrawn": (
        {"part": document.share, "for": document.duration},
        "the front layer sends that part of the dispatchers nothing; what they have they finish",
    ),
    "crash": (
        {"part": document.share, "down": document.duration},
        "that part of the dispatchers is killed and started again",
    ),
    "roll": (
        {"part": document.share, "for": document.duration, "down": document.duration},
        "that part of the dispatchers is restarted, one after another",
    ),
}
# take part= in place of worker=
WORKERS = ("drain", "hang", "slow", "pause", "reset", "restart", "silent-accept")


class Trouble(NamedTuple):
    kind: str
    at: int
    span: int  # ns; 0: it has none
    what: dict  # its other properties


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
    customers: tuple  # those that call it; all if empty
    turning: float  # the part of the functions that gives way to others
    spell: int  # each so long, ns; 0: never
    timed: float  # the part of the activations that comes from timers
    season: int  # each function has its time in a season so long, ns; 0: called at any time

    def model(self, name):
        """The model of one function: sizes differ, the same for everyone who asks."""
        turn = 0.5 + int(hashlib.sha256(name.encode()).hexdigest()[:6], 16) / 0xFFFFFF
        return Model(name, self.lanes, int(self.size * turn), int(self.load_time * turn))


class Client(NamedTuple):
    name: str
    part: float  # of all activations
    share: float  # activations a second that it is entitled to; 0: no share is kept
    patience: int  # s, as Prefer: wait tells it; 0: not told
    retries: int
    honours: float  # the part of Retry-After hints that it follows
    impatient: float  # the part that hangs up early
    by: str  # "webhook" or "mqtt"
    devices: int  # sessions at the broker
    insists: bool = False  # it tries again even what may have run, with the same id (emulator)


class Day(NamedTuple):
    file: str
    name: str
    length: int
    settle: int  # after the last arrival
    rate: float
    dispatchers: tuple  # names
    halls: tuple
    workers: tuple  # (name, hall, cell)
    build: Build
    store: dict
    roster_late: int
    stops_work: bool  # a cancel stops running work
    warm: bool  # workers hold what they were asked for lately when the day begins
    kinds: tuple
    clients: tuple
    troubles: tuple
    terms: object  # the document node whose children go into each gateway's file
    early: bool = True  # early loads, where the terms have them
    ask_every: int = 0  # ns between askings of a roster that pushes nothing; 0: it pushes (emulator)
    roster_lines: float = 0.0  # lines a second that it serves to all who ask; 0: as many as they ask for
    damps: bool = True  # whether dispatchers damp storms
    # the address that dispatchers announce to a router, which steers the portal's traffic; "": there is none
    service: str = ""
    state: bool = True  # whether what they keep survives a kill

    @property
    def upgrades(self):
        """Whether dispatchers keep state and can be followed: where the script has an upgrade."""
        return any(t.kind == "upgrade" for t in self.troubles)

    def works(self):
        """{namespace type: mean work of its first kind of function}, by which cold budgets are judged."""
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
        """The workers that a trouble meets: the one it names, the part it draws, or all."""
        names = [w[0] for w in self.workers]
        if "worker" in trouble.what:
            return [trouble.what["worker"]]
        if "part" not in trouble.what or trouble.kind not in WORKERS + ("ageing", "pauses"):
            return names
        mark = sorted(
            (hashlib.sha256(f"{seed}/{trouble.kind}/{trouble.at}/{n}".encode()).hexdigest(), n) for n in names
        )
        return [n for _, n in mark[: max(1, round(trouble.what["part"] * len(names)))]]

    def standing(self, seed):
        """{worker: [function]}: what stands loaded when the day begins, as if the traffic had gone on for
        long: copies for what each function has at work on average, where it is called at all within a
        keep-alive."""
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
        """The functions that a release of that part renews: the same everywhere."""
        names = [f"{k.prefix}{i}" for k in self.kinds for i in range(k.count)]
        mark = [(hashlib.sha256(f"{seed}/{n}".encode()).hexdigest(), n) for n in names]
        return [n for _, n in sorted(mark)[: round(part * len(names))]]


def find(name):
    """The file of a day: a path, or the name of one that the project brings."""
    path = pathlib.Path(name)
    if path.suffix == ".kdl" or path.exists():
        return path
    own = OWN / f"{name}.kdl"
    if not own.exists():
        names = sorted(p.stem for p in OWN.glob("*.kdl"))
        raise document.BadFile(name, 0, f"there is no such day{document.meant(name, names)}")
    return own


def _trouble(node, day_length, workers, dispatchers, customers):
    kind = node.arg(document.one_of(*TROUBLES, *EMULATED), "a kind")
    takes = {**TROUBLES, **EMULATED}[kind][0]
    if kind in WORKERS and "part" in node.props:
        takes = {**{k: v for k, v in takes.items() if k != "worker"}, "part": document.share}
    at, span = (
        node.prop("at", document.duration),
        node.prop("for", document.duration) if "for" in takes else 0,
    )
    what = {name: node.prop(name, read) for name, read in takes.items() if name != "for"}
    again = node.prop("again", document.duration, 0)
    node.done(1)
    if again and again < span:
        node.wrong(f"'{kind}' comes again before it is over")
    if span > day_length:
        node.wrong(f"'{kind}' lasts longer than the day")
    if at > day_length:
        node.wrong(f"'{kind}' begins after the day's end")
    for name, known in (("worker", workers), ("dispatcher", dispatchers), ("customer", customers)):
        if name in what and known and what[name] not in known:
            node.wrong(f"there is no {name} '{what[name]}'{document.meant(what[name], sorted(known))}")
    times = range(at, max(at, day_length - span) + 1, again) if again else (at,)
    return [Trouble(kind, begins, span, what) for begins in times]


def _kind(node):
    made = Kind(
        node.arg(document.text, "a prefix"),
        node.prop("type", document.text),
        node.prop("count", document.count),
        node.prop("part", document.share),
        node.prop("zipf", document.number, 1.1),
        node.prop("work", document.duration),
        node.prop("lanes", document.count, 1),
        node.prop("size", document.size),
        node.prop("load-time", document.duration),
        tuple(c.arg(document.text, "a customer") for c in node.every("customer")),
        node.prop("turning", document.share, 0.0),
        node.prop("spell", document.duration, 0),
        node.prop("timed", document.share, 0.0),
        node.prop("season", document.duration, 0),
    )
    node.done(1)
    return made


def _client(node):
    made = Client(
        node.arg(document.text, "a name"),
        node.prop("part", document.share),
        node.prop("share", document.number, 0),
        node.prop("patience", document.count, 0),
        node.prop("retries", document.count, 1),
        node.prop("honours", document.share, 1.0),
        node.prop("impatient", document.share, 0.0),
        node.prop("by", document.one_of("webhook", "mqtt"), "webhook"),
        node.prop("devices", document.count, 4),
        node.prop("insists", document.yes, False),
    )
    node.done(1)
    return made


def read(path, text=None, problems=None):
    """The day that a file, or a text in its place, describes. Raises `document.BadFile`, or collects what is
    wrong in `problems`."""
    return described(document.File(path, text, problems))


def described(file):
    """The day that a `document.File` describes; what is wrong is raised or collected as the file was opened
    to do."""
    node, fleet, terms = file.child("day"), file.child("fleet"), file.child("terms")
    length, count = node.value("length", document.duration), node.value("dispatchers", document.count)
    dispatchers = tuple(f"d{i + 1}" for i in range(count))
    halls = node.child("halls")
    names = tuple(halls.arg(document.text, "a hall", at=i) for i in range(len(halls.args)))
    if not names:
        halls.wrong("'halls' needs a name")
        names = ("",)
    many, cell = fleet.value("workers", document.count), fleet.value("cell", document.count, 4) or 1
    workers = tuple(
        (f"w{i + 1}", names[i % len(names)], 1 + i % len(names) * 1000 + i // len(names) // cell)
        for i in range(many)
    )
    bound = terms.child("workers")
    cold, fall = bound.child("cold"), bound.child("fall")
    build = Build(
        fleet.value("cores", document.count),
        fleet.value("speed", document.number, 1.0),
        fleet.value("memory", document.size),
        fleet.value("loads", document.count, 4),
        fleet.value("queue", document.count, 60),
        bound.value("keep", document.duration),
        cold.arg(document.duration, "a time"),
        cold.prop("from", document.share),
        fall.prop("multiple", document.number),
        fall.arg(document.duration, "a time"),
        fleet.value("thrash", document.number, 0.02),
        fleet.value("eager", document.yes, False),
        bound.value("on-miss", document.text) == "load",
        fleet.value("start-share", document.share, 0.5),
    )
    stops_work = fleet.value("cancel-stops-work", document.yes, False)
    warm = fleet.value("warm", document.yes, True)
    fleet.done()
    shelf = file.child("store")
    store = {
        "pace": shelf.value("pace", document.size),
        "takes": shelf.value("takes", document.count, 8),
        "thrash": shelf.value("thrash", document.number, 0.05),
    }
    shelf.done()
    kinds = tuple(_kind(n) for n in file.every("functions"))
    clients = tuple(_client(n) for n in file.every("client"))
    if not (kinds and clients or file.partial):
        file.wrong("a day needs 'functions' and a 'client'")
    customers = {c.name for c in clients}
    # what follows from another problem is not told
    known = set() if fleet.tainted else {w[0] for w in workers}
    troubles = [
        one for n in file.every("trouble") for one in _trouble(n, length, known, set(dispatchers), customers)
    ]
    day = Day(
        file.file,
        node.arg(document.text, "a name"),
        length,
        node.value("settle", document.duration, 6 * SECOND),
        node.value("rate", document.number),
        dispatchers,
        names,
        workers,
        build,
        store,
        node.value("roster-late", document.duration, 0),
        stops_work,
        warm,
        kinds,
        clients,
        tuple(sorted(troubles, key=lambda t: (t.at, t.kind))),
        terms,
        True,
        node.value("ask-every", document.duration, 0),
        float(node.value("roster-lines", document.number, 0)),
        service=node.value("service", document.text, ""),
    )
    node.done(1)
    file.done()
    return day


def gateway_text(day, name, number, listen, roster, keys, seed, broker=""):
    """The file of one dispatcher of a day. `keys`: customer -> keys as the file has them."""
    rows = [
        f'gateway "{name}" {{',
        f'    listen "{listen}"',
        f'    roster "{roster}"',
        f'    zone "{day.halls[(number - 1) % len(day.halls)]}"',
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
