"""The records of the state log, by which an incarnation of a dispatcher informs the next one.

Their stored form is known to `store.state_codec` alone. `time` is the wall-clock time in ns at which a record
was made, without the steps of that clock since the incarnation began.
"""

from typing import NamedTuple


class IncarnationStarted(NamedTuple):
    """The start of an incarnation's segment; the first record of each segment."""

    time: int
    boot: str  # the mark of the machine's start, see `recovery.boot_mark`
    epoch: int  # the number of the incarnation
    format: int  # of the segment


class ActivationAdmitted(NamedTuple):
    """An activation was admitted; recorded before its first send where it must not run twice."""

    time: int
    customer: str
    id: str
    timestamp: int  # the sender's wall clock
    type: str  # namespace type


class ActivationEnded(NamedTuple):
    """An activation has its outcome."""

    time: int
    customer: str
    id: str
    outcome: str  # of `ledger`
    sent: bool  # whether it may have run
    body: bytes | None  # the answer, where it is short


class LoadOrdered(NamedTuple):
    """A load order is about to go out."""

    time: int
    worker: str
    function: str
    copies: int


class IncarnationEnded(NamedTuple):
    """The process ended in order, with nothing in flight."""

    time: int


class OutageEnded(NamedTuple):
    """The log had failed, and contains all that is remembered again."""

    time: int
    failed_at: int
    cause: str
    attempts: int


Record = (
    IncarnationStarted | ActivationAdmitted | ActivationEnded | LoadOrdered | IncarnationEnded | OutageEnded
)
