"""One dispatcher on the platform: the core on a loop, its front, its links, its roster, its end."""

import asyncio
from random import Random

from petrelwood.clocks import LoopClock
from petrelwood.decide.cluster import shutdown
from petrelwood.decide.cluster.membership import EndpointState
from petrelwood.decide.cluster.polling import RosterPolling
from petrelwood.decide.delivery import ledger
from petrelwood.decide.overload import intake
from petrelwood.decide.overload.resource_limits import CapacityIntake, ResourceLimits
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.dispatch.activations import Activations
from petrelwood.dispatch.core import Core
from petrelwood.node.call_request import FunctionFigures
from petrelwood.node.front import Front
from petrelwood.node.roster import DnsRoster
from petrelwood.node.worker import NodeLink

CHECK = 0.05  # seconds between looks at links, clients and the roster
BEHIND = 100_000_000  # ns without a look, after which the loop was held up: two looks
# turns of the loop in which nothing of a client is read, after which all is. Where something always comes,
# what lay unread at the first turn has been read after as many and this long (ns), whatever followed
QUIET, CATCH_UP = 3, 50_000_000
# late looks, from which on connections are shed, until so many in a row are in time
LATE_LOOKS, TIMELY_LOOKS = 3, 10
TIDY = 20  # looks between two at connections that rest
STANDING = 100  # looks between two log lines of what is believed
UNKNOWN = FunctionFigures(1, 0, 0)


class NodeActivations(Activations):
    """Activations that go under the ids which their clients gave them."""

    def admit(self, ask, function, rule, body, exchange):
        """Answers what can't be taken under the id that it came with."""
        if not exchange.waits():  # its client left between its reading and its turn
            return
        if self.core.is_open(ask.id):
            exchange.answer(intake.ABORT, why="an id that is open")
            return
        super().admit(ask, function, rule, body, exchange)


