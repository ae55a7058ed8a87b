"""What the end of a send proves: whether the activation may have run. Rule 2 (no effect twice) depends on it.

A call passes three stages: it is queued here, written to the socket, and answered. Only a call that never
left the queue, or that the worker itself says it did not begin, provably never ran. Bytes that were written
count as read, even if the connection is lost: half a frame on the wire may have been completed by bytes that
are still in the kernel's buffers. A call of which the kernel took no byte, and whose connection is lost, was
never sent: it counts as queued.

The results are the reasons for the end of a send (`petrelwood.ports.EndReason`).
"""

import enum

from petrelwood.ports import EndReason


class SendStage(enum.IntEnum):
    """The stage that a call has reached on its way to a worker."""

    QUEUED = 0
    WRITTEN = 1
    ANSWERED = 2


# What a worker may answer instead of a result, and what it proves. Any other word proves nothing.
_CODES_OF_ERRORS = {
    "full": EndReason.FULL,
    "missing": EndReason.MISSING,
    "draining": EndReason.FULL,
    "error": EndReason.ERROR,
    "cancelled": EndReason.CANCELLED,
    "late": EndReason.TIMED_OUT,
}


def stage_reached(stage: SendStage, begins: int | None, taken: int) -> SendStage:
    """Return the stage that a call had reached when its connection was lost.

    `taken`: bytes written on the connection that the kernel took; `begins`: how many were written before the
    call's own, or None if that is not known.
    """
    if stage == SendStage.WRITTEN and begins is not None and taken <= begins:
        return SendStage.QUEUED
    return stage


def of_error(word: object) -> EndReason:
    """Return the reason after the worker answered with an error."""
    return _CODES_OF_ERRORS.get(word, EndReason.ERROR) if isinstance(word, str) else EndReason.ERROR


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
    """Return the reason for a call recalled from a worker that drains or is gone; None if it was sent."""
    return EndReason.NOT_SENT if stage == SendStage.QUEUED else None


def of_full_queue() -> EndReason:
    """Return the reason for a call that was rejected as the queue to its worker is full."""
    return EndReason.FULL
