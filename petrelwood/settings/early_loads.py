"""Loads ahead of forecast use: seasons, known dates, and what a load is worth."""

import datetime
from typing import NamedTuple

from petrelwood.settings.decoders import DURATION, FLAG, NUMBER, SECOND, SIZE, TEXT, Decoder
from petrelwood.settings.errors import InvalidValueError
from petrelwood.settings.kdl import Value
from petrelwood.settings.node import Node

DAYS_PER_WEEK = 7


class KnownDate(NamedTuple):
    """A time at which functions whose names begin alike are used more."""

    begin: int  # wall-clock ns
    end: int  # wall-clock ns
    factor: float  # how many times more they are used
    prefix: str  # that their names begin with


class EarlyTerms(NamedTuple):
    """What the forecast counts, and the prices by which it decides on loads."""

    slot: int  # ns that a forecast counts calls in
    season: int  # ns after which use repeats: a day, in service
    week: int  # ns; 0: weeks do not matter
    events: tuple[KnownDate, ...]
    fetch: float  # seconds of cold wait that a fetch from the store costs
    memory_price: float  # seconds of cold wait that a gigabyte reserved without use for a second costs
    size: int  # bytes of a usual copy
    memory: int  # bytes that early loads of this dispatcher may have; 0: no bound


def _decode_date(value: Value, subject: str) -> int:
    """Return a time in ISO 8601 with its offset as wall-clock ns."""
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
    """Return what an `early` node describes; None, and no early loads, where there is none."""
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