class Node(Core):
    """`gateway` is a `configuration.Configuration`."""

    def __init__(self, gateway, log, scheduler=Scheduler):
        self.loop, self.room = asyncio.get_running_loop(), ResourceLimits(gateway.sockets, gateway.memory)
        self.busy, self.checks, self.looks, self.tag, self.lines, self.losses, self.began = (
            {},
            None,
            0,
            0,
            0,
            0,
            False,
        )
        super().__init__(gateway, LoopClock(), Random(gateway.seed), self._link, log, scheduler)
        self.beat, self.turns, self.still, self.read, self.rings = self.now(), 0, 0, 0, []
        self.last_look = self.now()
        self.late_looks = 0  # since so many were in time, one after the other
        self.timely_looks = 0  # in a row
        self.held_up_at = 0  # when it was seen that the loop was held up
        self.front = Front(self, self.room, log)
        self.roster = DnsRoster(gateway.names, self.membership, RosterPolling(self.chance.random), self, log)

    def _make_stages(self):
        usual = min(t.target_latency for t in self.terms.types.values()) // 4
        return None, CapacityIntake(self.room, usual), None

    def _link(self, worker, address, core):
        return NodeLink(worker, address, self.gateway.workers, core, self.log)

    def rule(self, function):
        """What is known of a function comes with each request."""
        return UNKNOWN

    def transmit(self, link, act, attempt, time_left):
        link.run(act, attempt, time_left)

    def serves(self):
        return self.began and not self.intake.closing

    def is_open(self, act_id):
        """Whether an activation has this id, or a send of one that had it is still out, whose answer would be
        taken for the new one's: also another customer's, as workers know no more of it than the id."""
        return act_id in self.pending.activations or any(
            (act_id, n) in self.links.in_flight for n in range(self.terms.allowed.sends)
        )

    def may_send(self, act_id, link):
        """Whether a send may leave now: not while the end or a cancel of its client may lie unread. Then the
        link is pumped again once the client was read."""
        owed = self.pending.activations.get(act_id)
        return owed is None or all(exchange.may_send(link) for exchange, _ in owed.waiters)

    def _make_activations(self):
        return NodeActivations(self)

    # After the loop was held up.
    def behind(self):
        """Whether what came while the loop was held up may still lie unread: a client's end or cancel, news
        of workers. Nothing leaves for a worker until it is read; what it takes back is then still here."""
        if not self.turns and self.now() - self.beat > BEHIND:
            self.turns, self.still, self.read = QUIET, QUIET, self.front.reads
            self.held_up_at = self.now()
            self.loop.call_soon(self._turn)
        return self.turns > 0

    def arrived(self, now):
        """When what is read now came, at the earliest: its client's time runs from then. Where the loop was
        held up, it may have lain there as long."""
        return now if now - self.beat <= BEHIND else self.beat

    def _turn(self):
        self.turns = max(1, self.turns - 1)
        self.still = self.still - 1 if self.read == self.front.reads else QUIET
        self.read = self.front.reads
        if self.still and (self.turns > 1 or self.now() - self.held_up_at < CATCH_UP):
            self.loop.call_soon(self._turn)
            return
        self.turns, self.beat = 0, self.now()
        rings, self.rings = self.rings, []
        for mark in rings:
            self.submit(self.timer_fired, mark)
        for link in list(self.busy):
            link.pump()

    def timer_fired(self, mark):
        """What the module makes of time that has passed, it makes once it knows what has come in that
        time."""
        if self.behind():
            self.rings.append(mark)
        else:
            super().timer_fired(mark)

    def answer_due(self, now):
        """What is due is answered before anything new is taken: a turn of the loop may be long."""
        self.activations.answer_due(now)

    # Descriptors of links, and their tags.
    def opened(self):
        self.lines += 1

    def closed(self):
        self.lines -= 1

    def may_open(self):
        """Whether a link may open another connection."""
        return self.lines < self.room.workers or any(link.rests() for link in self.links.values())

    def makes_room(self):
        """The same, and one that rests elsewhere makes room where it must."""
        return self.lines < self.room.workers or any(link.spare() for link in self.links.values())

    def next_tag(self):
        self.tag += 1
        return f"{self.name}-{self.tag}"

    def note_loss(self, worker, why, out):
        self.losses += 1
        if self.losses <= 32 or not self.losses % 64:  # sparse, whatever the workers do
            self.log.info(
                "a connection to a worker is lost", worker=worker, why=why, out=out, losses=self.losses
            )

    def active(self, link):
        self.busy[link] = True

    # Its life.
    def begin(self):
        """Listens and asks. Raises OSError where it can't."""
        now, wall, known = self.now(), self.clock.wall(), {}
        for whole, entries in self.gateway.known:
            if whole:
                known.clear()
            known.update((e.worker, e) for e in entries)
        listed = self.membership.apply_list(
            f"dns-{self.gateway.number}",
            [e for e in known.values() if e.state != EndpointState.GONE],
            now,
            wall,
        )
        self.membership.on_contact(now)
        self.endpoints_changed(*listed, True)
        self.front.open(self.gateway.listen)
        # asked again where it can't be asked now: what is known serves without it
        self.roster.open()
        self.began = True
        self._check()

    def _check(self):
        self.checks = self.loop.call_later(CHECK, self._check)
        now = self.now()
        if now - self.last_look > BEHIND:
            self.late_looks += 1
            self.timely_looks = 0
        else:
            self.timely_looks += 1
        self.last_look = now
        if self.timely_looks >= TIMELY_LOOKS:
            self.late_looks = 0
        self.front.shed_connections(self.late_looks >= LATE_LOOKS)
        if not self.behind():
            self.beat = now
        self.roster.check(now)
        for link in list(self.busy):
            if not link.check(now):
                self.busy.pop(link, None)
        self.looks += 1
        self.front.check(now)
        if not self.looks % TIDY:
            for link in list(self.links.values()):
                link.tidy(now)
            self.links.release_unused(self.membership.members)
        if not self.looks % STANDING:
            self.log.info("standing", **self.standing())
        if self.membership.is_newly_lost(now):
            self.log.warning("endpoint list lost")
            self.endpoint_list_lost()

    def reload(self, gateway):
        """SIGHUP: only the roster's address can have changed while it runs."""
        self.log.info("new configuration", names=f"{gateway.names[0]}:{gateway.names[1]}")
        self.gateway = self.gateway._replace(names=gateway.names)
        self.roster.set_address(gateway.names)

    async def close(self):
        """SIGTERM: takes what still comes, then turns it away, answers all that it owes, and ends. It listens
        to the last: a connection that the machine has accepted may have a request in it, which a closed
        listener would lose."""
        # the signal may have come while the loop was held up, and the time until the kill runs from then
        ends = shutdown.Shutdown(self.arrived(self.now()), max(self.gateway.timeouts.values()))
        self.began = False
        while not ends.over(self.now(), len(self.pending.activations), self.front.quiet()):
            self.intake.closing = ends.closed(self.now())
            if ends.closed(self.now()) and not self.pending.activations:
                self.front.close_idle()  # those that go on sending keep only themselves
            if ends.out_of_time(self.now()):
                for act_id in sorted(self.pending.activations):
                    self.submit(self._cut, act_id)
            await asyncio.sleep(CHECK / 5)
        # nothing comes between the look that found it quiet and this
        self.front.stop()
        self.checks.cancel()
        self.roster.close()
        self.log.info("closed", **self.figures())

    def standing(self):
        """What is believed of load and health, by worker: sends out, connections, what the module makes of
        it. Of hundreds of workers only those that have something of ours, or are thought ill."""
        counts, believed = self.pending.counts, self.scheduler.snapshot()
        ends = {worker: link.ends for worker, link in self.links.items() if link.ends}
        for link in self.links.values():
            link.ends = {}
        return {
            "taken": counts["taken"],
            "completed": counts[ledger.ActivationState.COMPLETED],
            "rejected": counts[ledger.ActivationState.REJECTED],
            "aborted": counts[ledger.ActivationState.ABORTED],
            "held": self.intake.unanswered,
            "out": believed.in_flight,
            "slow": round(believed.slow_share, 2),
            "turned": round(believed.shed_probability, 2),
            "cap": believed.send_limit and round(believed.send_limit, 1),
            "functions": believed.functions,
            "clients": len(self.front.clients),
            "listed": len(believed.workers),
            "ends": ends,
            "workers": {
                w.worker: [
                    w.in_flight,
                    round(w.relative_latency, 2),
                    w.send_limit and round(w.send_limit, 1),
                    int(w.is_unresponsive),
                    lines,
                    w.copies,
                ]
                for w in believed.workers
                for lines in [len(self.links[w.worker].lines) if w.worker in self.links else 0]
                if lines or w.in_flight or w.is_unresponsive or w.send_limit or w.copies
            },
        }

    def _cut(self, act_id):
        """Its time ends with the process: the module makes an answer of how its sends end, as it does when it
        is due."""
        if act_id in self.pending.activations:
            self.scheduler.process_ending(self.now(), act_id)
            self.activations.time_out(act_id)

    def figures(self):
        return {
            **super().figures(),
            "front": self.front.counts,
            "roster": self.roster.counts,
            "losses": self.losses,
        }
