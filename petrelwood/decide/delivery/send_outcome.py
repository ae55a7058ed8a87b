"""What the end of a send proves: whether the activation may have run. Rule 2 (no effect twice) depends on it.

A call passes three stages: it is queued here, written to the socket, and answered. A call provably never ran
only if it never left the queue, or if the worker itself reports that it did not begin it. Written bytes count
as received by the worker even if the connection is lost, because bytes in the kernel's buffers may complete a
partly sent frame. If the kernel took no byte of a call before its connection was lost, the call was never
sent and counts as queued.

The results are the reasons for the end of a send (`petrelwood.ports.EndReason`).
"""

import enum

from petrelwood.ports import EndReason


class SendStage(enum.IntEnum):
    """The stage that a call to a worker has reached."""

    QUEUED = 0
    WRITTEN = 1
    ANSWERED = 2


# The error words of workers and the reasons that they prove. Any other word proves nothing.
_REASON_BY_ERROR_WORD = {
    "full": EndReason.FULL,
    "missing": EndReason.MISSING,
    "draining": EndReason.FULL,
    "error": EndReason.ERROR,
    "cancelled": EndReason.CANCELLED,
    "late": EndReason.TIMED_OUT,
}


def stage_reached(stage: SendStage, begins: int | None, taken: int) -> SendStage:
    """Return the stage that a call had reached when its connection was lost.

    `taken`: the bytes of the connection that the kernel took; `begins`: the bytes that were written before
    those of the call, or None if that is not known.
    """
    if stage == SendStage.WRITTEN and begins is not None and taken <= begins:
        return SendStage.QUEUED
    return stage


def of_error(word: object) -> EndReason:
    """Return the reason after the worker answered with an error."""
    return _REASON_BY_ERROR_WORD.get(word, EndReason.ERROR) if isinstance(word, str) else EndReason.ERROR


def of_loss(stage: SendStage) -> EndReason:
    """Return the reason after the connection was lost or never made."""
    return EndReason.NO_CONNECTION if stage == SendStage.QUEUED else EndReason.RESET


def of_timeout(stage: SendStage) -> EndReason:
    """Return the reason after the call timed out."""
    return EndReason.NOT_SENT if stage == SendStage.QUEUED else EndReason.TIMED_OUT


def of_cancel(stage: SendStage) -> EndReason:
    """Return the reason after the dispatcher cancelled the call."""
    return EndReason.NOT_SENT if stage == SendStage.QUEUED else EndReason.CANCELLED


def of_recall(stage: SendStage) -> EndReason | None:
    """Return the reason after a recall from a worker that drains or is gone; None if the call was sent."""
    return EndReason.NOT_SENT if stage == SendStage.QUEUED else None


def of_full_queue() -> EndReason:
    """Return the reason for a call that was rejected because the queue to its worker is full."""
    return EndReason.FULL
