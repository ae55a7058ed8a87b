"""The records of the state log, by which an incarnation of a dispatcher informs the next one.

Only `store.state_codec` knows their stored form. `time` is the wall-clock time in ns at which a record was
made, without the steps of the wall clock since the incarnation began.
"""

from typing import NamedTuple


class IncarnationStarted(NamedTuple):
    """The start of an incarnation's segment; the first record of each segment."""

    time: int
    boot: str  # the mark of the machine's boot, see `recovery.boot_mark`
    epoch: int  # the number of the incarnation
    format: int  # the format version of the segment


class ActivationAdmitted(NamedTuple):
    """An activation was admitted; recorded before its first send if it must not run twice."""

    time: int
    customer: str
    id: str
    timestamp: int  # ns of the sender's wall clock
    type: str  # namespace type


class ActivationEnded(NamedTuple):
    """An activation has ended."""

    time: int
    customer: str
    id: str
    outcome: str  # a `ledger.ActivationState`
    sent: bool  # whether it may have run
    body: bytes | None  # the answer, if it is short enough to be stored


class RetryReceived(NamedTuple):
    """A later request with a known id was received, and did not begin the activation again.

    It has all that a later incarnation must know if the earlier records of the id have expired.
    """

    time: int
    customer: str
    id: str
    timestamp: int  # ns of the sender's wall clock; newer than those of all earlier records of the id
    type: str  # namespace type
    state: str  # a `ledger.ActivationState`
    may_have_run: bool


class LoadOrdered(NamedTuple):
    """A load order is about to be sent."""

    time: int
    worker: str
    function: str
    copies: int


class IncarnationEnded(NamedTuple):
    """The process shut down cleanly, with no activation in flight."""

    time: int


class OutageEnded(NamedTuple):
    """The log had failed, and now contains the remembered state again."""

    time: int
    failed_at: int
    cause: str
    attempts: int


Record = (
    IncarnationStarted
    | ActivationAdmitted
    | ActivationEnded
    | RetryReceived
    | LoadOrdered
    | IncarnationEnded
    | OutageEnded
)
