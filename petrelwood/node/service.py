"""One dispatcher on the platform: the core on an event loop, with its clients, its links and its roster.

The types of `dispatch.core` are those of `petrelwood serve`: its settings, its intake, its links, its rules
of functions. Here each is another one that has all that the core uses of it here, hence the casts.
"""

import asyncio
from random import Random
from typing import TYPE_CHECKING, cast

from petrelwood.clocks import LoopClock
from petrelwood.decide.cluster.membership import Endpoint, EndpointState
from petrelwood.decide.cluster.polling import RosterPolling
from petrelwood.decide.delivery.pending import PendingActivation
from petrelwood.decide.overload.intake import Intake
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

if TYPE_CHECKING:  # the platform's dispatcher needs no settings in KDL
    from petrelwood.settings.functions import FunctionRule
    from petrelwood.settings.gateway import Gateway

CHECK_INTERVAL = 0.05  # seconds between checks of links, clients and the roster
CHECKS_PER_CLEANUP = 20  # checks between two searches for idle connections
CHECKS_PER_LOG_LINE = 100  # checks between two log lines of what is believed
USUAL_SHARE = 4  # a rejected client is told to wait for the shortest target latency / so much
# Lost connections that are logged: the first so many, then one in so many, whatever the workers do.
LOSSES_LOGGED = 32
LOSSES_A_LINE = 64
# Of a function without a request: each request brings its own figures.
UNKNOWN_FUNCTION = cast("FunctionRule", FunctionFigures(1, 0, 0))


