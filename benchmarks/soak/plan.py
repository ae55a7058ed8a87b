"""The scenario of one seed: settings, load and signals of a shutdown. A seed always gives the same plan."""

import dataclasses
import random
import signal
from dataclasses import dataclass
from enum import StrEnum

STILL_ARRIVING = 0.7  # s after SIGTERM during which requests still arrive, according to the protocol
LONGEST_COUNTED_DEADLINE = 3.0  # s; a longer deadline does not postpone the kill
FIRST_HANGUP = 1.0  # s after the start during which the platform sends no SIGHUP
DEADLINES = (0.3, 0.5, 1.0, 2.0, 3.0, 4.0)  # s
EFFECTS = ("repeatable", "by_key", "once")
DRAIN_GRACE = 2.0  # s, as in the settings
DRAIN_AFTER = 0.3  # s from readiness until the roster sends that a worker is draining
CONNECT_TIMEOUTS = (0.1, 0.25, 0.5)  # s
DESCRIPTOR_LIMITS = (96, 128, 256)
CROWDED_DESCRIPTOR_LIMIT = 64
MISUSED_DESCRIPTOR_LIMIT = 1_024  # with it clients may hold hundreds of connections
LEAST_MEMORY_MB = 32  # the least that the platform gives
MEMORY_MB = 64


class WorkerTrouble(StrEnum):
    """What the workers do while the dispatcher shuts down."""

    NONE = "none"
    HANG = "hang"  # they answer nothing
    CLOSE = "close"  # they close their connections, again and again


class Front(StrEnum):
    """The protocol by which clients reach the dispatcher."""

    NODE = "node"  # the protocol of the operators' platform
    SERVE = "serve"  # webhooks to `petrelwood serve`


@dataclass(frozen=True, slots=True)
class PlannedSignal:
    """A signal to the dispatcher; `at` in s after the first SIGTERM, negative before it."""

    at: float
    number: signal.Signals


@dataclass(frozen=True, slots=True)
class Plan:
    """One play. Times in s."""

    seed: int
    front: Front
    deadlines: tuple[float, ...]  # one for each effect of EFFECTS
    connect_timeout: float
    descriptors: int
    workers: int
    clients: int
    request_interval: float  # of each client
    service_time: float  # of a worker, the mean of an exponential distribution
    serving: float  # from readiness to SIGTERM; with `early`, from the start of the process
    early: bool  # SIGTERM is sent before the dispatcher is ready
    signals: tuple[PlannedSignal, ...]
    trouble: WorkerTrouble
    drains: bool  # the roster sends that one worker is draining before SIGTERM
    crowd: int  # connections beyond the limits, each with a request
    misused: int  # connections that write slowly, stop within requests or read nothing, until the kill
    memory_mb: int  # of the dispatcher
    upgrades: bool  # a successor process takes over before SIGTERM, which is sent to both processes

    @property
    def kill_after(self) -> float:
        """The earliest time of SIGKILL, in s after SIGTERM."""
        return min(max(self.deadlines), LONGEST_COUNTED_DEADLINE) + STILL_ARRIVING

    def describe(self) -> str:
        """Return the plan in one line."""
        signals = " ".join(f"{each.number.name}{each.at:+.3f}" for each in self.signals)
        deadlines = "/".join(f"{each:g}" for each in self.deadlines)
        also = ("drain, " if self.drains else "") + ("upgrade, " if self.upgrades else "")
        return (
            f"deadlines {deadlines} s, {self.workers} workers ({self.trouble}), {self.clients} clients,"
            f" crowd {self.crowd}, misused {self.misused}, descriptors {self.descriptors},"
            f" {'early' if self.early else 'serving'} {self.serving:.2f} s, {also}{signals}"
        )


def draw(seed: int, front: Front = Front.NODE) -> Plan:
    """Return the plan of a seed."""
    chance = random.Random(f"soak/{seed}")
    crowded = chance.random() < 1 / 4
    trouble = chance.choices(list(WorkerTrouble), (6, 1, 1))[0]
    early = chance.random() < 1 / 10
    drains = not early and chance.random() < 1 / 3
    serving = chance.uniform(*_serving_range(early, drains))
    plan = Plan(
        seed=seed,
        front=front,
        deadlines=tuple(chance.choice(DEADLINES) for _ in EFFECTS),
        connect_timeout=chance.choice(CONNECT_TIMEOUTS),
        descriptors=CROWDED_DESCRIPTOR_LIMIT if crowded else chance.choice(DESCRIPTOR_LIMITS),
        workers=chance.randint(2, 5),
        clients=chance.randint(3, 8),
        request_interval=chance.uniform(0.02, 0.08),
        service_time=chance.uniform(0.002, 0.08),
        serving=serving,
        early=early,
        signals=_signals(chance, early),
        trouble=trouble,
        drains=drains,
        crowd=chance.randint(60, 150) if crowded and not early else 0,
        misused=0,
        memory_mb=MEMORY_MB,
        upgrades=front is Front.SERVE and not early and chance.random() < 1 / 4,
    )
    return _misuse(plan) if _is_misused(chance, plan) else plan


def _is_misused(chance: random.Random, plan: Plan) -> bool:
    return chance.random() < 1 / 3 and plan.front is Front.NODE and not plan.early and not plan.crowd


def _misuse(plan: Plan) -> Plan:
    """Return the plan with the least memory, and as many misused connections as the protocol allows."""
    connections = MISUSED_DESCRIPTOR_LIMIT // 3 - plan.clients
    return dataclasses.replace(
        plan, misused=connections, memory_mb=LEAST_MEMORY_MB, descriptors=MISUSED_DESCRIPTOR_LIMIT
    )


def _serving_range(early: bool, drains: bool) -> tuple[float, float]:
    if early:
        return 0.0, 0.6
    if drains:  # the dispatcher serves beyond the drain grace of the worker
        return DRAIN_AFTER + DRAIN_GRACE, DRAIN_AFTER + DRAIN_GRACE + 1.0
    return FIRST_HANGUP + 0.2, 2.5


def _signals(chance: random.Random, early: bool) -> tuple[PlannedSignal, ...]:
    """Return SIGTERM and the signals around it, in the order of their times."""
    signals = [PlannedSignal(0.0, signal.SIGTERM)]
    if not early:  # no SIGHUP is sent before the dispatcher is ready
        if chance.random() < 1 / 2:  # in quick succession
            first = chance.uniform(-0.2, -0.05)
            signals += [PlannedSignal(first + n * 0.004, signal.SIGHUP) for n in range(chance.randint(2, 5))]
        if chance.random() < 1 / 2:
            signals.append(PlannedSignal(-chance.uniform(0.0, 0.01), signal.SIGHUP))
        if chance.random() < 1 / 2:
            signals.append(PlannedSignal(chance.uniform(0.0, 0.01), signal.SIGHUP))
    if chance.random() < 1 / 2:
        signals.append(PlannedSignal(chance.choice((0.001, 0.05, 0.5, 0.75)), signal.SIGTERM))
    return tuple(sorted(signals, key=lambda each: each.at))
