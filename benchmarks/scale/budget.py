"""Compares the fitted lines with the budgets of the design size, for each assumed number of workers."""

from statistics import median
from typing import NamedTuple

from benchmarks.scale import size
from benchmarks.scale.figures import number
from petrelwood.decide.cluster import polling

CARRIED, UP_TO, MISSING = "carried", "carried up to {most:,} workers", "missing"
OVER = "over in that second: {seconds:.0f} s of the budget"  # for the cost of one event, which is not steady
EVENTS_A_SECOND = size.MEMBER_CHANGES_A_DAY * size.ASSUMED_EVENTS_A_RESTART / size.SECONDS_A_DAY
SWITCH = size.ASSUMED_WORKERS_A_RACK * size.ASSUMED_RACKS_A_SWITCH
KNOWN_FUNCTIONS = 500  # number of functions with which changes by workers are measured
IDLE = "an idle second"
SECOND = 1_000_000_000
COLUMNS = (
    "quantity",
    "reading",
    "at the size",
    "budget",
    "need / budget",
    "verdict",
    "beyond the range",
    "worked out from",
)


class Row(NamedTuple):
    """One quantity at the size against its budget."""

    quantity: str
    reading: str
    value: float
    budget: float
    unit: str
    verdict: str
    extrapolation: float  # ratio of the workers to the largest measured number
    worked_out: str

    @property
    def ratio(self):
        """Ratio of the need to the budget."""
        return self.value / self.budget


class Quantity(NamedTuple):
    """`value = fixed + each * workers`."""

    name: str
    unit: str
    budget: float
    fixed: float
    each: float
    high: float  # the largest measured number of workers
    worked_out: str  # how the value is calculated
    peak: bool = False  # whether it is the cost of one event in its busiest second

    def row(self, reading):
        """Return the quantity for the number of workers of a reading."""
        value = self.fixed + self.each * reading.workers
        beyond = max(1.0, reading.workers / self.high)
        verdict = self._verdict(value)
        return Row(self.name, reading.name, value, self.budget, self.unit, verdict, beyond, self.worked_out)

    def _verdict(self, value):
        if value <= self.budget:
            return CARRIED
        if self.peak:
            return OVER.format(seconds=value / self.budget)
        most = int((self.budget - self.fixed) / self.each) if self.each > 0 else 0
        return UP_TO.format(most=most) if most > 0 else MISSING


def rows(figures, comparisons):
    """Return all rows, or none if one of the figures they need was not measured."""
    lines = {one.name: one.line() for one in figures}
    idle = [one.real for one in comparisons if one.name == IDLE]
    try:
        quantities = [*_control(lines, median(idle) if idle else 0.0, bool(idle)), *_calls(lines)]
    except KeyError:
        return []
    return [quantity.row(reading) for quantity in quantities for reading in size.FLEET_READINGS]


