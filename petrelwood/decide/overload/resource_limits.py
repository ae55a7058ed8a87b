"""The limits of a small machine: connections, unanswered activations, requests of one client.

All are derived from two limits that are given at the start:

    descriptors:  a few for the process itself, a share for connections to workers, the rest for clients
    memory:       what a process without clients leaves of it, in shares for the bodies of activations, for
                  incomplete requests, unread answers, incomplete answers of workers, and remembered ids
"""

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.overload.intake import ADMIT, REJECT, ActivationRequest, RejectionReason, Verdict
from petrelwood.decide.overload.storm import SymptomChange

OWN_DESCRIPTORS = 24  # descriptors for standard streams, the event loop, listeners, the roster, and a reserve
MIN_CONNECTIONS = 8  # connections to workers and from clients, however few descriptors there are
WORKER_SHARE = 0.4  # share of the connections that are to workers
MIN_WORKER_CONNECTIONS = 4  # connections to workers, at least
MAX_BODY = 16_384  # bytes of a body, the limit of the protocol
MAX_TEXT = 1_024  # bytes of one field of a message; no known field is longer
MAX_MEMBERS = 64  # fields of a message; no known message has more
FRAME = 2 * MAX_BODY  # bytes of a complete message with its fields
ACTIVATION_SHARE = 1 / 4  # share of the memory for unanswered activations, if each had the largest frame
PROCESS_SIZE = 24 << 20  # bytes; the interpreter, the modules, and what grows with workers and functions
MIN_SPARE_MEMORY = 4 << 20  # bytes besides these, however little memory there is
# Shares of the spare memory. The rest of it is for connections, frames to workers, and fragmentation.
BODY_SHARE = 1 / 4  # bodies of activations; their frames to workers take as much again, and a third more
REQUEST_SHARE = 1 / 8  # incomplete requests
ANSWER_SHARE = 1 / 8  # answers that clients have not read
PARTIAL_ANSWER_SHARE = 1 / 8  # incomplete answers of workers
MIN_ACTIVATIONS = 16  # unanswered activations that are admitted, however little memory there is
MAX_OPEN_REQUESTS = 32  # unanswered requests of one connection
MAX_FAULTS = 8  # malformed requests after which a connection is closed
EXECUTED_ID_SHARE = 1 / 16  # ids of once-only activations that may have run
EXECUTED_ID_SIZE = 160  # bytes that one of them takes, with its place in the table
READ_TIME_PER_ITERATION = 2_000_000  # ns that one iteration of the event loop spends on data of clients
SECOND = 1_000_000_000
FIRST_REQUEST_TIMEOUT = SECOND * 3 // 2  # ns that a connection may take to send its first complete request
REQUEST_TIMEOUT = SECOND * 3 // 2  # ns that a request may take from its first byte to its last
# ns without a request after which a connection may be closed; most clients close theirs sooner
IDLE_TIMEOUT = 5 * SECOND
# bytes of answers that a client may leave unread: the answers to all its open requests
MAX_UNREAD = MAX_OPEN_REQUESTS * (MAX_BODY + MAX_TEXT)


class ResourceLimits:
    """The limits of one process that may use `sockets` file descriptors and `memory` bytes."""

    def __init__(self, sockets: int, memory: int) -> None:
        connections = max(MIN_CONNECTIONS, sockets - OWN_DESCRIPTORS)
        self.workers = max(MIN_WORKER_CONNECTIONS, int(connections * WORKER_SHARE))  # connections to workers
        self.clients = connections - self.workers  # connections from clients
        self.held = max(MIN_ACTIVATIONS, int(memory * ACTIVATION_SHARE) // FRAME)  # unanswered activations
        spare = max(MIN_SPARE_MEMORY, memory - PROCESS_SIZE)
        self.body_bytes = int(spare * BODY_SHARE)  # of all unanswered activations together
        self.executed_ids = int(spare * EXECUTED_ID_SHARE) // EXECUTED_ID_SIZE
        self.request_bytes = int(spare * REQUEST_SHARE)  # of all connections together
        self.answer_bytes = int(spare * ANSWER_SHARE)  # of all connections together
        self.partial_answer_bytes = int(spare * PARTIAL_ANSWER_SHARE)  # of all workers together


class CapacityIntake:
    """The intake of a platform that has its own retries, quotas and ids: capacity alone is checked.

    The scheduler decides everything else. The class has the methods of `intake.Intake`. `typical_duration` is
    the Retry-After of a rejected request. Times in ns.
    """

    damps = False

    def __init__(self, limits: ResourceLimits, typical_duration: int) -> None:
        self.limits = limits
        self.typical_duration = typical_duration
        self.unanswered = 0  # admitted activations without an answer
        self.closing = False  # whether admission has ended
        # rejections by reason
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
        return Verdict(ADMIT, due=due, client_gives_up_at=due)

    def has_room(self, body_bytes: int) -> bool:
        """Return whether the unanswered activations may have `body_bytes` of bodies together.

        If not, the rejection that follows is counted.
        """
        if body_bytes <= self.limits.body_bytes:
            return True
        self.counts[RejectionReason.FULL] += 1
        return False

    def on_admitted(self, customer: str, request_id: str) -> None:
        """Count an admitted activation."""
        self.unanswered += 1

    def on_ended(
        self, now: int, customer: str, type_name: str, duration: int, outcome: ActivationState
    ) -> None:
        """Count an activation that was answered, or whose client has left."""
        self.unanswered -= 1

    def update(self, now: int) -> list[SymptomChange]:
        """Return no symptoms, as storms are not detected here."""
        return []

    def retry_after(
        self, now: int, customer: str, request_id: str, least: int = 0, is_early: bool = False
    ) -> int:
        """Return the wait that the scheduler has chosen (`least`), ns."""
        return least

    def figures(self) -> dict[str, int]:
        """Return the counters for logs and tests."""
        rejections = {f"turned away: {reason}": count for reason, count in self.counts.items()}
        return {"held": self.unanswered, **rejections}
