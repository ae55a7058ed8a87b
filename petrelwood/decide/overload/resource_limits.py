"""What fits into a small machine: connections, what is held, what one peer may have open. All as parts of the
limits told.

    descriptors:  a few for ourselves, a part for connections to workers, the rest for clients
    memory:       a part for bodies of activations that are held; beyond that they are turned away at once
"""

from petrelwood.decide.overload.intake import CLOSING, CROWDED, REFUSE, TAKE, Verdict

OWN = 24  # descriptors: standard streams, the loop, listeners, the roster, spares
WORKERS = 0.4  # of the rest, for connections to workers
BODY = 16_384  # bytes of a body at most, as the protocol has it
TEXT, MEMBERS = 1_024, 64  # bytes of one field, members of a message: nothing that may be asked has more
FRAME = 2 * BODY  # bytes of a whole message with its fields
BODIES = 1 / 4  # of the memory, for what is held
OPEN = 32  # requests that a connection may have open
FAULTS = 8  # wrong requests on a connection, after which it is closed
SECOND = 1_000_000_000
SILENT = SECOND * 3 // 2  # for a connection that has not sent a whole request yet, from its start
PART = SECOND * 3 // 2  # for a request that has begun to come
IDLE = 5 * SECOND  # for one that has; usual clients close theirs sooner
# bytes of answers that a client may leave unread: all that it may be owed at a time
UNREAD = OPEN * (BODY + TEXT)


class ResourceLimits:
    """`sockets`: descriptors; `memory`: bytes."""

    def __init__(self, sockets, memory):
        rest = max(8, sockets - OWN)
        self.workers = max(4, int(rest * WORKERS))
        self.clients = rest - self.workers
        self.held = max(16, int(memory * BODIES) // (2 * BODY))


class CapacityIntake:
    """The intake of a platform that has its own retries, quotas and ids: room alone is looked at, all else is
    the module's. It has the shape of `intake.Intake`. Times in ns."""

    damps = False

    def __init__(self, room, usual):
        self.room, self.usual, self.held, self.closing = room, usual, 0, False
        self.counts = {CROWDED: 0, CLOSING: 0}

    def ask(self, now, wall, ask):
        why = CLOSING if self.closing else CROWDED if self.held >= self.room.held else None
        if why:
            self.counts[why] += 1
            return Verdict(REFUSE, why, retry_after=self.usual)
        return Verdict(TAKE, due=ask.came + ask.wait, gone=ask.came + ask.wait)

    def took(self, customer, id_):
        self.held += 1

    def ended(self, now, customer, type_name, stayed, outcome):
        self.held -= 1

    def look(self, now):
        return []

    def come_back(self, now, customer, id_, least=0, early=False):
        """As the module said."""
        return least

    def figures(self):
        return {"held": self.held, **{f"turned away: {why}": n for why, n in self.counts.items()}}
