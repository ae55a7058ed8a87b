"""One dispatcher on the platform: the core on an event loop, with its clients, its links and its roster.

`dispatch.core` is annotated with the types of `petrelwood serve` for the settings, the intake, the links and
the rules of functions. This package has its own types with the attributes that the core uses here, hence the
casts.
"""

import asyncio
from random import Random
from typing import TYPE_CHECKING, cast

from petrelwood import ports
from petrelwood.clocks import LoopClock
from petrelwood.decide.cluster.membership import Endpoint, EndpointState
from petrelwood.decide.cluster.polling import RosterPolling
from petrelwood.decide.delivery.executed_ids import ExecutedIds
from petrelwood.decide.delivery.pending import PendingActivation
from petrelwood.decide.overload.intake import Intake
from petrelwood.decide.overload.memory_pool import MemoryPool
from petrelwood.decide.overload.resource_limits import CapacityIntake, ResourceLimits
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.dispatch.activations import Activations
from petrelwood.dispatch.core import Core, MakeLink
from petrelwood.dispatch.interfaces import Logger
from petrelwood.dispatch.worker_links import WorkerLink
from petrelwood.links.interfaces import Address
from petrelwood.node.call_request import FunctionFigures
from petrelwood.node.configuration import Configuration
from petrelwood.node.exchange import PumpedLink
from petrelwood.node.front import Front
from petrelwood.node.graceful_shutdown import GracefulShutdown
from petrelwood.node.loop_lag import CatchUp, LateChecks
from petrelwood.node.node_activations import NodeActivations
from petrelwood.node.roster import DnsRoster
from petrelwood.node.standing_log import StandingFields, standing_fields
from petrelwood.node.worker import NodeLink
from petrelwood.node.worker_connection import WorkerConnection

if TYPE_CHECKING:  # the platform's dispatcher needs no settings in KDL
    from petrelwood.settings.functions import FunctionRule
    from petrelwood.settings.gateway import Gateway

CHECK_INTERVAL = 0.05  # seconds between two checks of links, clients and the roster
CHECKS_PER_CLEANUP = 20  # checks between two searches for idle connections to workers
CHECKS_PER_LOG_LINE = 100  # checks between two `standing` log lines
# A rejected client is told to retry after the shortest target latency divided by this.
USUAL_TIME_DIVISOR = 4
# Lost connections that are logged: the first LOSSES_LOGGED, then one in LOSSES_PER_LOG_LINE, of all workers
# together.
LOSSES_LOGGED = 32
LOSSES_PER_LOG_LINE = 64
# The rule of a function for which there is no request; each request has the figures of its function.
UNKNOWN_FUNCTION = cast("FunctionRule", FunctionFigures(1, 0, 0))


