"""Classification of the errors of accept(2): does the error concern one connection or the whole process?

Some errors concern only the new connection, which is dropped with them (accept(2), "Error handling"). The
connections queued behind it are not affected, and the next call may succeed. All other errors concern the
process or the machine. A listener must pause after them: its socket remains readable, so the event loop would
call it again at once.
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
        errno.EPERM,  # rejected by a firewall
        errno.EPROTO,
        errno.ETIMEDOUT,
    )
)
NOTHING_TO_ACCEPT = frozenset((errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR))
OUT_OF_DESCRIPTORS = frozenset((errno.EMFILE, errno.ENFILE))  # limits per process and per machine
# A listener also pauses after this many consecutive errors that each concern one connection.
CONNECTION_ERRORS_IN_A_ROW = 16


class AcceptError(Enum):
    """The cause of an error of accept(2)."""

    NOTHING_PENDING = auto()  # no connection is pending
    CONNECTION = auto()  # concerns only the new connection
    DESCRIPTORS = auto()  # no file descriptor is available
    OTHER = auto()  # another error of the process or the machine


def classify(error: OSError) -> AcceptError:
    """Return the cause of an error of accept(2)."""
    if error.errno in NOTHING_TO_ACCEPT:
        return AcceptError.NOTHING_PENDING
    if error.errno in CONNECTION_ERRORS:
        return AcceptError.CONNECTION
    if error.errno in OUT_OF_DESCRIPTORS:
        return AcceptError.DESCRIPTORS
    return AcceptError.OTHER
