"""The adapter: speaks the simulator's wire on standard input and output (`python -m petrelwood.drill`).

It hosts any number of instances of the module, which share nothing, and translates names, units and
codes only: each event becomes one call on its instance, each call on its `Line` one wire message.
"""

import sys
import traceback
from pathlib import Path

import orjson

from petrelwood import ports
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.node.told import report, terms

US = 1000  # nanoseconds in the wire's unit of time
CODES = {
    "GOOD": ports.EndReason.COMPLETED,
    "BAD": ports.EndReason.ERROR,
    "FULL": ports.EndReason.FULL,
    "LATE": ports.EndReason.TIMED_OUT,
    "NOCONN": ports.EndReason.NO_CONNECTION,
    "RST": ports.EndReason.RESET,
    "CXL": ports.EndReason.CANCELLED,
    "NOP": ports.EndReason.NOT_SENT,
    "MISS": ports.EndReason.MISSING,
}


class Line:
    """Outlet of one instance: the wire messages of the batch in hand."""

    def __init__(self):
        self.orders = []

    def send(self, act, worker, limit):
        self.orders.append({"t": "callOut", "corr": act, "runner": worker, "allowFor": limit // US})

    def reject(self, act, retry_after):
        self.orders.append({"t": "sayNo", "corr": act, "retryAfter": retry_after // US})

    def abort(self, act):
        self.orders.append({"t": "endFailed", "corr": act})

    def cancel(self, act, n):
        self.orders.append({"t": "dropAttempt", "corr": act, "n": n})

    def order_load(self, worker, fn, copies):
        self.orders.append({"t": "startCopy", "callee": fn, "runner": worker, "nInst": copies})

    def check_health(self, worker):
        self.orders.append({"t": "askLoad", "runner": worker})

    def set_timer(self, mark, wait):
        self.orders.append({"t": "sleep", "mark": mark, "wait": -(-wait // US)})

    def request_endpoint_list(self):
        self.orders.append({"t": "streamChanges", "enable": True})


def listed(e):
    return ports.Listed(
        e["runner"],
        e.get("rackZone") or "",
        e.get("cluster") or 0,
        (e.get("bootTime") or 0) * US,
        e["stageState"] == "U",
    )


class Host:
    """The instances of this process and its numbered lists."""

    def __init__(self):
        self.pages, self.schedulers, self.lines = {}, {}, {}

    def batch(self, frame):
        now, touched = frame["simTime"] * US, {}
        for group in frame["dispatchers"]:
            who = group.get("dispatcherId")
            for event in group["in"]:
                if event["t"] == "register":
                    self.pages[event["page"]] = [listed(e) for e in event["elements"]]
                else:
                    touched[who] = True
                    self.event(now, who, event)
        replies = []
        for who in touched:
            line = self.lines.get(who)
            if line and line.orders:
                replies.append({"dispatcherId": who, "orders": line.orders})
                line.orders = []
        return {"turn": frame["turn"], "dispatchers": replies}

    def event(self, now, who, e):
        kind = e["t"]
        if kind == "newInstance":
            line = self.lines[who] = Line()
            self.schedulers[who] = Scheduler(now, terms(e["options"]), e["salt"], line)
            return
        if kind == "halt":
            self.schedulers.pop(who, None)
            self.lines.pop(who, None)
            return
        if kind not in KNOWN:
            raise ValueError(f"unknown event {kind!r}")
        scheduler = self.schedulers.get(who)
        if scheduler is None:
            raise ValueError(f"event {kind!r} for dispatcher {who!r}, which was not started")
        if kind == "workItem":
            arrival = ports.Arrival(
                e["corr"],
                e["callee"],
                e["priority"],
                e.get("org") or "",
                e["due"] * US,
                int(e.get("width") or 1),
                (e.get("work") or 0) * US,
                int((e.get("loadTimeMs") or 0) * 1000 * US),
            )
            scheduler.activation_arrived(now, arrival)
        elif kind == "completed":
            note = e.get("detail") or 0
            end = ports.AttemptEnd(
                e["corr"],
                e["n"],
                e["runner"],
                CODES[e["stateCode"]],
                note & 7,
                bool(e.get("over")),
                e["took"] * US,
                report(e.get("gauge")),
            )
            scheduler.attempt_ended(now, end)
        elif kind == "ring":
            scheduler.timer_fired(now, e["mark"])
        elif kind == "stands":
            scheduler.load_order_ended(
                now, e["runner"], e["callee"], CODES[e["stateCode"]], e.get("nInst") or 0
            )
        elif kind == "echo":
            scheduler.health_check_ended(now, e["runner"], CODES[e["stateCode"]], report(e.get("gauge")))
        elif kind == "directoryUpdate":
            scope = e["scope"]
            if scope not in ("incr", "total", "warm_copy", "lost"):
                raise ValueError(f"unknown scope {scope!r}")
            if scope == "lost":
                scheduler.endpoint_list_lost(now)
            else:
                scheduler.endpoints_changed(now, self.pages[e["page"]], scope != "incr")
        elif kind == "left":
            scheduler.client_departed(now, e["corr"])
        elif kind == "streaming":
            scheduler.stream_started(now, e["corr"], e["n"], e["runner"])


KNOWN = frozenset(
    ("workItem", "completed", "ring", "stands", "echo", "directoryUpdate", "left", "streaming", "fromPeer")
)


def main():
    host = Host()
    for number, raw in enumerate(sys.stdin.buffer, 1):
        if not raw.strip():
            continue
        try:
            frame = orjson.loads(raw)
            reply = host.batch(frame)
        except orjson.JSONDecodeError as fault:
            return f"petrelwood: line {number} is not JSON: {fault}"
        except Exception as fault:  # reported with its place, never swallowed; the process ends
            at = traceback.extract_tb(fault.__traceback__)[-1]
            file = Path(at.filename)
            if file.parent.name == "scheduling":
                place = f"{file.name}:{at.lineno}"
                return f"petrelwood: line {number}: fault in the module at {place}: {fault!r}"
            what = "missing or unknown field" if isinstance(fault, KeyError) else "malformed"
            return f"petrelwood: line {number}: {what}: {fault}"
        sys.stdout.buffer.write(orjson.dumps(reply) + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
