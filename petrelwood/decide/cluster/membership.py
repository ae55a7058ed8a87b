"""The endpoint list: what the roster has said of workers, its gaps, and each worker's incarnations.

The roster sends a whole list or watch events, each with an id that grows. An event that does not follow the
one before means that something was missed: the list is then asked for anew.

A worker's start is told as wall-clock time of the platform and turned into this dispatcher's own clock once
an incarnation. Two things bound what is believed of its age. Our wall clock is read without its steps, so
that the offset between the two clocks is the one of before a step. And an incarnation that was not on the
list when that was last heard has started since: it is no older than that, whatever the clocks say, but for
the time that news of it may take. An incarnation that left the list and comes back is as old as it was.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import NamedTuple

from petrelwood import ports
from petrelwood.decide.overload.backoff import Backoff
from petrelwood.decide.wall_clock import FOLLOWED, UnsteppedWallClock
from petrelwood.errors import ProtocolError

# A list heard now may lack a worker that started up to this much earlier (ns): an age beyond it is an error
# of the clocks, one within it is news that came late.
MAX_EVENT_DELAY = 1_500_000_000
MOST_DEPARTED = 4_096  # incarnations that have left the list and whose start is remembered
LONGEST_BACKOFF = 64  # times the first wait


class MalformedEndpointError(ProtocolError):
    """What a roster sent is no endpoint."""


class EndpointState(StrEnum):
    """What the roster says of a worker."""

    USABLE = "usable"
    DRAINING = "draining"
    GONE = "gone"


class EventOrder(StrEnum):
    """How a watch event follows what is known."""

    NEXT = "next"
    OLD = "old"  # known already
    GAP = "gap"  # something before it was missed


class Endpoint(NamedTuple):
    """One worker as the roster tells it."""

    worker: str
    address: tuple[str, int]
    zone: str
    cell: int
    booted: int  # wall-clock ns of its start; 0: long ago
    state: EndpointState


class ListChange(NamedTuple):
    """What a list or a watch event has changed."""

    listed: list[ports.Listed]
    leaving: list[str]  # workers that drain or are gone, and were not said to before


class Member:
    """One worker on the list."""

    __slots__ = ("booted", "draining_since", "endpoint")

    def __init__(self, endpoint: Endpoint, booted: int) -> None:
        self.endpoint = endpoint
        self.booted = booted  # on our clock; 0: long ago
        self.draining_since = 0

    def listed(self) -> ports.Listed:
        """The worker as the decision module is told of it."""
        endpoint = self.endpoint
        is_usable = endpoint.state == EndpointState.USABLE
        return ports.Listed(endpoint.worker, endpoint.zone, endpoint.cell, self.booted, is_usable)


class Membership:
    """The endpoint list of one dispatcher. Times in ns of our clock unless said otherwise."""

    def __init__(self, lost_after: int, first_wait: int, chance: Callable[[], float]) -> None:
        self.members: dict[str, Member] = {}
        self.epoch: str | None = None
        self.number = 0
        self.lost_after = lost_after
        self.last_contact_at = 0
        self.is_lost = False
        self.backoff = Backoff(first_wait, LONGEST_BACKOFF * first_wait, chance)
        self.platform_clock = UnsteppedWallClock()
        self.complete_at: int | None = None  # when the list was last known to be complete; None: never yet
        # (worker, its start as told) -> its start on our clock
        self.departed: OrderedDict[tuple[str, int], int] = OrderedDict()

    @property
    def resume_after(self) -> str | None:
        """The id of the last event that is known, or None for a whole list."""
        return None if self.epoch is None else f"{self.epoch}-{self.number}"

    def forget_position(self) -> None:
        """Something was missed: nothing to resume after, the whole list is wanted."""
        self.epoch = None
        self.number = 0

    def order_of(self, event_id: str) -> EventOrder:
        """How an event follows what is known."""
        epoch, _, number = event_id.rpartition("-")
        if not number.isdigit() or epoch != self.epoch:
            return EventOrder.GAP
        if int(number) <= self.number:
            return EventOrder.OLD
        return EventOrder.NEXT if int(number) == self.number + 1 else EventOrder.GAP

    def on_contact(self, now: int) -> bool:
        """Bytes came from the roster. Whether this ends a time without it."""
        was_lost = self.is_lost
        self.last_contact_at = now
        self.is_lost = False
        self.backoff.succeeded()
        return was_lost

    def correct_clock(self, ahead: int, now: int) -> list[ports.Listed]:
        """Workers are as old as the lesser of two wall clocks says, of which either may have been wrong.

        An earlier process on this start of the machine had a wall clock that was ahead of the monotonic one
        by `ahead` only. Returns the workers that are younger by it.
        """
        clock = self.platform_clock
        difference = 0 if clock.ahead is None else clock.ahead - ahead
        if clock.ahead is None or difference > 0:
            clock.ahead = ahead
        if difference <= FOLLOWED:
            return []
        younger = [member for member in self.members.values() if member.booted]
        for member in younger:
            member.booted = min(now, member.booted + difference) or 1
        return [member.listed() for member in younger]

    def on_complete(self, now: int) -> None:
        """The list is complete as of `now`: what the roster has said so far is all that there was to say."""
        if self.complete_at is not None:
            self.complete_at = now

    def is_newly_lost(self, now: int) -> bool:
        """Whether the roster has been silent for too long; said once for each time."""
        if self.is_lost or now - self.last_contact_at < self.lost_after:
            return False
        self.is_lost = True
        return True

    def apply_list(self, list_id: str, endpoints: Sequence[Endpoint], now: int, wall: int) -> ListChange:
        """Takes a whole list."""
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
        """Takes a watch event that follows."""
        self.number = int(event_id.rpartition("-")[2])
        return self._apply(endpoints, now, wall)

    def is_usable(self, worker: str) -> bool:
        """Whether a worker is on the list and may be sent to."""
        member = self.members.get(worker)
        return member is not None and member.endpoint.state == EndpointState.USABLE

    def address_of(self, worker: str) -> tuple[str, int] | None:
        """Where a worker listens; None where it is not on the list."""
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
        """The member that an endpoint tells of, a new one for a new incarnation."""
        member = self.members.get(endpoint.worker)
        if member is None or member.endpoint.booted != endpoint.booted:
            member = Member(endpoint, self._start(endpoint, now, platform_wall))
            self.members[endpoint.worker] = member
        return member

    def _start(self, endpoint: Endpoint, now: int, platform_wall: int) -> int:
        """When this incarnation, heard of for the first time, has started on our clock; 0: long ago."""
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
        if len(self.departed) > MOST_DEPARTED:
            self.departed.popitem(last=False)


def decode_endpoint(raw: object) -> Endpoint:
    """The endpoint that a roster sent as a JSON object. Raises MalformedEndpointError."""
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
