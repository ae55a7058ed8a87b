"""Settings of early loads, made ahead of forecast use: seasons, known dates, and the prices of a load."""

import datetime
from typing import NamedTuple

from petrelwood.settings.decoders import DURATION, FLAG, NUMBER, SECOND, SIZE, TEXT, Decoder
from petrelwood.settings.errors import InvalidValueError
from petrelwood.settings.kdl import Value
from petrelwood.settings.node import Node

DAYS_PER_WEEK = 7


class KnownDate(NamedTuple):
    """A period in which the functions with a common name prefix are used more than usual."""

    begin: int  # wall-clock ns
    end: int  # wall-clock ns
    factor: float  # ratio of the use in this period to the usual use
    prefix: str  # of the functions' names


class EarlyTerms(NamedTuple):
    """The time slots of the forecast, and the prices that decide whether a copy is loaded early."""

    slot: int  # ns; the forecast counts calls per slot
    season: int  # ns, the period of use: a day in production
    week: int  # ns; 0: use does not depend on the day of the week
    events: tuple[KnownDate, ...]
    fetch: float  # cost of a fetch from the store, in seconds of cold wait
    memory_price: float  # cost of a gigabyte reserved without use for a second, in seconds of cold wait
    size: int  # bytes of a typical copy
    memory: int  # maximum bytes of the early loads of this dispatcher; 0: no limit


def _decode_date(value: Value, subject: str) -> int:
    """Return a time in ISO 8601 with a UTC offset as wall-clock ns."""
    try:
        time = datetime.datetime.fromisoformat(TEXT.decode(value, subject))
    except ValueError as error:
        message = f'{subject} must be a time like "2026-12-31T08:00+01:00", not {value!r}'
        raise InvalidValueError(message) from error
    if time.tzinfo is None:
        raise InvalidValueError(f'{subject} needs its offset from UTC, as in "{value}+01:00"')
    return int(time.timestamp()) * SECOND


DATE = Decoder("time with its offset from UTC", _decode_date, 0)


def _decode_event(node: Node) -> KnownDate:
    begin = node.prop("from", DATE)
    event = KnownDate(
        begin=begin,
        end=begin + node.prop("for", DURATION),
        factor=float(node.prop("factor", NUMBER)),
        prefix=node.arg(TEXT, "the beginning of functions' names"),
    )
    node.reject_unknown(1)
    return event


def decode_early_loads(node: Node | None) -> EarlyTerms | None:
    """Return the settings in an `early` node; None, which disables early loads, if there is no such node."""
    if node is None:
        return None
    events = tuple(_decode_event(event) for event in node.every("event"))
    season = node.value("season", DURATION, 86_400 * SECOND)
    terms = EarlyTerms(
        slot=node.value("slot", DURATION, 60 * SECOND),
        season=season,
        week=DAYS_PER_WEEK * season if node.value("weeks", FLAG, True) else 0,
        events=events,
        fetch=node.value("fetch-price", DURATION, SECOND // 5) / SECOND,
        memory_price=float(node.value("memory-price", NUMBER, 0.002)),
        size=node.value("copy-size", SIZE, 10**9),
        memory=node.value("memory", SIZE, 0),
    )
    node.reject_unknown()
    if not 0 < terms.slot <= terms.season:
        node.report("'slot' must be over 0 and no longer than 'season'")
    return terms
