"""Runs one dispatcher until SIGTERM, then shuts it down gracefully: answers all activations, exits with 0.

The process may also take over from a running dispatcher, without a gap in service.
"""

import asyncio
import json
import signal
import sys
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass
from typing import Any

from petrelwood.decide.cluster.rollout import DWELL, Rollout, dwell_for
from petrelwood.decide.scheduling.scheduler import Scheduler
from petrelwood.dispatch.configuration import ConfigurationFollower
from petrelwood.dispatch.dispatcher import Dispatcher
from petrelwood.dispatch.errors import HandoverError
from petrelwood.dispatch.handover.predecessor import PredecessorProcess
from petrelwood.dispatch.handover.successor import SuccessorProcess
from petrelwood.dispatch.health import HeartbeatReporter
from petrelwood.dispatch.interfaces import Logger
from petrelwood.dispatch.rollout import VersionRollout, VersionSource
from petrelwood.dispatch.settings_update import ReadSettings, SettingsUpdater
from petrelwood.dispatch.stall import StallDetector
from petrelwood.dispatch.upgrade import UpgradeCommand, Upgrader
from petrelwood.fronts.mqtt import Mqtt
from petrelwood.fronts.webhook import Webhooks
from petrelwood.settings.errors import SettingsError
from petrelwood.settings.gateway import Gateway
from petrelwood.store.errors import StateUnreadableError

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
HANDLED_SIGNALS = (*SHUTDOWN_SIGNALS, signal.SIGHUP)


@dataclass(frozen=True, slots=True)
class ServeOptions:
    """How a process runs a dispatcher, apart from its settings."""

    scheduler: type[Scheduler] = Scheduler
    follows: bool = False  # take over from the process at the control socket
    read_settings: ReadSettings | None = None  # None: the settings can't change at runtime
    upgrade_command: UpgradeCommand | None = None  # None: the process can't start an upgrade itself
    own: Gateway | None = None  # the settings of its own file, if it runs a version
    rollout_state: Sequence[Any] | None = None  # of the previous process, from `Rollout.to_state`


