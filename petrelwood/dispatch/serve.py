"""Runs one dispatcher until SIGTERM: takes nothing new, answers all it owes, exits 0. Or follows one that
runs, without a gap."""

import asyncio
import json
import signal
import subprocess
import sys

from petrelwood.brain import Brain
from petrelwood.decide.cluster.rollout import DWELL, Rollout, dwell_for
from petrelwood.dispatch import handover
from petrelwood.dispatch.configuration import ConfigurationFollower
from petrelwood.dispatch.dispatcher import Dispatcher
from petrelwood.dispatch.health import HeartbeatReporter
from petrelwood.dispatch.stall import StallDetector
from petrelwood.fronts.mqtt import Mqtt
from petrelwood.fronts.webhook import Webhooks
from petrelwood.settings import comparison
from petrelwood.settings.comparison import TakesEffect
from petrelwood.settings.document import BadFile, read_whole
from petrelwood.store import state, versions

AGAIN = 5  # seconds between two tries to go back by an upgrade


def versioned(again, own, folder, number):
    """The settings of a version for the dispatcher whose own file says `own`. Raises `BadFile`."""
    return again(read_whole(versions.path_of(folder, number))).as_of(own)


class Serving:
    """One process's life. `follows`: it takes over from the process at the gateway's control socket."""

    def __init__(self, gateway, log, brain, follows, again=None, spawns=None, own=None, handed=None):
        self.again, self.version = again, 1  # `again(text=None)` reads the settings anew
        # `spawns(handed)`: the command that follows this; what its own file says
        self.spawns, self.own = spawns, own or gateway
        dwell = dwell_for(self.own.configuration.within) if self.own.configuration else DWELL
        self.rollout = (
            Rollout.resumed(gateway.name, handed, dwell=dwell)
            if handed
            else Rollout(gateway.name, 0, dwell=dwell)
        )
        self.follower = None  # of the configuration servers
        self.gateway, self.log, self.follows, self.failed = gateway, log, follows, None
        self.core = Dispatcher(gateway, log, brain, follows)
        self.front, self.triggers, self.predecessor, self.successor, self.tasks = (
            Webhooks(gateway, self.core, log),
            None,
            None,
            None,
            [],
        )
        self.ends, self.health = (
            asyncio.Event(),
            HeartbeatReporter(gateway.health, self.core) if gateway.health else None,
        )

    async def run(self):
        core, log = self.core, self.log
        watch = StallDetector(core.loop, self.gateway.terms.tick, log)
        for name in (signal.SIGTERM, signal.SIGINT):
            core.loop.add_signal_handler(name, self.ends.set)
        if self.again is not None:
            core.loop.add_signal_handler(
                signal.SIGHUP, lambda: self.tasks.append(core.loop.create_task(self._reload()))
            )
        try:
            if self.follows:
                self.successor = handover.Successor(self.gateway.control, core.loop, self.gateway.name)
                await self.successor.ask(core.now())
            watch.open()
            core.open()
            await self._listed_or_ended()
            if not self.ends.is_set():  # without a list nothing can be served
                await self._begin()
                await self.ends.wait()
        except (handover.Lost, state.Refused) as fault:
            self.failed = str(fault)
            if self.successor is not None and self.successor.channel is not None:
                self.successor.channel.close()
        core.intake.closing = True
        if self.health is not None:  # before anything else: traffic has to go elsewhere
            self.health.send_now()
        log.info("closing", owed=len(core.pending.acts), why=self.failed)
        if self.predecessor is not None:
            self.predecessor.close()
        if self.failed and core.checks is None:
            return
        await core.close()
        if self.health is not None:
            self.health.close()
        for task in self.tasks:
            task.cancel()
        watch.close()
        log.info("closed", **core.figures())

    async def _reload(self):
        """SIGHUP: a new version of the settings, taken between two turns as a whole or not at all."""
        try:
            new = await self.core.loop.run_in_executor(None, self.again)
        except BadFile as fault:
            self.log.error("the new settings are wrong; nothing changes", why=str(fault))
            return
        self._take(new)

    def _take(self, new, rolls=False):
        """Takes new settings if all of them can act at once; whether it did, or there was nothing to do.
        `BY_UPGRADE` where a roll-out asks for it and it can be done by one."""
        found = comparison.changes(self.gateway, new)
        when = comparison.takes_effect(found)
        if (
            when == TakesEffect.BY_UPGRADE
            and rolls
            and self.spawns is not None
            and self.predecessor is not None
        ):
            self.log.info("a version is taken by an upgrade", changes=[one.description for one in found])
            return TakesEffect.BY_UPGRADE
        told = [one.summary() for one in found]
        if when == TakesEffect.AT_ONCE:
            self.gateway, self.version = new, self.version + 1
            self.core.apply(new)
            self.front.apply(new)
            self.log.info("new settings", version=self.version, changes=told)
        elif when is None:
            self.log.info("the settings say what they said")
        else:
            self.log.warning(
                f"the new settings can act {when} only; nothing changes",
                changes=[one.description for one in found if one.takes_effect != TakesEffect.AT_ONCE],
            )
            return False
        return True

    async def _roll(self, folder):
        """Versions that are announced in a folder: taken at this dispatcher's turn, and left again where they
        do worse."""
        loop, own, rollout = self.core.loop, self.own, self.rollout
        while True:
            await asyncio.sleep(1)
            told = await loop.run_in_executor(None, versions.announced, folder)
            good, bad = self.core.answered
            for _ in range(good - self.rolled[0]):
                rollout.ended(True)
            for _ in range(bad - self.rolled[1]):
                rollout.ended(False)
            self.rolled = (good, bad)
            if self.predecessor is not None and self.predecessor.machine.is_busy():
                # a hand-over is under way: the process that follows goes on with this
                continue
            verdict = rollout.look(self.core.clock.steady_wall(), told)
            if verdict is None:
                continue
            what, number = verdict
            self.log.info(
                "a version is taken" if what == "take" else "a version is left",
                now=number,
                calls_off=rollout.calls_off,
            )
            bad_one, why = rollout.calls_off, "it did worse"
            # at once: the others must not wait for what is done here
            if bad_one is not None:
                await loop.run_in_executor(None, self._call_off, folder, bad_one, why)
            try:
                new = (
                    own
                    if not number
                    else await loop.run_in_executor(None, versioned, self.again, own, folder, number)
                )
                taken, why = self._take(new, True), "it can not act without a restart, or its upgrade failed"
            except BadFile as fault:
                self.log.error("the version is wrong", why=str(fault))
                taken, why = False, f"it is wrong: {fault}"
            # where it succeeds, this process ends
            while taken == TakesEffect.BY_UPGRADE:
                taken = await self._upgraded()
                if what == "back":  # what is bad is left in any case
                    await asyncio.sleep(AGAIN)
                    taken = self._take(new, True)
            if not taken and what == "take":
                rollout.could_not()
                await loop.run_in_executor(None, self._call_off, folder, number, why)

    def _call_off(self, folder, number, why):
        """For who reads the same folder, and by the configuration servers for all others."""
        versions.call_off(folder, number, f"{self.gateway.name}: {why}")
        if self.follower is not None:
            self.core.loop.call_soon_threadsafe(self.follower.call_off, number, why)

    async def _upgraded(self):
        """Begins a process that takes over with the version that the roll-out has come to, and waits. False
        if this process serves on; where it does not, this never returns. The other lives on when this one
        ends, so no asyncio transport may own it."""
        ahead = self.core.clock.wall() - self.core.clock.steady_wall()
        command = self.spawns(json.dumps(self.rollout.handed(ahead)))
        try:
            child = await self.core.loop.run_in_executor(
                None, lambda: subprocess.Popen(command, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL)
            )
        except OSError as fault:
            self.log.error("the upgrade to a version can't be started", why=str(fault))
            return False
        while (code := child.poll()) is None:
            await asyncio.sleep(0.1)
        while self.predecessor.machine.is_busy():  # it is gone, and its end is still being seen to
            await asyncio.sleep(0.05)
        self.log.error("the upgrade to a version failed", code=code)
        return False

    async def _listed_or_ended(self):
        waiting = [asyncio.ensure_future(wait) for wait in (self.core.listed_once.wait(), self.ends.wait())]
        await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
        for one in waiting:
            one.cancel()

    async def _begin(self):
        core, front = self.core, self.front
        core.fronts.append(front)
        if self.follows:
            await self.successor.take(core.now)
            core.open_state(elsewhere=True)
            host, port = front.follow(self.successor.listeners)
            core.tells_end = self.successor.machine.record_answer
            self.tasks.append(core.loop.create_task(self._follow()))
        else:
            host, port = front.open(self.gateway.listen)
            self._open_rest()
        if self.health is not None:
            self.health.open()
        self.log.info("listening", host=host, port=port, follows=self.follows)
        print(json.dumps({"ready": f"{host}:{port}"}), flush=True)

    def _open_rest(self):
        """What only one process at a time may have: sessions at the broker, the history, the control
        socket."""
        self.open_triggers()
        if self.gateway.versions and self.again is not None:
            self.rolled = (0, 0) if self.follows else self.core.answered
            self.tasks.append(self.core.loop.create_task(self._roll(self.gateway.versions)))
            self._follow_configuration()
        if self.gateway.control:
            self.predecessor = handover.Predecessor(
                self.gateway.control,
                self.core,
                self.front,
                self.log,
                gives=self.close_triggers,
                takes_back=self.open_triggers,
                over=self.ends.set,
            )
            self.predecessor.open()

    def _follow_configuration(self):
        """Keeps the folder of versions as the configuration servers have it."""
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
        self.tasks.append(self.core.loop.create_task(self.follower.run()))

    def open_triggers(self):
        if self.triggers is not None:  # those that had given way
            self.triggers.close_idle()
            self.core.fronts.remove(self.triggers)
        if self.gateway.mqtt is not None:
            self.triggers = Mqtt(self.gateway.mqtt, self.core, self.log)
            self.core.fronts.append(self.triggers)
            self.triggers.open()

    def close_triggers(self):
        if self.triggers is not None:
            self.triggers.stop()

    async def _follow(self):
        """Until the old process is gone; then this one has all."""
        await self.successor.follow(self.core, self.log, self._gives_back)
        if self.failed is None:
            self.core.tells_end = self.core.unsure = None
            self.core.open_history()
            self._open_rest()

    def _gives_back(self):
        self.failed = self.successor.machine.reason
        self.front.pause()
        if self.core.state is not None:
            self.core.state.flush()
        self.tasks.append(self.core.loop.create_task(self._told_back()))

    async def _told_back(self):
        await self.successor.give_back(self.failed)
        self.ends.set()


async def _serve(gateway, log, brain, follows, again, *roll):
    serving = Serving(gateway, log, brain, follows, again, *roll)
    await serving.run()
    return serving.failed


def run(gateway, log, brain=Brain, follows=False, again=None, spawns=None, own=None, handed=None):
    """Blocks until the end; `again()` reads the settings anew, at SIGHUP; `spawns`, `own`, `handed`: as
    `Serving` has them; 0, or 1 where the listener or the state can't be opened, or the hand-over failed."""
    try:
        failed = asyncio.run(_serve(gateway, log, brain, follows, again, spawns, own, handed))
    except state.Refused as fault:
        failed = f"{fault}; see `petrelwood state verify` and `repair`"
    except OSError as fault:
        failed = f"can't listen on {gateway.listen[0]}:{gateway.listen[1]}: {fault.strerror}"
    if failed:
        print(f"petrelwood: {failed}", file=sys.stderr)
        return 1
    return 0
