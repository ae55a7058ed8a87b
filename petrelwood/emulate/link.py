"""Links and workers of the emulator: a worker model behind a network with delays and partitions.

A link follows the same rules as the one on sockets: `decide.cluster.link_state` decides when to connect,
`decide.delivery.send_outcome` what the end of a send proves. A call is written once the connection has
greeted, and arrives after the one-way network delay."""

from collections import deque

from petrelwood.decide.cluster.link_state import CONNECT, DOWN, REJECT, UP, LinkPhase, LinkState
from petrelwood.decide.delivery import send_outcome

HANDSHAKE_DELAY = 100_000  # ns that the handshakes of a connection take beyond the network delay


class Node:
    """One worker: its machine, which is replaced at each start, and the links connected to it.

    `silent`: it accepts connections and never greets; `muted`: it answers no call; `lying`: its load reports
    show it idle; `wrong`: it answers the wrong activation.
    """

    def __init__(self, platform, name, zone, cell):
        self.platform, self.name, self.zone, self.cell = platform, name, zone, cell
        self.machine, self.booted, self.incarnation, self.silent, self.muted, self.lying = (
            None,
            0,
            0,
            False,
            False,
            False,
        )
        self.wrong, self.links, self.drop = False, [], set()

    def start(self, booted):
        self.machine, self.booted = self.platform.make_machine(booted), booted
        self.incarnation += 1

    def stop(self):
        """Kill the worker; connected dispatchers notice after the one-way network delay."""
        self.machine = None
        self.break_all()

    def break_all(self):
        links, self.links = self.links, []
        for link in links:
            self.platform.after(link.path_delay(), link.broken, self.incarnation)
            if self.machine is not None:
                link.drop_jobs(self.machine)

    def gauge(self):
        gauge = self.machine.gauge()
        return {**gauge, "running": 0, "waiting": 0, "cores": 0.0, "loads": 0} if self.lying else gauge


class Call:
    """A call to a worker: a run, a load order (`hold`) or a health check (`probe`)."""

    __slots__ = ("kind", "activation_id", "n", "fn", "at", "stage", "args", "job", "over")

    def __init__(self, kind, activation_id, n, fn, at, args):
        self.kind, self.activation_id, self.n, self.fn, self.at, self.args = (
            kind,
            activation_id,
            n,
            fn,
            at,
            args,
        )
        self.stage, self.job, self.over = send_outcome.SendStage.QUEUED, None, False


