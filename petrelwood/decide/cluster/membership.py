"""The endpoint list: the workers that the roster has reported, gaps in its events, and worker incarnations.

The roster sends a complete list or watch events, each with an increasing id. An event whose id does not
follow the last one shows that an event was missed; the complete list is then requested again.

A worker's start is reported in wall-clock time of the platform. It is converted to this dispatcher's own
clock once per incarnation. Two rules limit its age. First, this machine's wall clock is read without steps,
so the offset between the two clocks stays the one from before a step. Second, an incarnation that was not on
the list when the list was last known to be complete has started since then: whatever the clocks say, it is
not older than that time, apart from the possible delay of its event. An incarnation that left the list and
returns keeps its start.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide.overload.backoff import Backoff
from petrelwood.decide.wall_clock import MAX_SLEW, UnsteppedWallClock
from petrelwood.errors import ProtocolError

# A list may lack workers that started up to this long before it was received, ns. An excess age up to this
# value is attributed to a late event, a larger one to an error of the clocks.
MAX_EVENT_DELAY = 1_500_000_000
MAX_DEPARTED = 4_096  # incarnations that have left the list and whose start is still remembered
MAX_BACKOFF_FACTOR = 64  # the longest backoff, as a multiple of the first one


class MalformedEndpointError(ProtocolError):
    """An entry sent by the roster can't be decoded as an endpoint."""


class EndpointState(StrEnum):
    """The state of a worker as the roster reports it."""

    USABLE = "usable"
    DRAINING = "draining"
    GONE = "gone"


class EventOrder(StrEnum):
    """How the id of a watch event relates to the last known one."""

    NEXT = "next"
    OLD = "old"  # already known
    GAP = "gap"  # at least one event before it was missed


class Endpoint(NamedTuple):
    """One worker as the roster reports it."""

    worker: str
    address: tuple[str, int]
    zone: str
    cell: int
    booted: int  # start time, wall-clock ns; 0: long ago
    state: EndpointState


class ListChange(NamedTuple):
    """The changes made by a list or a watch event."""

    listed: list[ports.EndpointEntry]
    leaving: list[str]  # workers newly reported as draining or gone


class Member:
    """One worker on the list."""

    __slots__ = ("booted", "draining_since", "endpoint")

    def __init__(self, endpoint: Endpoint, booted: int) -> None:
        self.endpoint = endpoint
        self.booted = booted  # start time on this dispatcher's clock; 0: long ago
        self.draining_since = 0  # 0: not draining

    def listed(self) -> ports.EndpointEntry:
        """Return the entry with which the decision module is notified of the worker."""
        endpoint = self.endpoint
        is_usable = endpoint.state == EndpointState.USABLE
        return ports.EndpointEntry(endpoint.worker, endpoint.zone, endpoint.cell, self.booted, is_usable)


