"""Rolls out the versions of settings that are announced in a folder.

When this dispatcher takes a version, and when it goes back, is decided in `decide.cluster.rollout`. A version
that does worse, or can't be applied, is called off for all dispatchers.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from petrelwood.decide.cluster.rollout import Rollout, RolloutAction, RolloutStep
from petrelwood.dispatch.interfaces import Clock, Logger
from petrelwood.dispatch.settings_update import ReadSettings, SettingsUpdater, UpdateResult
from petrelwood.dispatch.upgrade import Upgrader
from petrelwood.settings.errors import SettingsError
from petrelwood.settings.gateway import Gateway
from petrelwood.settings.kdl import read_unchanging
from petrelwood.store import versions
from petrelwood.store.errors import VersionUnreadableError

POLL_INTERVAL = 1.0  # seconds between two looks at the folder
ROLLBACK_RETRY_INTERVAL = 5.0  # seconds between two attempts to go back by an upgrade
DID_WORSE = "it did worse"
NOT_APPLICABLE = "it can not act without a restart, or its upgrade failed"


@dataclass(frozen=True, slots=True)
class VersionSource:
    """Where the versions of one dispatcher come from."""

    folder: str
    own: Gateway  # what its own file says, which counts where no version does
    read_settings: ReadSettings

    def read(self, number: int) -> Gateway:
        """Return the settings of a version; 0 for the dispatcher's own.

        Raises:
            SettingsError: What the version says is wrong.
            VersionUnreadableError: The folder does not give it.
        """
        if not number:
            return self.own
        return read_version(self.read_settings, self.own, self.folder, number)


def read_version(read_settings: ReadSettings, own: Gateway, folder: str, number: int) -> Gateway:
    """Return the settings of a version for the dispatcher whose own file says `own`.

    Raises:
        SettingsError: What the version says is wrong.
        VersionUnreadableError: The folder does not give it.
    """
    text = read_unchanging(versions.require_readable(folder, number))
    settings: Gateway = read_settings(text).as_of(own)
    return settings


class RolloutCore(Protocol):
    """What the roll-out needs of the core."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop that the dispatcher runs on."""

    @property
    def clock(self) -> Clock:
        """The clock of the dispatcher."""

    @property
    def answered(self) -> tuple[int, int]:
        """How many activations have completed, and how many have not, since the start."""


class VersionRollout:
    """Applies the versions of one folder.

    `on_revocation(number, why)` reports a version that this dispatcher revoked.
    """

    def __init__(
        self,
        rollout: Rollout,
        source: VersionSource,
        core: RolloutCore,
        log: Logger,
        updater: SettingsUpdater,
        upgrader: Upgrader,
        on_revocation: Callable[[int, str], object],
    ) -> None:
        self.rollout = rollout
        self.source = source
        self.core = core
        self.log = log
        self.updater = updater
        self.upgrader = upgrader
        self.on_revocation = on_revocation
        self.unwritten_revocations: dict[int, str] = {}  # that the folder did not take yet

    async def run(self, answers_counted: tuple[int, int]) -> None:
        """Follow the folder until it is cancelled.

        `answers_counted`: those that say nothing of a version, as `RolloutCore.answered`.
        """
        completed, failed = answers_counted
        while True:
            await asyncio.sleep(POLL_INTERVAL)
            announced = await self.core.loop.run_in_executor(None, versions.announced, self.source.folder)
            completed_now, failed_now = self.core.answered
            for _ in range(completed_now - completed):
                self.rollout.record_answer(True)
            for _ in range(failed_now - failed):
                self.rollout.record_answer(False)
            completed, failed = completed_now, failed_now
            await self._write_revocations()
            if self.upgrader.handing_over:
                # the successor goes on with this
                continue
            step = self.rollout.decide(self.core.clock.steady_wall(), announced)
            if step is not None:
                await self._carry_out(step)

    async def _carry_out(self, step: RolloutStep) -> None:
        is_rollback = step.action is RolloutAction.ROLL_BACK
        number = step.version
        faulty_version = self.rollout.faulty_version
        event = "rolling back to a version" if is_rollback else "applying a version"
        self.log.info(event, number=number, calls_off=faulty_version)
        # at once: the other dispatchers must not wait for what is done here
        if faulty_version is not None:
            await self._revoke(faulty_version, DID_WORSE)
        reason = NOT_APPLICABLE
        try:
            new = await self._read(number, is_rollback)
            result = await self._apply(new, is_rollback)
        except VersionUnreadableError as fault:
            self.log.error("version can't be read; it is attempted again", why=str(fault))
            self.rollout.on_apply_postponed()
            return
        except SettingsError as fault:
            self.log.error("version invalid", why=str(fault))
            result = UpdateResult.NOT_APPLIED
            reason = f"it is wrong: {fault}"
        if result is UpdateResult.NOT_APPLIED and not is_rollback:
            self.rollout.on_apply_failed()
            await self._revoke(number, reason)

    async def _read(self, number: int, is_rollback: bool) -> Gateway:
        """Return the settings of a version; that of a rollback is read until the folder gives it.

        Raises:
            SettingsError: What the version says is wrong.
            VersionUnreadableError: The folder does not give it, and it is no rollback.
        """
        while True:
            try:
                return await self.core.loop.run_in_executor(None, self.source.read, number)
            except VersionUnreadableError as fault:
                if not is_rollback:
                    raise
                self.log.error("version to go back to can't be read; it is attempted again", why=str(fault))
                await asyncio.sleep(POLL_INTERVAL)

    async def _apply(self, new: Gateway, is_rollback: bool) -> UpdateResult:
        """Apply settings, by an upgrade where needed; a rollback is attempted until it succeeds."""
        result = self.updater.update(new, self.upgrader.available)
        while result is UpdateResult.NEEDS_UPGRADE:
            clock = self.core.clock
            ahead = clock.wall() - clock.steady_wall()
            await self.upgrader.run(json.dumps(self.rollout.to_state(ahead)))
            result = UpdateResult.NOT_APPLIED
            if is_rollback:
                await asyncio.sleep(ROLLBACK_RETRY_INTERVAL)
                result = self.updater.update(new, self.upgrader.available)
        return result

    async def _revoke(self, number: int, why: str) -> None:
        """Revoke a version in the folder, and by the configuration servers for all other dispatchers."""
        self.on_revocation(number, why)
        self.unwritten_revocations[number] = f"{self.updater.gateway.name}: {why}"
        await self._write_revocations()

    async def _write_revocations(self) -> None:
        """Put revocations into the folder; those that it does not take are attempted again later."""
        for number, reason in list(self.unwritten_revocations.items()):
            try:
                await self.core.loop.run_in_executor(
                    None, versions.revoke, self.source.folder, number, reason
                )
            except OSError as fault:
                self.log.error("call-off not stored; it is attempted again", number=number, why=str(fault))
                continue
            del self.unwritten_revocations[number]
