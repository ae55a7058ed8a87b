"""One request of a client and its one answer."""

from typing import Protocol

from petrelwood.decide.delivery.ledger import ActivationState
from petrelwood.decide.overload import intake

# ns after a client's end or cancel in which an attempt for it may still begin, by the operators' rules
DEPARTURE_GRACE = 100_000_000
# ns for which one check for a client's unread bytes counts; a new check is then due
CHECK_LIFETIME = DEPARTURE_GRACE // 2
# reads that emptied the socket, after which all is read that lay there at the check, however much still comes
READS_TO_CATCH_UP = 2

COMPLETED = ActivationState.COMPLETED
REJECTIONS = (ActivationState.REJECTED, intake.REJECT)


class PumpedLink(Protocol):
    """A link to a worker, with sends that wait."""

    def pump(self) -> None:
        """Send what may be sent now."""


class Client(Protocol):
    """The connection of a client, as an exchange needs it."""

    open: "dict[int, Exchange]"
    emptying_reads: int  # reads that left nothing unread
    deferred_links: dict[PumpedLink, bool]  # links with sends that wait until this client was read

    def now(self) -> int:
        """Return the monotonic time in ns."""

    def has_unread_input(self) -> bool:
        """Return whether anything has come that was not handled yet."""

    def send_result(self, msgid: int, body: bytes) -> None:
        """Answer a request with its result."""

    def send_rejection(self, msgid: int, retry_after: int) -> None:
        """Answer a request as rejected; `retry_after` in ns, 0 where it is not told."""

    def send_failure(self, msgid: int) -> None:
        """Answer a request as failed."""

    def request_ended(self) -> None:
        """Note that a request is no longer open."""


class Exchange:
    """One request of a client, which gets one answer at most; a `dispatch.activations.Exchange`."""

    __slots__ = ("activation_id", "client", "checked_at", "msgid", "reads_at_check")

    def __init__(self, client: Client, msgid: int) -> None:
        self.client = client
        self.msgid = msgid
        self.activation_id: str | None = None  # the id of its activation, once it is admitted
        self.checked_at = 0  # ns, when an attempt was first held back until its client is read; 0: none is
        self.reads_at_check = 0  # the client's `emptying_reads` then

    def waits(self) -> bool:
        """Return whether the client still waits for the answer."""
        return self.client.open.get(self.msgid) is self

    def may_send(self, link: PumpedLink) -> bool:
        """Return whether the client is known to wait still, so that an attempt may be sent for it.

        Its end or cancel may lie unread: then `link` is pumped again once the client was read.
        """
        client = self.client
        if client.has_unread_input():
            now = client.now()
            if now - self.checked_at > CHECK_LIFETIME:
                self.checked_at = now
                self.reads_at_check = client.emptying_reads
            if client.emptying_reads - self.reads_at_check < READS_TO_CATCH_UP:
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
        """Give the client its answer; without effect once it has one or has left.

        Args:
            outcome: how the activation ended (`ActivationState`), or a verdict of the intake.
            body: the result, of one that completed.
            retry_after: ns that a rejected client should stay away; 0: not told.
            detail: not told on this protocol.
            activation_id: not told on this protocol.
        """
        if not self.waits():  # cancelled, and its number perhaps used again; or the client has left
            return
        client = self.client
        del client.open[self.msgid]
        if outcome == COMPLETED:
            client.send_result(self.msgid, body)
        elif outcome in REJECTIONS:
            client.send_rejection(self.msgid, retry_after)
        else:
            client.send_failure(self.msgid)
        client.request_ended()
