"""The links of a dispatcher to its workers."""

from collections.abc import Callable, Container, Iterable
from typing import Protocol

from petrelwood.decide.cluster.membership import Membership
from petrelwood.ports import EndpointEntry

Address = tuple[str, int]
Send = tuple[str, int]
"""The id of an activation, and the number of one of its sends."""


class WorkerLink(Protocol):
    """A link to one worker.

    It calls `send_ended`, `load_order_ended` and `health_check_ended` of the core for each end, always by
    `submit`, never directly from one of its methods.
    """

    address: Address | None

    def run(
        self, activation: str, attempt: int, function: str, mark: str, remaining: int, lanes: int, body: bytes
    ) -> object:
        """Send an activation; `mark`: its idempotency key, `remaining`: ns until its deadline."""

    def order_load(self, function: str, lanes: int, copies: int) -> object:
        """Order the worker to have `copies` copies of a function."""

    def check_health(self) -> object:
        """Send a health check."""

    def cancel(self, activation: str, attempt: int) -> object:
        """Ask the worker to cancel an attempt."""

    def time_out(self, activation: str, attempt: int) -> object:
        """Handle an attempt whose deadline has passed."""

    def withdraw(self, activation: str, attempt: int) -> object:
        """Withdraw an attempt that has not been sent yet."""

    def recall(self) -> object:
        """Withdraw all calls that have not been sent yet, because the worker drains."""

    def has_open_calls(self) -> bool:
        """Return whether an attempt or a load order has not ended yet."""

    def give_up(self, why: str) -> object:
        """Close the connection; all calls in flight on it end."""


class WorkerLinks(dict[str, WorkerLink]):
    """The links by worker. `make_link(worker, address)` creates a link."""

    def __init__(self, make_link: Callable[[str, Address | None], WorkerLink]) -> None:
        super().__init__()
        self.make_link = make_link
        self.in_flight: dict[Send, str] = {}  # the worker of each send that has not ended

    def drain(self, workers: Iterable[str]) -> None:
        """Withdraw what has not been sent yet to workers that drain or are gone."""
        for worker in workers:
            if worker in self:
                self[worker].recall()

    def connect(self, entries: Iterable[EndpointEntry], membership: Membership) -> None:
        """Create links to new usable workers, and reconnect links whose worker has a new address.

        `membership` may be newer than the entries: a worker that is gone by now has no address and gets no
        link.
        """
        for entry in entries:
            link = self.get(entry.worker)
            address = membership.address_of(entry.worker)
            if link is None:
                if entry.usable and address is not None:
                    self[entry.worker] = self.make_link(entry.worker, address)
            elif address is not None and link.address != address:
                link.address = address  # first, because giving up the old connection makes room for new ones
                link.give_up("the worker has moved")

    def release_unused(self, members: Container[str]) -> None:
        """Close idle links to workers that are no longer in the endpoint list."""
        unused = [
            worker for worker, link in self.items() if worker not in members and not link.has_open_calls()
        ]
        for worker in unused:
            self.pop(worker).give_up("it has left the list")

    # Sends in flight
    def withdraw(self, activation: str, attempts: Iterable[int]) -> None:
        """Withdraw the attempts of an ended activation that still wait in a link for a connection.

        This prevents sends after the end, also if the settings allow no cancellation.
        """
        for attempt in sorted(attempts):
            link = self._link_of(activation, attempt)
            if link is not None:
                link.withdraw(activation, attempt)

    def time_out(self, activation: str, attempts: Iterable[int]) -> None:
        """Notify the links that the deadline of these attempts has passed."""
        for attempt in sorted(attempts):
            self[self.in_flight[activation, attempt]].time_out(activation, attempt)

    def cancel(self, activation: str, attempt: int) -> None:
        """Ask the worker to cancel an attempt, if it is in flight."""
        link = self._link_of(activation, attempt)
        if link is not None:
            link.cancel(activation, attempt)

    def _link_of(self, activation: str, attempt: int) -> WorkerLink | None:
        worker = self.in_flight.get((activation, attempt))
        return None if worker is None else self.get(worker)
