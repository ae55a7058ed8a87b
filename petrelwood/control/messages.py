"""The log's messages as parameters and results of MessagePack-RPC, and back.

    prepare [slot, round, proposer]             accept [slot, round, proposer, record]
    learn [since, chosen, [[slot, record]]]     read [since]  ->  [since, chosen, [[slot, record]]]
    catch-up [since]  ->  the same, whole       voted-in []  ->  [slot or nil]
    append [record]  ->  [slot]

A record is [id, kind, number, begun, body]. The replies to the first three are [word, ...]; see `WORDS`.
"""

from petrelwood.decide.cluster.log_records import (
    MAX_TEXT_SIZE,
    Accept,
    Accepted,
    Ahead,
    Ballot,
    Behind,
    Extract,
    Learn,
    Learned,
    NotVoting,
    Prepare,
    Promise,
    Record,
    Rejected,
)
from petrelwood.decide.cluster.replicated_log import RETAINED_TEXTS

MOST = MAX_TEXT_SIZE * (
    RETAINED_TEXTS + 1
)  # bytes of one message: the versions that a replica keeps, and all else
ID, KIND = 64, 16  # bytes of a record's id and kind at most
LARGEST = 1 << 62  # of any number
WORDS = {
    "promise": Promise,
    "accepted": Accepted,
    "refused": Rejected,
    "behind": Behind,
    "ahead": Ahead,
    "not voting": NotVoting,
    "learned": Learned,
}


class Malformed(Exception):
    """A message that can't be read; `str()` tells what of it."""


def _number(value, what):
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= LARGEST:
        raise Malformed(f"{what} must be a number of 0 or more")
    return value


def _text(value, most, what):
    if not isinstance(value, str) or len(value.encode("utf-8", "replace")) > most:
        raise Malformed(f"{what} must be a text of {most} bytes at most")
    return value


def _list(value, length, what):
    if not isinstance(value, list) or length is not None and len(value) != length:
        raise Malformed(f"{what} is malformed")
    return value


def record(value):
    """A `Record` of what was sent."""
    id_, kind, number, begun, body = _list(value, 5, "a record")
    if not id_:
        raise Malformed("a record needs an id")
    if not isinstance(body, bytes) or len(body) > MAX_TEXT_SIZE:
        raise Malformed(f"a record's body must be {MAX_TEXT_SIZE} bytes at most")
    return Record(
        _text(id_, ID, "a record's id"),
        _text(kind, KIND, "a record's kind"),
        _number(number, "a record's number"),
        _number(begun, "a record's beginning"),
        body,
    )


def _ballot(round_, proposer):
    return Ballot(_number(round_, "a ballot's round"), _text(proposer, ID, "a ballot's proposer"))


def extract(value):
    """An `Extract` of what was sent."""
    since, chosen, entries = _list(value, 3, "an extract")
    found = []
    for entry in _list(entries, None, "an extract's entries"):
        slot, one = _list(entry, 2, "an extract's entry")
        found.append((_number(slot, "a slot"), record(one)))
    return Extract(_number(since, "a slot"), _number(chosen, "a slot"), tuple(found))


def since(params):
    """The slot that a `read` or a `catch-up` asks from."""
    return _number(_list(params, 1, "a question")[0], "a slot")


def message(method, params):
    """The message that a call carries; None for a method that is none of the log's."""
    if method == "prepare":
        slot, round_, proposer = _list(params, 3, "a prepare")
        return Prepare(_number(slot, "a slot"), _ballot(round_, proposer))
    if method == "accept":
        slot, round_, proposer, one = _list(params, 4, "an accept")
        return Accept(_number(slot, "a slot"), _ballot(round_, proposer), record(one))
    if method == "learn":
        return Learn(extract(params))
    return None


def call(sent):
    """(method, params) of a message."""
    if isinstance(sent, Prepare):
        return "prepare", [sent.slot, *sent.ballot]
    if isinstance(sent, Accept):
        return "accept", [sent.slot, *sent.ballot, list(sent.record)]
    return "learn", plain(sent.extract)


def plain(found):
    """An `Extract` as plain values."""
    return [found.since, found.chosen, [[slot, list(one)] for slot, one in found.entries]]


def result(reply):
    """A reply as plain values."""
    word = next(word for word, kind in WORDS.items() if isinstance(reply, kind))
    if isinstance(reply, Promise):
        return [word, *reply.accepted, None if reply.record is None else list(reply.record)]
    if isinstance(reply, Rejected):
        return [word, *reply.promised]
    if isinstance(reply, Ahead):
        return [word, plain(reply.extract)]
    return [word, *reply]


def reply(value):
    """The reply that a result carries."""
    word, *rest = value if isinstance(value, list) and value else [None]
    kind = WORDS.get(word) if isinstance(word, str) else None
    if kind is Promise:
        round_, proposer, one = _list(rest, 3, "a promise")
        return Promise(_ballot(round_, proposer), None if one is None else record(one))
    if kind is Rejected:
        return Rejected(_ballot(*_list(rest, 2, "a refusal")))
    if kind is Ahead:
        return Ahead(extract(_list(rest, 1, "an extract's reply")[0]))
    if kind in (Behind, Learned):
        return kind(_number(_list(rest, 1, "a position")[0], "a slot"))
    if kind is None:
        raise Malformed("a reply that is not known")
    return kind()
