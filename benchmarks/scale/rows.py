"""Rows of hollow sites: varies one size, keeps the others, and fits the cost per dispatcher and per call."""

import gc

from benchmarks.scale import counting, size
from benchmarks.scale import traffic as flows
from benchmarks.scale.figures import Figure, Sample, Target
from benchmarks.scale.fleet import HOLLOW, HollowFleet
from benchmarks.scale.plan import Job, Outcome, site_memory
from benchmarks.scale.site import SiteSize

USUAL = SiteSize(50, 100, 500, 200.0, 8)
RESTART_AT, RESTART_DOWN = 3.0, 2.0  # seconds of virtual time: when one worker is lost, and for how long
RESTARTED = "w3"

DISPATCHERS, WORKERS, FUNCTIONS, CALLS = "dispatchers", "workers", "functions", "calls a second"
FIELDS = {
    DISPATCHERS: "dispatchers",
    WORKERS: "workers",
    FUNCTIONS: "functions",
    CALLS: "calls_a_second",
}
TARGETS = {
    DISPATCHERS: (Target("400 dispatchers", size.DISPATCHERS),),
    WORKERS: tuple(Target(reading.name, reading.workers) for reading in size.FLEET_READINGS),
    FUNCTIONS: (Target("13,000 functions", size.FUNCTIONS),),
    CALLS: (Target("37,000 calls a second, for 50 of 400 dispatchers", size.CALLS_A_SECOND * 50 / 400),),
}
# quantity -> its unit
UNITS = {
    "control messages of a dispatcher, heartbeats and changes": "a second",
    "control bytes of a dispatcher, heartbeats and changes": "bytes a second",
    "control bytes of a dispatcher at its start": "bytes",
    "control bytes of the roster, busiest second": "bytes",
    "control messages of the roster, busiest second": "messages",
    "processor time of a dispatcher for one change of a worker": "ms",
    "processor time of a dispatcher's timers": "ms a second",
    "processor time of a call": "ms",
    "messages of a call": "messages",
    "bytes of a call": "bytes",
    "new connections of a dispatcher": "a second",
    "load orders of a call": "orders",
    "calls that met no copy": "part",
    "calls completed in time": "part",
    "memory of a dispatcher with all it reaches": "KB",
}
# Quantities that don't grow linearly (ratios and those that depend on them), so they are not extrapolated.
NONLINEAR = {
    "messages of a call",
    "bytes of a call",
    "load orders of a call",
    "calls that met no copy",
    "calls completed in time",
    "memory of a dispatcher with all it reaches",
}


def sites(plan):
    """Return {varied size: [SiteSize]}, with the largest site under None."""
    if plan.small:
        return {DISPATCHERS: [SiteSize(d, 20, 50, 2.0 * d, 5) for d in (5, 10, 20)]}
    usual = USUAL._replace(seconds=plan.seconds)
    growing = {
        DISPATCHERS: [usual._replace(dispatchers=d, calls_a_second=2.0 * d) for d in (25, 50, 100, 200, 400)],
        WORKERS: [usual._replace(workers=w) for w in (50, 100, 200, 400)],
        FUNCTIONS: [usual._replace(functions=f) for f in (250, 1_000, 4_000, 13_000)],
        CALLS: [usual._replace(calls_a_second=c) for c in (100.0, 200.0, 400.0, 800.0)],
    }
    largest = SiteSize(plan.dispatchers, plan.workers, plan.functions, plan.calls_a_second, plan.seconds)
    return {**growing, None: [largest]}


def jobs(plan):
    """Return one job for each site and run, the largest first."""
    made = []
    for growing, row in sites(plan).items():
        for site in row:
            for run in range(plan.runs):
                name = f"{growing or 'largest'}: {describe(site)}, run {run + 1}"
                arguments = {"growing": growing, "site": site, "run": run}
                made.append(Job(name, __name__, "play", arguments, site_memory(site)))
    return sorted(made, key=lambda job: -job.memory)


def describe(site):
    """Return a description of a site."""
    return (
        f"{site.dispatchers} dispatchers, {site.workers} workers, {site.functions:,} functions, "
        f"{site.calls_a_second:g} calls/s"
    )


def play(growing, site, run):
    """Play one site; return its quantities as samples."""
    values = measure(site, run)
    if growing is None:
        name = f"largest: {describe(site)}"
        return Outcome(
            tuple(
                Figure(
                    f"{name}: {what}", UNITS[what], DISPATCHERS, (Sample(site.dispatchers, y, run),), HOLLOW
                )
                for what, y in values.items()
            )
        )
    x = getattr(site, FIELDS[growing])
    return Outcome(
        tuple(
            Figure(
                f"{what}, by {growing}",
                UNITS[what],
                growing,
                (Sample(x, y, run),),
                HOLLOW,
                () if what in NONLINEAR else TARGETS[growing],
            )
            for what, y in values.items()
        )
    )


def measure(site, run):
    """Return {quantity: value} of a site in which one worker is lost and returns."""
    gc.disable()
    before = counting.resident_bytes()
    fleet = HollowFleet(site, run + 1)
    built = counting.resident_bytes()
    first_news = []
    fleet.at(RESTART_AT - 1, lambda: first_news.append(fleet.processor.spent[flows.NEWS]))
    fleet.at(RESTART_AT, fleet.lose_workers, [RESTARTED], RESTART_DOWN)
    fleet.run()
    if not fleet.all_know():
        raise RuntimeError("a dispatcher does not have the current list of workers at the end of the run")
    return quantities(fleet, site, built - before, first_news[0])


def quantities(fleet, site, memory, first_news):
    """Return the quantities of a played fleet. `memory`: its bytes before any call; `first_news`: the ns of
    processor time for the first lists."""
    traffic, processor = fleet.traffic, fleet.processor
    wishes = len(fleet.clients.requests) or 1
    in_time = sum(second["in time"] for second in fleet.time_course)
    lived, each = fleet.dispatcher_seconds(), site.dispatchers
    control = traffic.flows[flows.LIST_TO_DISPATCHERS]
    first = control.bytes_by_second[0] / each
    later = sum(control.bytes_by_second.values()) - control.bytes_by_second[0]
    later_messages = control.messages - control.messages_by_second[0]
    news = processor.spent[flows.NEWS]
    changes = 2 * each
    greetings = traffic.flows[flows.GREETINGS].messages
    return {
        "control messages of a dispatcher, heartbeats and changes": later_messages / lived,
        "control bytes of a dispatcher, heartbeats and changes": later / lived,
        "control bytes of a dispatcher at its start": first,
        "control bytes of the roster, busiest second": traffic.peak_bytes(flows.CONTROL_FLOWS),
        "control messages of the roster, busiest second": traffic.peak_messages(flows.CONTROL_FLOWS),
        "processor time of a dispatcher for one change of a worker": (news - first_news) / changes / 1e6,
        "processor time of a dispatcher's timers": 1e3 * processor.seconds(flows.TIMERS) / lived,
        "processor time of a call": 1e3 * processor.seconds(flows.CALLS) / wishes,
        "messages of a call": traffic.messages(flows.CALL_FLOWS) / wishes,
        "bytes of a call": traffic.bytes(flows.CALL_FLOWS) / wishes,
        "new connections of a dispatcher": greetings / 2 / lived,
        "load orders of a call": traffic.flows[flows.ORDERS_TO_WORKERS].messages / wishes,
        "calls that met no copy": fleet.cold_starts / wishes,
        "calls completed in time": in_time / wishes,
        "memory of a dispatcher with all it reaches": memory / each / 1e3,
    }
