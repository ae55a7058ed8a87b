"""The limits of a small machine: connections, activations without an answer, requests of one client.

All are shares of two limits that are given at the start:

    descriptors:  a few for ourselves, a share for connections to workers, the rest for clients
    memory:       a share for the bodies of activations; what would need more is rejected at once
"""

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.overload.intake import ADMIT, REJECT, ActivationRequest, RejectionReason, Verdict
from petrelwood.decide.overload.storm import SymptomChange

OWN_DESCRIPTORS = 24  # descriptors: standard streams, the loop, listeners, the roster, spares
LEAST_CONNECTIONS = 8  # to workers and from clients, however few descriptors there are
WORKER_SHARE = 0.4  # the share of the rest for connections to workers,
LEAST_WORKERS = 4  # and their number at least
MAX_BODY = 16_384  # bytes of a body at most, as the protocol has it
MAX_TEXT = 1_024  # bytes of one field of a message: none that is known has more
MAX_MEMBERS = 64  # fields of a message: none that is known has more
FRAME = 2 * MAX_BODY  # bytes of a complete message with its fields
BODY_SHARE = 1 / 4  # the share of the memory for bodies of activations
LEAST_ACTIVATIONS = 16  # that are admitted, however little memory there is
MAX_OPEN_REQUESTS = 32  # requests that one connection may have unanswered
MAX_FAULTS = 8  # malformed requests on a connection, after which it is closed
SECOND = 1_000_000_000
FIRST_REQUEST_TIMEOUT = SECOND * 3 // 2  # ns that a connection may take to send its first complete request
REQUEST_TIMEOUT = SECOND * 3 // 2  # ns that a request may take from its first byte to its last
# ns without a request after which a connection may be closed; usual clients close theirs sooner
IDLE_TIMEOUT = 5 * SECOND
# bytes of answers that a client may leave unread: all that it can be owed
MAX_UNREAD = MAX_OPEN_REQUESTS * (MAX_BODY + MAX_TEXT)


class ResourceLimits:
    """The limits of one process that may use `sockets` descriptors and `memory` bytes."""

    def __init__(self, sockets: int, memory: int) -> None:
        connections = max(LEAST_CONNECTIONS, sockets - OWN_DESCRIPTORS)
        self.workers = max(LEAST_WORKERS, int(connections * WORKER_SHARE))  # connections to workers
        self.clients = connections - self.workers  # connections from clients
        self.held = max(LEAST_ACTIVATIONS, int(memory * BODY_SHARE) // FRAME)  # activations without an answer


class CapacityIntake:
    """The intake of a platform that has its own retries, quotas and ids: capacity alone is checked.

    The scheduler decides everything else. The class has the methods of `intake.Intake`. `typical_duration` is
    the Retry-After of a rejected request. Times in ns.
    """

    damps = False

    def __init__(self, limits: ResourceLimits, typical_duration: int) -> None:
        self.limits = limits
        self.typical_duration = typical_duration
        self.unanswered = 0  # activations that were admitted and have no answer yet
        self.closing = False  # nothing more is admitted
        # rejections, by each reason that is given here
        self.counts = {RejectionReason.FULL: 0, RejectionReason.SHUTTING_DOWN: 0}

    def decide(self, now: int, wall: int, request: ActivationRequest) -> Verdict:
        """Return whether a request is admitted or rejected."""
        reason = None
        if self.closing:
            reason = RejectionReason.SHUTTING_DOWN
        elif self.unanswered >= self.limits.held:
            reason = RejectionReason.FULL
        if reason is not None:
            self.counts[reason] += 1
            return Verdict(REJECT, reason, retry_after=self.typical_duration)
        due = request.arrived_at + request.patience
        return Verdict(ADMIT, due=due, client_leaves=due)

    def on_admitted(self, customer: str, request_id: str) -> None:
        """Count an activation that was admitted."""
        self.unanswered += 1

    def on_ended(
        self, now: int, customer: str, type_name: str, duration: int, outcome: ActivationState
    ) -> None:
        """Count an activation that was answered, or whose client has left."""
        self.unanswered -= 1

    def update(self, now: int) -> list[SymptomChange]:
        """Return no symptoms: storms are not watched here."""
        return []

    def retry_after(
        self, now: int, customer: str, request_id: str, least: int = 0, is_early: bool = False
    ) -> int:
        """Return the wait that the scheduler has chosen, ns."""
        return least

    def figures(self) -> dict[str, int]:
        """Return what is counted, for logs and tests."""
        rejections = {f"turned away: {reason}": count for reason, count in self.counts.items()}
        return {"held": self.unanswered, **rejections}
