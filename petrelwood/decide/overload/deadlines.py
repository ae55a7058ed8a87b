"""The deadline of an activation and of its answer.

The client's patience never extends the action timeout of the namespace type. A share of the patience is
reserved for sending the answer, because an answer is in time only if the client receives it in time.
"""

from typing import NamedTuple

ANSWER_TIME_SHARE = 1 / 16  # share of the patience reserved for sending the answer to the client
MIN_TIME_SHARE = 1 / 50  # share of the action timeout below which the time left is too short for an attempt


class Deadline(NamedTuple):
    """The deadlines of an activation, in ns of the monotonic clock."""

    due: int  # by when the answer must be decided
    client_gives_up_at: int


def deadline(arrived: int, wait: int, timeout: int) -> Deadline:
    """Return the deadline of an activation.

    Args:
        arrived: when its request arrived, ns.
        wait: the client's patience, ns; 0 if it is not known.
        timeout: the action timeout of its namespace type, ns.
    """
    patience = min(wait, timeout) if wait else timeout
    return Deadline(arrived + patience - int(patience * ANSWER_TIME_SHARE), arrived + patience)


def has_too_little_time(now: int, due: int, timeout: int) -> bool:
    """Return whether too little time is left for an attempt to begin."""
    return due - now < timeout * MIN_TIME_SHARE
