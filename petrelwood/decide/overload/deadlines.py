"""How long an activation may take, and when its answer must leave.

The client's patience never lengthens the namespace type's action timeout. A part of it is reserved for the
answer's way to the client: it counts when the client has it, not when it is written.
"""

from typing import NamedTuple

WAY_BACK = 1 / 16  # of the patience, for the answer's way to the client
LEAST_TIME = 1 / 50  # of the action timeout; with less left nothing can be done in time


class Deadline(NamedTuple):
    """When an activation has to be over; ns of our clock."""

    due: int  # when the answer must be decided
    client_leaves: int


def deadline(arrived: int, wait: int, timeout: int) -> Deadline:
    """Return the deadline of an activation.

    Args:
        arrived: when its request came, ns.
        wait: the client's patience, ns; 0: not known.
        timeout: the action timeout of its namespace type, ns.
    """
    patience = min(wait, timeout) if wait else timeout
    return Deadline(arrived + patience - int(patience * WAY_BACK), arrived + patience)


def has_too_little_time(now: int, due: int, timeout: int) -> bool:
    """Return whether so little time is left that an attempt should not begin."""
    return due - now < timeout * LEAST_TIME