def _control(lines, idle, measured):
    """Yield processor time, memory and bytes of a dispatcher for control. `idle`: the processor time (ms a
    second) of an idle real dispatcher."""
    timers = lines["a module's timers while nothing happens, a second"]
    change = lines[f"one worker restarted, told as a change, {KNOWN_FUNCTIONS} functions, processor time"]
    functions = lines["one worker restarted, told as a change, 1,000 workers, processor time"]
    beyond = change.constant + functions.slope * (size.FUNCTIONS - KNOWN_FUNCTIONS)
    yield Quantity(
        "control, processor time, ordinary day",
        "ms a second",
        size.CONTROL_CORE_SHARE * 1e3,
        idle + timers.constant + EVENTS_A_SECOND * beyond,
        timers.slope + EVENTS_A_SECOND * change.slope,
        timers.high,
        ("an idle real dispatcher, the module's" if measured else "the module's")
        + f" timers, {EVENTS_A_SECOND:.4f} changes a second with 13,000 functions known",
    )
    yield Quantity(
        "control, processor time, the second in which a switch is lost",
        "ms a second",
        size.CONTROL_CORE_SHARE * 1e3,
        idle + timers.constant + SWITCH * beyond,
        timers.slope + SWITCH * change.slope,
        timers.high,
        f"as above, with {SWITCH} changes in one second",
        peak=True,
    )
    workers = lines["memory of a dispatcher by workers"]
    known = lines["memory of a dispatcher by functions called once"]
    yield Quantity(
        "control, memory of workers and functions",
        "MB",
        size.CONTROL_MEMORY / size.MB,
        (workers.constant + known.at(size.FUNCTIONS)) / 1e3,
        workers.slope / 1e3,
        workers.high,
        "workers with a link each, not connected, and 13,000 functions; without the process itself and ids",
    )
    one = lines["whole list as an event, bytes"]
    yield Quantity(
        "control, bytes, the second in which a switch is lost",
        "KB a second",
        size.CONTROL_BYTES_A_SECOND / size.KB,
        SWITCH * one.slope / size.KB,
        0.0,
        one.high,
        f"{SWITCH} changes told one by one, each about as large as an entry of the list",
        peak=True,
    )
    yield Quantity(
        "control, bytes, the second in which a zone is lost",
        "KB a second",
        size.CONTROL_BYTES_A_SECOND / size.KB,
        0.0,
        one.slope / size.ZONES / size.KB,
        one.high,
        "a sixth of the workers told one by one",
        peak=True,
    )
    yield Quantity(
        "control, bytes, a whole list in one second",
        "KB a second",
        size.CONTROL_BYTES_A_SECOND / size.KB,
        one.constant / size.KB,
        one.slope / size.KB,
        one.high,
        "at a start or after a gap, as an event",
        peak=True,
    )
    dns = lines["whole list by DNS, bytes"]
    yield Quantity(
        "a whole list by DNS in one datagram",
        "KB",
        65.535,
        dns.constant / 1e3,
        dns.slope / 1e3,
        dns.high,
        "a datagram's most",
    )
    asked = SECOND / polling.INTERVAL
    yield Quantity(
        "control, bytes, the list by DNS",
        "KB a second",
        size.CONTROL_BYTES_A_SECOND / size.KB,
        asked * dns.constant / size.KB,
        asked * dns.slope / size.KB,
        dns.high,
        f"the whole list {asked:g} times a second, changed or not",
    )
    read = lines["whole list by DNS, read, processor time"]
    yield Quantity(
        "control, processor time, one change by DNS",
        "ms a second",
        size.CONTROL_CORE_SHARE * 1e3,
        read.constant,
        read.slope,
        read.high,
        "the whole list is read anew; the module's own part comes on top",
        peak=True,
    )


def _calls(lines):
    """Yield the quantities of the data path that grow with the fleet."""
    place = lines["a function's first placement, processor time"]
    yield Quantity(
        "first placement of a function",
        "ms",
        size.COLD_START_WITHIN * 1e3,
        place.constant,
        place.slope,
        place.high,
        "against the whole time of a cold start",
    )
    rare = size.RARE_CALLS_A_SECOND / size.DISPATCHERS
    yield Quantity(
        "first placements of rare functions",
        "ms a second",
        1e3,
        place.constant * rare,
        place.slope * rare,
        place.high,
        f"13,000 functions called once a minute, no dispatcher knows a copy: {rare:.2f} a second at each; "
        "against a whole core",
    )
    call = lines["processor time of a call, by workers"]
    yield Quantity(
        "calls as sparse as in the hollow row of workers (7 in 10 meet no copy), without HTTP",
        "ms a second",
        1e3,
        call.constant * size.CALLS_A_SECOND_A_DISPATCHER,
        call.slope * size.CALLS_A_SECOND_A_DISPATCHER,
        call.high,
        f"{size.CALLS_A_SECOND_A_DISPATCHER:g} calls a second at a dispatcher, against a whole core",
    )


def markdown(found):
    """Return the table as lines of Markdown."""
    lines = [
        "## Against the budgets, worked out from the lines",
        "",
        "| " + " | ".join(COLUMNS) + " |",
        "|" + " --- |" * len(COLUMNS),
    ]
    for row in found:
        lines.append(
            f"| {row.quantity} | {row.reading} | {number(row.value)} {row.unit} | {number(row.budget)} "
            f"| {number(row.ratio)} | {row.verdict} | x {row.extrapolation:.3g} | {row.worked_out} |"
        )
    return lines