class Node(Core):
    """One dispatcher. Times in ns."""

    scheduler: Scheduler

    def __init__(self, gateway: Configuration, log: Logger, scheduler: type[Scheduler] = Scheduler) -> None:
        self.configuration = gateway
        self.loop = asyncio.get_running_loop()
        self.resource_limits = ResourceLimits(gateway.sockets, gateway.memory)
        self.active_links: dict[NodeLink, bool] = {}  # that may have calls which have not ended
        self.next_check: asyncio.TimerHandle | None = None
        self.check_count = 0
        self.last_tag = 0  # the number in the last tag
        self.worker_connections = 0
        self.connection_losses = 0  # to workers
        self.serving = False  # the start is over, and the end has not begun
        settings = cast("Gateway", gateway)
        make_link = cast(MakeLink, self._make_link)
        super().__init__(settings, LoopClock(), Random(gateway.seed), make_link, log, scheduler)
        self.node_links = cast(dict[str, NodeLink], self.links)
        self.front = Front(self, self.resource_limits, log)
        self.deferred_timers: list[str] = []  # marks of timers that have fired while the loop was behind
        self.catch_up = CatchUp(self, self.front, self._on_caught_up)
        self.late_checks = LateChecks(self.now())
        self.roster = DnsRoster(gateway.names, self.membership, RosterPolling(self.chance.random), self, log)

    # What differs from the core of `petrelwood serve`.
    def _make_stages(self) -> tuple[None, Intake, None]:
        typical_duration = min(each.target_latency for each in self.terms.types.values()) // USUAL_SHARE
        return None, cast(Intake, CapacityIntake(self.resource_limits, typical_duration)), None

    def _make_activations(self) -> Activations:
        return NodeActivations(self)

    def _make_link(self, worker: str, address: Address | None, core: Core) -> NodeLink:
        return NodeLink(worker, address, self.configuration.workers, self)

    def rule(self, function: str) -> "FunctionRule":
        """Return what is known of a function without a request."""
        return UNKNOWN_FUNCTION

    def transmit(self, link: WorkerLink, act: PendingActivation, attempt: int, remaining: int) -> None:
        """Hand an attempt to a link; `remaining`: ns until its deadline."""
        cast(NodeLink, link).run(act, attempt, remaining)

    # For the front and the links: what may be done now.
    def serves(self) -> bool:
        """Return whether it takes calls: its start is over, and its end has not begun."""
        return self.serving and not self.intake.closing

    def is_open(self, act_id: str) -> bool:
        """Return whether an activation has this id, or an attempt of an earlier one is still in flight.

        Its answer would be taken for the new one's; also where it was another customer's, as workers know no
        more of an activation than the id.
        """
        return act_id in self.pending.activations or any(
            (act_id, attempt) in self.links.in_flight for attempt in range(self.terms.allowed.sends)
        )

    def may_send(self, act_id: str, link: PumpedLink) -> bool:
        """Return whether an attempt may leave now: not while its client's end or cancel may lie unread.

        Then the link is pumped again once the client was read.
        """
        activation = self.pending.activations.get(act_id)
        return activation is None or all(waiter.exchange.may_send(link) for waiter in activation.waiters)

    def answer_due(self, now: int) -> None:
        """Answer the activations whose deadline has come.

        The front does so before it takes anything new, as a turn of the event loop may be long.
        """
        self.activations.answer_due(now)

    # After the event loop was held up.
    def behind(self) -> bool:
        """Return whether what came while the loop was held up may lie unread: nothing is sent meanwhile."""
        return self.catch_up.is_behind()

    def arrived(self, now: int) -> int:
        """Return when what is read now came at the earliest: before `now`, if the loop was held up."""
        return self.catch_up.arrival_time(now)

    def timer_fired(self, mark: str) -> None:
        """Tell the module that a timer of its own has fired, once it knows what has come until then."""
        if self.behind():
            self.deferred_timers.append(mark)
        else:
            super().timer_fired(mark)

    def _on_caught_up(self) -> None:
        """Do what was deferred while the loop was behind."""
        deferred_timers = self.deferred_timers
        self.deferred_timers = []
        for mark in deferred_timers:
            self.submit(self.timer_fired, mark)
        for link in list(self.active_links):
            link.pump()

    # For the links: connections to workers, and the tags of calls on them.
    def opened(self) -> None:
        """Count a new connection to a worker."""
        self.worker_connections += 1

    def closed(self) -> None:
        """Count a connection to a worker that was closed."""
        self.worker_connections -= 1

    def may_open(self) -> bool:
        """Return whether a link may open another connection, if need be in place of an idle one."""
        has_capacity = self.worker_connections < self.resource_limits.workers
        return has_capacity or any(link.idle_connection() for link in self.node_links.values())

    def makes_room(self) -> bool:
        """Return whether a link may open another connection; idle ones are closed for it if need be."""
        while self.worker_connections >= self.resource_limits.workers:
            # the link that closes one may open another at once, for what it has queued
            if not any(link.close_idle() for link in self.node_links.values()):
                return False
        return True

    def next_tag(self) -> str:
        """Return the tag of a new load order or health check."""
        self.last_tag += 1
        return f"{self.name}-{self.last_tag}"

    def note_loss(self, worker: str, why: str, out: int) -> None:
        """Count a lost connection to a worker, and log some; `out`: the calls that were in flight on it."""
        self.connection_losses += 1
        losses = self.connection_losses
        if losses <= LOSSES_LOGGED or not losses % LOSSES_A_LINE:
            self.log.info("a connection to a worker is lost", worker=worker, why=why, out=out, losses=losses)

    def schedule_checks(self, link: NodeLink) -> None:
        """Note that a link has a call that has not ended."""
        self.active_links[link] = True

    # Start, checks and shutdown.
    def begin(self) -> None:
        """Listen for clients, and poll the roster.

        Raises:
            OSError: it can't listen.
        """
        self._apply_known_list()
        self.front.open(self.configuration.listen)
        # tried again where it can't be opened now: the known list serves without it
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
        """Check links, clients and the roster, again and again."""
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
        for link in list(self.node_links.values()):
            link.close_expired(now)
        self.links.release_unused(self.membership.members)

    def reload(self, gateway: Configuration) -> None:
        """Put a new configuration in force, at SIGHUP: only the roster's address can change while it runs."""
        host, port = gateway.names
        self.log.info("new configuration", names=f"{host}:{port}")
        self.configuration = self.configuration._replace(names=gateway.names)
        self.gateway = cast("Gateway", self.configuration)
        self.roster.set_address(gateway.names)

    async def close(self) -> None:
        """Shut down gracefully, at SIGTERM."""
        # the signal may have come while the loop was held up, and the time until the kill runs from then
        started_at = self.arrived(self.now())
        self.serving = False
        await GracefulShutdown(self, started_at, max(self.configuration.timeouts.values())).drain()
        # nothing comes between the check that found the sockets quiet and this
        self.front.stop()
        if self.next_check is not None:
            self.next_check.cancel()
        self.roster.close()
        self.log.info("closed", **self.figures())

    # What is logged.
    def standing(self) -> StandingFields:
        """Return the fields of the regular log line, and begin to count the links' ends anew."""
        counts = self.pending.counts
        believed = self.scheduler.snapshot()
        clients = len(self.front.clients)
        return standing_fields(counts, self.intake.unanswered, believed, self.node_links, clients)

    def figures(self) -> dict[str, object]:
        """Return all counts, for logs and tests."""
        return {
            **super().figures(),
            "front": self.front.counts,
            "roster": self.roster.counts,
            "losses": self.connection_losses,
        }
