"""Decoders of the values in settings files: each validates a value and converts it to its Python type."""

import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from petrelwood.settings.errors import InvalidValueError, suggestion
from petrelwood.settings.kdl import Value

T_co = TypeVar("T_co", covariant=True)
Address = tuple[str, int]  # host, port

SECOND = 1_000_000_000  # ns
DURATION_UNITS = {  # ns
    "ns": 1,
    "us": 1_000,
    "ms": 1_000_000,
    "s": SECOND,
    "m": 60 * SECOND,
    "h": 3600 * SECOND,
}
SIZE_UNITS = {  # bytes
    "B": 1,
    "KB": 1_000,
    "MB": 1_000_000,
    "GB": 1_000_000_000,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
}
MAX_PORT = 65535
MEASURE = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)")


@dataclass(frozen=True, slots=True, eq=False)
class Decoder(Generic[T_co]):
    """Validates and converts a value of a settings file.

    Attributes:
        description: The accepted values, as the reference and completion describe them.
        decode: Called with the value and the name of the value in error messages; raises `InvalidValueError`.
        sample: A valid decoded value, used in place of an invalid or missing one.
        words: All accepted words, if the value is one of a few words.
    """

    description: str
    decode: Callable[[Value, str], T_co]
    sample: T_co
    words: tuple[str, ...] = ()


def _decode_text(value: Value, subject: str) -> str:
    if not isinstance(value, str):
        raise InvalidValueError(f"{subject} must be text, not {value!r}")
    return value


def _decode_number(value: Value, subject: str) -> int | float:
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise InvalidValueError(f"{subject} must be a number, not {value!r}")
    return value


def _decode_count(value: Value, subject: str) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise InvalidValueError(f"{subject} must be a whole number of 0 or more, not {value!r}")
    return value


def _decode_fraction(value: Value, subject: str) -> float:
    number = _decode_number(value, subject)
    if not 0 <= number <= 1:
        raise InvalidValueError(f"{subject} must lie between 0 and 1, not {value!r}")
    return float(number)


def _decode_flag(value: Value, subject: str) -> bool:
    if not isinstance(value, bool):
        raise InvalidValueError(f"{subject} must be #true or #false, not {value!r}")
    return value


def _decode_measure(value: Value, subject: str, units: dict[str, int], quantity: str, example: str) -> int:
    """Return a number with a unit, converted to the smallest unit; errors suggest the unit `example`."""
    if isinstance(value, (int, float)) and not isinstance(value, bool):
        raise InvalidValueError(f'{subject} is a {quantity} and needs a unit, as in "{value}{example}"')
    match = MEASURE.fullmatch(str(value))
    if not match:
        raise InvalidValueError(f'{subject} must be a {quantity} like "250{example}", not {value!r}')
    amount = match[1]
    unit = match[2]
    if unit not in units:
        raise InvalidValueError(f"{subject}: '{unit}' is no unit of a {quantity}{suggestion(unit, units)}")
    return round(float(amount) * units[unit])


def _decode_duration(value: Value, subject: str) -> int:
    return _decode_measure(value, subject, DURATION_UNITS, "duration", "ms")


def _decode_size(value: Value, subject: str) -> int:
    return _decode_measure(value, subject, SIZE_UNITS, "size", "MB")


def _decode_address(value: Value, subject: str) -> Address:
    host, _, port = _decode_text(value, subject).rpartition(":")
    if not host or not port.isdigit() or int(port) > MAX_PORT:
        raise InvalidValueError(f'{subject} must be an address like "127.0.0.1:8080", not {value!r}')
    return host.strip("[]"), int(port)


TEXT = Decoder("text", _decode_text, "")
NUMBER: Decoder[int | float] = Decoder("number", _decode_number, 1)
COUNT = Decoder("whole number", _decode_count, 1)
FRACTION = Decoder("share, 0 to 1", _decode_fraction, 0.5)
FLAG = Decoder("#true or #false", _decode_flag, False, ("#true", "#false"))
DURATION = Decoder('duration, as "250ms"', _decode_duration, SECOND)  # to ns
SIZE = Decoder('size, as "64MB"', _decode_size, 1)  # to bytes
ADDRESS = Decoder('address, as "127.0.0.1:8080"', _decode_address, ("127.0.0.1", 0))


def one_of(*words: str) -> Decoder[str]:
    """Return a decoder that accepts the given words; its sample is the first of them."""

    def decode_word(value: Value, subject: str) -> str:
        """Return the word if it is accepted."""
        if not isinstance(value, str) or value not in words:
            raise InvalidValueError(f"{subject} can't be {value!r}{suggestion(value, words)}")
        return value

    return Decoder(" or ".join(f'"{word}"' for word in words), decode_word, words[0], words)
