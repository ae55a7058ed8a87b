"""One request of a client and its answer."""

from typing import Protocol

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.overload import intake
from petrelwood.node.read_progress import ReadProgress

# The time after a client's disconnect or cancel in which an attempt for it may still begin (ns); a rule of
# the operators.
DEPARTURE_GRACE = 100_000_000
# The validity of a check for unread data of a client (ns); after that the check is repeated.
CHECK_LIFETIME = DEPARTURE_GRACE // 2

COMPLETED = ActivationState.COMPLETED
REJECTIONS = (ActivationState.REJECTED, intake.REJECT)


class PumpedLink(Protocol):
    """A link to a worker, with a queue of sends."""

    def pump(self) -> None:
        """Write the queued sends that may leave now."""


class Client(Protocol):
    """The interface of a client connection for its exchanges."""

    open_requests: "dict[int, Exchange]"
    progress: ReadProgress
    deferred_links: dict[PumpedLink, bool]  # links with sends that wait for a read

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def may_have_departed(self) -> bool:
        """Return whether a cancel or the end of the connection may be unread."""

    def defer_start(self, activation_id: str) -> None:
        """Have an activation started once all data of the client has been read."""

    def send_result(self, msgid: int, body: bytes) -> None:
        """Answer a request with its result."""

    def send_rejection(self, msgid: int, retry_after: int) -> None:
        """Answer a request as rejected; `retry_after` in ns, 0 to leave it out."""

    def send_failure(self, msgid: int) -> None:
        """Answer a request as failed."""

    def request_ended(self) -> None:
        """Note that a request is no longer open."""


class Exchange:
    """One request of a client, answered at most once; a `dispatch.activations.Exchange`."""

    __slots__ = ("activation_id", "client", "checked_at", "msgid", "reads_at_check")

    def __init__(self, client: Client, msgid: int) -> None:
        self.client = client
        self.msgid = msgid
        self.activation_id: str | None = None  # the id of its activation once it is admitted
        # when an attempt was first deferred until its client is read (ns); 0: none is deferred
        self.checked_at = 0
        self.reads_at_check = 0  # the reads of the client at that time

    def is_waiting(self) -> bool:
        """Return whether the client still waits for the answer."""
        return self.client.open_requests.get(self.msgid) is self

    def defer_start(self, activation_id: str) -> None:
        """Have its activation started once all data of the client has been read."""
        self.client.defer_start(activation_id)

    def may_send(self, link: PumpedLink) -> bool:
        """Return whether the client is known to be waiting still, so that an attempt may be sent for it.

        It is not while its disconnect or cancel may be unread; `link` is then pumped again after the next
        read.
        """
        client = self.client
        if client.may_have_departed():
            now = client.now()
            if now - self.checked_at > CHECK_LIFETIME:
                self.checked_at = now
                self.reads_at_check = client.progress.reads
            if not client.progress.has_caught_up(self.reads_at_check):
                client.deferred_links[link] = True
                return False
        self.checked_at = 0
        self.reads_at_check = 0
        return True

    def answer(
        self,
        outcome: str,
        body: bytes = b"",
        retry_after: int = 0,
        detail: str = "",
        activation_id: str | None = None,
    ) -> None:
        """Send the answer to the client; has no effect if it was answered or has left.

        Args:
            outcome: the final state of the activation (`ActivationState`), or a decision of the intake.
            body: the result of a completed activation.
            retry_after: the time (ns) after which a rejected client should retry; 0: none.
            detail: not sent by this protocol.
            activation_id: not sent by this protocol.
        """
        # the request may be cancelled and its message id reused, or the client may have left
        if not self.is_waiting():
            return
        client = self.client
        del client.open_requests[self.msgid]
        if outcome == COMPLETED:
            client.send_result(self.msgid, body)
        elif outcome in REJECTIONS:
            client.send_rejection(self.msgid, retry_after)
        else:
            client.send_failure(self.msgid)
        client.request_ended()
