"""Applies new settings to a running dispatcher, atomically."""

import enum
from typing import Protocol

from petrelwood.dispatch.interfaces import Logger
from petrelwood.settings import comparison
from petrelwood.settings.comparison import Change, TakesEffect
from petrelwood.settings.gateway import Gateway


class ReadSettings(Protocol):
    """Reads the settings again, from the dispatcher's file or from `text`.

    Raises:
        SettingsError: The settings are invalid.
    """

    def __call__(self, text: str | None = None) -> Gateway:
        """Return the settings."""


class UpdateResult(enum.Enum):
    """The result of an update of the settings."""

    APPLIED = enum.auto()  # or there was nothing to change
    NOT_APPLIED = enum.auto()
    NEEDS_UPGRADE = enum.auto()


class SettingsUser(Protocol):
    """A part of the dispatcher that accepts new settings at runtime: the core or the webhook front."""

    def apply(self, gateway: Gateway, /) -> object:
        """Apply new settings."""


class SettingsUpdater:
    """Holds the settings in force. Each update that is applied increments `version`, for the log."""

    def __init__(self, gateway: Gateway, core: SettingsUser, front: SettingsUser, log: Logger) -> None:
        self.gateway = gateway
        self.core = core
        self.front = front
        self.log = log
        self.version = 1

    def update(self, new: Gateway, can_upgrade: bool = False) -> UpdateResult:
        """Apply settings if all of their changes can take effect at once.

        `can_upgrade`: whether `NEEDS_UPGRADE` may be returned if they can't.
        """
        changes = comparison.changes(self.gateway, new)
        when = comparison.takes_effect(changes)
        if when is None:
            self.log.info("settings unchanged")
            return UpdateResult.APPLIED
        if when == TakesEffect.AT_ONCE:
            self._apply(new, changes)
            return UpdateResult.APPLIED
        if when == TakesEffect.BY_UPGRADE and can_upgrade:
            self.log.info("version needs an upgrade", changes=[change.description for change in changes])
            return UpdateResult.NEEDS_UPGRADE
        self.log.warning(
            "new settings not applied",
            applicable=when,
            changes=[change.description for change in changes if change.takes_effect != TakesEffect.AT_ONCE],
        )
        return UpdateResult.NOT_APPLIED

    def _apply(self, new: Gateway, changes: list[Change]) -> None:
        self.gateway = new
        self.version += 1
        self.core.apply(new)
        self.front.apply(new)
        self.log.info(
            "settings applied", version=self.version, changes=[change.summary() for change in changes]
        )
