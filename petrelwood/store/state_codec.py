"""The stored format of state log records: msgpack arrays that begin with the name of their kind.

["life", time, boot, epoch, format]                 ["order", time, worker, function, copies]
["take", time, customer, id, timestamp, type]       ["close", time]
["end", time, customer, id, outcome, sent, body]    ["outage", time, failed at, cause, attempts]
["retry", time, customer, id, timestamp, type, state, may have run]
"""

from typing import Final

import msgpack

from petrelwood.decide.delivery.state_records import (
    ActivationAdmitted,
    ActivationEnded,
    IncarnationEnded,
    IncarnationStarted,
    LoadOrdered,
    OutageEnded,
    Record,
    RetryReceived,
)
from petrelwood.store.errors import RecordError

STORED_NAMES: Final[dict[type[Record], str]] = {
    IncarnationStarted: "life",
    ActivationAdmitted: "take",
    ActivationEnded: "end",
    RetryReceived: "retry",
    LoadOrdered: "order",
    IncarnationEnded: "close",
    OutageEnded: "outage",
}
_KINDS: Final[dict[str, type[Record]]] = {name: kind for kind, name in STORED_NAMES.items()}


def encode(record: Record) -> bytes:
    """Return a record in its stored format."""
    encoded: bytes = msgpack.packb((STORED_NAMES[type(record)], *record), use_bin_type=True)
    return encoded


def decode(payload: bytes) -> Record:
    """Return the record that is stored as `payload`.

    Raises:
        RecordError: the payload is no record, or one of a kind or length that this build does not know.
    """
    try:
        fields = msgpack.unpackb(payload, raw=False)
    except (ValueError, msgpack.UnpackException) as error:
        raise RecordError(f"a record can't be read: {error}") from error
    if not isinstance(fields, list) or not fields or not isinstance(fields[0], str):
        raise RecordError("a record is not a list that begins with its kind")
    kind = _KINDS.get(fields[0])
    if kind is None:
        raise RecordError(f"a record of the kind {fields[0]!r}, which this build does not know")
    if len(fields) != len(kind._fields) + 1:
        raise RecordError(f"a record of the kind {fields[0]!r} with {len(fields)} fields")
    record: Record = kind(*fields[1:])
    return record
