"""The log's messages as parameters and results of MessagePack-RPC, encoded and decoded.

    prepare [slot, round, proposer]             accept [slot, round, proposer, record]
    learn [since, chosen, [[slot, record]]]     read [since]  ->  [since, chosen, [[slot, record]]]
    catch-up [since]  ->  the same, complete    voted-in []  ->  [slot or nil]
    append [record]  ->  [slot]

A record is [id, kind, number, rollout_start, body]. The replies to the first three are [word, ...], see
`REPLY_WORDS`.
"""

from typing import Any

from petrelwood.control.errors import MalformedMessageError
from petrelwood.decide.cluster.log_records import (
    MAX_TEXT_SIZE,
    Accept,
    Accepted,
    Ahead,
    Ballot,
    Behind,
    Entry,
    Extract,
    Learn,
    Learned,
    Message,
    NotVoting,
    Prepare,
    Promise,
    Record,
    Rejected,
    Reply,
)
from petrelwood.decide.cluster.replicated_log import RETAINED_TEXTS

# Bytes: the texts that a replica retains, and one more for the other fields.
MAX_MESSAGE_SIZE = MAX_TEXT_SIZE * (RETAINED_TEXTS + 1)
MAX_ID_SIZE = 64  # bytes
MAX_KIND_SIZE = 16  # bytes
LARGEST_NUMBER = 1 << 62
REPLY_WORDS: dict[type[Reply], str] = {
    Promise: "promise",
    Accepted: "accepted",
    Rejected: "refused",
    Behind: "behind",
    Ahead: "ahead",
    NotVoting: "not voting",
    Learned: "learned",
}
REPLY_TYPES = {word: kind for kind, word in REPLY_WORDS.items()}


def encode_call(message: Message) -> tuple[str, list[Any]]:
    """Return the method and the parameters of a message."""
    if isinstance(message, Prepare):
        return "prepare", [message.slot, *message.ballot]
    if isinstance(message, Accept):
        return "accept", [message.slot, *message.ballot, encode_record(message.record)]
    return "learn", encode_extract(message.extract)


def encode_record(record: Record) -> list[Any]:
    """Return a record as plain values."""
    return list(record)


def encode_extract(extract: Extract) -> list[Any]:
    """Return an extract as plain values."""
    entries = [[entry.slot, encode_record(entry.record)] for entry in extract.entries]
    return [extract.since, extract.chosen, entries]


def encode_reply(reply: Reply) -> list[Any]:
    """Return a reply as plain values."""
    word = REPLY_WORDS[type(reply)]
    if isinstance(reply, Promise):
        return [word, *reply.accepted, None if reply.record is None else encode_record(reply.record)]
    if isinstance(reply, Rejected):
        return [word, *reply.promised]
    if isinstance(reply, Ahead):
        return [word, encode_extract(reply.extract)]
    return [word, *reply]


def decode_call(method: str, params: list[Any]) -> Message | None:
    """Return the message that a call carries, or None if the method is none of `encode_call`.

    Raises:
        MalformedMessageError: the parameters are malformed.
    """
    if method == "prepare":
        slot, round_, proposer = _list(params, 3, "a prepare")
        return Prepare(_number(slot, "a slot"), _ballot(round_, proposer))
    if method == "accept":
        slot, round_, proposer, record = _list(params, 4, "an accept")
        return Accept(_number(slot, "a slot"), _ballot(round_, proposer), decode_record(record))
    if method == "learn":
        return Learn(decode_extract(params))
    return None


def decode_record(value: object) -> Record:
    """Return the record of plain values.

    Raises:
        MalformedMessageError: a field is missing, malformed or out of range.
    """
    id_, kind, number, rollout_start, body = _list(value, 5, "a record")
    if not id_:
        raise MalformedMessageError("a record needs an id")
    if not isinstance(body, bytes) or len(body) > MAX_TEXT_SIZE:
        raise MalformedMessageError(f"a record's body must be {MAX_TEXT_SIZE} bytes at most")
    return Record(
        _text(id_, MAX_ID_SIZE, "a record's id"),
        _text(kind, MAX_KIND_SIZE, "a record's kind"),
        _number(number, "a record's number"),
        _number(rollout_start, "a record's beginning"),
        body,
    )


def decode_extract(value: object) -> Extract:
    """Return the extract of plain values.

    Raises:
        MalformedMessageError: a field is missing, malformed or out of range.
    """
    since, chosen, entries = _list(value, 3, "an extract")
    found = []
    for entry in _list(entries, None, "an extract's entries"):
        slot, record = _list(entry, 2, "an extract's entry")
        found.append(Entry(_number(slot, "a slot"), decode_record(record)))
    return Extract(_number(since, "a slot"), _number(chosen, "a slot"), tuple(found))


def decode_position(params: object) -> int:
    """Return the slot in the parameters of a `read` or a `catch-up`: records after it are wanted.

    Raises:
        MalformedMessageError: the parameters are malformed.
    """
    return _number(_list(params, 1, "a question")[0], "a slot")


def decode_voted_in(result: object) -> int | None:
    """Return the slot in the result of a `voted-in`, or None if the server does not know it.

    Raises:
        MalformedMessageError: the result is malformed.
    """
    (slot,) = _list(result, 1, "a vote")
    return None if slot is None else _number(slot, "a slot")


def decode_reply(value: object) -> Reply:
    """Return the reply that a result carries.

    Raises:
        MalformedMessageError: the reply is not known or malformed.
    """
    word, *fields = value if isinstance(value, list) and value else [None]
    kind = REPLY_TYPES.get(word) if isinstance(word, str) else None
    if kind is Promise:
        round_, proposer, record = _list(fields, 3, "a promise")
        return Promise(_ballot(round_, proposer), None if record is None else decode_record(record))
    if kind is Rejected:
        return Rejected(_ballot(*_list(fields, 2, "a rejection")))
    if kind is Ahead:
        return Ahead(decode_extract(_list(fields, 1, "an extract's reply")[0]))
    if kind is Behind or kind is Learned:
        return kind(_number(_list(fields, 1, "a position")[0], "a slot"))
    if kind is Accepted or kind is NotVoting:
        return kind()
    raise MalformedMessageError("a reply that is not known")


def _number(value: object, what: str) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= LARGEST_NUMBER:
        raise MalformedMessageError(f"{what} must be a number of 0 or more")
    return value


def _text(value: object, max_size: int, what: str) -> str:
    if not isinstance(value, str) or len(value.encode("utf-8", "replace")) > max_size:
        raise MalformedMessageError(f"{what} must be a text of {max_size} bytes at most")
    return value


def _list(value: object, length: int | None, what: str) -> list[Any]:
    if not isinstance(value, list) or (length is not None and len(value) != length):
        raise MalformedMessageError(f"{what} is malformed")
    return value


def _ballot(round_: object, proposer: object) -> Ballot:
    return Ballot(_number(round_, "a ballot's round"), _text(proposer, MAX_ID_SIZE, "a ballot's proposer"))
