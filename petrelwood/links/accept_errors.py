"""What an error of accept(2) says, and of whom.

An error may belong to the one new connection, which is gone with it (accept(2), "Error handling"): it says
nothing of those that wait behind it, and the next call may succeed. Any other belongs to the process or the
machine, and a listener must pause: its socket stays readable, so that the event loop would come back at once.
"""

import errno
from enum import Enum, auto

CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.ECONNRESET,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,  # a firewall forbids it
        errno.EPROTO,
        errno.ETIMEDOUT,
    )
)
NOTHING_TO_ACCEPT = frozenset((errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR))
OUT_OF_DESCRIPTORS = frozenset((errno.EMFILE, errno.ENFILE))  # of the process, of the machine
CONNECTION_ERRORS_IN_A_ROW = 16  # after which a listener pauses all the same


class AcceptError(Enum):
    """What has failed."""

    NOTHING_PENDING = auto()  # no connection waits
    CONNECTION = auto()  # the new connection alone
    DESCRIPTORS = auto()  # no file descriptor is left for it
    OTHER = auto()  # something else of the process or the machine


def classify(error: OSError) -> AcceptError:
    """Return what an error of accept(2) says."""
    if error.errno in NOTHING_TO_ACCEPT:
        return AcceptError.NOTHING_PENDING
    if error.errno in CONNECTION_ERRORS:
        return AcceptError.CONNECTION
    if error.errno in OUT_OF_DESCRIPTORS:
        return AcceptError.DESCRIPTORS
    return AcceptError.OTHER
