"""Rolls out the settings versions that are announced in a folder.

`decide.cluster.rollout` decides when this dispatcher applies a version and when it rolls back. A version that
performs worse, or can't be applied, is revoked for all dispatchers.
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

POLL_INTERVAL = 1.0  # seconds between two reads of the folder
ROLLBACK_RETRY_INTERVAL = 5.0  # seconds between two attempts to roll back by an upgrade
DID_WORSE = "it did worse"
NOT_APPLICABLE = "it can not act without a restart, or its upgrade failed"


@dataclass(frozen=True, slots=True)
class VersionSource:
    """The folder from which one dispatcher reads versions, and its own settings."""

    folder: str
    own: Gateway  # the settings of its own file, in force while no version is
    read_settings: ReadSettings

    def read(self, number: int) -> Gateway:
        """Return the settings of a version; 0 for the dispatcher's own.

        Raises:
            SettingsError: The version's settings are invalid.
            VersionUnreadableError: The version can't be read from the folder.
        """
        if not number:
            return self.own
        return read_version(self.read_settings, self.own, self.folder, number)


def read_version(read_settings: ReadSettings, own: Gateway, folder: str, number: int) -> Gateway:
    """Return the settings of a version for the dispatcher whose own file has the settings `own`.

    Raises:
        SettingsError: The version's settings are invalid.
        VersionUnreadableError: The version can't be read from the folder.
    """
    text = read_unchanging(versions.require_readable(folder, number))
    settings: Gateway = read_settings(text).as_of(own)
    return settings


class RolloutCore(Protocol):
    """The parts of the core that the roll-out uses."""

    @property
    def loop(self) -> asyncio.AbstractEventLoop:
        """The loop that the dispatcher runs on."""

    @property
    def clock(self) -> Clock:
        """The clock of the dispatcher."""

    @property
    def answered(self) -> tuple[int, int]:
        """How many activations completed, and how many were aborted or rejected, since the start."""


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
        self.unwritten_revocations: dict[int, str] = {}  # number -> reason; not written to the folder yet

    async def run(self, answers_counted: tuple[int, int]) -> None:
        """Follow the folder until cancelled.

        `answers_counted`: the value of `RolloutCore.answered` from which on answers count for the roll-out.
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
                # the successor continues the roll-out
                continue
            step = self.rollout.decide(self.core.clock.steady_wall(), announced)
            if step is not None:
                await self._carry_out(step)

    async def _carry_out(self, step: RolloutStep) -> None:
        is_rollback = step.action is RolloutAction.ROLL_BACK
        number = step.version
        revoked_version = self.rollout.faulty_version
        event = "rolling back to a version" if is_rollback else "applying a version"
        self.log.info(event, number=number, calls_off=revoked_version)
        # The revocation comes first: the other dispatchers must not wait until this one has rolled back.
        if revoked_version is not None:
            await self._revoke(revoked_version, DID_WORSE)
        reason = NOT_APPLICABLE
        try:
            new = await self._read(number, is_rollback)
            result = await self._apply(new, is_rollback)
        except VersionUnreadableError as fault:
            self.log.error("version can't be read; will be retried", why=str(fault))
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
        """Return the settings of a version; for a rollback, reading is retried until it succeeds.

        Raises:
            SettingsError: The version's settings are invalid.
            VersionUnreadableError: The version can't be read, and this is no rollback.
        """
        while True:
            try:
                return await self.core.loop.run_in_executor(None, self.source.read, number)
            except VersionUnreadableError as fault:
                if not is_rollback:
                    raise
                self.log.error("version to roll back to can't be read; will be retried", why=str(fault))
                await asyncio.sleep(POLL_INTERVAL)

    async def _apply(self, new: Gateway, is_rollback: bool) -> UpdateResult:
        """Apply settings, by an upgrade if needed; a rollback is retried until it succeeds."""
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
        """Revoke a version in the folder, and through the configuration servers for all other dispatchers."""
        self.on_revocation(number, why)
        self.unwritten_revocations[number] = f"{self.updater.gateway.name}: {why}"
        await self._write_revocations()

    async def _write_revocations(self) -> None:
        """Write revocations to the folder; those that fail are retried later."""
        for number, reason in list(self.unwritten_revocations.items()):
            try:
                await self.core.loop.run_in_executor(
                    None, versions.revoke, self.source.folder, number, reason
                )
            except OSError as fault:
                self.log.error("storing a revocation failed; will be retried", number=number, why=str(fault))
                continue
            del self.unwritten_revocations[number]