class Link:
    """The link of one dispatcher to one worker, with the interface that `dispatch.core.Core` requires."""

    __slots__ = (
        "platform",
        "node",
        "core",
        "zone",
        "terms",
        "state",
        "waiting",
        "out",
        "runs",
        "incarnation",
        "dead",
        "attempt",
        "address",
        "worker",
        "counts",
    )

    def __init__(self, platform, node, core, zone, terms, chance):
        self.platform, self.node, self.core, self.zone, self.terms = platform, node, core, zone, terms
        self.state = LinkState(node.name, terms, chance, core.reconnects)
        self.worker, self.address = node.name, (node.name, 0)
        self.waiting, self.out, self.runs, self.incarnation, self.dead, self.attempt = (
            deque(),
            {},
            {},
            0,
            False,
            0,
        )
        self.counts = {}

    def path_delay(self):
        return self.platform.path_delay(self.zone, self.node.zone)

    # Interface for the core
    def run(self, act, n, fn, mark, left, lanes, body):
        call = Call("run", act, n, fn, self.core.now(), (mark, self.core.now() + left, body))
        self.runs[act, n] = call
        self._call(call)

    def order_load(self, fn, lanes, copies):
        self._call(Call("hold", None, copies, fn, self.core.now(), ()))

    def check_health(self):
        self._call(Call("probe", None, 0, None, self.core.now(), ()))

    def cancel(self, act, n):
        call = self.runs.get((act, n))
        if call is not None:
            self._send_cancel(call)
            self._end(call, send_outcome.of_cancel(call.stage))

    def time_out(self, act, n):
        call = self.runs.get((act, n))
        if call is not None:
            self._send_cancel(call)
            self._end(call, send_outcome.of_timeout(call.stage))

    def withdraw(self, act, n):
        call = self.runs.get((act, n))
        if call is not None and call.stage == send_outcome.SendStage.QUEUED:
            self._end(call, send_outcome.of_recall(call.stage))

    def recall(self):
        for call in list(self.waiting):
            if call.kind != "probe":
                self._end(call, send_outcome.of_recall(call.stage))

    def has_open_calls(self):
        return bool(self.waiting or self.out)

    def give_up(self, why):
        self._lost()

    def _call(self, call):
        now = self.core.now()
        decision = self.state.on_call(now)
        if decision is REJECT:
            self._report(call, send_outcome.of_loss(send_outcome.SendStage.QUEUED))
            return
        if self.state.phase is UP:
            self._write(call)
            return
        self.waiting.append(call)
        if decision is CONNECT:
            self.state.on_connecting(now)
            self.attempt += 1
            self.platform.after(self.terms.connect_within, self._connect_timed_out, self.attempt)
            if not self.platform.is_cut(self.core.name, self.node.zone):
                self.platform.after(3 * self.path_delay() + HANDSHAKE_DELAY, self._connected, self.attempt)

    def _connect_timed_out(self, attempt):
        if attempt == self.attempt and self.state.phase in (
            LinkPhase.CONNECTING,
            LinkPhase.GREETING,
        ):
            self._lost()

    def _connected(self, attempt):
        if self.dead or attempt != self.attempt or self.state.phase != LinkPhase.CONNECTING:
            return
        if self.node.machine is None:
            self._lost()
            return
        if self.node.silent:
            return  # the connection is accepted, but the worker never greets
        self.state.on_connected()
        self.state.on_greeting(self.core.now(), self.node.name, self.node.booted)
        self.incarnation = self.node.incarnation
        self.node.links.append(self)
        while self.waiting:
            call = self.waiting[0]
            if call.kind == "hold" and not self.core.may_send_order(call.at):
                self._end(call, send_outcome.of_recall(call.stage))
            elif call.kind == "run" and call.args[1] <= self.core.now():
                self._end(call, send_outcome.of_timeout(call.stage))
            elif call.kind == "run" and not self.core.may_attempt_leave(
                call.activation_id, call.n, self.worker
            ):
                self._end(call, send_outcome.of_recall(call.stage))
            else:
                self._write(self.waiting.popleft())

    def _write(self, call):
        call.stage = send_outcome.SendStage.WRITTEN
        if call.kind == "run":  # the message states the time left when it is written
            mark, until, body = call.args
            call.args = (mark, until - self.core.now(), body)
        self.out[id(call)] = call
        if not self.platform.is_cut(self.core.name, self.node.zone):
            self.platform.after(self.path_delay(), self._arrive, call, self.incarnation)

    # Worker side
    def _arrive(self, call, incarnation):
        node = self.node
        if (
            self.dead
            or node.machine is None
            or node.incarnation != incarnation
            or incarnation != self.incarnation
        ):
            return
        if call.kind == "probe":
            self._answer(call, "completed", 0, b"")
        elif call.kind == "hold":
            self.platform.saw("hold", who=node.name, by=self.core.name, fn=call.fn, count=call.n)
            node.machine.hold(
                self.platform.model(call.fn),
                call.n,
                lambda word, copies: self._answer(call, word, copies, b""),
            )
        else:
            self._run_at_worker(call)

    def _run_at_worker(self, call):
        node, (mark, left, body) = self.node, call.args
        kind = self.platform.kind(call.fn)
        self.platform.saw(
            "run",
            who=node.name,
            by=self.core.name,
            act=call.activation_id,
            n=call.n,
            fn=call.fn,
            mark=mark,
            type=kind.type,
        )

        def done(word, note):
            job, call.job = call.job, None
            self.platform.saw(
                "ran",
                who=node.name,
                by=self.core.name,
                act=call.activation_id,
                n=call.n,
                word=word,
                mark=mark,
                muted=node.muted,
                waited=job.begun - job.came if job else 0,
            )
            self._answer(call, word, note, b"ok")

        job = node.machine.run(self.platform.model(call.fn), body, self.platform.clock.now() + left, done)
        if job is not None and job.where != "over":
            call.job = job

    def _answer(self, call, word, note, body):
        if self.node.muted or self.node.machine is None:
            return
        # An answer to another activation ends the connection.
        if self.node.wrong and call.kind == "run":
            self.platform.after(self.path_delay(), self._lost)
            return
        if call.kind == "run" and word == "ok" and note in (2, 3):
            self.platform.cold_starts += 1
        gauge = self.node.gauge()
        self.platform.after(
            self.path_delay(), self._answered, call, word, note, body, gauge, self.incarnation
        )

    def _answered(self, call, word, note, body, gauge, incarnation):
        if self.dead or incarnation != self.incarnation or call.over:
            return
        self.state.on_bytes(self.core.now())
        self._end(
            call,
            "completed" if word in ("ok", "completed") else send_outcome.of_error(word),
            note,
            body,
            gauge,
        )

    def _send_cancel(self, call):
        if call.stage == send_outcome.SendStage.WRITTEN and not self.platform.is_cut(
            self.core.name, self.node.zone
        ):
            self.platform.after(self.path_delay(), self._cancel_at_worker, call)

    def _cancel_at_worker(self, call):
        if call.job is not None and self.node.machine is not None:
            self.node.machine.cancel(call.job, self.platform.day.stops_work)

    # End of a connection
    def broken(self, incarnation):
        if incarnation == self.incarnation:
            self._lost()

    def drop_jobs(self, machine):
        """Cancel this connection's jobs at the worker, because the connection is gone."""
        for call in list(self.out.values()):
            if call.job is not None:
                machine.cancel(call.job, self.platform.day.stops_work)

    def _lost(self):
        if self.dead or self.state.phase is DOWN:
            return
        self.state.on_lost(self.core.now())
        self.incarnation = -1
        if self in self.node.links:
            self.node.links.remove(self)
            if self.node.machine is not None:
                self.drop_jobs(self.node.machine)
        for call in list(self.out.values()) + list(self.waiting):
            self._end(call, send_outcome.of_loss(call.stage))

    def die(self):
        """Close the link, because its dispatcher was killed."""
        self.dead = True
        if self in self.node.links:
            self.node.links.remove(self)
            if self.node.machine is not None:
                self.drop_jobs(self.node.machine)

    def _end(self, call, code, note=0, body=b"", gauge=None):
        if call.stage == send_outcome.SendStage.QUEUED:
            self.waiting.remove(call)
        elif self.out.pop(id(call), None) is None:
            return
        self._report(call, code, note, body, gauge)

    def _report(self, call, code, note=0, body=b"", gauge=None):
        call.over, core = True, self.core
        if self.dead:
            return
        if call.kind == "run":
            self.runs.pop((call.activation_id, call.n), None)
            core.submit(
                core.send_ended, call.activation_id, call.n, self.worker, code, note, body, call.at, gauge
            )
        elif call.kind == "hold":
            if call.stage == send_outcome.SendStage.QUEUED:
                core.order_not_sent(call.at)
            core.submit(core.load_order_ended, self.worker, call.fn, code, note)
        else:
            core.submit(core.health_check_ended, self.worker, code, gauge)