class Node(Core):
    """One dispatcher. Times are in ns."""

    scheduler: Scheduler

    def __init__(self, gateway: Configuration, log: Logger, scheduler: type[Scheduler] = Scheduler) -> None:
        self.configuration = gateway
        self.loop = asyncio.get_running_loop()
        self.resource_limits = ResourceLimits(gateway.sockets, gateway.memory)
        self.executed_ids = ExecutedIds(self.resource_limits.executed_ids)
        self.partial_answers: MemoryPool[tuple[NodeLink, WorkerConnection]] = MemoryPool(
            self.resource_limits.partial_answer_bytes
        )
        self.active_links: dict[NodeLink, bool] = {}  # links that may have open calls
        self.next_check: asyncio.TimerHandle | None = None
        self.check_count = 0
        self.last_tag = 0  # the number in the last tag of a load order or health check
        self.tag_prefix = ""  # of this process alone, set once the clock is known
        self.worker_connections = 0  # open connections to workers
        self.connection_losses = 0  # lost connections to workers
        self.serving = False  # the start is complete and the shutdown has not begun
        settings = cast("Gateway", gateway)
        make_link = cast(MakeLink, self._make_link)
        super().__init__(settings, LoopClock(), Random(gateway.seed), make_link, log, scheduler)
        # A process that starts again has the same name, and its tags must not be those of the one before it.
        self.tag_prefix = f"{self.name}-{self.clock.wall() // 1000:x}-{self.now() // 1000:x}-"
        self.links_by_worker = cast(dict[str, NodeLink], self.links)
        self.front = Front(self, self.resource_limits, log)
        self.deferred_timers: list[str] = []  # marks of timers that fired while the loop was behind
        self.catch_up = CatchUp(self, self.front, self._on_caught_up)
        self.late_checks = LateChecks(self.now())
        self.roster = DnsRoster(gateway.names, self.membership, RosterPolling(self.chance.random), self, log)

    # Differences from the core of `petrelwood serve`
    def _make_stages(self) -> tuple[None, Intake, None]:
        typical_duration = (
            min(each.target_latency for each in self.terms.types.values()) // USUAL_TIME_DIVISOR
        )
        return None, cast(Intake, CapacityIntake(self.resource_limits, typical_duration)), None

    def _make_activations(self) -> Activations:
        self.node_activations = NodeActivations(self)
        return self.node_activations

    def _make_link(self, worker: str, address: Address | None, core: Core) -> NodeLink:
        return NodeLink(worker, address, self.configuration.workers, self)

    def rule(self, function: str) -> "FunctionRule":
        """Return the rule of a function for which there is no request."""
        return UNKNOWN_FUNCTION

    def transmit(self, link: WorkerLink, act: PendingActivation, attempt: int, remaining: int) -> None:
        """Hand an attempt to a link; `remaining`: ns until its deadline."""
        cast(NodeLink, link).run(act, attempt, remaining)

    # Conditions checked by the front and the links
    def is_ready(self) -> bool:
        """Return whether calls are accepted: the start is complete and the shutdown has not begun."""
        return self.serving and not self.intake.closing

    def is_open(self, act_id: str) -> bool:
        """Return whether an activation has this id, or an attempt of an earlier one is still in flight.

        The answer to that attempt would be taken for an answer to the new activation, even if the earlier one
        was of another customer, because workers know activations only by their ids.
        """
        return act_id in self.pending.activations or any(
            (act_id, attempt) in self.links.in_flight for attempt in range(self.terms.allowed.sends)
        )

    def may_send(self, act_id: str, link: PumpedLink) -> bool:
        """Return whether an attempt may leave now: not while its client's disconnect or cancel may be unread.

        In that case the link is pumped again after the next read from the client.
        """
        activation = self.pending.activations.get(act_id)
        return activation is None or all(waiter.exchange.may_send(link) for waiter in activation.waiters)

    def start_activation(self, activation_id: str) -> None:
        """Hand an activation to the scheduler, if it has not ended."""
        self.submit(self.node_activations.start, activation_id)

    def reject_activation(self, activation_id: str) -> None:
        """Reject an activation that the scheduler does not know, if it has not ended."""
        self.submit(self.node_activations.reject_unstarted, activation_id)

    def attempt_written(self, activation: str) -> None:
        """Note that the attempt of an activation may run from now on."""
        act = self.pending.activations.get(activation)
        if act is not None and self.terms.types[act.type].effect == ports.Effect.ONCE_ONLY:
            self.executed_ids.add(activation)

    def has_executed(self, act_id: str) -> bool:
        """Return whether a once-only activation with this id may have run."""
        return act_id in self.executed_ids

    def send_ended(
        self,
        activation_id: str,
        attempt: int,
        worker: str,
        reason: ports.EndReason,
        note: int,
        body: bytes,
        sent_at: int,
        report: dict[str, float] | None,
    ) -> None:
        """Handle the end of an attempt as in `Core`; one that never ran may be sent again."""
        if reason in ports.NEVER_RAN:
            self.executed_ids.discard(activation_id)
        super().send_ended(activation_id, attempt, worker, reason, note, body, sent_at, report)

    def answer_due(self, now: int) -> None:
        """Answer the activations whose deadline has passed.

        The front calls this before it accepts new requests, because an iteration of the event loop may take
        long.
        """
        self.activations.answer_due(now)

    # Catching up after the event loop was blocked
    def is_behind(self) -> bool:
        """Return whether data that arrived while the loop was blocked may be unread; nothing is sent then."""
        return self.catch_up.is_behind()

    def earliest_arrival(self, now: int) -> int:
        """Return the earliest possible arrival time of data read now; before `now` after a blocked loop."""
        return self.catch_up.arrival_time(now)

    def timer_fired(self, mark: str) -> None:
        """Notify the module that one of its timers has fired, after all data that arrived before was read."""
        if self.is_behind():
            self.deferred_timers.append(mark)
        else:
            super().timer_fired(mark)

    def _on_caught_up(self) -> None:
        """Run the timers and pump the links that were deferred while the loop was behind."""
        deferred_timers = self.deferred_timers
        self.deferred_timers = []
        for mark in deferred_timers:
            self.submit(self.timer_fired, mark)
        for link in list(self.active_links):
            link.pump()

    # For the links: connections to workers, and tags of calls
    def is_address_confirmed(self, worker: str, since: int) -> bool:
        """Return whether a worker is at its address again, where nobody listened at `since` (ns)."""
        return self.membership.has_confirmed(worker, since)

    def partial_answer_read(self, link: NodeLink, connection: WorkerConnection, size: int) -> None:
        """Note how much of an incomplete answer a connection to a worker holds, in bytes.

        While all of them together are too much, the one is closed whose answer has been incomplete longest.
        """
        self.partial_answers.update((link, connection), size)
        while self.partial_answers.is_exceeded():
            holder = self.partial_answers.first()
            if holder is None:
                return
            self.partial_answers.update(holder, 0)
            first_link, first_connection = holder
            first_link.give_up_connection(first_connection, "its answer is incomplete and memory is short")

    def connection_opened(self) -> None:
        """Count a new connection to a worker."""
        self.worker_connections += 1

    def connection_closed(self) -> None:
        """Count a closed connection to a worker."""
        self.worker_connections -= 1

    def may_open_connection(self) -> bool:
        """Return whether a link may open another connection, possibly in place of an idle one."""
        has_capacity = self.worker_connections < self.resource_limits.workers
        return has_capacity or any(link.longest_idle_connection() for link in self.links_by_worker.values())

    def make_room(self) -> bool:
        """Close idle connections if a link needs that to open another one; return whether it may."""
        while self.worker_connections >= self.resource_limits.workers:
            # a link that closes one may at once open another for its queued calls
            if not any(link.close_idle() for link in self.links_by_worker.values()):
                return False
        return True

    def next_tag(self) -> str:
        """Return the tag of a new load order or health check."""
        self.last_tag += 1
        return f"{self.tag_prefix}{self.last_tag}"

    def note_loss(self, worker: str, why: str, out: int) -> None:
        """Count a lost connection to a worker, and log some of them; `out`: the calls in flight on it."""
        self.connection_losses += 1
        losses = self.connection_losses
        if losses <= LOSSES_LOGGED or not losses % LOSSES_PER_LOG_LINE:
            self.log.info("a connection to a worker is lost", worker=worker, why=why, out=out, losses=losses)

    def schedule_checks(self, link: NodeLink) -> None:
        """Note that a link has an open call."""
        self.active_links[link] = True

    # Start, checks and shutdown
    def begin(self) -> None:
        """Listen for clients, and poll the roster.

        Raises:
            OSError: the address can't be listened on.
        """
        self._apply_known_list()
        self.front.open(self.configuration.listen)
        # if that fails it is retried later; until then the configured endpoint list is used
        self.roster.open()
        self.serving = True
        self._check()

    def _apply_known_list(self) -> None:
        """Apply the endpoint list of the configuration."""
        now = self.now()
        wall = self.clock.wall()
        known: dict[str, Endpoint] = {}
        for batch in self.configuration.known:
            if batch.complete:
                known.clear()
            for endpoint in batch.endpoints:
                known[endpoint.worker] = endpoint
        endpoints = [each for each in known.values() if each.state != EndpointState.GONE]
        change = self.membership.apply_list(f"dns-{self.configuration.number}", endpoints, now, wall)
        self.membership.on_contact(now)
        self.endpoints_changed(change.listed, change.leaving, True)

    def _check(self) -> None:
        """Check links, clients and the roster, and schedule the next check."""
        self.next_check = self.loop.call_later(CHECK_INTERVAL, self._check)
        now = self.now()
        self.front.shed_connections(self.late_checks.note_check(now))
        self.catch_up.note_check(now)
        self.roster.check(now)
        for link in list(self.active_links):
            if not link.check(now):
                self.active_links.pop(link, None)
        self.check_count += 1
        self.front.check(now)
        if not self.check_count % CHECKS_PER_CLEANUP:
            self._close_idle_connections(now)
        if not self.check_count % CHECKS_PER_LOG_LINE:
            self.log.info("standing", **self.standing())
        if self.membership.is_newly_lost(now):
            self.log.warning("endpoint list lost")
            self.endpoint_list_lost()

    def _close_idle_connections(self, now: int) -> None:
        for link in list(self.links_by_worker.values()):
            link.close_expired(now)
        self.links.release_unused(self.membership.members)

    def reload(self, gateway: Configuration) -> None:
        """Apply a new configuration, at SIGHUP; only the address of the roster can change at run time."""
        host, port = gateway.names
        self.log.info("new configuration", names=f"{host}:{port}")
        self.configuration = self.configuration._replace(names=gateway.names)
        self.gateway = cast("Gateway", self.configuration)
        self.roster.set_address(gateway.names)

    async def close(self) -> None:
        """Shut down gracefully, at SIGTERM."""
        # the signal may have arrived while the loop was blocked, and the time until the kill runs from then
        started_at = self.earliest_arrival(self.now())
        self.serving = False
        await GracefulShutdown(self, started_at, max(self.configuration.timeouts.values())).drain()
        # nothing can arrive between the check that found the sockets quiescent and this call
        self.front.stop()
        if self.next_check is not None:
            self.next_check.cancel()
        self.roster.close()
        self.log.info("closed", **self.figures())

    # Logging
    def standing(self) -> StandingFields:
        """Return the fields of the regular log line, and reset the counts of call ends in the links."""
        counts = self.pending.counts
        estimates = self.scheduler.snapshot()
        clients = len(self.front.clients)
        return standing_fields(counts, self.intake.unanswered, estimates, self.links_by_worker, clients)

    def figures(self) -> dict[str, object]:
        """Return all counts, for logs and tests."""
        return {
            **super().figures(),
            "front": self.front.counts,
            "roster": self.roster.counts,
            "losses": self.connection_losses,
        }
