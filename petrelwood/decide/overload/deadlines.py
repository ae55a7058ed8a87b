"""How long an activation may take, and when its answer must leave.

The client's patience never lengthens the namespace type's action timeout. A part of it is kept for the way
back: an answer counts when the client has it, not when it is written."""

WAY_BACK = 1 / 16  # of the patience, for the answer's way to the client
LEAST = 1 / 50  # of the action timeout; with less left nothing can be done in time


def due(came, wait, timeout):
    """(when the answer must be decided, when the client is gone); ns. `wait` 0: the client told none."""
    patience = min(wait, timeout) if wait else timeout
    return came + patience - int(patience * WAY_BACK), came + patience


def hopeless(now, due_, timeout):
    """Whether so little is left that nothing should begin."""
    return due_ - now < timeout * LEAST
