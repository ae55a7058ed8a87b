"""What the end of a send proves. Rule 2 hangs on it.

A call passes three stages on its way out: WAITING in our own queue, HANDED to the socket, and ANSWERED. Only
a call that never left our queue, or that the worker itself says it did not begin, provably never ran. Bytes
that were handed over count as read, whatever became of the connection: half a frame on the wire may have been
completed by bytes that are still in the kernel's hands. A call of which the kernel took no byte, and whose
connection is lost, never left: it is as one that waited."""

from petrelwood import ports

WAITING, HANDED, ANSWERED = range(3)

# What a worker may answer instead of a result, and what it proves. Anything else it says proves nothing.
SAID = {
    "full": ports.FULL,
    "missing": ports.MISSING,
    "draining": ports.FULL,
    "error": ports.ERROR,
    "cancelled": ports.CANCELLED,
    "late": ports.TIMED_OUT,
}


def reached(stage, begins, taken):
    """The stage that a call had reached when its connection was lost. `taken`: bytes written on it that the
    kernel took, `begins`: how many were written before the call's own; None: not known."""
    if stage == HANDED and begins is not None and taken <= begins:
        return WAITING
    return stage


def of_error(word):
    """The code of an error that a worker sent."""
    return SAID.get(word, ports.ERROR)


def of_loss(stage):
    """The connection was lost, or never made."""
    return ports.NO_CONNECTION if stage == WAITING else ports.RESET


def of_time(stage):
    """Its time ran out."""
    return ports.NOT_SENT if stage == WAITING else ports.TIMED_OUT


def of_cancel(stage):
    return ports.NOT_SENT if stage == WAITING else ports.CANCELLED


def of_recall(stage):
    """Taken back because its worker drains or is gone; None: too late, it takes its course."""
    return ports.NOT_SENT if stage == WAITING else None


def of_crowding():
    """Our queue to the worker is over its bound: nothing was sent."""
    return ports.FULL
