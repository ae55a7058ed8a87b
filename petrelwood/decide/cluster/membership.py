"""The endpoint list: what the roster has reported of workers, gaps in its events, and workers' incarnations.

The roster sends a complete list or watch events, each with an id that grows. An event that does not follow
the one before means that something was missed: the list is then requested anew.

A worker's start is reported as wall-clock time of the platform, and converted to this dispatcher's own clock
once an incarnation. Two rules bound its age. This machine's wall clock is read without its steps, so the
offset between the two clocks is the one from before a step. And an incarnation that was not on the list when
the list was last known to be complete has started since: it is no older than that, whatever the clocks say,
plus the delay that its event may have. An incarnation that left the list and comes back keeps its start.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide.overload.backoff import Backoff
from petrelwood.decide.wall_clock import MAX_SLEW, UnsteppedWallClock
from petrelwood.errors import ProtocolError

# A list received now may lack a worker that started up to this much earlier (ns): an age beyond is an error
# of the clocks, one within it is an event that came late.
MAX_EVENT_DELAY = 1_500_000_000
MAX_DEPARTED = 4_096  # incarnations that have left the list and whose start is remembered
MAX_BACKOFF_FACTOR = 64  # times the first wait


class MalformedEndpointError(ProtocolError):
    """An entry that the roster sent can't be decoded as an endpoint."""


class EndpointState(StrEnum):
    """The state of a worker as the roster reports it."""

    USABLE = "usable"
    DRAINING = "draining"
    GONE = "gone"


class EventOrder(StrEnum):
    """How the id of a watch event follows the last known one."""

    NEXT = "next"
    OLD = "old"  # known already
    GAP = "gap"  # something before it was missed


class Endpoint(NamedTuple):
    """One worker as the roster reports it."""

    worker: str
    address: tuple[str, int]
    zone: str
    cell: int
    booted: int  # its start, wall-clock ns; 0: long ago
    state: EndpointState


class ListChange(NamedTuple):
    """The changes by a list or a watch event."""

    listed: list[ports.EndpointEntry]
    leaving: list[str]  # workers that drain or are gone, and were not said to before


class Member:
    """One worker on the list."""

    __slots__ = ("booted", "draining_since", "endpoint")

    def __init__(self, endpoint: Endpoint, booted: int) -> None:
        self.endpoint = endpoint
        self.booted = booted  # on our clock; 0: long ago
        self.draining_since = 0

    def listed(self) -> ports.EndpointEntry:
        """Return the worker as the decision module is notified of it."""
        endpoint = self.endpoint
        is_usable = endpoint.state == EndpointState.USABLE
        return ports.EndpointEntry(endpoint.worker, endpoint.zone, endpoint.cell, self.booted, is_usable)


class Membership:
    """The endpoint list of one dispatcher.

    Times in ns of this dispatcher's clock unless said otherwise. `lost_after`: silence after which the roster
    counts as lost; `first_wait`: the first backoff before it is requested again; `random_fraction()` is drawn
    in [0, 1).
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
        self.complete_at: int | None = None  # when the list was last known to be complete; None: never yet
        # (worker, its reported start) -> its start on our clock
        self.departed: OrderedDict[tuple[str, int], int] = OrderedDict()

    @property
    def resume_after(self) -> str | None:
        """Return the id of the last known event, or None if a complete list is needed."""
        return None if self.epoch is None else f"{self.epoch}-{self.number}"

    def forget_position(self) -> None:
        """Forget the last event's id after a gap, so that a complete list is requested."""
        self.epoch = None
        self.number = 0

    def order_of(self, event_id: str) -> EventOrder:
        """Return how an event follows the last known one."""
        epoch, _, number = event_id.rpartition("-")
        if not number.isdigit() or epoch != self.epoch:
            return EventOrder.GAP
        if int(number) <= self.number:
            return EventOrder.OLD
        return EventOrder.NEXT if int(number) == self.number + 1 else EventOrder.GAP

    def on_contact(self, now: int) -> bool:
        """Handle that bytes were received from the roster; return whether it was lost until now."""
        was_lost = self.is_lost
        self.last_contact_at = now
        self.is_lost = False
        self.backoff.succeeded()
        return was_lost

    def correct_clock(self, ahead: int, now: int) -> list[ports.EndpointEntry]:
        """Correct the platform clock by an earlier reading; return the workers that are younger by it.

        `ahead`: how far the wall clock was ahead of the monotonic one (ns) in an earlier process on this
        start of the machine. Either reading may be wrong; the lesser one counts, so workers are no older than
        either clock says.
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
        """Handle that the list is complete as of `now`: the roster has reported all events up to then."""
        if self.complete_at is not None:
            self.complete_at = now

    def is_newly_lost(self, now: int) -> bool:
        """Return whether the roster has been silent for too long; True only once for each silence."""
        if self.is_lost or now - self.last_contact_at < self.lost_after:
            return False
        self.is_lost = True
        return True

    def apply_list(self, list_id: str, endpoints: Sequence[Endpoint], now: int, wall: int) -> ListChange:
        """Apply a complete list; return what it changed. `wall`: this machine's wall clock, ns."""
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
        """Apply a watch event that follows the last one; return what it changed."""
        self.number = int(event_id.rpartition("-")[2])
        return self._apply(endpoints, now, wall)

    def is_usable(self, worker: str) -> bool:
        """Return whether a worker is on the list and may be sent activations."""
        member = self.members.get(worker)
        return member is not None and member.endpoint.state == EndpointState.USABLE

    def address_of(self, worker: str) -> tuple[str, int] | None:
        """Return the address on which a worker listens, or None if it is not on the list."""
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
        """Return the member of an endpoint, a new one for a new incarnation."""
        member = self.members.get(endpoint.worker)
        if member is None or member.endpoint.booted != endpoint.booted:
            member = Member(endpoint, self._start(endpoint, now, platform_wall))
            self.members[endpoint.worker] = member
        return member

    def _start(self, endpoint: Endpoint, now: int, platform_wall: int) -> int:
        """Return when a new incarnation has started on this dispatcher's clock; 0: long ago."""
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
    """Return the endpoint that a roster sent as a JSON object.

    Raises:
        MalformedEndpointError: a field is missing or has the wrong form.
    """
    if not isinstance(raw, dict):
        raise MalformedEndpointError("an entry must be an object")
    try:
        host, _, port = raw["address"].rpartition(":")
        worker = raw["worker"]
        address = (host, int(port))
        zone = raw.get("zone") or ""
        cell = int(raw.get("cell") or 0)
        booted = int(raw.get("booted") or 0)
        state = raw["state"]
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise MalformedEndpointError(f"an entry lacks or garbles {error}") from error
    if not isinstance(worker, str) or not worker or not isinstance(zone, str) or not host:
        raise MalformedEndpointError("an entry's worker, zone and address must be text")
    try:
        return Endpoint(worker, address, zone, cell, booted, EndpointState(state))
    except ValueError as error:
        raise MalformedEndpointError(f"an entry's state can't be {state!r}") from error
