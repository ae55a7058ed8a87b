"""The adapter to the simulator's protocol on standard input and output.

`python -m petrelwood.simulator_adapter` reads one frame per line and answers each frame with one line. It
hosts any number of independent schedulers. It only translates names, units and reasons: each event in a frame
becomes one call of its scheduler, and each call of the scheduler's outlet becomes one order in the answer.
"""

import sys
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import orjson

from petrelwood import ports
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.node.load_report import load_report
from petrelwood.node.module_terms import module_terms

Event = dict[str, Any]
"""An event in a frame, as the simulator sends it; a missing field is reported by its name."""
Order = dict[str, object]
"""An order in the answer."""

US: Final = 1_000  # ns in the protocol's unit of time
US_PER_MS: Final = 1_000
NOTE_MASK: Final = 7  # the bits of an end's `detail` that hold a `CopyNote`
REASONS: Final = {
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
LIST_SCOPES: Final = ("incr", "total", "warm_copy", "lost")


class OrderOutlet:
    """Outlet of one scheduler: collects the orders for the answer to the current frame."""

    def __init__(self) -> None:
        self.orders: list[Order] = []

    def send(self, activation_id: str, worker: str, limit: int) -> None:
        """Send an activation to a worker; `limit`: the attempt's timeout in ns."""
        self.orders.append({"t": "callOut", "corr": activation_id, "runner": worker, "allowFor": limit // US})

    def reject(self, activation_id: str, retry_after: int) -> None:
        """Reject an activation; `retry_after` in ns."""
        self.orders.append({"t": "sayNo", "corr": activation_id, "retryAfter": retry_after // US})

    def abort(self, activation_id: str) -> None:
        """Abort an activation."""
        self.orders.append({"t": "endFailed", "corr": activation_id})

    def cancel(self, activation_id: str, attempt: int) -> None:
        """Cancel an attempt."""
        self.orders.append({"t": "dropAttempt", "corr": activation_id, "n": attempt})

    def order_load(self, worker: str, function: str, copies: int) -> None:
        """Order a worker to load copies."""
        self.orders.append({"t": "startCopy", "callee": function, "runner": worker, "nInst": copies})

    def check_health(self, worker: str) -> None:
        """Request a load report from a worker."""
        self.orders.append({"t": "askLoad", "runner": worker})

    def set_timer(self, mark: str, wait: int) -> None:
        """Set a timer; `wait` (ns) is rounded up, so that the timer never fires early."""
        self.orders.append({"t": "sleep", "mark": mark, "wait": -(-wait // US)})

    def request_endpoint_list(self) -> None:
        """Request the endpoint list."""
        self.orders.append({"t": "streamChanges", "enable": True})


class Adapter:
    """The schedulers of this process, and the endpoint lists that the simulator has registered.

    Attributes:
        lists: the registered endpoint lists, by page number.
        schedulers: the running schedulers, by dispatcher id.
        outlets: their outlets, by dispatcher id.
    """

    def __init__(self) -> None:
        self.lists: dict[object, list[ports.EndpointEntry]] = {}
        self.schedulers: dict[str, Scheduler] = {}
        self.outlets: dict[str, OrderOutlet] = {}
        self.handlers: dict[str, Callable[[Scheduler, int, Event], None]] = {
            "workItem": _activation_arrived,
            "completed": _attempt_ended,
            "ring": _timer_fired,
            "stands": _load_order_ended,
            "echo": _health_check_ended,
            "directoryUpdate": self._endpoints_changed,
            "left": _client_departed,
            "streaming": _stream_started,
            "fromPeer": _ignore,
        }

    def handle_frame(self, frame: Event) -> Event:
        """Return the answer to a frame: the orders of each dispatcher that has any.

        Raises:
            KeyError: A field is missing, or its value is unknown.
            ValueError: An event is of an unknown kind, or for a dispatcher that was not started.
        """
        now = frame["simTime"] * US
        addressed: dict[str, None] = {}  # dispatchers with events, in the order of the frame
        for group in frame["dispatchers"]:
            dispatcher = group.get("dispatcherId")
            for event in group["in"]:
                if event["t"] == "register":
                    self.lists[event["page"]] = [decode_endpoint(entry) for entry in event["elements"]]
                else:
                    addressed[dispatcher] = None
                    self._handle_event(now, dispatcher, event)
        return {"turn": frame["turn"], "dispatchers": self._take_orders(addressed)}

    def _take_orders(self, dispatchers: dict[str, None]) -> list[Event]:
        groups = []
        for dispatcher in dispatchers:
            outlet = self.outlets.get(dispatcher)
            if outlet is not None and outlet.orders:
                groups.append({"dispatcherId": dispatcher, "orders": outlet.orders})
                outlet.orders = []
        return groups

    def _handle_event(self, now: int, dispatcher: str, event: Event) -> None:
        kind = event["t"]
        if kind == "newInstance":
            outlet = self.outlets[dispatcher] = OrderOutlet()
            self.schedulers[dispatcher] = Scheduler(
                now, module_terms(event["options"]), event["salt"], outlet
            )
            return
        if kind == "halt":
            self.schedulers.pop(dispatcher, None)
            self.outlets.pop(dispatcher, None)
            return
        handler = self.handlers.get(kind)
        if handler is None:
            raise ValueError(f"unknown event {kind!r}")
        scheduler = self.schedulers.get(dispatcher)
        if scheduler is None:
            raise ValueError(f"event {kind!r} for dispatcher {dispatcher!r}, which was not started")
        handler(scheduler, now, event)

    def _endpoints_changed(self, scheduler: Scheduler, now: int, event: Event) -> None:
        scope = event["scope"]
        if scope not in LIST_SCOPES:
            raise ValueError(f"unknown scope {scope!r}")
        if scope == "lost":
            scheduler.endpoint_list_lost(now)
        else:
            scheduler.endpoints_changed(now, self.lists[event["page"]], scope != "incr")


def decode_endpoint(entry: Event) -> ports.EndpointEntry:
    """Decode an entry of an endpoint list."""
    return ports.EndpointEntry(
        worker=entry["runner"],
        zone=entry.get("rackZone") or "",
        cell=entry.get("cluster") or 0,
        booted=(entry.get("bootTime") or 0) * US,
        usable=entry["stageState"] == "U",
    )


def _activation_arrived(scheduler: Scheduler, now: int, event: Event) -> None:
    arrival = ports.Arrival(
        activation_id=event["corr"],
        function=event["callee"],
        type_name=event["priority"],
        customer=event.get("org") or "",
        due=event["due"] * US,
        slots=int(event.get("width") or 1),
        work_hint=(event.get("work") or 0) * US,
        load_time=int((event.get("loadTimeMs") or 0) * US_PER_MS * US),
    )
    scheduler.activation_arrived(now, arrival)


def _attempt_ended(scheduler: Scheduler, now: int, event: Event) -> None:
    detail = event.get("detail") or 0
    end = ports.AttemptEnd(
        activation_id=event["corr"],
        attempt=event["n"],
        worker=event["runner"],
        reason=REASONS[event["stateCode"]],
        note=detail & NOTE_MASK,
        is_final=bool(event.get("over")),
        duration=event["took"] * US,
        report=load_report(event.get("gauge")),
    )
    scheduler.attempt_ended(now, end)


def _timer_fired(scheduler: Scheduler, now: int, event: Event) -> None:
    scheduler.timer_fired(now, event["mark"])


def _load_order_ended(scheduler: Scheduler, now: int, event: Event) -> None:
    worker = event["runner"]
    function = event["callee"]
    reason = REASONS[event["stateCode"]]
    scheduler.load_order_ended(now, worker, function, reason, event.get("nInst") or 0)


def _health_check_ended(scheduler: Scheduler, now: int, event: Event) -> None:
    worker = event["runner"]
    reason = REASONS[event["stateCode"]]
    scheduler.health_check_ended(now, worker, reason, load_report(event.get("gauge")))


def _client_departed(scheduler: Scheduler, now: int, event: Event) -> None:
    scheduler.client_departed(now, event["corr"])


def _stream_started(scheduler: Scheduler, now: int, event: Event) -> None:
    scheduler.stream_started(now, event["corr"], event["n"], event["runner"])


def _ignore(scheduler: Scheduler, now: int, event: Event) -> None:
    """Ignore an event that the scheduler does not need."""


def describe_fault(number: int, fault: Exception) -> str:
    """Return the error message for line `number`, with the source line if the scheduler failed."""
    place = traceback.extract_tb(fault.__traceback__)[-1]
    file = Path(place.filename)
    if file.parent.name == "scheduling":
        return f"petrelwood: line {number}: fault in the module at {file.name}:{place.lineno}: {fault!r}"
    what = "missing or unknown field" if isinstance(fault, KeyError) else "malformed"
    return f"petrelwood: line {number}: {what}: {fault}"


def main() -> int | str:
    """Answer the frames on standard input.

    Returns:
        0 at the end of the input, or the error message of the fault that ended the process.
    """
    adapter = Adapter()
    for number, line in enumerate(sys.stdin.buffer, 1):
        if not line.strip():
            continue
        try:
            answer = adapter.handle_frame(orjson.loads(line))
        except orjson.JSONDecodeError as fault:
            return f"petrelwood: line {number} is not JSON: {fault}"
        except Exception as fault:  # process boundary: any fault ends the process and is reported
            return describe_fault(number, fault)
        sys.stdout.buffer.write(orjson.dumps(answer) + b"\n")
        sys.stdout.buffer.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