class DispatcherProcess:
    """One process that runs a dispatcher, from its start to its end."""

    def __init__(self, gateway: Gateway, log: Logger, options: ServeOptions) -> None:
        self.options = options
        self.own = options.own or gateway
        self.log = log
        self.follows = options.follows
        self.failed: str | None = None
        self.rollout = self._make_rollout(gateway)
        self.core = Dispatcher(gateway, log, options.scheduler, options.follows)
        self.front = Webhooks(gateway, self.core)
        self.updater = SettingsUpdater(gateway, self.core, self.front, log)
        self.triggers: Mqtt | None = None
        self.follower: ConfigurationFollower | None = None
        self.predecessor: PredecessorProcess | None = None
        self.successor: SuccessorProcess | None = None
        self.health = HeartbeatReporter(gateway.health, self.core) if gateway.health else None
        self.tasks: list[asyncio.Task[None]] = []
        self.shutdown = asyncio.Event()

    @property
    def gateway(self) -> Gateway:
        """The settings in force."""
        return self.updater.gateway

    def _make_rollout(self, gateway: Gateway) -> Rollout:
        dwell = dwell_for(self.own.configuration.within) if self.own.configuration else DWELL
        return (
            Rollout.from_state(gateway.name, self.options.rollout_state, dwell=dwell)
            if self.options.rollout_state
            else Rollout(gateway.name, 0, dwell=dwell)
        )

    def _start(self, work: Coroutine[object, object, None]) -> None:
        self.tasks.append(self.core.loop.create_task(work))

    async def run(self) -> None:
        """Serve until the process is to end; then `failed` is the reason if it failed, else None."""
        stalls = StallDetector(self.core.loop, self.gateway.terms.tick, self.log)
        self._handle_signals()
        try:
            await self._serve(stalls)
        except (HandoverError, StateUnreadableError) as fault:
            self.failed = str(fault)
            if self.successor is not None:
                self.successor.close()
        self.core.intake.closing = True
        if self.health is not None:  # first of all, so that traffic is rerouted
            self.health.send_now()
        self.log.info(
            "graceful shutdown started", in_flight=len(self.core.pending.activations), why=self.failed
        )
        if self.successor is not None:
            if self.core.durable_state is not None:
                self.core.durable_state.log.flush()
            await self.successor.stop()
        if self.predecessor is not None:
            self.predecessor.stop()
        if self.failed and self.core.checks is None:
            return
        await self.core.close()
        if self.predecessor is not None:
            self.predecessor.close()
        if self.health is not None:
            self.health.close()
        for task in self.tasks:
            task.cancel()
        stalls.close()
        self.log.info("closed", **self.core.figures())

    def _handle_signals(self) -> None:
        loop = self.core.loop
        for number in SHUTDOWN_SIGNALS:
            loop.add_signal_handler(number, self.shutdown.set)
        if self.options.read_settings is not None:
            loop.add_signal_handler(signal.SIGHUP, lambda: self._start(self._reload()))

    async def _serve(self, stalls: StallDetector) -> None:
        if self.follows:
            self.successor = SuccessorProcess(self.gateway.control, self.core.loop, self.gateway.name)
            await self.successor.request(self.core.now())
        stalls.open()
        self.core.open()
        await self._endpoints_or_shutdown()
        if not self.shutdown.is_set():  # without an endpoint list no activation can be served
            await self._listen()
            await self.shutdown.wait()

    async def _endpoints_or_shutdown(self) -> None:
        events = (self.core.endpoints_known, self.shutdown)
        waiting = [asyncio.ensure_future(event.wait()) for event in events]
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for task in waiting:
            task.cancel()

    async def _reload(self) -> None:
        """Read the settings again after a SIGHUP, and apply them in one iteration of the event loop."""
        if self.options.read_settings is None:
            return
        try:
            new = await self.core.loop.run_in_executor(None, self.options.read_settings)
        except SettingsError as fault:
            self.log.error("new settings invalid; nothing changes", why=str(fault))
            return
        self.updater.update(new)

    async def _listen(self) -> None:
        self.core.fronts.append(self.front)
        if self.successor is not None:
            await self.successor.take_over(self.core.now)
            self.core.open_state(predecessor_runs=True)
            host, port = self.front.listen_on(self.successor.listeners)
            self.core.handover.on_answer = self.successor.machine.record_answer
            self._start(self._follow(self.successor))
        else:
            host, port = self.front.open(self.gateway.listen)
            self._open_exclusive()
        if self.health is not None:
            self.health.open()
        self.log.info("listening", host=host, port=port, follows=self.follows)
        print(json.dumps({"ready": f"{host}:{port}"}), flush=True)

    def _open_exclusive(self) -> None:
        """Open the resources that only one process at a time may use.

        These are the sessions at the MQTT broker, the versions folder and the control socket.
        """
        self.open_triggers()
        if self.gateway.control:
            self.predecessor = PredecessorProcess(
                self.gateway.control,
                self.core,
                self.front,
                self.log,
                on_handover=self.close_triggers,
                on_resume=self.open_triggers,
                on_finished=self.shutdown.set,
            )
        if self.gateway.versions and self.options.read_settings is not None:
            self._start_rollout(self.options.read_settings)
            self._follow_configuration()
        if self.predecessor is not None:
            self.predecessor.open()

    def _start_rollout(self, read_settings: ReadSettings) -> None:
        rollout = VersionRollout(
            self.rollout,
            VersionSource(self.gateway.versions, self.own, read_settings),
            self.core,
            self.log,
            self.updater,
            Upgrader(self.core.loop, self.log, self.options.upgrade_command, self.predecessor),
            self._report_revocation,
        )
        # The answers that a successor gave so far count for the version that it was started with.
        self._start(rollout.run((0, 0) if self.follows else self.core.answered))

    def _report_revocation(self, number: int, why: str) -> None:
        if self.follower is not None:
            self.follower.report_revocation(number, why)

    def _follow_configuration(self) -> None:
        """Keep the versions folder up to date with the configuration servers."""
        if self.own.configuration is None:
            return
        self.follower = ConfigurationFollower(
            self.own.name,
            self.own.configuration,
            self.own.versions,
            self.core.clock,
            self.core.chance.random,
            self.log,
        )
        self._start(self.follower.run())

    def open_triggers(self) -> None:
        """Open the MQTT front, or reopen it after a failed hand-over."""
        if self.triggers is not None:
            self.triggers.close_idle()
            self.core.fronts.remove(self.triggers)
        if self.gateway.mqtt is not None:
            self.triggers = Mqtt(self.gateway.mqtt, self.core, self.log)
            self.core.fronts.append(self.triggers)
            self.triggers.open()

    def close_triggers(self) -> None:
        """End the sessions at the MQTT broker; pending answers are still sent."""
        if self.triggers is not None:
            self.triggers.stop()

    async def _follow(self, successor: SuccessorProcess) -> None:
        """Serve beside the predecessor until it has ended; then open the exclusive resources."""
        await successor.follow(self.core, self.log, lambda: self._give_back(successor))
        if self.failed is None and not self.shutdown.is_set():
            self.core.handover.on_answer = None
            self.core.handover.may_be_superseded = None
            self.core.open_history()
            self._open_exclusive()

    def _give_back(self, successor: SuccessorProcess) -> None:
        self.failed = successor.machine.reason
        self.front.pause()
        if self.core.durable_state is not None:
            self.core.durable_state.log.flush()
        self._start(self._give_back_and_end(successor, successor.machine.reason))

    async def _give_back_and_end(self, successor: SuccessorProcess, why: str) -> None:
        await successor.give_back(why)
        self.shutdown.set()


async def _serve(gateway: Gateway, log: Logger, options: ServeOptions) -> str | None:
    process = DispatcherProcess(gateway, log, options)
    await process.run()
    _ignore_signals(process.core.loop)
    return process.failed


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore further signals, which would have their default action once the loop is closed.

    Blocking them is not enough, because the threads of libraries would receive them.
    """
    for number in HANDLED_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def run(gateway: Gateway, log: Logger, options: ServeOptions | None = None) -> int:
    """Serve until the end of the process; return the exit code.

    The exit code is 1 if the listener or the state can't be opened, or the hand-over failed.
    """
    try:
        failed = asyncio.run(_serve(gateway, log, options or ServeOptions()))
    except StateUnreadableError as fault:
        failed = f"{fault}; see `petrelwood state verify` and `repair`"
    except OSError as fault:
        failed = f"can't listen on {gateway.listen[0]}:{gateway.listen[1]}: {fault.strerror}"
    if failed:
        print(f"petrelwood: {failed}", file=sys.stderr)
        return 1
    return 0