class Membership:
    """The endpoint list of one dispatcher.

    Times in ns of this dispatcher's clock unless stated otherwise. `lost_after` is the silence after which
    the roster counts as lost; `first_wait` is the first backoff before it is requested again;
    `random_fraction()` returns a random number in [0, 1).
    """

    def __init__(self, lost_after: int, first_wait: int, random_fraction: Callable[[], float]) -> None:
        self.members: dict[str, Member] = {}
        self.epoch: str | None = None
        self.number = 0
        self.lost_after = lost_after
        self.last_contact_at = 0
        self.is_lost = False
        self.backoff = Backoff(first_wait, MAX_BACKOFF_FACTOR * first_wait, random_fraction)
        self.platform_clock = UnsteppedWallClock()
        self.complete_at: int | None = None  # when the list was last known to be complete; None: not yet
        # (worker, reported start) -> start on this dispatcher's clock
        self.departed: OrderedDict[tuple[str, int], int] = OrderedDict()

    @property
    def resume_after(self) -> str | None:
        """Return the id of the last known event, or None if a complete list is needed."""
        return None if self.epoch is None else f"{self.epoch}-{self.number}"

    def forget_position(self) -> None:
        """Forget the id of the last event after a gap, so that a complete list is requested."""
        self.epoch = None
        self.number = 0

    def order_of(self, event_id: str) -> EventOrder:
        """Return how an event relates to the last known one."""
        epoch, _, number = event_id.rpartition("-")
        if not number.isdigit() or epoch != self.epoch:
            return EventOrder.GAP
        if int(number) <= self.number:
            return EventOrder.OLD
        return EventOrder.NEXT if int(number) == self.number + 1 else EventOrder.GAP

    def on_contact(self, now: int) -> bool:
        """Handle bytes received from the roster; return whether it counted as lost until now."""
        was_lost = self.is_lost
        self.last_contact_at = now
        self.is_lost = False
        self.backoff.succeeded()
        return was_lost

    def correct_clock(self, ahead: int, now: int) -> list[ports.EndpointEntry]:
        """Correct the platform clock by an earlier reading; return the workers whose start this makes later.

        `ahead` is how far the wall clock was ahead of the monotonic clock (ns) in an earlier process since
        the machine's boot. Either reading may be wrong. The smaller one is used, so that no worker is older
        than either reading implies.
        """
        clock = self.platform_clock
        difference = 0 if clock.ahead is None else clock.ahead - ahead
        if clock.ahead is None or difference > 0:
            clock.ahead = ahead
        if difference <= MAX_SLEW:
            return []
        younger = [member for member in self.members.values() if member.booted]
        for member in younger:
            member.booted = min(now, member.booted + difference) or 1
        return [member.listed() for member in younger]

    def on_complete(self, now: int) -> None:
        """Handle that the list is complete at `now`: the roster has reported all events up to that time."""
        if self.complete_at is not None:
            self.complete_at = now

    def is_newly_lost(self, now: int) -> bool:
        """Return whether the roster has just become lost by silence; True only once per silence."""
        if self.is_lost or now - self.last_contact_at < self.lost_after:
            return False
        self.is_lost = True
        return True

    def apply_list(self, list_id: str, endpoints: Sequence[Endpoint], now: int, wall: int) -> ListChange:
        """Apply a complete list and return the changes; `wall` is this machine's wall clock, ns."""
        self.epoch, _, number = list_id.rpartition("-")
        self.number = int(number)
        named = {endpoint.worker for endpoint in endpoints}
        missing = [worker for worker in self.members if worker not in named]
        leaving = [w for w in missing if self.members[w].endpoint.state == EndpointState.USABLE]
        for worker in missing:
            self._remove(worker)
        change = self._apply(endpoints, now, wall)
        return ListChange(change.listed, leaving + change.leaving)

    def apply_change(self, event_id: str, endpoints: Iterable[Endpoint], now: int, wall: int) -> ListChange:
        """Apply a watch event that follows the last one, and return the changes."""
        self.number = int(event_id.rpartition("-")[2])
        return self._apply(endpoints, now, wall)

    def is_usable(self, worker: str) -> bool:
        """Return whether a worker is on the list and may receive activations."""
        member = self.members.get(worker)
        return member is not None and member.endpoint.state == EndpointState.USABLE

    def has_confirmed(self, worker: str, since: int) -> bool:
        """Return whether a worker is at its address again, where nobody listened at `since`.

        Another worker may have taken the address. It has not if the list tells of a later start of the
        worker, or holds all events up to that time and still has the worker.
        """
        member = self.members.get(worker)
        if member is None:
            return False
        is_complete = self.complete_at is not None and self.complete_at >= since + MAX_EVENT_DELAY
        return is_complete or member.booted > since

    def address_of(self, worker: str) -> tuple[str, int] | None:
        """Return the address of a worker, or None if it is not on the list."""
        member = self.members.get(worker)
        return member.endpoint.address if member else None

    def _apply(self, endpoints: Iterable[Endpoint], now: int, wall: int) -> ListChange:
        change = ListChange([], [])
        platform_wall = self.platform_clock.read(now, wall)
        for endpoint in endpoints:
            member = self._member(endpoint, now, platform_wall)
            member.endpoint = endpoint
            if endpoint.state == EndpointState.USABLE:
                member.draining_since = 0
            elif not member.draining_since:
                member.draining_since = now
                change.leaving.append(endpoint.worker)
            change.listed.append(member.listed())
            if endpoint.state == EndpointState.GONE:
                self._remove(endpoint.worker)
        self.complete_at = now
        return change

    def _member(self, endpoint: Endpoint, now: int, platform_wall: int) -> Member:
        """Return the member for an endpoint; create a new one for a new incarnation."""
        member = self.members.get(endpoint.worker)
        if member is None or member.endpoint.booted != endpoint.booted:
            member = Member(endpoint, self._start(endpoint, now, platform_wall))
            self.members[endpoint.worker] = member
        return member

    def _start(self, endpoint: Endpoint, now: int, platform_wall: int) -> int:
        """Return the start of a new incarnation on this dispatcher's clock; 0: long ago."""
        if not endpoint.booted:
            return 0
        known = self.departed.pop((endpoint.worker, endpoint.booted), None)
        if known is not None:
            return known
        age = max(0, platform_wall - endpoint.booted)
        if self.complete_at is not None:
            most = now - self.complete_at
            if age > most + MAX_EVENT_DELAY:
                age = most
        return now - age or 1

    def _remove(self, worker: str) -> None:
        member = self.members.pop(worker)
        if not member.booted:
            return
        self.departed[worker, member.endpoint.booted] = member.booted
        if len(self.departed) > MAX_DEPARTED:
            self.departed.popitem(last=False)


def decode_endpoint(raw: object) -> Endpoint:
    """Decode an endpoint that a roster sent as a JSON object.

    Raises:
        MalformedEndpointError: a field is missing or has the wrong form.
    """
    if not isinstance(raw, dict):
        raise MalformedEndpointError("an endpoint entry must be an object")
    try:
        host, _, port = raw["address"].rpartition(":")
        worker = raw["worker"]
        address = (host, int(port))
        zone = raw.get("zone") or ""
        cell = int(raw.get("cell") or 0)
        booted = int(raw.get("booted") or 0)
        state = raw["state"]
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise MalformedEndpointError(f"an endpoint entry has a missing or invalid field: {error}") from error
    if not isinstance(worker, str) or not worker or not isinstance(zone, str) or not host:
        raise MalformedEndpointError("worker, zone and address of an endpoint entry must be text")
    try:
        return Endpoint(worker, address, zone, cell, booted, EndpointState(state))
    except ValueError as error:
        raise MalformedEndpointError(f"an endpoint entry has an unknown state: {state!r}") from error
