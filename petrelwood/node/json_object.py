"""Validated access to decoded JSON: each value is read by its name and checked for its type."""

import math
from collections.abc import Collection
from typing import TypeVar

from petrelwood.errors import PetrelwoodError
from petrelwood.node.units import US

Value = TypeVar("Value")


class ConfigurationError(PetrelwoodError):
    """The configuration can't be used; the message names the value and what it must be."""


class JsonObject:
    """One JSON object and its path in the document.

    A value of the wrong type is reported with its path. Null counts as absent, and unknown names are ignored.
    Each getter takes a `default` for an absent value; without one, an absent value is an error.

    Raises:
        ConfigurationError: `raw` is no object; from each getter, the value is absent or malformed.
    """

    def __init__(self, raw: object, path: str) -> None:
        if not isinstance(raw, dict):
            raise ConfigurationError(f"{path} must be an object")
        self.raw: dict[str, object] = raw
        self.path = path

    def _default(self, name: str, default: Value | None) -> Value:
        if default is None:
            raise ConfigurationError(f"{self.path} lacks '{name}'")
        return default

    def _malformed(self, name: str, shape: str, value: object) -> ConfigurationError:
        return ConfigurationError(f"{self.path}.{name} must be {shape}, not {value!r:.40}")

    def number(self, name: str, default: float | None = None, least: float = 0) -> float:
        """Return a finite number of at least `least`."""
        value = self.raw.get(name)
        if value is None:
            return self._default(name, default)
        if (
            not isinstance(value, int | float)
            or isinstance(value, bool)
            or not math.isfinite(value)
            or value < least
        ):
            raise self._malformed(name, f"a number of {least} at least", value)
        return value

    def time(self, name: str, default: float | None = None, least: float = 0) -> int:
        """Return a time in ns; the value, `default` and `least` are in microseconds."""
        return int(self.number(name, default, least) * US)

    def flag(self, name: str) -> bool:
        """Return a boolean, false if it is absent."""
        value = self.raw.get(name)
        if value is None:
            return False
        if not isinstance(value, bool):
            raise self._malformed(name, "true or false", value)
        return value

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string."""
        value = self.raw.get(name)
        if value is None:
            return self._default(name, default)
        if not isinstance(value, str):
            raise self._malformed(name, "a text", value)
        return value

    def choice(self, name: str, choices: Collection[str], default: str | None = None) -> str:
        """Return one of the strings in `choices`."""
        value = self.raw.get(name)
        if value is None:
            return self._default(name, default)
        if not isinstance(value, str) or value not in choices:
            raise self._malformed(name, "one of " + ", ".join(choices), value)
        return value

    def member(self, name: str, default: dict[str, object] | None = None) -> "JsonObject":
        """Return an object."""
        value = self.raw.get(name)
        if value is None:
            value = self._default(name, default)
        elif not isinstance(value, dict):
            raise self._malformed(name, "an object", value)
        return JsonObject(value, f"{self.path}.{name}")

    def members(self, name: str, default: list[object] | None = None) -> list["JsonObject"]:
        """Return the objects of a list."""
        value = self.raw.get(name)
        if value is None:
            value = self._default(name, default)
        elif not isinstance(value, list):
            raise self._malformed(name, "a list", value)
        return [JsonObject(row, f"{self.path}.{name}[{n}]") for n, row in enumerate(value)]
